package dispatch

import (
	"petrelstep/generation"
	"petrelstep/inflight"
	"petrelstep/outputlen"
	"petrelstep/ticket"
)

// Running is a generation whose first token, or whole end, has come.
type Running struct {
	*generation.Generation
	Attempt string
	Engine  string
	Address string
	First   generation.Token
	Empty   bool // it ended without a token
	promise func()
	flight  *inflight.Generation
	flights *inflight.Tracker
}

// Progress notes how many tokens were passed on.
func (r *Running) Progress() { r.flight.Progress(r.Count()) }

// End settles the generation: cut says that it would have gone on.
func (r *Running) End(cut bool) {
	r.Close()
	r.promise()
	r.flights.End(r.Attempt, r.Count(), cut)
}

// Abandon leaves the generation at its engine for the caller to come back to.
func (r *Running) Abandon() {
	r.Close()
	r.promise()
	r.flight.Progress(r.Count())
	r.flights.Abandon(r.Attempt)
}

// Resume wraps a generation that a caller takes up at this box. What another
// box dispatched is settled by nobody here; its home box lets it lapse.
func (d *Dispatcher) Resume(c ticket.Claims, g *generation.Generation) *Running {
	f := &inflight.Generation{
		Attempt: c.Attempt, Engine: c.Engine, Address: c.Address, Cell: d.Cells().Of(c.Engine),
		Key: outputlen.Key{Organisation: c.Organisation, Model: c.Model},
	}
	if known := d.Flights.Get(c.Attempt); known != nil {
		f = known
	} else {
		d.Flights.Start(f)
	}
	return NewRunning(g, f, d.Flights)
}

// NewRunning wraps a generation that was opened elsewhere.
func NewRunning(g *generation.Generation, f *inflight.Generation, flights *inflight.Tracker) *Running {
	return &Running{
		Generation: g, Attempt: f.Attempt, Engine: f.Engine, Address: f.Address, Empty: true,
		promise: func() {}, flight: f, flights: flights,
	}
}
