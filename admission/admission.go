// Package admission decides when a request may be sent to an engine, and to which one.
// Requests wait here, where their order can still change, rather than in engines: a full
// engine preempts running requests, and engines read prompts one after another. One box
// owns the queue of a service for all boxes. Its state is soft: the load comes from the
// boxes' reports, and boxes repeat their calls for waiting requests.
package admission

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/balance/shares"
	"petrelstep/balance/speeds"
	"petrelstep/fleet"
	"petrelstep/picker"
	"petrelstep/refusal"
	"petrelstep/route"
	"petrelstep/upstreamload"
)

const (
	// roundInterval is how often the queue is checked for free capacity while requests wait. Each
	// box reports ended requests four times a second, so that capacity is freed at any moment.
	roundInterval = 10 * time.Millisecond
	// maxFailedAttempts bounds the work of a round, which ends after this number of requests
	// without a suitable upstream.
	maxFailedAttempts = 8
	// rejectFraction of its aim is the time within which a request that would miss its aim
	// is rejected, so that a retry may still be useful. After that it keeps waiting: a late
	// answer is better than none.
	rejectFraction = 0.2
	// patienceFraction of the caller's patience is the time within which a request has to be
	// admitted. The rest is left for reading its prompt.
	patienceFraction = 0.8
	// reviewInterval is how often waiting requests are checked for whether they can still be
	// served: several times within the shortest period in which they may be rejected.
	reviewInterval = 50 * time.Millisecond
	// unlimited is the remaining time of a request without an aim or patience.
	unlimited = time.Hour
)

// Request is a request for capacity at an engine. Values are immutable.
type Request struct {
	ID           string
	Box          string
	Hall         string // of the box
	Service      route.Service
	Urgency      int // 0 is the most urgent
	Prompt       int // tokens
	Answer       int // expected tokens
	Arrived      time.Time
	Aim          time.Duration // deadline of the first event after Arrived; 0 for none
	Gap          time.Duration // longest acceptable pause between events; 0 for any
	Deadline     time.Duration // since the request arrived; 0 for none
	Patience     time.Duration // the caller disconnects this long after Arrived; 0 for never
	Organisation string        // empty if the route is open to all
	Key          uint64        // identifies all attempts of one request
	Avoid        []string
	Regions      []string // allowed regions; empty for any
	Release      string   // the only release allowed; empty for any
}

// Grant is the capacity that a request was granted at an upstream.
type Grant struct {
	Upstream fleet.Upstream
	Load     float64 // share of its memory in use
	Cost     float64 // expected number of requests that miss their deadlines because of it

	running upstreamload.Load // load before the grant
}

// ranker ranks the upstreams of a service, best first.
type ranker interface {
	Ranked(now time.Time, w picker.Want) []picker.Choice
	// SampledFrom returns the number of a service's upstreams if only a sample of them is
	// ranked, and 0 if all are.
	SampledFrom(s route.Service) int
	// Sent records that a request is sent to an upstream.
	Sent(now time.Time, s route.Service, u fleet.Upstream)
	// Assigned records that this box assigned a request to an upstream.
	Assigned(now time.Time, u fleet.Upstream, n speeds.Need, running upstreamload.Load)
	// Leaving returns the load of the upstreams of a service that are leaving.
	Leaving(now time.Time, service string) upstreamload.Load
}

// reserver records reservations until they appear in the boxes' reports.
type reserver interface {
	Reserve(now time.Time, box, upstream string, l upstreamload.Load)
}

// prefillEstimator estimates how long engines take to read prompts.
type prefillEstimator interface {
	Time(tokens int) time.Duration
}

// Shares accounts for the capacity that competing organisations are granted.
type Shares interface {
	Assigned(now time.Time, p shares.Party, work float64)
	Refused(now time.Time, p shares.Party, work float64)
	// Waited records that a request was not admitted at once.
	Waited(now time.Time)
	// Recompute recomputes the shares, including the work that is waiting.
	Recompute(now time.Time, waiting map[shares.Party]float64)
	Standing(p shares.Party) shares.Standing
}

type waiter struct {
	req      Request
	retried  bool            // an earlier attempt was rejected
	held     bool            // deferred: the free upstreams would make it or others late
	standing shares.Standing // of its organisation
	result   chan outcome
}

