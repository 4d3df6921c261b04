package verdict_test

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/canary/buckets"
	"petrelstep/canary/verdict"
	"petrelstep/wire"
)

const (
	interval = 250 * time.Millisecond
	usual    = 100 * time.Millisecond
)

// feed is a verdict with the sums that it is given.
type feed struct {
	verdict *verdict.Verdict
	now     time.Time
	rows    map[string]*wire.ReleaseCounts // by route and upstream
	names   []string
}

func newFeed() *feed {
	return &feed{verdict: verdict.New(), now: time.Unix(1000, 0), rows: map[string]*wire.ReleaseCounts{}}
}

// row returns the row of the baseline, or of an upstream of the candidate.
func (f *feed) row(route, upstream string) *wire.ReleaseCounts {
	name := route + " " + upstream
	if f.rows[name] == nil {
		f.rows[name] = &wire.ReleaseCounts{
			Route: route, Candidate: upstream != "", Upstream: upstream,
			First: make([]int, buckets.Count), Pace: make([]int, buckets.Count),
		}
		f.names = append(f.names, name)
	}
	return f.rows[name]
}

// answers adds answers on the route "tag"; an empty upstream is the baseline.
func (f *feed) answers(upstream string, failed, good int, first time.Duration) {
	row := f.row("tag", upstream)
	row.Sent += failed + good
	row.Failed += failed
	row.First[buckets.Of(first)] += good
}

func (f *feed) failed(upstream string, n int) { f.answers(upstream, n, 0, usual) }

func (f *feed) good(upstream string, n int) { f.answers(upstream, 0, n, usual) }

func (f *feed) slow(upstream string, n int) { f.answers(upstream, 0, n, 5*usual) }

// pass lets time pass.
func (f *feed) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(interval)
		var sum []wire.ReleaseCounts
		for _, name := range f.names {
			sum = append(sum, *f.rows[name])
		}
		f.verdict.Update(f.now, sum)
	}
}

func (f *feed) bad() bool {
	_, bad := f.verdict.Bad()
	return bad
}

// each adds answers a second apart.
func (f *feed) each(n int, add func()) {
	for range n {
		add()
		f.pass(time.Second)
	}
}

