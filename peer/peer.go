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
)

// Methods of the endpoint of each box.
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
)

const dialTime = 500 * time.Millisecond

// Error says that a peer gave no answer.
type Error struct {
	Address        string
	Method         string
	Unreachable    bool // the connection could not be made, or broke
	ConnectionLost bool // it was open, and broke
	Err            error
}

// Error implements error.
func (e *Error) Error() string { return "peer " + e.Address + ": " + e.Method + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Unreachable tells whether an error means that the peer cannot be reached now.
func Unreachable(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Unreachable
}

// Peers is safe for use by several goroutines.
type Peers struct {
	mu      sync.Mutex
	tls     *tls.Config
	clients map[string]*rpc.Client
	closed  bool
}

// New returns peers without connections; tls may be nil.
func New(config *tls.Config) *Peers {
	return &Peers{tls: config, clients: map[string]*rpc.Client{}}
}

// Call calls a method of the box at an address and waits for the answer until
// ctx ends. The error is an *Error.
func (p *Peers) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := p.client(ctx, address)
	if err != nil {
		return &Error{Address: address, Method: method, Unreachable: true, Err: err}
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return &Error{Address: address, Method: method, Err: ctx.Err()}
	case <-call.Done:
	}
	if call.Error == nil {
		return nil
	}
	var answered rpc.ServerError
	if errors.As(call.Error, &answered) {
		return &Error{Address: address, Method: method, Err: call.Error}
	}
	p.drop(address, client)
	return &Error{Address: address, Method: method, Unreachable: true, ConnectionLost: true, Err: call.Error}
}

// CallIdempotent is Call for a method that may run twice: where an open connection broke,
// it calls once more by a new one. A reset says nothing of the box behind it.
func (p *Peers) CallIdempotent(ctx context.Context, address, method string, args, reply any) error {
	err := p.Call(ctx, address, method, args, reply)
	var e *Error
	if errors.As(err, &e) && e.ConnectionLost && ctx.Err() == nil {
		return p.Call(ctx, address, method, args, reply)
	}
	return err
}

// Forget drops the connection to an address: one that a partition holds up
// would stay silent for long after it.
func (p *Peers) Forget(address string) {
	p.mu.Lock()
	client, ok := p.clients[address]
	p.mu.Unlock()
	if ok {
		p.drop(address, client)
	}
}

// Close ends all connections.
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
	if first, ok := p.clients[address]; ok || p.closed {
		_ = conn.Close()
		if p.closed {
			return nil, net.ErrClosed
		}
		return first, nil
	}
	client = rpc.NewClient(conn)
	p.clients[address] = client
	return client, nil
}

func (p *Peers) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTime}
	if p.tls == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: dialer, Config: p.tls}).DialContext(ctx, "tcp", address)
}

func (p *Peers) drop(address string, client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] == client {
		delete(p.clients, address)
	}
	_ = client.Close()
}
