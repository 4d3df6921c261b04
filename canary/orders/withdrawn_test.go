package orders_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/canary/orders"
)

// withdrawn returns the removal of an order as another box tells it.
func withdrawn(version, removed int64, target string) orders.Order {
	return orders.Order{Service: service, Version: version, RemovedOrder: removed, Target: target, State: orders.Withdrawn}
}

// TestRemovedOrder checks that an order that was withdrawn keeps the version of its own row, and that
// neither the removal nor the outcome of another order with the same target counts for it.
func TestRemovedOrder(t *testing.T) {
	running := order(5, "v2", orders.Running, 6)
	ended := order(5, "v2", orders.RolledBack, 7)
	rolledBack := withdrawn(12, 9, "v2").WithStatus(orders.RolledBack, 13)
	tests := map[string]struct {
		updates []orders.Order
		state   orders.State
		version int64
		removed int64
	}{
		"before a status":                        {[]orders.Order{order(5, "v2", orders.Ordered, 0), removal(9)}, orders.Withdrawn, 9, 5},
		"while it runs":                          {[]orders.Order{running, removal(9)}, orders.Withdrawn, 9, 5},
		"removal listed later":                   {[]orders.Order{running, removal(9), removal(12)}, orders.Withdrawn, 12, 5},
		"removal listed later at another box":    {[]orders.Order{running, removal(9), withdrawn(12, 5, "v2")}, orders.Withdrawn, 12, 5},
		"another box knows a later order":        {[]orders.Order{running, removal(9), withdrawn(9, 8, "v2")}, orders.Withdrawn, 9, 8},
		"another box missed the order":           {[]orders.Order{order(8, "v2", orders.Ordered, 0), withdrawn(9, 5, "v2")}, orders.Withdrawn, 9, 8},
		"known as withdrawn only":                {[]orders.Order{withdrawn(9, 5, "v2")}, orders.Withdrawn, 9, 5},
		"known from a box that lacks the order":  {[]orders.Order{withdrawn(9, 0, "v2"), withdrawn(9, 5, "v2")}, orders.Withdrawn, 9, 5},
		"the same, removal listed later":         {[]orders.Order{withdrawn(9, 0, "v2"), withdrawn(12, 5, "v2")}, orders.Withdrawn, 12, 5},
		"removed after its end":                  {[]orders.Order{ended, removal(9)}, orders.RolledBack, 5, 0},
		"removed after its end, from a peer":     {[]orders.Order{ended, withdrawn(9, 5, "v2")}, orders.RolledBack, 5, 0},
		"ordered again":                          {[]orders.Order{ended, withdrawn(12, 9, "v2")}, orders.Withdrawn, 12, 9},
		"ordered again, outcome of the first":    {[]orders.Order{ended, withdrawn(12, 9, "v2"), ended}, orders.Withdrawn, 12, 9},
		"ordered again, completion of the first": {[]orders.Order{withdrawn(12, 9, "v2"), order(5, "v2", orders.Completed, 7)}, orders.Withdrawn, 12, 9},
		"outcome":                                {[]orders.Order{withdrawn(12, 9, "v2"), rolledBack}, orders.RolledBack, 12, 9},
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
