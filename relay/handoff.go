package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/evacuate"
	"petrelstep/exchange"
	"petrelstep/fleet"
	"petrelstep/liveness"
	"petrelstep/metrics"
)

const (
	// evacuationGrace is how long a run on its way to a hall may still continue there
	// after the hall is known to be evacuated. Halls accept requests for 5 s; a box learns
	// of an evacuation up to 1.5 s late.
	evacuationGrace = 2 * time.Second
	// moveStopTimeout bounds the stop of a moved run whose answer was lost: a copy of what the
	// upstream has added to the run, which may have to wait 1.2 s for other copies.
	moveStopTimeout = 2 * time.Second
)

// continuation is what has become of a moved run at one upstream.
type continuation int

const (
	notAtWork   continuation = iota // it certainly does not work on it
	mayBeAtWork                     // it may work on it
	wentOn                          // its stream is forwarded
)

// continueMoved continues a run at the upstream to which it was moved, or at its source if the
// target does not work on it. It reports false if the run was not moved, or cannot continue.
func (r *Relay) continueMoved(ctx context.Context, f *forwarder) bool {
	h, ok := f.run.AwaitHandoff(ctx)
	if !ok {
		return false
	}
	began, result := time.Now(), r.continueAt(ctx, f, h.Target, h.Source, h.Copy)
	if result == notAtWork {
		result = r.continueAt(ctx, f, h.Source, h.Target, h.Copy)
	}
	if result != wentOn {
		f.job.log.WithFields(logrus.Fields{"copy": h.Copy.ID, "may_run": result == mayBeAtWork, "took_ms": time.Since(began).Milliseconds()}).Warn("not_continued")
		return false
	}
	f.moved = true
	f.moves++
	f.run.MovedTo(f.resp.upstream)
	r.Metrics.Retried(metrics.RetryMoved)
	return true
}

// continueAt continues a moved run at an upstream that holds a copy. If its answer is lost, the
// run is stopped there and sent there again. That is safe also if it was not stopped, as a copy
// serves once.
func (r *Relay) continueAt(ctx context.Context, f *forwarder, at, other fleet.Upstream, from exchange.Copy) continuation {
	result := r.sendMoved(ctx, f, at, from)
	if result != mayBeAtWork || ctx.Err() != nil {
		return result
	}
	copied, stopped := r.stopMoved(ctx, f.job, at, other)
	if stopped {
		from = copied
	}
	result = r.sendMoved(ctx, f, at, from)
	if result == notAtWork && !stopped && !r.hasEnded(ctx, f.job, at) {
		return mayBeAtWork // by the first send
	}
	return result
}

// sendMoved sends a moved run once to an upstream that holds a copy.
func (r *Relay) sendMoved(ctx context.Context, f *forwarder, at fleet.Upstream, from exchange.Copy) continuation {
	began := time.Now()
	if since, closed := r.Fleet.Closed(at.Hall); closed && time.Since(since) > evacuationGrace {
		f.job.log.WithFields(logrus.Fields{"upstream": at.ID, "hall": at.Hall}).Warn("not_gone_on_evacuated")
		return notAtWork
	}
	if !r.Fleet.IsCurrent(at) {
		f.job.log.WithField("upstream", at.ID).Warn("not_gone_on_restarted")
		return notAtWork
	}
	r.Picker.Sent(time.Now(), f.job.service, at)
	resp, err := r.sendTo(ctx, f.job, at, f.lastEvent, &from)
	log := f.job.log.WithFields(logrus.Fields{
		"upstream": at.ID, "after": f.lastEvent, "copy": from.ID, "took_ms": time.Since(began).Milliseconds(), "release": at.Release, "from_release": f.resp.upstream.Release,
	})
	if err == nil && resp.answer.Status == http.StatusOK {
		f.resp = resp
		log.Info("went_on")
		return wentOn
	}
	result := notAtWork
	if err == nil {
		log = log.WithField("status", resp.answer.Status)
		resp.close()
	} else if errors.As(err, new(*exchange.FailedError)) && !isNotSent(err) {
		result = mayBeAtWork
	}
	log.WithError(err).WithField("may_run", result == mayBeAtWork).Warn("not_gone_on")
	return result
}

// stopMoved stops a run at an upstream that may work on it, and returns the copy that the upstream
// holds then. The run is copied to the other upstream of its move, as an upstream stops a run only
// to move it.
func (r *Relay) stopMoved(ctx context.Context, j *job, at, other fleet.Upstream) (copied exchange.Copy, stopped bool) {
	if r.Mover == nil {
		return exchange.Copy{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, moveStopTimeout)
	defer cancel()
	began := time.Now()
	result, err := r.Mover.Move(ctx, at.Address, j.req.ID, other.Address, true)
	stopped = result.Copy.ID != "" && (err == nil || errors.Is(err, evacuate.ErrNoCapacity))
	log := j.log.WithFields(logrus.Fields{"upstream": at.ID, "copy": result.Copy.ID, "took_ms": time.Since(began).Milliseconds()})
	if !stopped {
		log.WithError(err).Warn("moved_run_not_stopped")
		return exchange.Copy{}, false
	}
	log.WithField("made", result.Events).Info("moved_run_stopped")
	return result.Copy, true
}

// hasEnded reports whether an upstream has certainly ended, and its runs with it.
func (r *Relay) hasEnded(ctx context.Context, j *job, u fleet.Upstream) bool {
	if !r.Fleet.IsCurrent(u) {
		return true
	}
	return r.Liveness != nil && r.Liveness.Check(ctx, u, j.service.Engine != nil) == liveness.Ended
}
