package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/config"
	"petrelstep/fleet"
	"petrelstep/metrics"
	"petrelstep/peer"
	"petrelstep/relay"
	"petrelstep/slotlease"
	"petrelstep/wire"
)

const (
	// givenUpHold is how long the slot of a request that was given up stays taken: its
	// upstream may work on for a while.
	givenUpHold = 250 * time.Millisecond
	// maxSlotWait bounds how long an owner lets a request wait for a slot; if it dies
	// meanwhile, that time is lost.
	maxSlotWait = 300 * time.Millisecond
	// minRejectionBackoff and maxRejectionBackoff bound how long a box sends nothing to an
	// upstream with a rejection limit that rejected it.
	minRejectionBackoff = 250 * time.Millisecond
	maxRejectionBackoff = 5 * time.Second
)

// slotOwner takes slots of upstreams with a rejection limit, and leases those that this box owns.
type slotOwner struct {
	*Edge
	leases *slotlease.Leases // of upstreams that this box owns
	own    *slotlease.Leases // of this box, while an owner is unreachable
}

func newSlotOwner(e *Edge) *slotOwner {
	return &slotOwner{Edge: e, leases: slotlease.New(), own: slotlease.New()}
}

// rejectsFew reports whether an upstream has a rejection limit.
func (e *Edge) rejectsFew(upstream string) bool {
	_, _, limited := e.rejectionLimits.Of(time.Now(), upstream)
	return limited
}

// tick expires rejection limits and the leases of upstreams that this box no longer owns.
func (s *slotOwner) tick(now time.Time) {
	s.rejectionLimits.Tick(now, s.knowsUpstream)
	s.leases.Tick(now, func(upstream string) bool { return s.rejectsFew(upstream) && s.limiter.owns(now, upstream) })
	s.own.Tick(now, s.rejectsFew)
}

// Needed implements relay.Slots.
func (s *slotOwner) Needed(upstream string) bool { return s.rejectsFew(upstream) }

// Take implements relay.Slots.
func (s *slotOwner) Take(ctx context.Context, req relay.SlotRequest) (release func(answered bool), granted bool) {
	now, u := time.Now(), req.Upstream
	perSecond, at, _ := s.rejectionLimits.Of(now, u.ID)
	ask := wire.SlotAsk{
		Box: s.config.Box, Request: req.ID, Limit: s.rejectionLimits.Report(now, u.ID), Slots: max(u.Slots, 1), Urgency: req.Urgency,
		WaitMs: int(min(req.Wait, maxSlotWait).Milliseconds()), HoldMs: int(req.Hold.Milliseconds()),
	}
	granted, by := s.ask(ctx, now, req, ask)
	outcome := metrics.SlotGranted
	switch {
	case by == "":
		granted, outcome = s.takeOwn(ctx, ask), metrics.SlotOwnerUnreachable
	case !granted:
		outcome = metrics.SlotTaken
	}
	s.metrics.SlotRequested(outcome)
	s.log.WithFields(logrus.Fields{
		"request": req.ID, "upstream": u.ID, "slots": u.Slots, "rejections_per_second": perSecond, "said_ms": now.Sub(at).Milliseconds(), "owner": by, "granted": granted,
		"wait_ms": ask.WaitMs, "took_ms": time.Since(now).Milliseconds(),
	}).Info("slot_asked")
	if !granted {
		return nil, false
	}
	return func(answered bool) { s.release(req, ask, by, answered) }, true
}

// takeOwn takes a slot of this box's part while the owner is unreachable. Where the part is less
// than one, chance decides, so that all boxes together take no more than there are.
func (s *slotOwner) takeOwn(ctx context.Context, ask wire.SlotAsk) bool {
	part := float64(ask.Slots) / float64(max(s.Count(), 1))
	if part < 1 && s.chance() >= part {
		return false
	}
	ask.Slots, ask.WaitMs = max(int(part), 1), 0
	return s.lease(ctx, s.own, ask)
}

// chance returns a random number below 1.
func (s *slotOwner) chance() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// lease takes a slot, and waits for one as long as the ask says.
func (s *slotOwner) lease(ctx context.Context, l *slotlease.Leases, ask wire.SlotAsk) bool {
	ctx, cancel := context.WithTimeout(ctx, config.Millis(ask.WaitMs))
	defer cancel()
	return l.Take(ctx, slotlease.Request{
		Upstream: ask.Limit.Upstream, Box: ask.Box, ID: ask.Request, Urgency: ask.Urgency, Slots: ask.Slots, Hold: config.Millis(ask.HoldMs),
		Running: s.loads.Load(time.Now(), ask.Limit.Upstream).Requests,
	})
}

