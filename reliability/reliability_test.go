package reliability_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/reliability"
	"petrelstep/wire"
)

// TestFailureRate checks the rate from a box's own outcomes and from reports.
func TestFailureRate(t *testing.T) {
	now := time.Now()
	failures := func(failed, all int) []wire.UpstreamFailures {
		return []wire.UpstreamFailures{{Upstream: "u", Failed: 100 * failed, All: 100 * all}}
	}
	tests := map[string]struct {
		outcomes []bool // failed
		reports  map[string][]wire.UpstreamFailures
		sum      []wire.UpstreamFailures
		after    time.Duration
		want     float64
	}{
		"nothing known":                   {},
		"one failure":                     {outcomes: []bool{true}, want: 1.0 / 3},
		"some failures":                   {outcomes: []bool{true, true, true, false}, want: 0.5},
		"after one half-life":             {outcomes: []bool{true, true, true, false}, after: 3 * time.Second, want: 1.5 / 4},
		"reported by other boxes":         {reports: map[string][]wire.UpstreamFailures{"b1": failures(1, 1), "b2": failures(3, 5)}, want: 0.5},
		"reported by a hub, counted once": {reports: map[string][]wire.UpstreamFailures{"b1": failures(1, 1)}, sum: failures(4, 6), want: 0.5},
		"an expired report":               {reports: map[string][]wire.UpstreamFailures{"b1": failures(1, 1)}, after: 4 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := reliability.New()
			for _, failed := range tt.outcomes {
				r.Record(now, "u", failed)
			}
			for box, list := range tt.reports {
				r.Update(now, box, list)
			}
			if tt.sum != nil {
				r.UpdateSum(now, tt.sum)
			}
			got := r.FailureRate(now.Add(tt.after), "u")
			is.True(got > tt.want-0.001 && got < tt.want+0.001)
			is.Equal(r.FailureRate(now, "v"), 0.0)
		})
	}
}

// TestReports checks that only failing upstreams are reported, and to each box what all
// others counted.
func TestReports(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := reliability.New()
	r.Record(now, "good", false)
	r.Record(now, "bad", true)
	bad := func(n int) []wire.UpstreamFailures {
		return []wire.UpstreamFailures{{Upstream: "bad", Failed: 100 * n, All: 100 * n}}
	}
	is.Equal(r.Own(now), bad(1))
	r.Update(now, "b1", bad(2))
	r.Update(now, "b2", bad(4))
	is.Equal(r.Without(now, "b2"), bad(3))
	is.Equal(r.Without(now, "b3"), bad(7))
	is.Equal(len(r.Own(now.Add(10*time.Second))), 0)
}
