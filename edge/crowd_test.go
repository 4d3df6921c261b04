package edge

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/config"
	"petrelstep/follow"
	"petrelstep/gossip"
	"petrelstep/logs"
	"petrelstep/metrics"
	"petrelstep/peer"
	"petrelstep/platform/manifest"
	"petrelstep/platform/store"
	"petrelstep/tally"
	"petrelstep/wire"
)

const (
	// callCost and rowCost are what a call and a row in it take of a box's processor.
	callCost = 750 * time.Microsecond
	rowCost  = 4 * time.Microsecond
	// listRow is what a row takes of the store, for all that list.
	listRow = 2 * time.Microsecond
)

// table is a store in memory that answers one listing after the other.
type table struct {
	mu      sync.Mutex
	rows    []store.Row
	changed chan struct{} // closed at the next change
	free    time.Time
	lists   map[string]int // by box
}

// put changes a row, or adds it.
func (t *table) put(table, key, value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows = slices.DeleteFunc(t.rows, func(r store.Row) bool { return r.Table == table && r.Key == key })
	t.rows = append(t.rows, store.Row{Table: table, Key: key, Value: []byte(value), Version: t.last() + 1})
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *table) last() int64 {
	if len(t.rows) == 0 {
		return 0
	}
	return t.rows[len(t.rows)-1].Version
}

// after returns the rows of a table that changed after a version, and the last one.
func (t *table) after(table string, version int64) ([]store.Row, int64, chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []store.Row
	for _, r := range t.rows {
		if r.Table == table && r.Version > version {
			rows = append(rows, r)
		}
	}
	return rows, t.last(), t.changed
}

// reader is a box's way to the table.
type reader struct {
	*table
	box string
}

// Rows implements manifest.Rows.
func (r reader) Rows(ctx context.Context, of store.Range) ([]store.Row, int64, error) {
	rows, last, _ := r.after(of.Table, 0)
	r.mu.Lock()
	r.lists[r.box]++
	now := time.Now()
	if r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(time.Duration(len(rows)) * listRow)
	wait := r.free.Sub(now)
	r.mu.Unlock()
	return rows, last, pass(ctx, wait)
}

// Feed implements manifest.Rows.
func (r reader) Feed(ctx context.Context, of string, mark int64, wait time.Duration) ([]store.Row, int64, error) {
	end := time.After(wait)
	for {
		rows, last, changed := r.after(of, mark)
		if len(rows) > 0 {
			return rows, last, nil
		}
		select {
		case <-end:
			return nil, max(last, mark), nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-changed:
		}
	}
}

