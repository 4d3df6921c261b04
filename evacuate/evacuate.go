// Package evacuate moves the generations off an upstream that leaves, so that
// they go on elsewhere as the same runs. Copies of several runs share one link
// and hold each other up, so that only one run at a time moves off an upstream.
package evacuate

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/balance/speeds"
	"petrelstep/exchange"
	"petrelstep/fleet"
	"petrelstep/picker"
	"petrelstep/route"
	"petrelstep/runs"
	"petrelstep/upstreamload"
)

const (
	// evacuateFor bounds the work at one upstream: most are gone after 2 s, some
	// serve on for many.
	evacuateFor = 12 * time.Second
	// copyTime bounds one copy; it takes 0.1 to 0.5 s alone on its link.
	copyTime = 3 * time.Second
	// stopTime bounds the stop with the last of a copy; 25 ms alone, and up to
	// 1.2 s behind other copies.
	stopTime = 2 * time.Second
	// again is the wait before a run is tried that could not be moved just now.
	again = 60 * time.Millisecond
	// targetsMost is how many targets are tried for one run at a time.
	targetsMost = 3
	// targetsNamed is of how many targets the keeper of the turns may pick one
	// whose link is free; where many upstreams leave at once, each has a run under
	// way to another target.
	targetsNamed = 4
	// finishing is how much of a stream may be left for it to be moved last: it
	// may end within the shortest notice there is, 1.5 s.
	finishing = 600 * time.Millisecond
	// paceGuess is how long an event takes to make until any stream was seen.
	paceGuess = 50 * time.Millisecond
)

// What an upstream may answer to a move.
var (
	ErrNoRun      = errors.New("no such run")
	ErrNoCapacity = errors.New("no room for the copy")
	ErrBusy       = errors.New("a move of the run is under way")
)

// CopyResult is what came of a copy.
type CopyResult struct {
	Copy   exchange.Copy
	Events int // made when it was complete
}

// Mover moves the memory of runs.
type Mover interface {
	Move(ctx context.Context, source, run, target string, last bool) (CopyResult, error)
	// Release frees a copy that nobody goes on from.
	Release(ctx context.Context, c exchange.Copy) error
}

// TurnRequest is what a turn is asked for.
type TurnRequest struct {
	Source  fleet.Upstream
	Targets []string // ids, the best first
	Tokens  int      // of memory that moves
}

// Turns gives the turns to move runs off upstreams.
type Turns interface {
	// Take waits for a turn, and returns which of the targets it is for; it is
	// given back by the returned function. A box that cannot reach the keeper of
	// the turns, or waits in vain until ctx ends, goes alone, to the first target.
	Take(ctx context.Context, ask TurnRequest) (target string, giveBack func())
}

// Services returns a service of the configuration in force.
type Services func(name string) (route.Service, bool)

// Parts are what an evacuator works with.
type Parts struct {
	Runs        *runs.Runs
	Chooser     *picker.Picker
	Mover       Mover
	Turns       Turns
	Services    Services
	Tally       *upstreamload.Tracker                    // counts copies at their targets
	RecordMove  func(outcome string, took time.Duration) // counts moves
	IsLeaving   func(upstream string) bool               // false once it is back
	AcceptsWork func(upstream string) bool               // it takes new work
	Log         *logrus.Entry
}

// Evacuator is safe for use by several goroutines.
type Evacuator struct{ Parts }

// New returns an evacuator.
func New(parts Parts) *Evacuator { return &Evacuator{parts} }

// Evacuate moves what this box has at an upstream that leaves, until nothing is
// left there, the upstream is gone, or it turns out to stay. Requests that are
// not answered yet are waited for: they can be moved once they run.
func (e *Evacuator) Evacuate(ctx context.Context, u fleet.Upstream) {
	service, ok := e.Services(u.Service)
	if !ok || service.Engine == nil || !service.Engine.Moves {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, evacuateFor)
	defer cancel()
	gaveUp := map[*runs.Run]bool{}
	for ctx.Err() == nil && e.Tally.Busy(u.ID) && e.IsLeaving(u.ID) {
		run := e.next(u, gaveUp)
		if run == nil {
			sleep(ctx, again)
			continue
		}
		if e.move(ctx, run, u, service) {
			gaveUp[run] = true
			continue
		}
		sleep(ctx, again)
	}
}

// next returns the run to move next: the smallest, as it is the quickest, but
// last what may end by itself.
func (e *Evacuator) next(u fleet.Upstream, gaveUp map[*runs.Run]bool) *runs.Run {
	var last *runs.Run
	for _, r := range e.Runs.At(u.ID) {
		if gaveUp[r] {
			continue
		}
		if time.Duration(r.Remaining())*cmp.Or(e.Tally.Pace(), paceGuess) >= finishing {
			return r
		}
		if last == nil {
			last = r
		}
	}
	return last
}

