// Package health decides which upstreams may get new work. An upstream is suspect after
// a longer silence than its own pace predicts, on probation when it returns, and gets
// nothing once it leaves until a newer incarnation is seen.
package health

import (
	"sync"
	"time"
)

const (
	// silentSteps is the number of steps without a report that makes an upstream
	// suspect.
	silentSteps = 40
	// defaultSilence is the longest normal silence of an upstream that has not reported
	// yet.
	defaultSilence = 3 * time.Second
	// probationTime is how long an upstream is on probation after it returns.
	probationTime = 5 * time.Second
	// probationInterval is the minimum time between new work during probation.
	probationInterval = 500 * time.Millisecond
	// failuresToSuspect is the number of consecutive failed dispatches that makes an
	// upstream suspect.
	failuresToSuspect = 3
)

type record struct {
	incarnation  int
	leaving      bool
	lastSeen     time.Time
	step         time.Duration
	maxSilence   time.Duration
	failures     int
	suspect      bool
	returnedAt   time.Time
	lastDispatch time.Time
}

// Health holds the health of each upstream. It is safe for concurrent use.
type Health struct {
	mu      sync.Mutex
	records map[string]*record
}

// New returns a Health without upstreams.
func New() *Health { return &Health{records: map[string]*record{}} }

// MarkSeen handles a report of an upstream with its incarnation, the time of its steps,
// and the minimum silence that is significant, which depends on how often reports
// arrive. A newer incarnation clears leaving and suspicion.
func (h *Health) MarkSeen(now time.Time, upstream string, incarnation int, step, minSilence time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(upstream)
	if incarnation < r.incarnation {
		return
	}
	if incarnation > r.incarnation {
		if r.incarnation != 0 {
			r.returnedAt = now
		}
		r.incarnation, r.leaving, r.failures = incarnation, false, 0
	}
	if r.suspect || r.failures == 0 && !r.lastSeen.IsZero() && now.Sub(r.lastSeen) > r.maxSilence {
		r.suspect, r.returnedAt = false, now
	}
	r.lastSeen, r.step = now, step
	r.setMinSilence(minSilence)
}

// SetMinSilence sets the minimum silence that is significant when reports of an upstream
// start to arrive more or less often. An upstream that is silent already stays so until
// its next report.
func (h *Health) SetMinSilence(now time.Time, upstream string, minSilence time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.record(upstream); !r.isSilent(now) {
		r.setMinSilence(minSilence)
	}
}

// MarkLeaving records that an incarnation takes no new work; zero stands for the last
// one seen.
func (h *Health) MarkLeaving(upstream string, incarnation int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(upstream)
	if incarnation == 0 || incarnation >= r.incarnation {
		r.incarnation = max(r.incarnation, incarnation)
		r.leaving = true
	}
}

// ClearLeaving cancels a leaving that an operator declared.
func (h *Health) ClearLeaving(upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record(upstream).leaving = false
}

// RecordFailure records a dispatch without an answer.
func (h *Health) RecordFailure(upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(upstream)
	r.failures++
	if r.failures >= failuresToSuspect {
		r.suspect = true
	}
}

// RecordSuccess records a dispatch that was answered.
func (h *Health) RecordSuccess(now time.Time, upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(upstream)
	if r.suspect {
		r.suspect, r.returnedAt = false, now
	}
	r.failures = 0
	r.lastSeen = now
}

// Eligible reports whether the upstream may get new work now. During probation it may
// once per probationInterval.
func (h *Health) Eligible(now time.Time, upstream string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(upstream)
	if r.leaving || r.suspect || r.isSilent(now) {
		return false
	}
	if !r.returnedAt.IsZero() && now.Sub(r.returnedAt) < probationTime {
		return now.Sub(r.lastDispatch) >= probationInterval
	}
	return true
}

// EligibleAsFallback reports whether the upstream may get new work where no other is
// eligible: one on probation may.
func (h *Health) EligibleAsFallback(now time.Time, upstream string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(upstream)
	return !r.leaving && !r.suspect && !r.isSilent(now)
}

// RecordDispatch records that the upstream gets new work.
func (h *Health) RecordDispatch(now time.Time, upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record(upstream).lastDispatch = now
}

// LeavingIncarnations returns the leaving upstreams with their incarnations.
func (h *Health) LeavingIncarnations() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	leaving := map[string]int{}
	for name, r := range h.records {
		if r.leaving {
			leaving[name] = r.incarnation
		}
	}
	return leaving
}

func (r *record) setMinSilence(minSilence time.Duration) {
	r.maxSilence = max(minSilence, silentSteps*r.step)
}

func (r *record) isSilent(now time.Time) bool {
	return !r.lastSeen.IsZero() && now.Sub(r.lastSeen) > r.maxSilence
}

func (h *Health) record(upstream string) *record {
	r, ok := h.records[upstream]
	if !ok {
		r = &record{maxSilence: defaultSilence}
		h.records[upstream] = r
	}
	return r
}
