package tunnel

import (
	"context"
	"net"
	"sync"
	"time"

	"petrelstep/links"
	"petrelstep/peer"
	"petrelstep/wire"
)

const (
	// pollTime is how long another box waits for bytes before it answers a call without any.
	pollTime = time.Second
	// callGrace is how much longer the call may take. After that the other box, or the
	// connection to it, counts as lost.
	callGrace = time.Second
	// openTimeout bounds the opening of a tunnel: the other box connects within 120 ms.
	openTimeout = 300 * time.Millisecond
	// maxSilence is how long a box may answer no call before the connection to it counts as
	// lost.
	maxSilence = time.Second
)

// Caller calls other boxes.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
	Forget(address string)
}

// Client opens tunnels through other boxes. It is safe for concurrent use.
type Client struct {
	calls Caller
	box   string
	fleet string

	mu     sync.Mutex
	silent map[string]time.Time // since when boxes answer no call, by address
}

// NewClient returns a client for a box of a fleet.
func NewClient(calls Caller, box, fleet string) *Client {
	return &Client{calls: calls, box: box, fleet: fleet, silent: map[string]time.Time{}}
}

// OpenError reports that another box opened no connection to an upstream.
type OpenError struct {
	Outcome string // of OpenOutcomes; empty if the box did not answer
	Err     error  // nil if it answered
}

// Error implements error.
func (e *OpenError) Error() string {
	if e.Err != nil {
		return "tunnel: " + e.Err.Error()
	}
	return "tunnel: " + e.Outcome
}

// Unwrap returns the cause.
func (e *OpenError) Unwrap() error { return e.Err }

// Open connects to an upstream through the box at an address. The error is an *OpenError.
func (c *Client) Open(ctx context.Context, address string, t links.Target) (net.Conn, error) {
	ask := wire.TunnelOpen{Box: c.box, FleetName: c.fleet, Upstream: t.Upstream, Address: t.Address, Request: t.Request}
	var opened wire.TunnelOpened
	call, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	began := time.Now()
	err := c.calls.Call(call, address, peer.TunnelOpen, ask, &opened)
	c.recordCall(address, began, call.Err() == nil)
	if err != nil {
		return nil, &OpenError{Err: err}
	}
	if opened.ID == 0 {
		return nil, &OpenError{Outcome: opened.Outcome}
	}
	return newConn(c.calls, address, opened.ID, t.Address), nil
}

// recordCall records whether a call to a box ended before its time was over. The connection to a box
// that answers none for maxSilence is dropped, as it may hang.
func (c *Client) recordCall(address string, began time.Time, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, silent := c.silent[address]
	switch {
	case ended:
		delete(c.silent, address)
	case !silent:
		c.silent[address] = began
	case time.Since(since) > maxSilence:
		delete(c.silent, address)
		c.calls.Forget(address)
	}
}
