package relay

import (
	"errors"
	"time"

	"petrelstep/exchange"
	"petrelstep/fleet"
	"petrelstep/metrics"
)

// LeavingError says that an upstream leaves, or that its hall was evacuated.
type LeavingError struct{ Upstream string }

// Error implements error.
func (e *LeavingError) Error() string { return "upstream " + e.Upstream + " takes nothing new" }

// RestingError says that an upstream has asked this box to send it nothing for a time.
type RestingError struct{ Upstream string }

// Error implements error.
func (e *RestingError) Error() string { return "upstream " + e.Upstream + " has asked for rest" }

// check tells why a request may not go to an upstream that was picked for it: time has
// passed since. A run that has moved goes to the copy of its memory. The error is a
// refusal, or says that nothing was sent.
func (r *Relay) check(j *job, u fleet.Upstream, from *exchange.Copy) error {
	if refused, ok := r.quarantined(j); ok {
		return refused
	}
	if from == nil && !r.Fleet.Takes(u.ID) {
		return &exchange.FailedError{NotSent: true, Err: &LeavingError{Upstream: u.ID}}
	}
	may := r.Rest.MaySend
	if from != nil {
		may = r.Rest.AllowException
	}
	if !may(time.Now(), u.ID) {
		return &exchange.FailedError{NotSent: true, Err: &RestingError{Upstream: u.ID}}
	}
	return nil
}

// unsentReason tells why nothing reached an upstream, for the counter of retries.
func unsentReason(err error) string {
	switch {
	case errors.As(err, new(*LeavingError)):
		return metrics.RetryLeft
	case errors.As(err, new(*RestingError)):
		return metrics.RetryRests
	}
	return metrics.RetryNeverStarted
}
