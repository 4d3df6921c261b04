package fleet

import (
	"cmp"
	"slices"
	"strings"
)

// index caches the results of frequent queries, so that a change costs the entries that
// it affects, and not a scan of the fleet.
type index struct {
	serving   map[string]*serving // by service, once queried
	departing map[string]*entry   // missing or leaving, by id
	order     []position          // by change number; all but an entry's last position are stale
}

// position is an entry's position in the order of changes.
type position struct {
	entry  *entry
	change int
}

// stale reports whether the entry has changed since, or was removed.
func (p position) stale() bool { return p.entry.changed != p.change }

// serving caches the upstreams of a service that take new work.
type serving struct {
	list    []Upstream      // shared with callers
	changed map[string]bool // ids of the upstreams that have changed since
}

// maxStaleRatio bounds the stale positions per entry before they are removed.
const maxStaleRatio = 2

func newIndex() index {
	return index{serving: map[string]*serving{}, departing: map[string]*entry{}}
}

// markChanged invalidates a changed upstream in the cached lists of its service.
func (x *index) markChanged(before, after Upstream) {
	if before == after {
		return
	}
	for _, service := range []string{before.Service, after.Service} {
		if s, ok := x.serving[service]; ok {
			s.changed[after.ID] = true
		}
	}
}

// markForRefresh invalidates an upstream in the cached list of its service.
func (x *index) markForRefresh(u Upstream) {
	if s, ok := x.serving[u.Service]; ok {
		s.changed[u.ID] = true
	}
}

// updateDeparting adds an entry to the departing ones or removes it, by its state.
func (x *index) updateDeparting(e *entry) {
	if e.upstream.State == Open {
		delete(x.departing, e.upstream.ID)
		return
	}
	x.departing[e.upstream.ID] = e
}

// moveToEnd puts an entry last in the order of changes.
func (x *index) moveToEnd(e *entry, entries int) {
	if len(x.order) > maxStaleRatio*(entries+1) {
		x.order = slices.DeleteFunc(x.order, position.stale)
	}
	x.order = append(x.order, position{e, e.changed})
}

// since returns the entries that changed after a change number.
func (x *index) since(change int) []*entry {
	first, _ := slices.BinarySearchFunc(x.order, change+1, func(p position, c int) int { return cmp.Compare(p.change, c) })
	var list []*entry
	for _, p := range x.order[first:] {
		if !p.stale() {
			list = append(list, p.entry)
		}
	}
	return list
}

// refresh returns the list, updated by the upstreams that have changed.
func (s *serving) refresh(accepts func(id string) (Upstream, bool)) []Upstream {
	if len(s.changed) == 0 {
		return s.list
	}
	ids := make([]string, 0, len(s.changed))
	for id := range s.changed {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	clear(s.changed)
	list, old := make([]Upstream, 0, len(s.list)+len(ids)), s.list
	for _, id := range ids {
		at, known := slices.BinarySearchFunc(old, id, byID)
		list = append(list, old[:at]...)
		if known {
			at++
		}
		old = old[at:]
		if u, ok := accepts(id); ok {
			list = append(list, u)
		}
	}
	s.list = append(list, old...)
	return s.list
}

func byID(u Upstream, id string) int { return strings.Compare(u.ID, id) }

// cached returns the upstreams of a service that fulfil a condition from the lists of that
// condition.
func (f *Fleet) cached(lists map[string]*serving, service string, accepts func(Upstream) bool) []Upstream {
	s, ok := lists[service]
	if !ok {
		list := f.list(func(e *entry) bool { return e.upstream.Service == service && accepts(e.upstream) })
		s = &serving{list: list, changed: map[string]bool{}}
		lists[service] = s
	}
	return s.refresh(func(id string) (Upstream, bool) {
		e, known := f.all[id]
		if !known {
			return Upstream{}, false
		}
		return e.upstream, e.upstream.Service == service && accepts(e.upstream)
	})
}
