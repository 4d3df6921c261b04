// Package upstreamload counts what is running at each upstream: what this box sent
// there, and what the other boxes last told.
package upstreamload

import (
	"slices"
	"sort"
	"sync"
	"time"

	"petrelstep/peerstate"
	"petrelstep/wire"
)

const (
	// promiseSettles is how long after a promise its box's word may still lack what
	// it was made for: the answer travels to the box and the word back, some
	// milliseconds each, and half as long as a lost packet's second sending.
	promiseSettles = 100 * time.Millisecond
	// promiseLapses is when a promise is forgotten whose box says nothing: three of
	// the periods of gossip.
	promiseLapses = 800 * time.Millisecond
	// paceEvents is over how many events the pace of a stream is averaged: half a
	// second's, so that an engine that turns slow is seen before prompts are sent
	// there, and a prompt that is read beside is not taken for it.
	paceEvents = 8
)

// Load is what runs at one upstream.
type Load struct {
	Requests int
	Tokens   int // of memory that is held now
	Coming   int // tokens of memory that what runs is expected to take yet
	Prefill  int // tokens of prompts whose first event has not come
	Paced    int // streams whose pace is known
	PaceUs   int // microseconds between the events of each of them, summed
}

// Plus returns the sum of both.
func (l Load) Plus(o Load) Load {
	return Load{
		Requests: l.Requests + o.Requests, Tokens: l.Tokens + o.Tokens, Coming: l.Coming + o.Coming, Prefill: l.Prefill + o.Prefill,
		Paced: l.Paced + o.Paced, PaceUs: l.PaceUs + o.PaceUs,
	}
}

// Pace returns the mean time between events of the streams there; 0 where it is
// not known.
func (l Load) Pace() time.Duration {
	return time.Duration(l.PaceUs/max(l.Paced, 1)) * time.Microsecond
}

// Minus returns the load without another.
func (l Load) Minus(o Load) Load {
	return Load{
		Requests: l.Requests - o.Requests, Tokens: l.Tokens - o.Tokens, Coming: l.Coming - o.Coming, Prefill: l.Prefill - o.Prefill,
		Paced: l.Paced - o.Paced, PaceUs: l.PaceUs - o.PaceUs,
	}
}

func loadsOf(list []wire.UpstreamTally) map[string]Load {
	loads := make(map[string]Load, len(list))
	for _, u := range list {
		loads[u.Upstream] = Load{
			Requests: u.Requests, Tokens: u.Tokens, Coming: u.Coming, Prefill: u.Prefill, Paced: u.Paced, PaceUs: u.PaceUs,
		}
	}
	return loads
}

// promise is room at an upstream that a box was told to take.
type promise struct {
	at       time.Time
	box      string
	upstream string
	load     Load
}

// Tracker is safe for use by several goroutines.
type Tracker struct {
	mu       sync.Mutex
	own      map[string]*Load // what entries have begun, by upstream
	promises []promise
	others   *peerstate.Totals[Load]
}

// New returns an empty tally.
func New() *Tracker { return &Tracker{own: map[string]*Load{}, others: peerstate.New[Load]()} }

// Entry is one request that is counted at an upstream.
type Entry struct {
	tally    *Tracker
	upstream string
	sum      *Load     // of all that count there with it
	left     Load      // still counted
	paced    time.Time // the last event
}

// Begin counts a request at an upstream until its entry ends.
func (t *Tracker) Begin(upstream string, l Load) *Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum, ok := t.own[upstream]
	if !ok {
		sum = &Load{}
		t.own[upstream] = sum
	}
	*sum = sum.Plus(l)
	return &Entry{tally: t, upstream: upstream, sum: sum, left: l}
}

// Started takes the prompt off what is to be read: the first event has come.
func (e *Entry) Started() {
	e.take(Load{Prefill: e.left.Prefill})
}

// Progress notes an event of so many tokens, and how many are expected yet.
func (e *Entry) Progress(now time.Time, tokens, coming int) {
	pace := e.left.PaceUs
	since := int(now.Sub(e.paced).Microseconds())
	switch {
	case e.paced.IsZero(): // the first
	case e.left.Paced == 0:
		pace = since
	default:
		pace += (since - pace) / paceEvents
	}
	change := Load{Tokens: -tokens, Coming: e.left.Coming - coming, PaceUs: e.left.PaceUs - pace}
	if !e.paced.IsZero() && e.left.Paced == 0 {
		change.Paced = -1
	}
	e.paced = now
	e.take(change)
}

// End takes off what is still counted. It may be called again.
func (e *Entry) End() { e.take(e.left) }

func (e *Entry) take(l Load) {
	e.left = e.left.Minus(l)
	t := e.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	*e.sum = e.sum.Minus(l)
	if *e.sum == (Load{}) && t.own[e.upstream] == e.sum {
		delete(t.own, e.upstream)
	}
}

// Forget drops all that is counted at an upstream, as it has started again: what its
// last incarnation had runs no longer. Entries begun before count nowhere.
func (t *Tracker) Forget(upstream string) {
	t.settle(func(p promise) bool { return p.upstream == upstream })
	t.others.Forget(upstream)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.own, upstream)
}

