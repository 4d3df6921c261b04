package picker

import (
	"slices"

	"petrelstep/fleet"
	"petrelstep/route"
)

const (
	// largeSampleThreshold is the number of upstreams above which the owner of a queue
	// ranks a random sample: ranking all of them for each request is too expensive.
	largeSampleThreshold = 200
	// sampleSameHall and sampleOtherHalls are the sample's sizes in the preferred hall and
	// in the others, in case the preferred one is full.
	sampleSameHall   = 48
	sampleOtherHalls = 16
	// maxSampleDraws bounds the draws: a hall may have few upstreams.
	maxSampleDraws = 20 * sampleSameHall
)

// SampledFrom returns the number of a service's upstreams if only a sample of them is
// ranked, and 0 if all are.
func (p *Picker) SampledFrom(s route.Service) int {
	if n := len(p.Fleet.Serving(s.Name)); n > largeSampleThreshold {
		return n
	}
	return 0
}

// sampleByHall returns a random sample of a long list, most of it in one hall, at a cost
// independent of the list's length.
func (p *Picker) sampleByHall(list []fleet.Upstream, hall string) []fleet.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var same, other []int
	for range maxSampleDraws {
		i := p.Random.IntN(len(list))
		switch {
		case list[i].Hall == hall && len(same) < sampleSameHall && !slices.Contains(same, i):
			same = append(same, i)
		case list[i].Hall != hall && len(other) < sampleOtherHalls && !slices.Contains(other, i):
			other = append(other, i)
		}
		if len(same) == sampleSameHall && len(other) == sampleOtherHalls {
			break
		}
	}
	sample := make([]fleet.Upstream, 0, len(same)+len(other))
	for _, i := range append(same, other...) {
		sample = append(sample, list[i])
	}
	return sample
}
