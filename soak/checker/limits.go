package checker

import (
	"fmt"
	"slices"
	"time"
)

const (
	// needHeard is how long after a worker first named its limit the sum is bounded.
	needHeard = 3 * time.Second
	// needWindow is over what time it is: limitOver times what the limit allows, and
	// limitSlack more.
	needWindow = 4 * time.Second
	limitOver  = 1.5
	limitSlack = 5
	// toldBefore is since when a box must have been told for what it sends to count.
	toldBefore = 500 * time.Millisecond
)

// Span is a time.
type Span struct{ From, Until time.Time }

// Limit is what a worker named from a time on.
type Limit struct {
	At        time.Time
	PerSecond float64
}

// LimitPeriod is a time in which a worker named limits.
type LimitPeriod struct {
	Worker      string
	Incarnation int64 // the worker's life
	Span
	Limits []Limit
}

// CheckLimits returns the needs in which a worker got more than it took, from boxes that it
// had told; struck is when each box was ended, stopped or held, which excuses it until
// it has had time to hear. It returns how many requests were counted too.
func (v *Checker) CheckLimits(attempts []Attempt, ran []Execution, needs []LimitPeriod, struck map[string][]Span) (broken []Violation, counted int) {
	boxes := make(map[string]string, len(attempts))
	for _, a := range attempts {
		boxes[a.ID] = a.Box
	}
	runs := map[string][]Execution{}
	for _, r := range ran {
		runs[r.Worker] = append(runs[r.Worker], r)
	}
	for _, n := range needs {
		if len(n.Limits) == 0 {
			continue
		}
		at := n.count(runs[n.Worker], boxes, struck)
		counted += len(at)
		for i := range at {
			if most, allowed := within(at[i:]), n.allowed(at[i]); float64(most) > allowed {
				broken = append(broken, Violation{Limits, n.Worker, fmt.Sprintf("%d requests in %v, %.1f allowed", most, needWindow, allowed)})
				break
			}
		}
	}
	return broken, counted
}

// allowed is the bound for a window: that of the highest limit that was named in it, or
// so shortly before that boxes may not have heard of the next.
func (n LimitPeriod) allowed(from time.Time) float64 {
	highest := 0.0
	for i, l := range n.Limits {
		over := i+1 < len(n.Limits) && n.Limits[i+1].At.Before(from.Add(-needHeard))
		if !over && l.At.Before(from.Add(needWindow)) {
			highest = max(highest, l.PerSecond)
		}
	}
	return limitOver*highest*needWindow.Seconds() + limitSlack
}

// count returns when the runs began that count.
func (n LimitPeriod) count(runs []Execution, boxes map[string]string, struck map[string][]Span) (at []time.Time) {
	told := map[string]time.Time{}
	slices.SortFunc(runs, func(a, b Execution) int { return a.At.Compare(b.At) })
	for _, r := range runs {
		box := boxes[r.ID]
		since := r.At.Sub(n.Limits[0].At)
		if r.Incarnation != n.Incarnation || since < 0 || r.At.After(n.Until) {
			continue
		}
		if excused(r.At, struck[box]) {
			delete(told, box)
			continue
		}
		switch first, ok := told[box]; {
		case !ok:
			told[box] = r.At
		case r.At.Sub(first) >= toldBefore && since >= needHeard:
			at = append(at, r.At)
		}
	}
	return at
}

// excused tells whether a box was struck at a time or had no time to hear since.
func excused(at time.Time, struck []Span) bool {
	return slices.ContainsFunc(struck, func(s Span) bool { return !at.Before(s.From) && at.Before(s.Until.Add(needHeard)) })
}

// within returns how many of some times lie in the window that begins with the first.
func within(at []time.Time) int {
	in := slices.IndexFunc(at, func(o time.Time) bool { return o.Sub(at[0]) >= needWindow })
	if in < 0 {
		return len(at)
	}
	return in
}