// move moves one run when it is this box's turn. It reports false if that may be
// tried again.
func (e *Evacuator) move(ctx context.Context, run *runs.Run, u fleet.Upstream, service route.Service) (done bool) {
	began := time.Now()
	log := e.Log.WithFields(logrus.Fields{"request": run.Request.ID, "from": u.ID, "tokens": run.Tokens(), "events": run.Events()})
	avoid := []string{u.ID}
	err := ErrNoCapacity
	for tries := 0; tries < targetsMost && errors.Is(err, ErrNoCapacity); tries++ {
		ranked := e.Chooser.Ranked(time.Now(), picker.Want{Service: service, Tokens: run.Tokens(), Hall: u.Hall, Moves: true, Need: speeds.Need{Gap: run.Gap, Long: true, Moves: true}, Avoid: avoid, Regions: run.Request.Regions, Own: true})
		ranked = slices.DeleteFunc(ranked, func(c picker.Choice) bool { return c.Held })
		if len(ranked) == 0 {
			break
		}
		target, giveBack := e.take(ctx, run, u, ranked[:min(len(ranked), targetsNamed)])
		avoid = append(avoid, target.Upstream.ID)
		log = log.WithFields(logrus.Fields{"to": target.Upstream.ID, "load": target.Load, "cost": target.Cost, "waited_ms": time.Since(began).Milliseconds()})
		err = e.moveTo(ctx, run, u, target.Upstream)
		giveBack()
	}
	took := time.Since(began)
	log = log.WithField("took_ms", took.Milliseconds())
	switch {
	case err == nil:
		e.RecordMove("moved", took)
		log.Info("moved")
		return true
	case errors.Is(err, ErrNoRun):
		e.RecordMove("no_run", took)
		log.Info("not_moved_ended")
		return run.Events() > 0
	case errors.Is(err, ErrNoCapacity), errors.Is(err, ErrBusy):
		e.RecordMove("no_room", took)
		log.WithError(err).Warn("not_moved")
		return false
	}
	e.RecordMove("failed", took)
	log.WithError(err).Warn("not_moved")
	return true
}

// take waits for the turn to move a run to one of some targets.
func (e *Evacuator) take(ctx context.Context, run *runs.Run, u fleet.Upstream, ranked []picker.Choice) (target picker.Choice, giveBack func()) {
	ask := TurnRequest{Source: u, Tokens: run.Tokens()}
	for _, c := range ranked {
		ask.Targets = append(ask.Targets, c.Upstream.ID)
	}
	id, giveBack := e.Turns.Take(ctx, ask)
	return ranked[max(slices.Index(ask.Targets, id), 0)], giveBack
}

// moveTo copies a run while it goes on, then stops it with the rest.
func (e *Evacuator) moveTo(ctx context.Context, run *runs.Run, source, target fleet.Upstream) error {
	entry := e.Tally.Begin(target.ID, upstreamload.Load{Requests: 1, Tokens: run.Tokens(), Coming: run.Left()})
	defer entry.End()
	copying, cancel := context.WithTimeout(ctx, copyTime)
	first, err := e.Mover.Move(copying, source.Address, run.Request.ID, target.Address, false)
	cancel()
	if err != nil {
		return err
	}
	if !e.AcceptsWork(target.ID) { // its hall was evacuated meanwhile, or it leaves too
		e.release(first.Copy)
		return ErrNoCapacity
	}
	handoff := runs.Handoff{Copy: first.Copy, Target: target, Source: source, OK: true}
	run.Copied(handoff)
	if !run.Stopping() {
		e.release(first.Copy)
		return ErrNoRun
	}
	// Stopping is not broken off with ctx: where the run is then must be known.
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
	defer cancel()
	last, err := e.Mover.Move(stopping, source.Address, run.Request.ID, target.Address, true)
	if last.Copy.ID != "" {
		handoff.Copy = last.Copy
	}
	if errors.Is(err, ErrNoRun) {
		return e.notFound(ctx, run, first.Copy)
	}
	handoff.OK = err == nil || errors.Is(err, ErrNoCapacity) && last.Copy.ID != ""
	run.Stopped(handoff)
	return err
}

// notFound settles a run that its upstream does not know when it is to stop. It has
// ended meanwhile, or it is preempted: its stream goes on once it is read anew, it
// can be moved then, and until then its copy is what is left of it.
func (e *Evacuator) notFound(ctx context.Context, run *runs.Run, c exchange.Copy) error {
	run.GoesOn()
	sleep(ctx, again)
	if !run.Ended() {
		return ErrBusy
	}
	e.release(c)
	return ErrNoRun
}

// release frees the copy of a run that has ended: it would hold memory and a
// slot at its target for seconds.
func (e *Evacuator) release(c exchange.Copy) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	if err := e.Mover.Release(ctx, c); err != nil {
		e.Log.WithError(err).WithField("copy", c.ID).Info("copy_not_released")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
