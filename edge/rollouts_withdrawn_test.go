package edge

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/canary/orders"
)

// withdrawnTime is how long after an order was withdrawn, or a fault has ended, its outcome must be
// known to all boxes.
const withdrawnTime = 5 * time.Second

// withdraw removes the order that is in force.
func (s *rolloutSite) withdraw() { s.table.remove("op", rolloutKey) }

// rolloutCalls returns the number of calls to the store for roll-outs.
func (s *rolloutSite) rolloutCalls() int {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	return s.table.reads["status"] + s.table.reads["rollouts"] + s.table.writes.done
}

// checkWithdrawn checks that an order that was withdrawn ends with one outcome, that all boxes know
// it, that the target gets nothing more, and that no calls are made for it afterwards.
func (s *rolloutSite) checkWithdrawn(target string, sent int, timeout time.Duration) {
	s.t.Helper()
	is := is.New(s.t)
	s.waitState(orders.RolledBack, timeout)
	is.Equal(s.outcomes(target), []string{string(orders.RolledBack)})
	time.Sleep(time.Second)
	calls := s.rolloutCalls()
	time.Sleep(10 * time.Second)
	is.Equal(s.rolloutCalls(), calls)
	is.Equal(s.outcomes(target), []string{string(orders.RolledBack)})
	is.Equal(s.sentTo(target), sent)
	s.only("v1")
}

// TestWithdrawnEarly checks that an order has an outcome whenever in its first second it is
// withdrawn: before a box has seen it, before a status was written, and after that.
func TestWithdrawnEarly(t *testing.T) {
	for _, boxes := range []int{6, 76} {
		for _, after := range []time.Duration{0, 1, 3, 10, 30, 60, 100, 150, 200, 300, 400, 500, 600, 700, 800, 900, 1000} {
			after *= time.Millisecond
			t.Run(fmt.Sprint(boxes, " boxes, after ", after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, end := (&cluster{}).context(t)
					defer end()
					s := newRolloutSite(ctx, t, boxes, 2*boxes+60)
					s.order("v2")
					time.Sleep(after)
					s.withdraw()
					s.checkWithdrawn("v2", 0, withdrawnTime)
				})
			})
		}
	}
}