// orderTests are orders, by what the answers are like.
var orderTests = map[string]struct {
	order func(f *feed)
	want  bool
	kind  string
}{
	"no answers":      {order: func(*feed) {}},
	"4 of 4 fail":     {order: func(f *feed) { f.good("", 100); f.each(4, func() { f.failed("b", 1) }) }, want: true, kind: "failing"},
	"4 of 4 are slow": {order: func(f *feed) { f.good("", 100); f.each(4, func() { f.slow("b", 1) }) }, want: true, kind: "slow_first"},
	"1 of 1 fails":    {order: func(f *feed) { f.good("", 100); f.failed("b", 1) }},
	"4 of 4 fail at several upstreams": {order: func(f *feed) {
		f.good("", 100)
		f.pass(time.Second)
		f.each(1, func() { f.failed("b", 1); f.failed("c", 1); f.failed("d", 1); f.failed("e", 1); f.failed("f", 1) })
	}, want: true, kind: "failing"},
	"4 of 4 fail, no baseline":      {order: func(f *feed) { f.each(4, func() { f.failed("b", 1) }) }, want: true, kind: "failing"},
	"all are slow, no baseline":     {order: func(f *feed) { f.each(20, func() { f.slow("b", 1) }) }},
	"some fail, no baseline":        {order: func(f *feed) { f.each(20, func() { f.answers("b", 1, 6, usual) }) }},
	"slow, baseline quiet for long": {order: func(f *feed) { f.good("", 100); f.pass(time.Minute); f.each(4, func() { f.slow("b", 1) }) }, want: true, kind: "slow_first"},
	"bad after 500 good ones": {order: func(f *feed) {
		f.each(20, func() { f.good("", 100); f.good("b", 25) })
		f.each(5, func() { f.good("", 100); f.failed("b", 1) })
	}, want: true, kind: "failing"},
	"slow as the baseline": {order: func(f *feed) {
		f.each(10, func() { f.good("", 40); f.good("b", 2); f.good("c", 2); f.good("d", 2) })
		f.each(10, func() { f.slow("", 40); f.slow("b", 2); f.slow("c", 2); f.slow("d", 2) })
	}},
	"fails as the baseline": {order: func(f *feed) {
		f.each(10, func() { f.good("", 40); f.good("b", 2); f.good("c", 2); f.good("d", 2) })
		f.each(10, func() {
			f.answers("", 20, 20, usual)
			f.answers("b", 1, 1, usual)
			f.answers("c", 1, 1, usual)
			f.answers("d", 1, 1, usual)
		})
	}},
	"faster": {order: func(f *feed) { f.each(20, func() { f.slow("", 40); f.good("b", 4) }) }},
	"one upstream of 4 fails": {order: func(f *feed) {
		f.each(15, func() { f.good("", 40); f.failed("b", 1); f.good("c", 1); f.good("d", 1); f.good("e", 1) })
	}},
	"one of 4 fails and is asked more": {order: func(f *feed) {
		f.good("", 100)
		f.each(15, func() { f.good("", 40); f.failed("b", 2) })
		f.each(1, func() { f.good("c", 1); f.good("d", 1); f.good("e", 1) })
	}, want: true, kind: "failing"}, // while it was the only one in use
	"the loaded one of 4 turns bad": {order: func(f *feed) {
		f.each(10, func() { f.good("", 40); f.good("b", 3) })
		f.each(6, func() { f.good("", 10); f.failed("b", 1); f.good("c", 1); f.good("d", 1); f.good("e", 1) })
	}, want: true, kind: "failing"}, // no broken upstream: the trial shows by it what the others would do
	"two of 4 fail": {order: func(f *feed) {
		f.each(8, func() { f.good("", 40); f.failed("b", 1); f.failed("c", 1); f.good("d", 1); f.good("e", 1) })
	}, want: true, kind: "failing"},
	"one of 2 crashes": {order: func(f *feed) {
		f.each(10, func() { f.good("", 40); f.good("b", 4); f.good("c", 4) })
		f.failed("b", 12)
		f.each(5, func() { f.good("", 40); f.good("c", 4) })
	}},
	"one of 2 fails 30 at once": {order: func(f *feed) {
		f.each(10, func() { f.good("", 40); f.good("b", 4); f.good("c", 4) })
		f.failed("b", 30)
		f.each(5, func() { f.good("", 40); f.good("c", 4) })
	}, want: true, kind: "failing"},
	"cold upstreams fail as the baseline": {order: func(f *feed) {
		f.each(15, func() {
			f.answers("", 4, 36, usual)
			for _, upstream := range []string{"b", "c", "d"} {
				f.row("tag", upstream).Answered += 9
				f.failed(upstream, 1)
			}
		})
	}},
	"known only from the middle of the order": {order: func(f *feed) { f.answers("", 1, 300, usual); f.answers("b", 9, 9, usual) }, want: true, kind: "failing"},
}

// TestBad checks which evidence condemns a candidate.
func TestBad(t *testing.T) {
	for name, tt := range orderTests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFeed()
			tt.order(f)
			f.pass(2 * time.Second)
			reason, bad := f.verdict.Bad()
			is.Equal(bad, tt.want)
			is.Equal(reason.Kind, tt.kind)
		})
	}
}

