// Package decider decides how an order to move a service to another release goes on. It
// is a function of what one box knows; the box that decides writes the result to the
// store under conditions, so that boxes that disagree have one outcome.
package decider

import (
	"time"

	"petrelstep/canary/orders"
)

const (
	// lastWrite is how long before the limit the order is completed at the latest, so
	// that the write can be repeated. It is at most lastWriteFraction of the order's duration,
	// which is half of the longest cutover.
	lastWrite         = 500 * time.Millisecond
	lastWriteFraction = 8
	// minCutoverFraction is the part of the planned cutover that must be left, as boxes have to
	// learn of it and move their runs before the last write.
	minCutoverFraction = 2
	// minCutover is the time in the cutover before which the order is not completed
	// early. It exceeds the age up to which reports of boxes count, so that each box has
	// reported since, and was answered with the cutover.
	minCutover = 2 * time.Second
	// minTrial is how long the deciding box must have sent requests to the candidate before
	// the cutover, at most minTrialFraction of the order's duration: after a change of the
	// decider the evidence may be older than the fault.
	minTrial         = 3 * time.Second
	minTrialFraction = 4
	// otherReaderDelay is how long a reader that does not decide waits for the one that
	// does before it rolls back.
	otherReaderDelay = 500 * time.Millisecond
	// minSlotsPart is the part of the baseline's slots that the candidate needs.
	minSlotsPart = 2
	// maxSuspicion is the evidence against the candidate, as a part of what condemns it, from
	// which the cutover waits for more.
	maxSuspicion = 0.5
	// minReportingPart is the part of the boxes that must have reported lately.
	minReportingPart = 2
)

// Action is what to do next.
type Action string

// The actions. All but Wait are writes to the store.
const (
	Wait     Action = "wait"
	Begin    Action = "begin"     // the trial, with the status running
	TakeOver Action = "take_over" // as the decider of the phase
	CutOver  Action = "cut_over"
	Complete Action = "complete"
	RollBack Action = "roll_back"
)

// Reason is the reason for an action, or what is waited for.
type Reason string

// The reasons.
const (
	Ended          Reason = "ended"
	OtherDecides   Reason = "other_decides"
	NewOrder       Reason = "new_order"
	InService      Reason = "already_in_service"
	DeciderGone    Reason = "decider_gone"
	EndOfTrial     Reason = "end_of_trial"
	NoCapacity     Reason = "candidate_capacity" // too few warm slots of the candidate
	TooLate        Reason = "too_late_to_cut_over"
	NotReported    Reason = "boxes_not_reporting"
	TrialTooShort  Reason = "trial_too_short"
	TooFewAnswers  Reason = "too_few_answers"
	Suspicious     Reason = "evidence_against" // not enough to condemn the candidate
	RunsAtBaseline Reason = "runs_at_baseline"
	TimeToSpread   Reason = "time_to_spread" // of the cutover over the boxes
	CutOverDone    Reason = "cut_over"
	LastWrite      Reason = "last_write"
	BadRelease     Reason = "bad_release"
	BoundReached   Reason = "bound_reached" // with evidence against the candidate
	LimitPassed    Reason = "limit_passed"
	OrderWithdrawn Reason = "order_withdrawn"
	InvalidOrder   Reason = "invalid_order"
	UnknownService Reason = "unknown_service"
	RowsUnknown    Reason = "rows_unknown"
	OutcomeLost    Reason = "outcome_lost" // by the store, which was restored
)

// Situation is what a box knows of an order.
type Situation struct {
	Now           time.Time
	Order         orders.Order
	RowsRead      bool          // the rows in the store were read since the order or its removal was seen
	Refused       bool          // the order cannot be carried out
	StatusRunning bool          // the status in the store is running
	StatusMissing bool          // no status was written for the order, which was withdrawn
	OutcomeLost   bool          // the store was restored from a copy without the order's outcome
	KnownFor      time.Duration // since this box learned of the order, or of its removal

	KnownService bool          // the configuration in force names the service
	Cutover      time.Duration // planned, before the limit

	Holder        bool // this incarnation of the box wrote the phase
	HolderInTouch bool // that which wrote the phase is in touch
	First         bool // this box is first among the readers in touch

	BadFor     time.Duration // how long the verdict has been bad; 0 if it is not
	Sufficient bool          // answers would have shown that it fails clearly, or the service is quiet
	Suspicion  float64       // evidence against the candidate, as a part of what condemns it
	Exceeded   bool          // a bad candidate would soon get more than the bound
	PhaseSince time.Time     // when this box learned of the phase
	TrialFor   time.Duration // how long this box has set a share above zero as the decider

	FleetKnown     bool // and up to date
	CandidateSlots int  // of warm upstreams
	BaselineSlots  int

	Boxes     int // in touch, with this one
	Reporting int // of these, that have reported their counts lately
	Running   int // requests at the baseline's upstreams
}

// Decision is an action with its reason.
type Decision struct {
	Action Action
	Reason Reason
}

