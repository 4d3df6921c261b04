// Package peerstate keeps what other boxes last told, by upstream: each box's own
// word, or the sum of all others that a hub tells.
package peerstate

import (
	"maps"
	"sync"
	"time"
)

// freshFor is how long a box's word counts: some of its periods of gossip,
// after which it is taken to be gone, and what it told of with it.
const freshFor = 3 * time.Second

// Sum is what can be added up.
type Sum[T any] interface {
	// Plus returns the sum of both.
	Plus(other T) T
	// Minus returns the sum without the other.
	Minus(other T) T
}

type word[T any] struct {
	at   time.Time
	list map[string]T
}

func (w word[T]) fresh(now time.Time) bool { return now.Sub(w.at) <= freshFor }

// total is the sum of what boxes told of one upstream.
type total[T any] struct {
	sum   T
	boxes int // that told of it
}

// Coverage is how many boxes a word holds besides the one that tells it.
type Coverage struct {
	Boxes  int
	Recent int // of these, that had just told it
}

// Totals is safe for use by several goroutines. It keeps the sum of all words as they come
// and lapse, so that what is asked of it costs the same however many boxes tell.
type Totals[T Sum[T]] struct {
	mu     sync.Mutex
	others map[string]word[T]
	totals map[string]total[T] // of others, by upstream
	oldest time.Time           // no word of others is older
	sum    word[T]             // of all other boxes, as a hub tells it
	only   map[string]bool     // boxes that tell this one alone, by name
	covers map[string]Coverage // whom else the words of others hold, by name
}

// New returns an empty book.
func New[T Sum[T]]() *Totals[T] {
	return &Totals[T]{others: map[string]word[T]{}, totals: map[string]total[T]{}, only: map[string]bool{}, covers: map[string]Coverage{}}
}

// Update takes another box's word.
func (b *Totals[T]) Update(now time.Time, box string, list map[string]T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(box)
	if len(b.others) == 0 || now.Before(b.oldest) {
		b.oldest = now
	}
	b.others[box] = word[T]{now, list}
	for upstream, v := range list {
		t := b.totals[upstream]
		b.totals[upstream] = total[T]{t.sum.Plus(v), t.boxes + 1}
	}
}

// SetCoverage notes, before a box's word is taken, whether the box tells this one alone,
// and whom besides it the word holds.
func (b *Totals[T]) SetCoverage(box string, only bool, c Coverage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.only[box], b.covers[box] = only, c
	if !only {
		delete(b.only, box)
	}
	if c.Boxes == 0 {
		delete(b.covers, box)
	}
}

// AddExclusive adds what the boxes told that tell this one alone to a list, for those that
// do not hear them, and returns how many such boxes there are.
func (b *Totals[T]) AddExclusive(now time.Time, list map[string]T) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lapse(now)
	boxes := 0
	for box := range b.only {
		o, ok := b.others[box]
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

// drop takes a box's word off the totals.
func (b *Totals[T]) drop(box string) {
	for upstream, v := range b.others[box].list {
		t := b.totals[upstream]
		if t.boxes == 1 {
			delete(b.totals, upstream) // and what rounding has left
			continue
		}
		b.totals[upstream] = total[T]{t.sum.Minus(v), t.boxes - 1}
	}
	delete(b.others, box)
}

// lapse drops the words that are no longer fresh. It looks at all of them only
// when one may have lapsed.
func (b *Totals[T]) lapse(now time.Time) {
	if now.Sub(b.oldest) <= freshFor {
		return
	}
	b.oldest = now
	for box, o := range b.others {
		switch {
		case !o.fresh(now):
			b.drop(box)
			delete(b.only, box)
			delete(b.covers, box)
		case o.at.Before(b.oldest):
			b.oldest = o.at
		}
	}
}

// UpdateSum takes a hub's word of what all other boxes have.
func (b *Totals[T]) UpdateSum(now time.Time, list map[string]T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sum = word[T]{now, list}
}

// SumAge returns how long ago a hub last told the sum.
func (b *Totals[T]) SumAge(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.sum.at)
}

// Boxes returns how many other boxes have told of late, by themselves or by others.
func (b *Totals[T]) Boxes(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lapse(now)
	boxes := len(b.others)
	for box, c := range b.covers {
		if _, told := b.others[box]; told {
			boxes += c.Boxes
		}
	}
	return boxes
}

// RecentBoxes returns how many other boxes have told this one within a time.
func (b *Totals[T]) RecentBoxes(now time.Time, within time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	boxes := 0
	for _, o := range b.others {
		if now.Sub(o.at) <= within {
			boxes++
		}
	}
	return boxes
}

// RecentExclusive returns how many of them tell this one alone.
func (b *Totals[T]) RecentExclusive(now time.Time, within time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	boxes := 0
	for box := range b.only {
		if o, ok := b.others[box]; ok && now.Sub(o.at) <= within {
			boxes++
		}
	}
	return boxes
}

// RecentIndirect returns how many boxes had just told others that told this one within a
// time.
func (b *Totals[T]) RecentIndirect(now time.Time, within time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	boxes := 0
	for box, c := range b.covers {
		if o, ok := b.others[box]; ok && now.Sub(o.at) <= within {
			boxes += c.Recent
		}
	}
	return boxes
}

// Older makes all words older: this box's machine was suspended, which the steady clock
// leaves out.
func (b *Totals[T]) Older(by time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for box, w := range b.others {
		w.at = w.at.Add(-by)
		b.others[box] = w
	}
	b.oldest, b.sum.at = b.oldest.Add(-by), b.sum.at.Add(-by)
}

// Forget drops what was told of an upstream.
func (b *Totals[T]) Forget(upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range b.others {
		delete(o.list, upstream)
	}
	delete(b.totals, upstream)
	delete(b.sum.list, upstream)
}

// Of returns what the others have at an upstream: by the sum that a hub tells,
// or by what they tell themselves.
func (b *Totals[T]) Of(now time.Time, upstream string) T {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sum.fresh(now) {
		return b.sum.list[upstream]
	}
	b.lapse(now)
	return b.totals[upstream].sum
}

// AddExcept adds what all boxes but one told to a list, for that one.
func (b *Totals[T]) AddExcept(now time.Time, box string, list map[string]T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lapse(now)
	own := b.others[box].list
	for upstream, t := range b.totals {
		v, told := own[upstream]
		switch {
		case !told:
			list[upstream] = list[upstream].Plus(t.sum)
		case t.boxes > 1:
			list[upstream] = list[upstream].Plus(t.sum.Minus(v))
		}
	}
}

// All returns a copy of what the others have, by upstream.
func (b *Totals[T]) All(now time.Time) map[string]T {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sum.fresh(now) && len(b.sum.list) > 0 {
		return maps.Clone(b.sum.list)
	}
	b.lapse(now)
	all := make(map[string]T, len(b.totals))
	for upstream, t := range b.totals {
		all[upstream] = t.sum
	}
	return all
}
