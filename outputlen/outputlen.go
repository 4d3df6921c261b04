// Package outputlen estimates the length of generations. For groups of similar
// generations it keeps the chance that one ends within each of a sequence of log-spaced
// ranges of length, given that it reached the range (the hazard of Kaplan and Meier,
// 1958). Generations that still run or were cut off count as far as they got: leaving
// them out would make long answers look rare.
package outputlen

import (
	"math"
	"sync"

	"petrelstep/outputlen/survival"
)

const (
	// shrinkage is the number of a group's own generations that weigh as much as the
	// hazard of its parent.
	shrinkage = 6.0
	// window is the number of ended generations from which the counts of a group are
	// halved, so that they follow a shift of lengths.
	window = 400.0
	// priorHazard is the chance to end within a range without observations.
	priorHazard = 0.25
	// defaultLimit is the limit, in tokens, assumed for a generation without one.
	defaultLimit = 1 << 14
	// refreshUpdates is the number of updates after which a curve is recomputed.
	refreshUpdates = 4
)

// Key identifies a group of similar generations.
type Key struct{ Organisation, Model, Class string }

// parent returns the key of the next wider group.
func (k Key) parent() (Key, bool) {
	switch {
	case k.Organisation != "":
		return Key{Model: k.Model, Class: k.Class}, true
	case k.Model != "":
		return Key{Class: k.Class}, true
	}
	return Key{}, false
}

// group is the counts of a group and the curve computed from them.
type group struct {
	ends    [survival.Ranges]float64 // generations that ended in each range
	reached [survival.Ranges]float64 // generations that reached each range
	total   float64                  // sum of ends
	updates int                      // since the curve was computed
	curve   *survival.Curve
}

// Estimator holds the lengths observed by one box. It is safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	groups map[Key]*group
}

// New returns an estimator without observations.
func New() *Estimator { return &Estimator{groups: map[Key]*group{}} }

// Progress records that a generation grew from one number of tokens to another.
func (e *Estimator) Progress(k Key, from, to int) {
	first, last := survival.RangeOf(from), survival.RangeOf(to)
	if first == last {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forEach(k, func(g *group) {
		for r := first; r < last; r++ {
			g.reached[r]++
		}
		g.updates++
	})
}

// End records that a generation ended after a number of tokens, up to which Progress
// has been called. A cut generation would have continued.
func (e *Estimator) End(k Key, at int, cut bool) {
	r := survival.RangeOf(at)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forEach(k, func(g *group) {
		g.updates++
		if cut {
			// It was cut part-way through the range: the actuarial half.
			g.reached[r] += 0.5
			return
		}
		g.reached[r]++
		g.ends[r]++
		g.total++
		g.halve()
	})
}

// Curve returns the survival curve of a group. Curves are immutable.
func (e *Estimator) Curve(k Key) *survival.Curve {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.curve(k)
}

// Remaining returns the expected number of tokens that a generation still makes, up to
// its limit; a limit of 0 stands for none.
func (e *Estimator) Remaining(k Key, made, limit int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if limit <= 0 {
		limit = made + defaultLimit
	}
	weight, uniform := e.confidence(k), float64(max(limit-made, 0))/2
	return max(int(weight*e.curve(k).RemainingUpTo(made, limit)+(1-weight)*uniform), 1)
}

// ChanceWithin returns the chance that a generation of up to maxTokens has at most a
// number of tokens; a maxTokens of 0 stands for no limit.
func (e *Estimator) ChanceWithin(k Key, tokens, maxTokens int) float64 {
	limit := maxTokens
	if limit <= 0 {
		limit = defaultLimit
	}
	if tokens >= limit {
		return 1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	weight, uniform := e.confidence(k), float64(tokens)/float64(limit)
	return weight*(1-e.curve(k).Survival(tokens)) + (1-weight)*uniform
}

// confidence returns the weight of the curves of a class. While few of its generations
// have ended, lengths are assumed to be uniform up to the limit.
func (e *Estimator) confidence(k Key) float64 {
	ends := e.group(Key{Class: k.Class}).total
	return ends / (ends + shrinkage)
}

// Groups returns the number of groups.
func (e *Estimator) Groups() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.groups)
}

func (e *Estimator) curve(k Key) *survival.Curve {
	g := e.group(k)
	if g.curve != nil && g.updates < refreshUpdates {
		return g.curve
	}
	var hazards [survival.Ranges]float64
	var parent *survival.Curve
	if key, ok := k.parent(); ok {
		parent = e.curve(key)
	}
	for r := range hazards {
		prior := priorHazard
		if parent != nil {
			prior = parent.Hazard(r)
		}
		hazards[r] = (g.ends[r] + shrinkage*prior) / (g.reached[r] + shrinkage)
		hazards[r] = math.Min(hazards[r], 1)
	}
	g.updates = 0
	g.curve = survival.New(hazards)
	return g.curve
}

// forEach calls f for a group and all wider groups.
func (e *Estimator) forEach(k Key, f func(*group)) {
	for {
		f(e.group(k))
		parent, ok := k.parent()
		if !ok {
			return
		}
		k = parent
	}
}

func (e *Estimator) group(k Key) *group {
	g, ok := e.groups[k]
	if !ok {
		g = &group{}
		e.groups[k] = g
	}
	return g
}

// halve halves the counts once they reach the window.
func (g *group) halve() {
	if g.total < window {
		return
	}
	g.total /= 2
	for r := range g.ends {
		g.ends[r] /= 2
		g.reached[r] /= 2
	}
}
