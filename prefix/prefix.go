// Package prefix estimates which prompt prefixes an engine has in its cache,
// from own dispatches and from the engine's delayed and incomplete cache events.
package prefix

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockWords is the number of words of a prompt in one block.
const BlockWords = 64

// Chain returns, for each whole block of a prompt, the hash of the prompt up to
// its end.
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

// Prefixes is one box's estimate of one engine's cache, an LRU of blocks. It is
// not safe for concurrent use.
type Prefixes struct {
	capacity int
	recent   *list.List
	elements map[uint64]*list.Element
	seq      int
}

// New returns an empty estimate of at most capacity blocks.
func New(capacity int) *Prefixes {
	return &Prefixes{capacity: capacity, recent: list.New(), elements: map[uint64]*list.Element{}}
}

// Dispatched records that a prompt with this chain was sent to the engine.
func (p *Prefixes) Dispatched(chain []uint64) {
	for _, b := range chain {
		p.store(b)
	}
}

// Apply applies a cache event. At a gap in the sequence evictions may have been
// missed, so the least recently used half is dropped.
func (p *Prefixes) Apply(seq int, stored bool, block uint64) {
	if p.seq != 0 && seq > p.seq+1 {
		p.evictTo(p.recent.Len() / 2)
	}
	p.seq = max(p.seq, seq)
	if stored {
		p.store(block)
		return
	}
	if e, ok := p.elements[block]; ok {
		p.recent.Remove(e)
		delete(p.elements, block)
	}
}

// Match returns the number of words at the start of a prompt that are estimated
// to be cached.
func (p *Prefixes) Match(chain []uint64) int {
	n := 0
	for _, b := range chain {
		if _, ok := p.elements[b]; !ok {
			break
		}
		n++
	}
	return n * BlockWords
}

func (p *Prefixes) store(block uint64) {
	if e, ok := p.elements[block]; ok {
		p.recent.MoveToFront(e)
		return
	}
	p.elements[block] = p.recent.PushFront(block)
	p.evictTo(p.capacity)
}

func (p *Prefixes) evictTo(to int) {
	for p.recent.Len() > to {
		delete(p.elements, p.recent.Remove(p.recent.Back()).(uint64))
	}
}
