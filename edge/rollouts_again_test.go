package edge

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"petrelstep/canary/orders"
)

// TestCompletedAgainServed guards against a release in service that gets no requests while the next order
// runs, as an earlier order for it was rolled back.
func TestCompletedAgainServed(t *testing.T) {
	for _, boxes := range []int{6, 76} {
		t.Run(fmt.Sprint(boxes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := (&cluster{}).context(t)
				defer end()
				s := newRolloutSite(ctx, t, boxes, max(testRate, 2*boxes))
				s.orderAndWithdraw("v2")
				s.waitState(orders.RolledBack, withdrawnTime)
				s.orderAndComplete("v2")
				s.removeUpstreams("v1")
				time.Sleep(time.Minute)
				s.only("v2")
				s.order("v3")
				s.onlyFor("v2", 5*time.Second) // and v3 on trial
				s.waitState(orders.Completed, rolloutDuration)
				s.only("v3")
			})
		})
	}
}
