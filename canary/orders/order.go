package orders

import (
	"time"

	"petrelstep/revision"
	"petrelstep/wire"
)

// State is the state of an order.
type State string

// The states. The last three are final.
const (
	Ordered    State = "ordered"     // no status is written yet
	Running    State = "running"     // in one of the phases
	Completed  State = "completed"   // the target is the release in service
	RolledBack State = "rolled_back" // the target gets nothing
	Withdrawn  State = "withdrawn"   // the operator removed or replaced the order before its end
)

// Phase is a phase of a running order.
type Phase string

// The phases.
const (
	NoPhase Phase = ""
	Trial   Phase = "trial"   // a share of the requests goes to the target
	Cutover Phase = "cutover" // all requests go to the target
)

// Order is what is known of an order to move a service's requests to upstreams of another
// release. Values are immutable.
type Order struct {
	Service       string
	Target        string            // the ordered release
	Version       revision.Revision // of the order's row in the store, or of its removal
	RemovedOrder  revision.Revision // version of the order's row if Version is that of its removal; 0 if unknown
	Duration      time.Duration     // 0 if unknown or invalid
	State         State
	StatusVersion revision.Revision // of the row with the state; 0 without one
	Phase         Phase
	PhaseVersion  revision.Revision // of the row with the phase; 0 without one
	Decider       string            // the box that wrote the phase
	Limit         time.Time         // when the duration is over; zero if unknown
	SharePPM      int               // share of the requests for the target in the trial, in millionths
	Upstream      string            // of the target, which gets drawn requests first; empty if unknown
	Route         string            // the only one whose requests are drawn; empty for all
	RoutePPM      int               // share of that route's requests, in millionths
	ShareAt       time.Time         // when the decider set the share, the upstream and the route

	first revision.Revision // Version before the store was restored; 0 if it was not
}

// Active reports whether the order has no outcome yet.
func (o Order) Active() bool { return o.State == Ordered || o.State == Running }

// InCutover reports whether all requests go to the target while there is no outcome.
func (o Order) InCutover() bool { return o.State == Running && o.Phase == Cutover }

// WithStatus returns the order in a state that a row of the given version holds.
func (o Order) WithStatus(s State, version revision.Revision) Order {
	o.State, o.StatusVersion = s, version
	return o
}

// WithRemoval returns the order withdrawn, as of the version in which its row was gone.
func (o Order) WithRemoval(version revision.Revision) Order {
	if o.State != Withdrawn {
		o.RemovedOrder = o.Version
	}
	o.Version, o.State = version, Withdrawn
	return o
}

// ownVersion returns the version of the order's own row, 0 if it is unknown.
func (o Order) ownVersion() revision.Revision {
	if o.RemovedOrder == 0 && o.State != Withdrawn {
		return o.Version
	}
	return o.RemovedOrder
}

// isSameAs reports whether this is known to be the same order, maybe in another state.
func (o Order) isSameAs(other Order) bool {
	own := o.ownVersion()
	return own != 0 && own == other.ownVersion()
}

// isNewerThan reports whether this is a later order, or a later removal of the same one. The versions of
// the orders themselves decide where they are known: a removal that was read from a listing may be later
// than orders that the box never knew.
func (o Order) isNewerThan(other Order) bool {
	own, others := o.ownVersion(), other.ownVersion()
	if own != 0 && others != 0 && own != others {
		return own > others
	}
	return o.Version > other.Version
}

// standsAfter reports whether the order's row stands in a later era of the store than that of its removal.
func (o Order) standsAfter(removed Order) bool {
	return removed.State == Withdrawn && o.isSameAs(removed) && o.Active() && o.Version.Era() > removed.Version.Era()
}

// withKnownRemoval returns the order as it is known beside an earlier one that was removed: if the
// removal was read as of a version after this order too, its row is gone as well.
func (o Order) withKnownRemoval(earlier Order) Order {
	if earlier.RemovedOrder == 0 || o.Version >= earlier.Version {
		return o
	}
	if o.Active() {
		return o.WithRemoval(earlier.Version)
	}
	o.RemovedOrder, o.Version = o.ownVersion(), earlier.Version
	return o
}

// removes reports whether this is the removal of an order, and not that of a later one with the same
// target.
func (o Order) removes(before Order) bool {
	if o.State != Withdrawn || o.Target != "" && o.Target != before.Target {
		return false
	}
	own := before.ownVersion()
	return own == 0 || o.RemovedOrder <= own
}

