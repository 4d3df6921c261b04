// Package moveturns keeps the turns at which boxes move runs off upstreams that
// leave. A copy takes the links of both its ends, and copies on one link go one
// after another, so that a turn holds an upstream that leaves and the one that
// the run goes to: no copy waits behind another. A turn is soft state: it
// lapses, and a box that cannot reach the keeper goes without.
package moveturns

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// turnMost is how long a box may keep a turn: a move takes 0.2 s within a hall
// and 0.4 s between halls. One whose holder died must not cost the others the
// whole notice of 1.5 s.
const turnMost = 800 * time.Millisecond

// Request is what a box asks for. Values are immutable.
type Request struct {
	Box     string
	Source  string        // upstream that leaves
	Targets []string      // upstreams that the run may go to, the best first
	Tokens  int           // of memory that moves: the smallest goes first
	MaxHold time.Duration // how long the turn may be kept; 0 for as long as a move takes
}

type turn struct {
	box    string
	target string
	lapse  *time.Timer
}

type waiter struct {
	ask     Request
	granted chan string // the target
}

// Scheduler is safe for use by several goroutines.
type Scheduler struct {
	mu      sync.Mutex
	held    map[string]*turn // by source
	waiting []*waiter        // the smallest first
}

// New returns a keeper that no box holds a turn of.
func New() *Scheduler { return &Scheduler{held: map[string]*turn{}} }

// Take waits until ctx ends for a turn, and returns the target that it holds.
// It reports false if there was none in time. A box that asks again for a source
// has given its turn back.
func (t *Scheduler) Take(ctx context.Context, ask Request) (target string, ok bool) {
	w := &waiter{ask: ask, granted: make(chan string, 1)}
	t.mu.Lock()
	t.drop(ask.Source, ask.Box)
	at, _ := slices.BinarySearchFunc(t.waiting, w, func(a, b *waiter) int { return a.ask.Tokens - b.ask.Tokens })
	t.waiting = slices.Insert(t.waiting, at, w)
	t.grant()
	t.mu.Unlock()
	select {
	case target = <-w.granted:
		return target, true
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = slices.DeleteFunc(t.waiting, func(o *waiter) bool { return o == w })
	select {
	case target = <-w.granted: // in the same moment
		return target, true
	default:
		return "", false
	}
}

// Release ends a box's turn.
func (t *Scheduler) Release(source, box string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(source, box)
	t.grant()
}

func (t *Scheduler) drop(source, box string) {
	if held, ok := t.held[source]; ok && held.box == box {
		held.lapse.Stop()
		delete(t.held, source)
	}
}

// Forget ends the turns that an upstream has a part in, as it has started again: the
// copies that they were for are no more.
func (t *Scheduler) Forget(upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for source, held := range t.held {
		if source == upstream || held.target == upstream {
			held.lapse.Stop()
			delete(t.held, source)
		}
	}
	t.grant()
}

// grant gives turns to those who wait, as far as both links are free.
func (t *Scheduler) grant() {
	receiving := map[string]bool{}
	for _, held := range t.held {
		receiving[held.target] = true
	}
	t.waiting = slices.DeleteFunc(t.waiting, func(w *waiter) bool {
		free := slices.IndexFunc(w.ask.Targets, func(target string) bool { return !receiving[target] })
		if t.held[w.ask.Source] != nil || free < 0 {
			return false
		}
		target := w.ask.Targets[free]
		receiving[target] = true
		t.hold(w.ask, target)
		w.granted <- target
		return true
	})
}

func (t *Scheduler) hold(ask Request, target string) {
	held := &turn{box: ask.Box, target: target}
	held.lapse = time.AfterFunc(cmp.Or(ask.MaxHold, turnMost), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.held[ask.Source] == held {
			delete(t.held, ask.Source)
			t.grant()
		}
	})
	t.held[ask.Source] = held
}
