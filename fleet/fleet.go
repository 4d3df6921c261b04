// Package fleet tracks the upstreams: which exist, which are leaving, and which take no
// new work because their hall is evacuated.
//
// An incarnation that announced that it leaves stays leaving. One whose entry was only
// removed from the table is open again if a newer entry arrives, as it may have been
// cut off from the store. Updates arrive from several sources and out of order, so that
// versions decide which is newer. An upstream may restart under the same id; nothing
// that is known of the earlier incarnation applies to the new one.
package fleet

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"petrelstep/revision"
)

// State says whether requests may be sent to an upstream.
type State string

// The states of an upstream.
const (
	Open    State = "open"
	Missing State = "missing" // its entry expired while the store was unreachable
	Leaving State = "leaving"
)

// retention is how long an upstream is remembered after its entry was removed, so that
// a delayed report of an old entry does not add it again.
const retention = 60 * time.Second

// maxRetention bounds how long a leaving upstream is remembered. A box that does not
// read the table itself does not learn that the entry was removed.
const maxRetention = time.Hour

// MaxStartedAt bounds the start time that an upstream may report, in Unix milliseconds.
// A later time is in another unit, and would make every real restart look older.
const MaxStartedAt = 1 << 42

// Upstream is one incarnation of an upstream. Values are immutable.
type Upstream struct {
	ID        string
	Service   string
	Address   string
	Hall      string
	Slots     int
	ColdUntil time.Time // until then it is limited to few requests per second; zero if it is warm
	State     State
	Version   revision.Revision // of the last known change of its entry in the table
	Announced bool              // the upstream itself announced that it leaves
	StartedAt int64             // start time in Unix milliseconds by its own clock; 0 if unknown
	Release   string            // version of its software; empty if unknown
}

func (u Upstream) withVersion(version revision.Revision) Upstream {
	u.Version = version
	return u
}

func (u Upstream) withState(s State) Upstream {
	u.State = s
	return u
}

// Departure reports that an upstream leaves. Values are immutable.
type Departure struct {
	ID        string
	Version   revision.Revision // of the change; 0 if unknown
	Announced bool              // by the upstream itself
	StartedAt int64             // start time of the leaving incarnation; 0 if unknown
}

type entry struct {
	upstream Upstream
	since    time.Time // of its state
	listed   bool
	changed  int // number of its last change

	reopen *reopening // nil if there is none
	copied bool       // it has left, and its version may be that of an entry in an older copy of the store

	releaseSince time.Time // when its release became known; set only while new releases are held
}

// Listener is called when an upstream leaves or is open again, as its state says;
// source names where the update came from, for the log.
type Listener func(u Upstream, source string)

// Fleet is the set of known upstreams. It is safe for concurrent use.
type Fleet struct {
	mu               sync.Mutex
	grace            time.Duration
	all              map[string]*entry
	index            index
	releases         releases
	left             map[string]departed  // by id, for retention
	mixtures         map[string]*mixture  // by service
	closed           map[string]time.Time // halls whose upstreams take no new work, by the time they were closed
	listeners        []Listener
	restartListeners []Listener
	changes          int
	history          []checkpoint // recent changes, for historyRetention
	confirmed        time.Time
	failed           time.Time                           // when the last call to the store was sent that had no answer
	suspendedSince   func(since time.Time) time.Duration // returns how long the machine was suspended; nil for never
}

// New returns an empty fleet. After an outage of the store, an upstream that is missing
// from a listing is given grace to be listed again.
func New(grace time.Duration) *Fleet {
	return &Fleet{grace: grace, all: map[string]*entry{}, index: newIndex(), releases: newReleases(), left: map[string]departed{}, mixtures: map[string]*mixture{}, closed: map[string]time.Time{}}
}

// Subscribe calls l, on its own goroutine, for each upstream that leaves or is open
// again.
func (f *Fleet) Subscribe(l Listener) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners = append(f.listeners, l)
}

// OnRestart calls l for each upstream that has restarted under its id, before the new
// incarnation is reported to other boxes, so that l can discard what it knows of the
// old one. l must not call the fleet.
func (f *Fleet) OnRestart(l Listener) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restartListeners = append(f.restartListeners, l)
}

