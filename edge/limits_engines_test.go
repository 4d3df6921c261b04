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

// names lets the first engines name a limit in the heads of their answers from now on.
func (w *engines) names(count int, perSecond float64) (ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.lives {
		if e.number <= count {
			e.said = exchange.Limit{Said: exchange.LimitNamed, PerSecond: perSecond}
			ids = append(ids, e.id)
		}
	}
	slices.Sort(ids)
	return ids
}

// at returns when requests reached an engine.
func (w *engines) at(id string) (list []time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals {
		if a.engine == id {
			list = append(list, a.at)
		}
	}
	return list
}

// pressEvenly lets callers come for some time, each with something else, and returns how many
// there were.
func (w *engines) pressEvenly(ctx context.Context, perSecond float64, lasts time.Duration) (asked int) {
	random := rand.New(rand.NewPCG(8, 8))
	var all sync.WaitGroup
	for until := time.Now().Add(lasts); time.Now().Before(until); asked++ {
		at, name := w.any(random), fmt.Sprint("draft", asked, until.UnixMilli())
		all.Go(func() { ask(ctx, at, "/check/", name) })
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	all.Wait()
	return asked
}

// TestLimitedEngines lets two of three engines name how few requests a second they take:
// the keeper of the queue, which gives room to all boxes' requests, holds to it, also when it
// dies, and what the others have room for goes there.
func TestLimitedEngines(t *testing.T) {
	tests := map[string]struct {
		boxes  int
		limit  float64
		strike func(ctx context.Context, w *engines)
	}{
		"6 boxes":               {6, 1.5, func(context.Context, *engines) {}},
		"6 boxes, a low limit":  {6, 0.2, func(context.Context, *engines) {}},
		"77 boxes":              {77, 1.5, func(context.Context, *engines) {}},
		"the keeper dies":       {6, 1.5, killKeeper},
		"an engine is lost too": {6, 1.5, func(_ context.Context, w *engines) { w.end(w.live()[2]) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := context.WithCancel(t.Context())
				w := newEngines(ctx, t, tt.boxes, 3)
				w.pressEvenly(ctx, 10, 5*time.Second)
				named := time.Now()
				ids := w.names(2, tt.limit)
				w.pressEvenly(ctx, 10, 8*time.Second)
				go tt.strike(ctx, w)
				w.pressEvenly(ctx, 10, 12*time.Second)
				for _, id := range ids {
					arrivals := after(w.at(id), named.Add(contact))
					most, rate := worstOf(arrivals), float64(len(arrivals))/time.Since(named.Add(contact)).Seconds()
					t.Logf("%s takes %g a second and got %.2f, at most %d in %v", id, tt.limit, rate, most, limitWindow)
					is.True(float64(most) <= limitOver*tt.limit*limitWindow.Seconds()+limitSlack)
				}
				w.stop(end)
			})
		})
	}
}

// killKeeper kills the box that gives room on the engines.
func killKeeper(_ context.Context, w *engines) {
	all := w.crowd.running()
	at := slices.IndexFunc(all, func(e *Edge) bool { return e.Name() == all[0].QueueOwner("llm") })
	w.crowd.kill(all[at])
}
