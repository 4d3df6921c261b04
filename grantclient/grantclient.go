// Package grantclient requests grants from the home box of a cell, which may be
// this box. It fails over to the next box in the order when the home box is
// removed, leaving or unreachable.
package grantclient

import (
	"context"
	"time"

	"petrelstep/cells"
	"petrelstep/grantserver"
	"petrelstep/members"
	"petrelstep/metrics"
	"petrelstep/peer"
	"petrelstep/refusal"
	"petrelstep/wire"
)

const (
	// checkInterval is how often a waiting request checks that its home box is
	// still the cell's home box.
	checkInterval = 500 * time.Millisecond
	// settleTimeout bounds a settle or withdraw call to a home box.
	settleTimeout = 2 * time.Second
)

// Client requests grants from home boxes. It is safe for concurrent use.
type Client struct {
	members *members.Members
	peers   *peer.Peers
	grants  *grantserver.Server
	metrics *metrics.Metrics
}

// New returns a client of all home boxes; g serves the cells of this box.
func New(m *members.Members, p *peer.Peers, g *grantserver.Server, counts *metrics.Metrics) *Client {
	return &Client{members: m, peers: p, grants: g, metrics: counts}
}

// Home returns the home box of a cell, as this box sees it.
func (c *Client) Home(cell string) (members.Box, bool) {
	return c.members.First(time.Now(), cell, cells.Hall(cell))
}

// HomeOf returns the name of a cell's home box; empty if no box is live.
func (c *Client) HomeOf(cell string) string {
	home, _ := c.Home(cell)
	return home.Name
}

// IsHome reports whether this box is the home box of a cell.
func (c *Client) IsHome(cell string) bool {
	home, ok := c.Home(cell)
	return ok && home.Name == c.members.Self().Name
}

// Request waits for memory on an engine of a cell until ctx ends. It returns the
// grant and the box that issued it; the error is a refusal.Refusal.
func (c *Client) Request(ctx context.Context, ask wire.Ask) (wire.Grant, string, error) {
	began := time.Now()
	for {
		home, ok := c.Home(ask.Cell)
		if !ok {
			return wire.Grant{}, "", refusal.New(refusal.HomeUnreachable, "no live box").WithRetryAfter(time.Second)
		}
		ask.WaitedMs = int(time.Since(began).Milliseconds())
		grant, retry := c.requestFrom(ctx, home, ask)
		if retry && ctx.Err() == nil {
			c.metrics.Retried(metrics.RetryHomeGone)
			continue
		}
		if ctx.Err() != nil && grant.Engine == "" && grant.Reason == "" {
			grant.Reason = string(refusal.Deadline)
		}
		if grant.Engine != "" {
			return grant, home.Name, nil
		}
		retryAfter := time.Duration(grant.RetryAfterMs) * time.Millisecond
		return grant, "", refusal.New(refusal.Reason(grant.Reason), "no free memory for the model").WithRetryAfter(retryAfter)
	}
}

// requestFrom requests a grant from one box; retry reports whether to try the
// next box in the order.
func (c *Client) requestFrom(ctx context.Context, home members.Box, ask wire.Ask) (grant wire.Grant, retry bool) {
	if home.Name == c.members.Self().Name {
		grant = c.grants.Request(ctx, time.Now(), ask)
		return grant, grant.Reason == string(refusal.Draining)
	}
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		grant wire.Grant
		err   error
	}
	answers := make(chan answer, 1)
	go func() {
		var g wire.Grant
		err := c.peers.Call(call, home.Address, peer.Ask, ask, &g)
		answers <- answer{g, err}
	}()
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for {
		select {
		case a := <-answers:
			return c.handleAnswer(ctx, home, ask, a.grant, a.err)
		case <-check.C:
			if now, ok := c.Home(ask.Cell); ok && now.Name != home.Name {
				c.withdraw(home, ask)
				return wire.Grant{}, true
			}
		}
	}
}

// handleAnswer interprets the answer of a home box; the bool reports whether to
// try the next box in the order.
func (c *Client) handleAnswer(ctx context.Context, home members.Box, ask wire.Ask, g wire.Grant, err error) (wire.Grant, bool) {
	switch {
	case err == nil && g.Reason == string(refusal.Draining):
		c.members.MarkSeen(time.Now(), withState(home, members.Leaving))
		return wire.Grant{}, true
	case err == nil:
		return g, false
	case ctx.Err() != nil:
		c.withdraw(home, ask)
		return wire.Grant{Reason: string(refusal.Deadline)}, false
	}
	c.members.MarkFailed(time.Now(), home.Name)
	return wire.Grant{}, true
}

func withState(b members.Box, s members.State) members.Box {
	b.State = s
	return b
}

// withdraw cancels a request without waiting for the answer: the home box
// drops grants that are not settled anyway.
func (c *Client) withdraw(home members.Box, ask wire.Ask) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		var done wire.Nothing
		_ = c.peers.Call(ctx, home.Address, peer.Withdraw, wire.Withdraw{Cell: ask.Cell, Attempt: ask.Attempt}, &done)
	}()
}

// Settle reports the progress of generations to the home box of a cell, and
// whether the box received it. items returns the items for a home box, with
// full details if the box does not know the generations yet.
func (c *Client) Settle(ctx context.Context, cell string, items func(home string) []wire.SettleItem) bool {
	home, ok := c.Home(cell)
	if !ok {
		return false
	}
	s := wire.Settle{Box: c.members.Self().Name, Cell: cell, Items: items(home.Name)}
	if len(s.Items) == 0 {
		return true
	}
	if home.Name == c.members.Self().Name {
		c.grants.Settle(time.Now(), s)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var done wire.Nothing
	err := c.peers.Call(ctx, home.Address, peer.Settle, s, &done)
	if peer.Unreachable(err) {
		c.members.MarkFailed(time.Now(), home.Name)
	}
	return err == nil
}
