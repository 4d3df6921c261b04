// Package steptime learns how long an engine's step takes from the size of its
// batch and its memory in use, by least squares with forgetting.
package steptime

import "time"

const (
	forget = 0.995
	// warm is how many reports it takes before the fit is believed.
	warm = 8
)

// Model is the learned relation for engines of one kind. It is not safe for
// use by several goroutines.
type Model struct {
	// Sums of a weighted regression of y on (1, x1, x2).
	s, s1, s2, s11, s12, s22 float64
	sy, s1y, s2y             float64
	seen                     int
}

// New returns a pace that knows nothing.
func New() *Model { return &Model{} }

// Observe takes one report: generations in the batch, memory in use in
// tokens, and the mean time of a step.
func (p *Model) Observe(batch, used int, step time.Duration) {
	if batch == 0 || step <= 0 {
		return
	}
	x1, x2, y := float64(batch), float64(used)/1000, step.Seconds()*1000
	for _, v := range []*float64{&p.s, &p.s1, &p.s2, &p.s11, &p.s12, &p.s22, &p.sy, &p.s1y, &p.s2y} {
		*v *= forget
	}
	p.s++
	p.s1 += x1
	p.s2 += x2
	p.s11 += x1 * x1
	p.s12 += x1 * x2
	p.s22 += x2 * x2
	p.sy += y
	p.s1y += x1 * y
	p.s2y += x2 * y
	p.seen++
}

// Step returns the expected time of a step; zero while too little is known.
func (p *Model) Step(batch, used int) time.Duration {
	if p.seen < warm {
		return 0
	}
	a, b, c := p.fit()
	ms := a + b*float64(batch) + c*float64(used)/1000
	if ms < 0 {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// fit solves the normal equations; a small ridge keeps them solvable while
// all reports are alike.
func (p *Model) fit() (a, b, c float64) {
	const ridge = 1e-3
	m1, m2, my := p.s1/p.s, p.s2/p.s, p.sy/p.s
	c11 := p.s11/p.s - m1*m1 + ridge
	c22 := p.s22/p.s - m2*m2 + ridge
	c12 := p.s12/p.s - m1*m2
	c1y := p.s1y/p.s - m1*my
	c2y := p.s2y/p.s - m2*my
	det := c11*c22 - c12*c12
	b = (c1y*c22 - c2y*c12) / det
	c = (c2y*c11 - c1y*c12) / det
	return my - b*m1 - c*m2, b, c
}
