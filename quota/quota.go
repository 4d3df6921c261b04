// Package quota limits each organisation's requests per second and tokens in flight.
// Boxes divide a limit by demand, which they learn from each other's digests. A box that
// receives no digests falls back to an even share, so that partitioned boxes together
// exceed the limit by no more than what was already spent.
package quota

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// entryMaxAge is how long an entry of a peer's digest counts. Digests are bounded, so
	// that with many organisations an entry is repeated only after several digests.
	entryMaxAge = 20 * time.Second
	// peerTimeout is how long a peer counts as reachable after its last digest.
	peerTimeout = 5 * time.Second
	// minShare is the part of an even share that a box keeps without demand, so that its
	// first requests are admitted before its peers know of them.
	minShare = 0.25
	// demandWindow is the duration over which this box's demand is averaged.
	demandWindow = 2 * time.Second
)

// Use is an organisation's demand at one box.
type Use struct {
	Rate   float64 // requests per second
	Tokens int     // reserved memory in flight
}

// entry is an organisation's demand at a peer.
type entry struct {
	use Use
	at  time.Time
}

// peerUse is the state of a peer's digests.
type peerUse struct {
	at      time.Time
	entries map[string]entry
}

// account is an organisation's state at this box.
type account struct {
	limiter *rate.Limiter
	tokens  int
	demand  float64
	at      time.Time
}

// Quota is safe for use by several goroutines.
type Quota struct {
	mu       sync.Mutex
	boxes    int
	accounts map[string]*account
	peers    map[string]*peerUse
}

// New returns a quota for one of the given number of boxes.
func New(boxes int) *Quota {
	return &Quota{boxes: max(boxes, 1), accounts: map[string]*account{}, peers: map[string]*peerUse{}}
}

// SetBoxes sets the number of boxes, including unreachable ones.
func (q *Quota) SetBoxes(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.boxes = max(n, 1)
}

// Update merges a peer's digest, which may hold only some organisations.
func (q *Quota) Update(now time.Time, box string, uses map[string]Use) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p, ok := q.peers[box]
	if !ok {
		p = &peerUse{entries: map[string]entry{}}
		q.peers[box] = p
	}
	p.at = now
	for name, use := range uses {
		p.entries[name] = entry{use: use, at: now}
	}
}

// Allow reports whether a request may be admitted now and, if not, how long to wait. A
// limit of zero means no limit.
func (q *Quota) Allow(now time.Time, organisation string, perSecond float64) (ok bool, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.account(now, organisation)
	a.demand += 1 / demandWindow.Seconds()
	if perSecond <= 0 {
		return true, 0
	}
	limit := perSecond * q.share(now, organisation, func(u Use) float64 { return u.Rate }, a.demand)
	a.limiter.SetLimitAt(now, rate.Limit(limit))
	a.limiter.SetBurstAt(now, max(1, int(limit)))
	r := a.limiter.ReserveN(now, 1)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return false, wait
	}
	return true, 0
}

// Reserve reserves memory in flight until Release, and reports whether it is within the
// limit. A limit of zero means no limit.
func (q *Quota) Reserve(now time.Time, organisation string, tokens, limit int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.account(now, organisation)
	share := q.share(now, organisation, func(u Use) float64 { return float64(u.Tokens) }, float64(a.tokens+tokens))
	if limit > 0 && float64(a.tokens+tokens) > float64(limit)*share {
		return false
	}
	a.tokens += tokens
	return true
}

// Release releases reserved memory.
func (q *Quota) Release(organisation string, tokens int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if a, ok := q.accounts[organisation]; ok {
		a.tokens -= tokens
	}
}

// Uses returns this box's digest for its peers.
func (q *Quota) Uses(now time.Time) map[string]Use {
	q.mu.Lock()
	defer q.mu.Unlock()
	uses := map[string]Use{}
	for name := range q.accounts {
		a := q.account(now, name)
		if a.demand > 0.01 || a.tokens > 0 {
			uses[name] = Use{Rate: a.demand, Tokens: a.tokens}
		}
	}
	return uses
}

// share returns the share of a limit that this box may spend. Reachable boxes divide
// their shares by demand; unreachable ones keep an even share.
func (q *Quota) share(now time.Time, organisation string, of func(Use) float64, own float64) float64 {
	reachable, others := 1, 0.0
	for _, p := range q.peers {
		if now.Sub(p.at) > peerTimeout {
			continue
		}
		reachable++
		if e := p.entries[organisation]; now.Sub(e.at) <= entryMaxAge {
			others += of(e.use)
		}
	}
	even := 1 / float64(q.boxes)
	known := min(float64(reachable)*even, 1)
	byDemand := known
	if own+others > 0 {
		byDemand = known * own / (own + others)
	}
	// Only what exceeds the minimum shares is divided by demand: the shares add up to one
	// if all boxes know the same demand.
	return minShare*even + (1-minShare)*byDemand
}

// account returns an organisation's account, with its demand decayed to now.
func (q *Quota) account(now time.Time, organisation string) *account {
	a, ok := q.accounts[organisation]
	if !ok {
		a = &account{limiter: rate.NewLimiter(0, 1), at: now}
		a.limiter.SetBurstAt(now, 1)
		q.accounts[organisation] = a
	}
	elapsed := now.Sub(a.at)
	a.demand *= max(0, 1-elapsed.Seconds()/demandWindow.Seconds())
	a.at = now
	return a
}
