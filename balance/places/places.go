// Package places decides to which upstream, and when, requests for plain services go. A
// place is a slot of an upstream. Boxes choose independently: each picks upstreams at
// random, weighted by their capacity, and once the total demand exceeds the capacity
// each sends no more than its allocation and queues or rejects the rest.
package places

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/distance"
	"petrelstep/fleet"
	"petrelstep/peerstate"
	"petrelstep/picker"
	"petrelstep/refusal"
	"petrelstep/route"
	"petrelstep/wire"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a rejected request:
	// before the minimum the queue has hardly changed, and after the maximum clients
	// give up.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retryWaitDivisor limits the wait before a retry to 1/retryWaitDivisor of the
	// client's remaining time, so that enough is left to be served.
	retryWaitDivisor = 3
	// jitterDivisor limits the random jitter to 1/jitterDivisor of Retry-After.
	jitterDivisor = 3
	// earlyDivisor limits early rejections to the first 1/earlyDivisor of the latency
	// target, in which they cost a client little: its retry can still be served in
	// time.
	earlyDivisor = 4
)

// Outcomes of requests that could not be sent at once.
const (
	Waited  = "waited"
	Refused = "refused"
	Left    = "left" // the client disconnected or its deadline passed
)

// Ranker lists the upstreams of a service.
type Ranker interface {
	// Ranked returns the upstreams that a request may go to, with their load.
	Ranked(now time.Time, w picker.Want) []picker.Choice
}

// Limits returns the rate limits that upstreams announce.
type Limits interface {
	// Limit returns how many requests per second may be sent to a limited upstream;
	// false if the upstream has no limit.
	Limit(upstream string) (perSecond float64, limited bool)
	// UsedUp returns for how long the limit of an upstream is exhausted.
	UsedUp(now time.Time, upstream string) time.Duration
}

// Shares returns how much of a service each organisation uses.
type Shares interface {
	// Over returns by how much an organisation exceeds its share of a service.
	Over(now time.Time, service, organisation string) float64
}

// Counter counts the outcomes of requests that waited or were refused.
type Counter interface {
	// Placed counts an outcome and the time that the request waited for it.
	Placed(outcome string, waited time.Duration)
}

// Components are the dependencies of Places.
type Components struct {
	Ranker  Ranker
	Failing func(now time.Time, upstream string) float64 // fraction of recent requests that failed
	Limits  Limits                                       // nil: no upstream has a limit
	Shares  Shares                                       // nil: all organisations are treated alike
	Counter Counter
	Hall    string // of the box
	Regions distance.Map
	Random  *rand.Rand
	Log     *logrus.Entry
}

// Places assigns requests to the upstreams of plain services. It is safe for concurrent
// use.
type Places struct {
	Components

	mu       sync.Mutex // guards Random and the fields below
	services map[string]*service
	others   *peerstate.Totals[demand]
}

// New returns Places with no state.
func New(c Components) *Places {
	return &Places{Components: c, services: map[string]*service{}, others: peerstate.New[demand]()}
}

// Request is a request that needs an upstream.
type Request struct {
	ID           string
	Organisation string
	Urgency      int // 0 is the most urgent
	Arrived      time.Time
	Aim          time.Duration // target for the whole answer
	Deadline     time.Time
	Want         picker.Want
	Prefer       string // upstream that gets the request while it has a free place; empty for none
}

func (r Request) due() time.Time { return r.Arrived.Add(r.Aim) }

// queueUntil is the time up to which the request may be queued and still be rejected at
// little cost, leaving as much for its further tries.
func (r Request) queueUntil() time.Time { return r.Arrived.Add(r.Aim / earlyDivisor / 2) }

// Acquire returns an upstream as soon as the request may be sent, queueing it if
// necessary. An error is a refusal.Refusal; the request has then not been sent
// anywhere.
func (p *Places) Acquire(ctx context.Context, req Request) (picker.Choice, error) {
	now := time.Now()
	w, err := p.admit(now, req)
	if err != nil {
		return picker.Choice{}, err
	}
	if w != nil {
		if err := p.wait(ctx, w); err != nil {
			return picker.Choice{}, err
		}
	}
	return p.pick(time.Now(), req)
}

// admit lets a request pass, queues it or refuses it.
func (p *Places) admit(now time.Time, req Request) (*waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(now, req.Want.Service)
	s.recordRequest(now, req)
	s.refill(now)
	if !s.overloaded() {
		s.releaseAll()
		return nil, nil
	}
	w := &waiter{request: req, service: s, released: make(chan error, 1)}
	if p.Shares != nil {
		w.excess = p.Shares.Over(now, req.Want.Service.Name, req.Organisation)
	}
	if s.skipsQueue(now, w) {
		s.tokens--
		return nil, nil
	}
	if rejectNow(now, req, s.queueWait(now, w), s.answerTime(), s.overtaken(now)) {
		return nil, p.refuse(now, s, w, "the queue is too long")
	}
	s.waiting = append(s.waiting, w)
	p.releaseWaiting(now, s)
	return w, nil
}

