package edge

import (
	"bytes"
	"cmp"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"petrelstep/config"
	"petrelstep/fingerprint"
	"petrelstep/gossip"
	"petrelstep/logs"
	"petrelstep/members"
	"petrelstep/metrics"
	"petrelstep/moveturns"
	"petrelstep/peer"
	"petrelstep/platform/manifest"
	"petrelstep/platform/store"
	"petrelstep/tablesync"
	"petrelstep/upstreamload"
	"petrelstep/wire"
)

const (
	// callCost and rowCost are what a call and a row in it take of a box's processor.
	callCost = 750 * time.Microsecond
	rowCost  = 4 * time.Microsecond
	// packedRow is the bytes of a row of a fleet that is packed.
	packedRow = 20
	// joinCost is what a box's row takes of the store, and listTime a listing of all.
	joinCost = 5 * time.Millisecond
	listTime = 20 * time.Millisecond
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
	fleets  map[string]int // of the upstreams, by box
	boxRows int            // of boxes that were read
	writes  writes
	refuse  func() bool // whether the next connection is refused; nil: none is
	silent  bool        // no call is answered
}

// setSilent lets calls go without an answer, or be answered again.
func (t *table) setSilent(silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = silent
}

// mute waits for ctx to end while the table is silent.
func (t *table) mute(ctx context.Context) error {
	t.mu.Lock()
	silent := t.silent
	t.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	return ctx.Err()
}

// put changes a row, or adds it.
func (t *table) put(table, key, value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	version := t.last() + 1 // also where the row that goes is the last
	t.rows = slices.DeleteFunc(t.rows, func(r store.Row) bool { return r.Table == table && r.Key == key })
	t.rows = append(t.rows, store.Row{Table: table, Key: key, Value: []byte(value), Version: version})
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

// drop takes a row out.
func (t *table) drop(table, key string) {
	t.put(table, key, "")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[len(t.rows)-1].Gone = true
}

// reader is a box's way to the table.
type reader struct {
	*table
	box string
}

// Rows implements manifest.Rows.
func (r reader) Rows(ctx context.Context, of store.Range) ([]store.Row, int64, error) {
	if r.refuse != nil && r.refuse() {
		return nil, 0, &store.Error{Call: "rows-get", NoEffect: true, Err: io.EOF}
	}
	if err := r.mute(ctx); err != nil {
		return nil, 0, err
	}
	rows, last, _ := r.after(of.Table, 0)
	rows = slices.DeleteFunc(rows, func(o store.Row) bool { return o.Gone })
	r.mu.Lock()
	r.lists[r.box]++
	switch of.Table {
	case "servers":
		r.fleets[r.box]++
	case "boxes", "hubs":
		r.boxRows += len(rows)
	}
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
		if err := r.mute(ctx); err != nil {
			return nil, 0, err
		}
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

// reset returns how long the processor has worked since the last time.
func (p *processor) reset() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := p.used
	p.used = 0
	return used
}

// crowd is many boxes that call each other in memory.
type crowd struct {
	table *table
	all   []*Edge
	ends  map[*Edge]context.CancelFunc
	slow  func(way string) time.Duration // of a call between two boxes, besides what it takes

	weak func(box string) bool // boxes that are not fit to be hubs; nil for none

	kept    *keptList
	balance []wire.EdgeBalanceElem // what is switched on

	mu    sync.Mutex
	cut   map[string]bool  // boxes that reach no other, nor are reached, by address
	side  map[string]int   // of boxes that have parted, by name
	up    map[string]*Edge // by address
	cpu   map[string]*processor
	calls map[string]map[string]int // that a box answered, by the asker
}

// keptList is what all boxes keep in the store, in memory.
type keptList struct {
	mu   sync.Mutex
	rows map[fingerprint.Fingerprint][]string
}

// Put implements list.
func (k *keptList) Put(_ context.Context, fp fingerprint.Fingerprint, upstreams []string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rows[fp] = upstreams
	return nil
}

// Remove implements list.
func (k *keptList) Remove(_ context.Context, fp fingerprint.Fingerprint) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.rows, fp)
	return nil
}

