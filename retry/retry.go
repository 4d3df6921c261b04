// Package retry keeps the budget of retries: a share of what succeeds, so
// that retries never multiply the load of a fault. Only one layer retries:
// package dispatch for generations and package front for service calls.
package retry

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// earned is what each success adds to the budget.
	earned = 0.1
	// most is the largest budget that can be saved up.
	most = 20.0
	// MaxTries bounds how often one request is dispatched.
	MaxTries = 3

	firstWait = 20 * time.Millisecond
	mostWait  = time.Second
)

// Budget is safe for use by several goroutines.
type Budget struct {
	mu     sync.Mutex
	saved  float64
	earned float64
	most   float64
}

// New returns a full budget.
func New() *Budget { return NewBudget(earned, most) }

// NewBudget returns a full budget that earns a part of a retry each time and
// saves up no more than most.
func NewBudget(earned, most float64) *Budget {
	return &Budget{saved: most, earned: earned, most: most}
}

// Succeeded earns a part of a retry.
func (b *Budget) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.earned, b.most)
}

// Resize changes the most that is saved up; what is saved beyond it is gone.
func (b *Budget) Resize(most float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most, b.saved = most, min(b.saved, most)
}

// Spend takes one retry from the budget; false if there is none left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Waits returns the waits between the tries of one request: exponential with
// full jitter.
func Waits() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstWait
	b.MaxInterval = mostWait
	b.RandomizationFactor = 1
	return b
}
