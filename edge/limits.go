package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/members"
	"petrelstep/metrics"
	"petrelstep/peer"
	"petrelstep/ratelimit"
	"petrelstep/relay"
	"petrelstep/route"
	"petrelstep/wire"
)

const (
	// minRate is the lowest rate at which requests are sent to an upstream, in requests
	// per second: only an answer shows that a limit has been lifted. Two requests in
	// four seconds fit into the five that are tolerated beyond a limit.
	minRate = 0.5
	// allowTimeout bounds a call to an owner in the same region: a lost packet is resent
	// within 0.3 s, and callers of plain services expect an answer within 0.1 s.
	allowTimeout = 150 * time.Millisecond
	// reachMaxAge is the maximum age of a report for its box to count as reachable by
	// the owner of a limit: three gossip periods.
	reachMaxAge = 800 * time.Millisecond
	// reachHopMaxAge is the maximum age per hop for a box whose reports arrive through
	// another hub, so that a partitioned box counts no longer than one that reports
	// directly.
	reachHopMaxAge = reachMaxAge / 2
	// reachFactor is the factor by which the fraction of a limit that an owner hands
	// out may exceed the fraction of boxes that it reaches. In a partition all owners
	// together hand out up to reachFactor times the limit, where 1.5 is tolerated;
	// without one, a quarter of the boxes may be lost at no cost.
	reachFactor = 1.4
	// maxSaved requests, and no more than maxSavedSeconds of the rate, are saved up
	// while an upstream gets less than its limit, so that a request that arrives a
	// little late doesn't lose its slot. In a partition two owners may both spend what
	// they saved within the same four seconds; the bound keeps that within the
	// tolerated excess.
	maxSaved        = 2
	maxSavedSeconds = 0.8
	// looseFactor is the multiple of the total demand from which a limit is not
	// enforced: demand is known within half a second, and bursts triple it. One request
	// per box may be missing from its last report.
	looseFactor = 4
	// reachCacheTime is how long the reachable fraction is cached: counting 350 boxes
	// takes ten times as long as the rest of a request.
	reachCacheTime = 50 * time.Millisecond
)

// limiter assigns requests to upstreams with a rate limit.
type limiter struct {
	*Edge
	total    *ratelimit.Limiter // for the upstreams that this box owns
	fallback *ratelimit.Limiter // this box's share, used while the owner is unreachable

	mu          sync.Mutex
	lastReach   float64 // the cached reachable fraction
	lastReachAt time.Time
	usedUp      map[string]time.Time // until when the owner has no capacity left, by upstream
}

func newLimiter(e *Edge) *limiter {
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(e.record.Incarnation), stream)) }
	return &limiter{Edge: e, total: ratelimit.New(random(6)), fallback: ratelimit.New(random(7)), usedUp: map[string]time.Time{}}
}

// knowsUpstream reports whether an upstream is in the fleet.
func (e *Edge) knowsUpstream(id string) bool {
	_, ok := e.fleet.Get(id)
	return ok
}

// tick expires limits and the state of upstreams that this box no longer owns.
func (l *limiter) tick(now time.Time) {
	l.limits.Tick(now, l.knowsUpstream)
	l.slots.tick(now)
	l.total.Retain(func(upstream string) bool { return l.owns(now, upstream) })
}

// Limit implements places.Limits.
func (l *limiter) Limit(upstream string) (perSecond float64, limited bool) {
	perSecond, _, limited = l.limits.Of(time.Now(), upstream)
	return max(perSecond, minRate), limited
}

// UsedUp returns for how long an upstream has no capacity left, according to its owner.
func (l *limiter) UsedUp(now time.Time, upstream string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.usedUp[upstream].Sub(now), 0)
}

// recordUsedUp records for how long an upstream has no capacity left.
func (l *limiter) recordUsedUp(now time.Time, upstream string, in time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, until := range l.usedUp {
		if now.After(until) {
			delete(l.usedUp, id)
		}
	}
	l.usedUp[upstream] = now.Add(in)
}

// owner returns the box that enforces an upstream's limit: for engines the owner of the
// service's queue, for a plain upstream the first hub of its rendezvous order that is
// reachable.
func (l *limiter) owner(now time.Time, service route.Service, upstream string) (owner members.Box, owned bool) {
	if service.Engine != nil {
		owner, ok := l.ownerOf(now, "admission/"+service.Name)
		return owner, !ok || owner.Name == l.config.Box
	}
	owner, _ = l.members.ReachableOwner(now, "limit/"+upstream, l.isReachable)
	return owner, owner.Name == l.config.Box
}

// owns reports whether this box enforces an upstream's limit. Boxes of a large fleet
// call two hubs each and may disagree on which others are alive: a hub defers to a
// reachable hub that precedes it.
func (l *limiter) owns(now time.Time, upstream string) bool {
	u, _ := l.fleet.Get(upstream)
	service, _ := l.service(u.Service)
	_, owned := l.owner(now, service, upstream)
	return owned
}

