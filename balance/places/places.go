// Package places decides where requests for plain upstreams go, and when. The boxes
// send at the same upstreams without asking each other: each draws upstreams at
// random by what they can do, and sends no more than its part of what all can do
// once the boxes together are asked for more.
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

	"petrelstep/fleet"
	"petrelstep/peerstate"
	"petrelstep/picker"
	"petrelstep/refusal"
	"petrelstep/route"
	"petrelstep/wire"
)

const (
	// leastBack and mostBack bound when one that is sent off is to come back: sooner
	// the line has not changed, later callers do not wait.
	leastBack = 50 * time.Millisecond
	mostBack  = 2 * time.Second
	// backPart is the part of its time that a caller can wait before it comes back, so
	// that enough is left to be served.
	backPart = 3
	// spreadPart is the part of that time by which those who come back are spread.
	spreadPart = 3
	// freshPart is the part of the aim within which being sent off costs a caller
	// little: it can still be served as if it had come later.
	freshPart = 4
)

// Outcomes of requests that could not be sent at once.
const (
	Waited  = "waited"
	Refused = "refused"
	Left    = "left" // its caller left, or its time was over
)

// Ranker knows the upstreams of a service.
type Ranker interface {
	// Ranked returns those that a request may go to, with what runs there.
	Ranked(now time.Time, w picker.Want) []picker.Choice
}

// Limits knows which upstreams name how much they take.
type Limits interface {
	// Limit returns how many requests a second are given out of what an upstream takes;
	// false if it takes all.
	Limit(upstream string) (perSecond float64, limited bool)
	// UsedUp returns for how long nothing more is to be had there.
	UsedUp(now time.Time, upstream string) time.Duration
}

// Shares knows who has had how much.
type Shares interface {
	// Over returns by how much an organisation is over its share of a service.
	Over(now time.Time, service, organisation string) float64
}

// Counter counts what became of requests that had to wait or were refused.
type Counter interface {
	// Placed counts an outcome, and how long the request waited for it.
	Placed(outcome string, waited time.Duration)
}

// Parts are what places work with.
type Parts struct {
	Ranker  Ranker
	Failing func(now time.Time, upstream string) float64 // share of sends that failed of late
	Limits  Limits                                       // nil: nobody names a limit
	Shares  Shares                                       // nil: all organisations alike
	Counter Counter
	Hall    string // of the box
	Random  *rand.Rand
	Log     *logrus.Entry
}

// Places is safe for use by several goroutines.
type Places struct {
	Parts

	mu       sync.Mutex // guards what follows and Random
	services map[string]*service
	others   *peerstate.Totals[demand]
}

// New returns places of a box that has met nothing yet.
func New(parts Parts) *Places {
	return &Places{Parts: parts, services: map[string]*service{}, others: peerstate.New[demand]()}
}

// Request is a request that wants a place.
type Request struct {
	ID           string
	Organisation string
	Urgency      int // 0 goes first
	Arrived      time.Time
	Aim          time.Duration
	Deadline     time.Time
	Want         picker.Want
}

func (a Request) aimAt() time.Time { return a.Arrived.Add(a.Aim) }

// lineUntil is until when it may wait in line and be sent off at little cost, with as
// much left for the asks that follow.
func (a Request) lineUntil() time.Time { return a.Arrived.Add(a.Aim / freshPart / 2) }

// Acquire returns an upstream for a request as soon as it may be sent. The error is a
// refusal.Refusal: then the request has not been sent anywhere.
func (p *Places) Acquire(ctx context.Context, ask Request) (picker.Choice, error) {
	now := time.Now()
	w, err := p.enter(now, ask)
	if err != nil {
		return picker.Choice{}, err
	}
	if w != nil {
		if err := p.wait(ctx, w); err != nil {
			return picker.Choice{}, err
		}
	}
	return p.pick(time.Now(), ask)
}

// enter lets a request through, puts it in line or refuses it.
func (p *Places) enter(now time.Time, ask Request) (*waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(now, ask.Want.Service)
	s.ask(now, ask)
	s.refill(now)
	if !s.crowded() {
		s.releaseAll()
		return nil, nil
	}
	w := &waiter{ask: ask, service: s, released: make(chan error, 1)}
	if p.Shares != nil {
		w.over = p.Shares.Over(now, ask.Want.Service.Name, ask.Organisation)
	}
	if s.goesFirst(now, w) {
		s.tokens--
		return nil, nil
	}
	if late(now, ask, s.waitOf(now, w), s.usual(), s.passes(now)) {
		return nil, p.refuse(now, s, w, "its place in line is too far back")
	}
	s.waiting = append(s.waiting, w)
	p.pump(now, s)
	return w, nil
}