// ask asks the owner of an upstream's slots, whose name it returns; empty if it is unreachable.
func (s *slotOwner) ask(ctx context.Context, now time.Time, req relay.SlotRequest, ask wire.SlotAsk) (granted bool, by string) {
	owner, owned := s.limiter.owner(now, req.Service, req.Upstream.ID)
	if owned {
		return s.SlotFor(ctx, ask).Granted, s.config.Box
	}
	if !s.isReachable(owner.Name) {
		return false, ""
	}
	call, cancel := context.WithTimeout(ctx, config.Millis(ask.WaitMs)+s.roundTrip(owner, allowTimeout))
	defer cancel()
	var answer wire.SlotAnswer
	err := s.peers.CallIdempotent(call, owner.Address, peer.TakeSlot, ask, &answer)
	switch {
	case err == nil && !answer.Elsewhere:
		return answer.Granted, owner.Name
	case err != nil && ctx.Err() != nil: // no longer needed, but it may be granted
		go s.sendReturn(req, ask, owner.Name)
		return false, owner.Name
	case err != nil:
		s.markUnreachable(owner.Name)
		s.log.WithError(err).WithFields(logrus.Fields{"owner": owner.Name, "upstream": req.Upstream.ID}).Warn("slot_not_asked")
	}
	return false, ""
}

// release returns a slot to the box that leased it.
func (s *slotOwner) release(req relay.SlotRequest, ask wire.SlotAsk, by string, answered bool) {
	ask.HoldMs = 0
	if !answered {
		ask.HoldMs = int(givenUpHold.Milliseconds())
	}
	switch by {
	case "":
		s.own.Return(time.Now(), req.Upstream.ID, s.config.Box, req.ID, time.Duration(ask.HoldMs)*time.Millisecond)
	case s.config.Box:
		s.ReturnSlotFor(ask)
	default:
		go s.sendReturn(req, ask, by)
	}
}

// sendReturn returns a slot to another box. A lost call is made up for by the end of the lease.
func (s *slotOwner) sendReturn(req relay.SlotRequest, ask wire.SlotAsk, by string) {
	owner, owned := s.limiter.owner(time.Now(), req.Service, req.Upstream.ID)
	if owned || owner.Name != by {
		return // another box owns the slots now, and knows of no lease
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.roundTrip(owner, allowTimeout))
	defer cancel()
	if err := s.peers.CallIdempotent(ctx, owner.Address, peer.ReturnSlot, ask, &wire.Nothing{}); err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"owner": by, "upstream": req.Upstream.ID, "request": req.ID}).Info("slot_not_returned")
	}
}

// SlotFor implements edgerpc.Box.
func (s *slotOwner) SlotFor(ctx context.Context, ask wire.SlotAsk) wire.SlotAnswer {
	s.timer.Check()
	now, id := time.Now(), ask.Limit.Upstream
	s.rejectionLimits.Update(now, []wire.UpstreamLimit{ask.Limit}, false)
	if !s.rejectsFew(id) {
		return wire.SlotAnswer{Granted: true}
	}
	if !s.limiter.owns(now, id) {
		return wire.SlotAnswer{Elsewhere: true}
	}
	return wire.SlotAnswer{Granted: s.lease(ctx, s.leases, ask)}
}

// ReturnSlotFor implements edgerpc.Box.
func (s *slotOwner) ReturnSlotFor(ask wire.SlotAsk) {
	s.leases.Return(time.Now(), ask.Limit.Upstream, ask.Box, ask.Request, time.Duration(ask.HoldMs)*time.Millisecond)
}

// Backoff implements relay.Slots: if each box is rejected once in that time, the rejections of all
// stay below the limit.
func (s *slotOwner) Backoff(u fleet.Upstream) time.Duration {
	perSecond, _, limited := s.rejectionLimits.Of(time.Now(), u.ID)
	if !limited {
		return 0
	}
	if perSecond <= 0 {
		return maxRejectionBackoff
	}
	return min(max(time.Duration(float64(s.Count())/perSecond*float64(time.Second)), minRejectionBackoff), maxRejectionBackoff)
}

// View returns the upstreams with a rejection limit.
func (s *slotOwner) View(now time.Time) []wire.RejectionLimitView {
	list := []wire.RejectionLimitView{}
	for _, id := range s.rejectionLimits.All() {
		perSecond, at, limited := s.rejectionLimits.Of(now, id)
		u, known := s.fleet.Get(id)
		if !limited || !known {
			continue
		}
		service, _ := s.service(u.Service)
		owner, _ := s.limiter.owner(now, service, id)
		list = append(list, wire.RejectionLimitView{Upstream: id, PerSecond: perSecond, SaidMs: int(now.Sub(at).Milliseconds()), Owner: owner.Name, Leased: s.leases.Leased(now, id)})
	}
	return list
}

// SlotFor implements edgerpc.Box.
func (e *Edge) SlotFor(ctx context.Context, ask wire.SlotAsk) wire.SlotAnswer {
	return e.slots.SlotFor(ctx, ask)
}

// ReturnSlotFor implements edgerpc.Box.
func (e *Edge) ReturnSlotFor(ask wire.SlotAsk) { e.slots.ReturnSlotFor(ask) }
