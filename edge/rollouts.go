package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/canary/arrivals"
	"petrelstep/canary/counts"
	"petrelstep/canary/orders"
	"petrelstep/canary/share"
	"petrelstep/config"
	"petrelstep/distance"
	"petrelstep/fleet"
	"petrelstep/platform/rollouts"
	"petrelstep/platform/store"
	"petrelstep/relay"
	"petrelstep/revision"
)

const (
	// rollbackTime is how long a bad release may still be sent requests after its 50th bad
	// answer: reports, the verdict's wait for the baseline's, the write and its spread. A
	// deployment that requires less is warned.
	rollbackTime = 4 * time.Second
	// newReleaseHold is how long a release that appears beside another one waits for an
	// order.
	newReleaseHold = 2 * time.Second
	// pendingHold is how long the target of an order whose status is not known is not
	// served beside other releases.
	pendingHold = 2 * time.Second
	// maxUntoldTime is how long a change takes at most until every box in touch knows it.
	maxUntoldTime = 2 * time.Second
	// liftDelay is how long a service must have had only upstreams of excluded releases, or
	// none of them, before they are no longer excluded.
	liftDelay = 2 * time.Second
)

// rolloutControl serves the operator's orders to move services to other releases. A nil
// *rolloutControl is one that is disabled.
type rolloutControl struct {
	*Edge
	orders   *orders.Orders
	rows     *rollouts.Rollouts
	counts   *counts.Counts
	arrivals *arrivals.Arrivals
	sampler  *share.Sampler

	applying sync.Mutex // serializes apply

	mu         sync.Mutex
	changes    []orderChange
	trials     map[string]*trialState       // by service
	liftSince  map[string]time.Time         // since when a service has no reason to exclude releases
	pending    map[string]time.Time         // since when the status of an order is not known
	inService  map[string]revision.Revision // orders for the only release that takes requests, by service
	unread     bool                         // the rows have to be read
	readAt     time.Time                    // of the last attempt
	isolatedAt time.Time                    // when no other box was last heard from
	failing    bool                         // the store has not answered the last call
	retryAt    time.Time                    // no call is made before
	wokeAt     time.Time                    // end of the last suspension
	ways       map[string]way               // to other regions

	standbyDecides bool // this box may decide in place of the readers
}

// orderChange is a change of an order to be applied.
type orderChange struct {
	before, after orders.Order
	source        string
}

// newRolloutControl returns the control of roll-outs, or nil if disabled.
func newRolloutControl(e *Edge, s rollouts.Store) *rolloutControl {
	if e.config.Edge.Rollout == nil {
		return nil
	}
	r := &rolloutControl{
		Edge: e, counts: counts.New(), arrivals: arrivals.New(), sampler: share.NewSampler(),
		trials: map[string]*trialState{}, liftSince: map[string]time.Time{}, pending: map[string]time.Time{}, inService: map[string]revision.Revision{}, ways: map[string]way{},
	}
	if bound := config.Millis(e.config.Edge.Rollout.RollbackMs); bound < rollbackTime {
		e.log.WithFields(logrus.Fields{"rollback_ms": bound.Milliseconds(), "least_ms": rollbackTime.Milliseconds()}).Warn("rollout_bound_too_short")
	}
	r.orders = orders.New(r.onOrderChange)
	r.rows = rollouts.New(s, r.orders, e.metrics, e.log)
	e.fleet.HoldNewReleases(newReleaseHold)
	e.configuration.Follow(r)
	return r
}

// relayRollouts returns the control as the relay uses it, nil if disabled.
func (e *Edge) relayRollouts() relay.Rollouts {
	if e.rollouts == nil {
		return nil
	}
	return e.rollouts
}

// onOrderChange records a change, which apply handles.
func (r *rolloutControl) onOrderChange(before, after orders.Order, source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, orderChange{before, after, source})
}

// Replace implements manifest.OperatorRows.
func (r *rolloutControl) Replace(now time.Time, list []store.Row, version revision.Revision) {
	r.rows.ReplaceSince(now, r.knownAsOf(now), list, version)
	r.readAgain()
	r.apply(now)
}

// knownAsOf returns the time as of which this box knew the orders before a listing; now if it knew none.
func (r *rolloutControl) knownAsOf(now time.Time) time.Time {
	age, known := r.routes.Age(now)
	if !known {
		return now
	}
	return now.Add(-min(age, maxUntoldTime))
}

// Update implements manifest.OperatorRows.
func (r *rolloutControl) Update(now time.Time, list []store.Row) {
	r.rows.Update(now, list)
	r.readAgain()
	r.apply(now)
}

