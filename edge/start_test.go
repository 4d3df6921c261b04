// Hundreds of boxes started in one moment before thousands of upstreams, most of them too
// weak to be hubs. The store takes 200 rows a second into one table, so that the last had
// written their own after 5 s and after several refusals each; those that had not after
// 3 s read the whole fleet for themselves, all at once, and none of them to its end.
package edge

import (
	"context"
	"fmt"
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
	"petrelstep/tablesync"
	"petrelstep/wire"
)

// txWaits is from how long a line of writes the store refuses more.
const txWaits = time.Second

// writes is how many writing calls a store has had.
type writes struct {
	free          time.Time
	done, refused int
}

// Transact implements manifest.List: rows are written one transaction after the other.
func (r reader) Transact(ctx context.Context, tx store.Transaction) (done bool, now []store.Row, err error) {
	r.mu.Lock()
	at := time.Now()
	if r.writes.free.Before(at) {
		r.writes.free = at
	}
	wait := r.writes.free.Sub(at)
	if wait > txWaits {
		r.writes.refused++
		r.mu.Unlock()
		return false, nil, &store.Error{Call: "rows-tx", Status: http.StatusTooManyRequests, NoEffect: true}
	}
	r.writes.free = r.writes.free.Add(joinCost)
	r.writes.done++
	r.mu.Unlock()
	if err := pass(ctx, wait+joinCost); err != nil {
		return false, nil, &store.Error{Call: "rows-tx", Err: err}
	}
	for _, row := range tx.Put {
		r.put(row.Table, row.Key, string(row.Value))
	}
	return true, nil, nil
}

// startReal starts a box with all that it does by itself at its start.
func (c *crowd) startReal(ctx context.Context, e *Edge) {
	c.mu.Lock()
	c.up[e.record.Address] = e
	c.mu.Unlock()
	rows := reader{c.table, e.Name()}
	e.boxes = manifest.NewBoxes(rows, e.metrics, e.log)
	e.configuration = manifest.NewConfiguration(rows, e.routes, e.halls, e.log)
	workers := manifest.NewWorkers(rows, e.fleet, e.hasService, e.metrics, e.log)
	go tablesync.New("configuration", e.configuration, storeAnswers{e.routes.Confirm, e.recordStoreAnswer}, e.readPolicy("configuration", e.routes.Age), e.log).Run(ctx)
	go tablesync.New("upstreams", workers, storeAnswers{e.fleet.Confirm, e.recordStoreAnswer}, e.readPolicy("upstreams", e.fleet.Age), e.log).Run(ctx)
	go e.timer.Every(ctx, "tick", tickInterval, e.tick)
	go e.timer.Every(ctx, "register", registerInterval, func(time.Time) { e.registrar.write(ctx) })
	go e.join(ctx)
	go gossip.New(e.members, e.peers, e, e.timer, e.log).Run(ctx)
}

// newStart puts boxes together that have not started: one in ten is fit to be a hub.
// Their names are addresses.
func newStart(t *testing.T, boxes, halls, upstreams int) *crowd {
	t.Helper()
	c := newCrowd(t, 0, halls, upstreams)
	c.weak = func(box string) bool { return !strings.HasSuffix(box, "0") }
	for i := range boxes {
		c.all = append(c.all, c.box(t, fmt.Sprintf("10.9.%d.%d", i/250, i%250), fmt.Sprint("hall", i%halls)))
	}
	return c
}

// registered puts all boxes into the table, as after an earlier start.
func (c *crowd) registered(t *testing.T) {
	t.Helper()
	halls := map[string]int{}
	for _, e := range c.all {
		halls[e.config.Hall]++
		row := wire.HallBoxes{Hall: e.config.Hall, Boxes: halls[e.config.Hall]}
		is.New(t).NoErr(manifest.NewBoxes(reader{c.table, e.Name()}, e.metrics, e.log).Join(t.Context(), []wire.HallBoxes{row}, e.record))
	}
	c.table.writes = writes{}
}

// startAllReal starts all boxes within 0.3 s.
func (c *crowd) startAllReal(ctx context.Context, cold bool) {
	for i, e := range c.all {
		e.config.Edge.ColdStart = cold
		time.AfterFunc(time.Duration(i%300)*time.Millisecond, func() { c.startReal(ctx, e) })
	}
}

// read returns how many boxes read the upstreams, how many rows of boxes were read, and how
// many calls wrote.
func (t *table) read() (fleets, rows, wrote int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.fleets), t.boxRows, t.writes.done + t.writes.refused
}

