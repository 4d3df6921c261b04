// Package health tells which upstreams may get new work. Silence beyond what
// an upstream's own pace predicts makes it suspect; one that returns is on
// probation; one that leaves, by any source, gets nothing until a newer
// incarnation is seen.
package health

import (
	"sync"
	"time"
)

const (
	// steps of silence that make an upstream suspect.
	silentSteps = 40
	// leastSilence holds where nothing is known of how often it is heard.
	leastSilence = 3 * time.Second
	// probation is how long a returned upstream gets only a trickle.
	probation = 5 * time.Second
	// trickle is the spacing of new work during probation.
	trickle = 500 * time.Millisecond
	// failuresToSuspect in a row, seen by own dispatches.
	failuresToSuspect = 3
)

type record struct {
	incarnation int
	leaving     bool
	heard       time.Time
	silence     time.Duration
	failures    int
	suspect     bool
	returned    time.Time
	last        time.Time
}

// Health is safe for use by several goroutines.
type Health struct {
	mu      sync.Mutex
	records map[string]*record
}

// New returns a health that knows no upstream.
func New() *Health { return &Health{records: map[string]*record{}} }

// MarkSeen takes a sign of life with the upstream's incarnation, the time of its
// steps, and the least silence that means anything, which depends on how often
// it is heard. A newer incarnation clears leaving and suspicion.
func (h *Health) MarkSeen(now time.Time, upstream string, incarnation int, step, least time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(upstream)
	if incarnation < r.incarnation {
		return
	}
	if incarnation > r.incarnation {
		if r.incarnation != 0 {
			r.returned = now
		}
		r.incarnation, r.leaving, r.failures = incarnation, false, 0
	}
	if r.suspect || r.failures == 0 && !r.heard.IsZero() && now.Sub(r.heard) > r.silence {
		r.suspect, r.returned = false, now
	}
	r.heard = now
	r.silence = max(least, silentSteps*step)
}

// MarkLeaving notes that an incarnation takes no new work. Zero means the one
// last seen.
func (h *Health) MarkLeaving(upstream string, incarnation int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(upstream)
	if incarnation == 0 || incarnation >= r.incarnation {
		r.incarnation = max(r.incarnation, incarnation)
		r.leaving = true
	}
}

// ClearLeaving takes back what an operator's declaration said of leaving.
func (h *Health) ClearLeaving(upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record(upstream).leaving = false
}

// RecordFailure notes that a dispatch failed without an answer.
func (h *Health) RecordFailure(upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(upstream)
	r.failures++
	if r.failures >= failuresToSuspect {
		r.suspect = true
	}
}

// RecordSuccess notes that a dispatch was answered.
func (h *Health) RecordSuccess(now time.Time, upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(upstream)
	if r.suspect {
		r.suspect, r.returned = false, now
	}
	r.failures = 0
	r.heard = now
}

// Eligible tells whether the upstream may get new work now, and notes that it
// does. During probation only a trickle may.
func (h *Health) Eligible(now time.Time, upstream string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(upstream)
	if r.leaving || r.suspect || r.silent(now) {
		return false
	}
	if !r.returned.IsZero() && now.Sub(r.returned) < probation {
		return now.Sub(r.last) >= trickle
	}
	return true
}

// EligibleAsFallback is May where there is nothing else: an upstream on probation is
// better than a refusal.
func (h *Health) EligibleAsFallback(now time.Time, upstream string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(upstream)
	return !r.leaving && !r.suspect && !r.silent(now)
}

// RecordDispatch notes that the upstream gets new work.
func (h *Health) RecordDispatch(now time.Time, upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record(upstream).last = now
}

// LeavingIncarnations lists the upstreams that leave, with the incarnation that does.
func (h *Health) LeavingIncarnations() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	gone := map[string]int{}
	for name, r := range h.records {
		if r.leaving {
			gone[name] = r.incarnation
		}
	}
	return gone
}

func (r *record) silent(now time.Time) bool {
	return !r.heard.IsZero() && now.Sub(r.heard) > r.silence
}

func (h *Health) record(upstream string) *record {
	r, ok := h.records[upstream]
	if !ok {
		r = &record{silence: leastSilence}
		h.records[upstream] = r
	}
	return r
}
