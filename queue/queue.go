// Package queue holds requests that wait for room and says which should go
// next: by priority class, then by response ratio (wait over expected cost:
// small requests go early, none starves), weighed by each organisation's
// recent use against its fair share.
package queue

import (
	"math"
	"sort"
	"time"
)

const (
	// ageClass is the wait that lifts a request by one priority class.
	ageClass = 120 * time.Second
	// halfLife is how fast an organisation's use is forgotten.
	halfLife = 30 * time.Second
	// fairnessMost bounds by how much use can hold an organisation back.
	fairnessMost = 8.0
	// patience is added to each wait, so that among the newly come the cheap
	// go first.
	patience = 2 * time.Second
)

// Item is a request that waits.
type Item struct {
	ID           string
	Organisation string
	Weight       int
	Priority     int
	Cost         float64 // expected memory times time, token-seconds
	Arrived      time.Time
	Deadline     time.Time
	Value        any
}

type use struct {
	cost   float64 // decayed token-seconds granted, over the weight
	weight int
	at     time.Time
}

// Queue is not safe for use by several goroutines.
type Queue struct {
	most  int
	items map[string]*Item
	uses  map[string]*use
}

// New returns an empty queue for at most so many requests.
func New(most int) *Queue {
	return &Queue{most: most, items: map[string]*Item{}, uses: map[string]*use{}}
}

// Len returns how many wait.
func (q *Queue) Len() int { return len(q.items) }

// Push adds a request; false if the queue is full.
func (q *Queue) Push(it Item) bool {
	if len(q.items) >= q.most {
		return false
	}
	q.items[it.ID] = &it
	return true
}

// Remove takes a request out; false if it was not there.
func (q *Queue) Remove(id string) bool {
	_, ok := q.items[id]
	delete(q.items, id)
	return ok
}

// Granted takes a request out and charges its organisation.
func (q *Queue) Granted(now time.Time, it Item) {
	delete(q.items, it.ID)
	u := q.useOf(now, it.Organisation, it.Weight)
	u.cost += it.Cost / float64(max(it.Weight, 1))
}

// Expired takes out and returns what waited beyond its deadline.
func (q *Queue) Expired(now time.Time) []Item {
	var late []Item
	for id, it := range q.items {
		if now.After(it.Deadline) {
			late = append(late, *it)
			delete(q.items, id)
		}
	}
	sort.Slice(late, func(i, j int) bool { return late[i].ID < late[j].ID })
	return late
}

// Cost returns the summed cost of what waits in this priority class or above.
func (q *Queue) Cost(priority int) float64 {
	sum := 0.0
	for _, it := range q.items {
		if it.Priority >= priority {
			sum += it.Cost
		}
	}
	return sum
}

// Order returns what waits, the one to go next first.
func (q *Queue) Order(now time.Time) []Item {
	type ranked struct {
		item  *Item
		class float64
		ratio float64
	}
	mean := q.meanUse(now)
	all := make([]ranked, 0, len(q.items))
	for _, it := range q.items {
		wait := now.Sub(it.Arrived)
		all = append(all, ranked{
			item:  it,
			class: float64(it.Priority) + math.Floor(float64(wait)/float64(ageClass)),
			ratio: (wait + patience).Seconds() / (it.Cost + 1) / q.held(now, it, mean),
		})
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		switch {
		case a.class != b.class:
			return a.class > b.class
		case a.ratio != b.ratio:
			return a.ratio > b.ratio
		}
		return a.item.ID < b.item.ID
	})
	items := make([]Item, len(all))
	for i, r := range all {
		items[i] = *r.item
	}
	return items
}

// held returns by how much an organisation is held back: its use over the
// mean use, both over weights, within bounds.
func (q *Queue) held(now time.Time, it *Item, mean float64) float64 {
	if mean <= 0 {
		return 1
	}
	u := q.useOf(now, it.Organisation, it.Weight)
	return math.Min(math.Max(u.cost/mean, 1/fairnessMost), fairnessMost)
}

func (q *Queue) meanUse(now time.Time) float64 {
	names := make([]string, 0, len(q.uses))
	for name := range q.uses {
		names = append(names, name)
	}
	sort.Strings(names) // sums of floats depend on their order
	sum := 0.0
	for _, name := range names {
		sum += q.useOf(now, name, q.uses[name].weight).cost
	}
	return sum / float64(max(len(names), 1))
}

func (q *Queue) useOf(now time.Time, organisation string, weight int) *use {
	u, ok := q.uses[organisation]
	if !ok {
		u = &use{at: now}
		q.uses[organisation] = u
	}
	u.cost *= math.Exp2(-now.Sub(u.at).Seconds() / halfLife.Seconds())
	u.at, u.weight = now, weight
	return u
}
