// Package ratelimit limits the requests per second to upstreams. For each it stores only
// the time at which the next request may be sent.
package ratelimit

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// maxIdleUncoordinated is how far back the next time of an uncoordinated rate may be. With
	// hundreds of boxes, even one saved request at each would be too large a burst.
	maxIdleUncoordinated = 250 * time.Millisecond
	// urgencyWindow is how long capacity is left free for the most urgent requests after the
	// last of them.
	urgencyWindow = 2 * time.Second
	// retention is how long an upstream without requests is kept.
	retention = time.Minute
)

// Rate is the rate that is allowed. Values are immutable.
type Rate struct {
	PerSecond     float64 // above 0
	Burst         float64 // requests saved while idle that may be sent at once, besides the next
	Uncoordinated bool    // one box's share of a rate, spent without coordination; nothing is saved
}

// interval returns the time between two requests.
func (r Rate) interval() time.Duration { return time.Duration(float64(time.Second) / r.PerSecond) }

// Request is a request to send to an upstream. Values are immutable.
type Request struct {
	Rate    Rate
	Urgency int           // 0 is the most urgent
	Wait    time.Duration // the longest acceptable delay
}

// Decision is the result of a request. Values are immutable.
type Decision struct {
	Granted bool
	Delay   time.Duration // until it may be sent; if not granted, until a new attempt may succeed
}

// upstream is the state of one upstream.
type upstream struct {
	next    time.Time // when the next request may be sent
	rate    Rate
	used    time.Time
	granted int

	urgency   int // the most urgent recently seen
	urgencyAt time.Time
}

// Limiter is safe for use by several goroutines.
type Limiter struct {
	mu     sync.Mutex
	random *rand.Rand
	list   map[string]*upstream
	swept  time.Time
}

// New returns a limiter without saved requests.
func New(random *rand.Rand) *Limiter {
	return &Limiter{random: random, list: map[string]*upstream{}}
}

// Take grants a request a time at an upstream if that is within its wait. Only the most
// urgent recent requests may reserve a time ahead. Others are sent only at once, and leave
// one request's time free, so that urgent requests are not crowded out by them.
func (l *Limiter) Take(now time.Time, id string, req Request) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.of(now, id, req.Rate)
	if req.Urgency <= u.urgency || now.Sub(u.urgencyAt) > urgencyWindow {
		u.urgency, u.urgencyAt = req.Urgency, now
	}
	delay, wait := max(u.next.Sub(now), 0), req.Wait
	if req.Urgency > u.urgency {
		reserve := time.Duration(min(req.Rate.Burst, 1) * float64(req.Rate.interval()))
		delay, wait = max(u.next.Add(reserve).Sub(now), 0), 0
	}
	if delay > wait {
		return Decision{Delay: delay}
	}
	u.take(req.Rate)
	return Decision{Granted: true, Delay: delay}
}

// Force records a request that is sent regardless of the limit: later requests wait
// correspondingly longer.
func (l *Limiter) Force(now time.Time, id string, r Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(now, id, r).take(r)
}

// take uses up the time of one request.
func (u *upstream) take(r Rate) {
	u.next = u.next.Add(r.interval())
	u.granted++
}

// Granted returns the number of requests granted at an upstream since it was first used.
func (l *Limiter) Granted(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u, ok := l.list[id]; ok {
		return u.granted
	}
	return 0
}

// Free reports whether a request may be sent to an upstream now.
func (l *Limiter) Free(now time.Time, id string, r Rate) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.of(now, id, r).next.After(now)
}

// of returns the state of an upstream as of now. Its first time is random: several boxes
// may start with an upstream at once.
func (l *Limiter) of(now time.Time, id string, r Rate) *upstream {
	l.sweep(now)
	u, ok := l.list[id]
	if !ok {
		u = &upstream{rate: r, next: l.randomNext(now, r)}
		l.list[id] = u
	}
	u.used = now
	if u.rate != r {
		if ahead := u.next.Sub(now); ahead > 0 {
			u.next = now.Add(time.Duration(float64(ahead) * u.rate.PerSecond / r.PerSecond))
		}
		u.rate = r
	}
	switch idle := now.Sub(u.next); {
	case r.Uncoordinated && idle > maxIdleUncoordinated:
		u.next = l.randomNext(now, r)
	case !r.Uncoordinated && idle > time.Duration(r.Burst*float64(r.interval())):
		u.next = now.Add(-time.Duration(r.Burst * float64(r.interval())))
	}
	return u
}

// Retain removes the upstreams that this limiter no longer owns, as their saved requests
// are spent by another one.
func (l *Limiter) Retain(owned func(id string) bool) {
	for _, id := range l.known() {
		if !owned(id) {
			l.forget(id)
		}
	}
}

func (l *Limiter) known() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.list))
}

func (l *Limiter) forget(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.list, id)
}

// randomNext returns a random time within one interval.
func (l *Limiter) randomNext(now time.Time, r Rate) time.Time {
	return now.Add(time.Duration(l.random.Float64() * float64(r.interval())))
}

// sweep removes upstreams without recent requests.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.swept) < retention {
		return
	}
	l.swept = now
	for id, u := range l.list {
		if now.Sub(u.used) > retention && now.After(u.next) {
			delete(l.list, id)
		}
	}
}
