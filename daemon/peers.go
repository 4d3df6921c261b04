package daemon

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"time"

	"petrelstep/heartbeat"
	"petrelstep/members"
	"petrelstep/peer"
	"petrelstep/poll"
	"petrelstep/quota"
	"petrelstep/wire"
)

const (
	// freshFor is the age up to which a load report is passed on to peers.
	freshFor = 1500 * time.Millisecond
	callTime = 2 * time.Second
	// polledSilence and toldSilence are the silences of an engine that make it
	// suspect: one that is polled here is heard every half second; of others a
	// box is told after two heartbeats across halls, one of which may be lost.
	polledSilence = 3 * time.Second
	toldSilence   = 5 * heartbeat.AcrossPeriod
)

// Beat makes the heartbeat for a peer.
func (d *Daemon) Beat(to members.Box) wire.Heartbeat {
	now := time.Now()
	self := d.members.Self()
	beat := wire.Heartbeat{
		Box: self.Name, Hall: self.Hall, Address: self.Address, Incarnation: self.Incarnation,
		Revision: d.resources.View().Revision, Leaving: d.draining.Load(),
	}
	for name, incarnation := range d.health.LeavingIncarnations() {
		beat.GoneUpstreams = append(beat.GoneUpstreams, name+"@"+strconv.Itoa(incarnation))
	}
	sort.Strings(beat.GoneUpstreams)
	digest := d.across
	if to.Hall == self.Hall {
		digest = d.within
	}
	beat.Loads, beat.Demand = digest.Make(now, d.ownLoads(now), d.ownDemand(now))
	return beat
}

func (d *Daemon) ownLoads(now time.Time) []wire.EngineLoad {
	var loads []wire.EngineLoad
	for _, e := range d.ownEngines() {
		if l, ok := d.loads.Fresh(now, e.Name, freshFor); ok {
			loads = append(loads, l)
		}
	}
	return loads
}

// ownDemand returns the demand for what is limited: the rest concerns nobody.
func (d *Daemon) ownDemand(now time.Time) []wire.Demand {
	view := d.resources.View()
	var demand []wire.Demand
	for name, use := range d.quota.Uses(now) {
		if o := view.Organisations[name]; o.RequestsPerSecond > 0 || o.TokensInFlight > 0 {
			demand = append(demand, wire.Demand{Organisation: name, Rate: use.Rate, Tokens: use.Tokens})
		}
	}
	sort.Slice(demand, func(i, j int) bool { return demand[i].Organisation < demand[j].Organisation })
	return demand
}

// Heartbeat takes a peer's.
func (d *Daemon) Heartbeat(from wire.Heartbeat) wire.HeartbeatAnswer {
	now := time.Now()
	d.members.MarkSeen(now, boxOf(from))
	uses := map[string]quota.Use{}
	for _, u := range from.Demand {
		uses[u.Organisation] = quota.Use{Rate: u.Rate, Tokens: u.Tokens}
	}
	d.quota.Update(now, from.Box, uses)
	for _, l := range from.Loads {
		d.heardOf(l, toldSilence)
	}
	for _, gone := range from.GoneUpstreams {
		name, incarnation, _ := strings.Cut(gone, "@")
		if n, err := strconv.Atoi(incarnation); err == nil && n > 0 {
			d.health.MarkLeaving(name, n)
		}
	}
	d.newer(from.Revision, from.Address)
	self := d.members.Self()
	return wire.HeartbeatAnswer{Incarnation: self.Incarnation, Revision: d.resources.View().Revision, Leaving: d.draining.Load()}
}

func boxOf(h wire.Heartbeat) members.Box {
	b := members.Box{Name: h.Box, Hall: h.Hall, Address: h.Address, Incarnation: h.Incarnation, Revision: h.Revision, State: members.Live}
	if h.Leaving {
		b.State = members.Leaving
	}
	return b
}

// Answered takes the answer to a heartbeat.
func (d *Daemon) Answered(_ context.Context, b members.Box, a wire.HeartbeatAnswer) {
	b.Incarnation, b.Revision, b.State = a.Incarnation, a.Revision, members.Live
	if a.Leaving {
		b.State = members.Leaving
	}
	d.members.MarkSeen(time.Now(), b)
	d.newer(a.Revision, b.Address)
}

