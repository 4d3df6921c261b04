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

// manyIdle is a fleet of many engines of which boxes have met a few.
func manyIdle(engines, met int) (s *Speeds, now time.Time) {
	now = time.Now()
	f := fleet.New(time.Second)
	for i := range engines {
		f.Put(now, engine(fmt.Sprint("e", i)))
	}
	s = New(f, noCount{}, logs.New(io.Discard, "info", "b"))
	var told []wire.UpstreamSpeed
	for i := range met {
		told = append(told, wire.UpstreamSpeed{Upstream: fmt.Sprint("e", 3*i), Alone: 4, AloneLog: 13})
	}
	s.UpdateSum(now, told)
	return s, now
}

// TestMostAreIdle holds what a box keeps of how fast engines are to those that boxes have
// met: each renews it once a second.
func TestMostAreIdle(t *testing.T) {
	tests := map[string]struct{ engines, met int }{
		"none was met":      {engines: 100},
		"some":              {engines: 100, met: 20},
		"some of thousands": {engines: 10000, met: 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, now := manyIdle(tt.engines, tt.met)
			s.Refresh(now, "llm")
			is.Equal(len(s.beliefs), tt.met)
			is.Equal(len(s.views["llm"].keys), tt.met)
		})
	}
}

// BenchmarkRenew is what each box does once a second, by engines of which 300 were met.
func BenchmarkRenew(b *testing.B) {
	for _, engines := range []int{1000, 3000, 10000, 20000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			s, now := manyIdle(engines, 300)
			s.Refresh(now, "llm")
			for b.Loop() {
				now = now.Add(viewEvery)
				s.UpdateSum(now, nil)
				s.Refresh(now, "llm")
			}
		})
	}
}
