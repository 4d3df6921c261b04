// Package evacuate moves the runs of an upstream that is leaving, or whose release takes no
// more requests, to other upstreams, where they continue. Copies of several runs would share the upstream's link and slow each other
// down, so that only one run at a time moves off an upstream: the box that may move one
// holds a turn, the permission to do so.
package evacuate

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/balance/speeds"
	"petrelstep/distance"
	"petrelstep/exchange"
	"petrelstep/fleet"
	"petrelstep/picker"
	"petrelstep/route"
	"petrelstep/runs"
	"petrelstep/upstreamload"
)

const (
	// evacuateTimeout bounds the work at one upstream. Most stop within 2 s, some serve
	// for longer.
	evacuateTimeout = 12 * time.Second
	// copyTimeout bounds one copy. It takes up to 0.5 s on an idle link.
	copyTimeout = 3 * time.Second
	// stopTimeout bounds the stop of a run with the rest of its copy, which may have to
	// wait up to 1.2 s for other copies on the link.
	stopTimeout = 2 * time.Second
	// retryPause is the pause before a run that could not be moved is tried again.
	retryPause = 60 * time.Millisecond
	// targetPause is the pause before runs are tried again that no upstream of their release
	// could take.
	targetPause = 250 * time.Millisecond
	// maxTargets is the maximum number of targets that are tried in one attempt to move
	// a run.
	maxTargets = 3
	// targetChoices is the number of targets offered to the owner of the turns, which
	// selects one whose link is free. Several upstreams may leave at once.
	targetChoices = 4
	// finishingTime is the expected remaining time below which a run is moved last, as
	// it may end before the upstream does: the shortest notice is 1.5 s.
	finishingTime = 600 * time.Millisecond
	// defaultPace is the time per event that is assumed before any stream was observed.
	defaultPace = 50 * time.Millisecond
)

// What an upstream may answer to a move.
var (
	// The errors that an upstream may return for a move.
	ErrNoRun      = errors.New("no such run")
	ErrNoCapacity = errors.New("no capacity for the copy")
	ErrBusy       = errors.New("another move of the run is in progress")
)

// CopyResult is the result of a copy.
type CopyResult struct {
	Copy   exchange.Copy
	Events int // generated up to the completion of the copy
}

// Mover moves the memory of runs between upstreams.
type Mover interface {
	// Move copies a run to a target; last stops the run first.
	Move(ctx context.Context, source, run, target string, last bool) (CopyResult, error)
	// Release frees a copy that is not going to be resumed.
	Release(ctx context.Context, c exchange.Copy) error
}

// TurnRequest is a request for a turn.
type TurnRequest struct {
	Source  fleet.Upstream
	Targets []string // ids, best first
	Tokens  int      // size of the memory to move
}

// Turns hands out the turns to move runs off upstreams.
type Turns interface {
	// Take waits for a turn and returns the selected target and a function that releases
	// the turn. If the owner of the turns cannot be reached, or ctx ends first, it
	// returns the first target without a turn.
	Take(ctx context.Context, request TurnRequest) (target string, release func())
}

// Services returns a service of the configuration in force.
type Services func(name string) (route.Service, bool)

// Components are the dependencies of an Evacuator.
type Components struct {
	Runs        *runs.Runs
	Picker      *picker.Picker
	Mover       Mover
	Turns       Turns
	Services    Services
	Loads       *upstreamload.Tracker                    // counts copies as load of their targets
	RecordMove  func(outcome string, took time.Duration) // counts moves
	IsVacated   func(upstream string) bool               // false if its runs may stay after all
	AcceptsWork func(upstream string) bool               // reports whether it takes new work
	Log         *logrus.Entry
}

// Evacuator moves the runs of one box off leaving upstreams. It is safe for concurrent
// use.
type Evacuator struct{ Components }

// New returns an evacuator.
func New(c Components) *Evacuator { return &Evacuator{c} }

// Evacuate moves this box's runs off an upstream until none is left, the time is over, or
// they may stay after all: it does not leave, or its release takes requests again. Requests that have not been answered
// yet are moved once they run.
func (e *Evacuator) Evacuate(ctx context.Context, u fleet.Upstream) {
	service, ok := e.Services(u.Service)
	if !ok || service.Engine == nil || !service.Engine.Moves {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, evacuateTimeout)
	defer cancel()
	done := map[*runs.Run]bool{}
	logged := false
	for ctx.Err() == nil && e.Loads.Busy(u.ID) && e.IsVacated(u.ID) {
		run := e.next(u, done)
		if run == nil {
			sleep(ctx, retryPause)
			continue
		}
		if !e.Picker.Fleet.Continues(u.Service, u.Release, u.ID) {
			e.logNoTarget(run, u, &logged)
			sleep(ctx, targetPause)
			continue
		}
		if e.move(ctx, run, u, service) {
			done[run] = true
			continue
		}
		sleep(ctx, retryPause)
	}
}

// logNoTarget logs once that the runs of an upstream cannot move: releases write streams
// differently, so that a run ends at its own.
func (e *Evacuator) logNoTarget(run *runs.Run, u fleet.Upstream, logged *bool) {
	if *logged {
		return
	}
	*logged = true
	e.RecordMove("no_release", 0)
	e.Log.WithFields(logrus.Fields{"request": run.Request.ID, "from": u.ID, "from_release": u.Release, "runs": len(e.Runs.At(u.ID))}).Warn("not_moved_other_release")
}

