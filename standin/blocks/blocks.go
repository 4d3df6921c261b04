// Package blocks is the stand-in engine's prefix cache: chains of blocks in limited memory
// with LRU eviction.
package blocks

import "container/list"

// Size is the number of prompt tokens in a block.
const Size = 64

// maxEvents bounds the log of changes; readers of older events see a gap.
const maxEvents = 512

// Event is a block that was stored or evicted.
type Event struct {
	Seq    int
	Stored bool
	Block  uint64
}

// Cache holds blocks, each identified by the hash of the chain up to it.
type Cache struct {
	capacity int // blocks
	recent   *list.List
	elements map[uint64]*list.Element
	events   []Event
	seq      int
}

// New returns an empty cache for the given number of tokens.
func New(tokens int) *Cache {
	return &Cache{capacity: tokens / Size, recent: list.New(), elements: map[uint64]*list.Element{}}
}

// Match returns the number of leading tokens of the chain that are cached, and marks their
// blocks as used.
func (c *Cache) Match(chain []uint64) int {
	n := 0
	for _, b := range chain {
		e, ok := c.elements[b]
		if !ok {
			break
		}
		c.recent.MoveToFront(e)
		n++
	}
	return n * Size
}

// Store adds a chain and evicts the least recently used blocks.
func (c *Cache) Store(chain []uint64) {
	for _, b := range chain {
		if e, ok := c.elements[b]; ok {
			c.recent.MoveToFront(e)
			continue
		}
		c.elements[b] = c.recent.PushFront(b)
		c.record(b, true)
	}
	for c.recent.Len() > c.capacity {
		b := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.elements, b)
		c.record(b, false)
	}
}

// Since returns the events after seq that are still kept.
func (c *Cache) Since(seq int) []Event {
	for i, e := range c.events {
		if e.Seq > seq {
			return append([]Event{}, c.events[i:]...)
		}
	}
	return nil
}

func (c *Cache) record(block uint64, stored bool) {
	c.seq++
	c.events = append(c.events, Event{Seq: c.seq, Stored: stored, Block: block})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}
