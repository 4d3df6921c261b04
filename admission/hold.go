package admission

import (
	"time"

	"petrelstep/picker"
)

const (
	// costThreshold is the expected number of late requests from which it is better to wait
	// for another engine than to accept the cost.
	costThreshold = 0.2
	// holdFraction of the time in which its prompt has to be started is the longest that a
	// long request waits for a better engine.
	holdFraction = 0.4
)

// shouldHold reports whether to hold a request although there is capacity: it or others
// would be late there, and another engine that has no capacity now is fast enough.
func (a *Admission) shouldHold(now time.Time, r round, req Request, g Grant) bool {
	if g.Cost < costThreshold || req.Aim == 0 || a.short(req) {
		return false
	}
	left := a.timeLeft(now, req)
	if left < time.Duration((1-holdFraction)*float64(left+now.Sub(req.Arrived))) {
		return false
	}
	return hasCheap(a.ranked(now, r, req))
}

// hasCheap reports whether an engine that accepts new requests has a low cost.
func hasCheap(ranked []picker.Choice) bool {
	for _, c := range ranked {
		if c.Cost < costThreshold && !c.Held {
			return true
		}
	}
	return false
}
