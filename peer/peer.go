// Package peer calls the other boxes by net/rpc, over one connection to each.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
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

// NotSent reports whether a call failed before any byte of it was sent. err is the error of the call
// itself: among its causes may be those of other calls.
func NotSent(err error) bool {
	e, ok := err.(*Error)
	return ok && e.Unreachable && !e.ConnectionLost
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Observer is notified of connections that are no longer used.
type Observer interface {
	// ConnectionRetired is called when a connection was silent for a time in which calls waited.
	ConnectionRetired(address string, silent time.Duration, waiting int)
}

// Peers holds the connections to other boxes. It is safe for concurrent use.
type Peers struct {
	roundTrips *roundtrip.Estimator
	open       Dial
	tls        *tls.Config
	observer   Observer // nil for none

	mu          sync.Mutex
	connections map[string]*connection
	closed      bool
}

// New returns peers without connections; tls may be nil.
func New(config *tls.Config) *Peers {
	return &Peers{roundTrips: roundtrip.New(), open: (&net.Dialer{Timeout: dialTimeout}).DialContext, tls: config, connections: map[string]*connection{}}
}

// WithDial returns peers without connections that open them with dial, without TLS.
func (p *Peers) WithDial(dial Dial) *Peers {
	peers := New(nil)
	peers.open, peers.observer = dial, p.observer
	return peers
}

// WithObserver returns peers without connections that notify o.
func (p *Peers) WithObserver(o Observer) *Peers {
	peers := New(p.tls)
	peers.open, peers.observer = p.open, o
	return peers
}

// Call calls a method of the box at an address and waits for the answer until
// ctx ends. The error is an *Error.
func (p *Peers) Call(ctx context.Context, address, method string, args, reply any) error {
	took, err := p.call(ctx, address, method, args, reply, func(*connection) {})
	if err == nil && AnsweredAtOnce(method) {
		p.roundTrips.Record(time.Now(), address, took)
	}
	return err
}

// call is Call without a record of the time that it took on the open connection. connected is called
// before the call is sent.
func (p *Peers) call(ctx context.Context, address, method string, args, reply any, connected func(*connection)) (took time.Duration, err error) {
	c, err := p.connect(ctx, address)
	if err != nil {
		return 0, &Error{Address: address, Method: method, Unreachable: true, Err: err}
	}
	defer p.release(c)
	connected(c)
	sent := time.Now()
	call := c.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.retireIfSilent(address, c)
		}
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
	p.drop(address, c)
	return 0, &Error{Address: address, Method: method, Unreachable: true, ConnectionLost: true, Err: call.Error}
}

// CallIdempotent is Call for a method that may run twice: it calls again on a new connection if
// the open one is lost, or is silent although the method is answered at once. A reset does not mean
// that the box is down.
func (p *Peers) CallIdempotent(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &repeatedCall{Peers: p, ctx: ctx, address: address, method: method, args: args, reply: reply, results: make(chan result, maxAttempts)}
	return r.run()
}

// maxAttempts is the number of times that an idempotent method is called.
const maxAttempts = 2

// repeatedCall is a call of an idempotent method.
type repeatedCall struct {
	*Peers
	ctx             context.Context
	address, method string
	args, reply     any
	results         chan result
	first           atomic.Pointer[connection] // of the first attempt
	attempts        int                        // started
	running         int
}

// result is the result of an attempt.
type result struct {
	reply any
	took  time.Duration
	err   error
}

// start starts an attempt. It has a reply of its own, as one that was given up may still be written to.
func (r *repeatedCall) start() {
	r.attempts++
	r.running++
	reply := reflect.New(reflect.TypeOf(r.reply).Elem()).Interface()
	go func() {
		took, err := r.call(r.ctx, r.address, r.method, r.args, reply, func(c *connection) { r.first.CompareAndSwap(nil, c) })
		r.results <- result{reply, took, err}
	}()
}

