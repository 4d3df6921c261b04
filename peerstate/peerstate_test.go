package peerstate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/peerstate"
)

type count int

func (c count) Plus(o count) count { return c + o }

func (c count) Minus(o count) count { return c - o }

func report(n count) map[string]count { return map[string]count{"u": n} }

// TestOf checks that a hub's sum takes precedence over the boxes' reports and that old
// reports don't count.
func TestOf(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		updates func(totals *peerstate.Totals[count])
		after   time.Duration
		want    count
	}{
		"no report": {updates: func(*peerstate.Totals[count]) {}},
		"two boxes": {updates: func(totals *peerstate.Totals[count]) {
			totals.Update(now, "a", report(1))
			totals.Update(now, "b", report(2))
		}, want: 3},
		"a second report of a box": {updates: func(totals *peerstate.Totals[count]) {
			totals.Update(now, "a", report(1))
			totals.Update(now, "a", report(5))
		}, want: 5},
		"a hub's sum": {updates: func(totals *peerstate.Totals[count]) {
			totals.Update(now, "a", report(1))
			totals.UpdateSum(now, report(7))
		}, want: 7},
		"the hub's sum has expired": {updates: func(totals *peerstate.Totals[count]) {
			totals.UpdateSum(now, report(7))
			totals.Update(now.Add(2*time.Second), "a", report(1))
		}, after: 4 * time.Second, want: 1},
		"all reports have expired": {updates: func(totals *peerstate.Totals[count]) {
			totals.UpdateSum(now, report(7))
			totals.Update(now, "a", report(1))
		}, after: 4 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			totals := peerstate.New[count]()
			tt.updates(totals)
			is.New(t).Equal(totals.Of(now.Add(tt.after), "u"), tt.want)
		})
	}
}

// TestAddExcept checks what a hub sends to a box: all reports except the box's own.
func TestAddExcept(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	totals := peerstate.New[count]()
	totals.Update(now, "a", report(1))
	totals.Update(now, "b", report(2))
	totals.Update(now.Add(-time.Minute), "expired", report(100))
	list := report(10)
	totals.AddExcept(now, "b", list)
	is.Equal(list, report(11))
}

