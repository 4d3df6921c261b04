package members_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/members"
	"petrelstep/standin/heapsize"
	"petrelstep/wire"
)

var start = time.Unix(1_700_000_000, 0)

func member(box string, state wire.MemberState) wire.Member {
	return wire.Member{Box: box, Hall: "leith", Address: box + ":1", State: state}
}

func alive(box string, incarnation int, state members.State) members.Box {
	return members.Box{Name: box, Hall: "leith", Address: box + ":1", Incarnation: incarnation, State: state}
}

// TestState checks the state of a box after reports, lists and failures.
func TestState(t *testing.T) {
	live, leaving := wire.MemberStateLive, wire.MemberStateLeaving
	tests := map[string]struct {
		setup func(m *members.Members)
		at    time.Duration
		want  members.State
	}{
		"listed":                      {setup: func(m *members.Members) { m.ApplyList(start, []wire.Member{member("b", live)}) }, at: time.Second, want: members.Live},
		"listed, no report":           {setup: func(m *members.Members) { m.ApplyList(start, []wire.Member{member("b", live)}) }, at: 4 * time.Second, want: members.Suspect},
		"report received":             {setup: func(m *members.Members) { m.MarkSeen(start.Add(2*time.Second), alive("b", 1, members.Live)) }, at: 4 * time.Second, want: members.Live},
		"report received, not listed": {setup: func(m *members.Members) { m.MarkSeen(start, alive("b", 1, members.Live)); m.ApplyList(start, nil) }, at: time.Second, want: members.Live},
		"no report for long, not listed": {setup: func(m *members.Members) {
			m.MarkSeen(start, alive("b", 1, members.Live))
			m.ApplyList(start.Add(time.Minute), nil)
		}, at: time.Minute, want: ""},
		"listed as leaving": {setup: func(m *members.Members) { m.ApplyList(start, []wire.Member{member("b", leaving)}) }, at: time.Second, want: members.Leaving},
		"leaving, then an older incarnation is live": {setup: func(m *members.Members) {
			m.MarkSeen(start, alive("b", 2, members.Leaving))
			m.MarkSeen(start, alive("b", 1, members.Live))
		}, at: time.Second, want: members.Leaving},
		"leaving, then an outdated list": {setup: func(m *members.Members) {
			m.MarkSeen(start, alive("b", 2, members.Leaving))
			m.ApplyList(start, []wire.Member{member("b", live)})
		}, at: time.Second, want: members.Leaving},
		"leaving, then a delayed report": {setup: func(m *members.Members) {
			m.MarkSeen(start, alive("b", 2, members.Leaving))
			m.MarkSeen(start, alive("b", 2, members.Live))
		}, at: time.Second, want: members.Leaving},
		"leaving, then restarted": {setup: func(m *members.Members) {
			m.MarkSeen(start, alive("b", 2, members.Leaving))
			m.MarkSeen(start, alive("b", 3, members.Live))
		}, at: time.Second, want: members.Live},
		"refused a connection": {setup: func(m *members.Members) { m.MarkSeen(start, alive("b", 1, members.Live)); m.MarkFailed(start, "b") }, at: time.Second, want: members.Suspect},
		"refused, then report received": {setup: func(m *members.Members) {
			m.MarkSeen(start, alive("b", 1, members.Live))
			m.MarkFailed(start, "b")
			m.MarkSeen(start, alive("b", 1, members.Live))
		}, at: time.Second, want: members.Live},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := members.New(alive("a", 1, members.Live))
			tt.setup(m)
			got := members.State("")
			for _, b := range m.All(start.Add(tt.at)) {
				if b.Name == "b" {
					got = b.State
				}
			}
			is.Equal(got, tt.want)
		})
	}
}

