package checker

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// rollbackSlack is how long after a worker saw a box act on a configuration the box may still
// act on an older one.
const rollbackSlack = 250 * time.Millisecond

// Change is a configuration, or a worker that leaves, in a store that loses what it confirmed.
type Change struct {
	Version int    // of the configuration; 0 for a worker
	Worker  string // that leaves; empty for a configuration
	Held    []Span // each from a confirmation until the store lost the change
}

// binds reports whether a box has to act on the change at a time: it had known it for the bound
// by a confirmation, and has not been disrupted since.
func (c Change) binds(at time.Time, bound time.Duration, disrupted []Span) bool {
	return slices.ContainsFunc(c.Held, func(h Span) bool {
		known := h.From.Add(bound)
		return known.Before(at) && known.Before(h.Until) && !overlaps(disrupted, h.From.Add(-contactTime), at)
	})
}

// restoredCheck holds the histories of a store that came back from older copies.
type restoredCheck struct {
	bound          time.Duration
	configurations map[int]Change
	leaving        map[string]Change
	attempts       map[string]Attempt
	ran            map[string][]Arrival // by request
	inForce        map[string][]inForce // by box
	disrupted      map[string][]Span    // by box
	links          map[string][]Span    // when they were broken, by worker
}

// inForce is a configuration that a worker saw in force at a box.
type inForce struct {
	at      time.Time
	version int
}

// CheckRestored checks that boxes act on changes within a bound, counted from a confirmation by
// the store that it didn't lose within the bound, and that no box acts on an older configuration
// than one it has acted on. It returns the violations and the number of requests that were checked.
func (c *Checker) CheckRestored(attempts []Attempt, arrivals []Arrival, changes []Change, disrupted, links map[string][]Span, bound time.Duration) (violations []Violation, counted int) {
	h := restoredCheck{
		bound: bound, configurations: map[int]Change{}, leaving: map[string]Change{}, attempts: map[string]Attempt{},
		ran: map[string][]Arrival{}, inForce: map[string][]inForce{}, disrupted: disrupted, links: links,
	}
	for _, change := range changes {
		if change.Worker != "" {
			h.leaving[change.Worker] = change
			continue
		}
		h.configurations[change.Version] = change
	}
	for _, a := range attempts {
		h.attempts[a.ID] = a
	}
	for _, r := range arrivals {
		a := h.attempts[r.ID]
		h.ran[r.ID] = append(h.ran[r.ID], r)
		h.inForce[a.Box] = append(h.inForce[a.Box], inForce{r.At, a.Added})
		if _, ok := h.leaving[r.Worker]; ok {
			counted++
		}
		violations = append(violations, h.checkLeaving(a, r)...)
	}
	for _, a := range attempts {
		if a.Dropped > 0 || a.Status == http.StatusUnauthorized {
			counted++
		}
		violations = append(violations, h.checkKey(a)...)
	}
	return violations, counted
}

// checkLeaving returns a violation if a request reached a worker that had left.
func (h restoredCheck) checkLeaving(a Attempt, r Arrival) []Violation {
	c, ok := h.leaving[r.Worker]
	if !ok || !c.binds(r.At, h.bound, h.disrupted[a.Box]) || overlaps(h.links[r.Worker], a.Sent, r.At) {
		return nil
	}
	return []Violation{{Drain, a.ID, fmt.Sprintf("reached %s from %s %v after the store last confirmed that it leaves", r.Worker, a.Box, r.At.Sub(c.confirmed(r.At)))}}
}

// confirmed returns when the store last confirmed the change before a time.
func (c Change) confirmed(before time.Time) (at time.Time) {
	for _, h := range c.Held {
		if h.From.Before(before) {
			at = h.From
		}
	}
	return at
}

// checkKey returns a violation if a request ran with a key that was dropped, or was refused with
// one that exists.
func (h restoredCheck) checkKey(a Attempt) []Violation {
	var version int // which the box did not act on
	var what string
	switch {
	case a.Dropped > 0 && len(h.ran[a.ID]) > 0:
		version, what = a.Dropped, "ran with a key that was dropped"
	case a.Dropped == 0 && a.Status == http.StatusUnauthorized:
		version, what = a.Added, "was refused with a key that was added"
	default:
		return nil
	}
	c := h.configurations[version]
	if c.binds(a.Sent, h.bound, h.disrupted[a.Box]) {
		return []Violation{{Config, a.ID, fmt.Sprintf("%s at %s %v after the store last confirmed version %d", what, a.Box, a.Sent.Sub(c.confirmed(a.Sent)), version)}}
	}
	if at, ok := h.wentBack(a, version); ok {
		return []Violation{{Config, a.ID, fmt.Sprintf("%s at %s %v after version %d or a later one was in force there", what, a.Box, a.Sent.Sub(at), version)}}
	}
	return nil
}

// wentBack reports whether a worker saw a version or a later one in force at a request's box
// before it was sent, in the same life of the box's process, and when.
func (h restoredCheck) wentBack(a Attempt, version int) (at time.Time, ok bool) {
	for _, f := range h.inForce[a.Box] {
		if f.version >= version && f.at.Add(rollbackSlack).Before(a.Sent) && !overlaps(h.disrupted[a.Box], f.at, a.Sent) {
			return f.at, true
		}
	}
	return time.Time{}, false
}
