package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/canary/arrivals"
	"petrelstep/canary/decider"
	"petrelstep/canary/orders"
	"petrelstep/canary/plan"
	"petrelstep/canary/share"
	"petrelstep/canary/verdict"
	"petrelstep/platform/rollouts"
	"petrelstep/revision"
	"petrelstep/wire"
)

const (
	// shareInterval is the time between updates of the share and the verdict, and
	// decideInterval between decisions, whose last ones are bound to the time limit.
	shareInterval  = 250 * time.Millisecond
	decideInterval = 100 * time.Millisecond
	// finalTime is the time before the limit in which the box that decides makes no call
	// but for its writes.
	finalTime = 1500 * time.Millisecond
	// rolloutCallTimeout bounds a read or a write; a slow store takes 0.3 s.
	rolloutCallTimeout = time.Second
	// storeRetryPause is the pause after a call that the store refused or did not answer.
	storeRetryPause = 300 * time.Millisecond
	// rolloutReadInterval is the time between reads of the rows while an order is active,
	// by the box that decides, and otherReadInterval by other readers. All read at once
	// after a change.
	rolloutReadInterval = 2 * time.Second
	otherReadInterval   = 4 * time.Second
	// pendingReadDelay is how long a box that is no reader waits for a hub's word on an
	// order whose status it does not know, before it reads the rows itself.
	pendingReadDelay = time.Second
	// deciderMaxAge is how recently the box that decides must have been heard from.
	deciderMaxAge = 1500 * time.Millisecond
	// unknownServiceDelay is how long an order waits for a configuration that names its
	// service.
	unknownServiceDelay = 2 * time.Second
	// wakeDelay is how long after a suspension the counts of other boxes are outdated.
	wakeDelay = time.Second
	// shareLogInterval is the minimum time between log lines about a share.
	shareLogInterval = time.Second
	// answerDelay is how long before the cutover the last requests of the trial are sent, so that
	// their answers are known by then.
	answerDelay = 1500 * time.Millisecond
	// arrivalsDelay is the time since an order over which its requests give a rate.
	arrivalsDelay   = 2 * time.Second
	rolloutOwnerKey = "rollout/" // followed by the service
	ownSource       = "decider"
)

// trialState is what a reader knows of an order's trial. Its fields are guarded by the
// mutex of the control.
type trialState struct {
	order      revision.Revision
	seenAt     time.Time
	phaseSince time.Time
	share      *share.Controller
	verdict    *verdict.Verdict
	badSince   time.Time // zero if the verdict is not bad
	sharing    time.Time // since when this box has set a share above zero; zero if it does not decide
	waits      decider.Reason
	plan       plan.Plan
	runs       plan.Runs
	sent       int          // requests of the service
	candidate  int          // of these to the candidate
	logged     orders.Order // as in the last line about the share
	loggedAt   time.Time
}

func (r *rolloutControl) newTrial(now time.Time, o orders.Order) *trialState {
	delay := share.FeedbackDelay
	if r.IsLargeFleet() {
		delay = share.LargeFleetFeedbackDelay
	}
	return &trialState{order: o.Identity(), seenAt: now, share: share.New(now, r.bounds(), delay), verdict: verdict.New()}
}

func (r *rolloutControl) bounds() share.Bounds {
	s := r.config.Edge.Rollout
	return share.Bounds{Share: s.ExposureShare, Slack: s.ExposureSlack}
}

// trial returns the state of an order's trial.
func (r *rolloutControl) trial(o orders.Order) *trialState {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, known := r.trials[o.Service]
	if !known || t.order != o.Identity() {
		t = r.newTrial(time.Now(), o)
		r.trials[o.Service] = t
	}
	return t
}

// run updates shares and decides until ctx ends.
func (r *rolloutControl) run(ctx context.Context) {
	if r == nil {
		return
	}
	go r.timer.Every(ctx, "rollout_share", shareInterval, r.updateShares)
	r.timer.Every(ctx, "rollout_decide", decideInterval, func(now time.Time) { r.decide(ctx, now) })
}

