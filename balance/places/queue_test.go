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
	aim         = 300 * time.Millisecond
	serviceTime = 60 * time.Millisecond
)

// overloadedBox returns a box that has learned the service time and receives a report
// of other boxes' demand, in requests per second.
func overloadedBox(demand int) (*world, *box) {
	w := newWorld(scenario{boxes: 1, serviceTime: serviceTime, aim: aim, timeout: 4 * time.Second})
	b := w.boxes[0]
	b.places.Overloaded(time.Now(), w.service) // adds the service
	time.Sleep(time.Second)
	for range 8 {
		c, _ := b.places.Acquire(context.Background(), w.request(0, time.Second))
		time.Sleep(serviceTime)
		b.places.Answered(time.Now(), w.request(0, time.Second), c.Upstream, serviceTime)
	}
	for id := range w.upstreams {
		b.tally.Begin(id, upstreamload.Load{Requests: 4 * slots})
	}
	b.places.Update(time.Now(), "other", []wire.ServicePlaces{{Service: "plain", Asked: demand * 100}})
	time.Sleep(time.Second)
	b.places.Overloaded(time.Now(), w.service)
	return w, b
}

func (w *world) request(urgency int, wait time.Duration) places.Request {
	now := time.Now()
	return places.Request{Urgency: urgency, Arrived: now, Aim: aim, Deadline: now.Add(wait), Want: picker.Want{Service: w.service}}
}

// TestQueue sends requests to upstreams that can serve 300 per second and checks which
// are sent, queued or refused.
func TestQueue(t *testing.T) {
	tests := map[string]struct {
		demand  int // of the other boxes, in requests per second
		before  int // requests sent before, concurrently
		age     time.Duration
		timeout time.Duration
		refused refusal.Reason
		minWait time.Duration
		maxWait time.Duration
	}{
		"no overload":                                   {demand: 200, before: 6, timeout: 4 * time.Second},
		"within the allocation of the box":              {demand: 600, timeout: 4 * time.Second, maxWait: aim / 4},
		"new, the queue is too long, has time to retry": {demand: 600, before: 8, timeout: 4 * time.Second, refused: refusal.WaitTooLong},
		"a retry is queued although it will be late":    {demand: 600, before: 8, age: aim / 2, timeout: 4 * time.Second, minWait: aim / 4, maxWait: 4 * time.Second},
		"its deadline passes in the queue":              {demand: 600, before: 8, age: aim / 2, timeout: 10 * time.Millisecond, refused: refusal.WaitTooLong},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w, b := overloadedBox(tt.demand)
				for range tt.before {
					go b.places.Acquire(t.Context(), w.request(0, time.Hour))
				}
				synctest.Wait()
				req := w.request(0, tt.timeout)
				req.Arrived = req.Arrived.Add(-tt.age)
				began := time.Now()
				_, err := b.places.Acquire(t.Context(), req)
				took := time.Since(began)
				var refused refusal.Refusal
				if tt.refused != "" {
					is.True(errors.As(err, &refused))
					is.Equal(refused.Reason(), tt.refused)
					is.Equal(refused.Outcome(), refusal.NotRun)
					is.True(refused.RetryAfter() > 0)
					is.Equal(took, time.Duration(0)) // refused immediately
					return
				}
				is.NoErr(err)
				is.True(took >= tt.minWait && took <= tt.maxWait)
			})
		})
	}
}

// excess is by how much organisations exceed their shares.
type excess map[string]float64

func (o excess) Over(_ time.Time, _, organisation string) float64 { return o[organisation] }

// TestOrder checks which requests go before those that were queued earlier.
func TestOrder(t *testing.T) {
	tests := map[string]struct {
		excess    excess
		urgency   int // the others have 5
		inTime    bool
		overtakes bool
	}{
		"more urgent, within the allocation":    {urgency: 1, overtakes: true},
		"more urgent":                           {excess: excess{"large": 1, "small": 1}, urgency: 1, overtakes: true},
		"an organisation with a smaller excess": {excess: excess{"large": 2, "small": 1}, urgency: 5, overtakes: true},
		"can still be in time":                  {excess: excess{"large": 1, "small": 1}, urgency: 5, inTime: true, overtakes: true},
		"like the others":                       {excess: excess{"large": 1, "small": 1}, urgency: 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w, b := overloadedBox(600)
				b.places.Shares = tt.excess
				others := places.Request{Organisation: "large", Urgency: 5, Arrived: time.Now().Add(-aim), Aim: aim, Deadline: time.Now().Add(time.Minute), Want: picker.Want{Service: w.service}}
				last := others
				last.Organisation, last.Urgency, last.Deadline = "small", tt.urgency, last.Deadline.Add(time.Second)
				if tt.inTime {
					last.Aim = time.Minute / 2
				}
				got := b.releaseOrder(others, others, others, others, others, others, others, others, last)
				is.Equal(len(got), 9)
				is.Equal(slices.Index(got, "small") < len(got)-3, tt.overtakes)
			})
		})
	}
}

// releaseOrder returns the organisations of requests in the order in which they are
// released.
func (b *box) releaseOrder(requests ...places.Request) (got []string) {
	released := make(chan string, len(requests))
	for _, req := range requests {
		go func() {
			if _, err := b.places.Acquire(context.Background(), req); err == nil {
				released <- req.Organisation
			}
		}()
		synctest.Wait()
	}
	time.Sleep(30 * time.Second)
	for len(released) > 0 {
		got = append(got, <-released)
	}
	return got
}

