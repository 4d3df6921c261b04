package dialer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"petrelstep/links"
)

// plan is how a connection is tried.
type plan struct {
	failed     error         // of a direct attempt before; nil for none
	took       time.Duration // by that attempt
	attempts   int           // direct attempts that may be made
	directLast bool          // directly only after all peers have failed
	peersAfter time.Duration // when the first peer is asked, unless a direct attempt fails before
	timeout    time.Duration
}

// attempt is the result of one way to connect.
type attempt struct {
	conn net.Conn
	err  error
	peer string // empty for a direct attempt
	took time.Duration

	another bool // a connection to another upstream, to find out about this box's links
}

// race is a connection that is tried in several ways at once.
type race struct {
	*Dialer
	plan
	ctx     context.Context
	target  links.Target
	peers   []Peer
	results chan attempt
	settled <-chan time.Time // when a refusal counts; nil without one

	direct  bool // a direct attempt is running
	another bool // a connection to another upstream is being opened
	intact  bool // another upstream was reached after this one refused
	due     bool // settled has passed
	asked   int  // number of peers that are being asked
	refused int  // number of peers with intact links that the upstream refused
	silent  int  // number of peers with intact links that it did not answer
	cutOff  int  // number of peers that are cut off from it too
}

// race tries the ways of a plan until one connects.
func (d *Dialer) race(ctx context.Context, t links.Target, p plan) (net.Conn, error) {
	racing, cancel := context.WithTimeout(ctx, p.timeout)
	peers := d.peers(t)
	peers = peers[:min(len(peers), maxPeers)]
	r := &race{Dialer: d, plan: p, ctx: racing, target: t, peers: peers, results: make(chan attempt, maxPeers+maxAttempts+1)}
	conn, err := r.run()
	cancel()
	if n := r.running(); n > 0 {
		go r.discard(n)
	}
	return conn, err
}

// running returns the number of attempts without a result.
func (r *race) running() int {
	n := r.asked
	for _, running := range []bool{r.direct, r.another} {
		if running {
			n++
		}
	}
	return n
}

// discard closes the connections of attempts that were too late.
func (r *race) discard(n int) {
	for range n {
		if a := <-r.results; a.conn != nil {
			_ = a.conn.Close()
		}
	}
}

func (r *race) run() (net.Conn, error) {
	if !r.directLast && (r.failed == nil || isTimeout(r.failed)) {
		r.startDirect()
	}
	if errors.Is(r.failed, syscall.ECONNREFUSED) {
		r.checkRefusal(r.took)
	}
	delay := r.peersAfter
	if delay == 0 {
		r.startPeer()
		delay = nextPeerDelay
	}
	next := time.NewTimer(delay)
	defer next.Stop()
	for !r.concluded() && (r.running() > 0 || r.startAny()) {
		select {
		case <-r.settled:
			r.due = true
		case <-r.ctx.Done():
			return nil, r.err()
		case <-next.C:
			r.startPeer()
			next.Reset(nextPeerDelay)
		case a := <-r.results:
			if a.err == nil && !a.another {
				return r.won(a), nil
			}
			r.lost(a)
		}
	}
	return nil, r.err()
}

// won records the way that connected.
func (r *race) won(a attempt) net.Conn {
	if a.peer == "" {
		r.direct = false
		return a.conn
	}
	r.asked--
	if r.failed != nil || r.direct { // a direct attempt failed, or has no answer yet
		r.links.ReachedByPeer(time.Now(), r.target, a.peer)
	}
	return a.conn
}

// lost records a failed attempt and starts the next one that need not wait.
func (r *race) lost(a attempt) {
	if a.another {
		r.another, r.intact = false, a.err == nil
		return
	}
	if a.peer != "" {
		r.asked--
		var answered *PeerError
		switch {
		case !errors.As(a.err, &answered): // the box itself was not reached
		case answered.Refused:
			r.refused++
		case answered.Unreached:
			r.silent++
		case answered.CutOff:
			r.cutOff++
		}
		r.startPeer()
		return
	}
	r.direct, r.failed = false, a.err
	switch {
	case isTimeout(a.err):
		r.startDirect()
	case errors.Is(a.err, syscall.ECONNREFUSED):
		r.checkRefusal(a.took)
	}
	if r.asked == 0 {
		r.startPeer()
	}
}

// checkRefusal finds out whether an upstream that refuses this box has ended: two peers are asked at
// once, and another upstream is connected to.
func (r *race) checkRefusal(took time.Duration) {
	settle := refusedTime
	if !r.target.Check {
		settle = max(settle, refusedRoundTrips*took)
	}
	r.settled = time.After(settle)
	r.startPeer()
	if r.asked < 2 {
		r.startPeer()
	}
	r.another = true
	go func() {
		var err error
		if !r.reachesAnother(r.ctx, r.target) {
			err = &LinkError{Err: r.ctx.Err()}
		}
		r.results <- attempt{err: err, another: true}
	}()
}

// concluded reports whether it is known that the upstream refuses connections.
func (r *race) concluded() bool {
	return errors.Is(r.failed, syscall.ECONNREFUSED) && (r.refused > 0 || r.due && r.intact)
}

// startAny starts a way that is left, and reports whether there is one.
func (r *race) startAny() bool {
	r.startPeer()
	if r.asked == 0 && r.directLast {
		r.startDirect()
	}
	return r.running() > 0
}

func (r *race) startDirect() {
	if r.direct || r.attempts == 0 {
		return
	}
	r.direct = true
	r.attempts--
	go func() {
		began := time.Now()
		conn, err := r.Dialer.direct(r.ctx, r.target)
		r.results <- attempt{conn: conn, err: err, took: time.Since(began)}
	}()
}

// startPeer asks the next peer.
func (r *race) startPeer() {
	if len(r.peers) == 0 {
		return
	}
	peer := r.peers[0]
	r.peers = r.peers[1:]
	r.asked++
	go func() {
		conn, err := peer.Open(r.ctx, r.target)
		r.results <- attempt{conn: conn, err: err, peer: peer.Name}
	}()
}

// err returns why no way connected. Whether it is the upstream or this box's link that fails is told
// by boxes whose links are intact; what this box met itself counts only if no other box says that it
// is cut off too.
func (r *race) err() error {
	told := r.refused+r.silent > 0
	if told {
		r.links.UnreachedByPeer(r.target)
	}
	switch {
	case r.refused > 0 && r.silent == 0, r.concluded():
		return &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case r.failed == nil, told && errors.Is(r.failed, syscall.ECONNREFUSED), !told && r.cutOff > 0:
		return &net.OpError{Op: "dial", Err: &UnreachedError{LinkSuspect: !told}}
	}
	return r.failed
}

// PeerError reports that a peer answered that it did not connect to an upstream.
type PeerError struct {
	Peer      string
	Outcome   string
	Refused   bool // the upstream refused the connection
	Unreached bool // its links are intact, and the upstream did not answer
	CutOff    bool // it is cut off from the upstream too
}

// Error implements error.
func (e *PeerError) Error() string { return "peer " + e.Peer + ": " + e.Outcome }

// UnreachedError reports that no way to an upstream connected.
type UnreachedError struct {
	LinkSuspect bool // it may be this box's link that fails
}

// Error implements error.
func (*UnreachedError) Error() string { return "neither this box nor another one reached the upstream" }
