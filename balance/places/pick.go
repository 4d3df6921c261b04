package places

import (
	"slices"
	"time"

	"petrelstep/distance"
	"petrelstep/fleet"
	"petrelstep/picker"
	"petrelstep/refusal"
)

const (
	// fullUtilization is the utilization from which an upstream gets minWeight of its
	// usual weight. Both dampen the boxes' reaction to outdated reports: an upstream
	// that all avoid is empty by the next report.
	fullUtilization = 1.25
	minWeight       = 0.2
	// remoteFrom and remoteFull are the utilizations of the box's own hall from which
	// upstreams of other halls are chosen as well, and as often as local ones. Below
	// remoteFrom hardly any request waits, and traffic between halls costs money.
	remoteFrom = 0.3
	remoteFull = 0.6
	// minRemoteWeight is the weight of upstreams of other halls while the own hall has
	// capacity, so that this box's measurements of them stay recent.
	minRemoteWeight = 0.02
	// otherRegionFrom, otherRegionFull and minOtherRegionWeight are the same for the own
	// region and the upstreams of other regions.
	otherRegionFrom      = 0.5
	otherRegionFull      = 0.8
	minOtherRegionWeight = 0.005
	// maxSoundFailing is the fraction of failing requests up to which an upstream near the
	// box gets further tries rather than one of another region.
	maxSoundFailing = 0.5
	// missingWeight is the weight of an upstream whose entry has expired and which may
	// return.
	missingWeight = 0.05
	// initialRequestRatio is the initial rate of requests for a limited upstream, as a
	// multiple of its limit. Each request that the limit admits multiplies the ratio by
	// grantedFactor, each other by refusedFactor, so that four in ten are admitted:
	// arrivals are random, and at a ratio of 1 a tenth of the limit would stay unused.
	initialRequestRatio = 4
	grantedFactor       = 3
	refusedFactor       = 0.5
	// minRequestRatio and maxRequestRatio bound the ratio, for boxes whose requests go
	// elsewhere and for a box that receives all the demand.
	minRequestRatio = 0.5
	maxRequestRatio = 100
	// minLimitedRate is the minimum rate, in requests per second of all boxes, at which
	// a limited upstream is tried while its limit is not exhausted. Otherwise a limit
	// that is lifted would be noticed seconds late.
	minLimitedRate = 5
	// minUnlimitedFraction is the fraction of all requests that is left for unlimited
	// upstreams, so that each of them is chosen sometimes.
	minUnlimitedFraction = 0.001
	// coldRetryAfter is the Retry-After where all upstreams are cold, or there is none.
	coldRetryAfter = 500 * time.Millisecond
)

// pick draws two upstreams by weight and returns the one with the lower utilization by
// this box's requests.
func (p *Places) pick(now time.Time, req Request) (picker.Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(now, req.Want.Service)
	list := p.Ranker.Ranked(now, req.Want)
	weights, usedUp := p.weights(now, s, list, len(req.Want.Avoid) > 0)
	at := p.draw(weights)
	preferred := s.preferred(list, weights, req.Prefer)
	switch {
	case at < 0 && usedUp:
		return picker.Choice{}, refusal.New(refusal.UpstreamLimited, "upstreams of "+s.service.Name+" are at their rate limits").WithRetryAfter(minRetryAfter)
	case at < 0 && len(list) > 0:
		return picker.Choice{}, refusal.New(refusal.UpstreamCold, "upstreams of "+s.service.Name+" are cold").WithRetryAfter(coldRetryAfter)
	case at < 0:
		return picker.Choice{}, refusal.New(refusal.NoUpstream, "no upstream of "+s.service.Name).WithRetryAfter(coldRetryAfter)
	}
	if preferred >= 0 {
		s.upstream(list[preferred].Upstream.ID).inFlight++
		return list[preferred], nil
	}
	// A box has few requests at a limited upstream, so that its own utilization says
	// little.
	if other := p.draw(weights); !p.limited(list[at]) && !p.limited(list[other]) && s.ownUtilization(list[other]) < s.ownUtilization(list[at]) {
		at = other
	}
	s.upstream(list[at].Upstream.ID).inFlight++
	return list[at], nil
}

// preferredSlots is the divisor of the slots that a preferred upstream may use, if the others use
// less. What other boxes run there is known some hundred milliseconds late.
const preferredSlots = 2

// preferred returns the index of the upstream with an id if it takes a request, and runs less than
// half of its slots or than another one; -1 if not.
func (s *service) preferred(list []picker.Choice, weights []float64, id string) int {
	if id == "" {
		return -1
	}
	at, most, own := -1, 0, 0
	for i, c := range list {
		running := max(c.Running.Requests, s.upstream(c.Upstream.ID).inFlight)
		switch {
		case c.Upstream.ID != id:
			most = max(most, running)
		case weights[i] > 0 && running < max(c.Upstream.Slots, 1):
			at, own = i, running
		}
	}
	if at >= 0 && (own < most || own < max(list[at].Upstream.Slots/preferredSlots, 1)) {
		return at
	}
	return -1
}

