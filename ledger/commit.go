package ledger

import (
	"context"
	"time"

	"petrelstep/platform/table"
	"petrelstep/uniqueid"
	"petrelstep/wire"
)

// maxBatchSize is the maximum number of rows in one transaction.
const maxBatchSize = 64

// maxResends is how often a transaction is sent again after a lost reply before
// its writes count as unsettled.
const maxResends = 2

// Table is the platform's table.
type Table interface {
	Get(ctx context.Context, key string) (wire.Row, error)
	Scan(ctx context.Context, prefix, after string) ([]wire.Row, error)
	// ScanInEra also returns the store's era, which rises when the store is restored from a copy.
	ScanInEra(ctx context.Context, prefix, after string) (rows []wire.Row, era int, err error)
	Transact(ctx context.Context, tx wire.Transaction) (wire.TransactionAnswer, error)
}

// outcome is the result of one row's write.
type outcome int

const (
	written   outcome = iota
	conflicts         // the row was written by another
	refused           // certainly not written
	unsettled         // may have been written, or may still be
)

type write struct {
	check  wire.RowCheck
	row    wire.RowWrite
	token  string // in the row's value
	result chan result
}

type result struct {
	outcome outcome
	row     wire.Row // the conflicting row
}

// group commits the writes of many requests in one transaction. Writes that
// arrive during a transaction are queued for the next.
type group struct {
	table    Table
	queue    chan write
	deferred []write // to rows that the last batch already wrote
}

func newGroup(t Table) *group { return &group{table: t, queue: make(chan write, 4*maxBatchSize)} }

// put writes one row if its check holds; it waits for the outcome.
func (g *group) put(ctx context.Context, check wire.RowCheck, row wire.RowWrite, token string) result {
	w := write{check: check, row: row, token: token, result: make(chan result, 1)}
	select {
	case g.queue <- w:
	case <-ctx.Done():
		return result{outcome: refused}
	}
	return <-w.result
}

func (g *group) run(ctx context.Context) {
	for {
		if len(g.deferred) > 0 {
			batch := g.deferred
			g.deferred = nil
			g.commit(ctx, g.fillBatch(batch))
			continue
		}
		select {
		case <-ctx.Done():
			g.refuseQueued()
			return
		case first := <-g.queue:
			g.commit(ctx, g.fillBatch([]write{first}))
		}
	}
}

func (g *group) refuseQueued() {
	for {
		select {
		case w := <-g.queue:
			w.result <- result{outcome: refused}
		default:
			return
		}
	}
}

// fillBatch adds queued writes to a batch. A second write to a row depends on
// the outcome of the first, so it is deferred to the next batch.
func (g *group) fillBatch(first []write) []write {
	var batch []write
	seen := map[string]bool{}
	add := func(w write) {
		if seen[w.check.Key] {
			g.deferred = append(g.deferred, w)
			return
		}
		seen[w.check.Key] = true
		batch = append(batch, w)
	}
	for _, w := range first {
		add(w)
	}
	for len(batch) < maxBatchSize {
		select {
		case w := <-g.queue:
			add(w)
		default:
			return batch
		}
	}
	return batch
}

// commit sends a batch until each of its writes has an outcome. A conflict
// fails the whole transaction: the conflicting writes are answered, and the
// others are sent again.
func (g *group) commit(ctx context.Context, batch []write) {
	sent := false // an earlier transaction may have taken effect
	losses := 0
	for len(batch) > 0 {
		answer, err := g.table.Transact(ctx, transaction(batch))
		switch {
		case err == nil && answer.Committed:
			settle(batch, result{outcome: written})
			return
		case err == nil:
			batch = g.answerConflicts(batch, answer.Conflicts)
		case table.NoEffect(err) && !sent:
			settle(batch, result{outcome: refused})
			return
		default:
			sent = true
			losses++
			if losses > maxResends || ctx.Err() != nil {
				settle(batch, result{outcome: unsettled})
				return
			}
			time.Sleep(time.Duration(losses) * 50 * time.Millisecond)
		}
	}
}

// answerConflicts answers the writes whose rows conflict, and returns the
// others. A row with the write's own token was written by an earlier attempt.
func (g *group) answerConflicts(batch []write, rows []wire.Row) []write {
	byKey := map[string]wire.Row{}
	for _, r := range rows {
		byKey[r.Key] = r
	}
	var rest []write
	for _, w := range batch {
		row, ok := byKey[w.check.Key]
		switch {
		case !ok:
			rest = append(rest, w)
		case decode(row).Token == w.token && w.token != "":
			w.result <- result{outcome: written}
		default:
			w.result <- result{outcome: conflicts, row: row}
		}
	}
	return rest
}

func settle(batch []write, r result) {
	for _, w := range batch {
		w.result <- r
	}
}

func transaction(batch []write) wire.Transaction {
	tx := wire.Transaction{Token: uniqueid.New()}
	for _, w := range batch {
		tx.Checks = append(tx.Checks, w.check)
		tx.Writes = append(tx.Writes, w.row)
	}
	return tx
}
