package ledger

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/revision"
	"petrelstep/uniqueid"
	"petrelstep/wire"
)

const (
	// eraPrefix is not below prefix, whose rows are records of calls.
	eraPrefix  = "ledger-era/"
	settledKey = eraPrefix + "settled"
	boxPrefix  = eraPrefix + "box/"

	// firstEra is the era of a store that was never restored.
	firstEra = 1
	// lookInterval is how often a box looks at the store's era while a restore could lose its calls.
	// It has to learn of a restore well within revision.RestoreTime.
	lookInterval = time.Second
	// settleInterval is the same while no call may begin, and after a look that failed.
	settleInterval = 500 * time.Millisecond
	// silentTimeout is how long calls wait for a box that is not heard from.
	silentTimeout = 10 * time.Second
	// confirmTimeout is how long calls wait for a box that is heard from. It may have no connection to
	// the store, or be of a release that does not confirm.
	confirmTimeout = time.Minute
)

// Other is another box that may have dispatched calls.
type Other struct {
	Box   string
	Heard bool // it was heard from recently
}

// eraWatch decides whether calls may begin in the store's current era. A restored store may lack
// the records of calls that ran. It is safe for concurrent use.
type eraWatch struct {
	ctx    context.Context // ends writes of calls
	table  Table
	recent *recent
	box    string
	again  func(ctx context.Context, c *recentCall) // writes a call's row again
	others func() []Other                           // nil if no other box waits for this one
	log    *logrus.Entry                            // nil for none
	wake   chan struct{}

	known atomic.Bool // era is

	mu      sync.Mutex // held during a look
	era     int
	since   time.Time          // this box has known the era
	written *atomic.Bool       // this box's calls, in this era
	cancel  context.CancelFunc // ends their writes
	waiting int                // number of boxes that were last waited for
}

// storedEra is a decoded row below eraPrefix; version 0 if it is absent.
type storedEra struct {
	wire.LedgerEra
	version int
}

func newEraWatch(ctx context.Context, t Table, r *recent, box string, again func(context.Context, *recentCall)) *eraWatch {
	return &eraWatch{
		ctx: ctx, table: t, recent: r, box: box, again: again,
		wake: make(chan struct{}, 1), written: &atomic.Bool{}, cancel: func() {},
	}
}

// run looks at the store's era until ctx ends.
func (w *eraWatch) run(ctx context.Context) {
	pause := lookInterval
	if w.others != nil {
		pause = 0
	}
	for {
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-w.wake:
		case <-t.C:
		}
		t.Stop()
		pause = w.lookIfDue(ctx)
	}
}

// lookIfDue looks at the store's era if this box's calls, or those of others, depend on it. It
// returns the time until the next look.
func (w *eraWatch) lookIfDue(ctx context.Context) time.Duration {
	awaited := w.others != nil && !w.known.Load()
	if !awaited && !w.recent.isClosed() && !w.recent.any(time.Now()) {
		return lookInterval
	}
	began, err := w.look(ctx)
	switch {
	case began:
		return 0
	case err != nil || w.recent.isClosed():
		return settleInterval
	}
	return lookInterval
}

