package admission_test

import (
	"context"
	"fmt"
	"testing"

	"petrelstep/upstreamload"
)

// BenchmarkTake measures one admission by the owner of a queue, by the number of engines.
func BenchmarkTake(b *testing.B) {
	for _, engines := range []int{10, 170, 2200, 10000, 20000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			w := newWorld(engines)
			for i := range engines {
				w.loads.Begin(fmt.Sprint("e", i), upstreamload.Load{Requests: 4, Tokens: 12000 + i%100, Coming: 3000, Paced: 4, PaceUs: 140000})
			}
			b.ReportAllocs()
			for b.Loop() {
				g, ok, err := w.Take(context.Background(), draft("a"))
				if !ok || err != nil {
					b.Fatal("not admitted")
				}
				w.loads.Release("b", g.Upstream.ID)
			}
		})
	}
}
