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
	// leftMost is how long after a box has passed on a worker's word that it leaves a
	// caller may send what still reaches the worker.
	leftMost = 2 * time.Second
	// restFrom is how long after an answer that asks for rest requests of the same box
	// count, and restAllowed how many may reach the worker until the rest's end.
	restFrom    = 500 * time.Millisecond
	restAllowed = 2
	// lostWithin is how long before and after a break of a worker's link answers may be
	// lost with it.
	lostWithin = time.Second
)

// Arrival is one request at a worker.
type Arrival struct {
	Worker      string
	Incarnation int64 // of the worker
	worker.Arrival
}

// heard is what words are held against.
type heard struct {
	attempts map[string]Attempt
	arrived  []Arrival
	struck   map[string][]Span // by box
	broken   map[string][]Span // links, by worker
}

// CheckAnnouncements returns the requests that reached workers against what those had said to the
// boxes that sent them. A box that was struck meanwhile is excused. It returns how many
// words were held against them too.
func (v *Checker) CheckAnnouncements(attempts []Attempt, arrived []Arrival, struck, broken map[string][]Span) (breaks []Violation, counted int) {
	h := heard{attempts: map[string]Attempt{}, arrived: arrived, struck: struck, broken: broken}
	for _, a := range attempts {
		h.attempts[a.ID] = a
	}
	left, told := h.left()
	rested, asked := h.rested()
	return append(left, rested...), told + asked
}

// left holds arrivals against the first answer by which each box told a caller that the
// worker leaves.
func (h heard) left() (breaks []Violation, counted int) {
	type key struct {
		box, worker string
		life        int64
	}
	told := map[key]time.Time{}
	for _, r := range h.arrived {
		a, ok := h.attempts[r.ID]
		if !ok || !r.Leaving || a.Status != http.StatusOK || !a.Complete || !strings.HasSuffix(a.Answer, " by "+r.Worker) {
			continue
		}
		k := key{a.Box, r.Worker, r.Incarnation}
		if at, ok := told[k]; !ok || a.Ended.Before(at) {
			told[k] = a.Ended
		}
	}
	for _, r := range h.arrived {
		a := h.attempts[r.ID]
		at, ok := told[key{a.Box, r.Worker, r.Incarnation}]
		if late := a.Sent.Sub(at); ok && late > leftMost && !overlaps(h.struck[a.Box], at, r.At) {
			breaks = append(breaks, Violation{Drain, r.ID, fmt.Sprintf("reached %s from %s %v after its word", r.Worker, a.Box, late)})
		}
	}
	return breaks, len(told)
}

// rested holds arrivals against each answer that asked a box for rest.
func (h heard) rested() (breaks []Violation, counted int) {
	for _, r := range h.arrived {
		a, ok := h.attempts[r.ID]
		until := r.At.Add(r.Backoff)
		lost := overlaps(h.broken[r.Worker], r.At.Add(-lostWithin), r.At.Add(lostWithin))
		if !ok || r.Backoff == 0 || a.GaveUp || lost || overlaps(h.struck[a.Box], r.At, until) {
			continue
		}
		counted++
		n := 0
		for _, o := range h.arrived {
			if o.Worker == r.Worker && o.Incarnation == r.Incarnation && h.attempts[o.ID].Box == a.Box && o.At.After(r.At.Add(restFrom)) && o.At.Before(until) {
				n++
			}
		}
		if n > restAllowed {
			breaks = append(breaks, Violation{Rest, r.ID, fmt.Sprintf("%s asked %s for %v of rest and got %d requests", r.Worker, a.Box, r.Backoff, n)})
		}
	}
	return breaks, counted
}

// overlaps tells whether any of some spans has a part of a time.
func overlaps(spans []Span, from, until time.Time) bool {
	return slices.ContainsFunc(spans, func(s Span) bool { return s.From.Before(until) && s.Until.After(from) })
}
