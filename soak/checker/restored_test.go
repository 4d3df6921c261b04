package checker_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/soak/checker"
	"petrelstep/standin/worker"
)

// TestRestored checks which requests count as late, or as handled by an older configuration, after
// the store lost a change and confirmed it again.
func TestRestored(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	span := func(from, until float64) checker.Span { return checker.Span{From: at(from), Until: at(until)} }
	twice := []checker.Span{span(10, 11), span(14, 1000)} // lost before it had to be known
	known := []checker.Span{span(10, 13), span(17, 1000)} // lost after that
	dropped := checker.Attempt{Added: 2, Dropped: 4}      // version 4 drops its key
	added := checker.Attempt{Added: 4, Status: http.StatusUnauthorized}
	sent := func(a checker.Attempt, seconds float64) checker.Attempt {
		a.Sent = at(seconds)
		return a
	}
	tests := map[string]struct {
		attempt   checker.Attempt
		held      []checker.Span // of version 4, and of the leaving of worker "left"
		worker    string         // that the request reaches; empty for none
		before    float64        // a worker sees version 4 in force at the box; 0 for never
		disrupted []checker.Span
		broken    []checker.Span // link of the worker
		want      string
	}{
		"a dropped key in time":                   {attempt: sent(dropped, 15.9), held: twice, worker: "w"},
		"a dropped key in the gap":                {attempt: sent(dropped, 13), held: twice, worker: "w"},
		"a dropped key, late after it came again": {attempt: sent(dropped, 16.1), held: twice, worker: "w", want: checker.Config},
		"refused": {attempt: sent(dropped, 16.1), held: twice},
		"a dropped key that was known, in the gap":   {attempt: sent(dropped, 14), held: known, worker: "w", want: checker.Config},
		"the box started in the gap":                 {attempt: sent(dropped, 14), held: known, worker: "w", disrupted: []checker.Span{span(13, 13.5)}},
		"the box was paused long before":             {attempt: sent(dropped, 14), held: known, worker: "w", disrupted: []checker.Span{span(5, 6.9)}, want: checker.Config},
		"a dropped key after a later one was let in": {attempt: sent(dropped, 11), held: twice, worker: "w", before: 10.7, want: checker.Config},
		"just after a later one was let in":          {attempt: sent(dropped, 11), held: twice, worker: "w", before: 10.8},
		"let in by an earlier life of the box":       {attempt: sent(dropped, 12), held: twice, worker: "w", before: 10.5, disrupted: []checker.Span{span(11, 11.5)}},
		"a new key refused in time":                  {attempt: sent(added, 15.9), held: twice},
		"a new key refused late":                     {attempt: sent(added, 16.1), held: twice, want: checker.Config},
		"a new key refused after it was let in":      {attempt: sent(added, 11), held: twice, before: 10.5, want: checker.Config},
		"a worker that left, in time":                {attempt: sent(checker.Attempt{}, 15.9), held: twice, worker: "left"},
		"a worker that left, late":                   {attempt: sent(checker.Attempt{}, 16.1), held: twice, worker: "left", want: checker.Drain},
		"a worker that is known to leave":            {attempt: sent(checker.Attempt{}, 14), held: known, worker: "left", want: checker.Drain},
		"held back by a broken link":                 {attempt: sent(checker.Attempt{}, 16.1), held: twice, worker: "left", broken: []checker.Span{span(16, 16.2)}},
		"a worker that stays":                        {attempt: sent(checker.Attempt{}, 16.1), held: twice, worker: "w"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			attempts, arrivals := restoredHistory(tt.attempt, tt.worker, at(tt.before), tt.before > 0)
			changes := []checker.Change{{Version: 2, Held: []checker.Span{span(0, 1000)}}, {Version: 4, Held: tt.held}, {Worker: "left", Held: tt.held}}
			violations, _ := checker.New(1, 0, 0).CheckRestored(attempts, arrivals, changes, map[string][]checker.Span{"b": tt.disrupted}, map[string][]checker.Span{"left": tt.broken}, 2*time.Second)
			if tt.want == "" {
				is.Equal(len(violations), 0)
				return
			}
			is.Equal(len(violations), 1)
			is.Equal(violations[0].Guarantee, tt.want)
		})
	}
}

// restoredHistory returns a request at box "b" that reaches a worker, if one is named, and one
// with a key of version 4 that ran before.
func restoredHistory(a checker.Attempt, at string, before time.Time, ranBefore bool) (attempts []checker.Attempt, arrivals []checker.Arrival) {
	a.ID, a.Box = "r", "b"
	attempts = append(attempts, a)
	if at != "" {
		arrivals = append(arrivals, checker.Arrival{Worker: at, Arrival: worker.Arrival{ID: "r", At: a.Sent.Add(time.Millisecond)}})
	}
	if ranBefore {
		attempts = append(attempts, checker.Attempt{ID: "before", Box: "b", Added: 4, Sent: before})
		arrivals = append(arrivals, checker.Arrival{Worker: "w", Arrival: worker.Arrival{ID: "before", At: before}})
	}
	return attempts, arrivals
}
