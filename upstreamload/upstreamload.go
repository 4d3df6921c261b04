// Package upstreamload tracks the load of each upstream: the requests that this box sent
// there, the last reports of the other boxes, and pending reservations.
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
	// reservationMinAge is the age below which a report may not yet include the reserved
	// request: first the grant has to reach the box, then the report this one.
	reservationMinAge = 100 * time.Millisecond
	// reservationMaxAge is when a reservation expires without a report of its box: three
	// gossip intervals.
	reservationMaxAge = 800 * time.Millisecond
	// paceEvents is the number of events over which a stream's pace is averaged, about half
	// a second: a slow engine is detected soon, and a concurrent prefill is smoothed out.
	paceEvents = 8
)

// Load is the load of one upstream.
type Load struct {
	Requests int
	Tokens   int // tokens of memory in use
	Coming   int // tokens that running requests are expected to add to it
	Prefill  int // tokens of prompts without a first event yet
	Paced    int // streams with a known pace
	PaceUs   int // sum of their times between events, in microseconds
}

// Plus returns the sum of both.
func (l Load) Plus(o Load) Load {
	return Load{
		Requests: l.Requests + o.Requests, Tokens: l.Tokens + o.Tokens, Coming: l.Coming + o.Coming, Prefill: l.Prefill + o.Prefill,
		Paced: l.Paced + o.Paced, PaceUs: l.PaceUs + o.PaceUs,
	}
}

// Pace returns the streams' mean time between events, or 0 if it is unknown.
func (l Load) Pace() time.Duration {
	return time.Duration(l.PaceUs/max(l.Paced, 1)) * time.Microsecond
}

// Minus returns the load with the other subtracted.
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

// reservation is capacity at an upstream that was granted to a box whose reports don't
// include it yet.
type reservation struct {
	at       time.Time
	box      string
	upstream string
	load     Load
}

// Tracker is safe for use by several goroutines.
type Tracker struct {
	mu           sync.Mutex
	own          map[string]*Load // sums of this box's entries, by upstream
	reservations []reservation
	others       *peerstate.Totals[Load]
}

// New returns a tracker without any load.
func New() *Tracker { return &Tracker{own: map[string]*Load{}, others: peerstate.New[Load]()} }

// Entry is the load of one request at an upstream.
type Entry struct {
	tracker   *Tracker
	upstream  string
	sum       *Load // of all entries at the upstream
	left      Load  // of this entry, still counted
	lastEvent time.Time
}

// Begin adds a request's load to an upstream until the entry ends.
func (t *Tracker) Begin(upstream string, l Load) *Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum, ok := t.own[upstream]
	if !ok {
		sum = &Load{}
		t.own[upstream] = sum
	}
	*sum = sum.Plus(l)
	return &Entry{tracker: t, upstream: upstream, sum: sum, left: l}
}

// Started records the first event: the prompt has been read.
func (e *Entry) Started() {
	e.subtract(Load{Prefill: e.left.Prefill})
}

// Progress records an event with a number of tokens and the number still expected.
func (e *Entry) Progress(now time.Time, tokens, coming int) {
	pace := e.left.PaceUs
	since := int(now.Sub(e.lastEvent).Microseconds())
	switch {
	case e.lastEvent.IsZero(): // the first event
	case e.left.Paced == 0:
		pace = since
	default:
		pace += (since - pace) / paceEvents
	}
	change := Load{Tokens: -tokens, Coming: e.left.Coming - coming, PaceUs: e.left.PaceUs - pace}
	if !e.lastEvent.IsZero() && e.left.Paced == 0 {
		change.Paced = -1
	}
	e.lastEvent = now
	e.subtract(change)
}

// End removes the rest of the entry's load. Further calls have no effect.
func (e *Entry) End() { e.subtract(e.left) }

func (e *Entry) subtract(l Load) {
	e.left = e.left.Minus(l)
	t := e.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	*e.sum = e.sum.Minus(l)
	if *e.sum == (Load{}) && t.own[e.upstream] == e.sum {
		delete(t.own, e.upstream)
	}
}

// Forget drops all load of an upstream that has restarted: the requests of its previous
// incarnation no longer run. Later calls on their entries have no effect on it.
func (t *Tracker) Forget(upstream string) {
	t.settle(func(r reservation) bool { return r.upstream == upstream })
	t.others.Forget(upstream)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.own, upstream)
}

// ownOf returns this box's load at an upstream. The caller holds the lock.
func (t *Tracker) ownOf(upstream string) Load {
	if sum, ok := t.own[upstream]; ok {
		return *sum
	}
	return Load{}
}

