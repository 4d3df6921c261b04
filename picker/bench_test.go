package picker_test

import (
	"fmt"
	"testing"
	"time"

	"petrelstep/picker"
	"petrelstep/upstreamload"
)

// BenchmarkChoose measures one choice, by engines that run some streams: of a
// sample, as a box chooses, and of all, as the keeper of a queue does.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{10, 170, 2200, 10000, 20000} {
		c, running := chooserOf(spread(engines))
		for i := range engines {
			running.Begin(fmt.Sprint("e", i), upstreamload.Load{Requests: 4, Tokens: 12000 + 7*i, Coming: 3000, Paced: 4, PaceUs: 140000})
		}
		for name, all := range map[string]bool{"sample": false, "all": true} {
			b.Run(fmt.Sprint(name, "/", engines), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					c.Choose(time.Now(), picker.Want{Service: service, Tokens: 4000, All: all})
				}
			})
		}
	}
}
