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

// suspendableClock is a clock that includes suspend time.
type suspendableClock struct {
	began     time.Time
	suspended atomic.Int64 // ns
}

func (m *suspendableClock) clock() time.Duration {
	return time.Since(m.began) + time.Duration(m.suspended.Load())
}

// TestSuspended checks what a box does after its machine was suspended, which the
// monotonic clock doesn't show, when a caller's request is the first event.
func TestSuspended(t *testing.T) {
	tests := map[string]struct {
		suspended time.Duration
		confirm   bool // by a late answer of the store to a call before the suspension
		want      refusal.Reason
	}{
		"not suspended":           {0, false, ""},
		"short":                   {2 * time.Second, false, ""},
		"longer than the key age": {6 * time.Second, false, refusal.StaleConfiguration},
		"longer than the key age, late answer of the store": {6 * time.Second, true, refusal.StaleConfiguration},
		"short, late answer of the store":                   {2 * time.Second, true, ""},
		"an hour":                                           {time.Hour, true, refusal.StaleConfiguration},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := context.WithCancel(t.Context())
				w := newEngines(ctx, t, 6, 9)
				e, hub := w.cluster.boxAndHub()
				m := &suspendableClock{began: time.Now()}
				e.OnClock(m.clock)
				sent := time.Now()
				m.suspended.Add(int64(tt.suspended))
				time.Sleep(time.Millisecond)
				e.timer.Check() // as serveCaller does first
				if tt.confirm {
					e.routes.Confirm(sent)
				}
				is.Equal(e.isReachable(hub.Name()), tt.suspended == 0)
				is.Equal(sendRequest(ctx, e, "/check/", "a").refused.Reason(), tt.want)
				time.Sleep(propagationTime)
				is.Equal(sendRequest(ctx, e, "/check/", "a").status, http.StatusOK) // after new reports
				w.stop(end)
			})
		})
	}
}

// boxAndHub returns a box and a hub that it calls.
func (c *cluster) boxAndHub() (box, hub *Edge) {
	hub = c.hubs()[0]
	for _, e := range c.all {
		if !e.IsHub() {
			return e, hub
		}
	}
	return c.hubs()[1], hub
}
