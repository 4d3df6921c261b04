package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/exchange"
	"petrelstep/metrics"
	"petrelstep/refusal"
	"petrelstep/runs"
)

// OrderError says that the events of a stream have a gap.
type OrderError struct{ Last, Got int }

// Error implements error.
func (e *OrderError) Error() string { return "gap in the events of a stream" }

// TooLongError says that an answer that is not a stream is too long to buffer.
type TooLongError struct{}

// Error implements error.
func (*TooLongError) Error() string { return "answer is not a stream and too long to buffer" }

// forwarder is the state of a stream that is being forwarded.
type forwarder struct {
	job             *job
	caller          exchange.Caller
	run             *runs.Run
	resp            *response
	headSent        bool // the head has been written to the caller
	lastEvent       int  // id of the last event forwarded
	count           int
	lastEventAt     time.Time     // when the last event was forwarded
	longestGap      time.Duration // the longest gap between two events
	longestGapEnd   time.Time     // when the longest gap ended
	moved           bool          // the run has moved since the last event
	moves           int
	longestGapMoved bool // the run moved during the longest gap
}

// serveStream serves a request whose answer is a stream.
func (r *Relay) serveStream(ctx context.Context, j *job, c exchange.Caller) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f := &forwarder{job: j, caller: c, lastEvent: j.req.After}
	err := r.findOrigin(ctx, j)
	if err == nil {
		err = r.open(ctx, f)
	}
	if err != nil {
		r.refuse(j.log, j.req, c, j.correctOutcome(refusalFor(ctx, err)))
		return
	}
	if f.run == nil {
		return // the answer was not a stream and has been delivered
	}
	var out *buffered
	if r.Buffers != nil {
		out = newBuffered(ctx, cancel, c, r.Buffers)
		f.caller = out
	}
	remove := r.Runs.Add(f.run)
	err = r.forward(ctx, f)
	remove()
	f.resp.close()
	if out != nil {
		err = streamError(err, out.finish())
	}
	r.finishStream(ctx, f, err)
}

// open sends the request until an upstream answers with a stream.
func (r *Relay) open(ctx context.Context, f *forwarder) error {
	j := f.job
	for {
		resp, err := r.send(ctx, j, f.lastEvent)
		if errors.As(err, new(refusal.Refusal)) {
			return err // no upstream may serve it
		}
		result := tryResult{resp: resp, err: err}
		if err == nil && resp.answer.Status == http.StatusOK && resp.answer.Sealed {
			r.recordOpened(f, resp)
			return nil
		}
		if err == nil && resp.answer.Status == http.StatusOK {
			resp.sent.failed(time.Now())
			resp.close()
			result = tryResult{err: &SealError{}}
		}
		if result.err == nil && resp.answer.Backoff == 0 {
			r.recordResult(resp.upstream, true)
		}
		if r.mayRetry(ctx, j, result) || result.err != nil && j.route.Resumable && r.mayResume(ctx, j) {
			result.discard()
			continue
		}
		if result.err != nil {
			return result.err
		}
		return r.deliverNonStream(ctx, f, result)
	}
}

// recordOpened records that an upstream has answered with a stream.
func (r *Relay) recordOpened(f *forwarder, resp *response) {
	r.recordResult(resp.upstream, false)
	r.Budget.Succeeded()
	f.resp = resp
	f.run = runs.NewRun(f.job.req, resp.upstream, f.job.eventTokens(), f.job.remainingTokens, resp.startedAt)
	f.run.MaxGap = f.job.route.Gap
}

// deliverNonStream delivers an upstream's answer that is not a stream.
func (r *Relay) deliverNonStream(ctx context.Context, f *forwarder, result tryResult) error {
	body, more, err := result.resp.answer.Body.All(maxBufferedAnswer)
	if err == nil && more {
		err = &TooLongError{}
	}
	if err != nil {
		if result.resp.sent.head(time.Now(), result.resp.answer) {
			r.sendFailed(result.resp.sent, result.resp.upstream, err)
		}
		result.resp.close()
		r.handleBroken(ctx, f.job, brokenSend{upstream: result.resp.upstream, startedAt: result.resp.startedAt}, err)
		return &exchange.FailedError{Err: err}
	}
	if result.resp.sent.head(time.Now(), result.resp.answer) {
		result.resp.sent.answered(time.Now())
	}
	if !result.resp.answer.NotRun {
		r.Quarantine.RecordSuccess(time.Now(), f.job.print) // the request ran, and its upstream is alive
	}
	result.body = body
	r.deliver(ctx, f.job, f.caller, result)
	return nil
}

