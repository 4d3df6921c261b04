package edge

import (
	"petrelstep/fleet"
	"petrelstep/wire"
)

// startTime returns the start time of the upstream's known incarnation, or 0.
func (e *Edge) startTime(upstream string) int {
	u, _ := e.fleet.Get(upstream)
	return int(u.StartedAt)
}

// loadsWithStart fills in the start times of the upstreams.
func (e *Edge) loadsWithStart(list []wire.UpstreamTally) []wire.UpstreamTally {
	for i := range list {
		list[i].Born = e.startTime(list[i].Upstream)
	}
	return list
}

// failuresWithStart fills in the start times of the upstreams.
func (e *Edge) failuresWithStart(list []wire.UpstreamFailures) []wire.UpstreamFailures {
	for i := range list {
		list[i].Born = e.startTime(list[i].Upstream)
	}
	return list
}

// currentLoads drops the loads of incarnations older than the known ones.
func (e *Edge) currentLoads(list []wire.UpstreamTally) []wire.UpstreamTally {
	var current []wire.UpstreamTally
	for _, l := range list {
		if e.isCurrent(l.Upstream, l.Born) {
			current = append(current, l)
		}
	}
	return current
}

// currentFailures drops the failures of incarnations older than the known ones.
func (e *Edge) currentFailures(list []wire.UpstreamFailures) []wire.UpstreamFailures {
	var current []wire.UpstreamFailures
	for _, f := range list {
		if e.isCurrent(f.Upstream, f.Born) {
			current = append(current, f)
		}
	}
	return current
}

// isCurrent reports whether a start time is not older than the known incarnation's.
// Zero stands for the known one.
func (e *Edge) isCurrent(upstream string, startedAt int) bool {
	return startedAt == 0 || e.fleet.IsCurrent(fleet.Upstream{ID: upstream, StartedAt: int64(startedAt)})
}
