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
	slots  = 6
	inLine = 24
	gossip = 250 * time.Millisecond
)

// upstream is a fake: it works on some requests, lets some wait and turns the
// others away.
type upstream struct {
	work time.Duration
	gone bool
	mu   sync.Mutex
	held int
	free chan struct{}
}

func newUpstream(work time.Duration) *upstream {
	return &upstream{work: work, free: make(chan struct{}, slots)}
}

// serve reports whether it ran a request.
func (u *upstream) serve(part float64) bool {
	u.mu.Lock()
	if u.gone || u.held >= slots+inLine {
		u.mu.Unlock()
		return false
	}
	u.held++
	u.mu.Unlock()
	u.free <- struct{}{}
	time.Sleep(time.Duration(part * float64(u.work)))
	<-u.free
	u.mu.Lock()
	defer u.mu.Unlock()
	u.held--
	return true
}

func (u *upstream) vanish(gone bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gone = gone
}

// load is what the callers of a test do.
type load struct {
	boxes     int
	work, aim time.Duration
	wait      time.Duration // of callers
	times     float64       // of what the upstreams can do, in the burst
	vanishes  bool          // an upstream of three, in the burst
	slow      float64       // times that one takes for its work
	die       bool          // half of the boxes, as the burst begins
	start     bool          // half of the boxes, as the burst begins
	parted    bool          // boxes hear of half of the others only, in the burst
}

// outcome counts what became of requests in the burst; back are those that were
// sent off at once and then served in time.
type outcome struct{ all, inTime, late, back, urgent, urgentInTime int }

func (o outcome) worth() float64 {
	return (float64(o.inTime) + 0.5*float64(o.back) + 0.3*float64(o.late)) / float64(o.all)
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
	load
	service   route.Service
	upstreams map[string]*upstream
	boxes     []*box
	random    *rand.Rand

	mu    sync.Mutex
	burst bool
	out   outcome
}

type uncounted struct{}

func (uncounted) Placed(string, time.Duration) {}

func newWorld(l load) *world {
	w := &world{load: l, service: route.Service{Name: "plain"}, upstreams: map[string]*upstream{}, random: rand.New(rand.NewPCG(1, 9))}
	var list []fleet.Upstream
	for i := range 3 {
		id := fmt.Sprint("u", i)
		w.upstreams[id] = newUpstream(l.work)
		list = append(list, fleet.Upstream{ID: id, Service: "plain", Hall: fmt.Sprint("h", i), Slots: slots, State: fleet.Open})
	}
	if l.slow > 0 {
		w.upstreams["u1"].work = time.Duration(l.slow * float64(l.work))
	}
	for i := range l.boxes {
		w.boxes = append(w.boxes, newBox(uint64(i), list))
	}
	if l.start {
		w.boxes = w.boxes[:l.boxes/2]
	}
	return w
}

func newBox(seed uint64, list []fleet.Upstream) *box {
	b := &box{fleet: fleet.New(time.Second), tally: upstreamload.New(), reliability: reliability.New()}
	b.fleet.Replace(time.Now(), list, 1, false)
	hall := fmt.Sprint("h", seed%3)
	b.chooser = picker.New(picker.Parts{
		Fleet: b.fleet, Tally: b.tally, Reliability: b.reliability, Reading: prefill.New(), Hall: hall, Random: rand.New(rand.NewPCG(seed, 1)),
	})
	b.places = places.New(places.Parts{
		Ranker: b.chooser, Failing: b.reliability.FailureRate, Counter: uncounted{}, Hall: hall, Random: rand.New(rand.NewPCG(seed, 2)),
		Log: logs.New(io.Discard, "info", "b"),
	})
	return b
}

// tell lets the boxes hear of each other.
func (w *world) tell() {
	now := time.Now()
	boxes := w.live()
	for i, b := range boxes {
		for j, other := range boxes {
			if i != j && w.hear(i, j) {
				name := fmt.Sprint(j)
				b.tally.Told(now, name, other.tally.Own())
				b.places.Told(now, name, other.places.Own(now))
				b.reliability.Update(now, name, other.reliability.Own(now))
			}
		}
	}
}

// live returns the boxes that have not died.
func (w *world) live() []*box {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.boxes
}

// hear tells whether two boxes hear of each other.
func (w *world) hear(one, other int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.burst || !w.parted || one%2 == other%2
}

// strike begins the burst.
func (w *world) strike() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.burst {
		return
	}
	w.burst = true
	w.upstreams["u2"].vanish(w.vanishes)
	if w.die {
		w.boxes = w.boxes[:len(w.boxes)/2]
	}
	if w.start {
		w.boxes = w.boxes[:w.load.boxes]
	}
}

const (
	before = 4 * time.Second
	burst  = 8 * time.Second
	usual  = 0.45 // of what the upstreams can do
)

