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
	// admitWait is how long the owner of a queue may hold a request; if it dies
	// meanwhile, the waiting requests lose that time.
	admitWait = 300 * time.Millisecond
	// admitRoundTrip is the network round trip to an owner in the same region.
	admitRoundTrip = 100 * time.Millisecond
	// maxAdmitTries bounds how often admission is retried because the owner assigned an
	// upstream that this box must not use: unknown here, leaving, in an evacuated hall,
	// of a release that takes no requests or not this one, or backed off.
	maxAdmitTries = 3
)

// Admit implements relay.Admitter. One box owns the queue of a service, so that two
// boxes don't assign the same capacity. If the owner is unreachable, this box admits on
// its own.
func (e *Edge) Admit(ctx context.Context, ask admission.Request) (admission.Grant, error) {
	ask.Box, ask.Hall = e.config.Box, e.config.Hall
	g, err := e.admitKnown(ctx, ask)
	e.sharing.recordOutcome(time.Now(), ask, e.admission.Work(ask), err)
	return g, err
}

// admitKnown admits a request to an upstream that this box may use.
func (e *Edge) admitKnown(ctx context.Context, ask admission.Request) (admission.Grant, error) {
	for range maxAdmitTries {
		g, err := e.admit(ctx, ask)
		if err != nil {
			return admission.Grant{}, err
		}
		if u, ok := e.fleet.Get(g.Upstream.ID); ok && e.fleet.Serves(u.ID) && (ask.Release == "" || u.Release == ask.Release) && e.backoff.Wait(time.Now(), u.ID) == 0 {
			g.Upstream = u
			return g, nil
		}
		ask.Avoid = append(ask.Avoid, g.Upstream.ID)
	}
	return e.admitLocally(ctx, ask)
}

// QueueOwner returns the box that owns the queue of a service, as seen by this box.
func (e *Edge) QueueOwner(service string) string {
	owner, _ := e.ownerOf(time.Now(), "admission/"+service)
	return owner.Name
}

func (e *Edge) admit(ctx context.Context, ask admission.Request) (admission.Grant, error) {
	for ctx.Err() == nil {
		owner, ok := e.ownerOf(time.Now(), "admission/"+ask.Service.Name)
		if !ok || owner.Name == e.config.Box || !e.isReachable(owner.Name) {
			break
		}
		g, ok, err := e.requestAdmission(ctx, owner, ask)
		if ok || err != nil {
			return g, err
		}
	}
	return e.admitLocally(ctx, ask)
}

// avoidBackedOff excludes the upstreams that asked this box to back off.
func (e *Edge) avoidBackedOff(ask admission.Request) (avoiding admission.Request, found bool) {
	backedOff := e.backoff.Names(time.Now(), ask.Service.Name)
	ask.Avoid = append(slices.Clone(ask.Avoid), backedOff...)
	return ask, len(backedOff) > 0
}

// waitLocally waits in this box's own queue. While upstreams are backed off it rechecks
// them every admitWait, so that they are used again once the backoff ends.
func (e *Edge) waitLocally(ctx context.Context, ask admission.Request) (g admission.Grant, ok bool, err error) {
	for ctx.Err() == nil {
		avoiding, found := e.avoidBackedOff(ask)
		if !found {
			return e.admission.Take(ctx, ask)
		}
		waitCtx, cancel := context.WithTimeout(ctx, admitWait)
		g, ok, err = e.admission.Take(waitCtx, avoiding)
		cancel()
		if ok || err != nil {
			return g, ok, err
		}
	}
	return g, false, nil
}

// admitLocally admits a request from this box's own queue.
func (e *Edge) admitLocally(ctx context.Context, ask admission.Request) (admission.Grant, error) {
	g, ok, err := e.waitLocally(ctx, ask)
	switch {
	case err != nil:
		return admission.Grant{}, err
	case !ok && errors.Is(ctx.Err(), context.Canceled):
		return admission.Grant{}, refusal.New(refusal.CallerGone, "the caller disconnected while waiting for capacity")
	case !ok:
		return admission.Grant{}, refusal.New(refusal.Deadline, "no engine had capacity in time")
	}
	e.loads.Release(e.config.Box, g.Upstream.ID) // counted as this box's own request from here on
	return g, nil
}

