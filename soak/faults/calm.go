package faults

import (
	"context"
	"fmt"
	"time"

	"petrelstep/soak/checker"
	"petrelstep/soak/site"
)

// stopCalmly stops a box once no fault has been active for a while.
func (s *Injector) stopCalmly(ctx context.Context, b *site.Box, began time.Time) {
	select {
	case <-time.After(calmTime + maxPause):
	case <-ctx.Done():
		return
	}
	fmt.Fprintf(s.out, "%6.2f stop %s in calm\n", time.Since(began).Seconds(), b.Name)
	s.inject(plan{do: func(time.Duration) error { return s.stop(b) }})
}

// evacuateCalmly evacuates a hall for a while once no fault has been active for a while.
func (s *Injector) evacuateCalmly(ctx context.Context, hall string, began time.Time) {
	select {
	case <-time.After(calmTime + maxPause):
	case <-ctx.Done():
		return
	}
	fmt.Fprintf(s.out, "%6.2f evacuate %s in calm\n", time.Since(began).Seconds(), hall)
	s.inject(plan{do: func(time.Duration) error { return s.evacuate(hall) }})
}

// evacuate evacuates a hall for a while, and records that for the checker if no other fault
// was active.
func (s *Injector) evacuate(hall string) error {
	from := time.Now()
	s.site.Platform.Evacuate(hall)
	time.Sleep(evacuationTime)
	if s.quietSince(from.Add(-calmTime)) {
		s.mu.Lock()
		s.evacuations = append(s.evacuations, checker.Evacuation{Hall: hall, From: from, Until: time.Now()})
		s.mu.Unlock()
	}
	s.site.Platform.CancelEvacuation(hall)
	return nil
}
