// Package survival implements the survival curve of a generation's length over
// log-spaced ranges.
package survival

import "math"

const (
	// Ranges is the number of ranges of length.
	Ranges = 32
	// firstUpper is the upper bound of the first range, in tokens.
	firstUpper = 8
	// perDoubling is the number of ranges per doubling of length.
	perDoubling = 2
)

var upperBounds = computeBounds()

func computeBounds() [Ranges]float64 {
	var u [Ranges]float64
	for r := range u {
		u[r] = firstUpper * math.Pow(2, float64(r)/perDoubling)
	}
	return u
}

// RangeOf returns the range of a length.
func RangeOf(tokens int) int {
	if tokens < firstUpper {
		return 0
	}
	r := int(math.Log2(float64(tokens)/firstUpper)*perDoubling) + 1
	return min(r, Ranges-1)
}

func lowerBound(r int) float64 {
	if r == 0 {
		return 0
	}
	return upperBounds[r-1]
}

// Curve is the chance that a generation exceeds each length. Values are immutable.
type Curve struct {
	hazards  [Ranges]float64
	survival [Ranges + 1]float64 // at the lower bound of each range
	mean     float64
	known    int // the length, where it is known in advance; else 0
}

// New returns the curve with these hazards, the chances to end within each range.
func New(hazards [Ranges]float64) *Curve {
	c := &Curve{hazards: hazards}
	c.survival[0] = 1
	for r, h := range hazards {
		c.survival[r+1] = c.survival[r] * (1 - h)
	}
	c.mean = c.integral(0)
	return c
}

// Known returns the curve of a generation of known length, for experiments with perfect
// predictions.
func Known(tokens int) *Curve { return &Curve{known: max(tokens, 1), mean: float64(tokens)} }

// Hazard returns the chance to end within a range once it is reached.
func (c *Curve) Hazard(r int) float64 { return c.hazards[r] }

// Survival returns the chance to exceed a number of tokens.
func (c *Curve) Survival(tokens int) float64 {
	r := RangeOf(tokens)
	lo, hi := lowerBound(r), upperBounds[r]
	fraction := (float64(tokens) - lo) / (hi - lo)
	fraction = math.Min(math.Max(fraction, 0), 1)
	return c.survival[r] + (c.survival[r+1]-c.survival[r])*fraction
}

// Beyond returns the chance that a generation with a number of tokens gets more than
// that many more.
func (c *Curve) Beyond(tokens, more int) float64 {
	if c.known > 0 {
		if tokens+more < c.known {
			return 1
		}
		return 0
	}
	s := c.Survival(tokens)
	if s < 1e-9 {
		// Beyond all observed lengths, assume that it continues for as long again.
		return math.Exp(-float64(more) / float64(max(tokens, 1)))
	}
	return c.Survival(tokens+more) / s
}

// Mean returns the expected length, in tokens.
func (c *Curve) Mean() float64 { return c.mean }

// Remaining returns the expected number of tokens still to come after a number of
// tokens.
func (c *Curve) Remaining(tokens int) float64 {
	s := c.Survival(tokens)
	if s < 1e-9 {
		return float64(max(tokens, 1))
	}
	return c.integral(tokens) / s
}

// RemainingUpTo returns the expected number of tokens still to come after a number of
// tokens, for a generation with a limit.
func (c *Curve) RemainingUpTo(tokens, limit int) float64 {
	s := c.Survival(tokens)
	if s < 1e-9 || limit <= tokens {
		return math.Min(float64(max(tokens, 1)), float64(max(limit-tokens, 0)))
	}
	return (c.integral(tokens) - c.integral(limit)) / s
}

// integral returns the integral of the survival from a number of tokens on.
func (c *Curve) integral(tokens int) float64 {
	start := RangeOf(tokens)
	at, s := float64(tokens), c.Survival(tokens)
	sum := 0.0
	for r := start; r < Ranges; r++ {
		sum += (upperBounds[r] - at) * (s + c.survival[r+1]) / 2
		at, s = upperBounds[r], c.survival[r+1]
	}
	return sum
}
