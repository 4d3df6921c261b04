package orders_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/canary/orders"
	"petrelstep/revision"
)

// withdrawn returns the removal of an order as another box tells it.
func withdrawn(version, removed revision.Revision, target string) orders.Order {
	return orders.Order{Service: service, Version: version, RemovedOrder: removed, Target: target, State: orders.Withdrawn}
}

// rolledBackAs returns a withdrawn order with its outcome, as another box tells it.
func rolledBackAs(version, removed, status revision.Revision) orders.Order {
	return withdrawn(version, removed, "v2").WithStatus(orders.RolledBack, status)
}

// TestRemovedOrder checks that an order that was withdrawn keeps the version of its own row, and that
// neither the removal nor the outcome of another order with the same target counts for it.
func TestRemovedOrder(t *testing.T) {
	running := order(5, "v2", orders.Running, 6)
	ended := order(5, "v2", orders.RolledBack, 7)
	rolledBack := rolledBackAs(12, 9, 13)
	tests := map[string]struct {
		updates []orders.Order
		state   orders.State
		version revision.Revision
		removed revision.Revision
	}{
		"before a status":                        {[]orders.Order{order(5, "v2", orders.Ordered, 0), removal(9)}, orders.Withdrawn, 9, 5},
		"while it runs":                          {[]orders.Order{running, removal(9)}, orders.Withdrawn, 9, 5},
		"removal listed later":                   {[]orders.Order{running, removal(9), removal(12)}, orders.Withdrawn, 12, 5},
		"removal listed later at another box":    {[]orders.Order{running, removal(9), withdrawn(12, 5, "v2")}, orders.Withdrawn, 12, 5},
		"another box knows a later order":        {[]orders.Order{running, removal(9), withdrawn(9, 8, "v2")}, orders.Withdrawn, 9, 8},
		"another box missed the order":           {[]orders.Order{order(8, "v2", orders.Ordered, 0), withdrawn(9, 5, "v2")}, orders.Ordered, 8, 0},
		"the same, then removed":                 {[]orders.Order{order(8, "v2", orders.Ordered, 0), withdrawn(9, 5, "v2"), removal(9)}, orders.Withdrawn, 9, 8},
		"this box missed the order":              {[]orders.Order{order(5, "v1", orders.Ordered, 0), removal(9), order(8, "v2", orders.Running, 9)}, orders.Withdrawn, 9, 8},
		"the same, it is rolled back":            {[]orders.Order{order(5, "v1", orders.Ordered, 0), removal(9), order(8, "v2", orders.RolledBack, 9)}, orders.RolledBack, 9, 8},
		"known as withdrawn only":                {[]orders.Order{withdrawn(9, 5, "v2")}, orders.Withdrawn, 9, 5},
		"known from a box that lacks the order":  {[]orders.Order{withdrawn(9, 0, "v2"), withdrawn(9, 5, "v2")}, orders.Withdrawn, 9, 5},
		"the same, removal listed later":         {[]orders.Order{withdrawn(9, 0, "v2"), withdrawn(12, 5, "v2")}, orders.Withdrawn, 12, 5},
		"removed after its end":                  {[]orders.Order{ended, removal(9)}, orders.RolledBack, 5, 0},
		"removed after its end, from a peer":     {[]orders.Order{ended, withdrawn(9, 5, "v2")}, orders.RolledBack, 5, 0},
		"ordered again":                          {[]orders.Order{ended, withdrawn(12, 9, "v2")}, orders.Withdrawn, 12, 9},
		"ordered again, outcome of the first":    {[]orders.Order{ended, withdrawn(12, 9, "v2"), ended}, orders.Withdrawn, 12, 9},
		"ordered again, completion of the first": {[]orders.Order{withdrawn(12, 9, "v2"), order(5, "v2", orders.Completed, 7)}, orders.Withdrawn, 12, 9},
		"outcome":                                {[]orders.Order{withdrawn(12, 9, "v2"), rolledBack}, orders.RolledBack, 12, 9},
		"outcome, removal told later":            {[]orders.Order{withdrawn(9, 5, "v2"), rolledBackAs(12, 5, 13)}, orders.RolledBack, 12, 5},
		"outcome, order still in force here":     {[]orders.Order{running, rolledBackAs(12, 5, 13)}, orders.RolledBack, 12, 5},
		"outcome told twice":                     {[]orders.Order{ended, rolledBackAs(12, 5, 13)}, orders.RolledBack, 5, 0},
		"outcome, removal listed later":          {[]orders.Order{withdrawn(14, 9, "v2"), rolledBack}, orders.RolledBack, 14, 9},
		"outcome before the removal":             {[]orders.Order{withdrawn(12, 9, "v2"), order(9, "v2", orders.Completed, 10)}, orders.Completed, 12, 9},
		"removal listed after the outcome":       {[]orders.Order{withdrawn(12, 9, "v2"), rolledBack, withdrawn(14, 9, "v2")}, orders.RolledBack, 12, 9},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := orders.New(func(_, _ orders.Order, _ string) {})
			for _, u := range tt.updates {
				l.Update(start, u, "test")
			}
			o, _ := l.Of(service)
			is.Equal(o.State, tt.state)
			is.Equal(o.Version, tt.version)
			is.Equal(o.RemovedOrder, tt.removed)
			is.Equal(orders.FromWord(start, o.Word(start)).RemovedOrder, tt.removed)
		})
	}
}

