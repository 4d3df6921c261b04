// Package blocks is the stand-in engine's prefix cache: chains of blocks kept
// in limited memory, the least recently used given up first.
package blocks

import "container/list"

// Size is the number of prompt tokens in a block.
const Size = 64

// keptEvents bounds the log of changes; what falls off is a gap for readers.
const keptEvents = 512

// Event is a change of the cache.
type Event struct {
	Seq    int
	Stored bool
	Block  uint64
}

// Cache holds blocks by the hash of the chain that they end.
type Cache struct {
	capacity int // blocks
	recent   *list.List
	places   map[uint64]*list.Element
	events   []Event
	seq      int
}

// New returns an empty cache for so many tokens.
func New(tokens int) *Cache {
	return &Cache{capacity: tokens / Size, recent: list.New(), places: map[uint64]*list.Element{}}
}

// Match returns how many tokens of the chain are cached, and marks them used.
func (c *Cache) Match(chain []uint64) int {
	n := 0
	for _, b := range chain {
		e, ok := c.places[b]
		if !ok {
			break
		}
		c.recent.MoveToFront(e)
		n++
	}
	return n * Size
}

// Store keeps a chain, giving up the least recently used blocks.
func (c *Cache) Store(chain []uint64) {
	for _, b := range chain {
		if e, ok := c.places[b]; ok {
			c.recent.MoveToFront(e)
			continue
		}
		c.places[b] = c.recent.PushFront(b)
		c.note(b, true)
	}
	for c.recent.Len() > c.capacity {
		b := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.places, b)
		c.note(b, false)
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

func (c *Cache) note(block uint64, stored bool) {
	c.seq++
	c.events = append(c.events, Event{Seq: c.seq, Stored: stored, Block: block})
	if len(c.events) > keptEvents {
		c.events = c.events[len(c.events)-keptEvents:]
	}
}
