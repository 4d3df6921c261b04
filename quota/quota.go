// Package quota limits each organisation's requests a second and tokens in
// flight. Boxes share a limit by demand, from each other's digests; a box
// that hears nothing falls back to an even share, so that parted boxes
// together never pass the limit by more than what was shared out before.
package quota

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// stale is how long an entry of a peer's digest counts. A digest is bounded,
	// so with many organisations an entry comes again only after a while.
	stale = 20 * time.Second
	// silent is how long a peer without any digest counts as heard.
	silent = 5 * time.Second
	// floor is the part of an even share that a box keeps without demand, so
	// that a first request need not wait for a digest.
	floor = 0.25
	// demandSpan is the span over which own demand is averaged.
	demandSpan = 2 * time.Second
)

// Use is an organisation's demand at one box.
type Use struct {
	Rate   float64 // requests a second
	Tokens int     // promised memory in flight
}

type entry struct {
	use Use
	at  time.Time
}

type peerUse struct {
	at      time.Time
	entries map[string]entry
}

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

// New returns a quota for a box that is one of so many.
func New(boxes int) *Quota {
	return &Quota{boxes: max(boxes, 1), accounts: map[string]*account{}, peers: map[string]*peerUse{}}
}

// SetBoxes tells how many boxes there are, the parted ones too.
func (q *Quota) SetBoxes(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.boxes = max(n, 1)
}

// Update takes a peer's digest: the entries that it tells anew.
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

// Allow asks to let one request in; when it may not, it returns how long
// until it might. A limit of zero is none.
func (q *Quota) Allow(now time.Time, organisation string, perSecond float64) (ok bool, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.account(now, organisation)
	a.demand += 1 / demandSpan.Seconds()
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

// Reserve asks to hold so much memory in flight; Return gives it back. A
// limit of zero is none.
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

// Release gives promised memory back.
func (q *Quota) Release(organisation string, tokens int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if a, ok := q.accounts[organisation]; ok {
		a.tokens -= tokens
	}
}

// Uses returns the digest for peers.
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

// share returns the part of a limit that this box may spend. Known peers get
// their part by demand; each peer that is silent keeps its even share.
func (q *Quota) share(now time.Time, organisation string, of func(Use) float64, own float64) float64 {
	heard, others := 1, 0.0
	for _, p := range q.peers {
		if now.Sub(p.at) > silent {
			continue
		}
		heard++
		if e := p.entries[organisation]; now.Sub(e.at) <= stale {
			others += of(e.use)
		}
	}
	even := 1 / float64(q.boxes)
	known := min(float64(heard)*even, 1)
	byDemand := known
	if own+others > 0 {
		byDemand = known * own / (own + others)
	}
	// Each box keeps a floor, and only the rest goes by demand: the parts add
	// up to one when all boxes see the same demand.
	return floor*even + (1-floor)*byDemand
}

func (q *Quota) account(now time.Time, organisation string) *account {
	a, ok := q.accounts[organisation]
	if !ok {
		a = &account{limiter: rate.NewLimiter(0, 1), at: now}
		a.limiter.SetBurstAt(now, 1)
		q.accounts[organisation] = a
	}
	passed := now.Sub(a.at)
	a.demand *= max(0, 1-passed.Seconds()/demandSpan.Seconds())
	a.at = now
	return a
}