// requestAdmission calls the owner of the queue once; ok is false if there is no
// capacity yet. An owner that doesn't answer is skipped until it is heard from again.
func (e *Edge) requestAdmission(ctx context.Context, owner members.Box, ask admission.Request) (g admission.Grant, ok bool, err error) {
	call, cancel := context.WithTimeout(ctx, admitWait+e.roundTrip(owner, admitRoundTrip))
	defer cancel()
	avoiding, _ := e.avoidBackedOff(ask)
	var answer wire.AdmitAnswer
	err = e.peers.CallIdempotent(call, owner.Address, peer.Admit, wire.AdmitAsk{
		Request: ask.ID, Box: ask.Box, Hall: ask.Hall, Service: ask.Service.Name, Urgency: ask.Urgency,
		Prompt: ask.Prompt, Answer: ask.Answer, AimMs: int(ask.Aim.Milliseconds()), GapMs: int(ask.Gap.Milliseconds()), WaitedMs: int(time.Since(ask.Arrived).Milliseconds()),
		DeadlineMs: int(ask.Deadline.Milliseconds()), PatienceMs: int(ask.Patience.Milliseconds()), Mark: strconv.FormatUint(ask.Key, 36), Organisation: ask.Organisation, Avoid: avoiding.Avoid, Regions: ask.Regions, Release: ask.Release, WaitMs: int(admitWait.Milliseconds()),
	}, &answer)
	switch {
	case err != nil && ctx.Err() == nil:
		e.markUnreachable(owner.Name)
		e.log.WithError(err).WithFields(logrus.Fields{"keeper": owner.Name, "request": ask.ID}).Warn("admission_not_asked")
		return g, false, nil
	case err != nil:
		return g, false, nil
	case answer.Reason == string(refusal.NoUpstream): // the owner may know fewer upstreams than this box
		g, err = e.admitLocally(ctx, ask)
		return g, err == nil, err
	case answer.Reason != "":
		return g, false, refusal.New(refusal.Reason(answer.Reason), "no engine has capacity").WithRetryAfter(time.Duration(answer.RetryAfterMs) * time.Millisecond)
	case answer.Upstream == "":
		return g, false, nil
	}
	return admission.Grant{Upstream: fleet.Upstream{ID: answer.Upstream}, Load: float64(answer.LoadPct) / 100}, true, nil
}

// AdmitFor implements edgerpc.Box: it waits for capacity for another box's request.
func (e *Edge) AdmitFor(ctx context.Context, ask wire.AdmitAsk) wire.AdmitAnswer {
	e.timer.Check()
	service, ok := e.service(ask.Service)
	if !ok || service.Engine == nil {
		return wire.AdmitAnswer{Reason: string(refusal.NoUpstream)}
	}
	requestKey, _ := strconv.ParseUint(ask.Mark, 36, 64) // an invalid key matches no earlier request
	g, ok, err := e.admission.Take(ctx, admission.Request{
		ID: ask.Request, Box: ask.Box, Hall: ask.Hall, Service: service, Urgency: ask.Urgency, Prompt: ask.Prompt,
		Answer: ask.Answer, Arrived: time.Now().Add(-time.Duration(ask.WaitedMs) * time.Millisecond),
		Aim: time.Duration(ask.AimMs) * time.Millisecond, Gap: time.Duration(ask.GapMs) * time.Millisecond, Deadline: time.Duration(ask.DeadlineMs) * time.Millisecond, Patience: time.Duration(ask.PatienceMs) * time.Millisecond, Key: requestKey, Organisation: ask.Organisation, Avoid: ask.Avoid,
		Regions: ask.Regions, Release: ask.Release,
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