// late tells whether a request is refused now that would wait in line for some time and
// then be answered in the usual one: it could not be served at all, or it is new and
// has time to come back, or would be passed by newer ones until its caller leaves.
func late(now time.Time, a Request, wait, usual time.Duration, passed bool) bool {
	age, left := now.Sub(a.Arrived), a.Deadline.Sub(now)
	inTime := age+wait <= a.Aim/freshPart && age+wait+usual <= a.Aim
	switch {
	case wait+usual > left:
		return true
	case inTime:
		return false
	}
	returns := age <= a.Aim/freshPart && (passed || wait <= left/backPart && wait+a.Aim <= left)
	return returns
}

// PickAnother returns another upstream for a request that has been let through.
func (p *Places) PickAnother(ask Request) (picker.Choice, error) { return p.pick(time.Now(), ask) }

// RecordSent notes that a request goes to an upstream that it was not given here.
func (p *Places) RecordSent(ask Request, at fleet.Upstream) {
	p.of(ask, at, func(u *upstream) { u.own++ })
}

// LimitGranted notes that a limited upstream had something for the request that was given it.
func (p *Places) LimitGranted(ask Request, at fleet.Upstream) {
	p.of(ask, at, func(u *upstream) { u.press = min(u.press*pressMore, pressMost) })
}

// LimitRefused notes that a request does not go to the limited upstream that it was given.
func (p *Places) LimitRefused(ask Request, at fleet.Upstream) {
	p.of(ask, at, func(u *upstream) {
		u.own = max(u.own-1, 0)
		u.press = max(u.press*pressLess, pressLeast)
	})
}

// of changes what is known of an upstream.
func (p *Places) of(ask Request, at fleet.Upstream, change func(u *upstream)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.services[ask.Want.Service.Name]; ok {
		change(s.upstream(at.ID))
	}
}

// Demand returns how many requests a second all boxes are asked for of a service.
func (p *Places) Demand(now time.Time, r route.Service) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(now, r).all
}

// AnswerTime returns how long an answer of a service takes.
func (p *Places) AnswerTime(now time.Time, r route.Service) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(now, r).usual()
}

// wait waits in line.
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
	w.service.leave(w)
	p.mu.Unlock()
	p.Counter.Placed(Left, time.Since(began))
	if errors.Is(ctx.Err(), context.Canceled) {
		return refusal.New(refusal.CallerGone, "the caller hung up while it waited for a place")
	}
	return refusal.New(refusal.Deadline, "no place in time")
}

// pump lets those go that may, the first in order first, refuses those that can no
// longer be served, and sets a timer for the next.
func (p *Places) pump(now time.Time, s *service) {
	s.refill(now)
	for _, w := range s.hopeless(now) {
		s.leave(w)
		w.released <- p.refuse(now, s, w, "no place in time")
	}
	for s.tokens >= 1 && len(s.waiting) > 0 {
		s.tokens--
		s.releaseFirst(now)
	}
	if len(s.waiting) == 0 || s.timer {
		return
	}
	s.timer = true
	time.AfterFunc(s.lookIn(now), func() { p.again(s) })
}

// again pumps a service's line once more.
func (p *Places) again(s *service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.timer = false
	now := time.Now()
	p.service(now, s.service)
	if !s.crowded() {
		s.releaseAll()
		return
	}
	p.pump(now, s)
}

// Overloaded tells whether requests for a service wait at the boxes.
func (p *Places) Overloaded(now time.Time, r route.Service) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(now, r).crowded()
}

// refuse refuses a request, and says when to come back: once those who wait are served,
// not all in the same moment.
func (p *Places) refuse(now time.Time, s *service, w *waiter, detail string) error {
	back := p.back(s)
	p.Counter.Placed(Refused, now.Sub(w.ask.Arrived))
	s.fields(now, p.Log).WithFields(logrus.Fields{
		"request": w.ask.ID, "retry_after_ms": back.Milliseconds(), "aim_left_ms": w.ask.aimAt().Sub(now).Milliseconds(),
	}).Info("place_refused")
	return refusal.New(refusal.WaitTooLong, detail).WithRetryAfter(back)
}

// back is when one that is sent off now is to come back.
func (p *Places) back(s *service) time.Duration {
	back := min(max(s.clears(), leastBack), mostBack)
	return back + time.Duration(p.Random.Float64()*float64(back)/spreadPart)
}

