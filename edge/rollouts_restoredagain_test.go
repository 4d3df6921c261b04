package edge

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"petrelstep/canary/orders"
)

// restoredAgain has orders of a target before the store comes back from a copy, and long after.
type restoredAgain struct {
	before func(s *rolloutSite)
	during func(s *rolloutSite) // the order after the restore; nil for nothing
}

func rolledBackBefore(s *rolloutSite) {
	s.orderAndWithdraw("v2")
	s.waitState(orders.RolledBack, withdrawnTime)
}

// TestRestoredOrderedAgain guards against an order that boxes take for an earlier one of the same target, which
// has ended before the store came back from a copy some time ago.
func TestRestoredOrderedAgain(t *testing.T) {
	tests := map[string]restoredAgain{
		"rolled back": {before: rolledBackBefore},
		"completed, then removed": {before: func(s *rolloutSite) {
			s.orderAndComplete("v2")
			s.withdraw()
		}},
	}
	for name, tt := range tests {
		for _, boxes := range []int{6, 76} {
			t.Run(fmt.Sprint(name, ", ", boxes, " boxes"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { tt.run(t, boxes) })
			})
		}
	}
}

// TestRestoredOrderedAgainStart guards against the same at a box that starts while the order runs, and is told of
// both orders at once.
func TestRestoredOrderedAgainStart(t *testing.T) {
	for _, boxes := range []int{6, 76} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				restoredAgain{before: rolledBackBefore, during: (*rolloutSite).startLate}.run(t, boxes)
			})
		})
	}
}

func (p restoredAgain) run(t *testing.T, boxes int) {
	ctx, end := (&cluster{}).context(t)
	defer end()
	s := newRolloutSite(ctx, t, boxes, max(testRate, 2*boxes))
	s.table.restore(s.table.copyRows()) // a store that names its era
	time.Sleep(5 * time.Second)
	p.before(s)
	time.Sleep(5 * time.Second)
	s.table.interrupt(true)
	time.Sleep(300 * time.Millisecond)
	s.table.restore(s.table.copyRows())
	s.table.interrupt(false)
	time.Sleep(time.Minute)
	s.order("v2")
	s.waitAll(t, "knows the order", 2*time.Second, func(e *Edge) bool { return e.rollouts.counts.Active("plain") })
	time.Sleep(2 * time.Second)
	if p.during != nil {
		p.during(s)
	}
	s.waitState(orders.Completed, rolloutDuration)
	s.only("v2")
}
