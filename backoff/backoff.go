// Package backoff knows which upstreams have asked this box to send them nothing for a time.
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
	// restMost bounds what an upstream may ask for at once.
	restMost = time.Hour
	// spreadPart and spreadMost bound how long after its end a box takes an upstream up
	// again: other boxes may have been asked until the same moment.
	spreadPart = 4
	spreadMost = time.Second
	// trialTime is how long the first request after a rest goes alone.
	trialTime = time.Second
	// exceptionsMost is how many sends a rest may be broken by that can go nowhere else.
	// Source: the users' rule on requests within a rest.
	exceptionsMost = 2
	// namesMost bounds the upstreams that are named to others.
	namesMost = 64
	// backPart is the part of their wait by which callers that come back are spread.
	backPart = 3
	// keptFor is how long after a rest an upstream is known to which nothing was sent.
	keptFor = time.Minute
)

// What may become of a rest.
const (
	Asked    = "asked"
	Longer   = "longer"   // asked for again, until later
	Over     = "over"     // an answer after it asked for none
	Excepted = "excepted" // a request went that could go nowhere else
)

// Changes lists every change, for counters.
func Changes() []string { return []string{Asked, Longer, Over, Excepted} }

// Counter counts changes.
type Counter interface {
	Rested(change string)
}

// span is one upstream's rest.
type span struct {
	service    string
	born       int64 // the life of the upstream that asked for it
	asked      time.Time
	until      time.Time
	back       time.Time // this box takes the upstream up again
	trial      time.Time // the last request went after that; zero before
	exceptions int
}

// wait returns for how long nothing may go.
func (s *span) wait(now time.Time) time.Duration {
	if now.Before(s.back) {
		return s.back.Sub(now)
	}
	if s.trial.IsZero() {
		return 0
	}
	return max(s.trial.Add(trialTime).Sub(now), 0)
}

// Tracker is one box's. It is safe for use by several goroutines; a nil one knows of no rest.
type Tracker struct {
	counter Counter
	log     *logrus.Entry
	count   atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
	spans  map[string]*span // by upstream
}

// New returns the rests of a box that was asked for none.
func New(random *rand.Rand, counter Counter, log *logrus.Entry) *Tracker {
	return &Tracker{random: random, counter: counter, log: log, spans: map[string]*span{}}
}

// none tells, without a lock, whether there is no rest at all.
func (r *Tracker) none() bool { return r == nil || r.count.Load() == 0 }

// Asked takes an upstream's word that it wants nothing for a time.
func (r *Tracker) Asked(now time.Time, u fleet.Upstream, d time.Duration) {
	if r == nil || d <= 0 {
		return
	}
	d = min(d, restMost)
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.spans[u.ID]
	if known && u.StartedAt < s.born {
		return
	}
	if !known || u.StartedAt > s.born {
		s = &span{service: u.Service, born: u.StartedAt, asked: now}
		r.spans[u.ID] = s
		r.count.Store(int64(len(r.spans)))
	}
	until := now.Add(d)
	if !until.After(s.until) {
		return
	}
	change := Asked
	if now.Before(s.back) {
		change = Longer
	} else {
		s.asked, s.exceptions = now, 0
	}
	s.until, s.trial = until, time.Time{}
	s.back = until.Add(time.Duration(r.random.Int64N(int64(min(d/spreadPart, spreadMost)) + 1)))
	r.note(change, u.ID, logrus.Fields{"rest_ms": d.Milliseconds(), "left_ms": s.back.Sub(now).Milliseconds(), "born": u.StartedAt})
}

// Answered takes an answer that asks for no rest, to a request that was sent at a time.
func (r *Tracker) Answered(now, sent time.Time, u fleet.Upstream) {
	if r.none() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.spans[u.ID]
	if !known || u.StartedAt < s.born || sent.Before(s.back) {
		return
	}
	r.note(Over, u.ID, logrus.Fields{"asked_ms": now.Sub(s.asked).Milliseconds(), "after_ms": now.Sub(s.until).Milliseconds()})
	r.drop(u.ID)
}

// Wait returns for how long nothing may go to an upstream; 0 if it may.
func (r *Tracker) Wait(now time.Time, upstream string) time.Duration {
	if r.none() {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.spans[upstream]
	if !ok {
		return 0
	}
	return s.wait(now)
}

// Without returns the upstreams of a list to which something may go. The list is not
// changed.
func (r *Tracker) Without(now time.Time, list []fleet.Upstream) []fleet.Upstream {
	if r.none() {
		return list
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rests := func(u fleet.Upstream) bool {
		s, ok := r.spans[u.ID]
		return ok && s.wait(now) > 0
	}
	if !slices.ContainsFunc(list, rests) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), rests)
}

// MaySend tells whether a request that is about to go to an upstream may. The first after a
// rest goes alone until it is answered.
func (r *Tracker) MaySend(now time.Time, upstream string) bool {
	if r.none() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.spans[upstream]
	switch {
	case !ok:
		return true
	case s.wait(now) > 0:
		return false
	}
	s.trial = now
	return true
}

// MayExcept tells whether what can go nowhere else may go to an upstream: where it rests, as
// long as there are few exceptions.
func (r *Tracker) MayExcept(now time.Time, upstream string) bool {
	if r.none() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.spans[upstream]
	switch {
	case !ok || s.wait(now) == 0:
		return true
	case s.exceptions >= exceptionsMost:
		return false
	}
	s.exceptions++
	r.note(Excepted, upstream, logrus.Fields{"left_ms": s.wait(now).Milliseconds(), "exceptions": s.exceptions})
	return true
}

// Names returns the upstreams of a service to which nothing may go, by name: as many as
// others are told of.
func (r *Tracker) Names(now time.Time, service string) []string {
	if r.none() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for id, s := range r.spans {
		if s.service == service && s.wait(now) > 0 {
			names = append(names, id)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), namesMost)]
}

// Back returns when a caller is to come back that would have to wait so long.
func (r *Tracker) Back(wait time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return wait + time.Duration(r.random.Int64N(int64(wait/backPart)+1))
}

// Forget drops what an upstream asked for, as it has started again.
func (r *Tracker) Forget(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(upstream)
}

func (r *Tracker) drop(upstream string) {
	delete(r.spans, upstream)
	r.count.Store(int64(len(r.spans)))
}

// Tick drops rests that ended long ago.
func (r *Tracker) Tick(now time.Time) {
	if r.none() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, s := range r.spans {
		if now.Sub(s.back) > keptFor {
			r.drop(id)
		}
	}
}

// Older lets rests run on by a time in which this box's machine was suspended.
func (r *Tracker) Older(by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.spans {
		s.asked, s.until, s.back = s.asked.Add(-by), s.until.Add(-by), s.back.Add(-by)
		if !s.trial.IsZero() {
			s.trial = s.trial.Add(-by)
		}
	}
}

// View returns the rests, for operators.
func (r *Tracker) View(now time.Time) []wire.RestView {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]wire.RestView, 0, len(r.spans))
	for id, s := range r.spans {
		list = append(list, wire.RestView{Upstream: id, AskedMs: int(now.Sub(s.asked).Milliseconds()), LeftMs: int(s.wait(now).Milliseconds()), Exceptions: s.exceptions})
	}
	slices.SortFunc(list, func(a, b wire.RestView) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

func (r *Tracker) note(change, upstream string, fields logrus.Fields) {
	r.counter.Rested(change)
	r.log.WithFields(fields).WithFields(logrus.Fields{"upstream": upstream, "change": change}).Info("upstream_rest")
}
