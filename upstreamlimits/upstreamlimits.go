// Package upstreamlimits knows how many requests a second upstreams say that they take from
// all boxes together, by the answers that this box got and by what the others told.
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
	// noteFrom is by which part a limit must change to be noted and told: one that
	// changes with each answer would else fill the log and the calls of gossip.
	noteFrom = 0.1
	// tellEvery is how often the same limit is told to hubs with another value.
	tellEvery = 2 * time.Second
	// fallsTo is the part of a limit to which it must fall to be told to them at once: by
	// less than that the sum stays below one and a half times the limit.
	fallsTo = 0.75
	// roughFrom is by which part a value must change to be told to other boxes, and
	// roughEvery how often it is: the keeper has the exact value with each ask.
	roughFrom  = 0.5
	roughEvery = 20 * time.Second
	// easesFor is how long a limit that has ended eases off, as one answer may lack the
	// word that the next has: it is twice as high each easesTwice, from what it was and
	// easesFrom requests a second more.
	easesFor   = 500 * time.Millisecond
	easesTwice = 100 * time.Millisecond
	easesFrom  = 4
	// endedFor is how long it is known that a limit has ended, so that a box that was
	// cut off meanwhile does not bring it back.
	endedFor = time.Minute
)

// What may become of a limit.
const (
	Named      = "named"
	Changed    = "changed"
	Ended      = "ended"
	Unreadable = "unreadable"
)

// Where the news of a limit is from.
const (
	fromAnswer = "answer"
	fromPeer   = "peer"
	fromHub    = "hub"
)

// Changes lists every change, for counters.
func Changes() []string { return []string{Named, Changed, Ended, Unreadable} }

// Counter counts changes.
type Counter interface {
	Limited(change string)
}

// limit is what is known of one upstream.
type limit struct {
	born       int64 // the life of the upstream that said it; 0 where it is not known
	period     int   // rises with each time that a limit is named after one has ended
	holds      bool
	perSecond  float64
	at         time.Time // when it was last said, or has ended
	fine       telling   // to hubs
	rough      telling   // to other boxes
	unreadable bool      // the last word was
}

// telling is what was last told of a limit.
type telling struct {
	value   float64
	at      time.Time
	changed int // number of that change
}

// due tells whether another value is to be told.
func (t telling) due(now time.Time, value, from float64, every time.Duration) bool {
	return math.Abs(value-t.value) > from*t.value && now.Sub(t.at) >= every
}

// Tracker is one box's. It is safe for use by several goroutines.
type Tracker struct {
	counter Counter
	log     *logrus.Entry

	mu      sync.Mutex
	list    map[string]*limit // by upstream
	changes int
}

// New returns the limits of a box that has heard of none.
func New(counter Counter, log *logrus.Entry) *Tracker {
	return &Tracker{counter: counter, log: log, list: map[string]*limit{}}
}

// Of returns how many requests a second an upstream takes, and when that was last said;
// false if it takes all.
func (l *Tracker) Of(now time.Time, upstream string) (perSecond float64, at time.Time, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	have, ok := l.list[upstream]
	if !ok {
		return 0, time.Time{}, false
	}
	since := now.Sub(have.at)
	switch {
	case have.holds:
		return have.perSecond, have.at, true
	case have.period == 0 || since >= easesFor:
		return 0, time.Time{}, false
	}
	return (have.perSecond + easesFrom) * math.Exp2(max(since.Seconds(), 0)/easesTwice.Seconds()), have.at, true
}

