package verdict

import (
	"math"
	"time"

	"petrelstep/canary/buckets"
)

const (
	// slowFactor is how many times the baseline's median makes an answer slow.
	slowFactor = 3
	// recentWindow is the time over which the baseline's median is taken.
	recentWindow = 10 * time.Second
	// checkpointInterval is the minimum interval of the baseline's checkpoints.
	checkpointInterval = 250 * time.Millisecond
	// minAnswers is the number of answers of the baseline that make a median.
	minAnswers = 20

	// defaultRate is the bad rate that is assumed of a route without baseline.
	defaultRate = 0.1
	// priorRate and priorAnswers are the prior of the baseline's rate, so that few good
	// answers do not make it zero; windowAnswers takes the place of the latter for the rate
	// of a window.
	priorRate, priorAnswers, windowAnswers = 0.04, 12, 4
	// margin is the number of standard deviations by which the rate is taken higher, or
	// in a window lower, than estimated.
	margin           = 1
	minRate, maxRate = 0.008, 0.9
)

// faultWindows are the times over which a fault that affects both releases shows in the
// baseline's rate.
var faultWindows = []time.Duration{time.Second, 3 * time.Second, recentWindow}

// limits are the positions on the scale of buckets above which an answer is slow;
// infinite where there is no baseline to compare with.
type limits struct{ first, pace float64 }

// checkpoint is the baseline's counts at a time.
type checkpoint struct {
	at    time.Time
	tally tally
}

// baseline holds the counts of the releases in service on one route.
type baseline struct {
	now     tally
	history []checkpoint // of the last recentWindow
}

// update applies the baseline's counts since the order.
func (b *baseline) update(now time.Time, t *tally) {
	b.now.raise(t)
	if n := len(b.history); n == 0 || now.Sub(b.history[n-1].at) >= checkpointInterval {
		b.history = append(b.history, checkpoint{now, b.now})
	}
	for len(b.history) > 1 && now.Sub(b.history[1].at) >= recentWindow {
		b.history = b.history[1:]
	}
}

// within returns what was counted in the time before now.
func (b *baseline) within(now time.Time, window time.Duration) tally {
	from := &tally{}
	for i := range b.history {
		if now.Sub(b.history[i].at) < window {
			break
		}
		from = &b.history[i].tally
	}
	return b.now.since(from)
}

// reference is what the candidate's answers are compared with.
type reference struct {
	limits limits
	rates  [kinds]float64
}

// reference returns the baseline's rates of bad answers and the limits of slow ones.
func (b *baseline) reference(now time.Time) reference {
	recent := b.within(now, recentWindow)
	var r reference
	r.limits.first = slowLimit(&recent.first, &b.now.first)
	r.limits.pace = slowLimit(&recent.pace, &b.now.pace)
	for k := range kinds {
		all := b.now.results(k, r.limits)
		if all.total() == 0 {
			r.rates[k] = defaultRate
			continue
		}
		r.rates[k] = bounded(all.bad, all.total(), priorAnswers, margin)
	}
	for _, window := range faultWindows {
		t := b.within(now, window)
		for k := range kinds {
			all := t.results(k, r.limits)
			if total := max(all.total(), all.bad); total > 0 {
				r.rates[k] = max(r.rates[k], bounded(all.bad, total, windowAnswers, -margin))
			}
		}
	}
	for k := range kinds {
		r.rates[k] = min(max(r.rates[k], minRate), maxRate)
	}
	return r
}

// slowLimit returns the position above which an answer is slow, by recent answers if
// there are enough.
func slowLimit(recent, all *histogram) float64 {
	h := recent
	if h.total() < minAnswers {
		h = all
	}
	if h.total() < minAnswers {
		return math.Inf(1)
	}
	return h.median() + buckets.Width(slowFactor)
}

// bounded returns the estimated rate plus a number of standard deviations.
func bounded(bad, total int, prior, deviations float64) float64 {
	n := float64(total) + prior
	rate := (float64(bad) + priorRate*prior) / n
	return rate + deviations*math.Sqrt(rate*(1-rate)/n)
}
