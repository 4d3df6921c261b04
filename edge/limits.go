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
	// leastRate is how many requests a second go to an upstream at least, whatever it
	// names: only an answer tells that its need is over. Two in four seconds lie within the
	// five that the rule allows beyond the limit.
	leastRate = 0.5
	// allowTime bounds an ask: a lost packet is sent again within 0.3 s, and callers of
	// plain services want their answers within 0.1 s.
	allowTime = 150 * time.Millisecond
	// reachWithin is how recently a keeper has heard the boxes that it gives their part
	// of a limit to: three of their periods of gossip.
	reachWithin = 800 * time.Millisecond
	// reachLeg is how recently each of two has heard the next where a box is heard by way
	// of another hub, so that a parted box counts no longer than one that is heard itself.
	reachLeg = reachWithin / 2
	// reachOver is how much more than the share of the boxes that it hears a keeper gives
	// out. Of boxes that have parted, all keepers together give out as many times the
	// limit, 1.5 times being borne; while all hear each other, a quarter of them may be lost
	// at no cost.
	reachOver = 1.4
	// savedMost and savedPart bound what a keeper saves up of a rest: two requests, and no
	// more than that part of a second. Of boxes that have parted two keepers may spend
	// theirs within the same four seconds, and 1.4 times the limit, and the next of each: that
	// fits into 1.5 times and five for any limit. With none saved a request that comes a
	// little late would lose its time.
	savedMost = 2
	savedPart = 0.8
	// looseFrom is from how many times all that the boxes are asked for on a limit binds
	// nobody: demand is told within half a second, and bursts grow it by three. Each box
	// may have been asked once since it was last heard.
	looseFrom = 4
	// reachLasts is for how long it is not counted anew: counting 350 boxes takes
	// ten times as long as the rest of an ask.
	reachLasts = 50 * time.Millisecond
)

// limiter gives requests their time at limited upstreams.
type limiter struct {
	*Edge
	whole *ratelimit.Limiter // that this box keeps for all
	parts *ratelimit.Limiter // of its own, while the keeper is not heard

	mu      sync.Mutex
	reached float64 // the part that was worked out last
	reachAt time.Time
	usedUp  map[string]time.Time // until when a keeper has nothing more to give, by upstream
}

func newLimiter(e *Edge) *limiter {
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(e.record.Incarnation), stream)) }
	return &limiter{Edge: e, whole: ratelimit.New(random(6)), parts: ratelimit.New(random(7)), usedUp: map[string]time.Time{}}
}

// knowsUpstream tells whether an upstream is one of the fleet.
func (e *Edge) knowsUpstream(id string) bool {
	_, ok := e.fleet.Get(id)
	return ok
}

// tick lets what is known of limits age.
func (l *limiter) tick(now time.Time) {
	l.limits.Tick(now, l.knowsUpstream)
	l.whole.Retain(func(upstream string) bool { return l.keeps(now, upstream) })
}

// Limit implements places.Limits.
func (l *limiter) Limit(upstream string) (perSecond float64, limited bool) {
	perSecond, _, limited = l.limits.Of(time.Now(), upstream)
	return max(perSecond, leastRate), limited
}

// UsedUp returns for how long nothing more is to be had at an upstream, as far as this
// box was told.
func (l *limiter) UsedUp(now time.Time, upstream string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.usedUp[upstream].Sub(now), 0)
}

// noteUsedUp notes how long nothing is to be had at an upstream.
func (l *limiter) noteUsedUp(now time.Time, upstream string, in time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, until := range l.usedUp {
		if now.After(until) {
			delete(l.usedUp, id)
		}
	}
	l.usedUp[upstream] = now.Add(in)
}

// keeper returns the box that gives out what an upstream takes: that which gives room
// on engines to all, or one hub for each plain upstream, the first that is heard.
func (l *limiter) keeper(now time.Time, service route.Service, upstream string) (keeper members.Box, own bool) {
	if service.Engine != nil {
		keeper, ok := l.members.Owner(now, "admission/"+service.Name)
		return keeper, !ok || keeper.Name == l.config.Box
	}
	keeper, _ = l.members.ReachableOwner(now, "limit/"+upstream, l.hears)
	return keeper, keeper.Name == l.config.Box
}

// keeps tells whether this box gives out what an upstream takes. Boxes of a crowd call two
// hubs each, and may not agree on which of the others are gone: a hub that hears one that
// goes before it leaves it to that.
func (l *limiter) keeps(now time.Time, upstream string) bool {
	u, _ := l.fleet.Get(upstream)
	service, _ := l.service(u.Service)
	_, own := l.keeper(now, service, upstream)
	return own
}

