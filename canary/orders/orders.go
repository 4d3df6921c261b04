// Package orders tracks the operator's orders to move a service's requests to another
// release, and which releases take requests as a result. Updates arrive from several
// sources and out of order, so that versions decide which is newer.
package orders

import (
	"slices"
	"strings"
	"sync"
	"time"

	"petrelstep/revision"
)

const (
	// excludeTime is how long a release stays excluded after its order ended, even if no
	// other is left.
	excludeTime = 30 * time.Second
	// retireDelay is the time after a completed order in which only its target takes
	// requests: entries of the stopped upstreams are removed within it. Releases that
	// appear later are served although nobody ordered them.
	retireDelay = 5 * time.Second
	// maxReplaced bounds the replaced orders that are kept for each service.
	maxReplaced = 8
)

// Releases states which releases of a service take requests.
type Releases struct {
	Only   string   // if not empty, no other release does
	Except []string // these do not
	Trial  string   // takes a share of the requests only
}

// Orders holds the newest known order of each service. It is safe for concurrent use.
type Orders struct {
	changed func(before, after Order, source string)

	mu       sync.Mutex
	services map[string]*record
	restore  restore
}

// record is what is known of a service.
type record struct {
	newest   Order
	replaced []Order   // earlier orders, oldest first
	active   bool      // this box knew the newest order before its outcome
	lifted   bool      // no release is excluded any more
	endedAt  time.Time // when this box learned of the newest order's outcome
	retired  []string  // releases in service before the newest order was completed
	deferred deferred  // does not count yet; empty if there is none
}

// New returns Orders without an order. changed is called for each change except of the
// share, in order; it must not call Orders. source names where the update came from.
func New(changed func(before, after Order, source string)) *Orders {
	return &Orders{changed: changed, services: map[string]*record{}}
}

// WithdrawMissing applies a complete listing as of a version: an order of a service that is
// not listed was withdrawn, unless newer information is known.
func (l *Orders) WithdrawMissing(now time.Time, listed map[string]bool, version revision.Revision, source string) {
	l.Listed(now, version)
	for _, o := range l.Newest() {
		if !listed[o.Service] && o.State != Withdrawn && o.Version < version {
			l.Update(now, Order{Service: o.Service, Version: version, State: Withdrawn}, source)
		}
	}
}

// Update applies what a source knows of an order.
func (l *Orders) Update(now time.Time, u Order, source string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restore = l.restore.withRead(now, u.Version)
	r, known := l.services[u.Service]
	if known {
		u = l.align(now, r, u, source)
	}
	switch {
	case !known && u.Target == "":
		return // the removal of an order that this box never knew
	case !known:
		r = &record{}
		l.services[u.Service] = r
		l.set(now, r, u, source)
	case l.restore.contradicts(now, r.newest, u):
		if r.deferred.at.IsZero() || r.deferred.order.Version.Era() < u.Version.Era() {
			r.deferred = deferred{order: u, source: source, at: l.restore.until}
		}
	case u.standsAfter(r.newest):
		l.begin(now, r, u, source)
	case u.isNewerThan(r.newest):
		l.replace(now, r, u.withKnownRemoval(r.newest), source)
	case u.Version == r.newest.Version && !r.newest.isNewerThan(u):
		l.set(now, r, r.newest.merge(u), source)
	case u.isOutcomeOf(r.newest):
		// Written before the order was removed, or by a box that knows an earlier version of its removal.
		l.set(now, r, r.newest.WithStatus(u.State, u.StatusVersion), source)
	case !u.isSameAs(r.newest):
		r.remember(u)
	}
}

// Told applies the orders that another box knows: of each service the newest, and those that it replaced.
// These are earlier ones, also if they are of an earlier era of the store and have the same target.
func (l *Orders) Told(now time.Time, list []Order, source string) {
	newest := map[string]Order{}
	for _, o := range list {
		if n, known := newest[o.Service]; !known || o.isNewerThan(n) {
			newest[o.Service] = o
		}
	}
	for _, o := range newest {
		if !l.replaceTold(now, o, list, source) {
			l.Update(now, o, source)
		}
	}
	for _, o := range list {
		if !o.isSameAs(newest[o.Service]) && !l.rememberTold(o) {
			l.Update(now, o, source)
		}
	}
}

// replaceTold applies the newest order of a service that another box knows, if that box knows the newest one
// here as replaced by it: the two are not one order that was written again.
func (l *Orders) replaceTold(now time.Time, u Order, list []Order, source string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.services[u.Service]
	isReplaced := func(o Order) bool { return o.Service == u.Service && !o.isSameAs(u) && o.isSameAs(r.newest) }
	if !known || !u.isNewerThan(r.newest) || !slices.ContainsFunc(list, isReplaced) {
		return false
	}
	l.restore = l.restore.withRead(now, u.Version)
	l.replace(now, r, u.withKnownRemoval(r.newest), source)
	return true
}

// rememberTold keeps an order that another box knows as replaced, unless it is the newest here.
func (l *Orders) rememberTold(o Order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.services[o.Service]
	if !known || o.isSameAs(r.newest) || o.isNewerThan(r.newest) {
		return false
	}
	r.remember(o)
	return true
}

// replace applies a newer order, or the removal of the newest, which may have an outcome since.
func (l *Orders) replace(now time.Time, r *record, u Order, source string) {
	before := r.newest
	if u.removes(before) || u.isSameAs(before) {
		if !before.Active() && before.State != Withdrawn {
			return // removed after its end
		}
		next := before.WithRemoval(u.Version).merge(u)
		if u.State == Withdrawn {
			next = next.withState(Withdrawn)
		}
		l.set(now, r, next, source)
		return
	}
	r.remember(before)
	l.begin(now, r, u, source)
}

