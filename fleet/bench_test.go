package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"petrelstep/fleet"
)

var sizes = []int{1000, 3000, 10000, 20000}

// many returns a fleet of upstreams of a service of six halls, and a few of another.
func many(upstreams int) *fleet.Fleet {
	f := fleet.New(time.Second)
	for i := range upstreams {
		f.Put(now, one(i, fleet.Open, 1))
	}
	f.Put(now, fleet.Upstream{ID: "p1", Service: "plain", Hall: "hall0", State: fleet.Open, Version: 1})
	return f
}

// one returns one of them.
func one(i int, state fleet.State, version int64) fleet.Upstream {
	return fleet.Upstream{ID: fmt.Sprint("u", i), Service: "llm", Address: "10.0.0.1:1", Hall: fmt.Sprint("hall", i%6), Slots: 24, State: state, Version: version}
}

// BenchmarkChange is a change of one upstream, and the list for the next request.
func BenchmarkChange(b *testing.B) {
	for _, upstreams := range sizes {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			f, version := many(upstreams), int64(1)
			for b.Loop() {
				version++
				u := one(int(version)%upstreams, fleet.Open, version)
				u.ColdUntil = now.Add(time.Duration(version))
				f.UpdateFromPeer(now, u)
				f.Serving("llm")
			}
		})
	}
}

// BenchmarkUnchanged is a word that says nothing new, and the list for the next request.
func BenchmarkUnchanged(b *testing.B) {
	for _, upstreams := range sizes {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			f := many(upstreams)
			for b.Loop() {
				f.UpdateFromPeer(now, one(1, fleet.Open, 1))
				f.Serving("llm")
			}
		})
	}
}

// BenchmarkTick is a tick of the timer.
func BenchmarkTick(b *testing.B) {
	for _, upstreams := range sizes {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			f := many(upstreams)
			for b.Loop() {
				f.Tick(now)
			}
		})
	}
}

// BenchmarkTold is what a hub tells another box of one change.
func BenchmarkTold(b *testing.B) {
	for _, upstreams := range sizes {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			f := many(upstreams)
			_, before := f.Since(0)
			f.ApplyDeparture(now, fleet.Departure{ID: "u7", Announced: true}, "peer")
			for b.Loop() {
				f.Since(before)
				f.Departing(now, time.Minute, before)
			}
		})
	}
}
