package tablesync_test

import (
	"context"
	"errors"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/logs"
	"petrelstep/revision"
	"petrelstep/tablesync"
)

const wait = 1200 * time.Millisecond

var errDown = errors.New("down")

// call is a call of a scripted source.
type call struct {
	list    bool
	version revision.Revision
	outage  bool
	at      time.Duration
}

// source runs a script of answers; after its end, calls time out without changes.
type source struct {
	began  time.Time
	script []func(ctx context.Context) (revision.Revision, error)
	calls  []call
}

func (s *source) next(ctx context.Context, c call) (revision.Revision, error) {
	c.at = time.Since(s.began)
	s.calls = append(s.calls, c)
	if len(s.calls) > len(s.script) {
		select {
		case <-time.After(wait):
			return c.version, nil
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	return s.script[len(s.calls)-1](ctx)
}

func (s *source) List(ctx context.Context, outage bool) (revision.Revision, error) {
	return s.next(ctx, call{list: true, outage: outage})
}

func (s *source) Next(ctx context.Context, version revision.Revision, _ time.Duration, outage bool) (revision.Revision, error) {
	return s.next(ctx, call{version: version, outage: outage})
}

// observer records confirmations and answers, by the time since the start.
type observer struct {
	began                       time.Time
	confirmed, answered, failed []time.Duration
}

func (o *observer) Confirm(sent time.Time) { o.confirmed = append(o.confirmed, sent.Sub(o.began)) }

func (o *observer) Failed(sent time.Time) { o.failed = append(o.failed, sent.Sub(o.began)) }

func (o *observer) Answered(at time.Time) { o.answered = append(o.answered, at.Sub(o.began)) }

// need makes a follower needed from a time on.
type need struct{ from time.Time }

func (n need) Needed(now time.Time) bool { return !now.Before(n.from) }

func (need) Wait() time.Duration { return wait }

func (need) Pace() tablesync.Pace {
	return tablesync.Pace{Initial: 100 * time.Millisecond, Max: 1200 * time.Millisecond}
}

func answers(version revision.Revision, err error) func(context.Context) (revision.Revision, error) {
	return func(context.Context) (revision.Revision, error) { return version, err }
}

// answersAfter answers after a delay, unless the call is cancelled.
func answersAfter(d time.Duration, version revision.Revision) func(context.Context) (revision.Revision, error) {
	return func(ctx context.Context) (revision.Revision, error) {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(d):
			return version, nil
		}
	}
}

func hangs(ctx context.Context) (revision.Revision, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func TestFollower(t *testing.T) {
	tests := map[string]struct {
		script []func(context.Context) (revision.Revision, error)
		calls  []call // the first, without their times
	}{
		"a listing, then changes": {
			[]func(context.Context) (revision.Revision, error){answers(5, nil), answers(8, nil)},
			[]call{{list: true}, {version: 5}, {version: 8}}},
		"a new listing when the history is forgotten": {
			[]func(context.Context) (revision.Revision, error){answers(5, nil), answers(0, tablesync.ErrForgotten), answers(40, nil)},
			[]call{{list: true}, {version: 5}, {list: true}, {version: 40}}},
		"continues from its version after an outage": {
			[]func(context.Context) (revision.Revision, error){answers(5, nil), answers(0, errDown), answers(6, nil)},
			[]call{{list: true}, {version: 5}, {version: 5, outage: true}, {version: 6, outage: true}}},
		"a call that hangs times out": {
			[]func(context.Context) (revision.Revision, error){answers(5, nil), hangs, answers(6, nil)},
			[]call{{list: true}, {version: 5}, {version: 5, outage: true}}},
		"a long listing does not time out": {
			[]func(context.Context) (revision.Revision, error){answersAfter(6*time.Second, 5), answers(8, nil)},
			[]call{{list: true}, {version: 5}, {version: 8}}},
		"a failed first listing is retried": {
			[]func(context.Context) (revision.Revision, error){answers(0, errDown), answers(0, errDown), answers(7, nil)},
			[]call{{list: true}, {list: true, outage: true}, {list: true, outage: true}, {version: 7, outage: true}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &source{began: time.Now(), script: tt.script}
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				o := &observer{began: s.began}
				f := tablesync.New("t", s, o, need{}, logs.New(io.Discard, "info", "b"))
				f.Run(ctx)
				is.True(len(s.calls) >= len(tt.calls))
				is.Equal(len(o.failed) > 0, slices.ContainsFunc(s.calls, func(c call) bool { return c.outage }))
				for i, want := range tt.calls {
					got := s.calls[i]
					got.at = 0
					is.Equal(got, want)
				}
				// 3 s after the failure the outage is over.
				is.True(!s.calls[len(s.calls)-1].outage)
			})
		})
	}
}

// TestConfirmedWhenSent checks that an answer confirms the time at which its call was
// sent, as it may lack later changes.
func TestConfirmedWhenSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slow := func(context.Context) (revision.Revision, error) {
			time.Sleep(300 * time.Millisecond)
			return 1, nil
		}
		began := time.Now()
		s := &source{began: began, script: []func(context.Context) (revision.Revision, error){slow, answers(0, errDown)}}
		o := &observer{began: began}
		ctx, cancel := context.WithTimeout(t.Context(), 350*time.Millisecond)
		defer cancel()
		f := tablesync.New("t", s, o, need{}, logs.New(io.Discard, "info", "b"))
		f.Run(ctx)
		is.Equal(o.confirmed, []time.Duration{0})
		is.Equal(o.answered, []time.Duration{300 * time.Millisecond})
	})
}

// TestNotNeeded checks that no calls are made while the follower is not needed.
func TestNotNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{began: time.Now()}
		until := time.Now().Add(5 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		tablesync.New("t", s, &observer{}, need{until}, logs.New(io.Discard, "info", "b")).Run(ctx)
		is.True(s.calls[0].at >= 5*time.Second)
		is.True(s.calls[0].at < 5200*time.Millisecond)
	})
}

// sometimesNeeded makes a follower needed at certain times.
type sometimesNeeded struct {
	need
	times func(now time.Time) bool
}

func (n sometimesNeeded) Needed(now time.Time) bool { return n.times(now) }

// TestListsAgain guards against requesting changes since a version that the store has
// forgotten, after the follower was not needed for a while.
func TestListsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		s := &source{began: began}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		need := sometimesNeeded{times: func(now time.Time) bool { return now.Sub(began) < 2*time.Second || now.Sub(began) > 8*time.Second }}
		tablesync.New("t", s, &observer{}, need, logs.New(io.Discard, "info", "b")).Run(ctx)
		lists := 0
		for _, c := range s.calls {
			if c.list {
				lists++
				is.True(c.at < time.Second || c.at > 8*time.Second)
			}
		}
		is.Equal(lists, 2)
	})
}