// All returns the upstreams that name a limit, by name.
func (l *Tracker) All() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for id, have := range l.list {
		if have.holds {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// Heard takes what an upstream says in an answer to a request that was sent at a time.
// One that has not run the request, or whose answer may be another's (whole is false),
// may leave out what still holds; so may one that was asked before it named its limit.
func (l *Tracker) Heard(now, sent time.Time, u fleet.Upstream, said exchange.Limit, whole bool) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	have, known := l.list[u.ID]
	switch {
	case known && u.StartedAt < have.born: // it has started again since
	case said.Said == exchange.LimitNamed:
		have = l.of(u.ID, u.StartedAt)
		if !have.holds {
			have.period++
		}
		l.named(now, u.ID, have, said.PerSecond, now, fromAnswer)
	case said.Said == exchange.LimitUnreadable:
		l.unreadable(now, u)
	case known && have.holds && whole && sent.After(have.at):
		l.ended(now, u.ID, have, now, fromAnswer)
	}
}

// of returns the entry of an upstream's life.
func (l *Tracker) of(upstream string, born int64) *limit {
	have, ok := l.list[upstream]
	if !ok {
		have = &limit{born: born}
		l.list[upstream] = have
	}
	have.born = max(have.born, born)
	return have
}

// named takes the value of a limit. What a hub told is not told to hubs again: each hears
// it from that one.
func (l *Tracker) named(now time.Time, upstream string, have *limit, perSecond float64, at time.Time, source string) {
	first, was := !have.holds, have.fine.value
	have.holds, have.perSecond, have.at, have.unreadable = true, perSecond, at, false
	switch {
	case first:
		l.note(Named, upstream, logrus.Fields{"per_second": perSecond, "source": source, "age_ms": now.Sub(at).Milliseconds(), "period": have.period})
		l.tell(&have.fine, now, perSecond)
		l.tell(&have.rough, now, perSecond)
		return
	case have.fine.due(now, perSecond, noteFrom, tellEvery) || perSecond < fallsTo*was:
		l.note(Changed, upstream, logrus.Fields{"per_second": perSecond, "was": was, "source": source, "age_ms": now.Sub(at).Milliseconds()})
		if source == fromHub {
			have.fine.value, have.fine.at = perSecond, now
		} else {
			l.tell(&have.fine, now, perSecond)
		}
	}
	if have.rough.due(now, perSecond, roughFrom, roughEvery) {
		l.tell(&have.rough, now, perSecond)
	}
}

func (l *Tracker) ended(now time.Time, upstream string, have *limit, at time.Time, source string) {
	l.note(Ended, upstream, logrus.Fields{"was": have.perSecond, "named_ms": now.Sub(have.at).Milliseconds(), "source": source, "age_ms": now.Sub(at).Milliseconds()})
	have.holds, have.at = false, at
	l.tell(&have.fine, now, 0)
	l.tell(&have.rough, now, 0)
}

// tell lets the others be told of a change.
func (l *Tracker) tell(t *telling, now time.Time, value float64) {
	l.changes++
	t.value, t.at, t.changed = value, now, l.changes
}

// unreadable notes a word that is no limit; what was named before holds on.
func (l *Tracker) unreadable(now time.Time, u fleet.Upstream) {
	have := l.of(u.ID, u.StartedAt)
	if !have.unreadable {
		l.note(Unreadable, u.ID, logrus.Fields{"holds": have.holds, "per_second": have.perSecond})
	}
	have.unreadable = true
	if have.at.IsZero() {
		have.at = now
	}
}

func (l *Tracker) note(change, upstream string, fields logrus.Fields) {
	l.counter.Limited(change)
	l.log.WithFields(fields).WithFields(logrus.Fields{"upstream": upstream, "change": change}).Info("upstream_limit")
}

// Forget drops what is known of an upstream, as it has started again.
func (l *Tracker) Forget(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.list, upstream)
}

// Tick drops what is known of upstreams that are gone, and of limits that ended long ago.
func (l *Tracker) Tick(now time.Time, known func(upstream string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, have := range l.list {
		if now.Sub(have.at) > endedFor && (!have.holds || !known(id)) {
			delete(l.list, id)
		}
	}
}

// Older makes what was heard older: this box's machine was suspended.
func (l *Tracker) Older(by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, have := range l.list {
		have.at = have.at.Add(-by)
	}
}
