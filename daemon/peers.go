package daemon

import (
	"context"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/digest"
	"petrelstep/heartbeat"
	"petrelstep/ledger"
	"petrelstep/members"
	"petrelstep/peer"
	"petrelstep/poll"
	"petrelstep/quota"
	"petrelstep/resource"
	"petrelstep/wire"
)

const (
	// maxLoadAge is the age up to which a load report is passed on to peers.
	maxLoadAge  = 1500 * time.Millisecond
	callTimeout = 2 * time.Second // bounds a call to a peer or to the member list
	// polledSilence and reportedSilence are how long an engine may be silent before it is
	// suspect. A home box polls its engines every half second; other boxes receive reports
	// by heartbeats between halls, of which one may be lost.
	polledSilence   = 3 * time.Second
	reportedSilence = 5 * heartbeat.AcrossPeriod
)

// Beat returns the heartbeat for a peer.
func (d *Daemon) Beat(to members.Box) wire.Heartbeat {
	now := time.Now()
	self, view := d.members.Self(), d.resources.View()
	beat := wire.Heartbeat{
		Box: self.Name, Hall: self.Hall, Address: self.Address, Incarnation: self.Incarnation,
		Era: view.Era, Revision: view.Revision, Leaving: d.draining.Load(),
	}
	for name, incarnation := range d.health.LeavingIncarnations() {
		beat.GoneUpstreams = append(beat.GoneUpstreams, name+"@"+strconv.Itoa(incarnation))
	}
	sort.Strings(beat.GoneUpstreams)
	beat.Unserved = d.unserved.List(now) // after the revision: never of an older one
	beat.Loads, beat.Demand = d.digestFor(to).Make(now, to.Name, d.ownLoads(now), d.ownDemand(now))
	return beat
}

// digestFor returns the digest for a peer, by the period of its heartbeats.
func (d *Daemon) digestFor(b members.Box) *digest.Digest {
	if b.Hall == d.config.Hall {
		return d.hallDigest
	}
	return d.crossHallDigest
}

func (d *Daemon) ownLoads(now time.Time) []wire.EngineLoad {
	var loads []wire.EngineLoad
	for _, e := range d.ownEngines() {
		if l, ok := d.loads.Fresh(now, e.Name, maxLoadAge); ok {
			loads = append(loads, l)
		}
	}
	return loads
}

// ownDemand returns the demand of the organisations that have a quota.
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

// Heartbeat handles a peer's heartbeat.
func (d *Daemon) Heartbeat(from wire.Heartbeat) wire.HeartbeatAnswer {
	now := time.Now()
	d.recordPeer(now, boxOf(from), from.Unserved)
	uses := map[string]quota.Use{}
	for _, u := range from.Demand {
		uses[u.Organisation] = quota.Use{Rate: u.Rate, Tokens: u.Tokens}
	}
	d.quota.Update(now, from.Box, uses)
	for _, l := range from.Loads {
		d.HandleLoad(l)
	}
	for _, leaving := range from.GoneUpstreams {
		name, incarnation, _ := strings.Cut(leaving, "@")
		if n, err := strconv.Atoi(incarnation); err == nil && n > 0 {
			d.health.MarkLeaving(name, n)
		}
	}
	d.fetchNewer(resource.Position{Era: from.Era, Revision: from.Revision}, from.Address)
	view := d.resources.View()
	answer := wire.HeartbeatAnswer{
		Incarnation: d.members.Self().Incarnation, Era: view.Era, Revision: view.Revision, Leaving: d.draining.Load(),
	}
	answer.Unserved = d.unserved.List(now) // after the revision: never of an older one
	return answer
}

// recordPeer records what a peer reported: its revision and, as of that revision, the
// placed models for which it knows no engine.
func (d *Daemon) recordPeer(now time.Time, b members.Box, unserved []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members.MarkSeen(now, b)
	d.peersUnserved[b.Name] = unserved
	if len(unserved) == 0 {
		delete(d.peersUnserved, b.Name)
	}
}

func boxOf(h wire.Heartbeat) members.Box {
	b := members.Box{Name: h.Box, Hall: h.Hall, Address: h.Address, Incarnation: h.Incarnation, Era: h.Era, Revision: h.Revision, State: members.Live}
	if h.Leaving {
		b.State = members.Leaving
	}
	return b
}

// Answered handles the answer to a heartbeat.
func (d *Daemon) Answered(_ context.Context, b members.Box, a wire.HeartbeatAnswer) {
	d.digestFor(b).Delivered(b.Name, a.Incarnation)
	b.Incarnation, b.Era, b.Revision, b.State = a.Incarnation, a.Era, a.Revision, members.Live
	if a.Leaving {
		b.State = members.Leaving
	}
	d.recordPeer(time.Now(), b, a.Unserved)
	d.fetchNewer(resource.Position{Era: a.Era, Revision: a.Revision}, b.Address)
}

// recordReported records the configuration that a peer has reported.
func (d *Daemon) recordReported(at resource.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.reported) {
		d.reported = at
	}
}

