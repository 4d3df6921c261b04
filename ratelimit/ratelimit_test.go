package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fresh returns a limiter without state.
func fresh() *Limiter { return New(rand.New(rand.NewPCG(1, 1))) }

// idle returns a limiter that has been idle since its first use.
func idle(now time.Time, r Rate) *Limiter {
	l := fresh()
	l.Free(now.Add(-time.Minute/2), "u", r)
	return l
}

// TestTake checks how many of several simultaneous requests are granted, and the delay of
// the last.
func TestTake(t *testing.T) {
	two := Rate{PerSecond: 2, Burst: 1}
	tests := map[string]struct {
		rate     Rate
		fresh    bool // rather than idle
		wait     time.Duration
		requests int
		granted  int
		delay    time.Duration // of the last
	}{
		"after idling: the next one and the burst": {two, false, 0, 4, 2, 500 * time.Millisecond},
		"without a burst":                          {Rate{PerSecond: 2}, false, 0, 4, 1, 500 * time.Millisecond},
		"requests that wait get times ahead":       {two, false, time.Second, 6, 4, 1500 * time.Millisecond},
		"a fresh limiter has no burst":             {two, true, 0, 4, 0, 260 * time.Millisecond},
		"an uncoordinated rate has no burst":       {Rate{PerSecond: 2, Uncoordinated: true}, false, 0, 4, 0, 386 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			l := idle(now, tt.rate)
			if tt.fresh {
				l = fresh()
			}
			granted := 0
			var last Decision
			for range tt.requests {
				last = l.Take(now, "u", Request{Rate: tt.rate, Wait: tt.wait})
				if last.Granted {
					granted++
				}
			}
			is.Equal(granted, tt.granted)
			if tt.fresh || tt.rate.Uncoordinated {
				is.True(!last.Granted && last.Delay > 0 && last.Delay <= tt.rate.interval()) // random
				return
			}
			is.Equal(last.Delay, tt.delay)
		})
	}
}

// TestUrgent checks that less urgent requests leave a time free for urgent ones.
func TestUrgent(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	rate := Rate{PerSecond: 2, Burst: 1}
	l := idle(now, rate)
	urgent, other := Request{Rate: rate, Wait: time.Second}, Request{Rate: rate, Urgency: 5, Wait: time.Second}
	is.True(l.Take(now, "u", other).Granted) // none more urgent was seen
	is.True(l.Take(now, "u", urgent).Granted)
	is.True(!l.Take(now, "u", other).Granted)
	is.Equal(l.Take(now, "u", urgent), Decision{Granted: true, Delay: 500 * time.Millisecond})
	now = now.Add(1400 * time.Millisecond) // one is free, and left to an urgent one
	is.True(!l.Take(now, "u", other).Granted)
	now = now.Add(urgencyWindow)
	is.True(l.Take(now, "u", other).Granted) // none more urgent came
}

// TestRateChanges checks that pending delays follow a changed rate, and that forced
// requests count.
func TestRateChanges(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	slow, fast := Rate{PerSecond: 1}, Rate{PerSecond: 10}
	l := idle(now, slow)
	for range 4 {
		l.Force(now, "u", slow)
	}
	is.True(!l.Free(now, "u", slow))
	is.Equal(l.Take(now, "u", Request{Rate: slow}).Delay, 4*time.Second)
	is.Equal(l.Take(now, "u", Request{Rate: fast}).Delay, 400*time.Millisecond)
	is.Equal(l.Granted("u"), 4)
}

// TestForgotten checks that unused upstreams are removed.
func TestForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := fresh()
	l.Free(now, "unused", Rate{PerSecond: 1})
	l.Free(now.Add(2*retention), "u", Rate{PerSecond: 1})
	l.Free(now.Add(4*retention), "u", Rate{PerSecond: 1})
	is.Equal(len(l.list), 1)
}

// BenchmarkTake measures one request at the limiter of 2,200 upstreams.
func BenchmarkTake(b *testing.B) {
	l := fresh()
	now := time.Now()
	ids := make([]string, 2200)
	for i := range ids {
		ids[i] = time.Duration(i).String()
	}
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		l.Take(now, ids[i%len(ids)], Request{Rate: Rate{PerSecond: 16, Burst: 2}})
	}
}

// TestRetain checks that nothing is saved for upstreams that another limiter owned.
func TestRetain(t *testing.T) {
	tests := map[string]struct {
		owned   bool
		granted int
	}{
		"owned":           {owned: true, granted: 2},
		"owned elsewhere": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			rate := Rate{PerSecond: 2, Burst: 1}
			l := idle(now, rate)
			l.Retain(func(string) bool { return tt.owned })
			granted := 0
			for range 4 {
				if l.Take(now, "u", Request{Rate: rate}).Granted {
					granted++
				}
			}
			is.New(t).Equal(granted, tt.granted)
		})
	}
}
