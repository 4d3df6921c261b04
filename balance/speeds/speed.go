package speeds

import (
	"math"
	"time"
)

const (
	// minDeviation is the deviation of a forecast, as a logarithm, with any number of
	// observations: loads differ.
	minDeviation = 0.15
	// sampleDeviation is the deviation of a single observation: a prefill may have
	// waited for another that was not reported yet.
	sampleDeviation = 0.2
	// crossWeight is the weight of a forecast derived from another kind of time.
	crossWeight = 0.7
	// classThreshold is the chance from which an engine is classed as exceeding a gap.
	classThreshold = 0.5
)

// Class is when an engine keeps the maximum gap of a route.
type Class string

// The classes of an engine.
const (
	Unknown    Class = "unknown"
	Concurrent Class = "beside" // also during a concurrent prefill
	Alone      Class = "alone"  // only without a concurrent prefill
	Never      Class = "never"
)

// Classes returns all classes.
func Classes() []Class { return []Class{Unknown, Concurrent, Alone, Never} }

// forecast is an expected time as a logarithm of seconds, with its weight.
type forecast struct{ log, weight float64 }

// combine returns the weighted mean of two forecasts.
func (f forecast) combine(o forecast) forecast {
	weight := f.weight + o.weight
	if weight == 0 {
		return forecast{}
	}
	return forecast{(f.log*f.weight + o.log*o.weight) / weight, weight}
}

// exceedChance returns the chance that a stream has a gap longer than gap, if its
// longest exceeds the forecast by margin, as a logarithm.
func (f forecast) exceedChance(gap time.Duration, margin float64) float64 {
	over := f.log + margin - math.Log(gap.Seconds())
	dev := math.Sqrt(minDeviation*minDeviation + sampleDeviation*sampleDeviation/f.weight)
	return 1 / (1 + math.Exp(-over/dev*math.Pi/math.Sqrt(3))) // logistic distribution with that deviation
}

func (f forecast) time() time.Duration {
	if f.weight == 0 {
		return 0
	}
	return time.Duration(math.Exp(f.log) * float64(time.Second))
}

// Speed is the estimated speed of an engine. Values are immutable.
type Speed struct {
	alone, concurrent, prefill forecast
	margin                     float64   // by which the longest gap of a stream exceeds the forecast, as a logarithm
	lastSeen                   time.Time // when the engine was last observed
}

// Alone returns the usual time between events; 0 if unknown, as are the other times.
func (s Speed) Alone() time.Duration { return s.alone.time() }

// Concurrent returns the usual longest time between events during a prefill.
func (s Speed) Concurrent() time.Duration { return s.concurrent.time() }

// Prefill returns the time to prefill a token.
func (s Speed) Prefill() time.Duration { return s.prefill.time() }

// Seen returns when the engine was last observed.
func (s Speed) Seen() time.Time { return s.lastSeen }

// known reports whether there is an estimate.
func (s Speed) known() bool { return s.concurrent.weight > 0 }

// Class returns the class of the engine for a maximum gap.
func (s Speed) Class(gap time.Duration) Class {
	risk := s.risk(gap)
	switch {
	case !s.known():
		return Unknown
	case risk.alone >= classThreshold:
		return Never
	case risk.concurrent >= classThreshold:
		return Alone
	}
	return Concurrent
}

// risk is the chance that an engine exceeds a gap, without and with a concurrent
// prefill, and its prefill time relative to the service's engines.
type risk struct{ alone, concurrent, prefillRatio float64 }

func (s Speed) risk(gap time.Duration) risk {
	r := risk{}
	if s.alone.weight > 0 {
		r.alone = s.alone.exceedChance(gap, s.margin)
	}
	if s.concurrent.weight > 0 {
		r.concurrent = max(s.concurrent.exceedChance(gap, s.margin), r.alone)
	}
	return r
}
