// Package verdict decides whether a release is bad by comparing its answers with those of
// the release in service.
//
// An answer of the candidate is bad if it failed, or if its first event or its pace took
// several times the baseline's median on that route. For each route and kind of badness a
// CUSUM (Page, Continuous Inspection Schemes, Biometrika 1954) of the log likelihood ratio
// tests the baseline's own rate of bad answers against clearly higher ones. It is Wald's
// sequential probability ratio test (Sequential Tests of Statistical Hypotheses, Annals of
// Mathematical Statistics 1945), restarted whenever it favours the candidate, so that it
// finds a release that turns bad at any moment.
//
// Faults that affect both releases raise the baseline's rate. A single upstream can't
// condemn a release: the worst one is left out where others are in use.
package verdict

import (
	"maps"
	"math"
	"slices"
	"time"

	"petrelstep/wire"
)

const (
	// maxExcess is the number of bad answers beyond the baseline's rate that condemns a
	// candidate whatever the tests say, if it is unlikely to come by chance.
	maxExcess = 20
	// certainExcess condemns it however likely it is.
	certainExcess = 40
	// excessDeviations is how many standard deviations make an excess unlikely.
	excessDeviations = 4
	// maxRoutes bounds the routes that are tested.
	maxRoutes = 256
	// enoughFactor is how many times the threshold is expected to be reached by a clearly
	// bad candidate once the evidence is sufficient, and clearRate its bad answers.
	enoughFactor = 1.5
	clearRate    = 0.5
	// minRoutePart is the part of the baseline's answers from which a route has to have
	// sufficient evidence.
	minRoutePart = 0.05
)

// Verdict is the verdict on the candidate of one order. It is not safe for concurrent
// use.
type Verdict struct {
	routes    map[string]*route
	pooled    tests                   // of all routes
	upstreams map[string]int          // indices of the candidate's upstreams
	used      int                     // of these, to which requests were sent
	rows      map[string][]indexedRow // of the last sums, by route
	reason    Reason
	bad       bool
	updated   bool
	delay     time.Duration // of the comparison
}

// New returns a verdict without evidence.
func New() *Verdict {
	return &Verdict{routes: map[string]*route{}, upstreams: map[string]int{}, rows: map[string][]indexedRow{}, delay: settleDelay}
}

// Update applies the sums over all boxes since the order. It is to be called some times
// a second. Rows with impossible counts are ignored, and counts that fell are taken as
// unchanged.
func (v *Verdict) Update(now time.Time, sum []wire.ReleaseCounts) {
	for name, rows := range v.rows {
		v.rows[name] = rows[:0]
	}
	used := map[int]bool{}
	for _, w := range sum {
		row := indexedRow{ReleaseCounts: w}
		if w.Candidate {
			row.upstream = v.indexOf(w.Upstream)
			used[row.upstream] = used[row.upstream] || w.Sent > 0
		}
		if _, ok := v.rows[w.Route]; ok || len(v.rows) < maxRoutes {
			v.rows[w.Route] = append(v.rows[w.Route], row)
		}
	}
	v.used = max(v.used, countTrue(used))
	for _, name := range slices.Sorted(maps.Keys(v.rows)) {
		if v.routes[name] == nil {
			v.routes[name] = newRoute(name, &v.pooled)
		}
		v.routes[name].update(now, v.rows[name], v.delay, !v.updated)
	}
	v.updated = true
	if !v.bad {
		v.reason, v.bad = v.decide()
	}
}

// indexedRow is a row with the index of its upstream.
type indexedRow struct {
	wire.ReleaseCounts
	upstream int
}

// indexOf returns the index of an upstream. Those beyond the bound share one.
func (v *Verdict) indexOf(upstream string) int {
	i, ok := v.upstreams[upstream]
	if !ok {
		i = len(v.upstreams)
		if i >= maxUpstreams {
			return maxUpstreams
		}
		v.upstreams[upstream] = i
	}
	return i
}

func countTrue(set map[int]bool) int {
	n := 0
	for _, is := range set {
		if is {
			n++
		}
	}
	return n
}

