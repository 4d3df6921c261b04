// Package peer calls the other boxes by net/rpc, over one connection to each.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"petrelstep/peer/roundtrip"
)

// RPC methods of a box.
const (
	Heartbeat     = "Peer.Heartbeat"
	Changes       = "Peer.Changes"
	Tell          = "Peer.Tell"
	Ask           = "Peer.Ask"
	Withdraw      = "Peer.Withdraw"
	Settle        = "Peer.Settle"
	TakenUp       = "Peer.TakenUp"
	Gossip        = "Peer.Gossip"
	Turn          = "Peer.Turn"
	Configuration = "Peer.Configuration"
	TurnBack      = "Peer.TurnBack"
	Admit         = "Peer.Admit"
	Allow         = "Peer.Allow"
	TakeSlot      = "Peer.TakeSlot"
	ReturnSlot    = "Peer.ReturnSlot"
	RecordOrigins = "Peer.RecordOrigins"
	StreamOrigin  = "Peer.StreamOrigin"
	TunnelOpen    = "Peer.TunnelOpen"
	TunnelRead    = "Peer.TunnelRead"
	TunnelWrite   = "Peer.TunnelWrite"
	TunnelClose   = "Peer.TunnelClose"
)

const dialTimeout = 500 * time.Millisecond

// AnsweredAtOnce reports whether a method is answered without a wait, so that its time is
// the round trip to the box.
func AnsweredAtOnce(method string) bool {
	switch method {
	case Gossip, Configuration, TurnBack, Allow, ReturnSlot, Heartbeat, RecordOrigins, StreamOrigin:
		return true
	}
	return false
}

// Error reports that a call to a peer failed.
type Error struct {
	Address        string
	Method         string
	Unreachable    bool // the connection could not be opened, or was lost
	ConnectionLost bool // an open connection was lost
	Err            error
}

// Error implements error.
func (e *Error) Error() string { return "peer " + e.Address + ": " + e.Method + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Unreachable reports whether an error means that the peer could not be reached.
func Unreachable(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Unreachable
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Peers holds the connections to other boxes. It is safe for concurrent use.
type Peers struct {
	roundTrips *roundtrip.Estimator
	open       Dial

	mu      sync.Mutex
	tls     *tls.Config
	clients map[string]*rpc.Client
	closed  bool
}

// New returns peers without connections; tls may be nil.
func New(config *tls.Config) *Peers {
	return &Peers{roundTrips: roundtrip.New(), open: (&net.Dialer{Timeout: dialTimeout}).DialContext, tls: config, clients: map[string]*rpc.Client{}}
}

// WithDial returns peers without connections that open them with dial, and without TLS.
func (*Peers) WithDial(dial Dial) *Peers {
	p := New(nil)
	p.open = dial
	return p
}

// Call calls a method of the box at an address and waits for the answer until
// ctx ends. The error is an *Error.
func (p *Peers) Call(ctx context.Context, address, method string, args, reply any) error {
	took, err := p.call(ctx, address, method, args, reply)
	if err == nil && AnsweredAtOnce(method) {
		p.roundTrips.Record(time.Now(), address, took)
	}
	return err
}

// call is Call without a record of the time that it took on the open connection.
func (p *Peers) call(ctx context.Context, address, method string, args, reply any) (took time.Duration, err error) {
	client, err := p.client(ctx, address)
	if err != nil {
		return 0, &Error{Address: address, Method: method, Unreachable: true, Err: err}
	}
	sent := time.Now()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return 0, &Error{Address: address, Method: method, Err: ctx.Err()}
	case <-call.Done:
	}
	if call.Error == nil {
		return time.Since(sent), nil
	}
	var answered rpc.ServerError
	if errors.As(call.Error, &answered) {
		return 0, &Error{Address: address, Method: method, Err: call.Error}
	}
	p.drop(address, client)
	return 0, &Error{Address: address, Method: method, Unreachable: true, ConnectionLost: true, Err: call.Error}
}

// CallIdempotent is Call for a method that may run twice: if an open connection is
// lost, it calls again on a new one. A reset does not mean that the box is down.
func (p *Peers) CallIdempotent(ctx context.Context, address, method string, args, reply any) error {
	err := p.Call(ctx, address, method, args, reply)
	var e *Error
	if errors.As(err, &e) && e.ConnectionLost && ctx.Err() == nil {
		_, err = p.call(ctx, address, method, args, reply) // a retried call is no measure of the round trip
	}
	return err
}

// RoundTrip returns the mean time of recent calls to a peer; false if it is unknown.
func (p *Peers) RoundTrip(address string) (roundTrip time.Duration, known bool) {
	return p.roundTrips.Smoothed(time.Now(), address)
}

// Timeout returns within which time the box at an address is expected to answer a call;
// false if it is unknown. Without an open connection one is opened first, which takes a
// further round trip.
func (p *Peers) Timeout(address string) (timeout time.Duration, known bool) {
	timeout, known = p.roundTrips.Timeout(time.Now(), address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] == nil {
		timeout = min(2*timeout, roundtrip.Max)
	}
	return timeout, known
}

// Forget closes the connection to an address: after a network partition an old
// connection may stay stalled for long.
func (p *Peers) Forget(address string) {
	p.mu.Lock()
	client, ok := p.clients[address]
	p.mu.Unlock()
	if ok {
		p.drop(address, client)
	}
}

// Close closes all connections; later calls fail.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, c := range p.clients {
		_ = c.Close()
		delete(p.clients, address)
	}
}

func (p *Peers) client(ctx context.Context, address string) (*rpc.Client, error) {
	p.mu.Lock()
	client, ok := p.clients[address]
	p.mu.Unlock()
	if ok {
		return client, nil
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing, ok := p.clients[address]; ok || p.closed {
		_ = conn.Close()
		if p.closed {
			return nil, net.ErrClosed
		}
		return existing, nil
	}
	client = rpc.NewClient(conn)
	p.clients[address] = client
	return client, nil
}

func (p *Peers) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.tls == nil {
		return p.open(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout}, Config: p.tls}).DialContext(ctx, "tcp", address)
}

func (p *Peers) drop(address string, client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] == client {
		delete(p.clients, address)
	}
	_ = client.Close()
}
