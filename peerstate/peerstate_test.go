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

func words(n count) map[string]count { return map[string]count{"u": n} }

// TestOf shows whose word counts: a hub's sum before what boxes told, and none
// that is old.
func TestOf(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		tell  func(b *peerstate.Totals[count])
		after time.Duration
		want  count
	}{
		"nothing": {tell: func(*peerstate.Totals[count]) {}},
		"two boxes": {tell: func(b *peerstate.Totals[count]) {
			b.Update(now, "a", words(1))
			b.Update(now, "b", words(2))
		}, want: 3},
		"a box again": {tell: func(b *peerstate.Totals[count]) {
			b.Update(now, "a", words(1))
			b.Update(now, "a", words(5))
		}, want: 5},
		"a hub's sum": {tell: func(b *peerstate.Totals[count]) {
			b.Update(now, "a", words(1))
			b.UpdateSum(now, words(7))
		}, want: 7},
		"a hub that is gone, a box that is not": {tell: func(b *peerstate.Totals[count]) {
			b.UpdateSum(now, words(7))
			b.Update(now.Add(2*time.Second), "a", words(1))
		}, after: 4 * time.Second, want: 1},
		"all are gone": {tell: func(b *peerstate.Totals[count]) {
			b.UpdateSum(now, words(7))
			b.Update(now, "a", words(1))
		}, after: 4 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := peerstate.New[count]()
			tt.tell(b)
			is.New(t).Equal(b.Of(now.Add(tt.after), "u"), tt.want)
		})
	}
}

// TestWithout shows what a hub tells a box: its own and all others' words but
// the box's.
func TestWithout(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := peerstate.New[count]()
	b.Update(now, "a", words(1))
	b.Update(now, "b", words(2))
	b.Update(now.Add(-time.Minute), "gone", words(100))
	list := words(10)
	b.AddExcept(now, "b", list)
	is.Equal(list, words(11))
}

// TestSums holds the sums against adding all fresh words up, as boxes tell, tell
// less, fall silent and come back.
func TestSums(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Now()
	b := peerstate.New[count]()
	type word struct {
		at   time.Time
		list map[string]count
	}
	said := map[string]word{}
	for range 3000 {
		now = now.Add(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
		box := fmt.Sprint("b", random.IntN(40))
		list := map[string]count{}
		for range random.IntN(4) {
			list[fmt.Sprint("u", random.IntN(6))] = count(random.IntN(9))
		}
		b.Update(now, box, list)
		said[box] = word{now, list}
		now = now.Add(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
		asker := fmt.Sprint("b", random.IntN(40))
		got, want, all := map[string]count{}, map[string]count{}, map[string]count{}
		b.AddExcept(now, asker, got)
		for name, w := range said {
			for u, v := range w.list {
				if now.Sub(w.at) > 3*time.Second {
					continue
				}
				all[u] += v
				if name != asker {
					want[u] += v
				}
			}
		}
		is.Equal(got, want)
		for _, u := range []string{"u0", "u3"} {
			is.Equal(b.Of(now, u), all[u])
		}
	}
}

// BenchmarkWithout is a hub's answer to one box, by boxes that each tell of 13
// of 65 upstreams; BenchmarkOf the sum at one upstream.
func BenchmarkWithout(b *testing.B) {
	bench(b, func(book *peerstate.Totals[count], now time.Time) { book.AddExcept(now, "b1", map[string]count{}) })
}

func BenchmarkOf(b *testing.B) {
	bench(b, func(book *peerstate.Totals[count], now time.Time) { book.Of(now, "u3") })
}

func bench(b *testing.B, f func(book *peerstate.Totals[count], now time.Time)) {
	for _, boxes := range []int{7, 66, 195, 350} {
		b.Run(fmt.Sprint(boxes, " boxes"), func(b *testing.B) {
			book, now := peerstate.New[count](), time.Now()
			for i := range boxes {
				list := map[string]count{}
				for j := range 13 {
					list[fmt.Sprint("u", (i*7+j*5)%65)] = 1
				}
				book.Update(now, fmt.Sprint("b", i), list)
			}
			for b.Loop() {
				f(book, now)
			}
		})
	}
}

// TestPart shows whose words a box tells on: of those that tell it alone, as long as
// they do, and how many boxes stand behind all words.
func TestPart(t *testing.T) {
	tests := map[string]struct {
		words func(b *peerstate.Totals[count], now time.Time)
		after time.Duration
		want  map[string]count
		part  int // boxes that tell it alone
		all   int
	}{
		"each tells all hubs": {words: func(b *peerstate.Totals[count], now time.Time) {
			b.Update(now, "b1", map[string]count{"u1": 1})
		}, want: map[string]count{}, all: 1},
		"two tell it alone": {words: func(b *peerstate.Totals[count], now time.Time) {
			for _, box := range []string{"b1", "b2"} {
				b.SetCoverage(box, true, peerstate.Coverage{})
				b.Update(now, box, map[string]count{"u1": 1})
			}
		}, want: map[string]count{"u1": 2}, part: 2, all: 2},
		"one has another hub now": {words: func(b *peerstate.Totals[count], now time.Time) {
			b.SetCoverage("b1", true, peerstate.Coverage{})
			b.Update(now, "b1", map[string]count{"u1": 1})
			b.SetCoverage("b1", false, peerstate.Coverage{})
			b.Update(now, "b1", nil)
		}, want: map[string]count{}, all: 1},
		"a hub tells of its boxes": {words: func(b *peerstate.Totals[count], now time.Time) {
			b.SetCoverage("hub", false, peerstate.Coverage{Boxes: 40})
			b.Update(now, "hub", map[string]count{"u1": 30})
		}, want: map[string]count{}, all: 41},
		"words that have lapsed": {words: func(b *peerstate.Totals[count], now time.Time) {
			b.SetCoverage("b1", true, peerstate.Coverage{})
			b.Update(now, "b1", map[string]count{"u1": 1})
			b.SetCoverage("hub", false, peerstate.Coverage{Boxes: 40})
			b.Update(now, "hub", map[string]count{"u1": 30})
		}, after: 4 * time.Second, want: map[string]count{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			b := peerstate.New[count]()
			tt.words(b, now)
			now = now.Add(tt.after)
			list := map[string]count{}
			is.Equal(b.AddExclusive(now, list), tt.part)
			is.Equal(list, tt.want)
			is.Equal(b.Boxes(now), tt.all)
		})
	}
}

// TestHeard shows which boxes count as heard of late: those that told this one, and
// those that had just told the ones that did.
func TestHeard(t *testing.T) {
	tests := map[string]struct {
		after                 time.Duration
		itself, alone, behind int
	}{
		"just now":        {itself: 3, alone: 1, behind: 30},
		"one is silent":   {after: 200 * time.Millisecond, itself: 1, behind: 30},
		"all are silent":  {after: time.Second},
		"all have lapsed": {after: 4 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			b := peerstate.New[count]()
			b.SetCoverage("b1", true, peerstate.Coverage{})
			b.Update(now, "b1", words(1))
			b.Update(now, "b2", words(1))
			b.SetCoverage("hub", false, peerstate.Coverage{Boxes: 40, Recent: 30})
			b.Update(now.Add(300*time.Millisecond), "hub", words(1))
			now = now.Add(300*time.Millisecond + tt.after)
			is.Equal(b.RecentBoxes(now, 400*time.Millisecond), tt.itself)
			is.Equal(b.RecentExclusive(now, 400*time.Millisecond), tt.alone)
			is.Equal(b.RecentIndirect(now, 400*time.Millisecond), tt.behind)
		})
	}
}
