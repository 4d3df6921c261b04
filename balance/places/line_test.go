package places_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/balance/places"
	"petrelstep/fleet"
	"petrelstep/picker"
	"petrelstep/refusal"
	"petrelstep/upstreamload"
	"petrelstep/wire"
)

const (
	aim  = 300 * time.Millisecond
	work = 60 * time.Millisecond
)

// crowd is a box that knows how long work takes, in a crowd of other boxes' making.
func crowd(asked int) (*world, *box) {
	w := newWorld(load{boxes: 1, work: work, aim: aim, wait: 4 * time.Second})
	b := w.boxes[0]
	b.places.Overloaded(time.Now(), w.service) // it gets to know the service
	time.Sleep(time.Second)
	for range 8 {
		c, _ := b.places.Acquire(context.Background(), w.request(0, time.Second))
		time.Sleep(work)
		b.places.Answered(time.Now(), w.request(0, time.Second), c.Upstream, work)
	}
	for id := range w.upstreams {
		b.tally.Begin(id, upstreamload.Load{Requests: 4 * slots})
	}
	b.places.Update(time.Now(), "other", []wire.ServicePlaces{{Service: "plain", Asked: asked * 100}})
	time.Sleep(time.Second)
	b.places.Overloaded(time.Now(), w.service)
	return w, b
}

func (w *world) request(urgency int, wait time.Duration) places.Request {
	now := time.Now()
	return places.Request{Urgency: urgency, Arrived: now, Aim: aim, Deadline: now.Add(wait), Want: picker.Want{Service: w.service}}
}

// TestCrowd takes places one after the other where the upstreams can do 300 a second.
func TestCrowd(t *testing.T) {
	tests := map[string]struct {
		asked   int // of the other boxes
		before  int // taken at once before
		aged    time.Duration
		wait    time.Duration // of its caller
		refused refusal.Reason
		least   time.Duration // it waits
		most    time.Duration
	}{
		"enough for all":                         {asked: 200, before: 6, wait: 4 * time.Second},
		"too many, this box has its part":        {asked: 600, wait: 4 * time.Second, most: aim / 4},
		"its turn is too late, it comes back":    {asked: 600, before: 8, wait: 4 * time.Second, refused: refusal.WaitTooLong},
		"it has come back or waited: late":       {asked: 600, before: 8, aged: aim / 2, wait: 4 * time.Second, least: aim / 4, most: 4 * time.Second},
		"its turn comes after its caller leaves": {asked: 600, before: 8, aged: aim / 2, wait: 10 * time.Millisecond, refused: refusal.WaitTooLong},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w, b := crowd(tt.asked)
				for range tt.before {
					go b.places.Acquire(t.Context(), w.request(0, time.Hour))
				}
				synctest.Wait()
				ask := w.request(0, tt.wait)
				ask.Arrived = ask.Arrived.Add(-tt.aged)
				began := time.Now()
				_, err := b.places.Acquire(t.Context(), ask)
				took := time.Since(began)
				var refused refusal.Refusal
				if tt.refused != "" {
					is.True(errors.As(err, &refused))
					is.Equal(refused.Reason(), tt.refused)
					is.Equal(refused.Ending(), refusal.NotRun)
					is.True(refused.RetryAfter() > 0)
					is.Equal(took, time.Duration(0)) // told at once
					return
				}
				is.NoErr(err)
				is.True(took >= tt.least && took <= tt.most)
			})
		})
	}
}

// over is by how much organisations are over their shares.
type over map[string]float64

func (o over) Over(_ time.Time, _, organisation string) float64 { return o[organisation] }

// TestOrder lets one go before those who came before it.
func TestOrder(t *testing.T) {
	tests := map[string]struct {
		over     over
		urgency  int // the others have 5
		inTime   bool
		overtake bool
	}{
		"a more urgent one, which fits":        {urgency: 1, overtake: true},
		"a more urgent one":                    {over: over{"large": 1, "small": 1}, urgency: 1, overtake: true},
		"one of an organisation that had less": {over: over{"large": 2, "small": 1}, urgency: 5, overtake: true},
		"one that can be in time":              {over: over{"large": 1, "small": 1}, urgency: 5, inTime: true, overtake: true},
		"one like the others":                  {over: over{"large": 1, "small": 1}, urgency: 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w, b := crowd(600)
				b.places.Shares = tt.over
				others := places.Request{Organisation: "large", Urgency: 5, Arrived: time.Now().Add(-aim), Aim: aim, Deadline: time.Now().Add(time.Minute), Want: picker.Want{Service: w.service}}
				last := others
				last.Organisation, last.Urgency, last.Deadline = "small", tt.urgency, last.Deadline.Add(time.Second)
				if tt.inTime {
					last.Aim = time.Minute / 2
				}
				got := b.order(others, others, others, others, others, others, others, others, last)
				is.Equal(len(got), 9)
				is.Equal(slices.Index(got, "small") < len(got)-3, tt.overtake)
			})
		})
	}
}

// order returns the organisations of requests that come one after the other, as they go.
func (b *box) order(asks ...places.Request) (got []string) {
	gone := make(chan string, len(asks))
	for _, ask := range asks {
		go func() {
			if _, err := b.places.Acquire(context.Background(), ask); err == nil {
				gone <- ask.Organisation
			}
		}()
		synctest.Wait()
	}
	time.Sleep(30 * time.Second)
	for len(gone) > 0 {
		got = append(got, <-gone)
	}
	return got
}