// rejectNow reports whether to refuse a request that would be queued for wait and then
// answered within usual: if it would miss its deadline, or if it is new and either has
// time to retry or would be overtaken by newer requests until its client gives up.
func rejectNow(now time.Time, r Request, wait, usual time.Duration, overtaken bool) bool {
	age, left := now.Sub(r.Arrived), r.Deadline.Sub(now)
	inTime := age+wait <= r.Aim/earlyDivisor && age+wait+usual <= r.Aim
	switch {
	case wait+usual > left:
		return true
	case inTime:
		return false
	}
	canRetry := age <= r.Aim/earlyDivisor && (overtaken || wait <= left/retryWaitDivisor && wait+r.Aim <= left)
	return canRetry
}

// PickAnother returns another upstream for a request that has been admitted.
func (p *Places) PickAnother(req Request) (picker.Choice, error) { return p.pick(time.Now(), req) }

// RecordSent records that a request goes to an upstream that Acquire did not choose.
func (p *Places) RecordSent(req Request, at fleet.Upstream) {
	p.withUpstream(req, at, func(u *upstream) { u.inFlight++ })
}

// LimitGranted records that the limit of the chosen upstream admitted the request.
func (p *Places) LimitGranted(req Request, at fleet.Upstream) {
	p.withUpstream(req, at, func(u *upstream) { u.requestRatio = min(u.requestRatio*grantedFactor, maxRequestRatio) })
}

// LimitRefused records that the limit of the chosen upstream did not admit the request.
func (p *Places) LimitRefused(req Request, at fleet.Upstream) {
	p.withUpstream(req, at, func(u *upstream) {
		u.inFlight = max(u.inFlight-1, 0)
		u.requestRatio = max(u.requestRatio*refusedFactor, minRequestRatio)
	})
}

// withUpstream updates the state of an upstream, if its service is known.
func (p *Places) withUpstream(req Request, at fleet.Upstream, change func(u *upstream)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.services[req.Want.Service.Name]; ok {
		change(s.upstream(at.ID))
	}
}

// Demand returns the requests per second that all boxes receive for a service.
func (p *Places) Demand(now time.Time, r route.Service) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(now, r).totalDemand
}

// AnswerTime returns how long the upstreams of a service usually take to answer.
func (p *Places) AnswerTime(now time.Time, r route.Service) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(now, r).answerTime()
}

// wait blocks until the request is released, refused or cancelled.
func (p *Places) wait(ctx context.Context, w *waiter) error {
	began := time.Now()
	select {
	case err := <-w.released:
		if err == nil {
			p.Counter.Placed(Waited, time.Since(began))
		}
		return err
	case <-ctx.Done():
	}
	p.mu.Lock()
	w.service.remove(w)
	p.mu.Unlock()
	p.Counter.Placed(Left, time.Since(began))
	if errors.Is(ctx.Err(), context.Canceled) {
		return refusal.New(refusal.CallerGone, "the client disconnected while its request was queued")
	}
	return refusal.New(refusal.Deadline, "the deadline passed while the request was queued")
}

// releaseWaiting releases queued requests in order while there are tokens, refuses
// those that can no longer be served, and sets a timer for the next check.
func (p *Places) releaseWaiting(now time.Time, s *service) {
	s.refill(now)
	for _, w := range s.expired(now) {
		s.remove(w)
		w.released <- p.refuse(now, s, w, "the request can't be served in time")
	}
	for s.tokens >= 1 && len(s.waiting) > 0 {
		s.tokens--
		s.releaseFirst(now)
	}
	if len(s.waiting) == 0 || s.timerSet {
		return
	}
	s.timerSet = true
	time.AfterFunc(s.nextCheck(now), func() { p.onTimer(s) })
}

// onTimer runs releaseWaiting when the timer of a service fires.
func (p *Places) onTimer(s *service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.timerSet = false
	now := time.Now()
	p.service(now, s.service)
	if !s.overloaded() {
		s.releaseAll()
		return
	}
	p.releaseWaiting(now, s)
}

// Overloaded reports whether requests for a service are queued at the boxes.
func (p *Places) Overloaded(now time.Time, r route.Service) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(now, r).overloaded()
}

// refuse refuses a request with a Retry-After by which the present queue should have
// drained.
func (p *Places) refuse(now time.Time, s *service, w *waiter, detail string) error {
	after := p.retryAfter(s)
	p.Counter.Placed(Refused, now.Sub(w.request.Arrived))
	s.fields(now, p.Log).WithFields(logrus.Fields{
		"request": w.request.ID, "retry_after_ms": after.Milliseconds(), "aim_left_ms": w.request.due().Sub(now).Milliseconds(),
	}).Info("place_refused")
	return refusal.New(refusal.WaitTooLong, detail).WithRetryAfter(after)
}

