package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	// contact is within what boxes that reach each other know of the third end.
	contact = 3 * time.Second
	// triesMost is how many more tries may reach engines later.
	triesMost = 3
)

// TestRequestEndsEngines lets a caller come again and again, at any box, with a request
// under which each engine ends that runs it. Others ask for other things meanwhile.
func TestRequestEndsEngines(t *testing.T) {
	tests := map[string]struct {
		boxes, engines int
		path           string
	}{
		"6 boxes, a stream":       {boxes: 6, engines: 9, path: "/check/"},
		"6 boxes, a whole answer": {boxes: 6, engines: 9, path: "/look/"},
		"77 boxes":                {boxes: 77, engines: 60, path: "/check/"},
		"300 boxes":               {boxes: 300, engines: 90, path: "/check/"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				w := newEngines(ctx, t, tt.boxes, tt.engines)
				w.bad[content("bad")] = true
				served := w.press(ctx, tt.path)
				late, ended := w.after("bad", contact)
				t.Log("engines ended:", ended, "arrivals later than", contact, "after the third:", late, "others served:", served, "of", pressed)
				is.New(t).True(late <= triesMost)
				w.stop(end)
			})
		})
	}
}

// TestRequestEndsBusyEngines has so many others on each engine, of whom many have just
// begun, that each end could be theirs.
func TestRequestEndsBusyEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		w := newEngines(ctx, t, 6, 9)
		w.bad[content("bad")] = true
		const others = 60 // each quarter of a second
		var all sync.WaitGroup
		random := rand.New(rand.NewPCG(2, 2))
		for tick := range pressed {
			at := w.any(random)
			all.Go(func() { ask(ctx, at, "/check/", "bad") })
			for i := range others {
				at, phase := w.any(random), time.Duration(random.Int64N(int64(250*time.Millisecond)))
				all.Go(func() {
					time.Sleep(phase)
					ask(ctx, at, "/check/", fmt.Sprint("good", tick, ".", i))
				})
			}
			time.Sleep(250 * time.Millisecond)
		}
		all.Wait()
		late, ended := w.after("bad", contact)
		t.Log("engines ended:", ended, "arrivals later than", contact, "after the third:", late)
		is.New(t).True(late <= triesMost)
		w.stop(end)
	})
}

// pressed is how often the caller comes, and as often come others: four times a second.
const pressed = 60

// press lets callers come, and returns how many of the others were served.
func (w *engines) press(ctx context.Context, path string) int {
	random := rand.New(rand.NewPCG(1, 1))
	var all sync.WaitGroup
	var served atomic.Int64
	for i := range pressed {
		at, other := w.any(random), w.any(random)
		all.Go(func() { ask(ctx, at, path, "bad") })
		all.Go(func() {
			if ask(ctx, other, path, fmt.Sprint("good", i)).status == http.StatusOK {
				served.Add(1)
			}
		})
		time.Sleep(250 * time.Millisecond)
	}
	all.Wait()
	return int(served.Load())
}

// TestEndedIsPassedBy ends an engine without a word: until its entry goes, 3 s later, it is
// passed by at all boxes once those that had runs there have found nothing at its address
// and told the others.
func TestEndedIsPassedBy(t *testing.T) {
	for _, boxes := range []int{6, 77} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				w := newEngines(ctx, t, boxes, 9)
				w.pressEvenly(ctx, 60, 3*time.Second)
				var ended time.Time
				go func() {
					time.Sleep(time.Second)
					ended = time.Now()
					w.endOne()
				}()
				w.pressEvenly(ctx, 60, 5*time.Second)
				late := len(after(w.vain, ended.Add(goneTold)))
				t.Log("sends that reached nothing:", len(w.vain), "of them later than", goneTold, "after the end:", late)
				is.New(t).True(late <= goneMost)
				w.stop(end)
			})
		})
	}
}

const (
	// goneTold is within what all boxes have been told that an engine is gone: two calls
	// of gossip, and a hub between.
	goneTold = 750 * time.Millisecond
	// goneMost is how many requests may be sent there later, of some 20 a second that
	// would be its part of the time until its entry goes.
	goneMost = 1
)
