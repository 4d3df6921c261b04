// Package steptime predicts the time of an engine's decode step from its batch size and
// its memory in use, by least squares with exponential forgetting.
package steptime

import "time"

const (
	// decay is the factor on the weight of earlier reports with each new one.
	decay = 0.995
	// minReports is the number of reports from which the fit is used.
	minReports = 8
)

// Model is the fit for engines of one kind. It is not safe for concurrent use.
type Model struct {
	// Sums of a weighted regression of y on (1, x1, x2): step time in ms, batch size
	// and memory in thousands of tokens.
	s, s1, s2, s11, s12, s22 float64
	sy, s1y, s2y             float64
	reports                  int
}

// New returns a model without data.
func New() *Model { return &Model{} }

// Observe adds a report: generations in the batch, memory in use in tokens, and the
// mean time of a step.
func (m *Model) Observe(batch, used int, step time.Duration) {
	if batch == 0 || step <= 0 {
		return
	}
	x1, x2, y := float64(batch), float64(used)/1000, step.Seconds()*1000
	for _, v := range []*float64{&m.s, &m.s1, &m.s2, &m.s11, &m.s12, &m.s22, &m.sy, &m.s1y, &m.s2y} {
		*v *= decay
	}
	m.s++
	m.s1 += x1
	m.s2 += x2
	m.s11 += x1 * x1
	m.s12 += x1 * x2
	m.s22 += x2 * x2
	m.sy += y
	m.s1y += x1 * y
	m.s2y += x2 * y
	m.reports++
}

// Step returns the expected time of a step; 0 before minReports.
func (m *Model) Step(batch, used int) time.Duration {
	if m.reports < minReports {
		return 0
	}
	a, b, c := m.fit()
	ms := a + b*float64(batch) + c*float64(used)/1000
	if ms < 0 {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// fit solves the normal equations. A small ridge keeps them solvable while all reports
// are alike.
func (m *Model) fit() (a, b, c float64) {
	const ridge = 1e-3
	m1, m2, my := m.s1/m.s, m.s2/m.s, m.sy/m.s
	c11 := m.s11/m.s - m1*m1 + ridge
	c22 := m.s22/m.s - m2*m2 + ridge
	c12 := m.s12/m.s - m1*m2
	c1y := m.s1y/m.s - m1*my
	c2y := m.s2y/m.s - m2*my
	det := c11*c22 - c12*c12
	b = (c1y*c22 - c2y*c12) / det
	c = (c2y*c11 - c1y*c12) / det
	return my - b*m1 - c*m2, b, c
}
