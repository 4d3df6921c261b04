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
	// trialWait is how long a request under which an upstream has ended waits for its
	// turn: a try that ends an engine takes some tenths of a second, and callers of
	// streams leave after two seconds without an event.
	trialWait = 1500 * time.Millisecond
	// trialLook is how often it is looked meanwhile whether it is refused, or cleared.
	trialLook = 300 * time.Millisecond
	// trialBack is when to come back while another try of the same request goes on.
	trialBack = time.Second
	// placeLasts is how long a place is kept for one that waits for its turn: what was
	// promised lapses soon after, and others may have taken it.
	placeLasts = 500 * time.Millisecond
)

const (
	// livedFor is after how long of events a run counts as one under which its upstream
	// lives: engines ended 0.04 to 0.12 s after they had begun to run the request that
	// ended them, before its first event.
	livedFor = 250 * time.Millisecond
	// livedEvery is how often that is noted again of a long answer.
	livedEvery = 2 * time.Second
)

// lived notes that an upstream has run a request for some time and lives. What ends an
// upstream later is not held against it: with long answers most of what is lost with an
// engine has run for seconds, and would else be under suspicion each time.
func (r *Relay) lived(now time.Time, f *flow) {
	s := f.sent
	if s.event.IsZero() {
		s.event = now
	}
	if now.Sub(s.event) < livedFor || now.Sub(s.good) < livedEvery {
		return
	}
	s.good = now
	r.Quarantine.RecordSuccess(now, f.job.print)
}

// Trials gives the turns by which suspects are tried one after the other.
type Trials interface {
	// Take waits until ctx ends for the turn of a fingerprint, for one request. It is
	// given back by the returned function, which is told whether an upstream ended
	// under the request; false if there was none in time.
	Take(ctx context.Context, fp fingerprint.Fingerprint, request string) (giveBack func(ended bool), ok bool)
}

// QuarantinedError says that a request was broken off as it is quarantined.
type QuarantinedError struct{}

// Error implements error.
func (*QuarantinedError) Error() string { return "quarantined while it was on its way" }

// placeSuspect finds an upstream for a request, however it comes there: first, again or
// resumed. One under which upstreams have ended goes alone, or not at all. Who waits for
// room holds no turn, as others may find room before.
func (r *Relay) placeSuspect(ctx context.Context, j *job) (u fleet.Upstream, load float64, err error) {
	for {
		if err := r.judged(ctx, j); err != nil {
			return u, 0, err
		}
		if u, load, err = r.place(ctx, j); err != nil {
			if err = r.awaitRest(ctx, j, err); err != nil {
				return u, load, err
			}
			continue
		}
		placed := time.Now()
		err = r.enter(ctx, j)
		if err == nil && time.Since(placed) < placeLasts {
			return u, load, nil
		}
		if r.sharesPlaces(j) {
			r.Places.Dropped(j.placeAsk(), u, 0)
		}
		if err != nil {
			return u, 0, err
		}
	}
}

// judged waits for the other boxes' word where a request may be refused in a moment.
func (r *Relay) judged(ctx context.Context, j *job) error {
	for {
		st := r.Quarantine.Status(time.Now(), j.print)
		switch {
		case st.Kind == quarantine.Refused:
			return r.refuseSuspect(j, st)
		case st.Kind != quarantine.Pending:
			return nil
		case !st.Until.Before(j.deadline): // it would wait in vain
			return r.refuseSuspect(j, st)
		case !r.waitFor(ctx, time.Until(st.Until)):
			return refusal.New(refusal.Deadline, "its time ended before the other boxes were heard of an end")
		}
	}
}

// enter lets a request through that has a place. One under which an upstream has ended
// waits for its turn, so that the next try knows what became of the last.
func (r *Relay) enter(ctx context.Context, j *job) error {
	for until := time.Now().Add(trialWait); ; {
		if err := r.judged(ctx, j); err != nil {
			return err
		}
		st := r.Quarantine.Status(time.Now(), j.print)
		switch {
		case st.Kind == quarantine.Free || j.trial != nil || r.Trials == nil:
			return nil
		case time.Now().After(until) || ctx.Err() != nil:
			return r.otherTry(j, st)
		}
		r.takeTrial(ctx, j)
	}
}

// quarantined returns the refusal of a request that is refused.
func (r *Relay) quarantined(j *job) (refusal.Refusal, bool) {
	st := r.Quarantine.Status(time.Now(), j.print)
	if st.Kind != quarantine.Refused {
		return refusal.Refusal{}, false
	}
	return r.refuseSuspect(j, st), true
}

func (r *Relay) refuseSuspect(j *job, st quarantine.Status) refusal.Refusal {
	back := time.Until(st.Until)
	j.log.WithFields(logrus.Fields{"ends": st.Ends, "last_ms": st.Age.Milliseconds(), "back_ms": back.Milliseconds()}).Info("quarantine_refused")
	return refusal.New(refusal.Quarantined, "upstreams ended under it").WithRetryAfter(back)
}

// otherTry refuses a request while another try of it goes on.
func (r *Relay) otherTry(j *job, st quarantine.Status) refusal.Refusal {
	j.log.WithFields(logrus.Fields{"ends": st.Ends, "last_ms": st.Age.Milliseconds(), "back_ms": trialBack.Milliseconds()}).Info("other_try_goes_on")
	return refusal.New(refusal.Quarantined, "an upstream ended under it, and another try goes on").WithRetryAfter(trialBack)
}

// takeTrial waits a moment for a request's turn.
func (r *Relay) takeTrial(ctx context.Context, j *job) {
	ctx, cancel := context.WithTimeout(ctx, trialLook)
	defer cancel()
	if giveBack, ok := r.Trials.Take(ctx, j.print, j.req.ID); ok {
		j.trial = giveBack
	}
}

// endTrial gives a request's turn back.
func (j *job) endTrial() {
	if j.trial != nil {
		j.trial(j.ended.Load())
		j.trial = nil
	}
}

// waitFor waits; it reports false if ctx ended first.
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

// truthful returns a refusal that does not promise that a request has not run where an
// earlier try of it may have.
func (j *job) truthful(refused refusal.Refusal) refusal.Refusal {
	if !j.ran.Load() || refused.Ending() != refusal.NotRun {
		return refused
	}
	return refusal.New(refusal.NoAnswer, "sent before; then "+refused.Error()).WithRetryAfter(refused.RetryAfter())
}