// reach returns the part of a limit that this box may give out as its keeper.
func (l *limiter) reach(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.reachAt) >= reachLasts {
		known := max(l.members.Count(now)-l.members.CountLeaving(), 1)
		heard := 1 + l.tally.RecentBoxes(now, reachWithin) + l.tally.RecentIndirect(now, reachLeg)
		l.reached, l.reachAt = min(reachOver*float64(heard)/float64(known), 1), now
	}
	return l.reached
}

// wholeRate is what this box gives out as the keeper.
func (l *limiter) wholeRate(now time.Time, perSecond float64) ratelimit.Rate {
	return ratelimit.Rate{PerSecond: max(perSecond, leastRate) * l.reach(now), Burst: min(savedMost, savedPart*perSecond)}
}

// partRate is what this box may send by itself while it does not hear the keeper.
func (l *limiter) partRate(perSecond float64) ratelimit.Rate {
	return ratelimit.Rate{PerSecond: max(perSecond, leastRate) / float64(max(l.Count(), 1)), Uncoordinated: true}
}

// May implements picker.Limits: on engines this box gives room to all, or sends its part.
func (l *limiter) May(now time.Time, service route.Service, upstream string) bool {
	perSecond, _, limited := l.limits.Of(now, upstream)
	if !limited {
		return true
	}
	if _, own := l.keeper(now, service, upstream); own {
		return l.whole.Free(now, upstream, l.wholeRate(now, perSecond))
	}
	return l.parts.Free(now, upstream, l.partRate(perSecond))
}

// Sent implements picker.Limits. What this box sends to an engine beside the keeper, as a
// run that was moved goes on there, is told to the keeper.
func (l *limiter) Sent(now time.Time, service route.Service, upstream string) {
	perSecond, _, limited := l.limits.Of(now, upstream)
	if !limited {
		return
	}
	if _, own := l.keeper(now, service, upstream); own {
		l.whole.Force(now, upstream, l.wholeRate(now, perSecond))
		return
	}
	l.parts.Force(now, upstream, l.partRate(perSecond))
	ask := wire.AllowAsk{Box: l.config.Box, Limit: l.limits.Report(now, upstream), Goes: true}
	go func() { _, _ = l.askKeeper(context.Background(), now, service, ask) }()
}

// Take implements relay.Limiter: it asks the upstream's keeper. One that is not heard is
// done without.
func (l *limiter) Take(ctx context.Context, a relay.LimitRequest) ratelimit.Decision {
	now := time.Now()
	perSecond, at, limited := l.limits.Of(now, a.Upstream)
	if !limited || l.loose(now, a.Service, perSecond) {
		return ratelimit.Decision{Granted: true}
	}
	turn, by := l.ask(ctx, now, a)
	outcome := metrics.LimitGranted
	if by == "" {
		part := ratelimit.Request{Rate: l.partRate(perSecond), Urgency: a.Urgency, Wait: a.Wait}
		turn, outcome = l.parts.Take(now, a.Upstream, part), metrics.LimitUnheard
	}
	if !turn.Granted {
		outcome = metrics.LimitUsedUp
		l.noteUsedUp(now, a.Upstream, turn.Delay)
	}
	l.metrics.LimitAsked(outcome)
	l.log.WithFields(logrus.Fields{
		"request": a.Request, "upstream": a.Upstream, "per_second": perSecond, "said_ms": now.Sub(at).Milliseconds(), "keeper": by, "granted": turn.Granted,
		"in_ms": turn.Delay.Milliseconds(), "took_ms": time.Since(now).Milliseconds(),
	}).Info("limit_asked")
	return turn
}

// loose tells whether a limit is so far above all that the boxes are asked for that it
// binds nobody.
func (l *limiter) loose(now time.Time, service route.Service, perSecond float64) bool {
	return l.places != nil && perSecond >= looseFrom*max(l.places.Demand(now, service), float64(l.members.Count(now)))
}

// ask asks the keeper, which is returned; empty if it is not heard.
func (l *limiter) ask(ctx context.Context, now time.Time, a relay.LimitRequest) (turn ratelimit.Decision, by string) {
	ask := wire.AllowAsk{Box: l.config.Box, Limit: l.limits.Report(now, a.Upstream), Urgency: a.Urgency, WaitMs: int(a.Wait.Milliseconds())}
	answer, by := l.askKeeper(ctx, now, a.Service, ask)
	return ratelimit.Decision{Granted: answer.Granted, Delay: time.Duration(answer.InMs) * time.Millisecond}, by
}

