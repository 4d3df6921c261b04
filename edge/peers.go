package edge

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/config"
	"petrelstep/fleet"
	"petrelstep/halls"
	"petrelstep/members"
	"petrelstep/peer"
	"petrelstep/peerstate"
	"petrelstep/snapshot"
	"petrelstep/wire"
)

const (
	// catchTime bounds the call for a configuration of some 100 KB.
	catchTime = time.Second
	// oldFleet is the age from which a hub's knowledge of the upstreams is not
	// taken: two of its calls to the store, and some.
	oldFleet = 3500 * time.Millisecond
	// departingFor is how long an upstream that leaves is news to peers.
	departingFor = 10 * time.Second
	// cutFor is how long a box that did not answer this one is taken for unheard though
	// others hear it: a request that asks a keeper in vain loses some tenths of a second.
	cutFor = 3 * time.Second
	// sumOld is the age of all boxes' loads from which any hub is asked for them: the
	// nearest has missed two calls, or has them not yet.
	sumOld = 600 * time.Millisecond
)

// mark is how far a hub's fleet is known here, and this box's there.
type mark struct {
	incarnation int
	change      int
	whole       bool      // all before the change is known too
	from        time.Time // only what came later is told by this hub, unless it is whole
	telling     int       // last change of this box's fleet in the call under way
	told        int       // and in the last one that was answered
	speeds      time.Time // when it was last told how fast engines are
	ends        newsMark
	limits      newsMark
}

// ReportFor implements gossip.Box.
func (e *Edge) ReportFor(hub members.Box) wire.Gossip {
	now := time.Now()
	version := 0
	if table, _, _ := e.belief.Current(now); table != nil {
		version = table.Version()
	}
	whole := e.wantsFleet(now, hub)
	m := e.mark(now, hub.Name, whole)
	departing, last := e.departing(now, m.told)
	e.telling(hub.Name, last)
	g := wire.Gossip{
		Sender: e.record, Leaving: e.draining.Load(), Wants: e.wants(now, hub), Version: version,
		Departing: departing, Unpacks: true, WholeFleet: whole, FleetOf: m.incarnation, FleetAfter: m.change,
	}
	g.Unlisted = e.unlisted.Load() && e.members.PrimaryHub(now).Name == hub.Name
	if age, known := e.fleet.Age(now); known {
		g.FleetKnownMs = int(age.Milliseconds()) + 1
	}
	e.sayEnds(now, hub.Name, &g)
	e.sayLimits(now, hub.Name, &g)
	e.sayLoads(now, hub, &g)
	return g
}

// sayLoads tells a hub what runs here; a hub tells the others of its boxes too. In a
// crowd a box tells its nearest hub alone, so that each box is counted once: its work
// is known to all hubs after two calls, a quarter of a second in the mean.
func (e *Edge) sayLoads(now time.Time, hub members.Box, g *wire.Gossip) {
	switch {
	case e.IsHub():
		w, covers := e.partWords(now, e.speedsDue(now, hub.Name))
		w.say(g)
		g.Covers, g.CoversNear = covers.Boxes, covers.Recent
		return
	case e.members.LargeFleetCounts(now) == nil:
	case e.members.PrimaryHub(now).Name != hub.Name:
		return
	default:
		g.Counts = true
	}
	e.ownWords(now, e.speedsDue(now, hub.Name)).say(g)
}

// wantsFleet tells whether a hub is to send the whole fleet to this box, which
// knows nothing by it yet: the nearest is, and any other while that is not heard.
// Hubs are told by each other; the many of a crowd by those that read the store.
func (e *Edge) wantsFleet(now time.Time, hub members.Box) bool {
	nearest := e.members.PrimaryHub(now).Name
	switch {
	case e.IsHub() && e.members.LargeFleetCounts(now) != nil:
		return !e.IsReader() && e.members.IsReaderBox(now, hub.Name)
	case e.IsHub(), nearest == hub.Name:
		return true
	}
	return !e.LastHubAnswer().IsZero() && !e.hears(nearest)
}

// mark returns how far a hub's fleet is known here, and this box's there. A hub
// that is to tell the whole fleet, and has told only what came after its first
// answer, is asked anew: what it had learned by then may never be told by another,
// as the nearest hub may have died before it knew.
func (e *Edge) mark(now time.Time, hub string, whole bool) mark {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.completed(now, e.known[hub])
	if whole && !m.whole {
		m.change = 0
	}
	e.known[hub] = m
	return m
}