// All implements list.
func (k *keptList) All(context.Context) (map[fingerprint.Fingerprint][]string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.rows), nil
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
	cut := w.cut[address] || w.cut[w.box+":1"] || up && w.side[w.box] != w.side[e.Name()]
	w.mu.Unlock()
	if cut {
		<-ctx.Done()
		return &peer.Error{Address: address, Method: method, Err: ctx.Err()}
	}
	if !up {
		return &peer.Error{Address: address, Method: method, Refused: true, Err: io.EOF}
	}
	if err := cmp.Or(pass(ctx, w.slow(w.box+" "+address)), w.cpuOf(e).work(ctx, callCost)); err != nil {
		return &peer.Error{Address: address, Method: method, Err: err}
	}
	rows := 0
	switch method {
	case peer.Gossip:
		answer := e.Heard(args.(wire.Gossip))
		*reply.(*wire.GossipAnswer) = answer
		rows = len(answer.Tallies) + len(answer.Upstreams)
		if err := own.work(ctx, time.Duration(len(answer.Fleet)/packedRow)*rowCost); err != nil {
			return &peer.Error{Address: address, Method: method, Err: err}
		}
		w.count(w.box, e.Name())
	case peer.Configuration:
		*reply.(*wire.Configuration) = e.Configuration()
	case peer.Admit:
		ask := args.(wire.AdmitAsk)
		waits, end := context.WithTimeout(ctx, time.Duration(ask.WaitMs)*time.Millisecond)
		*reply.(*wire.AdmitAnswer) = e.AdmitFor(waits, ask)
		end()
	case peer.Allow:
		*reply.(*wire.AllowAnswer) = e.AllowFor(args.(wire.AllowAsk))
	case peer.Turn:
		ask := args.(wire.TurnAsk)
		waits, end := context.WithTimeout(ctx, time.Duration(ask.WaitMs)*time.Millisecond)
		taken := moveturns.Ask{Box: ask.Box, Source: ask.Upstream, Targets: ask.Targets, Most: time.Duration(ask.MostMs) * time.Millisecond}
		answer := reply.(*wire.TurnAnswer)
		answer.Target, answer.Granted = e.turns.Take(waits, taken)
		end()
	case peer.TurnBack:
		ask := args.(wire.TurnAsk)
		e.turns.GiveBack(ask.Upstream, ask.Box)
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
func (c *crowd) count(from, by string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls[by] == nil {
		c.calls[by] = map[string]int{}
	}
	c.calls[by][from]++
}

// Call implements calls.
func (w way) Call(ctx context.Context, address, method string, args, reply any) error {
	return w.Repeat(ctx, address, method, args, reply)
}

// Forget implements calls.
func (way) Forget(string) {}

// Close implements calls.
func (way) Close() {}

// newCrowd puts boxes of some halls together, before some upstreams.
func newCrowd(t testing.TB, boxes, halls, upstreams int, balance ...wire.EdgeBalanceElem) *crowd {
	t.Helper()
	c := &crowd{
		balance: balance,
		table:   &table{changed: make(chan struct{}), lists: map[string]int{}, fleets: map[string]int{}},
		kept:    &keptList{rows: map[fingerprint.Fingerprint][]string{}},
		ends:    map[*Edge]context.CancelFunc{}, slow: func(string) time.Duration { return 0 },
		cut: map[string]bool{}, up: map[string]*Edge{}, cpu: map[string]*processor{}, calls: map[string]map[string]int{},
	}
	c.table.rows = append(c.table.rows, store.Row{Table: "op", Key: "config", Version: 1, Value: []byte(
		`{"version":3,"routes":[],"services":[{"name":"plain","max_conns":100}],"limits":{"max_body_bytes":4096},"tenants":[]}`)})
	for i := range upstreams {
		c.table.rows = append(c.table.rows, store.Row{Table: "servers", Key: fmt.Sprint("u", i), Version: int64(i + 2), Value: worker(i, halls, "ready")})
	}
	for i := range boxes {
		e := c.box(t, fmt.Sprint("b", i), fmt.Sprint("hall", i%halls))
		c.all = append(c.all, e)
		e.loads.Begin(fmt.Sprint("u", i), upstreamload.Load{Requests: 1})
	}
	return c
}

// startAll starts all boxes within a third of a second, as after all were killed: the
// table of boxes still names all of them, and takes their rows one after the other.
func (c *crowd) startAll(ctx context.Context) {
	var records []wire.BoxRecord
	for _, e := range c.all {
		records = append(records, e.record)
	}
	random := rand.New(rand.NewPCG(7, 7))
	for i, e := range c.all {
		after := time.Duration(random.Int64N(int64(300 * time.Millisecond)))
		go func() {
			if pass(ctx, after) == nil {
				c.start(ctx, e, records)
				_ = pass(ctx, time.Duration(i)*joinCost)
				e.setBoxes(records)
				e.joined.Store(true)
			}
		}()
	}
}

func worker(i, halls int, state string) []byte {
	return fmt.Appendf(nil, `{"service":"plain","address":"10.0.%d.%d:1","zone":"hall%d","slots":6,"state":%q}`, i/250, i%250, i%halls, state)
}

// box puts a box together that reaches the others and the store in memory.
func (c *crowd) box(t testing.TB, name, hall string) *Edge {
	t.Helper()
	counts, err := metrics.New()
	is.New(t).NoErr(err)
	processors, link := 0.4, 1000.0
	if c.weak != nil && c.weak(name) {
		processors, link = 0.2, 20
	}
	e := New(config.Config{Settings: wire.Settings{
		Box: name, Hall: hall, Listen: wire.Listen{Peers: name + ":1"},
		Edge: &wire.Edge{KeyAgeMs: 5000, LeaveMs: 2000, RetryRatio: 0.2, RetrySlack: 50, MemoryMb: 134, Descriptors: 4100, Processors: processors, LinkMbit: link, Balance: c.balance},
	}}, logs.New(io.Discard, "error", name), counts)
	e.peers = way{c, name}
	e.quarantineStore.table = c.kept
	e.configuration = manifest.NewConfiguration(reader{c.table, name}, e.routes, e.halls, e.log)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cpu[name] = &processor{}
	return e
}

// start lets a box join, read and gossip, as Run does.
func (c *crowd) start(ctx context.Context, e *Edge, records []wire.BoxRecord) {
	ctx, end := context.WithCancel(ctx)
	c.mu.Lock()
	c.up[e.record.Address], c.ends[e] = e, end
	c.mu.Unlock()
	time.AfterFunc(listTime, func() { e.setPreviousBoxes(records) })
	workers := manifest.NewWorkers(reader{c.table, e.Name()}, e.fleet, e.hasService, e.metrics, e.log)
	go tablesync.New("configuration", e.configuration, storeAnswers{e.routes.Confirm, e.recordStoreAnswer}, e.readPolicy("configuration", e.routes.Age), e.log).Run(ctx)
	go tablesync.New("upstreams", workers, storeAnswers{e.fleet.Confirm, e.recordStoreAnswer}, e.readPolicy("upstreams", e.fleet.Age), e.log).Run(ctx)
	go e.timer.Every(ctx, "tick", tickInterval, func(now time.Time) {
		e.fleet.Tick(now)
		e.quarantine.Tick(now)
		e.limiter.tick(now)
	})
	go e.restoreQuarantine(ctx)
	go gossip.New(e.members, e.peers, e, e.timer, e.log).Run(ctx)
}

// context returns the boxes' context, and what ends it and waits for all calls.
func (*crowd) context(t testing.TB) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancel(t.Context())
	return ctx, func() {
		cancel()
		time.Sleep(2 * configurationTimeout)
		synctest.Wait()
	}
}