// ownUtilization returns the fraction of an upstream's slots in use by this box's
// requests.
func (s *service) ownUtilization(c picker.Choice) float64 {
	return float64(s.upstream(c.Upstream.ID).inFlight) / float64(max(c.Upstream.Slots, 1))
}

// weights returns the weight of each upstream for a first or a further try of a request,
// and whether the limit of one is exhausted. A limited upstream is chosen as often as if it
// had no limit, but at most at requestRatio times its limit; the other upstreams share the
// rest.
func (p *Places) weights(now time.Time, s *service, list []picker.Choice, furtherTry bool) (weights []float64, usedUp bool) {
	all, unlimited, onlyNear := s.all, s.unlimited, false
	if furtherTry && p.Regions.Several() {
		if onlyNear = p.soundNear(now, list); !onlyNear {
			all, unlimited = nearness{1, 1}, nearness{1, 1}
		}
	}
	weights = make([]float64, len(list))
	fractions := make([]float64, len(list)) // fraction of all requests for limited upstreams
	sum, unlimitedSum, limitedSum := 0.0, 0.0, 0.0
	for i, c := range list {
		if onlyNear && all.region < otherRegionFull && p.distanceTo(c.Upstream) == distance.Elsewhere {
			continue
		}
		weights[i] = p.weight(now, s, c, all)
		sum += weights[i]
		if !p.limited(c) {
			weights[i] = p.weight(now, s, c, unlimited)
			unlimitedSum += weights[i]
		}
	}
	for i, c := range list {
		limit, limited := limitOf(p.Limits, c.Upstream.ID)
		switch {
		case !limited || weights[i] == 0:
			continue
		case p.Limits.UsedUp(now, c.Upstream.ID) > 0:
			weights[i], usedUp = 0, true
			continue
		}
		rate := max(s.upstream(c.Upstream.ID).requestRatio*limit, minLimitedRate)
		fractions[i] = min(weights[i]/sum, rate/max(s.totalDemand, minReportedRate))
		limitedSum += fractions[i]
	}
	for i, fraction := range fractions {
		switch {
		case fraction == 0:
		case unlimitedSum == 0 || limitedSum > 1-minUnlimitedFraction:
			weights[i] = fraction
		default:
			weights[i] = fraction / (1 - limitedSum) * unlimitedSum
		}
	}
	return weights, usedUp
}

// limited reports whether an upstream has a limit.
func (p *Places) limited(c picker.Choice) bool {
	_, limited := limitOf(p.Limits, c.Upstream.ID)
	return limited
}

// soundNear reports whether an upstream of the own region has capacity and rarely fails.
func (p *Places) soundNear(now time.Time, list []picker.Choice) bool {
	return slices.ContainsFunc(list, func(c picker.Choice) bool {
		id := c.Upstream.ID
		usedUp := p.limited(c) && p.Limits.UsedUp(now, id) > 0
		near := p.distanceTo(c.Upstream) != distance.Elsewhere
		return near && !c.Held && !usedUp && c.Upstream.State != fleet.Missing && p.Failing(now, id) <= maxSoundFailing
	})
}

// weight returns the weight of an upstream at a utilization of those near the box.
func (p *Places) weight(now time.Time, s *service, c picker.Choice, near nearness) float64 {
	if c.Held {
		return 0
	}
	u := s.upstream(c.Upstream.ID)
	healthy := 1 - p.Failing(now, c.Upstream.ID)
	weight := float64(max(c.Upstream.Slots, 1)) * max(fullUtilization-u.utilization, minWeight) * max(healthy*healthy, minWeight*minWeight) / s.slowdown(u)
	switch p.distanceTo(c.Upstream) {
	case distance.SameRegion:
		weight *= min(max((near.hall-remoteFrom)/(remoteFull-remoteFrom), minRemoteWeight), 1)
	case distance.Elsewhere:
		weight *= min(max((near.region-otherRegionFrom)/(otherRegionFull-otherRegionFrom), minOtherRegionWeight), 1)
	case distance.SameHall:
	}
	if c.Upstream.State == fleet.Missing {
		weight *= missingWeight
	}
	return weight
}

// draw returns the index of a random upstream by weight; -1 if all weights are 0.
func (p *Places) draw(weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := p.Random.Float64() * sum
	last := -1
	for i, w := range weights {
		if w == 0 {
			continue
		}
		last = i
		if at -= w; at < 0 {
			break
		}
	}
	return last
}
