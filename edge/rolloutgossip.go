package edge

import (
	"errors"
	"fmt"
	"time"

	"petrelstep/canary/counts"
	"petrelstep/canary/orders"
	"petrelstep/members"
	"petrelstep/wire"
)

// sendCounts adds the counts of roll-outs that the hub doesn't have yet. In a large fleet
// only the primary hub gets those of a box that is no hub itself.
func (r *rolloutControl) sendCounts(now time.Time, hub members.Box, g *wire.Gossip) {
	if r == nil || !r.IsHub() && r.IsLargeFleet() && !g.Counts {
		return
	}
	r.Edge.mu.Lock()
	state := r.hubStates[hub.Name]
	r.Edge.mu.Unlock()
	rows, acknowledged := r.counts.Report(now, fmt.Sprint(hub.Name, "/", state.incarnation), g.Counts)
	g.Releases = rows
	r.Edge.mu.Lock()
	defer r.Edge.mu.Unlock()
	state = r.hubStates[hub.Name]
	state.countsSent = acknowledged
	r.hubStates[hub.Name] = state
}

// receiveCounts applies another box's counts.
func (r *rolloutControl) receiveCounts(now time.Time, g wire.Gossip) {
	if r == nil {
		return
	}
	err := r.counts.Update(now, g.Sender.Box, g.Releases, g.Counts)
	var dropped *counts.DroppedError
	if !errors.As(err, &dropped) {
		return
	}
	r.metrics.RolloutCountsDropped(dropped.Invalid + dropped.Unknown + dropped.Excess)
	if dropped.Invalid+dropped.Excess > 0 { // unknown ones are of an order that this box learns of later
		r.log.WithError(err).WithField("peer", g.Sender.Box).Warn("rollout_counts_dropped")
	}
}

// answerOrders adds the known orders.
func (r *rolloutControl) answerOrders(now time.Time, a *wire.GossipAnswer) {
	if r == nil {
		return
	}
	for _, o := range r.orders.All() {
		a.Rollouts = append(a.Rollouts, o.Word(now))
	}
}

// receiveOrders applies the orders that a hub knows, in its answer to a call sent at a
// time.
func (r *rolloutControl) receiveOrders(now time.Time, a wire.GossipAnswer, sent time.Time) {
	if r == nil {
		return
	}
	r.orders.RecordEra(now, a.Era)
	if len(a.Rollouts) == 0 {
		return
	}
	list := make([]orders.Order, 0, len(a.Rollouts))
	for _, w := range a.Rollouts {
		list = append(list, orders.FromWord(sent, w))
	}
	r.orders.Told(now, list, a.Sender.Box)
	r.applyChanges(now)
}
