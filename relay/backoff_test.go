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

// enableBackoff makes a world's relay respect backoffs.
func (w *world) enableBackoff() *backoff.Tracker {
	w.relay.Backoff = backoff.New(rand.New(rand.NewPCG(1, 1)), w.relay.Metrics, logs.New(io.Discard, "info", "b"))
	w.relay.Picker.Backoff = w.relay.Backoff
	return w.relay.Backoff
}

// requestBackoff makes the first upstreams of a service request a backoff.
func (w *world) requestBackoff(service string, count int, d time.Duration) {
	for i := range count {
		u, _ := w.fleet.Get(fmt.Sprint(service, i))
		w.relay.Backoff.Requested(time.Now(), u, d)
	}
}

// TestBackoffRecorded checks in which answers a requested backoff is recorded, and that it
// does not count as a failure.
func TestBackoffRecorded(t *testing.T) {
	const d = 3 * time.Second
	tests := map[string]struct {
		path       string
		reply      reply
		backingOff int // upstreams backing off
	}{
		"rejected":                      {"/once/", reply{status: 503, notRun: true, backoff: d}, 1},
		"without the not-run header":    {"/once/", reply{status: 503, backoff: d}, 1},
		"a stream":                      {"/draft/", reply{status: 503, notRun: true, backoff: d}, 1},
		"two upstreams tried":           {"/safe/", reply{status: 503, notRun: true, backoff: d}, 2},
		"a stream, two upstreams tried": {"/check/", reply{status: 503, notRun: true, backoff: d}, 2},
		"another upstream answers":      {"/once/", reply{status: 421, notRun: true, backoff: d}, 0},
		"rejected without a backoff":    {"/once/", reply{status: 503, notRun: true}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, tt.reply)
				backoffs := w.enableBackoff()
				w.serve(t.Context(), tt.path)
				backingOff := len(backoffs.Names(time.Now(), "plain")) + len(backoffs.Names(time.Now(), "llm"))
				is.Equal(backingOff, tt.backingOff)
				if tt.backingOff > 0 {
					is.Equal(w.reliability.FailureRate(time.Now(), w.sender.first()), 0.0)
				}
			})
		})
	}
}

// TestBackoffRespected guards against sends to an upstream that is backing off, for each
// kind of send.
func TestBackoffRespected(t *testing.T) {
	tests := map[string]struct {
		path   string
		script []reply
		sends  int
	}{
		"first send":              {"/once/", []reply{{body: "1"}}, 1},
		"first send of a stream":  {"/draft/", []reply{{events: []int{0}}}, 1},
		"retry":                   {"/safe/", []reply{{status: 500, body: "1"}, {body: "2"}}, 2},
		"concurrent try":          {"/safe/", []reply{{delay: 70 * time.Millisecond, body: "1"}}, 2},
		"retry after not run":     {"/safe/", []reply{{status: 503, notRun: true}, {body: "2"}}, 2},
		"retry after unreachable": {"/once/", []reply{{err: io.EOF, notSent: true}, {body: "2"}}, 2},
		"resumed":                 {"/check/", []reply{{events: []int{0}, cutAfter: errReset}, {events: []int{1}}}, 2},
		"public route":            {"/public/", []reply{{body: "1"}}, 1},
	}
	for name, tt := range tests {
		for _, shared := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", shared places"}[shared], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := newWorld(t, tt.script...)
					w.enableBackoff()
					w.requestBackoff("plain", 2, time.Minute)
					w.requestBackoff("llm", 2, time.Minute)
					if shared {
						w.sharePlaces()
					}
					w.serve(t.Context(), tt.path)
					is.Equal(len(w.sender.sends), tt.sends)
					for _, s := range w.sender.sends {
						is.Equal(w.relay.Backoff.Wait(time.Now(), s.Upstream), time.Duration(0))
					}
				})
			})
		}
	}
}

// TestBackoffBeforeSend guards against a send to an upstream that requested a backoff
// after the request was placed there.
func TestBackoffBeforeSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, reply{events: []int{0}})
		backoffs := w.enableBackoff()
		w.relay.Admitter = &sequentialAdmitter{fleet: w.fleet, onFirst: func(u fleet.Upstream) { backoffs.Requested(time.Now(), u, time.Minute) }}
		c := w.serve(t.Context(), "/draft/")
		is.Equal(c.body.String(), "0;")
		is.Equal(len(w.sender.sends), 1)
		is.Equal(w.sender.first(), "llm1")
		is.Equal(len(w.load.Own()), 0)
	})
}

// TestAllBackingOff checks the outcome of a request whose candidate upstreams are all
// backing off.
func TestAllBackingOff(t *testing.T) {
	tests := map[string]struct {
		path    string
		backoff time.Duration
		served  bool
		maxTime time.Duration // maximum time until it is served or refused
	}{
		"ends soon":                         {"/safe/", 40 * time.Millisecond, true, 55 * time.Millisecond},
		"ends too late":                     {"/safe/", 3 * time.Second, false, 0},
		"a request that may run once":       {"/once/", 3 * time.Second, false, 0},
		"a stream, ends within its aim":     {"/draft/", 500 * time.Millisecond, true, 700 * time.Millisecond},
		"a stream, ends too late":           {"/draft/", 3 * time.Second, false, 0},
		"a resumable stream, ends too late": {"/check/", 3 * time.Second, false, 0},
	}
	for name, tt := range tests {
		for _, shared := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", shared places"}[shared], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := newWorld(t, reply{body: "1", events: []int{0}})
					w.enableBackoff()
					w.requestBackoff("plain", 4, tt.backoff)
					w.requestBackoff("llm", 4, tt.backoff)
					if shared {
						w.sharePlaces()
					}
					c := w.serve(t.Context(), tt.path)
					is.True(time.Since(c.began) <= tt.maxTime)
					is.Equal(c.refused == nil, tt.served)
					if !tt.served {
						is.Equal(c.refused.Reason(), refusal.UpstreamResting)
						is.Equal(c.refused.Outcome(), refusal.NotRun)
						is.True(c.refused.RetryAfter() >= tt.backoff)
						is.Equal(len(w.sender.sends), 0)
					}
				})
			})
		}
	}
}

// TestBackoffCallersSpread guards against callers that were refused together all retrying
// together.
func TestBackoffCallersSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, reply{body: "1"})
		w.enableBackoff()
		w.requestBackoff("plain", 4, 3*time.Second)
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
