package edge

import (
	"sync"
	"time"

	"petrelstep/config"
	"petrelstep/fleet"
	"petrelstep/peerstate"
	"petrelstep/wire"
)

const (
	// hubKnows is how long after it has become a hub a box has been told by all
	// others that reach it: they find out by two calls of 0.5 s that the one before
	// is gone. Until then, and until so many of them as hubTold have told, its sums
	// would make full engines look empty.
	hubKnows = 1250 * time.Millisecond
	hubTold  = 0.75
	// askTime is the longest that an asker's word is under way, which is then as much
	// older: a call may be repeated within its 0.5 s.
	askTime = 600 * time.Millisecond
	// neverAge is told where there is no knowledge: older than all that counts.
	neverAge = time.Hour
	// fleetLink is the part of its link that a box takes for whole fleets: many are asked
	// for at once, and each waits in memory until it has gone out.
	fleetLink = 0.25
	// fleetCall is what a whole fleet takes of it besides its bytes, in bytes.
	fleetCall = 1000
)

// Heard implements edgerpc.Box: it answers as a hub does, as the asker holds
// this box to be one.
func (e *Edge) Heard(from wire.Gossip) wire.GossipAnswer {
	e.timer.Check()
	now := time.Now()
	e.heardBox(now, from.Sender, from.Leaving)
	if from.Unlisted {
		e.registrar.asked(from.Sender)
	}
	e.hearDeparting(now, from.Departing)
	e.quarantine.Update(now, from.Ends)
	e.limits.Update(now, from.Limits, e.members.IsHubBox(now, from.Sender.Box))
	e.hearWords(now, from.Sender.Box, wordsOf(from), from.Counts, peerstate.Coverage{Boxes: from.Covers, Recent: from.CoversNear})
	a := wire.GossipAnswer{Sender: e.record, Leaving: e.draining.Load(), Tells: e.tells(now, from.Wants), StoreSilentMs: e.storeAge(now)}
	switch a.Tells {
	case wire.GossipScopeOwn:
		w, covers := e.partWords(now, from.WantsSpeeds)
		w.answer(&a)
		a.Covers, a.CoversNear, a.Hubs = covers.Boxes, covers.Recent, e.hubRecords(now)
	case wire.GossipScopeAll:
		e.wordsWithout(now, from.Sender.Box, from.WantsSpeeds).answer(&a)
		a.Hubs = e.hubRecords(now)
	}
	e.answerCrowd(now, &a)
	e.answerConfiguration(now, &a)
	e.answerEnds(now, from, &a)
	e.answerLimits(now, from, &a)
	e.answerFleet(now, from, &a)
	return a
}

