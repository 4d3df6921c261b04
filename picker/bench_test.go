package picker_test

import (
	"fmt"
	"testing"
	"time"

	"petrelstep/picker"
	"petrelstep/upstreamload"
)

// BenchmarkChoose measures a choice among a sample, as for a box's own requests, and
// among all engines, as for the owner of a queue.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{10, 170, 2200, 10000, 20000} {
		p, tracker := newPickerAndLoads(inFourHalls(engines))
		for i := range engines {
			tracker.Begin(fmt.Sprint("e", i), upstreamload.Load{Requests: 4, Tokens: 12000 + 7*i, Coming: 3000, Paced: 4, PaceUs: 140000})
		}
		for name, all := range map[string]bool{"sample": false, "all": true} {
			b.Run(fmt.Sprint(name, "/", engines), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					p.Choose(time.Now(), picker.Want{Service: service, Tokens: 4000, All: all})
				}
			})
		}
	}
}
