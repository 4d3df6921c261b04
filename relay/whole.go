package relay

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/balance/places"
	"petrelstep/exchange"
	"petrelstep/fleet"
	"petrelstep/metrics"
	"petrelstep/quarantine"
	"petrelstep/refusal"
)

const (
	// maxBufferedAnswer is how much of an answer is buffered before its head is written,
	// so that a broken answer is not delivered in part.
	maxBufferedAnswer = 256 << 10
	// concurrentTryFraction of the aim is the delay after which a repeatable request is
	// sent to a second upstream concurrently. It leaves time for an answer within the aim
	// where the first upstream hangs.
	concurrentTryFraction = 0.5
	copySize              = 16 << 10
)

// tryResult is the result of one try of a request with a whole answer.
type tryResult struct {
	upstream string
	resp     *response
	body     []byte
	more     bool
	err      error
}

// startedTry is a try that was sent to an upstream.
type startedTry struct {
	upstream string
	cancel   context.CancelCauseFunc
}

// race is a request with a whole answer whose tries may run concurrently.
type race struct {
	job     *job
	results chan tryResult
	tries   []startedTry
	running int
}

// serveWhole serves a request whose answer is not a stream.
func (r *Relay) serveWhole(ctx context.Context, j *job, c exchange.Caller) {
	race := &race{job: j, results: make(chan tryResult, max(j.route.Attempts, 1)+maxUnreached+1)}
	last := r.runTries(ctx, race)
	race.cancelExcept(last.upstream)
	r.deliver(ctx, j, c, last)
	race.close()
}

// runTries sends the request until there is an answer or no further try is allowed.
func (r *Relay) runTries(ctx context.Context, race *race) tryResult {
	j := race.job
	if err := r.startTry(ctx, race); err != nil {
		return tryResult{err: err}
	}
	second := time.NewTimer(time.Duration(concurrentTryFraction * float64(j.route.Aim)))
	defer second.Stop()
	for {
		select {
		case <-second.C:
			r.startConcurrentTry(ctx, race)
		case result := <-race.results:
			race.running--
			if race.running > 0 && retryReason(j, result) != "" {
				result.discard()
				r.replaceUnreached(ctx, race, result)
				continue // the concurrent try may still be answered
			}
			if !r.sendNext(ctx, race, result) {
				return result
			}
			result.discard()
		}
	}
}

// sendNext sends the request again after a failed try. It reports whether it did.
func (r *Relay) sendNext(ctx context.Context, race *race, result tryResult) bool {
	j := race.job
	if isNotSent(result.err) && len(j.unreached) < maxUnreached && ctx.Err() == nil {
		r.recordUnreached(j, result.upstream, result.err)
	} else if !r.mayRetry(ctx, j, result) {
		return false
	}
	if !result.more {
		result.discard() // the answer is buffered here: its place is free while the next try waits
	}
	err := r.startTry(ctx, race)
	if err != nil {
		j.log.WithError(err).Info("not_sent_again")
	}
	return err == nil
}

// startTry picks an upstream and sends the request; the result arrives on race.results.
func (r *Relay) startTry(ctx context.Context, race *race) error {
	j := race.job
	u, err := r.placeForSend(ctx, j)
	if err != nil {
		return err
	}
	trying, cancel := context.WithCancelCause(ctx)
	race.tries = append(race.tries, startedTry{u.ID, cancel})
	race.running++
	j.tried = append(j.tried, u.ID)
	shared, ask := r.sharesPlaces(j) && !j.onTrial(u), j.placeRequest()
	go func() {
		began := time.Now()
		result := r.tryWhole(trying, j, u)
		if shared {
			r.releasePlace(ask, u, result, time.Since(began))
		}
		race.results <- result
	}()
	return nil
}

// releasePlace releases a shared place. A rejection or a failure says nothing about how
// long the upstream's work takes.
func (r *Relay) releasePlace(ask places.Request, u fleet.Upstream, result tryResult, took time.Duration) {
	if result.resp == nil || result.resp.answer.NotRun || result.resp.answer.Status >= http.StatusInternalServerError {
		r.Places.Dropped(ask, u, took)
		return
	}
	r.Places.Answered(time.Now(), ask, u, took)
}