// TestWithdrawnTakesNothing checks that the target of a withdrawn order takes no requests, whatever a
// box knows of its outcome.
func TestWithdrawnTakesNothing(t *testing.T) {
	for name, updates := range map[string][]orders.Order{
		"known from the order on": {order(5, "v2", orders.Ordered, 0), removal(9)},
		"known as withdrawn":      {withdrawn(9, 5, "v2")},
		"rolled back":             {withdrawn(9, 5, "v2"), withdrawn(9, 5, "v2").WithStatus(orders.RolledBack, 10)},
		"ordered again":           {order(5, "v2", orders.RolledBack, 7), withdrawn(12, 9, "v2")},
	} {
		t.Run(name, func(t *testing.T) {
			l := orders.New(func(_, _ orders.Order, _ string) {})
			for _, u := range updates {
				l.Update(start, u, "test")
			}
			is.New(t).Equal(l.Releases(start.Add(time.Second), service), orders.Releases{Except: []string{"v2"}})
		})
	}
}

// follower is a box that follows the operator's table.
type follower struct {
	*orders.Orders
	readTo revision.Revision
	newest revision.Revision // version of the newest order that it has read
}

func newFollower() *follower {
	return &follower{Orders: orders.New(func(_, _ orders.Order, _ string) {})}
}

// feed applies the changes after what was read, up to a version. The version of a change is its index
// plus one.
func (f *follower) feed(changes []orders.Order, to revision.Revision) {
	for _, c := range changes[f.readTo:max(to, f.readTo)] {
		f.apply(c)
	}
	f.readTo = max(f.readTo, to)
}

// list applies a listing as of a version.
func (f *follower) list(changes []orders.Order, at revision.Revision) {
	if at <= f.readTo {
		return
	}
	f.readTo = at
	if c := changes[at-1]; c.State == orders.Ordered {
		f.apply(c)
		return
	}
	f.WithdrawMissing(start, nil, at, "test")
}

func (f *follower) apply(c orders.Order) {
	if c.State == orders.Ordered {
		f.newest = c.Version
	}
	f.Update(start, c, "test")
}

// applyWordsOf applies what another box knows.
func (f *follower) applyWordsOf(other *follower) {
	for _, o := range other.All() {
		f.Update(start, orders.FromWord(start, o.Word(start)), "test")
	}
}

// TestWithdrawalsAgree has boxes that read different parts of the operator's table tell each other what
// they know, in random order: in the end all know the newest order that one of them has read.
func TestWithdrawalsAgree(t *testing.T) {
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 2))
		var changes []orders.Order
		for v := revision.Revision(1); v <= 2+revision.Revision(random.Int64N(6)); v++ {
			if len(changes) > 0 && changes[v-2].State == orders.Ordered && random.IntN(2) == 0 {
				changes = append(changes, removal(v))
				continue
			}
			changes = append(changes, order(v, []string{"v2", "v3"}[random.IntN(2)], orders.Ordered, 0))
		}
		last := revision.Revision(len(changes))
		boxes := []*follower{newFollower(), newFollower(), newFollower()}
		for range 20 {
			f, at := boxes[random.IntN(len(boxes))], 1+revision.Revision(random.Int64N(int64(last)))
			switch random.IntN(3) {
			case 0:
				f.feed(changes, at)
			case 1:
				f.list(changes, at)
			default:
				f.applyWordsOf(boxes[random.IntN(len(boxes))])
			}
		}
		checkAgreement(t, seed, changes, boxes)
	}
}

// checkAgreement has all boxes read the table to its end, and tell each other what they know.
func checkAgreement(t *testing.T, seed uint64, changes []orders.Order, boxes []*follower) {
	newest := revision.Revision(0)
	for _, f := range boxes {
		f.feed(changes, revision.Revision(len(changes)))
		newest = max(newest, f.newest)
	}
	for range 3 {
		for _, f := range boxes {
			for _, other := range boxes {
				f.applyWordsOf(other)
			}
		}
	}
	withdrawn := changes[len(changes)-1].State == orders.Withdrawn
	for i, f := range boxes {
		o, known := f.Of(service)
		switch {
		case newest == 0 && !known:
		case !known:
			t.Fatalf("seed %d: box %d knows no order", seed, i)
		case withdrawn && (o.State != orders.Withdrawn || o.RemovedOrder != newest || o.Target != changes[newest-1].Target),
			!withdrawn && (o.State != orders.Ordered || o.Version != newest):
			t.Fatalf("seed %d: box %d has %+v; changes %+v", seed, i, o, changes)
		}
	}
}
