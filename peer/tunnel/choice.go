package tunnel

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"petrelstep/distance"
	"petrelstep/members"
)

const (
	// avoidTime is how long a box is left out that opened no connection for a reason of its own.
	avoidTime = time.Second
	// unansweredTime is how long a box is left out that did not answer: its row may outlast it.
	unansweredTime = 10 * time.Second
)

// Choice decides which boxes are asked for a tunnel. It is safe for concurrent use.
type Choice struct {
	hall    string
	regions distance.Map

	mu           sync.Mutex
	random       *rand.Rand
	avoidedUntil map[string]time.Time // by box
	cutUntil     map[string]time.Time // halls of boxes that do not reach upstreams, until when they come last
}

// NewChoice returns the choice of a box in a hall.
func NewChoice(hall string, regions distance.Map, random *rand.Rand) *Choice {
	return &Choice{hall: hall, regions: regions, random: random, avoidedUntil: map[string]time.Time{}, cutUntil: map[string]time.Time{}}
}

// candidate is a box with its rank.
type candidate struct {
	box      members.Box
	cut      bool // another box of its hall does not reach upstreams
	distance distance.Step
	tie      uint64
}

// Order returns the boxes that may be asked, best first, and one of each hall before a second one of
// any, as a whole hall may be cut off. Only boxes of the given regions may be asked; none given means
// all.
func (c *Choice) Order(now time.Time, boxes []members.Box, regions []string) []members.Box {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []candidate
	for _, b := range boxes {
		region, _ := c.regions.Region(b.Hall)
		if b.State == members.Leaving || b.State == members.Gone || now.Before(c.avoidedUntil[b.Name]) || len(regions) > 0 && !slices.Contains(regions, region) {
			continue
		}
		list = append(list, candidate{b, now.Before(c.cutUntil[b.Hall]), c.regions.Between(c.hall, b.Hall), c.random.Uint64()})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(compareBool(a.cut, b.cut), cmp.Compare(a.distance, b.distance), cmp.Compare(a.tie, b.tie))
	})
	return alternateHalls(list)
}

// alternateHalls moves the second and further boxes of each hall behind the first ones of the others.
func alternateHalls(list []candidate) []members.Box {
	turn, seen := make([]int, len(list)), map[string]int{}
	order := make([]int, len(list))
	for i, o := range list {
		turn[i], order[i] = seen[o.box.Hall], i
		seen[o.box.Hall]++
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(turn[a], turn[b]) })
	ordered := make([]members.Box, len(list))
	for i, at := range order {
		ordered[i] = list[at].box
	}
	return ordered
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Failed records that a box opened no connection; outcome is empty if it did not answer.
func (c *Choice) Failed(now time.Time, b members.Box, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, until := range c.avoidedUntil {
		if now.After(until) {
			delete(c.avoidedUntil, name)
		}
	}
	switch outcome {
	case "":
		c.avoidedUntil[b.Name] = now.Add(unansweredTime)
	case Full, Stopping, OtherFleet, Overtaken:
		c.avoidedUntil[b.Name] = now.Add(avoidTime)
	case LinkCut:
		c.avoidedUntil[b.Name] = now.Add(avoidTime)
		c.cutUntil[b.Hall] = now.Add(avoidTime)
	}
}
