package faults

import (
	"context"
	"fmt"
	"time"

	"petrelstep/soak/checker"
	"petrelstep/standin/worker"
)

const (
	// brittleGrace is how long after the announcement rejections begin to crash workers.
	brittleGrace = 3 * time.Second
	// brittleTime is how long they do.
	brittleTime = 6 * time.Second
	// brittleDown is how long a crashed worker is down.
	brittleDown = 2 * time.Second
	// maxBrittlePause bounds the pause between two such periods.
	maxBrittlePause = 3 * time.Second
)

// RunBrittle makes the workers of the plain service bear few rejections for a while, again and
// again, until ctx ends.
func (s *Injector) RunBrittle(ctx context.Context, slots int) (periods []checker.BrittlePeriod) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(s.brittleRandom.Int64N(int64(maxBrittlePause))))
		perSecond := 1 + s.brittleRandom.IntN(4)
		if ctx.Err() != nil {
			break
		}
		fmt.Fprintf(s.out, "       the plain workers bear %d rejections a second\n", perSecond)
		p := checker.BrittlePeriod{Span: checker.Span{From: time.Now()}}
		workers := s.site.Live("plain")
		for _, w := range workers {
			w.SetBrittle(&worker.Brittleness{PerSecond: perSecond, Slots: slots, From: p.From.Add(brittleGrace), Down: brittleDown})
		}
		sleep(ctx, brittleGrace+brittleTime)
		p.Until, p.Workers = time.Now(), len(workers)
		for _, w := range workers {
			w.SetBrittle(nil)
			for _, f := range w.Falls() {
				if !f.At.Before(p.From) {
					p.Falls = append(p.Falls, f)
				}
			}
		}
		periods = append(periods, p)
	}
	return periods
}
