package dispatch

import (
	"context"
	"errors"

	"petrelstep/generation"
	"petrelstep/metrics"
	"petrelstep/refusal"
	"petrelstep/upstream/engine"
	"petrelstep/wire"
)

// classifyFailure returns the refusal for an attempt without a first token, and
// the retry reason; the reason is empty if the request must not be retried.
func (d *Dispatcher) classifyFailure(ctx context.Context, t try, err error) (refusal.Refusal, string) {
	var lost *generation.LostError
	ended := ctx.Err() != nil || errors.Is(err, context.Canceled) // by the caller or the deadline
	switch {
	case engine.KindOf(err) == engine.NotSent && ended:
		return refusal.New(refusal.Deadline, "no connection to an engine in time").WithRetryAfter(retryAfter), ""
	case engine.KindOf(err) == engine.NotSent, engine.KindOf(err) == engine.Rejected:
		d.Health.RecordFailure(t.engine)
		return refusal.New(refusal.NoUpstream, "engine did not accept the request").WithRetryAfter(retryAfter), metrics.RetryNeverStarted
	case errors.As(err, &lost) && engine.KindOf(lost.Err) == engine.AttemptUnknown:
		d.Health.RecordFailure(t.engine)
		return refusal.New(refusal.UpstreamLost, "engine lost the generation before its first token").WithRetryAfter(retryAfter), metrics.RetryEngineLost
	}
	pastDeadline := ended || errors.Is(err, context.DeadlineExceeded)
	if !pastDeadline {
		d.Health.RecordFailure(t.engine)
	}
	return d.cancelUnknown(t, pastDeadline)
}

// cancelUnknown cancels an attempt with an unknown outcome, and derives the
// outcome from the engine's answer.
func (d *Dispatcher) cancelUnknown(t try, pastDeadline bool) (refusal.Refusal, string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	reason, retryReason := refusal.UpstreamLost, metrics.RetryEngineLost
	if pastDeadline {
		reason, retryReason = refusal.Deadline, ""
	}
	r := refusal.New(reason, "no first token").WithRetryAfter(retryAfter)
	answer, err := d.Engines.Cancel(ctx, t.address, t.attempt)
	switch {
	case err != nil || answer.State == wire.CancelAnswerStateUnknown:
		return r.WithOutcome(refusal.Unknown), retryReason
	case answer.State == wire.CancelAnswerStateNeverStarted:
		return r.WithOutcome(refusal.NotRun), retryReason
	}
	return r.WithOutcome(refusal.Failed), retryReason
}
