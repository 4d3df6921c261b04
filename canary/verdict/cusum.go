package verdict

import (
	"math"
	"slices"
)

const (
	// threshold is the log likelihood ratio that condemns a candidate. It grows with the
	// logarithm of the number of answers, in units of thresholdAnswers, as each of them may
	// be the one at which a good candidate exceeds it by chance.
	threshold        = 6.8
	thresholdAnswers = 200
	// minOthers is the number of other upstreams that have to be in use for the worst one
	// to be left out.
	minOthers = 2
	// maxLeftOutPart is the part of the answers up to which the worst upstream is left out. One
	// with more, and more than maxLeftOut in all, is the one that the trial loads: what it shows
	// tells of the release, in the cutover too, in which the others are loaded as well.
	maxLeftOutPart = 0.4
	maxLeftOut     = 6
)

// shifts are the bad rates that are tested for, each as a part of the answers that would
// else be good. Each has a chart of its own, as one tuned to a small part is slow to
// find a large one and the reverse.
var shifts = [charts]float64{0.12, 0.35, 0.8}

const (
	charts      = 3
	middleChart = 1
)

// scores holds the CUSUM of each chart.
type scores [charts]float64

// add applies log likelihood ratios. A chart restarts at zero where the answers
// favour the baseline's rate. Those of good answers that are taken off again have lowered a chart
// only if it is above zero.
func (s *scores) add(ratios, takenOff *scores) {
	for i, ratio := range ratios {
		if s[i] > 0 {
			ratio -= takenOff[i]
		}
		s[i] = max(s[i]+ratio, 0)
	}
}

// ratios returns the log likelihood ratios of answers for each chart.
func ratios(bad, good int, rate float64) scores {
	var s scores
	for i, shift := range shifts {
		shifted := rate + shift*(1-rate)
		s[i] = float64(bad)*math.Log(shifted/rate) + float64(good)*math.Log((1-shifted)/(1-rate))
	}
	return s
}

// cusum tests answers for one kind of badness.
type cusum struct {
	all     scores
	without []scores // as if one upstream had not answered, by its index
	own     []scores // as if no other one had answered
	totals  []answers
}

// answers are the results of one upstream.
type answers struct {
	total, bad int
	excess     float64 // bad answers beyond the baseline's rate
	variance   float64 // of excess at the baseline's rate
	loaded     bool    // it gave most answers of the trial
}

// add applies answers of one upstream, of which only some bad ones are tested. Of those that were
// cut as many good answers are taken off as bad ones are tested.
func (c *cusum) add(upstream int, answered results, tested int, rate float64) {
	for len(c.without) <= upstream {
		c.without = append(c.without, c.all)
		c.own = append(c.own, scores{})
		c.totals = append(c.totals, answers{})
	}
	t := &c.totals[upstream]
	n := float64(answered.total())
	t.total, t.bad = t.total+answered.total(), t.bad+answered.bad
	t.excess += float64(answered.bad) - n*rate
	t.variance += n * rate * (1 - rate)
	cut := min(answered.cut, tested)
	now := min(cut, answered.good)
	ratio, takenOff := ratios(tested, answered.good-now, rate), ratios(0, cut-now, rate)
	c.all.add(&ratio, &takenOff)
	c.own[upstream].add(&ratio, &takenOff)
	for i := range c.without {
		if i != upstream {
			c.without[i].add(&ratio, &takenOff)
		}
	}
}

// score returns the highest chart, without the upstream that adds most to it if asked, as
// a part of what condemns.
func (c *cusum) score(leaveOut bool) float64 {
	lowest := c.all
	if leaveOut {
		all := c.sum(false).total
		for upstream, s := range c.without {
			if !c.totals[upstream].isMinor(all) {
				continue
			}
			for i := range lowest {
				lowest[i] = min(lowest[i], s[i])
			}
		}
	}
	highest := slices.Max(lowest[:])
	for i, t := range c.totals {
		if t.loaded { // the good answers of the others, which have run little, tell less
			highest = max(highest, slices.Max(c.own[i][:]))
		}
	}
	answered := float64(c.sum(false).total)
	return highest / (threshold + math.Log1p(answered/thresholdAnswers))
}

// sum returns the results of all upstreams, without the worst one if asked.
func (c *cusum) sum(leaveOut bool) answers {
	var all, worst answers
	for _, t := range c.totals {
		all = all.plus(t)
	}
	for _, t := range c.totals {
		if t.isMinor(all.total) && t.excess > worst.excess {
			worst = t
		}
	}
	if leaveOut {
		return answers{total: all.total - worst.total, bad: all.bad - worst.bad, excess: all.excess - worst.excess, variance: all.variance - worst.variance}
	}
	return all
}

// isMinor reports whether an upstream gave so few of all answers that it may be left out.
func (a answers) isMinor(all int) bool {
	return !a.loaded && float64(a.total) <= max(maxLeftOut, maxLeftOutPart*float64(all))
}

// endTrial records which upstreams the trial has loaded.
func (c *cusum) endTrial() {
	all := c.sum(false).total
	for i := range c.totals {
		c.totals[i].loaded = !c.totals[i].isMinor(all)
	}
}

func (a answers) plus(b answers) answers {
	return answers{total: a.total + b.total, bad: a.bad + b.bad, excess: a.excess + b.excess, variance: a.variance + b.variance}
}
