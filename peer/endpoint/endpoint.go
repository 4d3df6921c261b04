// Package endpoint is what a box answers to its peers, by net/rpc.
package endpoint

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"petrelstep/grants"
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
	grants *grants.Grants
}

// New returns the endpoint of a box; asks that wait end with ctx.
func New(ctx context.Context, box Box, g *grants.Grants) *Endpoint {
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

// Ask waits for room; see package grants.
func (e *Endpoint) Ask(ask wire.Ask, grant *wire.Grant) error {
	// A little beyond what the asker waits, so that the queue's own end of
	// waiting, which tells when to come back, is first.
	ctx, cancel := context.WithTimeout(e.ctx, time.Duration(ask.WaitMs)*time.Millisecond+time.Second)
	defer cancel()
	*grant = e.grants.Ask(ctx, time.Now(), ask)
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
func (e *Endpoint) Serve(listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", e); err != nil {
		return err
	}
	open := &connections{all: map[net.Conn]bool{}}
	stop := context.AfterFunc(e.ctx, func() {
		_ = listener.Close()
		open.closeAll()
	})
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if e.ctx.Err() != nil {
				return nil
			}
			return err
		}
		if !open.add(conn) {
			continue
		}
		go func() {
			server.ServeConn(conn)
			open.remove(conn)
		}()
	}
}

type connections struct {
	mu     sync.Mutex
	all    map[net.Conn]bool
	closed bool
}

func (c *connections) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	c.all[conn] = true
	return true
}

func (c *connections) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.all, conn)
	_ = conn.Close()
}

func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.all {
		_ = conn.Close()
	}
}
