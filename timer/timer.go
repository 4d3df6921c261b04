// Package timer provides ticks and the time to the components of a box, and detects that
// the machine was suspended.
package timer

import (
	"context"
	"hash/fnv"
	"sync"
	"time"
)

const (
	// minSuspension is the smallest difference of the two clocks that counts as a
	// suspension, as they are not read at the same instant.
	minSuspension = 50 * time.Millisecond
	// maxSuspensions bounds the recorded suspensions; older ones are merged.
	maxSuspensions = 64
)

// Clock returns the time since the machine was started, including suspensions, which the
// monotonic clock excludes.
type Clock func() time.Duration

// suspension records when a suspension was detected and how long it lasted.
type suspension struct {
	detected time.Time
	duration time.Duration
}

// Service provides ticks and detects suspensions. It is safe for concurrent use.
type Service struct {
	clock Clock // nil: suspensions are not detected

	mu          sync.Mutex
	base        time.Time     // on the monotonic clock
	offset      time.Duration // reading of clock at base, plus the suspensions since
	suspensions []suspension
	onWake      []func(suspended time.Duration)
}

// New returns a timer service that does not detect suspensions.
func New() *Service { return &Service{} }

// NewOn returns a timer service that detects suspensions by a clock that includes them.
func NewOn(c Clock) *Service {
	s := New()
	s.On(c)
	return s
}

// On sets the clock by which suspensions are detected from now on.
func (s *Service) On(c Clock) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock, s.offset, s.base = c, c(), time.Now()
}

// Now returns the present time.
func (*Service) Now() time.Time { return time.Now() }

// OnWake registers f, which Check calls after each suspension with its duration. The data
// of a component is older by that duration than the monotonic clock shows.
func (s *Service) OnWake(f func(suspended time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onWake = append(s.onWake, f)
}

// Check detects whether the machine was suspended since the last call. Each tick and each
// request calls it before using recorded data. It takes one system call.
func (s *Service) Check() {
	suspended, woke := s.check()
	for _, f := range woke {
		f(suspended)
	}
}

// check records a suspension and returns the functions to call.
func (s *Service) check() (suspended time.Duration, woke []func(time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clock == nil {
		return 0, nil
	}
	total := s.clock() - s.offset // read before the monotonic clock: a delay in between only hides a suspension until the next check
	now := time.Now()
	suspended = total - now.Sub(s.base)
	if suspended < minSuspension {
		return 0, nil
	}
	s.offset += suspended
	s.suspensions = append(s.suspensions, suspension{now, suspended})
	if len(s.suspensions) > maxSuspensions {
		s.suspensions[1].duration += s.suspensions[0].duration
		s.suspensions = s.suspensions[1:]
	}
	return suspended, s.onWake
}

// SuspendedSince returns how long the machine was suspended since a time. Data of that
// time is older by this duration than the monotonic clock shows.
func (s *Service) SuspendedSince(since time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum time.Duration
	for _, pause := range s.suspensions {
		if pause.detected.After(since) {
			sum += pause.duration
		}
	}
	return sum
}

// Every calls f each period on the caller's goroutine until ctx ends. The first call comes
// after a fraction of the period that depends on name, so that boxes that start together
// do not tick together.
func (s *Service) Every(ctx context.Context, name string, period time.Duration, f func(now time.Time)) {
	phase := time.NewTimer(phaseOf(name, period))
	defer phase.Stop()
	select {
	case <-ctx.Done():
		return
	case now := <-phase.C:
		s.Check()
		f(now)
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.Check()
			f(now)
		}
	}
}

// Sleep waits for d and returns false if ctx ended first.
func (*Service) Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func phaseOf(name string, period time.Duration) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(name))
	return time.Duration(h.Sum32()%1000) * period / 1000
}