// TestManyStart starts many boxes at once, for the first time and again after all were
// killed: all serve within seconds, hubs alone read the upstreams, each box costs the store
// few calls, and in the end the table and each box name all of them.
func TestManyStart(t *testing.T) {
	const (
		boxes, halls = 600, 3
		rowsMost     = 250 // that a box reads in the mean, of 600: one in ten reads all
	)
	tests := map[string]struct {
		again  bool
		within time.Duration
		writes int // calls of a hundred boxes
	}{
		"for the first time": {within: 5 * time.Second, writes: 120},
		"again":              {again: true, within: 2 * time.Second, writes: 5}, // callers come back within seconds
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newStart(t, boxes, halls, 2000)
				if tt.again {
					c.registered(t)
				}
				ctx, end := c.context(t)
				defer end()
				c.startAllReal(ctx, !tt.again)
				t.Log("all serve after", c.until(t, "serves", tt.within, (*Edge).ready))
				time.Sleep(8 * time.Second)
				fleets, rows, wrote := c.table.read()
				t.Log("boxes that read the upstreams:", fleets, "rows of boxes read:", rows, "calls that write:", wrote)
				is.True(rows <= rowsMost*boxes)
				is.True(fleets <= 2*members.ReadersMost)
				is.True(wrote <= tt.writes*boxes/100)
				list, err := c.all[0].boxes.List(t.Context())
				is.NoErr(err)
				is.Equal(len(list), boxes)
				c.until(t, "knows how many there are", time.Second, func(e *Edge) bool { return e.Count() == boxes })
			})
		})
	}
}

// TestManyAdded adds two thirds as many boxes to a crowd at once: each costs the store one
// call but those fit to be hubs, and all count all of them within seconds.
func TestManyAdded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const boxes, more, halls = 360, 240, 3
		c := newStart(t, boxes+more, halls, 200)
		all := c.all
		c.all = all[:boxes]
		c.registered(t)
		ctx, end := c.context(t)
		defer end()
		c.startAllReal(ctx, false)
		c.until(t, "serves", 3*time.Second, (*Edge).ready)
		time.Sleep(8 * time.Second)
		_, _, before := c.table.read()
		c.all = all[boxes:]
		c.startAllReal(ctx, false)
		c.all = all
		c.until(t, "serves", 3*time.Second, (*Edge).ready)
		t.Log("all count all after", c.until(t, "counts all", 10*time.Second, func(e *Edge) bool { return e.Count() == boxes+more }))
		_, _, after := c.table.read()
		t.Log("calls that write:", after-before)
		is.True(after-before <= more/10+2*len(c.hubs())+halls*registerCalls)
	})
}

// registerCalls is how many calls the hubs of a hall make at most, to write the rows of
// boxes that came and how many the hall has then.
const registerCalls = 20

// TestStrongGone cuts all boxes of a hall off that are fit to be hubs, once a crowd has
// restarted: the others of that hall, of whom none knows the rest, do not all take
// themselves for hubs, and have what is new from those of other halls.
func TestStrongGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const boxes, halls = 300, 3
		c := newStart(t, boxes, halls, 100)
		c.registered(t)
		ctx, end := c.context(t)
		defer end()
		c.startAllReal(ctx, false)
		c.until(t, "serves", 3*time.Second, (*Edge).ready)
		time.Sleep(8 * time.Second)
		c.mu.Lock()
		var left []*Edge
		for _, e := range c.all {
			if e.record.Strong && e.config.Hall == "hall0" {
				c.cut[e.record.Address] = true
				continue
			}
			left = append(left, e)
		}
		c.all = left
		c.mu.Unlock()
		time.Sleep(5 * time.Second)
		t.Log("hubs:", len(c.hubs()), "of", len(c.all), "boxes")
		is.True(len(c.hubs()) <= halls*3)  // one for 40 boxes of a hall
		const spareCalls = 2 * time.Second // two calls to a spare hub, and some
		c.table.put("servers", "u5", string(worker(5, 1, "draining")))
		c.until(t, "knows the departure", spareCalls, func(e *Edge) bool { return e.fleet.Leaving("u5") })
		c.table.put("op", "config", `{"version":4,"routes":[],"services":[],"limits":{"max_body_bytes":4096},"tenants":[]}`)
		c.until(t, "knows the version", spareCalls, func(e *Edge) bool { return e.View().Version == 4 })
		readers := 0
		for _, e := range c.all {
			if c.table.fleets[e.Name()] > 0 {
				readers++
			}
		}
		t.Log("boxes that read the upstreams:", readers)
		is.True(readers <= 2*members.ReadersMost)
	})
}

// TestManyRefused restarts a crowd while the store refuses every other connection for a
// second and a half: still none but the readers reads the upstreams.
func TestManyRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newStart(t, 300, 1, 3000)
		c.registered(t)
		ctx, end := c.context(t)
		defer end()
		var mu sync.Mutex
		began, random := time.Now(), rand.New(rand.NewPCG(1, 1))
		c.table.refuse = func() bool {
			mu.Lock()
			defer mu.Unlock()
			return time.Since(began) < 1500*time.Millisecond && random.IntN(2) == 0
		}
		c.startAllReal(ctx, false)
		t.Log("all serve after", c.until(t, "serves", 10*time.Second, (*Edge).ready))
		fleets, _, _ := c.table.read()
		t.Log("boxes that read the upstreams:", fleets)
		is.True(fleets <= 2*members.ReadersMost)
	})
}
