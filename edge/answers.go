package edge

import (
	"sync"
	"time"

	"petrelstep/config"
	"petrelstep/configfetch"
	"petrelstep/fleet"
	"petrelstep/peerstate"
	"petrelstep/storecontact"
	"petrelstep/wire"
)

const (
	// hubSettleTime is the time after which a new hub has reports of all boxes that
	// reach it. Until then, or until minReportedFraction of them have reported, its
	// sums are incomplete and would make full engines look empty.
	hubSettleTime       = 1250 * time.Millisecond
	minReportedFraction = 0.75
	// maxGossipDelay bounds how old a gossip request is on arrival: a call may be
	// retried within its 0.5 s.
	maxGossipDelay = 600 * time.Millisecond
	// neverAge is the age of what was never received; it exceeds every limit.
	neverAge = time.Hour
	// fleetLinkFraction is the fraction of the box's link used for full fleet
	// transfers: many boxes request them at once, and each is held in memory until it
	// is sent.
	fleetLinkFraction = 0.25
	// fleetCallBytes is the overhead of a full fleet transfer, in bytes.
	fleetCallBytes = 1000
)

// HandleGossip implements edgerpc.Box. It answers as a hub, since the caller takes this box
// for one.
func (e *Edge) HandleGossip(from wire.Gossip) wire.GossipAnswer {
	e.timer.Check()
	now := time.Now()
	if e.rejects(now, from) {
		return wire.GossipAnswer{Sender: e.record, FleetName: e.config.Edge.Fleet}
	}
	e.recordBox(now, from.Sender, from.Leaving)
	if from.Unlisted {
		e.registrar.add(from.Sender)
	}
	e.receiveDepartures(now, from.Departing)
	e.fetchFromCaller(now, from)
	e.quarantine.Update(now, from.Ends)
	e.limits.Update(now, from.Limits, e.members.IsHubBox(now, from.Sender.Box))
	e.rejectionLimits.Update(now, from.RejectionLimits, e.members.IsHubBox(now, from.Sender.Box))
	e.rollouts.receiveCounts(now, from)
	e.receiveReport(now, from.Sender.Box, gossipReport(from), from.Counts, peerstate.Coverage{Boxes: from.Covers, Recent: from.CoversNear})
	a := wire.GossipAnswer{Sender: e.record, FleetName: e.config.Edge.Fleet, Leaving: e.draining.Load(), Tells: e.loadScope(now, from.Wants), StoreSilentMs: e.storeAge(now), Era: e.registrar.restoredEra()}
	switch a.Tells {
	case wire.GossipScopeOwn:
		r, coverage := e.aggregatedReport(now, from.WantsSpeeds)
		r.fillAnswer(&a)
		a.Covers, a.CoversNear, a.Hubs = coverage.Boxes, coverage.Recent, e.hubRecords(now)
	case wire.GossipScopeAll:
		e.reportWithout(now, from.Sender.Box, from.WantsSpeeds).fillAnswer(&a)
		a.Hubs = e.hubRecords(now)
	}
	a.ConfigurationReadMs, a.UpstreamsReadMs = e.answeredAgeMs(now, storecontact.Configuration), e.answeredAgeMs(now, storecontact.Upstreams)
	e.answerFleetSize(now, &a)
	e.answerConfiguration(now, &a)
	e.answerEnds(now, from, &a)
	e.answerLimits(now, from, &a)
	e.answerFleet(now, from, &a)
	return a
}

// fetchFromCaller fetches a newer configuration of a box that calls this one: the store may have
// turned away all hubs. A box without any waits for a hub, which knows when it was confirmed.
func (e *Edge) fetchFromCaller(now time.Time, from wire.Gossip) {
	if table, _, _ := e.routes.Current(now); table != nil {
		e.fetcher.Announce(configfetch.Announcement{Box: from.Sender.Box, Address: from.Sender.Address, Version: from.Version})
	}
}

