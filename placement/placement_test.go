package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/placement"
)

func TestPick(t *testing.T) {
	views := []placement.View{
		{Engine: "full", Used: 900, Capacity: 1000, Running: 1},
		{Engine: "busy", Used: 500, Capacity: 1000, Running: 9},
		{Engine: "free", Used: 100, Capacity: 1000, Running: 5},
		{Engine: "waiting", Used: 50, Capacity: 1000, Running: 2, Waiting: 3},
		{Engine: "slow", Used: 50, Capacity: 1000, Running: 5, Step: time.Second},
	}
	tests := map[string]struct {
		method placement.Method
		want   string
	}{
		"least requests": {placement.LeastRequests, "full"},
		"least memory":   {placement.LeastMemory, "waiting"},
		"forecast":       {placement.Forecast, "free"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := placement.New(tt.method, rand.New(rand.NewPCG(1, 1)))
			if tt.want == "waiting" {
				i := p.Pick(views[:4])
				is.Equal(views[i].Engine, tt.want)
				return
			}
			is.Equal(views[p.Pick(views)].Engine, tt.want)
			is.Equal(p.Pick(nil), -1)
		})
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 170, 2200} {
		b.Run(fmt.Sprint(n, " engines"), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			views := make([]placement.View, n)
			for i := range views {
				views[i] = placement.View{Used: rng.IntN(60000), Capacity: 60000, Running: rng.IntN(50), Step: 20 * time.Millisecond}
			}
			p := placement.New(placement.Forecast, rng)
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(views)
			}
		})
	}
}
