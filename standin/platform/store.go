package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"petrelstep/platform/members"
	"petrelstep/platform/store"
	"petrelstep/revision"
	"petrelstep/wire"
)

// rowsAnswer is the response to all calls for rows.
type rowsAnswer struct {
	Rows    []store.Row       `json:"rows"`
	More    bool              `json:"more"`
	Version revision.Revision `json:"ver"`
	NowMs   int64             `json:"now_ms"`
}

// clockMs returns the store's steady clock.
func (p *Platform) clockMs() int64 { return time.Since(p.started).Milliseconds() }

// maxFeedWait bounds the long poll of the feed.
const maxFeedWait = 30 * time.Second

// Put writes rows as the platform's operator and workers would.
func (p *Platform) Put(rows ...store.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyWritten(store.Transaction{Put: rows})
}

// Remove removes rows as the platform's operator and workers would.
func (p *Platform) Remove(rows ...store.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyWritten(store.Transaction{Remove: rows})
}

// applyWritten applies what the operator and the workers write, once the store is there; the
// lock is held.
func (p *Platform) applyWritten(tx store.Transaction) {
	p.awaitBack()
	p.rows.apply(tx)
	p.recordWritten(tx)
}

// Forget drops the history of changes, so that the feed's readers have to list all rows again.
func (p *Platform) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows.version++
	p.rows.forgottenUntil, p.rows.history = p.rows.version, nil
}

// faultComponent returns the component whose faults apply to a table.
func faultComponent(table string) string {
	if table == members.Name {
		return Members
	}
	return Table
}

func (p *Platform) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx store.Transaction
	if !decode(w, r, &tx) {
		return
	}
	component := Table
	if len(tx.Put)+len(tx.Remove) > 0 {
		component = faultComponent(append(tx.Put, tx.Remove...)[0].Table)
	}
	serve := func(w http.ResponseWriter, _ *http.Request) { p.transact(w, tx) }
	if component == Members {
		p.withFault(Members, serve).ServeHTTP(w, r)
		return
	}
	p.withFault(TableWrites, p.withFault(Table, serve).ServeHTTP).ServeHTTP(w, r)
}

func (p *Platform) transact(w http.ResponseWriter, tx store.Transaction) {
	if !p.mayWrite(time.Now()) {
		http.Error(w, "too many writes", http.StatusTooManyRequests)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abortIfSuspended()
	p.setEra(w.Header())
	now, ok := p.rows.expectationsHold(tx)
	if !ok {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(rowsAnswer{Rows: now, Version: p.rows.version, NowMs: p.clockMs()})
		return
	}
	p.rows.apply(tx)
	p.commits++
	p.recordMembers(tx)
	answer(w, rowsAnswer{Rows: []store.Row{}, Version: p.rows.version, NowMs: p.clockMs()})
}

// recordMembers adds a transaction's changes to the delayed list of boxes; the lock is held.
func (p *Platform) recordMembers(tx store.Transaction) {
	for _, r := range tx.Put {
		var m wire.Member
		if r.Table == members.Name && json.Unmarshal(r.Value, &m) == nil {
			p.members = append(p.members, memberChange{at: time.Now(), member: m})
		}
	}
	for _, r := range tx.Remove {
		if r.Table == members.Name {
			p.members = append(p.members, memberChange{at: time.Now(), member: wire.Member{Box: r.Key}, removed: true})
		}
	}
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	wanted := store.Range{Table: q.Get("table"), Part: q.Get("part"), From: q.Get("from"), Until: q.Get("target_version")}
	p.withFault(faultComponent(wanted.Table), func(w http.ResponseWriter, _ *http.Request) {
		if wanted.Table == members.Name {
			answer(w, rowsAnswer{Rows: p.memberRows()})
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.abortIfSuspended()
		p.setEra(w.Header())
		p.reads++
		state := p.table()
		rows := state.inRange(wanted)
		limit, err := strconv.Atoi(q.Get("limit"))
		more := err == nil && len(rows) > limit
		if more {
			rows = rows[:limit]
		}
		answer(w, rowsAnswer{Rows: rows, More: more, Version: state.version, NowMs: p.clockMs()})
	}).ServeHTTP(w, r)
}

func (p *Platform) memberRows() []store.Row {
	rows := []store.Row{}
	for _, m := range p.List().Members {
		raw, err := json.Marshal(m)
		if err != nil {
			panic(err) // a wire type
		}
		rows = append(rows, store.Row{Table: members.Name, Key: m.Box, Value: raw, Version: 1})
	}
	return rows
}

func (p *Platform) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("watch_after"), 10, 64)
	if err != nil {
		http.Error(w, "watch_after: not a version", http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(q.Get("wait_ms")) // 0 if missing
	end := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxFeedWait))
	defer end.Stop()
	p.withFault(Table, func(w http.ResponseWriter, r *http.Request) { p.feed(w, r, q.Get("table"), after, end.C) }).ServeHTTP(w, r)
}

func (p *Platform) feed(w http.ResponseWriter, r *http.Request, name string, after int64, end <-chan time.Time) {
	for waiting, era := true, 0; ; {
		p.mu.Lock()
		if era == 0 {
			era = p.era
			p.setEra(w.Header())
		}
		ended := p.suspended || p.era != era
		rows, ok := p.rows.since(name, revision.Revision(after))
		version, changed := p.rows.version, p.rows.changed
		p.mu.Unlock()
		if ended {
			panic(http.ErrAbortHandler)
		}
		if !ok {
			http.Error(w, "forgotten", http.StatusGone)
			return
		}
		if len(rows) > 0 || !waiting {
			answer(w, rowsAnswer{Rows: rows, Version: version, NowMs: p.clockMs()})
			return
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
