// Package shares computes the fair share of each organisation when not all requests can
// be served, and reports which organisations have used more: their requests wait for
// those of the others. Work is memory times time, in token-seconds on engines; any
// other unit will do if it is the same for all.
package shares

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"petrelstep/peerstate"
	"petrelstep/wire"
)

const (
	// window is the time constant with which past work decays, and so bounds what an
	// idle organisation can save up. In a shorter window a single request exceeds the
	// share of an organisation that sends few; a longer one charges for work from
	// before the shortage.
	window = 4 * time.Second
	// starvedFraction is the fraction of the mean served fraction below which an
	// organisation counts as starved, whatever its rank or share: to it the service
	// would appear to be down.
	starvedFraction = 0.5
	// maxReported is the maximum number of organisations in a report, those with the
	// most work first; the others are below any share that binds. It keeps a report to
	// about 2 KB.
	maxReported = 32
	// minWork is the work below which an organisation is dropped: a thousandth of the
	// shortest request.
	minWork = 1.0
)

// Standing is the state of a party relative to its share. Values are immutable.
type Standing struct {
	Share    float64 // work that it may be given within the window
	Given    float64 // work that it was given
	Capped   bool    // its demand exceeds its share
	Fraction float64 // fraction of its rank's capacity that goes to capped parties
	Over     bool    // it was given more than its share
	Starved  bool    // its served fraction is below starvedFraction of the mean
}

// Deficit returns the part of its share that a party has not been given; negative if it
// was given more.
func (s Standing) Deficit() float64 { return s.Share - s.Given }

// Party is an organisation's requests of one rank. More urgent ranks go first; shares
// are computed among the parties of a rank.
type Party struct {
	Organisation string
	Rank         int // 0 is the most urgent
}

// key returns the key of the party in reports of other boxes.
func (p Party) key() string { return strconv.Itoa(p.Rank) + "/" + p.Organisation }

func partyOf(key string) Party {
	rank, organisation, _ := strings.Cut(key, "/")
	n, _ := strconv.Atoi(rank) // keys come from Party.key
	return Party{Organisation: organisation, Rank: n}
}

// account is the decaying work that one party was given and refused.
type account struct {
	at    time.Time
	usage usage
}

// decayed returns the usage at a time.
func (a account) decayed(now time.Time) usage {
	kept := math.Exp(-now.Sub(a.at).Seconds() / window.Seconds())
	return usage{given: a.usage.given * kept, refused: a.usage.refused * kept}
}

// usage is work within the window.
type usage struct{ given, refused float64 }

// Plus implements peerstate.Sum.
func (u usage) Plus(o usage) usage { return usage{u.given + o.given, u.refused + o.refused} }

// Minus implements peerstate.Sum.
func (u usage) Minus(o usage) usage { return usage{u.given - o.given, u.refused - o.refused} }

// accounts is the work of all parties.
type accounts map[Party]account

func (a accounts) add(now time.Time, p Party, u usage) {
	a[p] = account{at: now, usage: a[p].decayed(now).Plus(u)}
}

// Shares computes the shares of one box. It is safe for concurrent use.
type Shares struct {
	weight func(organisation string) float64

	mu             sync.Mutex
	decided        accounts // decided by this box, for all boxes' clients
	own            accounts // of this box's clients, decided by any box
	others         *peerstate.Totals[usage]
	shortAt        time.Time     // when a request was last refused or queued
	levels         map[int]level // by rank
	servedFraction float64       // fraction of the demanded work that was given
	demand         map[Party]usage
	waiting        map[Party]float64
}

// New returns Shares for organisations with these weights; nil for equal weights.
func New(weight func(organisation string) float64) *Shares {
	if weight == nil {
		weight = func(string) float64 { return 1 }
	}
	return &Shares{weight: weight, decided: accounts{}, own: accounts{}, others: peerstate.New[usage](), servedFraction: 1}
}

// Assigned records that this box gave a party capacity for work.
func (s *Shares) Assigned(now time.Time, p Party, work float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decided.add(now, p, usage{given: work})
}

