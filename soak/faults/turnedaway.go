package faults

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"petrelstep/soak/checker"
	"petrelstep/soak/site"
	"petrelstep/standin/faultproxy"
)

const (
	// minTurnedAway and maxTurnedAway bound how long the store turns boxes away.
	minTurnedAway = 10 * time.Second
	maxTurnedAway = 16 * time.Second
	// servedTime is how long it serves all of them afterwards.
	servedTime = 2 * time.Second
	// changesWhileAway is the number of keys that are revoked meanwhile, and of workers that
	// leave.
	changesWhileAway = 14
	// leavingServes is how long a leaving worker goes on serving: beyond the time in which
	// requests may still reach it.
	leavingServes = 6 * time.Second
	// boxFaultShare: in one of boxFaultShare periods a box is killed or paused too.
	boxFaultShare = 3
	// slowAnswers is the delay of the store's answers to a box: 50 times the usual one.
	slowAnswers = 200 * time.Millisecond
)

// turnAwayWays are the ways in which the store turns a box away.
var turnAwayWays = []string{"silence", "reset", "503", "429", "slowness"}

// turnedAwayPlan holds the boxes that the store turns away for a while, and the changes
// meanwhile.
type turnedAwayPlan struct {
	way      string
	boxes    []*site.Box
	readers  bool // the boxes that read the store for all are turned away too
	duration time.Duration
	changes  []time.Duration // since the start of the period
	box      *site.Box       // killed or paused meanwhile; nil for none
	kill     bool
}

// RunTurnedAway has the store turn some boxes away and serve the others, again and again until
// ctx ends, while keys are revoked and workers leave. It returns what the checker needs.
func (s *Injector) RunTurnedAway(ctx context.Context) (away []checker.TurnedAway, departures []checker.Departure, err error) {
	for ctx.Err() == nil {
		p := s.drawTurnedAway()
		if p.readers {
			p.boxes = s.withReaders(p.boxes)
		}
		fmt.Fprintf(s.out, "       the store turns away %s by %s for %v\n", p.names(), p.way, p.duration.Round(time.Millisecond))
		from := time.Now()
		left, failure := s.playTurnedAway(ctx, p)
		departures = append(departures, left...)
		for _, b := range p.boxes {
			away = append(away, checker.TurnedAway{Box: b.Name, Unreachable: p.way == "silence" || p.way == "reset", Span: checker.Span{From: from, Until: time.Now()}})
		}
		if failure != nil {
			return away, departures, failure
		}
		sleep(ctx, servedTime)
	}
	return away, departures, nil
}

// drawTurnedAway draws a period with all its random parameters.
func (s *Injector) drawTurnedAway() turnedAwayPlan {
	r, all := s.turnedAwayRandom, s.site.Boxes
	p := turnedAwayPlan{way: turnAwayWays[r.IntN(len(turnAwayWays))], duration: minTurnedAway + time.Duration(r.Int64N(int64(maxTurnedAway-minTurnedAway)))}
	order := r.Perm(len(all))
	for _, i := range order[:1+r.IntN(len(all)-1)] {
		p.boxes = append(p.boxes, all[i])
	}
	for range changesWhileAway {
		p.changes = append(p.changes, time.Duration(r.Int64N(int64(p.duration))))
	}
	p.readers = r.IntN(2) == 0
	box, fault, kill := all[r.IntN(len(all))], r.IntN(boxFaultShare) == 0, r.IntN(2) == 0
	if fault {
		p.box, p.kill = box, kill
	}
	return p
}

// withReaders returns the boxes and those that read the store for all, but not every box.
func (s *Injector) withReaders(boxes []*site.Box) []*site.Box {
	var list []*site.Box
	for _, b := range s.site.Boxes {
		if b.Reads() {
			list = append(list, b)
		}
	}
	for _, b := range boxes {
		if len(list) < len(s.site.Boxes)-1 && !slices.Contains(list, b) {
			list = append(list, b)
		}
	}
	return list[:min(len(list), len(s.site.Boxes)-1)]
}

func (p turnedAwayPlan) names() string {
	var list []string
	for _, b := range p.boxes {
		list = append(list, b.Name)
	}
	return strings.Join(list, ", ")
}

// turnAway begins to turn the boxes away.
func (p turnedAwayPlan) turnAway() {
	for _, b := range p.boxes {
		switch p.way {
		case "silence":
			b.Store.Silence(faultproxy.Both, p.duration)
		case "reset":
			b.Store.Cut(p.duration)
		case "503":
			b.Gate.TurnAway(http.StatusServiceUnavailable, p.duration)
		case "429":
			b.Gate.TurnAway(http.StatusTooManyRequests, p.duration)
		case "slowness":
			b.Store.Delay(faultproxy.FromTarget, slowAnswers, p.duration)
		}
	}
}

// playTurnedAway plays a period, and returns the workers that left.
func (s *Injector) playTurnedAway(ctx context.Context, p turnedAwayPlan) (left []checker.Departure, err error) {
	p.turnAway()
	var all sync.WaitGroup
	var mu sync.Mutex
	fail := func(failure error) {
		mu.Lock()
		defer mu.Unlock()
		if failure != nil {
			err = failure
		}
	}
	for i, after := range p.changes {
		all.Go(func() {
			sleep(ctx, after)
			s.site.Revoke([]string{"council", "firm"}[i%2])
			w := s.site.Pick("plain", 0)
			if w == nil {
				return
			}
			d, failure := s.site.LeaveByRow(w, true, leavingServes)
			fail(failure)
			mu.Lock()
			defer mu.Unlock()
			left = append(left, d)
		})
	}
	if p.box != nil {
		all.Go(func() { fail(s.disruptBox(p)) })
	}
	sleep(ctx, p.duration)
	all.Wait()
	return left, err
}

func (s *Injector) disruptBox(p turnedAwayPlan) error {
	if p.kill {
		fmt.Fprintf(s.out, "       meanwhile kill %s\n", p.box.Name)
		return s.kill(p.box, time.Second)
	}
	fmt.Fprintf(s.out, "       meanwhile pause %s\n", p.box.Name)
	return s.pause(p.box, p.duration/2)
}