// CutOver makes answers count at once from now on. The baseline gets no more requests, so
// that no answers of the same time are to come, and a cutover is too short to wait. The
// upstreams that the trial has loaded stay those by which the release is judged.
func (v *Verdict) CutOver() {
	if v.delay == 0 {
		return
	}
	v.delay = 0
	v.pooled.endTrial()
	for _, r := range v.routes {
		r.tests.endTrial()
	}
}

// Suspicion returns the evidence against the candidate on the worst route, or on all together, as
// a part of what condemns it, with answers that are not compared yet.
func (v *Verdict) Suspicion() float64 {
	highest, pooled := 0.0, v.pooled.clone()
	for _, name := range v.names() {
		known, _ := v.routes[name].withPending(&pooled)
		score, _ := known.score(v.leavesOut())
		highest = max(highest, score)
	}
	score, _ := pooled.score(v.leavesOut())
	return max(highest, score)
}

// Bad reports whether the candidate is bad, and why. Once bad, it stays so.
func (v *Verdict) Bad() (reason Reason, bad bool) { return v.reason, v.bad }

func (v *Verdict) decide() (Reason, bool) {
	for _, name := range v.names() {
		r := v.routes[name]
		if score, k := r.tests.score(v.leavesOut()); score >= 1 {
			return r.reason(k, score), true
		}
	}
	if score, k := v.pooled.score(v.leavesOut()); score >= 1 {
		return v.pooledReason(k, score), true
	}
	return v.excess()
}

// excess condemns a candidate by the number of its bad answers over all routes.
func (v *Verdict) excess() (Reason, bool) {
	var sum answers
	var most float64
	var worst *route
	var of kind
	for _, name := range v.names() {
		for k, used := range v.routes[name].used(v.leavesOut()) {
			sum = sum.plus(used)
			if used.excess > most {
				most, worst, of = used.excess, v.routes[name], kind(k)
			}
		}
	}
	unlikely := min(excessDeviations*math.Sqrt(sum.variance), certainExcess)
	score := sum.excess / max(maxExcess, unlikely)
	if worst == nil || score < 1 {
		return Reason{}, false
	}
	return worst.reason(of, score), true
}

// leavesOut reports whether enough upstreams are in use to leave the worst one out.
func (v *Verdict) leavesOut() bool { return v.used > minOthers }

func (v *Verdict) names() []string { return slices.Sorted(maps.Keys(v.routes)) }

// Evidence returns the counts and the strength of the evidence, by route.
func (v *Verdict) Evidence() []wire.ReleaseEvidence {
	var list []wire.ReleaseEvidence
	for _, name := range v.names() {
		list = append(list, v.routes[name].evidence(v.leavesOut()))
	}
	return list
}

// Sufficient reports whether the answers so far would have shown a candidate half of
// whose answers fail, on each route that matters.
func (v *Verdict) Sufficient() bool {
	all := 0
	for _, r := range v.routes {
		all += r.baseline.now.results(failing, limits{}).total()
	}
	for _, r := range v.routes {
		total := r.baseline.now.results(failing, limits{}).total()
		if float64(total) >= minRoutePart*float64(all) && !r.sufficient() {
			return false
		}
	}
	return all > 0
}

// ShortRoute returns the route that most lacks requests to the candidate for sufficient evidence while
// another has enough, and its part of the baseline's answers; empty if there is none.
func (v *Verdict) ShortRoute() (name string, part float64) {
	all, lowest, enough := 0, 1.0, false
	for _, r := range v.routes {
		all += r.baseline.now.results(failing, limits{}).total()
	}
	for _, n := range v.names() {
		r := v.routes[n]
		of := float64(r.baseline.now.results(failing, limits{}).total()) / float64(max(all, 1))
		if of < minRoutePart {
			continue
		}
		known := r.progress(r.running)
		enough = enough || known >= 1
		if known < lowest {
			name, part, lowest = n, of, known
		}
	}
	if !enough {
		return "", 0
	}
	return name, part
}
