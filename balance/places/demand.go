package places

import (
	"cmp"
	"math"
	"slices"
	"time"

	"petrelstep/wire"
)

const (
	// rateOver is over how long requests a second are averaged: a few periods of
	// gossip, so that what is told is not older than what it tells of.
	rateOver = time.Second
	// tellFrom is how many requests a second are worth telling of; fewer take no
	// place that others would miss.
	tellFrom = 0.1
	// forgetBelow is how few requests a second a service is forgotten with: none came
	// for some twenty seconds, and what was learned of its upstreams is old.
	forgetBelow = 1e-9
	// parts is in what parts of a request a second demand is told.
	parts = 100
)

// demand is what boxes are asked for, in requests a second.
type demand struct {
	asked float64
	known float64 // of these, by boxes that know how long work takes
	busy  float64 // places that these take
}

// Plus returns the sum of both.
func (d demand) Plus(o demand) demand {
	return demand{d.asked + o.asked, d.known + o.known, d.busy + o.busy}
}

// Minus returns the demand without another.
func (d demand) Minus(o demand) demand {
	return demand{d.asked - o.asked, d.known - o.known, d.busy - o.busy}
}

// work returns how long work takes by the boxes that know; 0 if none does.
func (d demand) work() time.Duration {
	if d.known < tellFrom {
		return 0
	}
	return seconds(d.busy / d.known)
}

func listOf(demands map[string]demand) []wire.ServicePlaces {
	list := make([]wire.ServicePlaces, 0, len(demands))
	for name, d := range demands {
		list = append(list, wire.ServicePlaces{Service: name, Asked: int(d.asked * parts), Known: int(d.known * parts), Busy: int(d.busy * parts)})
	}
	slices.SortFunc(list, func(a, b wire.ServicePlaces) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

func demandsOf(list []wire.ServicePlaces) map[string]demand {
	demands := make(map[string]demand, len(list))
	for _, s := range list {
		demands[s.Service] = demand{float64(s.Asked) / parts, float64(s.Known) / parts, float64(s.Busy) / parts}
	}
	return demands
}

// rate counts events, the older the less.
type rate struct {
	at    time.Time
	count float64
}

func (r *rate) add(now time.Time, n float64) {
	r.count = r.count*fade(now.Sub(r.at), rateOver) + n
	r.at = now
}

// a returns how many events there are a second.
func (r *rate) a(now time.Time) float64 {
	return r.count * fade(now.Sub(r.at), rateOver) / rateOver.Seconds()
}

// fade is what is left of a count after some time.
func fade(since, over time.Duration) float64 { return math.Exp(-float64(since) / float64(over)) }
