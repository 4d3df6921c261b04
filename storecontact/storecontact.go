// Package storecontact tracks when the platform's store last answered this box and the others
// about each table, as these report it themselves. The age of a table cannot show that soon: a
// call that waits for changes confirms the table as of when the call was sent.
package storecontact

import (
	"sync"
	"time"
)

// Table is a table that boxes follow.
type Table string

// The tables.
const (
	Configuration Table = "configuration"
	Upstreams     Table = "upstreams"
)

// unreportedTime is how long a reader that reports no answers, as before an upgrade, makes
// the contact of the readers unknown.
const unreportedTime = 3 * time.Second

type contact struct {
	own        time.Time // last answer to this box
	reader     time.Time // last answer to a reader
	other      time.Time // last answer to a reader or another box than this one
	unreported time.Time // when a reader last reported no answers

	readers map[string]time.Time // last answer to each reader
	others  map[string]time.Time // last answer to each box that is no reader
}

// Tracker holds the last answers to the other boxes. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	tables map[Table]contact
}

// New returns a tracker without any answers.
func New() *Tracker { return &Tracker{tables: map[Table]contact{}} }

// RecordOwn records that the store answered this box at a time.
func (t *Tracker) RecordOwn(table Table, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.tables[table]
	c.own = at
	t.tables[table] = c
}

// Own returns when the store last answered this box; false if it never did.
func (t *Tracker) Own(table Table) (at time.Time, ok bool) {
	c := t.of(table)
	return c.own, !c.own.IsZero()
}

// Record records that the store last answered another box, or this one as a reader, at a time.
func (t *Tracker) Record(table Table, box string, reader bool, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.tables[table]
	if reader {
		c.readers = withAnswer(c.readers, box, at)
	} else {
		c.others = withAnswer(c.others, box, at)
	}
	if at.After(c.other) {
		c.other = at
	}
	if reader && at.After(c.reader) {
		c.reader = at
	}
	t.tables[table] = c
}

// RecordNone records that the store has not answered another box yet.
func (t *Tracker) RecordNone(table Table, box string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.tables[table]
	c.readers = withAnswer(c.readers, box, time.Time{})
	t.tables[table] = c
}

func withAnswer(boxes map[string]time.Time, box string, at time.Time) map[string]time.Time {
	if boxes == nil {
		boxes = map[string]time.Time{}
	}
	boxes[box] = at
	return boxes
}

// RecordUnreported records that a reader's report does not contain its answers.
func (t *Tracker) RecordUnreported(table Table, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.tables[table]
	c.unreported = at
	t.tables[table] = c
}

// ReaderSilence returns the time since the store last answered a reader; false if unknown.
func (t *Tracker) ReaderSilence(now time.Time, table Table) (time.Duration, bool) {
	c := t.of(table)
	return now.Sub(c.reader), c.known(now)
}

// BoxSilence returns the time since the store last answered a reader, as it last reported; false
// if it has reported none.
func (t *Tracker) BoxSilence(now time.Time, table Table, box string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.tables[table].readers[box]
	return now.Sub(at), ok
}

// OtherSilence returns the time since the store last answered a box that is no reader, as it last
// reported; false if it has reported none.
func (t *Tracker) OtherSilence(now time.Time, table Table, box string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.tables[table].others[box]
	return now.Sub(at), ok
}

// Silence returns the time since the store last answered a reader or another box; false if
// unknown.
func (t *Tracker) Silence(now time.Time, table Table) (time.Duration, bool) {
	c := t.of(table)
	return now.Sub(c.other), c.known(now)
}

func (t *Tracker) of(table Table) contact {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tables[table]
}

func (c contact) known(now time.Time) bool {
	return !c.reader.IsZero() && (c.unreported.IsZero() || now.Sub(c.unreported) >= unreportedTime)
}
