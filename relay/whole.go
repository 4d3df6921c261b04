package relay

import (
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
	// wholeMost is how much of an answer is held until all of it is there, so
	// that a broken one is never begun; a plain answer has some KB.
	wholeMost = 256 << 10
	// waitPart is the part of the aim after which a request that may run twice is
	// tried elsewhere beside its first try: where an upstream hangs, the other half is
	// left for an answer in time.
	waitPart = 0.5
	copySize = 16 << 10
)

// outcome is what came of one send of a request with a whole answer.
type outcome struct {
	upstream string
	sent     *sent
	body     []byte
	more     bool
	err      error
}

// race is a request with a whole answer whose tries may run beside each other.
type race struct {
	job      *job
	outcomes chan outcome
	cancels  map[string]context.CancelFunc // by upstream
	running  int
}

// whole serves a request whose answer is no stream.
func (r *Relay) whole(ctx context.Context, j *job, c exchange.Caller) {
	race := &race{job: j, cancels: map[string]context.CancelFunc{}, outcomes: make(chan outcome, max(j.route.Attempts, 1)+unreachedMost+1)}
	last := r.run(ctx, race)
	race.giveUp(last.upstream)
	r.deliver(ctx, j, c, last)
	race.close()
}

// run sends until there is an answer or nothing more may be tried.
func (r *Relay) run(ctx context.Context, race *race) outcome {
	j := race.job
	if err := r.begin(ctx, race); err != nil {
		return outcome{err: err}
	}
	second := time.NewTimer(time.Duration(waitPart * float64(j.route.Aim)))
	defer second.Stop()
	for {
		select {
		case <-second.C:
			r.beside(ctx, race)
		case o := <-race.outcomes:
			race.running--
			if race.running > 0 && retryReason(j, o) != "" {
				o.drop()
				r.instead(ctx, race, o)
				continue // the other try may still be answered
			}
			if !r.next(ctx, race, o) {
				return o
			}
			o.drop()
		}
	}
}

// next sends a request again after an outcome; false if it is not.
func (r *Relay) next(ctx context.Context, race *race, o outcome) bool {
	j := race.job
	if notReached(o.err) && len(j.passed) < unreachedMost && ctx.Err() == nil {
		r.notReached(j, o.upstream, o.err)
	} else if !r.again(ctx, j, o) {
		return false
	}
	if !o.more {
		o.drop() // its answer is held here: nobody has to count it while the next one waits
	}
	err := r.begin(ctx, race)
	if err != nil {
		j.log.WithError(err).Info("not_sent_again")
	}
	return err == nil
}

// begin places a request and sends it; its outcome comes by the race's channel.
func (r *Relay) begin(ctx context.Context, race *race) error {
	j := race.job
	u, err := r.placed(ctx, j)
	if err != nil {
		return err
	}
	trying, cancel := context.WithCancel(ctx)
	race.cancels[u.ID] = cancel
	race.running++
	j.tried = append(j.tried, u.ID)
	shared, ask := r.sharesPlaces(j), j.placeAsk()
	go func() {
		began := time.Now()
		o := r.tryWhole(trying, j, u)
		if shared {
			r.freed(ask, u, o, time.Since(began))
		}
		race.outcomes <- o
	}()
	return nil
}

// freed gives a place back that the boxes share out. What an upstream refused or
// failed tells nothing of how long its work takes.
func (r *Relay) freed(ask places.Ask, u fleet.Upstream, o outcome, took time.Duration) {
	if o.sent == nil || o.sent.answer.NotRun || o.sent.answer.Status >= http.StatusInternalServerError {
		r.Places.Dropped(ask, u, took)
		return
	}
	r.Places.Answered(time.Now(), ask, u, took)
}

