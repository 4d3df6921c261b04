package edge

import (
	"context"
	"time"

	"petrelstep/members"
	"petrelstep/peer"
	"petrelstep/wire"
)

const (
	joinTime = 1500 * time.Millisecond
	// heardWithin is how recently a box was heard that keeps turns: three of its
	// periods of gossip.
	heardWithin = 800 * time.Millisecond
	// turnBackTime bounds the call that gives a turn back; it lapses anyway.
	turnBackTime = 500 * time.Millisecond
	// turnSlack is for the way to the keeper of the turns and back.
	turnSlack = 50 * time.Millisecond
	// departingFor is how long peers are told of an upstream that leaves.
	departingFor = 10 * time.Second
)

// join puts this box into the table of boxes and reads who else is there. A box
// that starts later finds this one, and tells it of itself.
func (e *Edge) join(ctx context.Context) {
	joined := false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, joinTime)
		err := error(nil)
		if !joined {
			err = e.boxes.Join(call, e.record)
			joined = err == nil
		}
		var list []wire.BoxRecord
		if err == nil {
			list, err = e.boxes.List(call)
		}
		cancel()
		if err == nil {
			e.listed(list)
			return
		}
		e.log.WithError(err).Warn("boxes_not_read")
		e.timer.Sleep(ctx, joinEvery)
	}
}

func (e *Edge) listed(list []wire.BoxRecord) {
	known := make([]wire.Member, 0, len(list))
	for _, r := range list {
		known = append(known, wire.Member{Box: r.Box, Hall: r.Hall, Address: r.Address, State: wire.MemberStateLive})
	}
	e.members.Listed(time.Now(), known)
	e.log.WithField("boxes", len(known)).Info("boxes_listed")
}

// Say implements gossip.Box.
func (e *Edge) Say() wire.Gossip {
	now := time.Now()
	version := 0
	if table, _, _ := e.belief.Now(now); table != nil {
		version = table.Version()
	}
	return wire.Gossip{
		Sender: e.record, Leaving: e.draining.Load(), Version: version, Tallies: e.tally.Own(),
		Departing: e.fleet.Departing(now, departingFor),
	}
}

// Hear implements gossip.Box.
func (e *Edge) Hear(g wire.Gossip) {
	now := time.Now()
	state := members.Live
	if g.Leaving {
		state = members.Leaving
	}
	s := g.Sender
	e.members.Heard(now, members.Box{Name: s.Box, Hall: s.Hall, Address: s.Address, Incarnation: s.Incarnation, State: state})
	e.mu.Lock()
	e.heard[s.Box] = now
	e.mu.Unlock()
	e.tally.Told(now, s.Box, g.Tallies)
	for _, id := range g.Departing {
		e.fleet.Leaves(now, id, "peer")
	}
}

// Heard implements edgepoint.Box.
func (e *Edge) Heard(from wire.Gossip) wire.Gossip {
	e.Hear(from)
	return e.Say()
}

// Take implements evacuate.Turns: the box that keeps an upstream's turns is the
// first in its rendezvous order. One that is not heard is done without.
func (e *Edge) Take(ctx context.Context, upstream string) (giveBack func()) {
	if e.config.Edge.Moves != wire.EdgeMovesTurns {
		return func() {}
	}
	keeper, ok := e.members.First(time.Now(), "turns/"+upstream, "")
	if !ok || keeper.Name == e.config.Box {
		e.turns.Take(ctx, upstream, e.config.Box)
		return func() { e.turns.GiveBack(upstream, e.config.Box) }
	}
	if !e.hears(keeper.Name) {
		e.log.WithField("keeper", keeper.Name).Info("turn_without_keeper")
		return func() {}
	}
	until, _ := ctx.Deadline()
	ask := wire.TurnAsk{Upstream: upstream, Box: e.config.Box, WaitMs: int(max(time.Until(until)-turnSlack, 0).Milliseconds())}
	var answer wire.TurnAnswer
	if err := e.peers.Call(ctx, keeper.Address, peer.Turn, ask, &answer); err != nil {
		e.log.WithError(err).WithField("keeper", keeper.Name).Warn("turn_not_asked")
		return func() {}
	}
	return func() { e.turnBack(keeper, ask) }
}

func (e *Edge) turnBack(keeper members.Box, ask wire.TurnAsk) {
	ctx, cancel := context.WithTimeout(context.Background(), turnBackTime)
	defer cancel()
	var answer wire.Nothing
	if err := e.peers.Call(ctx, keeper.Address, peer.TurnBack, ask, &answer); err != nil {
		e.log.WithError(err).WithField("keeper", keeper.Name).Warn("turn_not_given_back")
	}
}

func (e *Edge) hears(box string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.heard[box]) < heardWithin
}
