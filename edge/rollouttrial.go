package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/canary/counts"
	"petrelstep/canary/orders"
	"petrelstep/canary/trialorder"
	"petrelstep/fleet"
	"petrelstep/peer/roundtrip"
	"petrelstep/wire"
)

// FirstUpstream implements relay.Rollouts: it returns the upstream of an ordered release that gets
// requests first, in the trial and in the cutover; empty if there is none.
func (r *rolloutControl) FirstUpstream(service string) string {
	if !r.counts.Active(service) {
		return ""
	}
	o, _ := r.orders.Of(service)
	if o.State != orders.Running {
		return ""
	}
	return o.Upstream
}

// trialUpstream returns the upstream of the ordered release that all boxes send drawn requests to
// first, by the requests that it has had, and logs a change. Only the sums know these: boxes that
// choose for themselves divide a trial among as many upstreams as there are views of the fleet.
func (r *rolloutControl) trialUpstream(now time.Time, o orders.Order, sum []wire.ReleaseCounts) string {
	sent := sentByUpstream(sum)
	rank := r.keysRank(now)
	var list []trialorder.Upstream
	for _, u := range r.candidateUpstreams(o) {
		list = append(list, trialorder.Upstream{ID: u.ID, Sent: sent[u.ID], Rank: rank(u), Cold: u.ColdUntil.After(now)})
	}
	first := trialorder.First(int64(o.Version), list)
	if first != o.Upstream {
		r.log.WithFields(logrus.Fields{
			"service": o.Service, "order": o.Version, "upstream": first, "before": o.Upstream, "sent": sent[first], "sent_before": sent[o.Upstream],
			"upstreams": len(list),
		}).Info("rollout_trial_upstream")
	}
	return first
}

// sentByUpstream returns the requests to the upstreams of the ordered release, by id.
func sentByUpstream(sum []wire.ReleaseCounts) map[string]int {
	sent := map[string]int{}
	for _, w := range sum {
		if w.Candidate {
			sent[w.Upstream] += w.Sent
		}
	}
	return sent
}

// wayMaxAge is how long a measured way to another region is used.
const wayMaxAge = time.Second

// way is the time that a message takes to another region and back.
type way struct {
	roundTrip time.Duration
	known     bool
	at        time.Time
}

// withoutWay returns the result of a request to an upstream in another region without the way
// there, as it is compared with those of upstreams nearby. Where no call to a box of that region
// was measured, the times of a plain service say nothing; those of engines are much longer than
// the way.
func (r *rolloutControl) withoutWay(now time.Time, u fleet.Upstream, result counts.Result) counts.Result {
	to := r.wayTo(now, u.Hall)
	if !to.known {
		s, _ := r.service(u.Service)
		result.Cold = result.Cold || s.Engine == nil
		return result
	}
	if result.First > 0 {
		result.First = max(result.First-to.roundTrip, 1)
	}
	return result
}

// longestWayTo returns the way to the region of a hall, the longest that is possible if none was
// measured.
func (r *rolloutControl) longestWayTo(now time.Time, hall string) time.Duration {
	if to := r.wayTo(now, hall); to.known {
		return to.roundTrip
	}
	return roundtrip.Max
}

// wayTo returns the way to the region of a hall: the shortest round trip to one of its boxes.
func (r *rolloutControl) wayTo(now time.Time, hall string) way {
	region, _ := r.regions.Region(hall)
	r.mu.Lock()
	to, cached := r.ways[region]
	r.mu.Unlock()
	if cached && now.Sub(to.at) < wayMaxAge {
		return to
	}
	to = way{at: now}
	for _, b := range r.members.All(now) {
		if of, _ := r.regions.Region(b.Hall); of != region {
			continue
		}
		if took, known := r.peers.RoundTrip(b.Address); known && (!to.known || took < to.roundTrip) {
			to.roundTrip, to.known = took, true
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ways[region] = to
	return to
}

// candidateUpstreams returns the upstreams of an ordered release that take requests.
func (r *rolloutControl) candidateUpstreams(o orders.Order) []fleet.Upstream {
	if !o.InCutover() {
		return r.fleet.Trial(o.Service)
	}
	var list []fleet.Upstream
	for _, u := range r.fleet.Serving(o.Service) {
		if u.Release == o.Target {
			list = append(list, u)
		}
	}
	return list
}

// keysRank returns the rank of an upstream: those that more keys may use go first, as the requests of
// all others could not be tried there.
func (r *rolloutControl) keysRank(now time.Time) func(u fleet.Upstream) int {
	table, _, _ := r.routes.Current(now)
	ranks := map[string]int{} // by region
	return func(u fleet.Upstream) int {
		region, _ := r.regions.Region(u.Hall)
		if _, known := ranks[region]; !known && table != nil {
			ranks[region] = -table.KeysAllowed(region)
		}
		return ranks[region]
	}
}
