// Package warmup bounds how many requests go to upstreams that are cold. One that
// has just started, or has lost what made it fast, bears a few requests a second,
// and falls over under its usual load. The bound holds for all boxes together, and
// each takes its part without a word to the others.
package warmup

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// slot is the time for which a box draws how many requests it may send.
	slot = time.Second
	// used is the part of what a cold upstream bears that is given out. Two slots of
	// each box may lie in one second, so that of 300 boxes that all press, as many
	// as what it bears may come in the worst second; those that waited on their
	// way come on top.
	used = 0.5
	// keptFor is how long an upstream is remembered that got nothing.
	keptFor = time.Minute
)

// Limit is what an upstream bears while it is cold. Values are immutable.
type Limit struct {
	PerSecond  float64 // requests of all boxes together; 0 for no bound
	Allocation float64 // of them that this box may send
}

type allowance struct {
	began time.Time
	left  int
}

// Warmup is one box's. It is safe for use by several goroutines.
type Warmup struct {
	mu     sync.Mutex
	random *rand.Rand
	slots  map[string]*allowance // by upstream
}

// New returns the warm-up of a box that has sent nothing.
func New(random *rand.Rand) *Warmup {
	return &Warmup{random: random, slots: map[string]*allowance{}}
}

// MaySend tells whether one more request may go to a cold upstream now.
func (w *Warmup) MaySend(now time.Time, upstream string, l Limit) bool {
	if l.PerSecond <= 0 {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allowance(now, upstream, l).left > 0
}

// Sent notes that a request goes to a cold upstream.
func (w *Warmup) Sent(now time.Time, upstream string, l Limit) {
	if l.PerSecond <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.allowance(now, upstream, l).left--
}

// Forget drops what was sent to an upstream, as it has started again.
func (w *Warmup) Forget(upstream string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.slots, upstream)
}

// allowance returns that of the slot at a time. Slots begin at random, so that those
// of boxes that see an upstream at the same moment do not begin together.
func (w *Warmup) allowance(now time.Time, upstream string, l Limit) *allowance {
	a, ok := w.slots[upstream]
	if !ok {
		w.forget(now)
		a = &allowance{began: now.Add(-time.Duration(w.random.Int64N(int64(slot)))), left: w.draw(l)}
		w.slots[upstream] = a
	}
	if passed := now.Sub(a.began); passed >= slot {
		a.began = a.began.Add(passed.Truncate(slot))
		a.left = w.draw(l)
	}
	return a
}

// draw returns how many requests a slot allows: the box's part, rounded at random
// so that the boxes' sum is right in the mean.
func (w *Warmup) draw(l Limit) int {
	whole, part := math.Modf(used * l.PerSecond * l.Allocation)
	if w.random.Float64() < part {
		whole++
	}
	return int(whole)
}

func (w *Warmup) forget(now time.Time) {
	for id, a := range w.slots {
		if now.Sub(a.began) > keptFor {
			delete(w.slots, id)
		}
	}
}