// reachableFraction returns the fraction of a limit that this box may hand out as its
// owner.
func (l *limiter) reachableFraction(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.lastReachAt) >= reachCacheTime {
		known := max(l.members.Count(now)-l.members.CountLeaving(), 1)
		reachable := 1 + l.loads.RecentBoxes(now, reachMaxAge) + l.loads.RecentIndirect(now, reachHopMaxAge)
		l.lastReach, l.lastReachAt = min(reachFactor*float64(reachable)/float64(known), 1), now
	}
	return l.lastReach
}

// totalRate returns the rate that this box hands out as the owner.
func (l *limiter) totalRate(now time.Time, perSecond float64) ratelimit.Rate {
	return ratelimit.Rate{PerSecond: max(perSecond, minRate) * l.reachableFraction(now), Burst: min(maxSaved, maxSavedSeconds*perSecond)}
}

// shareRate returns the rate that this box may use while the owner is unreachable.
func (l *limiter) shareRate(perSecond float64) ratelimit.Rate {
	return ratelimit.Rate{PerSecond: max(perSecond, minRate) / float64(max(l.Count(), 1)), Uncoordinated: true}
}

// May implements picker.Limits: on engines this box admits as the owner or within its
// share.
func (l *limiter) May(now time.Time, service route.Service, upstream string) bool {
	perSecond, _, limited := l.limits.Of(now, upstream)
	if !limited {
		return true
	}
	if _, owned := l.owner(now, service, upstream); owned {
		return l.total.Free(now, upstream, l.totalRate(now, perSecond))
	}
	return l.fallback.Free(now, upstream, l.shareRate(perSecond))
}

// Sent implements picker.Limits. The owner is notified of requests that this box sends
// to an engine without asking first, such as a moved run.
func (l *limiter) Sent(now time.Time, service route.Service, upstream string) {
	perSecond, _, limited := l.limits.Of(now, upstream)
	if !limited {
		return
	}
	if _, owned := l.owner(now, service, upstream); owned {
		l.total.Force(now, upstream, l.totalRate(now, perSecond))
		return
	}
	l.fallback.Force(now, upstream, l.shareRate(perSecond))
	ask := wire.AllowAsk{Box: l.config.Box, Limit: l.limits.Report(now, upstream), Goes: true}
	go func() { _, _ = l.callOwner(context.Background(), now, service, ask) }()
}

// Take implements relay.Limiter: it asks the owner of the upstream's limit. If the
// owner is unreachable, this box uses its share.
func (l *limiter) Take(ctx context.Context, a relay.LimitRequest) ratelimit.Decision {
	now := time.Now()
	perSecond, at, limited := l.limits.Of(now, a.Upstream)
	if !limited || l.isLoose(now, a.Service, perSecond) {
		return ratelimit.Decision{Granted: true}
	}
	turn, by := l.requestAllowance(ctx, now, a)
	outcome := metrics.LimitGranted
	if by == "" {
		share := ratelimit.Request{Rate: l.shareRate(perSecond), Urgency: a.Urgency, Wait: a.Wait}
		turn, outcome = l.fallback.Take(now, a.Upstream, share), metrics.LimitOwnerUnreachable
	}
	if !turn.Granted {
		outcome = metrics.LimitUsedUp
		l.recordUsedUp(now, a.Upstream, turn.Delay)
	}
	l.metrics.LimitRequested(outcome)
	l.log.WithFields(logrus.Fields{
		"request": a.Request, "upstream": a.Upstream, "per_second": perSecond, "said_ms": now.Sub(at).Milliseconds(), "keeper": by, "granted": turn.Granted,
		"in_ms": turn.Delay.Milliseconds(), "took_ms": time.Since(now).Milliseconds(),
	}).Info("limit_asked")
	return turn
}

// isLoose reports whether a limit is so far above the total demand that it need not be
// enforced.
func (l *limiter) isLoose(now time.Time, service route.Service, perSecond float64) bool {
	return l.places != nil && perSecond >= looseFactor*max(l.places.Demand(now, service), float64(l.members.Count(now)))
}

// requestAllowance asks the owner, whose name it returns; empty if it is unreachable.
func (l *limiter) requestAllowance(ctx context.Context, now time.Time, a relay.LimitRequest) (turn ratelimit.Decision, by string) {
	ask := wire.AllowAsk{Box: l.config.Box, Limit: l.limits.Report(now, a.Upstream), Urgency: a.Urgency, WaitMs: int(a.Wait.Milliseconds())}
	answer, by := l.callOwner(ctx, now, a.Service, ask)
	return ratelimit.Decision{Granted: answer.Granted, Delay: time.Duration(answer.InMs) * time.Millisecond}, by
}