// ownOf returns what this box has running at an upstream.
func (t *Tracker) ownOf(upstream string) Load {
	if sum, ok := t.own[upstream]; ok {
		return *sum
	}
	return Load{}
}

// ownAll returns what this box has running, by upstream.
func (t *Tracker) ownAll() map[string]Load {
	loads := make(map[string]Load, len(t.own))
	for id, sum := range t.own {
		loads[id] = *sum
	}
	return loads
}

// Busy tells whether this box has anything at an upstream.
func (t *Tracker) Busy(upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownOf(upstream).Requests > 0
}

// Own returns what this box has running, for its peers.
func (t *Tracker) Own() []wire.UpstreamTally {
	t.mu.Lock()
	defer t.mu.Unlock()
	return listOf(t.ownAll())
}

func listOf(loads map[string]Load) []wire.UpstreamTally {
	list := make([]wire.UpstreamTally, 0, len(loads))
	for id, l := range loads {
		list = append(list, wire.UpstreamTally{
			Upstream: id, Requests: l.Requests, Tokens: l.Tokens, Coming: l.Coming, Prefill: l.Prefill, Paced: l.Paced, PaceUs: l.PaceUs,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Upstream < list[j].Upstream })
	return list
}

// Without returns what all boxes but one have running, for that one.
func (t *Tracker) Without(now time.Time, box string) []wire.UpstreamTally {
	t.mu.Lock()
	sum := t.ownAll()
	t.mu.Unlock()
	t.others.AddExcept(now, box, sum)
	return listOf(sum)
}

// Exclusive returns what this box has running and those that tell it alone, for the boxes
// that do not hear them, and how many those are.
func (t *Tracker) Exclusive(now time.Time) (list []wire.UpstreamTally, boxes int) {
	t.mu.Lock()
	sum := t.ownAll()
	t.mu.Unlock()
	boxes = t.others.AddExclusive(now, sum)
	return listOf(sum), boxes
}

// SetCoverage notes, before a box's word is taken, whether it tells this box alone, and whom
// besides it the word holds.
func (t *Tracker) SetCoverage(box string, only bool, c peerstate.Coverage) {
	t.others.SetCoverage(box, only, c)
}

// Update takes another box's word of what it has running.
func (t *Tracker) Update(now time.Time, box string, list []wire.UpstreamTally) {
	t.others.Update(now, box, loadsOf(list))
	t.settle(func(p promise) bool { return p.box == box && now.Sub(p.at) > promiseSettles })
}

// Promise counts what a box was told to send to an upstream until the box's own
// word has it.
func (t *Tracker) Reserve(now time.Time, box, upstream string, l Load) {
	t.settle(func(p promise) bool { return now.Sub(p.at) > promiseLapses })
	t.mu.Lock()
	defer t.mu.Unlock()
	t.promises = append(t.promises, promise{now, box, upstream, l})
}

// Release ends a box's promise at an upstream: it is counted otherwise now.
func (t *Tracker) Release(box, upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := slices.IndexFunc(t.promises, func(p promise) bool { return p.box == box && p.upstream == upstream })
	if at >= 0 {
		t.promises = slices.Delete(t.promises, at, at+1)
	}
}

func (t *Tracker) settle(settled func(promise) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.promises = slices.DeleteFunc(t.promises, settled)
}

// UpdateSum takes a hub's word of what all other boxes have running.
func (t *Tracker) UpdateSum(now time.Time, list []wire.UpstreamTally) {
	t.others.UpdateSum(now, loadsOf(list))
}

// Older makes what other boxes told older: this box's machine was suspended.
func (t *Tracker) Older(by time.Duration) { t.others.Older(by) }

// SumAge returns how long ago a hub last told what all other boxes have running.
func (t *Tracker) SumAge(now time.Time) time.Duration { return t.others.SumAge(now) }

// Boxes returns how many other boxes have told this one of late what they run.
func (t *Tracker) Boxes(now time.Time) int { return t.others.Boxes(now) }

// RecentBoxes returns how many other boxes have told this one within a time what they run.
func (t *Tracker) RecentBoxes(now time.Time, within time.Duration) int {
	return t.others.RecentBoxes(now, within)
}

// RecentExclusive returns how many of them tell this box alone.
func (t *Tracker) RecentExclusive(now time.Time, within time.Duration) int {
	return t.others.RecentExclusive(now, within)
}

// RecentIndirect returns how many boxes had just told others that told this one within a
// time.
func (t *Tracker) RecentIndirect(now time.Time, within time.Duration) int {
	return t.others.RecentIndirect(now, within)
}

// Pace returns the mean time between events of this box's streams; 0 while it has
// none.
func (t *Tracker) Pace() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum Load
	for _, l := range t.own {
		sum = sum.Plus(*l)
	}
	return sum.Pace()
}

// Load returns what runs at an upstream by all that is known.
func (t *Tracker) Load(now time.Time, upstream string) Load {
	t.mu.Lock()
	own := t.ownOf(upstream)
	for _, p := range t.promises {
		if p.upstream == upstream && now.Sub(p.at) <= promiseLapses {
			own = own.Plus(p.load)
		}
	}
	t.mu.Unlock()
	return own.Plus(t.others.Of(now, upstream))
}