// forward forwards events until the stream is complete. A broken stream continues on
// another upstream if the run was moved or may be resumed.
func (r *Relay) forward(ctx context.Context, f *forwarder) error {
	for {
		err := r.forwardEvents(ctx, f)
		r.recordStreamEnd(f, err)
		if err == nil || ctx.Err() != nil || errors.As(err, new(*callerError)) {
			return err
		}
		f.job.log.WithError(err).WithFields(logrus.Fields{"upstream": f.resp.upstream.ID, "events": f.count, "stopping": f.run.IsStopping()}).Info("stream_broke")
		f.resp.close()
		if !f.run.IsStopping() { // the source of a move closes its stream by itself
			r.handleBroken(ctx, f.job, brokenSend{f.resp.upstream, f.resp.startedAt, f.count, !f.resp.lastHealthy.IsZero()}, err)
		}
		if r.continueMoved(ctx, f) {
			continue
		}
		if !f.job.route.Resumable || !r.mayResume(ctx, f.job) {
			return err
		}
		if err := r.resume(ctx, f); err != nil {
			return err
		}
	}
}

// recordStreamEnd records the result of a send whose stream has ended. The source of a move
// closes its stream by itself.
func (r *Relay) recordStreamEnd(f *forwarder, err error) {
	switch {
	case err == nil:
		f.resp.sent.streamed(time.Now())
	case f.run.IsStopping():
		f.resp.sent.canceled(time.Now())
	default:
		r.sendFailed(f.resp.sent, f.resp.upstream, err)
	}
}

// callerError says that writing to the caller failed.
type callerError struct{ err error }

func (e *callerError) Error() string { return "caller: " + e.err.Error() }

func (e *callerError) Unwrap() error { return e.err }

// forwardEvents forwards one upstream's stream to its end.
func (r *Relay) forwardEvents(ctx context.Context, f *forwarder) error {
	for {
		e, err := f.resp.answer.Body.Next()
		if err == io.EOF {
			return f.complete()
		}
		if err != nil {
			return err
		}
		switch {
		case e.ID == exchange.NoEvent: // a comment, which is no progress
			err = f.forwardComment(e)
		case e.ID <= f.lastEvent:
			continue // a duplicate of one forwarded before
		case f.count > 0 && e.ID != f.lastEvent+1:
			return &OrderError{Last: f.lastEvent, Got: e.ID}
		default:
			err = r.forwardEvent(ctx, f, e)
		}
		if err != nil {
			return &callerError{err}
		}
	}
}

// complete handles the end of a stream. A run that is being stopped ends the same way if
// the stream has no framing, so that is not taken for the end of the answer.
func (f *forwarder) complete() error {
	if !f.resp.answer.Framed && f.run.IsStopping() {
		return io.ErrUnexpectedEOF
	}
	if f.headSent {
		return nil
	}
	f.headSent = true
	if err := f.caller.Answer(f.resp.answer, -1); err != nil {
		return &callerError{err}
	}
	return nil
}

// forwardComment forwards what is no event, once an event was forwarded.
func (f *forwarder) forwardComment(e exchange.Event) error {
	if !f.headSent {
		return nil
	}
	return f.caller.Write(e.Raw)
}

// forwardEvent forwards one event. The head is written with the first, so that until then
// the request may be sent to another upstream.
func (r *Relay) forwardEvent(ctx context.Context, f *forwarder, e exchange.Event) error {
	now := time.Now()
	r.bindRelease(ctx, f.job, f.resp.upstream)
	if !f.headSent {
		f.headSent = true
		if err := f.caller.Answer(f.resp.answer, -1); err != nil {
			return err
		}
		f.job.timeToFirst = time.Since(f.job.req.Arrived)
	} else {
		f.recordGap(now.Sub(f.lastEventAt))
	}
	f.lastEventAt = now
	if err := f.caller.Write(e.Raw); err != nil {
		return err
	}
	f.resp.hangTimer.Stop()
	f.resp.sent.event(now)
	if f.count == 0 {
		f.resp.entry.Started()
		r.Prefill.Observe(f.resp.soloPrefill, now.Sub(f.resp.startedAt))
		r.Speeds.RecordPrefill(now, f.resp.upstream, f.resp.soloPrefill, now.Sub(f.resp.startedAt))
	}
	f.count++
	r.recordHealthy(now, f)
	f.recordTokens()
	if r.Speeds != nil {
		f.resp.pace.Event(now, r.Loads.Load(now, f.resp.upstream.ID).Prefill > 0)
	}
	f.lastEvent = e.ID
	f.run.Progress()
	return nil
}

