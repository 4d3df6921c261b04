// Package upstreamlimits tracks the rate limits that upstreams announce, in requests
// per second from all boxes together. They come from answers to this box and from
// reports of other boxes.
package upstreamlimits

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/exchange"
	"petrelstep/fleet"
)

const (
	// minChange is the relative change from which a limit is logged and reported;
	// limits that vary with each answer would otherwise fill the log and the reports.
	minChange = 0.1
	// hubReportInterval is the minimum interval between reports of the same limit to
	// hubs.
	hubReportInterval = 2 * time.Second
	// immediateFactor is the factor on the last reported value below which a limit is
	// reported to hubs at once: with smaller decreases the total rate stays below 1.5
	// times the limit.
	immediateFactor = 0.75
	// minPeerChange and peerReportInterval are the minimum relative change and the
	// minimum interval of reports to boxes that are not hubs. They need no exact value:
	// the owner of a limit receives it with each request for admission.
	minPeerChange      = 0.5
	peerReportInterval = 20 * time.Second
	// easeDuration is how long a limit is lifted gradually after it has ended, as one
	// answer may lack the announcement that the next has. Starting from the last value
	// plus easeOffset requests per second, it doubles every easeDoubling.
	easeDuration = 500 * time.Millisecond
	easeDoubling = 100 * time.Millisecond
	easeOffset   = 4
	// retention is how long an ended limit is remembered, so that a box that was
	// disconnected meanwhile does not restore it.
	retention = time.Minute
)

// Changes of a limit, as counted and logged.
const (
	Named      = "named"
	Changed    = "changed"
	Ended      = "ended"
	Unreadable = "unreadable"
)

// Sources of a limit, as logged.
const (
	fromAnswer = "answer"
	fromPeer   = "peer"
	fromHub    = "hub"
)

// Changes returns all changes, for counters.
func Changes() []string { return []string{Named, Changed, Ended, Unreadable} }

// Counter counts changes of limits.
type Counter interface {
	Limited(change string)
}

// limit is the state of one upstream's limit.
type limit struct {
	startedAt  int64 // start time of the incarnation that announced it; 0 if unknown
	period     int   // incremented when a limit is announced after one has ended
	active     bool
	perSecond  float64
	at         time.Time  // when it was last announced, or ended
	hubReport  lastReport // last report to hubs
	peerReport lastReport // last report to other boxes
	unreadable bool       // the last announcement was invalid
}

// lastReport is what was last reported of a limit.
type lastReport struct {
	value   float64
	at      time.Time
	changed int // sequence number of that change
}

// due reports whether another value has to be reported.
func (r lastReport) due(now time.Time, value, minChange float64, interval time.Duration) bool {
	return math.Abs(value-r.value) > minChange*r.value && now.Sub(r.at) >= interval
}

// Tracker holds the limits known to one box. It is safe for concurrent use.
type Tracker struct {
	counter Counter
	event   string // of the log lines
	log     *logrus.Entry

	mu      sync.Mutex
	list    map[string]*limit // by upstream
	changes int
}

// New returns a tracker of rate limits.
func New(counter Counter, log *logrus.Entry) *Tracker {
	return trackerOf(counter, "upstream_limit", log)
}

// NewRejections returns a tracker of rejection limits: how many requests per second an upstream
// can reject for want of capacity before it crashes.
func NewRejections(counter Counter, log *logrus.Entry) *Tracker {
	return trackerOf(counter, "upstream_rejection_limit", log)
}

func trackerOf(counter Counter, event string, log *logrus.Entry) *Tracker {
	return &Tracker{counter: counter, event: event, log: log, list: map[string]*limit{}}
}

// Of returns the limit of an upstream in requests per second and when it was last
// announced; false if there is none.
func (t *Tracker) Of(now time.Time, upstream string) (perSecond float64, at time.Time, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.list[upstream]
	if !ok {
		return 0, time.Time{}, false
	}
	since := now.Sub(e.at)
	switch {
	case e.active:
		return e.perSecond, e.at, true
	case e.period == 0 || since >= easeDuration:
		return 0, time.Time{}, false
	}
	return (e.perSecond + easeOffset) * math.Exp2(max(since.Seconds(), 0)/easeDoubling.Seconds()), e.at, true
}