// pass waits for a time, or until ctx ends.
func pass(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// processor is that of a box, which does one thing after the other.
type processor struct {
	mu   sync.Mutex
	free time.Time
	used time.Duration
}

// work waits until something is done that takes so long.
func (p *processor) work(ctx context.Context, cost time.Duration) error {
	p.mu.Lock()
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(cost)
	p.used += cost
	wait := p.free.Sub(now)
	p.mu.Unlock()
	return pass(ctx, wait)
}

// crowd is many boxes that call each other in memory.
type crowd struct {
	table *table
	all   []*Edge

	mu    sync.Mutex
	up    map[string]*Edge // by address
	cpu   map[string]*processor
	calls map[string]map[string]int // that a box answered, by the asker
	told  map[string]int            // rows of loads and upstreams that a box told
}

// way is a box's way to the others.
type way struct {
	*crowd
	box string
}

// Repeat implements gossip.Peers.
func (w way) Repeat(ctx context.Context, address, method string, args, reply any) error {
	w.mu.Lock()
	e, up := w.up[address]
	own := w.cpu[w.box]
	w.mu.Unlock()
	if !up {
		return &peer.Error{Address: address, Method: method, Refused: true, Err: io.EOF}
	}
	if err := w.cpuOf(e).work(ctx, callCost); err != nil {
		return &peer.Error{Address: address, Method: method, Err: err}
	}
	rows := 0
	switch method {
	case peer.Gossip:
		answer := e.Heard(args.(wire.Gossip))
		*reply.(*wire.GossipAnswer) = answer
		rows = len(answer.Tallies) + len(answer.Upstreams)
		w.count(w.box, e.Name(), rows)
	case peer.Configuration:
		*reply.(*wire.Configuration) = e.Configuration()
	}
	err := cmp.Or(w.cpuOf(e).work(ctx, time.Duration(rows)*rowCost), own.work(ctx, callCost+time.Duration(rows)*rowCost))
	if err != nil {
		return &peer.Error{Address: address, Method: method, Err: err}
	}
	return nil
}

func (c *crowd) cpuOf(e *Edge) *processor {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cpu[e.Name()]
}

// count notes an answer.
func (c *crowd) count(from, by string, rows int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls[by] == nil {
		c.calls[by] = map[string]int{}
	}
	c.calls[by][from]++
	c.told[by] += rows
}

// Call implements calls.
func (w way) Call(ctx context.Context, address, method string, args, reply any) error {
	return w.Repeat(ctx, address, method, args, reply)
}

// Forget implements calls.
func (way) Forget(string) {}

// Close implements calls.
func (way) Close() {}

// newCrowd starts boxes of some halls within a second and a half, all of which the
// table of boxes names, before ten upstreams for each.
func newCrowd(ctx context.Context, t testing.TB, boxes, halls int) *crowd {
	t.Helper()
	c := &crowd{
		table: &table{changed: make(chan struct{}), lists: map[string]int{}},
		up:    map[string]*Edge{}, cpu: map[string]*processor{}, calls: map[string]map[string]int{}, told: map[string]int{},
	}
	c.table.rows = append(c.table.rows, store.Row{Table: "op", Key: "config", Version: 1, Value: []byte(
		`{"version":3,"routes":[],"services":[{"name":"plain","max_conns":100}],"limits":{"max_body_bytes":4096},"tenants":[]}`)})
	for i := range 10 * boxes {
		c.table.rows = append(c.table.rows, store.Row{Table: "servers", Key: fmt.Sprint("u", i), Version: int64(i + 2), Value: worker(i, halls, "ready")})
	}
	var records []wire.BoxRecord
	for i := range boxes {
		e := c.box(t, fmt.Sprint("b", i), fmt.Sprint("hall", i%halls))
		c.all = append(c.all, e)
		records = append(records, e.record)
	}
	random := rand.New(rand.NewPCG(7, 7))
	for i, e := range c.all {
		e.tally.Begin(fmt.Sprint("u", i), tally.Load{Requests: 1})
		after := time.Duration(random.Int64N(int64(1500 * time.Millisecond)))
		go func() {
			if pass(ctx, after) == nil {
				c.start(ctx, e, records)
			}
		}()
	}
	return c
}

func worker(i, halls int, state string) []byte {
	return fmt.Appendf(nil, `{"service":"plain","address":"10.0.%d.%d:1","zone":"hall%d","slots":6,"state":%q}`, i/250, i%250, i%halls, state)
}

// box puts a box together that reaches the others and the store in memory.
func (c *crowd) box(t testing.TB, name, hall string) *Edge {
	t.Helper()
	counts, err := metrics.New()
	is.New(t).NoErr(err)
	e := New(config.Config{Settings: wire.Settings{
		Box: name, Hall: hall, Listen: wire.Listen{Peers: name + ":1"},
		Edge: &wire.Edge{KeyAgeMs: 5000, LeaveMs: 2000, RetryRatio: 0.2, RetrySlack: 50, MemoryMb: 134, Descriptors: 4100, Processors: 0.4, LinkMbit: 1000},
	}}, logs.New(io.Discard, "error", name), counts)
	e.peers = way{c, name}
	e.configuration = manifest.NewConfiguration(reader{c.table, name}, e.belief, e.halls, e.log)
	c.cpu[name] = &processor{}
	return e
}

// start lets a box join, read and gossip, as Run does.
func (c *crowd) start(ctx context.Context, e *Edge, records []wire.BoxRecord) {
	c.mu.Lock()
	c.up[e.record.Address] = e
	c.mu.Unlock()
	e.listed(records)
	e.joined.Store(true)
	workers := manifest.NewWorkers(reader{c.table, e.Name()}, e.fleet, e.log)
	go follow.New("configuration", e.configuration, heard{e.belief.Confirm, e.storeAnswered}, e.reading(e.belief.Age), e.log).Run(ctx)
	go follow.New("upstreams", workers, heard{e.fleet.Confirm, e.storeAnswered}, e.reading(e.fleet.Age), e.log).Run(ctx)
	go gossip.New(e.members, e.peers, e, e.timer, e.log).Run(ctx)
}

// until waits until all boxes are as they should be, and returns how long it took.
func (c *crowd) until(t testing.TB, what string, most time.Duration, f func(e *Edge) bool) time.Duration {
	t.Helper()
	began := time.Now()
	for time.Since(began) < most {
		if !slices.ContainsFunc(c.all, func(e *Edge) bool { return !f(e) }) {
			return time.Since(began)
		}
		time.Sleep(20 * time.Millisecond)
	}
	missing := 0
	for _, e := range c.all {
		if !f(e) {
			missing++
		}
	}
	t.Fatalf("%s: not so at %d of %d boxes after %v", what, missing, len(c.all), most)
	return 0
}

// busiest returns the highest of the boxes' counts since the last time.
func (c *crowd) busiest() (asked, askers int, used time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for box, by := range c.calls {
		sum := 0
		for _, n := range by {
			sum += n
		}
		asked, askers, used = max(asked, sum), max(askers, len(by)), max(used, c.cpu[box].used)
	}
	clear(c.calls)
	clear(c.told)
	for _, p := range c.cpu {
		p.mu.Lock()
		p.used = 0
		p.mu.Unlock()
	}
	return asked, askers, used
}

// TestCrowd starts 300 boxes of one hall at once, as after all were killed: all serve
// within some seconds though none but the hubs reads the store; what is new there is
// known to all within a second; each box's work is counted once everywhere; and no hub
// answers more than its part of the boxes.
func TestCrowd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const boxes = 300
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newCrowd(ctx, t, boxes, 1)
		t.Log("all serve after", c.until(t, "serves", 8*time.Second, (*Edge).ready))
		time.Sleep(4 * time.Second) // hubs that were called before they were up are called again
		c.busiest()
		reads := 0
		for _, e := range c.all {
			if e.Reads() {
				reads++
			}
		}
		lists := 0
		for _, n := range c.table.lists {
			lists += n
		}
		t.Log("readers", reads, "listings", lists)
		time.Sleep(time.Second)
		asked, askers, used := c.busiest()
		t.Log("calls that the busiest box answered in a second", asked, "by", askers, "its processor", used)
		is.True(askers <= 150)
		is.True(used < 500*time.Millisecond) // of a second of its part of a core
		c.table.put("servers", "u5", string(worker(5, 1, "draining")))
		t.Log("a departure is known after", c.until(t, "knows the departure", time.Second, func(e *Edge) bool { return e.fleet.Leaving("u5") }))
		c.table.put("op", "config", `{"version":4,"routes":[],"services":[],"limits":{"max_body_bytes":4096},"tenants":[]}`)
		t.Log("a version is known after", c.until(t, "knows the version", time.Second, func(e *Edge) bool { return e.View().Version == 4 }))
		for _, e := range c.all {
			is.Equal(e.tally.Load(time.Now(), "u7").Requests, 1)
		}
		after := 0
		for _, n := range c.table.lists {
			after += n
		}
		is.Equal(after, lists) // nobody read while the hubs were well
		is.True(len(c.table.lists) <= 12)
		cancel()
		synctest.Wait()
	})
}
