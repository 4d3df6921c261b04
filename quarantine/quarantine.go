// Package quarantine finds the requests that end the upstreams that run them, and the parts
// of prompts that do so whatever else a request holds, from the ends seen on this box and
// those that other boxes report. Requests are identified by fingerprint, so that a request
// that is sent again, with another id or to another box, counts as the same; parts are
// identified likewise.
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
	// minEnds is the minimum number of upstream incarnations that must end under a
	// request before it is quarantined.
	minEnds = 3
	// minUnshared is the minimum number of these ends at which no other request was
	// present that is present at as many ends. Innocent requests share their ends with
	// others.
	minUnshared = 2
	// minBlame is the minimum blame for a request's ends. The blame for an end is
	// divided evenly among all requests that were present and all incarnations that
	// ended simultaneously, so that many requests on one engine, or a lost rack of
	// engines, do not quarantine anyone: three engines lost at once are blame for one end in
	// all. A request that shares each of three ends with one other is still found. Requests that
	// are cleared later keep their share, as it would otherwise fall to one that was present by
	// chance.
	minBlame = 1.05
	// certainEnds is the number of ends from which no minimum blame is needed, so that
	// a request is found that shares busy engines with different requests each time. Where ten
	// have just begun each time, the minimum blame alone would take more than ten ends.
	certainEnds = 5
	// simultaneous is the time within which ends have a common cause, such as the loss
	// of a rack. Attempts of one request are further apart.
	simultaneous = 50 * time.Millisecond
	// maxIncarnations bounds the remembered ends of incarnations. incarnationRetention
	// is how long one is remembered at which no suspect was present.
	maxIncarnations      = 8192
	incarnationRetention = 10 * time.Minute
	// settleTime is the time after an end within which the other boxes report which
	// requests were present: their calls come within 0.25 s, and hubs pass them on within
	// 0.5 s more.
	settleTime = time.Second
	// refusalTime is how long after its last end a request is refused. A single attempt
	// is allowed then, so that a caller that never stops ends six engines an hour.
	refusalTime = 10 * time.Minute
	// countWindow is how long before the newest end an end counts.
	countWindow = time.Hour
	// successWindow is how long before an end a successful run excuses a request: one
	// that ends all upstreams never succeeds.
	successWindow = 5 * time.Second
	// maxSuspects bounds the remembered requests: 100 engines with 40 requests each may end in
	// an hour.
	maxSuspects = 4096
	// maxEndsPerRequest bounds the remembered ends of one request.
	maxEndsPerRequest = 16
)

// incarnation identifies an incarnation of an upstream.
type incarnation struct {
	upstream  string
	startedAt int64 // Unix milliseconds
}

// endedIncarnation is an incarnation that ended without an announcement.
type endedIncarnation struct {
	at      time.Time
	fps     []fingerprint.Fingerprint // requests that were present and are not cleared
	parts   []fingerprint.Fingerprint // parts of such requests that are not cleared
	present int                       // number of requests that were present, cleared or not
	changed int                       // number of the change that added it
}

// suspect is a request that was at an upstream when that ended, or a part of one.
type suspect struct {
	part     bool
	ends     map[incarnation]time.Time
	under    map[incarnation][]int // of a part: the requests that had it at each end, by shortID
	separate int                   // of a part: separateEnds up to its last end
	newest   time.Time             // its last end
	cleared  time.Time             // ends up to then do not count
	changed  int                   // number of its last change
	own      bool                  // its newest end was seen on this box
	refused  bool                  // as of the last Tick
}

// count returns the number of ends up to a time that are within the window.
func (s *suspect) count(until time.Time) int {
	n := 0
	for _, at := range s.ends {
		if !at.After(until) && s.newest.Sub(at) <= countWindow {
			n++
		}
	}
	return n
}

// Counter counts the changes of suspects.
type Counter interface {
	Quarantined(change string)
}

// The counted changes.
const (
	Closed   = "closed"
	LetIn    = "let_in" // refusalTime has passed, or others are reported to share its ends
	Cleared  = "cleared"
	Released = "released" // by an operator
	Excused  = "excused"  // an end did not count because of a recent success
)

// Changes returns all changes, for counters.
func Changes() []string { return []string{Closed, LetIn, Cleared, Released, Excused} }

// Store persists quarantines, so that they survive a restart of all boxes.
type Store interface {
	// Save stores a quarantined request and the ids of the upstreams that ended under
	// it.
	Save(fp fingerprint.Fingerprint, upstreams []string)
	// SavePart stores a quarantined part likewise.
	SavePart(fp fingerprint.Fingerprint, upstreams []string)
	// Delete removes a request or a part that is no longer quarantined.
	Delete(fp fingerprint.Fingerprint)
}