type outcome struct {
	grant Grant
	err   error
}

// Admission is safe for use by several goroutines.
type Admission struct {
	ranking ranker
	loads   reserver
	prefill prefillEstimator
	shares  Shares // nil: no fair shares
	log     *logrus.Entry

	mu              sync.Mutex
	random          *rand.Rand
	waiting         []*waiter
	timer           *time.Timer // starts the next round; nil if none is scheduled
	reviewedAt      time.Time   // last review
	fullRoundAt     time.Time   // earliest next round that ranks all of many upstreams
	sharesUpdatedAt time.Time   // last update of the shares
	rejections      rejections
	demand          *demand   // of new requests
	lastWaitAt      time.Time // when a long request last was not admitted at once
	forecast        *forecast
}

// New returns an empty queue. Shares may be nil.
func New(r ranker, l reserver, p prefillEstimator, s Shares, random *rand.Rand, log *logrus.Entry) *Admission {
	return &Admission{ranking: r, loads: l, prefill: p, shares: s, random: random, log: log, rejections: rejections{}, demand: newDemand(), forecast: newForecast()}
}

// short reports whether a request's answer takes no longer than its prompt, so that it
// holds memory only briefly.
func (a *Admission) short(req Request) bool {
	return time.Duration(req.Answer)*defaultStep <= a.prefill.Time(req.Prompt)
}

// Waiting returns the number of waiting requests.
func (a *Admission) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting)
}

// Take waits for capacity until ctx ends. It reports false if there was none yet, in which
// case the caller may call it again. The error is a refusal.Refusal.
func (a *Admission) Take(ctx context.Context, req Request) (g Grant, ok bool, err error) {
	w := &waiter{req: req, result: make(chan outcome, 1)}
	a.mu.Lock()
	a.enqueue(time.Now(), w)
	a.mu.Unlock()
	select {
	case o := <-w.result:
		return o.grant, o.err == nil, o.err
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(w)
	select {
	case o := <-w.result: // granted as ctx ended
		return o.grant, o.err == nil, o.err
	default:
		return Grant{}, false, nil
	}
}

// enqueue adds a request. It is rejected at once if there is no capacity and it can't be
// served in time by the forecast.
func (a *Admission) enqueue(now time.Time, w *waiter) {
	if memory := w.req.Service.Engine.Memory; memory > 0 && w.req.Prompt > memory {
		a.logEntry(now, w).Info("too_large")
		w.result <- outcome{err: refusal.New(refusal.TooLarge, "the prompt is larger than an engine's memory")}
		return
	}
	r := a.sampled(w.req.Service)
	if len(a.ranked(now, r, w.req)) == 0 {
		r = newRound(false)
	}
	if len(a.ranked(now, r, w.req)) == 0 {
		w.result <- outcome{err: noUpstream(w.req)}
		return
	}
	w.retried = a.rejections.has(w.req.Key)
	if a.rejectable(now, w) {
		a.demand.arrived(now, w.req)
	}
	a.waiting = append(a.waiting, w)
	a.updateShares(now, w)
	a.grant(now, r)
	if r.sampled && slices.Contains(a.waiting, w) {
		r = a.nextRound(now)
		a.grant(now, r)
	}
	if !slices.Contains(a.waiting, w) || w.held {
		return
	}
	if !a.short(w.req) {
		a.lastWaitAt = now
	}
	if a.shares != nil {
		a.shares.Waited(now)
	}
	if !r.sampled && a.rejectIfHopeless(now, r, w, a.tokensAhead(now, w)) {
		a.remove(w)
	}
}

// rank returns a request's rank in the queue.
func (a *Admission) rank(req Request) rank { return rank{req.Urgency, a.short(req)} }

// noUpstream returns the refusal of a request that no upstream can serve, as all have left
// or are in evacuated halls.
func noUpstream(req Request) error {
	return refusal.New(refusal.NoUpstream, "no upstream of "+req.Service.Name).WithRetryAfter(minRetryAfter)
}

func (a *Admission) remove(w *waiter) {
	a.waiting = slices.DeleteFunc(a.waiting, func(o *waiter) bool { return o == w })
}

// grant assigns upstreams to waiting requests in order, as far as there is capacity, and
// rejects requests that can't be served.
func (a *Admission) grant(now time.Time, r round) {
	a.updateShares(now, nil)
	initial := r
	slices.SortStableFunc(a.waiting, func(x, y *waiter) int { return a.compare(now, x, y) })
	failed := 0
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool {
		if failed >= maxFailedAttempts {
			w.held = false
			return false
		}
		if !r.sampled && len(a.ranked(now, r, w.req)) == 0 {
			a.logEntry(now, w).Info("no_upstream")
			w.result <- outcome{err: noUpstream(w.req)}
			return true
		}
		g, ok := a.bestUpstream(now, r, w.req)
		w.held = ok && a.shouldHold(now, r, w.req, g)
		switch {
		case w.held:
			return false
		case ok:
			a.assign(now, w, g)
			r.clear()
			r.sampled = a.ranking.SampledFrom(w.req.Service) > 0 // a full ranking serves only one request per round
			return true
		}
		failed++
		if a.overdue(now, w.req) {
			a.reserve(now, r, w.req)
		}
		return false
	})
	if !initial.sampled {
		a.review(now, initial)
	}
	if len(a.waiting) > 0 && a.timer == nil {
		a.timer = time.AfterFunc(roundInterval, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.timer = nil
			now := time.Now()
			a.grant(now, a.nextRound(now))
		})
	}
}

