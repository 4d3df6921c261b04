package places_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/balance/places"
	"petrelstep/fleet"
	"petrelstep/logs"
	"petrelstep/picker"
	"petrelstep/prefill"
	"petrelstep/refusal"
	"petrelstep/reliability"
	"petrelstep/route"
	"petrelstep/upstreamload"
)

const (
	slots          = 6
	queueSize      = 24
	reportInterval = 250 * time.Millisecond
)

// upstream is a fake upstream with a number of slots and a bounded queue; it rejects
// what exceeds both.
type upstream struct {
	work     time.Duration
	removed  bool
	mu       sync.Mutex
	requests int
	slots    chan struct{}
}

func newUpstream(work time.Duration) *upstream {
	return &upstream{work: work, slots: make(chan struct{}, slots)}
}

// serve reports whether the upstream ran a request.
func (u *upstream) serve(part float64) bool {
	u.mu.Lock()
	if u.removed || u.requests >= slots+queueSize {
		u.mu.Unlock()
		return false
	}
	u.requests++
	u.mu.Unlock()
	u.slots <- struct{}{}
	time.Sleep(time.Duration(part * float64(u.work)))
	<-u.slots
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests--
	return true
}

func (u *upstream) setRemoved(removed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.removed = removed
}

// scenario describes the clients and the disturbance of a test.
type scenario struct {
	boxes            int
	serviceTime, aim time.Duration
	timeout          time.Duration // of clients
	demand           float64       // multiple of the capacity, in the burst
	loseUpstream     bool          // one of three upstreams is removed in the burst
	slowdown         float64       // factor on the service time of one upstream
	stopBoxes        bool          // half of the boxes stop as the burst begins
	startBoxes       bool          // half of the boxes start as the burst begins
	partitioned      bool          // boxes receive reports of half of the others only, in the burst
}

// outcome counts what became of requests in the burst; retried are those that were
// rejected at once and then served in time.
type outcome struct{ all, inTime, late, retried, urgent, urgentInTime int }

func (o outcome) value() float64 {
	return (float64(o.inTime) + 0.5*float64(o.retried) + 0.3*float64(o.late)) / float64(o.all)
}

// box is one of the boxes of a world.
type box struct {
	fleet       *fleet.Fleet
	tally       *upstreamload.Tracker
	reliability *reliability.Reliability
	chooser     *picker.Picker
	places      *places.Places
}

type world struct {
	scenario
	service   route.Service
	upstreams map[string]*upstream
	boxes     []*box
	random    *rand.Rand

	mu    sync.Mutex
	burst bool
	out   outcome
}

type noCounter struct{}

func (noCounter) Placed(string, time.Duration) {}

func newWorld(l scenario) *world {
	w := &world{scenario: l, service: route.Service{Name: "plain"}, upstreams: map[string]*upstream{}, random: rand.New(rand.NewPCG(1, 9))}
	var list []fleet.Upstream
	for i := range 3 {
		id := fmt.Sprint("u", i)
		w.upstreams[id] = newUpstream(l.serviceTime)
		list = append(list, fleet.Upstream{ID: id, Service: "plain", Hall: fmt.Sprint("h", i), Slots: slots, State: fleet.Open})
	}
	if l.slowdown > 0 {
		w.upstreams["u1"].work = time.Duration(l.slowdown * float64(l.serviceTime))
	}
	for i := range l.boxes {
		w.boxes = append(w.boxes, newBox(uint64(i), list))
	}
	if l.startBoxes {
		w.boxes = w.boxes[:l.boxes/2]
	}
	return w
}

