package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"petrelstep/canary/orders"
	"petrelstep/platform/rollouts"
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
func (s *rolloutSite) checkWithdrawn(target string, timeout time.Duration) {
	s.t.Helper()
	is := is.New(s.t)
	s.waitState(orders.RolledBack, timeout)
	sent := s.sentTo(target)
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
					s.checkWithdrawn("v2", withdrawnTime)
					is.New(t).Equal(s.sentTo("v2"), 0)
				})
			})
		}
	}
}

// firstReader returns the box that is first among the readers.
func (s *rolloutSite) firstReader() *Edge {
	all := s.running()
	return all[slices.IndexFunc(all, func(e *Edge) bool { return e.IsReader() && e.rollouts.isFirstReader(time.Now(), "plain", "") })]
}

// restart kills boxes and starts them again at once.
func (s *rolloutSite) restart(ctx context.Context, boxes ...*Edge) {
	for _, e := range boxes {
		s.kill(e)
	}
	s.startAgain(ctx, s.t, boxes, func(*Edge) {})
}

// withdrawalFault is a fault beside the removal of an order.
type withdrawalFault struct {
	begin  func(ctx context.Context, s *rolloutSite)
	lasted time.Duration
}

// withdrawalFaultTime is how long the faults last that end by themselves.
const withdrawalFaultTime = 5 * time.Second

// withdrawalFaults returns faults of the box that decides, of other readers, and of the store.
func withdrawalFaults() map[string]withdrawalFault {
	return map[string]withdrawalFault{
		"first reader killed":            {func(_ context.Context, s *rolloutSite) { s.kill(s.firstReader()) }, 0},
		"first reader restarted":         {func(ctx context.Context, s *rolloutSite) { s.restart(ctx, s.firstReader()) }, 0},
		"all readers but one restarted":  {func(ctx context.Context, s *rolloutSite) { s.restart(ctx, s.readers()[1:]...) }, 0},
		"all readers but one killed":     {killReaders, 0},
		"first reader cut off":           {cutOffFirstReader, withdrawalFaultTime},
		"first reader frozen":            {freezeFirstReader, withdrawalFaultTime},
		"first reader cut off the store": {cutFirstReaderOffStore, 0},
		"store silent":                   {func(_ context.Context, s *rolloutSite) { s.silence(withdrawalFaultTime) }, withdrawalFaultTime},
		"store silent past the limit":    {func(_ context.Context, s *rolloutSite) { s.silence(2 * rolloutDuration) }, 2 * rolloutDuration},
		"answers of the store lost":      {func(_ context.Context, s *rolloutSite) { s.loseAnswers(true) }, 0},
		"history of the store forgotten": {func(_ context.Context, s *rolloutSite) { s.table.forget() }, 0},
		"boxes parted":                   {partBoxes, withdrawalFaultTime},
	}
}

func killReaders(_ context.Context, s *rolloutSite) {
	for _, e := range s.readers()[1:] {
		s.kill(e)
	}
}

func cutOffFirstReader(_ context.Context, s *rolloutSite) {
	e := s.firstReader()
	s.cutOff(e, true)
	time.AfterFunc(withdrawalFaultTime, func() { s.cutOff(e, false) })
}

// cutFirstReaderOffStore cuts the first reader off the store for good; it still reaches the other boxes.
func cutFirstReaderOffStore(_ context.Context, s *rolloutSite) {
	name := s.firstReader().Name()
	s.table.setCutOff(func(box string) bool { return box == name })
}

func freezeFirstReader(_ context.Context, s *rolloutSite) {
	e := s.firstReader()
	s.cutOff(e, true)
	time.AfterFunc(withdrawalFaultTime, func() {
		s.cutOff(e, false)
		e.onWake(withdrawalFaultTime)
	})
}

// partBoxes parts the boxes into two halves that both reach the store, so that two decide.
func partBoxes(_ context.Context, s *rolloutSite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition = map[string]int{}
	for i, e := range s.all {
		s.partition[e.Name()] = i % 2
	}
	time.AfterFunc(withdrawalFaultTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.partition = nil
	})
}

