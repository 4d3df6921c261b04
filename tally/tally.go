// Package tally counts what is running at each upstream: what this box sent
// there, and what the other boxes last told.
package tally

import (
	"maps"
	"sort"
	"sync"
	"time"

	"petrelstep/wire"
)

// toldFor is how long another box's word counts: some of its periods of
// gossip, after which it is taken to be gone and its work with it.
const toldFor = 3 * time.Second

// Load is what runs at one upstream.
type Load struct {
	Requests int
	Tokens   int // of memory, at the end of what is running
	Prefill  int // tokens of prompts whose first event has not come
}

func (l Load) plus(o Load) Load {
	return Load{Requests: l.Requests + o.Requests, Tokens: l.Tokens + o.Tokens, Prefill: l.Prefill + o.Prefill}
}

func (l Load) negative() Load {
	return Load{Requests: -l.Requests, Tokens: -l.Tokens, Prefill: -l.Prefill}
}

type told struct {
	at    time.Time
	loads map[string]Load
}

func toldOf(now time.Time, list []wire.UpstreamTally) told {
	loads := make(map[string]Load, len(list))
	for _, u := range list {
		loads[u.Upstream] = Load{Requests: u.Requests, Tokens: u.Tokens, Prefill: u.Prefill}
	}
	return told{at: now, loads: loads}
}

func (o told) fresh(now time.Time) bool { return now.Sub(o.at) <= toldFor }

// Tally is safe for use by several goroutines.
type Tally struct {
	mu     sync.Mutex
	own    map[string]Load
	others map[string]told
	sum    told // of all other boxes, as a hub tells it
}

// New returns an empty tally.
func New() *Tally { return &Tally{own: map[string]Load{}, others: map[string]told{}} }

// Entry is one request that is counted at an upstream.
type Entry struct {
	tally    *Tally
	upstream string
	left     Load // still counted
}

// Begin counts a request at an upstream until its entry ends.
func (t *Tally) Begin(upstream string, l Load) *Entry {
	t.add(upstream, l)
	return &Entry{tally: t, upstream: upstream, left: l}
}

// Started takes the prompt off what is to be read: the first event has come.
func (e *Entry) Started() {
	e.take(Load{Prefill: e.left.Prefill})
}

// End takes off what is still counted. It may be called again.
func (e *Entry) End() { e.take(e.left) }

func (e *Entry) take(l Load) {
	e.left = e.left.plus(l.negative())
	e.tally.add(e.upstream, l.negative())
}

func (t *Tally) add(upstream string, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.own[upstream].plus(l)
	if sum == (Load{}) {
		delete(t.own, upstream)
		return
	}
	t.own[upstream] = sum
}

// Busy tells whether this box has anything at an upstream.
func (t *Tally) Busy(upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.own[upstream].Requests > 0
}

// Own returns what this box has running, for its peers.
func (t *Tally) Own() []wire.UpstreamTally {
	t.mu.Lock()
	defer t.mu.Unlock()
	return listOf(t.own)
}

func listOf(loads map[string]Load) []wire.UpstreamTally {
	list := make([]wire.UpstreamTally, 0, len(loads))
	for id, l := range loads {
		list = append(list, wire.UpstreamTally{Upstream: id, Requests: l.Requests, Tokens: l.Tokens, Prefill: l.Prefill})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Upstream < list[j].Upstream })
	return list
}

// Without returns what all boxes but one have running, for that one.
func (t *Tally) Without(now time.Time, box string) []wire.UpstreamTally {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := maps.Clone(t.own)
	for name, o := range t.others {
		if name == box || !o.fresh(now) {
			continue
		}
		for id, l := range o.loads {
			sum[id] = sum[id].plus(l)
		}
	}
	return listOf(sum)
}

// Told takes another box's word of what it has running.
func (t *Tally) Told(now time.Time, box string, list []wire.UpstreamTally) {
	o := toldOf(now, list)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.others[box] = o
}

// ToldSum takes a hub's word of what all other boxes have running.
func (t *Tally) ToldSum(now time.Time, list []wire.UpstreamTally) {
	o := toldOf(now, list)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum = o
}

// Load returns what runs at an upstream by all that is known: by the sum that a
// hub tells, or by what the others tell themselves.
func (t *Tally) Load(now time.Time, upstream string) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sum.fresh(now) {
		return t.own[upstream].plus(t.sum.loads[upstream])
	}
	sum := t.own[upstream]
	for box, o := range t.others {
		if !o.fresh(now) {
			delete(t.others, box)
			continue
		}
		sum = sum.plus(o.loads[upstream])
	}
	return sum
}
