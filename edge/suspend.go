package edge

import (
	"time"

	"petrelstep/timer"
)

// OnClock sets a clock that includes suspend time, which lets the box detect that its
// machine was suspended. It must be called before Run.
func (e *Edge) OnClock(c timer.Clock) *Edge {
	e.timer.On(c)
	e.timer.OnWake(e.onWake)
	return e
}

// suspendedSince returns how long the machine was suspended since a time.
func (e *Edge) suspendedSince(since time.Time) time.Duration { return e.timer.SuspendedSince(since) }

// onWake ages the box's state by the time that the machine was suspended, which the
// monotonic clock doesn't include.
func (e *Edge) onWake(suspended time.Duration) {
	e.metrics.Suspended(suspended)
	e.log.WithField("slept_ms", suspended.Milliseconds()).Warn("was_suspended")
	e.members.AddSuspension(suspended)
	e.loads.AddSuspension(suspended)
	e.reliability.AddSuspension(suspended)
	e.speeds.AddSuspension(suspended)
	e.quarantine.AddSuspension(suspended)
	e.limits.AddSuspension(suspended)
	e.rejectionLimits.AddSuspension(suspended)
	e.backoff.AddSuspension(suspended)
	e.rollouts.addSuspension(suspended)
	if e.places != nil {
		e.places.AddSuspension(suspended)
	}
	if e.sharing.shares != nil {
		e.sharing.shares.AddSuspension(suspended)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, known := range []map[string]time.Time{e.lastSeen, e.unanswered} {
		for box, at := range known {
			known[box] = at.Add(-suspended)
		}
	}
	for _, at := range []*time.Time{&e.hubLastSeen, &e.fleetDeferredAt, &e.storeLastSeen} {
		if !at.IsZero() {
			*at = at.Add(-suspended)
		}
	}
}
