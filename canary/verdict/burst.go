package verdict

import (
	"slices"
	"time"
)

const (
	// burstTime is the time in which the bad answers of one upstream may have one cause, since a
	// crash fails all that runs there at once.
	burstTime = time.Second
	// burstBad is the number of them that count.
	burstBad = 1
	// suspectTime is how long the others are suspect: a release that is bad fails again within it.
	suspectTime = 2 * time.Second
)

// burst holds the bad answers of one kind that an upstream gave within burstTime. All but burstBad
// are not tested but suspect, unless they are a few of many, until later answers show that the
// upstream answers as the baseline does again, or until it has given no bad one for a while.
type burst struct {
	began   time.Time
	bad     int
	suspect int
	all     scores // of the answers since its first bad one
	later   scores // of the answers since its end
}

// tested returns how many of the bad answers of a time are to be tested.
func (b *burst) tested(at time.Time, bad, good int, rate float64) int {
	ratios := ratios(bad, good, rate)
	if at.Sub(b.began) >= burstTime {
		b.later.sum(&ratios)
		if bad > 0 {
			*b = burst{began: at}
		}
	}
	b.all.sum(&ratios)
	tested := min(bad, burstBad-b.bad)
	b.bad += tested
	b.suspect += bad - tested
	return tested
}

// sum adds log likelihood ratios. Unlike a chart, the sum does not restart at zero.
func (s *scores) sum(ratios *scores) {
	for i, ratio := range ratios {
		s[i] += ratio
	}
}

// suspects returns the number of answers that are suspect at a time.
func (b *burst) suspects(now time.Time) int {
	if now.Sub(b.began) > suspectTime || b.later[middleChart] < 0 || slices.Max(b.all[:]) <= 0 {
		return 0
	}
	return b.suspect
}
