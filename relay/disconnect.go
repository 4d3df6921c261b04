package relay

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/answers"
	"petrelstep/exchange"
	"petrelstep/fleet"
	"petrelstep/liveness"
)

// LivenessChecker finds out the state of an upstream after a connection to it broke.
type LivenessChecker interface {
	Check(ctx context.Context, u fleet.Upstream, engine bool) liveness.Finding
}

// handleBroken handles a send that failed after the given number of events. Failures other
// than a broken connection say nothing about the upstream.
func (r *Relay) handleBroken(ctx context.Context, j *job, sent brokenSend, err error) {
	r.recordRefused(j, sent.upstream, err)
	if r.Liveness == nil || ctx.Err() != nil || !isConnectionError(err) {
		return
	}
	now := time.Now()
	engine, found := j.service.Engine != nil, liveness.Unknown
	if !engine || r.Backoff.AllowException(now, sent.upstream.ID) { // checking an engine sends it a request
		found = r.Liveness.Check(ctx, sent.upstream, engine)
	}
	r.Metrics.Broke(found)
	held := found == liveness.Ended && !sent.healthy
	j.log.WithError(err).WithFields(logrus.Fields{
		"parts": j.req.SharedParts(), "upstream": sent.upstream.ID, "service": sent.upstream.Service, "finding": found, "sent_ago_ms": now.Sub(sent.startedAt).Milliseconds(), "events": sent.events, "lived": sent.healthy, "held": held,
	}).Info("answer_broke")
	if found == liveness.Ended {
		j.upstreamEnded.Store(true)
		r.Quarantine.RecordEnd(now, sent.upstream)
		r.recordEnded(sent.upstream)
	}
	if held {
		r.Quarantine.RecordEndDuring(now, j.print, sent.upstream, j.parts...)
	}
}

// recordRefused counts and logs an answer that was refused.
func (r *Relay) recordRefused(j *job, u fleet.Upstream, err error) {
	reason := answers.Reason(err)
	if reason == "" {
		return
	}
	r.Metrics.AnswerRefused(reason)
	j.log.WithError(err).WithFields(logrus.Fields{"reason": reason, "upstream": u.ID, "service": u.Service}).Warn("answer_refused")
}

// handleConnRefused records an upstream as ended if it refused the connection.
func (r *Relay) handleConnRefused(u fleet.Upstream, err error) {
	var failed *exchange.FailedError
	if errors.As(err, &failed) && failed.Refused {
		r.recordEnded(u)
	}
}

// recordEnded records that an upstream has ended, unless it has restarted since or this box's link
// to it is cut.
func (r *Relay) recordEnded(u fleet.Upstream) {
	if r.Fleet.IsCurrent(u) && r.reaches(u) {
		r.Reliability.RecordEnd(time.Now(), u.ID)
	}
}

// brokenSend describes a send whose answer broke off.
type brokenSend struct {
	upstream  fleet.Upstream
	startedAt time.Time
	events    int
	healthy   bool // the upstream had run it for minHealthyRun
}

// isConnectionError reports whether a send failed because its connection broke after bytes
// were sent, rather than by an invalid answer.
func isConnectionError(err error) bool {
	for _, other := range []any{new(*SealError), new(*TooLongError), new(*OrderError), new(*callerError)} {
		if errors.As(err, other) {
			return false
		}
	}
	return err != nil && !isNotSent(err)
}
