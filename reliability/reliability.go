// Package reliability tracks the recent failures of each upstream, from this box's
// requests and from the reports of the other boxes.
package reliability

import (
	"math"
	"sort"
	"sync"
	"time"

	"petrelstep/peerstate"
	"petrelstep/wire"
)

const (
	// halfLife is the half-life of recorded outcomes.
	halfLife = 3 * time.Second
	// priorSuccesses is added to the successes, so that a single failure does not
	// condemn an upstream.
	priorSuccesses = 2.0
	// endWeight is the number of failures that a detected end counts as: enough to
	// avoid the upstream until its entry is removed, some 3 s later, and to use it
	// again within 10 s if the detection was wrong.
	endWeight = 20.0
	// reportThreshold is the minimum number of failures that is reported, as most
	// upstreams never fail and traffic between halls is paid for.
	reportThreshold = 0.2
	// dropBelow is the number of outcomes below which a record is removed.
	dropBelow = 0.05
	// scale is the factor of counts in messages, which are integers.
	scale = 100
)

// Count is a decayed number of outcomes and of the failures among them.
type Count struct {
	Failed float64
	All    float64
}

// Plus returns the sum of both.
func (c Count) Plus(o Count) Count { return Count{Failed: c.Failed + o.Failed, All: c.All + o.All} }

// Minus returns the count without another.
func (c Count) Minus(o Count) Count { return Count{Failed: c.Failed - o.Failed, All: c.All - o.All} }

type record struct {
	at time.Time
	Count
}

// Reliability holds the recent outcomes of requests by upstream. It is safe for
// concurrent use.
type Reliability struct {
	mu      sync.Mutex
	records map[string]*record
	others  *peerstate.Totals[Count]
}

// New returns an empty Reliability.
func New() *Reliability {
	return &Reliability{records: map[string]*record{}, others: peerstate.New[Count]()}
}

// Record adds the outcome of one request.
func (r *Reliability) Record(now time.Time, upstream string, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.records[upstream]
	if !ok {
		e = &record{at: now}
		r.records[upstream] = e
	}
	e.decay(now)
	e.All++
	if failed {
		e.Failed++
	}
}

// RecordEnd records that an upstream was found to have ended. It is reported to the
// other boxes like any failure.
func (r *Reliability) RecordEnd(now time.Time, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.records[upstream]
	if !ok {
		e = &record{at: now}
		r.records[upstream] = e
	}
	e.decay(now)
	e.Failed, e.All = max(e.Failed, endWeight), max(e.All, endWeight)
}

// Forget discards the outcomes of an upstream, as it has restarted.
func (r *Reliability) Forget(upstream string) {
	r.others.Forget(upstream)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.records, upstream)
}

// FailureRate returns the share of all boxes' recent requests that failed, from 0 to 1.
func (r *Reliability) FailureRate(now time.Time, upstream string) float64 {
	r.mu.Lock()
	var own Count
	if e, ok := r.records[upstream]; ok {
		e.decay(now)
		own = e.Count
	}
	r.mu.Unlock()
	c := own.Plus(r.others.Of(now, upstream))
	return c.Failed / (c.All + priorSuccesses)
}

// Own returns this box's counts of failing upstreams, for its peers.
func (r *Reliability) Own(now time.Time) []wire.UpstreamFailures { return listOf(r.own(now)) }

func (r *Reliability) own(now time.Time) map[string]Count {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]Count{}
	for id, e := range r.records {
		e.decay(now)
		if e.Failed >= reportThreshold {
			counts[id] = e.Count
		}
		if e.All < dropBelow {
			delete(r.records, id)
		}
	}
	return counts
}

// Without returns the counts of all boxes but one, for that box.
func (r *Reliability) Without(now time.Time, box string) []wire.UpstreamFailures {
	sum := r.own(now)
	r.others.AddExcept(now, box, sum)
	return listOf(sum)
}

// PartialSum returns the counts of this box and of those that report to it alone, for
// the boxes that do not receive their reports.
func (r *Reliability) PartialSum(now time.Time) []wire.UpstreamFailures {
	sum := r.own(now)
	r.others.AddExclusive(now, sum)
	return listOf(sum)
}

// SetCoverage sets, before a box's report is applied, whether the box reports to this
// one alone.
func (r *Reliability) SetCoverage(box string, only bool) {
	r.others.SetCoverage(box, only, peerstate.Coverage{})
}

// Update applies another box's counts.
func (r *Reliability) Update(now time.Time, box string, list []wire.UpstreamFailures) {
	r.others.Update(now, box, countsOf(list))
}

// UpdateSum applies a hub's sum of the counts of all other boxes.
func (r *Reliability) UpdateSum(now time.Time, list []wire.UpstreamFailures) {
	r.others.UpdateSum(now, countsOf(list))
}

// AddSuspension adds the time for which this box's machine was suspended to the ages of
// reports.
func (r *Reliability) AddSuspension(d time.Duration) { r.others.AddSuspension(d) }

func listOf(counts map[string]Count) []wire.UpstreamFailures {
	list := make([]wire.UpstreamFailures, 0, len(counts))
	for id, c := range counts {
		list = append(list, wire.UpstreamFailures{Upstream: id, Failed: int(c.Failed * scale), All: int(c.All * scale)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Upstream < list[j].Upstream })
	return list
}

func countsOf(list []wire.UpstreamFailures) map[string]Count {
	counts := make(map[string]Count, len(list))
	for _, u := range list {
		counts[u.Upstream] = Count{Failed: float64(u.Failed) / scale, All: float64(u.All) / scale}
	}
	return counts
}

func (e *record) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(e.at)) / float64(halfLife))
	e.Failed *= factor
	e.All *= factor
	e.at = now
}
