package resource

import (
	"encoding/json"
	"maps"
	"slices"

	"petrelstep/wire"
)

// Lost compares the configuration in force with a complete state of a later era, which began when
// the table was restored from an older copy. It returns the resources that have to be written
// again: those that the state lacks or has only from before, and those that were written without
// knowledge of a lost write. The state needs a higher revision if there are any, or if its
// revision was given out before.
func (r *Resources) Lost(set wire.ChangeSet) (again []wire.Resource, renumber bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.View()
	if now.Revision == 0 || set.Era <= now.Era {
		return nil, false
	}
	return r.lost(now, set.Revision, byKey(set.Items))
}

func (r *Resources) lost(now *View, revision int, all map[string]wire.Resource) (again []wire.Resource, renumber bool) {
	own := r.all(now)
	for _, key := range sortedKeys(own) {
		item, there := own[key], all[key]
		switch {
		case there.Name == "" || writtenAfter(item, there):
			item.Version = max(item.Version, there.Version+1)
			again = append(again, item)
		case unaware(there, item):
			there, revoked := withRevoked(there, item)
			there.Version = item.Version + 1 // the lost write's is not given out again
			if revoked {
				there.Era, there.Revision = 0, 0 // another write than the one in the table
			}
			again = append(again, there)
		}
	}
	reused := revision < now.Revision || revision == now.Revision && adds(all, own)
	return again, len(again) > 0 || reused
}

// applyLater applies a set of a later era than that of the configuration in force. If the set
// lacks something, the configuration has it in addition, and keeps its position until it is
// written again.
func (r *Resources) applyLater(now *View, set wire.ChangeSet) bool {
	all, own := byKey(set.Items), r.all(now)
	if set.Since == 0 {
		if _, renumber := r.lost(now, set.Revision, all); !renumber {
			r.install(PositionOf(set), all)
			return true
		}
		if PositionOf(set).After(r.joined) {
			r.joined = PositionOf(set)
		}
	}
	if adds(all, own) {
		r.later = max(r.later, set.Era)
		join(all, own)
		r.install(now.Position(), all)
	}
	return false
}

// IsNews reports whether the state of another daemon may contain what is not in force here.
func (r *Resources) IsNews(p Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.After(r.View().Position()) && p.After(r.joined)
}

// all returns the resources of a view and the known removals, by kind/name.
func (r *Resources) all(v *View) map[string]wire.Resource {
	all := maps.Clone(v.Resources)
	maps.Copy(all, r.removed)
	return all
}

// join adds to one state what another has in addition or from later.
func join(all, other map[string]wire.Resource) {
	for key, item := range other {
		there, ok := all[key]
		switch {
		case !ok:
			all[key] = item
		case writtenAfter(item, there):
			all[key], _ = withRevoked(item, there)
		default:
			all[key], _ = withRevoked(there, item)
		}
	}
}

// unaware reports whether the later of two writes of a resource was made on condition of a version
// before the earlier one, which the restored table had lost.
func unaware(later, earlier wire.Resource) bool {
	return writtenAfter(later, earlier) && earlier.Version >= later.Version
}

// withRevoked returns the later of two writes of an organisation without the keys that the earlier
// one does not have, if it was made without knowledge of that: they may have been revoked by it.
func withRevoked(later, earlier wire.Resource) (r wire.Resource, revoked bool) {
	if later.Kind != wire.ResourceKindOrganisation || later.Removed || !unaware(later, earlier) {
		return later, false
	}
	var allowed, given wire.Organisation
	spec := map[string]json.RawMessage{}
	if json.Unmarshal(later.Spec, &given) != nil || json.Unmarshal(later.Spec, &spec) != nil {
		return later, false
	}
	if !earlier.Removed {
		_ = json.Unmarshal(earlier.Spec, &allowed) // was checked when it was accepted
	}
	kept := slices.DeleteFunc(slices.Clone(given.KeyHashes), func(hash string) bool { return !slices.Contains(allowed.KeyHashes, hash) })
	if len(kept) == len(given.KeyHashes) {
		return later, false
	}
	spec["key_hashes"] = mustJSON(kept)
	later.Spec = mustJSON(spec)
	return later, true
}

func mustJSON(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: strings and valid JSON always encode
	}
	return raw
}

// adds reports whether a state has what is not in another, or is there from before.
func adds(all, other map[string]wire.Resource) bool {
	for key, item := range all {
		there, ok := other[key]
		if !ok && !item.Removed || ok && writtenAfter(item, there) {
			return true
		}
	}
	return false
}

// byKey returns resources and removals by kind/name; of two of one name, the last.
func byKey(items []wire.Resource) map[string]wire.Resource {
	all := make(map[string]wire.Resource, len(items))
	for _, item := range items {
		all[Key(item.Kind, item.Name)] = item
	}
	return all
}
