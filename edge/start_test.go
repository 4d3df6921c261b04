// These tests guard against a mass start overloading the store, which takes 200 writes
// a second: boxes that couldn't write their rows in time used to read the whole fleet,
// all at once.
package edge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/gossip"
	"petrelstep/members"
	"petrelstep/platform/manifest"
	"petrelstep/platform/store"
	"petrelstep/revision"
	"petrelstep/wire"
)

// maxWriteQueue is the queueing delay from which the store rejects writes.
const maxWriteQueue = time.Second

// writeStats counts the write calls to a store.
type writeStats struct {
	free          time.Time
	done, refused int
}

// Transact implements manifest.BoxStore and rollouts.Store. Transactions are serialized.
func (r storeClient) Transact(ctx context.Context, tx store.Transaction) (done bool, now []store.Row, err error) {
	if err := r.waitWhileSilent(ctx); err != nil {
		return false, nil, &store.Error{Call: "rows-tx", Err: err}
	}
	r.mu.Lock()
	away := r.away
	r.mu.Unlock()
	if away {
		return false, nil, &store.Error{Call: "rows-tx", Status: http.StatusServiceUnavailable, NoEffect: true}
	}
	r.answered()
	r.mu.Lock()
	at := time.Now()
	if r.writes.free.Before(at) {
		r.writes.free = at
	}
	wait := r.writes.free.Sub(at)
	if wait > maxWriteQueue {
		r.writes.refused++
		r.mu.Unlock()
		return false, nil, &store.Error{Call: "rows-tx", Status: http.StatusTooManyRequests, NoEffect: true}
	}
	r.writes.free = r.writes.free.Add(rowWriteTime)
	r.writes.done++
	r.mu.Unlock()
	if err := sleep(ctx, wait+rowWriteTime); err != nil {
		return false, nil, &store.Error{Call: "rows-tx", Err: err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.holds(tx.Expect) {
		return false, nil, nil
	}
	for _, row := range tx.Put {
		r.putLocked(row.Table, row.Key, string(row.Value))
	}
	if r.loseAnswers {
		return false, nil, &store.Error{Call: "rows-tx", Err: io.EOF}
	}
	return true, nil, nil
}

// holds reports whether all rows have the expected versions; the lock is held.
func (t *memStore) holds(expected []store.Expect) bool {
	for _, e := range expected {
		if row := t.versionOf(e.Table, e.Key); row != revision.New(0, e.Version.Version()) || e.Version != 0 && e.Version.Era() != t.era {
			return false
		}
	}
	return true
}

// startFull starts a box with all its background tasks.
func (c *cluster) startFull(ctx context.Context, e *Edge) {
	c.mu.Lock()
	c.byAddress[e.record.Address] = e
	c.mu.Unlock()
	rows := storeClient{c.table, e.Name()}
	e.boxes = manifest.NewBoxes(rows, e.metrics, e.log)
	e.configuration = manifest.NewConfiguration(rows, e.routes, e.halls, e.log)
	workers := manifest.NewWorkers(rows, e.fleet, e.hasService, e.metrics, e.log)
	for _, f := range e.followers(workers) {
		go f.Run(ctx)
	}
	go e.timer.Every(ctx, "tick", tickInterval, e.tick)
	go e.registrar.run(ctx)
	go e.join(ctx)
	go gossip.New(e.members, e.peers, e, e.timer, e.log).Run(ctx)
}

// newStoppedCluster returns boxes that aren't started, one in ten of them hub-eligible.
// Their names are addresses.
func newStoppedCluster(t *testing.T, boxes, halls, upstreams int) *cluster {
	t.Helper()
	c := newCluster(t, 0, halls, upstreams)
	c.ineligible = func(box string) bool { return !strings.HasSuffix(box, "0") }
	for i := range boxes {
		c.all = append(c.all, c.box(t, fmt.Sprintf("10.9.%d.%d", i/250, i%250), fmt.Sprint("hall", i%halls)))
	}
	return c
}

// registerAll stores the rows of all boxes, as after an earlier start.
func (c *cluster) registerAll(t *testing.T) {
	t.Helper()
	halls := map[string]int{}
	for _, e := range c.all {
		halls[e.config.Hall]++
		row := wire.HallBoxes{Hall: e.config.Hall, Boxes: halls[e.config.Hall]}
		is.New(t).NoErr(manifest.NewBoxes(storeClient{c.table, e.Name()}, e.metrics, e.log).Join(t.Context(), []wire.HallBoxes{row}, e.record))
	}
	c.table.writes = writeStats{}
}

// startAllFull starts all boxes within 0.3 s.
func (c *cluster) startAllFull(ctx context.Context, cold bool) {
	for i, e := range c.all {
		e.config.Edge.ColdStart = cold
		time.AfterFunc(time.Duration(i%300)*time.Millisecond, func() { c.startFull(ctx, e) })
	}
}

// readStats returns how many boxes read the upstreams, how many rows of boxes were
// read, and the number of write calls.
func (t *memStore) readStats() (fleets, rows, wrote int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.fleetListings), t.boxRowsRead, t.writes.done + t.writes.refused
}

// TestMassStart starts many boxes at once, for the first time and after all were killed:
// all must serve soon and be listed by the table and each other, only hubs may read the
// upstreams, and each box may cost the store few calls.
func TestMassStart(t *testing.T) {
	const (
		boxes, halls = 600, 3
		maxRows      = 250 // per box on average: one in ten reads all 600
	)
	tests := map[string]struct {
		again  bool
		within time.Duration
		writes int // per hundred boxes
	}{
		"for the first time": {within: 5 * time.Second, writes: 120},
		"again":              {again: true, within: 2 * time.Second, writes: 5}, // callers retry within seconds
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newStoppedCluster(t, boxes, halls, 2000)
				if tt.again {
					c.registerAll(t)
				}
				ctx, end := c.context(t)
				defer end()
				c.startAllFull(ctx, !tt.again)
				t.Log("all serve after", c.waitAll(t, "serves", tt.within, (*Edge).ready))
				time.Sleep(8 * time.Second)
				fleets, rows, wrote := c.table.readStats()
				t.Log("boxes that read the upstreams:", fleets, "rows of boxes read:", rows, "calls that write:", wrote)
				is.True(rows <= maxRows*boxes)
				is.True(fleets <= 2*members.MaxReaders)
				is.True(wrote <= tt.writes*boxes/100)
				list, err := c.all[0].boxes.List(t.Context())
				is.NoErr(err)
				is.Equal(len(list), boxes)
				c.waitAll(t, "knows how many there are", time.Second, func(e *Edge) bool { return e.Count() == boxes })
			})
		})
	}
}

