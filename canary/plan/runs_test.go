package plan_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/canary/plan"
)

// TestRuns checks the mean of the requests that run at the baseline: a trial whose part of the bound
// followed the number of each moment stopped for a while, and had too few answers.
func TestRuns(t *testing.T) {
	const step = 250 * time.Millisecond
	is := is.New(t)
	is.Equal(plan.Runs{}.Mean(), 0)
	now := time.Unix(1000, 0)
	r := plan.Runs{}.With(now, 15)
	is.Equal(r.Mean(), 15)
	for i := range 40 {
		now = now.Add(step)
		r = r.With(now, []int{11, 20}[i%2])
		is.True(r.Mean() >= 14 && r.Mean() <= 18)
	}
	for range 40 {
		now = now.Add(step)
		r = r.With(now, 4)
	}
	is.True(r.Mean() <= 5)
	is.Equal(r.With(now, 100).Mean(), r.Mean()) // no time has passed
}
