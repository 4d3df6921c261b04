// Package plan divides the requests that an order may send to a candidate between its trial
// and its cutover. What the cutover will send is known before it begins: all new requests
// until the limit, and what runs at the baseline and may be sent again. The trial gets what that leaves.
package plan

import (
	"math"
	"time"

	"petrelstep/canary/share"
)

const (
	// minCutover is the shortest cutover: it has to reach all boxes, and runs of engines may
	// end in it. maxCutover leaves time to report bad answers of the cutover, to decide about
	// them and, for engines, for runs to end.
	minEngineCutover = 1500 * time.Millisecond
	maxEngineCutover = 3 * time.Second
	minPlainCutover  = time.Second
	maxPlainCutover  = 2500 * time.Millisecond
	// maxCutoverFraction bounds the cutover as a part of the order's duration.
	maxCutoverFraction = 4
	// cutoverPart is the part of the bound for which the cutover is made longer than its
	// minimum: what the trial cannot use.
	cutoverPart = 1 - maxTrialPart
	// minTrialPart is the part of the bound that the trial has in any case: without answers no
	// order could be completed. maxTrialPart leaves the rest for requests on their way while a
	// verdict spreads.
	minTrialPart = 0.3
	maxTrialPart = 0.6
	// enoughTrial is the number of requests that show a release half of whose answers fail on
	// either of two routes. Where the trial has more, one standard deviation of what the cutover
	// sends is left unused.
	enoughTrial = 25
)

// Order is what is known of an order and its service.
type Order struct {
	Bounds   share.Bounds
	Duration time.Duration
	Left     time.Duration // until the time limit
	Engines  bool          // runs at the baseline last seconds
	Rate     float64       // requests per second
	Sent     int           // requests since the order
	Running  int           // at the baseline, as far as it may be sent to the candidate
}

// Plan is how the bound of an order is used. Values are immutable.
type Plan struct {
	Cutover time.Duration // before the limit
	Trial   float64       // requests that the trial may have sent by now
	Reserve float64       // requests that the cutover is expected to send
	Rate    float64       // requests per second
	Fits    bool          // trial and cutover together are within the bound at the limit
}

// New returns the plan for the rest of an order.
func New(o Order) Plan {
	total := o.Bounds.Limit(o.Sent + int(o.Rate*max(o.Left, 0).Seconds()))
	p := Plan{Cutover: o.cutover(total), Rate: o.Rate}
	p.Reserve = o.Rate*p.Cutover.Seconds() + float64(o.Running)
	left := total - p.Reserve
	left = max(left-math.Ceil(math.Sqrt(p.Reserve)), min(left, enoughTrial), minTrialPart*total)
	p.Trial = min(left, maxTrialPart*o.Bounds.Limit(o.Sent))
	p.Fits = p.Trial+p.Reserve <= total
	return p
}

// cutover returns the longest cutover that leaves enough of the bound for the trial.
func (o Order) cutover(total float64) time.Duration {
	shortest, longest := minPlainCutover, maxPlainCutover
	if o.Engines {
		shortest, longest = minEngineCutover, maxEngineCutover
	}
	longest = min(longest, o.Duration/maxCutoverFraction)
	if o.Rate <= 0 {
		return longest
	}
	seconds := (cutoverPart*total - float64(o.Running)) / o.Rate
	if seconds >= longest.Seconds() {
		return longest
	}
	return max(time.Duration(seconds*float64(time.Second)), min(shortest, longest))
}