// RetryAfter returns when one that is sent off now is to come back: once those who wait are
// served, not all in the same moment.
func (p *Places) RetryAfter(now time.Time, r route.Service) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.back(p.service(now, r))
}

// Answered notes how long an upstream took to answer a request.
func (p *Places) Answered(now time.Time, ask Request, upstream fleet.Upstream, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(now, ask.Want.Service)
	u := s.upstream(upstream.ID)
	u.own = max(u.own-1, 0)
	s.answered(u, took, ask.Aim)
}

// Dropped notes that a request ended at an upstream that did not run it, failed, or
// was not waited for any longer. If that took longer than answers do, an answer would
// have taken longer still; a refusal at once tells nothing, least of all where nothing
// is known yet.
func (p *Places) Dropped(ask Request, upstream fleet.Upstream, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.services[ask.Want.Service.Name]; ok {
		u := s.upstream(upstream.ID)
		u.own = max(u.own-1, 0)
		s.tokens = min(s.tokens+1, saved)
		if known := cmp.Or(u.takes, s.takes); known > 0 && took > known {
			learn(&u.takes, took)
		}
	}
}

// service returns what is known of a service, no older than lookEvery.
func (p *Places) service(now time.Time, r route.Service) *service {
	s, ok := p.services[r.Name]
	if !ok {
		s = newService(now, r)
		p.services[r.Name] = s
	}
	s.service = r
	others := p.others.Of(now, r.Name)
	s.all, s.toldWork = s.demand(now)+others.asked, others.work()
	if now.Sub(s.looked) >= lookEvery {
		s.look(now, p.Ranker.Ranked(now, picker.Want{Service: r, All: true}), p.Hall, p.Failing, p.Limits)
		p.note(now, s)
	}
	s.rate = s.part(now)
	return s
}

// note logs that a crowd begins or ends.
func (p *Places) note(now time.Time, s *service) {
	if s.crowded() == s.wasCrowded {
		return
	}
	s.wasCrowded = !s.wasCrowded
	event := "places_enough"
	if s.wasCrowded {
		event = "places_crowded"
	}
	s.fields(now, p.Log).Info(event)
}

// View returns what this box believes of each service's places.
func (p *Places) View(now time.Time) []wire.PlacesView {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []wire.PlacesView{}
	for name, s := range p.services {
		list = append(list, wire.PlacesView{
			Service: name, Asked: int(s.asked.a(now)), AllAsked: int(s.all), Can: int(s.total()), Limited: int(s.limited), UsePct: int(100 * s.use),
			Waiting: len(s.waiting), Crowded: s.crowded(),
		})
	}
	slices.SortFunc(list, func(a, b wire.PlacesView) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// Own returns what this box is asked for, for its peers.
func (p *Places) Own(now time.Time) []wire.ServicePlaces { return listOf(p.own(now)) }

func (p *Places) own(now time.Time) map[string]demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := map[string]demand{}
	for name, s := range p.services {
		asked := s.demand(now)
		if asked >= tellFrom {
			list[name] = s.word(asked)
		}
		if asked < forgetBelow {
			delete(p.services, name)
		}
	}
	return list
}

// Without returns what all boxes but one are asked for, for that one.
func (p *Places) Without(now time.Time, box string) []wire.ServicePlaces {
	sum := p.own(now)
	p.others.Without(now, box, sum)
	return listOf(sum)
}

// Part returns what this box and those that tell it alone are asked for, for the boxes
// that do not hear them.
func (p *Places) Part(now time.Time) []wire.ServicePlaces {
	sum := p.own(now)
	p.others.Part(now, sum)
	return listOf(sum)
}

// SetCoverage notes, before a box's word is taken, whether it tells this box alone.
func (p *Places) SetCoverage(box string, only bool) { p.others.Covers(box, only, peerstate.Cover{}) }

// Update takes another box's word of what it is asked for.
func (p *Places) Update(now time.Time, box string, list []wire.ServicePlaces) {
	p.others.Told(now, box, demandsOf(list))
}

// Older makes what other boxes told older: this box's machine was suspended.
func (p *Places) Older(by time.Duration) { p.others.Older(by) }

// UpdateSum takes a hub's word of what all other boxes are asked for.
func (p *Places) UpdateSum(now time.Time, list []wire.ServicePlaces) {
	p.others.ToldSum(now, demandsOf(list))
}