// updateShares applies changes, and at a box that may decide updates the verdicts; the box that decides
// also sets the shares.
func (r *rolloutControl) updateShares(now time.Time) {
	r.orders.Tick(now, r.configurationRead(now))
	r.apply(now)
	r.recordIsolation(now)
	r.logStandby(now)
	if !r.decidesNow(now) {
		return
	}
	for _, o := range r.orders.Newest() {
		if o.Active() {
			r.updateShare(now, o)
		}
	}
}

func (r *rolloutControl) updateShare(now time.Time, o orders.Order) {
	sum := r.counts.Sum(o.Service)
	t := r.trial(o)
	running, _ := r.reporting(now, o)
	service, _ := r.service(o.Service)
	r.mu.Lock()
	t.sent, t.candidate = totals(sum)
	if o.InCutover() {
		t.verdict.CutOver()
	}
	t.verdict.Update(now, sum)
	if service.Engine == nil { // runs of engines end where they began
		t.runs = t.runs.With(now, running)
	}
	before := r.rateBefore(sum)
	t.plan = plan.New(plan.Order{
		Bounds: r.bounds(), Duration: o.Duration, Left: o.Limit.Sub(now), Engines: service.Engine != nil,
		Rate: max(before, float64(t.sent)/max(now.Sub(t.seenAt), arrivalsDelay).Seconds()), Sent: t.sent, Running: t.runs.Mean(),
	})
	ppm := t.share.Update(now, t.sent, t.candidate, share.Trial{
		Requests: t.plan.Trial, Left: o.Limit.Sub(now) - t.plan.Cutover - answerDelay, Before: before,
	})
	reason, bad := t.verdict.Bad()
	first := bad && t.badSince.IsZero()
	if first {
		t.badSince = now
	}
	evidence := t.verdict.Evidence()
	route, part := t.verdict.ShortRoute()
	r.mu.Unlock()
	if first {
		r.logVerdict(o, reason, evidence)
	}
	decides := o.State == orders.Running && r.rows.Of(o).Holder == r.self() && !r.isCutFromStore(now)
	reported := r.reported(now, o)
	r.recordSharing(now, t, decides && reported, ppm)
	if !decides {
		return
	}
	if bad || o.Phase != orders.Trial || !reported {
		ppm = 0 // is sent all the same: it shows that this box decides
	}
	o = o.WithShare(ppm, now).WithUpstream(r.trialUpstream(now, o, sum)).WithRoute(route, share.OnRoute(ppm, part))
	r.orders.Update(now, o, ownSource)
	r.logShare(now, o, t)
}

// recordSharing records since when this box has set a share above zero.
func (r *rolloutControl) recordSharing(now time.Time, t *trialState, decides bool, ppm int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !decides:
		t.sharing = time.Time{}
	case t.sharing.IsZero() && ppm > 0:
		t.sharing = now
	}
}

// totals returns the number of requests of a service, and of those to the candidate.
func totals(sum []wire.ReleaseCounts) (sent, candidate int) {
	for _, w := range sum {
		sent += w.Sent
		if w.Candidate {
			candidate += w.Sent
		}
	}
	return sent, candidate
}

// rateBefore returns the rate of requests per second before the order; 0 if unknown. In a
// large fleet it takes too long until all boxes have reported it.
func (r *rolloutControl) rateBefore(sum []wire.ReleaseCounts) float64 {
	if r.IsLargeFleet() {
		return 0
	}
	before := 0
	for _, w := range sum {
		before += w.Before
	}
	return float64(before) / arrivals.Window.Seconds()
}

func (r *rolloutControl) logVerdict(o orders.Order, reason verdict.Reason, evidence []wire.ReleaseEvidence) {
	r.log.WithFields(reason.Fields()).WithFields(logrus.Fields{
		"service": o.Service, "order": o.Version, "target": o.Target, "upstream": o.Upstream, "sums_age_ms": r.loads.SumAge(time.Now()).Milliseconds(),
	}).Warn("rollout_verdict_bad")
	r.logEvidence(o, evidence)
}