// isOutcomeOf reports whether this is the outcome of an order that counts as withdrawn, and not that of
// an earlier one with the same target.
func (o Order) isOutcomeOf(withdrawn Order) bool {
	if withdrawn.State != Withdrawn || o.Target != withdrawn.Target || o.Active() || o.State == Withdrawn {
		return false
	}
	return o.isSameAs(withdrawn) || withdrawn.RemovedOrder == 0 && o.State == Completed
}

// WithPhase returns the order in a phase that a row of the given version holds.
func (o Order) WithPhase(p Phase, version revision.Revision, decider string) Order {
	o.Phase, o.PhaseVersion, o.Decider = p, version, decider
	return o
}

// WithShare returns the order with a share that the decider set at a time.
func (o Order) WithShare(ppm int, at time.Time) Order {
	o.SharePPM, o.ShareAt = ppm, at
	return o
}

// WithUpstream returns the order with the upstream that gets drawn requests first, set with the
// share.
func (o Order) WithUpstream(id string) Order {
	o.Upstream = id
	return o
}

// WithRoute returns the order with the only route whose requests are drawn and their share, set with
// the share of all requests.
func (o Order) WithRoute(route string, ppm int) Order {
	o.Route, o.RoutePPM = route, ppm
	return o
}

// ShareOf returns the share of a route's requests for the target, in millionths.
func (o Order) ShareOf(route string) int {
	switch o.Route {
	case "":
		return o.SharePPM
	case route:
		return o.RoutePPM
	}
	return 0
}

// WithLimit returns the order with its time limit.
func (o Order) WithLimit(limit time.Time) Order {
	o.Limit = limit
	return o
}

// merge returns the newest of two states of the same order. Rows are compared by their
// versions, and the share by its age among those of one phase row.
func (o Order) merge(u Order) Order {
	if o.Target == "" {
		o.Target = u.Target
	}
	if o.Duration == 0 {
		o.Duration = u.Duration
	}
	if o.Limit.IsZero() {
		o.Limit = u.Limit
	}
	o.RemovedOrder = max(o.RemovedOrder, u.RemovedOrder)
	if u.StatusVersion != 0 && !o.keepsState(u) {
		o = o.WithStatus(u.State, u.StatusVersion)
	}
	cutover := o.Phase == Cutover || u.Phase == Cutover // an older copy of the store may lack it
	if u.PhaseVersion > o.PhaseVersion {
		o = o.WithPhase(u.Phase, u.PhaseVersion, u.Decider)
	}
	if cutover {
		o.Phase = Cutover
	}
	if u.PhaseVersion == o.PhaseVersion && u.ShareAt.After(o.ShareAt) {
		o = o.WithShare(u.SharePPM, u.ShareAt).WithUpstream(u.Upstream).WithRoute(u.Route, u.RoutePPM)
	}
	return o
}

// Word returns the order for other boxes.
func (o Order) Word(now time.Time) wire.RolloutWord {
	w := wire.RolloutWord{
		Service: o.Service, Order: int(o.Version), RemovedOrder: int(o.RemovedOrder), Target: o.Target, State: wire.RolloutWordState(o.State), StatusVersion: int(o.StatusVersion),
		Phase: string(o.Phase), PhaseVersion: int(o.PhaseVersion), Decider: o.Decider,
	}
	if !o.Limit.IsZero() {
		w.LeftMs = int(o.Limit.Sub(now).Milliseconds())
	}
	if !o.ShareAt.IsZero() {
		w.SharePpm, w.ShareAgeMs, w.Upstream = o.SharePPM, int(now.Sub(o.ShareAt).Milliseconds())+1, o.Upstream
		w.Route, w.RoutePpm = o.Route, o.RoutePPM
	}
	return w
}

// FromWord returns the order in another box's answer to a call sent at a time.
func FromWord(sent time.Time, w wire.RolloutWord) Order {
	o := Order{
		Service: w.Service, Version: revision.Revision(w.Order), RemovedOrder: revision.Revision(w.RemovedOrder), Target: w.Target, State: State(w.State), StatusVersion: revision.Revision(w.StatusVersion),
		Phase: Phase(w.Phase), PhaseVersion: revision.Revision(w.PhaseVersion), Decider: w.Decider,
	}
	if w.LeftMs != 0 {
		o.Limit = sent.Add(time.Duration(w.LeftMs) * time.Millisecond)
	}
	if w.ShareAgeMs > 0 {
		o = o.WithShare(w.SharePpm, sent.Add(-time.Duration(w.ShareAgeMs)*time.Millisecond)).WithUpstream(w.Upstream).WithRoute(w.Route, w.RoutePpm)
	}
	return o
}
