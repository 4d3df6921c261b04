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

// counted counts the upstreams that are weighed.
type counted struct {
	*picker.Picker
	weighed int
}

// Ranked implements admission's ranking.
func (c *counted) Ranked(now time.Time, w picker.Want) []picker.Choice {
	list := c.Picker.Ranked(now, w)
	c.weighed += len(list)
	return list
}

// manyEngines is a world of many engines in six halls, all before one queue.
type manyEngines struct {
	*admission.Admission
	ranking *counted
	tally   *upstreamload.Tracker
	fleet   *fleet.Fleet
}

func newManyEngines(engines int) *manyEngines {
	f := fleet.New(time.Second)
	for i := range engines {
		f.Put(time.Now(), fleet.Upstream{ID: fmt.Sprint("e", i), Service: "llm", Hall: fmt.Sprint("hall", i%6), Slots: slots, State: fleet.Open})
	}
	t := upstreamload.New()
	chooser := picker.New(picker.Parts{Fleet: f, Loads: t, Reliability: reliability.New(), Prefill: prefill.New(), Hall: "hall0", Random: rand.New(rand.NewPCG(1, 1))})
	ranking := &counted{Picker: chooser}
	a := admission.New(ranking, t, prefill.New(), nil, rand.New(rand.NewPCG(1, 2)), logs.New(io.Discard, "info", "b"))
	return &manyEngines{Admission: a, ranking: ranking, tally: t, fleet: f}
}

// TestMostlyIdle holds the load of a whole fleet: many engines, each of which runs a
// request now and then. A keeper weighs as many for each request however many there are,
// each request finds room at once, nearly all in their own halls, and none goes beside
// others while there are idle engines for all.
func TestMostlyIdle(t *testing.T) {
	for _, engines := range []int{60, 1200, 9000} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newManyEngines(engines)
				asks, near, most := engines/2, 0, 0
				running := map[string]int{}
				for i := range asks {
					ask := draft("a")
					ask.Hall = fmt.Sprint("hall", i%6)
					g, ok, err := w.Take(t.Context(), ask)
					is.NoErr(err)
					is.True(ok)
					w.tally.Release("b", g.Upstream.ID)
					w.tally.Begin(g.Upstream.ID, upstreamload.Load{Requests: 1, Tokens: 3000, Coming: 900})
					running[g.Upstream.ID]++
					most = max(most, running[g.Upstream.ID])
					if g.Upstream.Hall == ask.Hall {
						near++
					}
				}
				t.Logf("%d of %d in their halls, at most %d at an engine, %d weighed for each", near, asks, most, w.ranking.weighed/asks)
				is.Equal(most, 1)
				is.True(near >= asks*99/100)
				is.True(w.ranking.weighed/asks <= 2*64)
			})
		})
	}
}

// TestNearlyFull holds the load of a fleet that is full but for one engine in so many:
// who finds nothing in a draw has the room that there is within a tenth of a second, and
// what the keeper weighs in that time is bounded.
func TestNearlyFull(t *testing.T) {
	for name, free := range map[string]int{"one is free": 1, "ten are": 10, "one in twenty is": 150} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const engines = 3000
				w := newManyEngines(engines)
				for i := free; i < engines; i++ {
					w.tally.Begin(fmt.Sprint("e", i), upstreamload.Load{Requests: slots, Tokens: memory, Coming: 100})
				}
				for range free {
					ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
					g, ok, err := w.Take(ctx, draft("a"))
					cancel()
					is.NoErr(err)
					is.True(ok)
					w.tally.Release("b", g.Upstream.ID)
					w.tally.Begin(g.Upstream.ID, upstreamload.Load{Requests: slots, Tokens: memory, Coming: 100})
				}
				is.True(w.ranking.weighed <= free*(10*64+2*engines))
			})
		})
	}
}

// TestManyThatWait bounds what a keeper weighs in a second in which all of many engines
// are full and requests wait.
func TestManyThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const engines, waiting = 3000, 20
		w := newManyEngines(engines)
		for i := range engines {
			w.tally.Begin(fmt.Sprint("e", i), upstreamload.Load{Requests: slots, Tokens: memory, Coming: 100})
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for i := range waiting {
			go func() {
				ask := draft(string(rune('a' + i)))
				ask.Aim, ask.Patience = time.Minute, time.Hour
				_, _, _ = w.Take(ctx, ask)
			}()
		}
		<-ctx.Done()
		synctest.Wait()
		t.Logf("%d weighed in a second", w.ranking.weighed)
		is.True(w.ranking.weighed <= 200000) // some tenth of a processor
	})
}

// TestMuchRoomAtOnce bounds the same where room comes for all who wait in one moment, at
// whatever time since all were weighed.
func TestMuchRoomAtOnce(t *testing.T) {
	for after := time.Duration(0); after < 50*time.Millisecond; after += 5 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { comesFree(t, time.Second+after) })
		})
	}
}

// comesFree lets many engines come free at once for many who have waited.
func comesFree(t *testing.T, after time.Duration) {
	t.Helper()
	is := is.New(t)
	const engines, waiting = 3000, 200
	w := newManyEngines(engines)
	var runs []*upstreamload.Entry
	for i := range engines {
		runs = append(runs, w.tally.Begin(fmt.Sprint("e", i), upstreamload.Load{Requests: slots, Tokens: memory, Coming: 100}))
	}
	var given atomic.Int64
	for i := range waiting {
		go func() {
			ask := draft(string(rune('a' + i)))
			ask.Aim, ask.Patience = time.Minute, time.Hour
			if _, ok, _ := w.Take(t.Context(), ask); ok {
				given.Add(1)
			}
		}()
	}
	time.Sleep(after)
	for _, r := range runs {
		r.End()
	}
	w.ranking.weighed = 0
	time.Sleep(time.Second)
	synctest.Wait()
	t.Logf("%d weighed in a second, %d of %d given room", w.ranking.weighed, given.Load(), waiting)
	is.Equal(int(given.Load()), waiting)
	is.True(w.ranking.weighed <= 200000)
}
