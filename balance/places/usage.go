package places

import "petrelstep/distance"

// nearness is the utilization of the upstreams near a box.
type nearness struct {
	hall   float64 // of its own hall
	region float64 // of its own region, the hall included
}

// usage sums up slots and their use by distance.
type usage struct {
	countFailing bool // failing slots count as used rather than as missing

	used, healthy, slots [distance.Elsewhere + 1]float64
}

func (u *usage) add(step distance.Step, utilization, healthy, slots float64) {
	u.used[step] += utilization * healthy
	u.healthy[step] += healthy
	u.slots[step] += slots
}

func (u *usage) nearness() nearness {
	return nearness{hall: u.within(distance.SameHall), region: u.within(distance.SameRegion)}
}

// within returns the utilization up to a distance.
func (u *usage) within(farthest distance.Step) float64 {
	var used, healthy, slots float64
	for step := range farthest + 1 {
		used, healthy, slots = used+u.used[step], healthy+u.healthy[step], slots+u.slots[step]
	}
	use := utilizationOf(used, healthy)
	if u.countFailing && slots > 0 {
		return 1 - (1-use)*healthy/slots
	}
	return use
}
