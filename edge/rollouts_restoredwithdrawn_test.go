package edge

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/canary/orders"
	"petrelstep/revision"
)

// withdrawnRestored is an order that is withdrawn right before the store comes back from a copy without it.
type withdrawnRestored struct {
	earlier bool          // an order of the target was rolled back before the copy
	after   time.Duration // the order is withdrawn
	ended   bool          // its outcome is written before the store is away
}

// TestRolloutRestoredWithdrawn guards against a withdrawn order that has no outcome, or several, when the
// store comes back from a copy without it.
func TestRolloutRestoredWithdrawn(t *testing.T) {
	tests := map[string]withdrawnRestored{
		"at once":                             {after: pauseBetweenOrders},
		"at once, after an earlier order":     {after: pauseBetweenOrders, earlier: true},
		"running":                             {after: 3 * time.Second},
		"running, after an earlier order":     {after: 3 * time.Second, earlier: true},
		"rolled back":                         {after: 3 * time.Second, ended: true},
		"rolled back, after an earlier order": {after: 3 * time.Second, ended: true, earlier: true},
	}
	for name, tt := range tests {
		for _, boxes := range []int{6, 76} {
			t.Run(fmt.Sprint(name, ", ", boxes, " boxes"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { tt.run(t, boxes) })
			})
		}
	}
}

func (p withdrawnRestored) run(t *testing.T, boxes int) {
	is := is.New(t)
	ctx, end := (&cluster{}).context(t)
	defer end()
	s := newRolloutSite(ctx, t, boxes, max(testRate, 2*boxes))
	s.table.restore(s.table.copyRows()) // a store that names its era
	time.Sleep(5 * time.Second)
	if p.earlier {
		s.orderAndWithdraw("v2")
		s.waitState(orders.RolledBack, withdrawnTime)
		time.Sleep(time.Second)
	}
	held := s.table.copyRows()
	s.order("v2")
	time.Sleep(p.after)
	s.withdraw()
	if p.ended {
		s.waitState(orders.RolledBack, withdrawnTime)
	}
	time.Sleep(pauseBetweenOrders)
	s.table.interrupt(true)
	time.Sleep(300 * time.Millisecond)
	before := len(s.values("v2"))
	s.table.restore(held)
	s.table.interrupt(false)
	s.addUpstreams("v2")
	time.Sleep(revision.RestoreTime + withdrawnTime)
	is.Equal(s.values("v2")[before:], []string{"rolled_back"})
	s.waitState(orders.RolledBack, time.Second)
	calls := s.rolloutCalls()
	time.Sleep(10 * time.Second)
	is.Equal(s.rolloutCalls(), calls)
	is.True(!slices.Contains(s.values("v2"), "completed"))
	s.only("v1")
}
