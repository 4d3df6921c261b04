package edge

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/admission"
	"petrelstep/fleet"
	"petrelstep/members"
	"petrelstep/peer"
	"petrelstep/refusal"
	"petrelstep/wire"
)

const (
	// admitWait is how long the keeper of a queue may hold an ask back: one that
	// dies meanwhile costs those who wait so much.
	admitWait = 300 * time.Millisecond
	// admitSlack is for the way to the keeper and back.
	admitSlack = 100 * time.Millisecond
	// admitTries bounds how often the keeper is asked anew because it named an
	// upstream that this box does not know, that leaves, whose hall is evacuated or that
	// has asked this box for rest.
	admitTries = 3
)

// Admit implements relay.Admitter: one box keeps the queue of a service, so that
// no two boxes take the same room. One that is not heard is done without.
func (e *Edge) Admit(ctx context.Context, ask admission.Ask) (admission.Grant, error) {
	ask.Box, ask.Hall = e.config.Box, e.config.Hall
	g, err := e.admitTo(ctx, ask)
	e.sharing.ended(time.Now(), ask, e.admission.Work(ask), err)
	return g, err
}

// admitTo returns an upstream that this box knows.
func (e *Edge) admitTo(ctx context.Context, ask admission.Ask) (admission.Grant, error) {
	for range admitTries {
		g, err := e.admit(ctx, ask)
		if err != nil {
			return admission.Grant{}, err
		}
		if u, ok := e.fleet.Get(g.Upstream.ID); ok && e.fleet.Takes(u.ID) && e.rest.Wait(time.Now(), u.ID) == 0 {
			g.Upstream = u
			return g, nil
		}
		ask.Avoid = append(ask.Avoid, g.Upstream.ID)
	}
	return e.admitAlone(ctx, ask)
}

// QueueOwner returns the box that keeps the queue of a service, as this one sees it.
func (e *Edge) QueueOwner(service string) string {
	keeper, _ := e.members.Keeper(time.Now(), "admission/"+service)
	return keeper.Name
}

func (e *Edge) admit(ctx context.Context, ask admission.Ask) (admission.Grant, error) {
	for ctx.Err() == nil {
		keeper, ok := e.members.Keeper(time.Now(), "admission/"+ask.Service.Name)
		if !ok || keeper.Name == e.config.Box || !e.hears(keeper.Name) {
			break
		}
		g, ok, err := e.admitAt(ctx, keeper, ask)
		if ok || err != nil {
			return g, err
		}
	}
	return e.admitAlone(ctx, ask)
}

// avoidResting returns an ask that passes by whom this box is to leave alone for now.
func (e *Edge) avoidResting(ask admission.Ask) (with admission.Ask, some bool) {
	resting := e.rest.Names(time.Now(), ask.Service.Name)
	ask.Avoid = append(slices.Clone(ask.Avoid), resting...)
	return ask, len(resting) > 0
}

// takeAlone waits in this box's own queue; while upstreams rest it asks anew as the
// keeper is asked, so that those are not passed by that rest no longer.
func (e *Edge) takeAlone(ctx context.Context, ask admission.Ask) (g admission.Grant, ok bool, err error) {
	for ctx.Err() == nil {
		with, some := e.avoidResting(ask)
		if !some {
			return e.admission.Take(ctx, ask)
		}
		waits, end := context.WithTimeout(ctx, admitWait)
		g, ok, err = e.admission.Take(waits, with)
		end()
		if ok || err != nil {
			return g, ok, err
		}
	}
	return g, false, nil
}

// admitAlone waits in this box's own queue.
func (e *Edge) admitAlone(ctx context.Context, ask admission.Ask) (admission.Grant, error) {
	g, ok, err := e.takeAlone(ctx, ask)
	switch {
	case err != nil:
		return admission.Grant{}, err
	case !ok && errors.Is(ctx.Err(), context.Canceled):
		return admission.Grant{}, refusal.New(refusal.CallerGone, "the caller hung up while it waited for room")
	case !ok:
		return admission.Grant{}, refusal.New(refusal.Deadline, "no engine had room in time")
	}
	e.tally.Kept(e.config.Box, g.Upstream.ID) // it is counted as this box's own from here on
	return g, nil
}

