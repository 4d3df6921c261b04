package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/fleet"
)

// maxLeavingDelay is how long after a box has passed on an answer that announces a
// worker's leaving requests may still reach the worker.
const maxLeavingDelay = 2 * time.Second

// lateRequests returns how many requests reached a leaving worker that were sent later
// than maxLeavingDelay after the same box had passed on an announcement (own), and
// after any box had (others).
func (p *protocol) lateRequests(w *protocolWorker) (own, others int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := time.Time{}
	for _, at := range p.announced {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals {
		if announcedAt, ok := p.announced[a.box+" seal-"+w.id]; ok && a.sentAt.After(announcedAt.Add(maxLeavingDelay)) {
			own++
		}
		if !first.IsZero() && a.sentAt.After(first.Add(maxLeavingDelay)) {
			others++
		}
	}
	return own, others
}

// TestLeavingHeader guards against sending requests to a worker whose answers announce
// that it leaves while its entry doesn't.
func TestLeavingHeader(t *testing.T) {
	tests := map[string]struct {
		boxes  int
		demand float64
		path   string
		during func(p *protocol, w *protocolWorker)
	}{
		"6 boxes":   {boxes: 6, demand: 40},
		"77 boxes":  {boxes: 77, demand: 100},
		"300 boxes": {boxes: 300, demand: 300},
		"store silent": {boxes: 6, demand: 40, path: "/open/", during: func(p *protocol, _ *protocolWorker) {
			p.cluster.table.setSilent(true)
		}},
		"entry rewritten": {boxes: 6, demand: 40, during: func(p *protocol, w *protocolWorker) {
			p.putEntry(w, "ready")
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := context.WithCancel(t.Context())
				p := newProtocol(ctx, t, tt.boxes, 4)
				p.sendLoad(ctx, tt.path, tt.demand, 3*time.Second)
				w := p.workers[0]
				w.update(func(w *protocolWorker) { w.leaves = true })
				p.sendLoad(ctx, tt.path, tt.demand, time.Second)
				if tt.during != nil {
					tt.during(p, w)
				}
				sent, served := p.sendLoad(ctx, tt.path, tt.demand, 8*time.Second)
				own, others := p.lateRequests(w)
				t.Log("requests later than", maxLeavingDelay, "after the announcement:", own, "by the same box,", others, "by any; served", served, "of", sent)
				p.cluster.table.setSilent(false)
				p.stop(end)
				is.Equal(own, 0)
				is.Equal(others, 0)
				is.True(served*100 >= sent*99)
			})
		})
	}
}

// TestAllLeave guards against waiting, or sending requests to leaving workers, when all
// workers of a service announce that they leave. New workers must be used as they
// appear.
func TestAllLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := context.WithCancel(t.Context())
		p := newProtocol(ctx, t, 6, 3)
		w3 := p.workers[2]
		p.cluster.table.remove("servers", w3.id) // added later to replace the others
		p.sendLoad(ctx, "", 60, 3*time.Second)
		for _, w := range p.workers[:2] {
			w.update(func(w *protocolWorker) { w.leaves = true })
		}
		p.sendLoad(ctx, "", 60, time.Second)
		p.mu.Lock()
		p.slowestRefusal, p.retryAfters = 0, nil
		p.mu.Unlock()
		sent, served := p.sendLoad(ctx, "", 60, 3*time.Second)
		is.Equal(served, 0)
		is.Equal(len(p.retryAfters), sent)
		is.True(p.slowestRefusal <= 25*time.Millisecond) // a quarter of the latency goal
		otherSent, otherServed := p.sendLoad(ctx, "/beside/", 60, time.Second)
		is.Equal(otherServed, otherSent)
		p.putEntry(w3, "ready")
		p.sendLoad(ctx, "", 60, time.Second)
		sent, served = p.sendLoad(ctx, "", 60, 3*time.Second)
		own, others := p.lateRequests(p.workers[0])
		p.stop(end)
		is.Equal(served, sent)
		is.Equal(own+others, 0)
	})
}

// TestLeavingReported checks how soon all boxes avoid a worker after one box learns
// that it leaves, under faults.
func TestLeavingReported(t *testing.T) {
	nothing := func(context.Context, testing.TB, *cluster, *Edge) {}
	tests := map[string]struct {
		boxes     int
		meanwhile func(ctx context.Context, t testing.TB, c *cluster, at *Edge)
	}{
		"6 boxes":                           {6, nothing},
		"77 boxes":                          {77, nothing},
		"300 boxes":                         {300, nothing},
		"two hubs of 77 boxes die":          {77, killTwoHubs},
		"two hubs of 300 boxes die":         {300, killTwoHubs},
		"a box of 6 starts":                 {6, startNewBox},
		"a box of 300 starts":               {300, startNewBox},
		"a box of 6 is cut off for a while": {6, isolateBox},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				p := newProtocol(ctx, t, tt.boxes, 4)
				c := p.cluster
				at := c.all[len(c.all)-1]
				at.fleet.ApplyDeparture(time.Now(), fleet.Departure{ID: "w0", Announced: true}, "answer")
				tt.meanwhile(ctx, t, c, at)
				t.Log("all avoid it after", c.waitAll(t, "avoids the worker", maxLeavingDelay, func(e *Edge) bool { return !e.fleet.Takes("w0") }))
				p.stop(end)
			})
		})
	}
}
