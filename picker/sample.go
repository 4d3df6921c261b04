package picker

import (
	"slices"

	"petrelstep/fleet"
	"petrelstep/route"
)

const (
	// sampleAbove is the list length above which a random sample is ranked: ranking all
	// costs the keeper of a queue too much for each request.
	sampleAbove = 200
	// sampleNear and sampleElsewhere are the sample's sizes in the hall that is preferred
	// and in the others, should that be full.
	sampleNear      = 48
	sampleElsewhere = 16
	// sampleTries bounds the draws for a sample: a hall may have few upstreams.
	sampleTries = 20 * sampleNear
)

// SampledFrom returns the number of upstreams of a service of which a sample is ranked; 0
// where all are.
func (c *Picker) SampledFrom(s route.Service) int {
	if n := len(c.Fleet.Serving(s.Name)); n > sampleAbove {
		return n
	}
	return 0
}

// sampleByHall returns a random sample of a long list, most of it of one hall. Its cost
// does not grow with the list.
func (c *Picker) sampleByHall(list []fleet.Upstream, hall string) []fleet.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	var near, elsewhere []int
	for range sampleTries {
		at := c.Random.IntN(len(list))
		switch {
		case list[at].Hall == hall && len(near) < sampleNear && !slices.Contains(near, at):
			near = append(near, at)
		case list[at].Hall != hall && len(elsewhere) < sampleElsewhere && !slices.Contains(elsewhere, at):
			elsewhere = append(elsewhere, at)
		}
		if len(near) == sampleNear && len(elsewhere) == sampleElsewhere {
			break
		}
	}
	sample := make([]fleet.Upstream, 0, len(near)+len(elsewhere))
	for _, at := range append(near, elsewhere...) {
		sample = append(sample, list[at])
	}
	return sample
}
