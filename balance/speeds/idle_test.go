package speeds

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/fleet"
	"petrelstep/logs"
	"petrelstep/wire"
)

// idleFleet returns a fleet with many engines of which boxes have observed a few.
func idleFleet(engines, observed int) (s *Speeds, now time.Time) {
	now = time.Now()
	f := fleet.New(time.Second)
	for i := range engines {
		f.Put(now, engine(fmt.Sprint("e", i)))
	}
	s = New(f, noCounter{}, logs.New(io.Discard, "info", "b"))
	var rows []wire.UpstreamSpeed
	for i := range observed {
		rows = append(rows, wire.UpstreamSpeed{Upstream: fmt.Sprint("e", 3*i), Alone: 4, AloneLog: 13})
	}
	s.UpdateSum(now, rows)
	return s, now
}

// TestIdleFleet checks that a box keeps estimates only of the engines that have been
// observed, as it refreshes them once per second.
func TestIdleFleet(t *testing.T) {
	tests := map[string]struct{ engines, observed int }{
		"none observed":              {engines: 100},
		"some observed":              {engines: 100, observed: 20},
		"some of thousands observed": {engines: 10000, observed: 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, now := idleFleet(tt.engines, tt.observed)
			s.Refresh(now, "llm")
			is.Equal(len(s.estimates), tt.observed)
			is.Equal(len(s.views["llm"].keys), tt.observed)
		})
	}
}

// BenchmarkRefresh measures what each box does once per second, by the number of
// engines, 300 of which have been observed.
func BenchmarkRefresh(b *testing.B) {
	for _, engines := range []int{1000, 3000, 10000, 20000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			s, now := idleFleet(engines, 300)
			s.Refresh(now, "llm")
			for b.Loop() {
				now = now.Add(viewInterval)
				s.UpdateSum(now, nil)
				s.Refresh(now, "llm")
			}
		})
	}
}
