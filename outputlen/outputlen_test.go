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

// learn draws lengths by the seed and tells the estimator; those longer than
// cut are cut off there.
func learn(l *outputlen.Estimator, k outputlen.Key, n int, median float64, cut int) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range n {
		tokens := int(median * math.Exp(rng.NormFloat64()))
		if tokens > cut {
			l.Progress(k, 0, cut)
			l.End(k, cut, true)
			continue
		}
		l.Progress(k, 0, tokens)
		l.End(k, tokens, false)
	}
}

// TestSurvival holds the learned chance to get beyond a length against the
// true one, also where most generations were cut off.
func TestSurvival(t *testing.T) {
	tests := map[string]struct {
		n, cut, at int
		want, near float64
	}{
		"median":              {n: 300, cut: 1 << 20, at: 1000, want: 0.5, near: 0.08},
		"tail":                {n: 300, cut: 1 << 20, at: 4000, want: 0.083, near: 0.04},
		"cut off at half":     {n: 600, cut: 1000, at: 900, want: 0.54, near: 0.08},
		"cut off, beyond":     {n: 600, cut: 1000, at: 2000, want: 0.24, near: 0.2},
		"few of its own":      {n: 3, cut: 1 << 20, at: 1000, want: 0.5, near: 0.4},
		"nothing of its own":  {n: 0, cut: 1, at: 8, want: 0.6, near: 0.4},
		"shift to twice that": {n: 1000, cut: 1 << 20, at: 2000, want: 0.24, near: 0.08},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := outputlen.New()
			learn(l, key, tt.n, 1000, tt.cut)
			got := l.Curve(key).Survival(tt.at)
			is.True(math.Abs(got-tt.want) <= tt.near)
		})
	}
}

// TestShift changes the lengths: the estimate follows.
func TestShift(t *testing.T) {
	is := is.New(t)
	l := outputlen.New()
	learn(l, key, 400, 1000, 1<<20)
	before := l.Curve(key).Mean()
	learn(l, key, 800, 3000, 1<<20)
	is.True(l.Curve(key).Mean() > 2*before)
}

// TestWider lets a new organisation start from what its class and model tell.
func TestWider(t *testing.T) {
	is := is.New(t)
	l := outputlen.New()
	learn(l, key, 300, 1000, 1<<20)
	fresh := l.Curve(outputlen.Key{Organisation: "new", Model: "m", Class: "draft"})
	is.True(math.Abs(fresh.Mean()-l.Curve(key).Mean()) < 200)
}

func BenchmarkEnd(b *testing.B) {
	for _, groups := range []int{10, 100, 4420} { // 260 organisations on 17 models
		b.Run(fmt.Sprint(groups, " groups"), func(b *testing.B) {
			l := outputlen.New()
			keys := make([]outputlen.Key, groups)
			for i := range keys {
				keys[i] = outputlen.Key{Organisation: fmt.Sprint("o", i%260), Model: fmt.Sprint("m", i/260), Class: "draft"}
				l.End(keys[i], 500, false)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				k := keys[i%groups]
				l.Progress(k, 0, 900)
				l.End(k, 900, false)
				l.Curve(k)
				i++
			}
		})
	}
}

// BenchmarkMemory is the memory of the state, by groups.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{100, 1000, 4420} {
		b.Run(fmt.Sprint(n, " groups"), func(b *testing.B) {
			before := heapsize.Used()
			l := outputlen.New()
			for i := range n {
				k := outputlen.Key{Organisation: fmt.Sprint("o", i%260), Model: fmt.Sprint("m", i/260), Class: "draft"}
				l.End(k, 500, false)
				l.Curve(k)
			}
			used := float64(heapsize.Used() - before)
			runtime.KeepAlive(l)
			for b.Loop() {
			}
			b.ReportMetric(used, "heap-bytes")
		})
	}
}

// TestLeft shows what is expected of a generation: anything up to its limit while
// its kind is not known, then what those like it had.
func TestLeft(t *testing.T) {
	is := is.New(t)
	l := outputlen.New()
	k := outputlen.Key{Organisation: "o", Model: "m", Class: "draft"}
	is.Equal(l.Remaining(k, 0, 2000), 1000)
	is.Equal(l.Remaining(k, 500, 2000), 750)
	is.Equal(l.ChanceWithin(k, 500, 2000), 0.25)
	for range 200 {
		for _, tokens := range []int{300, 1200} {
			l.Progress(k, 0, tokens)
			l.End(k, tokens, false)
		}
	}
	near := func(got, want, by float64) bool { return got > want-by && got < want+by }
	is.True(near(float64(l.Remaining(k, 0, 2000)), 750, 150))
	is.True(near(float64(l.Remaining(k, 500, 2000)), 700, 150)) // the short ones have ended
	is.True(l.Remaining(k, 1990, 2000) <= 10)
	is.True(near(l.ChanceWithin(k, 600, 2000), 0.5, 0.1))
	is.Equal(l.ChanceWithin(k, 2000, 2000), 1.0)
	is.True(l.Remaining(k, 0, 0) > 0) // one without a limit
}
