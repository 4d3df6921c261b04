package tablesync_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/logs"
	"petrelstep/tablesync"
)

const wait = 1200 * time.Millisecond

var errDown = errors.New("down")

// call is what a scripted source was asked.
type call struct {
	list   bool
	mark   int64
	unsure bool
	at     time.Duration
}

// source answers as its script tells; after it ends, long polls time out.
type source struct {
	began  time.Time
	script []func(ctx context.Context) (int64, error)
	calls  []call
}

func (s *source) next(ctx context.Context, c call) (int64, error) {
	c.at = time.Since(s.began)
	s.calls = append(s.calls, c)
	if len(s.calls) > len(s.script) {
		select {
		case <-time.After(wait):
			return c.mark, nil
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	return s.script[len(s.calls)-1](ctx)
}

func (s *source) List(ctx context.Context, unsure bool) (int64, error) {
	return s.next(ctx, call{list: true, unsure: unsure})
}

func (s *source) Next(ctx context.Context, mark int64, _ time.Duration, unsure bool) (int64, error) {
	return s.next(ctx, call{mark: mark, unsure: unsure})
}

// heard takes confirmations and answers, by the time since it began.
type heard struct {
	began               time.Time
	confirmed, answered []time.Duration
}

func (h *heard) Confirm(sent time.Time) { h.confirmed = append(h.confirmed, sent.Sub(h.began)) }

func (h *heard) Answered(at time.Time) { h.answered = append(h.answered, at.Sub(h.began)) }

// need is always there, or from a time on.
type need struct{ from time.Time }

func (n need) Needed(now time.Time) bool { return !now.Before(n.from) }

func (need) Wait() time.Duration { return wait }

func (need) Pace() tablesync.Pace {
	return tablesync.Pace{Initial: 100 * time.Millisecond, Max: 1200 * time.Millisecond}
}

func gives(mark int64, err error) func(context.Context) (int64, error) {
	return func(context.Context) (int64, error) { return mark, err }
}

// takes is a call that gets there in the end, if it is let.
func takes(d time.Duration, mark int64) func(context.Context) (int64, error) {
	return func(ctx context.Context) (int64, error) {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(d):
			return mark, nil
		}
	}
}

func hangs(ctx context.Context) (int64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func TestFollower(t *testing.T) {
	tests := map[string]struct {
		script []func(context.Context) (int64, error)
		calls  []call // the first, without their times
	}{
		"lists, then takes changes": {
			[]func(context.Context) (int64, error){gives(5, nil), gives(8, nil)},
			[]call{{list: true}, {mark: 5}, {mark: 8}}},
		"lists anew when history is forgotten": {
			[]func(context.Context) (int64, error){gives(5, nil), gives(0, tablesync.ErrForgotten), gives(40, nil)},
			[]call{{list: true}, {mark: 5}, {list: true}, {mark: 40}}},
		"goes on from its mark after an outage, and is unsure": {
			[]func(context.Context) (int64, error){gives(5, nil), gives(0, errDown), gives(6, nil)},
			[]call{{list: true}, {mark: 5}, {mark: 5, unsure: true}, {mark: 6, unsure: true}}},
		"a call that hangs is given up": {
			[]func(context.Context) (int64, error){gives(5, nil), hangs, gives(6, nil)},
			[]call{{list: true}, {mark: 5}, {mark: 5, unsure: true}}},
		"a listing takes as long as its table is large": {
			[]func(context.Context) (int64, error){takes(6*time.Second, 5), gives(8, nil)},
			[]call{{list: true}, {mark: 5}, {mark: 8}}},
		"a first listing is tried again": {
			[]func(context.Context) (int64, error){gives(0, errDown), gives(0, errDown), gives(7, nil)},
			[]call{{list: true}, {list: true, unsure: true}, {list: true, unsure: true}, {mark: 7, unsure: true}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &source{began: time.Now(), script: tt.script}
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				f := tablesync.New("t", s, &heard{}, need{}, logs.New(io.Discard, "info", "b"))
				f.Run(ctx)
				is.True(len(s.calls) >= len(tt.calls))
				for i, want := range tt.calls {
					got := s.calls[i]
					got.at = 0
					is.Equal(got, want)
				}
				// 3 s after the trouble it is sure again.
				is.True(!s.calls[len(s.calls)-1].unsure)
			})
		})
	}
}

// TestConfirmedWhenSent shows that an answer confirms the time when its call
// was sent: what was accepted while it was on its way may be missing from it.
func TestConfirmedWhenSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slow := func(context.Context) (int64, error) {
			time.Sleep(300 * time.Millisecond)
			return 1, nil
		}
		began := time.Now()
		s := &source{began: began, script: []func(context.Context) (int64, error){slow, gives(0, errDown)}}
		h := &heard{began: began}
		ctx, cancel := context.WithTimeout(t.Context(), 350*time.Millisecond)
		defer cancel()
		f := tablesync.New("t", s, h, need{}, logs.New(io.Discard, "info", "b"))
		f.Run(ctx)
		is.Equal(h.confirmed, []time.Duration{0})
		is.Equal(h.answered, []time.Duration{300 * time.Millisecond})
	})
}

// TestNotNeeded shows that nothing is called, and paid for, while others tell.
func TestNotNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{began: time.Now()}
		until := time.Now().Add(5 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		tablesync.New("t", s, &heard{}, need{until}, logs.New(io.Discard, "info", "b")).Run(ctx)
		is.True(s.calls[0].at >= 5*time.Second)
		is.True(s.calls[0].at < 5200*time.Millisecond)
	})
}

// needOften is there at times.
type needOften struct {
	need
	times func(now time.Time) bool
}

func (n needOften) Needed(now time.Time) bool { return n.times(now) }

// TestListsAgain shows that one which was not needed for a while lists, instead
// of asking for changes since a mark that the store has forgotten.
func TestListsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		s := &source{began: began}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		often := needOften{times: func(now time.Time) bool { return now.Sub(began) < 2*time.Second || now.Sub(began) > 8*time.Second }}
		tablesync.New("t", s, &heard{}, often, logs.New(io.Discard, "info", "b")).Run(ctx)
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
