// Package forecast predicts the memory that an engine's generations need over the
// next tokens, with the variance due to their unknown lengths.
package forecast

import (
	"math"

	"petrelstep/outputlen/survival"
)

// Points is the number of points of a forecast.
const Points = 8

// ahead are the points of a forecast, in tokens from now. All generations of an
// engine grow by one token per step, so tokens measure time.
var ahead = [Points]int{0, 64, 192, 448, 1024, 2048, 4096, 8192}

// Need is one generation's demand for memory.
type Need struct {
	Prompt    int // tokens
	Tokens    int // generated so far
	MaxTokens int // maximum to generate
	Curve     *survival.Curve
}

// at returns mean and variance of the memory in use t tokens from now.
func (n Need) at(t int) (mean, variance float64) {
	if n.Tokens+t > n.MaxTokens {
		return 0, 0
	}
	held := float64(n.Prompt + n.Tokens + t)
	p := n.Curve.Beyond(n.Tokens, t)
	return held * p, held * held * p * (1 - p)
}

// Demand returns mean and variance at every point.
func (n Need) Demand() Demand {
	var d Demand
	for i, t := range ahead {
		d.mean[i], d.variance[i] = n.at(t)
	}
	return d
}

// Demand is mean and variance of memory at each point ahead. Values are
// immutable.
type Demand struct{ mean, variance [Points]float64 }

// With returns the sum of two demands.
func (d Demand) With(o Demand) Demand {
	for i := range d.mean {
		d.mean[i] += o.mean[i]
		d.variance[i] += o.variance[i]
	}
	return d
}

// Peak returns the highest demand at any point, in tokens: the mean plus the
// given number of standard deviations. extra is the variance of memory use that
// does not depend on the generations.
func (d Demand) Peak(deviations, extra float64) float64 {
	peak := 0.0
	for i := range d.mean {
		peak = math.Max(peak, d.mean[i]+deviations*math.Sqrt(d.variance[i]+extra))
	}
	return peak
}

// Mean returns the mean demand now, in tokens.
func (d Demand) Mean() float64 { return d.mean[0] }

// New returns the demand of many generations together.
func New(needs []Need) Demand {
	var sum Demand
	for _, n := range needs {
		sum = sum.With(n.Demand())
	}
	return sum
}
