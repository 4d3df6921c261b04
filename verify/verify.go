// Package verify checks a resource before it is accepted: its form by the
// schema, its references by the configuration in force. All mistakes are
// listed with their places.
package verify

import (
	"errors"
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

// Kinds lists the kinds of resources, in the order to apply them in.
func Kinds() []wire.ResourceKind {
	return []wire.ResourceKind{
		wire.ResourceKindHall, wire.ResourceKindModel, wire.ResourceKindAdapter, wire.ResourceKindOrganisation,
		wire.ResourceKindUpstream, wire.ResourceKindPlacement, wire.ResourceKindPolicy,
	}
}

// Mistakes returns the place of each mistake in a resource that is to be
// written into a configuration.
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
		var m *schemacheck.Mistakes
		errors.As(err, &m)
		places := make([]string, len(m.Places))
		for i, p := range m.Places {
			places[i] = "/spec" + p
		}
		return places
	}
	after := with(now, r)
	return references(after, r)
}

// with returns the configuration as it would be.
func with(now *resource.View, r wire.Resource) *resource.View {
	all := map[string]wire.Resource{}
	for k, v := range now.Resources {
		all[k] = v
	}
	all[resource.Key(r.Kind, r.Name)] = r
	return resource.NewView(now.Revision, all)
}

func references(v *resource.View, r wire.Resource) []string {
	var l list
	switch r.Kind {
	case wire.ResourceKindAdapter:
		need(&l, v.Models, "/spec/model", v.Adapters[r.Name].Model)
	case wire.ResourceKindOrganisation:
		for _, m := range v.Organisations[r.Name].Models {
			need(&l, v.Models, "/spec/models", m)
		}
		for _, hash := range v.Organisations[r.Name].KeyHashes {
			if v.Keys[hash] != r.Name {
				l.add("/spec/key_hashes: a key belongs to " + v.Keys[hash])
			}
		}
	case wire.ResourceKindUpstream:
		u := v.Upstreams[r.Name]
		need(&l, v.Halls, "/spec/hall", u.Hall)
		if u.Role == wire.UpstreamRoleService && u.Service == "" {
			l.add("/spec/service: a service needs its path name")
		}
	case wire.ResourceKindPlacement:
		p := v.Placements[r.Name]
		need(&l, v.Halls, "/spec/hall", p.Hall)
		need(&l, v.Models, "/spec/model", p.Model)
		for _, a := range p.Adapters {
			if v.Adapters[a].Model != p.Model {
				l.add("/spec/adapters: " + a + " is no adapter of " + p.Model)
			}
		}
	}
	return l.places
}

// usersOf lists what still refers to a resource that is to be removed.
func usersOf(v *resource.View, r wire.Resource) []string {
	var l list
	switch r.Kind {
	case wire.ResourceKindHall:
		used(&l, v.Upstreams, "Upstream", func(u wire.Upstream) bool { return u.Hall == r.Name })
		used(&l, v.Placements, "Placement", func(p wire.Placement) bool { return p.Hall == r.Name })
	case wire.ResourceKindModel:
		used(&l, v.Adapters, "Adapter", func(a wire.Adapter) bool { return a.Model == r.Name })
		used(&l, v.Placements, "Placement", func(p wire.Placement) bool { return p.Model == r.Name })
		used(&l, v.Organisations, "Organisation", func(o wire.Organisation) bool { return slices.Contains(o.Models, r.Name) })
	case wire.ResourceKindAdapter:
		used(&l, v.Placements, "Placement", func(p wire.Placement) bool { return slices.Contains(p.Adapters, r.Name) })
	}
	return l.places
}

type list struct{ places []string }

func (l *list) add(place string) { l.places = append(l.places, place) }

func need[T any](l *list, all map[string]T, place, name string) {
	if _, ok := all[name]; !ok {
		l.add(place + ": " + name + " is not declared")
	}
}

func used[T any](l *list, all map[string]T, kind string, uses func(T) bool) {
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
