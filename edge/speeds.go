package edge

import "time"

// speedsEvery is how often a hub is told how fast engines are, and asked for it: a
// third of the time after which a box's word lapses.
const speedsEvery = time.Second

// renewSpeeds keeps what is believed of all engines, as this box may be the next to
// decide for all.
func (e *Edge) renewSpeeds(now time.Time) {
	table, _, _ := e.belief.Current(now)
	if table == nil {
		return
	}
	for _, service := range table.Engines() {
		e.speeds.Refresh(now, service)
	}
}

// speedsDue tells whether a hub is now to be told of speeds. Then what this box believes
// of them is renewed too.
func (e *Edge) speedsDue(now time.Time, hub string) bool {
	if e.speeds == nil || !e.speedsTold(now, hub) {
		return false
	}
	e.renewSpeeds(now)
	return true
}

// speedsTold notes that a hub is told of speeds; false if that is not due.
func (e *Edge) speedsTold(now time.Time, hub string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.known[hub]
	if now.Sub(m.speeds) < speedsEvery {
		return false
	}
	m.speeds = now
	e.known[hub] = m
	return true
}