// All returns the names of the upstreams with a limit, sorted.
func (t *Tracker) All() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for id, e := range t.list {
		if e.active {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// Observe updates the limit by the answer to a request that was sent at a time. The
// absence of an announcement ends the limit, unless the request was sent before the
// limit was announced, was not run, or the answer may come from another upstream (whole
// is false).
func (t *Tracker) Observe(now, sent time.Time, u fleet.Upstream, limit exchange.Limit, whole bool) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.list[u.ID]
	switch {
	case known && u.StartedAt < e.startedAt: // an earlier incarnation
	case limit.Kind == exchange.LimitAnnounced:
		e = t.entryOf(u.ID, u.StartedAt)
		if !e.active {
			e.period++
		}
		t.announced(now, u.ID, e, limit.PerSecond, now, fromAnswer)
	case limit.Kind == exchange.LimitInvalid:
		t.unreadable(now, u)
	case known && e.active && whole && sent.After(e.at):
		t.ended(now, u.ID, e, now, fromAnswer)
	}
}

// entryOf returns the limit of an upstream, of the latest known incarnation.
func (t *Tracker) entryOf(upstream string, startedAt int64) *limit {
	e, ok := t.list[upstream]
	if !ok {
		e = &limit{startedAt: startedAt}
		t.list[upstream] = e
	}
	e.startedAt = max(e.startedAt, startedAt)
	return e
}

// announced sets the value of a limit. A value from a hub is not reported to hubs
// again, as each of them receives it from that hub.
func (t *Tracker) announced(now time.Time, upstream string, e *limit, perSecond float64, at time.Time, source string) {
	first, was := !e.active, e.hubReport.value
	e.active, e.perSecond, e.at, e.unreadable = true, perSecond, at, false
	switch {
	case first:
		t.record(Named, upstream, logrus.Fields{"per_second": perSecond, "source": source, "age_ms": now.Sub(at).Milliseconds(), "period": e.period})
		t.markChanged(&e.hubReport, now, perSecond)
		t.markChanged(&e.peerReport, now, perSecond)
		return
	case e.hubReport.due(now, perSecond, minChange, hubReportInterval) || perSecond < immediateFactor*was:
		t.record(Changed, upstream, logrus.Fields{"per_second": perSecond, "was": was, "source": source, "age_ms": now.Sub(at).Milliseconds()})
		if source == fromHub {
			e.hubReport.value, e.hubReport.at = perSecond, now
		} else {
			t.markChanged(&e.hubReport, now, perSecond)
		}
	}
	if e.peerReport.due(now, perSecond, minPeerChange, peerReportInterval) {
		t.markChanged(&e.peerReport, now, perSecond)
	}
}

func (t *Tracker) ended(now time.Time, upstream string, e *limit, at time.Time, source string) {
	t.record(Ended, upstream, logrus.Fields{"was": e.perSecond, "named_ms": now.Sub(e.at).Milliseconds(), "source": source, "age_ms": now.Sub(at).Milliseconds()})
	e.active, e.at = false, at
	t.markChanged(&e.hubReport, now, 0)
	t.markChanged(&e.peerReport, now, 0)
}

// markChanged schedules a value to be reported.
func (t *Tracker) markChanged(r *lastReport, now time.Time, value float64) {
	t.changes++
	r.value, r.at, r.changed = value, now, t.changes
}

// unreadable records an invalid announcement; the previous limit stays in force.
func (t *Tracker) unreadable(now time.Time, u fleet.Upstream) {
	e := t.entryOf(u.ID, u.StartedAt)
	if !e.unreadable {
		t.record(Unreadable, u.ID, logrus.Fields{"holds": e.active, "per_second": e.perSecond})
	}
	e.unreadable = true
	if e.at.IsZero() {
		e.at = now
	}
}

func (t *Tracker) record(change, upstream string, fields logrus.Fields) {
	t.counter.Limited(change)
	t.log.WithFields(fields).WithFields(logrus.Fields{"upstream": upstream, "change": change}).Info(t.event)
}

// Forget drops the limit of an upstream that has restarted.
func (t *Tracker) Forget(upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.list, upstream)
}

// Tick drops the limits of removed upstreams, and limits that ended long ago.
func (t *Tracker) Tick(now time.Time, known func(upstream string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.list {
		if now.Sub(e.at) > retention && (!e.active || !known(id)) {
			delete(t.list, id)
		}
	}
}

// AddSuspension ages the limits by the time for which this machine was suspended.
func (t *Tracker) AddSuspension(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.list {
		e.at = e.at.Add(-d)
	}
}
