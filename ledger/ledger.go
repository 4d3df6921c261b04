// Package ledger makes calls that must not be repeated run at most once. A
// row in the platform's table says that a call is dispatched before any byte
// of it goes out; whoever finds the row does not dispatch again.
package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"petrelstep/refusal"
	"petrelstep/uniqueid"
	"petrelstep/wire"
)

const (
	prefix = "ledger/"
	// stuckAfter is the age at which a dispatched row is called unknown even
	// while its box lives: no call lasts that long.
	stuckAfter = 2 * time.Minute
	// bodyMost bounds the answers that are kept, in bytes.
	bodyMost = 256 << 10
	// finishTime bounds the wait for an answer to be kept before it is passed
	// on all the same.
	finishTime = time.Second
	// mendEvery spaces the tries to write a row that could not be written.
	mendEvery = 500 * time.Millisecond
	// mendFor bounds them.
	mendFor = 10 * time.Minute

	comeBack = 2 * time.Second
)

// Owners tells whether the box that owns a row still runs.
type Owners interface {
	Runs(box string, incarnation int) bool
}

// Call names a call that must not be repeated.
type Call struct {
	Organisation string
	Key          string // the caller's Idempotency-Key
	BodyHash     string // of method, path and body
}

// Entry is the right to dispatch a call, once.
type Entry struct {
	Token   string
	key     string
	version int
	record  wire.LedgerRecord
}

// Ledger is safe for use by several goroutines.
type Ledger struct {
	table       Table
	owners      Owners
	box         string
	incarnation int
	kept        time.Duration
	group       *group
	ctx         context.Context
}

// New returns a ledger for one run of a box; answers are kept for a while.
// Run makes it work; its rows are mended until ctx ends.
func New(ctx context.Context, t Table, owners Owners, box string, incarnation int, kept time.Duration) *Ledger {
	return &Ledger{table: t, owners: owners, box: box, incarnation: incarnation, kept: kept, group: newGroup(t), ctx: ctx}
}

// Run commits until the ledger's ctx ends.
func (l *Ledger) Run() { l.group.run(l.ctx) }

// Begin asks for the right to dispatch a call. It returns an entry, or the
// answer that is kept of an earlier dispatch, or a refusal.Refusal.
func (l *Ledger) Begin(ctx context.Context, c Call) (*Entry, *wire.LedgerRecord, error) {
	e := &Entry{Token: uniqueid.New(), key: rowKey(c)}
	e.record = wire.LedgerRecord{
		State: wire.LedgerRecordStateDispatched, Token: e.Token, Box: l.box, Incarnation: l.incarnation,
		BodyHash: c.BodyHash, AtMs: int(time.Now().UnixMilli()),
	}
	const takeovers = 3
	for range takeovers {
		r := l.put(ctx, e.key, e.version, e.record)
		switch r.outcome {
		case written:
			e.version++
			return e, nil, nil
		case refused:
			return nil, nil, refusal.New(refusal.StoreDown, "the call could not be recorded").WithRetryAfter(comeBack)
		case unsettled:
			go l.undo(e)
			return nil, nil, refusal.New(refusal.StoreUnsettled, "the call could not be recorded for certain").WithRetryAfter(comeBack)
		}
		kept, free, err := l.found(ctx, c, r.row)
		if err != nil || kept != nil {
			return nil, kept, err
		}
		if !free {
			break
		}
		e.version = r.row.Version
	}
	return nil, nil, refusal.New(refusal.InProgress, "others race for the key").WithRetryAfter(comeBack)
}

// found tells what an earlier row means: a kept answer, a key that is free
// again, or a refusal.
func (l *Ledger) found(ctx context.Context, c Call, row wire.Row) (kept *wire.LedgerRecord, free bool, err error) {
	record := decode(row)
	age := time.Since(time.UnixMilli(int64(record.AtMs)))
	if age > l.kept && record.State != wire.LedgerRecordStateDispatched {
		return nil, true, nil
	}
	if record.BodyHash != c.BodyHash {
		return nil, false, refusal.New(refusal.KeyReused, "the key was used for another call")
	}
	switch record.State {
	case wire.LedgerRecordStateDone:
		if record.Status == 0 {
			return nil, false, refusal.New(refusal.AnswerNotKept, "it ran; its answer was too large to keep").WithOutcome(refusal.Unknown)
		}
		return &record, false, nil
	case wire.LedgerRecordStateNotRun:
		return nil, true, nil
	case wire.LedgerRecordStateUnknown:
		return nil, false, refusal.New(refusal.UnknownOutcome, "it may have run")
	}
	if age < stuckAfter && l.owners.Runs(record.Box, record.Incarnation) {
		return nil, false, refusal.New(refusal.InProgress, "it is under way").WithRetryAfter(comeBack)
	}
	record.State = wire.LedgerRecordStateUnknown
	// Whether this write takes effect or not, the answer is the same.
	l.put(ctx, row.Key, row.Version, record)
	return nil, false, refusal.New(refusal.DispatcherGone, "the box that dispatched it is gone")
}

