package checker

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// badAnswersUntilRollback is the number of bad answers of a version after which, with
	// RolloutBounds.Rollback, it may get no more requests.
	badAnswersUntilRollback = 50
	// stopSlack is how long after completion a request that was on its way may reach a worker
	// that has stopped.
	stopSlack = 250 * time.Millisecond
	// CompletionLossTime is how long after completion a request that ends is held to have
	// been lost by it.
	CompletionLossTime = 2 * time.Second
)

// States of a roll-out's status.
const (
	StateCompleted  = "completed"
	StateRolledBack = "rolled_back"
)

// RolloutState is a state that was written to a roll-out's status.
type RolloutState struct {
	Name string
	At   time.Time
}

// Rollout is one order of the operator and the states written under it, oldest first. Its span
// lasts from the order to its time limit.
type Rollout struct {
	Service string
	Version string
	Bad     bool // its workers misbehave
	Calm    bool // no fault was active from before the order until after its end
	Span
	States []RolloutState
}

// RolloutBounds are the bounds for a version that turns out to be bad.
type RolloutBounds struct {
	Share    float64 // of the service's requests
	Slack    float64 // requests beyond the share
	Rollback time.Duration
}

// RolloutHistory is what operator, callers and workers saw of roll-outs.
type RolloutHistory struct {
	Attempts    []Attempt
	Arrivals    []Arrival
	Rollouts    []Rollout
	Disrupted   map[string][]Span // by box
	StoreFaults []Span            // of the store for all boxes
}

// String returns the roll-out and its states as one line.
func (r Rollout) String() string {
	text := fmt.Sprintf("roll-out of %s to %s, limit %v, calm %v:", r.Service, r.Version, r.Until.Sub(r.From).Round(time.Millisecond), r.Calm)
	for _, s := range r.States {
		text += fmt.Sprintf(" %s after %v", s.Name, s.At.Sub(r.From).Round(time.Millisecond))
	}
	return text
}

// outcome returns the first final state, and false if there is none.
func (r Rollout) outcome() (RolloutState, bool) {
	i := slices.IndexFunc(r.States, func(s RolloutState) bool { return s.Name == StateCompleted || s.Name == StateRolledBack })
	if i < 0 {
		return RolloutState{}, false
	}
	return r.States[i], true
}

// InTime reports whether the roll-out was completed by its time limit.
func (r Rollout) InTime() bool {
	end, ended := r.outcome()
	return ended && end.Name == StateCompleted && !end.At.After(r.Until)
}

// RolledBack reports whether the roll-out ended as rolled back.
func (r Rollout) RolledBack() bool {
	end, ended := r.outcome()
	return ended && end.Name == StateRolledBack
}

// CompletedBad describes each bad version that was completed: what reached it until then, and how
// much of that showed that it is bad.
func (h RolloutHistory) CompletedBad() (list []string) {
	for _, r := range h.Rollouts {
		end, ended := r.outcome()
		if !r.Bad || !ended || end.Name != StateCompleted {
			continue
		}
		all, bad, most, byWorker := 0, 0, 0, map[string]int{}
		for _, a := range h.Arrivals {
			if a.Service != r.Service || a.Version != r.Version || a.At.After(end.At) {
				continue
			}
			all++
			byWorker[a.Worker]++
			most = max(most, byWorker[a.Worker])
			if !a.BadAt.IsZero() && a.BadAt.Before(end.At) {
				bad++
			}
		}
		list = append(list, fmt.Sprintf("%s %s: %d requests before completion, at most %d at one worker, %d bad answers", r.Service, r.Version, all, most, bad))
	}
	return list
}

// afterCompletion is the time after a completion in which responses of a bad version are counted.
const afterCompletion = 10 * time.Second

