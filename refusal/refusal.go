// Package refusal is the one enumeration of why a request has no answer, and
// how each reason reads to callers, logs and counters.
package refusal

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"petrelstep/wire"
)

// Refusal is the typed error that ends a request. Values are immutable.
type Refusal struct {
	reason  Reason
	outcome Outcome
	detail  string
	places  []string
	after   time.Duration
	request string
	version int
}

// New returns the refusal for a reason with its default outcome.
func New(reason Reason, detail string) Refusal {
	m, ok := meanings[reason]
	if !ok {
		m = meanings[InternalUnexpected]
	}
	return Refusal{reason: reason, outcome: m.outcome, detail: detail}
}

// WithOutcome returns a copy with an outcome other than the default of its reason.
func (r Refusal) WithOutcome(o Outcome) Refusal { r.outcome = o; return r }

// WithRetryAfter returns a copy that says when to come back.
func (r Refusal) WithRetryAfter(d time.Duration) Refusal { r.after = d; return r }

// WithPlaces returns a copy that lists the place of each mistake.
func (r Refusal) WithPlaces(places []string) Refusal { r.places = places; return r }

// WithRequest returns a copy that names the request.
func (r Refusal) WithRequest(id string) Refusal { r.request = id; return r }

// WithVersion returns a copy that gives the version now in force.
func (r Refusal) WithVersion(v int) Refusal { r.version = v; return r }

// Reason returns why.
func (r Refusal) Reason() Reason { return r.reason }

// Outcome returns what is known of whether the request has run.
func (r Refusal) Outcome() Outcome { return r.outcome }

// RetryAfter returns when to come back; zero says nothing.
func (r Refusal) RetryAfter() time.Duration { return r.after }

// Error implements error.
func (r Refusal) Error() string { return string(r.outcome) + "/" + string(r.reason) + ": " + r.detail }

// Status returns the HTTP status.
func (r Refusal) Status() int {
	if m, ok := meanings[r.reason]; ok {
		return m.status
	}
	return http.StatusInternalServerError
}

// Body returns the wire form.
func (r Refusal) Body() wire.RefusalBody {
	return wire.RefusalBody{
		Ending:       wire.RefusalBodyEnding(r.outcome),
		Reason:       string(r.reason),
		Detail:       r.detail,
		Places:       r.places,
		RetryAfterMs: int(r.after.Milliseconds()),
		Request:      r.request,
		Version:      r.version,
	}
}

// Write sends the refusal as the whole HTTP answer.
func (r Refusal) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if r.after > 0 {
		// Retry-After counts whole seconds; rounding down would invite callers early.
		seconds := int64((r.after + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(r.Status())
	// The caller may be gone; nothing is left to tell it then.
	_ = json.NewEncoder(w).Encode(r.Body())
}
