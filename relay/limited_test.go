package relay_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/logs"
	"petrelstep/ratelimit"
	"petrelstep/refusal"
	"petrelstep/relay"
	"petrelstep/upstreamlimits"
)

// limiter is a fake whose limited upstreams accept a request after a fixed time.
type limiter struct {
	mu          sync.Mutex
	availableIn map[string]time.Duration
	requests    []relay.LimitRequest
}

// Limit implements relay.Limiter.
func (l *limiter) Limit(upstream string) (perSecond float64, limited bool) {
	_, limited = l.availableIn[upstream]
	return 2, limited
}

// UsedUp implements relay.Limiter.
func (*limiter) UsedUp(time.Time, string) time.Duration { return 0 }

// Take implements relay.Limiter.
func (l *limiter) Take(_ context.Context, a relay.LimitRequest) ratelimit.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, a)
	in := l.availableIn[a.Upstream]
	return ratelimit.Decision{Granted: in <= a.Wait, Delay: in}
}

func availableAfter(in time.Duration, upstreams ...string) map[string]time.Duration {
	list := map[string]time.Duration{}
	for _, u := range upstreams {
		list[u] = in
	}
	return list
}

// limitedCase is a request to rate-limited upstreams, and its outcome.
type limitedCase struct {
	availableIn   map[string]time.Duration
	path          string
	script        []reply
	sends         int
	avoidsLimited bool // all sends go to upstreams available now
	minRequests   int  // minimum number of requests to the limiter
	want          refusal.Reason
	took          time.Duration
}

// TestLimited guards against sends that bypass the limiter, for each kind of send.
func TestLimited(t *testing.T) {
	all := []string{"plain0", "plain1", "plain2", "plain3"}
	tests := map[string]limitedCase{
		"no limits":                         {nil, "/safe/", []reply{{body: "1"}}, 1, true, 0, "", 0},
		"all are available":                 {availableAfter(0, all...), "/safe/", []reply{{body: "1"}}, 1, true, 1, "", 0},
		"one is not limited":                {availableAfter(time.Second, all[:3]...), "/safe/", []reply{{body: "1"}}, 1, true, 0, "", 0},
		"all are available soon":            {availableAfter(40*time.Millisecond, all...), "/safe/", []reply{{body: "1"}}, 1, false, 5, "", 40 * time.Millisecond},
		"none is available in time":         {availableAfter(2*time.Second, all...), "/safe/", []reply{{body: "1"}}, 0, false, 4, refusal.UpstreamLimited, 0},
		"none is available within the aim":  {availableAfter(300*time.Millisecond, all...), "/safe/", []reply{{body: "1"}}, 0, false, 4, refusal.UpstreamLimited, 0},
		"a request that may run once":       {availableAfter(2*time.Second, all...), "/once/", []reply{{body: "1"}}, 0, false, 4, refusal.UpstreamLimited, 0},
		"a retry goes to an available one":  {availableAfter(time.Second, all[:2]...), "/safe/", []reply{{status: 500, body: "1"}, {body: "2"}}, 2, true, 0, "", 0},
		"a retry asks the limiter":          {availableAfter(0, all...), "/safe/", []reply{{status: 500, body: "1"}, {body: "2"}}, 2, true, 2, "", 0},
		"a concurrent try asks the limiter": {availableAfter(0, all...), "/safe/", []reply{{delay: 70 * time.Millisecond, body: "1"}}, 2, true, 2, "", 70 * time.Millisecond},
		"an unreachable one is no try":      {availableAfter(0, all...), "/once/", []reply{{err: io.EOF, notSent: true}, {body: "2"}}, 2, true, 2, "", 0},
	}
	for name, tt := range tests {
		for _, shared := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", shared places"}[shared], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { tt.check(t, shared) })
			})
		}
	}
}

func (tt limitedCase) check(t *testing.T, shared bool) {
	is := is.New(t)
	w := newWorld(t, tt.script...)
	l := &limiter{availableIn: tt.availableIn}
	w.relay.Limiter = l
	if shared {
		w.sharePlaces()
	}
	began := time.Now()
	c := w.serve(t.Context(), tt.path)
	is.Equal(len(w.sender.sends), tt.sends)
	is.True(len(l.requests) >= tt.minRequests)
	is.True(tt.took == 0 || time.Since(began) == tt.took)
	if tt.want != "" {
		is.Equal(c.refused.Reason(), tt.want)
		is.Equal(c.refused.Outcome(), refusal.NotRun)
		is.True(c.refused.RetryAfter() >= tt.availableIn["plain0"])
		is.Equal(time.Since(began), 0*time.Second)
		return
	}
	for _, s := range w.sender.sends {
		is.True(!tt.avoidsLimited || tt.availableIn[s.Upstream] == 0)
	}
	is.True(!slices.ContainsFunc(l.requests, func(a relay.LimitRequest) bool { return a.Request != "r1" || a.Service.Name != "plain" }))
}

// TestLimitRecorded checks from which answers a limit is recorded.
func TestLimitRecorded(t *testing.T) {
	tests := map[string]struct {
		path    string
		reply   reply
		limited int // upstreams with a limit
	}{
		"a whole answer":           {"/once/", reply{body: "1", limit: 2}, 1},
		"an internal error":        {"/once/", reply{status: 500, body: "1", limit: 2}, 1},
		"rejected":                 {"/once/", reply{status: 503, notRun: true, limit: 2}, 1},
		"a stream":                 {"/draft/", reply{events: []int{0, 1}, limit: 2}, 1},
		"a broken stream":          {"/draft/", reply{events: []int{0}, cutAfter: errReset, limit: 2}, 1},
		"an answer without a seal": {"/once/", reply{body: "1", unsealed: true, limit: 2}, 1},
		"another upstream answers": {"/once/", reply{status: 421, notRun: true, limit: 2}, 0},
		"not announced":            {"/once/", reply{body: "1"}, 0},
		"two upstreams tried":      {"/safe/", reply{status: 500, limit: 2}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, tt.reply)
				w.relay.Limits = upstreamlimits.New(w.relay.Metrics, logs.New(io.Discard, "error", "b"))
				w.serve(t.Context(), tt.path)
				is.New(t).Equal(len(w.relay.Limits.All()), tt.limited)
			})
		})
	}
}
