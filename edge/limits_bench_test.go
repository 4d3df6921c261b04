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

// BenchmarkLimitGossip measures the cost of gossip per second for a box and its hub
// with 2,200 upstreams in 13 halls, without limits and with limits that change every
// second, each reported by one box.
func BenchmarkLimitGossip(b *testing.B) {
	for _, limited := range []int{0, 220, 2200} {
		b.Run(fmt.Sprint("350 boxes, ", limited, " limits"), func(b *testing.B) {
			c := newCluster(b, 350, 13, 0)
			byName := map[string]*Edge{}
			var records []wire.BoxRecord
			for _, e := range c.all {
				byName[e.Name()] = e
				records = append(records, e.record)
			}
			for _, e := range c.all {
				e.setBoxes(records)
			}
			change := c.newLimitChanger(limited)
			for range 4 { // until only each second's changes are sent
				change()
				c.gossipRound(b, byName, &gossipCost{}, &gossipCost{})
			}
			var box, hub gossipCost
			rounds := 0
			for b.Loop() {
				change()
				c.gossipRound(b, byName, &box, &hub)
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

// newLimitChanger returns a function that changes the limits of some upstreams, a
// second later each time.
func (c *cluster) newLimitChanger(limited int) func() {
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Now()
	return func() {
		now = now.Add(time.Second)
		for i := range limited {
			at, u := c.all[random.IntN(len(c.all))], fleet.Upstream{ID: fmt.Sprintf("i-%010d", i)}
			at.limits.Observe(now, now, u, exchange.Limit{Kind: exchange.LimitAnnounced, PerSecond: 10 + 10*random.Float64()}, true)
		}
	}
}

// BenchmarkAllow measures the owner's work for a limited request, without the call, and
// the size of the request and its answer.
func BenchmarkAllow(b *testing.B) {
	e := newCluster(b, 350, 13, 0).all[0]
	u := fleet.Upstream{ID: "i-04608fde89"}
	e.limits.Observe(time.Now(), time.Now(), u, exchange.Limit{Kind: exchange.LimitAnnounced, PerSecond: 16}, true)
	ask := wire.AllowAsk{Box: "front-sighthill-2", Limit: e.limits.Report(time.Now(), u.ID), Urgency: 1}
	size := encodedSize(b, ask) + encodedSize(b, wire.AllowAnswer{Granted: true, InMs: 20})
	for b.Loop() {
		e.AllowFor(ask)
	}
	b.ReportMetric(float64(size), "B")
}
