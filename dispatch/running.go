package dispatch

import (
	"petrelstep/generation"
	"petrelstep/inflight"
	"petrelstep/outputlen"
	"petrelstep/ticket"
)

// Running is a generation that has its first token or has ended.
type Running struct {
	*generation.Generation
	Attempt string
	Engine  string
	Address string
	First   generation.Token
	Empty   bool // it ended without a token
	release func()
	flight  *inflight.Generation
	flights *inflight.Tracker
}

// Progress records the number of tokens passed on.
func (r *Running) Progress() { r.flight.Progress(r.Count()) }

// End settles the generation; cut reports whether it was ended early.
func (r *Running) End(cut bool) {
	r.Close()
	r.release()
	r.flights.End(r.Attempt, r.Count(), cut)
}

// Abandon leaves the generation running at its engine for the caller to resume.
func (r *Running) Abandon() {
	r.Close()
	r.release()
	r.flight.Progress(r.Count())
	r.flights.Abandon(r.Attempt)
}

// Resume wraps a generation that a caller resumes at this box. A generation that
// another box dispatched is not settled from here; its grant lapses at its home
// box.
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
		release: func() {}, flight: f, flights: flights,
	}
}
