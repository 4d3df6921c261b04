package admission

import (
	"cmp"
	"slices"
	"time"

	"petrelstep/refusal"
)

// left is how long a request may still wait to be in time.
func (a *Admission) left(now time.Time, ask Ask) time.Duration {
	return ask.Arrived.Add(cmp.Or(ask.Aim, noAim)).Sub(now) - a.reading.Time(ask.Prompt)
}

// last is how long a request may still wait to be answered at all.
func last(now time.Time, ask Ask) time.Duration {
	if ask.Patience == 0 {
		return noAim
	}
	return ask.Arrived.Add(time.Duration(patiencePart * float64(ask.Patience))).Sub(now)
}

// latePart of its aim before its caller leaves a late request should have room, and as
// long before that it goes among those that can be in time: a prompt that is large
// waits so long for an engine that is kept for it. With a whole aim late requests
// crowd out others that could be in time, with a quarter some are not served.
const latePart = 0.5

// due is how long a request should wait at most: to be in time, or, once it is
// late, until shortly before its caller leaves.
func (a *Admission) due(now time.Time, ask Ask) time.Duration {
	if left := a.left(now, ask); left >= 0 {
		return left
	}
	return last(now, ask) - time.Duration(latePart*float64(ask.Aim))
}

// outlasts tells whether a request is late and may wait on. It loses nothing by that,
// so that it goes after all that can be in time. Once it may not, it goes among them:
// it was let wait for an answer.
func (a *Admission) outlasts(now time.Time, ask Ask) bool {
	return a.left(now, ask) < 0 && a.due(now, ask) > time.Duration(latePart*float64(ask.Aim))
}

// overdue tells whether a late request should have had room by now: its caller is
// about to leave.
func (a *Admission) overdue(now time.Time, ask Ask) bool {
	return a.left(now, ask) < 0 && a.due(now, ask) < 0
}

// reserve keeps the emptiest engine for a request that is overdue, until the next
// round: of large prompts some found no room until their callers left, as smaller
// ones behind them took each piece.
func (a *Admission) reserve(now time.Time, r round, ask Ask) {
	for _, c := range a.ranked(now, r, ask) {
		if !c.Held && !r.reserved[c.Upstream.ID] {
			r.reserved[c.Upstream.ID] = true
			return
		}
	}
}

// undecided tells whether a request may still be sent off to come back: it has come
// just now, and for the first time.
func (a *Admission) undecided(now time.Time, w *waiter) bool {
	return !w.returns && early(now, w.ask)
}

// early tells whether a request that is refused was hardly held.
func early(now time.Time, ask Ask) bool {
	return float64(now.Sub(ask.Arrived)) <= decidePart*float64(ask.Aim)
}

// judge ends the waits of those who have no chance any more. Room that was given
// while engines filled up comes no longer once they are full, so that waits turn out
// longer than was forecast when they began.
func (a *Admission) judge(now time.Time, r round) {
	if now.Sub(a.judged) < judgeEvery {
		return
	}
	a.judged = now
	ended := map[*waiter]bool{}
	a.judgeIn(now, r, a.waiting, true, ended)
	leaving := slices.Clone(a.waiting)
	slices.SortStableFunc(leaving, func(x, y *waiter) int { return a.compareLast(now, x, y) })
	a.judgeIn(now, r, leaving, false, ended)
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool { return ended[w] })
}

// judgeIn ends the waits, in their order, of those who have no chance: of the
// undecided or of the others.
func (a *Admission) judgeIn(now time.Time, r round, list []*waiter, undecided bool, ended map[*waiter]bool) {
	ahead := 0
	for _, w := range list {
		switch {
		case ended[w]:
		case w.held: // it has room already
			ahead += w.ask.Prompt
		case a.undecided(now, w) == undecided && a.hopeless(now, r, w, ahead):
			ended[w] = true
		default:
			ahead += w.ask.Prompt
		}
	}
}

// compareLast orders those who wait by when their callers leave, as all who are not
// undecided have room before that: who is late gives way to others only until then.
func (a *Admission) compareLast(now time.Time, x, y *waiter) int {
	return cmp.Or(
		cmp.Compare(x.ask.Urgency, y.ask.Urgency),
		first(a.short(x.ask), a.short(y.ask)),
		cmp.Compare(last(now, x.ask), last(now, y.ask)),
	)
}

// ahead returns the tokens of prompts that go before a request that waits: to be in
// time, where it is undecided, or else to be served at all.
func (a *Admission) ahead(now time.Time, w *waiter) int {
	compare := a.compareLast
	if a.undecided(now, w) {
		compare = a.compare
	}
	sum := 0
	for _, o := range a.waiting {
		if o != w && compare(now, o, w) < 0 {
			sum += o.ask.Prompt
		}
	}
	return sum
}

// surely is how many times the forecast wait of a request that has come back has to
// fit into its caller's patience, to be let wait, and how many times it has to pass
// that, to be refused later: forecasts are that wrong where a crowd comes at once,
// and who is let wait should be served.
const surely = 2

// hopeless refuses a request that will have no room soon enough behind so many
// tokens of prompts: one that is undecided to be in time, any other to be served
// before its caller leaves.
func (a *Admission) hopeless(now time.Time, r round, w *waiter, ahead int) bool {
	undecided := a.undecided(now, w)
	expected, may := a.expects(now, r, w, ahead, !undecided), last(now, w.ask)
	switch {
	case undecided:
		may = a.left(now, w.ask)
	case early(now, w.ask):
		may /= surely
	default:
		may *= surely
	}
	if expected <= may {
		return false
	}
	a.refused(now, w)
	if w.returns {
		a.giveUp(now, w, expected)
		return true
	}
	a.sendOff(now, w, expected, a.leaves(w.ask, a.ranked(now, r, w.ask)))
	return true
}

// expects forecasts the wait of a request behind so many tokens of prompts, by what
// its rank is given, or else by what engines free if that is more: where all filled
// up at once, nothing ends for seconds, and then much does. Of that, those who ask for
// more than their share have only what the others leave, who go on coming.
func (a *Admission) expects(now time.Time, r round, w *waiter, ahead int, frees bool) time.Duration {
	ask, leaves := w.ask, 0.0
	if frees || a.wait.young(now) {
		leaves = a.leaves(ask, a.ranked(now, r, ask)) * float64(ask.Prompt) / float64(ask.Prompt+ask.Answer)
	}
	return a.wait.expects(now, a.rank(ask), ahead+ask.Prompt, leaves, a.part(now, w))
}

// giveUp ends the wait of a request that has come back and cannot be served.
func (a *Admission) giveUp(now time.Time, w *waiter, expected time.Duration) {
	a.line(now, w).WithField("expected_ms", expected.Milliseconds()).Info("given_up")
	w.settled <- outcome{err: refusal.New(reasonOf(w), "no engine has room before the caller leaves").WithRetryAfter(comeLeast)}
}

// reasonOf tells why a request has no room: others wait that go before it, or its
// organisation asks for more than its share.
func reasonOf(w *waiter) refusal.Reason {
	if w.standing.Capped {
		return refusal.OverShare
	}
	return refusal.WaitTooLong
}
