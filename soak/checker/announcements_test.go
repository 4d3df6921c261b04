package checker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/soak/checker"
	"petrelstep/standin/worker"
)

// TestCheckAnnouncements checks which requests violate an announced leaving or backoff.
func TestCheckAnnouncements(t *testing.T) {
	began := time.Now()
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	span := func(from, until float64) []checker.Span { return []checker.Span{{From: at(from), Until: at(until)}} }
	tests := map[string]struct {
		leaving     bool
		backoff     time.Duration
		answer      string    // to the first request
		after       []float64 // arrival times of further requests, in seconds
		box         string    // that sends those; empty for the same box
		incarnation int64
		disrupted   []checker.Span
		linkBroken  []checker.Span
		violations  int
	}{
		"leaving, request soon after":                 {leaving: true, answer: "answer to first by w", after: []float64{1.5}},
		"leaving, request too late":                   {leaving: true, answer: "answer to first by w", after: []float64{2.5}, violations: 1},
		"leaving, request from another box":           {leaving: true, answer: "answer to first by w", after: []float64{2.5}, box: "c"},
		"leaving, next incarnation":                   {leaving: true, answer: "answer to first by w", after: []float64{2.5}, incarnation: 8},
		"leaving, box restarted":                      {leaving: true, answer: "answer to first by w", after: []float64{2.5}, disrupted: span(1, 1.5)},
		"leaving, response not passed on":             {leaving: true, answer: "answer to first by v", after: []float64{2.5}},
		"backoff, two requests":                       {backoff: 3 * time.Second, after: []float64{1, 2}},
		"backoff, three requests":                     {backoff: 3 * time.Second, after: []float64{1, 2, 2.5}, violations: 1},
		"backoff, one of three within the grace time": {backoff: 3 * time.Second, after: []float64{0.4, 2, 2.5}},
		"backoff, one of three after its end":         {backoff: 3 * time.Second, after: []float64{1, 2, 3.1}},
		"backoff, three requests from another box":    {backoff: 3 * time.Second, after: []float64{1, 2, 2.5}, box: "c"},
		"backoff, box paused":                         {backoff: 3 * time.Second, after: []float64{1, 2, 2.5}, disrupted: span(0.5, 0.6)},
		"backoff, response lost":                      {backoff: 3 * time.Second, after: []float64{1, 2, 2.5}, linkBroken: span(-0.1, 0.1)},
		"backoff, link broken long before":            {backoff: 3 * time.Second, after: []float64{1, 2, 2.5}, linkBroken: span(-9, -8), violations: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			status := 200
			if tt.backoff > 0 {
				status = 503
			}
			attempts := []checker.Attempt{{ID: "first", Box: "b", Sent: began, Ended: began, Status: status, Complete: true, Answer: tt.answer}}
			arrivals := []checker.Arrival{{Worker: "w", Incarnation: 7, Arrival: worker.Arrival{ID: "first", At: began, Leaving: tt.leaving, Backoff: tt.backoff}}}
			box, incarnation := "b", int64(7)
			if tt.box != "" {
				box = tt.box
			}
			if tt.incarnation != 0 {
				incarnation = tt.incarnation
			}
			for i, s := range tt.after {
				id := fmt.Sprint(i)
				attempts = append(attempts, checker.Attempt{ID: id, Box: box, Sent: at(s), Ended: at(s)})
				arrivals = append(arrivals, checker.Arrival{Worker: "w", Incarnation: incarnation, Arrival: worker.Arrival{ID: id, At: at(s)}})
			}
			violations, _ := checker.New(0, 0, 0).CheckAnnouncements(attempts, arrivals, map[string][]checker.Span{"b": tt.disrupted}, map[string][]checker.Span{"w": tt.linkBroken})
			is.New(t).Equal(len(violations), tt.violations)
		})
	}
}
