package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/exchange"
)

// announceLimit makes the first engines announce a limit in their answers.
func (w *engines) announceLimit(count int, perSecond float64) (ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.running {
		if e.number <= count {
			e.limit = exchange.Limit{Kind: exchange.LimitAnnounced, PerSecond: perSecond}
			ids = append(ids, e.id)
		}
	}
	slices.Sort(ids)
	return ids
}

// arrivalsAt returns when requests reached an engine.
func (w *engines) arrivalsAt(id string) (list []time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals {
		if a.engine == id {
			list = append(list, a.at)
		}
	}
	return list
}

// sendPoisson sends distinct requests at random intervals, and returns their number.
func (w *engines) sendPoisson(ctx context.Context, perSecond float64, lasts time.Duration) (sent int) {
	random := rand.New(rand.NewPCG(8, 8))
	var all sync.WaitGroup
	for until := time.Now().Add(lasts); time.Now().Before(until); sent++ {
		at, name := w.randomBox(random), fmt.Sprint("draft", sent, until.UnixMilli())
		all.Go(func() { sendRequest(ctx, at, "/check/", name) })
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	all.Wait()
	return sent
}

// TestLimitedEngines makes two of three engines announce a limit: the owner of the
// queue must keep to it, also after it is killed.
func TestLimitedEngines(t *testing.T) {
	tests := map[string]struct {
		boxes  int
		limit  float64
		inject func(ctx context.Context, w *engines)
	}{
		"6 boxes":            {6, 1.5, func(context.Context, *engines) {}},
		"6 boxes, low limit": {6, 0.2, func(context.Context, *engines) {}},
		"77 boxes":           {77, 1.5, func(context.Context, *engines) {}},
		"owner killed":       {6, 1.5, killOwner},
		"engine crashes":     {6, 1.5, func(_ context.Context, w *engines) { w.crash(w.live()[2]) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := context.WithCancel(t.Context())
				w := newEngines(ctx, t, tt.boxes, 3)
				w.sendPoisson(ctx, 10, 5*time.Second)
				announced := time.Now()
				ids := w.announceLimit(2, tt.limit)
				w.sendPoisson(ctx, 10, 8*time.Second)
				go tt.inject(ctx, w)
				w.sendPoisson(ctx, 10, 12*time.Second)
				for _, id := range ids {
					arrivals := arrivalsSince(w.arrivalsAt(id), announced.Add(propagationTime))
					highest, rate := maxInWindowOf(arrivals), float64(len(arrivals))/time.Since(announced.Add(propagationTime)).Seconds()
					t.Logf("%s: limit %g per second, got %.2f, at most %d in %v", id, tt.limit, rate, highest, limitWindow)
					is.True(float64(highest) <= limitFactor*tt.limit*limitWindow.Seconds()+limitSlack)
				}
				w.stop(end)
			})
		})
	}
}

// killOwner kills the owner of the engines' queue.
func killOwner(_ context.Context, w *engines) {
	all := w.cluster.running()
	at := slices.IndexFunc(all, func(e *Edge) bool { return e.Name() == all[0].QueueOwner("llm") })
	w.cluster.kill(all[at])
}