// begin makes an order the newest one of its service.
func (l *Orders) begin(now time.Time, r *record, u Order, source string) {
	r.replaced = slices.DeleteFunc(r.replaced, func(o Order) bool { return l.restore.isSame(now, o, u) })
	r.endedAt, r.retired, r.active, r.lifted = time.Time{}, nil, false, false
	l.set(now, r, u, source)
}

// comparable returns the order without what changes by itself.
func (o Order) comparable() Order {
	return o.WithShare(0, time.Time{}).WithUpstream("").WithRoute("", 0).WithLimit(time.Time{})
}

func (o Order) withState(s State) Order {
	o.State = s
	return o
}

// set stores the newest order and reports a change.
func (l *Orders) set(now time.Time, r *record, o Order, source string) {
	before := r.newest
	r.newest = o
	r.active = r.active || o.Active()
	if before.Active() != o.Active() || r.endedAt.IsZero() && !o.Active() {
		r.endedAt = now
	}
	if before.comparable() != o.comparable() {
		l.changed(before, o, source)
	}
}

// remember keeps an order that a newer one replaced; its target takes no requests unless
// it was completed, which may become known later.
func (r *record) remember(o Order) {
	if o.Target == "" {
		return
	}
	i := slices.IndexFunc(r.replaced, func(k Order) bool { return k.Version == o.Version || k.isSameAs(o) })
	if i >= 0 {
		if o.State == Completed {
			r.replaced[i] = o
		}
		return
	}
	if o.Active() {
		o.State = Withdrawn
	}
	r.replaced = append(r.replaced, o)
	slices.SortFunc(r.replaced, func(a, b Order) int { return int(a.Version - b.Version) })
	r.replaced = r.replaced[max(len(r.replaced)-maxReplaced, 0):]
}

// Retire records the releases that were in service before an order was completed.
func (l *Orders) Retire(service string, version revision.Revision, releases []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.services[service]
	if !known || r.newest.Version != version {
		return
	}
	for _, name := range releases {
		if name != r.newest.Target && !slices.Contains(r.retired, name) {
			r.retired = append(r.retired, name)
		}
	}
}

// Lift ends the exclusion of releases after the newest order of a service has ended, and
// reports whether it did. It is called when the service has no other upstreams: they were
// replaced without an order.
func (l *Orders) Lift(now time.Time, service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.services[service]
	if !known || r.lifted || r.newest.Active() || r.active && now.Sub(r.endedAt) < excludeTime {
		return false
	}
	r.lifted = true
	return true
}

// SetLimit sets the time limit of an order, unless it is zero or another order is newer.
func (l *Orders) SetLimit(service string, version revision.Revision, limit time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, known := l.services[service]; known && r.newest.Version == version && !limit.IsZero() {
		r.newest = r.newest.WithLimit(limit)
	}
}

// Of returns the newest order of a service.
func (l *Orders) Of(service string) (Order, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.services[service]
	if !known {
		return Order{}, false
	}
	return r.newest, true
}

// Newest returns the newest order of each service, sorted by service.
func (l *Orders) Newest() []Order {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Order, 0, len(l.services))
	for _, r := range l.services {
		list = append(list, r.newest)
	}
	slices.SortFunc(list, func(a, b Order) int { return strings.Compare(a.Service, b.Service) })
	return list
}

// All returns the newest order of each service and the replaced ones before it that exclude releases, for
// other boxes.
func (l *Orders) All() []Order {
	list := l.Newest()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.services {
		list = append(list, r.uncompleted()...)
	}
	slices.SortStableFunc(list, func(a, b Order) int {
		if c := strings.Compare(a.Service, b.Service); c != 0 {
			return c
		}
		return int(a.Version - b.Version)
	})
	return list
}

// AddSuspension ages shares and limits by the time that the machine was suspended.
func (l *Orders) AddSuspension(suspended time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.services {
		for _, at := range []*time.Time{&r.newest.ShareAt, &r.newest.Limit, &r.endedAt} {
			if !at.IsZero() {
				*at = at.Add(-suspended)
			}
		}
	}
}

// Releases returns which releases of a service take requests. A box that learns of an order
// only after its completion excludes none: later upstreams may have been replaced without
// an order.
func (l *Orders) Releases(now time.Time, service string) Releases {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.services[service]
	if !known {
		return Releases{}
	}
	o := r.newest
	switch {
	case r.lifted:
		return Releases{}
	case o.InCutover(), o.State == Completed && r.active && now.Sub(r.endedAt) < retireDelay:
		return Releases{Only: o.Target}
	case o.State == Completed:
		return Releases{Except: r.excluded(r.retired...)}
	case o.Active():
		return Releases{Trial: o.Target, Except: r.excluded()}
	}
	return Releases{Except: r.excluded(o.Target)}
}

// uncompleted returns the replaced orders without those whose target was completed then or later.
func (r *record) uncompleted() []Order {
	var list []Order
	for _, o := range r.replaced {
		if o.State != Completed {
			list = append(list, o)
			continue
		}
		list = slices.DeleteFunc(list, func(earlier Order) bool { return earlier.Target == o.Target })
	}
	return list
}

// excluded returns the targets of replaced orders that were not completed and further releases, without
// the target of an order that is active or completed.
func (r *record) excluded(further ...string) []string {
	var list []string
	for _, o := range r.uncompleted() {
		list = append(list, o.Target)
	}
	list = append(list, further...)
	if r.newest.Active() || r.newest.State == Completed {
		list = slices.DeleteFunc(list, func(name string) bool { return name == r.newest.Target })
	}
	slices.Sort(list)
	return slices.Compact(list)
}
