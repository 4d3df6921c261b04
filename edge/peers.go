package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/config"
	"petrelstep/fleet"
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
	// departingFor is how long peers are told of an upstream that leaves.
	departingFor = 10 * time.Second
	// neverAge is told where there is no knowledge: older than all that counts.
	neverAge = time.Hour
)

// mark is how far a hub's fleet is known here.
type mark struct {
	incarnation int
	change      int
}

// Say implements gossip.Box.
func (e *Edge) Say(hub members.Box) wire.Gossip {
	version := 0
	if table, _, _ := e.belief.Now(time.Now()); table != nil {
		version = table.Version()
	}
	e.mu.Lock()
	m := e.known[hub.Name]
	e.mu.Unlock()
	return wire.Gossip{
		Sender: e.record, Leaving: e.draining.Load(), Hub: e.IsHub(), Version: version, Tallies: e.tally.Own(),
		Failures:  e.reliability.Own(time.Now()),
		Departing: e.departing(time.Now()), FleetOf: m.incarnation, FleetAfter: m.change,
	}
}

// Hear implements gossip.Box.
func (e *Edge) Hear(a wire.GossipAnswer, sent time.Time) {
	now := time.Now()
	e.heardBox(now, a.Sender, a.Leaving)
	e.mu.Lock()
	e.hubHeard = now
	e.mu.Unlock()
	for _, r := range a.Hubs {
		e.introduce(now, r)
	}
	e.catchUp(now, a.Sender, a.Version)
	table, _, _ := e.belief.Now(now)
	if table != nil && table.Version() == a.Version {
		e.belief.Confirm(sent.Add(-config.Millis(a.VersionAgeMs)))
	}
	if e.IsHub() {
		e.tally.Told(now, a.Sender.Box, a.Tallies)
		e.reliability.Told(now, a.Sender.Box, a.Failures)
	} else {
		e.tally.ToldSum(now, a.Tallies)
		e.reliability.ToldSum(now, a.Failures)
	}
	e.hearFleet(now, a, sent)
}

// hearFleet takes a hub's knowledge of the upstreams, if it is not much older
// than what is known here.
func (e *Edge) hearFleet(now time.Time, a wire.GossipAnswer, sent time.Time) {
	e.hearDeparting(now, a.Departing)
	age := config.Millis(a.FleetAgeMs)
	if age > oldFleet {
		return
	}
	for _, u := range a.Upstreams {
		e.fleet.Told(now, fleet.Upstream{
			ID: u.ID, Service: u.Service, Address: u.Address, Hall: u.Hall, Slots: u.Slots, Slow: config.Millis(u.SlowMs),
			State: fleet.State(u.State), Version: int64(u.Version), Said: u.Said,
		})
	}
	e.fleet.Confirm(sent.Add(-age))
	e.mu.Lock()
	e.known[a.Sender.Box] = mark{a.Sender.Incarnation, a.FleetAt}
	e.mu.Unlock()
}

func (e *Edge) hearDeparting(now time.Time, list []wire.UpstreamDeparture) {
	for _, d := range list {
		e.fleet.Leaves(now, fleet.Departure{ID: d.Upstream, Version: int64(d.Version), Said: d.Said}, "peer")
	}
}

func (e *Edge) departing(now time.Time) []wire.UpstreamDeparture {
	var list []wire.UpstreamDeparture
	for _, d := range e.fleet.Departing(now, departingFor) {
		list = append(list, wire.UpstreamDeparture{Upstream: d.ID, Version: int(d.Version), Said: d.Said})
	}
	return list
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

// Heard implements edgepoint.Box: it answers as a hub does, as the asker holds
// this box to be one.
func (e *Edge) Heard(from wire.Gossip) wire.GossipAnswer {
	now := time.Now()
	e.heardBox(now, from.Sender, from.Leaving)
	e.tally.Told(now, from.Sender.Box, from.Tallies)
	e.reliability.Told(now, from.Sender.Box, from.Failures)
	e.hearDeparting(now, from.Departing)
	a := wire.GossipAnswer{
		Sender: e.record, Leaving: e.draining.Load(), Departing: e.departing(now), Hubs: e.hubRecords(now),
	}
	if from.Hub {
		a.Tallies, a.Failures = e.tally.Own(), e.reliability.Own(now)
	} else {
		a.Tallies, a.Failures = e.tally.Without(now, from.Sender.Box), e.reliability.Without(now, from.Sender.Box)
	}
	e.answerConfiguration(now, &a)
	e.answerFleet(now, from, &a)
	return a
}

func (e *Edge) answerConfiguration(now time.Time, a *wire.GossipAnswer) {
	table, age, _ := e.belief.Now(now)
	if table == nil {
		return
	}
	a.Version, a.VersionAgeMs = table.Version(), int(age.Milliseconds())+1
}

// Configuration implements edgepoint.Box.
func (e *Edge) Configuration() wire.Configuration {
	table, _, _ := e.belief.Now(time.Now())
	if table == nil {
		return wire.Configuration{}
	}
	return wire.Configuration{Version: table.Version(), Encoded: string(e.configuration.Newest())}
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
		err := e.peers.Call(ctx, hub.Address, peer.Configuration, wire.Nothing{}, &answer)
		if err == nil && answer.Version > 0 {
			err = e.configuration.Take([]byte(answer.Encoded), hub.Box)
		}
		if err != nil {
			e.log.WithError(err).WithFields(logrus.Fields{"peer": hub.Box, "version": version}).Warn("configuration_not_taken")
		}
	}()
}

func (e *Edge) answerFleet(now time.Time, from wire.Gossip, a *wire.GossipAnswer) {
	age, known := e.fleet.Age(now)
	a.FleetAgeMs = int(age.Milliseconds()) + 1
	if !known {
		a.FleetAgeMs = int(neverAge.Milliseconds())
		return
	}
	after := from.FleetAfter
	if from.FleetOf != e.record.Incarnation {
		after = 0
	}
	changed, at := e.fleet.Since(after)
	a.FleetAt = at
	for _, u := range changed {
		a.Upstreams = append(a.Upstreams, wire.UpstreamRecord{
			ID: u.ID, Service: u.Service, Address: u.Address, Hall: u.Hall, Slots: u.Slots, SlowMs: int(u.Slow.Milliseconds()),
			State: string(u.State), Version: int(u.Version), Said: u.Said,
		})
	}
}

func (e *Edge) hubRecords(now time.Time) []wire.BoxRecord {
	var records []wire.BoxRecord
	for _, b := range e.members.Hubs(now) {
		records = append(records, wire.BoxRecord{
			Box: b.Name, Hall: b.Hall, Address: b.Address, Incarnation: b.Incarnation, Strong: b.Strong,
		})
	}
	return records
}
