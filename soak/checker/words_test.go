package checker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/soak/checker"
	"petrelstep/standin/worker"
)

// TestHeard shows what counts against a worker's word that it leaves, or wants rest.
func TestHeard(t *testing.T) {
	began := time.Now()
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	span := func(from, until float64) []checker.Span { return []checker.Span{{From: at(from), Until: at(until)}} }
	tests := map[string]struct {
		leaves bool
		rest   time.Duration
		answer string    // of the first
		after  []float64 // when further requests of the same box reach it
		box    string    // of those; the same where empty
		life   int64
		struck []checker.Span
		broken []checker.Span
		breaks int
	}{
		"it leaves, one soon after":         {leaves: true, answer: "answer to first by w", after: []float64{1.5}},
		"one too late":                      {leaves: true, answer: "answer to first by w", after: []float64{2.5}, breaks: 1},
		"of another box":                    {leaves: true, answer: "answer to first by w", after: []float64{2.5}, box: "c"},
		"at its next life":                  {leaves: true, answer: "answer to first by w", after: []float64{2.5}, life: 8},
		"the box has restarted":             {leaves: true, answer: "answer to first by w", after: []float64{2.5}, struck: span(1, 1.5)},
		"its answer was not passed on":      {leaves: true, answer: "answer to first by v", after: []float64{2.5}},
		"it rests, two come":                {rest: 3 * time.Second, after: []float64{1, 2}},
		"three come":                        {rest: 3 * time.Second, after: []float64{1, 2, 2.5}, breaks: 1},
		"three, one at once":                {rest: 3 * time.Second, after: []float64{0.4, 2, 2.5}},
		"three, one after it":               {rest: 3 * time.Second, after: []float64{1, 2, 3.1}},
		"three of another box":              {rest: 3 * time.Second, after: []float64{1, 2, 2.5}, box: "c"},
		"three, the box was held":           {rest: 3 * time.Second, after: []float64{1, 2, 2.5}, struck: span(0.5, 0.6)},
		"three, its answer was lost":        {rest: 3 * time.Second, after: []float64{1, 2, 2.5}, broken: span(-0.1, 0.1)},
		"three, its link broke long before": {rest: 3 * time.Second, after: []float64{1, 2, 2.5}, broken: span(-9, -8), breaks: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			status := 200
			if tt.rest > 0 {
				status = 503
			}
			attempts := []checker.Attempt{{ID: "first", Box: "b", Sent: began, Ended: began, Status: status, Complete: true, Answer: tt.answer}}
			arrived := []checker.Arrival{{Worker: "w", Incarnation: 7, Arrival: worker.Arrival{ID: "first", At: began, Leaving: tt.leaves, Backoff: tt.rest}}}
			box, life := "b", int64(7)
			if tt.box != "" {
				box = tt.box
			}
			if tt.life != 0 {
				life = tt.life
			}
			for i, s := range tt.after {
				id := fmt.Sprint(i)
				attempts = append(attempts, checker.Attempt{ID: id, Box: box, Sent: at(s), Ended: at(s)})
				arrived = append(arrived, checker.Arrival{Worker: "w", Incarnation: life, Arrival: worker.Arrival{ID: id, At: at(s)}})
			}
			breaks, _ := checker.New(0, 0, 0).CheckAnnouncements(attempts, arrived, map[string][]checker.Span{"b": tt.struck}, map[string][]checker.Span{"w": tt.broken})
			is.New(t).Equal(len(breaks), tt.breaks)
		})
	}
}
