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
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"petrelstep/config"
	"petrelstep/configfetch"
	"petrelstep/distance"
	"petrelstep/fingerprint"
	"petrelstep/gossip"
	"petrelstep/logs"
	"petrelstep/members"
	"petrelstep/metrics"
	"petrelstep/moveturns"
	"petrelstep/peer"
	"petrelstep/peer/roundtrip"
	"petrelstep/peer/tunnel"
	"petrelstep/platform/blocklist"
	"petrelstep/platform/manifest"
	"petrelstep/platform/store"
	"petrelstep/revision"
	"petrelstep/upstreamload"
	"petrelstep/wire"
)

const (
	// callCost and rowCost are the processor time of a call and of a row in it.
	callCost = 750 * time.Microsecond
	rowCost  = 4 * time.Microsecond
	// packedRowBytes is the size of a row in a packed fleet.
	packedRowBytes = 20
	// rowWriteTime is the store's time to write a row, and listTime to list the boxes.
	rowWriteTime = 5 * time.Millisecond
	listTime     = 20 * time.Millisecond
	// listTimeout is the time-out of a listing's calls.
	listTimeout = 1800 * time.Millisecond
	// rowReadTime is the store's time to read a row; listings are serialized.
	rowReadTime = 2 * time.Microsecond
)

// memStore is an in-memory store that serializes listings.
type memStore struct {
	mu            sync.Mutex
	rows          []store.Row
	replaced      []store.Row   // earlier rows of the operator's table, which feeds still return
	changed       chan struct{} // closed at the next change
	nextFree      time.Time
	listings      map[string]int // by box
	fleetListings map[string]int // of the upstreams, by box
	boxRowsRead   int            // rows of boxes read
	writes        writeStats
	refuse        func() bool                        // reports whether to refuse the next connection; nil for never
	silent        bool                               // calls block until their context ends
	cutOff        func(box string) bool              // reports whether a box can't reach the store; nil for never
	turnsAway     func(call storeCall) string        // how a call is turned away, "" if it is not; nil for none
	calls         int                                // made by all boxes
	loseAnswers   bool                               // writes are applied without an answer
	forgotten     revision.Revision                  // changes up to this version are in no feed
	era           int                                // rises when the store is restored from a copy
	away          bool                               // all calls fail
	eras          map[string]int                     // as of the last answer, by box
	onRestore     map[string]func(before, after int) // by box
	reads         map[string]int                     // listings by table
	boxListers    map[string]int                     // listings of the table of boxes, by box
	statuses      []string                           // values of the rows of table status, as written
	statusAt      time.Time                          // of the last one
}

// setSilent makes the store block calls or answer them again.
func (t *memStore) setSilent(silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = silent
}

// setCutOff cuts boxes off the store; nil ends that.
func (t *memStore) setCutOff(cutOff func(box string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cutOff = cutOff
}

// storeCall is a call of a box to the store.
type storeCall struct{ box, name, table string }

// setTurnsAway sets how calls are turned away; nil ends that.
func (t *memStore) setTurnsAway(turnsAway func(call storeCall) string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turnsAway = turnsAway
}

// listenRestores sets what a box does when it learns of a restore.
func (t *memStore) listenRestores(box string, f func(before, after int)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onRestore[box] = f
}

// resetListings forgets which boxes have listed tables.
func (t *memStore) resetListings() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.listings)
}

// storeCalls returns how many listings and feeds were called by all boxes.
func (t *memStore) storeCalls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

// turnAway returns the error of a call that is turned away.
func (r storeClient) turnAway(ctx context.Context, name, table string) error {
	r.mu.Lock()
	r.calls++
	how := ""
	if r.turnsAway != nil {
		how = r.turnsAway(storeCall{r.box, name, table})
	}
	r.mu.Unlock()
	switch how {
	case "":
		return nil
	case "silent":
		if name == "rows-get" {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, listTimeout)
			defer cancel()
		}
		<-ctx.Done()
		return &store.Error{Call: name, Err: ctx.Err()}
	case "reset":
		return &store.Error{Call: name, Err: io.ErrUnexpectedEOF}
	case "429":
		return &store.Error{Call: name, Status: http.StatusTooManyRequests, NoEffect: true}
	}
	return &store.Error{Call: name, Status: http.StatusServiceUnavailable, NoEffect: true}
}

// waitWhileSilent blocks until ctx ends if the box does not reach the store.
func (r storeClient) waitWhileSilent(ctx context.Context) error {
	r.mu.Lock()
	silent := r.silent || r.cutOff != nil && r.cutOff(r.box)
	r.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	return ctx.Err()
}

// put adds or replaces a row.
func (t *memStore) put(table, key, value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.putLocked(table, key, value)
}

func (t *memStore) putLocked(table, key, value string) {
	t.changeLocked(store.Row{Table: table, Key: key, Value: []byte(value)})
}