// completed notes that all is known that a hub knew at its first answer: others
// have told since what the store held then.
func (e *Edge) completed(now time.Time, m mark) mark {
	age, known := e.fleet.Age(now)
	if !m.from.IsZero() && known && !now.Add(-age).Before(m.from) {
		m.whole = true
	}
	return m
}

// telling notes up to which change a hub is being told of this box's fleet.
func (e *Edge) telling(hub string, change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.known[hub]
	m.telling = change
	e.known[hub] = m
}

// wants returns what a hub is to tell of boxes' loads. All boxes' loads come from
// one hub, the nearest, as long as that tells them: they are most of an answer, and a box
// of a fleet of six halls asks six hubs.
func (e *Edge) wants(now time.Time, hub members.Box) wire.GossipScope {
	switch {
	case e.IsHub():
		return wire.GossipScopeOwn
	case e.members.PrimaryHub(now).Name == hub.Name, e.tally.SumAge(now) > sumOld:
		return wire.GossipScopeAll
	}
	return wire.GossipScopeNone
}

// HandleAnswer implements gossip.Box.
func (e *Edge) HandleAnswer(a wire.GossipAnswer, sent time.Time) {
	now := time.Now()
	e.heardBox(now, a.Sender, a.Leaving)
	e.answered(now, a.Sender)
	for _, r := range a.Hubs {
		e.introduce(now, r)
	}
	if slices.ContainsFunc(a.Hubs, e.isOwn) {
		e.members.MarkNamedAsHub(now)
	}
	e.hearCrowd(now, a, sent)
	for _, w := range a.Halls { // before the configuration, with which they are known
		e.halls.Update(now, halls.Status{Hall: w.Hall, Evacuated: w.Evacuated, Version: int64(w.Version)}, a.Sender.Box)
	}
	e.catchUp(now, a, sent)
	table, _, _ := e.belief.Current(now)
	if table != nil && table.Version() == a.Version {
		e.belief.Confirm(sent.Add(-config.Millis(a.VersionAgeMs)))
	}
	e.hearEnds(a, sent)
	e.hearLimits(now, a)
	e.hearFleet(now, a, sent) // which incarnations there are, before what is told of them
	switch a.Tells {
	case wire.GossipScopeOwn:
		e.hearWords(now, a.Sender.Box, wordsOfAnswer(a), false, peerstate.Coverage{Boxes: a.Covers, Recent: a.CoversNear})
	case wire.GossipScopeAll:
		e.hearSums(now, wordsOfAnswer(a))
	}
	e.storeAnswered(sent.Add(-config.Millis(a.StoreSilentMs)))
}