// Replace applies a complete listing as of a version. Upstreams that are missing from
// it are removed or, after an outage of the store, given the grace to be listed again.
// Newer information than the listing is kept, and so are the upstreams in corrupt,
// whose entries are listed but cannot be parsed.
func (f *Fleet) Replace(now time.Time, list []Upstream, version revision.Revision, outage bool, corrupt ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := f.copiedVersion(list)
	listed := map[string]bool{}
	for _, id := range corrupt {
		listed[id] = true
	}
	for _, u := range list {
		listed[u.ID] = true
		rewritten := f.isRewritten(u, copied)
		f.put(now, u)
		if e, ok := f.all[u.ID]; ok && rewritten {
			f.recordChange(e) // a box that has read the copy may lack it
		}
	}
	for id, e := range f.all {
		if listed[id] || e.upstream.Version > version {
			continue
		}
		if !e.listed {
			f.renewRemoval(now, e, version)
			continue
		}
		restored := version.Era() > e.upstream.Version.Era()
		lost := restored && e.upstream.Version > copied
		f.set(now, e, e.upstream.withVersion(version))
		f.unlist(now, e, outage || lost, restored, "listing")
	}
}

// Put applies one entry of the table; its state is Leaving if the upstream announced
// it. It reports whether the entry was not outdated.
func (f *Fleet) Put(now time.Time, u Upstream) (applied bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.put(now, u)
}

func (f *Fleet) put(now time.Time, u Upstream) (applied bool) {
	u.Announced = u.State == Leaving
	e, ok := f.all[u.ID]
	switch {
	case !ok && !u.Announced && f.hasLeft(u):
		f.addLeft(now, u)
		return true
	case !ok:
		e = &entry{since: now, listed: true}
		u.State = Open
		f.all[u.ID] = e
		f.set(now, e, u)
		f.recordChange(e)
	case e.older(u.StartedAt):
		return false
	case e.newer(u.StartedAt):
		e.listed = true
		f.restart(now, e, u, "entry")
		return true
	case u.Version <= e.upstream.Version && !u.Announced && e.upstream.State == Leaving, u.Version < e.upstream.Version:
		return false
	case !u.Announced && e.defersReopening(u):
		f.deferReopening(now, e, u)
		return true
	default:
		f.renew(now, e, u)
	}
	if u.Announced {
		f.markLeaving(now, e, "entry")
	}
	return true
}

// renew applies a newer entry of the same incarnation. An upstream that has announced
// that it leaves stays leaving.
func (f *Fleet) renew(now time.Time, e *entry, u Upstream) {
	old := e.upstream
	e.reopen = nil
	u.State, u.Announced, u.StartedAt = old.State, old.Announced || u.Announced, max(old.StartedAt, u.StartedAt)
	if !u.Announced && old.State != Open {
		u.State, e.since = Open, now
	}
	e.listed = true
	f.set(now, e, u)
	if old.State == Leaving && u.State == Open {
		f.notify(e, "entry")
	}
	if u.State != old.State || u.Address != old.Address || !u.ColdUntil.Equal(old.ColdUntil) || u.StartedAt != old.StartedAt || u.Release != old.Release {
		f.recordChange(e)
	}
}

// older reports whether a start time is of an earlier incarnation than the known one.
func (e *entry) older(startedAt int64) bool { return startedAt > 0 && startedAt < e.upstream.StartedAt }

// newer reports whether a start time is of a later incarnation than the known one.
func (e *entry) newer(startedAt int64) bool {
	return e.upstream.StartedAt > 0 && startedAt > e.upstream.StartedAt
}

// restart replaces an incarnation by a newer one. Nothing of the old one applies,
// including the order of its versions.
func (f *Fleet) restart(now time.Time, e *entry, u Upstream, source string) {
	leaving := u.State == Leaving
	if leaving {
		u.State = Open
	}
	e.since, e.reopen = now, nil
	f.set(now, e, u)
	e.listed = e.listed || !leaving // one that leaves and has no entry expires after retention
	f.recordChange(e)
	for _, l := range f.restartListeners {
		l(u, source)
	}
	if leaving {
		f.markLeaving(now, e, source)
	}
}

// MarkStarted applies the start time that an upstream reports outside its entry; a
// later one than known is a restart.
func (f *Fleet) MarkStarted(now time.Time, id string, startedAt int64, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.all[id]
	if !ok || !e.newer(startedAt) {
		return
	}
	u := e.upstream
	u.StartedAt, u.State, u.Announced, u.ColdUntil = startedAt, Open, false, time.Time{}
	f.restart(now, e, u, source)
}

