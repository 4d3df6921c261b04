package upstreamload_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/upstreamload"
	"petrelstep/wire"
)

// TestEntryEndsOnce checks that repeated calls subtract an entry's load only once.
func TestEntryEndsOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := upstreamload.New()
	a := s.Begin("u", upstreamload.Load{Requests: 1, Tokens: 900, Prefill: 700})
	b := s.Begin("u", upstreamload.Load{Requests: 1, Tokens: 100, Prefill: 50})
	is.Equal(s.Load(now, "u"), upstreamload.Load{Requests: 2, Tokens: 1000, Prefill: 750})
	a.Started()
	a.Started()
	is.Equal(s.Load(now, "u"), upstreamload.Load{Requests: 2, Tokens: 1000, Prefill: 50})
	a.End()
	a.End()
	is.Equal(s.Load(now, "u"), upstreamload.Load{Requests: 1, Tokens: 100, Prefill: 50})
	is.True(s.Busy("u"))
	b.End()
	is.True(!s.Busy("u"))
	is.Equal(len(s.Own()), 0)
}

// TestReportsOfOthers checks how reports of boxes and of a hub add up.
func TestReportsOfOthers(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := upstreamload.New()
	s.Begin("u", upstreamload.Load{Requests: 1, Tokens: 10})
	s.Update(now, "b1", []wire.UpstreamTally{{Upstream: "u", Requests: 2, Tokens: 20}})
	s.Update(now, "b2", []wire.UpstreamTally{{Upstream: "u", Requests: 3, Tokens: 30, Prefill: 7}})
	is.Equal(s.Load(now, "u"), upstreamload.Load{Requests: 6, Tokens: 60, Prefill: 7})
	// A hub sends a box the load of all others, to which the box adds its own.
	is.Equal(s.Without(now, "b2"), []wire.UpstreamTally{{Upstream: "u", Requests: 3, Tokens: 30}})
	// Reports of silent boxes expire.
	later := now.Add(3500 * time.Millisecond)
	is.Equal(s.Load(later, "u"), upstreamload.Load{Requests: 1, Tokens: 10})
	// A hub's sum replaces the reports of the others.
	s.Update(later, "b1", []wire.UpstreamTally{{Upstream: "u", Requests: 2, Tokens: 20}})
	s.UpdateSum(later, []wire.UpstreamTally{{Upstream: "u", Requests: 4, Tokens: 40}})
	is.Equal(s.Load(later, "u"), upstreamload.Load{Requests: 5, Tokens: 50})
}

// TestReservations checks how long a reservation counts.
func TestReservations(t *testing.T) {
	load := upstreamload.Load{Requests: 1, Tokens: 900, Coming: 100, Prefill: 900}
	tests := map[string]struct {
		then func(s *upstreamload.Tracker, now time.Time)
		at   time.Duration
		want upstreamload.Load
	}{
		"at once":                  {want: load},
		"no report yet":            {at: 700 * time.Millisecond, want: load},
		"expired":                  {at: 900 * time.Millisecond},
		"its box reports":          {at: 300 * time.Millisecond, then: func(s *upstreamload.Tracker, now time.Time) { s.Update(now, "b1", nil) }},
		"its box reports too soon": {at: 50 * time.Millisecond, want: load, then: func(s *upstreamload.Tracker, now time.Time) { s.Update(now, "b1", nil) }},
		"another box reports":      {at: 300 * time.Millisecond, want: load, then: func(s *upstreamload.Tracker, now time.Time) { s.Update(now, "b2", nil) }},
		"released":                 {then: func(s *upstreamload.Tracker, _ time.Time) { s.Release("b1", "u") }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, now := upstreamload.New(), time.Now()
			s.Reserve(now, "b1", "u", load)
			if tt.then != nil {
				tt.then(s, now.Add(tt.at))
			}
			is.New(t).Equal(s.Load(now.Add(tt.at), "u"), tt.want)
		})
	}
}

// TestProgress checks that expected tokens become memory in use as they are generated.
func TestProgress(t *testing.T) {
	is := is.New(t)
	s := upstreamload.New()
	e := s.Begin("u", upstreamload.Load{Requests: 1, Tokens: 900, Coming: 100, Prefill: 900})
	e.Started()
	now := time.Now()
	e.Progress(now, 4, 80)
	is.Equal(s.Load(now, "u"), upstreamload.Load{Requests: 1, Tokens: 904, Coming: 80})
	e.Progress(now.Add(40*time.Millisecond), 4, 70) // the first interval between events
	is.Equal(s.Load(now, "u"), upstreamload.Load{Requests: 1, Tokens: 908, Coming: 70, Paced: 1, PaceUs: 40000})
	e.Progress(now.Add(160*time.Millisecond), 4, 60)
	is.Equal(s.Load(now, "u").Pace(), 50*time.Millisecond)
	is.Equal(s.Pace(), 50*time.Millisecond)
	e.End()
	is.Equal(s.Load(time.Now(), "u"), upstreamload.Load{})
}

// TestForget checks that the load of an upstream's previous incarnation no longer counts,
// and that the end of its entries doesn't reduce the load of the new one.
func TestForget(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := upstreamload.New()
	load := upstreamload.Load{Requests: 1, Tokens: 900, Prefill: 700}
	old := s.Begin("u", load)
	s.Reserve(now, "b1", "u", load)
	s.Update(now, "b1", []wire.UpstreamTally{{Upstream: "u", Requests: 2, Tokens: 20}, {Upstream: "v", Requests: 1}})
	s.Forget("u")
	is.Equal(s.Load(now, "u"), upstreamload.Load{})
	is.Equal(s.Load(now, "v"), upstreamload.Load{Requests: 1})
	fresh := s.Begin("u", load)
	old.Started()
	old.End()
	is.Equal(s.Load(now, "u"), load)
	fresh.End()
	is.Equal(len(s.Own()), 0)
	s.UpdateSum(now, []wire.UpstreamTally{{Upstream: "u", Requests: 2}, {Upstream: "v", Requests: 1}})
	s.Forget("u")
	is.Equal(s.Load(now, "u"), upstreamload.Load{})
	// Later reports count again.
	s.Update(now, "b1", []wire.UpstreamTally{{Upstream: "u", Requests: 3}})
	s.Update(now, "b1", nil)
	is.Equal(len(s.Without(now, "b2")), 0)
}
