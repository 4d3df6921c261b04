package speeds

import "math"

const (
	// minSpreadWindows is the minimum number of windows with a concurrent prefill from
	// which a stream counts towards the spread.
	minSpreadWindows = 2
	// initialSpread and initialDeviation are the spread, as a logarithm, and its
	// deviation until streams have been measured. Where prompts are prefilled in a few
	// large chunks, most windows include none.
	initialSpread    = 0.5
	initialDeviation = 0.25
	// initialStreams is the number of streams that the initial values count for.
	initialStreams = 3.0
	// spreadDecay is the factor on the weight of earlier streams with each new one, so
	// that about 50 count.
	spreadDecay = 0.98
	// safetyFactor is the margin that an engine has to keep below the maximum gap: just
	// below, one more stream would make it exceed the gap.
	safetyFactor = 1.25
)

// spread is by how much the longest gap of a stream exceeds the mean of the longest
// gaps of its windows, as a logarithm. Engines are estimated by the latter, while
// clients judge a stream by the former. Values are immutable.
type spread struct{ weight, sum, squares float64 }

func newSpread() spread {
	return spread{initialStreams, initialStreams * initialSpread, initialStreams * (initialSpread*initialSpread + initialDeviation*initialDeviation)}
}

// with adds the spread of a stream, as a logarithm.
func (s spread) with(log float64) spread {
	return spread{spreadDecay*s.weight + 1, spreadDecay*s.sum + log, spreadDecay*s.squares + log*log}
}

// margin returns by how much the longest gap of a window has to stay below the maximum,
// as a logarithm.
func (s spread) margin() float64 {
	mean := s.sum / s.weight
	return mean + math.Sqrt(max(s.squares/s.weight-mean*mean, 0)) + math.Log(safetyFactor)
}
