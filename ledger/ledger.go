// Package ledger runs calls that must not be repeated at most once. A row in
// the platform's table records that a call is dispatched before any byte of it
// is sent; a box that finds the row does not dispatch the call again.
package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/refusal"
	"petrelstep/uniqueid"
	"petrelstep/wire"
)

const (
	prefix = "ledger/"
	// dispatchTimeout is the age at which the outcome of a dispatched call is
	// considered unknown even if its box runs: no call lasts that long.
	dispatchTimeout = 2 * time.Minute
	// maxBodySize bounds the stored answers, in bytes.
	maxBodySize = 256 << 10
	// finishTimeout bounds how long a caller waits for its answer to be stored.
	finishTimeout = time.Second
	// rewriteInterval is the pause between attempts to write a final state.
	rewriteInterval = 500 * time.Millisecond
	// rewriteTimeout bounds these attempts.
	rewriteTimeout = 10 * time.Minute

	retryAfter = 2 * time.Second
)

// Owners reports whether the box that owns a row still runs.
type Owners interface {
	Runs(box string, incarnation int) bool
}

// Call identifies a call that must not be repeated.
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

// Ledger records the calls of one box. It is safe for concurrent use.
type Ledger struct {
	table       Table
	owners      Owners
	box         string
	incarnation int
	retention   time.Duration
	group       *group
	recent      recent
	eras        *eraWatch
	ctx         context.Context
}

// New returns a ledger for one incarnation of a box; answers are stored for
// retention. Run has to be called for its writes to be committed.
func New(ctx context.Context, t Table, owners Owners, box string, incarnation int, retention time.Duration) *Ledger {
	l := &Ledger{table: t, owners: owners, box: box, incarnation: incarnation, retention: retention, group: newGroup(t), ctx: ctx}
	l.eras = newEraWatch(ctx, t, &l.recent, box, l.writeAgain)
	return l
}

// WithOthers sets the boxes whose calls are to be written again before any begins after a restore of
// the store. It is called before Run.
func (l *Ledger) WithOthers(others func() []Other, log *logrus.Entry) *Ledger {
	l.eras.others, l.eras.log = others, log
	return l
}

// Run commits writes, and follows the store's era, until the ledger's ctx ends.
func (l *Ledger) Run() {
	var all sync.WaitGroup
	all.Go(func() { l.eras.run(l.ctx) })
	l.group.run(l.ctx)
	all.Wait()
}

// Begin requests the right to dispatch a call. It returns an entry, or the
// stored answer of an earlier dispatch, or a refusal.Refusal.
func (l *Ledger) Begin(ctx context.Context, c Call) (*Entry, *wire.LedgerRecord, error) {
	began := time.Now()
	if l.recent.isClosed() {
		return nil, nil, restoring()
	}
	eraKnown := l.eras.known.Load()
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
			// A row that was written in an unknown era may be one that another box is to write again.
			if !eraKnown && !l.eras.neverRestored(ctx) || !l.recent.add(e, began) {
				go l.undo(e)
				return nil, nil, restoring()
			}
			return e, nil, nil
		case refused:
			return nil, nil, refusal.New(refusal.StoreDown, "the call could not be recorded").WithRetryAfter(retryAfter)
		case unsettled:
			go l.undo(e)
			return nil, nil, refusal.New(refusal.StoreUnsettled, "it is unknown whether the call was recorded").WithRetryAfter(retryAfter)
		}
		stored, free, err := l.resolve(ctx, c, r.row)
		if err != nil || stored != nil {
			return nil, stored, err
		}
		if !free {
			break
		}
		e.version = r.row.Version
	}
	return nil, nil, refusal.New(refusal.InProgress, "too many concurrent calls with the key").WithRetryAfter(retryAfter)
}

