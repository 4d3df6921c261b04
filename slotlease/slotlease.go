// Package slotlease leases the slots of upstreams that bear few rejections, so that all boxes
// together send each no more requests than it works on at once.
package slotlease

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// maxWaitingPerSlot bounds the requests that wait for an upstream, as a multiple of its
	// slots: more would wait longer than they are worth.
	maxWaitingPerSlot = 4
	// settleTime is how long requests count that were sent without a lease of this box, before
	// it owned the slots.
	settleTime = 300 * time.Millisecond
)

// Request asks for a slot. Values are immutable.
type Request struct {
	Upstream string
	Box      string
	ID       string // names the lease, with the box and the upstream
	Urgency  int    // 0 goes first
	Slots    int    // of the upstream
	Hold     time.Duration
	Running  int // requests at the upstream, as far as known; counts for those without a lease
}

// key identifies a lease.
type key struct{ box, request string }

func (r Request) key() key { return key{r.Box, r.ID} }

// waiter is a request that waits for a slot.
type waiter struct {
	request Request
	granted chan struct{} // closed when it has one
}

// upstream holds the leases of one upstream.
type upstream struct {
	leased  map[key]time.Time // when they end
	waiting []*waiter         // in the order in which they are granted

	unleased      int // requests without a lease, until unleasedUntil
	unleasedUntil time.Time
}

// taken returns the number of slots that are taken.
func (u *upstream) taken(now time.Time) int {
	if now.Before(u.unleasedUntil) {
		return len(u.leased) + u.unleased
	}
	return len(u.leased)
}

// Leases are the leased slots of the upstreams that a box owns. It is safe for concurrent use.
type Leases struct {
	mu        sync.Mutex
	upstreams map[string]*upstream
}

// New returns no leases.
func New() *Leases { return &Leases{upstreams: map[string]*upstream{}} }

// Take leases a slot, for Hold at most, and waits for one until ctx ends. It reports whether it
// has one.
func (l *Leases) Take(ctx context.Context, req Request) bool {
	w, granted := l.enqueue(time.Now(), req)
	if granted || w == nil {
		return granted
	}
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-w.granted: // as ctx ended
		return true
	default:
	}
	if u, ok := l.upstreams[req.Upstream]; ok {
		u.waiting = slices.DeleteFunc(u.waiting, func(o *waiter) bool { return o == w })
	}
	return false
}

// enqueue leases a slot or lets the request wait; w is nil if it may not.
func (l *Leases) enqueue(now time.Time, req Request) (w *waiter, granted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.upstreams[req.Upstream]
	if !ok {
		u = &upstream{leased: map[key]time.Time{}, unleased: req.Running, unleasedUntil: now.Add(settleTime)}
		l.upstreams[req.Upstream] = u
	}
	u.grant(now)
	_, held := u.leased[req.key()]
	switch {
	case held || len(u.waiting) == 0 && u.taken(now) < req.Slots:
		u.leased[req.key()] = now.Add(req.Hold)
		return nil, true
	case len(u.waiting) >= maxWaitingPerSlot*req.Slots:
		return nil, false
	}
	w = &waiter{request: req, granted: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(u.waiting, req.Urgency, func(o *waiter, urgency int) int {
		return cmp.Or(cmp.Compare(o.request.Urgency, urgency), -1) // behind those that are as urgent
	})
	u.waiting = slices.Insert(u.waiting, at, w)
	return w, false
}

// grant drops the leases that have ended and grants free slots to those that wait.
func (u *upstream) grant(now time.Time) {
	for k, until := range u.leased {
		if !now.Before(until) {
			delete(u.leased, k)
		}
	}
	for len(u.waiting) > 0 && u.taken(now) < u.waiting[0].request.Slots {
		w := u.waiting[0]
		u.waiting = u.waiting[1:]
		u.leased[w.request.key()] = now.Add(w.request.Hold)
		close(w.granted)
	}
}

// Return ends a lease after some time, or at its end if that is earlier.
func (l *Leases) Return(now time.Time, id, box, request string, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.upstreams[id]
	if !ok {
		return
	}
	k := key{box, request}
	if until, held := u.leased[k]; held && now.Add(after).Before(until) {
		u.leased[k] = now.Add(after)
	}
	u.grant(now)
}

// Leased returns the number of an upstream's slots that are leased.
func (l *Leases) Leased(now time.Time, id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.upstreams[id]
	if !ok {
		return 0
	}
	u.grant(now)
	return len(u.leased)
}

// Tick ends leases, and drops the upstreams whose slots are not to be kept any more.
func (l *Leases) Tick(now time.Time, kept func(upstream string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, u := range l.upstreams {
		u.grant(now)
		if len(u.waiting) == 0 && !kept(id) {
			delete(l.upstreams, id)
		}
	}
}
