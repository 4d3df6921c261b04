package moveturns_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/moveturns"
)

// TestTurns checks when a request is granted while b1 holds the turn from u to t1.
func TestTurns(t *testing.T) {
	const never, maxHold = 0, 800 * time.Millisecond
	tests := map[string]struct {
		req     moveturns.Request
		release time.Duration // when b1 releases its turn; 0 for never
		wait    time.Duration
		target  string // empty if there is none in time
		after   time.Duration
	}{
		"the turn is released":              {moveturns.Request{Box: "b2", Source: "u", Targets: []string{"t2"}}, 300 * time.Millisecond, time.Second, "t2", 300 * time.Millisecond},
		"another source and target":         {moveturns.Request{Box: "b2", Source: "v", Targets: []string{"t2"}}, never, time.Second, "t2", 0},
		"the target is in use":              {moveturns.Request{Box: "b2", Source: "v", Targets: []string{"t1"}}, 300 * time.Millisecond, time.Second, "t1", 300 * time.Millisecond},
		"the next target is free":           {moveturns.Request{Box: "b2", Source: "v", Targets: []string{"t1", "t2"}}, never, time.Second, "t2", 0},
		"the same box again":                {moveturns.Request{Box: "b1", Source: "u", Targets: []string{"t1"}}, never, time.Second, "t1", 0},
		"the same box, another source":      {moveturns.Request{Box: "b1", Source: "v", Targets: []string{"t2"}}, never, time.Second, "t2", 0},
		"not in time":                       {moveturns.Request{Box: "b2", Source: "u", Targets: []string{"t2"}}, never, maxHold / 2, "", maxHold / 2},
		"the holder died, the turn expires": {moveturns.Request{Box: "b2", Source: "u", Targets: []string{"t1"}}, never, 2 * time.Second, "t1", maxHold},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := moveturns.New()
				_, ok := s.Take(t.Context(), moveturns.Request{Box: "b1", Source: "u", Targets: []string{"t1"}})
				is.True(ok)
				began := time.Now()
				if tt.release > 0 {
					time.AfterFunc(tt.release, func() { s.Release("u", "b1") })
				}
				ctx, cancel := context.WithTimeout(t.Context(), tt.wait)
				defer cancel()
				target, ok := s.Take(ctx, tt.req)
				is.Equal(target, tt.target)
				is.Equal(ok, tt.target != "")
				is.Equal(time.Since(began), tt.after)
				s.Release("u", "b3") // not b3's turn: no effect
			})
		})
	}
}

// TestSmallestFirst checks that waiting requests are granted by the memory to copy.
func TestSmallestFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := moveturns.New()
		_, ok := s.Take(t.Context(), moveturns.Request{Box: "b0", Source: "u", Targets: []string{"t"}})
		is.True(ok)
		var order []int
		var all sync.WaitGroup
		for _, tokens := range []int{3000, 1000, 2000} {
			req := moveturns.Request{Box: string(rune('a' + tokens/1000)), Source: "u", Targets: []string{"t"}, Tokens: tokens}
			all.Go(func() {
				_, ok := s.Take(t.Context(), req)
				is.True(ok)
				order = append(order, tokens)
				s.Release("u", req.Box)
			})
		}
		synctest.Wait()
		s.Release("u", "b0")
		all.Wait()
		is.Equal(order, []int{1000, 2000, 3000})
	})
}