// play lets the callers come, and returns what became of those of the burst.
func (w *world) play() outcome {
	can := 3 * slots / w.work.Seconds()
	began := time.Now()
	var all sync.WaitGroup
	told := time.NewTicker(gossip)
	defer told.Stop()
	done := make(chan struct{})
	all.Go(func() {
		for {
			select {
			case <-told.C:
				w.tell()
			case <-done:
				return
			}
		}
	})
	for time.Since(began) < before+burst {
		rate, inBurst := usual*can, time.Since(began) >= before
		if inBurst {
			rate = w.times * can
			w.strike()
		}
		time.Sleep(time.Duration(w.random.ExpFloat64() / rate * float64(time.Second)))
		boxes := w.live()
		all.Go(w.caller(boxes[w.random.IntN(len(boxes))], w.random.Uint64(), inBurst))
	}
	time.Sleep(w.wait)
	close(done)
	all.Wait()
	return w.out
}

// caller returns one that asks, and once more if it is told to come back.
func (w *world) caller(b *box, seed uint64, counts bool) func() {
	random := rand.New(rand.NewPCG(seed, 4))
	urgency := int(seed % 3)
	return func() {
		first := time.Now()
		ok, took, back := w.ask(b, random, first.Add(w.wait), urgency)
		returned := !ok && back > 0 && took < w.aim/4
		if !ok && back > 0 {
			time.Sleep(min(back, time.Until(first.Add(w.wait))/3))
			boxes := w.live()
			ok, took, _ = w.ask(boxes[random.IntN(len(boxes))], random, first.Add(w.wait), urgency)
		}
		if !returned {
			took = time.Since(first)
		}
		if counts {
			w.count(ok, took <= w.aim, returned, urgency == 0)
		}
	}
}

func (w *world) count(ok, inTime, returned, urgent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.out.all++
	if urgent {
		w.out.urgent++
	}
	switch {
	case !ok:
	case inTime && returned:
		w.out.back++
	case inTime:
		w.out.inTime++
		if urgent {
			w.out.urgentInTime++
		}
	default:
		w.out.late++
	}
}

// ask sends one request by a box; up to two upstreams are tried.
func (w *world) ask(b *box, random *rand.Rand, deadline time.Time, urgency int) (ok bool, took, back time.Duration) {
	arrived := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	want := picker.Want{Service: w.service}
	for range 2 {
		ask := places.Ask{Urgency: urgency, Arrived: arrived, Aim: w.aim, Deadline: deadline, Want: want}
		c, err := b.places.Take(ctx, ask)
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
			b.places.Answered(time.Now(), ask, c.Upstream, time.Since(sent))
			return time.Now().Before(deadline), time.Since(arrived), 0
		}
		b.places.Dropped(ask, c.Upstream, time.Since(sent))
		want.Avoid = append(want.Avoid, c.Upstream.ID)
	}
	return false, time.Since(arrived), 50 * time.Millisecond
}

// TestBurst plays bursts of 8 s before three upstreams that get 0.45 of what they can
// do else. The least worth is what callers got, in parts of what they could: one in
// time counts 1, sent off and then in time a half, late 0.3. What can be in a burst of
// 1.35 is 0.74 in time.
func TestBurst(t *testing.T) {
	const ms = time.Millisecond
	kinds := map[string]load{
		"short": {work: 15 * ms, aim: 100 * ms, wait: 600 * ms},
		"long":  {work: 60 * ms, aim: 300 * ms, wait: 4 * time.Second},
	}
	tests := map[string]struct {
		times    float64
		vanishes bool
		slow     float64
		die      bool
		start    bool
		parted   bool
		worth    float64
		urgent   float64 // of those of the first rank in time
	}{
		"calm":                    {times: usual, worth: 0.999, urgent: 0.999},
		"nearly full":             {times: 0.85, worth: 0.99, urgent: 0.99},
		"one vanishes":            {times: 0.6, vanishes: true, worth: 0.98, urgent: 0.98},
		"one is slow":             {times: 0.6, slow: 3, worth: 0.95, urgent: 0.95},
		"too many":                {times: 1.35, worth: 0.57, urgent: 0.8},
		"half of the boxes die":   {times: 0.85, die: true, worth: 0.97, urgent: 0.97},
		"half of the boxes start": {times: 1.35, start: true, worth: 0.55, urgent: 0.75},
		"boxes are parted":        {times: 1.35, parted: true, worth: 0.57, urgent: 0.75},
		"too many, one vanishes":  {times: 1, vanishes: true, worth: 0.47, urgent: 0.55},
	}
	for kind, k := range kinds {
		for name, tt := range tests {
			for _, boxes := range []int{6, 60} {
				t.Run(fmt.Sprint(kind, ", ", name, ", ", boxes, " boxes"), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						l := k
						l.boxes, l.times, l.vanishes, l.slow = boxes, tt.times, tt.vanishes, tt.slow
						l.die, l.start, l.parted = tt.die, tt.start, tt.parted
						got := newWorld(l).play()
						t.Logf("worth %.3f %+v", got.worth(), got)
						is.True(got.worth() >= tt.worth)
						is.True(float64(got.urgentInTime) >= tt.urgent*float64(got.urgent))
					})
				})
			}
		}
	}
}
