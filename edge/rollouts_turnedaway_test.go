package edge

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"petrelstep/canary/orders"
)

// TestOrderFirstReaderTurnedAway guards against an order that nobody begins as long as the store
// turns away the box that would decide about it, and serves the others.
func TestOrderFirstReaderTurnedAway(t *testing.T) {
	testOrderTurnedAway(t, func(s *rolloutSite) []string { return []string{s.firstReader().Name()} })
}

// TestOrderReadersTurnedAway guards against the same as the store turns away all boxes that may
// decide about it.
func TestOrderReadersTurnedAway(t *testing.T) {
	testOrderTurnedAway(t, func(s *rolloutSite) []string { return readerNames(s.cluster) })
}

// testOrderTurnedAway orders a roll-out while the store turns some boxes away.
func testOrderTurnedAway(t *testing.T, who func(s *rolloutSite) []string) {
	for name, boxes := range map[string]int{"6 boxes": 6, "76 boxes": 76} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := (&cluster{}).context(t)
				defer end()
				s := newRolloutSite(ctx, t, boxes, 60)
				away := who(s)
				s.table.setCutOff(func(box string) bool { return slices.Contains(away, box) })
				s.table.put("op", "other", "{}") // ends the call for changes that was under way
				time.Sleep(100 * time.Millisecond)
				s.order("v2")
				t.Log("completed after", s.waitState(orders.Completed, s.duration))
			})
		})
	}
}