// ownAll returns this box's load by upstream. The caller holds the lock.
func (t *Tracker) ownAll() map[string]Load {
	loads := make(map[string]Load, len(t.own))
	for id, sum := range t.own {
		loads[id] = *sum
	}
	return loads
}

// Busy reports whether this box has requests at an upstream.
func (t *Tracker) Busy(upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownOf(upstream).Requests > 0
}

// Own returns this box's load, as reported to its peers.
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

// Without returns the load of all boxes except one, as sent to that box.
func (t *Tracker) Without(now time.Time, box string) []wire.UpstreamTally {
	t.mu.Lock()
	sum := t.ownAll()
	t.mu.Unlock()
	t.others.AddExcept(now, box, sum)
	return listOf(sum)
}

// Exclusive returns the load of this box and of the boxes that report to it only, for the
// hubs that don't receive their reports, and the number of those boxes.
func (t *Tracker) Exclusive(now time.Time) (list []wire.UpstreamTally, boxes int) {
	t.mu.Lock()
	sum := t.ownAll()
	t.mu.Unlock()
	boxes = t.others.AddExclusive(now, sum)
	return listOf(sum), boxes
}

// SetCoverage records, before a box's report is updated, whether the box reports to this
// box only, and how many other boxes the report includes.
func (t *Tracker) SetCoverage(box string, exclusive bool, c peerstate.Coverage) {
	t.others.SetCoverage(box, exclusive, c)
}

// Update replaces another box's report and drops the reservations that it includes.
func (t *Tracker) Update(now time.Time, box string, list []wire.UpstreamTally) {
	t.others.Update(now, box, loadsOf(list))
	t.settle(func(r reservation) bool { return r.box == box && now.Sub(r.at) > reservationMinAge })
}

// Reserve counts a request that a box may send to an upstream until the box's own
// reports include it.
func (t *Tracker) Reserve(now time.Time, box, upstream string, l Load) {
	t.settle(func(r reservation) bool { return now.Sub(r.at) > reservationMaxAge })
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reservations = append(t.reservations, reservation{now, box, upstream, l})
}

// Release drops a box's reservation at an upstream, as the request is counted by other
// means now.
func (t *Tracker) Release(box, upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := slices.IndexFunc(t.reservations, func(r reservation) bool { return r.box == box && r.upstream == upstream })
	if at >= 0 {
		t.reservations = slices.Delete(t.reservations, at, at+1)
	}
}

// settle drops the reservations for which settled returns true.
func (t *Tracker) settle(settled func(reservation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reservations = slices.DeleteFunc(t.reservations, settled)
}

// UpdateSum replaces a hub's sum of all other boxes' load.
func (t *Tracker) UpdateSum(now time.Time, list []wire.UpstreamTally) {
	t.others.UpdateSum(now, loadsOf(list))
}

// AddSuspension increases the age of the other boxes' reports by the time that this box's
// machine was suspended.
func (t *Tracker) AddSuspension(d time.Duration) { t.others.AddSuspension(d) }

// SumAge returns the time since a hub last sent the sum of all other boxes' load.
func (t *Tracker) SumAge(now time.Time) time.Duration { return t.others.SumAge(now) }

// Boxes returns the number of other boxes with a fresh report.
func (t *Tracker) Boxes(now time.Time) int { return t.others.Boxes(now) }

// RecentBoxes returns the number of boxes that reported to this one within a duration.
func (t *Tracker) RecentBoxes(now time.Time, within time.Duration) int {
	return t.others.RecentBoxes(now, within)
}

// RecentExclusive returns how many of these boxes report to this one only.
func (t *Tracker) RecentExclusive(now time.Time, within time.Duration) int {
	return t.others.RecentExclusive(now, within)
}

// RecentIndirect returns the number of boxes that had recently reported to the boxes that
// reported to this one within a duration.
func (t *Tracker) RecentIndirect(now time.Time, within time.Duration) int {
	return t.others.RecentIndirect(now, within)
}

// Pace returns the mean time between events of this box's streams, or 0 without any.
func (t *Tracker) Pace() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum Load
	for _, l := range t.own {
		sum = sum.Plus(*l)
	}
	return sum.Pace()
}

// Load returns an upstream's load from this box, the other boxes and reservations.
func (t *Tracker) Load(now time.Time, upstream string) Load {
	t.mu.Lock()
	own := t.ownOf(upstream)
	for _, r := range t.reservations {
		if r.upstream == upstream && now.Sub(r.at) <= reservationMaxAge {
			own = own.Plus(r.load)
		}
	}
	t.mu.Unlock()
	return own.Plus(t.others.Of(now, upstream))
}
