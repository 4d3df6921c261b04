// Package resource holds the configuration in force at one box. Its revision
// only grows: each change applies to the revision right before it, and an older
// state never replaces a newer one. What is newer is decided by era and revision,
// as the table gives revisions out again when it is restored from an older copy.
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
	changes []wire.Resource          // by revision, without gaps, up to the view's revision
	removed map[string]wire.Resource // known removals, by kind/name
	later   int                      // latest era that something in the view is of, if later than the view's
	joined  Position                 // newest complete state of such an era that the view includes
	next    chan struct{}
}

// New returns an empty configuration, revision 0.
func New() *Resources {
	r := &Resources{removed: map[string]wire.Resource{}, next: make(chan struct{})}
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
// force. If it is not, the table has to be read.
func (r *Resources) Apply(set wire.ChangeSet) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.View()
	switch {
	case set.Era < now.Era:
		return set.Era > 0 // a box that knows no eras may have sent what is newer
	case set.Era > now.Era && now.Revision > 0:
		return r.applyLater(now, set)
	case set.Since == 0 && PositionOf(set).After(now.Position()):
		r.replace(set)
		return true
	case set.Era > now.Era:
		return false
	}
	return r.applyNext(now, set)
}

// applyNext applies changes of the era of the configuration in force.
func (r *Resources) applyNext(now *View, set wire.ChangeSet) bool {
	revision := now.Revision
	var fresh []wire.Resource
	for _, item := range set.Items {
		if item.Revision == revision+1 {
			item.Era = max(item.Era, now.Era) // a box that knows no eras leaves it out
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
	all := byKey(set.Items)
	if r.later > set.Era {
		join(all, r.all(r.View()))
	}
	r.install(PositionOf(set), all)
}

// install stores a complete state, with its removals.
func (r *Resources) install(at Position, all map[string]wire.Resource) {
	live := map[string]wire.Resource{}
	r.removed = map[string]wire.Resource{}
	for key, item := range all {
		if item.Removed {
			r.removed[key] = item
			continue
		}
		live[key] = item
	}
	v := NewView(at.Revision, live)
	v.Era = at.Era
	r.changes = nil
	r.store(v)
}

func (r *Resources) applyChanges(now *View, fresh []wire.Resource) {
	if r.later > now.Era {
		all := r.all(now)
		join(all, byKey(fresh))
		r.install(Position{Era: now.Era, Revision: fresh[len(fresh)-1].Revision}, all)
		return
	}
	for _, item := range fresh {
		now = now.With(item)
		delete(r.removed, Key(item.Kind, item.Name))
		if item.Removed {
			r.removed[Key(item.Kind, item.Name)] = item
		}
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

// Since returns the changes after a revision, or the complete state with its
// removals if those changes are no longer stored.
func (r *Resources) Since(revision int) wire.ChangeSet {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.View()
	set := wire.ChangeSet{Era: v.Era, Revision: v.Revision, Since: revision, Items: []wire.Resource{}}
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
	all := r.all(v)
	for _, key := range sortedKeys(all) {
		set.Items = append(set.Items, all[key])
	}
	return set
}
