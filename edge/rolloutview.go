package edge

import (
	"time"

	"petrelstep/canary/orders"
	"petrelstep/wire"
)

// view returns the roll-outs as this box sees them. Sums and evidence are those of a
// reader.
func (r *rolloutControl) view(now time.Time) []wire.RolloutView {
	list := []wire.RolloutView{}
	if r == nil {
		return list
	}
	for _, o := range r.orders.Newest() {
		v := wire.RolloutView{Service: o.Service, Target: o.Target, State: string(o.State), Phase: string(o.Phase), Decider: o.Decider}
		if o.Active() && !o.Limit.IsZero() {
			v.LeftMs = int(o.Limit.Sub(now).Milliseconds())
		}
		if o.State == orders.Running && o.Phase == orders.Trial {
			v.SharePpm = o.SharePPM
		}
		r.mu.Lock()
		if t, known := r.trials[o.Service]; known && t.order == o.Identity() {
			v.Sent, v.SentCandidate, v.WaitsFor = t.sent, t.candidate, string(t.waits)
			v.Bound, v.Evidence = int(r.bounds().Limit(t.sent)), t.verdict.Evidence()
		}
		r.mu.Unlock()
		list = append(list, v)
	}
	return list
}
