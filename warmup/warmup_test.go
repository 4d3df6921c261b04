package warmup_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/warmup"
)

// maxPerSecond is the documented maximum of requests from all boxes in any second, for
// a limit of 20 per second.
const maxPerSecond = 20*1.5 + 5

// simulate lets uncoordinated boxes send to a cold upstream whenever they may. It
// returns the maximum of requests within a second, and the mean.
func simulate(boxes int, allocation float64, seed uint64) (peak int, mean float64) {
	const duration, interval = 10 * time.Second, 20 * time.Millisecond
	began := time.Now()
	l := warmup.Limit{PerSecond: 20, Allocation: allocation}
	all := make([]*warmup.Warmup, boxes)
	for i := range all {
		all[i] = warmup.New(rand.New(rand.NewPCG(seed, uint64(i))))
	}
	var sent []time.Duration
	for at := time.Duration(0); at < duration; at += interval {
		for _, w := range all {
			for now := began.Add(at); w.MaySend(now, "u", l); {
				w.Sent(now, "u", l)
				sent = append(sent, at)
			}
		}
	}
	for i, at := range sent {
		end := sort.Search(len(sent), func(k int) bool { return sent[k] >= at+time.Second })
		peak = max(peak, end-i)
	}
	return peak, float64(len(sent)) / duration.Seconds()
}

// TestTogether checks that all boxes together keep the limit and use it in part,
// whatever their number.
func TestTogether(t *testing.T) {
	tests := map[string]struct {
		boxes      int
		allocation float64
	}{
		"one owner of the queue": {1, 1},
		"7 boxes":                {7, 1.0 / 7},
		"64 boxes":               {64, 1.0 / 64},
		"300 boxes":              {300, 1.0 / 300},
		"60 of 300 boxes":        {60, 1.0 / 300},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				peak, mean := simulate(tt.boxes, tt.allocation, seed)
				is.New(t).True(peak <= maxPerSecond)
				is.New(t).True(mean <= 20*0.75)
				is.New(t).True(mean >= 20*0.25*float64(tt.boxes)*tt.allocation)
			}
		})
	}
}

// TestSlots checks one box's allowance for an upstream.
func TestSlots(t *testing.T) {
	l := warmup.Limit{PerSecond: 4, Allocation: 1} // two per slot
	now := time.Now()
	is := is.New(t)
	w := warmup.New(rand.New(rand.NewPCG(1, 1)))
	for range 2 {
		is.True(w.MaySend(now, "u", l))
		w.Sent(now, "u", l)
	}
	is.True(!w.MaySend(now, "u", l))
	is.True(w.MaySend(now, "other", l))
	is.True(w.MaySend(now.Add(time.Second), "u", l))
	is.True(w.MaySend(now, "u", warmup.Limit{})) // no limit
	for i := range 100 {
		w.Sent(now.Add(time.Duration(i)*time.Minute), fmt.Sprint("u", i), l) // entries are pruned
	}
}