// retryAfter returns the time to drain the queue, with jitter.
func (p *Places) retryAfter(s *service) time.Duration {
	after := min(max(s.drainTime(), minRetryAfter), maxRetryAfter)
	return after + time.Duration(p.Random.Float64()*float64(after)/jitterDivisor)
}

// RetryAfter returns the Retry-After for a request rejected now: the time to drain the
// queue, with jitter so that clients don't retry simultaneously.
func (p *Places) RetryAfter(now time.Time, r route.Service) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryAfter(p.service(now, r))
}

// Answered records how long an upstream took to answer a request.
func (p *Places) Answered(now time.Time, req Request, upstream fleet.Upstream, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(now, req.Want.Service)
	u := s.upstream(upstream.ID)
	u.inFlight = max(u.inFlight-1, 0)
	s.answered(u, took, req.Aim)
}

// Dropped records that an upstream did not run a request, failed, or was not waited for
// any longer. The time counts towards the latency of the upstream only where it exceeds
// the known one; an immediate refusal says nothing about the latency.
func (p *Places) Dropped(req Request, upstream fleet.Upstream, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.services[req.Want.Service.Name]; ok {
		u := s.upstream(upstream.ID)
		u.inFlight = max(u.inFlight-1, 0)
		s.tokens = min(s.tokens+1, maxBurst)
		if known := cmp.Or(u.latency, s.latency); known > 0 && took > known {
			updateMean(&u.latency, took)
		}
	}
}

// service returns the state of a service, refreshed if it is older than checkInterval.
func (p *Places) service(now time.Time, r route.Service) *service {
	s, ok := p.services[r.Name]
	if !ok {
		s = newService(now, r)
		p.services[r.Name] = s
	}
	s.service = r
	others := p.others.Of(now, r.Name)
	s.totalDemand, s.reportedServiceTime = s.demand(now)+others.requests, others.serviceTime()
	if now.Sub(s.checkedAt) >= checkInterval {
		s.refresh(now, p.Ranker.Ranked(now, picker.Want{Service: r, All: true}), p.Hall, p.Regions, p.Failing, p.Limits)
		p.logOverload(now, s)
	}
	s.allowedRate = s.allocation(now)
	return s
}

// distanceTo returns how far an upstream is from this box.
func (p *Places) distanceTo(u fleet.Upstream) distance.Step {
	return p.Regions.Between(p.Hall, u.Hall)
}

// logOverload logs the start and the end of an overload.
func (p *Places) logOverload(now time.Time, s *service) {
	if s.overloaded() == s.wasOverloaded {
		return
	}
	s.wasOverloaded = !s.wasOverloaded
	event := "places_enough"
	if s.wasOverloaded {
		event = "places_crowded"
	}
	s.fields(now, p.Log).Info(event)
}

// View returns the state of each service, for operators.
func (p *Places) View(now time.Time) []wire.PlacesView {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []wire.PlacesView{}
	for name, s := range p.services {
		list = append(list, wire.PlacesView{
			Service: name, Asked: int(s.requests.perSecond(now)), AllAsked: int(s.totalDemand), Can: int(s.totalCapacity()), Limited: int(s.limitedCapacity), UsePct: int(100 * s.utilization),
			Waiting: len(s.waiting), Crowded: s.overloaded(),
		})
	}
	slices.SortFunc(list, func(a, b wire.PlacesView) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// Own returns the demand at this box, for its report to other boxes.
func (p *Places) Own(now time.Time) []wire.ServicePlaces { return toWire(p.own(now)) }

func (p *Places) own(now time.Time) map[string]demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := map[string]demand{}
	for name, s := range p.services {
		rate := s.demand(now)
		if rate >= minReportedRate {
			list[name] = s.report(rate)
		}
		if rate < forgetRate {
			delete(p.services, name)
		}
	}
	return list
}

// Without returns the total demand except that of one box, which is the receiver.
func (p *Places) Without(now time.Time, box string) []wire.ServicePlaces {
	sum := p.own(now)
	p.others.AddExcept(now, box, sum)
	return toWire(sum)
}

// Part returns the demand at this box and the boxes that report only to it, for the
// boxes to which they do not report.
func (p *Places) Part(now time.Time) []wire.ServicePlaces {
	sum := p.own(now)
	p.others.AddExclusive(now, sum)
	return toWire(sum)
}

// SetCoverage records whether a box reports only to this one. It is called before
// Update.
func (p *Places) SetCoverage(box string, only bool) {
	p.others.SetCoverage(box, only, peerstate.Coverage{})
}

// Update stores a report of another box.
func (p *Places) Update(now time.Time, box string, list []wire.ServicePlaces) {
	p.others.Update(now, box, fromWire(list))
}

// AddSuspension ages the stored reports by the time for which this machine was suspended.
func (p *Places) AddSuspension(d time.Duration) { p.others.AddSuspension(d) }

// UpdateSum stores the sum that a hub reports for all other boxes.
func (p *Places) UpdateSum(now time.Time, list []wire.ServicePlaces) {
	p.others.UpdateSum(now, fromWire(list))
}
