// Package links tracks which upstreams this box reaches over its own network. An upstream that
// it does not reach and another box does is cut off from this box; one that neither reaches may
// have ended.
package links

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/wire"
)

// Outcomes of opening a connection to an upstream.
const (
	Connected = "connected"
	TimedOut  = "timed_out"
	Refused   = "refused"
	Failed    = "failed"
)

// Outcomes returns all outcomes, for counters.
func Outcomes() []string { return []string{Connected, TimedOut, Refused, Failed} }

// Changes of a link.
const (
	Lost     = "lost"
	Restored = "restored"
)

// Changes returns all changes, for counters.
func Changes() []string { return []string{Lost, Restored} }

const (
	// minUnreached is the number of upstreams that must be unreached in a row, none
	// reached between, for the box to report it: one may have ended.
	minUnreached = 2
	// maxUnreached bounds the number of unreached upstreams that are counted.
	maxUnreached = 64
	// minCut is the number of upstreams of a group that must be cut off, none of the
	// group reached since, for the group to count as cut off.
	minCut = 2
	// maxCut bounds the number of upstreams that are known one by one to be cut off.
	maxCut = 64
	// checkInterval is the time between checks of links that are cut.
	checkInterval = time.Second
	// maxChecks bounds the links that are checked at a time while none is restored, and
	// maxRestoredChecks once one is.
	maxChecks         = 4
	maxRestoredChecks = 32
)

// Target is an upstream to which a connection is opened. Values are immutable.
type Target struct {
	Address  string
	Upstream string   // id; empty if unknown, as are Service and Hall then
	Service  string   //
	Hall     string   //
	Request  string   // id of the request that is sent, for the log; empty for a call of the box's own
	Regions  []string // where the request may be served; empty for anywhere
	Check    bool     // it is only to be found out whether the upstream has ended, soon
}

// groups returns the groups of upstreams that a target belongs to.
func (t Target) groups() []string {
	if t.Upstream == "" {
		return []string{""}
	}
	return []string{"", "service " + t.Service, "hall " + t.Hall}
}

// Counter counts connections and changes of links.
type Counter interface {
	Dialed(outcome string)
	LinkChanged(change string)
}

// cutLink is the link to an upstream that another box reached.
type cutLink struct {
	target    Target
	since     time.Time
	confirmed time.Time // when another box last reached the upstream
	checked   time.Time
	peer      string // that box
}

// reachedLast are the upstreams that this box reached last. Values are immutable.
type reachedLast struct{ last, before Target }

// Links is safe for concurrent use.
type Links struct {
	counter Counter
	log     *logrus.Entry
	quiet   atomic.Bool // nothing is unreached or cut off
	last    atomic.Pointer[reachedLast]

	mu        sync.Mutex
	unreached map[string]string // outcomes by address, since the last connection
	since     time.Time         // of the first of them

	cut       map[string]*cutLink  // by address
	connected map[string]time.Time // last connection by group, while any link is cut
	lost      map[string]time.Time // groups that are cut off, and since when
	nextCheck time.Time
	restored  bool // a link was restored since the last check
}

// New returns Links that have not tried any upstream.
func New(counter Counter, log *logrus.Entry) *Links {
	l := &Links{
		counter: counter, log: log, unreached: map[string]string{}, cut: map[string]*cutLink{}, connected: map[string]time.Time{},
		lost: map[string]time.Time{},
	}
	l.quiet.Store(true)
	return l
}

// Quiet reports whether nothing suggests that a link is cut.
func (l *Links) Quiet() bool { return l.quiet.Load() }

func (l *Links) updateQuiet() { l.quiet.Store(len(l.unreached) == 0 && len(l.cut) == 0) }