// Quarantine holds the requests that are suspected of ending upstreams. It is safe for
// concurrent use. A nil Quarantine treats all requests as free.
type Quarantine struct {
	counter Counter
	store   Store
	log     *logrus.Entry

	mu         sync.Mutex
	suspects   map[fingerprint.Fingerprint]*suspect
	ended      map[incarnation]*endedIncarnation
	successes  recentSuccesses
	partRuns   recentSuccesses // of requests with each part
	attempts   map[fingerprint.Fingerprint]map[*attempt]struct{}
	changes    int
	lastExpiry time.Time // of ended incarnations
}

// attempt is a request that is being sent to or running at an upstream.
type attempt struct {
	cancel func()
	fp     fingerprint.Fingerprint
	parts  []fingerprint.Fingerprint
}

// New returns an empty quarantine.
func New(c Counter, s Store, log *logrus.Entry) *Quarantine {
	return &Quarantine{
		counter: c, store: s, log: log, successes: recentSuccesses{window: successWindow}, partRuns: recentSuccesses{window: partSuccessWindow}, suspects: map[fingerprint.Fingerprint]*suspect{}, ended: map[incarnation]*endedIncarnation{},
		attempts: map[fingerprint.Fingerprint]map[*attempt]struct{}{},
	}
}

// RecordEnd records that an upstream ended without an announcement, whether or not a
// request was present.
func (q *Quarantine) RecordEnd(now time.Time, u fleet.Upstream) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordEnd(now, incarnation{u.ID, u.StartedAt})
}

// recordEnd adds an ended incarnation; false if it is known or the bound is reached.
func (q *Quarantine) recordEnd(at time.Time, inc incarnation) bool {
	if q.ended[inc] != nil || len(q.ended) >= maxIncarnations {
		return false
	}
	q.changes++
	q.ended[inc] = &endedIncarnation{at: at, changed: q.changes}
	return true
}

// RecordEndDuring records that an upstream ended without an announcement while it ran a
// request, whose prompt has the given parts.
func (q *Quarantine) RecordEndDuring(now time.Time, fp fingerprint.Fingerprint, u fleet.Upstream, parts ...fingerprint.Fingerprint) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range parts {
		q.recordPartEnd(now, p, fp, incarnation{u.ID, u.StartedAt})
	}
	if at, ok := q.successes.at(fp); ok && now.Sub(at) <= successWindow {
		q.counter.Quarantined(Excused)
		return
	}
	if q.addEnd(now, fp, incarnation{u.ID, u.StartedAt}) {
		s := q.suspects[fp]
		s.own = true
		q.log.WithFields(logrus.Fields{
			"fingerprint": fp, "upstream": u.ID, "born": u.StartedAt, "ends": s.count(now), "beside": len(q.ended[incarnation{u.ID, u.StartedAt}].fps) - 1,
		}).Info("ended_under")
	}
}

// suspectOf returns the suspect with a fingerprint, a new one if there is none.
func (q *Quarantine) suspectOf(fp fingerprint.Fingerprint) *suspect {
	s, ok := q.suspects[fp]
	if !ok {
		q.evict()
		s = &suspect{ends: map[incarnation]time.Time{}}
		q.suspects[fp] = s
	}
	return s
}

// addEnd adds an end to a request; false if it is known or does not count.
func (q *Quarantine) addEnd(at time.Time, fp fingerprint.Fingerprint, inc incarnation) bool {
	s := q.suspectOf(fp)
	q.recordEnd(at, inc)
	if _, known := s.ends[inc]; known || !at.After(s.cleared) || len(s.ends) >= maxEndsPerRequest || q.ended[inc] == nil {
		return false
	}
	s.ends[inc] = at
	if at.After(s.newest) {
		s.newest, s.own = at, false
	}
	q.ended[inc].fps = append(q.ended[inc].fps, fp)
	q.ended[inc].present++
	q.recordChange(s)
	return true
}

func (q *Quarantine) recordChange(s *suspect) {
	q.changes++
	s.changed = q.changes
	if s.part {
		s.separate = s.separateEnds(s.newest)
	}
}