// kill ends a box.
func (c *crowd) kill(e *Edge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.up, e.record.Address)
	c.ends[e]()
	c.all = slices.DeleteFunc(slices.Clone(c.all), func(o *Edge) bool { return o == e })
}

// running returns the boxes that run.
func (c *crowd) running() []*Edge {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all
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
	for _, by := range c.calls {
		sum := 0
		for _, n := range by {
			sum += n
		}
		asked, askers = max(asked, sum), max(askers, len(by))
	}
	clear(c.calls)
	for _, p := range c.cpu {
		used = max(used, p.reset())
	}
	return asked, askers, used
}

// listed returns how often the store's tables were listed, and by how many boxes.
func (t *table) listed() (times, boxes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.lists {
		times += n
	}
	return times, len(t.lists)
}

// TestCrowd starts 300 boxes of one hall at once, as after all were killed: all serve
// within some seconds though none but the hubs reads the store; what is new there is
// known to all within a second; each box's work is counted once everywhere; and no hub
// answers more than its part of the boxes. Two hubs that die change none of that.
func TestCrowd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCrowd(t, 300, 1, 3000)
		ctx, end := c.context(t)
		defer end()
		c.startAll(ctx)
		t.Log("all serve after", c.until(t, "serves", 5*time.Second, (*Edge).ready))
		time.Sleep(4 * time.Second)
		lists, readers := c.table.listed()
		t.Log("listings of the store's tables:", lists, "by", readers, "boxes")
		is.True(readers <= 2*members.ReadersMost) // three for good, some until they had heard of a better one
		c.busiest()
		time.Sleep(time.Second)
		asked, askers, used := c.busiest()
		t.Log("the busiest hub answered", asked, "calls a second of", askers, "boxes and worked", used)
		is.True(askers <= 150)
		is.True(used < 500*time.Millisecond) // of a second of its part of a core
		c.learns(t, "u5", 4)
		still, _ := c.table.listed()
		is.Equal(still, lists)
		for _, hub := range c.hubs()[:2] {
			c.kill(hub)
		}
		c.learns(t, "u6", 5)
		time.Sleep(freshFor)
		for _, e := range c.all {
			is.Equal(e.loads.Load(time.Now(), "u"+c.all[7].Name()[1:]).Requests, 1)
		}
		after, _ := c.table.listed()
		is.True(after <= lists+2*2) // by the hubs that read in their place
	})
}