func (l *limiter) callOwner(ctx context.Context, now time.Time, service route.Service, ask wire.AllowAsk) (answer wire.AllowAnswer, by string) {
	owner, owned := l.owner(now, service, ask.Limit.Upstream)
	if owned {
		return l.AllowFor(ask), l.config.Box
	}
	if !l.isReachable(owner.Name) {
		return answer, ""
	}
	call, cancel := context.WithTimeout(ctx, l.roundTrip(owner, allowTimeout))
	defer cancel()
	err := l.peers.CallIdempotent(call, owner.Address, peer.Allow, ask, &answer)
	switch {
	case err == nil && answer.Elsewhere:
		l.log.WithFields(logrus.Fields{"keeper": owner.Name, "upstream": ask.Limit.Upstream}).Info("limit_kept_elsewhere")
		return wire.AllowAnswer{}, ""
	case err == nil:
		return answer, owner.Name
	case ctx.Err() == nil:
		l.markUnreachable(owner.Name)
		l.log.WithError(err).WithFields(logrus.Fields{"keeper": owner.Name, "upstream": ask.Limit.Upstream}).Warn("limit_not_asked")
	}
	return answer, ""
}

// AllowFor implements edgerpc.Box: it hands out a slot at an upstream whose limit this
// box owns.
func (l *limiter) AllowFor(ask wire.AllowAsk) wire.AllowAnswer {
	l.timer.Check()
	now := time.Now()
	l.limits.Update(now, []wire.UpstreamLimit{ask.Limit}, false)
	id := ask.Limit.Upstream
	perSecond, _, limited := l.limits.Of(now, id)
	if !limited { // the limit has been lifted
		return wire.AllowAnswer{Granted: true}
	}
	rate := l.totalRate(now, perSecond)
	if ask.Goes {
		l.total.Force(now, id, rate)
		return wire.AllowAnswer{Granted: true}
	}
	if !l.owns(now, id) {
		return wire.AllowAnswer{Elsewhere: true}
	}
	turn := l.total.Take(now, id, ratelimit.Request{Rate: rate, Urgency: ask.Urgency, Wait: time.Duration(ask.WaitMs) * time.Millisecond})
	return wire.AllowAnswer{Granted: turn.Granted, InMs: int((turn.Delay + time.Millisecond - 1) / time.Millisecond)}
}

// AllowFor implements edgerpc.Box.
func (e *Edge) AllowFor(ask wire.AllowAsk) wire.AllowAnswer { return e.limiter.AllowFor(ask) }

// View returns the state of every limited upstream.
func (l *limiter) View(now time.Time) []wire.LimitView {
	list := []wire.LimitView{}
	for _, id := range l.limits.All() {
		perSecond, at, limited := l.limits.Of(now, id)
		u, known := l.fleet.Get(id)
		if !limited || !known {
			continue
		}
		service, _ := l.service(u.Service)
		owner, owned := l.owner(now, service, id)
		v := wire.LimitView{
			Upstream: id, PerSecond: perSecond, SaidMs: int(now.Sub(at).Milliseconds()), Keeper: owner.Name, UsedUpMs: int(l.UsedUp(now, id).Milliseconds()),
		}
		if owned {
			v.PartPct, v.Given = int(100*l.reachableFraction(now)), l.total.Granted(id)
		}
		list = append(list, v)
	}
	return list
}

// sendLimits adds the limits that the hub doesn't have yet.
func (e *Edge) sendLimits(now time.Time, hub string, g *wire.Gossip) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.hubStates[hub]
	g.Limits, state.limits.sending = e.limits.Since(now, state.limits.sent, true)
	g.RejectionLimits, state.rejections.sending = e.rejectionLimits.Since(now, state.rejections.sent, true)
	g.LimitsAfter, g.RejectionLimitsAfter = state.limits.received, state.rejections.received
	e.hubStates[hub] = state
}

// answerLimits adds the limits that the caller doesn't have.
func (e *Edge) answerLimits(now time.Time, from wire.Gossip, a *wire.GossipAnswer) {
	limitsAfter, rejectionsAfter := 0, 0
	if from.EndsOf == e.record.Incarnation {
		limitsAfter, rejectionsAfter = from.LimitsAfter, from.RejectionLimitsAfter
	}
	hub := e.members.IsHubBox(now, from.Sender.Box)
	a.Limits, a.LimitsAt = e.limits.Since(now, limitsAfter, hub)
	a.RejectionLimits, a.RejectionLimitsAt = e.rejectionLimits.Since(now, rejectionsAfter, hub)
}

// receiveLimits records the limits reported by a hub.
func (e *Edge) receiveLimits(now time.Time, a wire.GossipAnswer) {
	e.limits.Update(now, a.Limits, true)
	e.rejectionLimits.Update(now, a.RejectionLimits, true)
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.hubStates[a.Sender.Box]
	state.limits.received, state.rejections.received = a.LimitsAt, a.RejectionLimitsAt
	e.hubStates[a.Sender.Box] = state
}
