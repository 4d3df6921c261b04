package relay

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/exchange"
	"petrelstep/fleet"
	"petrelstep/metrics"
)

// LeavingError says that an upstream is leaving, that its hall was evacuated or that its
// release takes no requests.
type LeavingError struct{ Upstream string }

// Error implements error.
func (e *LeavingError) Error() string { return "upstream " + e.Upstream + " accepts no new requests" }

// BackoffError says that an upstream has requested a backoff from this box.
type BackoffError struct{ Upstream string }

// Error implements error.
func (e *BackoffError) Error() string { return "upstream " + e.Upstream + " has requested a backoff" }

// checkSendable checks whether a request may still be sent to the upstream picked for it,
// as its state may have changed since. A moved run must go where the copy of its memory
// is, so that leaving does not prevent it, nor that its release takes no requests. The error is a refusal, or says that nothing was
// sent.
func (r *Relay) checkSendable(j *job, u fleet.Upstream, from *exchange.Copy) error {
	if refused, ok := r.quarantineRefusal(j); ok {
		return refused
	}
	if err := r.checkState(j, u, from); err != nil {
		return &exchange.FailedError{NotSent: true, Err: err}
	}
	maySend := r.Backoff.MaySend
	if from != nil {
		maySend = r.Backoff.AllowException
	}
	if !maySend(time.Now(), u.ID) {
		return &exchange.FailedError{NotSent: true, Err: &BackoffError{Upstream: u.ID}}
	}
	return nil
}

// checkState checks whether an upstream's state allows to send it a request.
func (r *Relay) checkState(j *job, u fleet.Upstream, from *exchange.Copy) error {
	switch {
	case !r.continuesAt(j, u):
		return &ReleaseError{Upstream: u.ID, Release: u.Release, Expected: j.origin.release}
	case from == nil && !r.acceptsRequest(j, u):
		return &LeavingError{Upstream: u.ID}
	}
	return nil
}

// slowConnect is the time from the last check of an upstream's state to the first byte from which
// it is logged: round trips within a region take 3 ms, between regions 60 ms.
const slowConnect = 100 * time.Millisecond

// beforeWrite returns the check that is made once the connection to an upstream is open, just
// before the request is sent: opening it may take long, and the process may be paused meanwhile.
// The upstream's state was last checked at a time.
func (r *Relay) beforeWrite(j *job, u fleet.Upstream, from *exchange.Copy, checkedAt time.Time) func() error {
	return func() error {
		took := time.Since(checkedAt)
		r.Metrics.Connected(took)
		if took > slowConnect {
			j.log.WithFields(logrus.Fields{"upstream": u.ID, "connect_ms": took.Milliseconds()}).Info("connected_late")
		}
		if !r.Fleet.IsCurrent(u) {
			return &RestartedError{Upstream: u.ID}
		}
		return r.checkState(j, u, from)
	}
}

// stateChanged reports whether a request was not sent as the state of its upstream changed, which
// says nothing about whether the upstream works.
func stateChanged(err error) bool {
	return isNotSent(err) && (unsentReason(err) != metrics.RetryNeverStarted || errors.As(err, new(*RestartedError)))
}

// unsentReason returns why nothing was sent to an upstream, for the counter of retries.
func unsentReason(err error) string {
	switch {
	case errors.As(err, new(*LeavingError)):
		return metrics.RetryUpstreamLeft
	case errors.As(err, new(*ReleaseError)):
		return metrics.RetryOtherRelease
	case errors.As(err, new(*BackoffError)):
		return metrics.RetryBackoff
	}
	return metrics.RetryNeverStarted
}
