package speeds

import (
	"slices"
	"time"

	"petrelstep/fleet"
)

const (
	// window is how many times between events make one observation: half a second's
	// at most engines.
	window = 8
	// leastWindow is how many do so at the end of a stream, for what they are worth:
	// the streams of short answers have no more.
	leastWindow = 2
	// contrast is how many times the usual one an event takes beside a prompt, at
	// least: boxes hear late of the prompts that others send, and one that has been
	// read already makes nothing slower.
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
}

// Event notes an event, and whether a prompt is being read beside as far as is known.
func (s *Stream) Event(now time.Time, reading bool) {
	if s == nil {
		return
	}
	if !s.last.IsZero() {
		s.gaps = append(s.gaps, now.Sub(s.last))
		s.beside = s.beside || reading
	}
	s.last = now
	if len(s.gaps) == window {
		s.observe(now)
	}
}

// End notes that no more events come from there.
func (s *Stream) End(now time.Time) {
	if s != nil && len(s.gaps) >= leastWindow {
		s.observe(now)
	}
}

// observe turns the window into an observation: its middle time alone, beside a
// prompt the second longest, as that may be read for a part of the window only and
// one lost packet is no verdict.
func (s *Stream) observe(now time.Time) {
	slices.Sort(s.gaps)
	at := len(s.gaps) / 2
	if s.beside {
		at = len(s.gaps) - 2
	}
	s.speeds.streamed(now, s.upstream, max(s.gaps[at], time.Millisecond), float64(len(s.gaps))/window, s.beside)
	s.gaps, s.beside = s.gaps[:0], false
}
