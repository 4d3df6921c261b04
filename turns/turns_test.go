package turns_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/turns"
)

func TestTurns(t *testing.T) {
	tests := map[string]struct {
		second   string        // who asks while b1 holds the turn of u
		upstream string        // and of what
		back     time.Duration // when b1 gives it back; 0 for never
		wait     time.Duration
		granted  bool
		after    time.Duration
	}{
		"given back":                 {"b2", "u", 300 * time.Millisecond, time.Second, true, 300 * time.Millisecond},
		"another upstream":           {"b2", "v", 0, time.Second, true, 0},
		"the same box again":         {"b1", "u", 0, time.Second, true, 0},
		"not in time":                {"b2", "u", 0, time.Second, false, time.Second},
		"its holder died, it lapses": {"b2", "u", 0, 2 * time.Second, true, 1500 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := turns.New()
				is.True(s.Take(t.Context(), "u", "b1"))
				began := time.Now()
				if tt.back > 0 {
					go func() {
						time.Sleep(tt.back)
						s.GiveBack("u", "b1")
					}()
				}
				ctx, cancel := context.WithTimeout(t.Context(), tt.wait)
				defer cancel()
				is.Equal(s.Take(ctx, tt.upstream, tt.second), tt.granted)
				is.Equal(time.Since(began), tt.after)
				s.GiveBack("u", "b3") // not its own: nothing happens
			})
		})
	}
}