// startConcurrentTry sends a second try while the first is running, if the retry budget
// allows it and an upstream has a free place. The first is not cancelled, as it may be
// about to answer. If all upstreams are busy, a second try would wait as long as the first
// and delay others.
func (r *Relay) startConcurrentTry(ctx context.Context, race *race) {
	j := race.job
	if !j.route.Repeatable || j.service.Engine != nil || len(j.tried) >= j.route.Attempts || time.Until(j.deadline) < minTimeLeft {
		return
	}
	_, load, ok := r.Picker.Choose(time.Now(), j.want())
	why := metrics.SecondTryNoBudget
	if !ok || load >= 1 || r.sharesPlaces(j) && r.Places.Overloaded(time.Now(), j.service) {
		why = metrics.SecondTryNoCapacity
	}
	if r.Quarantine.Status(time.Now(), j.print, j.parts...).Kind != quarantine.Free {
		why = metrics.SecondTrySuspect
	}
	if why != metrics.SecondTryNoBudget || !r.Budget.Spend() {
		r.Metrics.SecondTrySkipped(why)
		j.log.WithFields(logrus.Fields{"why": why, "load": load, "tried": len(j.tried)}).Info("first_goes_on")
		return
	}
	r.Metrics.Retried(metrics.RetryConcurrent)
	j.log.WithFields(logrus.Fields{"why": metrics.RetryConcurrent, "tried": len(j.tried)}).Info("sent_again")
	j.noWait = true // the first try may be answered while this one waits
	if err := r.startTry(ctx, race); err != nil {
		j.log.WithError(err).Info("not_sent_again")
	}
	j.noWait = false
}

// replaceUnreached sends another try in place of one that could not reach its upstream
// while another is running; the failed one does not count.
func (r *Relay) replaceUnreached(ctx context.Context, race *race, result tryResult) {
	if isNotSent(result.err) && len(race.job.unreached) < maxUnreached && ctx.Err() == nil {
		r.recordUnreached(race.job, result.upstream, result.err)
		r.startConcurrentTry(ctx, race)
	}
}

// cancelExcept cancels all tries but the one at the given upstream, which has overtaken
// those that were sent before it.
func (race *race) cancelExcept(except string) {
	sentBefore := except != ""
	for _, t := range race.tries {
		switch {
		case t.upstream == except:
			sentBefore = false
		case sentBefore:
			t.cancel(&overtakenError{})
		default:
			t.cancel(nil)
		}
	}
}

// close cancels all tries and waits until they have ended.
func (race *race) close() {
	race.cancelExcept("")
	for range race.running {
		result := <-race.results
		result.discard()
	}
}

// fields returns log fields on the upstream and the status of a result.
func (t tryResult) fields() logrus.Fields {
	if t.resp == nil {
		return logrus.Fields{"upstream": t.upstream}
	}
	return logrus.Fields{"upstream": t.resp.upstream.ID, "status": t.resp.answer.Status}
}

// discard closes an answer that is not delivered.
func (t tryResult) discard() {
	if t.resp != nil {
		t.resp.close()
	}
}

// isNotSent reports whether a send failed before any byte was sent.
func isNotSent(err error) bool {
	var failed *exchange.FailedError
	return errors.As(err, &failed) && failed.NotSent
}

// isLinkSuspect reports whether a send may have failed by this box's link.
func isLinkSuspect(err error) bool {
	var failed *exchange.FailedError
	return errors.As(err, &failed) && failed.Link
}

// tryWhole sends the request once and reads the whole answer.
func (r *Relay) tryWhole(ctx context.Context, j *job, u fleet.Upstream) tryResult {
	resp, err := r.sendTo(ctx, j, u, exchange.NoEvent, nil)
	if err != nil {
		return tryResult{upstream: u.ID, err: err}
	}
	body, more, err := resp.answer.Body.All(maxBufferedAnswer)
	resp.hangTimer.Stop()
	bad := err != nil || resp.answer.Status == http.StatusOK && !resp.answer.Sealed
	failed := bad || resp.answer.NotRun || resp.answer.Status >= http.StatusInternalServerError
	counts := !errors.Is(ctx.Err(), context.Canceled) && resp.answer.Backoff == 0 // a backoff concerns this box only
	if bad {
		return r.handleBad(ctx, j, resp, cmp.Or[error](err, &SealError{}), counts)
	}
	if counts {
		r.recordResult(u, failed)
	}
	if resp.sent.head(time.Now(), resp.answer) && !more {
		resp.sent.answered(time.Now())
	}
	switch {
	case !resp.answer.NotRun && resp.answer.Status < http.StatusMultipleChoices:
		r.Quarantine.RecordSuccess(time.Now(), j.print, j.parts...)
	case !resp.answer.NotRun && !impliesNotRun(resp.answer.Status):
		r.Quarantine.RecordSuccess(time.Now(), j.print) // nothing was written on the prompt
	}
	return tryResult{upstream: u.ID, resp: resp, body: body, more: more}
}

