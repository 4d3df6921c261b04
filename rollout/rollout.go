// Package rollout plans the orders that bring a hall's engines to their declared
// state: it keeps the declared number of replicas ready, and changes an engine
// only when it is idle.
package rollout

import (
	"sort"

	"petrelstep/resource"
	"petrelstep/wire"
)

// maxConcurrentLoads bounds the concurrent model loads in a hall: the weight
// store is rate-limited, and a loading engine is out of service.
const maxConcurrentLoads = 2

// Step is one order to one engine.
type Step struct {
	Engine string
	Order  wire.EngineOrder // without its fence
	Why    string
}

// Plan holds the orders to send now and the status of each placement.
type Plan struct {
	Steps  []Step
	Status []wire.PlacementStatus
}

// planner is the state of one planning round.
type planner struct {
	view    *resource.View
	loads   map[string]wire.EngineLoad
	free    []string // engines not assigned yet, sorted
	plan    Plan
	loading int
}

// New plans for a hall from the configuration in force and the engines' recent
// reports. Engines without a report get no orders.
func New(v *resource.View, hall string, loads map[string]wire.EngineLoad) Plan {
	p := &planner{view: v, loads: loads}
	placements := placementsOf(v, hall)
	for _, name := range v.Engines(hall) {
		l, ok := loads[name]
		switch {
		case !ok:
		case v.Upstreams[name].Leaving:
			p.orderLeave(name, l)
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
		held[name] = p.assignCurrent(v.Placements[name])
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

// orderLeave plans the order to leave for an engine that is declared leaving.
func (p *planner) orderLeave(name string, l wire.EngineLoad) {
	if !l.Leaving {
		p.addStep(name, currentOrder(l, true), "declared leaving")
	}
}

// assignCurrent assigns to a placement the engines that already serve it, ready
// ones first, up to its replicas.
func (p *planner) assignCurrent(pl wire.Placement) []string {
	var ready, pending []string
	for _, name := range p.free {
		l := p.loads[name]
		if !serves(l, pl) {
			continue
		}
		if l.Ready && !l.Leaving {
			ready = append(ready, name)
		} else {
			pending = append(pending, name)
		}
	}
	assigned := append(ready, pending...)
	assigned = assigned[:min(len(assigned), pl.Replicas)]
	for _, name := range assigned {
		p.assign(name)
	}
	return assigned
}

// fill finds engines for the replicas that a placement lacks: unused ones first,
// then, one at a time, those that serve the model in another version or role.
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
	for missing := pl.Replicas - len(current); missing > 0; missing-- {
		engine, why := p.candidate(pl, steady)
		if engine == "" {
			status.Why = why
			break
		}
		status.Why = "changing " + engine
		steady = false // one at a time, so that enough replicas stay ready
		p.assign(engine)
		p.convert(engine, p.loads[engine], pl)
	}
	p.plan.Status = append(p.plan.Status, status)
}

// candidate picks an engine to change. A serving engine may be changed only if
// the placement is steady, that is none of its engines is changing.
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
		if !p.needed(l) {
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

// needed reports whether a placement needs the model that an engine serves.
func (p *planner) needed(l wire.EngineLoad) bool {
	for _, pl := range p.view.Placements {
		if pl.Model == l.Model && pl.Replicas > 0 {
			return true
		}
	}
	return false
}

// convert takes an engine one step towards a placement: it leaves until it is
// idle, then it loads the model.
func (p *planner) convert(engine string, l wire.EngineLoad, pl wire.Placement) {
	idle := l.Running+l.Waiting == 0
	switch {
	case l.Ready && !l.Leaving && l.Model != "":
		p.addStep(engine, currentOrder(l, true), "to be emptied for "+pl.Model)
	case !idle:
	case p.loading >= maxConcurrentLoads && l.Ready:
	default:
		p.loading++
		p.addStep(engine, wire.EngineOrder{
			Model: pl.Model, Version: pl.Version, Adapters: append([]string{}, pl.Adapters...), Role: wire.EngineOrderRole(pl.Role),
		}, "to serve "+pl.Model)
	}
}

// unload plans the orders to leave, then to unload, for the engines that serve an
// old version of a placed model and are no longer needed.
func (p *planner) unload(placements []string) {
	for _, name := range p.free {
		l := p.loads[name]
		if l.Model == "" || !p.replaced(l, placements) {
			continue
		}
		if !l.Leaving {
			p.addStep(name, currentOrder(l, true), "replaced")
			continue
		}
		if l.Running+l.Waiting == 0 {
			p.addStep(name, wire.EngineOrder{Role: wire.EngineOrderRoleAny, Adapters: []string{}}, "replaced")
		}
	}
}

// replaced reports whether all placements of an engine's model are satisfied
// without it and none has its version.
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

func (p *planner) assign(name string) {
	for i := range p.free {
		if p.free[i] == name {
			p.free = append(p.free[:i], p.free[i+1:]...)
			return
		}
	}
}

func (p *planner) addStep(engine string, o wire.EngineOrder, why string) {
	p.plan.Steps = append(p.plan.Steps, Step{Engine: engine, Order: o, Why: why})
}

// currentOrder returns the order that keeps what an engine serves, leaving or
// not.
func currentOrder(l wire.EngineLoad, leave bool) wire.EngineOrder {
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