// IsCurrent reports whether an upstream is not an earlier incarnation than the known
// one.
func (f *Fleet) IsCurrent(u Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.all[u.ID]
	return !ok || !e.older(u.StartedAt)
}

// Remove applies the removal of an entry by a change of a version. The upstream is
// leaving, although it may not have announced it; after an outage of the store its
// entry may only have expired. Remove reports whether the removal was not outdated.
func (f *Fleet) Remove(now time.Time, id string, version revision.Revision, outage bool) (applied bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.all[id]
	if !ok || version < e.upstream.Version {
		return false
	}
	if e.upstream.State == Leaving && !e.upstream.Announced {
		f.recordChange(e) // removed again since the store was restored; other boxes may wait for it
	}
	f.set(now, e, e.upstream.withVersion(version))
	e.copied = false
	f.unlist(now, e, outage, false, "removed")
	return true
}

func (f *Fleet) unlist(now time.Time, e *entry, outage, restored bool, source string) {
	if e.reopen != nil {
		f.recordChange(e) // other boxes may wait for it, too
	}
	e.listed, e.reopen = false, nil
	if outage && e.upstream.State == Open {
		e.since = f.missingSince(now, restored)
		f.set(now, e, e.upstream.withState(Missing))
		f.recordChange(e)
		return
	}
	if e.upstream.State != Missing {
		f.markLeaving(now, e, source)
	}
}

// ApplyDeparture applies a report that an upstream leaves; source is for the log. A
// report that is older than a new entry is ignored.
func (f *Fleet) ApplyDeparture(now time.Time, d Departure, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.all[d.ID]
	if !ok || e.older(d.StartedAt) {
		return
	}
	if e.newer(d.StartedAt) {
		u := e.upstream
		u.StartedAt, u.State, u.Announced, u.ColdUntil = d.StartedAt, Leaving, d.Announced, time.Time{}
		u.Version = max(u.Version, d.Version)
		f.restart(now, e, u, source)
		return
	}
	if !d.Announced && d.Version < e.upstream.Version {
		return
	}
	u := e.upstream.withVersion(max(e.upstream.Version, d.Version))
	if d.Announced || e.reopen != nil && d.Version > e.reopen.upstream.Version {
		e.reopen = nil
	}
	u.Announced = u.Announced || d.Announced
	if u.Announced != e.upstream.Announced {
		f.recordChange(e)
	}
	f.set(now, e, u)
	f.markLeaving(now, e, source)
}

func (f *Fleet) markLeaving(now time.Time, e *entry, source string) {
	if e.upstream.State == Leaving {
		return
	}
	e.since = now
	f.set(now, e, e.upstream.withState(Leaving))
	f.recordChange(e)
	f.notify(e, source)
}

// retentionOf returns how long a leaving upstream is remembered.
func retentionOf(e *entry) time.Duration {
	if e.listed {
		return maxRetention
	}
	return retention
}

func (f *Fleet) notify(e *entry, source string) {
	for _, l := range f.listeners {
		go l(e.upstream, source)
	}
}

// Tick ends expired grace periods and removes upstreams past their retention.
func (f *Fleet) Tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, e := range f.index.departing {
		switch {
		case e.upstream.State == Missing && now.Sub(e.since) >= f.grace:
			f.markLeaving(now, e, "missing")
		case e.reopen != nil && !f.confirmed.Before(e.reopen.at):
			f.applyReopening(now, e)
		case e.upstream.State == Leaving && now.Sub(e.since) >= retentionOf(e):
			f.forget(now, id, e)
		}
	}
	f.expireLeft(now)
	f.expireHolds(now)
	f.recordHistory(now)
}

// Confirm records that all changes up to a time are known, by the answer to a call sent
// then.
func (f *Fleet) Confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

// RecordFailure records when a call to the store was sent that had no answer.
func (f *Fleet) RecordFailure(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = sent
}

// SetSuspendedSince sets the function that returns how long the machine was suspended
// since a time. Ages include that duration, which the monotonic clock does not count.
func (f *Fleet) SetSuspendedSince(suspended func(since time.Time) time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspendedSince = suspended
}

// Age returns the time since the fleet was last confirmed; false if it never was.
func (f *Fleet) Age(now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed.IsZero() {
		return math.MaxInt64, false
	}
	age := now.Sub(f.confirmed)
	if f.suspendedSince != nil {
		age += f.suspendedSince(f.confirmed)
	}
	return age, true
}

