// Package tally counts what is running at each upstream: what this box sent
// there, and what the other boxes last told.
package tally

import (
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
	Tokens   int
}

type told struct {
	at    time.Time
	loads map[string]Load
}

// Tally is safe for use by several goroutines.
type Tally struct {
	mu     sync.Mutex
	own    map[string]Load
	others map[string]told
}

// New returns an empty tally.
func New() *Tally { return &Tally{own: map[string]Load{}, others: map[string]told{}} }

// Begin counts a request of so many tokens at an upstream; the returned
// function takes it off again, once.
func (t *Tally) Begin(upstream string, tokens int) (end func()) {
	t.add(upstream, 1, tokens)
	var once sync.Once
	return func() { once.Do(func() { t.add(upstream, -1, -tokens) }) }
}

func (t *Tally) add(upstream string, requests, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.own[upstream]
	l.Requests += requests
	l.Tokens += tokens
	if l.Requests == 0 {
		delete(t.own, upstream)
		return
	}
	t.own[upstream] = l
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
	list := make([]wire.UpstreamTally, 0, len(t.own))
	for id, l := range t.own {
		list = append(list, wire.UpstreamTally{Upstream: id, Requests: l.Requests, Tokens: l.Tokens})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Upstream < list[j].Upstream })
	return list
}

// Told takes another box's word.
func (t *Tally) Told(now time.Time, box string, list []wire.UpstreamTally) {
	loads := make(map[string]Load, len(list))
	for _, u := range list {
		loads[u.Upstream] = Load{Requests: u.Requests, Tokens: u.Tokens}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.others[box] = told{at: now, loads: loads}
}

// Load returns what runs at an upstream by all that is known.
func (t *Tally) Load(now time.Time, upstream string) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.own[upstream]
	for box, o := range t.others {
		if now.Sub(o.at) > toldFor {
			delete(t.others, box)
			continue
		}
		l := o.loads[upstream]
		sum.Requests += l.Requests
		sum.Tokens += l.Tokens
	}
	return sum
}
