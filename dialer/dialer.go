// Package dialer opens connections to upstreams.
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
	// maxAttempts is the number of attempts, as an opening packet may be lost.
	maxAttempts = 2
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Links records which upstreams this box reaches.
type Links interface {
	Dialed(now time.Time, t links.Target, outcome string)
}

// Dialer is safe for concurrent use.
type Dialer struct {
	dial  Dial
	links Links
}

// New returns a dialer that connects by dial.
func New(dial Dial, l Links) *Dialer { return &Dialer{dial: dial, links: l} }

type targetKey struct{}

// WithTarget returns a context that names the upstream to which a connection is opened.
func WithTarget(ctx context.Context, t links.Target) context.Context {
	return context.WithValue(ctx, targetKey{}, t)
}

// Dial connects to an upstream.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	target, _ := ctx.Value(targetKey{}).(links.Target) // a call of the box's own names none
	target.Address = address
	for attempt := 1; ; attempt++ {
		conn, err := d.dial(ctx, network, address)
		if ctx.Err() == nil || err == nil {
			d.links.Dialed(time.Now(), target, outcomeOf(err))
		}
		if err == nil || attempt == maxAttempts || ctx.Err() != nil || !isTimeout(err) {
			return conn, err
		}
	}
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
