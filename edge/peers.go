package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/config"
	"petrelstep/fleet"
	"petrelstep/halls"
	"petrelstep/members"
	"petrelstep/peer"
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
	// sumOld is the age of all boxes' loads from which any hub is asked for them: the
	// nearest has missed two calls, or has them not yet.
	sumOld = 600 * time.Millisecond
)

// mark is how far a hub's fleet is known here, and this box's there.
type mark struct {
	incarnation int
	change      int
	whole       bool      // all before the change is known too
	telling     int       // last change of this box's fleet in the call under way
	told        int       // and in the last one that was answered
	speeds      time.Time // when it was last told how fast engines are
}

// Say implements gossip.Box.
func (e *Edge) Say(hub members.Box) wire.Gossip {
	now := time.Now()
	version := 0
	if table, _, _ := e.belief.Now(now); table != nil {
		version = table.Version()
	}
	m := e.mark(hub.Name)
	departing, last := e.departing(now, m.told)
	e.telling(hub.Name, last)
	speeds, due := e.tellSpeeds(now, hub.Name)
	return wire.Gossip{
		Speeds: speeds, WantsSpeeds: due,
		Sender: e.record, Leaving: e.draining.Load(), Wants: e.wants(now, hub), Version: version, Tallies: e.tally.Own(),
		Failures: e.reliability.Own(now), Departing: departing, WholeFleet: e.wantsFleet(now, hub), FleetOf: m.incarnation, FleetAfter: m.change,
	}
}

// wantsFleet tells whether a hub is to send the whole fleet to this box, which
// knows nothing by it yet: the nearest is, and any other while that is not heard.
// Hubs are told by each other.
func (e *Edge) wantsFleet(now time.Time, hub members.Box) bool {
	nearest := e.members.Nearest(now).Name
	if e.IsHub() || nearest == hub.Name {
		return true
	}
	return !e.HubHeard().IsZero() && !e.hears(nearest)
}

// mark returns how far a hub's fleet is known here, and this box's there.
func (e *Edge) mark(hub string) mark {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known[hub]
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
// one hub, the nearest, as long as that tells them: an answer has 2.8 KB with the
// loads of 65 engines and 0.1 KB without (BenchmarkMessages), and a box of a fleet
// of six halls asks six hubs.
func (e *Edge) wants(now time.Time, hub members.Box) wire.GossipScope {
	switch {
	case e.IsHub():
		return wire.GossipScopeOwn
	case e.members.Nearest(now).Name == hub.Name, e.tally.SumAge(now) > sumOld:
		return wire.GossipScopeAll
	}
	return wire.GossipScopeNone
}

// Hear implements gossip.Box.
func (e *Edge) Hear(a wire.GossipAnswer, sent time.Time) {
	now := time.Now()
	e.heardBox(now, a.Sender, a.Leaving)
	e.answered(now, a.Sender)
	for _, r := range a.Hubs {
		e.introduce(now, r)
	}
	for _, w := range a.Halls { // before the configuration, with which they are known
		e.halls.Take(now, halls.Word{Hall: w.Hall, Evacuated: w.Evacuated, Version: int64(w.Version)}, a.Sender.Box)
	}
	e.catchUp(now, a.Sender, a.Version)
	table, _, _ := e.belief.Now(now)
	if table != nil && table.Version() == a.Version {
		e.belief.Confirm(sent.Add(-config.Millis(a.VersionAgeMs)))
	}
	switch a.Tells {
	case wire.GossipScopeOwn:
		e.tally.Told(now, a.Sender.Box, a.Tallies)
		e.reliability.Told(now, a.Sender.Box, a.Failures)
		if len(a.Speeds) > 0 {
			e.speeds.Told(now, a.Sender.Box, a.Speeds)
		}
	case wire.GossipScopeAll:
		e.tally.ToldSum(now, a.Tallies)
		e.reliability.ToldSum(now, a.Failures)
		if len(a.Speeds) > 0 {
			e.speeds.ToldSum(now, a.Speeds)
		}
	}
	e.hearFleet(now, a, sent)
	e.storeAnswered(sent.Add(-config.Millis(a.StoreSilentMs)))
}

// answered notes that a hub has taken what it was told. One that has started
// anew since the last time knows nothing of what was told before.
func (e *Edge) answered(now time.Time, hub wire.BoxRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hubHeard = now
	m := e.known[hub.Box]
	if m.incarnation == hub.Incarnation {
		m.told = m.telling
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
	for _, u := range a.Upstreams {
		if old && fleet.State(u.State) != fleet.Leaving {
			continue
		}
		e.fleet.Told(now, fleet.Upstream{
			ID: u.ID, Service: u.Service, Address: u.Address, Hall: u.Hall, Slots: u.Slots, Cold: coldUntil(now, u.ColdMs),
			State: fleet.State(u.State), Version: int64(u.Version), Said: u.Said,
		})
	}
	if old && !a.FleetFromNow {
		return
	}
	e.mu.Lock()
	m := e.known[a.Sender.Box]
	m.whole = m.whole || m.change == 0 && !a.FleetFromNow
	m.change = a.FleetAt
	e.known[a.Sender.Box] = m
	e.mu.Unlock()
	if _, known := e.fleet.Age(now); known && !a.FleetFromNow || m.whole {
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
		e.fleet.Leaves(now, fleet.Departure{ID: d.Upstream, Version: int64(d.Version), Said: d.Said}, "peer")
	}
}

// departing returns what became known to leave after a change of this box's
// fleet, and the last change.
func (e *Edge) departing(now time.Time, after int) (list []wire.UpstreamDeparture, last int) {
	departures, last := e.fleet.Departing(now, departingFor, after)
	for _, d := range departures {
		list = append(list, wire.UpstreamDeparture{Upstream: d.ID, Version: int(d.Version), Said: d.Said})
	}
	return list, last
}

func (e *Edge) heardBox(now time.Time, r wire.BoxRecord, leaving bool) {
	state := members.Live
	if leaving {
		state = members.Leaving
	}
	e.members.Heard(now, members.Box{
		Name: r.Box, Hall: r.Hall, Address: r.Address, Incarnation: r.Incarnation, State: state, Strong: r.Strong,
	})
	e.mu.Lock()
	e.heard[r.Box] = now
	e.mu.Unlock()
}

// introduce takes another box's word that there is a hub.
func (e *Edge) introduce(now time.Time, r wire.BoxRecord) {
	if r.Box != e.config.Box {
		e.members.Introduce(now, members.Box{
			Name: r.Box, Hall: r.Hall, Address: r.Address, Incarnation: r.Incarnation, State: members.Live, Strong: r.Strong,
		})
	}
}

// catchUp asks a hub for a configuration that is newer than this box's, one hub
// at a time: all hubs tell of it within the same moment.
func (e *Edge) catchUp(now time.Time, hub wire.BoxRecord, version int) {
	table, _, _ := e.belief.Now(now)
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
		}
	}()
}
