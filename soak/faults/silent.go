package faults

import (
	"context"
	"fmt"
	"sync"
	"time"

	"petrelstep/soak/checker"
	"petrelstep/soak/site"
	"petrelstep/standin/faultproxy"
)

const (
	// minSilentPause and maxSilentPause bound the time until further connections fall silent.
	minSilentPause = 1500 * time.Millisecond
	maxSilentPause = 4 * time.Second
	// maxChangeDelay bounds the time from there to a change in the store.
	maxChangeDelay = 700 * time.Millisecond
	// pauseShare: with one in pauseShare changes a box is paused just after it.
	pauseShare = 3
	// minBoxPause and maxBoxPause bound how long.
	minBoxPause = 500 * time.Millisecond
	maxBoxPause = 2500 * time.Millisecond
)

// silentPlan is a set of open connections that fall silent for good, and a change after it.
type silentPlan struct {
	boxes, store, workers bool // which connections: between boxes, to the store, to workers
	direction             faultproxy.Direction
	change                time.Duration // until the change
	organisation          string        // whose key is revoked
	paused                *site.Box     // just after the change; nil for none
	pause                 time.Duration
	next                  time.Duration // until the next set
}

// RunSilent silences open connections again and again until ctx ends, while new ones work. After
// each time a key is revoked and a worker leaves. It returns what the checker needs.
func (s *Injector) RunSilent(ctx context.Context) (departures []checker.Departure, err error) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for ctx.Err() == nil {
		p := s.drawSilent()
		fmt.Fprintf(s.out, "       open connections fall silent: between boxes %v, to the store %v, to workers %v, direction %d\n", p.boxes, p.store, p.workers, p.direction)
		s.inject(plan{do: func(time.Duration) error { s.silence(p); return nil }})
		sleep(ctx, p.change)
		s.site.Revoke(p.organisation)
		if w := s.site.Pick("plain", 0); w != nil {
			all.Go(func() {
				d, failure := s.site.LeaveByRow(w, true, leavingServes)
				mu.Lock()
				defer mu.Unlock()
				departures = append(departures, d)
				if failure != nil {
					err = failure
				}
			})
		}
		if p.paused != nil {
			fmt.Fprintf(s.out, "       pause %s for %v\n", p.paused.Name, p.pause.Round(time.Millisecond))
			all.Go(func() { _ = s.pause(p.paused, p.pause) }) // never fails
		}
		sleep(ctx, p.next)
	}
	all.Wait()
	return departures, err
}

// drawSilent draws a set of connections with all its random parameters.
func (s *Injector) drawSilent() silentPlan {
	r := s.silentRandom
	p := silentPlan{
		boxes: r.IntN(4) > 0, store: r.IntN(2) == 0, workers: r.IntN(2) == 0, direction: faultproxy.Direction(r.IntN(3)),
		change: time.Duration(r.Int64N(int64(maxChangeDelay))), organisation: []string{"council", "firm"}[r.IntN(2)],
		pause: minBoxPause + time.Duration(r.Int64N(int64(maxBoxPause-minBoxPause))),
		next:  minSilentPause + time.Duration(r.Int64N(int64(maxSilentPause-minSilentPause))),
	}
	box, paused := s.site.Boxes[r.IntN(len(s.site.Boxes))], r.IntN(pauseShare) == 0
	if paused {
		p.paused = box
	}
	return p
}

// silence silences the connections of a plan that are open now.
func (s *Injector) silence(p silentPlan) {
	for _, b := range s.site.Boxes {
		if p.boxes {
			b.Peers.MuteDirection(p.direction)
		}
		if p.store {
			b.Store.MuteDirection(p.direction)
		}
	}
	for _, service := range []string{"llm", "plain"} {
		for _, w := range s.site.Live(service) {
			if p.workers {
				w.WhileBroken(func() { w.Link.MuteDirection(p.direction) })
			}
		}
	}
}
