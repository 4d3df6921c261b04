// Package refusal defines why a request was refused or failed, and how each reason is
// presented to callers, in logs and in metrics.
package refusal

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"petrelstep/wire"
)

// Refusal is the error that ends a request without an upstream's answer. Values are
// immutable.
type Refusal struct {
	reason     Reason
	outcome    Outcome
	detail     string
	places     []string
	retryAfter time.Duration
	request    string
	version    int
}

// New returns the refusal for a reason, with its default outcome.
func New(reason Reason, detail string) Refusal {
	m, ok := defaults[reason]
	if !ok {
		m = defaults[InternalUnexpected]
	}
	return Refusal{reason: reason, outcome: m.outcome, detail: detail}
}

// WithOutcome returns a copy with an outcome other than the default of its reason.
func (r Refusal) WithOutcome(o Outcome) Refusal { r.outcome = o; return r }

// WithRetryAfter returns a copy with a Retry-After.
func (r Refusal) WithRetryAfter(d time.Duration) Refusal { r.retryAfter = d; return r }

// WithPlaces returns a copy with the paths of the invalid fields.
func (r Refusal) WithPlaces(places []string) Refusal { r.places = places; return r }

// WithRequest returns a copy with the id of the request.
func (r Refusal) WithRequest(id string) Refusal { r.request = id; return r }

// WithVersion returns a copy with the current version of a resource.
func (r Refusal) WithVersion(v int) Refusal { r.version = v; return r }

// Reason returns the reason.
func (r Refusal) Reason() Reason { return r.reason }

// Outcome returns whether the request has run, as far as is known.
func (r Refusal) Outcome() Outcome { return r.outcome }

// RetryAfter returns when the caller may retry; 0 if unspecified.
func (r Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Error implements error.
func (r Refusal) Error() string { return string(r.outcome) + "/" + string(r.reason) + ": " + r.detail }

// Status returns the HTTP status.
func (r Refusal) Status() int {
	if m, ok := defaults[r.reason]; ok {
		return m.status
	}
	return http.StatusInternalServerError
}

// Body returns the JSON body.
func (r Refusal) Body() wire.RefusalBody {
	return wire.RefusalBody{
		Ending:       wire.RefusalBodyEnding(r.outcome),
		Reason:       string(r.reason),
		Detail:       r.detail,
		Places:       r.places,
		RetryAfterMs: int(r.retryAfter.Milliseconds()),
		Request:      r.request,
		Version:      r.version,
	}
}

// Write writes the refusal as an HTTP response.
func (r Refusal) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if r.retryAfter > 0 {
		// Retry-After is in whole seconds; round up, so that no caller retries early.
		seconds := int64((r.retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(r.Status())
	// The caller may have disconnected, so the error is ignored.
	_ = json.NewEncoder(w).Encode(r.Body())
}
