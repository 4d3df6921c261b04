package places

import (
	"cmp"
	"math"
	"slices"
	"time"

	"petrelstep/wire"
)

const (
	// rateWindow is the time constant of request rates: a few report intervals, so that
	// a report is not older than what it covers.
	rateWindow = time.Second
	// minReportedRate is the rate, in requests per second, below which a service is not
	// reported: the other boxes would not notice the difference.
	minReportedRate = 0.1
	// forgetRate is the rate, in requests per second, below which a service is dropped.
	// It is reached about twenty seconds after the last request.
	forgetRate = 1e-9
	// rateScale is the number of units per request and second in reports.
	rateScale = 100
)

// demand is the demand for a service, in requests per second.
type demand struct {
	requests  float64
	timed     float64 // the part of requests at boxes that know the service time
	busySlots float64 // mean number of slots that these occupy
}

// Plus implements peerstate.Sum.
func (d demand) Plus(o demand) demand {
	return demand{d.requests + o.requests, d.timed + o.timed, d.busySlots + o.busySlots}
}

// Minus implements peerstate.Sum.
func (d demand) Minus(o demand) demand {
	return demand{d.requests - o.requests, d.timed - o.timed, d.busySlots - o.busySlots}
}

// serviceTime returns the mean service time of the boxes that know it; 0 if none does.
func (d demand) serviceTime() time.Duration {
	if d.timed < minReportedRate {
		return 0
	}
	return seconds(d.busySlots / d.timed)
}

func toWire(demands map[string]demand) []wire.ServicePlaces {
	list := make([]wire.ServicePlaces, 0, len(demands))
	for name, d := range demands {
		list = append(list, wire.ServicePlaces{Service: name, Asked: int(d.requests * rateScale), Known: int(d.timed * rateScale), Busy: int(d.busySlots * rateScale)})
	}
	slices.SortFunc(list, func(a, b wire.ServicePlaces) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

func fromWire(list []wire.ServicePlaces) map[string]demand {
	demands := make(map[string]demand, len(list))
	for _, s := range list {
		demands[s.Service] = demand{float64(s.Asked) / rateScale, float64(s.Known) / rateScale, float64(s.Busy) / rateScale}
	}
	return demands
}

// rate is an exponentially decaying count of events.
type rate struct {
	at    time.Time
	count float64
}

func (r *rate) add(now time.Time, n float64) {
	r.count = r.count*decay(now.Sub(r.at), rateWindow) + n
	r.at = now
}

// perSecond returns the current rate.
func (r *rate) perSecond(now time.Time) float64 {
	return r.count * decay(now.Sub(r.at), rateWindow) / rateWindow.Seconds()
}

// decay returns the fraction of a count that is left after some time.
func decay(since, over time.Duration) float64 { return math.Exp(-float64(since) / float64(over)) }