// TestSuspicion checks that answers count as evidence before they are compared, and are compared
// at once in the cutover.
func TestSuspicion(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.each(10, func() { f.good("", 40); f.good("b", 2) })
	f.pass(2 * time.Second)
	is.Equal(f.verdict.Suspicion(), 0.0)
	f.answers("b", 1, 0, usual)
	f.answers("c", 1, 0, usual)
	f.answers("d", 1, 0, usual)
	f.pass(interval)
	is.True(f.verdict.Suspicion() >= 0.5)
	is.Equal(f.verdict.Evidence()[0].ScorePct, 0)
	before := f.verdict.Suspicion()
	is.Equal(f.verdict.Suspicion(), before) // nothing is counted twice
	f.verdict.CutOver()
	f.pass(interval)
	is.True(f.verdict.Evidence()[0].ScorePct > 0)
	f.failed("b", 1)
	f.failed("c", 1)
	f.pass(time.Second)
	f.failed("b", 1)
	f.failed("c", 1)
	f.pass(interval)
	is.True(f.bad())
}

// TestLoadedInCutover checks that the upstream that the trial has loaded is not left out in the
// cutover, in which it gives a small part of the answers.
func TestLoadedInCutover(t *testing.T) {
	f := newFeed()
	f.each(8, func() { f.good("", 40); f.good("b", 2) })
	f.pass(2 * time.Second)
	f.verdict.CutOver()
	for range 6 {
		f.failed("b", 1)
		f.good("c", 3)
		f.good("d", 3)
		f.good("e", 3)
		f.pass(time.Second)
	}
	is.New(t).True(f.bad())
}

// TestLoadedTurnsBad checks that a few bad answers of the upstream that the trial has loaded hold
// back the completion, however many good ones the others give: they have run little so far.
func TestLoadedTurnsBad(t *testing.T) {
	f := newFeed()
	f.each(8, func() { f.good("", 40); f.good("b", 2) })
	f.pass(2 * time.Second)
	f.verdict.CutOver()
	for range 2 {
		f.failed("b", 1)
		f.good("c", 8)
		f.good("d", 8)
		f.good("e", 8)
		f.pass(time.Second)
	}
	is.New(t).True(f.verdict.Suspicion() >= 0.5)
}

// TestSuspects checks that bad answers which come at once do not condemn a release, as a crash may be
// their cause, but hold back the completion until later answers show which it was: in a short cutover
// a release that fails under load was completed on one of them.
func TestSuspects(t *testing.T) {
	tests := map[string]struct {
		later    func(f *feed) // after three answers of one second are bad
		suspect  bool
		condemns bool
	}{
		"at once":               {later: func(*feed) {}, suspect: true},
		"good ones":             {later: func(f *feed) { f.each(2, func() { f.good("b", 5) }) }},
		"none, the others good": {later: func(f *feed) { f.each(4, func() { f.good("c", 5) }) }},
		"bad ones":              {later: func(f *feed) { f.each(2, func() { f.answers("b", 3, 5, usual) }) }, suspect: true},
		"only bad ones":         {later: func(f *feed) { f.each(3, func() { f.failed("b", 3) }) }, suspect: true, condemns: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFeed()
			f.each(10, func() { f.good("", 40); f.good("b", 3) })
			f.pass(2 * time.Second)
			f.verdict.CutOver()
			f.good("b", 4)
			f.pass(interval)
			f.answers("b", 3, 2, usual)
			f.pass(interval)
			is.True(!f.bad())
			tt.later(f)
			is.Equal(f.verdict.Suspicion() >= 0.5, tt.suspect)
			is.Equal(f.bad(), tt.condemns)
		})
	}
}

// TestCutStream checks that a stream that is cut counts as one answer, which failed: it counted as a good
// one too, so that a release that cuts its streams looked half as bad.
func TestCutStream(t *testing.T) {
	is := is.New(t)
	play := func(cut bool) wire.ReleaseEvidence {
		f := newFeed()
		f.each(10, func() { f.good("", 40) })
		f.each(2, func() {
			f.good("b", 2)
			if cut {
				f.good("b", 1)
				f.pass(2 * time.Second)
				f.row("tag", "b").Cut++
				f.row("tag", "b").Failed++
				return
			}
			f.pass(2 * time.Second)
			f.failed("b", 1)
		})
		f.pass(2 * time.Second)
		return f.verdict.Evidence()[0]
	}
	cut, failed := play(true), play(false)
	is.Equal(cut.Answers, 6)
	is.Equal(cut, failed)
}

