package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"petrelstep/canary/counts"
	"petrelstep/exchange"
	"petrelstep/fleet"
)

// paceEvents is the number of events after which the pace of a stream is recorded, as it may
// last longer than the roll-out.
const paceEvents = 8

// overtakenError is why a try is cancelled when one that was sent after it was answered first.
type overtakenError struct{}

func (*overtakenError) Error() string { return "a later try was answered first" }

// sendResult records the result of one send for the roll-out under way, once: the first
// counts. It is safe for concurrent use. A nil *sendResult records nothing.
type sendResult struct {
	sending   context.Context // its cause says why the send was cancelled
	startedAt time.Time
	cold      bool
	resumed   bool // from a copy, so that the first event does not wait for its prompt

	mu      sync.Mutex
	ended   func(now time.Time, r counts.Result) // nil once the result is recorded
	firstAt time.Time                            // of the first event; zero before it
	lastAt  time.Time                            // of the last event
	events  int
}

// recordSend records that a request is sent to an upstream.
func (r *Relay) recordSend(sending context.Context, now time.Time, j *job, u fleet.Upstream, from *exchange.Copy) *sendResult {
	if r.Rollouts == nil {
		return nil
	}
	ended := r.Rollouts.Sent(now, j.service.Name, j.route.Name, u, from != nil)
	if ended == nil {
		return nil
	}
	return &sendResult{sending: sending, startedAt: now, cold: now.Before(u.ColdUntil), resumed: from != nil, ended: ended}
}

// event records that an event of a stream has come, and the time to the first one and the pace
// as soon as they are known.
func (s *sendResult) event(now time.Time) {
	if s == nil {
		return
	}
	if ended, result := s.addEvent(now); ended != nil {
		ended(now, result)
	}
}

// addEvent counts an event, and returns what is to be recorded of the stream now; nil if
// nothing is.
func (s *sendResult) addEvent(now time.Time) (ended func(now time.Time, r counts.Result), result counts.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.events == 0 {
		s.firstAt = now
	}
	s.lastAt = now
	s.events++
	if s.events == 1 && !s.resumed || s.events == paceEvents {
		return s.ended, s.withTimes(counts.Result{Streaming: true})
	}
	return nil, counts.Result{}
}

// withTimes adds the times of a stream to a result; the lock is held.
func (s *sendResult) withTimes(result counts.Result) counts.Result {
	result.Cold = s.cold
	if s.events > 0 && !s.resumed {
		result.First = s.firstAt.Sub(s.startedAt)
	}
	if s.events > 1 {
		result.Pace = s.lastAt.Sub(s.firstAt) / time.Duration(s.events-1)
	}
	return result
}

// streamed records that a stream has come to its end.
func (s *sendResult) streamed(now time.Time) { s.end(now, counts.Result{}) }

// answered records that a whole answer has come.
func (s *sendResult) answered(now time.Time) {
	if s != nil {
		s.end(now, counts.Result{First: now.Sub(s.startedAt)})
	}
}

// failed records a failure of the upstream.
func (s *sendResult) failed(now time.Time) { s.end(now, counts.Result{Failed: true}) }

// canceled records that the result says nothing about the upstream.
func (s *sendResult) canceled(now time.Time) { s.end(now, counts.Result{Canceled: true}) }

func (s *sendResult) end(now time.Time, result counts.Result) {
	if s == nil {
		return
	}
	s.mu.Lock()
	ended := s.ended
	s.ended = nil
	result = s.withTimes(result)
	s.mu.Unlock()
	if ended != nil {
		ended(now, result)
	}
}

// head records what the head of an answer says of its whole: an error of the upstream's own,
// or that it did not run the request. It reports whether the rest still counts.
func (s *sendResult) head(now time.Time, a *exchange.Answer) (open bool) {
	switch {
	case s == nil:
	case a.NotRun:
		s.canceled(now)
	case a.Status >= http.StatusInternalServerError:
		s.failed(now)
	case impliesNotRun(a.Status):
		s.canceled(now)
	default:
		return true
	}
	return false
}

// closed records the result of a send whose answer is closed, unless one was recorded
// before.
func (s *sendResult) closed(now time.Time, a *exchange.Answer) {
	if s.head(now, a) {
		s.canceled(now)
	}
}

// sendFailed records the result of a send that failed with an error. Whether the upstream
// is to blame depends on why: a cancelled request, an upstream that could not be reached
// or whose link to this box is cut, and the end of one that announced it are no failures. A try that a later one has
// overtaken counts as answered no earlier than now.
func (r *Relay) sendFailed(s *sendResult, u fleet.Upstream, err error) {
	if s == nil {
		return
	}
	now, cause := time.Now(), context.Cause(s.sending)
	var failed *exchange.FailedError
	unreached := errors.As(err, &failed) && failed.NotSent && !failed.Refused
	restarted := errors.As(cause, new(*RestartedError))
	switch {
	case errors.As(cause, new(*overtakenError)):
		s.answered(now)
	case errors.Is(s.sending.Err(), context.Canceled) && !restarted, errors.As(err, new(*callerError)), unreached, !r.reaches(u), r.Fleet.IsLeaving(u.ID):
		s.canceled(now)
	default:
		s.failed(now)
	}
}
