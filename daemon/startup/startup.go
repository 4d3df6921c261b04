// Package startup decides when a box that has started is able to serve what is placed.
package startup

import (
	"sync"
	"time"
)

// Startup is the start of one box. It is safe for concurrent use.
type Startup struct {
	mu       sync.Mutex
	timeout  time.Duration
	placedAt time.Time // when the box first knew a placement
	done     bool
}

// New returns a start that ends after a timeout, as the engines of a model may be lost at
// all boxes.
func New(timeout time.Duration) *Startup { return &Startup{timeout: timeout} }

// Done reports whether the box has started: it knew an engine for each placed model at
// once, or waited for the timeout. It stays so whatever is placed or lost later. Before
// anything is placed there is nothing to wait for.
func (s *Startup) Done(now time.Time, placed bool, unserved int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.done:
		return true
	case !placed:
		s.placedAt = time.Time{}
		return true
	case s.placedAt.IsZero():
		s.placedAt = now
	}
	s.done = unserved == 0 || now.Sub(s.placedAt) > s.timeout
	return s.done
}
