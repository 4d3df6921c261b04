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

const (
	// goOnTries bounds how often a stream that was moved is asked for.
	goOnTries = 2
	// closedSlack is how long a run that was on its way to a hall may still go on
	// there once that is known to be evacuated: it is lost otherwise. Halls have 5 s
	// to receive their last request; a box knows of an evacuation 1.5 s late.
	closedSlack = 2 * time.Second
)

// OrderError says that an upstream's events do not follow on each other.
type OrderError struct{ Last, Got int }

// Error implements error.
func (e *OrderError) Error() string { return "events out of order" }

// LongError says that an answer in place of a stream is too long.
type LongError struct{}

// Error implements error.
func (*LongError) Error() string { return "an answer too long to be a failure" }

// flow is a stream that is passed on.
type flow struct {
	job    *job
	caller exchange.Caller
	run    *runs.Run
	sent   *sent
	begun  bool // the head has gone out
	last   int  // event passed on
	count  int
	passed time.Time     // when the last event went out
	gap    time.Duration // the longest pause
	gapAt  time.Time     // when it ended
	moved  bool          // it has moved since the last event
	moves  int
	over   bool // the longest pause was over a move
}

// stream serves a request whose answer is a stream.
func (r *Relay) stream(ctx context.Context, j *job, c exchange.Caller) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f := &flow{job: j, caller: c, last: j.req.After}
	err := r.open(ctx, f)
	if err != nil {
		r.refuse(j.log, j.req, c, j.truthful(lost(ctx, err)))
		return
	}
	if f.run == nil {
		return // answered with something that is no stream
	}
	var out *buffered
	if r.Buffers != nil {
		out = newBuffered(ctx, cancel, c, r.Buffers)
		f.caller = out
	}
	leave := r.Runs.Add(f.run)
	err = r.pass(ctx, f)
	leave()
	f.sent.close()
	if out != nil {
		err = endOf(err, out.finish())
	}
	r.ended(ctx, f, err)
}

// open sends the request until an upstream answers with a stream.
func (r *Relay) open(ctx context.Context, f *flow) error {
	j := f.job
	for {
		s, err := r.send(ctx, j, f.last)
		if errors.As(err, new(refusal.Refusal)) {
			return err // nobody may take it
		}
		o := outcome{sent: s, err: err}
		if err == nil && s.answer.Status == http.StatusOK && s.answer.Whole {
			r.opened(f, s)
			return nil
		}
		if err == nil && s.answer.Status == http.StatusOK {
			s.close()
			o = outcome{err: &SealError{}}
		}
		if o.err == nil && s.answer.Rest == 0 {
			r.record(s.upstream, true)
		}
		if r.again(ctx, j, o) || o.err != nil && j.route.Resumable && r.mayResume(ctx, j) {
			o.drop()
			continue
		}
		if o.err != nil {
			return o.err
		}
		return r.notStream(ctx, f, o)
	}
}

// opened notes that an upstream answers with a stream.
func (r *Relay) opened(f *flow, s *sent) {
	r.record(s.upstream, false)
	r.Budget.Succeeded()
	f.sent = s
	f.run = runs.NewRun(f.job.req, s.upstream, f.job.eventTokens(), f.job.left, s.began)
	f.run.Gap = f.job.route.Gap
}

// notStream passes on an upstream's answer that is no stream.
func (r *Relay) notStream(ctx context.Context, f *flow, o outcome) error {
	body, more, err := o.sent.answer.Body.All(wholeMost)
	if err == nil && more {
		err = &LongError{}
	}
	if err != nil {
		o.sent.close()
		r.broke(ctx, f.job, broken{upstream: o.sent.upstream, began: o.sent.began}, err)
		return &exchange.FailedError{Err: err}
	}
	if !o.sent.answer.NotRun {
		r.Quarantine.RecordSuccess(time.Now(), f.job.print) // it ran, and its upstream lives to say how it failed
	}
	o.body = body
	r.deliver(ctx, f.job, f.caller, o)
	return nil
}