// countChoices counts how often each upstream is chosen.
func (w *world) countChoices(b *box, times int) (map[string]int, error) {
	chosen := map[string]int{}
	for range times {
		c, err := b.places.Acquire(context.Background(), w.request(0, time.Second))
		if err != nil {
			return nil, err
		}
		chosen[c.Upstream.ID]++
		b.places.Answered(time.Now(), w.request(0, time.Second), c.Upstream, serviceTime)
	}
	return chosen, nil
}

// TestWeights checks that a slow, failing, full or missing upstream is chosen less
// often than a healthy one.
func TestWeights(t *testing.T) {
	const times = 3000
	tests := map[string]struct {
		degrade  func(w *world, b *box, u fleet.Upstream)
		maxRatio float64 // to the choices of another upstream
	}{
		"alike": {func(*world, *box, fleet.Upstream) {}, 1.2},
		"its answers take longer": {func(w *world, b *box, u fleet.Upstream) {
			b.places.Answered(time.Now(), w.request(0, time.Second), u, 4*serviceTime)
		}, 0.8},
		"it does not answer": {func(w *world, b *box, u fleet.Upstream) {
			b.places.Dropped(w.request(0, time.Second), u, 10*serviceTime)
		}, 0.8},
		"it fails": {func(_ *world, b *box, u fleet.Upstream) {
			for range 8 {
				b.reliability.Record(time.Now(), u.ID, true)
			}
		}, 0.2},
		"its slots are in use": {func(_ *world, b *box, u fleet.Upstream) {
			b.tally.Begin(u.ID, upstreamload.Load{Requests: 2 * slots})
			time.Sleep(time.Second)
		}, 0.5},
		"its entry has expired": {func(_ *world, b *box, u fleet.Upstream) {
			others := slices.DeleteFunc(slices.Clone(b.fleet.Serving("plain")), func(o fleet.Upstream) bool { return o.ID == u.ID })
			b.fleet.Replace(time.Now(), others, 2, true)
		}, 0.2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(scenario{boxes: 1, serviceTime: serviceTime, aim: aim})
				b := w.boxes[0]
				_, err := w.countChoices(b, 20)
				is.NoErr(err)
				u, _ := b.fleet.Get("u1")
				for range 8 {
					tt.degrade(w, b, u)
				}
				chosen, err := w.countChoices(b, times)
				is.NoErr(err)
				t.Log(chosen)
				is.True(float64(chosen["u1"]) <= tt.maxRatio*float64(chosen["u2"])) // the other upstream in another hall
			})
		})
	}
}

// TestReportsExpire checks that the demand of a box that no longer reports is dropped.
func TestReportsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, b := overloadedBox(600)
		is.True(b.places.Overloaded(time.Now(), w.service))
		time.Sleep(3 * time.Second)
		is.True(!b.places.Overloaded(time.Now(), w.service))
	})
}

// TestServiceTimeCorrected checks that answers in an overload correct a service time
// that is too long.
func TestServiceTimeCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, b := overloadedBox(600)
		is.Equal(b.places.View(time.Now())[0].Can, 300)
		for id := range w.upstreams {
			u, _ := b.fleet.Get(id)
			for range 64 {
				b.places.Answered(time.Now(), w.request(0, time.Second), u, serviceTime/4)
			}
		}
		time.Sleep(time.Second)
		b.places.Overloaded(time.Now(), w.service)
		is.True(b.places.View(time.Now())[0].Can > 900)
	})
}

// TestImmediateRefusal checks that an upstream that refuses the first requests at once
// does not count as fast.
func TestImmediateRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(scenario{boxes: 1, serviceTime: serviceTime, aim: aim})
		b := w.boxes[0]
		for id := range w.upstreams {
			u, _ := b.fleet.Get(id)
			b.places.Overloaded(time.Now(), w.service)
			b.places.Dropped(w.request(0, time.Second), u, time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		b.places.Overloaded(time.Now(), w.service)
		_, err := w.countChoices(b, 40) // more than minSamples
		is.NoErr(err)
		time.Sleep(time.Second)
		b.places.Overloaded(time.Now(), w.service)
		is.Equal(b.places.View(time.Now())[0].Can, 300)
	})
}

// TestHubSum checks that a hub reports the same demand as the boxes themselves.
func TestHubSum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hub, b := newWorld(scenario{boxes: 1, serviceTime: serviceTime}).boxes[0].places, newWorld(scenario{boxes: 1, serviceTime: serviceTime}).boxes[0].places
		for name, demand := range map[string]int{"a": 100, "b": 250, "c": 1000} {
			hub.Update(time.Now(), name, []wire.ServicePlaces{{Service: "plain", Asked: demand}})
		}
		is.Equal(hub.Without(time.Now(), "b"), []wire.ServicePlaces{{Service: "plain", Asked: 1100}})
		b.UpdateSum(time.Now(), hub.Without(time.Now(), "b"))
		is.Equal(b.Without(time.Now(), "nobody"), []wire.ServicePlaces{})
	})
}

// BenchmarkAcquire measures choosing an upstream without an overload.
func BenchmarkAcquire(b *testing.B) {
	w := newWorld(scenario{boxes: 1, serviceTime: serviceTime, aim: aim})
	box := w.boxes[0]
	for b.Loop() {
		req := w.request(0, time.Second)
		c, err := box.places.Acquire(b.Context(), req)
		if err != nil {
			b.Fatal(err)
		}
		box.places.Answered(time.Now(), req, c.Upstream, serviceTime)
	}
}
