// Package lease implements a lease in the platform's table. Its fence grows with
// each holder. Clocks are never compared across boxes: a successor counts from
// when it first observed the holder's last renewal, by its own clock.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"petrelstep/wire"
)

// driftDivisor sets the tolerated clock drift: a successor waits an additional
// duration/driftDivisor before another holder's lease counts as lapsed.
const driftDivisor = 10

// Table is the platform's table.
type Table interface {
	Get(ctx context.Context, key string) (wire.Row, error)
	Transact(ctx context.Context, tx wire.Transaction) (wire.TransactionAnswer, error)
}

// Lease is one holder's view of a lease. It is safe for concurrent use.
type Lease struct {
	table    Table
	key      string
	holder   string
	duration time.Duration
	grace    time.Duration // waited after a lapse, for orders still in progress

	mu             sync.Mutex
	fence          int
	until          time.Time                           // end of the own lease, by this box's clock
	began          time.Time                           // start of the own lease, by this box's clock
	suspendedSince func(since time.Time) time.Duration // suspended time, nil if unknown
	version        int
	highest        int         // highest fence known
	observed       observation // of a row that this holder may not write yet
	observedAt     time.Time
}

// observation is a state of the row.
type observation struct {
	version, fence int
	holder         string
}

// New returns the lease of a key, not held yet.
// grace is how long after a lapse a successor waits for orders in progress.
func New(t Table, key, holder string, duration, grace time.Duration) *Lease {
	return &Lease{table: t, key: "lease/" + key, holder: holder, duration: duration, grace: grace}
}

// SetSuspendedSince sets the function that returns how long the machine was suspended
// since a time. The monotonic clock leaves that duration out, and the lease may have
// lapsed meanwhile.
func (l *Lease) SetSuspendedSince(suspended func(since time.Time) time.Duration) *Lease {
	l.suspendedSince = suspended
	return l
}

// Held returns the fence and the remaining time for which the lease is certainly
// held; both are 0 if it is not held.
func (l *Lease) Held(now time.Time) (fence int, left time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held(now)
}

func (l *Lease) held(now time.Time) (fence int, left time.Duration) {
	if l.until.IsZero() {
		return 0, 0
	}
	left = l.until.Sub(now)
	if l.suspendedSince != nil {
		left -= l.suspendedSince(l.began)
	}
	if left <= 0 {
		return 0, 0
	}
	return l.fence, left
}

// RenewOrAcquire renews a held lease, or acquires one that has lapsed. It has to
// be called several times within a lease's duration. The error is the table's.
func (l *Lease) RenewOrAcquire(ctx context.Context) error {
	row, err := l.table.Get(ctx, l.key)
	if err != nil {
		return err
	}
	record := decode(row)
	now := time.Now()
	if !l.mayWrite(now, row, record) {
		return nil
	}
	next := wire.LeaseRecord{Holder: l.holder, Fence: record.Fence, UntilMs: int(now.Add(l.duration).UnixMilli())}
	if record.Holder != l.holder || !l.ownsVersion(row.Version) {
		next.Fence = l.nextFence()
	}
	return l.write(ctx, now, row.Version, next)
}

// mayWrite reports whether the lease is held by this holder, free or lapsed. A row whose fence is
// lower than one known is of a store that was restored from an older copy: whoever acquired the
// lease in between may still act, unless that is this holder. One that holds it still acquires it
// again at once; all others wait as for another holder.
func (l *Lease) mayWrite(now time.Time, row wire.Row, record wire.LeaseRecord) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	wentBack := record.Fence < l.highest
	l.highest = max(l.highest, record.Fence)
	_, left := l.held(now)
	switch {
	case wentBack && left > 0:
		l.version = 0
		return true
	case !wentBack && (row.Version == 0 || record.Holder == "" || record.Holder == l.holder):
		return true
	}
	l.until, l.version = time.Time{}, 0
	seen := observation{version: row.Version, fence: record.Fence, holder: record.Holder}
	if seen != l.observed || l.observedAt.IsZero() {
		l.observed, l.observedAt = seen, now
	}
	return now.Sub(l.observedAt) > l.duration+l.duration/driftDivisor+l.grace
}

// nextFence returns a fence above all that are known.
func (l *Lease) nextFence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.highest + 1
}

func (l *Lease) ownsVersion(version int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version == version && version != 0
}

// write counts the lease from before the write was sent, so that a slow reply
// never extends it beyond what others observe.
func (l *Lease) write(ctx context.Context, began time.Time, version int, next wire.LeaseRecord) error {
	answer, err := l.table.Transact(ctx, wire.Transaction{
		Token:  l.holder,
		Checks: []wire.RowCheck{{Key: l.key, Version: version}},
		Writes: []wire.RowWrite{{Key: l.key, Value: encode(next)}},
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		// The outcome is unknown: the old end holds until the next RenewOrAcquire.
		return err
	}
	if !answer.Committed {
		l.until, l.version = time.Time{}, 0
		return nil
	}
	l.fence, l.version, l.began, l.until = next.Fence, version+1, began, began.Add(l.duration)
	l.highest, l.observedAt = max(l.highest, next.Fence), time.Time{}
	return nil
}

// Release releases a held lease, so that a successor need not wait for its lapse.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	version, fence := l.version, l.fence
	l.until, l.version = time.Time{}, 0
	l.mu.Unlock()
	if version == 0 {
		return nil
	}
	_, err := l.table.Transact(ctx, wire.Transaction{
		Token:  l.holder,
		Checks: []wire.RowCheck{{Key: l.key, Version: version}},
		Writes: []wire.RowWrite{{Key: l.key, Value: encode(wire.LeaseRecord{Fence: fence})}},
	})
	return err
}

func decode(row wire.Row) wire.LeaseRecord {
	var r wire.LeaseRecord
	_ = json.Unmarshal([]byte(row.Value), &r) // a missing row is a free lease
	return r
}

func encode(r wire.LeaseRecord) string {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // numbers and strings always encode
	}
	return string(b)
}
