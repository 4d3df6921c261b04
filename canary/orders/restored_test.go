package orders_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/canary/orders"
	"petrelstep/revision"
)

// restoredAt is the time at which the boxes of the tests read the restored store.
var restoredAt = start.Add(time.Minute)

// in returns a version of the era before the restore, and after one of the era after it.
func in(version int64) revision.Revision    { return revision.New(5, version) }
func after(version int64) revision.Revision { return revision.New(6, version) }

// restoredStep is a listing, or what a box learns of an order, some time after the restore.
type restoredStep struct {
	at     time.Duration
	listed revision.Revision // version of the listing; 0 if it is none
	orders []orders.Order
}

func (s restoredStep) apply(l *orders.Orders) {
	now := restoredAt.Add(s.at)
	l.Tick(now, now)
	if s.listed != 0 {
		l.Listed(now, s.listed)
	}
	listed := map[string]bool{}
	for _, o := range s.orders {
		listed[o.Service] = true
		l.Update(now, o, "test")
	}
	if s.listed != 0 {
		l.WithdrawMissing(now, listed, s.listed, "test")
	}
}

// TestRestored guards against an order that is begun again, withdrawn, revived or loses its outcome when
// the store comes back from an older copy.
func TestRestored(t *testing.T) {
	running := order(in(15), "v2", orders.Running, in(16)).WithPhase(orders.Trial, in(16), "b1")
	cutover := running.WithPhase(orders.Cutover, in(18), "b1")
	completed, rolledBack := cutover.WithStatus(orders.Completed, in(19)), running.WithStatus(orders.RolledBack, in(19))
	removed := removal(in(21))
	copied := order(after(15), "v2", orders.Ordered, 0)
	copiedRunning := order(after(15), "v2", orders.Running, after(16)).WithPhase(orders.Trial, after(16), "b1")
	again := order(after(14), "v2", orders.Ordered, 0)
	list := func(version int64, o ...orders.Order) restoredStep {
		return restoredStep{listed: after(version), orders: o}
	}
	told := func(at time.Duration, o ...orders.Order) restoredStep { return restoredStep{at: at, orders: o} }
	const soon, late = time.Second, 3 * time.Second
	tests := map[string]struct {
		before  []orders.Order
		steps   []restoredStep
		state   orders.State
		phase   orders.Phase
		target  string
		version revision.Revision
	}{
		"trial, in the copy":                        {before: []orders.Order{running}, steps: []restoredStep{list(20, copied), told(late)}, state: orders.Running, phase: orders.Trial, target: "v2", version: after(15)},
		"cutover, the copy has the trial":           {before: []orders.Order{cutover}, steps: []restoredStep{list(20, copiedRunning), told(late)}, state: orders.Running, phase: orders.Cutover, target: "v2", version: after(15)},
		"completed, the copy has the cutover":       {before: []orders.Order{completed}, steps: []restoredStep{list(20, copiedRunning), told(late)}, state: orders.Completed, phase: orders.Cutover, target: "v2", version: after(15)},
		"rolled back, the copy has the trial":       {before: []orders.Order{rolledBack}, steps: []restoredStep{list(20, copiedRunning), told(late)}, state: orders.RolledBack, phase: orders.Trial, target: "v2", version: after(15)},
		"rolled back, another box completes":        {before: []orders.Order{rolledBack}, steps: []restoredStep{list(20, copiedRunning), told(soon, copiedRunning.WithStatus(orders.Completed, after(30)))}, state: orders.RolledBack, phase: orders.Trial, target: "v2", version: after(15)},
		"running, told of an earlier completion":    {before: []orders.Order{running}, steps: []restoredStep{list(20, copiedRunning), told(late, completed)}, state: orders.Completed, phase: orders.Cutover, target: "v2", version: after(15)},
		"missing":                                   {before: []orders.Order{running}, steps: []restoredStep{list(10), told(soon)}, state: orders.Running, phase: orders.Trial, target: "v2", version: in(15)},
		"missing in two listings":                   {before: []orders.Order{running}, steps: []restoredStep{list(10), {at: soon, listed: after(12)}}, state: orders.Running, phase: orders.Trial, target: "v2", version: in(15)},
		"missing, not written again":                {before: []orders.Order{running}, steps: []restoredStep{list(10), told(late)}, state: orders.Withdrawn, phase: orders.Trial, target: "v2", version: after(10)},
		"missing, written again":                    {before: []orders.Order{running}, steps: []restoredStep{list(10), told(soon, again), told(late)}, state: orders.Running, phase: orders.Trial, target: "v2", version: after(14)},
		"rolled back, missing, written again":       {before: []orders.Order{rolledBack}, steps: []restoredStep{list(10), told(soon, again), told(late)}, state: orders.RolledBack, phase: orders.Trial, target: "v2", version: after(14)},
		"completed, missing, written again":         {before: []orders.Order{completed}, steps: []restoredStep{list(10), told(soon, again), told(late)}, state: orders.Completed, phase: orders.Cutover, target: "v2", version: after(14)},
		"rolled back, ordered again much later":     {before: []orders.Order{rolledBack}, steps: []restoredStep{list(20, copied), told(time.Minute, order(after(40), "v2", orders.Ordered, 0))}, state: orders.Ordered, target: "v2", version: after(40)},
		"rolled back, ordered again soon":           {before: []orders.Order{rolledBack}, steps: []restoredStep{list(20, copied), told(soon, order(after(40), "v2", orders.Ordered, 0))}, state: orders.Ordered, target: "v2", version: after(40)},
		"withdrawn, in the copy":                    {before: []orders.Order{running, removed}, steps: []restoredStep{list(20, copied), told(soon)}, state: orders.Withdrawn, phase: orders.Trial, target: "v2", version: in(21)},
		"withdrawn, in the copy, removed again":     {before: []orders.Order{running, removed}, steps: []restoredStep{list(20, copied), told(soon, removal(after(30))), told(late)}, state: orders.Withdrawn, phase: orders.Trial, target: "v2", version: after(30)},
		"withdrawn, in the copy, not removed":       {before: []orders.Order{running, removed}, steps: []restoredStep{list(20, copied), told(late)}, state: orders.Ordered, target: "v2", version: after(15)},
		"withdrawn, rolled back, in the copy":       {before: []orders.Order{running, removed, withdrawn(in(21), in(15), "v2").WithStatus(orders.RolledBack, in(22))}, steps: []restoredStep{list(20, copied), told(late)}, state: orders.RolledBack, phase: orders.Trial, target: "v2", version: after(15)},
		"replaced, the copy has the earlier":        {before: []orders.Order{running, order(in(25), "v3", orders.Ordered, 0)}, steps: []restoredStep{list(20, copied), told(soon)}, state: orders.Ordered, target: "v3", version: in(25)},
		"replaced, written again":                   {before: []orders.Order{running, order(in(25), "v3", orders.Ordered, 0)}, steps: []restoredStep{list(20, copied), told(soon, order(after(23), "v3", orders.Ordered, 0)), told(late)}, state: orders.Ordered, target: "v3", version: after(23)},
		"replaced, not written again":               {before: []orders.Order{running, order(in(25), "v3", orders.Ordered, 0)}, steps: []restoredStep{list(20, copied), told(late)}, state: orders.Ordered, target: "v2", version: after(15)},
		"replaced by the same target, written late": {before: []orders.Order{rolledBack, order(in(25), "v2", orders.Running, in(26))}, steps: []restoredStep{list(20, copied), told(soon, order(after(23), "v2", orders.Ordered, 0)), told(late)}, state: orders.Running, target: "v2", version: after(23)},
		"another order with a lower number":         {before: []orders.Order{running}, steps: []restoredStep{list(10), told(soon, order(after(12), "v3", orders.Ordered, 0)), told(late)}, state: orders.Ordered, target: "v3", version: after(12)},
		"another order with the same number":        {before: []orders.Order{running}, steps: []restoredStep{list(10), told(soon, order(after(15), "v3", orders.Ordered, 0)), told(late)}, state: orders.Ordered, target: "v3", version: after(15)},
		"removed after the restore":                 {before: []orders.Order{running}, steps: []restoredStep{list(20, copied), told(soon, removal(after(22)))}, state: orders.Withdrawn, phase: orders.Trial, target: "v2", version: after(22)},
		"told of the earlier era":                   {before: []orders.Order{running}, steps: []restoredStep{list(20, copied), told(soon, rolledBack)}, state: orders.RolledBack, phase: orders.Trial, target: "v2", version: after(15)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := playRestore(tt.before, tt.steps)
			is.Equal(o.State, tt.state)
			is.Equal(o.Phase, tt.phase)
			is.Equal(o.Target, tt.target)
			is.Equal(o.Version, tt.version)
		})
	}
}

