// Package prefix estimates which prompt prefixes an engine has in its cache,
// from own dispatches and from the engine's late and gappy cache events.
package prefix

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockWords is how many words of a prompt make one block.
const BlockWords = 64

// Chain returns the hash of each whole block of a prompt together with all
// that stands before it.
func Chain(prompt string) []uint64 {
	words := strings.Fields(prompt)
	digest := xxhash.New()
	var chain []uint64
	for i, w := range words {
		_, _ = digest.WriteString(w)
		_, _ = digest.WriteString(" ")
		if (i+1)%BlockWords == 0 {
			chain = append(chain, digest.Sum64())
		}
	}
	return chain
}

// Prefixes is what one box believes of one engine's cache. It is not safe
// for use by several goroutines.
type Prefixes struct {
	capacity int
	recent   *list.List
	places   map[uint64]*list.Element
	seq      int
}

// New returns an empty estimate of at most so many blocks.
func New(capacity int) *Prefixes {
	return &Prefixes{capacity: capacity, recent: list.New(), places: map[uint64]*list.Element{}}
}

// Dispatched notes that a prompt with this chain went to the engine.
func (p *Prefixes) Dispatched(chain []uint64) {
	for _, b := range chain {
		p.store(b)
	}
}

// Apply applies a cache event. Over a gap, evictions may have been missed:
// half of what is believed, the older half, is given up.
func (p *Prefixes) Apply(seq int, stored bool, block uint64) {
	if p.seq != 0 && seq > p.seq+1 {
		p.shrink(p.recent.Len() / 2)
	}
	p.seq = max(p.seq, seq)
	if stored {
		p.store(block)
		return
	}
	if e, ok := p.places[block]; ok {
		p.recent.Remove(e)
		delete(p.places, block)
	}
}

// Match returns how many words at the start of a prompt are believed cached.
func (p *Prefixes) Match(chain []uint64) int {
	n := 0
	for _, b := range chain {
		if _, ok := p.places[b]; !ok {
			break
		}
		n++
	}
	return n * BlockWords
}

func (p *Prefixes) store(block uint64) {
	if e, ok := p.places[block]; ok {
		p.recent.MoveToFront(e)
		return
	}
	p.places[block] = p.recent.PushFront(block)
	p.shrink(p.capacity)
}

func (p *Prefixes) shrink(to int) {
	for p.recent.Len() > to {
		delete(p.places, p.recent.Remove(p.recent.Back()).(uint64))
	}
}
