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

// engine is one that takes orders and remembers them. It reports at once.
type engine struct {
	mu     sync.Mutex
	fenced bool
	load   wire.EngineLoad
	orders []wire.EngineOrder // carried out, in order
	delay  time.Duration      // on the way, of the next order
	deaf   bool               // the delay goes on when the sender has given up
}

func (e *engine) Fresh(time.Time, string, time.Duration) (wire.EngineLoad, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load, true
}

// Order is the network and the engine's end of it.
func (e *engine) Order(ctx context.Context, _ string, o wire.EngineOrder) (wire.OrderAnswer, error) {
	e.mu.Lock()
	delay, deaf := e.delay, e.deaf
	e.delay = 0
	e.mu.Unlock()
	if delay == 0 {
		return e.carryOut(o), nil
	}
	if !deaf && delay > timeout {
		time.Sleep(timeout)
		return wire.OrderAnswer{}, ctx.Err() // lost on the way
	}
	if !deaf {
		time.Sleep(delay)
		return e.carryOut(o), nil
	}
	go func() {
		time.Sleep(delay)
		e.carryOut(o)
	}()
	return wire.OrderAnswer{}, context.DeadlineExceeded
}

func (e *engine) carryOut(o wire.EngineOrder) wire.OrderAnswer {
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

// test is two boxes that stand for a hall, and its one engine.
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

// rounds lets a while pass, in which the boxes that are not frozen work.
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

// matrix is the fault matrix of an order's life, fault x step. Each row says
// what happens once box a holds the lease; then version 2 is declared.
var matrix = map[string]struct {
	fenced bool
	before func(x *test) // before the new declaration
	after  func(x *test) // right after it
}{
	"sound x fenced":                     {fenced: true},
	"sound x not fenced":                 {},
	"kill x before order":                {before: func(x *test) { x.frozen[0] = true }},
	"kill x after order":                 {after: func(x *test) { x.rounds(1); x.frozen[0] = true }},
	"freeze, lapse, wake x before order": {before: func(x *test) { x.frozen[0] = true; x.rounds(12) }, after: func(x *test) { x.frozen[0] = false }},
	"slow x order on its way":            {before: func(x *test) { x.engine.delay = time.Second }},
	"cut x order lost":                   {before: func(x *test) { x.engine.delay = time.Hour }},
	"cut and kill x order lost":          {before: func(x *test) { x.engine.delay = time.Hour }, after: func(x *test) { x.rounds(1); x.frozen[0] = true }},
	"late beyond the lease x fenced":     {fenced: true, before: func(x *test) { x.engine.delay, x.engine.deaf = 4*duration, true }, after: func(x *test) { x.rounds(1); x.frozen[0] = true }},
	"store down x renewal":               {before: func(x *test) { x.fault(wire.FaultModeDown, 0); x.rounds(12); x.fault(wire.FaultModeNone, 0) }},
	"store down x order":                 {before: func(x *test) { x.fault(wire.FaultModeDown, 0) }, after: func(x *test) { x.rounds(8); x.fault(wire.FaultModeNone, 0) }},
	"reply lost x renewal": {before: func(x *test) {
		x.platform.Fault(wire.Fault{Part: platform.TableWrites, Mode: wire.FaultModeLoseReply, Count: 4})
	}},
	"new declaration x half-way": {after: func(x *test) {
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

// TestRound holds, by the engine's own record, that no order of an older holder
// is carried out after one of a newer, and that all ends as last declared.
func TestRound(t *testing.T) {
	for name, tt := range matrix {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				x := newTest(tt.fenced)
				x.rounds(6)
				is.Equal(x.engine.load.Version, "1") // loaded before anything strikes
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
				time.Sleep(time.Hour) // what is still on its way arrives
				is.Equal(x.engine.load.Version, "2")
			})
		})
	}
}