// playRestore returns the newest order at a box that knew orders before a restore.
func playRestore(before []orders.Order, steps []restoredStep) orders.Order {
	l := orders.New(func(_, _ orders.Order, _ string) {})
	for _, o := range before {
		l.Update(start, o, "test")
	}
	for _, s := range steps {
		s.apply(l)
	}
	o, _ := l.Of(service)
	return o
}

// TestRestoredIdentity checks that an order is the same one to this box after a restore, and that its
// exclusions and what was in service before it are kept.
func TestRestoredIdentity(t *testing.T) {
	is := is.New(t)
	l := orders.New(func(_, _ orders.Order, _ string) {})
	l.Update(restoredAt, order(in(15), "v2", orders.Completed, in(19)), "test")
	l.Retire(service, in(15), []string{"v1"})
	before, _ := l.Of(service)
	l.Update(restoredAt, order(after(15), "v2", orders.Ordered, 0), "test")
	o, _ := l.Of(service)
	is.True(o.Version != before.Version)
	is.Equal(o.Identity(), before.Identity())
	is.True(o.StatusMayBeLost())
	is.Equal(l.Releases(restoredAt, service), orders.Releases{Except: []string{"v1"}})
}

// TestRestoredEraTold guards against an order that a box which does not read the store takes for an earlier one of
// the same target, as it learns of the restore by the order only.
func TestRestoredEraTold(t *testing.T) {
	tests := map[string]struct {
		known, told orders.Order
		after       time.Duration // since the box learned of the era
		want        orders.State
	}{
		"written again":             {order(in(15), "v2", orders.RolledBack, in(16)), order(after(40), "v2", orders.Ordered, 0), time.Second, orders.RolledBack},
		"ordered again":             {order(in(15), "v2", orders.RolledBack, in(16)), order(after(40), "v2", orders.Ordered, 0), revision.RestoreTime, orders.Ordered},
		"completed, ordered again":  {order(in(15), "v2", orders.Completed, in(16)), order(after(40), "v2", orders.Running, after(41)), time.Minute, orders.Running},
		"the copy holds an earlier": {order(in(15), "v3", orders.Running, in(16)), order(after(10), "v2", orders.RolledBack, after(11)), time.Second, orders.Running},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := orders.New(func(_, _ orders.Order, _ string) {})
			l.Update(start, tt.known, "test")
			l.RecordEra(restoredAt, after(0).Era())
			l.Update(restoredAt.Add(tt.after), tt.told, "test")
			o, _ := l.Of(service)
			is.New(t).Equal(o.State, tt.want)
		})
	}
}

