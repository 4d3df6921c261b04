package ledger

import (
	"sync"
	"time"

	"petrelstep/refusal"
	"petrelstep/revision"
	"petrelstep/wire"
)

// maxLoss bounds the age of the copy from which the store is restored.
const maxLoss = time.Minute

// recent holds the dispatched calls of this box whose rows a restored store may have lost. It is
// safe for concurrent use.
type recent struct {
	mu         sync.Mutex
	calls      []*recentCall // by time of dispatch
	restoredAt time.Time
}

// recentCall is a call whose row was written.
type recentCall struct {
	entry  *Entry
	at     time.Time
	record wire.LedgerRecord // without its answer
}

// add adds a call that is about to be dispatched, unless the store was restored since a time.
func (r *recent) add(e *Entry, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for len(r.calls) > 0 && now.Sub(r.calls[0].at) > maxLoss {
		r.calls = r.calls[1:]
	}
	if !r.restoredAt.Before(since) && !r.restoredAt.IsZero() {
		return false
	}
	r.calls = append(r.calls, &recentCall{entry: e, at: now, record: e.record})
	return true
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

// restored records a restore of the store and returns the calls whose rows it may have lost.
func (r *recent) restored(now time.Time) []*recentCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restoredAt = now
	return append([]*recentCall{}, r.calls...)
}

// isRestoring reports whether boxes may still be writing again what the store has lost.
func (r *recent) isRestoring(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.restoredAt.IsZero() && now.Sub(r.restoredAt) < revision.RestoreTime
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

// StoreRestored handles that the store came back from an older copy: the rows of this box's calls
// are written again, and meanwhile no call begins, as its row may be one that another box is
// still to write. It has to be called before the answer that shows the restore is used, and returns
// the number of these rows.
func (l *Ledger) StoreRestored() (rows int) {
	calls := l.recent.restored(time.Now())
	for _, c := range calls {
		go l.writeAgain(c)
	}
	return len(calls)
}

// writeAgain writes the row of a call again unless the store still has it.
func (l *Ledger) writeAgain(c *recentCall) {
	version := 0
	until := time.Now().Add(rewriteTimeout)
	for time.Now().Before(until) && l.ctx.Err() == nil {
		record := l.recent.recordOf(c)
		if record.State == wire.LedgerRecordStateNotRun {
			return
		}
		r := l.put(l.ctx, c.entry.key, version, record)
		current := decode(r.row)
		switch {
		case r.outcome == written, r.outcome == conflicts && current.Token == c.entry.Token:
			return
		case r.outcome == conflicts && current.State == wire.LedgerRecordStateNotRun && version != r.row.Version:
			version = r.row.Version // another box's, which began before it knew of the restore
			continue
		}
		if !l.sleep(rewriteInterval) {
			return
		}
	}
}

// restoring returns the refusal of a call while rows are written again.
func restoring() error {
	return refusal.New(refusal.StoreDown, "records of calls are being written again").WithRetryAfter(retryAfter)
}
