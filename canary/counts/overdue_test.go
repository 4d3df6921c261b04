package counts_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/canary/buckets"
	"petrelstep/canary/counts"
	"petrelstep/fleet"
	"petrelstep/wire"
)

// TestOverdue checks that a request which waits for several times the baseline's median counts as slow
// before it ends: a release that hangs showed nothing until its requests timed out.
func TestOverdue(t *testing.T) {
	const usual, overdue = 10 * time.Millisecond, 200 * time.Millisecond
	cold := fleet.Upstream{ID: "b1", Release: "v2", ColdUntil: start.Add(time.Minute)}
	slow := make([]int, buckets.Of(overdue)+1)
	slow[buckets.Of(overdue)] = 1
	tests := map[string]struct {
		answers int // of the baseline
		u       fleet.Upstream
		resumed bool
		after   time.Duration
		result  *counts.Result // after that
		want    wire.ReleaseCounts
	}{
		"in time":         {answers: 20, u: candidate, after: 50 * time.Millisecond, want: wire.ReleaseCounts{Sent: 1, Running: 1}},
		"overdue":         {answers: 20, u: candidate, after: overdue, want: wire.ReleaseCounts{Sent: 1, Running: 1, Answered: 1, First: slow}},
		"answered then":   {answers: 20, u: candidate, after: overdue, result: &counts.Result{First: time.Second}, want: wire.ReleaseCounts{Sent: 1, Answered: 1, First: slow}},
		"failed then":     {answers: 20, u: candidate, after: overdue, result: &counts.Result{Failed: true}, want: wire.ReleaseCounts{Sent: 1, Failed: 1, Answered: 1, Cut: 1, First: slow}},
		"cold":            {answers: 20, u: cold, after: overdue, want: wire.ReleaseCounts{Sent: 1, Running: 1}},
		"resumed":         {answers: 20, u: candidate, resumed: true, after: overdue, want: wire.ReleaseCounts{Sent: 1, Running: 1}},
		"median unknown":  {answers: 3, u: candidate, after: overdue, want: wire.ReleaseCounts{Sent: 1, Running: 1}},
		"not sent so far": {answers: 20, u: candidate, after: -overdue, want: wire.ReleaseCounts{Sent: 1, Running: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := begun()
			for range tt.answers {
				c.Sent(start, service, route, baseline)(start, counts.Result{First: usual})
			}
			arrives := start
			if tt.resumed {
				arrives = time.Time{}
			}
			ended := c.Sent(arrives, service, route, tt.u)
			now := start.Add(tt.after)
			c.Report(now, "hub", false)
			c.Running(now, service)
			if tt.result != nil {
				ended(now, *tt.result)
			}
			tt.want.Candidate, tt.want.Upstream = true, "b1"
			own := c.Own()
			is.New(t).Equal(own[len(own)-1], row(tt.want))
		})
	}
}
