// Package turns keeps the turns at which boxes move runs off upstreams that
// leave: one box at a time for each upstream. A turn is soft state: it lapses,
// and a box that cannot reach the keeper goes without.
package turns

import (
	"context"
	"sync"
	"time"
)

// turnMost is how long a box may keep a turn: one move takes half a second.
const turnMost = 1500 * time.Millisecond

type turn struct {
	holder string
	until  time.Time
	freed  chan struct{}
}

// Turns is safe for use by several goroutines.
type Turns struct {
	mu   sync.Mutex
	held map[string]*turn
}

// New returns a keeper that no box holds a turn of.
func New() *Turns { return &Turns{held: map[string]*turn{}} }

// Take waits for an upstream's turn until ctx ends; it reports whether the box
// has it.
func (t *Turns) Take(ctx context.Context, upstream, box string) bool {
	for {
		free, left, ok := t.try(time.Now(), upstream, box)
		if ok {
			return true
		}
		lapse := time.NewTimer(left)
		select {
		case <-ctx.Done():
			lapse.Stop()
			return false
		case <-free:
		case <-lapse.C:
		}
		lapse.Stop()
	}
}

func (t *Turns) try(now time.Time, upstream, box string) (free <-chan struct{}, left time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, taken := t.held[upstream]
	if taken && held.holder != box && now.Before(held.until) {
		return held.freed, held.until.Sub(now), false
	}
	if taken {
		close(held.freed)
	}
	t.held[upstream] = &turn{holder: box, until: now.Add(turnMost), freed: make(chan struct{})}
	return nil, 0, true
}

// GiveBack ends a box's turn.
func (t *Turns) GiveBack(upstream, box string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if held, ok := t.held[upstream]; ok && held.holder == box {
		delete(t.held, upstream)
		close(held.freed)
	}
}