func (r *rolloutControl) logEvidence(o orders.Order, evidence []wire.ReleaseEvidence) {
	for _, e := range evidence {
		r.log.WithFields(logrus.Fields{
			"service": o.Service, "order": o.Version, "route": e.Route, "answers": e.Answers, "bad": e.Bad,
			"baseline_answers": e.BaselineAnswers, "baseline_bad": e.BaselineBad, "score_pct": e.ScorePct,
		}).Info("rollout_evidence")
	}
}

func (r *rolloutControl) logShare(now time.Time, o orders.Order, t *trialState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.SharePPM == t.logged.SharePPM && o.Route == t.logged.Route || now.Sub(t.loggedAt) < shareLogInterval {
		return
	}
	t.logged, t.loggedAt = o, now
	r.log.WithFields(logrus.Fields{
		"service": o.Service, "order": o.Version, "share_ppm": o.SharePPM, "route": o.Route, "sent": t.sent, "sent_candidate": t.candidate, "bound": int(r.bounds().Limit(t.sent)),
		"trial": int(t.plan.Trial), "cutover_ms": t.plan.Cutover.Milliseconds(), "cutover_requests": int(t.plan.Reserve), "fits": t.plan.Fits,
	}).Info("rollout_share")
}

func (r *rolloutControl) self() rollouts.Box {
	return rollouts.Box{Name: r.config.Box, Incarnation: r.record.Incarnation}
}

// decide reads the rows if needed, and at a box that may decide decides about each order.
func (r *rolloutControl) decide(ctx context.Context, now time.Time) {
	r.mu.Lock()
	pausing := now.Before(r.retryAt)
	r.mu.Unlock()
	if pausing || r.readDue(now) && !r.read(ctx) {
		return
	}
	if !r.decidesNow(time.Now()) || !r.Joined() {
		return
	}
	for _, o := range r.orders.Newest() {
		if o.HasOutcome() && !r.rows.OutcomeMayBeLost(o) {
			continue
		}
		if o.InCutover() { // which may last a second only
			r.updateShare(time.Now(), o)
		}
		s := r.situation(time.Now(), o) // the reads and writes before may have taken long
		d := decider.Decide(s)
		r.recordWait(s, d)
		if w, ok := writes[d.Action]; ok {
			r.logBasis(o, d)
			r.write(ctx, w, o, d.Reason)
		}
	}
}

// recordWait records what an order waits for, and logs it at the box that decides when it changes.
func (r *rolloutControl) recordWait(s decider.Situation, d decider.Decision) {
	o := s.Order
	t := r.trial(o)
	r.mu.Lock()
	before := t.waits
	t.waits = d.Reason
	evidence := t.verdict.Evidence()
	r.mu.Unlock()
	if d.Action != decider.Wait || d.Reason == before || d.Reason == decider.OtherDecides || d.Reason == decider.Ended {
		return
	}
	r.log.WithFields(logrus.Fields{
		"service": o.Service, "order": o.Version, "target": o.Target, "phase": o.Phase, "reason": d.Reason, "before": before, "left_ms": o.Limit.Sub(s.Now).Milliseconds(),
		"cutover_ms": s.Cutover.Milliseconds(), "boxes": s.Boxes, "reporting": s.Reporting, "slots": s.CandidateSlots, "baseline_slots": s.BaselineSlots,
		"running": s.Running, "trial_ms": s.TrialFor.Milliseconds(), "suspicion_pct": int(100 * s.Suspicion),
	}).Info("rollout_waits")
	if d.Reason == decider.TooFewAnswers {
		r.logEvidence(o, evidence)
	}
}

