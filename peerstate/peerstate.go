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
func (p *Totals[T]) Update(now time.Time, box string, list map[string]T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(box)
	if len(p.others) == 0 || now.Before(p.oldest) {
		p.oldest = now
	}
	p.others[box] = report[T]{now, list}
	for upstream, v := range list {
		t := p.totals[upstream]
		p.totals[upstream] = total[T]{t.sum.Plus(v), t.boxes + 1}
	}
}

// SetCoverage records, before a box's report is updated, whether the box reports to this
// box only, and how many other boxes the report includes.
func (p *Totals[T]) SetCoverage(box string, exclusive bool, c Coverage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exclusive[box], p.coverage[box] = exclusive, c
	if !exclusive {
		delete(p.exclusive, box)
	}
	if c.Boxes == 0 {
		delete(p.coverage, box)
	}
}

// AddExclusive adds the reports of boxes that report to this box only to a list for the
// hubs that don't receive them. It returns the number of those boxes.
func (p *Totals[T]) AddExclusive(now time.Time, list map[string]T) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	boxes := 0
	for box := range p.exclusive {
		o, ok := p.others[box]
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
func (p *Totals[T]) drop(box string) {
	for upstream, v := range p.others[box].list {
		t := p.totals[upstream]
		if t.boxes == 1 {
			delete(p.totals, upstream) // together with any rounding error
			continue
		}
		p.totals[upstream] = total[T]{t.sum.Minus(v), t.boxes - 1}
	}
	delete(p.others, box)
}

// expire drops reports that are no longer fresh. It scans them only when one may have
// expired.
func (p *Totals[T]) expire(now time.Time) {
	if now.Sub(p.oldest) <= maxAge {
		return
	}
	p.oldest = now
	for box, o := range p.others {
		switch {
		case !o.fresh(now):
			p.drop(box)
			delete(p.exclusive, box)
			delete(p.coverage, box)
		case o.at.Before(p.oldest):
			p.oldest = o.at
		}
	}
}

// UpdateSum replaces a hub's sum of all other boxes' reports.
func (p *Totals[T]) UpdateSum(now time.Time, list map[string]T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sum = report[T]{now, list}
}

// SumAge returns the time since a hub last sent the sum.
func (p *Totals[T]) SumAge(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.sum.at)
}

// Boxes returns the number of other boxes with a fresh report, direct or through a hub.
func (p *Totals[T]) Boxes(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	boxes := len(p.others)
	for box, c := range p.coverage {
		if _, reported := p.others[box]; reported {
			boxes += c.Boxes
		}
	}
	return boxes
}

// RecentBoxes returns the number of boxes that reported to this one within a duration.
func (p *Totals[T]) RecentBoxes(now time.Time, within time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	boxes := 0
	for _, o := range p.others {
		if now.Sub(o.at) <= within {
			boxes++
		}
	}
	return boxes
}

// RecentExclusive returns how many of these boxes report to this one only.
func (p *Totals[T]) RecentExclusive(now time.Time, within time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	boxes := 0
	for box := range p.exclusive {
		if o, ok := p.others[box]; ok && now.Sub(o.at) <= within {
			boxes++
		}
	}
	return boxes
}

// RecentIndirect returns the number of boxes that had recently reported to the boxes
// that reported to this one within a duration.
func (p *Totals[T]) RecentIndirect(now time.Time, within time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	boxes := 0
	for box, c := range p.coverage {
		if o, ok := p.others[box]; ok && now.Sub(o.at) <= within {
			boxes += c.Recent
		}
	}
	return boxes
}

// Older increases the age of all reports by the time that this box's machine was
// suspended, which the monotonic clock doesn't count.
func (p *Totals[T]) Older(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for box, r := range p.others {
		r.at = r.at.Add(-by)
		p.others[box] = r
	}
	p.oldest, p.sum.at = p.oldest.Add(-by), p.sum.at.Add(-by)
}

// Forget drops all reports on an upstream.
func (p *Totals[T]) Forget(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.others {
		delete(o.list, upstream)
	}
	delete(p.totals, upstream)
	delete(p.sum.list, upstream)
}

// Of returns the other boxes' total at an upstream: a hub's sum if it is fresh, or else
// the sum of their reports.
func (p *Totals[T]) Of(now time.Time, upstream string) T {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sum.fresh(now) {
		return p.sum.list[upstream]
	}
	p.expire(now)
	return p.totals[upstream].sum
}

// AddExcept adds the reports of all boxes except one to a list that is sent to that box.
func (p *Totals[T]) AddExcept(now time.Time, box string, list map[string]T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	own := p.others[box].list
	for upstream, t := range p.totals {
		v, reported := own[upstream]
		switch {
		case !reported:
			list[upstream] = list[upstream].Plus(t.sum)
		case t.boxes > 1:
			list[upstream] = list[upstream].Plus(t.sum.Minus(v))
		}
	}
}

// All returns a copy of the other boxes' totals by upstream.
func (p *Totals[T]) All(now time.Time) map[string]T {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sum.fresh(now) && len(p.sum.list) > 0 {
		return maps.Clone(p.sum.list)
	}
	p.expire(now)
	all := make(map[string]T, len(p.totals))
	for upstream, t := range p.totals {
		all[upstream] = t.sum
	}
	return all
}
