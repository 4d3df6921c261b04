package edge

import (
	"time"

	"petrelstep/timer"
)

// OnClock lets the box see by a clock that counts them when its machine was suspended.
// It is called before Run.
func (e *Edge) OnClock(c timer.Clock) *Edge {
	e.timer.On(c)
	e.timer.OnWake(e.woke)
	return e
}

// slept returns for how long the machine was suspended since a time.
func (e *Edge) slept(since time.Time) time.Duration { return e.timer.Slept(since) }

// woke makes all that this box knows as old as it is: the steady clock stands still while
// a machine is suspended. What is told from then on is as new as it seems.
func (e *Edge) woke(slept time.Duration) {
	e.metrics.Slept(slept)
	e.log.WithField("slept_ms", slept.Milliseconds()).Warn("was_suspended")
	e.members.Older(slept)
	e.tally.Older(slept)
	e.reliability.Older(slept)
	e.speeds.Older(slept)
	e.quarantine.Older(slept)
	e.limits.Older(slept)
	e.rest.Older(slept)
	if e.places != nil {
		e.places.Older(slept)
	}
	if e.sharing.shares != nil {
		e.sharing.shares.Older(slept)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, known := range []map[string]time.Time{e.heard, e.cut} {
		for box, at := range known {
			known[box] = at.Add(-slept)
		}
	}
	for _, at := range []*time.Time{&e.hubHeard, &e.promised, &e.storeHeard} {
		if !at.IsZero() {
			*at = at.Add(-slept)
		}
	}
}
