package speeds

import (
	"math"
	"slices"
	"time"

	"petrelstep/fleet"
)

const (
	// window is the number of gaps between events in one observation. Boxes learn of
	// each other's prefills up to half a second late; a window lasts as long at most
	// engines, so that it includes the slower events.
	window = 24
	// minWindow is the minimum number of gaps in the last window of a stream; the
	// streams of short answers have no more.
	minWindow = 2
	// fullWindow is the number of gaps from which a window has full weight.
	fullWindow = 8
	// lowDivisor selects the gap below which 1/lowDivisor of a window's gaps lie; these
	// are presumed free of concurrent prefills. The smallest gap can't be used: events
	// come together after a packet loss.
	lowDivisor = 5
	// minContrast is the minimum ratio of a gap during a prefill to one without: a
	// prefill that has ended slows nothing.
	minContrast = 1.5
)

// Stream measures the gaps between the events of one stream at one upstream. It is not
// safe for concurrent use. A nil *Stream does nothing.
type Stream struct {
	speeds     *Speeds
	upstream   fleet.Upstream
	last       time.Time
	gaps       []time.Duration
	concurrent bool // the engine prefilled during the window

	windows int           // with a concurrent prefill
	logs    float64       // sum of the logarithms of their longest gaps
	longest time.Duration // longest gap of these windows
}

// Event records an event, and whether the engine is known to prefill at the time.
func (s *Stream) Event(now time.Time, prefilling bool) {
	if s == nil {
		return
	}
	if !s.last.IsZero() {
		s.gaps = append(s.gaps, max(now.Sub(s.last), time.Millisecond))
		s.concurrent = s.concurrent || prefilling
	}
	s.last = now
	if len(s.gaps) == window {
		s.observe(now)
	}
}

// End records that the stream has ended.
func (s *Stream) End(now time.Time) {
	if s == nil {
		return
	}
	if len(s.gaps) >= minWindow {
		s.observe(now)
	}
	if s.windows >= minSpreadWindows {
		s.speeds.recordSpread(s.upstream.Service, math.Log(s.longest.Seconds())-s.logs/float64(s.windows))
	}
	s.windows, s.logs, s.longest = 0, 0, 0
}

// observe adds the window as an observation: the gap at its lowest fifth, as busy
// engines prefill most of the time, and with a concurrent prefill the longest one, by
// which clients judge streams.
func (s *Stream) observe(now time.Time) {
	slices.Sort(s.gaps)
	n := len(s.gaps)
	o := observation{alone: s.gaps[n/lowDivisor], weight: min(float64(n)/fullWindow, 1)}
	if s.concurrent && n >= fullWindow {
		o.concurrent = s.gaps[n-1]
		s.windows++
		s.logs += math.Log(o.concurrent.Seconds())
		s.longest = max(s.longest, o.concurrent)
	}
	s.speeds.recordWindow(now, s.upstream, o)
	s.gaps, s.concurrent = s.gaps[:0], false
}

// observation is the result of a window.
type observation struct {
	alone      time.Duration
	concurrent time.Duration // 0 without a concurrent prefill
	weight     float64
}