// answerCrowd tells how many boxes there are, and which hubs are alive, where boxes
// do not call all hubs: by that they know whom to call, and which keeper to ask. A box
// is told what other hubs know too, as it hears none of them; a hub only what this one
// knows, as two would else remind each other for good of boxes that are gone.
func (e *Edge) answerCrowd(now time.Time, a *wire.GossipAnswer) {
	crowd := e.members.LargeFleetCounts(now)
	if crowd == nil || a.Tells == wire.GossipScopeNone {
		return
	}
	if a.Tells == wire.GossipScopeAll {
		crowd = e.members.MergedLargeFleetCounts(now)
	}
	for hall, boxes := range crowd {
		a.Crowd = append(a.Crowd, wire.HallBoxes{Hall: hall, Boxes: boxes})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range a.Hubs {
		if at, ok := e.heard[b.Box]; ok {
			a.Heard = append(a.Heard, wire.BoxHeard{Box: b.Box, AgoMs: int(now.Sub(at).Milliseconds())})
		}
	}
}

// tells returns what a box tells of loads that is asked for them: of all boxes
// only if it hears of all.
func (e *Edge) tells(now time.Time, wanted wire.GossipScope) wire.GossipScope {
	if wanted != wire.GossipScopeAll {
		return wanted
	}
	others := e.members.Count(now) - e.members.CountLeaving() - 1
	told := float64(e.tally.Boxes(now)) >= hubTold*float64(others)
	since, hub := e.members.IsHub(now)
	if hub && (told || since >= hubKnows) {
		return wire.GossipScopeAll
	}
	return wire.GossipScopeNone
}

// storeAge returns how many milliseconds ago the store answered anyone that this
// box hears of, neverAge where it never did.
func (e *Edge) storeAge(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.storeHeard.IsZero() {
		return int(neverAge.Milliseconds())
	}
	return int(now.Sub(e.storeHeard).Milliseconds()) + 1
}

func (e *Edge) answerConfiguration(now time.Time, a *wire.GossipAnswer) {
	table, age, _ := e.belief.Current(now)
	if table == nil {
		return
	}
	a.Version, a.VersionAgeMs = table.Version(), int(age.Milliseconds())+1
	a.Halls = e.hallWords(now)
}

// hallWords returns what this box knows of the evacuation of halls.
func (e *Edge) hallWords(now time.Time) []wire.HallWord {
	list := []wire.HallWord{}
	for _, w := range e.halls.All() {
		list = append(list, wire.HallWord{
			Hall: w.Hall, Evacuated: w.Evacuated, Version: int(w.Version), SinceMs: int(now.Sub(w.Since).Milliseconds()),
		})
	}
	return list
}

// Configuration implements edgerpc.Box.
func (e *Edge) Configuration() wire.Configuration {
	e.timer.Check()
	table, _, _ := e.belief.Current(time.Now())
	if table == nil {
		return wire.Configuration{}
	}
	return wire.Configuration{Version: table.Version(), Encoded: string(e.configuration.Newest())}
}

// answerFleet tells what changed since the asker's mark; the whole fleet to one
// that has none and wants it, as fast as fleetLink allows; to the few that are hubs
// at once, as their part of the boxes waits for them.
func (e *Edge) answerFleet(now time.Time, from wire.Gossip, a *wire.GossipAnswer) {
	age, known := e.fleet.Age(now)
	a.FleetAgeMs = int(age.Milliseconds()) + 1
	if !known { // it is a hub, or about to be one, and will know soon
		a.FleetAgeMs, a.FleetLater = int(neverAge.Milliseconds()), from.WholeFleet
		return
	}
	after := e.after(now, from)
	switch {
	case after == 0 && from.WholeFleet:
		e.answerWhole(now, from, a)
		return
	case from.WholeFleet && from.FleetAfter == 0:
		e.metrics.FleetTold("changes")
	}
	changed, at := e.fleet.Since(after)
	a.FleetAt = at
	if after == 0 {
		a.FleetFromNow = true
		return
	}
	a.Upstreams = e.upstreamRecords(now, changed)
}

// answerWhole tells the whole fleet, packed once for all that ask together.
func (e *Edge) answerWhole(now time.Time, from wire.Gossip, a *wire.GossipAnswer) {
	packed, at, err := e.snapshot.Packed(now)
	if err != nil {
		e.log.WithError(err).Error("fleet_not_packed")
		a.FleetLater = true
		return
	}
	if !e.tables.allow(now, len(packed)+fleetCall) && !e.members.IsHubBox(now, from.Sender.Box) {
		a.FleetLater = true
		e.metrics.FleetTold("later")
		return
	}
	e.metrics.FleetTold("whole")
	a.FleetAt = at
	if from.Unpacks {
		a.Fleet = packed
		return
	}
	var changed []fleet.Upstream
	changed, a.FleetAt = e.fleet.Since(0)
	a.Upstreams = e.upstreamRecords(now, changed)
}

func (e *Edge) upstreamRecords(now time.Time, list []fleet.Upstream) []wire.UpstreamRecord {
	records := make([]wire.UpstreamRecord, 0, len(list))
	for _, u := range list {
		records = append(records, wire.UpstreamRecord{
			ID: u.ID, Service: u.Service, Address: u.Address, Hall: u.Hall, Slots: u.Slots, ColdMs: coldMs(now, u),
			State: string(u.State), Version: int(u.Version), Said: u.Announced, Born: int(u.StartedAt),
		})
	}
	return records
}

// wholeFleet is the source of the snapshot.
func (e *Edge) wholeFleet() ([]wire.UpstreamRecord, int) {
	list, change := e.fleet.Since(0)
	return e.upstreamRecords(time.Now(), list), change
}

// after returns the change after which an asker is to be told: its mark, or where it
// has none, as its hub has just been lost or this box become one, the last before it
// knew all. It so has the news at once: of 300 boxes 38 ask in a lost hub's place, and
// whole fleets are told to the last of them after 2 s.
func (e *Edge) after(now time.Time, from wire.Gossip) int {
	switch {
	case from.FleetOf == e.record.Incarnation && from.FleetAfter > 0:
		return from.FleetAfter
	case from.FleetKnownMs == 0:
		return 0
	}
	change, known := e.fleet.ChangeAt(now.Add(-config.Millis(from.FleetKnownMs) - askTime))
	if !known {
		return 0
	}
	return change
}

// coldMs returns for how much longer an upstream is cold, in ms.
func coldMs(now time.Time, u fleet.Upstream) int {
	if u.ColdUntil.IsZero() {
		return 0
	}
	return int(max(u.ColdUntil.Sub(now), 0).Milliseconds())
}

// pacer lets things through one after the other, each taking its time at a rate.
// It is safe for use by several goroutines.
type pacer struct {
	rate float64 // a second

	mu   sync.Mutex
	free time.Time // the last one has had its time
}

// allow tells whether so many may go now.
func (p *pacer) allow(now time.Time, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.free) {
		return false
	}
	p.free = now.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
	return true
}

func (e *Edge) hubRecords(now time.Time) []wire.BoxRecord {
	var records []wire.BoxRecord
	for _, b := range e.members.Hubs(now) {
		records = append(records, wire.BoxRecord{
			Box: b.Name, Hall: b.Hall, Address: b.Address, Incarnation: b.Incarnation, Strong: b.HubEligible,
		})
	}
	return records
}