// TestCountReachable checks that a box that is cut off counts as long as it is listed.
func TestCountReachable(t *testing.T) {
	is := is.New(t)
	m := members.New(alive("a", 1, members.Live))
	both := []wire.Member{member("b", wire.MemberStateLive), member("c", wire.MemberStateLive)}
	count := func(at time.Duration) [2]int {
		reached, all := m.CountReachable(start.Add(at))
		return [2]int{reached, all}
	}
	m.ApplyList(start, both)
	is.Equal(count(0), [2]int{1, 1}) // no report received
	m.MarkSeen(start, alive("b", 1, members.Live))
	m.MarkSeen(start, alive("c", 1, members.Live))
	is.Equal(count(time.Second), [2]int{3, 3})
	m.MarkSeen(start.Add(9*time.Second), alive("b", 1, members.Live))
	is.Equal(count(10*time.Second), [2]int{2, 3}) // no recent report from c
	m.ApplyList(start.Add(10*time.Second), both[:1])
	is.Equal(count(10*time.Second), [2]int{2, 2}) // c is no longer listed
}

// TestOrder checks that boxes agree on the order, that the removal of a box moves only
// its own keys, and that the boxes of the key's hall come first.
func TestOrder(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e"}
	view := func(self string, removed string) *members.Members {
		m := members.New(alive(self, 1, members.Live))
		for _, n := range names {
			if n != removed {
				m.MarkSeen(start, alive(n, 1, members.Live))
			}
		}
		return m
	}
	moved := 0
	const keys = 200
	for i := range keys {
		key := fmt.Sprint("leith/", i)
		one := view("a", "").Order(start, key, "leith")[0].Name
		is.Equal(view("c", "").Order(start, key, "leith")[0].Name, one)
		first, _ := view("d", "").First(start, key, "leith")
		is.Equal(first.Name, one)
		if after := view("a", "e").Order(start, key, "leith")[0].Name; after != one {
			is.Equal(one, "e") // only keys of the removed box move
			moved++
		}
	}
	is.True(moved > 0 && moved < keys/2)
	m := view("a", "")
	m.MarkSeen(start, members.Box{Name: "z", Hall: "gorgie", Address: "z:1", Incarnation: 1, State: members.Live})
	is.Equal(m.Order(start, "gorgie/0", "gorgie")[0].Name, "z")
	first, ok := m.First(start, "gorgie/0", "gorgie")
	is.True(ok)
	is.Equal(first.Name, "z")
}

func BenchmarkFirst(b *testing.B) {
	for _, n := range []int{7, 50, 350} {
		b.Run(fmt.Sprint(n, " boxes"), func(b *testing.B) {
			m := members.New(alive("self", 1, members.Live))
			now := time.Now()
			for i := range n - 1 {
				m.MarkSeen(now, members.Box{Name: fmt.Sprint("box", i), Hall: fmt.Sprint("hall", i%13), Address: fmt.Sprint(i), State: members.Live})
			}
			b.ReportAllocs()
			for b.Loop() {
				m.First(now, "hall1/3", "hall1")
			}
		})
	}
}

func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{7, 50, 350} {
		b.Run(fmt.Sprint(n, " boxes"), func(b *testing.B) {
			m := members.New(alive("self", 1, members.Live))
			now := time.Now()
			for i := range n - 1 {
				m.MarkSeen(now, members.Box{Name: fmt.Sprint("box", i), Hall: fmt.Sprint("hall", i%13), Address: fmt.Sprint(i), State: members.Live})
			}
			b.ReportAllocs()
			for b.Loop() {
				m.Order(now, "hall1/3", "hall1")
			}
		})
	}
}

// BenchmarkMemory measures the memory of the state, by the number of boxes.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{50, 350, 1000} {
		b.Run(fmt.Sprint(n, " boxes"), func(b *testing.B) {
			before := heapsize.Used()
			l := members.New(alive("self", 1, members.Live))
			for i := range n {
				l.MarkSeen(start, members.Box{Name: fmt.Sprint("box", i), Hall: fmt.Sprint("hall", i%13), Address: fmt.Sprint(i), State: members.Live})
			}
			used := float64(heapsize.Used() - before)
			runtime.KeepAlive(l)
			for b.Loop() {
			}
			b.ReportMetric(used, "heap-bytes")
		})
	}
}

