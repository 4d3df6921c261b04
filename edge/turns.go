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
	// seenMaxAge is how recently a box must have been heard from to count as reachable:
	// three gossip periods.
	seenMaxAge = 800 * time.Millisecond
	// turnBackTimeout bounds the call that returns a turn; an unreturned one expires.
	turnBackTimeout = 500 * time.Millisecond
	// turnWait is how long an owner of turns may hold a call. If it has died, the move
	// loses that much of the upstream's notice of 1.5 s.
	turnWait = 400 * time.Millisecond
	// turnRoundTrip is the network round trip to an owner in the same region.
	turnRoundTrip = 50 * time.Millisecond
)

// Take implements evacuate.Turns. A turn is the permission to move a run. One box, the
// first of the service's rendezvous order, owns the turns of all upstreams of a
// service in a region, so that it knows all links in use. If it is unreachable, the run
// moves without a turn.
func (e *Edge) Take(ctx context.Context, ask evacuate.TurnRequest) (target string, release func()) {
	noop := func() {}
	if e.config.Edge.Moves != wire.EdgeMovesTurns {
		return ask.Targets[0], noop
	}
	owner, ok := e.turnsOwner(time.Now(), ask.Source)
	if !ok || owner.Name == e.config.Box {
		local := moveturns.Request{Box: e.config.Box, Source: ask.Source.ID, Targets: ask.Targets, Tokens: ask.Tokens}
		target, ok := e.turns.Take(ctx, local)
		if !ok {
			return ask.Targets[0], noop
		}
		return target, func() { e.turns.Release(ask.Source.ID, e.config.Box) }
	}
	if !e.isReachable(owner.Name) {
		e.log.WithField("keeper", owner.Name).Info("turn_without_keeper")
		return ask.Targets[0], noop
	}
	return e.requestTurn(ctx, owner, ask)
}

// requestTurn calls the owner until it grants a turn; if the call fails, the run moves
// without one.
func (e *Edge) requestTurn(ctx context.Context, owner members.Box, ask evacuate.TurnRequest) (target string, release func()) {
	call := wire.TurnAsk{
		Upstream: ask.Source.ID, Box: e.config.Box, Targets: ask.Targets, Tokens: ask.Tokens, WaitMs: int(turnWait.Milliseconds()),
	}
	for ctx.Err() == nil {
		answer, err := e.callTurn(ctx, owner, call)
		if err != nil {
			e.log.WithError(err).WithField("keeper", owner.Name).Warn("turn_not_asked")
			break
		}
		if answer.Granted {
			return answer.Target, func() { e.returnTurn(owner, call) }
		}
	}
	return ask.Targets[0], func() {}
}

func (e *Edge) callTurn(ctx context.Context, owner members.Box, call wire.TurnAsk) (answer wire.TurnAnswer, err error) {
	ctx, cancel := context.WithTimeout(ctx, turnWait+e.roundTrip(owner, turnRoundTrip))
	defer cancel()
	err = e.peers.CallIdempotent(ctx, owner.Address, peer.Turn, call, &answer)
	return answer, err
}

func (e *Edge) returnTurn(owner members.Box, ask wire.TurnAsk) {
	ctx, cancel := context.WithTimeout(context.Background(), turnBackTimeout)
	defer cancel()
	var answer wire.Nothing
	if err := e.peers.CallIdempotent(ctx, owner.Address, peer.TurnBack, ask, &answer); err != nil {
		e.log.WithError(err).WithField("keeper", owner.Name).Warn("turn_not_given_back")
	}
}

// markUnreachable records that a box didn't answer.
func (e *Edge) markUnreachable(box string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.lastSeen, box)
	e.unanswered[box] = time.Now()
}

func (e *Edge) isReachable(box string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.lastSeen[box]) < seenMaxAge
}
