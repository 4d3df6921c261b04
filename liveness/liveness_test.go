package liveness_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/fleet"
	"petrelstep/liveness"
)

// prober returns a fixed result after a delay.
type prober struct {
	ended bool
	err   error
	delay time.Duration
	calls atomic.Int64
}

func (p *prober) Ended(ctx context.Context, _ fleet.Upstream, _ bool) (bool, error) {
	p.calls.Add(1)
	select {
	case <-time.After(p.delay):
		return p.ended, p.err
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

func TestCheck(t *testing.T) {
	u := fleet.Upstream{ID: "e1", Service: "llm", State: fleet.Open}
	tests := map[string]struct {
		prober *prober
		leaves bool
		want   liveness.Finding
		calls  int64
	}{
		"nothing listens":              {prober: &prober{ended: true}, want: liveness.Ended, calls: 1},
		"a connection was reset":       {prober: &prober{}, want: liveness.Alive, calls: 1},
		"a link is cut":                {prober: &prober{err: errors.New("unreachable")}, want: liveness.Unknown, calls: 1},
		"a machine has lost its power": {prober: &prober{delay: time.Hour}, want: liveness.Unknown, calls: 1},
		"an announced end":             {prober: &prober{ended: true}, leaves: true, want: liveness.Leaving},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := fleet.New(time.Second)
				f.Replace(time.Now(), []fleet.Upstream{u}, 1, false)
				if tt.leaves {
					f.ApplyDeparture(time.Now(), fleet.Departure{ID: "e1", Version: 2}, "test")
				}
				l := liveness.New(tt.prober, f)
				cancelled, cancel := context.WithCancel(t.Context())
				cancel() // the check does not depend on its caller
				is.Equal(l.Check(cancelled, u, true), tt.want)
				is.Equal(tt.prober.calls.Load(), tt.calls)
			})
		})
	}
}

// TestCheckOnce checks that concurrent calls share one check, and that an end is
// remembered.
func TestCheckOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := fleet.Upstream{ID: "e1", Service: "llm", State: fleet.Open}
		p := &prober{ended: true, delay: 3 * time.Millisecond}
		l := liveness.New(p, fleet.New(time.Second))
		for range 48 {
			go l.Check(t.Context(), u, true)
		}
		time.Sleep(time.Second)
		is.Equal(l.Check(t.Context(), u, true), liveness.Ended)
		is.Equal(p.calls.Load(), int64(1))
		u.StartedAt = 5 // another incarnation
		p.ended = false
		is.Equal(l.Check(t.Context(), u, true), liveness.Alive)
		is.Equal(p.calls.Load(), int64(2))
	})
}
