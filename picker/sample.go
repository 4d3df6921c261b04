package picker

import (
	"slices"

	"petrelstep/distance"
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
	// sampleOtherRegions of the sampleOtherHalls are in other regions, if there are any.
	sampleOtherRegions = 8
	// maxSampleDraws bounds the draws: a hall may have few upstreams.
	maxSampleDraws = 20 * sampleSameHall
	// smallSampleSameHall and smallSampleSameRegion of a sample of smallSampleSize are in
	// the preferred hall and in the others of its region, if there are several regions; the
	// rest is elsewhere.
	smallSampleSameHall   = 2
	smallSampleSameRegion = 1
	maxSmallSampleDraws   = 20 * smallSampleSize
)

// SampledFrom returns the number of a service's upstreams if only a sample of them is
// ranked, and 0 if all are.
func (p *Picker) SampledFrom(s route.Service) int {
	if n := len(p.Fleet.Serving(s.Name)); n > largeSampleThreshold {
		return n
	}
	return 0
}

// quota is the number of upstreams to draw by distance.
type quota [distance.Elsewhere + 1]int

// sampleByHall returns a random sample of a long list, most of it in one hall, at a cost
// independent of the list's length.
func (p *Picker) sampleByHall(list []fleet.Upstream, hall string) []fleet.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	of := quota{distance.SameHall: sampleSameHall, distance.SameRegion: sampleOtherHalls}
	if p.Regions.Several() {
		of[distance.Elsewhere] = sampleOtherRegions
		of[distance.SameRegion] -= sampleOtherRegions
	}
	drawn := p.draw(list, hall, of, maxSampleDraws)
	sample := make([]fleet.Upstream, 0, len(drawn))
	for _, i := range drawn {
		sample = append(sample, list[i])
	}
	return sample
}

// draw returns the indexes of distinct random upstreams up to the quota, nearest first.
func (p *Picker) draw(list []fleet.Upstream, hall string, of quota, maxDraws int) []int {
	var drawn [len(of)][]int
	left := 0
	for _, n := range of {
		left += n
	}
	for range maxDraws {
		if left == 0 {
			break
		}
		i := p.Random.IntN(len(list))
		step := p.Regions.Between(hall, list[i].Hall)
		if len(drawn[step]) < of[step] && !slices.Contains(drawn[step], i) {
			drawn[step] = append(drawn[step], i)
			left--
		}
	}
	return slices.Concat(drawn[:]...)
}

// sample returns a small random sample of a list; where there are several regions, most
// of it in this one.
func (p *Picker) sample(list []fleet.Upstream, hall string) []fleet.Upstream {
	var drawn []int
	if p.Regions.Several() {
		drawn = p.draw(list, hall, quota{smallSampleSameHall, smallSampleSameRegion, smallSampleSize - smallSampleSameHall - smallSampleSameRegion}, maxSmallSampleDraws)
	}
	for len(drawn) < smallSampleSize {
		if at := p.Random.IntN(len(list)); !slices.Contains(drawn, at) {
			drawn = append(drawn, at)
		}
	}
	picked := make([]fleet.Upstream, 0, smallSampleSize)
	for _, i := range drawn {
		picked = append(picked, list[i])
	}
	return picked
}

// mostlySameHall returns moveSampleSize upstreams of a shuffled list, most of them in one
// hall.
func (p *Picker) mostlySameHall(list []fleet.Upstream, hall string) []fleet.Upstream {
	at := func(step distance.Step) []fleet.Upstream {
		return slices.DeleteFunc(slices.Clone(list), func(u fleet.Upstream) bool { return p.Regions.Between(hall, u.Hall) != step })
	}
	same, region, elsewhere := at(distance.SameHall), at(distance.SameRegion), at(distance.Elsewhere)
	others := slices.Concat(region, elsewhere)
	if len(region) > 1 && len(elsewhere) > 0 { // one of each first
		others = slices.Concat(region[:1], elsewhere[:1], region[1:], elsewhere[1:])
	}
	same = same[:min(len(same), max(moveSampleSize-moveSampleOtherHalls, moveSampleSize-len(others)))]
	return append(same, others[:moveSampleSize-len(same)]...)
}
