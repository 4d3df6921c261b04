// Package engineload tracks the load of the engines as one box knows it: the
// last, delayed reports, and the dispatches since.
package engineload

import (
	"sync"
	"time"

	"petrelstep/placement"
	"petrelstep/wire"
)

// dispatchTimeout is how long a dispatch counts as load of an engine that stopped
// reporting.
const dispatchTimeout = 10 * time.Second

type dispatch struct {
	at     time.Time
	tokens int
}

type engineState struct {
	load     wire.EngineLoad
	at       time.Time  // of the report, by the engine's clock
	lastSeen time.Time  // arrival of the report
	recent   []dispatch // since the report
}

// Tracker holds the load of all engines. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	engines map[string]*engineState
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{engines: map[string]*engineState{}} }

// Report applies a load report. It ignores a report older than the last, and
// reports whether it was applied.
func (l *Tracker) Report(now time.Time, load wire.EngineLoad) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.state(load.Engine)
	at := time.UnixMilli(int64(load.AtMs))
	if load.Incarnation < k.load.Incarnation || load.Incarnation == k.load.Incarnation && !at.After(k.at) {
		return false
	}
	k.load, k.at, k.lastSeen = load, at, now
	kept := k.recent[:0]
	for _, d := range k.recent {
		if d.at.After(at) {
			kept = append(kept, d)
		}
	}
	k.recent = kept
	return true
}

// Dispatched records that a prompt of the given tokens was sent to an engine, by
// this box or by another box that announced it.
func (l *Tracker) Dispatched(now time.Time, engine string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.state(engine)
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

// Fresh returns the last report of an engine if it arrived within the given time.
func (l *Tracker) Fresh(now time.Time, engine string, within time.Duration) (wire.EngineLoad, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.engines[engine]
	if !ok || k.load.Engine == "" || now.Sub(k.lastSeen) > within {
		return wire.EngineLoad{}, false
	}
	return k.load, true
}

// View returns the load of one engine for placement.
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
		if now.Sub(d.at) < dispatchTimeout {
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

func (l *Tracker) state(engine string) *engineState {
	k, ok := l.engines[engine]
	if !ok {
		k = &engineState{}
		l.engines[engine] = k
	}
	return k
}
