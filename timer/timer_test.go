package timer_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/timer"
)

// fakeMachine is a machine whose clock includes simulated suspensions.
type fakeMachine struct {
	start     time.Time
	suspended atomic.Int64 // ns
}

func (m *fakeMachine) clock() time.Duration {
	return time.Since(m.start) + time.Duration(m.suspended.Load())
}

// TestSuspendedSince checks that a suspension counts for times before it and not after it, also if
// there are more suspensions than are recorded.
func TestSuspendedSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &fakeMachine{start: time.Now()}
		s := timer.NewOn(m.clock)
		var notified []time.Duration
		s.OnWake(func(suspended time.Duration) { notified = append(notified, suspended) })
		before := time.Now()
		time.Sleep(time.Second)
		s.Check()
		is.Equal(len(notified), 0)
		m.suspended.Add(int64(6 * time.Second))
		time.Sleep(time.Millisecond)
		s.Check()
		s.Check()
		is.Equal(notified, []time.Duration{6 * time.Second})
		time.Sleep(time.Millisecond)
		after := time.Now()
		is.Equal(s.SuspendedSince(before), 6*time.Second)
		is.Equal(s.SuspendedSince(after), time.Duration(0))
		for range 200 {
			m.suspended.Add(int64(time.Second))
			time.Sleep(time.Millisecond)
			s.Check()
		}
		is.Equal(s.SuspendedSince(before), 206*time.Second)
		is.True(s.SuspendedSince(after) >= 200*time.Second) // merged suspensions never count for less
	})
}

// TestTickAfterWake checks that a suspension is recorded before the next tick.
func TestTickAfterWake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &fakeMachine{start: time.Now()}
		s := timer.NewOn(m.clock)
		before := time.Now()
		var ticks atomic.Int64
		go s.Every(t.Context(), "tick", time.Second, func(time.Time) {
			ticks.Add(1)
			is.Equal(s.SuspendedSince(before), time.Duration(m.suspended.Load()))
		})
		time.Sleep(1500 * time.Millisecond)
		m.suspended.Store(int64(time.Minute))
		time.Sleep(1500 * time.Millisecond)
		is.True(ticks.Load() > 1)
	})
}

// TestBoot checks that the machine's clock can be read and is monotonic.
func TestBoot(t *testing.T) {
	is := is.New(t)
	first := timer.Boot()
	is.True(first > 0)
	is.True(timer.Boot() >= first)
}

// BenchmarkCheck measures the cost of Check, which each request and tick pays.
func BenchmarkCheck(b *testing.B) {
	s := timer.NewOn(timer.Boot)
	for b.Loop() {
		s.Check()
	}
}