// readAgain has the rows read at once if an order is active. An order that was known from a
// peer before is not decided about until its rows were read after the order itself.
func (r *rolloutControl) readAgain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unread = true
}

// apply puts changed orders in force.
func (r *rolloutControl) apply(now time.Time) {
	r.applying.Lock()
	defer r.applying.Unlock()
	r.mu.Lock()
	changes := r.changes
	r.changes = nil
	r.mu.Unlock()
	for _, c := range changes {
		r.applyChange(now, c)
	}
	known := map[string]bool{}
	for _, o := range r.orders.Newest() {
		known[o.Service] = true
		releases := r.releases(now, o)
		r.fleet.SetReleases(now, o.Service, releases)
		if !o.Active() && len(releases.Except) > 0 {
			r.liftExclusion(now, o)
		}
	}
	r.holdPending(now, known)
}

// applyChanges applies changed orders, if there are any.
func (r *rolloutControl) applyChanges(now time.Time) {
	r.mu.Lock()
	changed := len(r.changes) > 0
	r.mu.Unlock()
	if changed {
		r.apply(now)
	}
}

// applyPending applies the orders whose status is not known to upstreams that have become
// known.
func (r *rolloutControl) applyPending(now time.Time) {
	if r != nil && len(r.rows.Pending(now)) > 0 {
		r.apply(now)
	}
}

// applyChange counts for an order as long as it is active, and logs its progress.
func (r *rolloutControl) applyChange(now time.Time, c orderChange) {
	o := c.after
	log := r.log.WithFields(logrus.Fields{"service": o.Service, "order": o.Version, "target": o.Target, "source": c.source})
	if o.RemovedOrder != 0 {
		log = log.WithField("removed_order", o.RemovedOrder)
	}
	isNew := c.before.Identity() != o.Identity()
	if !isNew && c.before.Version != o.Version {
		log.WithFields(logrus.Fields{"before": c.before.Version, "state": o.State}).Info("rollout_order_restored")
		r.counts.Continue(o.Service, int(o.Version))
	}
	if isNew && o.State != orders.Withdrawn {
		log.WithField("state", o.State).Info("rollout_ordered")
		r.mu.Lock()
		r.trials[o.Service] = r.newTrial(now, o)
		r.mu.Unlock()
	}
	if isNew {
		delete(r.liftSince, o.Service)
		r.recordInService(now, c.before, o)
		r.mu.Lock()
		r.unread = true
		r.mu.Unlock()
	}
	if o.Active() {
		r.counts.Begin(o.Service, int(o.Version), o.Target)
		if isNew {
			r.counts.SetBefore(o.Service, int(o.Version), r.arrivals.Of(now, o.Service))
		}
	} else {
		r.counts.End(o.Service)
	}
	if o.Active() && (c.before.Phase != o.Phase || c.before.Decider != o.Decider || isNew) && o.Phase != orders.NoPhase {
		t := r.trial(o)
		r.mu.Lock()
		t.phaseSince = now
		r.mu.Unlock()
		log.WithFields(logrus.Fields{"phase": o.Phase, "decider": o.Decider}).Info("rollout_phase")
	}
	if o.InCutover() || o.State == orders.Completed {
		r.orders.Retire(o.Service, o.Version, r.otherReleases(o))
	}
	if !o.Active() && c.before.State != o.State {
		r.metrics.RolloutEnded(o.Service, string(o.State))
		log.WithField("outcome", o.State).Warn("rollout_ended")
	}
}

// recordInService records whether the target of a new order is the only release that takes
// requests of the service already. The order must not keep it from being served.
func (r *rolloutControl) recordInService(now time.Time, before, o orders.Order) {
	_, complete := r.fleet.Age(now)
	list := r.fleet.Serving(o.Service)
	other := slices.ContainsFunc(list, func(u fleet.Upstream) bool { return u.Release != o.Target })
	again := before.InCutover() && before.Target == o.Target && len(r.fleet.OtherReleases(o.Service, o.Target)) > 0
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inService, o.Service)
	if complete && len(list) > 0 && !other && !again {
		r.inService[o.Service] = o.Identity()
	}
}

// isInService reports whether the target of an order was the only release that took
// requests when this box learned of the order.
func (r *rolloutControl) isInService(o orders.Order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	identity, only := r.inService[o.Service]
	return only && identity == o.Identity()
}

// releases returns which releases of an order's service take requests.
func (r *rolloutControl) releases(now time.Time, o orders.Order) fleet.Releases {
	policy := fleet.Releases(r.orders.Releases(now, o.Service))
	if r.isInService(o) {
		policy.Trial = ""
		policy.Except = slices.DeleteFunc(policy.Except, func(release string) bool { return release == o.Target })
	}
	return policy
}