// changeLocked replaces a row, or adds its removal.
func (t *memStore) changeLocked(row store.Row) {
	table, key, value := row.Table, row.Key, string(row.Value)
	row.Version = t.lastVersion() + 1 // read before the row is deleted, which may be the last
	t.rows = slices.DeleteFunc(t.rows, func(r store.Row) bool {
		replaced := r.Table == table && r.Key == key
		if replaced && table == "op" {
			t.replaced = append(t.replaced, r)
		}
		return replaced
	})
	t.rows = append(t.rows, row)
	if table == "status" {
		t.statuses, t.statusAt = append(t.statuses, value), time.Now()
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *memStore) lastVersion() revision.Revision {
	if len(t.rows) == 0 {
		return 0
	}
	return t.rows[len(t.rows)-1].Version
}

// changesAfter returns a table's rows changed after a version, and the last version.
func (t *memStore) changesAfter(table string, version revision.Revision) ([]store.Row, revision.Revision, chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return changedIn(t.rows, table, version), t.lastVersion(), t.changed
}

// historyAfter returns a table's changes after a version, rows that were replaced since
// included, and the last version.
func (t *memStore) historyAfter(table string, version revision.Revision) ([]store.Row, revision.Revision, chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := append(changedIn(t.replaced, table, version), changedIn(t.rows, table, version)...)
	slices.SortFunc(rows, func(a, b store.Row) int { return cmp.Compare(a.Version, b.Version) })
	return rows, t.lastVersion(), t.changed
}

// changedIn returns a table's rows that were changed after a version.
func changedIn(all []store.Row, table string, version revision.Revision) (rows []store.Row) {
	for _, r := range all {
		if r.Table == table && r.Version > version {
			rows = append(rows, r)
		}
	}
	return rows
}

// forget drops the history of all changes.
func (t *memStore) forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgotten = t.lastVersion()
}

// isForgotten reports whether changes after a version are no longer in the history.
func (t *memStore) isForgotten(version revision.Revision) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return version < t.forgotten
}

// isAhead reports whether a version is one that a restored store does not have yet.
func (t *memStore) isAhead(version revision.Revision) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era > 0 && version > t.lastVersion()
}

// remove deletes a row.
func (t *memStore) remove(table, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changeLocked(store.Row{Table: table, Key: key, Removed: true})
}

// storeClient is a box's client for the store.
type storeClient struct {
	*memStore
	box string
}

// answered tells the box of a restore of the store, as the store's client does.
func (r storeClient) answered() {
	r.mu.Lock()
	before, known := r.eras[r.box]
	after, restored := r.era, r.onRestore[r.box]
	r.eras[r.box] = after
	r.mu.Unlock()
	if known && after > before && restored != nil {
		restored(before, after)
	}
}

// Rows implements manifest.Rows.
func (r storeClient) Rows(ctx context.Context, of store.Range) ([]store.Row, revision.Revision, error) {
	if r.refuse != nil && r.refuse() {
		return nil, 0, &store.Error{Call: "rows-get", NoEffect: true, Err: io.EOF}
	}
	if err := r.waitWhileSilent(ctx); err != nil {
		return nil, 0, err
	}
	if err := r.turnAway(ctx, "rows-get", of.Table); err != nil {
		return nil, 0, err
	}
	r.answered()
	rows, last, _ := r.changesAfter(of.Table, 0)
	rows = slices.DeleteFunc(rows, func(o store.Row) bool { return o.Removed })
	r.mu.Lock()
	r.listings[r.box]++
	r.reads[of.Table]++
	if of.Table == "boxes" {
		r.boxListers[r.box]++
	}
	switch of.Table {
	case "servers":
		r.fleetListings[r.box]++
	case "boxes", "hubs":
		r.boxRowsRead += len(rows)
	}
	now := time.Now()
	if r.nextFree.Before(now) {
		r.nextFree = now
	}
	r.nextFree = r.nextFree.Add(time.Duration(len(rows)) * rowReadTime)
	wait := r.nextFree.Sub(now)
	r.mu.Unlock()
	return r.ofEra(rows), r.current(last), sleep(ctx, wait)
}

// current returns a version as one of the current era, and ofEra rows with such versions, as the
// store's client does.
func (t *memStore) current(version revision.Revision) revision.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return revision.New(t.era, version.Version())
}

func (t *memStore) ofEra(rows []store.Row) []store.Row {
	for i, r := range rows {
		rows[i].Version = t.current(r.Version)
	}
	return rows
}

