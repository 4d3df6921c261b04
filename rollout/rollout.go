// Package rollout plans the orders that bring a hall's engines to what is
// declared: loads that keep the declared number ready, and engines emptied of
// work before they change.
package rollout

import (
	"sort"

	"petrelstep/resource"
	"petrelstep/wire"
)

// loadsAtOnce bounds the loads under way in a hall: the weight store is
// rate-limited, and each load takes an engine out of service.
const loadsAtOnce = 2

// Step is one order to one engine.
type Step struct {
	Engine string
	Order  wire.EngineOrder // without its fence
	Why    string
}

// Plan is what to do now, and how each placement stands.
type Plan struct {
	Steps  []Step
	Status []wire.PlacementStatus
}

// planner holds one planning.
type planner struct {
	view    *resource.View
	loads   map[string]wire.EngineLoad
	free    []string // engines with no part yet, sorted
	plan    Plan
	loading int
}

// New plans for a hall from the configuration in force and the engines' fresh
// reports. Engines without a report get no orders.
func New(v *resource.View, hall string, loads map[string]wire.EngineLoad) Plan {
	p := &planner{view: v, loads: loads}
	placements := placementsOf(v, hall)
	for _, name := range v.Engines(hall) {
		l, ok := loads[name]
		switch {
		case !ok:
		case v.Upstreams[name].Leaving:
			p.leave(name, l)
		default:
			p.free = append(p.free, name)
			if l.Model != "" && !l.Ready {
				p.loading++
			}
		}
	}
	if len(placements) == 0 {
		return p.plan
	}
	held := map[string][]string{}
	for _, name := range placements {
		held[name] = p.takeCurrent(v.Placements[name])
	}
	for _, name := range placements {
		p.fill(name, v.Placements[name], held[name])
	}
	p.unload(placements)
	return p.plan
}

func placementsOf(v *resource.View, hall string) []string {
	var names []string
	for name, p := range v.Placements {
		if p.Hall == hall {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// leave empties an engine that is declared to be leaving.
func (p *planner) leave(name string, l wire.EngineLoad) {
	if !l.Leaving {
		p.step(name, stay(l, true), "declared leaving")
	}
}

// takeCurrent gives a placement the engines that serve it already, ready ones
// first, up to its number.
func (p *planner) takeCurrent(pl wire.Placement) []string {
	var ready, coming []string
	for _, name := range p.free {
		l := p.loads[name]
		if !serves(l, pl) {
			continue
		}
		if l.Ready && !l.Leaving {
			ready = append(ready, name)
		} else {
			coming = append(coming, name)
		}
	}
	taken := append(ready, coming...)
	taken = taken[:min(len(taken), pl.Replicas)]
	for _, name := range taken {
		p.take(name)
	}
	return taken
}

// fill finds engines for what a placement lacks: unused ones first, then, one
// at a time, those that serve the model in another form.
func (p *planner) fill(name string, pl wire.Placement, current []string) {
	status := wire.PlacementStatus{Placement: name, Model: pl.Model, Desired: pl.Replicas}
	for _, engine := range current {
		l := p.loads[engine]
		if l.Ready && !l.Leaving {
			status.Actual++
			continue
		}
		status.Why = "loading on " + engine
		if l.Leaving {
			p.convert(engine, l, pl)
		}
	}
	steady := status.Actual == len(current)
	for lack := pl.Replicas - len(current); lack > 0; lack-- {
		engine, why := p.candidate(pl, steady)
		if engine == "" {
			status.Why = why
			break
		}
		status.Why = "changing " + engine
		steady = false // one at a time, or too few would be left ready
		p.take(engine)
		p.convert(engine, p.loads[engine], pl)
	}
	p.plan.Status = append(p.plan.Status, status)
}

// candidate picks an engine to change. steady says that nothing of the
// placement is under way: only then may a serving engine be changed.
func (p *planner) candidate(pl wire.Placement, steady bool) (engine, why string) {
	var sameModel string
	for _, name := range p.free {
		l := p.loads[name]
		if l.Model == pl.Model {
			if sameModel == "" || l.Leaving && !p.loads[sameModel].Leaving {
				sameModel = name
			}
			continue
		}
		if !p.wanted(l) {
			return name, ""
		}
	}
	switch {
	case sameModel == "":
		return "", "no engine is free"
	case !steady && !p.loads[sameModel].Leaving:
		return "", "another engine is still changing"
	}
	return sameModel, ""
}

// wanted tells whether some placement of the hall needs what an engine serves.
func (p *planner) wanted(l wire.EngineLoad) bool {
	for _, pl := range p.view.Placements {
		if pl.Model == l.Model && pl.Replicas > 0 {
			return true
		}
	}
	return false
}

// convert takes an engine one step towards a placement: first it is emptied,
// then it loads.
func (p *planner) convert(engine string, l wire.EngineLoad, pl wire.Placement) {
	idle := l.Running+l.Waiting == 0
	switch {
	case l.Ready && !l.Leaving && l.Model != "":
		p.step(engine, stay(l, true), "to be emptied for "+pl.Model)
	case !idle:
	case p.loading >= loadsAtOnce && l.Ready:
	default:
		p.loading++
		p.step(engine, wire.EngineOrder{
			Model: pl.Model, Version: pl.Version, Adapters: append([]string{}, pl.Adapters...), Role: wire.EngineOrderRole(pl.Role),
		}, "to serve "+pl.Model)
	}
}

// unload empties and frees the engines that serve an old version of a placed
// model and are no longer needed.
func (p *planner) unload(placements []string) {
	for _, name := range p.free {
		l := p.loads[name]
		if l.Model == "" || !p.replaced(l, placements) {
			continue
		}
		if !l.Leaving {
			p.step(name, stay(l, true), "replaced")
			continue
		}
		if l.Running+l.Waiting == 0 {
			p.step(name, wire.EngineOrder{Role: wire.EngineOrderRoleAny, Adapters: []string{}}, "replaced")
		}
	}
}

// replaced tells whether all placements of an engine's model are met without it
// and none is of its version.
func (p *planner) replaced(l wire.EngineLoad, placements []string) bool {
	found := false
	for i, name := range placements {
		pl := p.view.Placements[name]
		if pl.Model != l.Model {
			continue
		}
		if pl.Version == l.Version || p.plan.Status[i].Actual < pl.Replicas {
			return false
		}
		found = true
	}
	return found
}

func (p *planner) take(name string) {
	for i := range p.free {
		if p.free[i] == name {
			p.free = append(p.free[:i], p.free[i+1:]...)
			return
		}
	}
}

func (p *planner) step(engine string, o wire.EngineOrder, why string) {
	p.plan.Steps = append(p.plan.Steps, Step{Engine: engine, Order: o, Why: why})
}

// stay is the order to go on with what an engine serves, leaving or not.
func stay(l wire.EngineLoad, leave bool) wire.EngineOrder {
	return wire.EngineOrder{
		Model: l.Model, Version: l.Version, Adapters: append([]string{}, l.Adapters...), Role: wire.EngineOrderRole(l.Role), Leave: leave,
	}
}

func serves(l wire.EngineLoad, pl wire.Placement) bool {
	if l.Model != pl.Model || l.Version != pl.Version || l.Role != string(pl.Role) || len(l.Adapters) != len(pl.Adapters) {
		return false
	}
	for i := range l.Adapters {
		if l.Adapters[i] != pl.Adapters[i] {
			return false
		}
	}
	return true
}
