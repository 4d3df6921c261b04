package capacity

import (
	"testing"

	"github.com/matryer/is"
)

// TestNew checks, from the smallest to the largest box, that the parts of the account leave
// room for requests, that the largest body fits, and that the descriptors are not exceeded.
func TestNew(t *testing.T) {
	const largestBody = 4 << 20
	for name, tt := range map[string]struct {
		memoryMB    float64
		descriptors int
	}{
		"smallest":         {88, 4100},
		"few descriptors":  {120, 3075},
		"of a small site":  {134, 4100},
		"more memory":      {284, 4200},
		"many descriptors": {536, 10250},
		"largest":          {1048, 16384},
		"own interface":    {4096, 65536},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := New(tt.memoryMB, tt.descriptors)
			is.True(c.Memory() <= int64(tt.memoryMB*(1<<20)/2))                // the rest is for the process itself
			is.True(c.Connections()+c.Arriving()+c.Large() <= c.Memory()*6/10) // what is left is for requests only
			is.True(c.Large() >= largestBody*2)                                // while it grows, a body is there twice in part
			is.True(int64(c.MaxRequests(0))*RequestBytes <= c.Memory())
			is.True(c.Callers() >= c.MaxRequests(0))
			is.True(c.Callers()+c.MaxRequests(0)+reservedDescriptors <= tt.descriptors) // each request has a connection to an upstream
		})
	}
}