// TestWithdrawnUnderFault withdraws an order before and after its status running was written, just
// before a fault begins or just after: it has one outcome.
func TestWithdrawnUnderFault(t *testing.T) {
	const ms = time.Millisecond
	moments := map[string]struct {
		boxes         int
		after, before time.Duration // of the removal, since the order and since the fault
	}{
		"6 boxes, before a status": {6, 20 * ms, 0}, "6 boxes, as it begins": {6, 110 * ms, 0}, "6 boxes, while it runs": {6, 1000 * ms, 0},
		"6 boxes, the fault first": {6, 20 * ms, 10 * ms}, "6 boxes, the fault first, while it runs": {6, 1000 * ms, 100 * ms},
		"76 boxes, before a status": {76, 20 * ms, 0}, "76 boxes, while it runs": {76, 1000 * ms, 0},
	}
	for name, fault := range withdrawalFaults() {
		for moment, m := range moments {
			t.Run(name+", "+moment, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, end := (&cluster{}).context(t)
					defer end()
					s := newRolloutSite(ctx, t, m.boxes, 2*m.boxes+60)
					s.order("v2")
					time.Sleep(m.after - m.before)
					if m.before > 0 {
						fault.begin(ctx, s)
						time.Sleep(m.before)
					}
					s.withdraw()
					if m.before == 0 {
						time.Sleep(ms) // some boxes learn of it
						fault.begin(ctx, s)
					}
					s.checkWithdrawn("v2", fault.lasted+withdrawnTime)
				})
			})
		}
	}
}

// readers returns the boxes that read the store, the first one last.
func (s *rolloutSite) readers() []*Edge {
	first := s.firstReader()
	var list []*Edge
	for _, e := range s.running() {
		if e.IsReader() && e != first {
			list = append(list, e)
		}
	}
	return append(list, first)
}

// values returns the states that were written for a target, oldest first.
func (s *rolloutSite) values(target string) (list []string) {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	for _, value := range s.table.statuses {
		var v struct {
			Target string `json:"target_version"`
			State  string `json:"state"`
		}
		if json.Unmarshal([]byte(value), &v) == nil && v.Target == target {
			list = append(list, v.State)
		}
	}
	return list
}

// succession is what an operator does to the orders of a service, and the states that are written then.
type succession struct {
	play   func(ctx context.Context, s *rolloutSite)
	v2, v3 []string
}

// pauseBetweenOrders is the time between changes of orders in quick succession.
const pauseBetweenOrders = 2 * time.Millisecond

func (s *rolloutSite) orderAndWithdraw(target string) {
	s.order(target)
	time.Sleep(pauseBetweenOrders)
	s.withdraw()
}

// orderAgain gives an order after a pause.
func (s *rolloutSite) orderAgain(target string) {
	time.Sleep(pauseBetweenOrders)
	s.order(target)
}

func (s *rolloutSite) orderAndComplete(target string) {
	s.order(target)
	s.waitState(orders.Completed, rolloutDuration)
}

// successions returns orders that are withdrawn and replaced within milliseconds, and removed after their end.
func successions() map[string]succession {
	completed, rolledBack := []string{"running", "completed"}, []string{"rolled_back"}
	return map[string]succession{
		"replaced at once": {func(_ context.Context, s *rolloutSite) {
			s.order("v2")
			s.orderAgain("v3")
		}, nil, completed},
		"withdrawn, then another target": {func(_ context.Context, s *rolloutSite) {
			s.orderAndWithdraw("v2")
			s.orderAgain("v3")
		}, nil, completed},
		"withdrawn, then ordered again": {func(_ context.Context, s *rolloutSite) {
			s.orderAndWithdraw("v2")
			s.orderAgain("v2")
		}, completed, nil},
		"replaced while it runs, the second withdrawn at once": {func(_ context.Context, s *rolloutSite) {
			s.order("v2")
			time.Sleep(time.Second)
			s.orderAndWithdraw("v3")
		}, []string{"running"}, rolledBack},
		"rolled back, then ordered again and withdrawn at once": {func(_ context.Context, s *rolloutSite) {
			s.orderAndWithdraw("v2")
			time.Sleep(withdrawnTime)
			s.orderAndWithdraw("v2")
		}, []string{"rolled_back", "rolled_back"}, nil},
		"without duration, withdrawn at once": {func(_ context.Context, s *rolloutSite) {
			s.addUpstreams("v2")
			s.table.put("op", rolloutKey, `{"service":"plain","target_version":"v2"}`)
			time.Sleep(pauseBetweenOrders)
			s.withdraw()
		}, rolledBack, nil},
		"unreadable, withdrawn at once": {func(_ context.Context, s *rolloutSite) {
			s.table.put("op", rolloutKey, "{}")
			time.Sleep(pauseBetweenOrders)
			s.withdraw()
		}, nil, nil},
		"removed after its end": {func(_ context.Context, s *rolloutSite) {
			s.orderAndComplete("v2")
			s.withdraw()
			time.Sleep(time.Second)
			s.table.remove("status", rolloutKey)
		}, completed, nil},
		"removed after its end, all boxes restarted before": {func(ctx context.Context, s *rolloutSite) {
			s.orderAndComplete("v2")
			s.restart(ctx, s.running()...)
			time.Sleep(200 * time.Millisecond)
			s.withdraw()
		}, completed, nil},
		"removed after its end, all boxes restarted then": {func(ctx context.Context, s *rolloutSite) {
			s.orderAndComplete("v2")
			s.withdraw()
			time.Sleep(time.Second)
			s.restart(ctx, s.running()...)
		}, completed, nil},
	}
}

