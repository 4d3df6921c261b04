package edge

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/refusal"
)

// machine is a clock that can be suspended.
type machine struct {
	began time.Time
	slept atomic.Int64 // ns
}

func (m *machine) clock() time.Duration { return time.Since(m.began) + time.Duration(m.slept.Load()) }

// TestSuspended shows what a box does whose machine was suspended, as its steady clock
// says, for no time at all. Its callers' requests come first.
func TestSuspended(t *testing.T) {
	tests := map[string]struct {
		slept   time.Duration
		confirm bool // by an answer of the store to a call of before
		want    refusal.Reason
	}{
		"not at all":                            {0, false, ""},
		"for a moment":                          {2 * time.Second, false, ""},
		"for longer than a key is served":       {6 * time.Second, false, refusal.StaleConfiguration},
		"and the store's last answer is read":   {6 * time.Second, true, refusal.StaleConfiguration},
		"for a moment, and that answer is read": {2 * time.Second, true, ""},
		"for an hour":                           {time.Hour, true, refusal.StaleConfiguration},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := context.WithCancel(t.Context())
				w := newEngines(ctx, t, 6, 9)
				e, hub := w.crowd.boxAndHub()
				m := &machine{began: time.Now()}
				e.OnClock(m.clock)
				sent := time.Now()
				m.slept.Add(int64(tt.slept))
				time.Sleep(time.Millisecond)
				e.timer.Check() // as serveCaller does first
				if tt.confirm {
					e.routes.Confirm(sent)
				}
				is.Equal(e.isReachable(hub.Name()), tt.slept == 0)
				is.Equal(ask(ctx, e, "/check/", "a").refused.Reason(), tt.want)
				time.Sleep(contact)
				is.Equal(ask(ctx, e, "/check/", "a").status, http.StatusOK) // once it has been told again
				w.stop(end)
			})
		})
	}
}

// boxAndHub returns a box and a hub that it calls.
func (c *crowd) boxAndHub() (box, hub *Edge) {
	hub = c.hubs()[0]
	for _, e := range c.all {
		if !e.IsHub() {
			return e, hub
		}
	}
	return c.hubs()[1], hub
}
