package verdict

import (
	"maps"
	"slices"
	"time"

	"petrelstep/wire"
)

const (
	// settleDelay is how long the candidate's answers wait to be compared, as the
	// baseline's of the same time may be reported later.
	settleDelay = 1500 * time.Millisecond
	// maxUpstreams bounds the upstreams of the candidate that are distinguished.
	maxUpstreams = 512
)

// kind is a way in which an answer is bad.
type kind int

const (
	failing kind = iota
	slowFirst
	slowPace
	kinds
)

func (k kind) String() string { return [kinds]string{"failing", "slow_first", "slow_pace"}[k] }

// upstream is one upstream of the candidate on a route.
type upstream struct {
	seen   tally // counts since the order
	bursts [kinds]burst
}

// batch is what an upstream answered between two updates.
type batch struct {
	at       time.Time
	upstream int
	tally    tally
	first    bool // of the first update, which may cover any time
}

// tests holds the test for each kind of badness.
type tests [kinds]cusum

// route holds the evidence on one route.
type route struct {
	name      string
	baseline  baseline
	upstreams map[int]*upstream // by index
	pending   []batch
	tests     tests
	pooled    *tests         // of all routes
	rates     [kinds]float64 // of the baseline, as last compared
	updatedAt time.Time
	running   int // requests at the candidate
}

func newRoute(name string, pooled *tests) *route {
	return &route{name: name, upstreams: map[int]*upstream{}, pooled: pooled}
}

// update applies the rows of this route, with the indices of their upstreams.
// Answers are compared after a delay.
func (r *route) update(now time.Time, rows []indexedRow, delay time.Duration, first bool) {
	var base tally
	r.running = 0
	for _, w := range rows {
		t, ok := tallyOf(w.ReleaseCounts)
		switch {
		case !ok:
		case w.Candidate:
			r.running += max(w.Running, 0)
			r.answered(now, w.upstream, &t, first)
		default:
			base.add(&t)
		}
	}
	r.baseline.update(now, &base)
	r.updatedAt = now
	r.compare(now, delay)
}

// answered notes what an upstream of the candidate answered since the last update.
func (r *route) answered(now time.Time, i int, t *tally, first bool) {
	u, ok := r.upstreams[i]
	if !ok {
		u = &upstream{}
		r.upstreams[i] = u
	}
	if *t == u.seen {
		return
	}
	if added := t.since(&u.seen); added != (tally{}) {
		r.pending = append(r.pending, batch{at: now, upstream: i, tally: added, first: first})
	}
	u.seen.raise(t)
}

// compare tests the answers that were known a delay ago.
func (r *route) compare(now time.Time, delay time.Duration) {
	n := slices.IndexFunc(r.pending, func(b batch) bool { return now.Sub(b.at) < delay })
	if n < 0 {
		n = len(r.pending)
	}
	if n == 0 {
		return
	}
	ref := r.baseline.reference(now)
	r.rates = ref.rates
	for i := range r.pending[:n] {
		b := &r.pending[i]
		b.test(r.upstreams[b.upstream], ref, &r.tests, r.pooled)
	}
	r.pending = slices.Delete(r.pending, 0, n)
}

// test applies the answers of an upstream to some tests.
func (b *batch) test(u *upstream, ref reference, all ...*tests) {
	for k := range kinds {
		answered := b.tally.results(k, ref.limits)
		if answered == (results{}) {
			continue
		}
		tested := answered.bad
		if !b.first {
			tested = u.bursts[k].tested(b.at, answered.bad, answered.good, ref.rates[k])
		}
		for _, t := range all {
			t[k].add(b.upstream, answered, tested, ref.rates[k])
		}
	}
}

// withPending returns the tests as if all known answers could be compared now, with the
// baseline's rates, and as if bad ones that came at once had several causes unless later ones
// say otherwise. What is not tested yet is added to further tests too.
func (r *route) withPending(further *tests) (tests, [kinds]float64) {
	all, rates, copies := r.tests.clone(), r.rates, map[int]*upstream{}
	for i, u := range r.upstreams {
		copied := *u
		copies[i] = &copied
	}
	if len(r.pending) > 0 {
		ref := r.baseline.reference(r.updatedAt)
		rates = ref.rates
		for i := range r.pending {
			b := &r.pending[i]
			b.test(copies[b.upstream], ref, &all, further)
		}
	}
	for _, i := range slices.Sorted(maps.Keys(copies)) {
		for k := range kinds {
			if bad := copies[i].bursts[k].suspects(r.updatedAt); bad > 0 {
				all[k].add(i, results{}, bad, rates[k])
				further[k].add(i, results{}, bad, rates[k])
			}
		}
	}
	return all, rates
}

func (t *tests) clone() tests {
	copied := *t
	for k := range copied {
		copied[k].without, copied[k].own, copied[k].totals = slices.Clone(t[k].without), slices.Clone(t[k].own), slices.Clone(t[k].totals)
	}
	return copied
}

func (t *tests) endTrial() {
	for k := range t {
		t[k].endTrial()
	}
}

// score returns the strongest evidence.
func (t *tests) score(leaveOut bool) (score float64, of kind) {
	for k := range kinds {
		if s := t[k].score(leaveOut); s > score {
			score, of = s, k
		}
	}
	return score, of
}

// evidence returns a view of this route.
func (r *route) evidence(leaveOut bool) wire.ReleaseEvidence {
	score, _ := r.tests.score(leaveOut)
	e := wire.ReleaseEvidence{Route: r.name, ScorePct: int(100 * score)}
	ref := r.baseline.reference(r.updatedAt)
	var bad, baselineBad [kinds]int
	for k := range kinds {
		bad[k] = r.tests[k].sum(false).bad
		baselineBad[k] = r.baseline.now.results(k, ref.limits).bad
	}
	all := r.tests[failing].sum(false)
	e.Answers, e.Bad = all.total, bad[failing]+max(bad[slowFirst], bad[slowPace])
	e.BaselineAnswers = r.baseline.now.results(failing, ref.limits).total()
	e.BaselineBad = baselineBad[failing] + max(baselineBad[slowFirst], baselineBad[slowPace])
	return e
}