// newMembers returns the membership of a box with n-1 others in six halls, all seen.
func newMembers(n int) *members.Members {
	m := members.New(members.Box{Name: "self", Hall: "hall0", Address: "self:1", Incarnation: 1, State: members.Live})
	for i := range n - 1 {
		m.MarkSeen(start, boxInHall(i, members.Live))
	}
	return m
}

func boxInHall(i int, state members.State) members.Box {
	return members.Box{Name: fmt.Sprint("box", i), Hall: fmt.Sprint("hall", i%6), Address: fmt.Sprint(i), Incarnation: 1, State: state, HubEligible: i%10 == 0}
}

// BenchmarkHubs measures Hubs between reports that change nothing.
func BenchmarkHubs(b *testing.B) {
	for _, n := range []int{7, 66, 195, 350} {
		b.Run(fmt.Sprint(n, " boxes"), func(b *testing.B) {
			m := newMembers(n)
			same := boxInHall(1, members.Live)
			b.ReportAllocs()
			for b.Loop() {
				m.MarkSeen(start, same)
				m.Hubs(start)
			}
		})
	}
}

// TestHubsKept guards against a recomputation of the hubs with each report.
func TestHubsKept(t *testing.T) {
	is := is.New(t)
	m := newMembers(350)
	m.Hubs(start)
	same := boxInHall(1, members.Live)
	is.Equal(testing.AllocsPerRun(100, func() {
		m.MarkSeen(start, same)
		m.Hubs(start)
	}), 0.0)
}

// TestHubsFollow checks that the hubs change at once when their candidates do.
func TestHubsFollow(t *testing.T) {
	tests := map[string]struct {
		event  func(m *members.Members, first members.Box)
		after  time.Duration
		stays  bool // it is still a hub
		called bool // although it is no hub
	}{
		"nothing":        {event: func(*members.Members, members.Box) {}, stays: true},
		"it fails":       {event: func(m *members.Members, b members.Box) { m.MarkFailed(start, b.Name) }},
		"it just failed": {event: func(m *members.Members, b members.Box) { m.MarkFailed(start, b.Name) }, after: 2999 * time.Millisecond},
		"its failure has expired": {event: func(m *members.Members, b members.Box) {
			m.MarkFailed(start, b.Name)
			m.Hubs(start)
		}, after: 3 * time.Second, called: true},
		"its failure has expired, then a report": {event: func(m *members.Members, b members.Box) {
			m.MarkFailed(start, b.Name)
			m.Hubs(start.Add(3 * time.Second))
			m.MarkSeen(start.Add(3*time.Second), b)
		}, after: 3 * time.Second, stays: true},
		"it fails, then a report": {event: func(m *members.Members, b members.Box) {
			m.MarkFailed(start, b.Name)
			m.Hubs(start)
			m.MarkSeen(start, b)
		}, stays: true},
		"it leaves": {event: func(m *members.Members, b members.Box) { b.State = members.Leaving; m.MarkSeen(start, b) }},
		"it is no longer hub-eligible": {event: func(m *members.Members, b members.Box) {
			b.Incarnation, b.HubEligible = 2, false
			m.MarkSeen(start, b)
		}},
		"it moves to another hall": {event: func(m *members.Members, b members.Box) {
			b.Incarnation, b.Hall = 2, "elsewhere"
			m.Introduce(start, b)
		}, called: true}, // as a hub of that hall
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMembers(195)
			before := m.Hubs(start)
			first := before[slices.IndexFunc(before, func(b members.Box) bool { return b.Hall == "hall2" })]
			tt.event(m, first)
			stays := slices.ContainsFunc(m.Hubs(start.Add(tt.after)), func(b members.Box) bool { return b.Name == first.Name && b.Hall == first.Hall })
			is.Equal(stays, tt.stays)
			called := slices.ContainsFunc(m.HubsToCall(start.Add(tt.after)), func(b members.Box) bool { return b.Name == first.Name })
			is.Equal(called, tt.called || tt.stays)
		})
	}
}

