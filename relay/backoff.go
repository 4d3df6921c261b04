package relay

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/refusal"
)

// awaitBackoff handles the refusal of a request for which no upstream was found. If all
// candidates are backing off, it waits for the first of them, if that is soon enough, and
// returns nil: the request may be placed again.
func (r *Relay) awaitBackoff(ctx context.Context, j *job, err error) error {
	var refused refusal.Refusal
	if !errors.As(err, &refused) || refused.Reason() != refusal.NoUpstream {
		return err
	}
	upstream, wait := r.shortestBackoff(j)
	if wait <= 0 {
		return err
	}
	maxWait := r.maxWait(j)
	log := j.log.WithFields(logrus.Fields{"upstream": upstream, "in_ms": wait.Milliseconds(), "worth_ms": maxWait.Milliseconds()})
	if wait > maxWait {
		log.Info("rest_refused")
		return refusal.New(refusal.UpstreamResting, "upstreams of "+j.service.Name+" are backing off").WithRetryAfter(r.Backoff.RetryAfter(wait))
	}
	log.Info("rest_awaited")
	if !r.waitFor(ctx, wait) {
		return waitInterrupted(ctx)
	}
	return nil
}

// shortestBackoff returns the candidate upstream whose backoff ends first, and in how
// long; 0 if none is backing off.
func (r *Relay) shortestBackoff(j *job) (upstream string, wait time.Duration) {
	now := time.Now()
	want := j.want()
	want.All, want.Own = true, false
	for _, c := range r.Picker.Ranked(now, want) {
		if w := r.Backoff.Wait(now, c.Upstream.ID); w > 0 && (wait == 0 || w < wait) {
			upstream, wait = c.Upstream.ID, w
		}
	}
	return upstream, wait
}
