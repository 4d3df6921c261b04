// Package digest selects the loads and demands that a box sends to its peers with
// the next heartbeat: a bounded number of changed entries, and periodically all
// entries, to make up for lost messages.
package digest

import (
	"math"
	"sort"
	"sync"
	"time"

	"petrelstep/wire"
)

const (
	// minRefresh is the minimum time between reports of an unchanged load.
	minRefresh = 3 * time.Second
	// minChange is the change of memory use, as a fraction of the capacity, that is
	// sent at once.
	minChange = 0.05
	// maxDemands bounds the demand entries of one heartbeat.
	maxDemands = 4
)

type sentLoad struct {
	load wire.EngineLoad
	at   time.Time
}

type sentDemand struct {
	demand wire.Demand
	at     time.Time
}

// Digest makes the digests for peers with the same heartbeat period. It is safe
// for concurrent use.
type Digest struct {
	mu          sync.Mutex
	period      time.Duration
	refresh     time.Duration
	madeAt      time.Time
	loads       []wire.EngineLoad
	demands     []wire.Demand
	sentLoads   map[string]sentLoad
	sentDemands map[string]sentDemand
}

// New returns a digest for peers with the given heartbeat period. Unchanged loads
// are sent again after two periods, or 3 s if that is more.
func New(period time.Duration) *Digest {
	return &Digest{period: period, refresh: max(minRefresh, 2*period), sentLoads: map[string]sentLoad{}, sentDemands: map[string]sentDemand{}}
}

// Make returns the entries to send now. It computes them once per period, for all
// peers.
func (d *Digest) Make(now time.Time, loads []wire.EngineLoad, demands []wire.Demand) ([]wire.EngineLoad, []wire.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.madeAt) < d.period {
		return d.loads, d.demands
	}
	d.madeAt = now
	d.loads = d.pickLoads(now, loads)
	d.demands = d.pickDemands(now, demands)
	return d.loads, d.demands
}

func (d *Digest) pickLoads(now time.Time, loads []wire.EngineLoad) []wire.EngineLoad {
	var picked []wire.EngineLoad
	for _, l := range loads {
		last, ok := d.sentLoads[l.Engine]
		if ok && now.Sub(last.at) < d.refresh && !changed(last.load, l) {
			continue
		}
		d.sentLoads[l.Engine] = sentLoad{l, now}
		picked = append(picked, l)
	}
	return picked
}

// changed reports whether a load differs enough from the last to be sent at once.
func changed(old, now wire.EngineLoad) bool {
	if old.Incarnation != now.Incarnation || old.Leaving != now.Leaving || old.Ready != now.Ready || old.Model != now.Model {
		return true
	}
	if (old.Waiting == 0) != (now.Waiting == 0) {
		return true
	}
	return math.Abs(float64(now.Used-old.Used)) > minChange*float64(now.Capacity)
}

// pickDemands picks the entries by the time since they were last sent, weighted
// by their change.
func (d *Digest) pickDemands(now time.Time, demands []wire.Demand) []wire.Demand {
	type ranked struct {
		demand wire.Demand
		rank   float64
	}
	all := make([]ranked, len(demands))
	for i, x := range demands {
		last := d.sentDemands[x.Organisation]
		moved := math.Abs(x.Rate-last.demand.Rate) + math.Abs(float64(x.Tokens-last.demand.Tokens))/1000
		all[i] = ranked{x, (1 + moved) * now.Sub(last.at).Seconds()}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].rank > all[j].rank })
	var picked []wire.Demand
	for _, r := range all[:min(len(all), maxDemands)] {
		d.sentDemands[r.demand.Organisation] = sentDemand{r.demand, now}
		picked = append(picked, r.demand)
	}
	return picked
}
