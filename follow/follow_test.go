package follow_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/follow"
	"petrelstep/logs"
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

func gives(mark int64, err error) func(context.Context) (int64, error) {
	return func(context.Context) (int64, error) { return mark, err }
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
			[]func(context.Context) (int64, error){gives(5, nil), gives(0, follow.ErrForgotten), gives(40, nil)},
			[]call{{list: true}, {mark: 5}, {list: true}, {mark: 40}}},
		"goes on from its mark after an outage, and is unsure": {
			[]func(context.Context) (int64, error){gives(5, nil), gives(0, errDown), gives(6, nil)},
			[]call{{list: true}, {mark: 5}, {mark: 5, unsure: true}, {mark: 6, unsure: true}}},
		"a call that hangs is given up": {
			[]func(context.Context) (int64, error){gives(5, nil), hangs, gives(6, nil)},
			[]call{{list: true}, {mark: 5}, {mark: 5, unsure: true}}},
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
				f := follow.New("t", s, wait, func(time.Time) {}, func() bool { return true }, logs.New(io.Discard, "info", "b"))
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
		var confirmed []time.Duration
		ctx, cancel := context.WithTimeout(t.Context(), 350*time.Millisecond)
		defer cancel()
		f := follow.New("t", s, wait, func(at time.Time) { confirmed = append(confirmed, at.Sub(began)) },
			func() bool { return true }, logs.New(io.Discard, "info", "b"))
		f.Run(ctx)
		is.Equal(confirmed, []time.Duration{0})
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
		needed := func() bool { return time.Now().After(until) }
		follow.New("t", s, wait, func(time.Time) {}, needed, logs.New(io.Discard, "info", "b")).Run(ctx)
		is.True(s.calls[0].at >= 5*time.Second)
		is.True(s.calls[0].at < 5200*time.Millisecond)
	})
}
