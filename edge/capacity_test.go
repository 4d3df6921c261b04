package edge

import (
	"testing"

	"github.com/matryer/is"

	"petrelstep/wire"
)

// TestMaxRequests checks the request limit by memory, buffered bytes and descriptors.
func TestMaxRequests(t *testing.T) {
	for name, tt := range map[string]struct {
		memory      float64 // MB
		held        int
		descriptors int
		want        int
	}{
		"little memory":                 {memory: 112, descriptors: 8192, want: 562},
		"little memory, slow readers":   {memory: 112, held: 13 << 20, descriptors: 8192, want: 431},
		"few descriptors":               {memory: 512, descriptors: 1400, want: 500},
		"few descriptors, slow readers": {memory: 512, held: 60 << 20, descriptors: 1400, want: 500},
		"no memory left":                {memory: 32, held: 60 << 20, descriptors: 1400, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(maxRequests(&wire.Edge{MemoryMb: tt.memory, Descriptors: tt.descriptors}, tt.held), tt.want)
		})
	}
}
