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

// failed tells what is certain after an attempt without a first token.
func (d *Dispatcher) failed(ctx context.Context, t try, err error) (refusal.Refusal, string) {
	var lost *generation.LostError
	switch {
	case engine.KindOf(err) == engine.NotSent, engine.KindOf(err) == engine.Rejected:
		d.Health.RecordFailure(t.engine)
		return refusal.New(refusal.NoUpstream, "engine took nothing").WithRetryAfter(comeAgain), metrics.RetryNeverStarted
	case errors.As(err, &lost) && engine.KindOf(lost.Err) == engine.AttemptUnknown:
		d.Health.RecordFailure(t.engine)
		return refusal.New(refusal.UpstreamLost, "engine lost it before its first token").WithRetryAfter(comeAgain), metrics.RetryEngineLost
	}
	late := ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
	if !late {
		d.Health.RecordFailure(t.engine)
	}
	return d.settleOpen(t, late)
}

// settleOpen cancels an attempt whose outcome is open, and tells by the
// engine's answer what became of it.
func (d *Dispatcher) settleOpen(t try, late bool) (refusal.Refusal, string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTime)
	defer cancel()
	reason, again := refusal.UpstreamLost, metrics.RetryEngineLost
	if late {
		reason, again = refusal.Deadline, ""
	}
	r := refusal.New(reason, "no first token").WithRetryAfter(comeAgain)
	answer, err := d.Engines.Cancel(ctx, t.address, t.attempt)
	switch {
	case err != nil || answer.State == wire.CancelAnswerStateUnknown:
		return r.WithOutcome(refusal.Unknown), again
	case answer.State == wire.CancelAnswerStateNeverStarted:
		return r.WithOutcome(refusal.NotRun), again
	}
	return r.WithOutcome(refusal.Failed), again
}
