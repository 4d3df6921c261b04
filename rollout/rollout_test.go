package rollout_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"petrelstep/resource"
	"petrelstep/rollout"
	"petrelstep/wire"
)

// fleet simulates the engines of a hall, one step of work at a time.
type fleet struct {
	loads map[string]wire.EngineLoad
	work  map[string]int // remaining steps of loads and generations
}

func newFleet(engines, busy int) *fleet {
	f := &fleet{loads: map[string]wire.EngineLoad{}, work: map[string]int{}}
	for i := range engines {
		name := fmt.Sprintf("e%d", i)
		f.loads[name] = wire.EngineLoad{Engine: name, Role: "any"}
		f.work[name] = busy
	}
	return f
}

// execute carries out a plan and returns what was wrong with it.
func (f *fleet) execute(p rollout.Plan) string {
	for _, s := range p.Steps {
		l := f.loads[s.Engine]
		changes := l.Model != s.Order.Model || l.Version != s.Order.Version
		if changes && l.Running > 0 {
			return s.Engine + " was changed with a generation in flight"
		}
		if changes {
			l.Ready = false
			f.work[s.Engine] = 2 // loading
		}
		l.Model, l.Version, l.Leaving = s.Order.Model, s.Order.Version, s.Order.Leave
		l.Role, l.Adapters = string(s.Order.Role), s.Order.Adapters
		f.loads[s.Engine] = l
	}
	return ""
}

// step advances all engines by one step of work.
func (f *fleet) step() {
	for name, l := range f.loads {
		switch {
		case f.work[name] > 0:
			f.work[name]--
		case l.Model != "" && !l.Ready:
			l.Ready = true
		case l.Leaving:
			l.Running = 0
		case l.Ready:
			l.Running = 1 // callers keep sending
			f.work[name] = 2
		}
		f.loads[name] = l
	}
}

func (f *fleet) ready(model, version string) int {
	n := 0
	for _, l := range f.loads {
		if l.Model == model && l.Ready && !l.Leaving && (version == "*" || l.Version == version) {
			n++
		}
	}
	return n
}

func view(engines int, placements map[string]wire.Placement) *resource.View {
	all := map[string]wire.Resource{}
	add := func(kind wire.ResourceKind, name string, spec any) {
		raw, _ := json.Marshal(spec)
		all[resource.Key(kind, name)] = wire.Resource{Kind: kind, Name: name, Spec: raw}
	}
	add(wire.ResourceKindHall, "leith", wire.Hall{Region: "edinburgh"})
	for i := range engines {
		add(wire.ResourceKindUpstream, fmt.Sprintf("e%d", i), wire.Upstream{Role: "engine", Hall: "leith", Address: "127.0.0.1:1", Repeatable: []string{}})
	}
	for name, p := range placements {
		add(wire.ResourceKindPlacement, name, p)
	}
	return resource.NewView(1, all)
}

func placement(model, version string, replicas int) wire.Placement {
	return wire.Placement{Hall: "leith", Model: model, Version: version, Replicas: replicas, Role: "any", Adapters: []string{}}
}

// TestRoll changes the declaration during or after a rollout: the last
// declaration is reached, no generation in flight is interrupted, and the ready
// replicas of a model that stays declared don't fall below the minimum.
func TestRoll(t *testing.T) {
	tests := map[string]struct {
		engines   int
		first     map[string]wire.Placement
		after     int // steps until the second declaration
		second    map[string]wire.Placement
		model     string
		minReady  int // ready replicas of the model once the first declaration is reached
		model2    string
		version   string
		wantReady int
	}{
		"load":                       {engines: 3, second: map[string]wire.Placement{"p": placement("m", "1", 2)}, model: "m", version: "1", wantReady: 2},
		"with a free engine":         {engines: 3, first: map[string]wire.Placement{"p": placement("m", "1", 2)}, after: 30, second: map[string]wire.Placement{"p": placement("m", "2", 2)}, model: "m", version: "2", minReady: 2, wantReady: 2},
		"without a free engine":      {engines: 2, first: map[string]wire.Placement{"p": placement("m", "1", 2)}, after: 30, second: map[string]wire.Placement{"p": placement("m", "2", 2)}, model: "m", version: "2", minReady: 1, wantReady: 2},
		"changed during rollout":     {engines: 3, first: map[string]wire.Placement{"p": placement("m", "1", 3)}, after: 4, second: map[string]wire.Placement{"p": placement("m", "2", 2)}, model: "m", version: "2", wantReady: 2},
		"another model":              {engines: 2, first: map[string]wire.Placement{"p": placement("m", "1", 2)}, after: 30, second: map[string]wire.Placement{"p": placement("n", "1", 2)}, model: "n", version: "1", wantReady: 2},
		"role":                       {engines: 2, first: map[string]wire.Placement{"p": placement("m", "1", 1)}, after: 30, second: map[string]wire.Placement{"p": {Hall: "leith", Model: "m", Version: "1", Replicas: 1, Role: "decode", Adapters: []string{}}}, model: "m", version: "1", minReady: 1, wantReady: 1},
		"more replicas than engines": {engines: 1, second: map[string]wire.Placement{"p": placement("m", "1", 3)}, model: "m", version: "1", wantReady: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(tt.engines, 0)
			reached := false
			for step := range 120 {
				declared := tt.second
				if step < tt.after {
					declared = tt.first
				}
				is.Equal(f.execute(rollout.New(view(tt.engines, declared), "leith", f.loads)), "")
				reached = reached || f.ready(tt.model, "*") >= tt.minReady && step >= tt.after-1
				if reached {
					is.True(f.ready(tt.model, "*") >= tt.minReady)
				}
				f.step()
			}
			is.True(f.ready(tt.model, tt.version) >= tt.wantReady)
		})
	}
}

// TestRandomDeclarations changes the declaration at random times and loses some
// orders: no generation in flight is interrupted, and the last declaration is
// reached.
func TestRandomDeclarations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engines := rapid.IntRange(1, 6).Draw(rt, "engines")
		f := newFleet(engines, 0)
		var last map[string]wire.Placement
		for range rapid.IntRange(1, 4).Draw(rt, "declarations") {
			last = map[string]wire.Placement{}
			for _, model := range []string{"m", "n"} {
				last[model] = placement(model, rapid.SampledFrom([]string{"1", "2"}).Draw(rt, "version"), rapid.IntRange(0, engines/2).Draw(rt, "replicas"))
			}
			for range rapid.IntRange(1, 12).Draw(rt, "steps") {
				f.round(rt, engines, last, rapid.IntRange(0, 3).Draw(rt, "lost") == 0)
			}
		}
		for range 150 {
			f.round(rt, engines, last, false)
		}
		for name, p := range last {
			if f.ready(p.Model, p.Version) < p.Replicas {
				rt.Fatalf("%s: %d of %d ready: %+v", name, f.ready(p.Model, p.Version), p.Replicas, f.loads)
			}
		}
	})
}

func (f *fleet) round(rt *rapid.T, engines int, declared map[string]wire.Placement, lost bool) {
	p := rollout.New(view(engines, declared), "leith", f.loads)
	if lost {
		p.Steps = nil
	}
	if wrong := f.execute(p); wrong != "" {
		rt.Fatal(wrong)
	}
	f.step()
}
