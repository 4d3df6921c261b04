// Package quarantine knows the requests under which upstreams end, by what was met
// here and what other boxes told. It counts by what is asked and not by who carries
// it: a request that comes again, at another box, with another id, is the same.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/fingerprint"
	"petrelstep/fleet"
)

const (
	// endsMost is how many lives of upstreams may end under a request before it is
	// quarantined: each costs callers all that runs on an engine.
	endsMost = 3
	// aloneLeast is how many of them must have had no other request that met as many
	// ends: what is not to blame shares its ends with others.
	aloneLeast = 2
	// blameLeast is how much of the blame for its ends a request must have: that for each
	// end is shared alike among all that were there and all lives that ended with it.
	// What is not to blame is lost with many, or where three engines go at once (a third
	// of each end, one in all); one that shares each of three ends with one other is still
	// found by them, one that shares them with more by later ones. Who is cleared later
	// keeps its share: it would else fall to one that was there by chance.
	blameLeast = 1.05
	// endsSure is how many ends need no part of the blame: on busy engines, where ten have
	// just begun each time, a request that ends them would else go on for ten. Others met
	// as many only where they are always there too, and are told apart by that.
	endsSure = 5
	// together is within how long lives end that a rack or a release has ended: their
	// connections break in the same moment. Tries of one request follow each other by
	// more.
	together = 50 * time.Millisecond
	// livesKept bounds the ends of lives that are remembered, and livesFor how long one
	// is that nobody is under suspicion for.
	livesKept = 8192
	livesFor  = 10 * time.Minute
	// settle is how long after an end the other boxes have told who else was there:
	// their calls come within 0.25 s, a hub passes them on within 0.5 s more.
	settle = time.Second
	// closedFor is how long after its last end a request is refused; then one try is
	// let through, alone. A caller that never stops ends six engines an hour.
	closedFor = 10 * time.Minute
	// countFor is how long before the newest an end counts.
	countFor = time.Hour
	// goodFor is how long before an end a run to a good end still speaks for a request:
	// one that ends all that run it has had none.
	goodFor = 5 * time.Second
	// suspectsMost bounds the requests that are remembered: 100 engines with 40
	// requests each may end in an hour.
	suspectsMost = 4096
	// livesMost bounds the ends that are kept of one request: more say no more.
	livesMost = 16
)

// life is one of an upstream.
type life struct {
	upstream string
	born     int64
}

// ended is a life that has ended.
type ended struct {
	at      time.Time
	fps     []fingerprint.Fingerprint // who was there and is not cleared
	met     int                       // who was there, cleared since or not
	changed int                       // when it became known
}

// suspect is a request that was at an upstream when that ended.
type suspect struct {
	ends    map[life]time.Time
	newest  time.Time // end
	cleared time.Time // no end until then counts
	changed int       // number of its last change
	own     bool      // its newest end was met here
	closed  bool      // as of the last tick
}

// count returns how many ends count, as of a time.
func (s *suspect) count(until time.Time) int {
	n := 0
	for _, at := range s.ends {
		if !at.After(until) && s.newest.Sub(at) <= countFor {
			n++
		}
	}
	return n
}

// Counter counts what becomes of suspects.
type Counter interface {
	Quarantined(change string)
}

// The changes that are counted.
const (
	Closed   = "closed"
	LetIn    = "let_in" // its time is over, or others were told to have met as many ends
	Cleared  = "cleared"
	Released = "released" // by an operator
	Excused  = "excused"  // an end that did not count, as it had run to a good end just before
)

// Changes lists every change, for counters.
func Changes() []string { return []string{Closed, LetIn, Cleared, Released, Excused} }

// Store keeps quarantines beyond the lives of all boxes.
type Store interface {
	// Save is told of a request and the ids of the upstreams that ended under it.
	Save(fp fingerprint.Fingerprint, upstreams []string)
	// Delete is told that one is quarantined no longer.
	Delete(fp fingerprint.Fingerprint)
}

// Quarantine is one box's. It is safe for use by several goroutines; a nil one knows
// of nothing.
type Quarantine struct {
	counter Counter
	keeper  Store
	log     *logrus.Entry

	mu       sync.Mutex
	suspects map[fingerprint.Fingerprint]*suspect
	lives    map[life]*ended
	good     recent
	sent     map[fingerprint.Fingerprint]map[*send]struct{}
	changes  int
	forgot   time.Time // lives were, last
}

// send is a request on its way or at an upstream.
type send struct{ cut func() }

// New returns a quarantine that knows of nothing.
func New(c Counter, k Store, log *logrus.Entry) *Quarantine {
	return &Quarantine{
		counter: c, keeper: k, log: log, suspects: map[fingerprint.Fingerprint]*suspect{}, lives: map[life]*ended{},
		sent: map[fingerprint.Fingerprint]map[*send]struct{}{},
	}
}

// RecordEnd notes that an upstream has ended unannounced, whoever was there.
func (q *Quarantine) RecordEnd(now time.Time, u fleet.Upstream) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gone(now, life{u.ID, u.StartedAt})
}

// gone notes the end of a life; false if it is known, or too many are.
func (q *Quarantine) gone(at time.Time, of life) bool {
	if q.lives[of] != nil || len(q.lives) >= livesKept {
		return false
	}
	q.changes++
	q.lives[of] = &ended{at: at, changed: q.changes}
	return true
}

