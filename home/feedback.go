package home

import (
	"math"
	"time"
)

// margin adapts the memory safety margin: it rises at once on a preemption and
// falls slowly while memory is idle and requests wait.
type margin struct {
	base, now float64
	adaptive  bool
	at        time.Time
}

const (
	marginPerPreemption = 0.06  // deviations per preemption
	marginDecay         = 0.02  // deviations per second, while memory is underused
	marginReturn        = 0.005 // deviations per second, back to the configured margin
	maxMarginAbove      = 1.0   // deviations above the configured margin
	maxMarginBelow      = 0.25  // deviations below the configured margin
)

func newMargin(base float64, adaptive bool) margin {
	return margin{base: base, now: base, adaptive: adaptive}
}

func (m *margin) preempted(now time.Time, n int) {
	if !m.adaptive || n <= 0 {
		return
	}
	m.now = math.Min(m.now+marginPerPreemption*float64(n), m.base+maxMarginAbove)
	m.at = now
}

// adjust moves the margin after a round of grants; underused reports whether
// memory was idle while requests waited.
func (m *margin) adjust(now time.Time, underused bool) {
	if !m.adaptive {
		return
	}
	passed := math.Min(now.Sub(m.at).Seconds(), 1)
	m.at = now
	low := math.Max(m.base-maxMarginBelow, 0)
	switch {
	case underused:
		m.now = math.Max(m.now-marginDecay*passed, low)
	case m.now > m.base:
		m.now = math.Max(m.now-marginReturn*passed, m.base)
	}
}

// drainRate tracks the rate at which queued cost is granted, to predict waits.
type drainRate struct {
	rate float64 // token-seconds per second
	at   time.Time
}

// drainWindow is the time constant of the moving average.
const drainWindow = 20 * time.Second

func (d *drainRate) granted(now time.Time, cost float64) {
	if d.at.IsZero() {
		d.at = now
		d.rate = cost / drainWindow.Seconds()
		return
	}
	passed := now.Sub(d.at).Seconds() / drainWindow.Seconds()
	d.rate = d.rate*math.Exp(-passed) + cost/drainWindow.Seconds()
	d.at = now
}

// wait predicts the time to grant the given cost; 0 while the rate is unknown.
func (d *drainRate) wait(cost float64) time.Duration {
	if d.rate <= 0 {
		return 0
	}
	return time.Duration(cost / d.rate * float64(time.Second))
}
