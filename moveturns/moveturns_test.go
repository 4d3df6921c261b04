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

func TestTurns(t *testing.T) {
	const never, most = 0, 800 * time.Millisecond
	tests := map[string]struct {
		ask    moveturns.Request // asked while b1 holds the turn from u to t1
		back   time.Duration     // when b1 gives it back; 0 for never
		wait   time.Duration
		target string // empty if there is none in time
		after  time.Duration
	}{
		"given back":                 {moveturns.Request{Box: "b2", Source: "u", Targets: []string{"t2"}}, 300 * time.Millisecond, time.Second, "t2", 300 * time.Millisecond},
		"another upstream":           {moveturns.Request{Box: "b2", Source: "v", Targets: []string{"t2"}}, never, time.Second, "t2", 0},
		"its target receives":        {moveturns.Request{Box: "b2", Source: "v", Targets: []string{"t1"}}, 300 * time.Millisecond, time.Second, "t1", 300 * time.Millisecond},
		"the next target is free":    {moveturns.Request{Box: "b2", Source: "v", Targets: []string{"t1", "t2"}}, never, time.Second, "t2", 0},
		"the same box again":         {moveturns.Request{Box: "b1", Source: "u", Targets: []string{"t1"}}, never, time.Second, "t1", 0},
		"the same box, elsewhere":    {moveturns.Request{Box: "b1", Source: "v", Targets: []string{"t2"}}, never, time.Second, "t2", 0},
		"not in time":                {moveturns.Request{Box: "b2", Source: "u", Targets: []string{"t2"}}, never, most / 2, "", most / 2},
		"its holder died, it lapses": {moveturns.Request{Box: "b2", Source: "u", Targets: []string{"t1"}}, never, 2 * time.Second, "t1", most},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := moveturns.New()
				_, ok := s.Take(t.Context(), moveturns.Request{Box: "b1", Source: "u", Targets: []string{"t1"}})
				is.True(ok)
				began := time.Now()
				if tt.back > 0 {
					time.AfterFunc(tt.back, func() { s.Release("u", "b1") })
				}
				ctx, cancel := context.WithTimeout(t.Context(), tt.wait)
				defer cancel()
				target, ok := s.Take(ctx, tt.ask)
				is.Equal(target, tt.target)
				is.Equal(ok, tt.target != "")
				is.Equal(time.Since(began), tt.after)
				s.Release("u", "b3") // not its own: nothing happens
			})
		})
	}
}

// TestSmallestFirst shows in which order those who wait have their turns.
func TestSmallestFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := moveturns.New()
		_, ok := s.Take(t.Context(), moveturns.Request{Box: "b0", Source: "u", Targets: []string{"t"}})
		is.True(ok)
		var order []int
		var all sync.WaitGroup
		for _, tokens := range []int{3000, 1000, 2000} {
			ask := moveturns.Request{Box: string(rune('a' + tokens/1000)), Source: "u", Targets: []string{"t"}, Tokens: tokens}
			all.Go(func() {
				_, ok := s.Take(t.Context(), ask)
				is.True(ok)
				order = append(order, tokens)
				s.Release("u", ask.Box)
			})
		}
		synctest.Wait()
		s.Release("u", "b0")
		all.Wait()
		is.Equal(order, []int{1000, 2000, 3000})
	})
}
