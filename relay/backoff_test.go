package relay_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/backoff"
	"petrelstep/fleet"
	"petrelstep/logs"
	"petrelstep/refusal"
)

// rested lets a world's box keep rests.
func (w *world) rested() *backoff.Tracker {
	w.relay.Rest = backoff.New(rand.New(rand.NewPCG(1, 1)), w.relay.Metrics, logs.New(io.Discard, "info", "b"))
	w.relay.Chooser.Rest = w.relay.Rest
	return w.relay.Rest
}

// asks lets the first upstreams of a service ask for rest.
func (w *world) asks(service string, count int, d time.Duration) {
	for i := range count {
		u, _ := w.fleet.Get(fmt.Sprint(service, i))
		w.relay.Rest.Asked(time.Now(), u, d)
	}
}

// TestRestHeard shows in which answers an upstream is heard that asks for rest, and that it
// counts as no failure.
func TestRestHeard(t *testing.T) {
	const d = 3 * time.Second
	tests := map[string]struct {
		path    string
		reply   reply
		resting int // upstreams
	}{
		"a refusal":                    {"/once/", reply{status: 503, notRun: true, asks: d}, 1},
		"one without the mark":         {"/once/", reply{status: 503, asks: d}, 1},
		"of a stream":                  {"/draft/", reply{status: 503, notRun: true, asks: d}, 1},
		"tries at two of them":         {"/safe/", reply{status: 503, notRun: true, asks: d}, 2},
		"of a stream, tries at two":    {"/check/", reply{status: 503, notRun: true, asks: d}, 2},
		"another upstream's":           {"/once/", reply{status: 421, notRun: true, asks: d}, 0},
		"a refusal that asks for none": {"/once/", reply{status: 503, notRun: true}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, tt.reply)
				rests := w.rested()
				w.serve(t.Context(), tt.path)
				resting := len(rests.Names(time.Now(), "plain")) + len(rests.Names(time.Now(), "llm"))
				is.Equal(resting, tt.resting)
				if tt.resting > 0 {
					is.Equal(w.failed.FailureRate(time.Now(), w.sender.first()), 0.0)
				}
			})
		})
	}
}

// TestRestKept shows for each kind of send that an upstream that rests is passed by.
func TestRestKept(t *testing.T) {
	tests := map[string]struct {
		path   string
		script []reply
		sends  int
	}{
		"first":                            {"/once/", []reply{{body: "1"}}, 1},
		"first, a stream":                  {"/draft/", []reply{{events: []int{0}}}, 1},
		"again":                            {"/safe/", []reply{{status: 500, body: "1"}, {body: "2"}}, 2},
		"beside":                           {"/safe/", []reply{{takes: 70 * time.Millisecond, body: "1"}}, 2},
		"in place of one that was not run": {"/safe/", []reply{{status: 503, notRun: true}, {body: "2"}}, 2},
		"in place of one that was reached": {"/once/", []reply{{err: io.EOF, notSent: true}, {body: "2"}}, 2},
		"resumed":                          {"/check/", []reply{{events: []int{0}, cutAfter: errReset}, {events: []int{1}}}, 2},
		"without a key":                    {"/public/", []reply{{body: "1"}}, 1},
	}
	for name, tt := range tests {
		for _, shared := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", shared out"}[shared], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := newWorld(t, tt.script...)
					w.rested()
					w.asks("plain", 2, time.Minute)
					w.asks("llm", 2, time.Minute)
					if shared {
						w.share()
					}
					w.serve(t.Context(), tt.path)
					is.Equal(len(w.sender.sends), tt.sends)
					for _, s := range w.sender.sends {
						is.Equal(w.relay.Rest.Wait(time.Now(), s.Upstream), time.Duration(0))
					}
				})
			})
		}
	}
}

// TestRestBeforeSent holds that nothing is sent to an upstream that has asked for rest after
// a request was placed there.
func TestRestBeforeSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, reply{events: []int{0}})
		rests := w.rested()
		w.relay.Admitter = &placed{fleet: w.fleet, news: func(u fleet.Upstream) { rests.Asked(time.Now(), u, time.Minute) }}
		c := w.serve(t.Context(), "/draft/")
		is.Equal(c.body.String(), "0;")
		is.Equal(len(w.sender.sends), 1)
		is.Equal(w.sender.first(), "llm1")
		is.Equal(len(w.tally.Own()), 0)
	})
}

// TestAllRest shows what becomes of a request for which all upstreams rest.
func TestAllRest(t *testing.T) {
	tests := map[string]struct {
		path   string
		rest   time.Duration
		served bool
		most   time.Duration // until it is served or refused
	}{
		"soon back":                     {"/safe/", 40 * time.Millisecond, true, 55 * time.Millisecond},
		"back too late":                 {"/safe/", 3 * time.Second, false, 0},
		"one that may run once":         {"/once/", 3 * time.Second, false, 0},
		"a stream whose aim is later":   {"/draft/", 500 * time.Millisecond, true, 700 * time.Millisecond},
		"a stream, back too late":       {"/draft/", 3 * time.Second, false, 0},
		"one that is tried twice, late": {"/check/", 3 * time.Second, false, 0},
	}
	for name, tt := range tests {
		for _, shared := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", shared out"}[shared], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := newWorld(t, reply{body: "1", events: []int{0}})
					w.rested()
					w.asks("plain", 4, tt.rest)
					w.asks("llm", 4, tt.rest)
					if shared {
						w.share()
					}
					c := w.serve(t.Context(), tt.path)
					is.True(time.Since(c.began) <= tt.most)
					is.Equal(c.refused == nil, tt.served)
					if !tt.served {
						is.Equal(c.refused.Reason(), refusal.UpstreamResting)
						is.Equal(c.refused.Ending(), refusal.NotRun)
						is.True(c.refused.RetryAfter() >= tt.rest)
						is.Equal(len(w.sender.sends), 0)
					}
				})
			})
		}
	}
}

// TestRestCallersSpread guards against callers that were refused in one moment coming back
// in one.
func TestRestCallersSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, reply{body: "1"})
		w.rested()
		w.asks("plain", 4, 3*time.Second)
		tenths := map[int64]int{}
		const callers = 100
		for range callers {
			c := w.serve(t.Context(), "/once/")
			tenths[c.refused.RetryAfter().Milliseconds()/100]++
		}
		for _, n := range tenths {
			is.True(n <= callers/4)
		}
	})
}
