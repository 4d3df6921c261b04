// Package backoff tracks the upstreams that have requested this box to send them
// nothing for a time.
package backoff

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/fleet"
	"petrelstep/wire"
)

const (
	// maxBackoff is the longest backoff that an upstream may request.
	maxBackoff = time.Hour
	// jitterDivisor and maxJitter limit the random delay after the end of a backoff
	// before a box resumes, to 1/jitterDivisor of the backoff and to maxJitter: other
	// boxes may have been given the same end.
	jitterDivisor = 4
	maxJitter     = time.Second
	// trialTimeout is how long the first request after a backoff stays the only one if
	// it is not answered.
	trialTimeout = time.Second
	// maxExceptions is the number of requests that may be sent during a backoff because
	// they can go nowhere else, by the users' rule on requests within a backoff.
	maxExceptions = 2
	// maxNames is the maximum number of upstreams named in a report.
	maxNames = 64
	// retryJitterDivisor limits the random jitter of Retry-After to
	// 1/retryJitterDivisor of the wait.
	retryJitterDivisor = 3
	// retention is how long an entry is kept after its end if nothing was sent to the
	// upstream.
	retention = time.Minute
)

// Changes of a backoff, as counted and logged.
const (
	Asked    = "asked"
	Longer   = "longer"   // requested again, with a later end
	Over     = "over"     // ended: an answer after it requested none
	Excepted = "excepted" // a request was sent that could go nowhere else
)

// Changes returns all changes, for counters.
func Changes() []string { return []string{Asked, Longer, Over, Excepted} }

// Counter counts changes of backoffs.
type Counter interface {
	BackoffChanged(change string)
}

// entry is the backoff of one upstream.
type entry struct {
	service     string
	startedAt   int64 // start time of the incarnation that requested it
	requestedAt time.Time
	until       time.Time
	resumeAt    time.Time // when this box resumes, after jitter
	trialAt     time.Time // when the last trial request was sent; zero before
	exceptions  int
}

// wait returns for how long nothing may be sent.
func (e *entry) wait(now time.Time) time.Duration {
	if now.Before(e.resumeAt) {
		return e.resumeAt.Sub(now)
	}
	if e.trialAt.IsZero() {
		return 0
	}
	return max(e.trialAt.Add(trialTimeout).Sub(now), 0)
}

// Tracker holds the backoffs of one box. It is safe for concurrent use; a nil *Tracker
// has none.
type Tracker struct {
	counter Counter
	log     *logrus.Entry
	count   atomic.Int64

	mu      sync.Mutex
	random  *rand.Rand
	entries map[string]*entry // by upstream
}

// New returns a tracker without backoffs.
func New(random *rand.Rand, counter Counter, log *logrus.Entry) *Tracker {
	return &Tracker{random: random, counter: counter, log: log, entries: map[string]*entry{}}
}

// empty reports, without a lock, whether there is no backoff at all.
func (t *Tracker) empty() bool { return t == nil || t.count.Load() == 0 }

// Requested records that an upstream requested a backoff.
func (t *Tracker) Requested(now time.Time, u fleet.Upstream, d time.Duration) {
	if t == nil || d <= 0 {
		return
	}
	d = min(d, maxBackoff)
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[u.ID]
	if known && u.StartedAt < e.startedAt {
		return
	}
	if !known || u.StartedAt > e.startedAt {
		e = &entry{service: u.Service, startedAt: u.StartedAt, requestedAt: now}
		t.entries[u.ID] = e
		t.count.Store(int64(len(t.entries)))
	}
	until := now.Add(d)
	if !until.After(e.until) {
		return
	}
	change := Asked
	if now.Before(e.resumeAt) {
		change = Longer
	} else {
		e.requestedAt, e.exceptions = now, 0
	}
	e.until, e.trialAt = until, time.Time{}
	e.resumeAt = until.Add(time.Duration(t.random.Int64N(int64(min(d/jitterDivisor, maxJitter)) + 1)))
	t.record(change, u.ID, logrus.Fields{"rest_ms": d.Milliseconds(), "left_ms": e.resumeAt.Sub(now).Milliseconds(), "born": u.StartedAt})
}

