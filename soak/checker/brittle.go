package checker

import (
	"fmt"

	"petrelstep/standin/worker"
)

// The workers of a service may crash spareFalls times in a period, and once more for
// fallsDivisor of them.
const (
	spareFalls   = 2
	fallsDivisor = 10
)

// BrittlePeriod is a period in which the workers of a service announced that they bear few
// rejections.
type BrittlePeriod struct {
	Span
	Workers int
	Falls   []worker.Fall
}

// CheckBrittle returns a violation for each period in which workers crashed too often by rejections
// of boxes that were not disrupted, and the number of crashes.
func (c *Checker) CheckBrittle(attempts []Attempt, periods []BrittlePeriod, disrupted map[string][]Span) (violations []Violation, falls int) {
	boxes := make(map[string]string, len(attempts))
	for _, a := range attempts {
		boxes[a.ID] = a.Box
	}
	for _, p := range periods {
		counted := 0
		for _, f := range p.Falls {
			sound := 0
			for _, id := range f.Rejected {
				if !excused(f.At, disrupted[boxes[id]]) {
					sound++
				}
			}
			if 2*sound > len(f.Rejected) {
				counted++
			}
		}
		falls += counted
		if counted > spareFalls+p.Workers/fallsDivisor {
			violations = append(violations, Violation{Limits, "plain", fmt.Sprintf("%d crashes of %d workers that bear few rejections", counted, p.Workers)})
		}
	}
	return violations, falls
}
