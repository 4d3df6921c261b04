// Package tablesync keeps up with one table of the platform's store: a listing,
// then its changes as they come, a listing again when history was forgotten.
package tablesync

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// slack is how much longer than its wait a call may take. A slow store
	// takes some 300 ms an answer.
	slack = 600 * time.Millisecond
	// idleLook is how often a follower that is not needed looks whether it is, and
	// idleFirst how soon it does again at its start: a box that restarts has learned
	// within some 10 ms whether it reads, and callers are refused until it has.
	idleLook  = 100 * time.Millisecond
	idleFirst = 5 * time.Millisecond
	// gather is waited after a change before the next call: changes come many at
	// a time, and each call is paid for.
	gather = 100 * time.Millisecond
	// unsureFor is how long after trouble entries that are gone may only have
	// lapsed: upstreams are listed again within 2 s of the store's return.
	unsureFor = 3 * time.Second
)

// ErrForgotten says that changes since a mark are no longer to be had.
var ErrForgotten = errors.New("the store has forgotten its history")

// Source reads a table and applies what it reads. unsure says that the store
// was away until just now, so that an entry that is gone may only have lapsed.
type Source interface {
	// List reads and applies all of it; mark is where changes go on from. It takes as long
	// as the table is large, and ends when a call of it brings nothing.
	List(ctx context.Context, unsure bool) (mark int64, err error)
	// Next waits for changes after mark, applies them, and returns the new mark.
	Next(ctx context.Context, mark int64, wait time.Duration, unsure bool) (int64, error)
}

// Pace bounds the waits between failed calls, which are paid for also when the
// store is down.
type Pace struct {
	Initial time.Duration
	Max     time.Duration
}

// Need decides whether calls are made at all.
type Need interface {
	// Needed tells whether a call is to be made.
	Needed(now time.Time) bool
	// Wait returns how long the next call waits for changes, and so how often
	// the belief is confirmed.
	Wait() time.Duration
	// Pace returns the waits between failed calls.
	Pace() Pace
}

// Observer takes the store's answers.
type Observer interface {
	// Confirm takes that a call sent at a time has brought all changes until then.
	Confirm(sent time.Time)
	// Answered takes that the store answered at a time.
	Answered(at time.Time)
}

// Follower runs on one goroutine.
type Follower struct {
	source Source
	heard  Observer
	need   Need
	log    *logrus.Entry
	now    func() time.Time

	trouble time.Time // of the last failed call
	lost    bool
	sent    time.Time
}

// New returns a follower, which tells heard of each answer. While it is not
// needed, because others tell, no calls are made; when it is needed again, it
// lists.
func New(name string, source Source, heard Observer, need Need, log *logrus.Entry) *Follower {
	return &Follower{source: source, heard: heard, need: need, log: log.WithField("table", name), now: time.Now}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	mark, listed := int64(0), false
	pause, idle := time.Duration(0), idleFirst
	for ctx.Err() == nil {
		if !f.need.Needed(f.now()) {
			listed = false
			sleep(ctx, idle)
			idle = min(2*idle, idleLook)
			continue
		}
		before := mark
		err := f.step(ctx, &mark, &listed)
		if err == nil {
			pause = 0
			if mark != before {
				sleep(ctx, gather)
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
func (f *Follower) step(ctx context.Context, mark *int64, listed *bool) error {
	f.sent = f.now()
	unsure := !f.trouble.IsZero() && f.sent.Sub(f.trouble) < unsureFor
	var err error
	var next int64
	if *listed {
		wait := f.need.Wait()
		call, cancel := context.WithTimeout(ctx, wait+slack)
		next, err = f.source.Next(call, *mark, wait, unsure)
		cancel()
	} else {
		next, err = f.source.List(ctx, unsure)
	}
	switch {
	case errors.Is(err, ErrForgotten):
		f.log.Warn("history_forgotten")
		*listed = false
		return nil
	case err != nil && ctx.Err() == nil:
		f.failed(err)
		return err
	case err != nil:
		return err
	}
	f.worked()
	*mark, *listed = next, true
	return nil
}

func (f *Follower) failed(err error) {
	f.trouble = f.now()
	if !f.lost {
		f.lost = true
		f.log.WithError(err).Warn("store_lost")
	}
}

func (f *Follower) worked() {
	now := f.now()
	if f.lost {
		f.lost = false
		f.log.WithField("away_ms", now.Sub(f.trouble).Milliseconds()).Info("store_regained")
	}
	f.heard.Confirm(f.sent)
	f.heard.Answered(now)
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
