// Package prefill estimates the prefill rate of engines from the times to first events.
package prefill

import (
	"sync"
	"time"
)

const (
	// initialRate is the rate assumed without observations, in tokens per second.
	initialRate = 7000.0
	// initialWeight is the prefill time that the initial rate counts for.
	initialWeight = time.Second
	// decay is the factor on the weight of earlier prompts with each new one, so that
	// about 30 count.
	decay = 0.97
)

// Prefill is an estimate of the prefill rate. It is safe for concurrent use.
type Prefill struct {
	mu      sync.Mutex
	tokens  float64
	seconds float64
}

// New returns an estimate with the initial rate.
func New() *Prefill {
	return &Prefill{tokens: initialRate * initialWeight.Seconds(), seconds: initialWeight.Seconds()}
}

// Observe records how long a prompt and those queued before it took, tokens in all.
func (p *Prefill) Observe(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens = decay*p.tokens + float64(tokens)
	p.seconds = decay*p.seconds + took.Seconds()
}

// Time returns the expected time to prefill a number of tokens.
func (p *Prefill) Time(tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(float64(tokens) * p.seconds / p.tokens * float64(time.Second))
}
