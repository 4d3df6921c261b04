package admission

import (
	"time"

	"petrelstep/balance/shares"
)

// weighEvery is how often shares are worked out while requests wait: an engine frees
// room for one request in about as long.
const weighEvery = 50 * time.Millisecond

// party is whose shares a request counts for.
func (a Ask) party() shares.Party { return shares.Party{Organisation: a.Organisation, Rank: a.Urgency} }

// Work is the memory that a request is expected to hold times how long it does, in
// token-seconds.
func (a *Admission) Work(ask Ask) float64 {
	holds := a.reading.Time(ask.Prompt) + time.Duration(ask.Answer)*stepGuess
	return float64(ask.Prompt+ask.Answer) * holds.Seconds()
}

// weigh works out the shares from time to time, and notes how the organisations of
// those who wait fare. While none waits but the one that has come, they do not count.
func (a *Admission) weigh(now time.Time, came *waiter) {
	if a.shares == nil || came != nil && len(a.waiting) == 1 {
		return
	}
	if now.Sub(a.weighed) < weighEvery {
		if came != nil {
			came.standing = a.shares.Standing(came.ask.party())
		}
		return
	}
	a.weighed = now
	waits := map[shares.Party]float64{}
	for _, w := range a.waiting {
		waits[w.ask.party()] += a.Work(w.ask)
	}
	a.shares.Recompute(now, waits)
	for _, w := range a.waiting {
		w.standing = a.shares.Standing(w.ask.party())
	}
}

// turn orders requests by how their organisations fare: those who ask for no more than
// their share first, as what they do not take is the others', then those who have not
// been given theirs yet. One whose caller is about to leave gives way to nobody, nor does
// one that holds memory for a moment: it takes what is too small for others.
func (a *Admission) turn(now time.Time, w *waiter) int {
	switch {
	case !w.standing.Capped || a.short(w.ask) || a.overdue(now, w.ask):
		return 0
	case !w.standing.Over:
		return 1
	}
	return 2
}

// goOn is the part of what others take that they are expected to go on taking while a
// request waits: a crowd ends as suddenly as it came. With none of it, of 1,460 drafts
// 193 were let wait and late then, and 165 sent off; with all of it 32 and 353.
const goOn = 0.5

// part returns what part of its rank's room a request may count on to be in time. One
// that may also be late has what comes after the crowd.
func (a *Admission) part(now time.Time, w *waiter) float64 {
	if !a.undecided(now, w) || w.standing.Starved || a.turn(now, w) == 0 {
		return 1
	}
	return 1 - goOn*(1-w.standing.Fraction)
}

// refused notes that an organisation's request was refused for the first time.
func (a *Admission) refused(now time.Time, w *waiter) {
	if a.shares != nil && !w.returns {
		a.shares.Refused(now, w.ask.party(), a.Work(w.ask))
	}
}
