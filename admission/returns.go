package admission

import (
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/refusal"
)

const (
	// comeLeast is the least time after which a refused request may come back: an
	// engine reads a prompt in about as long.
	comeLeast = 500 * time.Millisecond
	// comeMost bounds it: crowds last some seconds, and callers wait no longer.
	comeMost = 15 * time.Second
	// comePart of the time that a caller has left is the most that it waits.
	comePart = 3
	// comeSpread is the part of the wait by which those who come back are spread.
	comeSpread = 0.3
	// leastLeft is the part of the freed memory that is taken for free of newcomers
	// where these would take all.
	leastLeft = 0.1
	// keptFor is how long after it may come back a request is known again.
	keptFor = 20 * time.Second
	// demandSpan is the time over which demand is averaged.
	demandSpan = 2 * time.Second
)

// returns are the requests that were refused and told to come back, by mark.
type returns map[uint64]sentOff

type sentOff struct {
	back   time.Time
	tokens int
	bound  bool // its organisation asked for more than its share
}

func (r returns) has(mark uint64) bool {
	_, ok := r[mark]
	return ok
}

// came forgets a request that has room now.
func (r returns) came(mark uint64) { delete(r, mark) }

// tokens returns the memory that all that comes back will need before one whose
// organisation asks for more than its share, or does not.
func (r returns) tokens(bound bool) int {
	sum := 0
	for _, s := range r {
		if bound || !s.bound {
			sum += s.tokens
		}
	}
	return sum
}

// forget drops what did not come back.
func (r returns) forget(now time.Time) {
	for mark, s := range r {
		if now.Sub(s.back) > keptFor {
			delete(r, mark)
		}
	}
}

// sendOff refuses a request and remembers it. expected is its wait by the forecast.
func (a *Admission) sendOff(now time.Time, w *waiter, expected time.Duration, leaves float64) {
	a.returns.forget(now)
	after := a.comeBack(now, w, leaves)
	a.line(now, w).WithFields(logrus.Fields{
		"expected_ms": expected.Milliseconds(), "given": int(a.wait.rate(now, a.rank(w.ask))), "leaves": int(leaves), "demand": int(a.demand.rate(now)), "returning": len(a.returns),
		"back_ms": after.Milliseconds(),
	}).Info("sent_off")
	a.returns[w.ask.Mark] = sentOff{back: now.Add(after), tokens: w.ask.Prompt + w.ask.Answer, bound: w.standing.Capped}
	w.settled <- outcome{err: refusal.New(reasonOf(w), "no engine has room in time").WithRetryAfter(after)}
}

// comeBack is when a refused request may expect room: once all that was told to
// come back before it has had what newcomers leave.
func (a *Admission) comeBack(now time.Time, w *waiter, leaves float64) time.Duration {
	ask := w.ask
	before := float64(ask.Prompt + ask.Answer + a.returns.tokens(w.standing.Capped))
	after := comeMost
	if left := max(leaves-a.demand.rate(now), leastLeft*leaves); left > 0 {
		after = min(seconds(before/left), comeMost)
	}
	if ask.Deadline > 0 {
		after = min(after, (ask.Deadline-now.Sub(ask.Arrived))/comePart)
	}
	after = max(after, comeLeast)
	return after - seconds(a.random.Float64()*comeSpread*after.Seconds())
}