// Decide returns what this box does next about an order.
func Decide(s Situation) Decision {
	o := s.Order
	switch {
	case o.HasOutcome():
		return s.ended()
	case !s.RowsRead:
		return Decision{Wait, RowsUnknown}
	case o.State == orders.Withdrawn:
		return s.withdrawn()
	case o.Duration <= 0 && !s.Refused:
		return Decision{Wait, RowsUnknown}
	}
	if reason, back := s.rollsBack(); back {
		return Decision{RollBack, reason}
	}
	if !s.decides() {
		return Decision{Wait, OtherDecides}
	}
	switch {
	case o.State == orders.Ordered || o.PhaseVersion == 0:
		return s.begin()
	case !s.Holder:
		return Decision{TakeOver, DeciderGone}
	case o.Phase == orders.Cutover:
		return s.cutover()
	}
	return s.trial()
}

// decides reports whether this box decides: the one that wrote the phase goes on while it
// is in touch, so that two that both consider themselves first do not alternate.
func (s Situation) decides() bool {
	if s.Order.PhaseVersion > 0 && (s.Holder || s.HolderInTouch) {
		return s.Holder
	}
	return s.First
}

// ended decides about an order with an outcome, which is written again if the store has lost it.
func (s Situation) ended() Decision {
	switch {
	case !s.OutcomeLost:
		return Decision{Wait, Ended}
	case !s.RowsRead:
		return Decision{Wait, RowsUnknown}
	case !s.decides():
		return Decision{Wait, OtherDecides}
	case s.Order.State == orders.Completed:
		return Decision{Complete, OutcomeLost}
	}
	return Decision{RollBack, OutcomeLost}
}

// withdrawn decides about an order that was withdrawn. As for other roll-backs, readers that do not
// decide write later than the one that does, which the store may not answer.
func (s Situation) withdrawn() Decision {
	switch {
	case !s.StatusRunning && !s.StatusMissing:
		return Decision{Wait, Ended}
	case s.decides(), s.KnownFor >= otherReaderDelay:
		return Decision{RollBack, OrderWithdrawn}
	}
	return Decision{Wait, OtherDecides}
}

// rollsBack reports whether this box rolls the order back, and why. Each reader may, as
// that is safe at any time; the one that decides is the first to.
func (s Situation) rollsBack() (Reason, bool) {
	delay := otherReaderDelay
	if s.decides() {
		delay = 0
	}
	o := s.Order
	switch {
	case s.BadFor > delay:
		return BadRelease, true
	case o.InCutover() && s.Exceeded && s.Suspicion >= maxSuspicion:
		return BoundReached, delay == 0
	case s.Refused:
		return InvalidOrder, delay == 0
	case !s.KnownService:
		return UnknownService, delay == 0
	case !o.Limit.IsZero() && s.Now.Sub(o.Limit) >= delay:
		return LimitPassed, true
	}
	return "", false
}

func (s Situation) begin() Decision {
	if s.FleetKnown && s.CandidateSlots > 0 && s.BaselineSlots == 0 {
		return Decision{Complete, InService}
	}
	return Decision{Begin, NewOrder}
}

func (s Situation) trial() Decision {
	left := s.Order.Limit.Sub(s.Now)
	switch {
	case left > s.Cutover:
		return Decision{Wait, EndOfTrial}
	case left < max(s.lastWrite(), s.Cutover/minCutoverFraction):
		return Decision{Wait, TooLate}
	case !s.FleetKnown || s.CandidateSlots == 0 || minSlotsPart*s.CandidateSlots < s.BaselineSlots:
		return Decision{Wait, NoCapacity}
	case !s.reported():
		return Decision{Wait, NotReported}
	case s.TrialFor < min(minTrial, s.Order.Duration/minTrialFraction):
		return Decision{Wait, TrialTooShort}
	case !s.Sufficient:
		return Decision{Wait, TooFewAnswers}
	case s.Suspicion >= maxSuspicion:
		return Decision{Wait, Suspicious}
	}
	return Decision{CutOver, EndOfTrial}
}

func (s Situation) cutover() Decision {
	switch {
	case !s.reported():
		return Decision{Wait, NotReported}
	case s.Suspicion >= maxSuspicion:
		return Decision{Wait, Suspicious}
	case s.Order.Limit.Sub(s.Now) <= s.lastWrite():
		return Decision{Complete, LastWrite}
	case s.Now.Sub(s.PhaseSince) < minCutover:
		return Decision{Wait, TimeToSpread}
	case s.Running > 0 || s.Reporting < s.Boxes:
		return Decision{Wait, RunsAtBaseline}
	}
	return Decision{Complete, CutOverDone}
}

func (s Situation) reported() bool { return Reported(s.Reporting, s.Boxes) }

// Reported reports whether enough of the boxes have reported for the sums to count.
func Reported(reporting, boxes int) bool { return minReportingPart*reporting >= boxes }

func (s Situation) lastWrite() time.Duration {
	return min(lastWrite, s.Order.Duration/lastWriteFraction)
}
