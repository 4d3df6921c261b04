// Package told keeps what other boxes last told, by upstream: each box's own
// word, or the sum of all others that a hub tells.
package told

import (
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
}

type word[T any] struct {
	at   time.Time
	list map[string]T
}

func (w word[T]) fresh(now time.Time) bool { return now.Sub(w.at) <= freshFor }

// Book is safe for use by several goroutines.
type Book[T Sum[T]] struct {
	mu     sync.Mutex
	others map[string]word[T]
	sum    word[T] // of all other boxes, as a hub tells it
}

// New returns an empty book.
func New[T Sum[T]]() *Book[T] { return &Book[T]{others: map[string]word[T]{}} }

// Told takes another box's word.
func (b *Book[T]) Told(now time.Time, box string, list map[string]T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others[box] = word[T]{now, list}
}

// ToldSum takes a hub's word of what all other boxes have.
func (b *Book[T]) ToldSum(now time.Time, list map[string]T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sum = word[T]{now, list}
}

// Of returns what the others have at an upstream: by the sum that a hub tells,
// or by what they tell themselves.
func (b *Book[T]) Of(now time.Time, upstream string) (sum T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sum.fresh(now) {
		return b.sum.list[upstream]
	}
	for box, o := range b.others {
		if !o.fresh(now) {
			delete(b.others, box)
			continue
		}
		sum = sum.Plus(o.list[upstream])
	}
	return sum
}

// Without adds what all boxes but one told to a list, for that one.
func (b *Book[T]) Without(now time.Time, box string, list map[string]T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, o := range b.others {
		if name == box || !o.fresh(now) {
			continue
		}
		for upstream, v := range o.list {
			list[upstream] = list[upstream].Plus(v)
		}
	}
}