// neverRestored reports whether the store is known to be in its first era.
func (w *eraWatch) neverRestored(ctx context.Context) bool {
	if !w.known.Load() {
		if began, err := w.look(ctx); began || err != nil {
			w.wakeUp()
			return false
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.era <= firstEra
}

// look reads the store's era. If it is another one than before, no call begins until the era is
// settled.
func (w *eraWatch) look(ctx context.Context) (began bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	closings, closed := w.recent.state()
	wanted := eraPrefix
	if w.known.Load() && !closed {
		wanted = settledKey // the other rows matter only while calls wait
	}
	rows, era, err := w.table.ScanInEra(ctx, wanted, "")
	if err != nil {
		return false, err
	}
	switch {
	case w.known.Load() && era == w.era:
		if closed {
			w.settle(ctx, decodeEras(rows), closings)
		}
		return false, nil
	case !w.known.Load() && !closed && (era <= firstEra || isSettled(decodeEras(rows), era)):
		w.era, w.since = era, time.Now()
		w.written.Store(true) // there are no calls yet
		w.known.Store(true)
		return false, nil
	}
	w.begin(era)
	return true, nil
}

// begin holds calls back in a new era, and writes the records of this box's calls again.
func (w *eraWatch) begin(era int) {
	w.cancel()
	now := time.Now()
	calls, written := w.recent.restored(now), &atomic.Bool{}
	w.logEvent(logrus.InfoLevel, "calls_held", logrus.Fields{"era": era, "before": w.era, "calls": len(calls)})
	w.era, w.since, w.written, w.waiting = era, now, written, 0
	w.known.Store(true)
	ctx, cancel := context.WithCancel(w.ctx)
	w.cancel = cancel
	go w.writeAgain(ctx, calls, written)
}

// writeAgain writes the rows of calls again.
func (w *eraWatch) writeAgain(ctx context.Context, calls []*recentCall, written *atomic.Bool) {
	var all sync.WaitGroup
	for _, c := range calls {
		all.Go(func() { w.again(ctx, c) })
	}
	all.Wait()
	written.Store(ctx.Err() == nil)
}

// settle confirms that this box's calls are written, and lets calls begin once those of all boxes are.
func (w *eraWatch) settle(ctx context.Context, rows map[string]storedEra, closings int) {
	written, age := w.written.Load(), time.Since(w.since)
	if isSettled(rows, w.era) {
		if written {
			w.open(closings, "settled_by_another")
		}
		return
	}
	state := wire.LedgerEraStateWriting
	if written {
		state = wire.LedgerEraStateWritten
	}
	own := boxPrefix + w.box
	if r := rows[own]; r.Era != w.era || r.State != state {
		w.put(ctx, own, r.version, state)
		return
	}
	if !written || age < revision.RestoreTime || w.waits(rows, age) {
		return
	}
	if w.put(ctx, settledKey, rows[settledKey].version, wire.LedgerEraStateSettled) {
		w.open(closings, "settled")
	}
}

// open lets calls begin.
func (w *eraWatch) open(closings int, reason string) {
	if w.recent.open(closings) {
		w.logEvent(logrus.InfoLevel, "calls_resumed", logrus.Fields{"era": w.era, "reason": reason, "held_ms": time.Since(w.since).Milliseconds()})
	}
}

// waits reports whether calls wait for other boxes.
func (w *eraWatch) waits(rows map[string]storedEra, age time.Duration) bool {
	waiting := w.unconfirmed(rows, age)
	if len(waiting) != w.waiting {
		w.waiting = len(waiting)
		w.logEvent(logrus.WarnLevel, "calls_wait", logrus.Fields{"era": w.era, "boxes": waiting, "held_ms": age.Milliseconds()})
	}
	return len(waiting) > 0
}

// unconfirmed returns the boxes that may have calls whose records they have yet to write again.
func (w *eraWatch) unconfirmed(rows map[string]storedEra, age time.Duration) (boxes []string) {
	states := map[string]wire.LedgerEraState{} // in this era
	for key, r := range rows {
		if key == settledKey || r.Era != w.era {
			continue
		}
		states[r.Box] = r.State
		if r.State == wire.LedgerEraStateWriting && age < confirmTimeout {
			boxes = append(boxes, r.Box)
		}
	}
	for _, o := range w.listOthers() {
		limit := silentTimeout
		if o.Heard {
			limit = confirmTimeout
		}
		if _, known := states[o.Box]; !known && age < limit {
			boxes = append(boxes, o.Box)
		}
	}
	sort.Strings(boxes)
	return boxes
}

func (w *eraWatch) listOthers() []Other {
	if w.others == nil {
		return nil
	}
	return w.others()
}

// put writes a row of this era if it has the given version.
func (w *eraWatch) put(ctx context.Context, key string, version int, state wire.LedgerEraState) bool {
	value, err := json.Marshal(wire.LedgerEra{Era: w.era, State: state, Box: w.box})
	if err != nil {
		return false
	}
	answer, err := w.table.Transact(ctx, wire.Transaction{
		Token:  uniqueid.New(),
		Checks: []wire.RowCheck{{Key: key, Version: version}},
		Writes: []wire.RowWrite{{Key: key, Value: string(value)}},
	})
	return err == nil && answer.Committed
}

func (w *eraWatch) logEvent(level logrus.Level, event string, fields logrus.Fields) {
	if w.log != nil {
		w.log.WithFields(fields).Log(level, event)
	}
}

// wakeUp lets run look at once.
func (w *eraWatch) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// isSettled reports whether all boxes have written their calls again in an era.
func isSettled(rows map[string]storedEra, era int) bool {
	return rows[settledKey].version > 0 && rows[settledKey].Era == era
}

func decodeEras(rows []wire.Row) map[string]storedEra {
	eras := map[string]storedEra{}
	for _, row := range rows {
		e := storedEra{version: row.Version}
		// A row that does not decode says nothing of this era, and is written over.
		_ = json.Unmarshal([]byte(row.Value), &e.LedgerEra)
		eras[row.Key] = e
	}
	return eras
}