// TestSums compares the running sums with a recomputation from all fresh reports, as
// boxes report, drop upstreams, fall silent and return.
func TestSums(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Now()
	totals := peerstate.New[count]()
	type sent struct {
		at   time.Time
		list map[string]count
	}
	reports := map[string]sent{}
	for range 3000 {
		now = now.Add(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
		box := fmt.Sprint("b", random.IntN(40))
		list := map[string]count{}
		for range random.IntN(4) {
			list[fmt.Sprint("u", random.IntN(6))] = count(random.IntN(9))
		}
		totals.Update(now, box, list)
		reports[box] = sent{now, list}
		now = now.Add(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
		receiver := fmt.Sprint("b", random.IntN(40))
		got, want, all := map[string]count{}, map[string]count{}, map[string]count{}
		totals.AddExcept(now, receiver, got)
		for name, r := range reports {
			for u, v := range r.list {
				if now.Sub(r.at) > 3*time.Second {
					continue
				}
				all[u] += v
				if name != receiver {
					want[u] += v
				}
			}
		}
		is.Equal(got, want)
		for _, u := range []string{"u0", "u3"} {
			is.Equal(totals.Of(now, u), all[u])
		}
	}
}

// BenchmarkAddExcept measures a hub's answer to one box when each box reports 13 of 65
// upstreams.
func BenchmarkAddExcept(b *testing.B) {
	bench(b, func(totals *peerstate.Totals[count], now time.Time) { totals.AddExcept(now, "b1", map[string]count{}) })
}

// BenchmarkOf measures reading one upstream's total.
func BenchmarkOf(b *testing.B) {
	bench(b, func(totals *peerstate.Totals[count], now time.Time) { totals.Of(now, "u3") })
}

func bench(b *testing.B, f func(totals *peerstate.Totals[count], now time.Time)) {
	for _, boxes := range []int{7, 66, 195, 350} {
		b.Run(fmt.Sprint(boxes, " boxes"), func(b *testing.B) {
			totals, now := peerstate.New[count](), time.Now()
			for i := range boxes {
				list := map[string]count{}
				for j := range 13 {
					list[fmt.Sprint("u", (i*7+j*5)%65)] = 1
				}
				totals.Update(now, fmt.Sprint("b", i), list)
			}
			for b.Loop() {
				f(totals, now)
			}
		})
	}
}

// TestAddExclusive checks that a hub forwards the reports of the boxes that report to it
// only, and how many boxes all reports cover.
func TestAddExclusive(t *testing.T) {
	tests := map[string]struct {
		updates   func(totals *peerstate.Totals[count], now time.Time)
		after     time.Duration
		want      map[string]count
		exclusive int // boxes that report to this one only
		boxes     int // that all reports cover
	}{
		"each reports to all hubs": {updates: func(totals *peerstate.Totals[count], now time.Time) {
			totals.Update(now, "b1", map[string]count{"u1": 1})
		}, want: map[string]count{}, boxes: 1},
		"two report to this box only": {updates: func(totals *peerstate.Totals[count], now time.Time) {
			for _, box := range []string{"b1", "b2"} {
				totals.SetCoverage(box, true, peerstate.Coverage{})
				totals.Update(now, box, map[string]count{"u1": 1})
			}
		}, want: map[string]count{"u1": 2}, exclusive: 2, boxes: 2},
		"one now reports to another hub as well": {updates: func(totals *peerstate.Totals[count], now time.Time) {
			totals.SetCoverage("b1", true, peerstate.Coverage{})
			totals.Update(now, "b1", map[string]count{"u1": 1})
			totals.SetCoverage("b1", false, peerstate.Coverage{})
			totals.Update(now, "b1", nil)
		}, want: map[string]count{}, boxes: 1},
		"a hub reports for its boxes": {updates: func(totals *peerstate.Totals[count], now time.Time) {
			totals.SetCoverage("hub", false, peerstate.Coverage{Boxes: 40})
			totals.Update(now, "hub", map[string]count{"u1": 30})
		}, want: map[string]count{}, boxes: 41},
		"the reports have expired": {updates: func(totals *peerstate.Totals[count], now time.Time) {
			totals.SetCoverage("b1", true, peerstate.Coverage{})
			totals.Update(now, "b1", map[string]count{"u1": 1})
			totals.SetCoverage("hub", false, peerstate.Coverage{Boxes: 40})
			totals.Update(now, "hub", map[string]count{"u1": 30})
		}, after: 4 * time.Second, want: map[string]count{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			totals := peerstate.New[count]()
			tt.updates(totals, now)
			now = now.Add(tt.after)
			list := map[string]count{}
			is.Equal(totals.AddExclusive(now, list), tt.exclusive)
			is.Equal(list, tt.want)
			is.Equal(totals.Boxes(now), tt.boxes)
		})
	}
}

// TestRecent checks which boxes count as recently heard from: those that reported to
// this one, and those that had just reported to one of these.
func TestRecent(t *testing.T) {
	tests := map[string]struct {
		after                      time.Duration
		boxes, exclusive, indirect int
	}{
		"just reported":            {boxes: 3, exclusive: 1, indirect: 30},
		"two are silent":           {after: 200 * time.Millisecond, boxes: 1, indirect: 30},
		"all are silent":           {after: time.Second},
		"all reports have expired": {after: 4 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			totals := peerstate.New[count]()
			totals.SetCoverage("b1", true, peerstate.Coverage{})
			totals.Update(now, "b1", report(1))
			totals.Update(now, "b2", report(1))
			totals.SetCoverage("hub", false, peerstate.Coverage{Boxes: 40, Recent: 30})
			totals.Update(now.Add(300*time.Millisecond), "hub", report(1))
			now = now.Add(300*time.Millisecond + tt.after)
			is.Equal(totals.RecentBoxes(now, 400*time.Millisecond), tt.boxes)
			is.Equal(totals.RecentExclusive(now, 400*time.Millisecond), tt.exclusive)
			is.Equal(totals.RecentIndirect(now, 400*time.Millisecond), tt.indirect)
		})
	}
}