// resolve interprets an earlier row: it returns a stored answer, that the key is
// free again, or a refusal.
func (l *Ledger) resolve(ctx context.Context, c Call, row wire.Row) (stored *wire.LedgerRecord, free bool, err error) {
	record := decode(row)
	age := time.Since(time.UnixMilli(int64(record.AtMs)))
	if age > l.retention && record.State != wire.LedgerRecordStateDispatched {
		return nil, true, nil
	}
	if record.BodyHash != c.BodyHash {
		return nil, false, refusal.New(refusal.KeyReused, "the key was used for a different call")
	}
	switch record.State {
	case wire.LedgerRecordStateDone:
		if record.Status == 0 {
			return nil, false, refusal.New(refusal.AnswerNotKept, "the call ran; its answer was too large to store").WithOutcome(refusal.Unknown)
		}
		return &record, false, nil
	case wire.LedgerRecordStateNotRun:
		return nil, true, nil
	case wire.LedgerRecordStateUnknown:
		return nil, false, refusal.New(refusal.UnknownOutcome, "the call may have run")
	}
	if age < dispatchTimeout && l.owners.Runs(record.Box, record.Incarnation) {
		return nil, false, refusal.New(refusal.InProgress, "the call is in progress").WithRetryAfter(retryAfter)
	}
	record.State = wire.LedgerRecordStateUnknown
	// Whether or not this write takes effect, the answer is the same.
	l.put(ctx, row.Key, row.Version, record)
	return nil, false, refusal.New(refusal.DispatcherGone, "the box that dispatched the call has stopped")
}

// Done stores the answer of a dispatched call.
func (l *Ledger) Done(e *Entry, status int, contentType string, body []byte) {
	record := e.record
	record.State = wire.LedgerRecordStateDone
	if len(body) <= maxBodySize {
		record.Status, record.ContentType, record.Body = status, contentType, string(body)
	}
	l.finish(e, record)
}

// NotRun frees the key of a call of which no byte was sent.
func (l *Ledger) NotRun(e *Entry) {
	record := e.record
	record.State = wire.LedgerRecordStateNotRun
	l.finish(e, record)
}

// Unknown records that a call may have run.
func (l *Ledger) Unknown(e *Entry) {
	record := e.record
	record.State = wire.LedgerRecordStateUnknown
	l.finish(e, record)
}

// finish writes the final state of an entry. If that takes longer than
// finishTimeout, the write continues in the background.
func (l *Ledger) finish(e *Entry, record wire.LedgerRecord) {
	l.recent.finish(e, record)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.rewrite(e, record)
	}()
	wait := time.NewTimer(finishTimeout)
	defer wait.Stop()
	select {
	case <-done:
	case <-wait.C:
	}
}

// rewrite replaces the entry's own row by a record, and retries until the write
// is confirmed.
func (l *Ledger) rewrite(e *Entry, record wire.LedgerRecord) {
	version := e.version
	until := time.Now().Add(rewriteTimeout)
	for time.Now().Before(until) && l.ctx.Err() == nil {
		r := l.put(l.ctx, e.key, version, record)
		if r.outcome == written {
			return
		}
		if r.outcome == conflicts {
			current := decode(r.row)
			if current.Token != e.Token || current.State == record.State {
				return // another entry's row, or this write took effect
			}
			version = r.row.Version
			continue
		}
		if !sleep(l.ctx, rewriteInterval) {
			return
		}
	}
}

// undo frees the key of an entry whose insert has an unknown outcome: nothing
// was dispatched, and the key must not stay blocked.
func (l *Ledger) undo(e *Entry) {
	record := e.record
	record.State = wire.LedgerRecordStateNotRun
	l.rewrite(e, record)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
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
	// The token identifies only the dispatched row: the later states of the same
	// entry carry it too.
	token := ""
	if record.State == wire.LedgerRecordStateDispatched {
		token = record.Token
	}
	return l.group.put(ctx, wire.RowCheck{Key: key, Version: version}, wire.RowWrite{Key: key, Value: string(value)}, token)
}

// Clean removes rows past their retention. Only one box at a time runs it.
func (l *Ledger) Clean(ctx context.Context) error {
	rows, err := l.table.Scan(ctx, prefix, "")
	if err != nil {
		return err
	}
	for _, row := range rows {
		record := decode(row)
		old := time.Since(time.UnixMilli(int64(record.AtMs))) > l.retention
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

// rowKey hashes the caller's key, which may be of any form and length.
func rowKey(c Call) string {
	sum := sha256.Sum256([]byte(c.Key))
	return prefix + c.Organisation + "/" + hex.EncodeToString(sum[:])
}

// HashOf returns the hash that distinguishes calls with the same key.
func HashOf(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + "\n" + path + "\n"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func decode(row wire.Row) wire.LedgerRecord {
	var r wire.LedgerRecord
	// A row that does not decode counts as written by an unknown box.
	_ = json.Unmarshal([]byte(row.Value), &r)
	return r
}
