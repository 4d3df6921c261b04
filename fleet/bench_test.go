package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"petrelstep/fleet"
	"petrelstep/revision"
)

var sizes = []int{1000, 3000, 10000, 20000}

// many returns a fleet with a number of upstreams of one service in six halls, and one
// upstream of another service.
func many(upstreams int) *fleet.Fleet {
	f := fleet.New(time.Second)
	for i := range upstreams {
		f.Put(now, one(i, fleet.Open, 1))
	}
	f.Put(now, fleet.Upstream{ID: "p1", Service: "plain", Hall: "hall0", State: fleet.Open, Version: 1})
	return f
}

// one returns the i-th upstream of the service.
func one(i int, state fleet.State, version revision.Revision) fleet.Upstream {
	return fleet.Upstream{ID: fmt.Sprint("u", i), Service: "llm", Address: "10.0.0.1:1", Hall: fmt.Sprint("hall", i%6), Slots: 24, State: state, Version: version}
}

// BenchmarkChange measures an update that changes one upstream, and the next Serving.
func BenchmarkChange(b *testing.B) {
	for _, upstreams := range sizes {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			f, version := many(upstreams), revision.Revision(1)
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

// BenchmarkUnchanged measures an update that changes nothing, and the next Serving.
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

// BenchmarkTick measures a tick.
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

// BenchmarkSince measures collecting one change for another box.
func BenchmarkSince(b *testing.B) {
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

// BenchmarkTakes measures the queries of each request: the list of a service's upstreams
// and whether one of them takes requests.
func BenchmarkTakes(b *testing.B) {
	f := many(1000)
	for b.Loop() {
		f.Serving("llm")
		f.Takes("u500")
	}
}