// otherReleases returns the releases of a service's upstreams but the ordered one.
func (r *rolloutControl) otherReleases(o orders.Order) []string {
	var names []string
	for _, u := range r.fleet.OtherReleases(o.Service, o.Target) {
		names = append(names, u.Release)
	}
	return names
}

// liftExclusion ends the exclusion of releases some time after an order has ended: once a
// service has had no other upstreams, so that they were replaced without an order, or no
// upstream of the target, so that later ones are deployed without one.
func (r *rolloutControl) liftExclusion(now time.Time, o orders.Order) {
	open := r.fleet.OtherReleases(o.Service, "")
	alone := len(open) > 0 && len(r.fleet.Serving(o.Service)) == 0
	gone := o.State != orders.Completed && !slices.ContainsFunc(open, func(u fleet.Upstream) bool { return u.Release == o.Target })
	if !alone && !gone {
		delete(r.liftSince, o.Service)
		return
	}
	since, known := r.liftSince[o.Service]
	if !known {
		r.liftSince[o.Service] = now
		return
	}
	if now.Sub(since) < liftDelay || !r.orders.Lift(now, o.Service) {
		return
	}
	r.log.WithFields(logrus.Fields{"service": o.Service, "order": o.Version, "target": o.Target, "alone": alone}).Warn("rollout_exclusion_ended")
	r.fleet.SetReleases(now, o.Service, fleet.Releases(r.orders.Releases(now, o.Service)))
}

// holdPending keeps the target of an order whose status is not known from being served
// beside other releases for some time. Beside an earlier order of the service, that one's
// releases stay in force.
func (r *rolloutControl) holdPending(now time.Time, known map[string]bool) {
	waiting := map[string]bool{}
	for _, o := range r.rows.Pending(now) {
		waiting[o.Service] = true
		since := r.pendingSince(now, o.Service)
		if known[o.Service] {
			continue
		}
		policy := fleet.Releases{}
		if now.Sub(since) < pendingHold && len(r.fleet.OtherReleases(o.Service, o.Target)) > 0 {
			policy.Trial = o.Target
		}
		r.fleet.SetReleases(now, o.Service, policy)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for service := range r.pending {
		if waiting[service] {
			continue
		}
		delete(r.pending, service)
		if !known[service] {
			r.fleet.SetReleases(now, service, fleet.Releases{})
		}
	}
}

// pendingSince returns since when the status of a service's order is not known.
func (r *rolloutControl) pendingSince(now time.Time, service string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, held := r.pending[service]
	if !held {
		r.pending[service], since = now, now
	}
	return since
}

// Drawn implements relay.Rollouts: it reports whether a request goes to the candidate.
func (r *rolloutControl) Drawn(now time.Time, service, route, request string) bool {
	if !r.counts.Active(service) {
		return false
	}
	o, _ := r.orders.Of(service)
	drawn := o.State == orders.Running && o.Phase == orders.Trial && r.sampler.Drawn(o.ShareOf(route), now.Sub(o.ShareAt), service+" "+route, request)
	if drawn {
		r.metrics.RolloutDrawn(service)
	}
	return drawn
}

// Sent implements relay.Rollouts: it counts a request that is sent to an upstream.
func (r *rolloutControl) Sent(now time.Time, service, route string, u fleet.Upstream, resumed bool) (ended func(now time.Time, result counts.Result)) {
	r.arrivals.Add(now, service, route)
	if !r.counts.Active(service) {
		return nil
	}
	far, arrives := r.regions.Between(r.config.Hall, u.Hall) == distance.Elsewhere, now
	if far {
		arrives = now.Add(r.longestWayTo(now, u.Hall))
	}
	if resumed { // its first event waits for the copy
		arrives = time.Time{}
	}
	record := r.counts.Sent(arrives, service, route, u)
	if record == nil {
		return nil
	}
	if o, _ := r.orders.Of(service); o.Target == u.Release {
		r.metrics.RolloutSent(service)
	}
	if !far {
		return record
	}
	return func(now time.Time, result counts.Result) { record(now, r.withoutWay(now, u, result)) }
}

// addSuspension ages what is known by the time that the machine was suspended.
func (r *rolloutControl) addSuspension(suspended time.Duration) {
	if r == nil {
		return
	}
	r.orders.AddSuspension(suspended)
	r.rows.Forget(time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wokeAt, r.unread = time.Now(), true
}
