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

// bound is the published one: requests in any second that a cold upstream of 20 a
// second may get from all boxes.
const bound = 20*1.5 + 5

// press lets boxes that hear nothing of each other send to one cold upstream
// whenever they may, and returns the most that come within one second, and the mean.
func press(boxes int, part float64, seed uint64) (most int, mean float64) {
	const lasts, every = 10 * time.Second, 20 * time.Millisecond
	began := time.Now()
	l := warmup.Limit{PerSecond: 20, Allocation: part}
	all := make([]*warmup.Warmup, boxes)
	for i := range all {
		all[i] = warmup.New(rand.New(rand.NewPCG(seed, uint64(i))))
	}
	var sent []time.Duration
	for at := time.Duration(0); at < lasts; at += every {
		for _, w := range all {
			for now := began.Add(at); w.MaySend(now, "u", l); {
				w.Sent(now, "u", l)
				sent = append(sent, at)
			}
		}
	}
	for i, at := range sent {
		end := sort.Search(len(sent), func(k int) bool { return sent[k] >= at+time.Second })
		most = max(most, end-i)
	}
	return most, float64(len(sent)) / lasts.Seconds()
}

// TestTogether holds the bound for all boxes together, however many there are, and
// that a part of it is used.
func TestTogether(t *testing.T) {
	tests := map[string]struct {
		boxes int
		part  float64
	}{
		"one that keeps the queue for all": {1, 1},
		"7 alone":                          {7, 1.0 / 7},
		"64 alone":                         {64, 1.0 / 64},
		"300 alone":                        {300, 1.0 / 300},
		"60 of 300 alone":                  {60, 1.0 / 300},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				most, mean := press(tt.boxes, tt.part, seed)
				is.New(t).True(most <= bound)
				is.New(t).True(mean <= 20*0.75)
				is.New(t).True(mean >= 20*0.25*float64(tt.boxes)*tt.part)
			}
		})
	}
}

// TestSlots follows one box's allowance for one upstream.
func TestSlots(t *testing.T) {
	l := warmup.Limit{PerSecond: 4, Allocation: 1} // two a slot
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
	is.True(w.MaySend(now, "u", warmup.Limit{})) // no bound
	for i := range 100 {
		w.Sent(now.Add(time.Duration(i)*time.Minute), fmt.Sprint("u", i), l) // none is kept for long
	}
}