func newBox(seed uint64, list []fleet.Upstream) *box {
	b := &box{fleet: fleet.New(time.Second), tally: upstreamload.New(), reliability: reliability.New()}
	b.fleet.Replace(time.Now(), list, 1, false)
	hall := fmt.Sprint("h", seed%3)
	b.chooser = picker.New(picker.Components{
		Fleet: b.fleet, Loads: b.tally, Reliability: b.reliability, Prefill: prefill.New(), Hall: hall, Random: rand.New(rand.NewPCG(seed, 1)),
	})
	b.places = places.New(places.Components{
		Ranker: b.chooser, Failing: b.reliability.FailureRate, Counter: noCounter{}, Hall: hall, Random: rand.New(rand.NewPCG(seed, 2)),
		Log: logs.New(io.Discard, "info", "b"),
	})
	return b
}

// exchangeReports updates all boxes with the reports of the others.
func (w *world) exchangeReports() {
	now := time.Now()
	boxes := w.live()
	for i, b := range boxes {
		for j, other := range boxes {
			if i != j && w.connected(i, j) {
				name := fmt.Sprint(j)
				b.tally.Update(now, name, other.tally.Own())
				b.places.Update(now, name, other.places.Own(now))
				b.reliability.Update(now, name, other.reliability.Own(now))
			}
		}
	}
}

// live returns the boxes that run.
func (w *world) live() []*box {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.boxes
}

// connected reports whether two boxes receive each other's reports.
func (w *world) connected(one, other int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.burst || !w.partitioned || one%2 == other%2
}

// beginBurst starts the burst and its disturbance.
func (w *world) beginBurst() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.burst {
		return
	}
	w.burst = true
	w.upstreams["u2"].setRemoved(w.loseUpstream)
	if w.stopBoxes {
		w.boxes = w.boxes[:len(w.boxes)/2]
	}
	if w.startBoxes {
		w.boxes = w.boxes[:w.scenario.boxes]
	}
}

const (
	warmUp   = 4 * time.Second
	burst    = 8 * time.Second
	baseLoad = 0.45 // of the capacity
)

// run simulates the clients and returns what became of the requests in the burst.
func (w *world) run() outcome {
	capacity := 3 * slots / w.serviceTime.Seconds()
	began := time.Now()
	var all sync.WaitGroup
	reports := time.NewTicker(reportInterval)
	defer reports.Stop()
	done := make(chan struct{})
	all.Go(func() {
		for {
			select {
			case <-reports.C:
				w.exchangeReports()
			case <-done:
				return
			}
		}
	})
	for time.Since(began) < warmUp+burst {
		rate, inBurst := baseLoad*capacity, time.Since(began) >= warmUp
		if inBurst {
			rate = w.demand * capacity
			w.beginBurst()
		}
		time.Sleep(time.Duration(w.random.ExpFloat64() / rate * float64(time.Second)))
		boxes := w.live()
		all.Go(w.client(boxes[w.random.IntN(len(boxes))], w.random.Uint64(), inBurst))
	}
	time.Sleep(w.timeout)
	close(done)
	all.Wait()
	return w.out
}

// client returns a client that sends a request, and retries once after a Retry-After.
func (w *world) client(b *box, seed uint64, counts bool) func() {
	random := rand.New(rand.NewPCG(seed, 4))
	urgency := int(seed % 3)
	return func() {
		first := time.Now()
		ok, took, retryAfter := w.send(b, random, first.Add(w.timeout), urgency)
		retried := !ok && retryAfter > 0 && took < w.aim/4
		if !ok && retryAfter > 0 {
			time.Sleep(min(retryAfter, time.Until(first.Add(w.timeout))/3))
			boxes := w.live()
			ok, took, _ = w.send(boxes[random.IntN(len(boxes))], random, first.Add(w.timeout), urgency)
		}
		if !retried {
			took = time.Since(first)
		}
		if counts {
			w.count(ok, took <= w.aim, retried, urgency == 0)
		}
	}
}

func (w *world) count(ok, inTime, retried, urgent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.out.all++
	if urgent {
		w.out.urgent++
	}
	switch {
	case !ok:
	case inTime && retried:
		w.out.retried++
	case inTime:
		w.out.inTime++
		if urgent {
			w.out.urgentInTime++
		}
	default:
		w.out.late++
	}
}