// newer fetches what changed from a peer that has a newer configuration.
func (d *Daemon) newer(revision int, address string) {
	for {
		heard := d.heard.Load()
		if int64(revision) <= heard || d.heard.CompareAndSwap(heard, int64(revision)) {
			break
		}
	}
	if revision <= d.resources.View().Revision {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTime)
		defer cancel()
		var set wire.ChangeSet
		err := d.peers.Call(ctx, address, peer.Changes, wire.ChangesAsk{Since: d.resources.View().Revision}, &set)
		if err == nil {
			d.resources.Apply(set)
		}
	}()
}

// Changes answers what changed since a revision.
func (d *Daemon) Changes(since int) wire.ChangeSet { return d.resources.Since(since) }

// Tell takes changes from the box that accepted them.
func (d *Daemon) Tell(set wire.ChangeSet) {
	if !d.resources.Apply(set) {
		// A change before it is missing: the table has it.
		go d.readTable(context.Background())
	}
	if set.Relay {
		go d.spread.Relay(context.Background(), set)
	}
}

// TakenUp learns that another box goes on with a generation.
func (d *Daemon) TakenUp(attempt string) { d.flights.ResumedElsewhere(attempt) }

// tellTaken tells the box that dispatched a generation that this one goes on
// with it, so that it is not cancelled there. Until it is told, the caller's
// stream waits: after that no cancel can cross with it.
func (d *Daemon) tellTaken(box, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	for _, b := range d.members.Peers(time.Now()) {
		if b.Name == box && b.State != members.Suspect {
			var done wire.Nothing
			// A box that cannot be told is dead, or cut off and may still cancel:
			// docs/PROOFS.md lists that as not proved.
			_ = d.peers.Call(ctx, b.Address, peer.TakenUp, wire.TakenUp{Attempt: attempt}, &done)
		}
	}
}

// ownEngines returns the engines that this box is home of, as it last looked.
func (d *Daemon) ownEngines() []poll.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own
}

// lookForEngines works out anew which engines this box is home of.
func (d *Daemon) lookForEngines() []poll.Engine {
	own := d.homeEngines()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own = own
	return own
}

func (d *Daemon) homeEngines() []poll.Engine {
	view := d.resources.View()
	var own []poll.Engine
	for _, c := range d.cellsNow().All() {
		if !d.homes.IsHome(c.ID) {
			continue
		}
		for _, name := range c.Engines {
			own = append(own, poll.Engine{Name: name, Address: view.Upstreams[name].Address})
		}
	}
	return own
}

// HandleLoad takes a load report that was polled here.
func (d *Daemon) HandleLoad(load wire.EngineLoad) { d.heardOf(load, polledSilence) }

// heardOf takes a load report, polled or told.
func (d *Daemon) heardOf(load wire.EngineLoad, silence time.Duration) {
	now := time.Now()
	if !d.loads.Report(now, load) {
		return
	}
	d.health.MarkSeen(now, load.Engine, load.Incarnation, time.Duration(load.StepUs)*time.Microsecond, silence)
	switch {
	case load.Leaving:
		d.health.MarkLeaving(load.Engine, load.Incarnation)
	case !d.resources.View().Upstreams[load.Engine].Leaving:
		d.health.ClearLeaving(load.Engine)
	}
	d.grants.Report(now, d.cellsNow().Of(load.Engine), load)
}

// HandleCacheEvent takes a cache event.
func (d *Daemon) HandleCacheEvent(engine string, seq int, stored bool, block uint64) {
	d.grants.RecordCacheEvent(d.cellsNow().Of(engine), engine, seq, stored, block)
}

// Runs tells whether a box still runs as the incarnation that owns a row of
// the ledger. One that is only silent may still run.
func (d *Daemon) Runs(box string, incarnation int) bool {
	for _, b := range d.members.All(time.Now()) {
		if b.Name == box {
			return b.Incarnation == incarnation || b.Incarnation == 0
		}
	}
	return false
}
