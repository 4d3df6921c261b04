// Package counts counts what a box, and all boxes together, sent to the baseline and to
// the candidate of a roll-out, and how it ended.
//
// Each box counts from the order on. Its rows are cumulative, so that a lost report
// makes no difference, and hubs add them up. In a large fleet a box reports to one hub,
// which includes the box's counts in its own reports to other hubs; what the box
// delivered that way is left out of its reports to any other hub.
package counts

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"petrelstep/canary/buckets"
	"petrelstep/fleet"
	"petrelstep/wire"
)

// maxOwnRows bounds the rows of one service that a box counts itself, so that a report
// stays small. Requests to further upstreams count in a row without upstream.
const maxOwnRows = 256

// Counts holds the counts of all orders that are active. It is safe for concurrent use.
type Counts struct {
	active atomic.Int32 // number of services

	mu       sync.Mutex
	services map[string]*service
	peers    map[string]peer
	rows     int // number of rows of other boxes, of all services
}

// peer is another box that reports to this one.
type peer struct {
	at        time.Time
	exclusive bool // it reports to this box only
}

// service holds the counts of one service since its order.
type service struct {
	name      string
	order     int
	target    string
	own       map[key]tally
	others    map[string]map[key]tally // last rows, by box
	total     map[key]tally            // of all others
	exclusive map[key]tally            // of those that report to this box only
	receivers map[string]*receiver
	delivered map[key]tally         // to receivers to which this box reported exclusively
	waiting   map[*request]struct{} // requests of this box that were not answered yet, of upstreams that were not cold
}

// New returns counts without any order.
func New() *Counts {
	return &Counts{services: map[string]*service{}, peers: map[string]peer{}}
}

// Begin counts for an order from now on. A newer order of a service replaces the one
// before it and starts at zero; an older one, or the same, changes nothing.
func (c *Counts) Begin(name string, order int, target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.services[name]; ok {
		if order <= s.order {
			return
		}
		c.remove(s)
	}
	c.services[name] = &service{
		name: name, order: order, target: target,
		own: map[key]tally{}, others: map[string]map[key]tally{}, total: map[key]tally{}, exclusive: map[key]tally{},
		receivers: map[string]*receiver{}, delivered: map[key]tally{}, waiting: map[*request]struct{}{},
	}
	c.active.Store(int32(len(c.services)))
}

// Continue goes on counting for a service's order under another number.
func (c *Counts) Continue(name string, order int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.services[name]; ok {
		s.order = order
	}
}

// SetBefore records how many requests the box sent just before an order, by route.
func (c *Counts) SetBefore(name string, order int, sent map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[name]
	if !ok || s.order != order {
		return
	}
	for route, n := range sent {
		k := key{route: route}
		t := s.own[k]
		t.before = n
		s.own[k] = t
	}
}

// End stops counting for a service.
func (c *Counts) End(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.services[name]; ok {
		c.remove(s)
	}
	c.active.Store(int32(len(c.services)))
}

func (c *Counts) remove(s *service) {
	for _, rows := range s.others {
		c.rows -= len(rows)
	}
	delete(c.services, s.name)
}

// Active reports whether a service is counted.
func (c *Counts) Active(name string) bool {
	if c.active.Load() == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.services[name]
	return ok
}

// Sent counts a request that is sent to an upstream, and returns the function to call
// with its result; nil if the service is not counted. A result that comes after another
// order replaced this one is dropped. The request counts as waiting from its arrival on; zero for not at
// all.
func (c *Counts) Sent(arrives time.Time, name, route string, u fleet.Upstream) (ended func(now time.Time, r Result)) {
	if c.active.Load() == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[name]
	if !ok {
		return nil
	}
	k := s.keyFor(route, u)
	t := s.own[k]
	t.sent++
	t.running++
	s.own[k] = t
	r := &request{counts: c, service: s, key: k, arrives: arrives}
	if !arrives.IsZero() && !u.ColdUntil.After(arrives) {
		s.waiting[r] = struct{}{}
	}
	return r.ended
}

func (s *service) keyFor(route string, u fleet.Upstream) key {
	if u.Release != s.target {
		return key{route: route}
	}
	k := key{route: route, candidate: true, upstream: u.ID}
	if _, ok := s.own[k]; !ok && len(s.own) >= maxOwnRows {
		k.upstream = ""
	}
	return k
}

// request is one request that runs at an upstream.
type request struct {
	counts  *Counts
	service *service
	key     key
	arrives time.Time
	begun   bool // its first event was counted
	paced   bool // its pace was counted
	done    bool
}

// ended counts a result: each time once, and the end once.
func (r *request) ended(_ time.Time, result Result) {
	r.counts.mu.Lock()
	defer r.counts.mu.Unlock()
	if r.done || r.counts.services[r.service.name] != r.service {
		return
	}
	delete(r.service.waiting, r)
	t := r.service.own[r.key]
	if !result.Streaming {
		t.running--
		r.done = true
		if result.Failed {
			t.failed++
			if r.begun {
				t.cut++
			}
		}
	}
	if !result.Failed && !result.Canceled {
		t = r.answered(t, result)
	}
	r.service.own[r.key] = t
}

// answered counts an answer, and its times if the upstream was not cold.
func (r *request) answered(t tally, result Result) tally {
	begins := !r.begun
	r.begun = true
	if begins {
		t.answered++
	}
	if begins && !result.Cold && result.First > 0 { // 0 for one that was resumed from a copy
		t.first = count(t.first, buckets.Of(result.First))
	}
	if result.Pace > 0 && !r.paced && !result.Cold {
		r.paced = true
		t.pace = count(t.pace, buckets.Of(result.Pace))
	}
	return t
}

// Own returns the rows of this box.
func (c *Counts) Own() []wire.ReleaseCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rows []wire.ReleaseCounts
	for _, s := range c.sorted() {
		rows = s.appendRows(rows, s.own)
	}
	return rows
}

func (c *Counts) sorted() []*service {
	var list []*service
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		list = append(list, c.services[name])
	}
	return list
}

func (s *service) appendRows(rows []wire.ReleaseCounts, list map[key]tally) []wire.ReleaseCounts {
	for _, k := range slices.SortedFunc(maps.Keys(list), compareKeys) {
		rows = append(rows, list[k].row(s.name, s.order, k))
	}
	return rows
}