// beside sends a second try while the first runs on, if the budget has one and an
// upstream has a place free. The first is not cut for it: it may be about to answer,
// and what it did would be lost. Where all are busy the second would wait as long,
// and others for it.
func (r *Relay) beside(ctx context.Context, race *race) {
	j := race.job
	if !j.route.Repeatable || j.service.Engine != nil || len(j.tried) >= j.route.Attempts || time.Until(j.deadline) < leastLeft {
		return
	}
	_, load, ok := r.Chooser.Choose(time.Now(), j.want())
	why := metrics.NotBesideBudget
	if !ok || load >= 1 || r.sharesPlaces(j) && r.Places.Crowded(time.Now(), j.service) {
		why = metrics.NotBesideNoRoom
	}
	if r.Quarantine.Status(time.Now(), j.print).Kind != quarantine.Free {
		why = metrics.NotBesideSuspect
	}
	if why != metrics.NotBesideBudget || !r.Budget.Spend() {
		r.Metrics.NotBeside(why)
		j.log.WithFields(logrus.Fields{"why": why, "load": load, "tried": len(j.tried)}).Info("first_goes_on")
		return
	}
	r.Metrics.Retried(metrics.RetryBeside)
	j.log.WithFields(logrus.Fields{"why": metrics.RetryBeside, "tried": len(j.tried)}).Info("sent_again")
	j.hurried = true // the first may be answered while this one waits
	if err := r.begin(ctx, race); err != nil {
		j.log.WithError(err).Info("not_sent_again")
	}
	j.hurried = false
}

// instead sends another try in place of one that reached nothing while the other runs:
// it took none of the tries that the request may have.
func (r *Relay) instead(ctx context.Context, race *race, o outcome) {
	if notReached(o.err) && len(race.job.passed) < unreachedMost && ctx.Err() == nil {
		r.notReached(race.job, o.upstream, o.err)
		r.beside(ctx, race)
	}
}

// giveUp ends the tries but the one whose answer is passed on.
func (race *race) giveUp(but string) {
	for upstream, cancel := range race.cancels {
		if upstream != but {
			cancel()
		}
	}
}

// close ends all tries and waits until they have ended.
func (race *race) close() {
	race.giveUp("")
	for range race.running {
		o := <-race.outcomes
		o.drop()
	}
}

// fields name the upstream of an outcome and its status, for the log.
func (o outcome) fields() logrus.Fields {
	if o.sent == nil {
		return logrus.Fields{"upstream": o.upstream}
	}
	return logrus.Fields{"upstream": o.sent.upstream.ID, "status": o.sent.answer.Status}
}

// drop closes an answer that is not passed on.
func (o outcome) drop() {
	if o.sent != nil {
		o.sent.close()
	}
}

// notReached tells whether a send failed before any of it went out.
func notReached(err error) bool {
	var failed *exchange.FailedError
	return errors.As(err, &failed) && failed.NotSent
}

// tryWhole sends once and reads the whole answer.
func (r *Relay) tryWhole(ctx context.Context, j *job, u fleet.Upstream) outcome {
	s, err := r.sendTo(ctx, j, u, exchange.NoEvent, nil)
	if err != nil {
		return outcome{upstream: u.ID, err: err}
	}
	body, rest, err := s.answer.Body.All(wholeMost)
	s.hung.Stop()
	bad := err != nil || s.answer.Status == http.StatusOK && !s.answer.Whole
	failed := bad || s.answer.NotRun || s.answer.Status >= http.StatusInternalServerError
	if !errors.Is(ctx.Err(), context.Canceled) && s.answer.Rest == 0 { // a rest is asked of this box alone
		r.record(u, failed)
	}
	if bad {
		s.close()
		if err == nil {
			err = &SealError{}
		}
		r.broke(ctx, j, broken{upstream: u, began: s.began}, err)
		return outcome{upstream: u.ID, err: err}
	}
	if !s.answer.NotRun && !promisesNotRun(s.answer.Status) {
		r.Quarantine.RecordSuccess(time.Now(), j.print)
	}
	return outcome{upstream: u.ID, sent: s, body: body, more: rest}
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
	log := j.log.WithFields(o.fields())
	if !r.Budget.Spend() {
		log.WithField("why", reason).Warn("budget_spent")
		return false
	}
	r.Metrics.Retried(reason)
	log.WithFields(logrus.Fields{"why": reason, "tried": len(j.tried)}).Info("sent_again")
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
		r.refuse(j.log, j.req, c, j.truthful(lost(ctx, o.err)))
		return
	}
	defer o.sent.close()
	if o.sent.answer.NotRun {
		r.refuse(j.log.WithFields(o.fields()), j.req, c,
			j.truthful(refusal.New(refusal.UpstreamFull, "the upstream did not run it").WithRetryAfter(comeAgain)))
		return
	}
	if promisesNotRun(o.sent.answer.Status) && !j.route.Repeatable && !j.route.Resumable {
		r.refuse(j.log.WithFields(o.fields()), j.req, c,
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
