package checker

import (
	"fmt"
	"time"
)

// contactTime is how long a box must have been undisturbed, and able to reach the store, to be
// held to a bound.
const contactTime = 3 * time.Second

// TurnedAway is the time in which the store turned a box away while it served others.
type TurnedAway struct {
	Box         string
	Unreachable bool // no answers came from the store
	Span
}

// Departure is a worker that leaves, as the store has confirmed.
type Departure struct {
	Worker string
	At     time.Time
}

// changeCheck holds the histories that changes in the store are checked against.
type changeCheck struct {
	bound    time.Duration
	attempts map[string]Attempt
	excused  map[string][]Span // by box
	links    map[string][]Span // when they were broken, by worker
}

// CheckChanges checks that boxes act on revoked keys and leaving workers within a bound, counted
// from the store's confirmation, also while the store turns some of them away. Boxes that were disturbed
// or did not reach the store are excused, and arrivals over a link that was broken. It returns the violations and the number of requests
// that were checked: those with a revoked key, and those at leaving workers.
func (c *Checker) CheckChanges(attempts []Attempt, arrivals []Arrival, away []TurnedAway, departures []Departure, disrupted, links map[string][]Span, bound time.Duration) (violations []Violation, counted int) {
	h := changeCheck{bound: bound, attempts: map[string]Attempt{}, excused: map[string][]Span{}, links: links}
	for box, spans := range disrupted {
		h.excused[box] = append(h.excused[box], spans...)
	}
	for _, a := range away {
		if a.Unreachable {
			h.excused[a.Box] = append(h.excused[a.Box], a.Span)
		}
	}
	for _, a := range attempts {
		h.attempts[a.ID] = a
		if !a.Revoked.IsZero() {
			counted++
		}
	}
	left := map[string]time.Time{}
	for _, d := range departures {
		left[d.Worker] = d.At
	}
	for _, r := range arrivals {
		if at, ok := left[r.Worker]; ok && r.At.After(at) {
			counted++
		}
		violations = append(violations, h.check(r, left)...)
	}
	return violations, counted
}

// check returns the violations of a request that reached a worker.
func (h changeCheck) check(r Arrival, left map[string]time.Time) (violations []Violation) {
	a, ok := h.attempts[r.ID]
	if !ok {
		return nil
	}
	if delay := a.Sent.Sub(a.Revoked); !a.Revoked.IsZero() && delay > h.bound && !h.isExcused(a.Box, a.Revoked, a.Sent) {
		violations = append(violations, Violation{Config, r.ID, fmt.Sprintf("sent to %s %v after its key was revoked", a.Box, delay)})
	}
	at, leaves := left[r.Worker]
	if delay := r.At.Sub(at); leaves && delay > h.bound && !h.isExcused(a.Box, at, r.At) && !overlaps(h.links[r.Worker], a.Sent, r.At) {
		violations = append(violations, Violation{Drain, r.ID, fmt.Sprintf("reached %s from %s %v after the store confirmed that it leaves", r.Worker, a.Box, delay)})
	}
	return violations
}

func (h changeCheck) isExcused(box string, from, until time.Time) bool {
	return overlaps(h.excused[box], from.Add(-contactTime), until)
}
