package quarantine

import (
	"cmp"
	"slices"
	"time"

	"petrelstep/fingerprint"
	"petrelstep/wire"
)

// tellMost bounds the ends of one message: 100 bytes each. What is left follows with the
// next call.
const tellMost = 500

// Since returns what is known that changed after a change, and the last change that it
// holds.
func (q *Quarantine) Since(now time.Time, change int) (list []wire.RequestEnd, last int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if change == q.changes {
		return nil, change
	}
	for _, n := range q.newer(change) {
		if n.life != nil {
			list = append(list, wire.RequestEnd{Upstream: n.of.upstream, Born: int(n.of.born), AgeMs: int(now.Sub(n.life.at).Milliseconds())})
		} else {
			list = q.tell(now, n.fp, list)
		}
		if len(list) >= tellMost {
			return list, n.changed
		}
	}
	return list, q.changes
}

// news is a life or a request that changed.
type news struct {
	changed int
	of      life
	life    *ended // nil for a request
	fp      fingerprint.Fingerprint
}

// newer returns what changed after a change, in order. Lives of which a request tells
// need no line of their own.
func (q *Quarantine) newer(change int) []news {
	var list []news
	for fp, s := range q.suspects {
		if s.changed > change {
			list = append(list, news{changed: s.changed, fp: fp})
		}
	}
	for of, e := range q.lives {
		if e.changed > change && len(e.fps) == 0 {
			list = append(list, news{changed: e.changed, of: of, life: e})
		}
	}
	slices.SortFunc(list, func(a, b news) int { return cmp.Compare(a.changed, b.changed) })
	return list
}

// tell adds what is known of a request to a list.
func (q *Quarantine) tell(now time.Time, fp fingerprint.Fingerprint, list []wire.RequestEnd) []wire.RequestEnd {
	s := q.suspects[fp]
	if !s.cleared.IsZero() {
		list = append(list, wire.RequestEnd{Fingerprint: fp.String(), AgeMs: int(now.Sub(s.cleared).Milliseconds())})
	}
	for of, at := range s.ends {
		list = append(list, wire.RequestEnd{Fingerprint: fp.String(), Upstream: of.upstream, Born: int(of.born), AgeMs: int(now.Sub(at).Milliseconds()), Met: q.lives[of].met})
	}
	return list
}

// Update takes another box's word, with ages as of a time.
func (q *Quarantine) Update(now time.Time, list []wire.RequestEnd) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range list {
		at := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		of := life{r.Upstream, int64(r.Born)}
		if r.Fingerprint == "" {
			q.gone(at, of)
			continue
		}
		fp, err := fingerprint.Parse(r.Fingerprint)
		if err != nil {
			q.log.WithError(err).Warn("end_skipped")
			continue
		}
		if r.Upstream == "" {
			q.toldCleared(at, fp)
			continue
		}
		q.toldEnd(at, fp, of)
		if e := q.lives[of]; e != nil {
			e.met = max(e.met, r.Met)
		}
	}
}

// toldEnd takes an end that another box met. A request that ran to a good end here
// about then is cleared for all.
func (q *Quarantine) toldEnd(at time.Time, fp fingerprint.Fingerprint, of life) {
	if !q.add(at, fp, of) {
		return
	}
	good, ok := q.good.at(fp)
	if !ok || at.Sub(good) > goodFor {
		return
	}
	if good.Before(at) {
		good = at
	}
	q.clear(good, fp, Cleared)
}

// toldCleared takes the word that a request was cleared, also of one that this box has
// not heard of yet: its ends may come later, by another way.
func (q *Quarantine) toldCleared(at time.Time, fp fingerprint.Fingerprint) {
	s, ok := q.suspects[fp]
	switch {
	case !ok:
		q.evict()
		s = &suspect{ends: map[life]time.Time{}, cleared: at}
		q.suspects[fp] = s
	case s.hasUntil(at):
		q.forgive(at, fp, s)
	case at.After(s.cleared.Add(clearSlack)):
		s.cleared = at
	default:
		return
	}
	q.changed(s)
}

// hasUntil tells whether there are ends until a time.
func (s *suspect) hasUntil(at time.Time) bool {
	for _, end := range s.ends {
		if !end.After(at) {
			return true
		}
	}
	return false
}

// clearSlack is by how much the same clearance may seem to differ in time, as it is
// told with an age in ms by ways of different lengths. Boxes would remind each other of
// it for good.
const clearSlack = 2 * time.Second

// Restore takes a quarantine that was kept in the platform's store.
func (q *Quarantine) Restore(now time.Time, fp fingerprint.Fingerprint, upstreams []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, u := range upstreams {
		at := now.Add(-settle - time.Duration(i)*2*together) // when it was, and who else was there, is not known any more
		if q.add(at, fp, life{upstream: u}) {
			q.suspects[fp].own = true // its row is this box's to drop
		}
	}
}
