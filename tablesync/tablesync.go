// Package tablesync follows one table of the platform's store: it reads a listing, then
// the changes, and a new listing when the store no longer has the changes.
package tablesync

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/revision"
)

const (
	// callSlack is how much longer than its wait a call may take.
	callSlack = 600 * time.Millisecond
	// idleInitial is the first pause between checks whether a follower is needed, as
	// requests are rejected until a box has read the configuration.
	idleInitial = 5 * time.Millisecond
	// gatherPause is the pause after a change before the next call, so that one call
	// returns several changes. Calls are paid for.
	gatherPause = 100 * time.Millisecond
	// unsureTime is how long after a failed call missing entries may only have expired.
	// Upstreams are listed again within 2 s of the store's return.
	unsureTime = 3 * time.Second
)

// IdleInterval is the time between checks whether a follower is needed.
const IdleInterval = 100 * time.Millisecond

// ErrForgotten says that the changes since a version are no longer available.
var ErrForgotten = errors.New("the store has forgotten its history")

// Source reads a table and applies what it reads. outage says that the store was
// unreachable until recently, so that missing entries may only have expired.
type Source interface {
	// List reads and applies the whole table, and returns the version from which
	// changes follow. Its duration depends on the size of the table; it must fail when
	// one of its calls returns nothing.
	List(ctx context.Context, outage bool) (version revision.Revision, err error)
	// Next waits for changes after a version, applies them, and returns the new
	// version.
	Next(ctx context.Context, version revision.Revision, wait time.Duration, outage bool) (revision.Revision, error)
}

// Pace bounds the pauses between failed calls, which are paid for even if the store is
// down.
type Pace struct {
	Initial time.Duration
	Max     time.Duration
}

// Need decides whether and how often calls are made.
type Need interface {
	// Needed reports whether a call is to be made.
	Needed(now time.Time) bool
	// Wait returns how long the next call waits for changes, and so how often the table
	// is confirmed.
	Wait() time.Duration
	// Pace returns the bounds of the pauses between failed calls.
	Pace() Pace
}

// Observer is notified of the ends of calls.
type Observer interface {
	// Confirm is called when all changes up to a time are known, by the answer to a
	// call sent then.
	Confirm(sent time.Time)
	// Answered is called when the store answered.
	Answered(at time.Time)
	// Failed is called when a call sent at a time had no answer.
	Failed(sent time.Time)
}

// Follower follows a table. It is not safe for concurrent use.
type Follower struct {
	source   Source
	observer Observer
	need     Need
	log      *logrus.Entry
	now      func() time.Time

	failedAt time.Time // of the last failed call
	lost     bool
	sent     time.Time
}

// New returns a follower that notifies o of each answer. It makes no calls while it is
// not needed, and begins with a listing when it is needed again.
func New(name string, source Source, o Observer, need Need, log *logrus.Entry) *Follower {
	return &Follower{source: source, observer: o, need: need, log: log.WithField("table", name), now: time.Now}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	version, listed := revision.Revision(0), false
	pause, idle := time.Duration(0), idleInitial
	for ctx.Err() == nil {
		if !f.need.Needed(f.now()) {
			listed = false
			sleep(ctx, idle)
			idle = min(2*idle, IdleInterval)
			continue
		}
		before := version
		err := f.step(ctx, &version, &listed)
		if err == nil {
			pause = 0
			if version != before {
				sleep(ctx, gatherPause)
			}
			continue
		}
		pace := f.need.Pace()
		pause = min(max(2*pause, pace.Initial), pace.Max)
		if !sleep(ctx, pause/2+rand.N(pause)) {
			return
		}
	}
}

// step makes one call.
func (f *Follower) step(ctx context.Context, version *revision.Revision, listed *bool) error {
	f.sent = f.now()
	outage := !f.failedAt.IsZero() && f.sent.Sub(f.failedAt) < unsureTime
	var err error
	var next revision.Revision
	if *listed {
		wait := f.need.Wait()
		call, cancel := context.WithTimeout(ctx, wait+callSlack)
		next, err = f.source.Next(call, *version, wait, outage)
		cancel()
	} else {
		next, err = f.source.List(ctx, outage)
	}
	switch {
	case errors.Is(err, ErrForgotten):
		f.log.Warn("history_forgotten")
		*listed = false
		return nil
	case err != nil && ctx.Err() == nil:
		f.recordFailure(err)
		return err
	case err != nil:
		return err
	}
	f.recordSuccess()
	*version, *listed = next, true
	return nil
}

func (f *Follower) recordFailure(err error) {
	f.failedAt = f.now()
	f.observer.Failed(f.sent)
	if !f.lost {
		f.lost = true
		f.log.WithError(err).Warn("store_lost")
	}
}

func (f *Follower) recordSuccess() {
	now := f.now()
	if f.lost {
		f.lost = false
		f.log.WithField("away_ms", now.Sub(f.failedAt).Milliseconds()).Info("store_regained")
	}
	f.observer.Confirm(f.sent)
	f.observer.Answered(now)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
