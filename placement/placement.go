// Package placement picks an engine from what one box knows of each. The
// baselines are kept as methods, so that every comparison is one run.
package placement

import (
	"math/rand/v2"
	"time"
)

// Method names a way of picking.
type Method string

// The methods. Forecast's own picking for granted generations is in package
// home; here it means the picking of calls that pass without a grant.
const (
	RoundRobin    Method = "round_robin"
	LeastRequests Method = "least_requests"
	TwoChoices    Method = "two_choices"
	LeastMemory   Method = "least_memory"
	Forecast      Method = "forecast"
)

// View is what a box knows of one engine, its own dispatches since the
// engine's report included.
type View struct {
	Engine   string
	Used     int // tokens
	Capacity int // tokens
	Running  int
	Waiting  int
	Cached   int // tokens of this prompt believed to be in the prefix cache
	Step     time.Duration
}

// Placer is not safe for use by several goroutines.
type Placer struct {
	method Method
	rng    *rand.Rand
	next   int
}

// New returns a placer; random choices come from rng.
func New(method Method, rng *rand.Rand) *Placer { return &Placer{method: method, rng: rng} }

// Pick returns the index of the view to use, or -1 if there is none.
func (p *Placer) Pick(views []View) int {
	if len(views) == 0 {
		return -1
	}
	switch p.method {
	case RoundRobin:
		p.next++
		return p.next % len(views)
	case TwoChoices:
		return p.twoChoices(views)
	case LeastRequests:
		return p.least(views, requests)
	case LeastMemory:
		return p.least(views, memory)
	}
	return p.least(views, crowding)
}

func (p *Placer) twoChoices(views []View) int {
	a, b := p.rng.IntN(len(views)), p.rng.IntN(len(views))
	if requests(views[b]) < requests(views[a]) {
		return b
	}
	return a
}

// least picks the lowest score; equals are settled by a random start.
func (p *Placer) least(views []View, score func(View) float64) int {
	start := p.rng.IntN(len(views))
	best, lowest := start, score(views[start])
	for i := 1; i < len(views); i++ {
		k := (start + i) % len(views)
		if s := score(views[k]); s < lowest {
			best, lowest = k, s
		}
	}
	return best
}

func requests(v View) float64 { return float64(v.Running + v.Waiting) }

func memory(v View) float64 { return float64(v.Used) / float64(max(v.Capacity, 1)) }

// Weights of crowding, in parts of an engine's memory.
const (
	waitingWeight = 0.25 // each waiting generation: the next would wait too
	stepWeight    = 2.0  // each second of a step
	cachedWeight  = 0.2  // each thousand prompt tokens saved
)

func crowding(v View) float64 {
	return memory(v) +
		waitingWeight*float64(v.Waiting) +
		stepWeight*v.Step.Seconds() -
		cachedWeight*float64(v.Cached)/1000
}
