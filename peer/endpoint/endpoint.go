// Package endpoint serves the calls of a box's peers by net/rpc.
package endpoint

import (
	"context"
	"net"
	"time"

	"petrelstep/grantserver"
	"petrelstep/peer/serve"
	"petrelstep/wire"
)

// Box handles the calls of a box's peers that need no grants.
type Box interface {
	Heartbeat(from wire.Heartbeat) wire.HeartbeatAnswer
	Changes(since int) wire.ChangeSet
	Tell(set wire.ChangeSet)
	TakenUp(attempt string)
}

// Endpoint holds the RPC methods; its name on the wire is Peer.
type Endpoint struct {
	ctx    context.Context
	box    Box
	grants *grantserver.Server
}

// New returns the endpoint of a box; waiting grant requests end with ctx.
func New(ctx context.Context, box Box, g *grantserver.Server) *Endpoint {
	return &Endpoint{ctx: ctx, box: box, grants: g}
}

// Heartbeat handles a peer's heartbeat.
func (e *Endpoint) Heartbeat(from wire.Heartbeat, answer *wire.HeartbeatAnswer) error {
	*answer = e.box.Heartbeat(from)
	return nil
}

// Changes returns the configuration changes since a revision.
func (e *Endpoint) Changes(ask wire.ChangesAsk, set *wire.ChangeSet) error {
	*set = e.box.Changes(ask.Since)
	return nil
}

// Tell applies configuration changes that a peer has accepted.
func (e *Endpoint) Tell(set wire.ChangeSet, answer *wire.Nothing) error {
	e.box.Tell(set)
	answer.Ok = true
	return nil
}

// Ask waits for a grant; see package grantserver.
func (e *Endpoint) Ask(ask wire.Ask, grant *wire.Grant) error {
	// One second longer than the caller's wait, so that the queue's own timeout,
	// which sets a Retry-After, fires first.
	ctx, cancel := context.WithTimeout(e.ctx, time.Duration(ask.WaitMs)*time.Millisecond+time.Second)
	defer cancel()
	*grant = e.grants.Request(ctx, time.Now(), ask)
	return nil
}

// Withdraw cancels a grant request.
func (e *Endpoint) Withdraw(w wire.Withdraw, answer *wire.Nothing) error {
	e.grants.Withdraw(time.Now(), w.Cell, w.Attempt)
	answer.Ok = true
	return nil
}

// Settle applies the progress of granted generations.
func (e *Endpoint) Settle(s wire.Settle, answer *wire.Nothing) error {
	e.grants.Settle(time.Now(), s)
	answer.Ok = true
	return nil
}

// TakenUp handles the notice that a generation was resumed at another box.
func (e *Endpoint) TakenUp(t wire.TakenUp, answer *wire.Nothing) error {
	e.box.TakenUp(t.Attempt)
	answer.Ok = true
	return nil
}

// Serve serves the connections of a listener until the endpoint's context ends.
func (e *Endpoint) Serve(listener net.Listener) error { return serve.Serve(e.ctx, e, listener) }
