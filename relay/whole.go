package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/exchange"
	"petrelstep/metrics"
	"petrelstep/refusal"
)

const (
	// wholeMost is how much of an answer is held until all of it is there, so
	// that a broken one is never begun; a plain answer has some KB.
	wholeMost = 256 << 10
	// waitPart is the part of the aim after which a request that may run twice
	// is tried elsewhere: a hung upstream then costs half of the aim.
	waitPart = 0.5
	copySize = 16 << 10
)

// outcome is what came of one send of a request with a whole answer.
type outcome struct {
	sent *sent
	body []byte
	more bool
	err  error
}

// whole serves a request whose answer is no stream.
func (r *Relay) whole(ctx context.Context, j *job, c exchange.Caller) {
	var last outcome
	for {
		last = r.tryWhole(ctx, j, len(j.tried)+1 < j.route.Attempts)
		if !r.again(ctx, j, last) {
			break
		}
		if last.sent != nil {
			last.sent.close()
		}
	}
	r.deliver(ctx, j, c, last)
}

// tryWhole sends once. Where another try may follow, it waits for the answer
// only for a part of the aim.
func (r *Relay) tryWhole(ctx context.Context, j *job, more bool) outcome {
	ctx, cancel := context.WithCancel(ctx)
	if j.route.Repeatable && more {
		late := time.AfterFunc(time.Duration(waitPart*float64(j.route.Aim)), cancel)
		defer late.Stop()
	}
	s, err := r.send(ctx, j, exchange.NoEvent)
	if err != nil {
		cancel()
		return outcome{err: err}
	}
	body, rest, err := s.answer.Body.All(wholeMost)
	s.hung.Stop()
	bad := err != nil || s.answer.Status == http.StatusOK && !s.answer.Whole
	failed := bad || s.answer.NotRun || s.answer.Status >= http.StatusInternalServerError
	r.record(s.upstream, failed)
	if bad {
		s.close()
		cancel()
		if err == nil {
			err = &SealError{}
		}
		return outcome{err: err}
	}
	closeSent := s.close
	s.close = func() {
		closeSent()
		cancel()
	}
	return outcome{sent: s, body: body, more: rest}
}

// SealError says that an answer lacks its upstream's seal.
type SealError struct{}

// Error implements error.
func (*SealError) Error() string { return "an answer without a seal" }

// again tells whether a request is sent once more, and takes that from the budget.
func (r *Relay) again(ctx context.Context, j *job, o outcome) bool {
	reason := retryReason(j, o)
	if reason == "" || ctx.Err() != nil || len(j.tried) == 0 || len(j.tried) >= j.route.Attempts || time.Until(j.deadline) < leastLeft {
		if reason == "" {
			r.Budget.Succeeded()
		}
		return false
	}
	if !r.Budget.Spend() {
		j.log.WithField("why", reason).Warn("budget_spent")
		return false
	}
	r.Metrics.Retried(reason)
	j.log.WithFields(logrus.Fields{"why": reason, "tried": len(j.tried)}).Info("sent_again")
	return true
}

// retryReason tells why a request may be sent again; empty if it may not.
func retryReason(j *job, o outcome) string {
	switch {
	case o.err != nil:
		if j.route.Repeatable {
			return metrics.RetryEngineLost
		}
	case o.sent.answer.NotRun:
		return metrics.RetryNeverStarted
	case o.sent.answer.Status >= http.StatusInternalServerError && j.route.Repeatable:
		return metrics.RetryIdempotent
	}
	return ""
}

// deliver ends a request with what came of its last send.
func (r *Relay) deliver(ctx context.Context, j *job, c exchange.Caller, o outcome) {
	if o.err != nil {
		r.refuse(j.log, j.req, c, lost(ctx, o.err))
		return
	}
	defer o.sent.close()
	if o.sent.answer.NotRun {
		r.refuse(j.log.WithField("status", o.sent.answer.Status), j.req, c,
			refusal.New(refusal.UpstreamFull, "the upstream did not run it").WithRetryAfter(comeAgain))
		return
	}
	if promisesNotRun(o.sent.answer.Status) && !j.route.Repeatable && !j.route.Resumable {
		r.refuse(j.log.WithField("status", o.sent.answer.Status), j.req, c,
			refusal.New(refusal.NoAnswer, "the upstream does not say that it did not run it"))
		return
	}
	length := len(o.body)
	if o.more {
		length = -1
	}
	err := c.Answer(o.sent.answer, length)
	if err == nil {
		err = r.writeWhole(ctx, c, o.body)
	}
	if err == nil && o.more {
		err = r.rest(o.sent.answer.Body, c)
	}
	took := time.Since(j.req.Arrived)
	r.Metrics.Answered(took)
	log := j.log.WithFields(logrus.Fields{"upstream": o.sent.upstream.ID, "status": o.sent.answer.Status, "took_ms": took.Milliseconds(), "hall": o.sent.upstream.Hall, "aim_ms": j.route.Aim.Milliseconds()})
	if err != nil {
		c.Abort()
		if reason := slowReader(err); r.Buffers != nil && reason != "" {
			r.Metrics.SlowEnded(reason)
			log = log.WithFields(heldOf(err)).WithField("reason", reason)
		}
		log.WithError(err).Info("answer_cut")
		return
	}
	r.Metrics.Ended(refusal.Done)
	log.Info("answered")
}

// promisesNotRun tells whether callers take a status for the word that their
// request has not run, and may then ask again.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// rest passes on what is too long to be held.
func (r *Relay) rest(body exchange.Body, c exchange.Caller) error {
	buf := make([]byte, copySize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := r.writeRest(c, buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
