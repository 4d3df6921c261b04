package edge

import (
	"testing"
	"testing/synctest"
	"time"

	"petrelstep/canary/orders"
)

// TestOrderFirstReaderTurnedAway guards against an order that nobody begins as long as the store
// turns away the box that would decide about it, and serves the others.
func TestOrderFirstReaderTurnedAway(t *testing.T) {
	for name, boxes := range map[string]int{"6 boxes": 6, "76 boxes": 76} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := (&cluster{}).context(t)
				defer end()
				s := newRolloutSite(ctx, t, boxes, 60)
				away := s.firstReader().Name()
				s.table.setCutOff(func(box string) bool { return box == away })
				s.table.put("op", "other", "{}") // ends the call for changes that was under way
				time.Sleep(100 * time.Millisecond)
				s.order("v2")
				t.Log("completed after", s.waitState(orders.Completed, s.duration))
			})
		})
	}
}