// RecordSuccess records that a request ran successfully, and clears it and the parts of
// its prompt that its upstream began to answer.
func (q *Quarantine) RecordSuccess(now time.Time, fp fingerprint.Fingerprint, parts ...fingerprint.Fingerprint) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.successes.record(now, fp)
	q.clear(now, fp, Cleared)
	for _, p := range parts {
		q.partRuns.record(now, p)
		q.clear(now, p, Cleared)
	}
}

// AddSuspension adds the time for which this box's machine was suspended to all ages, as
// the monotonic clock does not count it.
func (q *Quarantine) AddSuspension(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.suspects {
		for inc, at := range s.ends {
			s.ends[inc] = at.Add(-d)
		}
		s.newest, s.cleared = addAge(s.newest, d), addAge(s.cleared, d)
	}
	for _, e := range q.ended {
		e.at = e.at.Add(-d)
	}
	q.successes, q.partRuns = recentSuccesses{window: successWindow}, recentSuccesses{window: partSuccessWindow}
}

func addAge(at time.Time, by time.Duration) time.Time {
	if at.IsZero() {
		return at
	}
	return at.Add(-by)
}

// Release clears a request on behalf of an operator; false if it is not known.
func (q *Quarantine) Release(now time.Time, fp fingerprint.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.clear(now, fp, Released)
}

// clear removes a request's ends up to a time; false if there are none.
func (q *Quarantine) clear(at time.Time, fp fingerprint.Fingerprint, change string) bool {
	s, ok := q.suspects[fp]
	if !ok || !at.After(s.cleared) || len(s.ends) == 0 {
		return false
	}
	refused := s.refused
	q.dropEnds(at, fp, s)
	q.recordChange(s)
	q.counter.Quarantined(change)
	q.log.WithFields(logrus.Fields{"fingerprint": fp, "change": change, "was_closed": refused}).Info("request_cleared")
	if refused {
		q.store.Delete(fp)
	}
	return true
}

// dropEnds removes a request's ends up to a time.
func (q *Quarantine) dropEnds(at time.Time, fp fingerprint.Fingerprint, s *suspect) {
	s.cleared, s.newest = at, time.Time{}
	for inc, end := range s.ends {
		if !end.After(at) {
			delete(s.ends, inc)
			delete(s.under, inc)
			q.removeRequest(inc, fp)
			continue
		}
		if end.After(s.newest) {
			s.newest = end
		}
	}
	if s.count(s.newest) < minEnds {
		s.refused = false
	}
}

// removeRequest removes a request or a part from those that were present at an end.
func (q *Quarantine) removeRequest(inc incarnation, fp fingerprint.Fingerprint) {
	e := q.ended[inc]
	isIt := func(p fingerprint.Fingerprint) bool { return p == fp }
	e.fps, e.parts = slices.DeleteFunc(e.fps, isIt), slices.DeleteFunc(e.parts, isIt)
}

// evict makes space for another request: it removes the eighth of the requests with the
// oldest ends or clearances, refused ones last.
func (q *Quarantine) evict() {
	if len(q.suspects) < maxSuspects {
		return
	}
	fps := make([]fingerprint.Fingerprint, 0, len(q.suspects))
	for p := range q.suspects {
		fps = append(fps, p)
	}
	slices.SortFunc(fps, func(a, b fingerprint.Fingerprint) int {
		x, y := q.suspects[a], q.suspects[b]
		if x.refused != y.refused {
			if x.refused {
				return 1
			}
			return -1
		}
		return x.last().Compare(y.last())
	})
	for _, p := range fps[:maxSuspects/8] {
		for inc := range q.suspects[p].ends {
			q.removeRequest(inc, p)
		}
		delete(q.suspects, p)
	}
}

// last returns the time of the request's last end or clearance.
func (s *suspect) last() time.Time {
	if s.cleared.After(s.newest) {
		return s.cleared
	}
	return s.newest
}

// Track registers an attempt of a request, whose prompt has the given parts, until done is
// called. cancel is called if the request is quarantined meanwhile.
func (q *Quarantine) Track(fp fingerprint.Fingerprint, cancel func(), parts ...fingerprint.Fingerprint) (done func()) {
	if q == nil {
		return func() {}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	a := &attempt{cancel, fp, parts}
	keys := append([]fingerprint.Fingerprint{fp}, parts...)
	for _, key := range keys {
		if q.attempts[key] == nil {
			q.attempts[key] = map[*attempt]struct{}{}
		}
		q.attempts[key][a] = struct{}{}
	}
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		for _, key := range keys {
			delete(q.attempts[key], a)
			if len(q.attempts[key]) == 0 {
				delete(q.attempts, key)
			}
		}
	}
}
