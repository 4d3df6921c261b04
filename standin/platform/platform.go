// Package platform is the stand-in for the platform's services: the metadata
// store's published calls (rows, transactions, the feed of changes), with a
// list of boxes in it that lags, an object store and a rate-limited weight
// store. Each can be told to be down, slow, to lose the reply of a write that
// took effect, to hand out an older state, or to forget its history.
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

// Parts that faults can strike.
const (
	Table       = "table"
	TableWrites = "table_writes" // transactions only
	Objects     = "objects"
	Members     = "members"
	Weights     = "weights"
)

// Options set up the stand-in.
type Options struct {
	MemberLag       time.Duration
	WeightsPerSec   float64 // reads let through a second; 0 is no limit
	WritesPerSecond float64 // transactions let through a second; 0 is no limit
}

type fault struct {
	mode    wire.FaultMode
	delay   time.Duration
	left    int
	limited bool
}

// Platform is safe for use by several goroutines.
type Platform struct {
	mu      sync.Mutex
	rows    *rowSet
	old     *rowSet // what the fault "old" hands out
	objects map[string][]byte
	members []memberChange
	faults  map[string]*fault
	weights *rate.Limiter
	writes  *rate.Limiter
	lag     time.Duration
	reads   int
	commits int
}

type memberChange struct {
	at     time.Time
	member wire.Member
	gone   bool
}

// New returns an empty platform.
func New(options Options) *Platform {
	return &Platform{
		rows:    newRowSet(),
		objects: map[string][]byte{},
		faults:  map[string]*fault{},
		weights: limiter(options.WeightsPerSec),
		writes:  limiter(options.WritesPerSecond),
		lag:     options.MemberLag,
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Fault puts a fault into a part, for so many calls or until told otherwise.
func (p *Platform) Fault(f wire.Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[f.Part] = &fault{
		mode: f.Mode, delay: time.Duration(f.DelayMs) * time.Millisecond, left: f.Count, limited: f.Count > 0,
	}
	if f.Mode == wire.FaultModeOld {
		p.old = p.rows.clone()
	}
}

// HandOut makes the table hand out these rows instead of its own to readers,
// as a replica far behind does.
func (p *Platform) HandOut(rows map[string]wire.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[Table] = &fault{mode: wire.FaultModeOld}
	p.old = newRowSet()
	for key, r := range rows {
		p.old.apply(store.Transaction{Put: []store.Row{{Table: table.Name, Key: key, Value: table.Encode(r.Version, r.Value)}}})
	}
}

// struck returns the fault that strikes a call, and counts it.
func (p *Platform) struck(part string) (wire.FaultMode, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, ok := p.faults[part]
	if !ok || f.limited && f.left == 0 {
		return wire.FaultModeNone, 0
	}
	if f.limited {
		f.left--
	}
	return f.mode, f.delay
}

// Counts returns how many reads and commits the table served.
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
		row.Value = table.Encode(p.rows.own(w.Key).Version+1, w.Value)
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

// Scan returns those whose keys begin with prefix and lie after a key.
func (p *Platform) Scan(prefix, after string) []wire.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	rows := []wire.Row{}
	for _, r := range p.table().in(store.Range{Table: table.Name, From: prefix}) {
		if strings.HasPrefix(r.Key, prefix) && r.Key > after {
			rows = append(rows, decoded(r))
		}
	}
	return rows
}

// table returns the state to hand out; the lock is held.
func (p *Platform) table() *rowSet {
	if f, ok := p.faults[Table]; ok && f.mode == wire.FaultModeOld && (!f.limited || f.left > 0) {
		return p.old
	}
	return p.rows
}

// Join puts a box on the list, or changes its state there.
func (p *Platform) Join(m wire.Member) { p.change(m, false) }

// Leave takes a box off the list.
func (p *Platform) Leave(m wire.Member) { p.change(m, true) }

func (p *Platform) change(m wire.Member, gone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = append(p.members, memberChange{at: time.Now(), member: m, gone: gone})
}

// List returns the boxes as they were a while ago.
func (p *Platform) List() wire.MemberList {
	p.mu.Lock()
	defer p.mu.Unlock()
	boxes := map[string]wire.Member{}
	for _, c := range p.members {
		if time.Since(c.at) < p.lag {
			break
		}
		if c.gone {
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

// TakeWeights asks to read weights from the rate-limited store.
func (p *Platform) TakeWeights(now time.Time) wire.WeightsAnswer {
	r := p.weights.ReserveN(now, 1)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return wire.WeightsAnswer{RetryAfterMs: int(wait.Milliseconds()) + 1}
	}
	return wire.WeightsAnswer{Granted: true}
}

// mayWrite tells whether the table's rate lets one more transaction through.
func (p *Platform) mayWrite(now time.Time) bool { return p.writes.AllowN(now, 1) }
