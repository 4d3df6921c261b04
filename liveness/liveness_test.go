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

// prober finds what a test says, after a while.
type prober struct {
	ended bool
	err   error
	takes time.Duration
	calls atomic.Int64
}

func (p *prober) Ended(ctx context.Context, _ fleet.Upstream, _ bool) (bool, error) {
	p.calls.Add(1)
	select {
	case <-time.After(p.takes):
		return p.ended, p.err
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

func TestLook(t *testing.T) {
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
		"a machine has lost its power": {prober: &prober{takes: time.Hour}, want: liveness.Unknown, calls: 1},
		"an end that was announced":    {prober: &prober{ended: true}, leaves: true, want: liveness.Leaving},
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
				gone, cancel := context.WithCancel(t.Context())
				cancel() // its caller is
				is.Equal(l.Check(gone, u, true), tt.want)
				is.Equal(tt.prober.calls.Load(), tt.calls)
			})
		})
	}
}

// TestLookOnce shows that streams which break together cost one call, and that an end
// stays known.
func TestLookOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := fleet.Upstream{ID: "e1", Service: "llm", State: fleet.Open}
		p := &prober{ended: true, takes: 3 * time.Millisecond}
		l := liveness.New(p, fleet.New(time.Second))
		for range 48 {
			go l.Check(t.Context(), u, true)
		}
		time.Sleep(time.Second)
		is.Equal(l.Check(t.Context(), u, true), liveness.Ended)
		is.Equal(p.calls.Load(), int64(1))
		u.StartedAt = 5 // another life under the same id
		p.ended = false
		is.Equal(l.Check(t.Context(), u, true), liveness.Alive)
		is.Equal(p.calls.Load(), int64(2))
	})
}