// drawn counts how often each upstream is drawn.
func (w *world) drawn(b *box, times int) (map[string]int, error) {
	drawn := map[string]int{}
	for range times {
		c, err := b.places.Acquire(context.Background(), w.request(0, time.Second))
		if err != nil {
			return nil, err
		}
		drawn[c.Upstream.ID]++
		b.places.Answered(time.Now(), w.request(0, time.Second), c.Upstream, work)
	}
	return drawn, nil
}

// TestDrawn draws an upstream less often than its like by what slows it.
func TestDrawn(t *testing.T) {
	const times = 3000
	tests := map[string]struct {
		harm func(w *world, b *box, u fleet.Upstream)
		most float64 // in parts of the draws of another
	}{
		"alike": {func(*world, *box, fleet.Upstream) {}, 1.2},
		"its answers take longer": {func(w *world, b *box, u fleet.Upstream) {
			b.places.Answered(time.Now(), w.request(0, time.Second), u, 4*work)
		}, 0.8},
		"it does not answer": {func(w *world, b *box, u fleet.Upstream) {
			b.places.Dropped(w.request(0, time.Second), u, 10*work)
		}, 0.8},
		"it fails": {func(_ *world, b *box, u fleet.Upstream) {
			for range 8 {
				b.reliability.Record(time.Now(), u.ID, true)
			}
		}, 0.2},
		"its places are taken": {func(_ *world, b *box, u fleet.Upstream) {
			b.tally.Begin(u.ID, upstreamload.Load{Requests: 2 * slots})
			time.Sleep(time.Second)
		}, 0.5},
		"its entry has lapsed": {func(_ *world, b *box, u fleet.Upstream) {
			others := slices.DeleteFunc(slices.Clone(b.fleet.Serving("plain")), func(o fleet.Upstream) bool { return o.ID == u.ID })
			b.fleet.Replace(time.Now(), others, 2, true)
		}, 0.2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(load{boxes: 1, work: work, aim: aim})
				b := w.boxes[0]
				_, err := w.drawn(b, 20)
				is.NoErr(err)
				u, _ := b.fleet.Get("u1")
				for range 8 {
					tt.harm(w, b, u)
				}
				drawn, err := w.drawn(b, times)
				is.NoErr(err)
				t.Log(drawn)
				is.True(float64(drawn["u1"]) <= tt.most*float64(drawn["u2"])) // the other of another hall
			})
		})
	}
}

// TestGone frees the part of a box that is not heard any more.
func TestGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, b := crowd(600)
		is.True(b.places.Overloaded(time.Now(), w.service))
		time.Sleep(3 * time.Second)
		is.True(!b.places.Overloaded(time.Now(), w.service))
	})
}

// TestWorkMended learns from answers in a crowd that work takes less than was learned.
func TestWorkMended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, b := crowd(600)
		is.Equal(b.places.View(time.Now())[0].Can, 300)
		for id := range w.upstreams {
			u, _ := b.fleet.Get(id)
			for range 64 {
				b.places.Answered(time.Now(), w.request(0, time.Second), u, work/4)
			}
		}
		time.Sleep(time.Second)
		b.places.Overloaded(time.Now(), w.service)
		is.True(b.places.View(time.Now())[0].Can > 900)
	})
}

// TestNotRun learns nothing of how long work takes from an upstream that refused the
// first requests at once.
func TestNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(load{boxes: 1, work: work, aim: aim})
		b := w.boxes[0]
		for id := range w.upstreams {
			u, _ := b.fleet.Get(id)
			b.places.Overloaded(time.Now(), w.service)
			b.places.Dropped(w.request(0, time.Second), u, time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		b.places.Overloaded(time.Now(), w.service)
		_, err := w.drawn(b, 40) // more than metLeast
		is.NoErr(err)
		time.Sleep(time.Second)
		b.places.Overloaded(time.Now(), w.service)
		is.Equal(b.places.View(time.Now())[0].Can, 300)
	})
}

// TestSum is told of the same demand by a hub as by each box.
func TestSum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hub, b := newWorld(load{boxes: 1, work: work}).boxes[0].places, newWorld(load{boxes: 1, work: work}).boxes[0].places
		for name, asked := range map[string]int{"a": 100, "b": 250, "c": 1000} {
			hub.Update(time.Now(), name, []wire.ServicePlaces{{Service: "plain", Asked: asked}})
		}
		is.Equal(hub.Without(time.Now(), "b"), []wire.ServicePlaces{{Service: "plain", Asked: 1100}})
		b.UpdateSum(time.Now(), hub.Without(time.Now(), "b"))
		is.Equal(b.Without(time.Now(), "nobody"), []wire.ServicePlaces{})
	})
}

// BenchmarkTake takes a place in calm and gives it back.
func BenchmarkTake(b *testing.B) {
	w := newWorld(load{boxes: 1, work: work, aim: aim})
	box := w.boxes[0]
	for b.Loop() {
		ask := w.request(0, time.Second)
		c, err := box.places.Acquire(b.Context(), ask)
		if err != nil {
			b.Fatal(err)
		}
		box.places.Answered(time.Now(), ask, c.Upstream, work)
	}
}