// send sends a request through a box, which tries up to two upstreams.
func (w *world) send(b *box, random *rand.Rand, deadline time.Time, urgency int) (ok bool, took, retryAfter time.Duration) {
	arrived := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	want := picker.Want{Service: w.service}
	for range 2 {
		req := places.Request{Urgency: urgency, Arrived: arrived, Aim: w.aim, Deadline: deadline, Want: want}
		c, err := b.places.Acquire(ctx, req)
		var refused refusal.Refusal
		if errors.As(err, &refused) {
			return false, time.Since(arrived), refused.RetryAfter()
		}
		sent := time.Now()
		entry := b.tally.Begin(c.Upstream.ID, upstreamload.Load{Requests: 1})
		ran := w.upstreams[c.Upstream.ID].serve(0.7 + 0.6*random.Float64())
		entry.End()
		b.reliability.Record(time.Now(), c.Upstream.ID, !ran)
		if ran {
			b.places.Answered(time.Now(), req, c.Upstream, time.Since(sent))
			return time.Now().Before(deadline), time.Since(arrived), 0
		}
		b.places.Dropped(req, c.Upstream, time.Since(sent))
		want.Avoid = append(want.Avoid, c.Upstream.ID)
	}
	return false, time.Since(arrived), 50 * time.Millisecond
}

// TestBurst simulates bursts for upstreams that else run at half of their capacity. The
// value is relative to all requests served in time: a request in time counts 1, one in
// time after a retry 0.5, a late one 0.3.
func TestBurst(t *testing.T) {
	const ms = time.Millisecond
	kinds := map[string]scenario{
		"short": {serviceTime: 15 * ms, aim: 100 * ms, timeout: 600 * ms},
		"long":  {serviceTime: 60 * ms, aim: 300 * ms, timeout: 4 * time.Second},
	}
	tests := map[string]struct {
		demand       float64
		loseUpstream bool
		slowdown     float64
		stopBoxes    bool
		startBoxes   bool
		partitioned  bool
		minValue     float64
		minUrgent    float64 // fraction of the most urgent requests in time
	}{
		"normal load":                      {demand: baseLoad, minValue: 0.999, minUrgent: 0.999},
		"nearly overloaded":                {demand: 0.85, minValue: 0.99, minUrgent: 0.99},
		"an upstream is removed":           {demand: 0.6, loseUpstream: true, minValue: 0.98, minUrgent: 0.98},
		"an upstream is slow":              {demand: 0.6, slowdown: 3, minValue: 0.95, minUrgent: 0.95},
		"overload":                         {demand: 1.35, minValue: 0.57, minUrgent: 0.8},
		"half of the boxes stop":           {demand: 0.85, stopBoxes: true, minValue: 0.97, minUrgent: 0.97},
		"half of the boxes start":          {demand: 1.35, startBoxes: true, minValue: 0.55, minUrgent: 0.75},
		"network partition":                {demand: 1.35, partitioned: true, minValue: 0.57, minUrgent: 0.75},
		"overload, an upstream is removed": {demand: 1, loseUpstream: true, minValue: 0.47, minUrgent: 0.55},
	}
	for kind, k := range kinds {
		for name, tt := range tests {
			for _, boxes := range []int{6, 60} {
				t.Run(fmt.Sprint(kind, ", ", name, ", ", boxes, " boxes"), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						l := k
						l.boxes, l.demand, l.loseUpstream, l.slowdown = boxes, tt.demand, tt.loseUpstream, tt.slowdown
						l.stopBoxes, l.startBoxes, l.partitioned = tt.stopBoxes, tt.startBoxes, tt.partitioned
						got := newWorld(l).run()
						t.Logf("value %.3f %+v", got.value(), got)
						is.True(got.value() >= tt.minValue)
						is.True(float64(got.urgentInTime) >= tt.minUrgent*float64(got.urgent))
					})
				})
			}
		}
	}
}
