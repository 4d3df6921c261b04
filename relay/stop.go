package relay

import (
	"cmp"
	"time"
)

const (
	// stopMargin is how long before the box exits all its requests must have ended.
	stopMargin = 500 * time.Millisecond
	// streamAcceptWindow is how long after its notice a stopping box accepts streams that
	// may outlast it. A planned stop must lose no stream accepted 3 s or more after the
	// notice.
	streamAcceptWindow = 2500 * time.Millisecond
	// minFinishChance is the minimum probability that a stream ends before the box exits:
	// otherwise the caller is better served by another box. It is lower where most boxes
	// are stopping, as there may be no other.
	minFinishChance          = 0.7
	minFinishChanceMostBoxes = 0.5
	// defaultPace is the time between events before this box has seen any stream.
	defaultPace = 50 * time.Millisecond
	// retryAfterRestart is the Retry-After where most boxes are stopping: a stopped box is
	// back within its grace period of 8 s, usually earlier.
	retryAfterRestart = 3 * time.Second
)

// Stop describes a planned stop in progress.
type Stop struct {
	Since     time.Duration // since its notice
	Remaining time.Duration // until the box exits
	MostBoxes bool          // most boxes are stopping
}

// finishesBeforeStop reports whether a request ends before the box exits: certainly, or,
// for a stream early in the stop, probably, given the lengths of similar answers.
func (r *Relay) finishesBeforeStop(j *job, stop Stop) bool {
	if j.deadline.Sub(j.req.Arrived) <= stop.Remaining-stopMargin {
		return true
	}
	if !j.route.Streams || stop.Since > streamAcceptWindow {
		return false
	}
	pace := cmp.Or(r.Loads.Pace(), defaultPace)
	events := int((stop.Remaining - stopMargin - r.Prefill.Time(j.req.Prompt)) / pace)
	chance := j.lengths.ChanceWithin(j.lengthKey(), events*j.eventTokens(), j.req.MaxTokens)
	if stop.MostBoxes {
		return chance >= minFinishChanceMostBoxes
	}
	return chance >= minFinishChance
}

// retryAfter returns the Retry-After of a request refused for the stop: another box can
// serve it at once, unless most boxes are stopping.
func (s Stop) retryAfter() time.Duration {
	if s.MostBoxes {
		return retryAfterRestart
	}
	return retryAfterOtherBox
}