// Dialed records the outcome of a connection that this box tried to open itself.
func (l *Links) Dialed(now time.Time, t Target, outcome string) {
	l.counter.Dialed(outcome)
	if outcome == Connected {
		l.storeLast(t)
		if l.quiet.Load() {
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.updateQuiet()
	if outcome == Connected {
		l.reached(now, t)
		return
	}
	_, isCut := l.cut[t.Address]
	if _, known := l.unreached[t.Address]; known || isCut || len(l.unreached) >= maxUnreached {
		return
	}
	if len(l.unreached) == 0 {
		l.since = now
	}
	l.unreached[t.Address] = outcome
	if len(l.unreached) == minUnreached {
		l.log.WithFields(logrus.Fields{
			"upstream": t.Upstream, "outcome": outcome, "upstreams": len(l.unreached), "since_ms": now.Sub(l.since).Milliseconds(),
		}).Warn("no_upstream_reached")
	}
}

// reached records that an upstream was reached; the lock is held.
func (l *Links) reached(now time.Time, t Target) {
	if len(l.unreached) >= minUnreached {
		l.log.WithFields(logrus.Fields{
			"upstream": t.Upstream, "upstreams": len(l.unreached), "since_ms": now.Sub(l.since).Milliseconds(),
		}).Info("upstream_reached")
	}
	clear(l.unreached)
	if len(l.cut) == 0 {
		return
	}
	if c, ok := l.cut[t.Address]; ok {
		l.restore(now, c, "connected")
	}
	for _, group := range t.groups() {
		l.connected[group] = now
		if since, ok := l.lost[group]; ok {
			delete(l.lost, group)
			l.log.WithFields(logrus.Fields{"group": group, "upstream": t.Upstream, "cut_ms": now.Sub(since).Milliseconds()}).Info("links_restored")
		}
	}
}

// restore records that a link is no longer cut, or no longer of interest; the lock is held.
func (l *Links) restore(now time.Time, c *cutLink, why string) {
	delete(l.cut, c.target.Address)
	l.restored, l.nextCheck = true, now
	l.counter.LinkChanged(Restored)
	l.log.WithFields(logrus.Fields{"upstream": c.target.Upstream, "cut_ms": now.Sub(c.since).Milliseconds(), "why": why, "left": len(l.cut)}).Info("link_restored")
	if len(l.cut) == 0 {
		clear(l.connected)
		clear(l.lost)
	}
}

// ReachedByPeer records that another box reached an upstream that this box did not.
func (l *Links) ReachedByPeer(now time.Time, t Target, peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.updateQuiet()
	delete(l.unreached, t.Address)
	if c, ok := l.cut[t.Address]; ok {
		c.confirmed, c.peer = now, peer
		return
	}
	if len(l.cut) >= maxCut {
		return
	}
	l.cut[t.Address] = &cutLink{target: t, since: now, confirmed: now, checked: now, peer: peer}
	if len(l.cut) == 1 {
		l.nextCheck = now.Add(checkInterval)
	}
	l.counter.LinkChanged(Lost)
	l.log.WithFields(logrus.Fields{"upstream": t.Upstream, "hall": t.Hall, "service": t.Service, "peer": peer, "cut": len(l.cut), "request": t.Request}).Warn("link_lost")
	for _, group := range t.groups() {
		if _, known := l.lost[group]; known || l.countCut(group) < minCut {
			continue
		}
		l.lost[group] = now
		l.log.WithFields(logrus.Fields{"group": group, "upstreams": l.countCut(group), "peer": peer}).Warn("links_lost")
	}
}

// countCut returns the number of upstreams of a group that are cut off, if none of the group
// was reached since; the lock is held.
func (l *Links) countCut(group string) (n int) {
	for _, c := range l.cut {
		if slices.Contains(c.target.groups(), group) && c.confirmed.After(l.connected[group]) {
			n++
		}
	}
	return n
}

// Cut reports whether the link to an upstream is believed to be cut.
func (l *Links) Cut(t Target) bool {
	if l.quiet.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.cut[t.Address]; ok {
		return true
	}
	return slices.ContainsFunc(t.groups(), func(group string) bool {
		_, lost := l.lost[group]
		return lost
	})
}

// storeLast records the upstream that was reached last.
func (l *Links) storeLast(t Target) {
	known := l.last.Load()
	switch {
	case known == nil:
		l.last.Store(&reachedLast{last: t})
	case known.last.Address != t.Address:
		l.last.Store(&reachedLast{last: t, before: known.last})
	}
}

// LastReached returns the upstream other than t that this box reached last; false if there is none.
func (l *Links) LastReached(t Target) (last Target, ok bool) {
	known := l.last.Load()
	switch {
	case known == nil:
		return Target{}, false
	case known.last.Address != t.Address:
		return known.last, true
	}
	return known.before, known.before.Address != ""
}

// Doubtful reports whether this box has reached none of the last upstreams that it tried, and it is
// unknown whether others do, so that what it does not reach says nothing about an upstream.
func (l *Links) Doubtful() bool {
	if l.quiet.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unreached) >= minUnreached
}

// UnreachedByPeer records that another box, which reaches other upstreams, did not reach one
// either: it says nothing about this box's links.
func (l *Links) UnreachedByPeer(t Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unreached, t.Address)
	l.updateQuiet()
}

// Checks returns the upstreams to which a connection is to be opened now, to find out
// whether their links are restored: those that were not checked for longest. Links to upstreams
// that are not known any more are dropped.
func (l *Links) Checks(now time.Time, known func(t Target) bool) []Target {
	if l.quiet.Load() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.updateQuiet()
	if len(l.cut) == 0 || now.Before(l.nextCheck) {
		return nil
	}
	var due []*cutLink
	for _, c := range l.cut {
		if !known(c.target) {
			l.restore(now, c, "upstream_gone")
			continue
		}
		due = append(due, c)
	}
	slices.SortFunc(due, func(a, b *cutLink) int {
		return cmp.Or(a.checked.Compare(b.checked), cmp.Compare(a.target.Address, b.target.Address))
	})
	limit := maxChecks
	if l.restored {
		limit = maxRestoredChecks
	}
	l.nextCheck, l.restored = now.Add(checkInterval), false
	list := make([]Target, 0, limit)
	for _, c := range due[:min(len(due), limit)] {
		c.checked = now
		list = append(list, c.target)
	}
	return list
}

// View returns the links that are cut, for operators.
func (l *Links) View(now time.Time) []wire.LinkView {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]wire.LinkView, 0, len(l.cut))
	for _, c := range l.cut {
		list = append(list, wire.LinkView{Upstream: c.target.Upstream, Address: c.target.Address, SinceMs: int(now.Sub(c.since).Milliseconds()), Peer: c.peer})
	}
	slices.SortFunc(list, func(a, b wire.LinkView) int { return cmp.Compare(a.Address, b.Address) })
	return list
}
