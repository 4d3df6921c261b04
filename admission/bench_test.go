package admission_test

import (
	"context"
	"fmt"
	"testing"

	"petrelstep/upstreamload"
)

// BenchmarkTake measures what a keeper does for one request that finds room, by
// engines that run some streams.
func BenchmarkTake(b *testing.B) {
	for _, engines := range []int{10, 170, 2200, 10000, 20000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			w := newWorld(engines)
			for i := range engines {
				w.tally.Begin(fmt.Sprint("e", i), upstreamload.Load{Requests: 4, Tokens: 12000 + i%100, Coming: 3000, Paced: 4, PaceUs: 140000})
			}
			b.ReportAllocs()
			for b.Loop() {
				g, ok, err := w.Take(context.Background(), draft("a"))
				if !ok || err != nil {
					b.Fatal("no room")
				}
				w.tally.Release("b", g.Upstream.ID)
			}
		})
	}
}
