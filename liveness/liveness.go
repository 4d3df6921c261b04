// Package liveness tells whether an upstream has ended to which a connection broke.
// A break alone says little: connections are reset, cut and timed out while their
// upstream lives on.
package liveness

import (
	"context"
	"sync"
	"time"

	"petrelstep/fleet"
)

// Finding is what was found of an upstream.
type Finding string

// The findings.
const (
	Ended   Finding = "ended"   // nothing listens at its address, or another life does, and it had not said that it leaves
	Leaving Finding = "leaving" // it was known to leave: its end is planned
	Alive   Finding = "lives"
	Unknown Finding = "unknown" // it was not reached: a cut link, a machine without power
)

const (
	// lookTime bounds a look: a round trip between halls takes 3 ms, and a packet that
	// is lost is sent again after a second, which the next try is not held up for.
	lookTime = 150 * time.Millisecond
	// keptFor is how long an end stays known: nobody asks of an upstream once its
	// streams have broken, all within a moment.
	keptFor = 10 * time.Second
)

// Findings lists every finding, for counters.
func Findings() []Finding { return []Finding{Ended, Leaving, Alive, Unknown} }

// Prober asks an upstream's address. The error says that nothing was learned.
type Prober interface {
	Ended(ctx context.Context, u fleet.Upstream, engine bool) (bool, error)
}

// Fleet knows which upstreams leave.
type Fleet interface {
	Get(id string) (fleet.Upstream, bool)
}

type life struct {
	id   string
	born int64
}

type look struct {
	done  chan struct{}
	found Finding
	at    time.Time
}

// Liveness is safe for use by several goroutines.
type Liveness struct {
	prober Prober
	fleet  Fleet

	mu    sync.Mutex
	looks map[life]*look // under way, and ends that were found
}

// New returns a liveness that has found nothing.
func New(p Prober, f Fleet) *Liveness {
	return &Liveness{prober: p, fleet: f, looks: map[life]*look{}}
}

// Check returns what became of an upstream just after a connection to it broke. All
// streams of a box that break together share one look. The caller may be gone: what is
// found is worth knowing to the next one.
func (l *Liveness) Check(ctx context.Context, u fleet.Upstream, engine bool) Finding {
	known, _ := l.fleet.Get(u.ID)
	switch {
	case u.StartedAt > 0 && known.StartedAt > u.StartedAt: // it has started again, and lost what it had
		return Ended
	case known.StartedAt == u.StartedAt && known.State == fleet.Leaving:
		return Leaving
	}
	at, first := l.begin(life{u.ID, u.StartedAt})
	if first {
		l.look(context.WithoutCancel(ctx), u, engine, at)
	}
	<-at.done
	return at.found
}

// begin returns the look at a life, and whether the caller is to make it.
func (l *Liveness) begin(of life) (at *look, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for key, old := range l.looks {
		if !old.at.IsZero() && now.Sub(old.at) > keptFor {
			delete(l.looks, key)
		}
	}
	if at, ok := l.looks[of]; ok {
		return at, false
	}
	at = &look{done: make(chan struct{})}
	l.looks[of] = at
	return at, true
}

func (l *Liveness) look(ctx context.Context, u fleet.Upstream, engine bool, at *look) {
	ctx, cancel := context.WithTimeout(ctx, lookTime)
	defer cancel()
	ended, err := l.prober.Ended(ctx, u, engine)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		at.found = Unknown
	case ended:
		at.found, at.at = Ended, time.Now()
	default:
		at.found = Alive
	}
	if at.found != Ended {
		delete(l.looks, life{u.ID, u.StartedAt}) // it may be otherwise at the next break
	}
	close(at.done)
}
