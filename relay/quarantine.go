package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/fingerprint"
	"petrelstep/fleet"
	"petrelstep/quarantine"
	"petrelstep/refusal"
)

const (
	// maxTrialWait is how long a suspected request waits for its trial turn. It is shorter
	// than the two seconds after which callers of streams disconnect.
	maxTrialWait = 1500 * time.Millisecond
	// trialCheckInterval is how often a waiting request checks whether it was quarantined
	// or cleared.
	trialCheckInterval = 300 * time.Millisecond
	// retryAfterTrial is the Retry-After while another try of the same request is running.
	retryAfterTrial = time.Second
	// maxPlaceAge is how long a place stays valid while its request waits for a trial
	// turn: the reservation lapses soon after.
	maxPlaceAge = 500 * time.Millisecond
)

const (
	// minHealthyRun is how long a stream's events must have come for the upstream to count
	// as healthy under the request. Requests that crash engines do so before their first
	// event.
	minHealthyRun = 250 * time.Millisecond
	// healthyInterval is the time between two such records for one stream.
	healthyInterval = 2 * time.Second
)

// recordHealthy records that an upstream has run a request for some time. A later end of
// the upstream is not held against the request: long answers are often running when an
// engine ends for another reason.
func (r *Relay) recordHealthy(now time.Time, f *forwarder) {
	s := f.resp
	if s.firstEvent.IsZero() {
		s.firstEvent = now
	}
	if now.Sub(s.firstEvent) < minHealthyRun || now.Sub(s.lastHealthy) < healthyInterval {
		return
	}
	s.lastHealthy = now
	r.Quarantine.RecordSuccess(now, f.job.print, f.job.parts...)
}

// Trials grants turns, so that suspected requests are tried one after the other.
type Trials interface {
	// Take waits until ctx ends for the trial turn of a fingerprint. The returned function
	// releases the turn; ended reports whether an upstream ended while it ran the request.
	// ok is false if no turn was granted in time.
	Take(ctx context.Context, fp fingerprint.Fingerprint, request string) (release func(ended bool), ok bool)
}

// QuarantinedError says that a request was cancelled because it was quarantined.
type QuarantinedError struct{}

// Error implements error.
func (*QuarantinedError) Error() string { return "request was quarantined while in flight" }

// placeWithQuarantine picks an upstream for a request, whatever the kind of try. A
// suspected request needs a trial turn as well; it is taken after the place, so that no
// request holds a turn while it waits for capacity.
func (r *Relay) placeWithQuarantine(ctx context.Context, j *job) (u fleet.Upstream, load float64, err error) {
	for {
		if err := r.awaitDecision(ctx, j); err != nil {
			return u, 0, err
		}
		if u, load, err = r.place(ctx, j); err != nil {
			if err = r.awaitBackoff(ctx, j, err); err != nil {
				return u, load, err
			}
			continue
		}
		placed := time.Now()
		err = r.enterTrial(ctx, j)
		if err == nil && time.Since(placed) < maxPlaceAge {
			return u, load, nil
		}
		j.leases.remove(u.ID)(true)
		if r.sharesPlaces(j) && !j.onTrial(u) {
			r.Places.Dropped(j.placeRequest(), u, 0)
		}
		if err != nil {
			return u, 0, err
		}
	}
}

// awaitDecision waits while the other boxes' reports may still quarantine the request.
func (r *Relay) awaitDecision(ctx context.Context, j *job) error {
	for {
		st := r.quarantineStatus(j)
		switch {
		case st.Kind == quarantine.Refused:
			return r.refuseQuarantined(j, st)
		case st.Kind != quarantine.Pending:
			return nil
		case !st.Until.Before(j.deadline): // the wait would exceed the deadline
			return r.refuseQuarantined(j, st)
		case !r.waitFor(ctx, time.Until(st.Until)):
			return refusal.New(refusal.Deadline, "the deadline passed before other boxes reported on upstreams that ended")
		}
	}
}

// enterTrial waits for the trial turn of a suspected request that has a place, so that the
// result of one try is known before the next.
func (r *Relay) enterTrial(ctx context.Context, j *job) error {
	for until := time.Now().Add(maxTrialWait); ; {
		if err := r.awaitDecision(ctx, j); err != nil {
			return err
		}
		st := r.quarantineStatus(j)
		switch {
		case st.Kind == quarantine.Free || j.releaseTrial != nil || r.Trials == nil:
			return nil
		case time.Now().After(until) || ctx.Err() != nil:
			return r.refuseConcurrentTry(j, st)
		}
		r.takeTrial(ctx, j, st.Subject)
	}
}

// quarantineRefusal returns the refusal of a request that is quarantined.
func (r *Relay) quarantineRefusal(j *job) (refusal.Refusal, bool) {
	st := r.quarantineStatus(j)
	if st.Kind != quarantine.Refused {
		return refusal.Refusal{}, false
	}
	return r.refuseQuarantined(j, st), true
}

func (r *Relay) refuseQuarantined(j *job, st quarantine.Status) refusal.Refusal {
	back := time.Until(st.Until)
	j.log.WithFields(logrus.Fields{
		"subject": st.Subject, "part": st.Part, "ends": st.Ends, "last_ms": st.Age.Milliseconds(), "back_ms": back.Milliseconds(),
	}).Info("quarantine_refused")
	return refusal.New(refusal.Quarantined, "upstreams ended while they ran "+subjectOf(st)).WithRetryAfter(back)
}

// refuseConcurrentTry returns the refusal of a suspected request while another try of it
// is running.
func (r *Relay) refuseConcurrentTry(j *job, st quarantine.Status) refusal.Refusal {
	j.log.WithFields(logrus.Fields{
		"subject": st.Subject, "part": st.Part, "ends": st.Ends, "last_ms": st.Age.Milliseconds(), "back_ms": retryAfterTrial.Milliseconds(),
	}).Info("other_try_goes_on")
	return refusal.New(refusal.Quarantined, "an upstream ended while it ran "+subjectOf(st)+", and another try is in progress").WithRetryAfter(retryAfterTrial)
}

// subjectOf names what is held to have ended upstreams.
func subjectOf(st quarantine.Status) string {
	if st.Part {
		return "requests with a part of this prompt"
	}
	return "this request"
}

// quarantineStatus returns the status of a request and of the parts of its prompt.
func (r *Relay) quarantineStatus(j *job) quarantine.Status {
	return r.Quarantine.Status(time.Now(), j.print, j.parts...)
}

// takeTrial waits one check interval for the trial turn.
func (r *Relay) takeTrial(ctx context.Context, j *job, subject fingerprint.Fingerprint) {
	ctx, cancel := context.WithTimeout(ctx, trialCheckInterval)
	defer cancel()
	if release, ok := r.Trials.Take(ctx, subject, j.req.ID); ok {
		j.releaseTrial = release
	}
}

// endTrial releases the trial turn.
func (j *job) endTrial() {
	if j.releaseTrial != nil {
		j.releaseTrial(j.upstreamEnded.Load())
		j.releaseTrial = nil
	}
}

// waitFor waits for d and reports false if ctx ended first.
func (*Relay) waitFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(d, time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// correctOutcome returns a refusal that does not claim "not run" if an earlier try of the
// request may have run.
func (j *job) correctOutcome(refused refusal.Refusal) refusal.Refusal {
	if !j.mayHaveRun.Load() || refused.Outcome() != refusal.NotRun {
		return refused
	}
	return refusal.New(refusal.NoAnswer, "sent before; then refused: "+refused.Error()).WithRetryAfter(refused.RetryAfter())
}
