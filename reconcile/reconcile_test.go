package reconcile_test

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/lease"
	"petrelstep/logs"
	"petrelstep/reconcile"
	"petrelstep/resource"
	"petrelstep/standin/platform"
	"petrelstep/wire"
)

const (
	duration = 6 * time.Second
	timeout  = 1500 * time.Millisecond
	round    = duration / 4
	loadTime = 2 * time.Second
)

// engine executes and records orders. Its reports arrive without delay.
type engine struct {
	mu     sync.Mutex
	fenced bool
	load   wire.EngineLoad
	orders []wire.EngineOrder // executed, in order
	delay  time.Duration      // of the next order in the network
	late   bool               // a delayed order arrives even after the sender's timeout
}

func (e *engine) Fresh(time.Time, string, time.Duration) (wire.EngineLoad, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load, true
}

// Order delivers an order to the engine, with the delay set for it.
func (e *engine) Order(ctx context.Context, _ string, o wire.EngineOrder) (wire.OrderAnswer, error) {
	e.mu.Lock()
	delay, late := e.delay, e.late
	e.delay = 0
	e.mu.Unlock()
	if delay == 0 {
		return e.execute(o), nil
	}
	if !late && delay > timeout {
		time.Sleep(timeout)
		return wire.OrderAnswer{}, ctx.Err() // lost in the network
	}
	if !late {
		time.Sleep(delay)
		return e.execute(o), nil
	}
	go func() {
		time.Sleep(delay)
		e.execute(o)
	}()
	return wire.OrderAnswer{}, context.DeadlineExceeded
}

func (e *engine) execute(o wire.EngineOrder) wire.OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced && o.Fence < e.load.Fence {
		return wire.OrderAnswer{Fence: e.load.Fence}
	}
	e.load.Fence = max(e.load.Fence, o.Fence)
	e.orders = append(e.orders, o)
	changes := o.Model != e.load.Model || o.Version != e.load.Version
	e.load.Model, e.load.Version, e.load.Leaving = o.Model, o.Version, o.Leave
	if changes {
		e.load.Ready = false
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.load.Ready = e.load.Model == o.Model && e.load.Version == o.Version
		})
	}
	return wire.OrderAnswer{Accepted: true, Fence: e.load.Fence}
}

func declared(version string) *resource.Resources {
	r := resource.New()
	r.Apply(declaration(1, version))
	return r
}

func declaration(revision int, version string) wire.ChangeSet {
	item := func(kind wire.ResourceKind, name string, spec any) wire.Resource {
		raw, _ := json.Marshal(spec)
		return wire.Resource{Kind: kind, Name: name, Spec: raw, Revision: revision}
	}
	return wire.ChangeSet{Revision: revision, Items: []wire.Resource{
		item("Hall", "leith", wire.Hall{Region: "r"}),
		item("Upstream", "e", wire.Upstream{Role: "engine", Hall: "leith", Address: "127.0.0.1:1", Repeatable: []string{}}),
		item("Placement", "p", wire.Placement{Hall: "leith", Model: "m", Version: version, Replicas: 1, Role: "any", Adapters: []string{}}),
	}}
}

// test holds two boxes that compete for a hall's lease, and the hall's engine.
type test struct {
	platform  *platform.Platform
	engine    *engine
	resources *resource.Resources
	boxes     [2]*reconcile.Reconciler
	leases    [2]*lease.Lease
	frozen    [2]bool
}

func newTest(fenced bool) *test {
	x := &test{platform: platform.New(platform.Options{}), resources: declared("1")}
	x.engine = &engine{fenced: fenced, load: wire.EngineLoad{Engine: "e", Role: "any", Adapters: []string{}}}
	for i, name := range []string{"a", "b"} {
		x.leases[i] = lease.New(x.platform.Direct(), "leith", name, duration, timeout)
		x.boxes[i] = reconcile.New("leith", x.leases[i], x.resources, x.engine, x.engine, timeout, duration, logs.New(io.Discard, "error", name))
	}
	return x
}