// Feed implements manifest.Rows.
func (r storeClient) Feed(ctx context.Context, of string, mark revision.Revision, wait time.Duration) ([]store.Row, revision.Revision, error) {
	end := time.After(wait)
	for {
		if err := r.waitWhileSilent(ctx); err != nil {
			return nil, 0, err
		}
		if err := r.turnAway(ctx, "rows-feed", of); err != nil {
			return nil, 0, err
		}
		r.answered()
		if mark.Era() != r.current(0).Era() {
			return nil, 0, &store.Error{Call: "rows-feed", Forgotten: true}
		}
		number := revision.New(0, mark.Version())
		rows, last, changed := r.historyAfter(of, number)
		if r.isForgotten(number) || r.isAhead(number) {
			return nil, 0, &store.Error{Call: "rows-feed", Forgotten: true}
		}
		if len(rows) > 0 {
			return r.ofEra(rows), r.current(last), nil
		}
		select {
		case <-end:
			if err := r.turnAway(ctx, "rows-feed", of); err != nil {
				return nil, 0, err
			}
			r.mu.Lock()
			r.calls-- // the same call
			r.mu.Unlock()
			return nil, max(r.current(last), mark), nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-changed:
		}
	}
}

// versionOf returns a row's version, 0 if it is absent.
func (t *memStore) versionOf(table, key string) revision.Revision {
	for _, r := range t.rows {
		if r.Table == table && r.Key == key && !r.Removed {
			return r.Version
		}
	}
	return 0
}

// ClockAt implements rollouts.Store.
func (storeClient) ClockAt(t time.Time) (int64, bool) { return t.UnixMilli(), true }

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// processor is a box's processor, which serializes its work.
type processor struct {
	mu       sync.Mutex
	nextFree time.Time
	used     time.Duration
}

// work occupies the processor for some time.
func (p *processor) work(ctx context.Context, cost time.Duration) error {
	p.mu.Lock()
	now := time.Now()
	if p.nextFree.Before(now) {
		p.nextFree = now
	}
	p.nextFree = p.nextFree.Add(cost)
	p.used += cost
	wait := p.nextFree.Sub(now)
	p.mu.Unlock()
	return sleep(ctx, wait)
}

// reset returns the time worked since the last reset.
func (p *processor) reset() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := p.used
	p.used = 0
	return used
}

// cluster is a set of boxes that call each other in memory.
type cluster struct {
	tb      testing.TB
	table   *memStore
	all     []*Edge
	cancels map[*Edge]context.CancelFunc
	latency func(direction string) time.Duration // additional latency of a call between two boxes

	ineligible func(box string) bool // boxes that aren't hub-eligible; nil for none

	rows func(e *Edge) manifest.Rows // the store as used by a box; nil for table

	regions  map[string]string // region by hall; nil for one region
	farDelay time.Duration     // one way between regions

	quarantines *memQuarantines
	rollout     *wire.Rollout          // bounds of roll-outs; nil if disabled
	balance     []wire.EdgeBalanceElem // enabled balancing features

	hangs func(from, to, method string) bool // calls between boxes that get no answer, to the address; nil for none

	mu        sync.Mutex
	isolated  map[string]bool  // boxes cut off from all others, by address
	partition map[string]int   // side of a network partition, by box
	byAddress map[string]*Edge // running boxes by address
	cpu       map[string]*processor
	calls     map[string]map[string]int // calls answered by each box, by caller
	transfers int                       // full fleets sent to boxes
	methods   map[string]int            // calls by method
}

// memQuarantines is an in-memory quarantineTable.
type memQuarantines struct {
	mu   sync.Mutex
	rows map[fingerprint.Fingerprint]blocklist.Entry
}

// Put implements quarantineTable.
func (k *memQuarantines) Put(_ context.Context, fp fingerprint.Fingerprint, e blocklist.Entry) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rows[fp] = e
	return nil
}

// Remove implements quarantineTable.
func (k *memQuarantines) Remove(_ context.Context, fp fingerprint.Fingerprint) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.rows, fp)
	return nil
}

// All implements quarantineTable.
func (k *memQuarantines) All(context.Context) (map[fingerprint.Fingerprint]blocklist.Entry, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.rows), nil
}

// clusterClient is a box's client for the others.
type clusterClient struct {
	*cluster
	box        *Edge
	roundTrips *roundtrip.Estimator
}

// CallIdempotent implements gossip.Peers.
func (w clusterClient) CallIdempotent(ctx context.Context, address, method string, args, reply any) error {
	sent := time.Now()
	err := w.call(ctx, address, method, args, reply)
	if err == nil && peer.AnsweredAtOnce(method) {
		w.roundTrips.Record(time.Now(), address, time.Since(sent))
	}
	return err
}

// Timeout implements calls.
func (w clusterClient) Timeout(address string) (timeout time.Duration, known bool) {
	return w.roundTrips.Timeout(time.Now(), address)
}

func (w clusterClient) RoundTrip(address string) (roundTrip time.Duration, known bool) {
	return w.roundTrips.Smoothed(time.Now(), address)
}

