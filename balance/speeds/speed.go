package speeds

import (
	"math"
	"time"
)

const (
	// leastDoubt is the deviation of a forecast, as a logarithm, whatever was seen:
	// loads differ.
	leastDoubt = 0.15
	// doubt is what one observation leaves open: a prompt may have
	// waited for one that nobody had told of yet.
	doubt = 0.2
	// other is what a forecast from another kind of time counts for.
	other = 0.7
	// clearly is the chance from which on an engine is said to break a pause.
	clearly = 0.5
)

// Class is how an engine keeps a route's longest pause.
type Class string

// The classes of an engine.
const (
	Unknown    Class = "unknown"
	Concurrent Class = "beside" // also while a prompt is read beside
	Alone      Class = "alone"  // only while none is
	Never      Class = "never"
)

// Classes lists all classes.
func Classes() []Class { return []Class{Unknown, Concurrent, Alone, Never} }

// forecast is a time that is expected, as a logarithm of seconds.
type forecast struct{ log, weight float64 }

// and joins two forecasts by their weights.
func (f forecast) and(o forecast) forecast {
	weight := f.weight + o.weight
	if weight == 0 {
		return forecast{}
	}
	return forecast{(f.log*f.weight + o.log*o.weight) / weight, weight}
}

// breaks is the chance that a stream of such events has a pause longer than gap, where
// its longest is so much above, as a logarithm.
func (f forecast) breaks(gap time.Duration, margin float64) float64 {
	over := f.log + margin - math.Log(gap.Seconds())
	dev := math.Sqrt(leastDoubt*leastDoubt + doubt*doubt/f.weight)
	return 1 / (1 + math.Exp(-over/dev*math.Pi/math.Sqrt(3))) // logistic of that deviation
}

func (f forecast) time() time.Duration {
	if f.weight == 0 {
		return 0
	}
	return time.Duration(math.Exp(f.log) * float64(time.Second))
}

// Speed is what is believed of an engine. Values are immutable.
type Speed struct {
	alone, beside, read forecast
	margin              float64   // by which the longest event of a stream is above, as a logarithm
	seen                time.Time // for the last time
}

// Alone returns the usual time between events; 0 where it is not known, as of all.
func (s Speed) Alone() time.Duration { return s.alone.time() }

// Concurrent returns it while a prompt is read beside.
func (s Speed) Concurrent() time.Duration { return s.beside.time() }

// Prefill returns the time to read a token of a prompt.
func (s Speed) Prefill() time.Duration { return s.read.time() }

// Seen returns when anything was last seen of it.
func (s Speed) Seen() time.Time { return s.seen }

// known tells whether anything is.
func (s Speed) known() bool { return s.beside.weight > 0 }

// Class returns how it keeps a pause.
func (s Speed) Class(gap time.Duration) Class {
	risk := s.risk(gap)
	switch {
	case !s.known():
		return Unknown
	case risk.alone >= clearly:
		return Never
	case risk.beside >= clearly:
		return Alone
	}
	return Concurrent
}

// risk is the chance that an engine breaks a pause, and how many times as long as usual
// it takes to read a prompt.
type risk struct{ alone, beside, reading float64 }

func (s Speed) risk(gap time.Duration) risk {
	r := risk{}
	if s.alone.weight > 0 {
		r.alone = s.alone.breaks(gap, s.margin)
	}
	if s.beside.weight > 0 {
		r.beside = max(s.beside.breaks(gap, s.margin), r.alone)
	}
	return r
}
