package steptime_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/steptime"
)

// TestStep fits a linear relation with noise and checks predictions inside and outside
// the observed range.
func TestStep(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	expected := func(batch, used int) float64 { return 12 + 0.1*float64(batch) + 0.1*float64(used)/1000 }
	m := steptime.New()
	is.Equal(m.Step(10, 10_000), time.Duration(0)) // no reports
	for range 300 {
		batch, used := 1+rng.IntN(40), rng.IntN(60_000)
		ms := expected(batch, used) + rng.NormFloat64()
		m.Observe(batch, used, time.Duration(ms*float64(time.Millisecond)))
	}
	for _, c := range []struct{ batch, used int }{{10, 20_000}, {40, 60_000}, {80, 60_000}} {
		got := m.Step(c.batch, c.used).Seconds() * 1000
		is.True(got > 0.9*expected(c.batch, c.used) && got < 1.1*expected(c.batch, c.used))
	}
}

func BenchmarkStep(b *testing.B) {
	m := steptime.New()
	for i := range 20 {
		m.Observe(i+1, i*1000, 20*time.Millisecond)
	}
	for b.Loop() {
		m.Observe(10, 20_000, 20*time.Millisecond)
		m.Step(10, 20_000)
	}
}
