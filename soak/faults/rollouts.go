package faults

import (
	"context"
	"fmt"
	"sync"
	"time"

	"petrelstep/soak/checker"
	"petrelstep/soak/site"
	"petrelstep/standin/faultproxy"
	"petrelstep/standin/worker"
)

const (
	// Bounds of the durations of orders.
	minRollout = 8 * time.Second
	maxRollout = 15 * time.Second
	// calmRolloutShare: one in calmRolloutShare pairs of roll-outs takes place with no fault
	// active, and goodShare: one in goodShare versions is good.
	calmRolloutShare = 3
	goodShare        = 3
	// withdrawShare: one in withdrawShare orders is withdrawn.
	withdrawShare = 8
	// badBefore is the part of an order's duration in which a version turns bad.
	badBefore = 0.6
	// maxBadAfter bounds the number of requests after which a worker turns bad, and
	// maxBadRunning the number of concurrent requests from which on it is bad.
	maxBadAfter   = 30
	maxBadRunning = 3
	// slowFirst and slowPace are how much longer the first events, or whole responses, and the
	// further events of a slow version take.
	slowFirst = 15
	slowPace  = 5
)

// rolloutPlan holds a roll-out of each service at the same time, and a fault meanwhile.
type rolloutPlan struct {
	calm      bool
	orders    []site.Rollout
	after     time.Duration // time until the fault
	drawn     drawnFault
	choice    int  // of the faults
	onDecider bool // the fault affects the box that decides about a roll-out then
}

