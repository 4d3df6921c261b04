// Package digest selects the loads and demands that a box sends to its peers with
// the next heartbeat: the loads that a peer does not have yet or that changed,
// periodically all loads, and a bounded number of demands.
package digest

import (
	"maps"
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
	// peerTimeout is how long a peer is remembered that is not sent heartbeats.
	peerTimeout = time.Minute
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

// peerState is what one peer has been sent.
type peerState struct {
	incarnation int
	madeAt      time.Time
	delivered   map[string]sentLoad // by engine
	pending     []sentLoad          // of the last digest, until it is delivered
}

// Digest makes the digests for peers with the same heartbeat period. It is safe
// for concurrent use.
type Digest struct {
	mu            sync.Mutex
	period        time.Duration
	refresh       time.Duration
	peers         map[string]*peerState
	demandsMadeAt time.Time
	demands       []wire.Demand
	sentDemands   map[string]sentDemand
}

// New returns a digest for peers with the given heartbeat period. Unchanged loads
// are sent again after two periods, or 3 s if that is more.
func New(period time.Duration) *Digest {
	return &Digest{period: period, refresh: max(minRefresh, 2*period), peers: map[string]*peerState{}, sentDemands: map[string]sentDemand{}}
}

// Make returns the entries to send to a peer now. Loads are sent again until
// Delivered is called. Demands are computed once per period, for all peers.
func (d *Digest) Make(now time.Time, peer string, loads []wire.EngineLoad, demands []wire.Demand) ([]wire.EngineLoad, []wire.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	picked := d.pickLoads(now, d.peer(now, peer), loads)
	if now.Sub(d.demandsMadeAt) >= d.period {
		d.demandsMadeAt = now
		d.demands = d.pickDemands(now, demands)
	}
	return picked, d.demands
}

// Delivered records that an incarnation of a peer has answered the heartbeat with
// the last digest made for it. A restarted peer has nothing but this digest.
func (d *Digest) Delivered(peer string, incarnation int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.peers[peer]
	if !ok {
		return
	}
	if p.incarnation != incarnation {
		p.incarnation, p.delivered = incarnation, map[string]sentLoad{}
	}
	for _, sent := range p.pending {
		p.delivered[sent.load.Engine] = sent
	}
	p.pending = nil
}

// peer returns the state of a peer, and drops those without heartbeats.
func (d *Digest) peer(now time.Time, name string) *peerState {
	p, ok := d.peers[name]
	if !ok {
		maps.DeleteFunc(d.peers, func(_ string, p *peerState) bool { return now.Sub(p.madeAt) > peerTimeout })
		p = &peerState{delivered: map[string]sentLoad{}}
		d.peers[name] = p
	}
	p.madeAt = now
	return p
}

// pickLoads picks the loads that a peer does not have, that changed since, or that are
// due again; heartbeats may come a little early. Whether the peer has what was not
// answered is unknown.
func (d *Digest) pickLoads(now time.Time, p *peerState, loads []wire.EngineLoad) []wire.EngineLoad {
	for _, sent := range p.pending {
		delete(p.delivered, sent.load.Engine)
	}
	p.pending = nil
	var picked []wire.EngineLoad
	for _, l := range loads {
		last, ok := p.delivered[l.Engine]
		if ok && now.Sub(last.at) < d.refresh-d.period/2 && !changed(last.load, l) {
			continue
		}
		p.pending = append(p.pending, sentLoad{l, now})
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
