package edge

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/platform/store"
	"petrelstep/wire"
)

// rewriteTime is within which time after the store's return the operator and the upstreams have
// written again what was lost, by the platform's protocol.
const rewriteTime = 2 * time.Second

// storeCopy is a copy of a memStore's rows.
type storeCopy struct{ rows, replaced []store.Row }

// copyRows returns a copy to restore the store from.
func (t *memStore) copyRows() storeCopy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return storeCopy{rows: slices.Clone(t.rows), replaced: slices.Clone(t.replaced)}
}

// restore begins a new era with the rows of a copy, from whose version it counts on.
func (t *memStore) restore(c storeCopy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.era++
	t.rows, t.replaced = slices.Clone(c.rows), slices.Clone(c.replaced)
	close(t.changed)
	t.changed = make(chan struct{})
}

// configuration returns the version of the configuration in the store.
func (t *memStore) configuration() (version int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rows {
		if r.Table == "op" && r.Key == "config" {
			_, _ = fmt.Sscanf(string(r.Value), `{"version":%d`, &version)
		}
	}
	return version
}

// interrupt fails all calls, those that are waiting for changes included, until it is called with
// false.
func (t *memStore) interrupt(away bool) {
	t.setTurnsAway(nil)
	if away {
		t.setTurnsAway(func(storeCall) string { return "reset" })
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.away = away
	close(t.changed)
	t.changed = make(chan struct{})
}

// restoreWrite is a write of the operator or of an upstream.
type restoreWrite struct {
	what  string
	apply func(s *memStore)
	known func(e *Edge) bool // also once it is lost; nil for a write that no box follows
	// removal says that an upstream's entry is removed. It may have lapsed while the store was away:
	// by the platform's protocol the upstream is gone if it is still missing rewriteTime after that.
	removal bool
	// added says that an upstream's entry is added. While a copy lacks it, it cannot be told from one
	// that has left, and a request to that breaks a rule.
	added bool
}

// restoreDay restores a cluster's store from older copies again and again. Nothing that a box knew
// before may be undone, and each write must be known within changeBound.
type restoreDay struct {
	*cluster
	t       *testing.T
	random  *rand.Rand
	restart bool // a box is restarted while the store holds the older copy
	twice   bool // the store is restored twice within a second

	version, next int // of the configuration, and number of the next upstream
	mu            sync.Mutex
	knowing       []restoreWrite
	written       map[string]time.Time // zero for what the store has lost
	restarted     map[*Edge]time.Time
	away          bool // the boxes do not reach the store
	back          time.Time
	pending       sync.WaitGroup
}

// write makes a write and checks that all boxes know it in time.
func (d *restoreDay) write(w restoreWrite) {
	w.apply(d.table)
	if w.known == nil {
		return
	}
	d.mu.Lock()
	d.written[w.what] = time.Now()
	d.mu.Unlock()
	d.pending.Go(func() {
		for w.removal && d.mayLapse() {
			time.Sleep(20 * time.Millisecond)
		}
		began := time.Now()
		for slices.ContainsFunc(d.running(), func(e *Edge) bool { return e.ready() && !w.known(e) }) {
			if time.Since(began) > changeBound {
				d.t.Errorf("%s is not known at all boxes after %v: %v", w.what, changeBound, d.without(w))
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.knowing = append(d.knowing, w)
	})
}

// mayLapse reports whether an entry that is missing may only have lapsed.
func (d *restoreDay) mayLapse() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.away || time.Since(d.back) < rewriteTime
}

// interrupt makes the store be away from the boxes, or back.
func (d *restoreDay) interrupt(away bool) {
	d.table.interrupt(away)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.away = away; !away {
		d.back = time.Now()
	}
}

// without returns the boxes that do not know a write.
func (d *restoreDay) without(w restoreWrite) (names []string) {
	for _, e := range d.running() {
		if !w.known(e) {
			names = append(names, e.Name())
		}
	}
	return names
}

// watch checks until ctx ends that no box forgets what all boxes knew, and that a restarted box
// learns it.
func (d *restoreDay) watch(ctx context.Context) {
	failed := map[string]bool{}
	for sleep(ctx, 20*time.Millisecond) == nil {
		d.mu.Lock()
		knowing, restarted, written := slices.Clone(d.knowing), maps.Clone(d.restarted), maps.Clone(d.written)
		d.mu.Unlock()
		for _, w := range knowing {
			if at := written[w.what]; w.added && (at.IsZero() || time.Since(at) < changeBound) {
				continue
			}
			for _, e := range d.running() {
				if time.Since(restarted[e]) > changeBound && !w.known(e) && !failed[w.what] {
					failed[w.what] = true
					d.t.Errorf("%s is no longer known at %s", w.what, e.Name())
				}
			}
		}
	}
}

// change returns a new write of each kind. Upstreams that leave do not return.
func (d *restoreDay) change() []restoreWrite {
	d.version += 1 + d.random.IntN(5)
	version, added, draining, removed := d.version, d.next, d.next+1, d.next+2
	d.next += 3
	id := func(i int) string { return fmt.Sprint("u", i) }
	leaving := func(i int) func(e *Edge) bool { return func(e *Edge) bool { return !e.fleet.Takes(id(i)) } }
	return []restoreWrite{
		{fmt.Sprint("configuration ", version), func(s *memStore) {
			if version <= s.configuration() {
				return // the operator has written a newer one since
			}
			s.put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"plain","max_conns":100}],"limits":{"max_body_bytes":4096},"tenants":[]}`, version))
		}, func(e *Edge) bool { return e.View().Version >= version }, false, false},
		{"new " + id(1000+added), func(s *memStore) { s.put("servers", id(1000+added), string(worker(1000+added, 3, "ready"))) }, func(e *Edge) bool { return e.fleet.Takes(id(1000 + added)) }, false, true},
		{"draining " + id(draining), func(s *memStore) { s.put("servers", id(draining), string(worker(draining, 3, "draining"))) }, leaving(draining), false, false},
		{"removal of " + id(removed), func(s *memStore) { s.remove("servers", id(removed)) }, leaving(removed), true, false},
	}
}

// beats returns up to n writes that no box follows.
func (d *restoreDay) beats(n int) (list []restoreWrite) {
	for range d.random.IntN(n + 1) {
		list = append(list, restoreWrite{apply: func(s *memStore) { s.put("beats", "beat", "x") }})
	}
	return list
}

// spread makes writes in a drawn order within a duration.
func (d *restoreDay) spread(writes []restoreWrite, within time.Duration) {
	d.random.Shuffle(len(writes), func(i, j int) { writes[i], writes[j] = writes[j], writes[i] })
	for _, w := range writes {
		time.Sleep(randomUpTo(d.random, 2*within/time.Duration(len(writes)+1)))
		d.write(w)
	}
}

// restoreOnce lets the store lose some seconds, and come back after a moment.
func (d *restoreDay) restoreOnce(ctx context.Context) {
	held := d.table.copyRows()
	lost := d.change()
	d.spread(append(d.beats(80), lost...), time.Second+randomUpTo(d.random, 3*time.Second))
	time.Sleep(changeBound) // all boxes know what will be lost
	d.lose(lost)
	if d.twice {
		d.interrupt(true)
		time.Sleep(50*time.Millisecond + randomUpTo(d.random, 150*time.Millisecond))
		d.table.restore(held)
		d.spread(d.beats(120), randomUpTo(d.random, 100*time.Millisecond))
		d.interrupt(false)
		time.Sleep(randomUpTo(d.random, 600*time.Millisecond))
	}
	d.interrupt(true)
	time.Sleep(50*time.Millisecond + randomUpTo(d.random, 500*time.Millisecond))
	d.table.restore(held)
	d.spread(append(d.beats(120), d.change()...), randomUpTo(d.random, 400*time.Millisecond)) // before any box reads
	d.interrupt(false)
	if d.restart {
		d.restartBox(ctx)
	}
	again := append(lost, d.change()...)
	d.spread(append(again, d.beats(80)...), rewriteTime/2)
	time.Sleep(2 * changeBound)
}

// lose records which writes the store is about to lose.
func (d *restoreDay) lose(writes []restoreWrite) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range writes {
		d.written[w.what] = time.Time{}
	}
}

// restartBox restarts a drawn box.
func (d *restoreDay) restartBox(ctx context.Context) {
	old := d.running()[d.random.IntN(len(d.running()))]
	var records []wire.BoxRecord
	for _, e := range d.running() {
		records = append(records, e.record)
	}
	d.kill(old)
	fresh := d.box(d.t, old.Name(), old.record.Hall)
	d.startBox(ctx, fresh, records)
	fresh.setBoxes(records)
	fresh.joined.Store(true)
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	d.all = append(slices.Clone(d.all), fresh)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restarted[fresh] = time.Now()
}

// TestStoreRestored guards against changes that are skipped or undone when the store comes back
// from an older copy: its versions are then given out again for other changes.
func TestStoreRestored(t *testing.T) {
	tests := map[string]struct {
		boxes, halls, seeds, rounds int
		restart, twice              bool
	}{
		"6 boxes":                 {boxes: 6, halls: 4, seeds: 10, rounds: 3},
		"7 boxes":                 {boxes: 7, halls: 4, seeds: 10, rounds: 3},
		"23 boxes":                {boxes: 23, halls: 4, seeds: 3, rounds: 3},
		"77 boxes":                {boxes: 77, halls: 3, seeds: 1, rounds: 2},
		"300 boxes":               {boxes: 300, halls: 1, seeds: 1, rounds: 1},
		"6 boxes, one restarted":  {boxes: 6, halls: 4, seeds: 10, rounds: 3, restart: true},
		"77 boxes, one restarted": {boxes: 77, halls: 3, seeds: 1, rounds: 2, restart: true},
		"7 boxes, twice":          {boxes: 7, halls: 4, seeds: 10, rounds: 3, twice: true},
	}
	for name, tt := range tests {
		for seed := range uint64(tt.seeds) {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := &restoreDay{cluster: newCluster(t, tt.boxes, tt.halls, 90), t: t, random: rand.New(rand.NewPCG(seed, 3)), restart: tt.restart, twice: tt.twice, version: 3, written: map[string]time.Time{}, restarted: map[*Edge]time.Time{}}
					ctx, end := d.context(t)
					defer end()
					d.startAll(ctx)
					d.waitAll(t, "serves", 5*time.Second, (*Edge).ready)
					time.Sleep(5 * time.Second)
					go d.watch(ctx)
					for range tt.rounds {
						d.restoreOnce(ctx)
					}
					d.pending.Wait()
				})
			})
		}
	}
}

// TestStoreRestoredBelowFeed guards against changes that no box learns of, as the restored store
// has given out the version again up to which the boxes had read.
func TestStoreRestoredBelowFeed(t *testing.T) {
	for _, boxes := range []int{6, 77, 300} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, boxes, 1, 60)
				ctx, end := c.context(t)
				defer end()
				c.startAll(ctx)
				c.waitAll(t, "serves", 5*time.Second, (*Edge).ready)
				time.Sleep(5 * time.Second)
				held := c.table.copyRows()
				for range 30 {
					c.table.put("servers", "u1", string(worker(1, 3, "ready")))
				}
				time.Sleep(time.Second)
				c.table.resetListings()
				c.table.interrupt(true)
				c.table.restore(held)
				c.table.put("op", "config", `{"version":9,"routes":[],"services":[{"name":"plain","max_conns":100}],"limits":{"max_body_bytes":4096},"tenants":[]}`)
				c.table.put("servers", "u2", string(worker(2, 3, "draining")))
				c.table.remove("servers", "u3")
				for range 60 {
					c.table.put("beats", "beat", "x")
				}
				c.table.interrupt(false)
				calls := c.table.storeCalls()
				t.Log("known after", c.waitAll(t, "knows all changes", changeBound, func(e *Edge) bool {
					return e.View().Version == 9 && !e.fleet.Takes("u2") && !e.fleet.Takes("u3")
				}))
				time.Sleep(5 * time.Second)
				_, listed := c.table.listingStats()
				t.Log("calls to the store in the 5 s after:", c.table.storeCalls()-calls, "listings by", listed, "boxes")
				is.True(listed <= 2*3) // the readers, and the standbys that read while the store is away
			})
		})
	}
}
