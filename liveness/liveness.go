// Package liveness finds out whether an upstream has ended after a connection to it
// broke. Connections are also reset, cut and timed out while their upstream is alive.
package liveness

import (
	"context"
	"sync"
	"time"

	"petrelstep/fleet"
)

// Finding is the result of a check.
type Finding string

// The findings.
const (
	Ended   Finding = "ended"   // nothing or another incarnation listens at its address, and it had not announced that it leaves
	Leaving Finding = "leaving" // it was known to leave: its end is planned
	Alive   Finding = "lives"
	Unknown Finding = "unknown" // it was not reached, as with a cut link or a machine without power
)

const (
	// checkTimeout bounds a check. It allows for a round trip between halls, but not
	// for a retransmission, for which the retry would have to wait.
	checkTimeout = 150 * time.Millisecond
	// endRetention is how long an end is remembered. All streams of an upstream break
	// at about the same time.
	endRetention = 10 * time.Second
)

// Findings returns all findings, for counters.
func Findings() []Finding { return []Finding{Ended, Leaving, Alive, Unknown} }

// Prober checks an upstream's address. An error means that its state is unknown.
type Prober interface {
	Ended(ctx context.Context, u fleet.Upstream, engine bool) (bool, error)
}

// Fleet returns upstreams with their states.
type Fleet interface {
	Get(id string) (fleet.Upstream, bool)
}

// incarnation identifies an incarnation of an upstream.
type incarnation struct {
	id        string
	startedAt int64
}

// check is a check that is running, or that found an end.
type check struct {
	done    chan struct{}
	finding Finding
	at      time.Time
}

// Liveness checks upstreams whose connections broke. It is safe for concurrent use.
type Liveness struct {
	prober Prober
	fleet  Fleet

	mu     sync.Mutex
	checks map[incarnation]*check // running, or with an end as their finding
}

// New returns a Liveness without findings.
func New(p Prober, f Fleet) *Liveness {
	return &Liveness{prober: p, fleet: f, checks: map[incarnation]*check{}}
}

// Check returns the state of an upstream after a connection to it broke. Concurrent
// calls for one incarnation share a check, which is therefore not cancelled with ctx.
func (l *Liveness) Check(ctx context.Context, u fleet.Upstream, engine bool) Finding {
	known, _ := l.fleet.Get(u.ID)
	switch {
	case u.StartedAt > 0 && known.StartedAt > u.StartedAt: // it has restarted, and lost its runs
		return Ended
	case known.StartedAt == u.StartedAt && known.State == fleet.Leaving:
		return Leaving
	}
	c, first := l.beginCheck(incarnation{u.ID, u.StartedAt})
	if first {
		l.check(context.WithoutCancel(ctx), u, engine, c)
	}
	<-c.done
	return c.finding
}

// beginCheck returns the check of an incarnation, and whether the caller has to run it.
func (l *Liveness) beginCheck(inc incarnation) (c *check, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for key, old := range l.checks {
		if !old.at.IsZero() && now.Sub(old.at) > endRetention {
			delete(l.checks, key)
		}
	}
	if c, ok := l.checks[inc]; ok {
		return c, false
	}
	c = &check{done: make(chan struct{})}
	l.checks[inc] = c
	return c, true
}

// check runs a check. Only an end is remembered.
func (l *Liveness) check(ctx context.Context, u fleet.Upstream, engine bool, c *check) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	ended, err := l.prober.Ended(ctx, u, engine)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		c.finding = Unknown
	case ended:
		c.finding, c.at = Ended, time.Now()
	default:
		c.finding = Alive
	}
	if c.finding != Ended {
		delete(l.checks, incarnation{u.ID, u.StartedAt})
	}
	close(c.done)
}