// answerFleetSize adds the number of boxes per hall and the live hubs, for large fleets
// in which boxes don't call every hub. Boxes also get what other hubs reported, since
// they don't call those; hubs get only this hub's own count, as two hubs would
// otherwise keep removed boxes alive in each other.
func (e *Edge) answerFleetSize(now time.Time, a *wire.GossipAnswer) {
	sizes := e.members.LargeFleetCounts(now)
	if sizes == nil || a.Tells == wire.GossipScopeNone {
		return
	}
	if a.Tells == wire.GossipScopeAll {
		sizes = e.members.MergedLargeFleetCounts(now)
	}
	for hall, boxes := range sizes {
		a.Crowd = append(a.Crowd, wire.HallBoxes{Hall: hall, Boxes: boxes})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range a.Hubs {
		if at, ok := e.lastSeen[b.Box]; ok {
			a.Heard = append(a.Heard, wire.BoxHeard{Box: b.Box, AgoMs: int(now.Sub(at).Milliseconds())})
		}
	}
}

// loadScope returns which loads to send to a caller: the sums of all boxes only if this
// hub has nearly all reports.
func (e *Edge) loadScope(now time.Time, wanted wire.GossipScope) wire.GossipScope {
	if wanted != wire.GossipScopeAll {
		return wanted
	}
	others := e.members.Count(now) - e.members.CountLeaving() - 1
	reported := float64(e.loads.Boxes(now)) >= minReportedFraction*float64(others)
	since, hub := e.members.IsHub(now)
	if hub && (reported || since >= hubSettleTime) {
		return wire.GossipScopeAll
	}
	return wire.GossipScopeNone
}

// storeAge returns the milliseconds since the store last answered any box that this one
// hears from, or neverAge.
func (e *Edge) storeAge(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.storeLastSeen.IsZero() {
		return int(neverAge.Milliseconds())
	}
	return int(now.Sub(e.storeLastSeen).Milliseconds()) + 1
}

func (e *Edge) answerConfiguration(now time.Time, a *wire.GossipAnswer) {
	table, age, _ := e.routes.Current(now)
	if table == nil {
		return
	}
	a.Version, a.VersionAgeMs = table.Version(), int(age.Milliseconds())+1
	a.Halls = e.evacuations(now)
	e.rollouts.answerOrders(now, a)
}

// evacuations returns the known evacuation state of halls.
func (e *Edge) evacuations(now time.Time) []wire.HallWord {
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
	table, _, _ := e.routes.Current(time.Now())
	if table == nil {
		return wire.Configuration{}
	}
	return wire.Configuration{Version: table.Version(), Encoded: string(e.configuration.Encoded())}
}

// answerFleet adds the changes since the caller's cursor. A caller without one that
// wants the full fleet gets it as fast as fleetLinkFraction allows; hubs get it at
// once, since their boxes depend on them.
func (e *Edge) answerFleet(now time.Time, from wire.Gossip, a *wire.GossipAnswer) {
	age, known := e.fleet.Age(now)
	a.FleetAgeMs = int(age.Milliseconds()) + 1
	if !known { // a new hub, which will know the fleet soon
		a.FleetAgeMs, a.FleetLater = int(neverAge.Milliseconds()), from.WholeFleet
		return
	}
	after := e.fleetCursor(now, from)
	switch {
	case after == 0 && from.WholeFleet:
		e.answerWholeFleet(now, from, a)
		return
	case from.WholeFleet && from.FleetAfter == 0:
		e.metrics.FleetRequested("changes")
	}
	changed, at := e.fleet.Since(after)
	a.FleetAt = at
	if after == 0 {
		a.FleetFromNow = true
		return
	}
	a.Upstreams = e.upstreamRecords(now, changed)
}

// answerWholeFleet adds the full fleet, which is packed once for concurrent callers.
func (e *Edge) answerWholeFleet(now time.Time, from wire.Gossip, a *wire.GossipAnswer) {
	packed, at, err := e.snapshot.Packed(now)
	if err != nil {
		e.log.WithError(err).Error("fleet_not_packed")
		a.FleetLater = true
		return
	}
	if !e.fleetPacer.allow(now, len(packed)+fleetCallBytes) && !e.members.IsHubBox(now, from.Sender.Box) {
		a.FleetLater = true
		e.metrics.FleetRequested("later")
		return
	}
	e.metrics.FleetRequested("whole")
	a.FleetAt = at
	if from.Unpacks {
		a.Fleet = packed
		return
	}
	var changed []fleet.Upstream
	changed, a.FleetAt = e.fleet.Since(0)
	a.Upstreams = e.upstreamRecords(now, changed)
}

func (*Edge) upstreamRecords(now time.Time, list []fleet.Upstream) []wire.UpstreamRecord {
	records := make([]wire.UpstreamRecord, 0, len(list))
	for _, u := range list {
		records = append(records, wire.UpstreamRecord{
			ID: u.ID, Service: u.Service, Address: u.Address, Hall: u.Hall, Slots: u.Slots, ColdMs: remainingColdMs(now, u),
			State: string(u.State), Version: int(u.Version), Said: u.Announced, Born: int(u.StartedAt),
			Release: u.Release,
		})
	}
	return records
}

// fleetSnapshot returns the records to pack for full transfers.
func (e *Edge) fleetSnapshot() ([]wire.UpstreamRecord, int) {
	list, change := e.fleet.Since(0)
	return e.upstreamRecords(time.Now(), list), change
}

// fleetCursor returns the change after which the caller needs updates: its own cursor
// or, if it has none because it lost its hub or this box has just become one, the last
// change before its fleet was complete. It then gets news without a full transfer,
// which can take 2 s when many boxes lose their hub at once.
func (e *Edge) fleetCursor(now time.Time, from wire.Gossip) int {
	switch {
	case from.FleetOf == e.record.Incarnation && from.FleetAfter > 0:
		return from.FleetAfter
	case from.FleetKnownMs == 0:
		return 0
	}
	change, known := e.fleet.ChangeAt(now.Add(-config.Millis(from.FleetKnownMs) - maxGossipDelay))
	if !known {
		return 0
	}
	return change
}

// remainingColdMs returns for how many more milliseconds an upstream is cold.
func remainingColdMs(now time.Time, u fleet.Upstream) int {
	if u.ColdUntil.IsZero() {
		return 0
	}
	return int(max(u.ColdUntil.Sub(now), 0).Milliseconds())
}

// pacer limits a rate: each item blocks the next until its time has passed. It is safe
// for concurrent use.
type pacer struct {
	rate float64 // units per second

	mu       sync.Mutex
	nextFree time.Time // when the next item may pass
}

// allow reports whether n units may pass now.
func (p *pacer) allow(now time.Time, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.nextFree) {
		return false
	}
	p.nextFree = now.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
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
