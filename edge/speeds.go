package edge

import "time"

// speedsInterval is how often engine speeds are exchanged with a hub: a third of the
// time after which a report expires.
const speedsInterval = time.Second

// renewSpeeds updates the speed estimates of all engines, which this box needs if it
// becomes the owner of a queue.
func (e *Edge) renewSpeeds(now time.Time) {
	table, _, _ := e.routes.Current(now)
	if table == nil {
		return
	}
	for _, service := range table.Engines() {
		e.speeds.Refresh(now, service)
	}
}

// speedsDue reports whether speeds are due to be sent to a hub, and updates the
// estimates if so.
func (e *Edge) speedsDue(now time.Time, hub string) bool {
	if e.speeds == nil || !e.recordSpeedsSent(now, hub) {
		return false
	}
	e.renewSpeeds(now)
	return true
}

// recordSpeedsSent records that speeds are sent to a hub; false if they aren't due.
func (e *Edge) recordSpeedsSent(now time.Time, hub string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.hubStates[hub]
	if now.Sub(state.speedsSent) < speedsInterval {
		return false
	}
	state.speedsSent = now
	e.hubStates[hub] = state
	return true
}
