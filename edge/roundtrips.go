package edge

import (
	"time"

	"petrelstep/distance"
	"petrelstep/members"
	"petrelstep/peer/roundtrip"
)

// roundTrip returns how long a call to a box may take besides the time that the box holds
// it: the bound within a region, or longer if calls to that box take longer. A box of
// another region that was not called yet gets the longest time.
func (e *Edge) roundTrip(b members.Box, withinRegion time.Duration) time.Duration {
	if !e.regions.Several() {
		return withinRegion
	}
	timeout, known := e.peers.Timeout(b.Address)
	if !known && e.regions.Between(e.config.Hall, b.Hall) == distance.Elsewhere {
		timeout = roundtrip.Max
	}
	return max(withinRegion, timeout)
}
