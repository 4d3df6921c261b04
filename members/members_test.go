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

// TestState tells how a box is seen after what was heard of it, at a time.
func TestState(t *testing.T) {
	live, leaving := wire.MemberStateLive, wire.MemberStateLeaving
	tests := map[string]struct {
		does func(m *members.Members)
		at   time.Duration
		want members.State
	}{
		"listed":              {does: func(m *members.Members) { m.ApplyList(start, []wire.Member{member("b", live)}) }, at: time.Second, want: members.Live},
		"listed and silent":   {does: func(m *members.Members) { m.ApplyList(start, []wire.Member{member("b", live)}) }, at: 4 * time.Second, want: members.Suspect},
		"heard":               {does: func(m *members.Members) { m.MarkSeen(start.Add(2*time.Second), alive("b", 1, members.Live)) }, at: 4 * time.Second, want: members.Live},
		"heard, off the list": {does: func(m *members.Members) { m.MarkSeen(start, alive("b", 1, members.Live)); m.ApplyList(start, nil) }, at: time.Second, want: members.Live},
		"long silent, off the list": {does: func(m *members.Members) {
			m.MarkSeen(start, alive("b", 1, members.Live))
			m.ApplyList(start.Add(time.Minute), nil)
		}, at: time.Minute, want: ""},
		"list says leaving": {does: func(m *members.Members) { m.ApplyList(start, []wire.Member{member("b", leaving)}) }, at: time.Second, want: members.Leaving},
		"leaving, then an old live": {does: func(m *members.Members) {
			m.MarkSeen(start, alive("b", 2, members.Leaving))
			m.MarkSeen(start, alive("b", 1, members.Live))
		}, at: time.Second, want: members.Leaving},
		"leaving, then the list lags": {does: func(m *members.Members) {
			m.MarkSeen(start, alive("b", 2, members.Leaving))
			m.ApplyList(start, []wire.Member{member("b", live)})
		}, at: time.Second, want: members.Leaving},
		"leaving, then a late live": {does: func(m *members.Members) {
			m.MarkSeen(start, alive("b", 2, members.Leaving))
			m.MarkSeen(start, alive("b", 2, members.Live))
		}, at: time.Second, want: members.Leaving},
		"leaving, then started anew": {does: func(m *members.Members) {
			m.MarkSeen(start, alive("b", 2, members.Leaving))
			m.MarkSeen(start, alive("b", 3, members.Live))
		}, at: time.Second, want: members.Live},
		"refused a connection": {does: func(m *members.Members) { m.MarkSeen(start, alive("b", 1, members.Live)); m.MarkFailed(start, "b") }, at: time.Second, want: members.Suspect},
		"refused, then heard": {does: func(m *members.Members) {
			m.MarkSeen(start, alive("b", 1, members.Live))
			m.MarkFailed(start, "b")
			m.MarkSeen(start, alive("b", 1, members.Live))
		}, at: time.Second, want: members.Live},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := members.New(alive("a", 1, members.Live))
			tt.does(m)
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

// TestReached counts a box that is cut off for as long as the list names it.
func TestReached(t *testing.T) {
	is := is.New(t)
	m := members.New(alive("a", 1, members.Live))
	both := []wire.Member{member("b", wire.MemberStateLive), member("c", wire.MemberStateLive)}
	count := func(at time.Duration) [2]int {
		reached, all := m.CountReachable(start.Add(at))
		return [2]int{reached, all}
	}
	m.ApplyList(start, both)
	is.Equal(count(0), [2]int{1, 1}) // never heard
	m.MarkSeen(start, alive("b", 1, members.Live))
	m.MarkSeen(start, alive("c", 1, members.Live))
	is.Equal(count(time.Second), [2]int{3, 3})
	m.MarkSeen(start.Add(9*time.Second), alive("b", 1, members.Live))
	is.Equal(count(10*time.Second), [2]int{2, 3}) // c is silent
	m.ApplyList(start.Add(10*time.Second), both[:1])
	is.Equal(count(10*time.Second), [2]int{2, 2}) // and off the list
}

// TestOrder holds that boxes agree on the order, that a box that is gone moves
// only its own keys, and that the hall's boxes come first.
func TestOrder(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e"}
	view := func(self string, gone string) *members.Members {
		m := members.New(alive(self, 1, members.Live))
		for _, n := range names {
			if n != gone {
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
			is.Equal(one, "e") // only what the lost box had moves
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

// BenchmarkMemory is the memory of the state, by boxes.
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

// crowd returns the membership of a box among n in six halls, all heard.
func crowd(n int) *members.Members {
	m := members.New(members.Box{Name: "self", Hall: "hall0", Address: "self:1", Incarnation: 1, State: members.Live})
	for i := range n - 1 {
		m.MarkSeen(start, inHall(i, members.Live))
	}
	return m
}

func inHall(i int, state members.State) members.Box {
	return members.Box{Name: fmt.Sprint("box", i), Hall: fmt.Sprint("hall", i%6), Address: fmt.Sprint(i), Incarnation: 1, State: state, HubEligible: i%10 == 0}
}

// BenchmarkHubs is who is a hub, asked while boxes are heard that do not change.
func BenchmarkHubs(b *testing.B) {
	for _, n := range []int{7, 66, 195, 350} {
		b.Run(fmt.Sprint(n, " boxes"), func(b *testing.B) {
			m := crowd(n)
			same := inHall(1, members.Live)
			b.ReportAllocs()
			for b.Loop() {
				m.MarkSeen(start, same)
				m.Hubs(start)
			}
		})
	}
}

// TestHubsKept holds that naming the hubs takes no memory while boxes are only
// heard again, however many there are.
func TestHubsKept(t *testing.T) {
	is := is.New(t)
	m := crowd(350)
	m.Hubs(start)
	same := inHall(1, members.Live)
	is.Equal(testing.AllocsPerRun(100, func() {
		m.MarkSeen(start, same)
		m.Hubs(start)
	}), 0.0)
}

// TestHubsFollow holds that hubs are named anew at once when what they are
// chosen by changes.
func TestHubsFollow(t *testing.T) {
	tests := map[string]struct {
		strike func(m *members.Members, first members.Box)
		after  time.Duration
		stays  bool // the hub does
		asked  bool // whether it is back
	}{
		"nothing":        {strike: func(*members.Members, members.Box) {}, stays: true},
		"it fails":       {strike: func(m *members.Members, b members.Box) { m.MarkFailed(start, b.Name) }},
		"it just failed": {strike: func(m *members.Members, b members.Box) { m.MarkFailed(start, b.Name) }, after: 2999 * time.Millisecond},
		"its failure has lapsed": {strike: func(m *members.Members, b members.Box) {
			m.MarkFailed(start, b.Name)
			m.Hubs(start)
		}, after: 3 * time.Second, asked: true},
		"its failure has lapsed, and it is heard": {strike: func(m *members.Members, b members.Box) {
			m.MarkFailed(start, b.Name)
			m.Hubs(start.Add(3 * time.Second))
			m.MarkSeen(start.Add(3*time.Second), b)
		}, after: 3 * time.Second, stays: true},
		"it fails and is heard": {strike: func(m *members.Members, b members.Box) {
			m.MarkFailed(start, b.Name)
			m.Hubs(start)
			m.MarkSeen(start, b)
		}, stays: true},
		"it leaves": {strike: func(m *members.Members, b members.Box) { b.State = members.Leaving; m.MarkSeen(start, b) }},
		"it turns weak": {strike: func(m *members.Members, b members.Box) {
			b.Incarnation, b.HubEligible = 2, false
			m.MarkSeen(start, b)
		}},
		"its hall was taken for another": {strike: func(m *members.Members, b members.Box) {
			b.Incarnation, b.Hall = 2, "elsewhere"
			m.Introduce(start, b)
		}, asked: true}, // as that hall's
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := crowd(195)
			before := m.Hubs(start)
			first := before[slices.IndexFunc(before, func(b members.Box) bool { return b.Hall == "hall2" })]
			tt.strike(m, first)
			stays := slices.ContainsFunc(m.Hubs(start.Add(tt.after)), func(b members.Box) bool { return b.Name == first.Name && b.Hall == first.Hall })
			is.Equal(stays, tt.stays)
			asked := slices.ContainsFunc(m.HubsToCall(start.Add(tt.after)), func(b members.Box) bool { return b.Name == first.Name })
			is.Equal(asked, tt.asked || tt.stays)
		})
	}
}

// TestReads shows how many of the hubs follow the store, and that the next one
// does once a reader has failed.
func TestReads(t *testing.T) {
	tests := map[string]struct {
		halls, fail, want int
	}{
		"one hall":       {1, 0, 2},
		"three halls":    {3, 0, 3},
		"six halls":      {6, 0, 3},
		"one has failed": {6, 1, 3},
		"two have":       {6, 2, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			views := spreadOver(24, tt.halls)
			failed := views["box0"].Hubs(start)[:tt.fail]
			for _, b := range failed {
				delete(views, b.Name)
			}
			reads := 0
			for _, m := range views {
				for _, b := range failed {
					m.MarkFailed(start, b.Name)
				}
				if m.IsReader(start) {
					reads++
				}
			}
			is.New(t).Equal(reads, tt.want)
		})
	}
}

// spreadOver returns what each of some boxes in some halls knows, all heard.
func spreadOver(boxes, halls int) map[string]*members.Members {
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

// TestNearest shows which hub tells a box of all others.
func TestNearest(t *testing.T) {
	is := is.New(t)
	named := map[string]int{}
	for i := range 60 {
		m := members.New(members.Box{Name: fmt.Sprint("box", i), Hall: "hall0", Address: "self:1", Incarnation: 1, State: members.Live})
		for _, hall := range []string{"hall0", "hall1"} {
			m.MarkSeen(start, members.Box{Name: "hub " + hall, Hall: hall, Address: hall, Incarnation: 1, State: members.Live, HubEligible: true})
		}
		is.Equal(m.PrimaryHub(start).Name, "hub hall0")
		m = members.New(members.Box{Name: fmt.Sprint("box", i), Hall: "hall0", Address: "self:1", Incarnation: 1, State: members.Live})
		for _, hub := range []string{"one", "two"} { // one hall has two
			m.MarkSeen(start, members.Box{Name: hub, Hall: "hall0", Address: hub, Incarnation: 1, State: members.Live, HubEligible: true})
		}
		named[m.PrimaryHub(start).Name]++
	}
	is.True(named["one"] > 15 && named["two"] > 15)
}

// TestLeavingCount counts boxes that leave among all.
func TestLeavingCount(t *testing.T) {
	is := is.New(t)
	m := crowd(10)
	m.MarkSeen(start, inHall(3, members.Leaving))
	is.Equal([2]int{m.CountLeaving(), m.Count(start)}, [2]int{1, 10})
	m.Leave()
	is.Equal([2]int{m.CountLeaving(), m.Count(start)}, [2]int{2, 10})
}

func TestHubs(t *testing.T) {
	now := time.Now()
	spread := func(boxes, halls int, strong func(i int) bool) *members.Members {
		m := members.New(members.Box{Name: "b000", Hall: "h0", Address: "a000", State: members.Live, HubEligible: strong(0)})
		var list []wire.Member
		for i := 1; i < boxes; i++ {
			list = append(list, wire.Member{
				Box: fmt.Sprintf("b%03d", i), Hall: fmt.Sprint("h", i%halls), Address: fmt.Sprintf("a%03d", i), State: wire.MemberStateLive, Strong: strong(i),
			})
		}
		m.ApplyList(now, list)
		return m
	}
	listed := func(boxes int, strong func(i int) bool) *members.Members { return spread(boxes, 5, strong) }
	all := func(i int) bool { return i > 0 } // this box itself is weak
	tests := map[string]struct {
		members *members.Members
		strike  func(m *members.Members, first members.Box)
		hubs    int
		halls   int  // of the hubs, where they are fewer
		moved   bool // another is the first then
	}{
		"alone":            {members: listed(1, all), hubs: 1},
		"one a hall":       {members: listed(8, all), hubs: 5},
		"three halls":      {members: spread(6, 3, all), hubs: 3},
		"one hall: two":    {members: spread(10, 1, all), hubs: 2, halls: 1},
		"many: one a hall": {members: listed(58, all), hubs: 5},
		"hundreds: two":    {members: listed(350, all), hubs: 10, halls: 5},
		"only weak ones":   {members: listed(58, func(int) bool { return false }), hubs: 5},
		"the first fails":  {members: listed(58, all), hubs: 5, moved: true, strike: func(m *members.Members, first members.Box) { m.MarkFailed(now, first.Name) }},
		"the first leaves": {members: listed(58, all), hubs: 5, moved: true, strike: func(m *members.Members, first members.Box) {
			first.State = members.Leaving
			m.MarkSeen(now, first)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := tt.members.Hubs(now)[0]
			if tt.strike != nil {
				tt.strike(tt.members, first)
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
	// All boxes that know the same name the same hubs, strong ones first.
	is := is.New(t)
	m := listed(58, func(i int) bool { return i%7 == 3 })
	for _, h := range m.Hubs(now) {
		is.True(h.HubEligible)
	}
}

// TestCrowd shows how many hubs a crowd has, that each box of it calls two of them,
// and that no hub tells many more than it can, however many boxes there are.
func TestCrowd(t *testing.T) {
	tests := map[string]struct {
		boxes, halls int
		hubs, asks   int
		most         int // boxes that one hub tells
	}{
		"a small fleet":  {boxes: 61, halls: 3, hubs: 3, asks: 3, most: 20},
		"six halls":      {boxes: 195, halls: 6, hubs: 6, asks: 6, most: 33},
		"a crowd":        {boxes: 300, halls: 1, hubs: 8, asks: 2, most: 55},
		"in three halls": {boxes: 300, halls: 3, hubs: 9, asks: 2, most: 55},
		"600 boxes":      {boxes: 600, halls: 1, hubs: 15, asks: 2, most: 60},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tells, calls := map[string]int{}, map[string]int{}
			for _, m := range spreadOver(tt.boxes, tt.halls) {
				is.Equal(len(m.Hubs(start)), tt.hubs)
				_, hub := m.IsHub(start)
				asks := m.HubsToCall(start)
				if hub {
					is.Equal(len(asks), tt.hubs-1)
					continue
				}
				is.Equal(len(asks), tt.asks)
				is.True(tt.asks > 2 || asks[0].Name == m.PrimaryHub(start).Name)
				tells[m.PrimaryHub(start).Name]++
				for _, b := range asks {
					calls[b.Name]++
				}
			}
			for hub, boxes := range tells {
				is.True(boxes <= tt.most)
				is.True(calls[hub] <= 240)
			}
		})
	}
}

// TestToldCrowd shows that a box that has read few of the others takes a hub's count,
// the highest of those told of late, so that it calls the right hubs.
func TestToldCrowd(t *testing.T) {
	is := is.New(t)
	m := crowd(100)
	hubs := len(m.Hubs(start))
	is.Equal(m.LargeFleetCounts(start), nil)
	m.UpdateHallCount(start, "hall0", 250)
	m.UpdateHallCount(start, "hall0", 90) // by one that has read few itself
	is.Equal(len(m.Hubs(start)), hubs+3)  // seven would share 250 boxes; four of the hall are fit
	own := 0
	for _, boxes := range m.LargeFleetCounts(start) { // which it does not pass on
		own += boxes
	}
	is.Equal(own, 100)
	later := start.Add(6 * time.Second)
	m.UpdateHallCount(later, "hall0", 90)
	is.Equal(len(m.Hubs(later)), hubs)
}

// TestToldCrowdLapses shows that a told count is forgotten though no box changes, and
// taken again when it is told after that.
func TestToldCrowdLapses(t *testing.T) {
	is := is.New(t)
	m := crowd(100)
	m.UpdateHallCount(start, "hall0", 250)
	is.True(m.LargeFleetCounts(start.Add(4*time.Second)) != nil)
	m.UpdateHallCount(start.Add(4*time.Second), "hall0", 250)
	is.True(m.LargeFleetCounts(start.Add(8*time.Second)) != nil)
	later := start.Add(10 * time.Second)
	is.Equal(m.LargeFleetCounts(later), nil)
	m.UpdateHallCount(later, "hall0", 250)
	is.True(m.LargeFleetCounts(later) != nil)
}

// TestCrowdLeft lets boxes of a small crowd leave, as in a planned stop of some of them,
// of which only the hubs hear that they called: the others' hubs stay hubs in their own
// eyes, as who is none passes on nothing of what it is told.
func TestCrowdLeft(t *testing.T) {
	for _, gone := range []int{6, 20, 40} {
		t.Run(fmt.Sprint(gone, " of 245"), func(t *testing.T) {
			is := is.New(t)
			all, boxes := alike(245)
			is.Equal(len(all["box0"].Hubs(start)), 7)
			others := slices.DeleteFunc(boxes, func(b members.Box) bool { return all["box0"].IsHubBox(start, b.Name) })
			for _, b := range others[:gone] {
				b.State = members.Leaving
				for _, hub := range all[b.Name].HubsToCall(start) {
					all[hub.Name].MarkSeen(start, b)
				}
			}
			for _, b := range others[gone:] {
				_, hub := all[all[b.Name].PrimaryHub(start).Name].IsHub(start)
				is.True(hub)
			}
		})
	}
}

// alike returns the memberships of boxes of one hall that have all listed all.
func alike(n int) (all map[string]*members.Members, boxes []members.Box) {
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

// TestCrowdOfWeak shows that boxes that are not fit are hubs only where a hall has no
// other.
func TestCrowdOfWeak(t *testing.T) {
	m := members.New(members.Box{Name: "self", Hall: "hall0", Address: "self:1", State: members.Live})
	for i := range 300 {
		b := inHall(i, members.Live)
		b.HubEligible = false
		m.MarkSeen(start, b)
	}
	is.New(t).Equal(len(m.Hubs(start)), 6)
}

// TestStarting shows how a box that refuses is taken that was listed and never heard:
// in a crowd, where all may have been started at once, for a hub that is not up yet.
func TestStarting(t *testing.T) {
	tests := map[string]struct {
		boxes int
		heard bool
		after time.Duration // it was listed
		stays bool          // a hub
	}{
		"a small fleet":          {boxes: 61},
		"a crowd":                {boxes: 300, stays: true},
		"a crowd, some time":     {boxes: 300, after: 4 * time.Second, stays: true},
		"a crowd, for long":      {boxes: 300, after: 6 * time.Second},
		"a crowd, it was up":     {boxes: 300, heard: true},
		"a small one, some time": {boxes: 61, after: 4 * time.Second},
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
			if tt.heard {
				m.MarkSeen(start, first)
			}
			at := start.Add(tt.after)
			m.MarkFailed(at, first.Name)
			is.New(t).Equal(m.IsHubBox(at, first.Name), tt.stays)
		})
	}
}

// TestHubsOnly shows when a box that knows none but those fit to be hubs is one itself.
func TestHubsOnly(t *testing.T) {
	tests := map[string]struct {
		others int
		named  time.Duration // ago; 0 for never
		want   bool
	}{
		"others are fit":                {others: 3},
		"nobody else is there":          {want: true},
		"others take it for one":        {others: 3, named: time.Second, want: true},
		"others took it for one before": {others: 3, named: 4 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := members.New(members.Box{Name: "self", Hall: "hall0", Address: "self", State: members.Live})
			m.SetHubsOnly()
			var list []wire.Member
			for i := range tt.others { // of another hall: its own has none
				list = append(list, wire.Member{Box: fmt.Sprint("b", i), Hall: "hall1", Address: fmt.Sprint(i), State: wire.MemberStateLive, Strong: true})
			}
			m.ApplyList(start, list)
			if tt.named > 0 {
				m.MarkNamedAsHub(start.Add(-tt.named))
			}
			_, hub := m.IsHub(start)
			is.New(t).Equal(hub, tt.want)
		})
	}
}
