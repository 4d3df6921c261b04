package checker

import (
	"fmt"
	"slices"
	"time"
)

const (
	// limitSettleTime is the time from a worker's first announcement until its limit must be
	// kept.
	limitSettleTime = 3 * time.Second
	// limitWindow is the window in which requests are counted. They may reach limitFactor
	// times the limit plus limitSlack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// announcementLag is how long after a box's first request, whose response announces the
	// limit, its requests begin to count.
	announcementLag = 500 * time.Millisecond
)

// Span is a period of time.
type Span struct{ From, Until time.Time }

// Limit is a rate limit that a worker announced from a time on.
type Limit struct {
	At        time.Time
	PerSecond float64
}

// LimitPeriod is a period in which a worker announced limits.
type LimitPeriod struct {
	Worker      string
	Incarnation int64 // of the worker
	Span
	Limits []Limit
}

// CheckLimits returns a violation for each period in which a worker got more requests than
// its limit from boxes that knew the limit, and the number of requests counted. A box
// is excused while it is disrupted and until it has had time to receive the limit again.
func (c *Checker) CheckLimits(attempts []Attempt, ran []Execution, periods []LimitPeriod, disrupted map[string][]Span) (violations []Violation, counted int) {
	boxes := make(map[string]string, len(attempts))
	for _, a := range attempts {
		boxes[a.ID] = a.Box
	}
	runs := map[string][]Execution{}
	for _, r := range ran {
		runs[r.Worker] = append(runs[r.Worker], r)
	}
	for _, p := range periods {
		if len(p.Limits) == 0 {
			continue
		}
		at := p.countedAt(runs[p.Worker], boxes, disrupted)
		counted += len(at)
		for i := range at {
			if got, allowed := countInWindow(at[i:]), p.allowed(at[i]); float64(got) > allowed {
				violations = append(violations, Violation{Limits, p.Worker, fmt.Sprintf("%d requests in %v, %.1f allowed", got, limitWindow, allowed)})
				break
			}
		}
	}
	return violations, counted
}

// allowed returns the bound for a window: that of the highest limit announced in it, or
// shortly before it, when boxes may not have received the next one yet.
func (p LimitPeriod) allowed(from time.Time) float64 {
	highest := 0.0
	for i, l := range p.Limits {
		superseded := i+1 < len(p.Limits) && p.Limits[i+1].At.Before(from.Add(-limitSettleTime))
		if !superseded && l.At.Before(from.Add(limitWindow)) {
			highest = max(highest, l.PerSecond)
		}
	}
	return limitFactor*highest*limitWindow.Seconds() + limitSlack
}

// countedAt returns the start times of the runs that count against the limit.
func (p LimitPeriod) countedAt(runs []Execution, boxes map[string]string, disrupted map[string][]Span) (at []time.Time) {
	firstSeen := map[string]time.Time{}
	slices.SortFunc(runs, func(a, b Execution) int { return a.At.Compare(b.At) })
	for _, r := range runs {
		box := boxes[r.ID]
		since := r.At.Sub(p.Limits[0].At)
		if r.Incarnation != p.Incarnation || since < 0 || r.At.After(p.Until) {
			continue
		}
		if excused(r.At, disrupted[box]) {
			delete(firstSeen, box)
			continue
		}
		switch first, ok := firstSeen[box]; {
		case !ok:
			firstSeen[box] = r.At
		case r.At.Sub(first) >= announcementLag && since >= limitSettleTime:
			at = append(at, r.At)
		}
	}
	return at
}

// excused reports whether a box was disrupted at a time, or too recently to have received
// the limit again.
func excused(at time.Time, disrupted []Span) bool {
	return slices.ContainsFunc(disrupted, func(s Span) bool { return !at.Before(s.From) && at.Before(s.Until.Add(limitSettleTime)) })
}

// countInWindow returns the number of times in the window that begins with the first.
func countInWindow(at []time.Time) int {
	in := slices.IndexFunc(at, func(o time.Time) bool { return o.Sub(at[0]) >= limitWindow })
	if in < 0 {
		return len(at)
	}
	return in
}
