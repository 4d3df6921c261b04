package checker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"petrelstep/standin/worker"
)

const (
	// maxAfterLeaving is how long after a box has passed on a response that announces leaving
	// a caller may still send a request that reaches the worker through the box.
	maxAfterLeaving = 2 * time.Second
	// backoffGrace is how long after a response that announces a backoff requests of the same
	// box begin to count, and maxInBackoff how many may reach the worker until its end.
	backoffGrace = 500 * time.Millisecond
	maxInBackoff = 2
	// linkBreakMargin is how long before and after a break of a worker's link responses may
	// be lost.
	linkBreakMargin = time.Second
)

// Arrival is a request that reached a worker.
type Arrival struct {
	Worker      string
	Incarnation int64  // of the worker
	Service     string // of the worker
	Version     string // of its software
	worker.Arrival
}

// announcementCheck holds the histories that announcements are checked against.
type announcementCheck struct {
	attempts  map[string]Attempt
	arrivals  []Arrival
	disrupted map[string][]Span // by box
	broken    map[string][]Span // links, by worker
}

// CheckAnnouncements checks that boxes stop sending requests to workers that have announced
// leaving or a backoff to them. It returns the violations and the number of announcements
// checked. A box that was disrupted meanwhile is excused.
func (c *Checker) CheckAnnouncements(attempts []Attempt, arrivals []Arrival, disrupted, broken map[string][]Span) (violations []Violation, counted int) {
	h := announcementCheck{attempts: map[string]Attempt{}, arrivals: arrivals, disrupted: disrupted, broken: broken}
	for _, a := range attempts {
		h.attempts[a.ID] = a
	}
	leaving, leavingCount := h.checkLeaving()
	backoffs, backoffCount := h.checkBackoffs()
	return append(leaving, backoffs...), leavingCount + backoffCount
}

// checkLeaving finds requests sent too long after the first response through the same box
// that announced that the worker is leaving.
func (h announcementCheck) checkLeaving() (violations []Violation, counted int) {
	type key struct {
		box, worker string
		incarnation int64
	}
	announced := map[key]time.Time{}
	for _, r := range h.arrivals {
		a, ok := h.attempts[r.ID]
		if !ok || !r.Leaving || a.Status != http.StatusOK || !a.Complete || !strings.HasSuffix(a.Answer, " by "+r.Worker) {
			continue
		}
		k := key{a.Box, r.Worker, r.Incarnation}
		if at, ok := announced[k]; !ok || a.Ended.Before(at) {
			announced[k] = a.Ended
		}
	}
	for _, r := range h.arrivals {
		a := h.attempts[r.ID]
		at, ok := announced[key{a.Box, r.Worker, r.Incarnation}]
		if delay := a.Sent.Sub(at); ok && delay > maxAfterLeaving && !overlaps(h.disrupted[a.Box], at, r.At) {
			violations = append(violations, Violation{Drain, r.ID, fmt.Sprintf("reached %s from %s %v after it announced leaving", r.Worker, a.Box, delay)})
		}
	}
	return violations, len(announced)
}

// checkBackoffs counts the requests that a box sent during each backoff announced to it.
func (h announcementCheck) checkBackoffs() (violations []Violation, counted int) {
	for _, r := range h.arrivals {
		a, ok := h.attempts[r.ID]
		until := r.At.Add(r.Backoff)
		lost := overlaps(h.broken[r.Worker], r.At.Add(-linkBreakMargin), r.At.Add(linkBreakMargin))
		if !ok || r.Backoff == 0 || a.GaveUp || lost || overlaps(h.disrupted[a.Box], r.At, until) {
			continue
		}
		counted++
		n := 0
		for _, o := range h.arrivals {
			if o.Worker == r.Worker && o.Incarnation == r.Incarnation && h.attempts[o.ID].Box == a.Box && o.At.After(r.At.Add(backoffGrace)) && o.At.Before(until) {
				n++
			}
		}
		if n > maxInBackoff {
			violations = append(violations, Violation{Backoff, r.ID, fmt.Sprintf("%s announced a backoff of %v to %s and got %d requests", r.Worker, r.Backoff, a.Box, n)})
		}
	}
	return violations, counted
}

// overlaps reports whether any span overlaps the given period.
func overlaps(spans []Span, from, until time.Time) bool {
	return slices.ContainsFunc(spans, func(s Span) bool { return s.From.Before(until) && s.Until.After(from) })
}