// BadAfter describes how many responses of each bad version that was completed would have been bad just
// after that.
func (h RolloutHistory) BadAfter() (list []string) {
	for _, r := range h.Rollouts {
		end, ended := r.outcome()
		if !r.Bad || !ended || end.Name != StateCompleted {
			continue
		}
		all, bad := 0, 0
		for _, a := range h.Arrivals {
			if a.Service != r.Service || a.Version != r.Version || a.At.Before(end.At) || a.At.After(end.At.Add(afterCompletion)) {
				continue
			}
			all++
			if a.Spared || !a.BadAt.IsZero() {
				bad++
			}
		}
		list = append(list, fmt.Sprintf("%s %s: %d of %d requests in the %v after completion", r.Service, r.Version, bad, all, afterCompletion))
	}
	return list
}

// CheckRollouts returns the violations of the guarantees of roll-outs.
func (c *Checker) CheckRollouts(h RolloutHistory, bounds RolloutBounds) []Violation {
	boxes := make(map[string]string, len(h.Attempts))
	for _, a := range h.Attempts {
		boxes[a.ID] = a.Box
	}
	var violations []Violation
	for _, r := range h.Rollouts {
		name := r.Service + " " + r.Version
		for _, check := range []func(Rollout, map[string]string, RolloutBounds) (guarantee, detail string){
			h.checkOutcome, h.checkExposure, h.checkRollback, h.checkStopped, h.checkLost,
		} {
			if guarantee, detail := check(r, boxes, bounds); guarantee != "" {
				violations = append(violations, Violation{guarantee, name, detail})
			}
		}
	}
	return violations
}

func (h RolloutHistory) checkOutcome(r Rollout, _ map[string]string, _ RolloutBounds) (guarantee, detail string) {
	end, ended := r.outcome()
	if !ended {
		return Outcome, "no outcome"
	}
	for _, s := range r.States {
		if s.At.After(end.At) && s.Name != end.Name {
			return Outcome, s.Name + " was written after " + end.Name
		}
	}
	if r.Calm && !r.Bad && !r.InTime() {
		return Late, fmt.Sprintf("%s %v after the order, %v allowed", end.Name, end.At.Sub(r.From), r.Until.Sub(r.From))
	}
	return "", ""
}

// checkExposure counts the requests that reached a version that turned bad before its time
// limit, from boxes that were not disrupted.
func (h RolloutHistory) checkExposure(r Rollout, boxes map[string]string, bounds RolloutBounds) (guarantee, detail string) {
	all, got, bad := 0, 0, 0
	for _, a := range h.Arrivals {
		if a.Service != r.Service || a.At.Before(r.From) || a.At.After(r.Until) {
			continue
		}
		all++
		if a.Version != r.Version {
			continue
		}
		if !excused(a.At, h.Disrupted[boxes[a.ID]]) {
			got++
		}
		if !a.BadAt.IsZero() && a.BadAt.Before(r.Until) {
			bad++
		}
	}
	if allowed := bounds.Share*float64(all) + bounds.Slack; bad > 0 && float64(got) > allowed {
		return Exposure, fmt.Sprintf("%d of %d requests, %.1f allowed; %d bad answers", got, all, allowed, bad)
	}
	return "", ""
}

// checkRollback finds a request that reached a version too long after its bad answers. Only
// those count that were given since the store last had a fault.
func (h RolloutHistory) checkRollback(r Rollout, boxes map[string]string, bounds RolloutBounds) (guarantee, detail string) {
	var bad []time.Time
	for _, a := range h.Arrivals {
		if a.Service == r.Service && a.Version == r.Version && !a.BadAt.IsZero() {
			bad = append(bad, a.BadAt)
		}
	}
	slices.SortFunc(bad, time.Time.Compare)
	for _, a := range h.Arrivals {
		if a.Service != r.Service || a.Version != r.Version || excused(a.At, h.Disrupted[boxes[a.ID]]) {
			continue
		}
		since := lastFault(h.StoreFaults, a.At)
		n := 0
		for _, at := range bad {
			if at.After(since) && at.Before(a.At.Add(-bounds.Rollback)) {
				n++
			}
		}
		if n >= badAnswersUntilRollback {
			return RolledBack, fmt.Sprintf("%s was sent with %d bad answers more than %v before", a.ID, n, bounds.Rollback)
		}
	}
	return "", ""
}

