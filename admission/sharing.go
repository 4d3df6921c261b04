package admission

import (
	"time"

	"petrelstep/balance/shares"
)

// sharesInterval is how often shares are recomputed while requests wait.
const sharesInterval = 50 * time.Millisecond

// party returns the party whose share a request counts against.
func (r Request) party() shares.Party {
	return shares.Party{Organisation: r.Organisation, Rank: r.Urgency}
}

// Work returns a request's expected memory multiplied by its duration, in token-seconds.
func (a *Admission) Work(req Request) float64 {
	duration := a.prefill.Time(req.Prompt) + time.Duration(req.Answer)*defaultStep
	return float64(req.Prompt+req.Answer) * duration.Seconds()
}

// updateShares recomputes the shares if that is due, and updates the standings of waiting
// requests. It does nothing if only the request that has just arrived is waiting.
func (a *Admission) updateShares(now time.Time, arrived *waiter) {
	if a.shares == nil || arrived != nil && len(a.waiting) == 1 {
		return
	}
	if now.Sub(a.sharesUpdatedAt) < sharesInterval {
		if arrived != nil {
			arrived.standing = a.shares.Standing(arrived.req.party())
		}
		return
	}
	a.sharesUpdatedAt = now
	waitingWork := map[shares.Party]float64{}
	for _, w := range a.waiting {
		waitingWork[w.req.party()] += a.Work(w.req)
	}
	a.shares.Recompute(now, waitingWork)
	for _, w := range a.waiting {
		w.standing = a.shares.Standing(w.req.party())
	}
}

// fairnessClass returns the class by which requests are ordered for fairness: first those
// of organisations within their share, then of those that have not received their share
// yet, then of others. Short and overdue requests are always in the first class.
func (a *Admission) fairnessClass(now time.Time, w *waiter) int {
	switch {
	case !w.standing.Capped || a.short(w.req) || a.overdue(now, w.req):
		return 0
	case !w.standing.Over:
		return 1
	}
	return 2
}

// continuingFraction of the others' current usage is expected to continue while a request
// waits, as bursts end suddenly. Lower values let more requests wait in vain, higher ones
// reject more.
const continuingFraction = 0.5

// shareOfRate returns the share of its rank's rate that a request may count on to be in
// time. A request that may be late also gets what is free after the burst.
func (a *Admission) shareOfRate(now time.Time, w *waiter) float64 {
	if !a.rejectable(now, w) || w.standing.Starved || a.fairnessClass(now, w) == 0 {
		return 1
	}
	return 1 - continuingFraction*(1-w.standing.Fraction)
}

// recordRefusal records the first refusal of an organisation's request.
func (a *Admission) recordRefusal(now time.Time, w *waiter) {
	if a.shares != nil && !w.retried {
		a.shares.Refused(now, w.req.party(), a.Work(w.req))
	}
}
