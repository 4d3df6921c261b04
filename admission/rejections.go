package admission

import (
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/refusal"
)

const (
	// minRetryAfter is the shortest Retry-After, about the time in which an engine reads a
	// prompt.
	minRetryAfter = 500 * time.Millisecond
	// maxRetryAfter is the longest one: bursts last seconds, and callers wait no longer.
	maxRetryAfter = 15 * time.Second
	// retryDivisor divides the time that a caller has left into the longest Retry-After.
	retryDivisor = 3
	// retryJitter is the share of a Retry-After that is random.
	retryJitter = 0.3
	// minFreeFraction of the freed memory is assumed to be left for retries if new requests
	// would use all of it.
	minFreeFraction = 0.1
	// retention is how long after its Retry-After a rejected request is remembered.
	retention = 20 * time.Second
	// demandWindow is the period over which demand is averaged.
	demandWindow = 2 * time.Second
)

// rejections are the requests that were rejected with a Retry-After, by key.
type rejections map[uint64]rejection

// rejection is a rejected request that may be retried.
type rejection struct {
	retryAt   time.Time
	tokens    int
	overShare bool // its organisation exceeded its share
}

func (r rejections) has(key uint64) bool {
	_, ok := r[key]
	return ok
}

// remove drops a request that was admitted.
func (r rejections) remove(key uint64) { delete(r, key) }

// tokens returns the memory that retries need before a request whose organisation exceeds
// its share, or doesn't.
func (r rejections) tokens(overShare bool) int {
	sum := 0
	for _, s := range r {
		if overShare || !s.overShare {
			sum += s.tokens
		}
	}
	return sum
}

// expire drops requests that were not retried.
func (r rejections) expire(now time.Time) {
	for key, s := range r {
		if now.Sub(s.retryAt) > retention {
			delete(r, key)
		}
	}
}

// reject rejects a request and remembers it. The expected wait is logged.
func (a *Admission) reject(now time.Time, w *waiter, expected time.Duration, freed float64) {
	a.rejections.expire(now)
	wait := a.retryAfter(now, w, freed)
	a.logEntry(now, w).WithFields(logrus.Fields{
		"expected_ms": expected.Milliseconds(), "given": int(a.forecast.rate(now, a.rank(w.req))), "leaves": int(freed), "demand": int(a.demand.rate(now)), "returning": len(a.rejections),
		"back_ms": wait.Milliseconds(),
	}).Info("sent_off")
	a.rejections[w.req.Key] = rejection{retryAt: now.Add(wait), tokens: w.req.Prompt + w.req.Answer, overShare: w.standing.Capped}
	w.result <- outcome{err: refusal.New(refusalReason(w), "no engine has free capacity in time").WithRetryAfter(wait)}
}

// retryAfter returns when a rejected request may expect capacity: once the earlier
// rejected requests have been served from what new requests leave.
func (a *Admission) retryAfter(now time.Time, w *waiter, freed float64) time.Duration {
	req := w.req
	needed := float64(req.Prompt + req.Answer + a.rejections.tokens(w.standing.Capped))
	wait := maxRetryAfter
	if available := max(freed-a.demand.rate(now), minFreeFraction*freed); available > 0 {
		wait = min(seconds(needed/available), maxRetryAfter)
	}
	if req.Deadline > 0 {
		wait = min(wait, (req.Deadline-now.Sub(req.Arrived))/retryDivisor)
	}
	wait = max(wait, minRetryAfter)
	return wait - seconds(a.random.Float64()*retryJitter*wait.Seconds())
}
