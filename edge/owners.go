package edge

import (
	"time"

	"petrelstep/config"
	"petrelstep/distance"
	"petrelstep/fleet"
	"petrelstep/members"
	"petrelstep/wire"
)

// regionSilence is the time without a report of any box of another region after which its
// upstreams get requests only where others have no capacity: two unanswered calls.
const regionSilence = 1200 * time.Millisecond

// ownerOf returns the hub that owns what a key names. Where there are several regions,
// only hubs that this box receives reports of count: a region that is cut off has more
// boxes than can be tried as hubs one after the other.
func (e *Edge) ownerOf(now time.Time, key string) (members.Box, bool) {
	if e.regions.Several() {
		return e.members.ReachableOwner(now, key, e.isReachable)
	}
	return e.members.Owner(now, key)
}

// turnsOwner returns the hub that owns the turns to move runs off an upstream. Where there
// are several regions, it is one of the upstream's region if it can be reached: each turn
// is handed over within milliseconds, and hardly any run moves to another region.
func (e *Edge) turnsOwner(now time.Time, u fleet.Upstream) (members.Box, bool) {
	key := "turns/" + u.Service
	if !e.regions.Several() {
		return e.members.Owner(now, key)
	}
	owner, found := e.members.OwnerAmong(now, key, func(b members.Box) bool {
		return e.regions.Between(u.Hall, b.Hall) != distance.Elsewhere && (b.Name == e.config.Box || e.isReachable(b.Name))
	})
	if found {
		return owner, true
	}
	return e.ownerOf(now, key)
}

// markRegionSeen records when a box of a hall was heard from. The caller holds the lock.
func (e *Edge) markRegionSeen(hall string, at time.Time) {
	if region, known := e.regions.Region(hall); known && e.regions.Several() && at.After(e.regionSeen[region]) {
		e.regionSeen[region] = at
	}
}

// markHubsSeen records when a hub last heard from the others. The caller holds the lock.
func (e *Edge) markHubsSeen(a wire.GossipAnswer, sent time.Time) {
	halls := map[string]string{}
	for _, h := range a.Hubs {
		halls[h.Box] = h.Hall
	}
	for _, h := range a.Heard {
		e.markRegionSeen(halls[h.Box], sent.Add(-config.Millis(h.AgoMs)))
	}
}

// isSilent reports whether no box of another hall's region is heard from any more. Its
// upstreams may be cut off too.
func (e *Edge) isSilent(hall string) bool {
	region, _ := e.regions.Region(hall)
	own, _ := e.regions.Region(e.config.Hall)
	if !e.regions.Several() || region == own {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	seen, known := e.regionSeen[region]
	return known && time.Since(seen) > regionSilence
}
