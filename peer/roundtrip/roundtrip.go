// Package roundtrip estimates how long calls to each peer take, as RFC 6298 does for TCP:
// a smoothed round trip plus four mean deviations.
package roundtrip

import (
	"sync"
	"time"
)

const (
	// smoothing and deviationSmoothing are the weights of a sample (RFC 6298, alpha and
	// beta).
	smoothing          = 1.0 / 8
	deviationSmoothing = 1.0 / 4
	// deviations is the number of mean deviations above the smoothed round trip (RFC
	// 6298, K).
	deviations = 4
	// Max bounds a sample and an estimate: a caller waits no longer for a peer that has
	// stopped.
	Max = 300 * time.Millisecond
	// retention is how long an estimate is used without a further sample.
	retention = time.Minute
)

// Estimator holds the estimates by peer address. It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	peers map[string]estimate
}

// estimate is the state of one peer.
type estimate struct {
	smoothed  time.Duration
	deviation time.Duration
	at        time.Time
}

// New returns an Estimator without samples.
func New() *Estimator { return &Estimator{peers: map[string]estimate{}} }

// Record adds the time that a call took. Calls that were retried must not be recorded, as
// their time includes the lost try (Karn's algorithm), nor calls that the peer held.
func (e *Estimator) Record(now time.Time, address string, took time.Duration) {
	took = min(max(took, 0), Max)
	e.mu.Lock()
	defer e.mu.Unlock()
	known, ok := e.peers[address]
	if !ok || now.Sub(known.at) > retention {
		e.prune(now)
		e.peers[address] = estimate{smoothed: took, deviation: took / 2, at: now}
		return
	}
	e.peers[address] = known.with(now, took)
}

// with returns the estimate with a further sample.
func (e estimate) with(now time.Time, took time.Duration) estimate {
	return estimate{
		deviation: mean(e.deviation, (e.smoothed - took).Abs(), deviationSmoothing),
		smoothed:  mean(e.smoothed, took, smoothing),
		at:        now,
	}
}

func mean(before, sample time.Duration, weight float64) time.Duration {
	return before + time.Duration(weight*float64(sample-before))
}

// prune removes the estimates of peers that are no longer called.
func (e *Estimator) prune(now time.Time) {
	for address, known := range e.peers {
		if now.Sub(known.at) > retention {
			delete(e.peers, address)
		}
	}
}

// Timeout returns within which time a call to a peer is expected to be answered, at most
// Max; false if it is unknown.
func (e *Estimator) Timeout(now time.Time, address string) (timeout time.Duration, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	of, known := e.peers[address]
	if !known || now.Sub(of.at) > retention {
		return 0, false
	}
	return min(of.smoothed+deviations*of.deviation, Max), true
}

// Smoothed returns the smoothed round trip to a peer; false if it is unknown.
func (e *Estimator) Smoothed(now time.Time, address string) (roundTrip time.Duration, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	of, known := e.peers[address]
	if !known || now.Sub(of.at) > retention {
		return 0, false
	}
	return of.smoothed, true
}