// hearCrowd takes a hub's word of how many boxes there are, and when it heard the
// other hubs: this box may not call them itself.
func (e *Edge) hearCrowd(now time.Time, a wire.GossipAnswer, sent time.Time) {
	for _, h := range a.Crowd {
		e.members.UpdateHallCount(now, h.Hall, h.Boxes)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range a.Heard {
		at := sent.Add(-config.Millis(h.AgoMs))
		if h.Box != e.config.Box && now.Sub(e.cut[h.Box]) > cutFor && at.After(e.heard[h.Box]) {
			e.heard[h.Box] = at
		}
	}
}

// answered notes that a hub has taken what it was told. One that has started
// anew since the last time knows nothing of what was told before.
func (e *Edge) answered(now time.Time, hub wire.BoxRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hubHeard = now
	m := e.known[hub.Box]
	if m.incarnation == hub.Incarnation {
		m.told, m.ends.told, m.limits.told = m.telling, m.ends.telling, m.limits.telling
	} else {
		m = mark{incarnation: hub.Incarnation}
	}
	e.known[hub.Box] = m
}

// hearFleet takes a hub's knowledge of the upstreams. Where that is old, as the
// hubs have lost the store, only the news counts that an upstream leaves.
func (e *Edge) hearFleet(now time.Time, a wire.GossipAnswer, sent time.Time) {
	if a.FleetLater {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.promised = now
		return
	}
	age := config.Millis(a.FleetAgeMs)
	old := age > oldFleet
	if a.Fleet != "" {
		list, err := snapshot.Unpack(a.Fleet)
		if err != nil {
			e.log.WithError(err).WithField("peer", a.Sender.Box).Warn("fleet_not_taken")
			return
		}
		a.Upstreams = list
	}
	for _, u := range a.Upstreams {
		if old && fleet.State(u.State) != fleet.Leaving {
			continue
		}
		e.fleet.UpdateFromPeer(now, fleet.Upstream{
			ID: u.ID, Service: u.Service, Address: u.Address, Hall: u.Hall, Slots: u.Slots, ColdUntil: coldUntil(now, u.ColdMs),
			State: fleet.State(u.State), Version: int64(u.Version), Announced: u.Said, StartedAt: int64(u.Born),
		})
	}
	if old && !a.FleetFromNow {
		return
	}
	e.mu.Lock()
	m := e.completed(now, e.known[a.Sender.Box])
	m.whole = m.whole || m.change == 0 && !a.FleetFromNow
	m.change = a.FleetAt
	if a.FleetFromNow && !m.whole {
		m.from = now
	}
	e.known[a.Sender.Box] = m
	e.mu.Unlock()
	if m.whole {
		e.fleet.Confirm(sent.Add(-age))
	}
}

// coldUntil returns until when an upstream is cold that is so for some ms more.
func coldUntil(now time.Time, ms int) time.Time {
	if ms <= 0 {
		return time.Time{}
	}
	return now.Add(config.Millis(ms))
}

func (e *Edge) hearDeparting(now time.Time, list []wire.UpstreamDeparture) {
	for _, d := range list {
		e.fleet.ApplyDeparture(now, fleet.Departure{ID: d.Upstream, Version: int64(d.Version), Announced: d.Said, StartedAt: int64(d.Born)}, "peer")
	}
}

// departing returns what became known to leave after a change of this box's
// fleet, and the last change.
func (e *Edge) departing(now time.Time, after int) (list []wire.UpstreamDeparture, last int) {
	departures, last := e.fleet.Departing(now, departingFor, after)
	for _, d := range departures {
		list = append(list, wire.UpstreamDeparture{Upstream: d.ID, Version: int(d.Version), Said: d.Announced, Born: int(d.StartedAt)})
	}
	return list, last
}

func (e *Edge) heardBox(now time.Time, r wire.BoxRecord, leaving bool) {
	state := members.Live
	if leaving {
		state = members.Leaving
	}
	e.members.MarkSeen(now, members.Box{
		Name: r.Box, Hall: r.Hall, Address: r.Address, Incarnation: r.Incarnation, State: state, HubEligible: r.Strong,
	})
	e.mu.Lock()
	e.heard[r.Box] = now
	e.mu.Unlock()
}

// introduce takes another box's word that there is a hub.
func (e *Edge) introduce(now time.Time, r wire.BoxRecord) {
	if r.Box != e.config.Box {
		e.members.Introduce(now, members.Box{
			Name: r.Box, Hall: r.Hall, Address: r.Address, Incarnation: r.Incarnation, State: members.Live, HubEligible: r.Strong,
		})
	}
}

// catchUp asks a hub for a configuration that is newer than this box's, one hub
// at a time: all hubs tell of it within the same moment. What the hub said of its age
// holds for what it then gives: a box that has just started would else take it for
// stale until the next answer, and read the store.
func (e *Edge) catchUp(now time.Time, a wire.GossipAnswer, sent time.Time) {
	hub, version := a.Sender, a.Version
	table, _, _ := e.belief.Current(now)
	if table != nil && table.Version() >= version || version == 0 || !e.catching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.catching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), catchTime)
		defer cancel()
		var answer wire.Configuration
		err := e.peers.Repeat(ctx, hub.Address, peer.Configuration, wire.Nothing{}, &answer)
		if err == nil && answer.Version > 0 {
			err = e.configuration.Take([]byte(answer.Encoded), hub.Box)
		}
		if err != nil {
			e.log.WithError(err).WithFields(logrus.Fields{"peer": hub.Box, "version": version}).Warn("configuration_not_taken")
			return
		}
		if answer.Version >= version {
			e.belief.Confirm(sent.Add(-config.Millis(a.VersionAgeMs)))
		}
	}()
}
