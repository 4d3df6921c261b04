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
	"petrelstep/choose"
	"petrelstep/refusal"
	"petrelstep/tally"
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
	for range 8 {
		c, _ := b.places.Take(context.Background(), w.request(0, time.Second))
		time.Sleep(work)
		b.places.Answered(time.Now(), w.request(0, time.Second), c.Upstream, work)
	}
	for id := range w.upstreams {
		b.tally.Begin(id, tally.Load{Requests: 4 * slots})
	}
	b.places.Told(time.Now(), "other", []wire.ServicePlaces{{Service: "plain", Asked: asked * 100}})
	time.Sleep(time.Second)
	b.places.Crowded(time.Now(), w.service)
	return w, b
}

func (w *world) request(urgency int, wait time.Duration) places.Ask {
	now := time.Now()
	return places.Ask{Urgency: urgency, Arrived: now, Aim: aim, Deadline: now.Add(wait), Want: choose.Want{Service: w.service}}
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
					go b.places.Take(t.Context(), w.request(0, time.Hour))
				}
				synctest.Wait()
				ask := w.request(0, tt.wait)
				ask.Arrived = ask.Arrived.Add(-tt.aged)
				began := time.Now()
				_, err := b.places.Take(t.Context(), ask)
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
				others := places.Ask{Organisation: "large", Urgency: 5, Arrived: time.Now().Add(-aim), Aim: aim, Deadline: time.Now().Add(time.Minute), Want: choose.Want{Service: w.service}}
				last := others
				last.Organisation, last.Urgency, last.Deadline = "small", tt.urgency, last.Deadline.Add(time.Second)
				if tt.inTime {
					last.Aim = time.Minute / 2
				}
				order := make(chan string, 9)
				take := func(ask places.Ask) {
					if _, err := b.places.Take(t.Context(), ask); err == nil {
						order <- ask.Organisation
					}
				}
				for range 8 {
					go take(others)
					synctest.Wait()
				}
				go take(last)
				time.Sleep(30 * time.Second)
				var got []string
				for len(order) > 0 {
					got = append(got, <-order)
				}
				is.Equal(len(got), 9)
				is.Equal(slices.Index(got, "small") < len(got)-3, tt.overtake)
			})
		})
	}
}

// TestGone frees the part of a box that is not heard any more.
func TestGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, b := crowd(600)
		is.True(b.places.Crowded(time.Now(), w.service))
		time.Sleep(3 * time.Second)
		is.True(!b.places.Crowded(time.Now(), w.service))
	})
}

// TestSum is told of the same demand by a hub as by each box.
func TestSum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hub, b := newWorld(load{boxes: 1, work: work}).boxes[0].places, newWorld(load{boxes: 1, work: work}).boxes[0].places
		for name, asked := range map[string]int{"a": 100, "b": 250, "c": 1000} {
			hub.Told(time.Now(), name, []wire.ServicePlaces{{Service: "plain", Asked: asked}})
		}
		is.Equal(hub.Without(time.Now(), "b"), []wire.ServicePlaces{{Service: "plain", Asked: 1100}})
		b.ToldSum(time.Now(), hub.Without(time.Now(), "b"))
		is.Equal(b.Without(time.Now(), "nobody"), []wire.ServicePlaces{})
	})
}
