package upstreamlimits

import (
	"fmt"
	"io"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/exchange"
	"petrelstep/fleet"
	"petrelstep/logs"
	"petrelstep/wire"
)

type counts map[string]int

// Limited implements Counter.
func (c counts) Limited(change string) { c[change]++ }

func box() (*Tracker, counts) {
	c := counts{}
	return New(c, logs.New(io.Discard, "error", "b")), c
}

func named(perSecond float64) exchange.Limit {
	return exchange.Limit{Said: exchange.LimitNamed, PerSecond: perSecond}
}

// head is what a box got of an answer, some ms after the first.
type head struct {
	sent, came int
	said       exchange.Limit
	whole      bool
	born       int64
}

// TestHeard shows what ends a limit, and what does not.
func TestHeard(t *testing.T) {
	none, unreadable := exchange.Limit{}, exchange.Limit{Said: exchange.LimitUnreadable}
	tests := map[string]struct {
		heads []head
		holds float64 // 0 for none
	}{
		"it is named": {[]head{{0, 10, named(2), true, 0}}, 2},
		"it is named in an answer that was not run":   {[]head{{0, 10, named(2), false, 0}}, 2},
		"an answer without it":                        {[]head{{0, 10, named(2), true, 0}, {20, 30, none, true, 0}}, 0},
		"one that was asked before it was named":      {[]head{{0, 10, named(2), true, 0}, {5, 30, none, true, 0}}, 2},
		"one that was not run, or is another's":       {[]head{{0, 10, named(2), true, 0}, {20, 30, none, false, 0}}, 2},
		"a word that is no limit":                     {[]head{{0, 10, named(2), true, 0}, {20, 30, unreadable, true, 0}}, 2},
		"only a word that is none":                    {[]head{{0, 10, unreadable, true, 0}}, 0},
		"it rises":                                    {[]head{{0, 10, named(2), true, 0}, {20, 30, named(7), true, 0}}, 7},
		"it ends and is named again":                  {[]head{{0, 10, named(2), true, 0}, {20, 30, none, true, 0}, {40, 50, named(3), true, 0}}, 3},
		"an answer of an earlier life names it":       {[]head{{0, 10, none, true, 7}, {0, 20, named(2), true, 7}, {0, 30, named(9), true, 3}}, 2},
		"without a word nothing is known":             {[]head{{0, 10, none, true, 0}}, 0},
		"a word that crosses the answer that ends it": {[]head{{0, 10, named(2), true, 0}, {20, 30, none, true, 0}, {15, 40, named(2), true, 0}}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, _ := box()
			began := time.Now()
			at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
			for _, h := range tt.heads {
				l.Heard(at(h.came), at(h.sent), fleet.Upstream{ID: "u", StartedAt: h.born}, h.said, h.whole)
			}
			perSecond, _, limited := l.Of(at(40).Add(easesFor), "u")
			is.Equal(perSecond, tt.holds)
			is.Equal(limited, tt.holds > 0)
		})
	}
}

// TestTold shows what another box's word changes.
func TestTold(t *testing.T) {
	word := func(period int, perSecond float64, ageMs int) wire.UpstreamLimit {
		return wire.UpstreamLimit{Upstream: "u", Period: period, Holds: perSecond > 0, PerSecond: perSecond, AgeMs: ageMs}
	}
	tests := map[string]struct {
		has   []wire.UpstreamLimit
		told  wire.UpstreamLimit
		holds float64
	}{
		"of one it has not heard of":             {nil, word(1, 2, 100), 2},
		"that it has ended":                      {[]wire.UpstreamLimit{word(1, 2, 100)}, word(1, 0, 50), 0},
		"that it has ended, long before":         {[]wire.UpstreamLimit{word(1, 2, 100)}, word(1, 0, 9000), 0},
		"that a limit holds that has ended here": {[]wire.UpstreamLimit{word(1, 2, 100), word(1, 0, 50)}, word(1, 2, 0), 0},
		"the same, much newer":                   {[]wire.UpstreamLimit{word(1, 2, 9000), word(1, 0, 8000)}, word(1, 2, 0), 0},
		"that one holds of the next period":      {[]wire.UpstreamLimit{word(1, 2, 100), word(1, 0, 50)}, word(2, 3, 0), 3},
		"of an earlier period":                   {[]wire.UpstreamLimit{word(2, 2, 100)}, word(1, 5, 0), 2},
		"that an earlier period has ended":       {[]wire.UpstreamLimit{word(2, 2, 100)}, word(1, 0, 0), 2},
		"a later period's end":                   {[]wire.UpstreamLimit{word(1, 2, 100)}, word(2, 0, 50), 0},
		"another value, much newer":              {[]wire.UpstreamLimit{word(1, 2, 5000)}, word(1, 3, 100), 3},
		"another value, older":                   {[]wire.UpstreamLimit{word(1, 2, 100)}, word(1, 3, 5000), 2},
		"another value, about as old":            {[]wire.UpstreamLimit{word(1, 2, 500)}, word(1, 3, 100), 2},
		"below nothing":                          {nil, word(1, -2, 100), 0},
		"of no period":                           {nil, word(0, 2, 100), 0},
		"of an earlier life":                     {[]wire.UpstreamLimit{{Upstream: "u", Born: 7, Period: 1, Holds: true, PerSecond: 2}}, wire.UpstreamLimit{Upstream: "u", Born: 3, Period: 4, Holds: true, PerSecond: 9}, 2},
		"of a later life":                        {[]wire.UpstreamLimit{{Upstream: "u", Born: 3, Period: 4, Holds: true, PerSecond: 9}}, wire.UpstreamLimit{Upstream: "u", Born: 7, Period: 1, Holds: true, PerSecond: 2}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l, _ := box()
			now := time.Now()
			l.Told(now, tt.has[:min(1, len(tt.has))], false)
			l.Told(now, tt.has[min(1, len(tt.has)):], false)
			l.Told(now, []wire.UpstreamLimit{tt.told}, false)
			perSecond, _, _ := l.Of(now.Add(easesFor), "u")
			is.New(t).Equal(perSecond, tt.holds)
		})
	}
}