// RecordEndDuring notes that an upstream has ended unannounced while a request was there.
func (q *Quarantine) RecordEndDuring(now time.Time, fp fingerprint.Fingerprint, u fleet.Upstream) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if at, ok := q.good.at(fp); ok && now.Sub(at) <= goodFor {
		q.counter.Quarantined(Excused)
		return
	}
	if q.add(now, fp, life{u.ID, u.StartedAt}) {
		s := q.suspects[fp]
		s.own = true
		q.log.WithFields(logrus.Fields{
			"fingerprint": fp, "upstream": u.ID, "born": u.StartedAt, "ends": s.count(now), "beside": len(q.lives[life{u.ID, u.StartedAt}].fps) - 1,
		}).Info("ended_under")
	}
}

// add takes an end; false if it is known or does not count.
func (q *Quarantine) add(at time.Time, fp fingerprint.Fingerprint, of life) bool {
	s, ok := q.suspects[fp]
	if !ok {
		q.evict()
		s = &suspect{ends: map[life]time.Time{}}
		q.suspects[fp] = s
	}
	q.gone(at, of)
	if _, known := s.ends[of]; known || !at.After(s.cleared) || len(s.ends) >= livesMost || q.lives[of] == nil {
		return false
	}
	s.ends[of] = at
	if at.After(s.newest) {
		s.newest, s.own = at, false
	}
	q.lives[of].fps = append(q.lives[of].fps, fp)
	q.lives[of].met++
	q.changed(s)
	return true
}

func (q *Quarantine) changed(s *suspect) {
	q.changes++
	s.changed = q.changes
}

// RecordSuccess notes that a request has run to a good end: it ends no upstream.
func (q *Quarantine) RecordSuccess(now time.Time, fp fingerprint.Fingerprint) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.good.note(now, fp)
	q.clear(now, fp, Cleared)
}

// Older makes all ends older: this box's machine was suspended, which the steady clock
// leaves out.
func (q *Quarantine) Older(by time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.suspects {
		for of, at := range s.ends {
			s.ends[of] = at.Add(-by)
		}
		s.newest, s.cleared = older(s.newest, by), older(s.cleared, by)
	}
	for _, e := range q.lives {
		e.at = e.at.Add(-by)
	}
	q.good = recent{}
}

func older(at time.Time, by time.Duration) time.Time {
	if at.IsZero() {
		return at
	}
	return at.Add(-by)
}

// Release clears a request for an operator; false if it is not known.
func (q *Quarantine) Release(now time.Time, fp fingerprint.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.clear(now, fp, Released)
}

// clear drops a request's ends; false if there are none.
func (q *Quarantine) clear(at time.Time, fp fingerprint.Fingerprint, change string) bool {
	s, ok := q.suspects[fp]
	if !ok || !at.After(s.cleared) || len(s.ends) == 0 {
		return false
	}
	closed := s.closed
	q.forgive(at, fp, s)
	q.changed(s)
	q.counter.Quarantined(change)
	q.log.WithFields(logrus.Fields{"fingerprint": fp, "change": change, "was_closed": closed}).Info("request_cleared")
	if closed {
		q.keeper.Delete(fp)
	}
	return true
}

// forgive drops the ends until a time.
func (q *Quarantine) forgive(at time.Time, fp fingerprint.Fingerprint, s *suspect) {
	s.cleared, s.newest = at, time.Time{}
	for of, end := range s.ends {
		if !end.After(at) {
			delete(s.ends, of)
			q.leave(of, fp)
			continue
		}
		if end.After(s.newest) {
			s.newest = end
		}
	}
	if s.count(s.newest) < endsMost {
		s.closed = false
	}
}

// leave takes a request off those that were at a life.
func (q *Quarantine) leave(of life, fp fingerprint.Fingerprint) {
	e := q.lives[of]
	e.fps = slices.DeleteFunc(e.fps, func(p fingerprint.Fingerprint) bool { return p == fp })
}

// evict makes room for one more request: an eighth goes, those whose last end or
// clearance is the oldest, and those that are refused after all others.
func (q *Quarantine) evict() {
	if len(q.suspects) < suspectsMost {
		return
	}
	fps := make([]fingerprint.Fingerprint, 0, len(q.suspects))
	for p := range q.suspects {
		fps = append(fps, p)
	}
	slices.SortFunc(fps, func(a, b fingerprint.Fingerprint) int {
		x, y := q.suspects[a], q.suspects[b]
		if x.closed != y.closed {
			if x.closed {
				return 1
			}
			return -1
		}
		return x.last().Compare(y.last())
	})
	for _, p := range fps[:suspectsMost/8] {
		for of := range q.suspects[p].ends {
			q.leave(of, p)
		}
		delete(q.suspects, p)
	}
}

// last is when anything was last heard of a request.
func (s *suspect) last() time.Time {
	if s.cleared.After(s.newest) {
		return s.cleared
	}
	return s.newest
}

// Track notes that a request is on its way or at an upstream, until left is called; cut
// breaks it off if it is quarantined meanwhile.
func (q *Quarantine) Track(fp fingerprint.Fingerprint, cut func()) (left func()) {
	if q == nil {
		return func() {}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	at := &send{cut}
	if q.sent[fp] == nil {
		q.sent[fp] = map[*send]struct{}{}
	}
	q.sent[fp][at] = struct{}{}
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.sent[fp], at)
		if len(q.sent[fp]) == 0 {
			delete(q.sent, fp)
		}
	}
}