// Answered records an answer that requests no backoff, to a request that was sent at a
// time.
func (t *Tracker) Answered(now, sent time.Time, u fleet.Upstream) {
	if t.empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[u.ID]
	if !known || u.StartedAt < e.startedAt || sent.Before(e.resumeAt) {
		return
	}
	t.record(Over, u.ID, logrus.Fields{"asked_ms": now.Sub(e.requestedAt).Milliseconds(), "after_ms": now.Sub(e.until).Milliseconds()})
	t.drop(u.ID)
}

// Wait returns for how long nothing may be sent to an upstream; 0 if it is available.
func (t *Tracker) Wait(now time.Time, upstream string) time.Duration {
	if t.empty() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[upstream]
	if !ok {
		return 0
	}
	return e.wait(now)
}

// Available returns the upstreams of a list to which requests may be sent. The list is
// not changed.
func (t *Tracker) Available(now time.Time, list []fleet.Upstream) []fleet.Upstream {
	if t.empty() {
		return list
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	inBackoff := func(u fleet.Upstream) bool {
		e, ok := t.entries[u.ID]
		return ok && e.wait(now) > 0
	}
	if !slices.ContainsFunc(list, inBackoff) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), inBackoff)
}

// MaySend reports whether a request may be sent to an upstream now. The first request
// after a backoff is a trial: no other is sent until it is answered.
func (t *Tracker) MaySend(now time.Time, upstream string) bool {
	if t.empty() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[upstream]
	switch {
	case !ok:
		return true
	case e.wait(now) > 0:
		return false
	}
	e.trialAt = now
	return true
}

// AllowException reports whether a request that can go nowhere else may be sent to an
// upstream, even during a backoff, for a limited number of requests.
func (t *Tracker) AllowException(now time.Time, upstream string) bool {
	if t.empty() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[upstream]
	switch {
	case !ok || e.wait(now) == 0:
		return true
	case e.exceptions >= maxExceptions:
		return false
	}
	e.exceptions++
	t.record(Excepted, upstream, logrus.Fields{"left_ms": e.wait(now).Milliseconds(), "exceptions": e.exceptions})
	return true
}

// Names returns the sorted names of a service's upstreams in backoff, as many as fit
// into a report.
func (t *Tracker) Names(now time.Time, service string) []string {
	if t.empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for id, e := range t.entries {
		if e.service == service && e.wait(now) > 0 {
			names = append(names, id)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), maxNames)]
}

// RetryAfter returns the Retry-After for a client that would have to wait that long.
func (t *Tracker) RetryAfter(wait time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return wait + time.Duration(t.random.Int64N(int64(wait/retryJitterDivisor)+1))
}

// Forget drops the backoff of an upstream that has restarted.
func (t *Tracker) Forget(upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(upstream)
}

func (t *Tracker) drop(upstream string) {
	delete(t.entries, upstream)
	t.count.Store(int64(len(t.entries)))
}

// Tick drops backoffs that ended long ago.
func (t *Tracker) Tick(now time.Time) {
	if t.empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if now.Sub(e.resumeAt) > retention {
			t.drop(id)
		}
	}
}

// AddSuspension ages the backoffs by the time for which this machine was suspended.
func (t *Tracker) AddSuspension(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		e.requestedAt, e.until, e.resumeAt = e.requestedAt.Add(-d), e.until.Add(-d), e.resumeAt.Add(-d)
		if !e.trialAt.IsZero() {
			e.trialAt = e.trialAt.Add(-d)
		}
	}
}

// View returns the backoffs, for operators.
func (t *Tracker) View(now time.Time) []wire.RestView {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]wire.RestView, 0, len(t.entries))
	for id, e := range t.entries {
		list = append(list, wire.RestView{Upstream: id, AskedMs: int(now.Sub(e.requestedAt).Milliseconds()), LeftMs: int(e.wait(now).Milliseconds()), Exceptions: e.exceptions})
	}
	slices.SortFunc(list, func(a, b wire.RestView) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

func (t *Tracker) record(change, upstream string, fields logrus.Fields) {
	t.counter.BackoffChanged(change)
	t.log.WithFields(fields).WithFields(logrus.Fields{"upstream": upstream, "change": change}).Info("upstream_rest")
}