// Done keeps the answer of a dispatched call.
func (l *Ledger) Done(e *Entry, status int, contentType string, body []byte) {
	record := e.record
	record.State = wire.LedgerRecordStateDone
	if len(body) <= bodyMost {
		record.Status, record.ContentType, record.Body = status, contentType, string(body)
	}
	l.finish(e, record)
}

// NotRun frees the key of a call of which no byte went out.
func (l *Ledger) NotRun(e *Entry) {
	record := e.record
	record.State = wire.LedgerRecordStateNotRun
	l.finish(e, record)
}

// Unknown notes that a call may have run.
func (l *Ledger) Unknown(e *Entry) {
	record := e.record
	record.State = wire.LedgerRecordStateUnknown
	l.finish(e, record)
}

// finish writes the last state of an entry; when the store does not take it
// soon, the writing goes on behind the caller's back.
func (l *Ledger) finish(e *Entry, record wire.LedgerRecord) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.mend(e, record)
	}()
	wait := time.NewTimer(finishTime)
	defer wait.Stop()
	select {
	case <-done:
	case <-wait.C:
	}
}

// mend writes a record over the entry's own row until it is there.
func (l *Ledger) mend(e *Entry, record wire.LedgerRecord) {
	version := e.version
	until := time.Now().Add(mendFor)
	for time.Now().Before(until) && l.ctx.Err() == nil {
		r := l.put(l.ctx, e.key, version, record)
		if r.outcome == written {
			return
		}
		if r.outcome == conflicts {
			found := decode(r.row)
			if found.Token != e.Token || found.State == record.State {
				return // another's row by now, or this very write
			}
			version = r.row.Version
			continue
		}
		if !l.pause(mendEvery) {
			return
		}
	}
}

// undo makes sure that a row which may have been written, or may yet be, says
// not_run: nothing was dispatched, and the key must not be stuck.
func (l *Ledger) undo(e *Entry) {
	record := e.record
	record.State = wire.LedgerRecordStateNotRun
	l.mend(e, record)
}

func (l *Ledger) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-l.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (l *Ledger) put(ctx context.Context, key string, version int, record wire.LedgerRecord) result {
	value, err := json.Marshal(record)
	if err != nil {
		return result{outcome: refused}
	}
	// Only a dispatched row is settled by its token: other states of the same
	// entry carry it too.
	token := ""
	if record.State == wire.LedgerRecordStateDispatched {
		token = record.Token
	}
	return l.group.put(ctx, wire.RowCheck{Key: key, Version: version}, wire.RowWrite{Key: key, Value: string(value)}, token)
}

// Clean removes rows that are kept no longer. One box at a time does it.
func (l *Ledger) Clean(ctx context.Context) error {
	rows, err := l.table.Scan(ctx, prefix, "")
	if err != nil {
		return err
	}
	for _, row := range rows {
		record := decode(row)
		old := time.Since(time.UnixMilli(int64(record.AtMs))) > l.kept
		if !old || record.State == wire.LedgerRecordStateDispatched {
			continue
		}
		tx := wire.Transaction{
			Token:  uniqueid.New(),
			Checks: []wire.RowCheck{{Key: row.Key, Version: row.Version}},
			Writes: []wire.RowWrite{{Key: row.Key, Remove: true}},
		}
		if _, err := l.table.Transact(ctx, tx); err != nil {
			return err
		}
	}
	return nil
}

// rowKey hides the caller's key: it may be of any form and length.
func rowKey(c Call) string {
	sum := sha256.Sum256([]byte(c.Key))
	return prefix + c.Organisation + "/" + hex.EncodeToString(sum[:])
}

// HashOf returns the hash that tells calls of the same key apart.
func HashOf(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + "\n" + path + "\n"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func decode(row wire.Row) wire.LedgerRecord {
	var r wire.LedgerRecord
	// A row that does not decode is as good as one by an unknown box.
	_ = json.Unmarshal([]byte(row.Value), &r)
	return r
}