// lastFault returns until when a fault was active before a time, or that time if one was
// active then.
func lastFault(faults []Span, at time.Time) (last time.Time) {
	for _, f := range faults {
		if f.From.Before(at) && f.Until.After(last) {
			last = f.Until
		}
	}
	if last.After(at) {
		return at
	}
	return last
}

// checkStopped finds a request to a worker that had stopped as the roll-out was completed.
func (h RolloutHistory) checkStopped(r Rollout, boxes map[string]string, _ RolloutBounds) (guarantee, detail string) {
	end, ended := r.outcome()
	if !ended || end.Name != StateCompleted {
		return "", ""
	}
	for _, a := range h.Arrivals {
		if a.Service != r.Service || !a.Stopped || a.Version == r.Version || excused(a.At, h.Disrupted[boxes[a.ID]]) {
			continue
		}
		if delay := a.At.Sub(end.At); delay > stopSlack && delay < h.nextOrder(r).Sub(end.At) {
			return Stopped, fmt.Sprintf("%s was sent to %s by %s %v after completion", a.ID, a.Worker, boxes[a.ID], delay)
		}
	}
	return "", ""
}

// nextOrder returns when the service's next roll-out was ordered, or a time after all others.
func (h RolloutHistory) nextOrder(r Rollout) time.Time {
	next := r.Until.Add(time.Hour)
	for _, o := range h.Rollouts {
		if o.Service == r.Service && o.From.After(r.From) && o.From.Before(next) {
			next = o.From
		}
	}
	return next
}

// checkLost finds a request that was lost as the roll-out was completed. Those that reached the
// version that is bad, or had a bad answer before, may have been lost by that.
func (h RolloutHistory) checkLost(r Rollout, _ map[string]string, _ RolloutBounds) (guarantee, detail string) {
	end, ended := r.outcome()
	if !ended || end.Name != StateCompleted || !r.Calm {
		return "", ""
	}
	reached := map[string]bool{}
	for _, a := range h.Arrivals {
		if r.Bad && a.Version == r.Version || !a.BadAt.IsZero() {
			reached[a.ID] = true
		}
	}
	for _, a := range h.Attempts {
		if a.Kind.service() != r.Service || reached[a.ID] || a.GaveUp || a.Ended.Before(end.At) || a.Ended.After(end.At.Add(CompletionLossTime)) {
			continue
		}
		switch answered := a.Status == http.StatusOK && a.Complete; {
		case answered, a.Status >= http.StatusBadRequest && a.Status < http.StatusInternalServerError, a.Status == http.StatusServiceUnavailable:
		default:
			return Lost, fmt.Sprintf("%s ended with status %d through %s %v after completion, sent %v before it", a.ID, a.Status, a.Box, a.Ended.Sub(end.At), end.At.Sub(a.Sent))
		}
	}
	return "", ""
}

// service returns the service of the kind's route.
func (k Kind) service() string {
	if k.Streams() {
		return "llm"
	}
	return "plain"
}

// CheckRegions returns a violation for each run in a region that is not allowed for its
// organisation. An organisation without allowed regions may run in all.
func (c *Checker) CheckRegions(ran []Execution, allowed map[string][]string) []Violation {
	var violations []Violation
	for _, r := range ran {
		if regions := allowed[r.Organisation]; len(regions) > 0 && !slices.Contains(regions, r.Region) {
			violations = append(violations, Violation{Region, r.ID, fmt.Sprintf("ran for %s at %s in %s", r.Organisation, r.Worker, r.Region)})
		}
	}
	return violations
}
