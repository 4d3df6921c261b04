// Package warmup limits the rate of requests to cold upstreams. An upstream that has
// just started, or has lost its caches, serves only a few requests per second and would
// fail under its usual load. The limit holds for all boxes together; each draws its
// allocation without coordination.
package warmup

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// slot is the interval for which a box draws the number of requests that it may
	// send.
	slot = time.Second
	// usedFraction is the fraction of the limit that is allocated. Two slots of each
	// box may overlap one second, so that with 300 boxes at full load the limit may be
	// reached in the worst second. Requests delayed on their way come on top.
	usedFraction = 0.5
	// retention is how long an upstream is kept to which nothing is sent.
	retention = time.Minute
)

// Limit is the rate limit of an upstream while it is cold. Values are immutable.
type Limit struct {
	PerSecond  float64 // requests per second of all boxes together; 0 for no limit
	Allocation float64 // fraction of the limit allocated to this box
}

// allowance is the number of requests that may still be sent in a slot.
type allowance struct {
	startedAt time.Time
	remaining int
}

// Warmup tracks the allowances of one box. It is safe for concurrent use.
type Warmup struct {
	mu     sync.Mutex
	random *rand.Rand
	slots  map[string]*allowance // by upstream
}

// New returns a Warmup without allowances.
func New(random *rand.Rand) *Warmup {
	return &Warmup{random: random, slots: map[string]*allowance{}}
}

// MaySend reports whether one more request may be sent to a cold upstream now.
func (w *Warmup) MaySend(now time.Time, upstream string, l Limit) bool {
	if l.PerSecond <= 0 {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allowance(now, upstream, l).remaining > 0
}

// Sent records that a request is sent to a cold upstream.
func (w *Warmup) Sent(now time.Time, upstream string, l Limit) {
	if l.PerSecond <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.allowance(now, upstream, l).remaining--
}

// Forget drops the allowance for an upstream that has restarted.
func (w *Warmup) Forget(upstream string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.slots, upstream)
}

// allowance returns the allowance for the slot at a time. Slots start at random, so
// that those of boxes that discover an upstream at the same moment are not aligned.
func (w *Warmup) allowance(now time.Time, upstream string, l Limit) *allowance {
	a, ok := w.slots[upstream]
	if !ok {
		w.prune(now)
		a = &allowance{startedAt: now.Add(-time.Duration(w.random.Int64N(int64(slot)))), remaining: w.draw(l)}
		w.slots[upstream] = a
	}
	if passed := now.Sub(a.startedAt); passed >= slot {
		a.startedAt = a.startedAt.Add(passed.Truncate(slot))
		a.remaining = w.draw(l)
	}
	return a
}

// draw returns the number of requests in a slot: the box's allocation, rounded at
// random so that the sum of all boxes is right in the mean.
func (w *Warmup) draw(l Limit) int {
	whole, fraction := math.Modf(usedFraction * l.PerSecond * l.Allocation)
	if w.random.Float64() < fraction {
		whole++
	}
	return int(whole)
}

func (w *Warmup) prune(now time.Time) {
	for id, a := range w.slots {
		if now.Sub(a.startedAt) > retention {
			delete(w.slots, id)
		}
	}
}
