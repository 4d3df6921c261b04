// Package timer is the one source of time: parts subscribe to it for ticks
// and ask it what time it is.
package timer

import (
	"context"
	"hash/fnv"
	"time"
)

// Service hands out ticks. The zero value is ready; New says so in words.
type Service struct{}

// New returns a timer service on the system's clock.
func New() *Service { return &Service{} }

// Now returns the present time.
func (*Service) Now() time.Time { return time.Now() }

// Every calls f each period until ctx ends, on the caller's goroutine. The
// first call comes after a part of the period that depends on name, so that
// boxes which start together do not tick together.
func (*Service) Every(ctx context.Context, name string, period time.Duration, f func(now time.Time)) {
	phase := time.NewTimer(phaseOf(name, period))
	defer phase.Stop()
	select {
	case <-ctx.Done():
		return
	case now := <-phase.C:
		f(now)
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}

// Sleep waits for d; it reports false if ctx ended first.
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
