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

func newTracker() (*Tracker, counts) {
	c := counts{}
	return New(c, logs.New(io.Discard, "error", "b")), c
}

func announcement(perSecond float64) exchange.Limit {
	return exchange.Limit{Kind: exchange.LimitAnnounced, PerSecond: perSecond}
}

// answer is the head of an answer; its times are in ms after the first.
type answer struct {
	sent, received int
	limit          exchange.Limit
	whole          bool
	startedAt      int64
}

// TestObserve checks which answers set and end a limit.
func TestObserve(t *testing.T) {
	none, unreadable := exchange.Limit{}, exchange.Limit{Kind: exchange.LimitInvalid}
	tests := map[string]struct {
		answers []answer
		limit   float64 // 0 for none
	}{
		"announced": {[]answer{{0, 10, announcement(2), true, 0}}, 2},
		"announced in an answer that was not run":         {[]answer{{0, 10, announcement(2), false, 0}}, 2},
		"not announced any more":                          {[]answer{{0, 10, announcement(2), true, 0}, {20, 30, none, true, 0}}, 0},
		"not announced, but sent before the announcement": {[]answer{{0, 10, announcement(2), true, 0}, {5, 30, none, true, 0}}, 2},
		"not announced, but not run or another's":         {[]answer{{0, 10, announcement(2), true, 0}, {20, 30, none, false, 0}}, 2},
		"an invalid announcement after a valid one":       {[]answer{{0, 10, announcement(2), true, 0}, {20, 30, unreadable, true, 0}}, 2},
		"an invalid announcement":                         {[]answer{{0, 10, unreadable, true, 0}}, 0},
		"raised":                                          {[]answer{{0, 10, announcement(2), true, 0}, {20, 30, announcement(7), true, 0}}, 7},
		"ended and announced again":                       {[]answer{{0, 10, announcement(2), true, 0}, {20, 30, none, true, 0}, {40, 50, announcement(3), true, 0}}, 3},
		"announced by an earlier incarnation":             {[]answer{{0, 10, none, true, 7}, {0, 20, announcement(2), true, 7}, {0, 30, announcement(9), true, 3}}, 2},
		"never announced":                                 {[]answer{{0, 10, none, true, 0}}, 0},
		"announced in an answer that crosses the end":     {[]answer{{0, 10, announcement(2), true, 0}, {20, 30, none, true, 0}, {15, 40, announcement(2), true, 0}}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker, _ := newTracker()
			began := time.Now()
			at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
			for _, a := range tt.answers {
				tracker.Observe(at(a.received), at(a.sent), fleet.Upstream{ID: "u", StartedAt: a.startedAt}, a.limit, a.whole)
			}
			perSecond, _, limited := tracker.Of(at(40).Add(easeDuration), "u")
			is.Equal(perSecond, tt.limit)
			is.Equal(limited, tt.limit > 0)
		})
	}
}

// TestUpdate checks which reports of another box change the known limit.
func TestUpdate(t *testing.T) {
	report := func(period int, perSecond float64, ageMs int) wire.UpstreamLimit {
		return wire.UpstreamLimit{Upstream: "u", Period: period, Holds: perSecond > 0, PerSecond: perSecond, AgeMs: ageMs}
	}
	tests := map[string]struct {
		known    []wire.UpstreamLimit
		reported wire.UpstreamLimit
		limit    float64
	}{
		"an unknown limit":                   {nil, report(1, 2, 100), 2},
		"the end":                            {[]wire.UpstreamLimit{report(1, 2, 100)}, report(1, 0, 50), 0},
		"the end, long ago":                  {[]wire.UpstreamLimit{report(1, 2, 100)}, report(1, 0, 9000), 0},
		"a value of a period that has ended": {[]wire.UpstreamLimit{report(1, 2, 100), report(1, 0, 50)}, report(1, 2, 0), 0},
		"a much newer value of a period that has ended": {[]wire.UpstreamLimit{report(1, 2, 9000), report(1, 0, 8000)}, report(1, 2, 0), 0},
		"a value of the next period":                    {[]wire.UpstreamLimit{report(1, 2, 100), report(1, 0, 50)}, report(2, 3, 0), 3},
		"a value of an earlier period":                  {[]wire.UpstreamLimit{report(2, 2, 100)}, report(1, 5, 0), 2},
		"the end of an earlier period":                  {[]wire.UpstreamLimit{report(2, 2, 100)}, report(1, 0, 0), 2},
		"the end of a later period":                     {[]wire.UpstreamLimit{report(1, 2, 100)}, report(2, 0, 50), 0},
		"a much newer value":                            {[]wire.UpstreamLimit{report(1, 2, 5000)}, report(1, 3, 100), 3},
		"an older value":                                {[]wire.UpstreamLimit{report(1, 2, 100)}, report(1, 3, 5000), 2},
		"a value about as old":                          {[]wire.UpstreamLimit{report(1, 2, 500)}, report(1, 3, 100), 2},
		"a negative value":                              {nil, report(1, -2, 100), 0},
		"a value without a period":                      {nil, report(0, 2, 100), 0},
		"an earlier incarnation":                        {[]wire.UpstreamLimit{{Upstream: "u", Born: 7, Period: 1, Holds: true, PerSecond: 2}}, wire.UpstreamLimit{Upstream: "u", Born: 3, Period: 4, Holds: true, PerSecond: 9}, 2},
		"a later incarnation":                           {[]wire.UpstreamLimit{{Upstream: "u", Born: 3, Period: 4, Holds: true, PerSecond: 9}}, wire.UpstreamLimit{Upstream: "u", Born: 7, Period: 1, Holds: true, PerSecond: 2}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tracker, _ := newTracker()
			now := time.Now()
			tracker.Update(now, tt.known[:min(1, len(tt.known))], false)
			tracker.Update(now, tt.known[min(1, len(tt.known)):], false)
			tracker.Update(now, []wire.UpstreamLimit{tt.reported}, false)
			perSecond, _, _ := tracker.Of(now.Add(easeDuration), "u")
			is.New(t).Equal(perSecond, tt.limit)
		})
	}
}