// Refused records that this box refused a party work. It is called once for all tries
// of a request, so that retries do not increase a party's demand.
func (s *Shares) Refused(now time.Time, p Party, work float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shortAt = now
	s.decided.add(now, p, usage{refused: work})
}

// RecordOwn records the outcome of a request of this box's own client, whichever box
// decided it. Only these are reported to other boxes.
func (s *Shares) RecordOwn(now time.Time, p Party, work float64, given bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if given {
		s.own.add(now, p, usage{given: work})
		return
	}
	s.shortAt = now
	s.own.add(now, p, usage{refused: work})
}

// Waited records that capacity is short: a request could not be sent at once. Recompute
// can't conclude this from the waiting work, which includes requests that have just
// arrived and will find capacity.
func (s *Shares) Waited(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shortAt = now
}

// Recompute computes the shares from the work that was given, refused and is waiting.
// Capacity used by more urgent ranks is not available to the others.
func (s *Shares) Recompute(now time.Time, waiting map[Party]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting, s.demand = waiting, s.usages(now)
	sum, given, ranks := usage{}, map[int]float64{}, map[int][]claim{}
	for p, amount := range s.demands() {
		u := s.demand[p]
		sum = sum.Plus(u)
		given[p.Rank] += u.given
		ranks[p.Rank] = append(ranks[p.Rank], claim{weight: s.weight(p.Organisation), amount: amount})
	}
	s.servedFraction = sum.given / max(sum.given+sum.refused, minWork)
	s.levels = map[int]level{}
	if sum.given+sum.refused < minWork {
		return // nothing is known yet, so nobody is held to a share
	}
	capacity := sum.given
	for _, rank := range slices.Sorted(maps.Keys(ranks)) {
		s.levels[rank] = waterFill(ranks[rank], capacity)
		capacity -= given[rank]
	}
}

// demands returns the work that each party demands: given, refused and waiting.
func (s *Shares) demands() map[Party]float64 {
	demands := maps.Clone(s.waiting)
	if demands == nil {
		demands = map[Party]float64{}
	}
	for p, u := range s.demand {
		demands[p] += u.given + u.refused
	}
	return demands
}

// usages returns the work of each party: what this box decided or what all boxes
// report, whichever is more. A box that has just become the owner of a queue has
// decided nothing, and its latest decisions have not been reported yet.
func (s *Shares) usages(now time.Time) map[Party]usage {
	usages := map[Party]usage{}
	for key, u := range s.others.All(now) {
		usages[partyOf(key)] = u
	}
	for p, a := range s.own {
		usages[p] = usages[p].Plus(a.decayed(now))
	}
	for p, a := range s.decided {
		u, d := usages[p], a.decayed(now)
		if d.given+d.refused+u.given+u.refused < minWork {
			delete(s.decided, p)
			continue
		}
		usages[p] = usage{max(u.given, d.given), max(u.refused, d.refused)}
	}
	return usages
}

// claim is the demand of a party with its weight.
type claim struct {
	weight float64
	amount float64
}

// level is the work up to which each party of a rank gets what it demands.
type level struct {
	work     float64 // for weight 1; infinite while all demands are met
	fraction float64 // fraction of the capacity that goes to capped parties
}

// waterFill returns the max-min fair level: each party gets its demand up to the level
// times its weight, and capacity that one does not use goes to the others.
func waterFill(list []claim, capacity float64) level {
	weights, total := 0.0, capacity
	for _, c := range list {
		weights += c.weight
	}
	slices.SortFunc(list, func(a, b claim) int { return cmp.Compare(a.amount*b.weight, b.amount*a.weight) })
	for _, c := range list {
		if c.amount*weights > capacity*c.weight {
			return level{work: max(capacity, 0) / weights, fraction: fractionLeft(capacity, total)}
		}
		capacity -= c.amount
		weights -= c.weight
	}
	return level{work: math.Inf(1), fraction: 1}
}