// Since returns the upstreams that changed after a change number, and the number of the
// last change.
func (f *Fleet) Since(change int) (changed []Upstream, last int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.index.since(change) {
		changed = append(changed, e.upstream)
	}
	sortByID(changed)
	return changed, f.changes
}

// At returns the upstream at an address, the one with the newest entry if there are several.
func (f *Fleet) At(address string) (found Upstream, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.all {
		if u := e.upstream; u.Address == address && (!ok || u.Version > found.Version) {
			found, ok = u, true
		}
	}
	return found, ok
}

// UpdateFromPeer applies another box's report of an upstream, unless newer information
// is known.
func (f *Fleet) UpdateFromPeer(now time.Time, u Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.all[u.ID]
	if !ok {
		f.addFromPeer(now, u)
		return
	}
	if e.older(u.StartedAt) {
		return
	}
	if e.newer(u.StartedAt) {
		u.Release = cmp.Or(u.Release, e.upstream.Release)
		f.restart(now, e, u, "hub")
		return
	}
	if u.Version < e.upstream.Version && !u.Announced {
		return
	}
	if u.State == Open && !u.Announced && e.defersReopening(u) {
		f.deferReopening(now, e, u)
		return
	}
	f.applyPeerUpdate(now, e, u)
}

// addFromPeer applies a report of an upstream that this box does not know.
func (f *Fleet) addFromPeer(now time.Time, u Upstream) {
	switch {
	case u.State == Leaving && !u.Announced:
		if known, ok := f.left[u.ID]; !ok || known.upstream.Version <= u.Version {
			f.left[u.ID] = departed{upstream: u, at: now} // this box has never sent it a request
		}
	case !u.Announced && f.hasLeft(u):
		f.addLeft(now, u)
	default:
		e := &entry{since: now, listed: true}
		f.all[u.ID] = e
		f.set(now, e, u)
		f.recordChange(e)
	}
}

// applyPeerUpdate applies a report of the known incarnation that is not older than what
// is known.
func (f *Fleet) applyPeerUpdate(now time.Time, e *entry, u Upstream) {
	old := e.upstream
	if u.Version > old.Version || u.Announced {
		e.reopen = nil
	}
	merged, newer := old.withVersion(max(old.Version, u.Version)), u.Version > old.Version
	merged.StartedAt, merged.Announced = max(old.StartedAt, u.StartedAt), old.Announced || u.Announced
	if newer {
		merged.ColdUntil = u.ColdUntil
	}
	if u.Release != "" && (newer || old.Release == "") { // boxes that do not know it send none
		merged.Release = u.Release
	}
	if u.Version.Era() > old.Version.Era() || merged.StartedAt != old.StartedAt || !merged.ColdUntil.Equal(old.ColdUntil) || merged.Release != old.Release {
		f.recordChange(e)
	}
	f.set(now, e, merged)
	switch {
	case u.State == Leaving:
		f.markLeaving(now, e, "hub")
	case newer && !merged.Announced && old.State != u.State, old.State == Open && u.State == Missing:
		e.since = now
		f.set(now, e, merged.withState(u.State))
		f.recordChange(e)
		if old.State == Leaving && u.State == Open {
			f.notify(e, "hub")
		}
	}
}

// set replaces an entry's upstream and updates the index.
func (f *Fleet) set(now time.Time, e *entry, u Upstream) {
	before := e.upstream
	f.index.markChanged(before, u)
	f.releases.markChanged(before, u)
	e.upstream = u
	e.copied = u.State == Leaving && (e.copied || before.State == Leaving && u.Version.Era() > before.Version.Era())
	f.index.updateDeparting(e)
	f.updateMixture(now, before, u)
	f.recordRelease(now, e, before, u)
	if before.State != u.State || before.Service != u.Service || before.Release != u.Release {
		f.forgetHolds()
	}
}

// forget removes a leaving upstream.
func (f *Fleet) forget(now time.Time, id string, e *entry) {
	e.changed = 0
	f.countRelease(now, e.upstream, -1)
	delete(f.all, id)
	delete(f.index.departing, id)
}

func (f *Fleet) recordChange(e *entry) {
	f.changes++
	e.changed = f.changes
	f.index.moveToEnd(e, len(f.all))
}

// Get returns an upstream by its id.
func (f *Fleet) Get(id string) (Upstream, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.all[id]
	if !ok {
		return Upstream{}, false
	}
	return e.upstream, true
}

