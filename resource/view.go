package resource

import (
	"encoding/json"
	"maps"
	"sort"

	"petrelstep/wire"
)

// View is the configuration in force, decoded. Values are immutable.
type View struct {
	Revision      int
	Era           int                      // of the table that the revision is of; 0 if not known
	Resources     map[string]wire.Resource // by kind/name
	Organisations map[string]wire.Organisation
	Keys          map[string]string // organisation by key hash
	Models        map[string]wire.Model
	Adapters      map[string]wire.Adapter
	Halls         map[string]wire.Hall
	Upstreams     map[string]wire.Upstream
	Placements    map[string]wire.Placement
	Policy        wire.Policy
}

// Position returns the position of the configuration.
func (v *View) Position() Position { return Position{Era: v.Era, Revision: v.Revision} }

// Key returns the key of a resource within a view.
func Key(kind wire.ResourceKind, name string) string { return string(kind) + "/" + name }

// NewView decodes resources. It skips those that do not decode, as they were
// checked when they were accepted.
func NewView(revision int, resources map[string]wire.Resource) *View {
	v := &View{
		Revision:      revision,
		Resources:     resources,
		Organisations: map[string]wire.Organisation{},
		Keys:          map[string]string{},
		Models:        map[string]wire.Model{},
		Adapters:      map[string]wire.Adapter{},
		Halls:         map[string]wire.Hall{},
		Upstreams:     map[string]wire.Upstream{},
		Placements:    map[string]wire.Placement{},
	}
	_ = json.Unmarshal([]byte("{}"), &v.Policy) // the defaults
	for _, key := range sortedKeys(resources) {
		v.add(resources[key])
	}
	return v
}

// With returns the configuration after one change. It decodes and copies only
// what the change affects, as decoding everything is slow.
func (v *View) With(r wire.Resource) *View {
	next := *v
	next.Revision = r.Revision
	next.Resources = maps.Clone(v.Resources)
	next.drop(r)
	if r.Removed {
		delete(next.Resources, Key(r.Kind, r.Name))
		return &next
	}
	next.Resources[Key(r.Kind, r.Name)] = r
	next.add(r)
	return &next
}

// drop removes a resource from copies of the maps that contain it.
func (v *View) drop(r wire.Resource) {
	switch r.Kind {
	case wire.ResourceKindOrganisation:
		v.Organisations = without(v.Organisations, r.Name)
		v.Keys = keysOf(v.Organisations) // two may have one key after a restore of the table
	case wire.ResourceKindModel:
		v.Models = without(v.Models, r.Name)
	case wire.ResourceKindAdapter:
		v.Adapters = without(v.Adapters, r.Name)
	case wire.ResourceKindHall:
		v.Halls = without(v.Halls, r.Name)
	case wire.ResourceKindUpstream:
		v.Upstreams = without(v.Upstreams, r.Name)
	case wire.ResourceKindPlacement:
		v.Placements = without(v.Placements, r.Name)
	case wire.ResourceKindPolicy:
		v.Policy = wire.Policy{}
		_ = json.Unmarshal([]byte("{}"), &v.Policy) // the defaults
	}
}

// keysOf returns the organisation of each key; the last by name of those that have it.
func keysOf(organisations map[string]wire.Organisation) map[string]string {
	keys := map[string]string{}
	for name, o := range organisations {
		for _, hash := range o.KeyHashes {
			keys[hash] = max(keys[hash], name)
		}
	}
	return keys
}

func without[T any](m map[string]T, name string) map[string]T {
	next := maps.Clone(m)
	delete(next, name)
	return next
}

func (v *View) add(r wire.Resource) {
	switch r.Kind {
	case wire.ResourceKindOrganisation:
		decodeInto(v.Organisations, r)
		for _, hash := range v.Organisations[r.Name].KeyHashes {
			v.Keys[hash] = max(v.Keys[hash], r.Name)
		}
	case wire.ResourceKindModel:
		decodeInto(v.Models, r)
	case wire.ResourceKindAdapter:
		decodeInto(v.Adapters, r)
	case wire.ResourceKindHall:
		decodeInto(v.Halls, r)
	case wire.ResourceKindUpstream:
		decodeInto(v.Upstreams, r)
	case wire.ResourceKindPlacement:
		decodeInto(v.Placements, r)
	case wire.ResourceKindPolicy:
		_ = json.Unmarshal(r.Spec, &v.Policy)
	}
}

func decodeInto[T any](m map[string]T, r wire.Resource) {
	var t T
	if json.Unmarshal(r.Spec, &t) == nil {
		m[r.Name] = t
	}
}

// Engines returns the names of the declared engines of a hall, sorted; of all
// halls when hall is empty.
func (v *View) Engines(hall string) []string {
	var names []string
	for name, u := range v.Upstreams {
		if u.Role == wire.UpstreamRoleEngine && (hall == "" || u.Hall == hall) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Services returns the names of the upstreams of a plain service, sorted.
func (v *View) Services(service string) []string {
	var names []string
	for name, u := range v.Upstreams {
		if u.Role == wire.UpstreamRoleService && u.Service == service {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
