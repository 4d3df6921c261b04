package admission_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/admission"
	"petrelstep/fleet"
	"petrelstep/logs"
	"petrelstep/picker"
	"petrelstep/prefill"
	"petrelstep/reliability"
	"petrelstep/upstreamload"
)

// countingRanker counts the upstreams that are ranked.
type countingRanker struct {
	*picker.Picker
	ranked int
}

// Ranked implements admission's interface ranker.
func (c *countingRanker) Ranked(now time.Time, w picker.Want) []picker.Choice {
	list := c.Picker.Ranked(now, w)
	c.ranked += len(list)
	return list
}

// largeFleet is a queue with many engines in six halls.
type largeFleet struct {
	*admission.Admission
	ranking *countingRanker
	loads   *upstreamload.Tracker
	fleet   *fleet.Fleet
}

func newLargeFleet(engines int) *largeFleet {
	f := fleet.New(time.Second)
	for i := range engines {
		f.Put(time.Now(), fleet.Upstream{ID: fmt.Sprint("e", i), Service: "llm", Hall: fmt.Sprint("hall", i%6), Slots: slots, State: fleet.Open})
	}
	t := upstreamload.New()
	p := picker.New(picker.Components{Fleet: f, Loads: t, Reliability: reliability.New(), Prefill: prefill.New(), Hall: "hall0", Random: rand.New(rand.NewPCG(1, 1))})
	ranking := &countingRanker{Picker: p}
	a := admission.New(ranking, t, prefill.New(), nil, rand.New(rand.NewPCG(1, 2)), logs.New(io.Discard, "info", "b"))
	return &largeFleet{Admission: a, ranking: ranking, loads: t, fleet: f}
}

// TestMostlyIdle checks a large fleet at low load: the cost of a request doesn't grow with
// the fleet, nearly all requests are admitted in their own halls, and none shares an
// engine while there are idle ones.
func TestMostlyIdle(t *testing.T) {
	for _, engines := range []int{60, 1200, 9000} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newLargeFleet(engines)
				requests, sameHall, maxRunning := engines/2, 0, 0
				running := map[string]int{}
				for i := range requests {
					req := draft("a")
					req.Hall = fmt.Sprint("hall", i%6)
					g, ok, err := w.Take(t.Context(), req)
					is.NoErr(err)
					is.True(ok)
					w.loads.Release("b", g.Upstream.ID)
					w.loads.Begin(g.Upstream.ID, upstreamload.Load{Requests: 1, Tokens: 3000, Coming: 900})
					running[g.Upstream.ID]++
					maxRunning = max(maxRunning, running[g.Upstream.ID])
					if g.Upstream.Hall == req.Hall {
						sameHall++
					}
				}
				t.Logf("%d of %d in their halls, at most %d at an engine, %d ranked for each", sameHall, requests, maxRunning, w.ranking.ranked/requests)
				is.Equal(maxRunning, 1)
				is.True(sameHall >= requests*99/100)
				is.True(w.ranking.ranked/requests <= 2*64)
			})
		})
	}
}

// TestNearlyFull checks that requests find the few free engines of a large fleet within
// 100 ms, and bounds the upstreams ranked in that time.
func TestNearlyFull(t *testing.T) {
	for name, free := range map[string]int{"one is free": 1, "ten are free": 10, "one in twenty is free": 150} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const engines = 3000
				w := newLargeFleet(engines)
				for i := free; i < engines; i++ {
					w.loads.Begin(fmt.Sprint("e", i), upstreamload.Load{Requests: slots, Tokens: memory, Coming: 100})
				}
				for range free {
					ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
					g, ok, err := w.Take(ctx, draft("a"))
					cancel()
					is.NoErr(err)
					is.True(ok)
					w.loads.Release("b", g.Upstream.ID)
					w.loads.Begin(g.Upstream.ID, upstreamload.Load{Requests: slots, Tokens: memory, Coming: 100})
				}
				is.True(w.ranking.ranked <= free*(10*64+2*engines))
			})
		})
	}
}

// TestManyWaiting bounds the upstreams ranked in a second while all of many engines are
// full and requests wait.
func TestManyWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const engines, waiting = 3000, 20
		w := newLargeFleet(engines)
		for i := range engines {
			w.loads.Begin(fmt.Sprint("e", i), upstreamload.Load{Requests: slots, Tokens: memory, Coming: 100})
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for i := range waiting {
			go func() {
				req := draft(string(rune('a' + i)))
				req.Aim, req.Patience = time.Minute, time.Hour
				_, _, _ = w.Take(ctx, req)
			}()
		}
		<-ctx.Done()
		synctest.Wait()
		t.Logf("%d ranked in a second", w.ranking.ranked)
		is.True(w.ranking.ranked <= 200000) // about a tenth of a processor
	})
}

// TestFreedAtOnce bounds the same when capacity is freed for all waiting requests at once,
// at any time since the last full round.
func TestFreedAtOnce(t *testing.T) {
	for after := time.Duration(0); after < 50*time.Millisecond; after += 5 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { freeAtOnce(t, time.Second+after) })
		})
	}
}

// freeAtOnce frees many engines at once for many waiting requests.
func freeAtOnce(t *testing.T, after time.Duration) {
	t.Helper()
	is := is.New(t)
	const engines, waiting = 3000, 200
	w := newLargeFleet(engines)
	var runs []*upstreamload.Entry
	for i := range engines {
		runs = append(runs, w.loads.Begin(fmt.Sprint("e", i), upstreamload.Load{Requests: slots, Tokens: memory, Coming: 100}))
	}
	var admitted atomic.Int64
	for i := range waiting {
		go func() {
			req := draft(string(rune('a' + i)))
			req.Aim, req.Patience = time.Minute, time.Hour
			if _, ok, _ := w.Take(t.Context(), req); ok {
				admitted.Add(1)
			}
		}()
	}
	time.Sleep(after)
	for _, r := range runs {
		r.End()
	}
	w.ranking.ranked = 0
	time.Sleep(time.Second)
	synctest.Wait()
	t.Logf("%d ranked in a second, %d of %d admitted", w.ranking.ranked, admitted.Load(), waiting)
	is.Equal(int(admitted.Load()), waiting)
	is.True(w.ranking.ranked <= 200000)
}
