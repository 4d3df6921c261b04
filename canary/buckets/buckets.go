// Package buckets divides durations into buckets, two to an octave from 1 ms on, as
// counted for roll-outs of a release.
package buckets

import (
	"math"
	"time"
)

// Count is the number of buckets; the last one starts at 131 s and has no end.
const Count = 35

const perOctave = 2

// Of returns the bucket of a duration. Below 1 ms it is the first.
func Of(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms < 1 {
		return 0
	}
	return min(int(perOctave*math.Log2(ms)), Count-1)
}

// Position returns where a duration lies on the scale: bucket i reaches from i to i+1.
func Position(d time.Duration) float64 {
	return perOctave * math.Log2(max(float64(d)/float64(time.Millisecond), 1))
}

// Width returns the distance on the scale between durations that differ by a factor.
func Width(factor float64) float64 { return perOctave * math.Log2(factor) }

// Duration returns the duration at a position of the scale.
func Duration(position float64) time.Duration {
	return time.Duration(math.Exp2(position/perOctave) * float64(time.Millisecond))
}
