// Package outputlen learns how long generations get. It keeps, for groups of
// like generations, the chance that one ends within each of a row of
// log-spaced ranges of length, given that it got that far (the hazard of
// Kaplan and Meier, 1958). Generations that still run, or were cut off, count
// as far as they got: leaving them out would make long answers look rare.
package outputlen

import (
	"math"
	"sync"

	"petrelstep/outputlen/survival"
)

const (
	// shrink is how many generations of its own weigh as much for a group as
	// the wider group's hazard.
	shrink = 6.0
	// window is how many ends a group remembers in full; beyond it the past
	// is halved, so that a shift of lengths is followed.
	window = 400.0
	// priorHazard is the chance to end within a range when nothing is known.
	priorHazard = 0.25
	// noLimit stands for the limit of a generation that has none, in tokens.
	noLimit = 1 << 14
	// refreshEnds is how many ends pass before a curve is worked out anew.
	refreshEnds = 4
)

// Key names a group of like generations.
type Key struct{ Organisation, Model, Class string }

func (k Key) wider() (Key, bool) {
	switch {
	case k.Organisation != "":
		return Key{Model: k.Model, Class: k.Class}, true
	case k.Model != "":
		return Key{Class: k.Class}, true
	}
	return Key{}, false
}

type group struct {
	ends    [survival.Ranges]float64
	reached [survival.Ranges]float64
	total   float64
	stale   int
	curve   *survival.Curve
}

// Estimator is the learned knowledge of one box. It is safe for use by several
// goroutines.
type Estimator struct {
	mu     sync.Mutex
	groups map[Key]*group
}

// New returns an estimator that knows nothing.
func New() *Estimator { return &Estimator{groups: map[Key]*group{}} }

// Progress tells that a generation grew from so many tokens to so many.
func (l *Estimator) Progress(k Key, from, to int) {
	first, last := survival.RangeOf(from), survival.RangeOf(to)
	if first == last {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.each(k, func(g *group) {
		for r := first; r < last; r++ {
			g.reached[r]++
		}
		g.stale++
	})
}

// End tells that a generation ended after so many tokens; Progress has told
// of the way up to there. A cut generation would have gone on.
func (l *Estimator) End(k Key, at int, cut bool) {
	r := survival.RangeOf(at)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.each(k, func(g *group) {
		g.stale++
		if cut {
			// It left part-way through the range: the actuarial half.
			g.reached[r] += 0.5
			return
		}
		g.reached[r]++
		g.ends[r]++
		g.total++
		g.forget()
	})
}

// Curve returns the survival curve of a group. It is not changed afterwards.
func (l *Estimator) Curve(k Key) *survival.Curve {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.curveOf(k)
}

// Remaining returns how many tokens a generation that has made so many is expected to
// make yet, up to its limit; 0 stands for none.
func (l *Estimator) Remaining(k Key, made, most int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if most <= 0 {
		most = made + noLimit
	}
	weight, unknown := l.believed(k), float64(max(most-made, 0))/2
	return max(int(weight*l.curveOf(k).RemainingUpTo(made, most)+(1-weight)*unknown), 1)
}

// ChanceWithin returns the chance that a generation of at most so many tokens has no
// more than some.
func (l *Estimator) ChanceWithin(k Key, tokens, most int) float64 {
	limit := most
	if limit <= 0 {
		limit = noLimit
	}
	if tokens >= limit {
		return 1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	weight, unknown := l.believed(k), float64(tokens)/float64(limit)
	return weight*(1-l.curveOf(k).Survival(tokens)) + (1-weight)*unknown
}

// believed is how far the curve of a kind counts. While few have ended, one is
// taken to end anywhere up to its limit.
func (l *Estimator) believed(k Key) float64 {
	ends := l.group(Key{Class: k.Class}).total
	return ends / (ends + shrink)
}

// Groups returns how many groups are known.
func (l *Estimator) Groups() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.groups)
}

func (l *Estimator) curveOf(k Key) *survival.Curve {
	g := l.group(k)
	if g.curve != nil && g.stale < refreshEnds {
		return g.curve
	}
	var hazards [survival.Ranges]float64
	var parent *survival.Curve
	if wide, ok := k.wider(); ok {
		parent = l.curveOf(wide)
	}
	for r := range hazards {
		prior := priorHazard
		if parent != nil {
			prior = parent.Hazard(r)
		}
		hazards[r] = (g.ends[r] + shrink*prior) / (g.reached[r] + shrink)
		hazards[r] = math.Min(hazards[r], 1)
	}
	g.stale = 0
	g.curve = survival.New(hazards)
	return g.curve
}

func (l *Estimator) each(k Key, f func(*group)) {
	for {
		f(l.group(k))
		wide, ok := k.wider()
		if !ok {
			return
		}
		k = wide
	}
}

func (l *Estimator) group(k Key) *group {
	g, ok := l.groups[k]
	if !ok {
		g = &group{}
		l.groups[k] = g
	}
	return g
}

func (g *group) forget() {
	if g.total < window {
		return
	}
	g.total /= 2
	for r := range g.ends {
		g.ends[r] /= 2
		g.reached[r] /= 2
	}
}
