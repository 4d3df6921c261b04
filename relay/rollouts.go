package relay

import (
	"context"
	"slices"
	"time"

	"petrelstep/canary/counts"
	"petrelstep/exchange"
	"petrelstep/fleet"
	"petrelstep/picker"
)

// Rollouts assigns requests to a release on trial and records what becomes of requests
// during a roll-out.
type Rollouts interface {
	// Drawn reports whether a request of a service is sent to the release on trial.
	Drawn(now time.Time, service, route, request string) bool
	// FirstUpstream returns the upstream that gets drawn requests first, and in the cutover those
	// of a plain service; empty for none.
	FirstUpstream(service string) string
	// Sent records that a request is sent to an upstream, or resumed there from a copy. The
	// returned function records the result and is called exactly once, and before for a stream
	// that goes on; nil if there is nothing to record.
	Sent(now time.Time, service, route string, u fleet.Upstream, resumed bool) (ended func(now time.Time, r counts.Result))
}

// isFirstTry reports whether the request was sent nowhere yet, by this box or, for the rest
// of a stream, by another.
func (j *job) isFirstTry() bool {
	return len(j.tried) == 0 && len(j.unreached) == 0 && j.req.After == exchange.NoEvent
}

// onTrial reports whether the request was drawn for the release of an upstream.
func (j *job) onTrial(u fleet.Upstream) bool { return j.trialUpstream != "" && j.trialUpstream == u.ID }

// placeOnTrial picks an upstream of the release on trial for the first try of a request that
// is drawn for it. It reports false if the request goes the usual way: another release
// serves its further tries, and it does not wait for an upstream on trial to have room.
func (r *Relay) placeOnTrial(ctx context.Context, j *job) (u fleet.Upstream, load float64, ok bool) {
	j.firstUpstream = ""
	if r.Rollouts == nil || !j.isFirstTry() {
		return u, 0, false
	}
	j.trialUpstream = "" // of a place that has lapsed
	j.firstUpstream = r.Rollouts.FirstUpstream(j.service.Name)
	now := time.Now()
	if !r.Rollouts.Drawn(now, j.service.Name, j.route.Name, j.req.ID) {
		return u, 0, false
	}
	c, ok := r.chooseOnTrial(now, j)
	if !ok || !r.limitAllows(ctx, j, c.Upstream.ID) || r.needsSlot(j, c.Upstream) && !r.takeSlot(ctx, j, c.Upstream, 0) {
		return u, 0, false
	}
	r.Picker.SentOnTrial(now, j.service, c.Upstream)
	j.trialUpstream = c.Upstream.ID
	return c.Upstream, c.Load, true
}

// maxExtraLoad is how many more requests an upstream on trial may run than the most loaded one
// in service, as requests come in at random.
const maxExtraLoad = 2

// chooseOnTrial returns an upstream on trial that has a free slot and, for an engine, memory for
// the request. All boxes choose the same one until it is as loaded as those in service are:
// spread over all upstreams, the few requests of a trial would make no load, and a release that
// fails under load only, or after some requests, would be found in the cutover at the earliest.
// It is the one that the deciding box names; where that one cannot take the request, the next in an
// order of this box.
func (r *Relay) chooseOnTrial(now time.Time, j *job) (picker.Choice, bool) {
	want := j.want()
	most := maxExtraLoad
	for _, c := range r.Picker.Ranked(now, want) {
		most = max(most, c.Running.Requests+maxExtraLoad)
	}
	want.Trial, want.All = true, true
	if j.service.Engine != nil {
		want.Tokens += j.remainingTokens(0)
	}
	var open []picker.Choice
	for _, c := range r.Picker.Ranked(now, want) {
		full := c.Running.Requests >= max(c.Upstream.Slots, 1) || j.service.Engine != nil && c.Load > 1
		if !c.Held && !full {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		return picker.Choice{}, false
	}
	best := open[0]
	ordered := picker.InOrder(now, open, r.trialRank(now, j))
	slices.SortStableFunc(ordered, func(a, b picker.Choice) int { return isOther(a, j.firstUpstream) - isOther(b, j.firstUpstream) })
	for _, c := range ordered {
		if c.Running.Requests < most {
			return c, true
		}
	}
	return best, true
}

// isOther returns 0 for the upstream with an id and 1 for others.
func isOther(c picker.Choice, id string) int {
	if c.Upstream.ID == id {
		return 0
	}
	return 1
}

// trialRank returns how far back an upstream on trial is in the order in which they are used. The
// way to another region takes a large part of a plain answer's time, which is compared with that
// of the release in service. For engines it does not, and those are first that most callers may
// use.
func (r *Relay) trialRank(now time.Time, j *job) func(u fleet.Upstream) int {
	if j.service.Engine == nil {
		return func(u fleet.Upstream) int {
			if r.Picker.IsFar(u) {
				return 1
			}
			return 0
		}
	}
	table, _, _ := r.Routes.Current(now)
	ranks := map[string]int{}
	return func(u fleet.Upstream) int {
		region, _ := r.Picker.Regions.Region(u.Hall)
		if _, known := ranks[region]; !known && table != nil {
			ranks[region] = -table.KeysAllowed(region)
		}
		return ranks[region]
	}
}

// limitAllows reports whether the limit that a plain upstream announces allows one more
// request now. The limits of engines are among the picker's criteria.
func (r *Relay) limitAllows(ctx context.Context, j *job, upstream string) bool {
	if r.Limiter == nil || j.service.Engine != nil {
		return true
	}
	if _, limited := r.Limiter.Limit(upstream); !limited {
		return true
	}
	return r.Limiter.UsedUp(time.Now(), upstream) == 0 && r.Limiter.Take(ctx, j.limitRequest(upstream, 0)).Granted
}

// acceptsRequest reports whether a picked upstream takes the request still.
func (r *Relay) acceptsRequest(j *job, u fleet.Upstream) bool {
	if j.onTrial(u) {
		return r.Fleet.Takes(u.ID)
	}
	return r.Fleet.Serves(u.ID)
}
