package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/exchange"
	"petrelstep/fleet"
	"petrelstep/picker"
	"petrelstep/refusal"
	"petrelstep/route"
)

// SlotRequest asks for a slot of an upstream with a rejection limit.
type SlotRequest struct {
	ID       string // of the request
	Service  route.Service
	Upstream fleet.Upstream
	Urgency  int           // 0 goes first
	Wait     time.Duration // how long it may wait for a slot
	Hold     time.Duration // longest time that it takes the slot
}

// Slots leases the slots of upstreams that bear few rejections.
type Slots interface {
	// Needed reports whether a slot of an upstream has to be taken before a send.
	Needed(upstream string) bool
	// Take takes a slot, if one is free. Release returns it; answered is false if the upstream
	// may still work on the request.
	Take(ctx context.Context, req SlotRequest) (release func(answered bool), granted bool)
	// Backoff returns how long nothing is to be sent to an upstream that has rejected a request
	// for want of capacity; 0 if it has no rejection limit.
	Backoff(u fleet.Upstream) time.Duration
}

// leases are the slots that a job has taken, by upstream. It is safe for concurrent use.
type leases struct {
	mu      sync.Mutex
	release map[string]func(answered bool)
}

func (l *leases) add(upstream string, release func(answered bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.release == nil {
		l.release = map[string]func(answered bool){}
	}
	l.release[upstream] = release
}

// remove returns the function that returns a slot; it does nothing if none was taken.
func (l *leases) remove(upstream string) func(answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	release, ok := l.release[upstream]
	if !ok {
		return func(bool) {}
	}
	delete(l.release, upstream)
	return release
}

// needsSlot reports whether a slot has to be taken before a send. Slots of engines are the
// admission's.
func (r *Relay) needsSlot(j *job, u fleet.Upstream) bool {
	return r.Slots != nil && j.service.Engine == nil && r.Slots.Needed(u.ID)
}

// takeSlot takes a slot of an upstream.
func (r *Relay) takeSlot(ctx context.Context, j *job, u fleet.Upstream, wait time.Duration) bool {
	release, granted := r.Slots.Take(ctx, SlotRequest{ID: j.req.ID, Service: j.service, Upstream: u, Urgency: j.urgency, Wait: wait, Hold: time.Until(j.deadline)})
	if granted {
		j.leases.add(u.ID, release)
	}
	return granted
}

// placesOverloaded reports whether all upstreams of a plain service are likely to be full.
func (r *Relay) placesOverloaded(j *job) bool {
	return r.sharesPlaces(j) && r.Places.Overloaded(time.Now(), j.service)
}

// awaitSlot waits for a slot of one upstream for as long as the request may wait, and refuses it
// if there is none.
func (r *Relay) awaitSlot(ctx context.Context, j *job, full picker.Choice) (u fleet.Upstream, load float64, err error) {
	u, load = full.Upstream, full.Load
	began, maxWait := time.Now(), r.maxWait(j)
	granted := r.takeSlot(ctx, j, u, maxWait)
	log := j.log.WithFields(logrus.Fields{"upstream": u.ID, "waited_ms": time.Since(began).Milliseconds(), "worth_ms": maxWait.Milliseconds()})
	if granted {
		if r.sharesPlaces(j) {
			r.Places.RecordSent(j.placeRequest(), u)
		}
		log.Info("slot_awaited")
		return u, load, nil
	}
	if ctx.Err() != nil {
		return u, 0, waitInterrupted(ctx)
	}
	back := retryAfterAllBoxes
	if r.sharesPlaces(j) {
		back = r.Places.RetryAfter(time.Now(), j.service)
	}
	log.Info("slot_refused")
	return u, 0, refusal.New(refusal.WaitTooLong, "no slot of "+j.service.Name+" is free in time").WithRetryAfter(back)
}

// backOffRejection makes this box send nothing for a time to an upstream that bears few rejections
// and has rejected a request without saying for how long.
func (r *Relay) backOffRejection(now time.Time, u fleet.Upstream, answer *exchange.Answer) {
	full := answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusTooManyRequests
	if r.Slots == nil || !answer.NotRun || !full || answer.Backoff > 0 {
		return
	}
	r.Backoff.Requested(now, u, r.Slots.Backoff(u))
}
