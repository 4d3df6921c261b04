package admission_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/fleet"
	"petrelstep/standin/batch"
)

const (
	// slowFactor is how much slower every other engine is.
	slowFactor = 2.2
	// replaceInterval is how often a sixth of the engines is replaced.
	replaceInterval = 3300 * time.Millisecond
)

// noCount discards counts.
type noCount struct{}

func (noCount) LongPlaced(string) {}

// unevenEngine returns the nth engine's parameters. An event takes 30 ms on fast and 65 ms
// on slow engines, or 90 and 200 ms during a prefill.
func unevenEngine(n int) batch.Params {
	factor := 1.0
	if n%2 == 1 {
		factor = slowFactor
	}
	scaled := func(d time.Duration) time.Duration { return time.Duration(factor * float64(d)) }
	return batch.Params{
		Capacity: 34000, MaxBatch: 24, PrefillChunk: 224, StepBase: scaled(7 * time.Millisecond),
		StepPerRun: scaled(60 * time.Microsecond), PrefillPerTok: scaled(71 * time.Microsecond),
	}
}

func newSimEngine(p batch.Params) *simEngine {
	return &simEngine{core: batch.New(p), wake: make(chan struct{}, 1), events: map[string]chan int{}}
}

func (sim *simulation) engine(id string) *simEngine {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.engines[id]
}

// replace replaces a sixth of the engines at each interval by engines of unknown speed.
// Requests at a removed engine end there.
func (sim *simulation) replace(ctx context.Context, engines *sync.WaitGroup) {
	var ids []string
	for i := range simEngines {
		ids = append(ids, fmt.Sprint("e", i))
	}
	for n := simEngines; ctx.Err() == nil; {
		time.Sleep(replaceInterval)
		for range simEngines / hallCount {
			id, e := fmt.Sprint("e", n), newSimEngine(unevenEngine(n/2))
			sim.mu.Lock()
			sim.engines[id] = e
			sim.mu.Unlock()
			engines.Go(func() { e.work(ctx) })
			sim.fleet.ApplyDeparture(time.Now(), fleet.Departure{ID: ids[0], Announced: true}, "test")
			sim.fleet.Put(time.Now(), fleet.Upstream{ID: id, Service: "llm", Hall: "hall0", Slots: 24, State: fleet.Open})
			ids = append(ids[1:], id)
			n++
		}
	}
}

// TestUneven compares the queue with and without learned speeds, for engines of two speeds
// that are replaced. When the engines are nearly full, long answers have to go to slow
// ones too, and the gain is in first events that would have been late there.
func TestUneven(t *testing.T) {
	tests := map[string]struct {
		load           float64 // factor on the usual rate of requests
		minRatio       float64 // lowest ratio of the worth with and without learned speeds
		maxPausedRatio float64 // highest ratio of the fractions of drafts with long pauses
	}{
		"light":       {load: 0.8, minRatio: 1.03, maxPausedRatio: 0.5},
		"half full":   {load: 1.2, minRatio: 1.04, maxPausedRatio: 0.7},
		"nearly full": {load: 1.6, minRatio: 1.07, maxPausedRatio: 1.2},
		"overfull":    {load: 2.0, minRatio: 1.05, maxPausedRatio: 1.2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := scenario{load: tt.load, uneven: true, queue: true}
			without := simulate(t, s)
			s.speeds = true
			with := simulate(t, s)
			t.Logf("without %+v, with %+v", without, with)
			is.True(with.worth >= tt.minRatio*without.worth)
			is.True(with.paused <= tt.maxPausedRatio*without.paused)
			is.True(with.rejectedLate <= without.rejectedLate) // no request is held in vain
		})
	}
}