// TestIsReader checks how many hubs follow the store, and that another one takes over
// when a reader fails.
func TestIsReader(t *testing.T) {
	tests := map[string]struct {
		halls, fail, want int
	}{
		"one hall":        {1, 0, 2},
		"three halls":     {3, 0, 3},
		"six halls":       {6, 0, 3},
		"one has failed":  {6, 1, 3},
		"two have failed": {6, 2, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			views := newFleet(24, tt.halls)
			failed := views["box0"].Hubs(start)[:tt.fail]
			for _, b := range failed {
				delete(views, b.Name)
			}
			readers := 0
			for _, m := range views {
				for _, b := range failed {
					m.MarkFailed(start, b.Name)
				}
				if m.IsReader(start) {
					readers++
				}
			}
			is.New(t).Equal(readers, tt.want)
		})
	}
}

// TestStandbys checks which boxes follow the store in place of the readers, and that all boxes
// agree on them.
func TestStandbys(t *testing.T) {
	tests := map[string]struct {
		boxes, halls, hubs int // hubs among the standbys
		want, call         int // standbys, and those that another box calls besides the hubs
	}{
		"all boxes read":        {3, 3, 0, 0, 0},
		"all others":            {7, 4, 1, 4, 3},
		"more boxes":            {77, 3, 0, 5, 5},
		"hubs of more halls":    {195, 12, 5, 5, 0},
		"hubs of a large fleet": {300, 1, 5, 5, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			views := newFleet(tt.boxes, tt.halls)
			first := views["box0"]
			standbys := first.Standbys(start)
			is.Equal(len(standbys), tt.want)
			isHub := func(b members.Box) bool { return first.IsHubBox(start, b.Name) }
			is.Equal(len(slices.DeleteFunc(slices.Clone(standbys), isHub)), tt.want-tt.hubs)
			is.True(!slices.ContainsFunc(standbys, func(b members.Box) bool { return first.IsReaderBox(start, b.Name) }))
			indices := map[int]bool{}
			for _, m := range views {
				is.Equal(m.Standbys(start), standbys)
				i, reads := m.ReadIndex(start)
				if reads {
					indices[i] = true
					continue
				}
				is.Equal(len(m.StandbysToCall(start)), tt.call)
			}
			is.Equal(len(indices), min(members.MaxReaders, len(first.Hubs(start)))+tt.want)
			for _, b := range standbys {
				is.True(!slices.Contains(views[b.Name].StandbysToCall(start), b))
			}
		})
	}
}

// newFleet returns the membership of each box of a fleet whose boxes have all seen each
// other.
func newFleet(boxes, halls int) map[string]*members.Members {
	box := func(i int) members.Box {
		return members.Box{Name: fmt.Sprint("box", i), Hall: fmt.Sprint("hall", i%halls), Address: fmt.Sprint(i), Incarnation: 1, State: members.Live, HubEligible: true}
	}
	views := map[string]*members.Members{}
	for i := range boxes {
		m := members.New(box(i))
		for j := range boxes {
			m.MarkSeen(start, box(j))
		}
		views[box(i).Name] = m
	}
	return views
}

// TestPrimaryHub checks that the primary hub is of the box's own hall, and that the
// hubs of a hall share its boxes.
func TestPrimaryHub(t *testing.T) {
	is := is.New(t)
	boxes := map[string]int{} // by primary hub
	for i := range 60 {
		m := members.New(members.Box{Name: fmt.Sprint("box", i), Hall: "hall0", Address: "self:1", Incarnation: 1, State: members.Live})
		for _, hall := range []string{"hall0", "hall1"} {
			m.MarkSeen(start, members.Box{Name: "hub " + hall, Hall: hall, Address: hall, Incarnation: 1, State: members.Live, HubEligible: true})
		}
		is.Equal(m.PrimaryHub(start).Name, "hub hall0")
		m = members.New(members.Box{Name: fmt.Sprint("box", i), Hall: "hall0", Address: "self:1", Incarnation: 1, State: members.Live})
		for _, hub := range []string{"one", "two"} { // two hubs in one hall
			m.MarkSeen(start, members.Box{Name: hub, Hall: "hall0", Address: hub, Incarnation: 1, State: members.Live, HubEligible: true})
		}
		boxes[m.PrimaryHub(start).Name]++
	}
	is.True(boxes["one"] > 15 && boxes["two"] > 15)
}

