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
	countedAt time.Time // begin of the time in which bad ones count as counted
	counted   int
	began     time.Time // first bad answer
	suspect   int
	all       scores // of the answers since the first bad one
	later     scores // of the answers since its end
}

// tested returns how many of the bad answers of a time are to be tested.
func (b *burst) tested(at time.Time, bad, good int, rate float64) int {
	if at.Sub(b.countedAt) >= burstTime {
		b.countedAt, b.counted = at, 0
	}
	tested := min(bad, burstBad-b.counted)
	b.counted += tested
	b.addSuspects(at, bad, good, bad-tested, rate)
	return tested
}

// addSuspects applies answers, some bad ones of which are not tested.
func (b *burst) addSuspects(at time.Time, bad, good, suspect int, rate float64) {
	ratios := ratios(bad, good, rate)
	if at.Sub(b.began) >= burstTime {
		b.later.sum(&ratios)
		if bad > 0 {
			b.began, b.suspect, b.all, b.later = at, 0, scores{}, scores{}
		}
	}
	b.all.sum(&ratios)
	b.suspect += suspect
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
