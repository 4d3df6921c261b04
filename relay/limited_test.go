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

// limiter is one whose upstreams have something in a while, by upstream; others name no
// limit.
type limiter struct {
	mu   sync.Mutex
	in   map[string]time.Duration
	asks []relay.LimitRequest
}

// Limit implements relay.Limiter.
func (l *limiter) Limit(upstream string) (perSecond float64, limited bool) {
	_, limited = l.in[upstream]
	return 2, limited
}

// UsedUp implements relay.Limiter.
func (*limiter) UsedUp(time.Time, string) time.Duration { return 0 }

// Take implements relay.Limiter.
func (l *limiter) Take(_ context.Context, a relay.LimitRequest) ratelimit.Turn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asks = append(l.asks, a)
	in := l.in[a.Upstream]
	return ratelimit.Turn{Granted: in <= a.Wait, In: in}
}

func usedUp(in time.Duration, upstreams ...string) map[string]time.Duration {
	list := map[string]time.Duration{}
	for _, u := range upstreams {
		list[u] = in
	}
	return list
}

// limitedCase is a request before limited upstreams, and what becomes of it.
type limitedCase struct {
	in     map[string]time.Duration
	path   string
	script []reply
	sends  int
	free   bool // all sends go to the upstreams that have something
	asked  int  // at least
	want   refusal.Reason
	took   time.Duration
}

// TestLimited lets each kind of send pass the one door to limited upstreams.
func TestLimited(t *testing.T) {
	all := []string{"plain0", "plain1", "plain2", "plain3"}
	tests := map[string]limitedCase{
		"nobody names a limit":               {nil, "/safe/", []reply{{body: "1"}}, 1, true, 0, "", 0},
		"all have something":                 {usedUp(0, all...), "/safe/", []reply{{body: "1"}}, 1, true, 1, "", 0},
		"another has":                        {usedUp(time.Second, all[:3]...), "/safe/", []reply{{body: "1"}}, 1, true, 0, "", 0},
		"nobody has, but soon":               {usedUp(40*time.Millisecond, all...), "/safe/", []reply{{body: "1"}}, 1, false, 5, "", 40 * time.Millisecond},
		"nobody has in time":                 {usedUp(2*time.Second, all...), "/safe/", []reply{{body: "1"}}, 0, false, 4, refusal.UpstreamLimited, 0},
		"nobody has within the aim":          {usedUp(300*time.Millisecond, all...), "/safe/", []reply{{body: "1"}}, 0, false, 4, refusal.UpstreamLimited, 0},
		"a request that may run once":        {usedUp(2*time.Second, all...), "/once/", []reply{{body: "1"}}, 0, false, 4, refusal.UpstreamLimited, 0},
		"a second try goes where there is":   {usedUp(time.Second, all[:2]...), "/safe/", []reply{{status: 500, body: "1"}, {body: "2"}}, 2, true, 0, "", 0},
		"a second try has a door too":        {usedUp(0, all...), "/safe/", []reply{{status: 500, body: "1"}, {body: "2"}}, 2, true, 2, "", 0},
		"one beside the first has":           {usedUp(0, all...), "/safe/", []reply{{takes: 70 * time.Millisecond, body: "1"}}, 2, true, 2, "", 70 * time.Millisecond},
		"one that reached nothing is no try": {usedUp(0, all...), "/once/", []reply{{err: io.EOF, notSent: true}, {body: "2"}}, 2, true, 2, "", 0},
	}
	for name, tt := range tests {
		for _, shared := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", shared out"}[shared], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { tt.check(t, shared) })
			})
		}
	}
}

func (tt limitedCase) check(t *testing.T, shared bool) {
	is := is.New(t)
	w := newWorld(t, tt.script...)
	l := &limiter{in: tt.in}
	w.relay.Limiter = l
	if shared {
		w.share()
	}
	began := time.Now()
	c := w.serve(t.Context(), tt.path)
	is.Equal(len(w.sender.sends), tt.sends)
	is.True(len(l.asks) >= tt.asked)
	is.True(tt.took == 0 || time.Since(began) == tt.took)
	if tt.want != "" {
		is.Equal(c.refused.Reason(), tt.want)
		is.Equal(c.refused.Outcome(), refusal.NotRun)
		is.True(c.refused.RetryAfter() >= tt.in["plain0"])
		is.Equal(time.Since(began), 0*time.Second)
		return
	}
	for _, s := range w.sender.sends {
		is.True(!tt.free || tt.in[s.Upstream] == 0)
	}
	is.True(!slices.ContainsFunc(l.asks, func(a relay.LimitRequest) bool { return a.Request != "r1" || a.Service.Name != "plain" }))
}

// TestLimitHeard shows of which answers the relay takes what the upstream says.
func TestLimitHeard(t *testing.T) {
	tests := map[string]struct {
		path    string
		reply   reply
		limited int // upstreams
	}{
		"a whole answer":            {"/once/", reply{body: "1", limit: 2}, 1},
		"a failure":                 {"/once/", reply{status: 500, body: "1", limit: 2}, 1},
		"a refusal":                 {"/once/", reply{status: 503, notRun: true, limit: 2}, 1},
		"a stream":                  {"/draft/", reply{events: []int{0, 1}, limit: 2}, 1},
		"an answer that is cut":     {"/draft/", reply{events: []int{0}, cutAfter: errReset, limit: 2}, 1},
		"an answer without a seal":  {"/once/", reply{body: "1", unsealed: true, limit: 2}, 1},
		"another upstream's":        {"/once/", reply{status: 421, notRun: true, limit: 2}, 0},
		"none names one":            {"/once/", reply{body: "1"}, 0},
		"tries at two of them both": {"/safe/", reply{status: 500, limit: 2}, 2},
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
