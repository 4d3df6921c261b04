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
	// youngAgeDivisor: a request younger than aim/youngAgeDivisor is rejected rather than
	// delayed past its aim, as its caller can still retry in time.
	youngAgeDivisor = 4
	// minLimitRetryAfter is the minimum Retry-After of a request rejected for an
	// upstream's limit.
	minLimitRetryAfter = 10 * time.Millisecond
)

// LimitRequest asks for permission to send a request to a rate-limited upstream.
type LimitRequest struct {
	Request  string
	Service  route.Service
	Upstream string
	Urgency  int           // 0 goes first
	Wait     time.Duration // maximum delay before the send
}

func (j *job) limitRequest(upstream string, wait time.Duration) LimitRequest {
	return LimitRequest{Request: j.req.ID, Service: j.service, Upstream: upstream, Urgency: j.urgency, Wait: wait}
}

// Limiter enforces the rate limits that upstreams announce.
type Limiter interface {
	// Limit returns the requests per second that an upstream accepts; false if unlimited.
	Limit(upstream string) (perSecond float64, limited bool)
	// UsedUp returns how long the upstream's limit is known to be used up.
	UsedUp(now time.Time, upstream string) time.Duration
	// Take reserves a time to send a request to an upstream, if one is free within req.Wait.
	Take(ctx context.Context, req LimitRequest) ratelimit.Decision
}

// placeLimited picks a plain upstream for a request, whatever the kind of try. A limit
// holds for the sum over all boxes, so permission is requested from the limit's owner for
// each send.
func (r *Relay) placeLimited(ctx context.Context, j *job) (u fleet.Upstream, load float64, err error) {
	var used []string      // upstreams whose limits are used up, or that have no free slot
	var full picker.Choice // one without a free slot
	for first := true; ; first = false {
		u, load, err = r.pickPlain(ctx, j, used, first)
		var refused refusal.Refusal
		switch {
		case errors.As(err, &refused) && refused.Reason() == refusal.UpstreamLimited:
			return r.awaitLimit(ctx, j)
		case err != nil && full.Upstream.ID != "":
			return r.awaitSlot(ctx, j, full)
		case len(used) > 0 && refused.Reason() == refusal.NoUpstream:
			return r.awaitLimit(ctx, j)
		case err != nil:
			return u, load, err
		}
		if r.takeLimit(ctx, j, u) {
			last := full.Upstream.ID != "" || r.placesOverloaded(j)
			if !r.needsSlot(j, u) || !last && r.takeSlot(ctx, j, u, 0) {
				return u, load, nil
			}
			full = picker.Choice{Upstream: u, Load: load}
			if last {
				r.recordNotSent(j, u)
				return r.awaitSlot(ctx, j, full)
			}
		}
		r.recordNotSent(j, u)
		used = append(used, u.ID)
	}
}

// recordNotSent records that a request does not go to the picked upstream, for want of its limit's
// permission or of a slot.
func (r *Relay) recordNotSent(j *job, u fleet.Upstream) {
	if r.sharesPlaces(j) {
		r.Places.LimitRefused(j.placeRequest(), u)
	}
}

// takeLimit asks for permission to send to an upstream now, if it has a rate limit.
func (r *Relay) takeLimit(ctx context.Context, j *job, u fleet.Upstream) bool {
	if _, limited := r.Limiter.Limit(u.ID); !limited {
		return true
	}
	if r.Limiter.UsedUp(time.Now(), u.ID) > 0 || !r.Limiter.Take(ctx, j.limitRequest(u.ID, 0)).Granted {
		return false
	}
	if r.sharesPlaces(j) {
		r.Places.LimitGranted(j.placeRequest(), u)
	}
	return true
}

// pickPlain picks an upstream other than those used up. On the first call the request
// waits in the queue for a place.
func (r *Relay) pickPlain(ctx context.Context, j *job, used []string, first bool) (u fleet.Upstream, load float64, err error) {
	ask := j.placeRequest()
	ask.Want.Avoid = append(ask.Want.Avoid, used...)
	switch {
	case !r.sharesPlaces(j):
		return r.pick(j.service, ask.Want)
	case first:
		return r.takePlace(ctx, j)
	}
	c, err := r.Places.PickAnother(ask)
	if err == nil {
		r.Picker.Sent(time.Now(), j.service, c.Upstream)
	}
	return c.Upstream, c.Load, err
}

// awaitLimit waits for the limited upstream that is available first, if that is soon
// enough. Otherwise the request is refused at once.
func (r *Relay) awaitLimit(ctx context.Context, j *job) (u fleet.Upstream, load float64, err error) {
	maxWait := r.maxWait(j)
	c, in, ok := r.soonest(j)
	if ok && in <= maxWait {
		turn := r.Limiter.Take(ctx, j.limitRequest(c.Upstream.ID, maxWait))
		in = turn.Delay
		if turn.Granted {
			j.log.WithFields(logrus.Fields{"upstream": c.Upstream.ID, "in_ms": in.Milliseconds()}).Info("limit_awaited")
			if in > 0 && !r.waitFor(ctx, in) {
				return u, 0, waitInterrupted(ctx)
			}
			if r.sharesPlaces(j) {
				r.Places.RecordSent(j.placeRequest(), c.Upstream)
			}
			return c.Upstream, c.Load, nil
		}
	}
	back := max(in, minLimitRetryAfter)
	if r.sharesPlaces(j) {
		back = max(back, r.Places.RetryAfter(time.Now(), j.service))
	}
	j.log.WithFields(logrus.Fields{"upstream": c.Upstream.ID, "in_ms": in.Milliseconds(), "worth_ms": maxWait.Milliseconds()}).Info("limit_refused")
	return u, 0, refusal.New(refusal.UpstreamLimited, "upstreams of "+j.service.Name+" are at their rate limits").WithRetryAfter(back)
}

// waitInterrupted returns the refusal of a request whose context ended while it waited.
func waitInterrupted(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return refusal.New(refusal.CallerGone, "the caller disconnected while the request waited for an upstream")
	}
	return refusal.New(refusal.Deadline, "the deadline passed before an upstream was available")
}

// soonest returns the limited upstream that is available first, and in how long.
func (r *Relay) soonest(j *job) (soonest picker.Choice, in time.Duration, found bool) {
	now := time.Now()
	want := j.want()
	want.All = true
	for _, c := range r.Picker.Ranked(now, want) {
		if _, limited := r.Limiter.Limit(c.Upstream.ID); !limited || c.Held {
			continue
		}
		if used := r.Limiter.UsedUp(now, c.Upstream.ID); !found || used < in {
			soonest, in, found = c, used, true
		}
	}
	return soonest, in, found
}

// maxWait returns how long a request may wait for an upstream: until it would miss its
// aim. A request that would miss it anyway, and is too old for its caller to retry in
// time, may wait up to the aim once more, within its deadline. Longer reservations would
// make new requests miss their aims.
func (r *Relay) maxWait(j *job) time.Duration {
	if j.noWait {
		return 0
	}
	now := time.Now()
	usual := minTimeLeft
	if r.sharesPlaces(j) {
		usual = max(usual, r.Places.AnswerTime(now, j.service))
	}
	age, left := now.Sub(j.req.Arrived), j.deadline.Sub(now)-usual
	inTime := j.route.Aim - age - usual
	if inTime <= 0 && age > j.route.Aim/youngAgeDivisor {
		inTime = j.route.Aim
	}
	return max(min(inTime, left), 0)
}
