// Package verify validates a resource before it is accepted: its form by the
// schema, its references by the configuration in force. It lists all mistakes
// with their JSON pointers.
package verify

import (
	"slices"
	"sort"

	"petrelstep/resource"
	"petrelstep/schemacheck"
	"petrelstep/wire"
)

// Verifier holds the compiled schemas.
type Verifier struct {
	checks map[wire.ResourceKind]*schemacheck.Checker
}

// New compiles the schemas of all kinds.
func New() *Verifier {
	v := &Verifier{checks: map[wire.ResourceKind]*schemacheck.Checker{}}
	for _, kind := range Kinds() {
		v.checks[kind] = schemacheck.New(string(kind))
	}
	return v
}

// Kinds returns the kinds of resources, in the order to apply them.
func Kinds() []wire.ResourceKind {
	return []wire.ResourceKind{
		wire.ResourceKindHall, wire.ResourceKindModel, wire.ResourceKindAdapter, wire.ResourceKindOrganisation,
		wire.ResourceKindUpstream, wire.ResourceKindPlacement, wire.ResourceKindPolicy,
	}
}

// Mistakes validates a resource against the configuration in force. Each mistake
// starts with its JSON pointer.
func (v *Verifier) Mistakes(now *resource.View, r wire.Resource) []string {
	if r.Removed {
		return usersOf(now, r)
	}
	checker, ok := v.checks[r.Kind]
	if !ok {
		return []string{"/kind: unknown"}
	}
	var spec any
	if err := checker.Decode(r.Spec, &spec); err != nil {
		places := slices.Clone(schemacheck.PlacesOf(err))
		for i, p := range places {
			places[i] = "/spec" + p
		}
		return places
	}
	after := applied(now, r)
	return references(after, r)
}

// applied returns the configuration with the resource.
func applied(now *resource.View, r wire.Resource) *resource.View {
	all := map[string]wire.Resource{}
	for k, v := range now.Resources {
		all[k] = v
	}
	all[resource.Key(r.Kind, r.Name)] = r
	return resource.NewView(now.Revision, all)
}

// references lists the invalid references of a resource.
func references(v *resource.View, r wire.Resource) []string {
	var l mistakes
	switch r.Kind {
	case wire.ResourceKindAdapter:
		requireDeclared(&l, v.Models, "/spec/model", v.Adapters[r.Name].Model)
	case wire.ResourceKindOrganisation:
		for _, m := range v.Organisations[r.Name].Models {
			requireDeclared(&l, v.Models, "/spec/models", m)
		}
		for _, hash := range v.Organisations[r.Name].KeyHashes {
			if v.Keys[hash] != r.Name {
				l.add("/spec/key_hashes: a key belongs to " + v.Keys[hash])
			}
		}
	case wire.ResourceKindUpstream:
		u := v.Upstreams[r.Name]
		requireDeclared(&l, v.Halls, "/spec/hall", u.Hall)
		if u.Role == wire.UpstreamRoleService && u.Service == "" {
			l.add("/spec/service: a service needs a path name")
		}
	case wire.ResourceKindPlacement:
		p := v.Placements[r.Name]
		requireDeclared(&l, v.Halls, "/spec/hall", p.Hall)
		requireDeclared(&l, v.Models, "/spec/model", p.Model)
		for _, a := range p.Adapters {
			if v.Adapters[a].Model != p.Model {
				l.add("/spec/adapters: " + a + " is not an adapter of " + p.Model)
			}
		}
	}
	return l.places
}

// usersOf lists the references to a resource that is to be removed.
func usersOf(v *resource.View, r wire.Resource) []string {
	var l mistakes
	switch r.Kind {
	case wire.ResourceKindHall:
		addUsers(&l, v.Upstreams, "Upstream", func(u wire.Upstream) bool { return u.Hall == r.Name })
		addUsers(&l, v.Placements, "Placement", func(p wire.Placement) bool { return p.Hall == r.Name })
	case wire.ResourceKindModel:
		addUsers(&l, v.Adapters, "Adapter", func(a wire.Adapter) bool { return a.Model == r.Name })
		addUsers(&l, v.Placements, "Placement", func(p wire.Placement) bool { return p.Model == r.Name })
		addUsers(&l, v.Organisations, "Organisation", func(o wire.Organisation) bool { return slices.Contains(o.Models, r.Name) })
	case wire.ResourceKindAdapter:
		addUsers(&l, v.Placements, "Placement", func(p wire.Placement) bool { return slices.Contains(p.Adapters, r.Name) })
	}
	return l.places
}

type mistakes struct{ places []string }

func (l *mistakes) add(place string) { l.places = append(l.places, place) }

func requireDeclared[T any](l *mistakes, all map[string]T, place, name string) {
	if _, ok := all[name]; !ok {
		l.add(place + ": " + name + " is not declared")
	}
}

func addUsers[T any](l *mistakes, all map[string]T, kind string, uses func(T) bool) {
	var names []string
	for name, t := range all {
		if uses(t) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		l.add("/: " + kind + " " + name + " refers to it")
	}
}
