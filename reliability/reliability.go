// Package reliability remembers how often each upstream failed of late.
package reliability

import (
	"math"
	"sync"
	"time"
)

const (
	// halfLife of what is remembered: some seconds, as faults last.
	halfLife = 3 * time.Second
	// prior counts as good answers seen, so that one failure is no verdict.
	prior = 2.0
)

type record struct {
	at     time.Time
	failed float64
	all    float64
}

// Reliability is safe for use by several goroutines.
type Reliability struct {
	mu      sync.Mutex
	records map[string]*record
}

// New returns an empty memory.
func New() *Reliability { return &Reliability{records: map[string]*record{}} }

// Record takes the outcome of one send.
func (r *Reliability) Record(now time.Time, upstream string, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.records[upstream]
	if !ok {
		e = &record{at: now}
		r.records[upstream] = e
	}
	e.decay(now)
	e.all++
	if failed {
		e.failed++
	}
}

// Failing returns the share of sends that failed of late, from 0 to 1.
func (r *Reliability) Failing(now time.Time, upstream string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.records[upstream]
	if !ok {
		return 0
	}
	e.decay(now)
	return e.failed / (e.all + prior)
}

func (e *record) decay(now time.Time) {
	part := math.Exp2(-float64(now.Sub(e.at)) / float64(halfLife))
	e.failed *= part
	e.all *= part
	e.at = now
}
