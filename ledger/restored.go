package ledger

import (
	"context"
	"sync"
	"time"

	"petrelstep/refusal"
	"petrelstep/wire"
)

// maxLoss bounds the age of the copy from which the store is restored.
const maxLoss = time.Minute

// recent holds the dispatched calls of this box whose rows a restored store may have lost. It is
// safe for concurrent use.
type recent struct {
	mu       sync.Mutex
	calls    []*recentCall // by the time of the first one's dispatch
	closed   bool          // no call may begin
	closedAt time.Time
	closings int // number of times that it was closed
}

// recentCall is a call whose row was written.
type recentCall struct {
	entry  *Entry
	at     time.Time         // its row was last written, or found lost
	record wire.LedgerRecord // without its answer
}

// add adds a call that is about to be dispatched, unless calls were held back since a time.
func (r *recent) add(e *Entry, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.prune(now)
	if r.closed || !r.closedAt.IsZero() && !r.closedAt.Before(since) {
		return false
	}
	r.calls = append(r.calls, &recentCall{entry: e, at: now, record: e.record})
	return true
}

// prune drops the calls whose rows any copy has; the lock is held.
func (r *recent) prune(now time.Time) {
	for len(r.calls) > 0 && now.Sub(r.calls[0].at) > maxLoss {
		r.calls = r.calls[1:]
	}
}

// any reports whether there are calls that a restore could lose.
func (r *recent) any(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls) > 0 && now.Sub(r.calls[len(r.calls)-1].at) <= maxLoss
}

// finish records the final state of a call.
func (r *recent) finish(e *Entry, record wire.LedgerRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.calls {
		if c.entry == e {
			c.record.State = record.State
		}
	}
}

// close holds calls back, and returns the number of those whose rows may be lost.
func (r *recent) close(now time.Time) (calls int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed, r.closedAt = true, now
	r.closings++
	return len(r.calls)
}

// restored holds calls back and returns those whose rows may be lost. They are kept for as long as
// new ones, as the store may be restored once more from a copy that lacks their new rows too.
func (r *recent) restored(now time.Time) []*recentCall {
	r.close(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.calls {
		c.at = now
	}
	return append([]*recentCall{}, r.calls...)
}

// markWritten records that a call's row was written again.
func (r *recent) markWritten(c *recentCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.at = time.Now()
}

// open lets calls begin, unless they were held back again since the given number of closings.
func (r *recent) open(closings int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closings == closings {
		r.closed = false
	}
	return !r.closed
}

// state returns the number of closings and whether calls are held back.
func (r *recent) state() (closings int, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closings, r.closed
}

// isClosed reports whether calls are held back, as boxes may still be writing again what the store
// has lost.
func (r *recent) isClosed() bool {
	_, closed := r.state()
	return closed
}

// recordOf returns the row of a call: a lost answer is unknown.
func (r *recent) recordOf(c *recentCall) wire.LedgerRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := c.record
	if record.State == wire.LedgerRecordStateDone {
		record.State = wire.LedgerRecordStateUnknown
	}
	return record
}

// StoreRestored handles that the store came back from an older copy: no call begins until the rows
// of all boxes' calls are written again. It has to be called before the answer that shows the
// restore is used, and returns the number of this box's rows.
func (l *Ledger) StoreRestored() (rows int) {
	rows = l.recent.close(time.Now())
	l.eras.wakeUp()
	return rows
}

// writeAgain writes the row of a call again unless the store still has it, until ctx ends.
func (l *Ledger) writeAgain(ctx context.Context, c *recentCall) {
	version := 0
	for ctx.Err() == nil {
		record := l.recent.recordOf(c)
		if record.State == wire.LedgerRecordStateNotRun {
			return
		}
		r := l.put(ctx, c.entry.key, version, record)
		switch current := decode(r.row); {
		case r.outcome == written:
			l.recent.markWritten(c)
			return
		case r.outcome == conflicts && (current.Token == c.entry.Token || l.isHeld(current)):
			return
		case r.outcome == conflicts && version != r.row.Version:
			// An older row of the key, or that of a box which began before it knew of the restore
			// and may be gone before it frees the key.
			version = r.row.Version
			continue
		}
		if !sleep(ctx, rewriteInterval) {
			return
		}
	}
}

// isHeld reports whether a row prevents its call from being dispatched, whatever becomes of its box.
func (l *Ledger) isHeld(r wire.LedgerRecord) bool {
	switch r.State {
	case wire.LedgerRecordStateDone, wire.LedgerRecordStateUnknown:
		return time.Since(time.UnixMilli(int64(r.AtMs))) <= l.retention
	}
	return false
}

// restoring returns the refusal of a call while rows are written again.
func restoring() error {
	return refusal.New(refusal.StoreDown, "records of calls are being written again").WithRetryAfter(retryAfter)
}
