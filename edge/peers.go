package edge

import (
	"slices"
	"time"

	"petrelstep/config"
	"petrelstep/configfetch"
	"petrelstep/fleet"
	"petrelstep/halls"
	"petrelstep/members"
	"petrelstep/peerstate"
	"petrelstep/revision"
	"petrelstep/snapshot"
	"petrelstep/wire"
)

const (
	// maxFleetAge is the age from which a hub's fleet is ignored: a little over two of
	// its calls to the store.
	maxFleetAge = 3500 * time.Millisecond
	// departureRetention is how long a leaving upstream is reported to peers.
	departureRetention = 10 * time.Second
	// unreachableFor is how long a box that didn't answer this one counts as
	// unreachable although others hear from it: a request that calls a dead owner loses
	// some tenths of a second.
	unreachableFor = 3 * time.Second
	// maxSumAge is the age of the load sums from which any hub is asked for them: the
	// primary hub has missed two calls or doesn't have them yet.
	maxSumAge = 600 * time.Millisecond
)

// hubState is the progress of synchronizing the fleet and other changes with a hub.
type hubState struct {
	incarnation int
	received    int       // the hub's last fleet change received
	whole       bool      // all changes up to received are known
	since       time.Time // unless whole, this hub has sent only changes since then
	sending     int       // this box's last fleet change in the call under way
	sent        int       // this box's last fleet change that the hub has acknowledged
	speedsSent  time.Time // when engine speeds were last sent
	ends        cursor
	limits      cursor
	rejections  cursor // of rejection limits
	countsSent  func() // acknowledges the counts of roll-outs in the call under way; nil if there are none
}

// ReportFor implements gossip.Handler.
func (e *Edge) ReportFor(hub members.Box) wire.Gossip {
	now := time.Now()
	version := 0
	if table, _, _ := e.routes.Current(now); table != nil {
		version = table.Version()
	}
	whole := e.wantsFleet(now, hub)
	state := e.hubState(now, hub.Name, whole)
	departing, last := e.departures(now, state.sent)
	e.recordSending(hub.Name, last)
	g := wire.Gossip{
		Sender: e.record, To: hub.Name, FleetName: e.config.Edge.Fleet, Leaving: e.draining.Load(), Wants: e.wantedScope(now, hub), Version: version,
		Departing: departing, Unpacks: true, WholeFleet: whole, FleetOf: state.incarnation, FleetAfter: state.received,
	}
	g.Unlisted = e.unlisted.Load() && e.members.PrimaryHub(now).Name == hub.Name
	if age, known := e.fleet.Age(now); known {
		g.FleetKnownMs = int(age.Milliseconds()) + 1
	}
	e.sendEnds(now, hub.Name, &g)
	e.sendLimits(now, hub.Name, &g)
	e.sendLoads(now, hub, &g)
	e.rollouts.sendCounts(now, hub, &g)
	return g
}

// sendLoads adds this box's load report; a hub includes the reports of its boxes. In a
// large fleet a box reports to its primary hub only, so that each box is counted once:
// all hubs have its load after two calls, 0.25 s on average.
func (e *Edge) sendLoads(now time.Time, hub members.Box, g *wire.Gossip) {
	switch {
	case e.IsHub():
		r, coverage := e.aggregatedReport(now, e.speedsDue(now, hub.Name))
		r.fillGossip(g)
		g.Covers, g.CoversNear = coverage.Boxes, coverage.Recent
		return
	case e.members.LargeFleetCounts(now) == nil:
	case e.members.PrimaryHub(now).Name != hub.Name:
		return
	default:
		g.Counts = true
	}
	e.ownReport(now, e.speedsDue(now, hub.Name)).fillGossip(g)
}

// wantsFleet reports whether a hub should send the full fleet to a box that has no
// cursor there. The primary hub should, and any other while the primary is unreachable.
// Hubs get it from each other; in a large fleet only from those that read the store.
func (e *Edge) wantsFleet(now time.Time, hub members.Box) bool {
	primary := e.members.PrimaryHub(now).Name
	switch {
	case e.IsHub() && e.members.LargeFleetCounts(now) != nil:
		return !e.IsReader() && e.members.IsReaderBox(now, hub.Name)
	case e.IsHub(), primary == hub.Name:
		return true
	}
	return !e.LastHubAnswer().IsZero() && !e.isReachable(primary)
}

