package speeds

import "math"

const (
	// spreadWindows is from how many windows with a prompt beside on a stream tells how
	// much its longest event is above the mean of those of its windows.
	spreadWindows = 2
	// spreadGuess is that, as a logarithm, until streams have told, and doubtGuess its
	// deviation: where a prompt is read in a few large pieces, most windows hold none.
	spreadGuess = 0.5
	doubtGuess  = 0.25
	// guessStreams is how many streams the guess counts for.
	guessStreams = 3.0
	// spreadKept is the part that is kept with each stream: some 50 of them count.
	spreadKept = 0.98
	// safety is how much less than the pause an engine has to take: one that is just
	// below it is above it when one more stream runs there.
	safety = 1.25
)

// spread is how much longer the longest event of a stream is than the mean of the
// longest of its windows, by which engines are known: callers judge a stream by that
// one. Values are immutable.
type spread struct{ weight, sum, squares float64 }

func newSpread() spread {
	return spread{guessStreams, guessStreams * spreadGuess, guessStreams * (spreadGuess*spreadGuess + doubtGuess*doubtGuess)}
}

// with adds a stream's, as a logarithm.
func (s spread) with(log float64) spread {
	return spread{spreadKept*s.weight + 1, spreadKept*s.sum + log, spreadKept*s.squares + log*log}
}

// margin is how many times the mean an engine has to keep, as a logarithm.
func (s spread) margin() float64 {
	mean := s.sum / s.weight
	return mean + math.Sqrt(max(s.squares/s.weight-mean*mean, 0)) + math.Log(safety)
}
