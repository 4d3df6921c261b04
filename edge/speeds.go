package edge

import (
	"time"

	"petrelstep/wire"
)

// speedsEvery is how often a hub is told how fast engines are, and asked for it: a
// third of the time after which a box's word lapses.
const speedsEvery = time.Second

// tellSpeeds returns what a hub is told of how fast engines are, if that is due.
func (e *Edge) tellSpeeds(now time.Time, hub string) (rows []wire.UpstreamSpeed, due bool) {
	if e.speeds == nil || !e.speedsDue(now, hub) {
		return nil, false
	}
	e.renewSpeeds(now)
	return e.speeds.Own(now), true
}

// renewSpeeds keeps what is believed of all engines, as this box may be the next to
// decide for all.
func (e *Edge) renewSpeeds(now time.Time) {
	table, _, _ := e.belief.Now(now)
	if table == nil {
		return
	}
	for _, service := range table.Engines() {
		e.speeds.Renew(now, service)
	}
}

func (e *Edge) speedsDue(now time.Time, hub string) bool {
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

// answerSpeeds returns what a box is told of how fast engines are, in the scope of
// what else it is told.
func (e *Edge) answerSpeeds(now time.Time, box string, tells wire.GossipScope) []wire.UpstreamSpeed {
	switch tells {
	case wire.GossipScopeOwn:
		return e.speeds.Own(now)
	case wire.GossipScopeAll:
		return e.speeds.Without(now, box)
	}
	return nil
}
