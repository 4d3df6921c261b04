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
	// needFor is how long a worker names a limit: longer than the boxes have to hear of
	// it and the time over which the sum is bounded.
	needFor = 12 * time.Second
	// needPause is the longest pause between two such needs.
	needPause = time.Second
)

// limits are what workers in need name, in requests a second; the last is no limit.
var limits = []string{"0", "0.5", "1", "2", "4.5", "plenty"}

// RunLimits lets workers name limits, change them and take them back, one worker after the other,
// until ctx ends. What is random about it is drawn apart from all strikes.
func (s *Injector) RunLimits(ctx context.Context) []checker.LimitPeriod {
	var needs []checker.LimitPeriod
	for ctx.Err() == nil {
		pass(ctx, time.Duration(s.need.Int64N(int64(needPause))))
		service, n, first, then := []string{"llm", "plain", "plain"}[s.need.IntN(3)], s.need.IntN(1000), s.draws(), s.draws()
		w := s.site.Pick(service, n)
		if w == nil || ctx.Err() != nil {
			continue
		}
		fmt.Fprintf(s.out, "       %s is in need: %s, then %s\n", w.ID, first, then)
		needs = append(needs, need(ctx, w, first, then))
	}
	return needs
}

func (s *Injector) draws() string { return limits[s.need.IntN(len(limits))] }

// need lets a worker name two limits, one after the other.
func need(ctx context.Context, w *site.Worker, limits ...string) checker.LimitPeriod {
	n := checker.LimitPeriod{Worker: w.ID, Incarnation: w.StartedAt(), Span: checker.Span{From: time.Now()}}
	for _, limit := range limits {
		w.SetLimit(limit)
		if perSecond, err := strconv.ParseFloat(limit, 64); err == nil {
			n.Limits = append(n.Limits, checker.Limit{At: time.Now(), PerSecond: perSecond})
		}
		pass(ctx, needFor/time.Duration(len(limits)))
	}
	n.Until = time.Now()
	w.SetLimit("")
	return n
}

// pass waits for a time, or until ctx ends.
func pass(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
