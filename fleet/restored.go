package fleet

import (
	"time"

	"petrelstep/revision"
)

// reopening is an entry, read from an older copy of the store, of an upstream that is known to have
// left. It counts unless the removal is written again by then, as the table says that is read later.
type reopening struct {
	upstream Upstream
	at       time.Time
}

// departed is an upstream that other boxes have reported as leaving, and this one does not know.
type departed struct {
	upstream Upstream
	at       time.Time
}

// copiedVersion returns a version of an earlier era of the store up to which the listed entries
// include all changes: the highest of an entry that the store still has in that version.
func (f *Fleet) copiedVersion(list []Upstream) (version revision.Revision) {
	for _, u := range list {
		e, ok := f.all[u.ID]
		if ok && e.upstream.Version.Era() < u.Version.Era() && e.upstream.Version.Version() == u.Version.Version() {
			version = max(version, e.upstream.Version)
		}
	}
	return version
}

// isRewritten reports whether a listed entry may have been written since the store was restored from
// a copy with changes up to a version.
func (f *Fleet) isRewritten(u Upstream, copied revision.Revision) bool {
	e, ok := f.all[u.ID]
	return ok && u.Version.Era() > e.upstream.Version.Era() && u.Version.Version() >= copied.Version()
}

// missingSince returns from when the grace of a missing upstream counts. A restored store may have been
// back, and its removal written again, since the last call that failed.
func (f *Fleet) missingSince(now time.Time, restored bool) time.Time {
	if !restored || f.failed.IsZero() || now.Sub(f.failed) > revision.RestoreTime {
		return now
	}
	return f.failed
}

// defersReopening reports whether an entry would reopen an upstream that is known to have left in
// an earlier era of the store, from whose copy the entry may be. One that was changed since the
// copy was first read is newer than the copy.
func (e *entry) defersReopening(u Upstream) bool {
	if e.upstream.State != Leaving || e.upstream.Announced {
		return false
	}
	return u.Version.Era() > e.upstream.Version.Era() || e.reopen != nil && u.Version == e.reopen.upstream.Version
}

// deferReopening keeps an upstream as leaving, with the version of the entry so that the other
// boxes that have read it learn of the removal.
func (f *Fleet) deferReopening(now time.Time, e *entry, u Upstream) {
	if e.reopen == nil || e.reopen.upstream.Version != u.Version {
		e.reopen = &reopening{upstream: u, at: now.Add(revision.RestoreTime)}
	}
	e.listed = true
	f.set(now, e, e.upstream.withVersion(u.Version))
	f.recordChange(e)
}

// applyReopening opens an upstream whose removal was not written again.
func (f *Fleet) applyReopening(now time.Time, e *entry) {
	u := e.reopen.upstream
	u.Version++ // other boxes know it as leaving in that version
	f.renew(now, e, u)
}

// hasLeft reports whether other boxes have reported that the upstream of an entry has left, since
// or in an earlier era of the store, from whose copy the entry may be.
func (f *Fleet) hasLeft(u Upstream) bool {
	d, ok := f.left[u.ID]
	return ok && u.StartedAt <= d.upstream.StartedAt && (u.Version <= d.upstream.Version || u.Version.Era() > d.upstream.Version.Era())
}

// addLeft adds an upstream that has left, by an entry that may be of an older copy of the store. An
// entry that is older than the removal in the same era adds nothing.
func (f *Fleet) addLeft(now time.Time, u Upstream) {
	if u.Version.Era() == f.left[u.ID].upstream.Version.Era() {
		return
	}
	e := &entry{since: now, listed: true}
	f.all[u.ID] = e
	f.set(now, e, f.left[u.ID].upstream)
	delete(f.left, u.ID)
	f.deferReopening(now, e, u)
}

// expireLeft removes the upstreams that have been reported as leaving for retention.
func (f *Fleet) expireLeft(now time.Time) {
	for id, d := range f.left {
		if now.Sub(d.at) >= retention {
			delete(f.left, id)
		}
	}
}

// renewRemoval gives an upstream that has left in an earlier era of the store, and that the restored
// store does not list either, the version of the listing: an entry that is written later is newer, and
// boxes that have read an older copy learn of the removal.
func (f *Fleet) renewRemoval(now time.Time, e *entry, version revision.Revision) {
	if e.upstream.Version.Era() == version.Era() && !e.copied || e.upstream.Announced {
		return
	}
	f.set(now, e, e.upstream.withVersion(version))
	e.copied = false
	f.recordChange(e)
}
