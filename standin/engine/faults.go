package engine

import (
	"context"
	"time"

	"petrelstep/wire"
)

// Fault injects a fault into the engine: kill, reclaim, freeze, or none to end a freeze. A
// killed engine restarts empty after the fault's delay.
func (e *Engine) Fault(f wire.Fault) {
	delay := time.Duration(f.DelayMs) * time.Millisecond
	switch f.Mode {
	case wire.FaultModeKill:
		e.kill(delay)
	case wire.FaultModeReclaim:
		e.Leave()
		e.reclaim()
		time.AfterFunc(delay, func() { e.kill(time.Hour) })
	case wire.FaultModeFreeze:
		e.freeze(delay)
	case wire.FaultModeNone:
		e.thaw()
	}
}

// Leave makes the engine finish its generations and accept no new ones.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// reclaim makes the engine reject orders, because the platform has taken it back.
func (e *Engine) reclaim() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reclaimed = true
}

func (e *Engine) kill(down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
	e.core.Clear()
	for _, g := range e.generations {
		if g.why == "" {
			e.finish(g, wire.EngineEndWhyLost)
		}
	}
	e.generations = map[string]*generation{}
	time.AfterFunc(down, e.restart)
}

func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead, e.leaving, e.reclaimed = false, false, false
	e.load.Incarnation = max(e.load.Incarnation+1, int(time.Now().UnixMilli()))
	e.reports = nil
	e.wakeUp()
}

func (e *Engine) freeze(last time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen == nil {
		e.frozen = make(chan struct{})
		time.AfterFunc(last, e.thaw)
	}
}

func (e *Engine) thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen != nil {
		close(e.frozen)
		e.frozen = nil
	}
}

// awaitThaw waits while the engine is frozen; it returns false if ctx ended first.
func (e *Engine) awaitThaw(ctx context.Context) bool {
	e.mu.Lock()
	frozen := e.frozen
	e.mu.Unlock()
	if frozen == nil {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-frozen:
		return true
	}
}

// order executes an operator's order; weights load in the background.
func (e *Engine) order(o wire.EngineOrder) wire.OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.Fenced && o.Fence < e.load.Fence {
		return wire.OrderAnswer{Fence: e.load.Fence, Detail: "old fence"}
	}
	if e.reclaimed {
		return wire.OrderAnswer{Fence: e.load.Fence, Detail: "reclaimed"}
	}
	e.load.Fence = max(e.load.Fence, o.Fence)
	e.history = append(e.history, Started{Attempt: o.Model + "@" + o.Version, Fence: o.Fence, At: time.Now()})
	e.leaving = o.Leave
	e.load.Role = string(o.Role)
	e.load.Adapters = append([]string{}, o.Adapters...)
	if o.Model == e.load.Model && o.Version == e.load.Version && (e.load.Ready || e.cancelLoad != nil) {
		return wire.OrderAnswer{Accepted: true, Fence: e.load.Fence}
	}
	if e.cancelLoad != nil {
		e.cancelLoad()
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancelLoad = cancel
	e.load.Ready, e.load.Model, e.load.Version = false, o.Model, o.Version
	if o.Model != "" {
		go e.loadWeights(ctx, o)
	}
	return wire.OrderAnswer{Accepted: true, Fence: e.load.Fence}
}

func (e *Engine) loadWeights(ctx context.Context, o wire.EngineOrder) {
	if e.options.Platform != "" && !takeWeights(ctx, e.options.Platform, o.Model) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() == nil && e.load.Model == o.Model && e.load.Version == o.Version {
		e.load.Ready = true
		e.cancelLoad = nil
	}
}
