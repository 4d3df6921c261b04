package relay

import (
	"cmp"
	"time"
)

const (
	// stopSlack is how long before a stopping box is gone all its requests must
	// have ended.
	stopSlack = 500 * time.Millisecond
	// stopTakes is how long after its notice a stopping box takes streams that
	// may last longer than it does; the users' rule for planned stops holds their
	// loss against it from 3 s on.
	stopTakes = 2500 * time.Millisecond
	// stopChance is with what chance a stream has to end before a stopping box is
	// gone: another box would serve it, as it comes back, with more than half of its
	// worth, and one that is broken off is lost. Where most boxes are being stopped
	// there may be no other: stopChanceMost.
	stopChance     = 0.7
	stopChanceMost = 0.5
	// paceGuess is the time between events until any stream of this box was seen.
	paceGuess = 50 * time.Millisecond
	// comeRestarted is when to come back where most boxes are being stopped: one
	// that has stopped is back within its grace of 8 s, most well before.
	comeRestarted = 3 * time.Second
)

// Stop is a planned stop that is under way.
type Stop struct {
	Since time.Duration // its notice
	Left  time.Duration // until the box is gone
	Most  bool          // most boxes are being stopped
}

// fits tells whether a request ends before a stopping box is gone: surely, or,
// for a stream early in the stop, as far as those like it tell.
func (r *Relay) fits(j *job, stop Stop) bool {
	if j.deadline.Sub(j.req.Arrived) <= stop.Left-stopSlack {
		return true
	}
	if !j.route.Streams || stop.Since > stopTakes {
		return false
	}
	pace := cmp.Or(r.Tally.Pace(), paceGuess)
	events := int((stop.Left - stopSlack - r.Prefill.Time(j.req.Prompt)) / pace)
	chance := j.lengths.ChanceWithin(j.kind(), events*j.eventTokens(), j.req.Most)
	if stop.Most {
		return chance >= stopChanceMost
	}
	return chance >= stopChance
}

// comeBack tells when to come back: another box serves at once, unless most of
// them are being stopped too.
func (s Stop) comeBack() time.Duration {
	if s.Most {
		return comeRestarted
	}
	return comeAgain
}
