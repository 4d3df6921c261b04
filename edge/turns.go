package edge

import (
	"context"
	"time"

	"petrelstep/evacuate"
	"petrelstep/members"
	"petrelstep/moveturns"
	"petrelstep/peer"
	"petrelstep/wire"
)

const (
	// heardWithin is how recently a box was heard that keeps turns: three of its
	// periods of gossip.
	heardWithin = 800 * time.Millisecond
	// turnBackTime bounds the call that gives a turn back; it lapses anyway.
	turnBackTime = 500 * time.Millisecond
	// turnWait is how long a keeper may hold an ask back: one that has died since
	// costs so much of the notice of 1.5 s.
	turnWait = 400 * time.Millisecond
	// turnSlack is for the way to the keeper of the turns and back.
	turnSlack = 50 * time.Millisecond
)

// Take implements evacuate.Turns: one box keeps the turns of all upstreams of a
// service, the first in the service's rendezvous order, so that it knows all
// links that are in use. One that is not heard is done without.
func (e *Edge) Take(ctx context.Context, ask evacuate.TurnRequest) (target string, giveBack func()) {
	alone := func() {}
	if e.config.Edge.Moves != wire.EdgeMovesTurns {
		return ask.Targets[0], alone
	}
	keeper, ok := e.members.Owner(time.Now(), "turns/"+ask.Source.Service)
	if !ok || keeper.Name == e.config.Box {
		own := moveturns.Request{Box: e.config.Box, Source: ask.Source.ID, Targets: ask.Targets, Tokens: ask.Tokens}
		target, ok := e.turns.Take(ctx, own)
		if !ok {
			return ask.Targets[0], alone
		}
		return target, func() { e.turns.Release(ask.Source.ID, e.config.Box) }
	}
	if !e.hears(keeper.Name) {
		e.log.WithField("keeper", keeper.Name).Info("turn_without_keeper")
		return ask.Targets[0], alone
	}
	return e.askTurn(ctx, keeper, ask)
}

// askTurn asks another box for a turn, again and again while it answers that
// there is none yet: one that does not answer is done without.
func (e *Edge) askTurn(ctx context.Context, keeper members.Box, ask evacuate.TurnRequest) (target string, giveBack func()) {
	call := wire.TurnAsk{
		Upstream: ask.Source.ID, Box: e.config.Box, Targets: ask.Targets, Tokens: ask.Tokens, WaitMs: int(turnWait.Milliseconds()),
	}
	for ctx.Err() == nil {
		answer, err := e.askOnce(ctx, keeper, call)
		if err != nil {
			e.log.WithError(err).WithField("keeper", keeper.Name).Warn("turn_not_asked")
			break
		}
		if answer.Granted {
			return answer.Target, func() { e.turnBack(keeper, call) }
		}
	}
	return ask.Targets[0], func() {}
}

func (e *Edge) askOnce(ctx context.Context, keeper members.Box, call wire.TurnAsk) (answer wire.TurnAnswer, err error) {
	ctx, cancel := context.WithTimeout(ctx, turnWait+turnSlack)
	defer cancel()
	err = e.peers.Repeat(ctx, keeper.Address, peer.Turn, call, &answer)
	return answer, err
}

func (e *Edge) turnBack(keeper members.Box, ask wire.TurnAsk) {
	ctx, cancel := context.WithTimeout(context.Background(), turnBackTime)
	defer cancel()
	var answer wire.Nothing
	if err := e.peers.Repeat(ctx, keeper.Address, peer.TurnBack, ask, &answer); err != nil {
		e.log.WithError(err).WithField("keeper", keeper.Name).Warn("turn_not_given_back")
	}
}

// unheard notes that a box did not answer.
func (e *Edge) unheard(box string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.heard, box)
	e.cut[box] = time.Now()
}

func (e *Edge) hears(box string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.heard[box]) < heardWithin
}