// TestCountLeaving checks that leaving boxes are counted, and remain in Count.
func TestCountLeaving(t *testing.T) {
	is := is.New(t)
	m := newMembers(10)
	m.MarkSeen(start, boxInHall(3, members.Leaving))
	is.Equal([2]int{m.CountLeaving(), m.Count(start)}, [2]int{1, 10})
	m.Leave()
	is.Equal([2]int{m.CountLeaving(), m.Count(start)}, [2]int{2, 10})
}

func TestHubs(t *testing.T) {
	now := time.Now()
	spread := func(boxes, halls int, eligible func(i int) bool) *members.Members {
		m := members.New(members.Box{Name: "b000", Hall: "h0", Address: "a000", State: members.Live, HubEligible: eligible(0)})
		var list []wire.Member
		for i := 1; i < boxes; i++ {
			list = append(list, wire.Member{
				Box: fmt.Sprintf("b%03d", i), Hall: fmt.Sprint("h", i%halls), Address: fmt.Sprintf("a%03d", i), State: wire.MemberStateLive, Strong: eligible(i),
			})
		}
		m.ApplyList(now, list)
		return m
	}
	listed := func(boxes int, eligible func(i int) bool) *members.Members { return spread(boxes, 5, eligible) }
	all := func(i int) bool { return i > 0 } // this box itself is not hub-eligible
	tests := map[string]struct {
		members *members.Members
		event   func(m *members.Members, first members.Box)
		hubs    int
		halls   int  // of the hubs; the same as hubs if zero
		moved   bool // the first hub changes
	}{
		"alone":                       {members: listed(1, all), hubs: 1},
		"one per hall":                {members: listed(8, all), hubs: 5},
		"three halls":                 {members: spread(6, 3, all), hubs: 3},
		"one hall: two":               {members: spread(10, 1, all), hubs: 2, halls: 1},
		"many boxes: one per hall":    {members: listed(58, all), hubs: 5},
		"a large fleet: two per hall": {members: listed(350, all), hubs: 10, halls: 5},
		"none is hub-eligible":        {members: listed(58, func(int) bool { return false }), hubs: 5},
		"the first fails":             {members: listed(58, all), hubs: 5, moved: true, event: func(m *members.Members, first members.Box) { m.MarkFailed(now, first.Name) }},
		"the first leaves": {members: listed(58, all), hubs: 5, moved: true, event: func(m *members.Members, first members.Box) {
			first.State = members.Leaving
			m.MarkSeen(now, first)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := tt.members.Hubs(now)[0]
			if tt.event != nil {
				tt.event(tt.members, first)
			}
			hubs := tt.members.Hubs(now)
			is.Equal(len(hubs), tt.hubs)
			is.Equal(hubs[0].Name != first.Name, tt.moved)
			halls := map[string]bool{}
			for _, h := range hubs {
				halls[h.Hall] = true
			}
			if tt.halls == 0 {
				tt.halls = tt.hubs
			}
			is.Equal(len(halls), tt.halls)
		})
	}
	// Hub-eligible boxes are preferred.
	is := is.New(t)
	m := listed(58, func(i int) bool { return i%7 == 3 })
	for _, h := range m.Hubs(now) {
		is.True(h.HubEligible)
	}
}

