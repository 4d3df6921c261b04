// Package reliability remembers how often each upstream failed of late: what
// this box met there, and what the other boxes last told.
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
	// halfLife of what is remembered: some seconds, as faults last.
	halfLife = 3 * time.Second
	// prior counts as good answers seen, so that one failure is no verdict.
	prior = 2.0
	// gone is how many failures it counts as that an upstream was found to have ended:
	// enough that it is passed by until its entry goes, three seconds later, and is tried
	// again within ten should the finding be wrong.
	gone = 20.0
	// tellFrom is how many failures are worth telling of: bytes between halls are
	// paid for, and most upstreams never fail.
	tellFrom = 0.2
	// forgetBelow is how little of what was met is forgotten whole.
	forgetBelow = 0.05
	// parts is in what parts of one answer counts are told.
	parts = 100
)

// Count is how many answers came of late, and how many of them were failures.
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

// Reliability is safe for use by several goroutines.
type Reliability struct {
	mu      sync.Mutex
	records map[string]*record
	others  *peerstate.Totals[Count]
}

// New returns an empty memory.
func New() *Reliability {
	return &Reliability{records: map[string]*record{}, others: peerstate.New[Count]()}
}

// Record takes the outcome of one send.
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

// RecordEnd notes that an upstream was found to have ended. The others are told as of any
// failure, and pass it by until its entry goes.
func (r *Reliability) RecordEnd(now time.Time, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.records[upstream]
	if !ok {
		e = &record{at: now}
		r.records[upstream] = e
	}
	e.decay(now)
	e.Failed, e.All = max(e.Failed, gone), max(e.All, gone)
}

// Forget drops what was met at an upstream, as it has started again.
func (r *Reliability) Forget(upstream string) {
	r.others.Forget(upstream)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.records, upstream)
}

// FailureRate returns the share of all boxes' sends that failed of late, from 0 to 1.
func (r *Reliability) FailureRate(now time.Time, upstream string) float64 {
	r.mu.Lock()
	var own Count
	if e, ok := r.records[upstream]; ok {
		e.decay(now)
		own = e.Count
	}
	r.mu.Unlock()
	c := own.Plus(r.others.Of(now, upstream))
	return c.Failed / (c.All + prior)
}

// Own returns what this box met at upstreams that failed of late, for its peers.
func (r *Reliability) Own(now time.Time) []wire.UpstreamFailures { return listOf(r.own(now)) }

func (r *Reliability) own(now time.Time) map[string]Count {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]Count{}
	for id, e := range r.records {
		e.decay(now)
		if e.Failed >= tellFrom {
			counts[id] = e.Count
		}
		if e.All < forgetBelow {
			delete(r.records, id)
		}
	}
	return counts
}

// Without returns what all boxes but one met, for that one.
func (r *Reliability) Without(now time.Time, box string) []wire.UpstreamFailures {
	sum := r.own(now)
	r.others.AddExcept(now, box, sum)
	return listOf(sum)
}

// PartialSum returns what this box met and those that tell it alone, for the boxes that do
// not hear them.
func (r *Reliability) PartialSum(now time.Time) []wire.UpstreamFailures {
	sum := r.own(now)
	r.others.AddExclusive(now, sum)
	return listOf(sum)
}

// SetCoverage notes, before a box's word is taken, whether it tells this box alone.
func (r *Reliability) SetCoverage(box string, only bool) {
	r.others.SetCoverage(box, only, peerstate.Coverage{})
}

// Update takes another box's word of what it met.
func (r *Reliability) Update(now time.Time, box string, list []wire.UpstreamFailures) {
	r.others.Update(now, box, countsOf(list))
}

// UpdateSum takes a hub's word of what all other boxes met.
func (r *Reliability) UpdateSum(now time.Time, list []wire.UpstreamFailures) {
	r.others.UpdateSum(now, countsOf(list))
}

// Older makes what other boxes told older: this box's machine was suspended.
func (r *Reliability) Older(by time.Duration) { r.others.Older(by) }

func listOf(counts map[string]Count) []wire.UpstreamFailures {
	list := make([]wire.UpstreamFailures, 0, len(counts))
	for id, c := range counts {
		list = append(list, wire.UpstreamFailures{Upstream: id, Failed: int(c.Failed * parts), All: int(c.All * parts)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Upstream < list[j].Upstream })
	return list
}

func countsOf(list []wire.UpstreamFailures) map[string]Count {
	counts := make(map[string]Count, len(list))
	for _, u := range list {
		counts[u.Upstream] = Count{Failed: float64(u.Failed) / parts, All: float64(u.All) / parts}
	}
	return counts
}

func (e *record) decay(now time.Time) {
	part := math.Exp2(-float64(now.Sub(e.at)) / float64(halfLife))
	e.Failed *= part
	e.All *= part
	e.at = now
}