// admitAt asks the keeper once; ok is false if there is no room yet. A keeper that
// does not answer is done without until it is heard again.
func (e *Edge) admitAt(ctx context.Context, keeper members.Box, ask admission.Ask) (g admission.Grant, ok bool, err error) {
	call, cancel := context.WithTimeout(ctx, admitWait+admitSlack)
	defer cancel()
	with, _ := e.avoidResting(ask)
	var answer wire.AdmitAnswer
	err = e.peers.Repeat(call, keeper.Address, peer.Admit, wire.AdmitAsk{
		Request: ask.Request, Box: ask.Box, Hall: ask.Hall, Service: ask.Service.Name, Urgency: ask.Urgency,
		Prompt: ask.Prompt, Answer: ask.Answer, AimMs: int(ask.Aim.Milliseconds()), GapMs: int(ask.Gap.Milliseconds()), WaitedMs: int(time.Since(ask.Arrived).Milliseconds()),
		DeadlineMs: int(ask.Deadline.Milliseconds()), PatienceMs: int(ask.Patience.Milliseconds()), Mark: strconv.FormatUint(ask.Mark, 36), Organisation: ask.Organisation, Avoid: with.Avoid, Regions: ask.Regions, WaitMs: int(admitWait.Milliseconds()),
	}, &answer)
	switch {
	case err != nil && ctx.Err() == nil:
		e.unheard(keeper.Name)
		e.log.WithError(err).WithFields(logrus.Fields{"keeper": keeper.Name, "request": ask.Request}).Warn("admission_not_asked")
		return g, false, nil
	case err != nil:
		return g, false, nil
	case answer.Reason == string(refusal.NoUpstream): // it may know less than this box
		g, err = e.admitAlone(ctx, ask)
		return g, err == nil, err
	case answer.Reason != "":
		return g, false, refusal.New(refusal.Reason(answer.Reason), "no engine has room").WithRetryAfter(time.Duration(answer.RetryAfterMs) * time.Millisecond)
	case answer.Upstream == "":
		return g, false, nil
	}
	return admission.Grant{Upstream: fleet.Upstream{ID: answer.Upstream}, Load: float64(answer.LoadPct) / 100}, true, nil
}

// AdmitFor implements edgerpc.Box: it waits for room for another box's request.
func (e *Edge) AdmitFor(ctx context.Context, ask wire.AdmitAsk) wire.AdmitAnswer {
	e.timer.Check()
	service, ok := e.service(ask.Service)
	if !ok || service.Engine == nil {
		return wire.AdmitAnswer{Reason: string(refusal.NoUpstream)}
	}
	mark, _ := strconv.ParseUint(ask.Mark, 36, 64) // one that cannot be read is known by nobody
	g, ok, err := e.admission.Take(ctx, admission.Ask{
		Request: ask.Request, Box: ask.Box, Hall: ask.Hall, Service: service, Urgency: ask.Urgency, Prompt: ask.Prompt,
		Answer: ask.Answer, Arrived: time.Now().Add(-time.Duration(ask.WaitedMs) * time.Millisecond),
		Aim: time.Duration(ask.AimMs) * time.Millisecond, Gap: time.Duration(ask.GapMs) * time.Millisecond, Deadline: time.Duration(ask.DeadlineMs) * time.Millisecond, Patience: time.Duration(ask.PatienceMs) * time.Millisecond, Mark: mark, Organisation: ask.Organisation, Avoid: ask.Avoid,
		Regions: ask.Regions,
	})
	var refused refusal.Refusal
	switch {
	case errors.As(err, &refused):
		return wire.AdmitAnswer{Reason: string(refused.Reason()), RetryAfterMs: int(refused.RetryAfter().Milliseconds())}
	case !ok:
		return wire.AdmitAnswer{}
	}
	return wire.AdmitAnswer{Upstream: g.Upstream.ID, LoadPct: int(100 * g.Load)}
}
