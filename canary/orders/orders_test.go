package orders_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/canary/orders"
	"petrelstep/revision"
)

const service = "llm"

var start = time.Unix(1000, 0)

// order returns an order in a state; status is the version of its status row.
func order(version revision.Revision, target string, state orders.State, status revision.Revision) orders.Order {
	return orders.Order{Service: service, Version: version, Target: target, Duration: 12 * time.Second, State: state, StatusVersion: status}
}

func removal(version revision.Revision) orders.Order {
	return orders.Order{Service: service, Version: version, State: orders.Withdrawn}
}

// TestReleases applies updates in order and in reverse: both must lead to the same state
// and to the same releases that take requests.
func TestReleases(t *testing.T) {
	trial := order(5, "v2", orders.Running, 6).WithPhase(orders.Trial, 6, "b1")
	cutover := trial.WithPhase(orders.Cutover, 8, "b1")
	tests := map[string]struct {
		updates []orders.Order
		after   time.Duration // since the last update
		inOrder bool          // in reverse, the box learns of the order after its end
		state   orders.State
		want    orders.Releases
	}{
		"no order":                    {},
		"ordered":                     {updates: []orders.Order{order(5, "v2", orders.Ordered, 0)}, state: orders.Ordered, want: orders.Releases{Trial: "v2"}},
		"trial":                       {updates: []orders.Order{order(5, "v2", orders.Ordered, 0), trial}, state: orders.Running, want: orders.Releases{Trial: "v2"}},
		"cutover":                     {updates: []orders.Order{trial, cutover}, state: orders.Running, want: orders.Releases{Only: "v2"}},
		"just completed":              {updates: []orders.Order{cutover, cutover.WithStatus(orders.Completed, 9)}, inOrder: true, state: orders.Completed, want: orders.Releases{Only: "v2"}},
		"completed earlier":           {updates: []orders.Order{cutover, cutover.WithStatus(orders.Completed, 9)}, after: time.Minute, state: orders.Completed},
		"rolled back in the cutover":  {updates: []orders.Order{cutover, cutover.WithStatus(orders.RolledBack, 9)}, state: orders.RolledBack, want: orders.Releases{Except: []string{"v2"}}},
		"completed before the start":  {updates: []orders.Order{order(5, "v2", orders.Completed, 9)}, state: orders.Completed},
		"withdrawn":                   {updates: []orders.Order{trial, removal(9)}, state: orders.Withdrawn, want: orders.Releases{Except: []string{"v2"}}},
		"withdrawn, then rolled back": {updates: []orders.Order{trial, removal(9), order(9, "v2", orders.RolledBack, 10)}, state: orders.RolledBack, want: orders.Releases{Except: []string{"v2"}}},
		"removed after the end":       {updates: []orders.Order{cutover.WithStatus(orders.Completed, 9), removal(20)}, after: time.Minute, state: orders.Completed},
		"replaced":                    {updates: []orders.Order{trial, order(9, "v3", orders.Ordered, 0)}, state: orders.Ordered, want: orders.Releases{Trial: "v3", Except: []string{"v2"}}},
		"replaced by the same target": {updates: []orders.Order{trial, order(9, "v2", orders.Ordered, 0)}, state: orders.Ordered, want: orders.Releases{Trial: "v2"}},
		"replaced, then rolled back":  {updates: []orders.Order{trial, order(9, "v3", orders.RolledBack, 10)}, state: orders.RolledBack, want: orders.Releases{Except: []string{"v2", "v3"}}},
		"replaced, then completed":    {updates: []orders.Order{trial, order(9, "v3", orders.Completed, 10)}, after: time.Minute, state: orders.Completed, want: orders.Releases{Except: []string{"v2"}}},
		"second order after completed": {
			updates: []orders.Order{order(5, "v2", orders.Completed, 6), order(9, "v3", orders.Ordered, 0)}, state: orders.Ordered, want: orders.Releases{Trial: "v3"},
		},
		"removal of an unknown order": {updates: []orders.Order{removal(9)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { checkReleases(t, tt.updates, tt.after, tt.state, tt.want) })
		if tt.inOrder {
			continue
		}
		slices.Reverse(tt.updates)
		if n := len(tt.updates); n > 0 && tt.updates[0].Target == "" {
			// A removal that arrives before its order is unknown here; the source repeats it.
			tt.updates = append(tt.updates, tt.updates[0])
		}
		t.Run(name+", reverse", func(t *testing.T) { checkReleases(t, tt.updates, tt.after, tt.state, tt.want) })
	}
}

// checkReleases applies updates and checks the state and the releases some time later.
func checkReleases(t *testing.T, updates []orders.Order, after time.Duration, state orders.State, want orders.Releases) {
	is := is.New(t)
	l := orders.New(func(_, _ orders.Order, _ string) {})
	for _, u := range updates {
		l.Update(start, u, "test")
	}
	o, _ := l.Of(service)
	is.Equal(o.State, state)
	is.Equal(fmt.Sprint(l.Releases(start.Add(after), service)), fmt.Sprint(want))
}

// TestAnyOrder applies the history of an order in random order, with repetitions: the
// final state must not depend on it.
func TestAnyOrder(t *testing.T) {
	trial := order(5, "v2", orders.Running, 6).WithPhase(orders.Trial, 6, "b1")
	history := []orders.Order{
		order(5, "v2", orders.Ordered, 0), trial, trial.WithPhase(orders.Trial, 7, "b2"), trial.WithPhase(orders.Cutover, 8, "b2"),
		trial.WithPhase(orders.Cutover, 8, "b2").WithStatus(orders.RolledBack, 9),
		order(12, "v3", orders.Ordered, 0), order(12, "v3", orders.Running, 13).WithPhase(orders.Trial, 13, "b2"),
	}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		l := orders.New(func(_, _ orders.Order, _ string) {})
		for _, i := range append(random.Perm(len(history)), random.Perm(len(history))...) {
			l.Update(start, history[i], "test")
		}
		is := is.New(t)
		o, _ := l.Of(service)
		is.Equal(o, history[6])
		is.Equal(l.Releases(start, service), orders.Releases{Trial: "v3", Except: []string{"v2"}})
		is.Equal(len(l.All()), 2)
	}
}

