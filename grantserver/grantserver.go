// Package grantserver serves grant requests on a home box: it holds a home.Home
// for each requested cell, and blocks each caller until its answer.
package grantserver

import (
	"context"
	"sync"
	"time"

	"petrelstep/health"
	"petrelstep/home"
	"petrelstep/refusal"
	"petrelstep/wire"
)

type cell struct {
	home    *home.Home
	waiters map[string]chan wire.Grant
}

// Server holds the grants of all cells. It is safe for concurrent use.
type Server struct {
	mu      sync.Mutex
	params  home.Params
	lengths home.Lengths
	health  *health.Health
	engines func(cell string) []string
	cells   map[string]*cell
	closed  bool
}

// New returns a server without cells; engines names the engines of a cell.
func New(params home.Params, lengths home.Lengths, h *health.Health, engines func(cell string) []string) *Server {
	return &Server{params: params, lengths: lengths, health: h, engines: engines, cells: map[string]*cell{}}
}

// Configure applies new parameters and rereads the engines of all cells.
func (g *Server) Configure(params home.Params) {
	g.mu.Lock()
	defer g.mu.Unlock()
	params.Share = g.params.Share
	g.params = params
	for id, c := range g.cells {
		c.home.SetParams(params)
		c.home.SetEngines(g.engines(id))
	}
}

// SetShare sets the fraction of the free memory that is granted: less than 1
// during a network partition, as the other side may have its own home box.
func (g *Server) SetShare(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.params.Share == share {
		return
	}
	g.params.Share = share
	for _, c := range g.cells {
		c.home.SetParams(g.params)
	}
}

// Request waits for a grant or a refusal. If ctx ends first, it removes the
// request from the queue and releases a grant made meanwhile.
func (g *Server) Request(ctx context.Context, now time.Time, ask wire.Ask) wire.Grant {
	waiter, refused := g.enqueue(now, ask)
	if refused != nil {
		return *refused
	}
	select {
	case grant := <-waiter:
		return grant
	case <-ctx.Done():
		g.Withdraw(now, ask.Cell, ask.Attempt)
		return wire.Grant{Reason: string(refusal.Deadline)}
	}
}

func (g *Server) enqueue(now time.Time, ask wire.Ask) (chan wire.Grant, *wire.Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, &wire.Grant{Reason: string(refusal.Draining)}
	}
	c := g.cell(ask.Cell)
	if err := c.home.Offer(now, ask); err != nil {
		return nil, refusedGrant(err)
	}
	waiter := make(chan wire.Grant, 1)
	c.waiters[ask.Attempt] = waiter
	c.admit(now)
	return waiter, nil
}

func refusedGrant(err error) *wire.Grant {
	r, ok := err.(refusal.Refusal)
	if !ok {
		r = refusal.New(refusal.InternalUnexpected, err.Error())
	}
	return &wire.Grant{Reason: string(r.Reason()), RetryAfterMs: int(r.RetryAfter().Milliseconds())}
}

// Withdraw removes a request from the queue, or releases its grant.
func (g *Server) Withdraw(now time.Time, cellID, attempt string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.cells[cellID]
	if !ok {
		return
	}
	delete(c.waiters, attempt)
	if !c.home.Withdraw(attempt) {
		c.home.Settle(now, wire.SettleItem{Attempt: attempt, Ended: true, Cut: true})
	}
}

// Settle applies a box's report on its granted generations.
func (g *Server) Settle(now time.Time, s wire.Settle) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.cell(s.Cell)
	for _, it := range s.Items {
		c.home.Settle(now, it)
	}
	c.admit(now)
}

// Report applies a load report of an engine of a cell.
func (g *Server) Report(now time.Time, cellID string, load wire.EngineLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c, ok := g.cells[cellID]; ok {
		c.home.Report(now, load)
	}
}

// Round grants the requests that fit now, in all cells.
func (g *Server) Round(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.cells {
		c.home.Sweep(now)
		c.admit(now)
	}
}

// Close refuses all waiting and future requests as draining, so that their
// boxes try the next home box.
func (g *Server) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, c := range g.cells {
		for attempt := range c.waiters {
			c.home.Withdraw(attempt)
			c.answer(attempt, wire.Grant{Reason: string(refusal.Draining)})
		}
	}
}

// Waiting returns the number of queued requests in all cells.
func (g *Server) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, c := range g.cells {
		n += c.home.Waiting()
	}
	return n
}

func (g *Server) cell(id string) *cell {
	c, ok := g.cells[id]
	if !ok {
		c = &cell{home: home.New(g.params, g.lengths, g.health), waiters: map[string]chan wire.Grant{}}
		c.home.SetEngines(g.engines(id))
		g.cells[id] = c
	}
	return c
}

func (c *cell) admit(now time.Time) {
	expired, retryAfter := c.home.Expired(now)
	for _, ask := range expired {
		c.answer(ask.Attempt, wire.Grant{Reason: string(refusal.Deadline), RetryAfterMs: int(retryAfter.Milliseconds())})
	}
	for _, granted := range c.home.Admit(now) {
		c.answer(granted.Ask.Attempt, wire.Grant{Engine: granted.Engine, Room: granted.Room})
	}
}

func (c *cell) answer(attempt string, grant wire.Grant) {
	if w, ok := c.waiters[attempt]; ok {
		w <- grant // buffered: each waiter gets one answer
		delete(c.waiters, attempt)
	}
}

// RecordCacheEvent applies a prefix cache event of an engine of a cell.
func (g *Server) RecordCacheEvent(cellID, engine string, seq int, stored bool, block uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c, ok := g.cells[cellID]; ok {
		c.home.RecordCacheEvent(engine, seq, stored, block)
	}
}
