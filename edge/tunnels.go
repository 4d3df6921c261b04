package edge

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/dialer"
	"petrelstep/fleet"
	"petrelstep/gossip"
	"petrelstep/links"
	"petrelstep/members"
	"petrelstep/peer/tunnel"
	"petrelstep/wire"
)

const (
	// lentDivisor bounds the connections that are held open for other boxes, to
	// 1/lentDivisor of the requests that this box can hold.
	lentDivisor = 2
	// tunnelBytes is the memory of a connection that is held open for another box: the bytes of
	// a call in each direction.
	tunnelBytes = 64 << 10
	// overtakenAfter is the time after which a box that was overtaken by another one is left
	// out for a while: several round trips within a region.
	overtakenAfter = 50 * time.Millisecond
)

// setDial sets how this box connects to upstreams over its own network.
func (e *Edge) setDial(direct dialer.Dial) {
	e.dialer = dialer.New(direct, e.links, e.tunnelPeers, e.completeTarget)
}

// dial connects to an upstream.
func (e *Edge) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return e.dialer.Dial(ctx, network, address)
}

// newTunnelServer returns what serves the connections of other boxes to upstreams.
func newTunnelServer(e *Edge) *tunnel.Server {
	return tunnel.NewServer(tunnel.ServerComponents{
		Dial: e.dialForPeer, Target: e.targetOf, Refusal: e.tunnelRefusal, Counter: e.metrics, Log: e.log,
	})
}

// dialForPeer connects to an upstream for another box, over this box's own links only.
func (e *Edge) dialForPeer(ctx context.Context, t links.Target) (net.Conn, error) {
	if e.links.Doubtful() || e.links.Cut(t) {
		return nil, &tunnel.CutError{}
	}
	conn, err := e.dialer.DirectForPeer(ctx, t)
	if errors.As(err, new(*dialer.LinkError)) {
		return nil, &tunnel.CutError{}
	}
	return conn, err
}

// targetOf returns the upstream of this box's fleet that has an address, and the given id unless
// that is empty.
func (e *Edge) targetOf(id, address string) (links.Target, bool) {
	u, ok := e.fleet.Get(id)
	if id == "" {
		u, ok = e.fleet.At(address)
	}
	return links.Target{Address: u.Address, Upstream: u.ID, Service: u.Service, Hall: u.Hall}, ok && u.Address == address
}

// completeTarget adds what is known of an upstream to a target.
func (e *Edge) completeTarget(t links.Target) links.Target {
	known, ok := e.targetOf(t.Upstream, t.Address)
	if !ok {
		return t
	}
	known.Request, known.Regions, known.Check = t.Request, t.Regions, t.Check
	return known
}

// tunnelRefusal returns why this box connects to no upstream for another one.
func (e *Edge) tunnelRefusal(ask wire.TunnelOpen, open int) string {
	switch {
	case gossip.OtherFleet(ask.FleetName, e.config.Edge.Fleet):
		return tunnel.OtherFleet
	case e.draining.Load():
		return tunnel.Stopping
	case e.full() || open >= maxRequests(e.config.Edge, 0)/lentDivisor:
		return tunnel.Full
	}
	return ""
}

// tunnelPeers returns the boxes that may connect to an upstream for this one.
func (e *Edge) tunnelPeers(t links.Target) []dialer.Peer {
	now := time.Now()
	var list []dialer.Peer
	for _, b := range e.tunnelChoice.Order(now, e.members.Peers(now), t.Regions) {
		list = append(list, dialer.Peer{Name: b.Name, Open: func(ctx context.Context, t links.Target) (net.Conn, error) {
			return e.openTunnel(ctx, b, t)
		}})
	}
	return list
}

// openTunnel connects to an upstream through another box.
func (e *Edge) openTunnel(ctx context.Context, b members.Box, t links.Target) (net.Conn, error) {
	began := time.Now()
	conn, err := e.tunnelClient.Open(ctx, b.Address, t)
	if err != nil && ctx.Err() != nil { // another way was faster
		if time.Since(began) >= overtakenAfter {
			e.tunnelChoice.Failed(time.Now(), b, tunnel.Overtaken)
			e.metrics.TunnelOpened(tunnel.Overtaken)
		}
		return nil, err
	}
	outcome := links.Connected
	var failed *tunnel.OpenError
	if errors.As(err, &failed) {
		outcome = failed.Outcome
		e.tunnelChoice.Failed(time.Now(), b, outcome)
		if outcome != "" {
			err = &dialer.PeerError{Peer: b.Name, Outcome: outcome, Refused: outcome == links.Refused, Unreached: outcome == links.TimedOut || outcome == links.Failed, CutOff: outcome == tunnel.LinkCut}
		}
	}
	e.metrics.TunnelOpened(outcome)
	entry := e.log.WithFields(logrus.Fields{"peer": b.Name, "upstream": t.Upstream, "request": t.Request, "outcome": outcome, "took_ms": time.Since(began).Milliseconds()})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("tunnel_opened")
	return conn, err
}

// checkLinks finds out which links that were cut are restored.
func (e *Edge) checkLinks(now time.Time) {
	known := func(t links.Target) bool {
		_, ok := e.targetOf(t.Upstream, t.Address)
		return ok
	}
	for _, t := range e.links.Checks(now, known) {
		go func() {
			if conn, err := e.dialer.Direct(context.Background(), t); err == nil {
				_ = conn.Close()
			}
		}()
	}
}

// reaches reports whether this box's link to an upstream is believed to be intact.
func (e *Edge) reaches(u fleet.Upstream) bool {
	return !e.links.Doubtful() && !e.links.Cut(links.Target{Address: u.Address, Upstream: u.ID, Service: u.Service, Hall: u.Hall})
}