// TestWithdrawMissing checks listings: a missing order is withdrawn unless it is newer than
// the listing.
func TestWithdrawMissing(t *testing.T) {
	tests := map[string]struct {
		version revision.Revision
		listed  map[string]bool
		want    orders.State
	}{
		"still listed":     {9, map[string]bool{service: true}, orders.Running},
		"missing":          {9, nil, orders.Withdrawn},
		"outdated listing": {4, nil, orders.Running},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := orders.New(func(_, _ orders.Order, _ string) {})
			l.Update(start, order(5, "v2", orders.Running, 6), "test")
			l.WithdrawMissing(start, tt.listed, tt.version, "test")
			o, _ := l.Of(service)
			is.New(t).Equal(o.State, tt.want)
		})
	}
}

// TestLift checks when releases are no longer excluded: some time after the end of an order
// that this box followed, or at once.
func TestLift(t *testing.T) {
	tests := map[string]struct {
		updates []orders.Order
		after   time.Duration // since the end
		want    bool
	}{
		"active":                      {[]orders.Order{order(5, "v2", orders.Running, 6)}, time.Hour, false},
		"just rolled back":            {[]orders.Order{order(5, "v2", orders.Running, 6), order(5, "v2", orders.RolledBack, 7)}, 29 * time.Second, false},
		"rolled back earlier":         {[]orders.Order{order(5, "v2", orders.Running, 6), order(5, "v2", orders.RolledBack, 7)}, 30 * time.Second, true},
		"withdrawn, told the outcome": {[]orders.Order{order(5, "v2", orders.Running, 6), removal(7), withdrawn(8, 5, "v2").WithStatus(orders.RolledBack, 8)}, 29 * time.Second, false},
		"rolled back before a start":  {[]orders.Order{order(5, "v2", orders.RolledBack, 7)}, 0, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := orders.New(func(_, _ orders.Order, _ string) {})
			for _, u := range tt.updates {
				l.Update(start, u, "test")
			}
			is.Equal(l.Lift(start.Add(tt.after), service), tt.want)
			is.True(!l.Lift(start.Add(tt.after), service)) // once
			lifted := len(l.Releases(start.Add(tt.after), service).Except) == 0 && tt.updates[0].State != orders.Running || tt.want
			is.Equal(lifted, tt.want)
			l.Update(start, order(9, "v3", orders.Ordered, 0), "test")
			is.Equal(l.Releases(start, service).Trial, "v3")
		})
	}
}

// TestOutcomeBeforeRemoval checks that an order is completed for a box that learns of its
// removal first.
func TestOutcomeBeforeRemoval(t *testing.T) {
	is := is.New(t)
	l := orders.New(func(_, _ orders.Order, _ string) {})
	l.Update(start, order(5, "v2", orders.Running, 6).WithPhase(orders.Cutover, 7, "b1"), "test")
	l.Update(start, removal(12), "test")
	l.Update(start, order(5, "v2", orders.Completed, 9), "test")
	is.Equal(l.Releases(start, service), orders.Releases{Only: "v2"})
}

// TestRetired checks that the releases in service before a completed order take nothing,
// and that later releases do.
func TestRetired(t *testing.T) {
	is := is.New(t)
	l := orders.New(func(_, _ orders.Order, _ string) {})
	l.Update(start, order(5, "v2", orders.Ordered, 0), "test")
	l.Update(start, order(5, "v2", orders.Completed, 6), "test")
	l.Retire(service, 4, []string{"v0"})
	l.Retire(service, 5, []string{"v1", "v2", "v1"})
	is.Equal(l.Releases(start, service), orders.Releases{Only: "v2"})
	is.Equal(l.Releases(start.Add(time.Minute), service), orders.Releases{Except: []string{"v1"}})
}

