// Package placement picks an engine by one box's own data about each. It also
// implements the baselines that the forecast method is compared with.
package placement

import (
	"math/rand/v2"
	"time"
)

// Method names a placement method.
type Method string

// The methods. Forecast here places the requests that need no grant; package home
// places granted generations.
const (
	RoundRobin    Method = "round_robin"
	LeastRequests Method = "least_requests"
	TwoChoices    Method = "two_choices"
	LeastMemory   Method = "least_memory"
	Forecast      Method = "forecast"
)

// View is the load of one engine as a box knows it, including the dispatches
// since the engine's last report.
type View struct {
	Engine   string
	Used     int // tokens
	Capacity int // tokens
	Running  int
	Waiting  int
	Cached   int           // tokens of this prompt estimated to be in the prefix cache
	Step     time.Duration // time per step
}

// Placer picks engines by one method. It is not safe for concurrent use.
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
	return p.least(views, loadScore)
}

func (p *Placer) twoChoices(views []View) int {
	a, b := p.rng.IntN(len(views)), p.rng.IntN(len(views))
	if requests(views[b]) < requests(views[a]) {
		return b
	}
	return a
}

// least picks the lowest score; ties are broken by a random start.
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

// Weights of loadScore, as fractions of an engine's memory.
const (
	waitingWeight = 0.25 // per waiting generation, as the next one would wait too
	stepWeight    = 2.0  // per second of step time
	cachedWeight  = 0.2  // per thousand cached prompt tokens
)

// loadScore combines memory use, queue, step time and cached prefix.
func loadScore(v View) float64 {
	return memory(v) +
		waitingWeight*float64(v.Waiting) +
		stepWeight*v.Step.Seconds() -
		cachedWeight*float64(v.Cached)/1000
}
