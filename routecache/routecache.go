// Package routecache holds the configuration that is believed to be in force, and its
// age. Versions only rise while the daemon runs.
package routecache

import (
	"sync"
	"time"

	"petrelstep/route"
)

// unconfirmedAge is the age of a configuration that was never confirmed. It is finite
// so that it can be reported to other boxes and added to.
const unconfirmedAge = time.Hour

// Cache holds the newest known configuration. It is safe for concurrent use.
type Cache struct {
	mu             sync.Mutex
	table          *route.Table
	confirmed      time.Time
	maxAge         time.Duration
	suspendedSince func(since time.Time) time.Duration // returns how long the machine was suspended; nil for never
}

// New returns an empty cache. A configuration that was last confirmed longer than
// maxAge ago is stale, as a key may have been revoked since.
func New(maxAge time.Duration) *Cache { return &Cache{maxAge: maxAge} }

// SetSuspendedSince sets the function that returns how long the machine was suspended
// since a time. Ages include that duration, which the monotonic clock does not count, so
// that keys that were revoked meanwhile are not accepted.
func (c *Cache) SetSuspendedSince(suspended func(since time.Time) time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspendedSince = suspended
}

// Update replaces the configuration, unless the cached version is as new; it reports
// whether it did.
func (c *Cache) Update(t *route.Table) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table != nil && t.Version() <= c.table.Version() {
		return false
	}
	c.table = t
	return true
}

// Confirm records that the cached version was still in force when a call was sent. at
// must carry a monotonic clock reading; a time in the future is ignored.
func (c *Cache) Confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmed) && !at.After(time.Now()) {
		c.confirmed = at
	}
}

// Current returns the configuration or nil, its age, and whether it is too old to be
// used.
func (c *Cache) Current(now time.Time) (t *route.Table, age time.Duration, stale bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age = c.age(now)
	return c.table, age, c.table == nil || age > c.maxAge
}

// age returns the age of the configuration. The caller holds the lock.
func (c *Cache) age(now time.Time) time.Duration {
	if c.confirmed.IsZero() {
		return unconfirmedAge
	}
	age := now.Sub(c.confirmed)
	if c.suspendedSince != nil {
		age += c.suspendedSince(c.confirmed)
	}
	return age
}

// Age returns the age of the configuration; false if there is none.
func (c *Cache) Age(now time.Time) (time.Duration, bool) {
	t, age, _ := c.Current(now)
	return age, t != nil
}
