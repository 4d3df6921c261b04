// Package grantclient is the askers' side of grants: it finds the home box of a
// cell, which may be this one, and goes on to the next in the order when it
// is gone, leaving or cut off.
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
	// lookEvery is how often a waiting asker looks whether its home box is
	// still live.
	lookEvery = 500 * time.Millisecond
	// settleTime bounds a call that tells a home box how things go on.
	settleTime = 2 * time.Second
)

// Client is safe for use by several goroutines.
type Client struct {
	members *members.Members
	peers   *peer.Peers
	grants  *grantserver.Server
	metrics *metrics.Metrics
}

// New returns the way to all home boxes; own grants are asked of g.
func New(m *members.Members, p *peer.Peers, g *grantserver.Server, counts *metrics.Metrics) *Client {
	return &Client{members: m, peers: p, grants: g, metrics: counts}
}

// Home returns the home box of a cell, as this box sees it.
func (h *Client) Home(cell string) (members.Box, bool) {
	return h.members.First(time.Now(), cell, cells.Hall(cell))
}

// HomeOf returns the name of a cell's home box; empty if no box is live.
func (h *Client) HomeOf(cell string) string {
	home, _ := h.Home(cell)
	return home.Name
}

// IsHome tells whether this box is the home box of a cell.
func (h *Client) IsHome(cell string) bool {
	home, ok := h.Home(cell)
	return ok && home.Name == h.members.Self().Name
}

// Request waits for room on an engine of a cell until ctx ends. It returns the
// grant and the box that gave it; the error is a refusal.Refusal.
func (h *Client) Request(ctx context.Context, ask wire.Ask) (wire.Grant, string, error) {
	began := time.Now()
	for {
		home, ok := h.Home(ask.Cell)
		if !ok {
			return wire.Grant{}, "", refusal.New(refusal.HomeUnreachable, "no live box").WithRetryAfter(time.Second)
		}
		ask.WaitedMs = int(time.Since(began).Milliseconds())
		grant, again := h.askOne(ctx, home, ask)
		if again && ctx.Err() == nil {
			h.metrics.Retried(metrics.RetryHomeGone)
			continue
		}
		if ctx.Err() != nil && grant.Engine == "" && grant.Reason == "" {
			grant.Reason = string(refusal.Deadline)
		}
		if grant.Engine != "" {
			return grant, home.Name, nil
		}
		after := time.Duration(grant.RetryAfterMs) * time.Millisecond
		return grant, "", refusal.New(refusal.Reason(grant.Reason), "no room for the model").WithRetryAfter(after)
	}
}

// askOne asks one box; again says that the next in the order should be asked.
func (h *Client) askOne(ctx context.Context, home members.Box, ask wire.Ask) (grant wire.Grant, again bool) {
	if home.Name == h.members.Self().Name {
		grant = h.grants.Request(ctx, time.Now(), ask)
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
		err := h.peers.Call(call, home.Address, peer.Ask, ask, &g)
		answers <- answer{g, err}
	}()
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case a := <-answers:
			return h.answered(ctx, home, ask, a.grant, a.err)
		case <-look.C:
			if now, ok := h.Home(ask.Cell); ok && now.Name != home.Name {
				h.withdraw(home, ask)
				return wire.Grant{}, true
			}
		}
	}
}

func (h *Client) answered(ctx context.Context, home members.Box, ask wire.Ask, g wire.Grant, err error) (wire.Grant, bool) {
	switch {
	case err == nil && g.Reason == string(refusal.Draining):
		h.members.MarkSeen(time.Now(), withState(home, members.Leaving))
		return wire.Grant{}, true
	case err == nil:
		return g, false
	case ctx.Err() != nil:
		h.withdraw(home, ask)
		return wire.Grant{Reason: string(refusal.Deadline)}, false
	}
	h.members.MarkFailed(time.Now(), home.Name)
	return wire.Grant{}, true
}

func withState(b members.Box, s members.State) members.Box {
	b.State = s
	return b
}

// withdraw takes an ask back without waiting for the answer: the home box
// drops what is not settled all the same.
func (h *Client) withdraw(home members.Box, ask wire.Ask) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		var done wire.Nothing
		_ = h.peers.Call(ctx, home.Address, peer.Withdraw, wire.Withdraw{Cell: ask.Cell, Attempt: ask.Attempt}, &done)
	}()
}

// Settle tells the home box of a cell how generations go on, and returns the
// box that was told. introduce is asked for the full items when the box is
// not the one that knows them.
func (h *Client) Settle(ctx context.Context, cell string, items func(home string) []wire.SettleItem) bool {
	home, ok := h.Home(cell)
	if !ok {
		return false
	}
	s := wire.Settle{Box: h.members.Self().Name, Cell: cell, Items: items(home.Name)}
	if len(s.Items) == 0 {
		return true
	}
	if home.Name == h.members.Self().Name {
		h.grants.Settle(time.Now(), s)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	var done wire.Nothing
	err := h.peers.Call(ctx, home.Address, peer.Settle, s, &done)
	if peer.Refused(err) {
		h.members.MarkFailed(time.Now(), home.Name)
	}
	return err == nil
}