// pass passes events on until the stream is whole; it goes on elsewhere where
// the run was moved, or may be resumed.
func (r *Relay) pass(ctx context.Context, f *flow) error {
	for {
		err := r.events(ctx, f)
		if err == nil || ctx.Err() != nil || errors.As(err, new(*callerError)) {
			return err
		}
		f.job.log.WithError(err).WithFields(logrus.Fields{"upstream": f.sent.upstream.ID, "events": f.count, "stopping": f.run.IsStopping()}).Info("stream_broke")
		f.sent.close()
		if !f.run.IsStopping() { // the source of a move closes its stream
			r.broke(ctx, f.job, broken{f.sent.upstream, f.sent.began, f.count, !f.sent.good.IsZero()}, err)
		}
		if goneOn, moved := r.goOn(ctx, f); moved {
			if !goneOn {
				return err
			}
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

// callerError says that the caller could not be written to.
type callerError struct{ err error }

func (e *callerError) Error() string { return "caller: " + e.err.Error() }

func (e *callerError) Unwrap() error { return e.err }

// events passes on one upstream's stream to its end.
func (r *Relay) events(ctx context.Context, f *flow) error {
	for {
		e, err := f.sent.answer.Body.Next()
		if err == io.EOF {
			return f.end()
		}
		if err != nil {
			return err
		}
		if e.ID != exchange.NoEvent {
			if e.ID <= f.last {
				continue // had before the move
			}
			if f.count > 0 && e.ID != f.last+1 {
				return &OrderError{Last: f.last, Got: e.ID}
			}
		}
		if err := r.event(f, e); err != nil {
			return &callerError{err}
		}
	}
}

// end tells whether a stream that closed is whole: one that is being stopped
// and has no length closes alike.
func (f *flow) end() error {
	if !f.sent.answer.Framed && f.run.IsStopping() {
		return io.ErrUnexpectedEOF
	}
	if f.begun {
		return nil
	}
	f.begun = true
	if err := f.caller.Answer(f.sent.answer, -1); err != nil {
		return &callerError{err}
	}
	return nil
}

// event passes on one event; the head goes out with the first, so that until
// then the request may be sent elsewhere.
func (r *Relay) event(f *flow, e exchange.Event) error {
	now := time.Now()
	if !f.begun {
		f.begun = true
		if err := f.caller.Answer(f.sent.answer, -1); err != nil {
			return err
		}
		f.job.first = now.Sub(f.job.req.Arrived)
	} else {
		f.paused(now.Sub(f.passed))
	}
	f.passed = now
	if err := f.caller.Write(e.Raw); err != nil {
		return err
	}
	f.sent.hung.Stop()
	if f.count == 0 {
		f.sent.entry.Started()
		r.Prefill.Read(f.sent.alone, now.Sub(f.sent.began))
		r.Speeds.Read(now, f.sent.upstream, f.sent.alone, now.Sub(f.sent.began))
	}
	f.count++
	r.lived(now, f)
	f.grew()
	if r.Speeds != nil {
		f.sent.pace.Event(now, r.Tally.Load(now, f.sent.upstream.ID).Prefill > 0)
	}
	if e.ID != exchange.NoEvent {
		f.last = e.ID
	}
	f.run.Progress()
	return nil
}

// paused notes a pause between two events.
func (f *flow) paused(pause time.Duration) {
	if pause > f.gap {
		f.gap, f.gapAt, f.over = pause, f.passed.Add(pause), f.moved
	}
	f.moved = false
}

// grew notes one more event's tokens.
func (f *flow) grew() {
	per, j := f.job.eventTokens(), f.job
	made := f.count * per
	j.lengths.Progress(j.kind(), made-per, made)
	f.sent.entry.Made(f.passed, per, j.left(made))
}

// goOn goes on with a run that was moved. moved is false if it was not.
func (r *Relay) goOn(ctx context.Context, f *flow) (goneOn, moved bool) {
	h, ok := f.run.Await(ctx)
	if !ok {
		return false, false
	}
	began := time.Now()
	at := h.Target
	for range goOnTries {
		if since, closed := r.Fleet.Closed(at.Hall); closed && time.Since(since) > closedSlack {
			f.job.log.WithFields(logrus.Fields{"upstream": at.ID, "hall": at.Hall}).Warn("not_gone_on_evacuated")
			at = h.Source
			continue
		}
		if !r.Fleet.IsCurrent(at) {
			f.job.log.WithField("upstream", at.ID).Warn("not_gone_on_restarted")
			at = h.Source
			continue
		}
		r.Chooser.Sent(time.Now(), f.job.service, at)
		s, err := r.sendTo(ctx, f.job, at, f.last, &h.Copy)
		log := f.job.log.WithFields(logrus.Fields{"upstream": at.ID, "after": f.last, "copy": h.Copy.ID, "took_ms": time.Since(began).Milliseconds()})
		if err == nil && s.answer.Status == http.StatusOK {
			f.sent, f.moved = s, true
			f.moves++
			f.run.Moved(at)
			r.Metrics.Retried(metrics.RetryMoved)
			log.Info("went_on")
			return true, true
		}
		if err == nil {
			log = log.WithField("status", s.answer.Status)
			s.close()
		}
		log.WithError(err).Warn("not_gone_on")
		at = h.Source
	}
	return false, true
}

// mayResume tells whether one more upstream may be asked, and takes that from
// the budget.
func (r *Relay) mayResume(ctx context.Context, j *job) bool {
	if ctx.Err() != nil || len(j.tried) >= j.route.Attempts || time.Until(j.deadline) < leastLeft || !r.Budget.Spend() {
		return false
	}
	r.Metrics.Retried(metrics.RetryResume)
	return true
}

// resume asks another upstream for the events after the last.
func (r *Relay) resume(ctx context.Context, f *flow) error {
	s, err := r.send(ctx, f.job, f.last)
	if err != nil {
		return err
	}
	if s.answer.Status != http.StatusOK || !s.answer.Whole {
		s.close()
		return &exchange.FailedError{Err: &SealError{}}
	}
	f.sent = s
	f.run.Moved(s.upstream)
	f.job.log.WithFields(logrus.Fields{"upstream": s.upstream.ID, "after": f.last}).Info("resumed")
	return nil
}

// ended settles a stream.
func (r *Relay) ended(ctx context.Context, f *flow, err error) {
	r.Metrics.Streamed(f.count, f.job.first.Seconds(), f.gap.Seconds(), max(f.gap-f.job.route.Gap, 0).Seconds())
	f.job.lengths.End(f.job.kind(), f.count*f.job.eventTokens(), err != nil)
	log := f.job.log.WithFields(logrus.Fields{
		"upstream": f.sent.upstream.ID, "events": f.count, "first_ms": f.job.first.Milliseconds(), "gap_ms": f.gap.Milliseconds(),
		"waited_ms": f.job.waited.Milliseconds(), "gap_after_ms": max(f.gapAt.Sub(f.job.req.Arrived), 0).Milliseconds(), "gap_moved": f.over, "moves": f.moves, "hall": f.sent.upstream.Hall,
		"aim_ms": f.job.route.Aim.Milliseconds(), "gap_aim_ms": f.job.route.Gap.Milliseconds(), "took_ms": time.Since(f.job.req.Arrived).Milliseconds(),
	})
	switch {
	case err == nil:
		r.Metrics.Ended(refusal.Done)
		r.Quarantine.RecordSuccess(time.Now(), f.job.print)
		log.Info("streamed")
	case r.Buffers != nil && slowReader(err) != "":
		r.Metrics.SlowEnded(slowReader(err))
		log.WithError(err).WithFields(heldOf(err)).WithField("reason", slowReader(err)).Warn("slow_reader_ended")
		f.caller.Abort()
	case errors.Is(ctx.Err(), context.Canceled) || errors.As(err, new(*callerError)):
		log.Info("caller_gone")
		f.caller.Abort()
	case !f.begun:
		r.refuse(log, f.job.req, f.caller, f.job.truthful(lost(ctx, err)))
	default:
		r.Metrics.Refused(refusal.GenerationLost)
		r.Metrics.Ended(refusal.Failed)
		log.WithError(err).Warn("stream_lost")
		f.caller.Abort()
	}
}
