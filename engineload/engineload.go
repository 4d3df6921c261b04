// Package engineload keeps what one box knows of the engines' load: lagging
// reports, and what was dispatched since each was true.
package engineload

import (
	"sync"
	"time"

	"petrelstep/placement"
	"petrelstep/wire"
)

// forgetDispatches bounds how long a dispatch is held against an engine whose
// reports have stopped.
const forgetDispatches = 10 * time.Second

type dispatch struct {
	at     time.Time
	tokens int
}

type known struct {
	load   wire.EngineLoad
	at     time.Time // by the engine's clock
	heard  time.Time
	recent []dispatch
}

// Tracker is safe for use by several goroutines.
type Tracker struct {
	mu      sync.Mutex
	engines map[string]*known
}

// New returns an empty view.
func New() *Tracker { return &Tracker{engines: map[string]*known{}} }

// Report takes a report; one older than the last is dropped and false returned.
func (l *Tracker) Report(now time.Time, load wire.EngineLoad) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.known(load.Engine)
	at := time.UnixMilli(int64(load.AtMs))
	if load.Incarnation < k.load.Incarnation || load.Incarnation == k.load.Incarnation && !at.After(k.at) {
		return false
	}
	k.load, k.at, k.heard = load, at, now
	kept := k.recent[:0]
	for _, d := range k.recent {
		if d.at.After(at) {
			kept = append(kept, d)
		}
	}
	k.recent = kept
	return true
}

// Dispatched notes that work for so many tokens went to an engine, from this
// box or, as a peer announced, from another.
func (l *Tracker) Dispatched(now time.Time, engine string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.known(engine)
	k.recent = append(k.recent, dispatch{at: now, tokens: tokens})
}

// Load returns the last report of an engine.
func (l *Tracker) Load(engine string) (wire.EngineLoad, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.engines[engine]
	if !ok || k.load.Engine == "" {
		return wire.EngineLoad{}, false
	}
	return k.load, true
}

// Fresh returns the last report of an engine if it came within a while.
func (l *Tracker) Fresh(now time.Time, engine string, within time.Duration) (wire.EngineLoad, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.engines[engine]
	if !ok || k.load.Engine == "" || now.Sub(k.heard) > within {
		return wire.EngineLoad{}, false
	}
	return k.load, true
}

// View returns what placement needs of one engine.
func (l *Tracker) View(now time.Time, engine string) (placement.View, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.engines[engine]
	if !ok || k.load.Engine == "" {
		return placement.View{}, false
	}
	v := placement.View{
		Engine:   engine,
		Used:     k.load.Used,
		Capacity: k.load.Capacity,
		Running:  k.load.Running,
		Waiting:  k.load.Waiting,
		Step:     time.Duration(k.load.StepUs) * time.Microsecond,
	}
	for _, d := range k.recent {
		if now.Sub(d.at) < forgetDispatches {
			v.Used += d.tokens
			v.Running++
		}
	}
	return v, true
}

// Forget drops an engine that is no longer declared.
func (l *Tracker) Forget(engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.engines, engine)
}

func (l *Tracker) known(engine string) *known {
	k, ok := l.engines[engine]
	if !ok {
		k = &known{}
		l.engines[engine] = k
	}
	return k
}
