// Package reconcile brings the engines of one hall to their declared state. Only
// the holder of the hall's lease sends orders, each with the lease's fence.
package reconcile

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/resource"
	"petrelstep/rollout"
	"petrelstep/wire"
)

// roundsPerLease is the number of rounds, each with a renewal, per lease duration.
const roundsPerLease = 4

// maxReportAge is the maximum age of a load report to plan by. Boxes other than
// the engine's home box get a report up to 4 s late, or 8 s if a heartbeat is
// lost.
const maxReportAge = 10 * time.Second

// Lease is the hall's lease.
type Lease interface {
	RenewOrAcquire(ctx context.Context) error
	Held(now time.Time) (fence int, left time.Duration)
	Release(ctx context.Context) error
}

// Loads returns the engines' last reports.
type Loads interface {
	Fresh(now time.Time, engine string, within time.Duration) (wire.EngineLoad, bool)
}

// Engines sends orders to engines.
type Engines interface {
	Order(ctx context.Context, address string, o wire.EngineOrder) (wire.OrderAnswer, error)
}

// Timer calls a function each period.
type Timer interface {
	Every(ctx context.Context, name string, period time.Duration, f func(now time.Time))
}

// Reconciler reconciles the engines of one hall.
type Reconciler struct {
	hall      string
	lease     Lease
	resources *resource.Resources
	loads     Loads
	engines   Engines
	timeout   time.Duration // of an order
	duration  time.Duration // of the lease
	log       *logrus.Entry
}

// New returns a reconciler for a hall.
func New(hall string, l Lease, r *resource.Resources, loads Loads, engines Engines, timeout, duration time.Duration, log *logrus.Entry) *Reconciler {
	return &Reconciler{
		hall: hall, lease: l, resources: r, loads: loads, engines: engines, timeout: timeout, duration: duration,
		log: log.WithField("hall", hall),
	}
}

// Run runs rounds until ctx ends, then releases the lease.
func (r *Reconciler) Run(ctx context.Context, timer Timer) {
	timer.Every(ctx, r.hall, r.duration/roundsPerLease, func(now time.Time) { r.Round(ctx) })
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.timeout)
	defer cancel()
	if err := r.lease.Release(release); err != nil {
		r.log.WithError(err).Warn("lease_not_released")
	}
}

// Round renews or acquires the lease and, while it is held, sends the planned
// orders.
func (r *Reconciler) Round(ctx context.Context) {
	if err := r.lease.RenewOrAcquire(ctx); err != nil {
		r.log.WithError(err).Debug("lease_not_tended")
	}
	view := r.resources.View()
	plan := rollout.New(view, r.hall, r.recentLoads(view))
	for _, step := range plan.Steps {
		if !r.send(ctx, view.Upstreams[step.Engine], step) {
			return
		}
	}
}

// send sends one order if the lease outlasts its timeout: an upstream that does
// not check fences must never get an order after a successor's.
func (r *Reconciler) send(ctx context.Context, u wire.Upstream, step rollout.Step) bool {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	fence, left := r.lease.Held(time.Now())
	if left <= r.timeout+r.duration/10 {
		return false
	}
	step.Order.Fence = fence
	answer, err := r.engines.Order(ctx, u.Address, step.Order)
	log := r.log.WithFields(logrus.Fields{"engine": step.Engine, "model": step.Order.Model, "leave": step.Order.Leave, "fence": fence, "why": step.Why})
	switch {
	case err != nil:
		log.WithError(err).Warn("order_failed")
	case !answer.Accepted:
		log.WithField("detail", answer.Detail).Warn("order_refused")
	default:
		log.Info("order_accepted")
	}
	return true
}

func (r *Reconciler) recentLoads(view *resource.View) map[string]wire.EngineLoad {
	loads := map[string]wire.EngineLoad{}
	for _, name := range view.Engines(r.hall) {
		if l, ok := r.loads.Fresh(time.Now(), name, maxReportAge); ok {
			loads[name] = l
		}
	}
	return loads
}
