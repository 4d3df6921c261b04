package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"petrelstep/platform/members"
	"petrelstep/platform/store"
	"petrelstep/wire"
)

// rowsAnswer is what calls about rows answer.
type rowsAnswer struct {
	Rows    []store.Row `json:"rows"`
	More    bool        `json:"more"`
	Version int64       `json:"ver"`
	NowMs   int64       `json:"now_ms"`
}

// waitMost bounds how long the feed holds an answer back.
const waitMost = 30 * time.Second

// Put writes rows as the platform's operator and workers do.
func (p *Platform) Put(rows ...store.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows.apply(store.Transaction{Put: rows})
}

// Remove removes rows likewise.
func (p *Platform) Remove(rows ...store.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows.apply(store.Transaction{Remove: rows})
}

// Forget drops the history of changes, so that feeds have to list anew.
func (p *Platform) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows.version++
	p.rows.lost, p.rows.history = p.rows.version, nil
}

// partOf names the part of the platform that faults strike for a table.
func partOf(table string) string {
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
	part := Table
	if len(tx.Put)+len(tx.Remove) > 0 {
		part = partOf(append(tx.Put, tx.Remove...)[0].Table)
	}
	serve := func(w http.ResponseWriter, _ *http.Request) { p.transact(w, tx) }
	if part == Members {
		p.struckBy(Members, serve).ServeHTTP(w, r)
		return
	}
	p.struckBy(TableWrites, p.struckBy(Table, serve).ServeHTTP).ServeHTTP(w, r)
}

func (p *Platform) transact(w http.ResponseWriter, tx store.Transaction) {
	if !p.mayWrite(time.Now()) {
		http.Error(w, "too many writes", http.StatusTooManyRequests)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now, ok := p.rows.holds(tx)
	if !ok {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(rowsAnswer{Rows: now, Version: p.rows.version})
		return
	}
	p.rows.apply(tx)
	p.commits++
	p.noteMembers(tx)
	answer(w, rowsAnswer{Rows: []store.Row{}, Version: p.rows.version})
}

// noteMembers keeps the lagging list; the lock is held.
func (p *Platform) noteMembers(tx store.Transaction) {
	for _, r := range tx.Put {
		var m wire.Member
		if r.Table == members.Name && json.Unmarshal(r.Value, &m) == nil {
			p.members = append(p.members, memberChange{at: time.Now(), member: m})
		}
	}
	for _, r := range tx.Remove {
		if r.Table == members.Name {
			p.members = append(p.members, memberChange{at: time.Now(), member: wire.Member{Box: r.Key}, gone: true})
		}
	}
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	wanted := store.Range{Table: q.Get("table"), Part: q.Get("part"), From: q.Get("from"), Until: q.Get("target_version")}
	p.struckBy(partOf(wanted.Table), func(w http.ResponseWriter, _ *http.Request) {
		if wanted.Table == members.Name {
			answer(w, rowsAnswer{Rows: p.memberRows()})
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.reads++
		state := p.table()
		rows := state.in(wanted)
		limit, err := strconv.Atoi(q.Get("limit"))
		more := err == nil && len(rows) > limit
		if more {
			rows = rows[:limit]
		}
		answer(w, rowsAnswer{Rows: rows, More: more, Version: state.version})
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
	ms, _ := strconv.Atoi(q.Get("wait_ms")) // none is no wait
	end := time.NewTimer(min(time.Duration(ms)*time.Millisecond, waitMost))
	defer end.Stop()
	p.struckBy(Table, func(w http.ResponseWriter, r *http.Request) { p.feed(w, r, q.Get("table"), after, end.C) }).ServeHTTP(w, r)
}

func (p *Platform) feed(w http.ResponseWriter, r *http.Request, name string, after int64, end <-chan time.Time) {
	for waiting := true; ; {
		p.mu.Lock()
		rows, ok := p.rows.since(name, after)
		version, changed := p.rows.version, p.rows.changed
		p.mu.Unlock()
		if !ok {
			http.Error(w, "forgotten", http.StatusGone)
			return
		}
		if len(rows) > 0 || !waiting {
			answer(w, rowsAnswer{Rows: rows, Version: version})
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
