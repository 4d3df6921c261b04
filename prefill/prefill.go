// Package prefill learns how fast engines read prompts, from how long requests
// wait for their first events.
package prefill

import (
	"sync"
	"time"
)

const (
	// guess is what an engine is taken to read in a second until some have been
	// seen to: the mean of the first model engines that were measured.
	guess = 7000.0
	// guessWeight is how many prompts' worth of time the guess counts for.
	guessWeight = time.Second
	// kept is the part of what was seen that is kept with each prompt: some 30 of
	// them count.
	kept = 0.97
)

// Prefill is safe for use by several goroutines.
type Prefill struct {
	mu     sync.Mutex
	tokens float64
	took   float64 // seconds
}

// New returns a rate that is a guess.
func New() *Prefill {
	return &Prefill{tokens: guess * guessWeight.Seconds(), took: guessWeight.Seconds()}
}

// Observe notes that so many tokens, a prompt's and those before it, were read in a
// time.
func (p *Prefill) Observe(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens = kept*p.tokens + float64(tokens)
	p.took = kept*p.took + took.Seconds()
}

// Time returns how long an engine takes to read so many tokens.
func (p *Prefill) Time(tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(float64(tokens) * p.took / p.tokens * float64(time.Second))
}