// fractionLeft returns the fraction of the capacity that is left for capped parties; 1
// where the rank has none, as then nobody takes any before them.
func fractionLeft(capacity, total float64) float64 {
	if total < minWork {
		return 1
	}
	return max(capacity, 0) / total
}

// Standing returns the state of a party as of the last Recompute.
func (s *Shares) Standing(p Party) Standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.demand[p]
	demand := u.given + u.refused + s.waiting[p]
	l, ok := s.levels[p.Rank]
	if !ok {
		l = level{work: math.Inf(1), fraction: 1}
	}
	limit := l.work * s.weight(p.Organisation)
	return Standing{
		Share:    min(demand, limit),
		Given:    u.given,
		Capped:   demand > limit,
		Fraction: l.fraction,
		Over:     u.given > limit,
		Starved:  u.refused > 0 && u.given < starvedFraction*s.servedFraction*(u.given+u.refused),
	}
}

// Own returns what this box's clients were given and refused, for its report to other
// boxes; nothing while capacity is not short.
func (s *Shares) Own(now time.Time) []wire.OrganisationUse {
	return toWire(s.reportedUsages(now))
}

func (s *Shares) ownUsages(now time.Time) map[string]usage {
	usages := map[string]usage{}
	for p, a := range s.own {
		u := a.decayed(now)
		if u.given+u.refused < minWork {
			delete(s.own, p)
			continue
		}
		usages[p.key()] = u
	}
	return usages
}

// Without returns what the clients of all boxes but one were given and refused; that
// one is the receiver.
func (s *Shares) Without(now time.Time, box string) []wire.OrganisationUse {
	usages := s.reportedUsages(now)
	s.others.AddExcept(now, box, usages)
	return toWire(usages)
}

// Part returns what the clients of this box and the boxes that report only to it were
// given and refused, for the boxes to which they do not report.
func (s *Shares) Part(now time.Time) []wire.OrganisationUse {
	usages := s.reportedUsages(now)
	s.others.AddExclusive(now, usages)
	return toWire(usages)
}

// reportedUsages returns the usage of this box's clients; none while capacity is not
// short.
func (s *Shares) reportedUsages(now time.Time) map[string]usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.shortAt) > window {
		return map[string]usage{}
	}
	return s.ownUsages(now)
}

// SetCoverage records whether a box reports only to this one. It is called before
// Update.
func (s *Shares) SetCoverage(box string, only bool) {
	s.others.SetCoverage(box, only, peerstate.Coverage{})
}

// toWire returns the parties with the most work.
func toWire(usages map[string]usage) []wire.OrganisationUse {
	var list []wire.OrganisationUse
	for key, u := range usages {
		p := partyOf(key)
		list = append(list, wire.OrganisationUse{Organisation: p.Organisation, Urgency: p.Rank, Given: int(u.given), Refused: int(u.refused)})
	}
	slices.SortFunc(list, func(a, b wire.OrganisationUse) int {
		return cmp.Or(cmp.Compare(b.Given+b.Refused, a.Given+a.Refused), cmp.Compare(a.Organisation, b.Organisation))
	})
	return list[:min(len(list), maxReported)]
}

// Update stores a report of another box.
func (s *Shares) Update(now time.Time, box string, list []wire.OrganisationUse) {
	s.others.Update(now, box, fromWire(list))
}

// AddSuspension ages the stored reports by the time for which this machine was suspended.
func (s *Shares) AddSuspension(d time.Duration) { s.others.AddSuspension(d) }

// UpdateSum stores the sum that a hub reports for all other boxes.
func (s *Shares) UpdateSum(now time.Time, list []wire.OrganisationUse) {
	s.others.UpdateSum(now, fromWire(list))
}

func fromWire(list []wire.OrganisationUse) map[string]usage {
	usages := make(map[string]usage, len(list))
	for _, u := range list {
		usages[Party{u.Organisation, u.Urgency}.key()] = usage{float64(u.Given), float64(u.Refused)}
	}
	return usages
}