// recordGap records the time between two events.
func (f *forwarder) recordGap(pause time.Duration) {
	if pause > f.longestGap {
		f.longestGap, f.longestGapEnd, f.longestGapMoved = pause, f.lastEventAt.Add(pause), f.moved
	}
	f.moved = false
}

// recordTokens records the tokens of one more event.
func (f *forwarder) recordTokens() {
	per, j := f.job.eventTokens(), f.job
	made := f.count * per
	j.lengths.Progress(j.lengthKey(), made-per, made)
	f.resp.entry.Progress(f.lastEventAt, per, j.remainingTokens(made))
}

// mayResume reports whether another upstream may be tried, and spends a retry from the
// budget.
func (r *Relay) mayResume(ctx context.Context, j *job) bool {
	if ctx.Err() != nil || len(j.tried) >= j.route.Attempts || time.Until(j.deadline) < minTimeLeft || !r.releaseServes(j) || !r.Budget.Spend() {
		return false
	}
	r.Metrics.Retried(metrics.RetryResume)
	return true
}

// resume requests the events after the last one from another upstream.
func (r *Relay) resume(ctx context.Context, f *forwarder) error {
	resp, err := r.send(ctx, f.job, f.lastEvent)
	if err != nil {
		return err
	}
	if resp.answer.Status != http.StatusOK || !resp.answer.Sealed {
		if resp.answer.Status == http.StatusOK {
			resp.sent.failed(time.Now())
		}
		resp.close()
		return &exchange.FailedError{Err: &SealError{}}
	}
	f.job.log.WithFields(logrus.Fields{
		"upstream": resp.upstream.ID, "after": f.lastEvent, "release": resp.upstream.Release, "from_release": f.resp.upstream.Release,
	}).Info("resumed")
	f.resp = resp
	f.run.MovedTo(resp.upstream)
	return nil
}

// finishStream records the outcome of a stream and ends the answer.
func (r *Relay) finishStream(ctx context.Context, f *forwarder, err error) {
	r.Metrics.Streamed(f.count, f.job.timeToFirst.Seconds(), f.longestGap.Seconds(), max(f.longestGap-f.job.route.Gap, 0).Seconds())
	f.job.lengths.End(f.job.lengthKey(), f.count*f.job.eventTokens(), err != nil)
	log := f.job.log.WithFields(logrus.Fields{
		"upstream": f.resp.upstream.ID, "events": f.count, "first_ms": f.job.timeToFirst.Milliseconds(), "gap_ms": f.longestGap.Milliseconds(),
		"waited_ms": f.job.waited.Milliseconds(), "gap_after_ms": max(f.longestGapEnd.Sub(f.job.req.Arrived), 0).Milliseconds(), "gap_moved": f.longestGapMoved, "moves": f.moves, "hall": f.resp.upstream.Hall,
		"aim_ms": f.job.route.Aim.Milliseconds(), "gap_aim_ms": f.job.route.Gap.Milliseconds(), "took_ms": time.Since(f.job.req.Arrived).Milliseconds(),
	})
	switch {
	case err == nil:
		r.Metrics.Ended(refusal.Done)
		r.Quarantine.RecordSuccess(time.Now(), f.job.print, f.job.parts...)
		log.Info("streamed")
	case r.Buffers != nil && slowReader(err) != "":
		r.Metrics.SlowEnded(slowReader(err))
		log.WithError(err).WithFields(slowReaderFields(err)).WithField("reason", slowReader(err)).Warn("slow_reader_ended")
		f.caller.Abort()
	case errors.Is(ctx.Err(), context.Canceled) || errors.As(err, new(*callerError)):
		log.Info("caller_gone")
		f.caller.Abort()
	case !f.headSent:
		r.refuse(log, f.job.req, f.caller, f.job.correctOutcome(refusalFor(ctx, err)))
	default:
		r.Metrics.Refused(refusal.GenerationLost)
		r.Metrics.Ended(refusal.Failed)
		log.WithError(err).Warn("stream_lost")
		f.caller.Abort()
	}
}