// logBasis logs the evidence on which a release is put in service.
func (r *rolloutControl) logBasis(o orders.Order, d decider.Decision) {
	if d.Action != decider.CutOver && d.Action != decider.Complete {
		return
	}
	t := r.trial(o)
	r.mu.Lock()
	evidence, suspicion, sent := t.verdict.Evidence(), t.verdict.Suspicion(), t.candidate
	r.mu.Unlock()
	r.log.WithFields(logrus.Fields{
		"service": o.Service, "order": o.Version, "target": o.Target, "decision": d.Action, "suspicion_pct": int(100 * suspicion), "sent": sent,
		"upstream": o.Upstream, "sent_upstream": sentByUpstream(r.counts.Sum(o.Service))[o.Upstream],
	}).Info("rollout_basis")
	r.logEvidence(o, evidence)
}

// writes are the writes of actions.
var writes = map[decider.Action]rollouts.Write{
	decider.Begin: rollouts.WriteBegin, decider.TakeOver: rollouts.WriteTakeOver, decider.CutOver: rollouts.WriteCutover,
	decider.Complete: rollouts.WriteComplete, decider.RollBack: rollouts.WriteRollBack,
}

// readDue reports whether the rows have to be read: while an order is active, and as long
// as the status of one is not known. Without an order, there is no call. Only readers read
// at once after a change or a failure.
func (r *rolloutControl) readDue(now time.Time) bool {
	reader := r.decidesNow(now)
	interval, needed := otherReadInterval, false
	if reader {
		interval, needed = r.ordersReadDue(now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, since := range r.pending {
		if reader || now.Sub(since) >= pendingReadDelay {
			needed, interval = true, min(interval, pendingReadDelay)
		}
	}
	return needed && (reader && r.unread || now.Sub(r.readAt) >= interval)
}

// ordersReadDue reports whether a reader needs the rows of a known order, and the time
// between its reads.
func (r *rolloutControl) ordersReadDue(now time.Time) (interval time.Duration, needed bool) {
	interval = otherReadInterval
	for _, o := range r.orders.Newest() {
		rows := r.rows.Of(o)
		if o.HasOutcome() && !r.rows.OutcomeMayBeLost(o) || !o.Active() && rows.Read && !rows.OutcomeDue() {
			continue
		}
		holder := rows.Holder == r.self()
		final := holder && o.Limit.Sub(now) > 0 && o.Limit.Sub(now) < finalTime
		needed = needed || !final || !rows.Read
		if holder {
			interval = rolloutReadInterval
		}
	}
	return interval, needed
}

// read reads the rows and reports whether the store answered.
func (r *rolloutControl) read(ctx context.Context) bool {
	now := time.Now()
	r.mu.Lock()
	r.readAt, r.unread = now, false
	r.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	defer cancel()
	err := r.rows.Read(limited)
	r.mu.Lock()
	r.unread, r.failing = r.unread || err != nil, err != nil
	if err != nil {
		r.retryAt = time.Now().Add(storeRetryPause)
	}
	r.mu.Unlock()
	if err != nil {
		r.log.WithError(err).Warn("rollout_rows_not_read")
		return false
	}
	r.recordStoreAnswer(now)
	r.apply(time.Now())
	return true
}

// isCutFromStore reports whether the store does not answer this box, but others.
func (r *rolloutControl) isCutFromStore(now time.Time) bool {
	r.mu.Lock()
	failing := r.failing
	r.mu.Unlock()
	return failing && r.storeSilence(now) < deciderMaxAge
}

// write makes a write and reads the rows again, as its answer may be lost.
func (r *rolloutControl) write(ctx context.Context, w rollouts.Write, o orders.Order, reason decider.Reason) {
	limited, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	outcome, err := r.rows.Apply(limited, w, o, r.self())
	cancel()
	log := r.log.WithFields(logrus.Fields{"service": o.Service, "order": o.Version, "target": o.Target, "write": w, "reason": reason, "outcome": outcome})
	if err != nil {
		log = log.WithError(err)
	}
	log.Info("rollout_write")
	if outcome == rollouts.NotApplied {
		r.mu.Lock()
		r.unread, r.retryAt = true, time.Now().Add(storeRetryPause)
		r.mu.Unlock()
		return
	}
	r.read(ctx)
}
