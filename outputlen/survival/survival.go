// Package survival is the survival curve of a generation's length over
// log-spaced ranges.
package survival

import "math"

const (
	// Ranges is how many ranges of length there are.
	Ranges = 32
	// first is the upper end of the first range, in tokens.
	first = 8
	// perDoubling is how many ranges a doubling of length spans.
	perDoubling = 2
)

var upper = uppers()

func uppers() [Ranges]float64 {
	var u [Ranges]float64
	for r := range u {
		u[r] = first * math.Pow(2, float64(r)/perDoubling)
	}
	return u
}

// RangeOf returns the range that a length of so many tokens falls in.
func RangeOf(tokens int) int {
	if tokens < first {
		return 0
	}
	r := int(math.Log2(float64(tokens)/first)*perDoubling) + 1
	return min(r, Ranges-1)
}

func lower(r int) float64 {
	if r == 0 {
		return 0
	}
	return upper[r-1]
}

// Curve gives the chance that a generation gets beyond a length. Values are
// immutable.
type Curve struct {
	hazards  [Ranges]float64
	survival [Ranges + 1]float64 // at the lower end of each range
	mean     float64
	known    int // the length itself, where an oracle tells it
}

// New returns the curve with these chances to end within each range.
func New(hazards [Ranges]float64) *Curve {
	c := &Curve{hazards: hazards}
	c.survival[0] = 1
	for r, h := range hazards {
		c.survival[r+1] = c.survival[r] * (1 - h)
	}
	c.mean = c.area(0)
	return c
}

// Known returns the curve of a generation whose length is known, for
// experiments that ask what perfect knowledge would be worth.
func Known(tokens int) *Curve { return &Curve{known: max(tokens, 1), mean: float64(tokens)} }

// Hazard returns the chance to end within a range once it is reached.
func (c *Curve) Hazard(r int) float64 { return c.hazards[r] }

// Survival returns the chance to get beyond so many tokens.
func (c *Curve) Survival(tokens int) float64 {
	r := RangeOf(tokens)
	lo, hi := lower(r), upper[r]
	part := (float64(tokens) - lo) / (hi - lo)
	part = math.Min(math.Max(part, 0), 1)
	return c.survival[r] + (c.survival[r+1]-c.survival[r])*part
}

// Beyond returns the chance that one which has so many tokens gets so many more.
func (c *Curve) Beyond(tokens, more int) float64 {
	if c.known > 0 {
		if tokens+more < c.known {
			return 1
		}
		return 0
	}
	s := c.Survival(tokens)
	if s < 1e-9 {
		// Beyond all that was ever seen, suppose that it goes on for as long again.
		return math.Exp(-float64(more) / float64(max(tokens, 1)))
	}
	return c.Survival(tokens+more) / s
}

// Mean returns the expected length, in tokens.
func (c *Curve) Mean() float64 { return c.mean }

// Remaining returns the expected number of tokens still to come after so many.
func (c *Curve) Remaining(tokens int) float64 {
	s := c.Survival(tokens)
	if s < 1e-9 {
		return float64(max(tokens, 1))
	}
	return c.area(tokens) / s
}

// RemainingUpTo returns the expected number of tokens still to come after so many, of
// one that ends at a limit at the latest.
func (c *Curve) RemainingUpTo(tokens, most int) float64 {
	s := c.Survival(tokens)
	if s < 1e-9 || most <= tokens {
		return math.Min(float64(max(tokens, 1)), float64(max(most-tokens, 0)))
	}
	return (c.area(tokens) - c.area(most)) / s
}

// area integrates the survival from so many tokens on.
func (c *Curve) area(tokens int) float64 {
	start := RangeOf(tokens)
	at, s := float64(tokens), c.Survival(tokens)
	sum := 0.0
	for r := start; r < Ranges; r++ {
		sum += (upper[r] - at) * (s + c.survival[r+1]) / 2
		at, s = upper[r], c.survival[r+1]
	}
	return sum
}