// TestLargeFleet checks how many hubs a large fleet has, that each other box calls two
// of them, and that the load of a hub is bounded.
func TestLargeFleet(t *testing.T) {
	tests := map[string]struct {
		boxes, halls int
		hubs, calls  int
		maxBoxes     int // that one hub reports to
	}{
		"a small fleet":  {boxes: 61, halls: 3, hubs: 3, calls: 3, maxBoxes: 20},
		"six halls":      {boxes: 195, halls: 6, hubs: 6, calls: 6, maxBoxes: 33},
		"a large fleet":  {boxes: 300, halls: 1, hubs: 8, calls: 2, maxBoxes: 55},
		"in three halls": {boxes: 300, halls: 3, hubs: 9, calls: 2, maxBoxes: 55},
		"600 boxes":      {boxes: 600, halls: 1, hubs: 15, calls: 2, maxBoxes: 60},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reports, calls := map[string]int{}, map[string]int{}
			for _, m := range newFleet(tt.boxes, tt.halls) {
				is.Equal(len(m.Hubs(start)), tt.hubs)
				_, hub := m.IsHub(start)
				called := m.HubsToCall(start)
				if hub {
					is.Equal(len(called), tt.hubs-1)
					continue
				}
				is.Equal(len(called), tt.calls)
				is.True(tt.calls > 2 || called[0].Name == m.PrimaryHub(start).Name)
				reports[m.PrimaryHub(start).Name]++
				for _, b := range called {
					calls[b.Name]++
				}
			}
			for hub, boxes := range reports {
				is.True(boxes <= tt.maxBoxes)
				is.True(calls[hub] <= 240)
			}
		})
	}
}

// TestUpdateHallCount checks that a box that has read few of the others applies the
// highest recent count of a hub, so that it calls the right hubs.
func TestUpdateHallCount(t *testing.T) {
	is := is.New(t)
	m := newMembers(100)
	hubs := len(m.Hubs(start))
	is.Equal(m.LargeFleetCounts(start), nil)
	m.UpdateHallCount(start, "hall0", 250)
	m.UpdateHallCount(start, "hall0", 90) // from a hub that has read few itself
	is.Equal(len(m.Hubs(start)), hubs+3)  // 250 boxes need seven hubs, but only four are eligible
	own := 0
	for _, boxes := range m.LargeFleetCounts(start) { // reported counts are not passed on
		own += boxes
	}
	is.Equal(own, 100)
	later := start.Add(6 * time.Second)
	m.UpdateHallCount(later, "hall0", 90)
	is.Equal(len(m.Hubs(later)), hubs)
}

// TestHallCountExpires checks that a reported count expires though no box changes, and
// that it can be reported again.
func TestHallCountExpires(t *testing.T) {
	is := is.New(t)
	m := newMembers(100)
	m.UpdateHallCount(start, "hall0", 250)
	is.True(m.LargeFleetCounts(start.Add(4*time.Second)) != nil)
	m.UpdateHallCount(start.Add(4*time.Second), "hall0", 250)
	is.True(m.LargeFleetCounts(start.Add(8*time.Second)) != nil)
	later := start.Add(10 * time.Second)
	is.Equal(m.LargeFleetCounts(later), nil)
	m.UpdateHallCount(later, "hall0", 250)
	is.True(m.LargeFleetCounts(later) != nil)
}

// TestLargeFleetLeaves guards against boxes calling a hub that is none in its own eyes:
// some boxes of a large fleet leave, and only the hubs that they called know.
func TestLargeFleetLeaves(t *testing.T) {
	for _, leaving := range []int{6, 20, 40} {
		t.Run(fmt.Sprint(leaving, " of 245"), func(t *testing.T) {
			is := is.New(t)
			all, boxes := newHall(245)
			is.Equal(len(all["box0"].Hubs(start)), 7)
			others := slices.DeleteFunc(boxes, func(b members.Box) bool { return all["box0"].IsHubBox(start, b.Name) })
			for _, b := range others[:leaving] {
				b.State = members.Leaving
				for _, hub := range all[b.Name].HubsToCall(start) {
					all[hub.Name].MarkSeen(start, b)
				}
			}
			for _, b := range others[leaving:] {
				_, hub := all[all[b.Name].PrimaryHub(start).Name].IsHub(start)
				is.True(hub)
			}
		})
	}
}