// handleBad records an answer that broke off or lacks a seal. A failure of the upstream is recorded
// once it is known whether this box's link broke it off.
func (r *Relay) handleBad(ctx context.Context, j *job, resp *response, err error, counts bool) tryResult {
	if resp.sent.head(time.Now(), resp.answer) {
		r.sendFailed(resp.sent, resp.upstream, err)
	}
	resp.close()
	r.handleBroken(ctx, j, brokenSend{upstream: resp.upstream, startedAt: resp.startedAt}, err)
	if counts {
		r.recordNoAnswer(resp.upstream)
	}
	return tryResult{upstream: resp.upstream.ID, err: err}
}

// SealError says that an answer lacks its upstream's seal.
type SealError struct{}

// Error implements error.
func (*SealError) Error() string { return "answer without a seal" }

// mayRetry reports whether a request may be sent again, and spends a retry from the
// budget.
func (r *Relay) mayRetry(ctx context.Context, j *job, result tryResult) bool {
	reason := retryReason(j, result)
	if reason == "" || ctx.Err() != nil || len(j.tried) == 0 || len(j.tried) >= j.route.Attempts || time.Until(j.deadline) < minTimeLeft {
		if reason == "" {
			r.Budget.Succeeded()
		}
		return false
	}
	log := j.log.WithFields(result.fields())
	if !r.releaseServes(j) {
		log.WithField("why", reason).Info("release_gone")
		return false
	}
	if !r.Budget.Spend() {
		log.WithField("why", reason).Warn("budget_spent")
		return false
	}
	r.Metrics.Retried(reason)
	log.WithFields(logrus.Fields{"why": reason, "tried": len(j.tried)}).Info("sent_again")
	return true
}

// retryReason returns why a request may be sent again; empty if it may not.
func retryReason(j *job, result tryResult) string {
	switch {
	case result.err != nil:
		if j.route.Repeatable {
			return metrics.RetryEngineLost
		}
	case result.resp.answer.NotRun:
		return metrics.RetryNeverStarted
	case result.resp.answer.Status >= http.StatusInternalServerError && j.route.Repeatable:
		return metrics.RetryIdempotent
	}
	return ""
}

// deliver ends a request with the result of its last try.
func (r *Relay) deliver(ctx context.Context, j *job, c exchange.Caller, result tryResult) {
	if result.err != nil {
		r.refuse(j.log, j.req, c, j.correctOutcome(refusalFor(ctx, result.err)))
		return
	}
	defer result.resp.close()
	if result.resp.answer.NotRun {
		r.refuse(j.log.WithFields(result.fields()), j.req, c,
			j.correctOutcome(refusal.New(refusal.UpstreamFull, "the upstream rejected the request without running it").WithRetryAfter(retryAfterOtherBox)))
		return
	}
	if impliesNotRun(result.resp.answer.Status) && !j.route.Repeatable && !j.route.Resumable {
		r.refuse(j.log.WithFields(result.fields()), j.req, c,
			refusal.New(refusal.NoAnswer, "the upstream did not state whether it ran the request"))
		return
	}
	length := len(result.body)
	if result.more {
		length = -1
	}
	err := c.Answer(result.resp.answer, length)
	if err == nil {
		err = r.writeWhole(ctx, c, result.body)
	}
	if err == nil && result.more {
		err = r.forwardRest(result.resp, c)
	}
	took := time.Since(j.req.Arrived)
	r.Metrics.Answered(took)
	log := j.log.WithFields(logrus.Fields{"upstream": result.resp.upstream.ID, "status": result.resp.answer.Status, "took_ms": took.Milliseconds(), "hall": result.resp.upstream.Hall, "aim_ms": j.route.Aim.Milliseconds()})
	if err != nil {
		c.Abort()
		r.recordRefused(j, result.resp.upstream, err)
		if reason := slowReader(err); r.Buffers != nil && reason != "" {
			r.Metrics.SlowEnded(reason)
			log = log.WithFields(slowReaderFields(err)).WithField("reason", reason)
		}
		log.WithError(err).Info("answer_cut")
		return
	}
	r.Metrics.Ended(refusal.Done)
	log.Info("answered")
}

// impliesNotRun reports whether callers infer from a status that their request was not run
// and may be repeated.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// forwardRest forwards the part of an answer that exceeds the buffer.
func (r *Relay) forwardRest(resp *response, c exchange.Caller) error {
	buf := make([]byte, copySize)
	for {
		n, err := resp.answer.Body.Read(buf)
		if n > 0 {
			if err := r.writeUnbuffered(c, buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			resp.sent.answered(time.Now())
			return nil
		}
		if err != nil {
			r.sendFailed(resp.sent, resp.upstream, err)
			return err
		}
	}
}
