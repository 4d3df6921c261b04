// Package dialer opens connections to upstreams: over this box's own links or, where these are
// cut, through another box. Nothing is sent before a connection is open, so that several ways may
// be tried at once.
package dialer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"petrelstep/links"
)

const (
	// directTimeout bounds one attempt to connect: a round trip takes 3 ms, and TCP
	// retransmits a lost opening packet after 1 s.
	directTimeout = 120 * time.Millisecond
	// maxAttempts is the number of direct attempts, as an opening packet may be lost.
	maxAttempts = 2
	// suspectDelay is how long a direct attempt goes alone while some link is cut: several
	// round trips within a region.
	suspectDelay = 30 * time.Millisecond
	// nextPeerDelay is how long one peer goes alone before the next one is asked.
	nextPeerDelay = 60 * time.Millisecond
	// maxPeers bounds the peers that are asked for one connection.
	maxPeers = 3
	// anotherTimeout bounds the connection to another upstream, by which a box finds out about
	// its own links: a round trip between regions, and less than directTimeout with
	// suspectDelay, so that a peer is told in time.
	anotherTimeout = 85 * time.Millisecond
	// refusedTime is how long other boxes have to connect to an upstream that refuses this
	// box while it reaches another one, or refusedRoundTrips as long as the refusal took.
	refusedTime       = 50 * time.Millisecond
	refusedRoundTrips = 2
	// peerTimeout bounds the time that peers have to connect: they make one direct attempt.
	peerTimeout = directTimeout + 30*time.Millisecond
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Links records which upstreams this box reaches.
type Links interface {
	Quiet() bool
	Cut(t links.Target) bool
	Dialed(now time.Time, t links.Target, outcome string)
	ReachedByPeer(now time.Time, t links.Target, peer string)
	UnreachedByPeer(t links.Target)
	LastReached(t links.Target) (last links.Target, ok bool)
}

// Peer is another box that may connect to an upstream.
type Peer struct {
	Name string
	Open func(ctx context.Context, t links.Target) (net.Conn, error)
}

// Peers returns the boxes that may connect to an upstream, best first.
type Peers func(t links.Target) []Peer

// Dialer is safe for concurrent use.
type Dialer struct {
	dial    Dial
	links   Links
	peers   Peers
	resolve func(t links.Target) links.Target
}

// New returns a dialer that connects directly by dial and otherwise through peers. Resolve
// completes a target from its id or address.
func New(dial Dial, l Links, peers Peers, resolve func(t links.Target) links.Target) *Dialer {
	return &Dialer{dial: dial, links: l, peers: peers, resolve: resolve}
}

type targetKey struct{}

// WithTarget returns a context that names the upstream to which a connection is opened.
func WithTarget(ctx context.Context, t links.Target) context.Context {
	return context.WithValue(ctx, targetKey{}, t)
}

// TargetOf returns the upstream that a context names.
func TargetOf(ctx context.Context, address string) links.Target {
	t, _ := ctx.Value(targetKey{}).(links.Target) // a call of the box's own may name none
	t.Address = address
	return t
}

// Dial connects to an upstream.
func (d *Dialer) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	t := TargetOf(ctx, address)
	if d.links.Quiet() {
		began := time.Now()
		conn, err := d.direct(ctx, t)
		if err == nil || ctx.Err() != nil {
			return conn, err
		}
		return d.race(ctx, d.resolve(t), plan{failed: err, took: time.Since(began), attempts: maxAttempts - 1, timeout: peerTimeout})
	}
	t = d.resolve(t)
	if d.links.Cut(t) {
		return d.race(ctx, t, plan{attempts: 1, directLast: true, timeout: peerTimeout + directTimeout})
	}
	return d.race(ctx, t, plan{attempts: maxAttempts, peersAfter: suspectDelay, timeout: maxAttempts * directTimeout})
}

// Direct makes one attempt to connect directly, without other boxes.
func (d *Dialer) Direct(ctx context.Context, t links.Target) (net.Conn, error) {
	return d.direct(ctx, d.resolve(t))
}

// DirectForPeer is Direct for another box. An error other than a *LinkError says that the upstream
// is not reached although this box's links are intact.
func (d *Dialer) DirectForPeer(ctx context.Context, t links.Target) (net.Conn, error) {
	intact := make(chan bool, 1)
	check := time.AfterFunc(suspectDelay, func() { intact <- d.reachesAnother(ctx, t) })
	conn, err := d.direct(ctx, t)
	if err == nil {
		check.Stop()
		return conn, nil
	}
	if check.Stop() {
		intact <- d.reachesAnother(ctx, t)
	}
	if !<-intact {
		return nil, &LinkError{Err: err}
	}
	return nil, err
}

// reachesAnother reports whether this box reaches the last upstream other than t that it reached.
func (d *Dialer) reachesAnother(ctx context.Context, t links.Target) bool {
	last, ok := d.links.LastReached(t)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, anotherTimeout)
	defer cancel()
	conn, err := d.direct(ctx, last)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent
	return true
}

// LinkError reports that an upstream was not reached, and that this box's links may be the reason.
type LinkError struct{ Err error }

// Error implements error.
func (e *LinkError) Error() string {
	if e.Err == nil {
		return "no upstream reached"
	}
	return "no upstream reached: " + e.Err.Error()
}

func (d *Dialer) direct(ctx context.Context, t links.Target) (net.Conn, error) {
	conn, err := d.dial(ctx, "tcp", t.Address)
	if err == nil || ctx.Err() == nil {
		d.links.Dialed(time.Now(), t, outcomeOf(err))
	}
	return conn, err
}

// Direct connects over this box's own network, in one attempt.
func Direct(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: directTimeout}).DialContext(ctx, network, address)
}

func outcomeOf(err error) string {
	switch {
	case err == nil:
		return links.Connected
	case errors.Is(err, syscall.ECONNREFUSED):
		return links.Refused
	case isTimeout(err):
		return links.TimedOut
	}
	return links.Failed
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