// TestConverges checks that two boxes that report to each other run out of news.
func TestConverges(t *testing.T) {
	is := is.New(t)
	a, _ := newTracker()
	b, _ := newTracker()
	now := time.Now()
	a.Observe(now, now, fleet.Upstream{ID: "u"}, announcement(2), true)
	b.Observe(now.Add(300*time.Millisecond), now, fleet.Upstream{ID: "u"}, announcement(5), true)
	b.Observe(now, now, fleet.Upstream{ID: "v"}, announcement(1), true)
	afterA, afterB := 0, 0
	reported := 0
	for range 10 {
		now = now.Add(250 * time.Millisecond)
		var list []wire.UpstreamLimit
		list, afterA = a.Since(now, afterA, true)
		reported = len(list)
		b.Update(now.Add(100*time.Millisecond), list, true)
		list, afterB = b.Since(now, afterB, true)
		reported += len(list)
		a.Update(now.Add(100*time.Millisecond), list, true)
	}
	is.Equal(reported, 0)
	is.Equal(a.All(), []string{"u", "v"})
	is.Equal(b.All(), a.All())
}

// TestEase checks how a limit that has just ended is lifted.
func TestEase(t *testing.T) {
	is := is.New(t)
	tracker, _ := newTracker()
	began := time.Now()
	tracker.Observe(began, began, fleet.Upstream{ID: "u"}, announcement(2), true)
	ended := began.Add(time.Second)
	tracker.Observe(ended, began.Add(time.Millisecond), fleet.Upstream{ID: "u"}, exchange.Limit{}, true)
	for after, want := range map[time.Duration]float64{0: 6, 100 * time.Millisecond: 12, 400 * time.Millisecond: 96} {
		perSecond, _, limited := tracker.Of(ended.Add(after), "u")
		is.True(limited && math.Abs(perSecond-want) < 0.01)
	}
	_, _, limited := tracker.Of(ended.Add(easeDuration), "u")
	is.True(!limited)
}

// TestReportVolume bounds the reports of a limit that changes with each answer, and the
// limits in one report.
func TestReportVolume(t *testing.T) {
	is := is.New(t)
	tracker, c := newTracker()
	now := time.Now()
	for i := range 1000 {
		tracker.Observe(now.Add(time.Duration(i)*10*time.Millisecond), now, fleet.Upstream{ID: "u"}, announcement(10+float64(i%3)), true)
	}
	is.True(c[Changed] <= 5) // one per two seconds
	reports, _ := tracker.Since(now, 1, false)
	is.Equal(len(reports), 1)
	_, last := tracker.Since(now, 0, false)
	reports, _ = tracker.Since(now, last, false)
	is.Equal(len(reports), 0) // small changes are not reported to boxes that are not hubs
	tracker.Observe(now.Add(10*time.Second), now, fleet.Upstream{ID: "u"}, announcement(1), true)
	is.Equal(tracker.Report(now.Add(10*time.Second), "u").PerSecond, 1.0)
	for i := range 2 * maxReported {
		tracker.Observe(now, now, fleet.Upstream{ID: fmt.Sprint(i)}, announcement(1), true)
	}
	first, last := tracker.Since(now, 0, true)
	is.Equal(len(first), maxReported)
	second, last := tracker.Since(now, last, true)
	is.Equal(len(second), maxReported)
	third, _ := tracker.Since(now, last, true)
	is.Equal(len(third), 1)
}

// TestTick checks that ended limits and those of removed and restarted upstreams are
// dropped.
func TestTick(t *testing.T) {
	is := is.New(t)
	tracker, c := newTracker()
	now := time.Now()
	for _, id := range []string{"ended", "removed", "serving", "restarted"} {
		tracker.Observe(now, now, fleet.Upstream{ID: id}, announcement(1), true)
	}
	tracker.Observe(now.Add(2*time.Second), now.Add(time.Second), fleet.Upstream{ID: "ended"}, exchange.Limit{}, true)
	tracker.Forget("restarted")
	tracker.Tick(now.Add(2*retention), func(id string) bool { return id == "serving" })
	is.Equal(tracker.All(), []string{"serving"})
	is.Equal(len(tracker.list), 1)
	is.Equal(c[Ended], 1)
	tracker.AddSuspension(time.Minute)
	is.True(tracker.Report(now, "serving").AgeMs >= 60_000)
}

// BenchmarkMemory measures the memory of the limits of 2,200 upstreams.
func BenchmarkMemory(b *testing.B) {
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		tracker, _ := newTracker()
		for i := range 2200 {
			tracker.Observe(now, now, fleet.Upstream{ID: fmt.Sprint("i-0000000", i)}, announcement(16), true)
		}
	}
}
