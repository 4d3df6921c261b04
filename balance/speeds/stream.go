package speeds

import (
	"math"
	"slices"
	"time"

	"petrelstep/fleet"
)

const (
	// window is how many times between events make one observation. Boxes hear up to
	// half a second late of the prompts that others send; a window is as long at most
	// engines, so that it holds the events that were slower for it.
	window = 24
	// leastWindow is how many do so at the end of a stream, for what they are worth:
	// the streams of short answers have no more.
	leastWindow = 2
	// wholeWindow is from how many on the middle one is as good as that of a window.
	wholeWindow = 8
	// lowPart is which part of a window is taken to have had no prompt beside. The least
	// of all would be that of events that came together after a packet was lost.
	lowPart = 5
	// contrast is how many times as long an event takes beside a prompt, at
	// least: one that has been read already makes nothing slower.
	contrast = 1.5
)

// Stream follows the events of one stream at one upstream. It is for one goroutine.
// The nil stream follows nothing.
type Stream struct {
	speeds   *Speeds
	upstream fleet.Upstream
	last     time.Time
	gaps     []time.Duration
	beside   bool // a prompt was read there meanwhile

	windows int           // in which one was
	logs    float64       // of their longest events, summed
	longest time.Duration // of these
}

// Event notes an event, and whether a prompt is being read beside as far as is known.
func (s *Stream) Event(now time.Time, reading bool) {
	if s == nil {
		return
	}
	if !s.last.IsZero() {
		s.gaps = append(s.gaps, max(now.Sub(s.last), time.Millisecond))
		s.beside = s.beside || reading
	}
	s.last = now
	if len(s.gaps) == window {
		s.observe(now)
	}
}

// End notes that no more events come from there.
func (s *Stream) End(now time.Time) {
	if s == nil {
		return
	}
	if len(s.gaps) >= leastWindow {
		s.observe(now)
	}
	if s.windows >= spreadWindows {
		s.speeds.spreads(s.upstream.Service, math.Log(s.longest.Seconds())-s.logs/float64(s.windows))
	}
	s.windows, s.logs, s.longest = 0, 0, 0
}

// observe turns the window into an observation: the end of its lowest fifth, as busy
// engines read for the most of the time, and, where one did, its longest: callers judge streams by it, and
// the mean of many is not moved by a packet that was lost.
func (s *Stream) observe(now time.Time) {
	slices.Sort(s.gaps)
	n := len(s.gaps)
	o := observation{alone: s.gaps[n/lowPart], weight: min(float64(n)/wholeWindow, 1)}
	if s.beside && n >= wholeWindow {
		o.beside = s.gaps[n-1]
		s.windows++
		s.logs += math.Log(o.beside.Seconds())
		s.longest = max(s.longest, o.beside)
	}
	s.speeds.streamed(now, s.upstream, o)
	s.gaps, s.beside = s.gaps[:0], false
}

// observation is what a window of a stream shows.
type observation struct {
	alone  time.Duration
	beside time.Duration // 0 if no prompt was read
	weight float64
}
