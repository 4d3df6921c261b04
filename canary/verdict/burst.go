package verdict

import "time"

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
// are not tested but suspect, until later answers show that the upstream answers as the baseline
// does again, or until it has given no bad one for a while.
type burst struct {
	began   time.Time
	bad     int
	suspect int
	later   scores // of the answers since the end of the burst
}

// tested returns how many of the bad answers of a time are to be tested.
func (b *burst) tested(at time.Time, bad, good int, rate float64) int {
	if at.Sub(b.began) >= burstTime {
		b.addLater(bad, good, rate)
		if bad > 0 {
			*b = burst{began: at}
		}
	}
	tested := min(bad, burstBad-b.bad)
	b.bad += tested
	b.suspect += bad - tested
	return tested
}

// addLater applies answers after the burst. Unlike a chart, the sum does not restart at zero.
func (b *burst) addLater(bad, good int, rate float64) {
	for i, ratio := range ratios(bad, good, rate) {
		b.later[i] += ratio
	}
}

// suspects returns the number of answers that are suspect at a time.
func (b *burst) suspects(now time.Time) int {
	if now.Sub(b.began) > suspectTime || b.later[middleChart] < 0 {
		return 0
	}
	return b.suspect
}
