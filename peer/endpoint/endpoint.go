// Package endpoint is what a box answers to its peers, by net/rpc.
package endpoint

import (
	"context"
	"net"
	"time"

	"petrelstep/grantserver"
	"petrelstep/peer/serve"
	"petrelstep/wire"
)

// Box is the rest of a box, as its peers may call on it.
type Box interface {
	Heartbeat(from wire.Heartbeat) wire.HeartbeatAnswer
	Changes(since int) wire.ChangeSet
	Tell(set wire.ChangeSet)
	TakenUp(attempt string)
}

// Endpoint holds the methods; its name on the wire is Peer.
type Endpoint struct {
	ctx    context.Context
	box    Box
	grants *grantserver.Server
}

// New returns the endpoint of a box; asks that wait end with ctx.
func New(ctx context.Context, box Box, g *grantserver.Server) *Endpoint {
	return &Endpoint{ctx: ctx, box: box, grants: g}
}

// Heartbeat takes a sign of life.
func (e *Endpoint) Heartbeat(from wire.Heartbeat, answer *wire.HeartbeatAnswer) error {
	*answer = e.box.Heartbeat(from)
	return nil
}

// Changes answers what changed since a revision.
func (e *Endpoint) Changes(ask wire.ChangesAsk, set *wire.ChangeSet) error {
	*set = e.box.Changes(ask.Since)
	return nil
}

// Tell takes changes that a peer has accepted.
func (e *Endpoint) Tell(set wire.ChangeSet, answer *wire.Nothing) error {
	e.box.Tell(set)
	answer.Ok = true
	return nil
}

// Ask waits for room; see package grantserver.
func (e *Endpoint) Ask(ask wire.Ask, grant *wire.Grant) error {
	// A little beyond what the asker waits, so that the queue's own end of
	// waiting, which tells when to come back, is first.
	ctx, cancel := context.WithTimeout(e.ctx, time.Duration(ask.WaitMs)*time.Millisecond+time.Second)
	defer cancel()
	*grant = e.grants.Request(ctx, time.Now(), ask)
	return nil
}

// Withdraw takes a waiting request out.
func (e *Endpoint) Withdraw(w wire.Withdraw, answer *wire.Nothing) error {
	e.grants.Withdraw(time.Now(), w.Cell, w.Attempt)
	answer.Ok = true
	return nil
}

// Settle takes how granted generations go on.
func (e *Endpoint) Settle(s wire.Settle, answer *wire.Nothing) error {
	e.grants.Settle(time.Now(), s)
	answer.Ok = true
	return nil
}

// TakenUp learns that another box passes a generation's tokens on.
func (e *Endpoint) TakenUp(t wire.TakenUp, answer *wire.Nothing) error {
	e.box.TakenUp(t.Attempt)
	answer.Ok = true
	return nil
}

// Serve answers connections on a listener until ctx ends.
func (e *Endpoint) Serve(listener net.Listener) error { return serve.Serve(e.ctx, e, listener) }
