package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	// backoffGrace is how long after a worker asked a box to back off the box's
	// requests start to count, and maxDuringBackoff how many of them may reach the
	// worker.
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// maxSentDuringBackoff returns the most requests that one box sent to a worker during a
// backoff that the worker had asked it for.
func (w *protocolWorker) maxSentDuringBackoff() (highest int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.refusals {
		n := 0
		for _, a := range w.arrivals {
			if a.box == r.box && a.at.After(r.at.Add(backoffGrace)) && a.at.Before(r.at.Add(r.backoff)) {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

// TestBackoffRequested guards against sending requests to a worker that has rejected a
// box and asked it to back off.
func TestBackoffRequested(t *testing.T) {
	tests := map[string]struct {
		boxes   int
		demand  float64
		path    string
		backoff time.Duration
	}{
		"6 boxes":         {boxes: 6, demand: 60, backoff: 3 * time.Second},
		"unsafe requests": {boxes: 6, demand: 60, path: "/once/", backoff: 3 * time.Second},
		"backoff of 12 s": {boxes: 6, demand: 60, backoff: 12 * time.Second},
		"77 boxes":        {boxes: 77, demand: 300, backoff: 3 * time.Second},
		"300 boxes":       {boxes: 300, demand: 400, backoff: 3 * time.Second},
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
				w.update(func(w *protocolWorker) { w.backoff = tt.backoff })
				sent, served := p.sendLoad(ctx, tt.path, tt.demand, 8*time.Second)
				t.Log("rejections:", len(w.refusals), "at most", w.maxSentDuringBackoff(), "requests of one box during a backoff; served", served, "of", sent)
				p.stop(end)
				is.True(len(w.refusals) > 0)
				is.True(w.maxSentDuringBackoff() <= maxDuringBackoff)
			})
		})
	}
}

const (
	// minUseAfterBackoff is the fraction of its usual requests that a worker must get
	// within observeTime after a backoff of all boxes.
	minUseAfterBackoff = 0.8
	observeTime        = 10 * time.Second
	// maxBurst is what a worker with six slots can serve in a tenth of a second.
	maxBurst = 40
)

// burst returns the most requests in any tenth of a second since a time.
func (w *protocolWorker) burst(since time.Time) (highest int) {
	for i, a := range w.arrivals {
		n := 0
		for _, o := range w.arrivals[i:] {
			if o.at.Sub(a.at) < 100*time.Millisecond {
				n++
			}
		}
		if !a.at.Before(since) {
			highest = max(highest, n)
		}
	}
	return highest
}

// countArrivals returns the number of requests in a period.
func (w *protocolWorker) countArrivals(from time.Time, lasts time.Duration) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals {
		if !a.at.Before(from) && a.at.Before(from.Add(lasts)) {
			n++
		}
	}
	return n
}

// TestBackoffEnds guards against all boxes returning at once to a worker that had asked
// all of them to back off, and against avoiding it for longer.
func TestBackoffEnds(t *testing.T) {
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
				p.sendLoad(ctx, "", tt.demand, 2*time.Second)
				w, before := p.workers[0], time.Now()
				p.sendLoad(ctx, "", tt.demand, observeTime)
				usual := w.countArrivals(before, observeTime)
				backoffEnd := time.Now().Add(3 * time.Second)
				w.update(func(w *protocolWorker) { w.backoffUntil = backoffEnd })
				sentIn, servedIn := p.sendLoad(ctx, "", tt.demand, 3*time.Second)
				sent, served := p.sendLoad(ctx, "", tt.demand, observeTime)
				after, highest := w.countArrivals(backoffEnd, observeTime), w.burst(backoffEnd)
				t.Logf("rejections %d; served %d of %d meanwhile, %d of %d in %v after; the worker got %d, usually %d, at most %d in a tenth of a second", len(w.refusals), servedIn, sentIn, served, sent, observeTime, after, usual, highest)
				p.stop(end)
				is.True(highest <= maxBurst)
				is.True(float64(after) >= minUseAfterBackoff*float64(usual))
				is.True(w.maxSentDuringBackoff() <= maxDuringBackoff)
			})
		})
	}
}

// TestAllBackedOff guards against callers that wait for nothing, or retry all at once,
// while all workers of a service ask for backoff. Another service must be unaffected.
func TestAllBackedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := context.WithCancel(t.Context())
		p := newProtocol(ctx, t, 6, 4)
		p.sendLoad(ctx, "", 60, 3*time.Second)
		for _, w := range p.workers[:4] {
			w.update(func(w *protocolWorker) { w.backoff = 5 * time.Second })
		}
		p.sendLoad(ctx, "", 60, time.Second) // every worker asks every box to back off
		p.mu.Lock()
		p.slowestRefusal, p.retryAfters = 0, nil
		p.mu.Unlock()
		sent, served := p.sendLoad(ctx, "", 60, 3*time.Second)
		is.Equal(served, 0)
		is.Equal(len(p.retryAfters), sent)
		is.True(p.slowestRefusal <= 25*time.Millisecond) // a quarter of the latency goal
		for _, after := range p.retryAfters {
			is.True(after > 0)
		}
		otherSent, otherServed := p.sendLoad(ctx, "/beside/", 60, time.Second)
		is.Equal(otherServed, otherSent)
		for _, w := range p.workers[:4] {
			is.True(w.maxSentDuringBackoff() <= maxDuringBackoff)
		}
		p.stop(end)
	})
}

// maxSentDuringBackoff returns the most requests that one box sent to an engine during
// a backoff that the engine had asked it for.
func (w *engines) maxSentDuringBackoff(e *engine) (highest int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range e.refusals {
		n := 0
		for _, a := range w.arrivals {
			if a.engine == e.id && a.box == r.box && a.at.After(r.at.Add(backoffGrace)) && a.at.Before(r.at.Add(r.backoff)) {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

// TestEngineBackoff guards against sending requests to an engine that has asked a box
// to back off. The owner of the queue learns of it with each request and must still
// assign the engine to other boxes.
func TestEngineBackoff(t *testing.T) {
	tests := map[string]struct {
		boxes, engines int
		perSecond      float64
	}{
		"6 boxes":                       {6, 3, 10},
		"77 boxes":                      {77, 6, 40},
		"6 boxes, all engines back off": {6, 1, 10},
		"2 boxes":                       {2, 3, 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := context.WithCancel(t.Context())
				w := newEngines(ctx, t, tt.boxes, tt.engines)
				w.sendPoisson(ctx, tt.perSecond, 3*time.Second)
				e := w.live()[0]
				w.mu.Lock()
				e.backoff = 3 * time.Second
				w.mu.Unlock()
				w.sendPoisson(ctx, tt.perSecond, 8*time.Second)
				w.mu.Lock()
				e.backoff = 0
				w.mu.Unlock()
				again := time.Now().Add(3*time.Second + backoffGrace)
				w.sendPoisson(ctx, tt.perSecond, 8*time.Second)
				highest, after := w.maxSentDuringBackoff(e), len(arrivalsSince(w.arrivalsAt(e.id), again))
				t.Log("rejections:", len(e.refusals), "at most", highest, "requests of one box during a backoff; runs after it:", after)
				w.stop(end)
				is.True(len(e.refusals) > 0)
				is.True(highest <= maxDuringBackoff)
				is.True(after > 0)
			})
		})
	}
}
