// Package digest picks what of a box's knowledge is worth telling its peers
// with the next heartbeat: what changed, a bounded number of entries, and all
// of it now and then, so that what is lost on the way is made up for.
package digest

import (
	"math"
	"sort"
	"sync"
	"time"

	"petrelstep/wire"
)

const (
	// leastRefresh is how often all is told at most, changed or not.
	leastRefresh = 3 * time.Second
	// change is the part of an engine's memory by which its use must move to
	// be told at once.
	change = 0.05
	// demandsMost bounds the demand entries of one heartbeat.
	demandsMost = 4
)

type sentLoad struct {
	load wire.EngineLoad
	at   time.Time
}

type sentDemand struct {
	demand wire.Demand
	at     time.Time
}

// Digest is for peers that are all told with the same period: each gets each
// digest once. It is safe for use by several goroutines.
type Digest struct {
	mu      sync.Mutex
	period  time.Duration
	refresh time.Duration
	made    time.Time
	loads   []wire.EngineLoad
	demands []wire.Demand
	sent    map[string]sentLoad
	told    map[string]sentDemand
}

// New returns a digest for peers that are told with a period. All is told again
// within two periods, or 3 s if that is more.
func New(period time.Duration) *Digest {
	return &Digest{period: period, refresh: max(leastRefresh, 2*period), sent: map[string]sentLoad{}, told: map[string]sentDemand{}}
}

// Make returns what to tell now. It is worked out once a period, for all peers.
func (d *Digest) Make(now time.Time, loads []wire.EngineLoad, demands []wire.Demand) ([]wire.EngineLoad, []wire.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.made) < d.period {
		return d.loads, d.demands
	}
	d.made = now
	d.loads = d.pickLoads(now, loads)
	d.demands = d.pickDemands(now, demands)
	return d.loads, d.demands
}

func (d *Digest) pickLoads(now time.Time, loads []wire.EngineLoad) []wire.EngineLoad {
	var picked []wire.EngineLoad
	for _, l := range loads {
		last, ok := d.sent[l.Engine]
		if ok && now.Sub(last.at) < d.refresh && !moved(last.load, l) {
			continue
		}
		d.sent[l.Engine] = sentLoad{l, now}
		picked = append(picked, l)
	}
	return picked
}

// moved tells whether a report says something new enough to be told at once.
func moved(old, now wire.EngineLoad) bool {
	if old.Incarnation != now.Incarnation || old.Leaving != now.Leaving || old.Ready != now.Ready || old.Model != now.Model {
		return true
	}
	if (old.Waiting == 0) != (now.Waiting == 0) {
		return true
	}
	return math.Abs(float64(now.Used-old.Used)) > change*float64(now.Capacity)
}

// pickDemands takes the entries that have waited longest for their turn,
// weighed by how much they moved.
func (d *Digest) pickDemands(now time.Time, demands []wire.Demand) []wire.Demand {
	type ranked struct {
		demand wire.Demand
		rank   float64
	}
	all := make([]ranked, len(demands))
	for i, x := range demands {
		last := d.told[x.Organisation]
		moved := math.Abs(x.Rate-last.demand.Rate) + math.Abs(float64(x.Tokens-last.demand.Tokens))/1000
		all[i] = ranked{x, (1 + moved) * now.Sub(last.at).Seconds()}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].rank > all[j].rank })
	var picked []wire.Demand
	for _, r := range all[:min(len(all), demandsMost)] {
		d.told[r.demand.Organisation] = sentDemand{r.demand, now}
		picked = append(picked, r.demand)
	}
	return picked
}
