package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func begun() *Limiter { return New(rand.New(rand.NewPCG(1, 1))) }

// rested returns an allowance that has rested since it was first asked for something.
func rested(now time.Time, r Rate) *Limiter {
	a := begun()
	a.Free(now.Add(-time.Minute/2), "u", r)
	return a
}

// TestTake shows how many of those who ask in one moment may go, and when the next may.
func TestTake(t *testing.T) {
	two := Rate{PerSecond: 2, Burst: 1}
	tests := map[string]struct {
		rate  Rate
		begun bool // and not rested
		waits time.Duration
		asks  int
		goes  int
		in    time.Duration // of the last
	}{
		"after a rest: the next, and what is saved": {two, false, 0, 4, 2, 500 * time.Millisecond},
		"nothing is saved":                          {Rate{PerSecond: 2}, false, 0, 4, 1, 500 * time.Millisecond},
		"those who wait have times ahead":           {two, false, time.Second, 6, 4, 1500 * time.Millisecond},
		"at first nothing is saved up":              {two, true, 0, 4, 0, 260 * time.Millisecond},
		"a part saves nothing":                      {Rate{PerSecond: 2, Uncoordinated: true}, false, 0, 4, 0, 386 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			a := rested(now, tt.rate)
			if tt.begun {
				a = begun()
			}
			goes := 0
			var last Decision
			for range tt.asks {
				last = a.Take(now, "u", Request{Rate: tt.rate, Wait: tt.waits})
				if last.Granted {
					goes++
				}
			}
			is.Equal(goes, tt.goes)
			if tt.begun || tt.rate.Uncoordinated {
				is.True(!last.Granted && last.Delay > 0 && last.Delay <= tt.rate.each()) // by chance
				return
			}
			is.Equal(last.Delay, tt.in)
		})
	}
}

// TestUrgent shows what the rest leave to the most urgent of late.
func TestUrgent(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	rate := Rate{PerSecond: 2, Burst: 1}
	a := rested(now, rate)
	first, rest := Request{Rate: rate, Wait: time.Second}, Request{Rate: rate, Urgency: 5, Wait: time.Second}
	is.True(a.Take(now, "u", rest).Granted) // nobody more urgent was met
	is.True(a.Take(now, "u", first).Granted)
	is.True(!a.Take(now, "u", rest).Granted)
	is.Equal(a.Take(now, "u", first), Decision{Granted: true, Delay: 500 * time.Millisecond})
	now = now.Add(1400 * time.Millisecond) // one may go, and is left
	is.True(!a.Take(now, "u", rest).Granted)
	now = now.Add(firstFor)
	is.True(a.Take(now, "u", rest).Granted) // nobody more urgent came
}

// TestRateChanges shows that a wait is as long as by the rate of now, and that what was
// pressed in is waited for.
func TestRateChanges(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	slow, fast := Rate{PerSecond: 1}, Rate{PerSecond: 10}
	a := rested(now, slow)
	for range 4 {
		a.Force(now, "u", slow)
	}
	is.True(!a.Free(now, "u", slow))
	is.Equal(a.Take(now, "u", Request{Rate: slow}).Delay, 4*time.Second)
	is.Equal(a.Take(now, "u", Request{Rate: fast}).Delay, 400*time.Millisecond)
	is.Equal(a.Granted("u"), 4)
}

// TestForgotten keeps upstreams no longer than somebody asks for them.
func TestForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a := begun()
	a.Free(now, "gone", Rate{PerSecond: 1})
	a.Free(now.Add(2*keptFor), "u", Rate{PerSecond: 1})
	a.Free(now.Add(4*keptFor), "u", Rate{PerSecond: 1})
	is.Equal(len(a.list), 1)
}

// BenchmarkTake is what an ask takes of its keeper, beside the call, with 2,200 upstreams.
func BenchmarkTake(b *testing.B) {
	a := begun()
	now := time.Now()
	ids := make([]string, 2200)
	for i := range ids {
		ids[i] = time.Duration(i).String()
	}
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		a.Take(now, ids[i%len(ids)], Request{Rate: Rate{PerSecond: 16, Burst: 2}})
	}
}

// TestKeep shows that nothing is saved up of what is kept elsewhere for a while.
func TestKeep(t *testing.T) {
	tests := map[string]struct {
		here bool
		goes int
	}{
		"kept here":      {here: true, goes: 2},
		"kept elsewhere": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			rate := Rate{PerSecond: 2, Burst: 1}
			a := rested(now, rate)
			a.Retain(func(string) bool { return tt.here })
			goes := 0
			for range 4 {
				if a.Take(now, "u", Request{Rate: rate}).Granted {
					goes++
				}
			}
			is.New(t).Equal(goes, tt.goes)
		})
	}
}
