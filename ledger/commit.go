package ledger

import (
	"context"
	"time"

	"petrelstep/platform/table"
	"petrelstep/uniqueid"
	"petrelstep/wire"
)

// groupMost bounds the rows of one transaction.
const groupMost = 64

// resends is how often a transaction whose reply was lost is sent again
// before its requests are given up on.
const resends = 2

// Table is the platform's table.
type Table interface {
	Get(ctx context.Context, key string) (wire.Row, error)
	Scan(ctx context.Context, prefix, after string) ([]wire.Row, error)
	Transact(ctx context.Context, tx wire.Transaction) (wire.TransactionAnswer, error)
}

// outcome is what became of one row's write.
type outcome int

const (
	written   outcome = iota
	conflicts         // another has written the row
	refused           // certain that it was not written
	unsettled         // it may have been written, or may yet be
)

type write struct {
	check  wire.RowCheck
	row    wire.RowWrite
	token  string // that the row's value carries
	result chan result
}

type result struct {
	outcome outcome
	row     wire.Row // in the way, on a conflict
}

// group commits the writes of many requests in one transaction: while one is
// under way, those that come wait for the next.
type group struct {
	table  Table
	queue  chan write
	behind []write // for rows that the last batch had already
}

func newGroup(t Table) *group { return &group{table: t, queue: make(chan write, 4*groupMost)} }

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
		if len(g.behind) > 0 {
			batch := g.behind
			g.behind = nil
			g.commit(ctx, g.gather(batch))
			continue
		}
		select {
		case <-ctx.Done():
			g.refuseRest()
			return
		case first := <-g.queue:
			g.commit(ctx, g.gather([]write{first}))
		}
	}
}

func (g *group) refuseRest() {
	for {
		select {
		case w := <-g.queue:
			w.result <- result{outcome: refused}
		default:
			return
		}
	}
}

// gather adds what waits to a batch. A second write of a row has to see what
// became of the first, so it stays behind.
func (g *group) gather(first []write) []write {
	var batch []write
	seen := map[string]bool{}
	add := func(w write) {
		if seen[w.check.Key] {
			g.behind = append(g.behind, w)
			return
		}
		seen[w.check.Key] = true
		batch = append(batch, w)
	}
	for _, w := range first {
		add(w)
	}
	for len(batch) < groupMost {
		select {
		case w := <-g.queue:
			add(w)
		default:
			return batch
		}
	}
	return batch
}

// commit sends a batch until each write of it is settled or given up on. A
// conflict fails the whole transaction: the rows in the way are answered, and
// the rest is sent again.
func (g *group) commit(ctx context.Context, batch []write) {
	sent := false // an earlier sending may have taken effect
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
			if losses > resends || ctx.Err() != nil {
				settle(batch, result{outcome: unsettled})
				return
			}
			time.Sleep(time.Duration(losses) * 50 * time.Millisecond)
		}
	}
}

// answerConflicts answers the writes whose rows are in the way, and returns
// the others. A row that carries the write's own token was written by it.
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