func (l *limiter) askKeeper(ctx context.Context, now time.Time, service route.Service, ask wire.AllowAsk) (answer wire.AllowAnswer, by string) {
	keeper, own := l.keeper(now, service, ask.Limit.Upstream)
	if own {
		return l.AllowFor(ask), l.config.Box
	}
	if !l.hears(keeper.Name) {
		return answer, ""
	}
	call, cancel := context.WithTimeout(ctx, allowTime)
	defer cancel()
	err := l.peers.Repeat(call, keeper.Address, peer.Allow, ask, &answer)
	switch {
	case err == nil && answer.Elsewhere:
		l.log.WithFields(logrus.Fields{"keeper": keeper.Name, "upstream": ask.Limit.Upstream}).Info("limit_kept_elsewhere")
		return wire.AllowAnswer{}, ""
	case err == nil:
		return answer, keeper.Name
	case ctx.Err() == nil:
		l.unheard(keeper.Name)
		l.log.WithError(err).WithFields(logrus.Fields{"keeper": keeper.Name, "upstream": ask.Limit.Upstream}).Warn("limit_not_asked")
	}
	return answer, ""
}

// AllowFor implements edgerpc.Box: it gives a request its time at an upstream of which
// this box is the keeper.
func (l *limiter) AllowFor(ask wire.AllowAsk) wire.AllowAnswer {
	l.timer.Check()
	now := time.Now()
	l.limits.Update(now, []wire.UpstreamLimit{ask.Limit}, false)
	id := ask.Limit.Upstream
	perSecond, _, limited := l.limits.Of(now, id)
	if !limited { // it takes all again
		return wire.AllowAnswer{Granted: true}
	}
	rate := l.wholeRate(now, perSecond)
	if ask.Goes {
		l.whole.Force(now, id, rate)
		return wire.AllowAnswer{Granted: true}
	}
	if !l.keeps(now, id) {
		return wire.AllowAnswer{Elsewhere: true}
	}
	turn := l.whole.Take(now, id, ratelimit.Request{Rate: rate, Urgency: ask.Urgency, Wait: time.Duration(ask.WaitMs) * time.Millisecond})
	return wire.AllowAnswer{Granted: turn.Granted, InMs: int((turn.Delay + time.Millisecond - 1) / time.Millisecond)}
}

// AllowFor implements edgerpc.Box.
func (e *Edge) AllowFor(ask wire.AllowAsk) wire.AllowAnswer { return e.limiter.AllowFor(ask) }

// View returns what this box knows of each limited upstream.
func (l *limiter) View(now time.Time) []wire.LimitView {
	list := []wire.LimitView{}
	for _, id := range l.limits.All() {
		perSecond, at, limited := l.limits.Of(now, id)
		u, known := l.fleet.Get(id)
		if !limited || !known {
			continue
		}
		service, _ := l.service(u.Service)
		keeper, own := l.keeper(now, service, id)
		v := wire.LimitView{
			Upstream: id, PerSecond: perSecond, SaidMs: int(now.Sub(at).Milliseconds()), Keeper: keeper.Name, UsedUpMs: int(l.UsedUp(now, id).Milliseconds()),
		}
		if own {
			v.PartPct, v.Given = int(100*l.reach(now)), l.whole.Granted(id)
		}
		list = append(list, v)
	}
	return list
}

// sayLimits tells a hub what upstreams take, as far as it has not been told.
func (e *Edge) sayLimits(now time.Time, hub string, g *wire.Gossip) {
	e.mu.Lock()
	m := e.known[hub]
	e.mu.Unlock()
	list, last := e.limits.Since(now, m.limits.told, true)
	g.Limits, g.LimitsAfter = list, m.limits.after
	e.mu.Lock()
	defer e.mu.Unlock()
	m = e.known[hub]
	m.limits.telling = last
	e.known[hub] = m
}

// answerLimits tells an asker what it does not have.
func (e *Edge) answerLimits(now time.Time, from wire.Gossip, a *wire.GossipAnswer) {
	after := 0
	if from.EndsOf == e.record.Incarnation {
		after = from.LimitsAfter
	}
	a.Limits, a.LimitsAt = e.limits.Since(now, after, e.members.IsHubBox(now, from.Sender.Box))
}

// hearLimits takes a hub's word.
func (e *Edge) hearLimits(now time.Time, a wire.GossipAnswer) {
	e.limits.Update(now, a.Limits, true)
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.known[a.Sender.Box]
	m.limits.after = a.LimitsAt
	e.known[a.Sender.Box] = m
}
