// Package retry implements the retry budget: retries are limited to a share of successful
// requests, so that they cannot multiply the load during a fault. On each path only one
// layer retries: package relay for requests to upstreams, package dispatch for generations
// and package front for service calls.
package retry

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// defaultPerSuccess is the number of retries earned per success.
	defaultPerSuccess = 0.1
	// defaultLimit is the maximum number of retries saved up.
	defaultLimit = 20.0
	// MaxTries bounds the number of times one request is dispatched.
	MaxTries = 3

	initialWait = 20 * time.Millisecond
	maxWait     = time.Second
)

// Budget is a token bucket of retries, filled by successes. It is safe for use by several
// goroutines.
type Budget struct {
	mu         sync.Mutex
	tokens     float64
	perSuccess float64
	limit      float64
}

// New returns a full budget with the default limits.
func New() *Budget { return NewBudget(defaultPerSuccess, defaultLimit) }

// NewBudget returns a full budget that earns perSuccess retries per success and saves up
// to limit retries.
func NewBudget(perSuccess, limit float64) *Budget {
	return &Budget{tokens: limit, perSuccess: perSuccess, limit: limit}
}

// Succeeded adds what a success earns.
func (b *Budget) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.perSuccess, b.limit)
}

// Resize changes the limit; retries beyond it are lost.
func (b *Budget) Resize(limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit, b.tokens = limit, min(b.tokens, limit)
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Waits returns the delays between the tries of one request: exponential backoff with full
// jitter.
func Waits() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialWait
	b.MaxInterval = maxWait
	b.RandomizationFactor = 1
	return b
}
