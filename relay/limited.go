package relay

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/fleet"
	"petrelstep/picker"
	"petrelstep/ratelimit"
	"petrelstep/refusal"
	"petrelstep/route"
)

const (
	// freshPart is the part of the aim within which being sent off costs a caller
	// little; one that has waited longer is let wait on for a while.
	freshPart = 4
	// limitBack is the least time after which one that is sent off is to come back: a
	// limit of a hundred a second has something for it again.
	limitBack = 10 * time.Millisecond
)

// LimitAsk is a request that is about to go to a limited upstream.
type LimitAsk struct {
	Request  string
	Service  route.Service
	Upstream string
	Urgency  int           // 0 goes first
	Wait     time.Duration // how far ahead its time may be
}

func (j *job) limitAsk(upstream string, wait time.Duration) LimitAsk {
	return LimitAsk{Request: j.req.ID, Service: j.service, Upstream: upstream, Urgency: j.urgency, Wait: wait}
}

// Limiter gives out what upstreams take that name a limit.
type Limiter interface {
	// Limit returns how many requests a second an upstream takes; false if it takes all.
	Limit(upstream string) (perSecond float64, limited bool)
	// UsedUp returns for how long nothing more is to be had there, as far as is known.
	UsedUp(now time.Time, upstream string) time.Duration
	// Take gives a request its time at an upstream, if that is at most a wait ahead.
	Take(ctx context.Context, a LimitAsk) ratelimit.Turn
}

// placeLimited finds an upstream for a request that no engine answers, however it comes
// there: first, again, beside another try or resumed. A limit holds for the sum over all
// boxes, so that its keeper is asked before each.
func (r *Relay) placeLimited(ctx context.Context, j *job) (u fleet.Upstream, load float64, err error) {
	var used []string // up, by what this request found
	for first := true; ; first = false {
		u, load, err = r.pickPlain(ctx, j, used, first)
		var refused refusal.Refusal
		switch {
		case errors.As(err, &refused) && refused.Reason() == refusal.UpstreamLimited:
			return r.awaitLimited(ctx, j)
		case err != nil && len(used) > 0 && errors.As(err, &refused) && refused.Reason() == refusal.NoUpstream:
			return r.awaitLimited(ctx, j)
		case err != nil:
			return u, load, err
		}
		if _, limited := r.Limiter.Limit(u.ID); !limited {
			return u, load, nil
		}
		if r.Limiter.UsedUp(time.Now(), u.ID) == 0 && r.Limiter.Take(ctx, j.limitAsk(u.ID, 0)).Granted {
			if r.sharesPlaces(j) {
				r.Places.LimitGranted(j.placeAsk(), u)
			}
			return u, load, nil
		}
		if r.sharesPlaces(j) {
			r.Places.LimitRefused(j.placeAsk(), u)
		}
		used = append(used, u.ID)
	}
}

// pickPlain picks an upstream but those that are used up. The first time the request
// stands in line for it.
func (r *Relay) pickPlain(ctx context.Context, j *job, used []string, first bool) (u fleet.Upstream, load float64, err error) {
	ask := j.placeAsk()
	ask.Want.Avoid = append(ask.Want.Avoid, used...)
	switch {
	case !r.sharesPlaces(j):
		return r.choose(j.service, ask.Want)
	case first:
		return r.takePlace(ctx, j)
	}
	c, err := r.Places.PickAnother(ask)
	if err == nil {
		r.Chooser.Sent(time.Now(), j.service, c.Upstream)
	}
	return c.Upstream, c.Load, err
}

// awaitLimited waits at the limited upstream that has something first, as long as that is
// worth it. What cannot be served by what the limits allow is refused at once.
func (r *Relay) awaitLimited(ctx context.Context, j *job) (u fleet.Upstream, load float64, err error) {
	worth := r.worthWaiting(j)
	c, in, ok := r.soonest(j)
	if ok && in <= worth {
		turn := r.Limiter.Take(ctx, j.limitAsk(c.Upstream.ID, worth))
		in = turn.In
		if turn.Granted {
			j.log.WithFields(logrus.Fields{"upstream": c.Upstream.ID, "in_ms": in.Milliseconds()}).Info("limit_awaited")
			if in > 0 && !r.waitFor(ctx, in) {
				return u, 0, notAwaited(ctx)
			}
			if r.sharesPlaces(j) {
				r.Places.RecordSent(j.placeAsk(), c.Upstream)
			}
			return c.Upstream, c.Load, nil
		}
	}
	back := max(in, limitBack)
	if r.sharesPlaces(j) {
		back = max(back, r.Places.RetryAfter(time.Now(), j.service))
	}
	j.log.WithFields(logrus.Fields{"upstream": c.Upstream.ID, "in_ms": in.Milliseconds(), "worth_ms": worth.Milliseconds()}).Info("limit_refused")
	return u, 0, refusal.New(refusal.UpstreamLimited, "upstreams of "+j.service.Name+" take no more for now").WithRetryAfter(back)
}

// notAwaited refuses a request that had its time at an upstream, and ended before.
func notAwaited(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return refusal.New(refusal.CallerGone, "the caller hung up while it waited for its time")
	}
	return refusal.New(refusal.Deadline, "its time ended before an upstream took it")
}

// soonest returns the limited upstream that has something first, and in how long.
func (r *Relay) soonest(j *job) (soonest picker.Choice, in time.Duration, found bool) {
	now := time.Now()
	want := j.want()
	want.All = true
	for _, c := range r.Chooser.Ranked(now, want) {
		if _, limited := r.Limiter.Limit(c.Upstream.ID); !limited || c.Held {
			continue
		}
		if used := r.Limiter.UsedUp(now, c.Upstream.ID); !found || used < in {
			soonest, in, found = c, used, true
		}
	}
	return soonest, in, found
}

// worthWaiting is how long a request may wait for its time at an upstream: until it would
// be late; one that is late, or has waited too long to come back in time, once the aim
// more if it can be served then. Times that were given to it further ahead would make
// new ones late.
func (r *Relay) worthWaiting(j *job) time.Duration {
	if j.hurried {
		return 0
	}
	now := time.Now()
	usual := leastLeft
	if r.sharesPlaces(j) {
		usual = max(usual, r.Places.AnswerTime(now, j.service))
	}
	age, left := now.Sub(j.req.Arrived), j.deadline.Sub(now)-usual
	inTime := j.route.Aim - age - usual
	if inTime <= 0 && age > j.route.Aim/freshPart {
		inTime = j.route.Aim
	}
	return max(min(inTime, left), 0)
}
