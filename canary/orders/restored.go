package orders

import (
	"slices"
	"time"

	"petrelstep/revision"
)

// restore is the latest era of the store that is known. It may have begun with an older copy.
type restore struct {
	era    int
	until  time.Time         // when all that the copy lacks is written again
	copied revision.Revision // rows up to this one may be of the copy
}

// deferred is an order, or its removal, that an older copy of the store holds against newer knowledge.
// It counts unless that is written again by then.
type deferred struct {
	order  Order
	source string
	at     time.Time
}

// Listed records that the orders are listed as of a version. It is called before they are applied.
func (l *Orders) Listed(now time.Time, version revision.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restore = l.restore.withRead(now, version)
	if version.Era() == l.restore.era && now.Before(l.restore.until) {
		l.restore.copied = max(l.restore.copied, version)
	}
}

// RecordEra records the era that another box knows of: orders may be read in it long after the store was
// restored.
func (l *Orders) RecordEra(now time.Time, era int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restore = l.restore.withEra(now, era)
}

// withEra returns the era that is known after a report of another box.
func (s restore) withEra(now time.Time, era int) restore {
	if era <= s.era {
		return s
	}
	return restore{era: era, until: now.Add(revision.RestoreTime)}
}

// withRead returns the era that is known once a version was read.
func (s restore) withRead(now time.Time, version revision.Revision) restore {
	s = s.withEra(now, version.Era())
	if version.Era() == s.era && s.copied.Era() < s.era {
		s.copied = version
	}
	return s
}

// isSame reports whether the rows of two orders in different eras are those of one order: it stands
// unchanged in the copy, or was written again.
func (s restore) isSame(now time.Time, a, b Order) bool {
	x, y := a.ownVersion(), b.ownVersion()
	if x == 0 || y == 0 || x.Era() == y.Era() || a.Target == "" || a.Target != b.Target {
		return false
	}
	return x.Version() == y.Version() || now.Before(s.until)
}

// contradicts reports whether an order may be from an older copy of the store, and is not what is
// known from an earlier era.
func (s restore) contradicts(now time.Time, known, u Order) bool {
	if known.Version.Era() >= u.Version.Era() || u.Version > s.copied || !now.Before(s.until) {
		return false
	}
	return !u.isSameAs(known) || known.State == Withdrawn
}

// isReplaced reports whether an order is one that was replaced in an earlier era.
func (r *record) isReplaced(u Order) bool {
	return slices.ContainsFunc(r.replaced, func(o Order) bool {
		return o.Target == u.Target && o.ownVersion().Version() == u.ownVersion().Version()
	})
}

// align returns an update with the newest order's version in the later of their eras, if it is of the
// same order, and gives that version to the newest order.
func (l *Orders) align(now time.Time, r *record, u Order, source string) Order {
	if !l.restore.isSame(now, r.newest, u) || r.isReplaced(u) {
		return u
	}
	if own := r.newest.ownVersion(); own > u.ownVersion() {
		return u.inEraOf(own)
	}
	l.set(now, r, r.newest.inEraOf(u.ownVersion()), source)
	return u
}

// inEraOf returns the order with another version of its own row. An order that has an outcome stands
// again until its removal is written again.
func (o Order) inEraOf(own revision.Revision) Order {
	if o.State == Withdrawn {
		o.RemovedOrder = own
		return o
	}
	o.first = o.Identity()
	o.Version, o.RemovedOrder = own, 0
	return o
}

// Knows reports whether the row of an order belongs to the newest known one, maybe in another era.
func (l *Orders) Knows(now time.Time, o Order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.services[o.Service]
	return known && !r.isReplaced(o) && l.restore.isSame(now, r.newest, o)
}

// Tick applies what was not written again after the store was restored, by the table as read at a
// time.
func (l *Orders) Tick(now, read time.Time) {
	for _, d := range l.due(read) {
		l.Update(now, d.order, d.source)
	}
}

// due removes and returns the deferred orders that now count.
func (l *Orders) due(read time.Time) (list []deferred) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.services {
		if r.deferred.at.IsZero() || read.Before(r.deferred.at) {
			continue
		}
		if r.deferred.order.Version.Era() == l.restore.era {
			list = append(list, r.deferred)
		}
		r.deferred = deferred{}
	}
	return list
}

// Identity identifies the order at this box, or its removal. It stays the same when the store is restored.
func (o Order) Identity() revision.Revision {
	if o.first != 0 && o.RemovedOrder == 0 {
		return o.first
	}
	return o.Version
}

// HasOutcome reports whether the order was completed or rolled back.
func (o Order) HasOutcome() bool { return o.State == Completed || o.State == RolledBack }

// StatusMayBeLost reports whether the order's status was read in an earlier era of the store than its row.
func (o Order) StatusMayBeLost() bool {
	return o.StatusVersion != 0 && o.StatusVersion.Era() < o.Version.Era()
}

// keepsState reports whether the state stays as it is beside another state of the same order: an outcome
// stays reached though an older copy of the store lacks it.
func (o Order) keepsState(u Order) bool {
	if o.HasOutcome() && u.HasOutcome() && o.State != u.State && o.StatusVersion.Era() != u.StatusVersion.Era() {
		return o.StatusVersion < u.StatusVersion
	}
	if o.HasOutcome() != u.HasOutcome() {
		return o.HasOutcome()
	}
	return o.StatusVersion >= u.StatusVersion
}
