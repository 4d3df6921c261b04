package platform

import (
	"bytes"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"petrelstep/platform/store"
)

// eraHeader names, in each answer, how often the store has come back from a copy, from 1.
const eraHeader = "Store-Era"

// Copy is the state of the metadata store at a time.
type Copy struct {
	At      time.Time
	rows    *rowSet
	members []memberChange
	objects map[string][]byte
}

// Copy returns a copy from which the store can be restored.
func (p *Platform) Copy() *Copy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &Copy{At: time.Now(), rows: p.rows.clone(), members: slices.Clone(p.members), objects: maps.Clone(p.objects)}
}

// Suspend takes the store away until it is restored: connections with calls are reset, and the
// operator and the workers wait.
func (p *Platform) Suspend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspended = true
	close(p.rows.changed)
	p.rows.changed = make(chan struct{})
}

// Restore brings the store back from a copy. It begins a new era, in which the versions after
// the copy's are assigned again, and ends the calls that wait for changes.
func (p *Platform) Restore(c *Copy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.rows
	p.rows = c.rows.clone()
	p.rows.statuses = before.statuses // known to the test, not to the store
	p.members, p.objects = slices.Clone(c.members), maps.Clone(c.objects)
	p.era++
	p.suspended = false
	close(before.changed)
	p.back.Broadcast()
}

// awaitBack waits until the store is back; the lock is held.
func (p *Platform) awaitBack() {
	for p.suspended {
		p.back.Wait()
	}
}

// recordWritten records what the operator and the workers wrote last; the lock is held.
func (p *Platform) recordWritten(tx store.Transaction) {
	for _, r := range tx.Put {
		p.recordWrittenRow(r)
	}
	for _, r := range tx.Remove {
		r.Removed, r.Value = true, nil
		p.recordWrittenRow(r)
	}
}

func (p *Platform) recordWrittenRow(r store.Row) {
	if r.Table == "op" || r.Table == "servers" {
		p.written[keyOf(r)] = r
	}
}

// Lost returns what the operator and the workers wrote last, as far as the store has it no more,
// in no particular order. Removed rows are marked.
func (p *Platform) Lost() []store.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	var rows []store.Row
	for key, last := range p.written {
		if p.lacks(key, last) {
			rows = append(rows, last)
		}
	}
	return rows
}

// lacks reports whether the store holds another state of a row than its writer wrote last; the
// lock is held.
func (p *Platform) lacks(key rowKey, last store.Row) bool {
	r, ok := p.rows.rows[key]
	return ok == last.Removed || ok && !bytes.Equal(r.Value, last.Value)
}

// Rewrite writes again what the writer of a row wrote last, if the store has it no more.
func (p *Platform) Rewrite(r store.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.awaitBack()
	last, ok := p.written[keyOf(r)]
	switch {
	case !ok || !p.lacks(keyOf(r), last):
	case last.Removed:
		p.rows.apply(store.Transaction{Remove: []store.Row{last}})
	default:
		p.rows.apply(store.Transaction{Put: []store.Row{last}})
	}
}

// SetEra sets the header of an answer that names the store's era.
func (p *Platform) SetEra(h http.Header) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setEra(h)
}

func (p *Platform) currentEra() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}

func (p *Platform) setEra(h http.Header) { h.Set(eraHeader, strconv.Itoa(p.era)) }

// serveUnlessSuspended names the era in all answers, and resets the connections of calls while
// the store is away.
func (p *Platform) serveUnlessSuspended(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		suspended := p.suspended
		p.setEra(w.Header())
		p.mu.Unlock()
		if suspended {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// abortIfSuspended resets the connection of a call that reaches the store's rows while it is
// away; the lock is held, and the caller defers its release.
func (p *Platform) abortIfSuspended() {
	if p.suspended {
		panic(http.ErrAbortHandler)
	}
}
