package prefix_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"petrelstep/prefix"
)

func words(n int, last string) string { return strings.Repeat("w ", n-1) + last }

func TestChain(t *testing.T) {
	is := is.New(t)
	a, b := prefix.Chain(words(200, "a")), prefix.Chain(words(200, "b"))
	is.Equal(len(a), 3) // whole blocks of 64 words
	is.Equal(a, b)      // they differ after them
	is.True(prefix.Chain("x " + words(199, "a"))[2] != a[2])
	is.Equal(len(prefix.Chain("short")), 0)
}

// TestMatch checks the estimate after dispatches, and events with gaps.
func TestMatch(t *testing.T) {
	chain := []uint64{1, 2, 3, 4}
	tests := map[string]struct {
		action func(p *prefix.Prefixes)
		want   int // blocks
	}{
		"nothing":         {func(*prefix.Prefixes) {}, 0},
		"dispatched":      {func(p *prefix.Prefixes) { p.Dispatched(chain) }, 4},
		"evicted":         {func(p *prefix.Prefixes) { p.Dispatched(chain); p.Apply(1, false, 3) }, 2},
		"stored":          {func(p *prefix.Prefixes) { p.Apply(1, true, 1); p.Apply(2, true, 2) }, 2},
		"gap halves":      {func(p *prefix.Prefixes) { p.Dispatched([]uint64{4, 3, 2, 1}); p.Apply(1, true, 1); p.Apply(9, true, 1) }, 2},
		"beyond capacity": {func(p *prefix.Prefixes) { p.Dispatched(chain); p.Dispatched([]uint64{11, 12, 13, 14, 15, 16}) }, 0},
		"unknown evicted": {func(p *prefix.Prefixes) { p.Apply(1, false, 99); p.Dispatched(chain[:1]) }, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := prefix.New(8)
			tt.action(p)
			is.Equal(p.Match(chain), tt.want*prefix.BlockWords)
		})
	}
}

func BenchmarkMatch(b *testing.B) {
	p := prefix.New(256)
	chain := prefix.Chain(words(1024, "a"))
	p.Dispatched(chain)
	for b.Loop() {
		p.Match(chain)
	}
}