// newHall returns the memberships of the boxes of one hall, which are all listed.
func newHall(n int) (all map[string]*members.Members, boxes []members.Box) {
	var list []wire.Member
	for i := range n {
		name := fmt.Sprint("box", i)
		boxes = append(boxes, members.Box{Name: name, Hall: "h", Address: name + ":1", State: members.Live, HubEligible: true})
		list = append(list, wire.Member{Box: name, Hall: "h", Address: name + ":1", State: wire.MemberStateLive, Strong: true})
	}
	all = map[string]*members.Members{}
	for _, b := range boxes {
		all[b.Name] = members.New(b)
		all[b.Name].ApplyList(start, list)
	}
	return all, boxes
}

// TestNoneEligible checks that boxes that are not hub-eligible become hubs only where a
// hall has no other.
func TestNoneEligible(t *testing.T) {
	m := members.New(members.Box{Name: "self", Hall: "hall0", Address: "self:1", State: members.Live})
	for i := range 300 {
		b := boxInHall(i, members.Live)
		b.HubEligible = false
		m.MarkSeen(start, b)
	}
	is.New(t).Equal(len(m.Hubs(start)), 6)
}

// TestStarting checks that a listed box that refuses connections and was never heard
// from stays a hub for a while in a large fleet, as it may still be starting.
func TestStarting(t *testing.T) {
	tests := map[string]struct {
		boxes int
		seen  bool
		after time.Duration // since it was listed
		stays bool          // a hub
	}{
		"a small fleet":            {boxes: 61},
		"a large fleet":            {boxes: 300, stays: true},
		"a large fleet, after 4 s": {boxes: 300, after: 4 * time.Second, stays: true},
		"a large fleet, after 6 s": {boxes: 300, after: 6 * time.Second},
		"a large fleet, it was up": {boxes: 300, seen: true},
		"a small fleet, after 4 s": {boxes: 61, after: 4 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := members.New(members.Box{Name: "self", Hall: "h", Address: "self:1", State: members.Live})
			var list []wire.Member
			for i := range tt.boxes - 1 {
				list = append(list, wire.Member{Box: fmt.Sprint("box", i), Hall: "h", Address: fmt.Sprint(i), State: wire.MemberStateLive, Strong: true})
			}
			m.ApplyList(start, list)
			first := m.Hubs(start)[0]
			if tt.seen {
				m.MarkSeen(start, first)
			}
			at := start.Add(tt.after)
			m.MarkFailed(at, first.Name)
			is.New(t).Equal(m.IsHubBox(at, first.Name), tt.stays)
		})
	}
}

// TestHubsOnly checks when a box that knows only hub-eligible boxes is a hub itself.
func TestHubsOnly(t *testing.T) {
	tests := map[string]struct {
		others   int
		namedAgo time.Duration // 0 for never
		want     bool
	}{
		"others are eligible":     {others: 3},
		"no other box":            {want: true},
		"named by others":         {others: 3, namedAgo: time.Second, want: true},
		"named by others earlier": {others: 3, namedAgo: 4 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := members.New(members.Box{Name: "self", Hall: "hall0", Address: "self", State: members.Live})
			m.SetHubsOnly()
			var list []wire.Member
			for i := range tt.others { // in another hall: its own has no eligible box
				list = append(list, wire.Member{Box: fmt.Sprint("b", i), Hall: "hall1", Address: fmt.Sprint(i), State: wire.MemberStateLive, Strong: true})
			}
			m.ApplyList(start, list)
			if tt.namedAgo > 0 {
				m.MarkNamedAsHub(start.Add(-tt.namedAgo))
			}
			_, hub := m.IsHub(start)
			is.New(t).Equal(hub, tt.want)
		})
	}
}