// delayTo returns how long a message to another box travels.
func (w clusterClient) delayTo(e *Edge) time.Duration {
	if w.box.regions.Between(w.box.config.Hall, e.config.Hall) == distance.Elsewhere {
		return w.farDelay
	}
	return 0
}

func (w clusterClient) call(ctx context.Context, address, method string, args, reply any) error {
	box := w.box.Name()
	w.mu.Lock()
	e, up := w.byAddress[address]
	w.methods[method]++
	own := w.cpu[box]
	hangs := w.hangs != nil && w.hangs(box, address, method)
	cut := hangs || w.isolated[address] || w.isolated[box+":1"] || up && w.partition[box] != w.partition[e.Name()]
	w.mu.Unlock()
	if cut {
		<-ctx.Done()
		return &peer.Error{Address: address, Method: method, Err: ctx.Err()}
	}
	if !up {
		return &peer.Error{Address: address, Method: method, Unreachable: true, Err: io.EOF}
	}
	if err := cmp.Or(sleep(ctx, w.latency(box+" "+address)+w.delayTo(e)), w.cpuOf(e).work(ctx, callCost)); err != nil {
		return &peer.Error{Address: address, Method: method, Err: err}
	}
	rows := 0
	switch method {
	case peer.Gossip:
		answer := e.HandleGossip(args.(wire.Gossip))
		*reply.(*wire.GossipAnswer) = answer
		rows = len(answer.Tallies) + len(answer.Upstreams)
		if err := own.work(ctx, time.Duration(len(answer.Fleet)/packedRowBytes)*rowCost); err != nil {
			return &peer.Error{Address: address, Method: method, Err: err}
		}
		w.countCall(box, e.Name(), answer.Fleet != "")
	case peer.Configuration:
		*reply.(*wire.Configuration) = e.Configuration()
	case peer.Admit:
		ask := args.(wire.AdmitAsk)
		waitCtx, cancel := context.WithTimeout(ctx, time.Duration(ask.WaitMs)*time.Millisecond)
		*reply.(*wire.AdmitAnswer) = e.AdmitFor(waitCtx, ask)
		cancel()
	case peer.Allow:
		*reply.(*wire.AllowAnswer) = e.AllowFor(args.(wire.AllowAsk))
	case peer.TakeSlot:
		*reply.(*wire.SlotAnswer) = e.SlotFor(ctx, args.(wire.SlotAsk))
	case peer.RecordOrigins:
		e.RecordOriginsFor(args.(wire.StreamOrigins))
	case peer.StreamOrigin:
		*reply.(*wire.StreamOriginAnswer) = e.StreamOriginFor(args.(wire.StreamOriginAsk))
	case peer.ReturnSlot:
		e.ReturnSlotFor(args.(wire.SlotAsk))
	case peer.Turn:
		ask := args.(wire.TurnAsk)
		waitCtx, cancel := context.WithTimeout(ctx, time.Duration(ask.WaitMs)*time.Millisecond)
		taken := moveturns.Request{Box: ask.Box, Source: ask.Upstream, Targets: ask.Targets, MaxHold: time.Duration(ask.MostMs) * time.Millisecond}
		answer := reply.(*wire.TurnAnswer)
		answer.Target, answer.Granted = e.turns.Take(waitCtx, taken)
		cancel()
	case peer.TurnBack:
		ask := args.(wire.TurnAsk)
		e.turns.Release(ask.Upstream, ask.Box)
	case peer.TunnelOpen, peer.TunnelRead, peer.TunnelWrite, peer.TunnelClose:
		if err := callTunnel(ctx, e.tunnels, args, reply); err != nil {
			return &peer.Error{Address: address, Method: method, Err: err}
		}
	}
	err := cmp.Or(w.cpuOf(e).work(ctx, time.Duration(rows)*rowCost), sleep(ctx, w.delayTo(e)), own.work(ctx, callCost+time.Duration(rows)*rowCost))
	if err != nil {
		return &peer.Error{Address: address, Method: method, Err: err}
	}
	return nil
}

// callTunnel calls a box's tunnels.
func callTunnel(ctx context.Context, s *tunnel.Server, args, reply any) (err error) {
	switch ask := args.(type) {
	case wire.TunnelOpen:
		*reply.(*wire.TunnelOpened) = s.Open(ctx, ask)
	case wire.TunnelRead:
		*reply.(*wire.TunnelData), err = s.Read(ask)
	case wire.TunnelWrite:
		err = s.Write(ask)
	case wire.TunnelClose:
		s.Close(ask)
	}
	return err
}

func (c *cluster) cpuOf(e *Edge) *processor {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cpu[e.Name()]
}

// countCall counts an answered call, and whether the answer holds the full fleet.
func (c *cluster) countCall(from, by string, fullFleet bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fullFleet {
		c.transfers++
	}
	if c.calls[by] == nil {
		c.calls[by] = map[string]int{}
	}
	c.calls[by][from]++
}

