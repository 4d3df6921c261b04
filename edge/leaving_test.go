package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/fleet"
)

// leftMost is how long after a box has passed on a worker's word that it leaves a caller
// may send what still reaches it.
const leftMost = 2 * time.Second

// late returns how many requests reached a worker that had said that it leaves: of those
// that their callers sent later than leftMost after their own box had passed that on, and
// after any box had.
func (p *protocol) late(w *protocolWorker) (own, others int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := time.Time{}
	for _, at := range p.told {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals {
		if told, ok := p.told[a.box+" seal-"+w.id]; ok && a.sent.After(told.Add(leftMost)) {
			own++
		}
		if !first.IsZero() && a.sent.After(first.Add(leftMost)) {
			others++
		}
	}
	return own, others
}

// TestLeavesByItsAnswers guards against sending to a worker whose answers say that it
// leaves while its entry does not.
func TestLeavesByItsAnswers(t *testing.T) {
	tests := map[string]struct {
		boxes  int
		demand float64
		path   string
		during func(p *protocol, w *protocolWorker)
	}{
		"6 boxes":   {boxes: 6, demand: 40},
		"77 boxes":  {boxes: 77, demand: 100},
		"300 boxes": {boxes: 300, demand: 300},
		"the store is silent": {boxes: 6, demand: 40, path: "/open/", during: func(p *protocol, _ *protocolWorker) {
			p.crowd.table.setSilent(true)
		}},
		"its entry is written anew": {boxes: 6, demand: 40, during: func(p *protocol, w *protocolWorker) {
			p.enter(w, "ready")
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := context.WithCancel(t.Context())
				p := newProtocol(ctx, t, tt.boxes, 4)
				p.press(ctx, tt.path, tt.demand, 3*time.Second)
				w := p.workers[0]
				w.set(func(w *protocolWorker) { w.leaves = true })
				p.press(ctx, tt.path, tt.demand, time.Second)
				if tt.during != nil {
					tt.during(p, w)
				}
				asked, served := p.press(ctx, tt.path, tt.demand, 8*time.Second)
				own, others := p.late(w)
				t.Log("reached it later than", leftMost, "after its word:", own, "by the same box,", others, "by any; served", served, "of", asked)
				p.crowd.table.setSilent(false)
				p.stop(end)
				is.Equal(own, 0)
				is.Equal(others, 0)
				is.True(served*100 >= asked*99)
			})
		})
	}
}

// TestAllLeave guards against callers that wait, or are sent to who has said that it leaves,
// where all workers of a service say so within a second; new ones are taken as they come.
func TestAllLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := context.WithCancel(t.Context())
		p := newProtocol(ctx, t, 6, 3)
		w3 := p.workers[2]
		p.crowd.table.drop("servers", w3.id) // it comes in place of the others
		p.press(ctx, "", 60, 3*time.Second)
		for _, w := range p.workers[:2] {
			w.set(func(w *protocolWorker) { w.leaves = true })
		}
		p.press(ctx, "", 60, time.Second)
		p.mu.Lock()
		p.worst, p.backs = 0, nil
		p.mu.Unlock()
		asked, served := p.press(ctx, "", 60, 3*time.Second)
		is.Equal(served, 0)
		is.Equal(len(p.backs), asked)
		is.True(p.worst <= 25*time.Millisecond) // a quarter of the aim
		beside, besideServed := p.press(ctx, "/beside/", 60, time.Second)
		is.Equal(besideServed, beside)
		p.enter(w3, "ready")
		p.press(ctx, "", 60, time.Second)
		asked, served = p.press(ctx, "", 60, 3*time.Second)
		own, others := p.late(p.workers[0])
		p.stop(end)
		is.Equal(served, asked)
		is.Equal(own+others, 0)
	})
}

// TestLeavingIsTold shows how soon all boxes pass a worker by of which one box has heard
// that it leaves, with all that may happen to some of them meanwhile.
func TestLeavingIsTold(t *testing.T) {
	nothing := func(context.Context, testing.TB, *crowd, *Edge) {}
	tests := map[string]struct {
		boxes     int
		meanwhile func(ctx context.Context, t testing.TB, c *crowd, at *Edge)
	}{
		"6 boxes":                       {6, nothing},
		"77 boxes":                      {77, nothing},
		"300 boxes":                     {300, nothing},
		"the hubs of 77 boxes die":      {77, hubsDie},
		"two hubs of 300 boxes die":     {300, hubsDie},
		"a box of 6 starts":             {6, boxStarts},
		"a box of 300 starts":           {300, boxStarts},
		"a box of 6 is cut off a while": {6, boxIsCut},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				p := newProtocol(ctx, t, tt.boxes, 4)
				c := p.crowd
				at := c.all[len(c.all)-1]
				at.fleet.ApplyDeparture(time.Now(), fleet.Departure{ID: "w0", Announced: true}, "answer")
				tt.meanwhile(ctx, t, c, at)
				t.Log("all pass it by after", c.until(t, "passes it by", leftMost, func(e *Edge) bool { return !e.fleet.Takes("w0") }))
				p.stop(end)
			})
		})
	}
}
