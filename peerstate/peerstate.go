// Package peerstate holds the last reports of other boxes by upstream: each box's own
// report, or the sum of all others that a hub sends.
package peerstate

import (
	"maps"
	"sync"
	"time"
)

// maxAge is how long a box's report counts, several gossip intervals. A box that is
// silent for longer is considered down, and its report is dropped.
const maxAge = 3 * time.Second

// Sum is a value that can be added and subtracted.
type Sum[T any] interface {
	// Plus returns the sum of both.
	Plus(other T) T
	// Minus returns the sum without the other.
	Minus(other T) T
}

// report is what one box, or a hub for all others, sent last.
type report[T any] struct {
	at   time.Time
	list map[string]T
}

func (r report[T]) fresh(now time.Time) bool { return now.Sub(r.at) <= maxAge }

// total is the sum of all reports on one upstream.
type total[T any] struct {
	sum   T
	boxes int // number of reports in sum
}

// Coverage is the number of boxes that a report includes besides its sender.
type Coverage struct {
	Boxes  int
	Recent int // of these, the boxes that the sender heard from recently
}

// Totals is safe for use by several goroutines. It maintains running sums, so that the
// cost of reading an upstream's total does not grow with the number of boxes.
type Totals[T Sum[T]] struct {
	mu        sync.Mutex
	others    map[string]report[T]
	totals    map[string]total[T] // sum of others, by upstream
	oldest    time.Time           // no report in others is older
	sum       report[T]           // of all other boxes, as sent by a hub
	exclusive map[string]bool     // boxes that report to this box only, by name
	coverage  map[string]Coverage // of the reports in others, by box
}

// New returns totals without any report.
func New[T Sum[T]]() *Totals[T] {
	return &Totals[T]{others: map[string]report[T]{}, totals: map[string]total[T]{}, exclusive: map[string]bool{}, coverage: map[string]Coverage{}}
}

// Update replaces the report of another box.
func (t *Totals[T]) Update(now time.Time, box string, list map[string]T) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(box)
	if len(t.others) == 0 || now.Before(t.oldest) {
		t.oldest = now
	}
	t.others[box] = report[T]{now, list}
	for upstream, v := range list {
		old := t.totals[upstream]
		t.totals[upstream] = total[T]{old.sum.Plus(v), old.boxes + 1}
	}
}

// SetCoverage records, before a box's report is updated, whether the box reports to this
// box only, and how many other boxes the report includes.
func (t *Totals[T]) SetCoverage(box string, exclusive bool, c Coverage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.exclusive[box], t.coverage[box] = exclusive, c
	if !exclusive {
		delete(t.exclusive, box)
	}
	if c.Boxes == 0 {
		delete(t.coverage, box)
	}
}

// AddExclusive adds the reports of boxes that report to this box only to a list for the
// hubs that don't receive them. It returns the number of those boxes.
func (t *Totals[T]) AddExclusive(now time.Time, list map[string]T) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	boxes := 0
	for box := range t.exclusive {
		o, ok := t.others[box]
		if !ok {
			continue
		}
		boxes++
		for upstream, v := range o.list {
			list[upstream] = list[upstream].Plus(v)
		}
	}
	return boxes
}

// drop subtracts a box's report from the totals.
func (t *Totals[T]) drop(box string) {
	for upstream, v := range t.others[box].list {
		old := t.totals[upstream]
		if old.boxes == 1 {
			delete(t.totals, upstream) // together with any rounding error
			continue
		}
		t.totals[upstream] = total[T]{old.sum.Minus(v), old.boxes - 1}
	}
	delete(t.others, box)
}

// expire drops reports that are no longer fresh. It scans them only when one may have
// expired.
func (t *Totals[T]) expire(now time.Time) {
	if now.Sub(t.oldest) <= maxAge {
		return
	}
	t.oldest = now
	for box, o := range t.others {
		switch {
		case !o.fresh(now):
			t.drop(box)
			delete(t.exclusive, box)
			delete(t.coverage, box)
		case o.at.Before(t.oldest):
			t.oldest = o.at
		}
	}
}

// UpdateSum replaces a hub's sum of all other boxes' reports.
func (t *Totals[T]) UpdateSum(now time.Time, list map[string]T) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum = report[T]{now, list}
}

// SumAge returns the time since a hub last sent the sum.
func (t *Totals[T]) SumAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.sum.at)
}

// Boxes returns the number of other boxes with a fresh report, direct or through a hub.
func (t *Totals[T]) Boxes(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	boxes := len(t.others)
	for box, c := range t.coverage {
		if _, reported := t.others[box]; reported {
			boxes += c.Boxes
		}
	}
	return boxes
}

// RecentBoxes returns the number of boxes that reported to this one within a duration.
func (t *Totals[T]) RecentBoxes(now time.Time, within time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	boxes := 0
	for _, o := range t.others {
		if now.Sub(o.at) <= within {
			boxes++
		}
	}
	return boxes
}

// RecentExclusive returns how many of these boxes report to this one only.
func (t *Totals[T]) RecentExclusive(now time.Time, within time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	boxes := 0
	for box := range t.exclusive {
		if o, ok := t.others[box]; ok && now.Sub(o.at) <= within {
			boxes++
		}
	}
	return boxes
}

// RecentIndirect returns the number of boxes that had recently reported to the boxes
// that reported to this one within a duration.
func (t *Totals[T]) RecentIndirect(now time.Time, within time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	boxes := 0
	for box, c := range t.coverage {
		if o, ok := t.others[box]; ok && now.Sub(o.at) <= within {
			boxes += c.Recent
		}
	}
	return boxes
}

// AddSuspension increases the age of all reports by the time that this box's machine was
// suspended, which the monotonic clock doesn't count.
func (t *Totals[T]) AddSuspension(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for box, r := range t.others {
		r.at = r.at.Add(-d)
		t.others[box] = r
	}
	t.oldest, t.sum.at = t.oldest.Add(-d), t.sum.at.Add(-d)
}

// Forget drops all reports on an upstream.
func (t *Totals[T]) Forget(upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.others {
		delete(o.list, upstream)
	}
	delete(t.totals, upstream)
	delete(t.sum.list, upstream)
}

// Of returns the other boxes' total at an upstream: a hub's sum if it is fresh, or else
// the sum of their reports.
func (t *Totals[T]) Of(now time.Time, upstream string) T {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sum.fresh(now) {
		return t.sum.list[upstream]
	}
	t.expire(now)
	return t.totals[upstream].sum
}

// AddExcept adds the reports of all boxes except one to a list that is sent to that box.
func (t *Totals[T]) AddExcept(now time.Time, box string, list map[string]T) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	own := t.others[box].list
	for upstream, entry := range t.totals {
		v, reported := own[upstream]
		switch {
		case !reported:
			list[upstream] = list[upstream].Plus(entry.sum)
		case entry.boxes > 1:
			list[upstream] = list[upstream].Plus(entry.sum.Minus(v))
		}
	}
}

// All returns a copy of the other boxes' totals by upstream.
func (t *Totals[T]) All(now time.Time) map[string]T {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sum.fresh(now) && len(t.sum.list) > 0 {
		return maps.Clone(t.sum.list)
	}
	t.expire(now)
	all := make(map[string]T, len(t.totals))
	for upstream, entry := range t.totals {
		all[upstream] = entry.sum
	}
	return all
}