// Call implements calls.
func (w clusterClient) Call(ctx context.Context, address, method string, args, reply any) error {
	return w.CallIdempotent(ctx, address, method, args, reply)
}

// Forget implements calls.
func (clusterClient) Forget(string) {}

// Close implements calls.
func (clusterClient) Close() {}

// newCluster returns boxes of several halls that aren't started, and upstreams.
func newCluster(t testing.TB, boxes, halls, upstreams int, balance ...wire.EdgeBalanceElem) *cluster {
	t.Helper()
	return newClusterIn(t, nil, boxes, halls, upstreams, balance...)
}

// newClusterIn is newCluster with the regions of the halls.
func newClusterIn(t testing.TB, regions map[string]string, boxes, halls, upstreams int, balance ...wire.EdgeBalanceElem) *cluster {
	t.Helper()
	c := &cluster{
		tb: t, regions: regions, farDelay: 30 * time.Millisecond,
		balance:     balance,
		table:       &memStore{changed: make(chan struct{}), listings: map[string]int{}, fleetListings: map[string]int{}, reads: map[string]int{}, boxListers: map[string]int{}, eras: map[string]int{}, onRestore: map[string]func(before, after int){}},
		quarantines: &memQuarantines{rows: map[fingerprint.Fingerprint]blocklist.Entry{}},
		cancels:     map[*Edge]context.CancelFunc{}, latency: func(string) time.Duration { return 0 },
		isolated: map[string]bool{}, byAddress: map[string]*Edge{}, cpu: map[string]*processor{}, calls: map[string]map[string]int{}, methods: map[string]int{},
	}
	c.table.rows = append(c.table.rows, store.Row{Table: "op", Key: "config", Version: 1, Value: []byte(
		`{"version":3,"routes":[],"services":[{"name":"plain","max_conns":100}],"limits":{"max_body_bytes":4096},"tenants":[]}`)})
	for i := range upstreams {
		c.table.rows = append(c.table.rows, store.Row{Table: "servers", Key: fmt.Sprint("u", i), Version: revision.Revision(i + 2), Value: worker(i, halls, "ready")})
	}
	for i := range boxes {
		e := c.box(t, fmt.Sprint("b", i), fmt.Sprint("hall", i%halls))
		c.all = append(c.all, e)
		e.loads.Begin(fmt.Sprint("u", i), upstreamload.Load{Requests: 1})
	}
	return c
}

// startAll starts all boxes within 0.3 s, as after all were killed: the table still
// lists all of them and takes their rows one after the other.
func (c *cluster) startAll(ctx context.Context) {
	var records []wire.BoxRecord
	for _, e := range c.all {
		records = append(records, e.record)
	}
	random := rand.New(rand.NewPCG(7, 7))
	for i, e := range c.all {
		after := time.Duration(random.Int64N(int64(300 * time.Millisecond)))
		go func() {
			if sleep(ctx, after) == nil {
				c.startBox(ctx, e, records)
				_ = sleep(ctx, time.Duration(i)*rowWriteTime)
				e.setBoxes(records)
				e.joined.Store(true)
			}
		}()
	}
}

func worker(i, halls int, state string) []byte {
	return fmt.Appendf(nil, `{"service":"plain","address":"10.0.%d.%d:1","zone":"hall%d","slots":6,"state":%q}`, i/250, i%250, i%halls, state)
}

// box returns a box that uses the in-memory peers and store.
func (c *cluster) box(t testing.TB, name, hall string) *Edge {
	t.Helper()
	counts, err := metrics.New()
	is.New(t).NoErr(err)
	processors, link := 0.4, 1000.0
	if c.ineligible != nil && c.ineligible(name) {
		processors, link = 0.2, 20
	}
	e := New(config.Config{Settings: wire.Settings{
		Box: name, Hall: hall, Listen: wire.Listen{Peers: name + ":1"},
		Edge: &wire.Edge{KeyAgeMs: 5000, LeaveMs: 2000, RetryRatio: 0.2, RetrySlack: 50, MemoryMb: 134, Descriptors: 4100, Processors: processors, LinkMbit: link, Balance: c.balance, Regions: c.regions, Rollout: c.rollout},
	}}, logs.New(io.Discard, "error", name), counts)
	e.peers = clusterClient{c, e, roundtrip.New()}
	e.tunnelClient = tunnel.NewClient(e.peers, name, e.config.Edge.Fleet)
	e.quarantineStore.table = c.quarantines
	e.configuration = manifest.NewConfiguration(storeClient{c.table, name}, e.routes, e.halls, e.log)
	e.fetcher = configfetch.New(e.peers, configurationInForce{e}, link, e.metrics.ConfigurationFetched, e.log)
	e.storeClock = storeClient{}.ClockAt
	e.rollouts = newRolloutControl(e, storeClient{c.table, name})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cpu[name] = &processor{}
	c.table.listenRestores(name, e.onStoreRestored)
	return e
}

