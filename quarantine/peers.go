package quarantine

import (
	"cmp"
	"slices"
	"time"

	"petrelstep/fingerprint"
	"petrelstep/wire"
)

// maxMessageEnds bounds the ends in one message. The others follow with the next call.
const maxMessageEnds = 500

// Since returns the ends and clearances that changed after a change number, and the
// number of the last change that is included.
func (q *Quarantine) Since(now time.Time, change int) (list []wire.RequestEnd, last int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if change == q.changes {
		return nil, change
	}
	for _, n := range q.changesAfter(change) {
		if n.ended != nil {
			list = append(list, wire.RequestEnd{Upstream: n.inc.upstream, Born: int(n.inc.startedAt), AgeMs: int(now.Sub(n.ended.at).Milliseconds())})
		} else {
			list = q.appendEnds(now, n.fp, list)
		}
		if len(list) >= maxMessageEnds {
			return list, n.changed
		}
	}
	return list, q.changes
}

// changeEntry is a change of an ended incarnation or of a request.
type changeEntry struct {
	changed int
	inc     incarnation
	ended   *endedIncarnation // nil for a request
	fp      fingerprint.Fingerprint
}

// changesAfter returns the changes after a change number, in order. An incarnation at
// which a suspect was present is reported with that request.
func (q *Quarantine) changesAfter(change int) []changeEntry {
	var list []changeEntry
	for fp, s := range q.suspects {
		if s.changed > change {
			list = append(list, changeEntry{changed: s.changed, fp: fp})
		}
	}
	for inc, e := range q.ended {
		if e.changed > change && len(e.fps) == 0 && len(e.parts) == 0 {
			list = append(list, changeEntry{changed: e.changed, inc: inc, ended: e})
		}
	}
	slices.SortFunc(list, func(a, b changeEntry) int { return cmp.Compare(a.changed, b.changed) })
	return list
}

// appendEnds appends the ends and the clearance of a request or a part to a list.
func (q *Quarantine) appendEnds(now time.Time, fp fingerprint.Fingerprint, list []wire.RequestEnd) []wire.RequestEnd {
	s := q.suspects[fp]
	if !s.cleared.IsZero() {
		list = append(list, wire.RequestEnd{Fingerprint: fp.String(), AgeMs: int(now.Sub(s.cleared).Milliseconds()), Part: s.part})
	}
	for inc, at := range s.ends {
		list = append(list, wire.RequestEnd{Fingerprint: fp.String(), Upstream: inc.upstream, Born: int(inc.startedAt), AgeMs: int(now.Sub(at).Milliseconds()), Met: q.ended[inc].present, Part: s.part, Under: s.under[inc]})
	}
	return list
}

// Update handles another box's report, whose ages are as of now.
func (q *Quarantine) Update(now time.Time, list []wire.RequestEnd) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range list {
		at := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		inc := incarnation{r.Upstream, int64(r.Born)}
		if r.Fingerprint == "" {
			q.recordEnd(at, inc)
			continue
		}
		fp, err := fingerprint.Parse(r.Fingerprint)
		if err != nil {
			q.log.WithError(err).Warn("end_skipped")
			continue
		}
		if r.Upstream == "" {
			q.updateClearance(at, fp)
			continue
		}
		if r.Part {
			q.updatePartEnd(at, fp, inc, r.Under)
			continue
		}
		q.updateEnd(at, fp, inc)
		if e := q.ended[inc]; e != nil {
			e.present = max(e.present, r.Met)
		}
	}
}

// updateEnd adds an end that another box reports. A request that succeeded on this box
// at about that time is cleared.
func (q *Quarantine) updateEnd(at time.Time, fp fingerprint.Fingerprint, inc incarnation) {
	if !q.addEnd(at, fp, inc) {
		return
	}
	success, ok := q.successes.at(fp)
	if !ok || at.Sub(success) > successWindow {
		return
	}
	if success.Before(at) {
		success = at
	}
	q.clear(success, fp, Cleared)
}

// updateClearance applies a reported clearance. It is recorded for unknown requests
// too, as their ends may be reported later by another box.
func (q *Quarantine) updateClearance(at time.Time, fp fingerprint.Fingerprint) {
	s, ok := q.suspects[fp]
	switch {
	case !ok:
		q.evict()
		s = &suspect{ends: map[incarnation]time.Time{}, cleared: at}
		q.suspects[fp] = s
	case s.hasEndBefore(at):
		q.dropEnds(at, fp, s)
	case at.After(s.cleared.Add(clearSlack)):
		s.cleared = at
	default:
		return
	}
	q.recordChange(s)
}

// hasEndBefore reports whether there are ends up to a time.
func (s *suspect) hasEndBefore(at time.Time) bool {
	for _, end := range s.ends {
		if !end.After(at) {
			return true
		}
	}
	return false
}

// clearSlack is the difference up to which two times of a clearance are the same one.
// Reports carry ages, so that the times differ with the delay of each report, and boxes
// would otherwise send the clearance back and forth forever.
const clearSlack = 2 * time.Second

// Restore adds a quarantine that was read from the store.
func (q *Quarantine) Restore(now time.Time, fp fingerprint.Fingerprint, upstreams []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, u := range upstreams {
		at := now.Add(-settleTime - time.Duration(i)*2*simultaneous) // the times and the other requests are not stored
		if q.addEnd(at, fp, incarnation{upstream: u}) {
			q.suspects[fp].own = true // this box deletes it from the store
		}
	}
}
