// Package edgerpc serves the calls between the boxes in front of the users'
// platform, by net/rpc.
package edgerpc

import (
	"context"
	"net"
	"time"

	"petrelstep/moveturns"
	"petrelstep/peer/serve"
	"petrelstep/peer/tunnel"
	"petrelstep/wire"
)

// Box handles the calls of a box's peers.
type Box interface {
	// HandleGossip applies a peer's gossip and answers with this box's.
	HandleGossip(from wire.Gossip) wire.GossipAnswer
	// Configuration returns the configuration in force.
	Configuration() wire.Configuration
	// AdmitFor waits until ctx ends for capacity for a peer's request.
	AdmitFor(ctx context.Context, ask wire.AdmitAsk) wire.AdmitAnswer
	// AllowFor assigns a peer's request its slot at a rate-limited upstream.
	AllowFor(ask wire.AllowAsk) wire.AllowAnswer
	// SlotFor leases a slot of an upstream to a peer, and waits for one as long as it asks.
	SlotFor(ctx context.Context, ask wire.SlotAsk) wire.SlotAnswer
	// ReturnSlotFor ends a peer's lease.
	ReturnSlotFor(ask wire.SlotAsk)
	// RecordOriginsFor records the origins of a peer's streams.
	RecordOriginsFor(list wire.StreamOrigins)
	// StreamOriginFor returns the origin of a stream.
	StreamOriginFor(ask wire.StreamOriginAsk) wire.StreamOriginAnswer
}

// Endpoint holds the RPC methods; its name on the wire is Peer.
type Endpoint struct {
	ctx     context.Context
	box     Box
	turns   *moveturns.Scheduler
	tunnels *tunnel.Server
}

// New returns the endpoint of a box; waits for turns end with ctx.
func New(ctx context.Context, box Box, t *moveturns.Scheduler, tunnels *tunnel.Server) *Endpoint {
	return &Endpoint{ctx: ctx, box: box, turns: t, tunnels: tunnels}
}

// Gossip applies a peer's gossip and answers with this box's.
func (e *Endpoint) Gossip(from wire.Gossip, answer *wire.GossipAnswer) error {
	*answer = e.box.HandleGossip(from)
	return nil
}

// Configuration returns the configuration in force.
func (e *Endpoint) Configuration(_ wire.Nothing, answer *wire.Configuration) error {
	*answer = e.box.Configuration()
	return nil
}

// Admit waits for an upstream with capacity for a request.
func (e *Endpoint) Admit(ask wire.AdmitAsk, answer *wire.AdmitAnswer) error {
	ctx, cancel := context.WithTimeout(e.ctx, time.Duration(ask.WaitMs)*time.Millisecond)
	defer cancel()
	*answer = e.box.AdmitFor(ctx, ask)
	return nil
}

// Allow assigns a request its slot at a rate-limited upstream.
func (e *Endpoint) Allow(ask wire.AllowAsk, answer *wire.AllowAnswer) error {
	*answer = e.box.AllowFor(ask)
	return nil
}

// TakeSlot leases a slot of an upstream that bears few rejections.
func (e *Endpoint) TakeSlot(ask wire.SlotAsk, answer *wire.SlotAnswer) error {
	*answer = e.box.SlotFor(e.ctx, ask)
	return nil
}

// ReturnSlot ends a lease.
func (e *Endpoint) ReturnSlot(ask wire.SlotAsk, answer *wire.Nothing) error {
	e.box.ReturnSlotFor(ask)
	answer.Ok = true
	return nil
}

// RecordOrigins records the origins of a peer's streams.
func (e *Endpoint) RecordOrigins(list wire.StreamOrigins, answer *wire.Nothing) error {
	e.box.RecordOriginsFor(list)
	answer.Ok = true
	return nil
}

// StreamOrigin returns the origin of a stream that a caller resumes at a peer.
func (e *Endpoint) StreamOrigin(ask wire.StreamOriginAsk, answer *wire.StreamOriginAnswer) error {
	*answer = e.box.StreamOriginFor(ask)
	return nil
}

// Turn waits for a turn, the permission to move a run off an upstream.
func (e *Endpoint) Turn(ask wire.TurnAsk, answer *wire.TurnAnswer) error {
	ctx, cancel := context.WithTimeout(e.ctx, time.Duration(ask.WaitMs)*time.Millisecond)
	defer cancel()
	answer.Target, answer.Granted = e.turns.Take(ctx, moveturns.Request{Box: ask.Box, Source: ask.Upstream, Targets: ask.Targets, Tokens: ask.Tokens, MaxHold: time.Duration(ask.MostMs) * time.Millisecond})
	return nil
}

// TurnBack releases a turn.
func (e *Endpoint) TurnBack(ask wire.TurnAsk, answer *wire.Nothing) error {
	e.turns.Release(ask.Upstream, ask.Box)
	answer.Ok = true
	return nil
}

// TunnelOpen opens a connection to an upstream for a peer.
func (e *Endpoint) TunnelOpen(ask wire.TunnelOpen, answer *wire.TunnelOpened) error {
	*answer = e.tunnels.Open(e.ctx, ask)
	return nil
}

// TunnelRead waits for bytes from an upstream.
func (e *Endpoint) TunnelRead(ask wire.TunnelRead, answer *wire.TunnelData) (err error) {
	*answer, err = e.tunnels.Read(ask)
	return err
}

// TunnelWrite sends bytes to an upstream.
func (e *Endpoint) TunnelWrite(ask wire.TunnelWrite, answer *wire.Nothing) error {
	answer.Ok = true
	return e.tunnels.Write(ask)
}

// TunnelClose closes a connection to an upstream.
func (e *Endpoint) TunnelClose(ask wire.TunnelClose, answer *wire.Nothing) error {
	e.tunnels.Close(ask)
	answer.Ok = true
	return nil
}

// Serve serves peers until the endpoint's context ends.
func (e *Endpoint) Serve(listener net.Listener) error { return serve.Serve(e.ctx, e, listener) }