// next returns the run to move next: the smallest one, as it is the fastest, but those
// that may end by themselves last.
func (e *Evacuator) next(u fleet.Upstream, done map[*runs.Run]bool) *runs.Run {
	var last *runs.Run
	for _, r := range e.Runs.At(u.ID) {
		if done[r] {
			continue
		}
		if time.Duration(r.RemainingEvents())*cmp.Or(e.Loads.Pace(), defaultPace) >= finishingTime {
			return r
		}
		if last == nil {
			last = r
		}
	}
	return last
}

// move moves one run when this box has the turn. It reports false if it should be tried
// again.
func (e *Evacuator) move(ctx context.Context, run *runs.Run, u fleet.Upstream, service route.Service) (done bool) {
	began := time.Now()
	log := e.Log.WithFields(logrus.Fields{"request": run.Request.ID, "from": u.ID, "tokens": run.Tokens(), "events": run.Events()})
	avoid := []string{u.ID}
	err := ErrNoCapacity
	for tries := 0; tries < maxTargets && errors.Is(err, ErrNoCapacity) && e.IsVacated(u.ID); tries++ {
		ranked := e.Picker.Ranked(time.Now(), picker.Want{Service: service, Tokens: run.Tokens(), Hall: u.Hall, Moves: true, Need: speeds.Need{Gap: run.MaxGap, Long: true, Moves: true}, Avoid: avoid, Regions: run.Request.Regions, Release: u.Release, Own: true})
		ranked = slices.DeleteFunc(ranked, func(c picker.Choice) bool { return c.Held })
		if len(ranked) == 0 {
			break
		}
		ranked = e.nearTargets(u, ranked)
		target, releaseTurn := e.take(ctx, run, u, ranked[:min(len(ranked), targetChoices)])
		avoid = append(avoid, target.Upstream.ID)
		log = log.WithFields(logrus.Fields{"to": target.Upstream.ID, "from_release": u.Release, "release": target.Upstream.Release, "load": target.Load, "cost": target.Cost, "waited_ms": time.Since(began).Milliseconds()})
		err = e.moveTo(ctx, run, u, target.Upstream)
		releaseTurn()
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

// nearTargets drops the targets in other regions unless the best one is there: of several
// targets the owner of the turns selects one whose link is free.
func (e *Evacuator) nearTargets(u fleet.Upstream, ranked []picker.Choice) []picker.Choice {
	far := func(c picker.Choice) bool {
		return e.Picker.Regions.Between(u.Hall, c.Upstream.Hall) == distance.Elsewhere
	}
	if far(ranked[0]) {
		return ranked
	}
	return slices.DeleteFunc(ranked, far)
}

// take waits for the turn to move a run to one of the ranked targets.
func (e *Evacuator) take(ctx context.Context, run *runs.Run, u fleet.Upstream, ranked []picker.Choice) (target picker.Choice, releaseTurn func()) {
	request := TurnRequest{Source: u, Tokens: run.Tokens()}
	for _, c := range ranked {
		request.Targets = append(request.Targets, c.Upstream.ID)
	}
	id, releaseTurn := e.Turns.Take(ctx, request)
	return ranked[max(slices.Index(request.Targets, id), 0)], releaseTurn
}

// moveTo copies a run while it continues, then stops it and copies the rest.
func (e *Evacuator) moveTo(ctx context.Context, run *runs.Run, source, target fleet.Upstream) error {
	entry := e.Loads.Begin(target.ID, upstreamload.Load{Requests: 1, Tokens: run.Tokens(), Coming: run.RemainingTokens()})
	defer entry.End()
	copying, cancel := context.WithTimeout(ctx, copyTimeout)
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
	run.SetCopy(handoff)
	if !run.BeginStop() {
		e.release(first.Copy)
		return ErrNoRun
	}
	// The stop is not cancelled with ctx, as the state of the run would be unknown.
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	last, err := e.Mover.Move(stopping, source.Address, run.Request.ID, target.Address, true)
	if last.Copy.ID != "" {
		handoff.Copy = last.Copy
	}
	if errors.Is(err, ErrNoRun) {
		return e.notFound(ctx, run, first.Copy)
	}
	handoff.OK = err == nil || errors.Is(err, ErrNoCapacity) && last.Copy.ID != ""
	run.ResolveStop(handoff)
	return err
}

// notFound handles a run that its upstream does not know when it is to be stopped.
// Either it has ended, or it is preempted: then it can be moved once its prompt has
// been read again, and until then the copy is all that is left of it.
func (e *Evacuator) notFound(ctx context.Context, run *runs.Run, c exchange.Copy) error {
	run.CancelStop()
	sleep(ctx, retryPause)
	if !run.Ended() {
		return ErrBusy
	}
	e.release(c)
	return ErrNoRun
}

// release frees the copy of a run that has ended, which would otherwise hold memory and
// a slot at its target for seconds.
func (e *Evacuator) release(c exchange.Copy) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
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