// TestOrdersInSuccession checks that each order that is withdrawn has one outcome, and that nothing is
// written for those that were replaced or have ended.
func TestOrdersInSuccession(t *testing.T) {
	for name, tt := range successions() {
		for _, boxes := range []int{6, 76} {
			t.Run(fmt.Sprint(name, ", ", boxes, " boxes"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					ctx, end := (&cluster{}).context(t)
					defer end()
					s := newRolloutSite(ctx, t, boxes, 2*boxes+60)
					tt.play(ctx, s)
					time.Sleep(rolloutDuration + time.Second)
					calls := s.rolloutCalls()
					time.Sleep(10 * time.Second)
					is.Equal(s.rolloutCalls(), calls)
					is.Equal(s.values("v2"), tt.v2)
					is.Equal(s.values("v3"), tt.v3)
				})
			})
		}
	}
}

// TestWithdrawnInService withdraws an order for the release in service at once: it is served throughout.
func TestWithdrawnInService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := (&cluster{}).context(t)
		defer end()
		s := newRolloutSite(ctx, t, 6, 72)
		s.table.put("op", rolloutKey, `{"service":"plain","target_version":"v1","duration_s":12}`)
		time.Sleep(time.Millisecond)
		s.withdraw()
		s.onlyFor("v1", 20*time.Second)
		is.New(t).Equal(s.values("v1"), []string{string(orders.RolledBack)})
	})
}

// rolloutLines records the lines about roll-outs of a box.
type rolloutLines struct {
	mu   sync.Mutex
	list []string
}

func (*rolloutLines) Levels() []logrus.Level { return logrus.AllLevels }

func (h *rolloutLines) Fire(e *logrus.Entry) error {
	if !strings.HasPrefix(e.Message, "rollout_") || e.Data["write"] == rollouts.WriteBegin {
		return nil // whether it begins first is open
	}
	line := e.Message
	for _, field := range []string{"order", "removed_order", "status_of", "outcome_due", "write", "reason", "outcome"} {
		if value, ok := e.Data[field]; ok {
			line += fmt.Sprintf(" %s=%v", field, value)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, line)
	return nil
}

// TestWithdrawnTraced checks that the log of the box that decides tells an order's course, from its
// version to its outcome.
func TestWithdrawnTraced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := (&cluster{}).context(t)
		defer end()
		s := newRolloutSite(ctx, t, 6, 72)
		lines := &rolloutLines{}
		first := s.firstReader()
		first.log.Logger.SetLevel(logrus.InfoLevel)
		first.log.Logger.AddHook(lines)
		s.orderAndWithdraw("v2")
		s.waitState(orders.RolledBack, withdrawnTime)
		order := s.table.lastVersion() - 2 // the removal and the status follow
		removed := fmt.Sprintf(" order=%d removed_order=%d", order+1, order)
		lines.mu.Lock()
		defer lines.mu.Unlock()
		is.New(t).Equal(lines.list, []string{
			fmt.Sprint("rollout_ordered order=", order),
			"rollout_ended" + removed + " outcome=withdrawn",
			"rollout_withdrawn" + removed + " status_of=none outcome_due=true",
			fmt.Sprintf("rollout_write order=%d write=roll_back reason=order_withdrawn outcome=written", order+1),
			"rollout_ended" + removed + " outcome=rolled_back",
		})
	})
}