// TestRestoredStart guards against an order that a box that has just started takes for ended, as it learns of it
// and of an order of the same target that was rolled back in an earlier era of the store.
func TestRestoredStart(t *testing.T) {
	earlier, other := order(in(15), "v2", orders.RolledBack, in(16)), order(in(18), "v3", orders.RolledBack, in(19))
	running := order(after(40), "v2", orders.Running, after(41))
	tests := map[string]struct {
		known   []orders.Order // to the box that tells; the last one is the newest
		started []orders.Order // read by the box itself
	}{
		"one order":                    {known: []orders.Order{running}},
		"rolled back before":           {known: []orders.Order{earlier, running}},
		"with another in between":      {known: []orders.Order{earlier, other, running}},
		"the newest was read before":   {known: []orders.Order{earlier, running}, started: []orders.Order{order(after(40), "v2", orders.Ordered, 0)}},
		"the earlier is known already": {known: []orders.Order{earlier, running}, started: []orders.Order{earlier}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			hub, started := orders.New(func(_, _ orders.Order, _ string) {}), orders.New(func(_, _ orders.Order, _ string) {})
			hub.RecordEra(start, after(0).Era())
			for _, o := range tt.known {
				hub.Update(restoredAt, o, "test")
			}
			o, _ := hub.Of(service)
			is.Equal(o, running)
			for _, o := range tt.started {
				started.Update(restoredAt, o, "test")
			}
			for range 3 { // answers
				started.Told(restoredAt, hub.All(), "hub")
			}
			o, _ = started.Of(service)
			is.Equal(o, running)
			is.Equal(started.Releases(restoredAt, service), hub.Releases(restoredAt, service))
		})
	}
}