// hubState returns the synchronization state of a hub. A hub that should send the full
// fleet, but has sent only changes since its first answer, is asked for all of it: the
// earlier changes may be unknown to every other box if the primary hub died before it
// had them.
func (e *Edge) hubState(now time.Time, hub string, whole bool) hubState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.updateComplete(now, e.hubStates[hub])
	if whole && !state.whole {
		state.received = 0
	}
	e.hubStates[hub] = state
	return state
}

// updateComplete marks a hub's fleet as complete once newer data from other hubs covers
// what the hub knew at its first answer.
func (e *Edge) updateComplete(now time.Time, state hubState) hubState {
	age, known := e.fleet.Age(now)
	if !state.since.IsZero() && known && !now.Add(-age).Before(state.since) {
		state.whole = true
	}
	return state
}

// recordSending records the last fleet change in the call to a hub.
func (e *Edge) recordSending(hub string, change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.hubStates[hub]
	state.sending = change
	e.hubStates[hub] = state
}

// wantedScope returns the loads to request from a hub. The sums of all boxes are
// requested from the primary hub only, unless they are outdated: they make up most of
// an answer, and a box of a fleet with six halls calls six hubs.
func (e *Edge) wantedScope(now time.Time, hub members.Box) wire.GossipScope {
	switch {
	case e.IsHub():
		return wire.GossipScopeOwn
	case e.members.PrimaryHub(now).Name == hub.Name, e.loads.SumAge(now) > maxSumAge:
		return wire.GossipScopeAll
	}
	return wire.GossipScopeNone
}

// HandleAnswer implements gossip.Handler.
func (e *Edge) HandleAnswer(a wire.GossipAnswer, sent time.Time) {
	now := time.Now()
	e.recordBox(now, a.Sender, a.Leaving)
	e.recordAnswer(now, a.Sender)
	for _, r := range a.Hubs {
		e.addHub(now, r)
	}
	if slices.ContainsFunc(a.Hubs, e.isSelf) {
		e.members.MarkNamedAsHub(now)
	}
	e.receiveFleetSize(now, a, sent)
	e.registrar.receiveEra(a.Era)
	for _, w := range a.Halls { // before the configuration that contains the halls
		e.halls.Update(now, halls.Status{Hall: w.Hall, Evacuated: w.Evacuated, Version: revision.Revision(w.Version)}, a.Sender.Box)
	}
	e.rollouts.receiveOrders(now, a, sent) // likewise
	e.fetcher.Announce(configfetch.Announcement{
		Box: a.Sender.Box, Address: a.Sender.Address, Version: a.Version, Confirmed: sent.Add(-config.Millis(a.VersionAgeMs)), Answered: true,
	})
	table, _, _ := e.routes.Current(now)
	if table != nil && table.Version() == a.Version {
		e.routes.Confirm(sent.Add(-config.Millis(a.VersionAgeMs)))
	}
	e.receiveEnds(a, sent)
	e.receiveLimits(now, a)
	e.receiveFleet(now, a, sent) // before the reports, which refer to incarnations
	switch a.Tells {
	case wire.GossipScopeOwn:
		e.receiveReport(now, a.Sender.Box, answerReport(a), false, peerstate.Coverage{Boxes: a.Covers, Recent: a.CoversNear})
	case wire.GossipScopeAll:
		e.receiveSums(now, answerReport(a))
	}
	e.recordStoreAnswer(sent.Add(-config.Millis(a.StoreSilentMs)))
	e.receiveContact(now, a, sent)
}

