package places

import (
	"time"

	"petrelstep/choose"
	"petrelstep/fleet"
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
	// coldBack is when to come back where all upstreams are cold, or there is none.
	coldBack = 500 * time.Millisecond
)

// pick draws two upstreams and returns the one with less of this box's requests for
// its places.
func (p *Places) pick(now time.Time, ask Ask) (choose.Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(now, ask.Want.Service)
	list := p.Ranker.Ranked(now, ask.Want)
	weights := make([]float64, len(list))
	for i, c := range list {
		weights[i] = p.weight(now, s, c)
	}
	at := p.draw(weights)
	switch {
	case at < 0 && len(list) > 0:
		return choose.Choice{}, refusal.New(refusal.UpstreamCold, "upstreams of "+s.service.Name+" are cold").WithRetryAfter(coldBack)
	case at < 0:
		return choose.Choice{}, refusal.New(refusal.NoUpstream, "no upstream of "+s.service.Name).WithRetryAfter(coldBack)
	}
	if other := p.draw(weights); s.filledBy(list[other]) < s.filledBy(list[at]) {
		at = other
	}
	s.upstream(list[at].Upstream.ID).own++
	return list[at], nil
}

// filledBy returns the share of an upstream's places that this box's requests take.
func (s *service) filledBy(c choose.Choice) float64 {
	return float64(s.upstream(c.Upstream.ID).own) / float64(max(c.Upstream.Slots, 1))
}

// weight is how often an upstream is drawn.
func (p *Places) weight(now time.Time, s *service, c choose.Choice) float64 {
	if c.Held {
		return 0
	}
	u := s.upstream(c.Upstream.ID)
	sound := 1 - p.Failing(now, c.Upstream.ID)
	weight := float64(max(c.Upstream.Slots, 1)) * max(fullUse-u.use, leastWeight) * max(sound*sound, leastWeight*leastWeight) / s.slower(u)
	if c.Upstream.Hall != p.Hall {
		weight *= min(max((s.near-farFrom)/(farWhole-farFrom), farLeast), 1)
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
