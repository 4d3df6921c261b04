// Package platform is the stand-in for the platform's services: the metadata store's
// published calls (rows, transactions, the feed of changes) with a delayed list of boxes,
// an object store, and a rate-limited weight store. Faults make them be down or slow, lose
// the reply to a write that took effect, return an older state, or drop the history. The
// metadata store can be restored from an older copy of its rows.
package platform

import (
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"petrelstep/platform/store"
	"petrelstep/platform/table"
	"petrelstep/wire"
)

// Components that faults can be injected into.
const (
	Table       = "table"
	TableWrites = "table_writes" // transactions only
	Objects     = "objects"
	Members     = "members"
	Weights     = "weights"
)

// Options configure the stand-in.
type Options struct {
	MemberLag       time.Duration // age of the list of boxes
	WeightsPerSec   float64       // reads allowed per second; 0 for no limit
	WritesPerSecond float64       // transactions allowed per second; 0 for no limit
}

type fault struct {
	mode      wire.FaultMode
	delay     time.Duration
	remaining int
	limited   bool
}

// Platform holds the state and the faults of all services. It is safe for use by several
// goroutines.
type Platform struct {
	started time.Time
	mu      sync.Mutex
	rows    *rowSet
	oldRows *rowSet // returned to readers under the fault "old"
	objects map[string][]byte
	members []memberChange
	faults  map[string]*fault
	weights *rate.Limiter
	writes  *rate.Limiter
	lag     time.Duration
	reads   int
	commits int

	era       int
	suspended bool                 // the store is away until it is restored
	back      *sync.Cond           // signals its return
	written   map[rowKey]store.Row // by the operator and the workers, last
}

type memberChange struct {
	at      time.Time
	member  wire.Member
	removed bool
}

// New returns an empty platform.
func New(options Options) *Platform {
	p := &Platform{
		started: time.Now(),
		rows:    newRowSet(),
		objects: map[string][]byte{},
		faults:  map[string]*fault{},
		weights: limiter(options.WeightsPerSec),
		writes:  limiter(options.WritesPerSecond),
		lag:     options.MemberLag,
		era:     1,
		written: map[rowKey]store.Row{},
	}
	p.back = sync.NewCond(&p.mu)
	return p
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Fault injects a fault into a component, for a number of calls or until it is replaced.
func (p *Platform) Fault(f wire.Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[f.Part] = &fault{
		mode: f.Mode, delay: time.Duration(f.DelayMs) * time.Millisecond, remaining: f.Count, limited: f.Count > 0,
	}
	if f.Mode == wire.FaultModeOld {
		p.oldRows = p.rows.clone()
	}
}

// HandOut makes the table return these rows to readers instead of its own, as a replica
// that lags behind would.
func (p *Platform) HandOut(rows map[string]wire.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[Table] = &fault{mode: wire.FaultModeOld}
	p.oldRows = newRowSet()
	for key, r := range rows {
		p.oldRows.apply(store.Transaction{Put: []store.Row{{Table: table.Name, Key: key, Value: table.Encode(r.Version, r.Value)}}})
	}
}

// nextFault returns the fault for the next call to a component, and counts the call.
func (p *Platform) nextFault(component string) (wire.FaultMode, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, ok := p.faults[component]
	if !ok || f.limited && f.remaining == 0 {
		return wire.FaultModeNone, 0
	}
	if f.limited {
		f.remaining--
	}
	return f.mode, f.delay
}

// Counts returns the numbers of reads and commits that the table served.
func (p *Platform) Counts() (reads, commits int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.commits
}

// Transact applies the writes to petrelstep's own rows if all checks hold.
func (p *Platform) Transact(t wire.Transaction) wire.TransactionAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	conflicts := []wire.Row{}
	for _, c := range t.Checks {
		if row := p.rows.own(c.Key); row.Version != c.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return wire.TransactionAnswer{Conflicts: conflicts}
	}
	var tx store.Transaction
	for _, w := range t.Writes {
		row := store.Row{Table: table.Name, Key: w.Key}
		if w.Remove {
			tx.Remove = append(tx.Remove, row)
			continue
		}
		row.Value = table.Encode(max(p.rows.own(w.Key).Version+1, w.Version), w.Value)
		tx.Put = append(tx.Put, row)
	}
	p.rows.apply(tx)
	p.commits++
	return wire.TransactionAnswer{Committed: true, Conflicts: conflicts}
}

// Get returns one of petrelstep's own rows; version 0 means that there is none.
func (p *Platform) Get(key string) wire.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	return p.table().own(key)
}

// Scan returns petrelstep's own rows whose keys begin with prefix and lie after a key.
func (p *Platform) Scan(prefix, after string) []wire.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	rows := []wire.Row{}
	for _, r := range p.table().inRange(store.Range{Table: table.Name, From: prefix}) {
		if strings.HasPrefix(r.Key, prefix) && r.Key > after {
			rows = append(rows, decoded(r))
		}
	}
	return rows
}

// table returns the state for readers; the lock is held.
func (p *Platform) table() *rowSet {
	if f, ok := p.faults[Table]; ok && f.mode == wire.FaultModeOld && (!f.limited || f.remaining > 0) {
		return p.oldRows
	}
	return p.rows
}

// Join adds a box to the list, or updates its state there.
func (p *Platform) Join(m wire.Member) { p.change(m, false) }

// Leave removes a box from the list.
func (p *Platform) Leave(m wire.Member) { p.change(m, true) }

func (p *Platform) change(m wire.Member, removed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = append(p.members, memberChange{at: time.Now(), member: m, removed: removed})
}

// List returns the list of boxes as it was MemberLag ago.
func (p *Platform) List() wire.MemberList {
	p.mu.Lock()
	defer p.mu.Unlock()
	boxes := map[string]wire.Member{}
	for _, c := range p.members {
		if time.Since(c.at) < p.lag {
			break
		}
		if c.removed {
			delete(boxes, c.member.Box)
			continue
		}
		boxes[c.member.Box] = c.member
	}
	list := wire.MemberList{Members: []wire.Member{}}
	for _, m := range boxes {
		list.Members = append(list.Members, m)
	}
	sort.Slice(list.Members, func(i, j int) bool { return list.Members[i].Box < list.Members[j].Box })
	return list
}

// TakeWeights requests permission to read weights from the rate-limited store.
func (p *Platform) TakeWeights(now time.Time) wire.WeightsAnswer {
	r := p.weights.ReserveN(now, 1)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return wire.WeightsAnswer{RetryAfterMs: int(wait.Milliseconds()) + 1}
	}
	return wire.WeightsAnswer{Granted: true}
}

// mayWrite reports whether the rate limit allows one more transaction.
func (p *Platform) mayWrite(now time.Time) bool { return p.writes.AllowN(now, 1) }