// freshFor is how long a dead box's word counts.
const freshFor = 3100 * time.Millisecond

// hubs returns the hubs, as they see it themselves.
func (c *crowd) hubs() []*Edge {
	return slices.DeleteFunc(slices.Clone(c.all), func(e *Edge) bool { return !e.IsHub() })
}

// learns lets an upstream leave and puts another version into the store, each of which
// all boxes know within a second.
func (c *crowd) learns(t testing.TB, upstream string, version int) {
	c.table.put("servers", upstream, string(worker(5, 1, "draining")))
	t.Log("a departure is known after", c.until(t, "knows the departure", time.Second, func(e *Edge) bool { return e.fleet.Leaving(upstream) }))
	c.table.put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[],"services":[],"limits":{"max_body_bytes":4096},"tenants":[]}`, version))
	t.Log("a version is known after", c.until(t, "knows the version", time.Second, func(e *Edge) bool { return e.View().Version == version }))
}

// TestFewerBoxes holds what fewer boxes do: after all have restarted they serve at
// once, and name the same hubs when they have joined; each calls all hubs, one a
// hall, and is counted once.
func TestFewerBoxes(t *testing.T) {
	tests := map[string]struct {
		boxes, halls, hubs int
	}{
		"two halls":   {boxes: 7, halls: 2, hubs: 2},
		"three halls": {boxes: 61, halls: 3, hubs: 3},
		"six halls":   {boxes: 195, halls: 6, hubs: 6},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCrowd(t, tt.boxes, tt.halls, 30)
				ctx, end := c.context(t)
				defer end()
				c.startAll(ctx)
				c.until(t, "serves", 2*time.Second, (*Edge).ready)
				time.Sleep(time.Second)
				is.True(c.astray() <= tt.boxes/10) // the few that had joined before a hub was up
				time.Sleep(4 * time.Second)
				is.Equal(len(c.hubs()), tt.hubs)
				c.busiest()
				time.Sleep(time.Second)
				asked, askers, _ := c.busiest()
				is.Equal(askers, tt.boxes-1)
				is.True(asked >= 4*(tt.boxes-1))
				for _, e := range c.all {
					is.Equal(e.loads.Load(time.Now(), "u3").Requests, 1)
					is.Equal(e.View().Tells, 0)
				}
			})
		})
	}
}

// astray returns how many boxes name other hubs than most do.
func (c *crowd) astray() int {
	named := map[string]int{}
	most := 0
	for _, e := range c.all {
		hubs := fmt.Sprint(e.members.Hubs(time.Now()))
		named[hubs]++
		most = max(most, named[hubs])
	}
	return len(c.all) - most
}

// TestCaughtUp holds that a configuration that a hub gave is as young as the hub said
// that its own was.
func TestCaughtUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCrowd(t, 2, 1, 30)
		hub, e := c.all[0], c.all[1]
		c.up[hub.record.Address] = hub
		_, err := hub.configuration.List(t.Context(), false)
		is.NoErr(err)
		hub.routes.Confirm(time.Now())
		time.Sleep(900 * time.Millisecond)
		e.Hear(hub.Heard(e.Say(hub.members.Self())), time.Now())
		time.Sleep(100 * time.Millisecond)
		is.Equal(e.View().Version, 3)
		is.True(e.View().ConfigurationAgeMs >= 1000 && e.View().ConfigurationAgeMs < 1010)
	})
}

// TestHeardOf shows when a box of a crowd takes a keeper for alive that it does not
// call itself: as its hub says, unless the keeper has just left a call unanswered.
func TestHeardOf(t *testing.T) {
	tests := map[string]struct {
		ago  time.Duration // the hub heard the keeper
		cut  time.Duration // since the keeper did not answer this box; 0 for never
		want bool
	}{
		"just now":               {ago: 100 * time.Millisecond, want: true},
		"long ago":               {ago: time.Second},
		"it does not answer":     {ago: 100 * time.Millisecond, cut: time.Second},
		"it did not, and may do": {ago: 100 * time.Millisecond, cut: 4 * time.Second, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newCrowd(t, 1, 1, 0).all[0]
				if tt.cut > 0 {
					e.markUnreachable("keeper")
					time.Sleep(tt.cut)
				}
				e.Hear(wire.GossipAnswer{Sender: wire.BoxRecord{Box: "hub", Address: "hub:1"}, Heard: []wire.BoxHeard{{Box: "keeper", AgoMs: int(tt.ago.Milliseconds())}}}, time.Now())
				is.New(t).Equal(e.isReachable("keeper"), tt.want)
			})
		})
	}
}

// TestHubsKilled kills both hubs of ten boxes, of which each has read only those that
// had started before it, and then lets an upstream leave, another come, and the
// configuration change: all others learn it, however late calls are.
func TestHubsKilled(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { killHubs(t, seed) })
		})
	}
}

// late draws how late calls are, one in three of them, by a source of its own for each way:
// on each, one call follows the other.
type late struct {
	seed uint64
	mu   sync.Mutex
	ways map[string]*rand.Rand
}

func (l *late) of(way string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	random, ok := l.ways[way]
	if !ok {
		random = rand.New(rand.NewPCG(l.seed, xxhash.Sum64String(way)))
		l.ways[way] = random
	}
	return upTo(random, 100*time.Millisecond) + upTo(random, 3)/2*upTo(random, 1500*time.Millisecond)
}

func upTo(random *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(most)))
}

func killHubs(t *testing.T, seed uint64) {
	c := newCrowd(t, 10, 1, 30)
	ctx, end := c.context(t)
	defer end()
	random := rand.New(rand.NewPCG(seed, 1))
	c.slow = (&late{seed: seed, ways: map[string]*rand.Rand{}}).of
	var records []wire.BoxRecord
	for _, e := range c.all {
		records = append(records, e.record)
	}
	for i, e := range c.all {
		c.start(ctx, e, records[:i+1])
		time.AfterFunc(2*listTime, func() {
			e.setBoxes(records[:i+1])
			e.joined.Store(true)
		})
		time.AfterFunc(settleTime, func() { // as join does
			if e.IsHub() {
				e.setBoxes(records)
			}
		})
		time.Sleep(upTo(random, 100*time.Millisecond))
	}
	c.until(t, "knows many, and two are hubs", time.Minute, func(e *Edge) bool { return e.Known() && !e.AllRead() && len(c.hubs()) == 2 })
	for _, e := range c.hubs() {
		c.kill(e)
	}
	c.table.put("servers", "u5", string(worker(5, 1, "draining")))
	c.table.put("servers", "u99", string(worker(99, 1, "ready")))
	c.table.put("op", "config", `{"version":9,"routes":[],"services":[],"limits":{"max_body_bytes":4096},"tenants":[]}`)
	c.until(t, "knows all that is new", waitLong, func(e *Edge) bool {
		return e.fleet.Leaving("u5") && e.fleet.Takes("u99") && e.View().Version == 9
	})
}

// waitLong bounds what has to come; time is virtual.
const waitLong = 20 * time.Second

// second is what a box's gossip takes in a second, of calls, bytes and processor.
type second struct {
	calls, bytes int
	took         time.Duration
}

// gossip lets a box make its calls of a second to a hub, which takes its part of them.
func (c *crowd) gossip(b *testing.B, e, hub *Edge, box, at *second) {
	b.Helper()
	calls := 4
	if e.members.Spare(time.Now(), hub.members.Self()) {
		calls = 1
	}
	for range calls {
		began := time.Now()
		say := e.Say(hub.members.Self())
		size := encoded(b, say)
		said := time.Now()
		answer := hub.Heard(say)
		size += encoded(b, answer)
		answered := time.Now()
		e.Hear(answer, began)
		at.took += answered.Sub(said)
		box.took += said.Sub(began) + time.Since(answered)
		for _, s := range []*second{box, at} {
			s.calls++
			s.bytes += size
		}
	}
}

// encoded returns the bytes of a message, the description of its types left out.
func encoded(b *testing.B, message any) int {
	b.Helper()
	var out bytes.Buffer
	encoder := gob.NewEncoder(&out)
	if err := encoder.Encode(message); err != nil {
		b.Fatal(err)
	}
	first := out.Len()
	if err := encoder.Encode(message); err != nil {
		b.Fatal(err)
	}
	return out.Len() - first
}

// BenchmarkGossip is what gossip takes of a box and of its hub in a second, by boxes of
// three halls, each of which has requests at two of ten upstreams a box.
func BenchmarkGossip(b *testing.B) {
	for _, boxes := range []int{30, 100, 300, 1000, 2000} {
		b.Run(fmt.Sprint(boxes, " boxes"), func(b *testing.B) {
			c := newCrowd(b, boxes, 3, 0)
			named := map[string]*Edge{}
			var records []wire.BoxRecord
			for i, e := range c.all {
				named[e.Name()] = e
				records = append(records, e.record)
				e.loads.Begin(fmt.Sprint("u", i*7%(10*boxes)), upstreamload.Load{Requests: 1, Tokens: 3000})
			}
			for _, e := range c.all {
				e.setBoxes(records)
			}
			var box, hub second
			for range 2 { // words of hubs hold what was told before
				c.round(b, named, &second{}, &second{})
			}
			for b.Loop() {
				box, hub = second{}, second{}
				c.round(b, named, &box, &hub)
			}
			b.ReportMetric(float64(box.calls), "box-calls/s")
			b.ReportMetric(float64(box.bytes)/1000, "box-kB/s")
			b.ReportMetric(float64(box.took.Microseconds())/1000, "box-ms/s")
			b.ReportMetric(float64(hub.calls), "hub-calls/s")
			b.ReportMetric(float64(hub.bytes)/1000, "hub-kB/s")
			b.ReportMetric(float64(hub.took.Microseconds())/1000, "hub-ms/s")
		})
	}
}

// round lets all boxes make their calls of a second, and adds up those of one box that
// is no hub, and those that its hub answers.
func (c *crowd) round(b *testing.B, named map[string]*Edge, box, hub *second) {
	one := c.all[slices.IndexFunc(c.all, func(e *Edge) bool { return !e.IsHub() })]
	nearest := one.members.Nearest(time.Now()).Name
	for _, e := range c.all {
		for _, h := range e.members.Asks(time.Now()) {
			by, at := &second{}, &second{}
			if e == one {
				by = box
			}
			if h.Name == nearest {
				at = hub
			}
			c.gossip(b, e, named[h.Name], by, at)
		}
	}
}