// TestMassJoin adds two thirds as many boxes to a large fleet at once: each box that
// isn't hub-eligible may cost the store one call, and all must count all boxes within
// seconds.
func TestMassJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const boxes, more, halls = 360, 240, 3
		c := newStoppedCluster(t, boxes+more, halls, 200)
		all := c.all
		c.all = all[:boxes]
		c.registerAll(t)
		ctx, end := c.context(t)
		defer end()
		c.startAllFull(ctx, false)
		c.waitAll(t, "serves", 3*time.Second, (*Edge).ready)
		time.Sleep(8 * time.Second)
		_, _, before := c.table.readStats()
		c.all = all[boxes:]
		c.startAllFull(ctx, false)
		c.all = all
		c.waitAll(t, "serves", 3*time.Second, (*Edge).ready)
		t.Log("all count all boxes after", c.waitAll(t, "counts all", 10*time.Second, func(e *Edge) bool { return e.Count() == boxes+more }))
		_, _, after := c.table.readStats()
		t.Log("calls that write:", after-before)
		is.True(after-before <= more/10+2*len(c.hubs())+halls*maxRegisterCalls)
	})
}

// maxRegisterCalls is the maximum number of calls in which the hubs of a hall write the
// rows of new boxes and the hall's size.
const maxRegisterCalls = 20

// TestHubEligibleLost cuts off all hub-eligible boxes of a hall in a large fleet: the
// others in that hall must not all become hubs, and must get updates from other halls.
func TestHubEligibleLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const boxes, halls = 300, 3
		c := newStoppedCluster(t, boxes, halls, 100)
		c.registerAll(t)
		ctx, end := c.context(t)
		defer end()
		c.startAllFull(ctx, false)
		c.waitAll(t, "serves", 3*time.Second, (*Edge).ready)
		time.Sleep(8 * time.Second)
		c.mu.Lock()
		var left []*Edge
		for _, e := range c.all {
			if e.record.Strong && e.config.Hall == "hall0" {
				c.isolated[e.record.Address] = true
				continue
			}
			left = append(left, e)
		}
		c.all = left
		c.mu.Unlock()
		time.Sleep(5 * time.Second)
		t.Log("hubs:", len(c.hubs()), "of", len(c.all), "boxes")
		is.True(len(c.hubs()) <= halls*3)     // one per 40 boxes of a hall
		const backupHubTime = 2 * time.Second // covers two calls to a backup hub
		c.table.put("servers", "u5", string(worker(5, 1, "draining")))
		c.waitAll(t, "knows the departure", backupHubTime, func(e *Edge) bool { return e.fleet.IsLeaving("u5") })
		c.table.put("op", "config", `{"version":4,"routes":[],"services":[],"limits":{"max_body_bytes":4096},"tenants":[]}`)
		c.waitAll(t, "knows the version", backupHubTime, func(e *Edge) bool { return e.View().Version == 4 })
		readers := 0
		for _, e := range c.all {
			if c.table.fleetListings[e.Name()] > 0 {
				readers++
			}
		}
		t.Log("boxes that read the upstreams:", readers)
		is.True(readers <= 2*members.MaxReaders)
	})
}

// TestStoreRefuses restarts a large fleet while the store refuses every other
// connection for 1.5 s: only the readers may read the upstreams.
func TestStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newStoppedCluster(t, 300, 1, 3000)
		c.registerAll(t)
		ctx, end := c.context(t)
		defer end()
		var mu sync.Mutex
		began, random := time.Now(), rand.New(rand.NewPCG(1, 1))
		c.table.refuse = func() bool {
			mu.Lock()
			defer mu.Unlock()
			return time.Since(began) < 1500*time.Millisecond && random.IntN(2) == 0
		}
		c.startAllFull(ctx, false)
		t.Log("all serve after", c.waitAll(t, "serves", 10*time.Second, (*Edge).ready))
		fleets, _, _ := c.table.readStats()
		t.Log("boxes that read the upstreams:", fleets)
		is.True(fleets <= 2*members.MaxReaders)
	})
}