// TestSettles lets two boxes tell each other what they know until nothing is news.
func TestSettles(t *testing.T) {
	is := is.New(t)
	a, _ := box()
	b, _ := box()
	now := time.Now()
	a.Heard(now, now, fleet.Upstream{ID: "u"}, named(2), true)
	b.Heard(now.Add(300*time.Millisecond), now, fleet.Upstream{ID: "u"}, named(5), true)
	b.Heard(now, now, fleet.Upstream{ID: "v"}, named(1), true)
	afterA, afterB := 0, 0
	told := 0
	for range 10 {
		now = now.Add(250 * time.Millisecond)
		var list []wire.UpstreamLimit
		list, afterA = a.Since(now, afterA, true)
		told = len(list)
		b.Told(now.Add(100*time.Millisecond), list, true)
		list, afterB = b.Since(now, afterB, true)
		told += len(list)
		a.Told(now.Add(100*time.Millisecond), list, true)
	}
	is.Equal(told, 0)
	is.Equal(a.All(), []string{"u", "v"})
	is.Equal(b.All(), a.All())
}

// TestEases shows what is given out of a limit that has just ended.
func TestEases(t *testing.T) {
	is := is.New(t)
	l, _ := box()
	began := time.Now()
	l.Heard(began, began, fleet.Upstream{ID: "u"}, named(2), true)
	ended := began.Add(time.Second)
	l.Heard(ended, began.Add(time.Millisecond), fleet.Upstream{ID: "u"}, exchange.Limit{}, true)
	for after, want := range map[time.Duration]float64{0: 6, 100 * time.Millisecond: 12, 400 * time.Millisecond: 96} {
		perSecond, _, limited := l.Of(ended.Add(after), "u")
		is.True(limited && math.Abs(perSecond-want) < 0.01)
	}
	_, _, limited := l.Of(ended.Add(easesFor), "u")
	is.True(!limited)
}

// TestTells bounds what is told of a limit that changes with each answer, and how many
// are told at once.
func TestTells(t *testing.T) {
	is := is.New(t)
	l, c := box()
	now := time.Now()
	for i := range 1000 {
		l.Heard(now.Add(time.Duration(i)*10*time.Millisecond), now, fleet.Upstream{ID: "u"}, named(10+float64(i%3)), true)
	}
	is.True(c[Changed] <= 5) // one each two seconds
	rough, _ := l.Since(now, 1, false)
	is.Equal(len(rough), 1)
	_, last := l.Since(now, 0, false)
	rough, _ = l.Since(now, last, false)
	is.Equal(len(rough), 0) // other boxes are told of nothing that small
	l.Heard(now.Add(10*time.Second), now, fleet.Upstream{ID: "u"}, named(1), true)
	is.Equal(l.Word(now.Add(10*time.Second), "u").PerSecond, 1.0)
	for i := range 2 * tellMost {
		l.Heard(now, now, fleet.Upstream{ID: fmt.Sprint(i)}, named(1), true)
	}
	first, last := l.Since(now, 0, true)
	is.Equal(len(first), tellMost)
	second, last := l.Since(now, last, true)
	is.Equal(len(second), tellMost)
	third, _ := l.Since(now, last, true)
	is.Equal(len(third), 1)
}

// TestOver forgets what has ended, what is gone and what has started again.
func TestOver(t *testing.T) {
	is := is.New(t)
	l, c := box()
	now := time.Now()
	for _, id := range []string{"ends", "gone", "stays", "starts"} {
		l.Heard(now, now, fleet.Upstream{ID: id}, named(1), true)
	}
	l.Heard(now.Add(2*time.Second), now.Add(time.Second), fleet.Upstream{ID: "ends"}, exchange.Limit{}, true)
	l.Forget("starts")
	l.Tick(now.Add(2*endedFor), func(id string) bool { return id == "stays" })
	is.Equal(l.All(), []string{"stays"})
	is.Equal(len(l.list), 1)
	is.Equal(c[Ended], 1)
	l.Older(time.Minute)
	is.True(l.Word(now, "stays").AgeMs >= 60_000)
}

// BenchmarkMemory is what the limits of 2,200 upstreams take of a box.
func BenchmarkMemory(b *testing.B) {
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		l, _ := box()
		for i := range 2200 {
			l.Heard(now, now, fleet.Upstream{ID: fmt.Sprint("i-0000000", i)}, named(16), true)
		}
	}
}
