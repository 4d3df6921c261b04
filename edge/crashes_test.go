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
	// propagationTime bounds how long a report takes to all boxes that reach each
	// other.
	propagationTime = 3 * time.Second
	// maxLateTries is how many more tries may reach engines after that.
	maxLateTries = 3
)

// TestRequestCrashesEngines sends a request that crashes every engine that runs it,
// again and again through any box, among other requests.
func TestRequestCrashesEngines(t *testing.T) {
	tests := map[string]struct {
		boxes, engines int
		path           string
	}{
		"6 boxes, streaming":     {boxes: 6, engines: 9, path: "/check/"},
		"6 boxes, not streaming": {boxes: 6, engines: 9, path: "/look/"},
		"77 boxes":               {boxes: 77, engines: 60, path: "/check/"},
		"300 boxes":              {boxes: 300, engines: 90, path: "/check/"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				w := newEngines(ctx, t, tt.boxes, tt.engines)
				w.crashing[contentOf("bad")] = true
				served := w.sendLoad(ctx, tt.path)
				late, crashed := w.lateArrivals("bad", propagationTime)
				t.Log("crashes:", crashed, "arrivals later than", propagationTime, "after the third:", late, "others served:", served, "of", loadRequests)
				is.New(t).True(late <= maxLateTries)
				w.stop(end)
			})
		})
	}
}

// TestRequestCrashesBusyEngines sends a crashing request to engines that run many other
// recent requests, any of which could have caused each crash.
func TestRequestCrashesBusyEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		w := newEngines(ctx, t, 6, 9)
		w.crashing[contentOf("bad")] = true
		const others = 60 // every 250 ms
		var all sync.WaitGroup
		random := rand.New(rand.NewPCG(2, 2))
		for tick := range loadRequests {
			at := w.randomBox(random)
			all.Go(func() { sendRequest(ctx, at, "/check/", "bad") })
			for i := range others {
				at, phase := w.randomBox(random), time.Duration(random.Int64N(int64(250*time.Millisecond)))
				all.Go(func() {
					time.Sleep(phase)
					sendRequest(ctx, at, "/check/", fmt.Sprint("good", tick, ".", i))
				})
			}
			time.Sleep(250 * time.Millisecond)
		}
		all.Wait()
		late, crashed := w.lateArrivals("bad", propagationTime)
		t.Log("crashes:", crashed, "arrivals later than", propagationTime, "after the third:", late)
		is.New(t).True(late <= maxLateTries)
		w.stop(end)
	})
}

// loadRequests is the number of crashing and of other requests, sent at four per
// second.
const loadRequests = 60

// sendLoad sends the requests and returns how many of the others were served.
func (w *engines) sendLoad(ctx context.Context, path string) int {
	random := rand.New(rand.NewPCG(1, 1))
	var all sync.WaitGroup
	var served atomic.Int64
	for i := range loadRequests {
		at, other := w.randomBox(random), w.randomBox(random)
		all.Go(func() { sendRequest(ctx, at, path, "bad") })
		all.Go(func() {
			if sendRequest(ctx, other, path, fmt.Sprint("good", i)).status == http.StatusOK {
				served.Add(1)
			}
		})
		time.Sleep(250 * time.Millisecond)
	}
	all.Wait()
	return int(served.Load())
}

// TestCrashedEngineAvoided crashes an engine whose entry stays for 3 s: all boxes must
// avoid it once those that had runs there have found its address closed and reported
// it.
func TestCrashedEngineAvoided(t *testing.T) {
	for _, boxes := range []int{6, 77} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				w := newEngines(ctx, t, boxes, 9)
				w.sendPoisson(ctx, 60, 3*time.Second)
				var crashedAt time.Time
				go func() {
					time.Sleep(time.Second)
					crashedAt = time.Now()
					w.crashOne()
				}()
				w.sendPoisson(ctx, 60, 5*time.Second)
				late := len(arrivalsSince(w.unreached, crashedAt.Add(crashPropagationTime)))
				t.Log("sends that reached no engine:", len(w.unreached), "of them later than", crashPropagationTime, "after the crash:", late)
				is.New(t).True(late <= maxLateSends)
				w.stop(end)
			})
		})
	}
}

const (
	// crashPropagationTime bounds how long a crash report takes to all boxes: two
	// gossip calls by way of a hub.
	crashPropagationTime = 750 * time.Millisecond
	// maxLateSends is how many requests may be sent there after that; without reports
	// it would get 20 a second until its entry expires.
	maxLateSends = 1
)
