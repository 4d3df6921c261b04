package edge

import (
	"time"

	"petrelstep/canary/decider"
	"petrelstep/canary/orders"
	"petrelstep/fleet"
	"petrelstep/platform/rollouts"
)

// spreadTime is how long requests still go to a candidate after the decision to roll it back.
const spreadTime = time.Second

// situation returns what this box knows of an order.
func (r *rolloutControl) situation(now time.Time, o orders.Order) decider.Situation {
	t, rows := r.trial(o), r.rows.Of(o)
	_, named := r.service(o.Service)
	s := decider.Situation{
		Now: now, Order: o, RowsRead: rows.Read, Refused: rows.Refused, StatusRunning: rows.StatusRunning, StatusMissing: rows.StatusMissing, OutcomeLost: rows.OutcomeLost, KnownFor: now.Sub(t.seenAt),
		KnownService: named || now.Sub(t.seenAt) < unknownServiceDelay,
		Holder:       rows.Holder == r.self(), HolderInTouch: r.inTouch(now, o, rows.Holder),
		FleetKnown:     r.fleetIsCurrent(now),
		CandidateSlots: slots(now, r.fleet.Trial(o.Service)),
		BaselineSlots:  slots(time.Time{}, r.fleet.Serving(o.Service)),
		Boxes:          r.boxesInTouch(),
	}
	inService := r.isInService(o)
	if o.InCutover() || inService {
		s.CandidateSlots = slots(now, r.fleet.Serving(o.Service))
	}
	if o.InCutover() || o.State == orders.Ordered { // those of closed halls too
		s.BaselineSlots = slots(time.Time{}, r.fleet.OtherReleases(o.Service, o.Target))
	}
	lost := ""
	if !s.HolderInTouch {
		lost = rows.Holder.Name
	}
	s.First = r.isFirstReader(now, o.Service, lost)
	s.Running, s.Reporting = r.reporting(now, o)
	r.mu.Lock()
	defer r.mu.Unlock()
	s.PhaseSince, s.Cutover = t.phaseSince, t.plan.Cutover
	s.Exceeded = float64(t.candidate)+t.plan.Rate*spreadTime.Seconds() > r.bounds().Limit(t.sent)
	switch {
	case inService:
		s.TrialFor = o.Duration // nothing is drawn for it
	case !t.sharing.IsZero():
		s.TrialFor = now.Sub(t.sharing)
	}
	if !t.badSince.IsZero() {
		s.BadFor = now.Sub(t.badSince) + 1
	}
	quiet := float64(t.sent) <= r.bounds().Slack // all of these could go to the candidate within the bound
	s.Sufficient = quiet || inService || t.verdict.Sufficient()
	s.Suspicion = t.verdict.Suspicion()
	return s
}

// reporting returns how many requests run at the baseline, and the number of boxes that
// have reported lately: none just after a suspension of this one.
func (r *rolloutControl) reporting(now time.Time, o orders.Order) (running, boxes int) {
	running, boxes = r.counts.Running(now, o.Service)
	if r.IsLargeFleet() {
		boxes = r.loads.Boxes(now) + 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.wokeAt) < wakeDelay {
		boxes = 0
	}
	return running, boxes
}

// reported reports whether enough boxes have reported for the sums to count.
func (r *rolloutControl) reported(now time.Time, o orders.Order) bool {
	_, boxes := r.reporting(now, o)
	return decider.Reported(boxes, r.boxesInTouch())
}

func (r *rolloutControl) boxesInTouch() int { return r.Count() - r.members.CountLeaving() }

// slots returns the slots of upstreams that are warm at a time.
func slots(now time.Time, list []fleet.Upstream) int {
	sum := 0
	for _, u := range list {
		if now.IsZero() || !u.ColdUntil.After(now) {
			sum += u.Slots
		}
	}
	return sum
}

func (r *rolloutControl) fleetIsCurrent(now time.Time) bool {
	age, known := r.fleet.Age(now)
	return known && age <= maxFleetAge
}

// inTouch reports whether the box that wrote an order's phase still decides: this
// incarnation of it was heard from recently, reads the store and sends shares.
func (r *rolloutControl) inTouch(now time.Time, o orders.Order, box rollouts.Box) bool {
	if box == r.self() {
		return true
	}
	if box.Name != "" && !r.heardWithin(now, box.Name, seenMaxAge) && r.wasIsolated(now) {
		return true
	}
	t := r.trial(o)
	r.mu.Lock()
	sharing := now.Sub(o.ShareAt) < deciderMaxAge || now.Sub(t.phaseSince) < deciderMaxAge
	r.mu.Unlock()
	if box.Name == "" || !sharing || !r.mayDecide(now, box.Name) || !r.heardWithin(now, box.Name, deciderMaxAge) {
		return false
	}
	for _, b := range r.members.All(now) {
		if b.Name == box.Name {
			return b.Incarnation == box.Incarnation
		}
	}
	return false
}

func (r *rolloutControl) heardWithin(now time.Time, box string, age time.Duration) bool {
	r.Edge.mu.Lock()
	defer r.Edge.mu.Unlock()
	return now.Sub(r.lastSeen[box]) < age
}

// wasIsolated reports whether this box has lately heard from no other: it cannot know yet
// whether the box that decides is lost.
func (r *rolloutControl) wasIsolated(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.isolatedAt) < deciderMaxAge
}

// recordIsolation records whether this box hears from any other.
func (r *rolloutControl) recordIsolation(now time.Time) {
	r.Edge.mu.Lock()
	heard := false
	for _, at := range r.lastSeen {
		heard = heard || now.Sub(at) < seenMaxAge
	}
	r.Edge.mu.Unlock()
	if heard {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isolatedAt = now
}