// fetchNewer fetches the changes from a peer that has a newer configuration: all of it if it is
// of another era, as the changes after a revision may then be others than those that are missing.
func (d *Daemon) fetchNewer(at resource.Position, address string) {
	d.recordReported(at)
	if !d.resources.IsNews(at) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var set wire.ChangeSet
		ask := wire.ChangesAsk{}
		now := d.resources.View().Position()
		if now.Era == at.Era {
			ask.Since = now.Revision
		}
		err := d.peers.Call(ctx, address, peer.Changes, ask, &set)
		if err == nil && !d.apply(set) {
			d.readTable(ctx)
		}
	}()
}

// Changes returns the changes since a revision.
func (d *Daemon) Changes(since int) wire.ChangeSet { return d.resources.Since(since) }

// apply applies changes from a peer. If it returns false, the table has to be read: an earlier
// change is missing, or the table was restored and lacks what is in force here.
func (d *Daemon) apply(set wire.ChangeSet) bool {
	before := d.resources.View().Position()
	applied := d.resources.Apply(set)
	if before.Revision > 0 && set.Era > before.Era {
		d.log.WithFields(logrus.Fields{
			"era": set.Era, "revision": set.Revision, "before": before.Era, "before_revision": before.Revision, "complete": applied,
		}).Warn("configuration_of_later_era")
	}
	return applied
}

// Tell applies changes that another box accepted and relays them where asked to.
func (d *Daemon) Tell(set wire.ChangeSet) {
	if !d.apply(set) {
		go d.readTable(context.Background())
	}
	if set.Relay {
		go d.broadcaster.Relay(context.Background(), set)
	}
}

// TakenUp handles the notice that another box has resumed a generation.
func (d *Daemon) TakenUp(attempt string) { d.flights.ResumedElsewhere(attempt) }

// notifyResumed notifies the box that dispatched a generation that this box has resumed
// it, so that it does not cancel the generation. The caller's stream waits for the call,
// so that no cancel can overtake it.
func (d *Daemon) notifyResumed(box, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for _, b := range d.members.Peers(time.Now()) {
		if b.Name == box && b.State != members.Suspect {
			var done wire.Nothing
			// If the call fails, the box is dead, or partitioned and may still cancel;
			// docs/PROOFS.md lists the latter as not proved.
			_ = d.peers.Call(ctx, b.Address, peer.TakenUp, wire.TakenUp{Attempt: attempt}, &done)
		}
	}
}

// ownEngines returns the engines that this box was home of at the last refresh.
func (d *Daemon) ownEngines() []poll.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pollTargets
}

// refreshEngines updates and returns the engines that this box is home of. Reports of the
// others come from their home boxes, less often than this box polls.
func (d *Daemon) refreshEngines() []poll.Engine {
	own := d.homeEngines()
	d.mu.Lock()
	defer d.mu.Unlock()
	former := d.pollTargets
	d.pollTargets = own
	for _, e := range former {
		if !d.polls(e.Name) {
			d.health.SetMinSilence(time.Now(), e.Name, reportedSilence)
		}
	}
	return own
}

// polls reports whether this box polls an engine. The caller holds the lock.
func (d *Daemon) polls(engine string) bool {
	return slices.ContainsFunc(d.pollTargets, func(e poll.Engine) bool { return e.Name == engine })
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

// HandleLoad applies a load report that this box polled or that a peer sent.
func (d *Daemon) HandleLoad(load wire.EngineLoad) {
	now := time.Now()
	if !d.loads.Report(now, load) {
		return
	}
	d.markSeen(now, load)
	switch {
	case load.Leaving:
		d.health.MarkLeaving(load.Engine, load.Incarnation)
	case !d.resources.View().Upstreams[load.Engine].Leaving:
		d.health.ClearLeaving(load.Engine)
	}
	d.grants.Report(now, d.cellsNow().Of(load.Engine), load)
}

// markSeen records that an engine reported. How long it may be silent depends on whether
// this box polls it, whoever sent the report.
func (d *Daemon) markSeen(now time.Time, load wire.EngineLoad) {
	d.mu.Lock()
	defer d.mu.Unlock()
	silence := reportedSilence
	if d.polls(load.Engine) {
		silence = polledSilence
	}
	d.health.MarkSeen(now, load.Engine, load.Incarnation, time.Duration(load.StepUs)*time.Microsecond, silence)
}

// HandleCacheEvent records a cache event of an engine.
func (d *Daemon) HandleCacheEvent(engine string, seq int, stored bool, block uint64) {
	d.grants.RecordCacheEvent(d.cellsNow().Of(engine), engine, seq, stored, block)
}

// Runs reports whether a box may still run as the incarnation that owns a ledger row;
// a box that is only silent may.
func (d *Daemon) Runs(box string, incarnation int) bool {
	for _, b := range d.members.All(time.Now()) {
		if b.Name == box {
			return b.Incarnation == incarnation || b.Incarnation == 0
		}
	}
	return false
}

// otherDispatchers returns the other boxes of the fleet, which may have dispatched calls.
func (d *Daemon) otherDispatchers() []ledger.Other {
	var others []ledger.Other
	for _, b := range d.members.All(time.Now()) {
		if b.Name != d.config.Box {
			others = append(others, ledger.Other{Box: b.Name, Heard: b.State == members.Live})
		}
	}
	return others
}