// TestShare checks that the newest share of the current phase row counts, and that it ages
// while the machine is suspended.
func TestShare(t *testing.T) {
	trial := order(5, "v2", orders.Running, 6).WithPhase(orders.Trial, 6, "b1")
	next := trial.WithPhase(orders.Trial, 9, "b2")
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := map[string]struct {
		updates []orders.Order
		want    int
	}{
		"newer":              {[]orders.Order{trial.WithShare(100, at(0)), trial.WithShare(50, at(250))}, 50},
		"older arrives late": {[]orders.Order{trial.WithShare(50, at(250)), trial.WithShare(100, at(0))}, 50},
		"earlier decider":    {[]orders.Order{next.WithShare(50, at(250)), trial.WithShare(100, at(500))}, 50},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			changes := 0
			l := orders.New(func(_, _ orders.Order, _ string) { changes++ })
			for _, u := range tt.updates {
				l.Update(start, u, "test")
			}
			o, _ := l.Of(service)
			is.Equal(o.SharePPM, tt.want)
			is.Equal(changes, 1)
			l.AddSuspension(time.Second)
			aged, _ := l.Of(service)
			is.Equal(o.ShareAt.Sub(aged.ShareAt), time.Second)
		})
	}
}

// TestWord checks that an order passes between boxes, and that ages count from when the
// call was sent.
func TestWord(t *testing.T) {
	is := is.New(t)
	o := order(5, "v2", orders.Running, 6).WithPhase(orders.Trial, 7, "b1").WithShare(60000, start).WithUpstream("e1").WithRoute("draft", 120000).WithLimit(start.Add(12 * time.Second))
	got := orders.FromWord(start.Add(time.Second), o.Word(start.Add(200*time.Millisecond)))
	is.Equal(got.Limit, start.Add(time.Second+11800*time.Millisecond))
	is.Equal(got.ShareAt, start.Add(time.Second-201*time.Millisecond))
	o.Duration, got.Limit, got.ShareAt = 0, o.Limit, o.ShareAt
	is.Equal(got, o)
}

// TestCompletedAgain guards against a release in service that is excluded once the next order begins, as
// an earlier order for it was rolled back or withdrawn.
func TestCompletedAgain(t *testing.T) {
	rolledBack, completed := order(5, "v3", orders.RolledBack, 6), order(9, "v3", orders.Completed, 10)
	running, next := order(9, "v3", orders.Running, 9), order(15, "v4", orders.Ordered, 0)
	tests := map[string]struct {
		updates []orders.Order
		want    []string // excluded
	}{
		"rolled back, then completed":      {[]orders.Order{rolledBack, running, completed, next}, nil},
		"withdrawn, then completed":        {[]orders.Order{order(5, "v3", orders.Running, 6), running, completed, next}, nil},
		"the roll-back is told late":       {[]orders.Order{completed, next, rolledBack}, nil},
		"the completion is told late":      {[]orders.Order{rolledBack, next, completed}, nil},
		"the completion is told last":      {[]orders.Order{rolledBack, running, next, completed}, nil},
		"told late, of a removed order":    {[]orders.Order{running, removal(11), next, completed}, nil},
		"told again as running":            {[]orders.Order{rolledBack, completed, next, running}, nil},
		"completed, then rolled back":      {[]orders.Order{order(5, "v3", orders.Completed, 6), order(9, "v3", orders.RolledBack, 10), next}, []string{"v3"}},
		"another is completed in between":  {[]orders.Order{rolledBack, order(9, "v2", orders.Completed, 10), next}, []string{"v3"}},
		"completed, and the next one also": {[]orders.Order{rolledBack, completed, next.WithStatus(orders.RolledBack, 16), order(20, "v5", orders.Ordered, 0)}, []string{"v4"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, other := orders.New(func(_, _ orders.Order, _ string) {}), orders.New(func(_, _ orders.Order, _ string) {})
			for _, u := range tt.updates {
				l.Update(start, u, "test")
			}
			for _, o := range l.All() {
				other.Update(start, o, "test") // as a box that has just started
			}
			is.Equal(fmt.Sprint(l.Releases(start, service).Except), fmt.Sprint(tt.want))
			is.Equal(fmt.Sprint(other.Releases(start, service).Except), fmt.Sprint(tt.want))
		})
	}
}

// TestReplacedTold checks that orders which no longer exclude a release are not sent to other boxes.
func TestReplacedTold(t *testing.T) {
	is := is.New(t)
	l := orders.New(func(_, _ orders.Order, _ string) {})
	for _, u := range []orders.Order{
		order(5, "v3", orders.RolledBack, 6), order(7, "v2", orders.RolledBack, 8), order(9, "v3", orders.Completed, 10), order(15, "v4", orders.Ordered, 0),
	} {
		l.Update(start, u, "test")
	}
	var told []string
	for _, o := range l.All() {
		told = append(told, o.Target)
	}
	is.Equal(told, []string{"v2", "v4"})
}
