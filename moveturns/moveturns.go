// Package moveturns schedules turns, which are permissions to move a run off an upstream
// that is leaving. Copies on one link run one after another, so that a turn locks both
// its source and its target until it is released or expires. A box that cannot reach the
// owner of the turns moves its runs without one.
package moveturns

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// defaultMaxHold is how long a box may hold a turn. A move takes up to 0.4 s. A holder
// that died must not block the others for the whole notice of 1.5 s.
const defaultMaxHold = 800 * time.Millisecond

// Request is a box's request for a turn. Values are immutable.
type Request struct {
	Box     string
	Source  string        // upstream that is leaving
	Targets []string      // upstreams that the run may move to, best first
	Tokens  int           // memory to copy; the smallest goes first
	MaxHold time.Duration // how long the turn may be held; 0 for defaultMaxHold
}

type turn struct {
	box    string
	target string
	expiry *time.Timer
}

type waiter struct {
	req     Request
	granted chan string // receives the target
}

// Scheduler is safe for use by several goroutines.
type Scheduler struct {
	mu      sync.Mutex
	held    map[string]*turn // by source
	waiting []*waiter        // smallest first
}

// New returns a scheduler without any turns held.
func New() *Scheduler { return &Scheduler{held: map[string]*turn{}} }

// Take waits for a turn until ctx ends, and returns the target that the turn locks. It
// reports false if there was none in time. A box's new request for a source releases its
// turn there.
func (s *Scheduler) Take(ctx context.Context, req Request) (target string, ok bool) {
	w := &waiter{req: req, granted: make(chan string, 1)}
	s.mu.Lock()
	s.drop(req.Source, req.Box)
	at, _ := slices.BinarySearchFunc(s.waiting, w, func(a, b *waiter) int { return a.req.Tokens - b.req.Tokens })
	s.waiting = slices.Insert(s.waiting, at, w)
	s.grant()
	s.mu.Unlock()
	select {
	case target = <-w.granted:
		return target, true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(o *waiter) bool { return o == w })
	select {
	case target = <-w.granted: // granted as ctx ended
		return target, true
	default:
		return "", false
	}
}

// Release ends a box's turn at a source.
func (s *Scheduler) Release(source, box string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(source, box)
	s.grant()
}

func (s *Scheduler) drop(source, box string) {
	if held, ok := s.held[source]; ok && held.box == box {
		held.expiry.Stop()
		delete(s.held, source)
	}
}

// Forget ends all turns from and to an upstream that has restarted: their copies have
// failed.
func (s *Scheduler) Forget(upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for source, held := range s.held {
		if source == upstream || held.target == upstream {
			held.expiry.Stop()
			delete(s.held, source)
		}
	}
	s.grant()
}

// grant gives turns to waiting requests if both their source and a target are free.
func (s *Scheduler) grant() {
	receiving := map[string]bool{}
	for _, held := range s.held {
		receiving[held.target] = true
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		free := slices.IndexFunc(w.req.Targets, func(target string) bool { return !receiving[target] })
		if s.held[w.req.Source] != nil || free < 0 {
			return false
		}
		target := w.req.Targets[free]
		receiving[target] = true
		s.hold(w.req, target)
		w.granted <- target
		return true
	})
}

func (s *Scheduler) hold(req Request, target string) {
	held := &turn{box: req.Box, target: target}
	held.expiry = time.AfterFunc(cmp.Or(req.MaxHold, defaultMaxHold), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.held[req.Source] == held {
			delete(s.held, req.Source)
			s.grant()
		}
	})
	s.held[req.Source] = held
}
