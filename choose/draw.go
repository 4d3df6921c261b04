package choose

import (
	"slices"

	"petrelstep/fleet"
	"petrelstep/route"
)

const (
	// drawnFrom is from how many upstreams on a draw is weighed in place of all of them:
	// so many cost a keeper a tenth of a millisecond for each request.
	drawnFrom = 200
	// drawnNear and drawnElsewhere are how many are drawn of the hall that is to be near,
	// and of the others, should that be full. Where one in ten upstreams is idle, one of
	// 48 is in all but one of 150 draws.
	drawnNear      = 48
	drawnElsewhere = 16
	// drawTries bounds the tries to draw those near: a hall may have few upstreams.
	drawTries = 20 * drawnNear
)

// Drawn returns of how many upstreams of a service a draw is weighed; 0 where all are.
func (c *Chooser) Drawn(s route.Service) int {
	if n := len(c.Fleet.Serving(s.Name)); n > drawnFrom {
		return n
	}
	return 0
}

// few returns some of a long list, drawn anew each time: most of a hall, some of others.
// Its cost does not grow with the list.
func (c *Chooser) few(list []fleet.Upstream, hall string) []fleet.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	var near, elsewhere []int
	for range drawTries {
		at := c.Random.IntN(len(list))
		switch {
		case list[at].Hall == hall && len(near) < drawnNear && !slices.Contains(near, at):
			near = append(near, at)
		case list[at].Hall != hall && len(elsewhere) < drawnElsewhere && !slices.Contains(elsewhere, at):
			elsewhere = append(elsewhere, at)
		}
		if len(near) == drawnNear && len(elsewhere) == drawnElsewhere {
			break
		}
	}
	drawn := make([]fleet.Upstream, 0, len(near)+len(elsewhere))
	for _, at := range append(near, elsewhere...) {
		drawn = append(drawn, list[at])
	}
	return drawn
}