// TestShortRoute checks which route lacks requests to the candidate, once another has enough.
func TestShortRoute(t *testing.T) {
	tests := map[string]struct {
		tag, draft int // answers of the candidate
		running    int // requests of it on the route "draft"
		want       string
	}{
		"no answers":           {},
		"none has enough":      {tag: 5, draft: 4},
		"one has enough":       {tag: 12, draft: 4, want: "draft"},
		"the other has enough": {tag: 4, draft: 12, want: "tag"},
		"both have enough":     {tag: 12, draft: 12},
		"under way":            {tag: 12, draft: 4, running: 8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFeed()
			f.good("", 200)
			f.row("draft", "").First[buckets.Of(usual)] += 100
			f.row("rare", "").First[buckets.Of(usual)] += 5 // less than a twentieth
			f.good("b", tt.tag)
			f.row("draft", "b").First[buckets.Of(usual)] += tt.draft
			f.row("draft", "b").Running = tt.running
			f.pass(3 * time.Second)
			got, part := f.verdict.ShortRoute()
			is.Equal(got, tt.want)
			switch got {
			case "draft":
				is.True(part > 0.32 && part < 0.33)
			case "":
				is.Equal(part, 0.0)
			}
		})
	}
}

// TestSuspectsFew checks that a few bad answers of many do not hold back the completion: they came as one
// of two boxes was slow for a moment, in the cutover of a service with many requests.
func TestSuspectsFew(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.each(10, func() { f.answers("", 10, 990, usual); f.good("b", 40) })
	f.pass(2 * time.Second)
	f.verdict.CutOver()
	for range 4 {
		f.answers("b", 3, 120, usual)
		f.pass(interval)
		is.True(f.verdict.Suspicion() < 0.5)
	}
	is.True(!f.bad())
}

// TestStaysBad checks that good answers do not undo a verdict.
func TestStaysBad(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.good("", 100)
	f.each(6, func() { f.failed("b", 1) })
	is.True(f.bad())
	reason, _ := f.verdict.Bad()
	f.each(20, func() { f.good("b", 50) })
	again, bad := f.verdict.Bad()
	is.True(bad)
	is.Equal(again, reason)
	is.Equal(reason.Route, "tag")
	is.Equal(reason.Fields()["kind"], "failing")
	is.True(reason.Score >= 1)
}

// TestReason checks how a reason reads.
func TestReason(t *testing.T) {
	is := is.New(t)
	r := verdict.Reason{Route: "tag", Kind: "slow_pace", Score: 1.25, Answers: 9, Bad: 7, BaselineAnswers: 200, BaselineBad: 3}
	is.Equal(r.String(), "slow_pace on route tag: 7 of 9 answers, baseline 3 of 200, score 1.25")
	r.Route = ""
	is.Equal(r.String(), "slow_pace on all routes: 7 of 9 answers, baseline 3 of 200, score 1.25")
}

// TestEvidence checks the counts of a view, and when the evidence suffices.
func TestEvidence(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	is.True(!f.verdict.Sufficient())
	f.answers("", 2, 198, usual)
	f.answers("b", 1, 3, usual)
	f.slow("c", 1)
	f.pass(2 * time.Second)
	e := f.verdict.Evidence()
	is.Equal(len(e), 1)
	is.True(e[0].ScorePct > 0 && e[0].ScorePct < 100)
	e[0].ScorePct = 0
	is.Equal(e, []wire.ReleaseEvidence{{Route: "tag", Answers: 5, Bad: 2, BaselineAnswers: 200, BaselineBad: 2}})
	is.True(!f.verdict.Sufficient())
	f.good("b", 20)
	f.pass(2 * time.Second)
	is.True(f.verdict.Sufficient())
	f.row("draft", "").First[4] = 100 // a route on which the candidate has not answered
	f.pass(2 * time.Second)
	is.True(!f.verdict.Sufficient())
	is.Equal(len(f.verdict.Evidence()), 2)
}

