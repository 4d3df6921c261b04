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
