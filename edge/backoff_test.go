package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	// restFrom is how long after an answer that asks for rest requests from the same box
	// count, and restMost how many of them may reach the worker until the rest's end.
	restFrom = 500 * time.Millisecond
	restMost = 2
)

// disturbed returns the most requests of one box that reached a worker in a rest that it
// had asked the box for.
func (w *protocolWorker) disturbed() (most int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.refusals {
		n := 0
		for _, a := range w.arrivals {
			if a.box == r.box && a.at.After(r.at.Add(restFrom)) && a.at.Before(r.at.Add(r.rest)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestRestAskedFor guards against sending to a worker that has turned a box away and asked
// it for rest.
func TestRestAskedFor(t *testing.T) {
	tests := map[string]struct {
		boxes  int
		demand float64
		path   string
		rest   time.Duration
	}{
		"6 boxes":                    {boxes: 6, demand: 60, rest: 3 * time.Second},
		"requests that may run once": {boxes: 6, demand: 60, path: "/once/", rest: 3 * time.Second},
		"a rest of 12 s":             {boxes: 6, demand: 60, rest: 12 * time.Second},
		"77 boxes":                   {boxes: 77, demand: 300, rest: 3 * time.Second},
		"300 boxes":                  {boxes: 300, demand: 400, rest: 3 * time.Second},
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
				w.set(func(w *protocolWorker) { w.rest = tt.rest })
				asked, served := p.press(ctx, tt.path, tt.demand, 8*time.Second)
				t.Log("turned away:", len(w.refusals), "at most", w.disturbed(), "of one box in a rest; served", served, "of", asked)
				p.stop(end)
				is.True(len(w.refusals) > 0)
				is.True(w.disturbed() <= restMost)
			})
		})
	}
}

const (
	// restUse is the least part of its usual requests that a worker gets in restAfter from
	// the end of a rest that all boxes were asked for.
	restUse   = 0.8
	restAfter = 10 * time.Second
	// tenthMost is what a worker of six places can do in a tenth of a second.
	tenthMost = 40
)

// burst returns the most requests that reached a worker in any tenth of a second from a
// time on.
func (w *protocolWorker) burst(since time.Time) (most int) {
	for i, a := range w.arrivals {
		n := 0
		for _, o := range w.arrivals[i:] {
			if o.at.Sub(a.at) < 100*time.Millisecond {
				n++
			}
		}
		if !a.at.Before(since) {
			most = max(most, n)
		}
	}
	return most
}

// count returns how many requests reached a worker in a time.
func (w *protocolWorker) count(from time.Time, lasts time.Duration) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals {
		if !a.at.Before(from) && a.at.Before(from.Add(lasts)) {
			n++
		}
	}
	return n
}

// TestRestEnds guards against all boxes coming back in one moment to a worker that had
// asked all of them for rest until then, and against passing it by for longer.
func TestRestEnds(t *testing.T) {
	tests := map[string]struct {
		boxes  int
		demand float64
	}{
		"6 boxes":   {boxes: 6, demand: 120},
		"77 boxes":  {boxes: 77, demand: 300},
		"300 boxes": {boxes: 300, demand: 600},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := context.WithCancel(t.Context())
				p := newProtocol(ctx, t, tt.boxes, 4)
				p.press(ctx, "", tt.demand, 2*time.Second)
				w, before := p.workers[0], time.Now()
				p.press(ctx, "", tt.demand, restAfter)
				usual := w.count(before, restAfter)
				over := time.Now().Add(3 * time.Second)
				w.set(func(w *protocolWorker) { w.restUntil = over })
				askedIn, servedIn := p.press(ctx, "", tt.demand, 3*time.Second)
				asked, served := p.press(ctx, "", tt.demand, restAfter)
				after, most := w.count(over, restAfter), w.burst(over)
				t.Logf("turned away %d; served %d of %d meanwhile, %d of %d in %v after; it got %d where %d are usual, at most %d in a tenth of a second", len(w.refusals), servedIn, askedIn, served, asked, restAfter, after, usual, most)
				p.stop(end)
				is.True(most <= tenthMost)
				is.True(float64(after) >= restUse*float64(usual))
				is.True(w.disturbed() <= restMost)
			})
		})
	}
}

// TestAllRest guards against callers that wait in vain, or come back in one moment, while all
// workers of a service have asked for rest; another service goes on.
func TestAllRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := context.WithCancel(t.Context())
		p := newProtocol(ctx, t, 6, 4)
		p.press(ctx, "", 60, 3*time.Second)
		for _, w := range p.workers[:4] {
			w.set(func(w *protocolWorker) { w.rest = 5 * time.Second })
		}
		p.press(ctx, "", 60, time.Second) // each box is asked by each
		p.mu.Lock()
		p.worst, p.backs = 0, nil
		p.mu.Unlock()
		asked, served := p.press(ctx, "", 60, 3*time.Second)
		is.Equal(served, 0)
		is.Equal(len(p.backs), asked)
		is.True(p.worst <= 25*time.Millisecond) // a quarter of the aim
		for _, back := range p.backs {
			is.True(back > 0)
		}
		beside, besideServed := p.press(ctx, "/beside/", 60, time.Second)
		is.Equal(besideServed, beside)
		for _, w := range p.workers[:4] {
			is.True(w.disturbed() <= restMost)
		}
		p.stop(end)
	})
}

// disturbed returns the most requests of one box that reached an engine in a rest that it
// had asked the box for.
func (w *engines) disturbed(e *engine) (most int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range e.refusals {
		n := 0
		for _, a := range w.arrivals {
			if a.engine == e.id && a.box == r.box && a.at.After(r.at.Add(restFrom)) && a.at.Before(r.at.Add(r.rest)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestEnginesRest guards against sending to an engine that has turned a box away and asked it
// for rest: the keeper of the queue, which gives room to all boxes' requests, is told of it
// with each ask, and goes on giving that engine's room to boxes that were not asked.
func TestEnginesRest(t *testing.T) {
	tests := map[string]struct {
		boxes, engines int
		perSecond      float64
	}{
		"6 boxes":           {6, 3, 10},
		"77 boxes":          {77, 6, 40},
		"6 boxes, all rest": {6, 1, 10},
		"2 boxes":           {2, 3, 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := context.WithCancel(t.Context())
				w := newEngines(ctx, t, tt.boxes, tt.engines)
				w.pressEvenly(ctx, tt.perSecond, 3*time.Second)
				e := w.live()[0]
				w.mu.Lock()
				e.rest = 3 * time.Second
				w.mu.Unlock()
				w.pressEvenly(ctx, tt.perSecond, 8*time.Second)
				w.mu.Lock()
				e.rest = 0
				w.mu.Unlock()
				again := time.Now().Add(3*time.Second + restFrom)
				w.pressEvenly(ctx, tt.perSecond, 8*time.Second)
				most, after := w.disturbed(e), len(after(w.at(e.id), again))
				t.Log("turned away:", len(e.refusals), "at most", most, "of one box in a rest; runs after it:", after)
				w.stop(end)
				is.True(len(e.refusals) > 0)
				is.True(most <= restMost)
				is.True(after > 0)
			})
		})
	}
}
