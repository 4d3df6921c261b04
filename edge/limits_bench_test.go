package edge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"petrelstep/exchange"
	"petrelstep/fleet"
	"petrelstep/wire"
)

// BenchmarkLimitsTold is what gossip takes of a box and of its hub in a second before
// 2,200 upstreams of 13 halls, while none names a limit, and while all name another
// one each second, which one box each hears.
func BenchmarkLimitsTold(b *testing.B) {
	for _, limited := range []int{0, 220, 2200} {
		b.Run(fmt.Sprint("350 boxes, ", limited, " limits"), func(b *testing.B) {
			c := newCrowd(b, 350, 13, 0)
			named := map[string]*Edge{}
			var records []wire.BoxRecord
			for _, e := range c.all {
				named[e.Name()] = e
				records = append(records, e.record)
			}
			for _, e := range c.all {
				e.setBoxes(records)
			}
			change := c.limitsChange(limited)
			for range 4 { // until all know all, and the changes are those of each second
				change()
				c.round(b, named, &second{}, &second{})
			}
			var box, hub second
			rounds := 0
			for b.Loop() {
				change()
				c.round(b, named, &box, &hub)
				rounds++
			}
			n := float64(rounds)
			b.ReportMetric(float64(box.bytes)/1000/n, "box-kB/s")
			b.ReportMetric(float64(box.took.Microseconds())/1000/n, "box-ms/s")
			b.ReportMetric(float64(hub.bytes)/1000/n, "hub-kB/s")
			b.ReportMetric(float64(hub.took.Microseconds())/1000/n, "hub-ms/s")
		})
	}
}

// limitsChange returns what lets some upstreams name another limit a second later.
func (c *crowd) limitsChange(limited int) func() {
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Now()
	return func() {
		now = now.Add(time.Second)
		for i := range limited {
			at, u := c.all[random.IntN(len(c.all))], fleet.Upstream{ID: fmt.Sprintf("i-%010d", i)}
			at.limits.Heard(now, now, u, exchange.Limit{Said: exchange.LimitNamed, PerSecond: 10 + 10*random.Float64()}, true)
		}
	}
}

// BenchmarkAsk is what an ask for a limited upstream takes of its keeper beside the call,
// and the bytes of it and its answer.
func BenchmarkAsk(b *testing.B) {
	e := newCrowd(b, 350, 13, 0).all[0]
	u := fleet.Upstream{ID: "i-04608fde89"}
	e.limits.Heard(time.Now(), time.Now(), u, exchange.Limit{Said: exchange.LimitNamed, PerSecond: 16}, true)
	ask := wire.AllowAsk{Box: "front-sighthill-2", Limit: e.limits.Word(time.Now(), u.ID), Urgency: 1}
	size := encoded(b, ask) + encoded(b, wire.AllowAnswer{Granted: true, InMs: 20})
	for b.Loop() {
		e.AllowFor(ask)
	}
	b.ReportMetric(float64(size), "B")
}
