package home

import (
	"math"
	"time"
)

// spare is the feedback on the spare memory: up at once on a preemption,
// slowly down while memory lies idle and requests wait.
type spare struct {
	base, now float64
	adaptive  bool
	at        time.Time
}

const (
	spareUp       = 0.06 // deviations for each preemption
	spareDown     = 0.02 // deviations a second
	spareSettle   = 0.005
	spareMostOver = 1.0  // above the declared
	spareMostLow  = 0.25 // below the declared
)

func newSpare(base float64, adaptive bool) spare {
	return spare{base: base, now: base, adaptive: adaptive}
}

func (s *spare) preempted(now time.Time, n int) {
	if !s.adaptive || n <= 0 {
		return
	}
	s.now = math.Min(s.now+spareUp*float64(n), s.base+spareMostOver)
	s.at = now
}

// idle is told at each round of grants whether memory lies idle while
// requests wait.
func (s *spare) idle(now time.Time, roomy bool) {
	if !s.adaptive {
		return
	}
	passed := math.Min(now.Sub(s.at).Seconds(), 1)
	s.at = now
	low := math.Max(s.base-spareMostLow, 0)
	switch {
	case roomy:
		s.now = math.Max(s.now-spareDown*passed, low)
	case s.now > s.base:
		s.now = math.Max(s.now-spareSettle*passed, s.base)
	}
}

// drainRate follows how fast the queue's cost is granted, to predict waits.
type drainRate struct {
	rate float64 // token-seconds a second
	at   time.Time
}

// drainSpan is the span over which the rate is averaged.
const drainSpan = 20 * time.Second

func (d *drainRate) granted(now time.Time, cost float64) {
	if d.at.IsZero() {
		d.at = now
		d.rate = cost / drainSpan.Seconds()
		return
	}
	passed := now.Sub(d.at).Seconds() / drainSpan.Seconds()
	d.rate = d.rate*math.Exp(-passed) + cost/drainSpan.Seconds()
	d.at = now
}

// wait predicts how long so much cost takes to be granted; zero while nothing
// is known.
func (d *drainRate) wait(cost float64) time.Duration {
	if d.rate <= 0 {
		return 0
	}
	return time.Duration(cost / d.rate * float64(time.Second))
}
