package faults

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"petrelstep/soak/checker"
	"petrelstep/soak/site"
)

const (
	// limitDuration is how long a worker announces limits: longer than the checker's settle
	// time and window together.
	limitDuration = 12 * time.Second
	// maxLimitPause bounds the pause between two such periods.
	maxLimitPause = time.Second
)

// limits are the limits to announce, in requests per second; the last is invalid.
var limits = []string{"0", "0.5", "1", "2", "4.5", "plenty"}

// RunLimits has one worker after the other announce limits, change and withdraw them, until
// ctx ends.
func (s *Injector) RunLimits(ctx context.Context) []checker.LimitPeriod {
	var periods []checker.LimitPeriod
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(s.limitRandom.Int64N(int64(maxLimitPause))))
		service, n, first, then := []string{"llm", "plain", "plain"}[s.limitRandom.IntN(3)], s.limitRandom.IntN(1000), s.drawLimit(), s.drawLimit()
		w := s.site.Pick(service, n)
		if w == nil || ctx.Err() != nil {
			continue
		}
		fmt.Fprintf(s.out, "       %s announces limits: %s, then %s\n", w.ID, first, then)
		periods = append(periods, setLimits(ctx, w, first, then))
	}
	return periods
}

func (s *Injector) drawLimit() string { return limits[s.limitRandom.IntN(len(limits))] }

// setLimits has a worker announce limits in sequence.
func setLimits(ctx context.Context, w *site.Worker, limits ...string) checker.LimitPeriod {
	n := checker.LimitPeriod{Worker: w.ID, Incarnation: w.StartedAt(), Span: checker.Span{From: time.Now()}}
	for _, limit := range limits {
		w.SetLimit(limit)
		if perSecond, err := strconv.ParseFloat(limit, 64); err == nil {
			n.Limits = append(n.Limits, checker.Limit{At: time.Now(), PerSecond: perSecond})
		}
		sleep(ctx, limitDuration/time.Duration(len(limits)))
	}
	n.Until = time.Now()
	w.SetLimit("")
	return n
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