// startBox makes a box join, read and gossip, as Run does.
func (c *cluster) startBox(ctx context.Context, e *Edge, records []wire.BoxRecord) {
	ctx, end := context.WithCancel(ctx)
	c.mu.Lock()
	c.byAddress[e.record.Address], c.cancels[e] = e, end
	c.mu.Unlock()
	time.AfterFunc(listTime, func() { e.setPreviousBoxes(records) })
	rows := manifest.Rows(storeClient{c.table, e.Name()})
	if c.rows != nil {
		rows = c.rows(e)
	}
	workers := manifest.NewWorkers(rows, e.fleet, e.hasService, e.metrics, e.log)
	for _, f := range e.followers(workers) {
		go f.Run(ctx)
	}
	go e.timer.Every(ctx, "tick", tickInterval, func(now time.Time) {
		e.fleet.Tick(now)
		e.halls.Tick(now, e.configurationRead(now))
		e.quarantine.Tick(now)
		e.newStreamOrigins().sendUnsent(now)
		e.limiter.tick(now)
		e.tunnels.Tick(now)
		e.checkLinks(now)
	})
	go e.restoreQuarantine(ctx)
	go e.rollouts.run(ctx)
	go gossip.New(e.members, e.peers, e, e.timer, e.log).Run(ctx)
}

// context returns the boxes' context, and a function that ends it and waits for all
// calls.
func (*cluster) context(t testing.TB) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancel(t.Context())
	return ctx, func() {
		cancel()
		time.Sleep(2 * configfetch.Timeout)
		synctest.Wait()
	}
}

// kill stops a box.
func (c *cluster) kill(e *Edge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byAddress, e.record.Address)
	c.cancels[e]()
	c.all = slices.DeleteFunc(slices.Clone(c.all), func(o *Edge) bool { return o == e })
}

// running returns the running boxes.
func (c *cluster) running() []*Edge {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all
}

// waitAll waits until f holds for all boxes and returns how long that took.
func (c *cluster) waitAll(t testing.TB, what string, timeout time.Duration, f func(e *Edge) bool) time.Duration {
	t.Helper()
	began := time.Now()
	for time.Since(began) < timeout {
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
	t.Fatalf("timeout waiting for %q at %d of %d boxes after %v", what, missing, len(c.all), timeout)
	return 0
}

// busiest returns the maximum of the boxes' counts since the last call.
func (c *cluster) busiest() (answered, callers int, used time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, by := range c.calls {
		sum := 0
		for _, n := range by {
			sum += n
		}
		answered, callers = max(answered, sum), max(callers, len(by))
	}
	clear(c.calls)
	for _, p := range c.cpu {
		used = max(used, p.reset())
	}
	return answered, callers, used
}

// listingStats returns how often the store's tables were listed, and by how many boxes.
func (t *memStore) listingStats() (times, boxes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.listings {
		times += n
	}
	return times, len(t.listings)
}

// TestLargeFleet starts 300 boxes of one hall at once, as after all were killed. All
// must serve within seconds although only hubs read the store, learn of changes within
// a second and count each box's load once, and no hub may answer more than its share of
// the boxes, also after two hubs are killed.
func TestLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 300, 1, 3000)
		ctx, end := c.context(t)
		defer end()
		c.startAll(ctx)
		t.Log("all serve after", c.waitAll(t, "serves", 5*time.Second, (*Edge).ready))
		time.Sleep(4 * time.Second)
		lists, readers := c.table.listingStats()
		t.Log("listings of the store's tables:", lists, "by", readers, "boxes")
		is.True(readers <= 2*members.MaxReaders) // three readers, and some until they learn of a better hub
		c.busiest()
		time.Sleep(time.Second)
		answered, callers, used := c.busiest()
		t.Log("the busiest hub answered", answered, "calls per second of", callers, "boxes and worked", used)
		is.True(callers <= 150)
		is.True(used < 500*time.Millisecond) // in one second of its processor
		c.expectUpdates(t, "u5", 4)
		still, _ := c.table.listingStats()
		is.Equal(still, lists)
		for _, hub := range c.hubs()[:2] {
			c.kill(hub)
		}
		c.expectUpdates(t, "u6", 5)
		time.Sleep(reportLifetime)
		for _, e := range c.all {
			is.Equal(e.loads.Load(time.Now(), "u"+c.all[7].Name()[1:]).Requests, 1)
		}
		after, _ := c.table.listingStats()
		is.True(after <= lists+2*2) // by the hubs that replace the killed ones
	})
}

// reportLifetime is how long a dead box's report counts.
const reportLifetime = 3100 * time.Millisecond

// hubs returns the boxes that consider themselves hubs.
func (c *cluster) hubs() []*Edge {
	return slices.DeleteFunc(slices.Clone(c.all), func(e *Edge) bool { return !e.IsHub() })
}

