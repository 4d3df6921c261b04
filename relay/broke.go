package relay

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/exchange"
	"petrelstep/fleet"
	"petrelstep/liveness"
)

// Looker finds out what became of an upstream just after a connection to it broke.
type Looker interface {
	Check(ctx context.Context, u fleet.Upstream, engine bool) liveness.Finding
}

// broke takes the news that what was sent to an upstream has broken off, after so many
// events. What broke for another reason than its connection tells nothing of it.
func (r *Relay) broke(ctx context.Context, j *job, s broken, err error) {
	if r.Liveness == nil || ctx.Err() != nil || !connectionBroke(err) {
		return
	}
	now := time.Now()
	engine, found := j.service.Engine != nil, liveness.Unknown
	if !engine || r.Rest.MayExcept(now, s.upstream.ID) { // a look at an engine is a request
		found = r.Liveness.Check(ctx, s.upstream, engine)
	}
	r.Metrics.Broke(found)
	held := found == liveness.Ended && !s.lived
	j.log.WithError(err).WithFields(logrus.Fields{
		"upstream": s.upstream.ID, "service": s.upstream.Service, "finding": found, "sent_ago_ms": now.Sub(s.began).Milliseconds(), "events": s.events, "lived": s.lived, "held": held,
	}).Info("answer_broke")
	if found == liveness.Ended {
		j.ended.Store(true)
		r.Quarantine.RecordEnd(now, s.upstream)
		r.gone(s.upstream)
	}
	if held {
		r.Quarantine.RecordEndDuring(now, j.print, s.upstream)
	}
}

// refusedBy takes the news that nothing listens at an upstream's address.
func (r *Relay) refusedBy(u fleet.Upstream, err error) {
	var failed *exchange.FailedError
	if errors.As(err, &failed) && failed.Refused {
		r.gone(u)
	}
}

// gone notes that an upstream has ended, unless it has started again since.
func (r *Relay) gone(u fleet.Upstream) {
	if r.Fleet.IsCurrent(u) {
		r.Reliability.RecordEnd(time.Now(), u.ID)
	}
}

// broken is what was sent and has broken off.
type broken struct {
	upstream fleet.Upstream
	began    time.Time
	events   int
	lived    bool // its upstream had run it for some time
}

// connectionBroke tells whether a send has ended as its connection broke: after bytes
// that were sent, and not by an answer that is wrong.
func connectionBroke(err error) bool {
	for _, answered := range []any{new(*SealError), new(*LongError), new(*OrderError), new(*callerError)} {
		if errors.As(err, answered) {
			return false
		}
	}
	return err != nil && !notReached(err)
}
