package edge

import (
	"petrelstep/fleet"
	"petrelstep/wire"
)

// born returns the incarnation of an upstream that this box knows; 0 for none.
func (e *Edge) born(upstream string) int {
	u, _ := e.fleet.Get(upstream)
	return int(u.StartedAt)
}

// bornLoads names the incarnations that loads are told of.
func (e *Edge) bornLoads(list []wire.UpstreamTally) []wire.UpstreamTally {
	for i := range list {
		list[i].Born = e.born(list[i].Upstream)
	}
	return list
}

// bornFailures names the incarnations that failures are told of.
func (e *Edge) bornFailures(list []wire.UpstreamFailures) []wire.UpstreamFailures {
	for i := range list {
		list[i].Born = e.born(list[i].Upstream)
	}
	return list
}

// currentLoads returns the loads that are told of no earlier incarnation than this
// box knows.
func (e *Edge) currentLoads(list []wire.UpstreamTally) []wire.UpstreamTally {
	var kept []wire.UpstreamTally
	for _, l := range list {
		if e.current(l.Upstream, l.Born) {
			kept = append(kept, l)
		}
	}
	return kept
}

// currentFailures returns the failures that are told of no earlier incarnation than
// this box knows.
func (e *Edge) currentFailures(list []wire.UpstreamFailures) []wire.UpstreamFailures {
	var kept []wire.UpstreamFailures
	for _, f := range list {
		if e.current(f.Upstream, f.Born) {
			kept = append(kept, f)
		}
	}
	return kept
}

// current tells whether a word is of no earlier incarnation than this box knows. One
// that names none is taken as of the known one.
func (e *Edge) current(upstream string, born int) bool {
	return born == 0 || e.fleet.IsCurrent(fleet.Upstream{ID: upstream, StartedAt: int64(born)})
}
