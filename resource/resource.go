// Package resource holds the configuration in force at one box. Its revision
// only grows: each change applies to the revision right before it, and an older
// state never replaces a newer one.
package resource

import (
	"sync"
	"sync/atomic"

	"petrelstep/wire"
)

// maxChanges is the number of changes stored to bring peers up to date.
const maxChanges = 4096

// Resources holds the configuration and its latest changes. It is safe for
// concurrent use.
type Resources struct {
	mu      sync.Mutex
	view    atomic.Pointer[View]
	changes []wire.Resource // by revision, without gaps, up to the view's revision
	next    chan struct{}
}

// New returns an empty configuration, revision 0.
func New() *Resources {
	r := &Resources{next: make(chan struct{})}
	r.view.Store(NewView(0, map[string]wire.Resource{}))
	return r
}

// View returns the configuration in force.
func (r *Resources) View() *View { return r.view.Load() }

// Changed returns a channel that is closed at the next change.
func (r *Resources) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

// Apply applies changes in the order of their revisions. It skips those already
// in force and stops at a gap, and reports whether the whole set is now in
// force.
func (r *Resources) Apply(set wire.ChangeSet) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.View()
	if set.Since == 0 && set.Revision > now.Revision {
		r.replace(set)
		return true
	}
	revision := now.Revision
	var fresh []wire.Resource
	for _, item := range set.Items {
		if item.Revision == revision+1 {
			fresh = append(fresh, item)
			revision++
		}
	}
	if len(fresh) > 0 {
		r.applyChanges(now, fresh)
	}
	return revision >= set.Revision
}

// replace installs a complete state that is newer than the one in force.
func (r *Resources) replace(set wire.ChangeSet) {
	all := map[string]wire.Resource{}
	for _, item := range set.Items {
		if item.Removed {
			delete(all, Key(item.Kind, item.Name))
			continue
		}
		all[Key(item.Kind, item.Name)] = item
	}
	r.changes = nil
	r.store(NewView(set.Revision, all))
}

func (r *Resources) applyChanges(now *View, fresh []wire.Resource) {
	for _, item := range fresh {
		now = now.With(item)
	}
	r.changes = append(r.changes, fresh...)
	if len(r.changes) > maxChanges {
		r.changes = append([]wire.Resource{}, r.changes[len(r.changes)-maxChanges/2:]...)
	}
	r.store(now)
}

func (r *Resources) store(v *View) {
	r.view.Store(v)
	close(r.next)
	r.next = make(chan struct{})
}

// Since returns the changes after a revision, or the complete state if those
// changes are no longer stored.
func (r *Resources) Since(revision int) wire.ChangeSet {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.View()
	set := wire.ChangeSet{Revision: v.Revision, Since: revision, Items: []wire.Resource{}}
	if revision >= v.Revision {
		return set
	}
	if len(r.changes) > 0 && r.changes[0].Revision <= revision+1 {
		for _, c := range r.changes {
			if c.Revision > revision {
				set.Items = append(set.Items, c)
			}
		}
		return set
	}
	set.Since = 0
	for _, key := range sortedKeys(v.Resources) {
		set.Items = append(set.Items, v.Resources[key])
	}
	return set
}
