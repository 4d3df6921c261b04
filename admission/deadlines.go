package admission

import (
	"cmp"
	"slices"
	"time"

	"petrelstep/refusal"
)

// timeLeft returns how long a request may still wait to meet its aim.
func (a *Admission) timeLeft(now time.Time, req Request) time.Duration {
	return req.Arrived.Add(cmp.Or(req.Aim, unlimited)).Sub(now) - a.prefill.Time(req.Prompt)
}

// patienceLeft returns how long a request may still wait before its caller disconnects.
func patienceLeft(now time.Time, req Request) time.Duration {
	if req.Patience == 0 {
		return unlimited
	}
	return req.Arrived.Add(time.Duration(patienceFraction * float64(req.Patience))).Sub(now)
}

// lateFraction of its aim is the time before its caller disconnects by which a late request
// should be admitted. The same time before that, it is ordered among the requests that
// can still be in time. Larger values displace these, smaller ones leave late requests
// with large prompts unserved.
const lateFraction = 0.5

// maxWait returns how long a request should wait at most: to meet its aim or, once it is
// late, until shortly before its caller disconnects.
func (a *Admission) maxWait(now time.Time, req Request) time.Duration {
	if left := a.timeLeft(now, req); left >= 0 {
		return left
	}
	return patienceLeft(now, req) - time.Duration(lateFraction*float64(req.Aim))
}

// canWaitLonger reports whether a request is late and its caller will stay for a while.
// It then goes after all requests that can still be in time.
func (a *Admission) canWaitLonger(now time.Time, req Request) bool {
	return a.timeLeft(now, req) < 0 && a.maxWait(now, req) > time.Duration(lateFraction*float64(req.Aim))
}

// overdue reports whether a late request should have been admitted by now, as its caller is
// about to disconnect.
func (a *Admission) overdue(now time.Time, req Request) bool {
	return a.timeLeft(now, req) < 0 && a.maxWait(now, req) < 0
}

// reserve reserves the best engine for an overdue request until the next round. Otherwise
// smaller requests behind it would take all memory that is freed.
func (a *Admission) reserve(now time.Time, r round, req Request) {
	for _, c := range a.ranked(now, r, req) {
		if !c.Held && !r.reserved[c.Upstream.ID] {
			r.reserved[c.Upstream.ID] = true
			return
		}
	}
}

// rejectable reports whether a request may be rejected with a Retry-After: it is a first
// attempt and has hardly waited.
func (a *Admission) rejectable(now time.Time, w *waiter) bool {
	return !w.retried && early(now, w.req)
}

// early reports whether a request has waited only a small part of its aim.
func early(now time.Time, req Request) bool {
	return float64(now.Sub(req.Arrived)) <= rejectFraction*float64(req.Aim)
}

// review rejects waiting requests that can no longer be served. Waits turn out longer than
// first forecast when engines fill up.
func (a *Admission) review(now time.Time, r round) {
	if now.Sub(a.reviewedAt) < reviewInterval {
		return
	}
	a.reviewedAt = now
	ended := map[*waiter]bool{}
	a.reviewList(now, r, a.waiting, true, ended)
	byPatience := slices.Clone(a.waiting)
	slices.SortStableFunc(byPatience, func(x, y *waiter) int { return a.compareByPatience(now, x, y) })
	a.reviewList(now, r, byPatience, false, ended)
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool { return ended[w] })
}

// reviewList rejects, in order, the requests of a list that can't be served: either of the
// rejectable ones or of the others.
func (a *Admission) reviewList(now time.Time, r round, list []*waiter, rejectable bool, ended map[*waiter]bool) {
	ahead := 0
	for _, w := range list {
		switch {
		case ended[w]:
		case w.held: // it can be admitted already
			ahead += w.req.Prompt
		case a.rejectable(now, w) == rejectable && a.rejectIfHopeless(now, r, w, ahead):
			ended[w] = true
		default:
			ahead += w.req.Prompt
		}
	}
}

// compareByPatience orders requests by when their callers disconnect. It applies to
// requests that are no longer rejectable, as late ones yield to others only until then.
func (a *Admission) compareByPatience(now time.Time, x, y *waiter) int {
	return cmp.Or(
		cmp.Compare(x.req.Urgency, y.req.Urgency),
		trueFirst(a.short(x.req), a.short(y.req)),
		cmp.Compare(patienceLeft(now, x.req), patienceLeft(now, y.req)),
	)
}

// tokensAhead returns the prompt tokens that go before a request, in the order for meeting
// its aim if it is rejectable, or else in that for being served at all.
func (a *Admission) tokensAhead(now time.Time, w *waiter) int {
	compare := a.compareByPatience
	if a.rejectable(now, w) {
		compare = a.compare
	}
	sum := 0
	for _, o := range a.waiting {
		if o != w && compare(now, o, w) < 0 {
			sum += o.req.Prompt
		}
	}
	return sum
}

// forecastMargin is the factor by which forecasts may be wrong in a burst. A retry may wait
// only if its forecast is below its patience by this factor. Later it is refused only if
// the forecast exceeds the patience by it.
const forecastMargin = 2

// rejectIfHopeless rejects a request that won't be admitted soon enough behind the given
// prompt tokens, and reports whether it did. Rejectable requests have to meet their aim,
// others have to be served before their callers disconnect.
func (a *Admission) rejectIfHopeless(now time.Time, r round, w *waiter, ahead int) bool {
	rejectable := a.rejectable(now, w)
	expected, limit := a.expectedWait(now, r, w, ahead, !rejectable), patienceLeft(now, w.req)
	switch {
	case rejectable:
		limit = a.timeLeft(now, w.req)
	case early(now, w.req):
		limit /= forecastMargin
	default:
		limit *= forecastMargin
	}
	if expected <= limit {
		return false
	}
	a.recordRefusal(now, w)
	if w.retried {
		a.giveUp(now, w, expected)
		return true
	}
	a.reject(now, w, expected, a.freedRate(w.req, a.ranked(now, r, w.req)))
	return true
}

// expectedWait forecasts a request's wait behind the given prompt tokens, by the rate at
// which its rank was granted capacity recently. With useFreed, the rate is at least that
// at which engines free memory: after a burst nothing ends for seconds, and then much
// does. Organisations over their share get only what others are expected to leave.
func (a *Admission) expectedWait(now time.Time, r round, w *waiter, ahead int, useFreed bool) time.Duration {
	req, freed := w.req, 0.0
	if useFreed || a.forecast.warmingUp(now) {
		freed = a.freedRate(req, a.ranked(now, r, req)) * float64(req.Prompt) / float64(req.Prompt+req.Answer)
	}
	return a.forecast.wait(now, a.rank(req), ahead+req.Prompt, freed, a.shareOfRate(now, w))
}

// giveUp refuses a retry that can't be served.
func (a *Admission) giveUp(now time.Time, w *waiter, expected time.Duration) {
	a.logEntry(now, w).WithField("expected_ms", expected.Milliseconds()).Info("given_up")
	w.result <- outcome{err: refusal.New(refusalReason(w), "no engine has free capacity before the caller disconnects").WithRetryAfter(minRetryAfter)}
}

// refusalReason returns why a request is refused: its organisation exceeds its share, or
// the queue is too long.
func refusalReason(w *waiter) refusal.Reason {
	if w.standing.Capped {
		return refusal.OverShare
	}
	return refusal.WaitTooLong
}