// IsLeaving reports whether an upstream is leaving or no longer known.
func (f *Fleet) IsLeaving(id string) bool {
	u, ok := f.Get(id)
	return !ok || u.State == Leaving
}

// CloseHall stops new work for the upstreams of a hall. Runs there continue.
func (f *Fleet) CloseHall(now time.Time, hall string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed[hall] = now
	f.forgetLists()
}

// OpenHall allows new work for the upstreams of a hall again, and treats them as cold
// until a time, unless a later entry says otherwise.
func (f *Fleet) OpenHall(hall string, cold time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.closed, hall)
	f.forgetLists()
	for _, e := range f.all {
		if e.upstream.Hall == hall && e.upstream.ColdUntil.Before(cold) {
			e.upstream.ColdUntil = cold
		}
	}
}

// forgetLists discards all cached lists.
func (f *Fleet) forgetLists() {
	clear(f.index.serving)
	clear(f.releases.trial)
	clear(f.releases.held)
}

// Closed returns when a hall was closed; false if it is open.
func (f *Fleet) Closed(hall string) (since time.Time, closed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since, closed = f.closed[hall]
	return since, closed
}

// HasHall reports whether any upstream of a hall is known.
func (f *Fleet) HasHall(hall string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.all {
		if e.upstream.Hall == hall {
			return true
		}
	}
	return false
}

// acceptsWork reports whether an upstream takes new work, whatever its release.
func (f *Fleet) acceptsWork(u Upstream) bool {
	_, closed := f.closed[u.Hall]
	return u.State != Leaving && !closed
}

// Takes reports whether an upstream is known and takes new work, be it only requests drawn
// for its release.
func (f *Fleet) Takes(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.all[id]
	return ok && (f.serves(e.upstream) || f.tries(e.upstream))
}

// Serving returns the upstreams of a service that take new work, sorted by id, without
// those that take only requests drawn for their release. The returned slice is shared and
// must not be modified. It is cached, as each request needs it, and updated by the
// upstreams that have changed.
func (f *Fleet) Serving(service string) []Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cached(f.index.serving, service, f.serves)
}

// RecentlyLeaving returns the upstreams of a service that have been known to leave for
// less than a duration, sorted by id; those too whose release takes no more requests since,
// as another is the only one that does.
func (f *Fleet) RecentlyLeaving(now time.Time, service string, within time.Duration) []Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Upstream
	for _, e := range f.index.departing {
		if e.upstream.Service == service && e.upstream.State == Leaving && now.Sub(e.since) < within {
			list = append(list, e.upstream)
		}
	}
	if p, ok := f.releases.policies[service]; ok && p.Only != "" && now.Sub(p.onlySince) < within {
		list = append(list, f.list(func(e *entry) bool {
			u := e.upstream
			return u.Service == service && u.State != Leaving && !p.serves(u.Release) && !p.tries(u.Release)
		})...)
	}
	sortByID(list)
	return list
}

// EachLeaving calls a function for each leaving upstream, with the time since it is
// known to leave. The function must not call the fleet.
func (f *Fleet) EachLeaving(now time.Time, each func(u Upstream, since time.Duration)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.index.departing {
		if e.upstream.State == Leaving {
			each(e.upstream, now.Sub(e.since))
		}
	}
}

// CountOpen returns the number of upstreams that take new work.
func (f *Fleet) CountOpen() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := 0
	for _, e := range f.all {
		if f.acceptsWork(e.upstream) {
			open++
		}
	}
	return open
}

// Departing returns the departures that became known after a change number and within a
// duration, and the number of the last change.
func (f *Fleet) Departing(now time.Time, within time.Duration, after int) (list []Departure, last int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.index.since(after) {
		if e.upstream.State == Leaving && now.Sub(e.since) < within {
			list = append(list, Departure{ID: e.upstream.ID, Version: e.upstream.Version, Announced: e.upstream.Announced, StartedAt: e.upstream.StartedAt})
		}
	}
	slices.SortFunc(list, func(a, b Departure) int { return strings.Compare(a.ID, b.ID) })
	return list, f.changes
}

func (f *Fleet) list(want func(*entry) bool) []Upstream {
	var list []Upstream
	for _, e := range f.all {
		if want(e) {
			list = append(list, e.upstream)
		}
	}
	sortByID(list)
	return list
}

func sortByID(list []Upstream) {
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
}
