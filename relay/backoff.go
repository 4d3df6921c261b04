package relay

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/refusal"
)

// awaitRest takes the refusal of a request for which there is no upstream. If all there
// are rest, it waits for the first of them, as long as that is worth it, and returns nil:
// the request may be placed again.
func (r *Relay) awaitRest(ctx context.Context, j *job, err error) error {
	var refused refusal.Refusal
	if !errors.As(err, &refused) || refused.Reason() != refusal.NoUpstream {
		return err
	}
	upstream, wait := r.firstBack(j)
	if wait <= 0 {
		return err
	}
	worth := r.worthWaiting(j)
	log := j.log.WithFields(logrus.Fields{"upstream": upstream, "in_ms": wait.Milliseconds(), "worth_ms": worth.Milliseconds()})
	if wait > worth {
		log.Info("rest_refused")
		return refusal.New(refusal.UpstreamResting, "upstreams of "+j.service.Name+" have asked for rest").WithRetryAfter(r.Rest.RetryAfter(wait))
	}
	log.Info("rest_awaited")
	if !r.waitFor(ctx, wait) {
		return notAwaited(ctx)
	}
	return nil
}

// firstBack returns which of the upstreams that a request may go to rests no longer
// first, and in how long; 0 if none rests.
func (r *Relay) firstBack(j *job) (upstream string, wait time.Duration) {
	now := time.Now()
	want := j.want()
	want.All, want.Own = true, false
	for _, c := range r.Chooser.Ranked(now, want) {
		if w := r.Rest.Wait(now, c.Upstream.ID); w > 0 && (wait == 0 || w < wait) {
			upstream, wait = c.Upstream.ID, w
		}
	}
	return upstream, wait
}