// expectUpdates drains an upstream and stores another configuration version; all boxes
// must learn of each within a second.
func (c *cluster) expectUpdates(t testing.TB, upstream string, version int) {
	c.table.put("servers", upstream, string(worker(5, 1, "draining")))
	t.Log("a departure is known after", c.waitAll(t, "knows the departure", time.Second, func(e *Edge) bool { return e.fleet.IsLeaving(upstream) }))
	c.table.put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[],"services":[],"limits":{"max_body_bytes":4096},"tenants":[]}`, version))
	t.Log("a version is known after", c.waitAll(t, "knows the version", time.Second, func(e *Edge) bool { return e.View().Version == version }))
}

// TestSmallFleets restarts fleets in which every box calls all hubs, one per hall: all
// must serve at once, agree on the hubs and count each box's load once.
func TestSmallFleets(t *testing.T) {
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
				c := newCluster(t, tt.boxes, tt.halls, 30)
				ctx, end := c.context(t)
				defer end()
				c.startAll(ctx)
				c.waitAll(t, "serves", 2*time.Second, (*Edge).ready)
				time.Sleep(time.Second)
				is.True(c.disagreeing() <= tt.boxes/10) // boxes that joined before a hub was up
				time.Sleep(4 * time.Second)
				is.Equal(len(c.hubs()), tt.hubs)
				c.busiest()
				time.Sleep(time.Second)
				answered, callers, _ := c.busiest()
				is.Equal(callers, tt.boxes-1)
				is.True(answered >= 4*(tt.boxes-1))
				for _, e := range c.all {
					is.Equal(e.loads.Load(time.Now(), "u3").Requests, 1)
					is.Equal(e.View().Tells, 0)
				}
			})
		})
	}
}

// disagreeing returns how many boxes name other hubs than the majority.
func (c *cluster) disagreeing() int {
	votes := map[string]int{}
	majority := 0
	for _, e := range c.all {
		hubs := fmt.Sprint(e.members.Hubs(time.Now()))
		votes[hubs]++
		majority = max(majority, votes[hubs])
	}
	return len(c.all) - majority
}

// TestFetchedConfigurationAge checks that a configuration fetched from a hub takes its
// age from the hub.
func TestFetchedConfigurationAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2, 1, 30)
		hub, e := c.all[0], c.all[1]
		c.byAddress[hub.record.Address] = hub
		_, err := hub.configuration.List(t.Context(), false)
		is.NoErr(err)
		hub.routes.Confirm(time.Now())
		time.Sleep(900 * time.Millisecond)
		e.HandleAnswer(hub.HandleGossip(e.ReportFor(hub.members.Self())), time.Now())
		time.Sleep(100 * time.Millisecond)
		is.Equal(e.View().Version, 3)
		is.True(e.View().ConfigurationAgeMs >= 1000 && e.View().ConfigurationAgeMs < 1010)
	})
}

// TestOwnerReachable checks when a box of a large fleet considers an owner reachable
// that it doesn't call itself: as reported by its hub, unless a call to the owner has
// just gone unanswered.
func TestOwnerReachable(t *testing.T) {
	tests := map[string]struct {
		ago  time.Duration // since the hub heard from the owner
		cut  time.Duration // since the owner left a call unanswered; 0 for never
		want bool
	}{
		"heard from recently":      {ago: 100 * time.Millisecond, want: true},
		"not heard from recently":  {ago: time.Second},
		"call unanswered recently": {ago: 100 * time.Millisecond, cut: time.Second},
		"call unanswered earlier":  {ago: 100 * time.Millisecond, cut: 4 * time.Second, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newCluster(t, 1, 1, 0).all[0]
				if tt.cut > 0 {
					e.markUnreachable("keeper")
					time.Sleep(tt.cut)
				}
				e.HandleAnswer(wire.GossipAnswer{Sender: wire.BoxRecord{Box: "hub", Address: "hub:1"}, Heard: []wire.BoxHeard{{Box: "keeper", AgoMs: int(tt.ago.Milliseconds())}}}, time.Now())
				is.New(t).Equal(e.isReachable("keeper"), tt.want)
			})
		})
	}
}

// TestHubsKilled kills both hubs of ten boxes, each of which has listed only those
// started before it. With delayed calls, the others must still learn of a leaving
// upstream, a new one and a configuration.
func TestHubsKilled(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testHubsKilled(t, seed) })
		})
	}
}

// callDelays draws the delays of calls, long ones for one call in three, from one
// random source per direction, on which calls are serialized.
type callDelays struct {
	seed       uint64
	mu         sync.Mutex
	directions map[string]*rand.Rand
}

func (l *callDelays) next(direction string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	random, ok := l.directions[direction]
	if !ok {
		random = rand.New(rand.NewPCG(l.seed, xxhash.Sum64String(direction)))
		l.directions[direction] = random
	}
	return randomUpTo(random, 100*time.Millisecond) + randomUpTo(random, 3)/2*randomUpTo(random, 1500*time.Millisecond)
}

func randomUpTo(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

func testHubsKilled(t *testing.T, seed uint64) {
	c := newCluster(t, 10, 1, 30)
	ctx, end := c.context(t)
	defer end()
	random := rand.New(rand.NewPCG(seed, 1))
	c.latency = (&callDelays{seed: seed, directions: map[string]*rand.Rand{}}).next
	var records []wire.BoxRecord
	for _, e := range c.all {
		records = append(records, e.record)
	}
	for i, e := range c.all {
		c.startBox(ctx, e, records[:i+1])
		time.AfterFunc(2*listTime, func() {
			e.setBoxes(records[:i+1])
			e.joined.Store(true)
		})
		time.AfterFunc(settleTime, func() { // as join does
			if e.IsHub() {
				e.setBoxes(records)
			}
		})
		time.Sleep(randomUpTo(random, 100*time.Millisecond))
	}
	c.waitAll(t, "knows many boxes, and two are hubs", time.Minute, func(e *Edge) bool { return e.Joined() && !e.AllReaders() && len(c.hubs()) == 2 })
	for _, e := range c.hubs() {
		c.kill(e)
	}
	c.table.put("servers", "u5", string(worker(5, 1, "draining")))
	c.table.put("servers", "u99", string(worker(99, 1, "ready")))
	c.table.put("op", "config", `{"version":9,"routes":[],"services":[],"limits":{"max_body_bytes":4096},"tenants":[]}`)
	c.waitAll(t, "knows all changes", maxWait, func(e *Edge) bool {
		return e.fleet.IsLeaving("u5") && e.fleet.Takes("u99") && e.View().Version == 9
	})
}

// maxWait bounds waits, in virtual time.
const maxWait = 20 * time.Second

// gossipCost is the calls, bytes and processor time of a box's gossip in a second.
type gossipCost struct {
	calls, bytes int
	took         time.Duration
}

// gossip makes a box's calls of one second to a hub and adds up the cost of both.
func (c *cluster) gossip(b *testing.B, e, hub *Edge, box, at *gossipCost) {
	b.Helper()
	calls := 4
	if e.members.IsBackupHub(time.Now(), hub.members.Self()) {
		calls = 1
	}
	for range calls {
		began := time.Now()
		request := e.ReportFor(hub.members.Self())
		size := encodedSize(b, request)
		requested := time.Now()
		answer := hub.HandleGossip(request)
		size += encodedSize(b, answer)
		answered := time.Now()
		e.HandleAnswer(answer, began)
		at.took += answered.Sub(requested)
		box.took += requested.Sub(began) + time.Since(answered)
		for _, s := range []*gossipCost{box, at} {
			s.calls++
			s.bytes += size
		}
	}
}

// encodedSize returns the size of a message without its type descriptions.
func encodedSize(b *testing.B, message any) int {
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

// BenchmarkGossip measures the cost of gossip per second for a box and its hub. The
// boxes are in three halls, and each has requests at two of ten upstreams per box.
func BenchmarkGossip(b *testing.B) {
	for _, boxes := range []int{30, 100, 300, 1000, 2000} {
		b.Run(fmt.Sprint(boxes, " boxes"), func(b *testing.B) {
			c := newCluster(b, boxes, 3, 0)
			byName := map[string]*Edge{}
			var records []wire.BoxRecord
			for i, e := range c.all {
				byName[e.Name()] = e
				records = append(records, e.record)
				e.loads.Begin(fmt.Sprint("u", i*7%(10*boxes)), upstreamload.Load{Requests: 1, Tokens: 3000})
			}
			for _, e := range c.all {
				e.setBoxes(records)
			}
			var box, hub gossipCost
			for range 2 { // the hubs' reports contain those of the previous round
				c.gossipRound(b, byName, &gossipCost{}, &gossipCost{})
			}
			for b.Loop() {
				box, hub = gossipCost{}, gossipCost{}
				c.gossipRound(b, byName, &box, &hub)
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

// gossipRound makes all boxes' calls of one second, and adds up the cost of one box
// that isn't a hub and of its primary hub.
func (c *cluster) gossipRound(b *testing.B, byName map[string]*Edge, box, hub *gossipCost) {
	one := c.all[slices.IndexFunc(c.all, func(e *Edge) bool { return !e.IsHub() })]
	primary := one.members.PrimaryHub(time.Now()).Name
	for _, e := range c.all {
		for _, h := range e.members.HubsToCall(time.Now()) {
			by, at := &gossipCost{}, &gossipCost{}
			if e == one {
				by = box
			}
			if h.Name == primary {
				at = hub
			}
			c.gossip(b, e, byName[h.Name], by, at)
		}
	}
}
