// Package routecache holds the configuration that a box believes to be in force,
// and how old that belief is. Versions only rise within a life.
package routecache

import (
	"sync"
	"time"

	"petrelstep/route"
)

// neverAge is the age of what was taken and never confirmed: older than all
// that counts, and short enough to be told to other boxes and reckoned with.
const neverAge = time.Hour

// Cache is safe for use by several goroutines.
type Cache struct {
	mu        sync.Mutex
	table     *route.Table
	confirmed time.Time
	most      time.Duration
	slept     func(since time.Time) time.Duration // nil: never
}

// New returns a belief of nothing. One that was confirmed longer than most ago
// is stale: a key may have been taken away since.
func New(most time.Duration) *Cache { return &Cache{most: most} }

// OnSlept lets ages count the time in which the machine was suspended, which the steady
// clock leaves out: a key that was taken away meanwhile was else served on.
func (b *Cache) OnSlept(slept func(since time.Time) time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slept = slept
}

// Update takes a version; it reports false, and keeps what it has, if that is as
// new or newer.
func (b *Cache) Update(t *route.Table) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table != nil && t.Version() <= b.table.Version() {
		return false
	}
	b.table = t
	return true
}

// Confirm notes that nothing newer had been accepted when a call was sent. The
// steady clock counts, so at must carry it. A time to come confirms nothing.
func (b *Cache) Confirm(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at.After(b.confirmed) && !at.After(time.Now()) {
		b.confirmed = at
	}
}

// Current returns the configuration, nil if there is none yet, how old the belief
// in it is, and whether that is too old to serve by.
func (b *Cache) Current(now time.Time) (t *route.Table, age time.Duration, stale bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	age = now.Sub(b.confirmed)
	if b.slept != nil {
		age += b.slept(b.confirmed)
	}
	age = min(age, neverAge)
	return b.table, age, b.table == nil || age > b.most
}

// Age returns how old the belief is; false if there is none.
func (b *Cache) Age(now time.Time) (time.Duration, bool) {
	t, age, _ := b.Current(now)
	return age, t != nil
}
