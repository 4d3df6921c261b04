package fleet

import (
	"cmp"
	"slices"
	"strings"
)

// index keeps what is asked of the fleet many times a second, so that a word of one
// upstream costs what it changes, and not a walk over all.
type index struct {
	serving   map[string]*serving // by service, as far as asked for
	departing map[string]*entry   // those that are missing or leave, by id
	order     []place             // by their last changes; an entry's older places are stale
}

// place is an entry's in the order of changes.
type place struct {
	entry  *entry
	change int
}

// stale tells whether the entry has changed since, or is known no longer.
func (p place) stale() bool { return p.entry.changed != p.change }

// serving lists the upstreams of a service that take new work, by id.
type serving struct {
	list  []Upstream      // shared with those that asked
	moved map[string]bool // upstreams that have changed since
}

// staleMost bounds how many places may be stale for each that is not.
const staleMost = 2

func newIndex() index {
	return index{serving: map[string]*serving{}, departing: map[string]*entry{}}
}

// touch notes that an upstream is no longer what it was.
func (x *index) touch(was, is Upstream) {
	if was == is {
		return
	}
	for _, service := range []string{was.Service, is.Service} {
		if s, ok := x.serving[service]; ok {
			s.moved[is.ID] = true
		}
	}
}

// part notes whether an entry is one that Tick and Leavers look at.
func (x *index) part(e *entry) {
	if e.upstream.State == Open {
		delete(x.departing, e.upstream.ID)
		return
	}
	x.departing[e.upstream.ID] = e
}

// change puts an entry last in the order.
func (x *index) change(e *entry, known int) {
	if len(x.order) > staleMost*(known+1) {
		x.order = slices.DeleteFunc(x.order, place.stale)
	}
	x.order = append(x.order, place{e, e.changed})
}

// since returns the entries that changed after a change.
func (x *index) since(change int) []*entry {
	first, _ := slices.BinarySearchFunc(x.order, change+1, func(p place, c int) int { return cmp.Compare(p.change, c) })
	var list []*entry
	for _, p := range x.order[first:] {
		if !p.stale() {
			list = append(list, p.entry)
		}
	}
	return list
}

// renewed returns the list with what has changed since it was made.
func (s *serving) renewed(takes func(id string) (Upstream, bool)) []Upstream {
	if len(s.moved) == 0 {
		return s.list
	}
	ids := make([]string, 0, len(s.moved))
	for id := range s.moved {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	clear(s.moved)
	list, old := make([]Upstream, 0, len(s.list)+len(ids)), s.list
	for _, id := range ids {
		at, known := slices.BinarySearchFunc(old, id, byID)
		list = append(list, old[:at]...)
		if known {
			at++
		}
		old = old[at:]
		if u, ok := takes(id); ok {
			list = append(list, u)
		}
	}
	s.list = append(list, old...)
	return s.list
}

func byID(u Upstream, id string) int { return strings.Compare(u.ID, id) }
