package admission

import (
	"time"

	"petrelstep/picker"
)

const (
	// costly is from how many requests made late on a place is one to wait for a
	// better one: below, the wait may cost more than the pause.
	costly = 0.2
	// holdPart is the part of the time in which its prompt has to be begun that a long
	// answer waits for a better place at most; the rest is left for lines at engines.
	holdPart = 0.4
)

// waits tells whether a request is held though it has room: it would be late there by
// a pause, or make others so, and an engine that has no room now would keep its pause.
func (a *Admission) waits(now time.Time, r round, ask Request, g Grant) bool {
	if g.Cost < costly || ask.Aim == 0 || a.short(ask) {
		return false
	}
	left := a.left(now, ask)
	if left < time.Duration((1-holdPart)*float64(left+now.Sub(ask.Arrived))) {
		return false
	}
	return anyCheap(a.ranked(now, r, ask))
}

// anyCheap tells whether an engine is cheap that takes new work.
func anyCheap(ranked []picker.Choice) bool {
	for _, c := range ranked {
		if c.Cost < costly && !c.Held {
			return true
		}
	}
	return false
}
