// Package edgerpc is what a box before the users' platform answers to its
// peers, by net/rpc.
package edgerpc

import (
	"context"
	"net"
	"time"

	"petrelstep/moveturns"
	"petrelstep/peer/serve"
	"petrelstep/wire"
)

// Box is the rest of a box, as its peers may call on it.
type Box interface {
	// HandleGossip takes a peer's gossip and answers with what the box knows.
	HandleGossip(from wire.Gossip) wire.GossipAnswer
	// Configuration returns the configuration in force.
	Configuration() wire.Configuration
	// AdmitFor waits until ctx ends for room for a peer's request.
	AdmitFor(ctx context.Context, ask wire.AdmitAsk) wire.AdmitAnswer
	// AllowFor gives a peer's request its time at a limited upstream.
	AllowFor(ask wire.AllowAsk) wire.AllowAnswer
}

// Endpoint holds the methods; its name on the wire is Peer.
type Endpoint struct {
	ctx   context.Context
	box   Box
	turns *moveturns.Scheduler
}

// New returns the endpoint of a box; waits for turns end with ctx.
func New(ctx context.Context, box Box, t *moveturns.Scheduler) *Endpoint {
	return &Endpoint{ctx: ctx, box: box, turns: t}
}

// Gossip takes a peer's word and answers with what the box knows.
func (e *Endpoint) Gossip(from wire.Gossip, answer *wire.GossipAnswer) error {
	*answer = e.box.HandleGossip(from)
	return nil
}

// Configuration answers with the configuration in force.
func (e *Endpoint) Configuration(_ wire.Nothing, answer *wire.Configuration) error {
	*answer = e.box.Configuration()
	return nil
}

// Admit waits for an engine with room for a request.
func (e *Endpoint) Admit(ask wire.AdmitAsk, answer *wire.AdmitAnswer) error {
	ctx, cancel := context.WithTimeout(e.ctx, time.Duration(ask.WaitMs)*time.Millisecond)
	defer cancel()
	*answer = e.box.AdmitFor(ctx, ask)
	return nil
}

// Allow gives a request its time at a limited upstream.
func (e *Endpoint) Allow(ask wire.AllowAsk, answer *wire.AllowAnswer) error {
	*answer = e.box.AllowFor(ask)
	return nil
}

// Turn waits for the turn to move a run off an upstream.
func (e *Endpoint) Turn(ask wire.TurnAsk, answer *wire.TurnAnswer) error {
	ctx, cancel := context.WithTimeout(e.ctx, time.Duration(ask.WaitMs)*time.Millisecond)
	defer cancel()
	answer.Target, answer.Granted = e.turns.Take(ctx, moveturns.Request{Box: ask.Box, Source: ask.Upstream, Targets: ask.Targets, Tokens: ask.Tokens, MaxHold: time.Duration(ask.MostMs) * time.Millisecond})
	return nil
}

// TurnBack takes a turn back.
func (e *Endpoint) TurnBack(ask wire.TurnAsk, answer *wire.Nothing) error {
	e.turns.Release(ask.Upstream, ask.Box)
	answer.Ok = true
	return nil
}

// Serve answers peers until the endpoint's context ends.
func (e *Endpoint) Serve(listener net.Listener) error { return serve.Serve(e.ctx, e, listener) }