// assign grants a request an upstream.
func (a *Admission) assign(now time.Time, w *waiter, g Grant) {
	a.rejections.remove(w.req.Key)
	a.forecast.granted(now, a.rank(w.req), w.req.Prompt)
	a.ranking.Sent(now, w.req.Service, g.Upstream)
	a.ranking.Assigned(now, g.Upstream, a.need(w.req), g.running)
	a.loads.Reserve(now, w.req.Box, g.Upstream.ID, loadOf(w.req))
	if a.shares != nil {
		a.shares.Assigned(now, w.req.party(), a.Work(w.req))
	}
	a.logEntry(now, w).WithFields(logrus.Fields{"upstream": g.Upstream.ID, "load": g.Load, "cost": g.Cost}).Info("admitted")
	w.result <- outcome{grant: g}
}

func loadOf(req Request) upstreamload.Load {
	return upstreamload.Load{Requests: 1, Tokens: req.Prompt, Coming: req.Answer, Prefill: req.Prompt}
}

// compare orders waiting requests: late requests that can wait longer go last, and those of
// starved organisations first. The others are ordered by urgency, short requests before
// long ones, by fair shares and by the time left.
func (a *Admission) compare(now time.Time, x, y *waiter) int {
	return cmp.Or(
		trueFirst(!a.canWaitLonger(now, x.req), !a.canWaitLonger(now, y.req)),
		trueFirst(x.standing.Starved, y.standing.Starved),
		cmp.Compare(x.req.Urgency, y.req.Urgency),
		trueFirst(a.short(x.req), a.short(y.req)),
		cmp.Compare(a.fairnessClass(now, x), a.fairnessClass(now, y)),
		cmp.Compare(a.maxWait(now, x.req), a.maxWait(now, y.req)),
	)
}

// trueFirst orders true before false.
func trueFirst(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	}
	return 1
}

// logEntry returns a log entry with the fields of a decision.
func (a *Admission) logEntry(now time.Time, w *waiter) *logrus.Entry {
	entry := a.log
	if a.shares != nil {
		s := w.standing
		entry = entry.WithFields(logrus.Fields{
			"organisation": w.req.Organisation, "share": int(s.Share), "given_work": int(s.Given), "owed": int(s.Deficit()), "over": s.Over, "starved": s.Starved,
		})
	}
	return entry.WithFields(logrus.Fields{
		"request": w.req.ID, "for": w.req.Box, "urgency": w.req.Urgency, "prompt": w.req.Prompt, "answer": w.req.Answer,
		"waited_ms": now.Sub(w.req.Arrived).Milliseconds(), "left_ms": a.timeLeft(now, w.req).Milliseconds(), "returns": w.retried,
		"waiting": len(a.waiting), "read_ms": a.prefill.Time(w.req.Prompt).Milliseconds(),
	})
}