func (r *repeatedCall) run() error {
	r.start()
	silence := time.NewTimer(silenceTimeout)
	defer silence.Stop()
	for {
		select {
		case <-silence.C:
			if left := r.repeatIfSilent(); left > 0 {
				silence.Reset(left)
			}
		case got := <-r.results:
			r.running--
			if got.err == nil {
				return r.succeeded(got)
			}
			r.repeatIfLost(got.err)
			if r.running == 0 {
				return got.err
			}
		}
	}
}

// repeatIfSilent calls a method that is answered at once again if its connection is silent, and
// otherwise returns when to look again.
func (r *repeatedCall) repeatIfSilent() (left time.Duration) {
	if !AnsweredAtOnce(r.method) || r.attempts == maxAttempts {
		return 0
	}
	if left = r.retireIfSilent(r.address, r.first.Load()); left == 0 {
		r.start()
	}
	return left
}

// repeatIfLost calls again if an open connection was lost.
func (r *repeatedCall) repeatIfLost(err error) {
	var failed *Error
	if errors.As(err, &failed) && failed.ConnectionLost && r.attempts < maxAttempts && r.ctx.Err() == nil {
		r.start()
	}
}

// succeeded returns an attempt's reply. A repeated call is no measure of the round trip.
func (r *repeatedCall) succeeded(got result) error {
	reflect.ValueOf(r.reply).Elem().Set(reflect.ValueOf(got.reply).Elem())
	if r.attempts == 1 && AnsweredAtOnce(r.method) {
		r.roundTrips.Record(time.Now(), r.address, got.took)
	}
	return nil
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
	if p.connections[address] == nil {
		timeout = min(2*timeout, roundtrip.Max)
	}
	return timeout, known
}

// Forget closes the connection to an address: after a network partition an old
// connection may stay stalled for long.
func (p *Peers) Forget(address string) {
	p.mu.Lock()
	c, ok := p.connections[address]
	p.mu.Unlock()
	if ok {
		p.drop(address, c)
	}
}

// Close closes all connections; later calls fail.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, c := range p.connections {
		_ = c.client.Close()
		delete(p.connections, address)
	}
}

// connect returns the connection to an address for a call, which release ends.
func (p *Peers) connect(ctx context.Context, address string) (*connection, error) {
	if c := p.use(address); c != nil {
		return c, nil
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	c, ok := p.connections[address]
	if ok {
		_ = conn.Close()
	} else {
		c = newConnection(conn)
		p.connections[address] = c
	}
	c.begin(time.Now())
	return c, nil
}

// use returns the open connection to an address for a call; nil if there is none.
func (p *Peers) use(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.connections[address]
	if c != nil {
		c.begin(time.Now())
	}
	return c
}

// release ends a call. A retired connection is closed after its last call.
func (p *Peers) release(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.waiting--
	if c.retired && c.waiting == 0 {
		c.drop()
	}
}

// retireIfSilent lets no further call use a connection if it is silent. Calls that wait for their
// answers keep it. Otherwise it returns how long the connection has to stay silent for that. c is
// nil while it is being opened.
func (p *Peers) retireIfSilent(address string, c *connection) (left time.Duration) {
	if c == nil {
		return silenceTimeout
	}
	now := time.Now()
	p.mu.Lock()
	if c.retired {
		p.mu.Unlock()
		return 0
	}
	silent := c.silence(now)
	if silent < silenceTimeout {
		p.mu.Unlock()
		return silenceTimeout - silent
	}
	if p.connections[address] == c {
		delete(p.connections, address)
	}
	c.retired = true
	waiting := c.waiting
	p.mu.Unlock()
	if p.observer != nil {
		p.observer.ConnectionRetired(address, silent, waiting)
	}
	return 0
}

func (p *Peers) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.tls == nil {
		return p.open(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout}, Config: p.tls}).DialContext(ctx, "tcp", address)
}

// drop closes a connection.
func (p *Peers) drop(address string, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connections[address] == c {
		delete(p.connections, address)
	}
	c.drop()
}
