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

// fleet is a hall of engines in small: it carries orders out as engines do,
// one step of work at a time.
type fleet struct {
	loads map[string]wire.EngineLoad
	work  map[string]int // steps that generations in flight still take
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

// obey carries out a plan; it returns what was wrong with it.
func (f *fleet) obey(p rollout.Plan) string {
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

// step lets a while pass.
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
			l.Running = 1 // callers go on sending
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

// TestRoll declares one thing, then another half-way or after: all ends as
// last declared, no generation in flight is cut, and the ready replicas of a
// model that stays declared do not fall below what is asked.
func TestRoll(t *testing.T) {
	tests := map[string]struct {
		engines   int
		first     map[string]wire.Placement
		after     int // steps until the second declaration
		second    map[string]wire.Placement
		model     string
		least     int // ready replicas of the model at any time after the first is met
		model2    string
		version   string
		wantReady int
	}{
		"load":                    {engines: 3, second: map[string]wire.Placement{"p": placement("m", "1", 2)}, model: "m", version: "1", wantReady: 2},
		"roll with a spare":       {engines: 3, first: map[string]wire.Placement{"p": placement("m", "1", 2)}, after: 30, second: map[string]wire.Placement{"p": placement("m", "2", 2)}, model: "m", version: "2", least: 2, wantReady: 2},
		"roll without a spare":    {engines: 2, first: map[string]wire.Placement{"p": placement("m", "1", 2)}, after: 30, second: map[string]wire.Placement{"p": placement("m", "2", 2)}, model: "m", version: "2", least: 1, wantReady: 2},
		"new declaration midway":  {engines: 3, first: map[string]wire.Placement{"p": placement("m", "1", 3)}, after: 4, second: map[string]wire.Placement{"p": placement("m", "2", 2)}, model: "m", version: "2", wantReady: 2},
		"another model":           {engines: 2, first: map[string]wire.Placement{"p": placement("m", "1", 2)}, after: 30, second: map[string]wire.Placement{"p": placement("n", "1", 2)}, model: "n", version: "1", wantReady: 2},
		"role":                    {engines: 2, first: map[string]wire.Placement{"p": placement("m", "1", 1)}, after: 30, second: map[string]wire.Placement{"p": {Hall: "leith", Model: "m", Version: "1", Replicas: 1, Role: "decode", Adapters: []string{}}}, model: "m", version: "1", least: 1, wantReady: 1},
		"more than there is room": {engines: 1, second: map[string]wire.Placement{"p": placement("m", "1", 3)}, model: "m", version: "1", wantReady: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(tt.engines, 0)
			met := false
			for step := range 120 {
				declared := tt.second
				if step < tt.after {
					declared = tt.first
				}
				is.Equal(f.obey(rollout.New(view(tt.engines, declared), "leith", f.loads)), "")
				met = met || f.ready(tt.model, "*") >= tt.least && step >= tt.after-1
				if met {
					is.True(f.ready(tt.model, "*") >= tt.least)
				}
				f.step()
			}
			is.True(f.ready(tt.model, tt.version) >= tt.wantReady)
		})
	}
}

// TestRandomDeclarations declares at random times, and orders are now and then
// lost: no generation in flight is ever cut, and all ends as last declared.
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
				f.turn(rt, engines, last, rapid.IntRange(0, 3).Draw(rt, "lost") == 0)
			}
		}
		for range 150 {
			f.turn(rt, engines, last, false)
		}
		for name, p := range last {
			if f.ready(p.Model, p.Version) < p.Replicas {
				rt.Fatalf("%s: %d of %d ready: %+v", name, f.ready(p.Model, p.Version), p.Replicas, f.loads)
			}
		}
	})
}

func (f *fleet) turn(rt *rapid.T, engines int, declared map[string]wire.Placement, lost bool) {
	p := rollout.New(view(engines, declared), "leith", f.loads)
	if lost {
		p.Steps = nil
	}
	if wrong := f.obey(p); wrong != "" {
		rt.Fatal(wrong)
	}
	f.step()
}
