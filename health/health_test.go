package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/health"
)

var start = time.Unix(1_700_000_000, 0)

const least = 3 * time.Second

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// TestMay tells whether an upstream may get new work after what was seen of it.
func TestMay(t *testing.T) {
	step := 20 * time.Millisecond
	tests := map[string]struct {
		does func(h *health.Health)
		at   float64
		may  bool
	}{
		"never heard of":         {func(*health.Health) {}, 0, true},
		"heard":                  {func(h *health.Health) { h.MarkSeen(at(0), "u", 1, step, least) }, 1, true},
		"silent":                 {func(h *health.Health) { h.MarkSeen(at(0), "u", 1, step, least) }, 4, false},
		"silent, by a slow pace": {func(h *health.Health) { h.MarkSeen(at(0), "u", 1, 200*time.Millisecond, least) }, 4, true},
		"back, on probation": {func(h *health.Health) {
			h.MarkSeen(at(0), "u", 1, step, least)
			h.MarkSeen(at(9), "u", 1, step, least)
			h.RecordDispatch(at(9), "u")
		}, 9.1, false},
		"back, the next of a trickle": {func(h *health.Health) {
			h.MarkSeen(at(0), "u", 1, step, least)
			h.MarkSeen(at(9), "u", 1, step, least)
			h.RecordDispatch(at(9), "u")
		}, 9.6, true},
		"failed once":        {func(h *health.Health) { h.RecordFailure("u") }, 0, true},
		"failed three times": {func(h *health.Health) { h.RecordFailure("u"); h.RecordFailure("u"); h.RecordFailure("u") }, 0, false},
		"failed, then worked": {func(h *health.Health) {
			h.RecordFailure("u")
			h.RecordFailure("u")
			h.RecordSuccess(at(0), "u")
			h.RecordFailure("u")
		}, 0, true},
		"leaving":                     {func(h *health.Health) { h.MarkSeen(at(0), "u", 1, step, least); h.MarkLeaving("u", 1) }, 1, false},
		"leaving, still heard":        {func(h *health.Health) { h.MarkLeaving("u", 1); h.MarkSeen(at(0), "u", 1, step, least) }, 1, false},
		"leaving, old report":         {func(h *health.Health) { h.MarkLeaving("u", 2); h.MarkSeen(at(0), "u", 1, step, least) }, 1, false},
		"leaving, started anew":       {func(h *health.Health) { h.MarkLeaving("u", 1); h.MarkSeen(at(0), "u", 2, step, least) }, 1, true},
		"late word of an old leaving": {func(h *health.Health) { h.MarkSeen(at(0), "u", 2, step, least); h.MarkLeaving("u", 1) }, 1, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := health.New()
			tt.does(h)
			is.Equal(h.Eligible(at(tt.at), "u"), tt.may)
		})
	}
}

// TestMayAtNeed takes an upstream on probation where there is no other, but
// never one that leaves or is silent.
func TestMayAtNeed(t *testing.T) {
	is := is.New(t)
	h := health.New()
	h.MarkSeen(at(0), "u", 1, 0, least)
	h.MarkSeen(at(9), "u", 1, 0, least)
	h.RecordDispatch(at(9), "u")
	is.True(!h.Eligible(at(9.1), "u"))
	is.True(h.EligibleAsFallback(at(9.1), "u"))
	is.True(!h.EligibleAsFallback(at(20), "u"))
	h.MarkLeaving("u", 1)
	is.True(!h.EligibleAsFallback(at(9.1), "u"))
}

func BenchmarkMay(b *testing.B) {
	h := health.New()
	h.MarkSeen(start, "u", 1, time.Millisecond, least)
	b.ReportAllocs()
	for b.Loop() {
		h.Eligible(start, "u")
	}
}
