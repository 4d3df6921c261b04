// Package queue holds requests that wait for capacity and determines their order: by
// priority class, then by response ratio, which is the wait over the expected cost.
// Small requests go early, but none starves. The ratio is divided by the organisation's
// recent usage relative to the mean.
package queue

import (
	"math"
	"sort"
	"time"
)

const (
	// ageingInterval is the wait that raises a request by one priority class.
	ageingInterval = 120 * time.Second
	// halfLife is the half-life of an organisation's recorded usage.
	halfLife = 30 * time.Second
	// maxFairnessFactor bounds the effect of an organisation's usage in either direction.
	maxFairnessFactor = 8.0
	// waitOffset is added to each wait, so that cheap requests go first among new arrivals.
	waitOffset = 2 * time.Second
)

// Item is a waiting request.
type Item struct {
	ID           string
	Organisation string
	Weight       int
	Priority     int
	Cost         float64 // expected memory times duration, in token-seconds
	Arrived      time.Time
	Deadline     time.Time
	Value        any
}

// usage is what an organisation was granted recently.
type usage struct {
	cost   float64 // decayed token-seconds divided by the weight
	weight int
	at     time.Time
}

// Queue is not safe for use by several goroutines.
type Queue struct {
	maxItems int
	items    map[string]*Item
	usages   map[string]*usage
}

// New returns an empty queue for at most maxItems requests.
func New(maxItems int) *Queue {
	return &Queue{maxItems: maxItems, items: map[string]*Item{}, usages: map[string]*usage{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Push adds a request. It reports false if the queue is full.
func (q *Queue) Push(it Item) bool {
	if len(q.items) >= q.maxItems {
		return false
	}
	q.items[it.ID] = &it
	return true
}

// Remove removes a request and reports whether it was queued.
func (q *Queue) Remove(id string) bool {
	_, ok := q.items[id]
	delete(q.items, id)
	return ok
}

// Granted removes a request and charges its cost to its organisation.
func (q *Queue) Granted(now time.Time, it Item) {
	delete(q.items, it.ID)
	u := q.usageOf(now, it.Organisation, it.Weight)
	u.cost += it.Cost / float64(max(it.Weight, 1))
}

// Expired removes and returns the requests past their deadlines, ordered by ID.
func (q *Queue) Expired(now time.Time) []Item {
	var expired []Item
	for id, it := range q.items {
		if now.After(it.Deadline) {
			expired = append(expired, *it)
			delete(q.items, id)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i].ID < expired[j].ID })
	return expired
}

// Cost returns the total cost of the waiting requests in a priority class and above.
func (q *Queue) Cost(priority int) float64 {
	sum := 0.0
	for _, it := range q.items {
		if it.Priority >= priority {
			sum += it.Cost
		}
	}
	return sum
}

// Order returns the waiting requests in the order in which they should be granted.
func (q *Queue) Order(now time.Time) []Item {
	type ranked struct {
		item  *Item
		class float64
		ratio float64
	}
	mean := q.meanUsage(now)
	all := make([]ranked, 0, len(q.items))
	for _, it := range q.items {
		wait := now.Sub(it.Arrived)
		all = append(all, ranked{
			item:  it,
			class: float64(it.Priority) + math.Floor(float64(wait)/float64(ageingInterval)),
			ratio: (wait + waitOffset).Seconds() / (it.Cost + 1) / q.fairnessFactor(now, it, mean),
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

// fairnessFactor returns an organisation's usage over the mean usage, both divided by
// weight, within bounds.
func (q *Queue) fairnessFactor(now time.Time, it *Item, mean float64) float64 {
	if mean <= 0 {
		return 1
	}
	u := q.usageOf(now, it.Organisation, it.Weight)
	return math.Min(math.Max(u.cost/mean, 1/maxFairnessFactor), maxFairnessFactor)
}

// meanUsage returns the mean usage of all organisations.
func (q *Queue) meanUsage(now time.Time) float64 {
	names := make([]string, 0, len(q.usages))
	for name := range q.usages {
		names = append(names, name)
	}
	sort.Strings(names) // floating-point sums depend on the order
	sum := 0.0
	for _, name := range names {
		sum += q.usageOf(now, name, q.usages[name].weight).cost
	}
	return sum / float64(max(len(names), 1))
}

// usageOf returns an organisation's usage, decayed to now.
func (q *Queue) usageOf(now time.Time, organisation string, weight int) *usage {
	u, ok := q.usages[organisation]
	if !ok {
		u = &usage{at: now}
		q.usages[organisation] = u
	}
	u.cost *= math.Exp2(-now.Sub(u.at).Seconds() / halfLife.Seconds())
	u.at, u.weight = now, weight
	return u
}