// RunRollouts has the operator roll out versions of all services, good and bad ones, until ctx
// ends, and waits for their outcomes.
func (s *Injector) RunRollouts(ctx context.Context) error {
	for ctx.Err() == nil {
		p := s.drawRollout()
		var err error
		if p.calm {
			err = s.rollOutCalmly(ctx, p)
		} else {
			s.inject(plan{do: func(time.Duration) error {
				err = s.rollOut(ctx, p)
				return nil
			}})
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// rollOutCalmly rolls out once no fault has been active for a while, and holds back faults
// until the end.
func (s *Injector) rollOutCalmly(ctx context.Context, p rolloutPlan) error {
	s.gate.Lock()
	defer s.gate.Unlock()
	if !s.awaitCalm(ctx) {
		return nil
	}
	return s.rollOut(ctx, p)
}

func (s *Injector) rollOut(ctx context.Context, p rolloutPlan) error {
	began := time.Now()
	var all sync.WaitGroup
	failures := make(chan error, len(p.orders))
	for _, o := range p.orders {
		calm := p.calm && o.WithdrawAfter == 0
		o.Calm = func() bool { return calm && s.idleSince(began) }
		all.Go(func() {
			fmt.Fprintf(s.out, "       roll out %s in %v, %s, in calm: %v\n", o.Service, o.Duration.Round(time.Millisecond), describe(o), p.calm)
			ended, err := s.site.RollOut(o)
			fmt.Fprintf(s.out, "       %v\n", ended)
			failures <- err
		})
	}
	if !p.calm {
		sleep(ctx, p.after)
		if ctx.Err() == nil {
			f := s.faultDuring(p)
			fmt.Fprintf(s.out, "       during the roll-out: %s for %v\n", f.name, f.duration.Round(time.Millisecond))
			s.inject(f)
		}
	}
	all.Wait()
	for range p.orders {
		if err := <-failures; err != nil {
			return err
		}
	}
	return nil
}

func describe(o site.Rollout) string {
	withdrawn := ""
	if o.WithdrawAfter > 0 {
		withdrawn = fmt.Sprint("withdrawn after ", o.WithdrawAfter.Round(time.Millisecond), ", ")
	}
	if o.Badness == nil {
		return withdrawn + "good"
	}
	b := *o.Badness
	return withdrawn + fmt.Sprintf("bad: %q, slower %v, share %.2f, prefix %q, after %d requests, after %v, from %d running", b.Fault, b.Slowdown, b.Share, b.Prefix, b.After, o.BadAfter.Round(time.Millisecond), b.Running)
}

// awaitCalm waits until no fault has been active for a while.
func (s *Injector) awaitCalm(ctx context.Context) bool {
	for ctx.Err() == nil {
		if s.idleSince(time.Now().Add(-calmTime)) {
			return true
		}
		sleep(ctx, maxPause)
	}
	return false
}

// idleSince reports whether no fault has been active since a time.
func (s *Injector) idleSince(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active == 0 && s.lastEnded.Before(at) && s.site.LastPoisonCrash().Before(at)
}

// drawRollout draws the next roll-outs, with all their random parameters.
func (s *Injector) drawRollout() rolloutPlan {
	r := s.rolloutRandom
	p := rolloutPlan{calm: r.IntN(calmRolloutShare) == 0}
	for _, service := range []string{"llm", "plain"} {
		o := site.Rollout{Service: service, Duration: minRollout + time.Duration(r.Int64N(int64(maxRollout-minRollout)))}
		badness, badAfter := s.drawBadness(service, o.Duration)
		if r.IntN(goodShare) > 0 {
			o.Badness, o.BadAfter = &badness, badAfter
		}
		if r.IntN(withdrawShare) == 0 {
			o.WithdrawAfter = time.Duration(r.Int64N(int64(o.Duration)))
		}
		p.orders = append(p.orders, o)
	}
	p.after = time.Duration(r.Int64N(int64(maxRollout)))
	p.drawn = drawnFault{
		box: s.site.Boxes[r.IntN(len(s.site.Boxes))], number: r.IntN(1000), direction: faultproxy.Direction(r.IntN(3)),
		duration: 300*time.Millisecond + time.Duration(r.Int64N(int64(maxDuration))),
	}
	p.drawn.short = min(p.drawn.duration, 2*time.Second)
	p.choice, p.onDecider = r.IntN(1000), r.IntN(2) == 0
	return p
}

// faultDuring returns the fault of a plan.
func (s *Injector) faultDuring(p rolloutPlan) plan {
	d := p.drawn
	var all []plan
	if decider := s.site.Decider(p.orders[p.choice%len(p.orders)].Service); p.onDecider && decider != nil {
		d.box = decider
		all = s.boxFaults(d)
	} else {
		silent := plan{"the store is silent", d.duration, s.silenceStore}
		region := plan{"cut the store from a region", d.duration, s.cutRegion}
		all = append(append(s.boxFaults(d), s.storeFaults(d)...), silent, silent, region, region)
	}
	return all[p.choice/len(p.orders)%len(all)]
}

// drawBadness draws how a version misbehaves, and how long after the order it may begin to.
func (s *Injector) drawBadness(service string, duration time.Duration) (b worker.Badness, after time.Duration) {
	r := s.rolloutRandom
	b.Share = 0.3 + 0.7*r.Float64()
	switch r.IntN(6) {
	case 0:
		b.Fault = worker.Hang
	case 1:
		b.Fault = worker.Cut
	case 2:
		b.Slowdown = worker.Slowdown{First: slowFirst, Pace: slowPace}
	case 3:
		b.Slowdown = worker.Slowdown{First: slowFirst}
	default:
		b.Fault = worker.Failure
	}
	switch r.IntN(5) {
	case 0:
		b.After = r.IntN(maxBadAfter)
	case 1:
		after = time.Duration(badBefore * r.Float64() * float64(duration))
	case 2:
		kinds := map[string][]checker.Kind{"llm": {checker.Draft, checker.Check}, "plain": {checker.Once, checker.Lookup}}[service]
		b.Prefix = site.Prefix(kinds[r.IntN(len(kinds))])
	case 3:
		b.Running = 2 + r.IntN(maxBadRunning-1)
	}
	return b, after
}

// silenceStore holds back all bytes between the boxes and the store.
func (s *Injector) silenceStore(duration time.Duration) error {
	defer s.recordStoreFault(time.Now())
	for _, b := range s.site.Boxes {
		b.Store.Silence(faultproxy.Both, duration)
	}
	time.Sleep(duration)
	return nil
}

// cutRegion cuts the boxes of the region without the store from it.
func (s *Injector) cutRegion(duration time.Duration) error {
	for _, b := range s.site.Boxes {
		if b.Far() {
			b.Store.Cut(duration)
		}
	}
	time.Sleep(duration)
	return nil
}

// recordStoreFault records a fault of the store that affects all boxes, from a time until now.
func (s *Injector) recordStoreFault(from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeSpans = append(s.storeSpans, checker.Span{From: from, Until: time.Now()})
}

// StoreFaults returns when the store had a fault that affected all boxes.
func (s *Injector) StoreFaults() []checker.Span {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeSpans
}
