package outputlen_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"petrelstep/outputlen"
	"petrelstep/standin/heapsize"
)

var key = outputlen.Key{Organisation: "o", Model: "m", Class: "draft"}

// train records n generations of log-normal length, cut off at a length.
func train(e *outputlen.Estimator, k outputlen.Key, n int, median float64, cut int) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range n {
		tokens := int(median * math.Exp(rng.NormFloat64()))
		if tokens > cut {
			e.Progress(k, 0, cut)
			e.End(k, cut, true)
			continue
		}
		e.Progress(k, 0, tokens)
		e.End(k, tokens, false)
	}
}

// TestSurvival compares the estimated chance to exceed a length with the true one, also
// where most generations were cut off.
func TestSurvival(t *testing.T) {
	tests := map[string]struct {
		n, cut, at      int
		want, tolerance float64
	}{
		"median":             {n: 300, cut: 1 << 20, at: 1000, want: 0.5, tolerance: 0.08},
		"tail":               {n: 300, cut: 1 << 20, at: 4000, want: 0.083, tolerance: 0.04},
		"below the cut-off":  {n: 600, cut: 1000, at: 900, want: 0.54, tolerance: 0.08},
		"beyond the cut-off": {n: 600, cut: 1000, at: 2000, want: 0.24, tolerance: 0.2},
		"few generations":    {n: 3, cut: 1 << 20, at: 1000, want: 0.5, tolerance: 0.4},
		"no generations":     {n: 0, cut: 1, at: 8, want: 0.6, tolerance: 0.4},
		"twice the median":   {n: 1000, cut: 1 << 20, at: 2000, want: 0.24, tolerance: 0.08},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := outputlen.New()
			train(e, key, tt.n, 1000, tt.cut)
			got := e.Curve(key).Survival(tt.at)
			is.True(math.Abs(got-tt.want) <= tt.tolerance)
		})
	}
}

// TestShift checks that the estimate follows a shift of lengths.
func TestShift(t *testing.T) {
	is := is.New(t)
	e := outputlen.New()
	train(e, key, 400, 1000, 1<<20)
	before := e.Curve(key).Mean()
	train(e, key, 800, 3000, 1<<20)
	is.True(e.Curve(key).Mean() > 2*before)
}

// TestNewOrganisation checks that a new organisation starts from the estimate of its
// class and model.
func TestNewOrganisation(t *testing.T) {
	is := is.New(t)
	e := outputlen.New()
	train(e, key, 300, 1000, 1<<20)
	unseen := e.Curve(outputlen.Key{Organisation: "new", Model: "m", Class: "draft"})
	is.True(math.Abs(unseen.Mean()-e.Curve(key).Mean()) < 200)
}

func BenchmarkEnd(b *testing.B) {
	for _, groups := range []int{10, 100, 4420} { // 260 organisations on 17 models
		b.Run(fmt.Sprint(groups, " groups"), func(b *testing.B) {
			e := outputlen.New()
			keys := make([]outputlen.Key, groups)
			for i := range keys {
				keys[i] = outputlen.Key{Organisation: fmt.Sprint("o", i%260), Model: fmt.Sprint("m", i/260), Class: "draft"}
				e.End(keys[i], 500, false)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				k := keys[i%groups]
				e.Progress(k, 0, 900)
				e.End(k, 900, false)
				e.Curve(k)
				i++
			}
		})
	}
}

// BenchmarkMemory measures the memory of the estimator by the number of groups.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{100, 1000, 4420} {
		b.Run(fmt.Sprint(n, " groups"), func(b *testing.B) {
			before := heapsize.Used()
			e := outputlen.New()
			for i := range n {
				k := outputlen.Key{Organisation: fmt.Sprint("o", i%260), Model: fmt.Sprint("m", i/260), Class: "draft"}
				e.End(k, 500, false)
				e.Curve(k)
			}
			used := float64(heapsize.Used() - before)
			runtime.KeepAlive(e)
			for b.Loop() {
			}
			b.ReportMetric(used, "heap-bytes")
		})
	}
}

// TestRemaining checks that lengths are assumed to be uniform up to the limit until
// generations of the class have ended.
func TestRemaining(t *testing.T) {
	is := is.New(t)
	e := outputlen.New()
	k := outputlen.Key{Organisation: "o", Model: "m", Class: "draft"}
	is.Equal(e.Remaining(k, 0, 2000), 1000)
	is.Equal(e.Remaining(k, 500, 2000), 750)
	is.Equal(e.ChanceWithin(k, 500, 2000), 0.25)
	for range 200 {
		for _, tokens := range []int{300, 1200} {
			e.Progress(k, 0, tokens)
			e.End(k, tokens, false)
		}
	}
	near := func(got, want, tolerance float64) bool { return got > want-tolerance && got < want+tolerance }
	is.True(near(float64(e.Remaining(k, 0, 2000)), 750, 150))
	is.True(near(float64(e.Remaining(k, 500, 2000)), 700, 150)) // the short ones have ended
	is.True(e.Remaining(k, 1990, 2000) <= 10)
	is.True(near(e.ChanceWithin(k, 600, 2000), 0.5, 0.1))
	is.Equal(e.ChanceWithin(k, 2000, 2000), 1.0)
	is.True(e.Remaining(k, 0, 0) > 0) // without a limit
}
