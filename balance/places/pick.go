package places

import (
	"time"

	"petrelstep/fleet"
	"petrelstep/picker"
	"petrelstep/refusal"
)

const (
	// fullUse is the use of places from which an upstream has no more than leastWeight
	// of its like; both keep the boxes' answers to old news from growing: one that is
	// passed by by all is empty when they look again.
	fullUse     = 1.25
	leastWeight = 0.2
	// farFrom and farWhole are from which use of the own hall's places on others are
	// taken as well, and as much: half of them free keeps requests from waiting, and
	// bytes between halls are paid for.
	farFrom  = 0.3
	farWhole = 0.6
	// farLeast is the weight of another hall's upstream in calm, so that what this box
	// knows of it does not grow old.
	farLeast = 0.02
	// missingWeight is that of one whose entry has lapsed and that may come back.
	missingWeight = 0.05
	// pressFirst is how many times as often as its limit gives one a limited upstream is
	// asked for at first, if all boxes ask alike. Each ask that is granted makes it
	// pressMore times as much, each other pressLess times, so that four in ten are
	// granted: requests come by chance, and with as many asks as there is to give
	// a tenth would stay unused.
	pressFirst = 4
	pressMore  = 3
	pressLess  = 0.5
	// pressLeast and pressMost bound that, for boxes whose requests go elsewhere, and for
	// one that has all the demand for an upstream.
	pressLeast = 0.5
	pressMost  = 100
	// leastAsks is how many times a second all boxes ask for a limited upstream at least,
	// while it may have something: one that takes next to nothing is else found to take
	// all again some seconds late.
	leastAsks = 5
	// leastRest is the part of all requests that is kept for those that name no limit,
	// so that each of them is drawn.
	leastRest = 0.001
	// coldBack is when to come back where all upstreams are cold, or there is none.
	coldBack = 500 * time.Millisecond
)

// pick draws two upstreams and returns the one with less of this box's requests for
// its places.
func (p *Places) pick(now time.Time, ask Request) (picker.Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(now, ask.Want.Service)
	list := p.Ranker.Ranked(now, ask.Want)
	weights, usedUp := p.weights(now, s, list)
	at := p.draw(weights)
	switch {
	case at < 0 && usedUp:
		return picker.Choice{}, refusal.New(refusal.UpstreamLimited, "upstreams of "+s.service.Name+" take no more for now").WithRetryAfter(leastBack)
	case at < 0 && len(list) > 0:
		return picker.Choice{}, refusal.New(refusal.UpstreamCold, "upstreams of "+s.service.Name+" are cold").WithRetryAfter(coldBack)
	case at < 0:
		return picker.Choice{}, refusal.New(refusal.NoUpstream, "no upstream of "+s.service.Name).WithRetryAfter(coldBack)
	}
	// Few of a box's requests are at a limited one, which says nothing of how empty it is.
	if other := p.draw(weights); !p.limited(list[at]) && !p.limited(list[other]) && s.filledBy(list[other]) < s.filledBy(list[at]) {
		at = other
	}
	s.upstream(list[at].Upstream.ID).own++
	return list[at], nil
}

// filledBy returns the share of an upstream's places that this box's requests take.
func (s *service) filledBy(c picker.Choice) float64 {
	return float64(s.upstream(c.Upstream.ID).own) / float64(max(c.Upstream.Slots, 1))
}

// weights returns how often each upstream is drawn, and whether a limited one has nothing
// to give for now. A limited one is asked for as often as if it was not, but no more than
// some times what is given out of its limit (press); the others share the rest.
func (p *Places) weights(now time.Time, s *service, list []picker.Choice) (weights []float64, usedUp bool) {
	weights = make([]float64, len(list))
	parts := make([]float64, len(list)) // limited ones' parts of all requests
	sum, rest, taken := 0.0, 0.0, 0.0
	for i, c := range list {
		weights[i] = p.weight(now, s, c, s.near)
		sum += weights[i]
		if !p.limited(c) {
			weights[i] = p.weight(now, s, c, s.nearFree)
			rest += weights[i]
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
		asks := max(s.upstream(c.Upstream.ID).press*limit, leastAsks)
		parts[i] = min(weights[i]/sum, asks/max(s.all, tellFrom))
		taken += parts[i]
	}
	for i, part := range parts {
		switch {
		case part == 0:
		case rest == 0 || taken > 1-leastRest:
			weights[i] = part
		default:
			weights[i] = part / (1 - taken) * rest
		}
	}
	return weights, usedUp
}

// limited tells whether an upstream names how much it takes.
func (p *Places) limited(c picker.Choice) bool {
	_, limited := limitOf(p.Limits, c.Upstream.ID)
	return limited
}

// weight is how often an upstream is drawn while so much of the own hall is used.
func (p *Places) weight(now time.Time, s *service, c picker.Choice, near float64) float64 {
	if c.Held {
		return 0
	}
	u := s.upstream(c.Upstream.ID)
	sound := 1 - p.Failing(now, c.Upstream.ID)
	weight := float64(max(c.Upstream.Slots, 1)) * max(fullUse-u.use, leastWeight) * max(sound*sound, leastWeight*leastWeight) / s.slower(u)
	if c.Upstream.Hall != p.Hall {
		weight *= min(max((near-farFrom)/(farWhole-farFrom), farLeast), 1)
	}
	if c.Upstream.State == fleet.Missing {
		weight *= missingWeight
	}
	return weight
}

// draw draws one by weight; below 0 if there is none.
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