// receiveFleetSize records the number of boxes and when a hub last heard from the other
// hubs, which this box may not call itself.
func (e *Edge) receiveFleetSize(now time.Time, a wire.GossipAnswer, sent time.Time) {
	for _, h := range a.Crowd {
		e.members.UpdateHallCount(now, h.Hall, h.Boxes)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.markHubsSeen(a, sent)
	for _, h := range a.Heard {
		at := sent.Add(-config.Millis(h.AgoMs))
		if h.Box != e.config.Box && now.Sub(e.unanswered[h.Box]) > unreachableFor && at.After(e.lastSeen[h.Box]) {
			e.lastSeen[h.Box] = at
		}
	}
}

// recordAnswer marks what was sent to a hub as received. A hub that has restarted since
// has lost it.
func (e *Edge) recordAnswer(now time.Time, hub wire.BoxRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hubLastSeen = now
	state := e.hubStates[hub.Box]
	if state.incarnation == hub.Incarnation {
		if state.countsSent != nil {
			state.countsSent()
			state.countsSent = nil
		}
		state.sent, state.ends.sent, state.limits.sent = state.sending, state.ends.sending, state.limits.sending
		state.rejections.sent = state.rejections.sending
	} else {
		state = hubState{incarnation: hub.Incarnation}
	}
	e.hubStates[hub.Box] = state
}

// receiveFleet applies a hub's fleet changes. If its data is old because the hubs have
// lost the store, only departures count.
func (e *Edge) receiveFleet(now time.Time, a wire.GossipAnswer, sent time.Time) {
	if a.FleetLater {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.fleetDeferredAt = now
		return
	}
	age := config.Millis(a.FleetAgeMs)
	outdated := age > maxFleetAge
	if a.Fleet != "" {
		list, err := snapshot.Unpack(a.Fleet)
		if err != nil {
			e.log.WithError(err).WithField("peer", a.Sender.Box).Warn("fleet_not_taken")
			return
		}
		a.Upstreams = list
	}
	for _, u := range a.Upstreams {
		if outdated && fleet.State(u.State) != fleet.Leaving {
			continue
		}
		e.fleet.UpdateFromPeer(now, fleet.Upstream{
			ID: u.ID, Service: u.Service, Address: u.Address, Hall: u.Hall, Slots: u.Slots, ColdUntil: coldUntil(now, u.ColdMs),
			State: fleet.State(u.State), Version: revision.Revision(u.Version), Announced: u.Said, StartedAt: int64(u.Born),
			Release: u.Release,
		})
	}
	if outdated && !a.FleetFromNow {
		return
	}
	e.mu.Lock()
	state := e.updateComplete(now, e.hubStates[a.Sender.Box])
	state.whole = state.whole || state.received == 0 && !a.FleetFromNow
	state.received = a.FleetAt
	if a.FleetFromNow && !state.whole {
		state.since = now
	}
	e.hubStates[a.Sender.Box] = state
	e.mu.Unlock()
	if state.whole {
		e.confirmFleet(sent.Add(-age))
	}
}

// coldUntil returns the end of a cold period that lasts ms more milliseconds.
func coldUntil(now time.Time, ms int) time.Time {
	if ms <= 0 {
		return time.Time{}
	}
	return now.Add(config.Millis(ms))
}

func (e *Edge) receiveDepartures(now time.Time, list []wire.UpstreamDeparture) {
	for _, d := range list {
		e.fleet.ApplyDeparture(now, fleet.Departure{ID: d.Upstream, Version: revision.Revision(d.Version), Announced: d.Said, StartedAt: int64(d.Born)}, "peer")
	}
}

// departures returns the upstreams that are known to leave since a change of this box's
// fleet, and the last change.
func (e *Edge) departures(now time.Time, after int) (list []wire.UpstreamDeparture, last int) {
	departures, last := e.fleet.Departing(now, departureRetention, after)
	for _, d := range departures {
		list = append(list, wire.UpstreamDeparture{Upstream: d.ID, Version: int(d.Version), Said: d.Announced, Born: int(d.StartedAt)})
	}
	return list, last
}

func (e *Edge) recordBox(now time.Time, r wire.BoxRecord, leaving bool) {
	state := members.Live
	if leaving {
		state = members.Leaving
	}
	e.members.MarkSeen(now, members.Box{
		Name: r.Box, Hall: r.Hall, Address: r.Address, Incarnation: r.Incarnation, State: state, HubEligible: r.Strong,
	})
	e.mu.Lock()
	e.lastSeen[r.Box] = now
	e.markRegionSeen(r.Hall, now)
	e.mu.Unlock()
}

// addHub records a hub reported by another box.
func (e *Edge) addHub(now time.Time, r wire.BoxRecord) {
	if r.Box != e.config.Box {
		e.members.Introduce(now, members.Box{
			Name: r.Box, Hall: r.Hall, Address: r.Address, Incarnation: r.Incarnation, State: members.Live, HubEligible: r.Strong,
		})
	}
}

// configurationInForce implements configfetch.Configuration.
type configurationInForce struct{ *Edge }

// Version implements configfetch.Configuration.
func (c configurationInForce) Version() int {
	table, _, _ := c.routes.Current(time.Now())
	if table == nil {
		return 0
	}
	return table.Version()
}

// Size implements configfetch.Configuration.
func (c configurationInForce) Size() int { return len(c.configuration.Encoded()) }

// Apply implements configfetch.Configuration.
func (c configurationInForce) Apply(encoded []byte, source string) error {
	return c.configuration.ApplyEncoded(encoded, source)
}

// Confirm implements configfetch.Configuration.
func (c configurationInForce) Confirm(at time.Time) { c.routes.Confirm(at) }