// TestSufficientFinds checks the power that sufficient evidence stands for: a candidate
// half of whose answers fail is found in at least 95 of 100 orders once it is reached.
func TestSufficientFinds(t *testing.T) {
	is := is.New(t)
	const runs = 200
	found := 0
	for seed := range uint64(runs) {
		if condemnedWhenSufficient(seed) {
			found++
		}
	}
	t.Logf("found %d of %d", found, runs)
	is.True(found >= runs*95/100)
}

// TestNonsense checks that sums that can't be true neither condemn nor panic.
func TestNonsense(t *testing.T) {
	row := func(w wire.ReleaseCounts) wire.ReleaseCounts {
		w.Route, w.Candidate, w.Upstream = "tag", true, "b"
		return w
	}
	tests := map[string][]wire.ReleaseCounts{
		"none":            nil,
		"empty row":       {{}},
		"counts fell":     {row(wire.ReleaseCounts{Sent: 3, First: []int{0, 1}})},
		"negative":        {row(wire.ReleaseCounts{Sent: -9, Failed: -9, First: []int{-1}, Pace: []int{-4}})},
		"negative bucket": {row(wire.ReleaseCounts{Sent: 90, Failed: 90, First: []int{-1}})},
		"long arrays":     {row(wire.ReleaseCounts{Sent: 90, Failed: 90, First: make([]int, 1<<16)})},
		"overflow":        {row(wire.ReleaseCounts{Failed: 1 << 62}), row(wire.ReleaseCounts{Failed: 1 << 62})},
		"another route":   {{Route: "draft"}},
		"more cut":        {{Route: "tag", Failed: 2, Cut: 9000}},
	}
	for name, rows := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFeed()
			f.each(10, func() { f.good("", 40); f.good("b", 4) })
			for range 20 {
				f.now = f.now.Add(interval)
				f.verdict.Update(f.now, rows)
			}
			is.True(!f.bad())
			f.each(4, func() { f.failed("b", 1) }) // true sums again
			f.pass(2 * time.Second)
			is.True(f.bad())
		})
	}
}

// FuzzUpdate checks that no sums make the verdict panic, and that none without bad
// answers condemn.
func FuzzUpdate(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 255, 0, 128})
	f.Fuzz(func(t *testing.T, data []byte) {
		v, good, now := verdict.New(), verdict.New(), time.Unix(1000, 0)
		next := func() int {
			var b [8]byte
			n := copy(b[:], data)
			data = data[n:]
			return int(int64(binary.LittleEndian.Uint64(b[:])) >> (b[0] % 64))
		}
		for len(data) > 0 {
			now = now.Add(time.Duration(next() % int(time.Minute)))
			row := wire.ReleaseCounts{
				Route: string(rune('a' + next()&3)), Candidate: next()&1 == 0, Upstream: string(rune('a' + next()&7)),
				Sent: next(), Failed: next(), First: []int{next(), next(), next()}, Pace: []int{next(), next()},
			}
			v.Update(now, []wire.ReleaseCounts{row})
			row.Failed, row.First, row.Pace = 0, row.First[:1], row.Pace[:1]
			good.Update(now, []wire.ReleaseCounts{row})
			v.Evidence()
			v.Sufficient()
		}
		if reason, bad := good.Bad(); bad {
			t.Fatal(reason)
		}
	})
}

// BenchmarkUpdate measures an update with 2 routes and 57 upstreams of the candidate.
func BenchmarkUpdate(b *testing.B) {
	v, now := verdict.New(), time.Unix(1000, 0)
	var sum []wire.ReleaseCounts
	for i := range 116 {
		w := wire.ReleaseCounts{Route: routes[i%2], Candidate: i > 1, Upstream: string(rune('a' + i/2)), First: make([]int, 24), Pace: make([]int, 12)}
		sum = append(sum, w)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		for i := range 12 {
			sum[(n*12+i)%len(sum)].First[17]++
		}
		now = now.Add(interval)
		v.Update(now, sum)
	}
}