// rounds runs n rounds on the boxes that are not frozen.
func (x *test) rounds(n int) {
	for range n {
		for i, b := range x.boxes {
			if !x.frozen[i] {
				b.Round(context.Background())
			}
		}
		time.Sleep(round)
	}
}

func (x *test) fault(mode wire.FaultMode, count int) {
	x.platform.Fault(wire.Fault{Part: platform.Table, Mode: mode, Count: count})
}

// matrix is the fault matrix of an order, fault x step. Each fault is injected
// while box a holds the lease, before or after version 2 is declared.
var matrix = map[string]struct {
	fenced bool
	before func(x *test) // before the new declaration
	after  func(x *test) // right after it
}{
	"no fault x fenced":                  {fenced: true},
	"no fault x not fenced":              {},
	"kill x before order":                {before: func(x *test) { x.frozen[0] = true }},
	"kill x after order":                 {after: func(x *test) { x.rounds(1); x.frozen[0] = true }},
	"freeze, lapse, wake x before order": {before: func(x *test) { x.frozen[0] = true; x.rounds(12) }, after: func(x *test) { x.frozen[0] = false }},
	"slow x order in the network":        {before: func(x *test) { x.engine.delay = time.Second }},
	"cut x order lost":                   {before: func(x *test) { x.engine.delay = time.Hour }},
	"cut and kill x order lost":          {before: func(x *test) { x.engine.delay = time.Hour }, after: func(x *test) { x.rounds(1); x.frozen[0] = true }},
	"late beyond the lease x fenced":     {fenced: true, before: func(x *test) { x.engine.delay, x.engine.late = 4*duration, true }, after: func(x *test) { x.rounds(1); x.frozen[0] = true }},
	"store down x renewal":               {before: func(x *test) { x.fault(wire.FaultModeDown, 0); x.rounds(12); x.fault(wire.FaultModeNone, 0) }},
	"store down x order":                 {before: func(x *test) { x.fault(wire.FaultModeDown, 0) }, after: func(x *test) { x.rounds(8); x.fault(wire.FaultModeNone, 0) }},
	"reply lost x renewal": {before: func(x *test) {
		x.platform.Fault(wire.Fault{Part: platform.TableWrites, Mode: wire.FaultModeLoseReply, Count: 4})
	}},
	"new declaration x during rollout": {after: func(x *test) {
		x.rounds(1)
		x.resources.Apply(declaration(3, "1"))
		x.rounds(1)
		x.resources.Apply(declaration(4, "2"))
	}},
	"kill, then store down": {before: func(x *test) {
		x.frozen[0] = true
		x.fault(wire.FaultModeDown, 0)
		x.rounds(6)
		x.fault(wire.FaultModeNone, 0)
	}},
	"planned stop x holder": {before: func(x *test) { _ = x.leases[0].Release(context.Background()); x.frozen[0] = true }},
}

// TestRound checks by the engine's record that no order of an older lease holder
// is executed after one of a newer holder, and that the last declaration is
// reached.
func TestRound(t *testing.T) {
	for name, tt := range matrix {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				x := newTest(tt.fenced)
				x.rounds(6)
				is.Equal(x.engine.load.Version, "1") // loaded before the fault
				if tt.before != nil {
					tt.before(x)
				}
				x.resources.Apply(declaration(2, "2"))
				if tt.after != nil {
					tt.after(x)
				}
				x.rounds(30)
				is.Equal(x.engine.load.Version, "2")
				is.True(x.engine.load.Ready)
				top := 0
				for _, o := range x.engine.orders {
					is.True(o.Fence >= top)
					top = max(top, o.Fence)
				}
				time.Sleep(time.Hour) // delayed orders arrive
				is.Equal(x.engine.load.Version, "2")
			})
		})
	}
}
