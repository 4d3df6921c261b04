// Package shares tells what part of what there is each organisation may have, and
// which was given more: when not all can be served, who asks for more than its share
// waits for the others. Work is memory times time, in token-seconds on engines; any
// other unit does where it is the same for all.
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
	// span is over what work is remembered, and by that how much an organisation that
	// sends nothing can have saved up: as long as callers wait for a long answer to
	// begin. Within a shorter one an organisation that sends little is over its share
	// by one request, and a longer one pays for what was done before a crowd.
	span = 4 * time.Second
	// floorPart of how often all are served each organisation is, whatever its rank or
	// its share: less would be a service that is down for it.
	floorPart = 0.5
	// toldMost bounds how many organisations a box tells of, those with the most work
	// first: the others are below any share that binds. A row has 60 bytes, what is
	// told of loads some 3 KB.
	toldMost = 32
	// leastWork is forgotten: a thousandth of what the shortest request takes.
	leastWork = 1.0
)

// Standing is how a party fares. Values are immutable.
type Standing struct {
	Share    float64 // the work that it may be given within the span
	Given    float64 // the work that it was given
	Capped   bool    // it asks for more than its share
	Fraction float64 // of what its rank is given, what those have who ask for more
	Over     bool    // it was given more than its share
	Starved  bool    // it is served less than floorPart as often as all
}

// Deficit is the work that an organisation has not been given of its share; below 0 it
// was given more.
func (s Standing) Deficit() float64 { return s.Share - s.Given }

// Party is an organisation's requests of one rank. Ranks go before each other, shares
// are those of the parties of a rank.
type Party struct {
	Organisation string
	Rank         int // 0 goes first
}

// key is the name of a party among others' words.
func (p Party) key() string { return strconv.Itoa(p.Rank) + "/" + p.Organisation }

func partyOf(key string) Party {
	rank, organisation, _ := strings.Cut(key, "/")
	n, _ := strconv.Atoi(rank) // keys are made here
	return Party{Organisation: organisation, Rank: n}
}

// account is what one party was given and refused, fading.
type account struct {
	at  time.Time
	use use
}

// faded returns the account's use now.
func (a account) faded(now time.Time) use {
	kept := math.Exp(-now.Sub(a.at).Seconds() / span.Seconds())
	return use{given: a.use.given * kept, refused: a.use.refused * kept}
}

// use is work within the span.
type use struct{ given, refused float64 }

// Plus implements peerstate.Sum.
func (u use) Plus(o use) use { return use{u.given + o.given, u.refused + o.refused} }

// Minus implements peerstate.Sum.
func (u use) Minus(o use) use { return use{u.given - o.given, u.refused - o.refused} }

// book is one count of all parties.
type book map[Party]account

func (b book) add(now time.Time, p Party, u use) {
	b[p] = account{at: now, use: b[p].faded(now).Plus(u)}
}

// Shares is safe for use by several goroutines.
type Shares struct {
	weight func(organisation string) float64

	mu      sync.Mutex
	decided book // by this box, for all
	own     book // of this box's callers, by whomever
	others  *peerstate.Totals[use]
	short   time.Time     // someone was last refused or waited
	levels  map[int]level // by rank
	served  float64       // part of the work decided that was given
	demand  map[Party]use
	waits   map[Party]float64
}

// New returns shares of organisations with these weights; nil for equal ones.
func New(weight func(organisation string) float64) *Shares {
	if weight == nil {
		weight = func(string) float64 { return 1 }
	}
	return &Shares{weight: weight, decided: book{}, own: book{}, others: peerstate.New[use](), served: 1}
}

// Assigned notes that this box gave an organisation room for work.
func (s *Shares) Assigned(now time.Time, p Party, work float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decided.add(now, p, use{given: work})
}

// Refused notes that this box refused an organisation work, once for all tries of a
// request: who repeats at once has no claim by that.
func (s *Shares) Refused(now time.Time, p Party, work float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.short = now
	s.decided.add(now, p, use{refused: work})
}

// RecordOwn notes what came of a request of this box's own caller, whoever decided it. It
// is what others are told.
func (s *Shares) RecordOwn(now time.Time, p Party, work float64, given bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if given {
		s.own.add(now, p, use{given: work})
		return
	}
	s.short = now
	s.own.add(now, p, use{refused: work})
}

// Waited notes that room is short: a request of any organisation found none at once.
// Recompute cannot tell, as among those that wait are some that have come just now and
// find room.
func (s *Shares) Waited(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.short = now
}

// Recompute works the shares out anew: from the work that was given, and the work that
// waits. What more urgent ranks take is not there for the others.
func (s *Shares) Recompute(now time.Time, waits map[Party]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits, s.demand = waits, s.uses(now)
	sum, given, ranks := use{}, map[int]float64{}, map[int][]asker{}
	for p, asks := range s.asks() {
		u := s.demand[p]
		sum = sum.Plus(u)
		given[p.Rank] += u.given
		ranks[p.Rank] = append(ranks[p.Rank], asker{weight: s.weight(p.Organisation), asks: asks})
	}
	s.served = sum.given / max(sum.given+sum.refused, leastWork)
	s.levels = map[int]level{}
	if sum.given+sum.refused < leastWork {
		return // a box that has just begun knows of no shares, and holds nobody to one
	}
	room := sum.given
	for _, rank := range slices.Sorted(maps.Keys(ranks)) {
		s.levels[rank] = fill(ranks[rank], room)
		room -= given[rank]
	}
}

// asks returns the work that each party asks for: given, refused and waiting.
func (s *Shares) asks() map[Party]float64 {
	asks := maps.Clone(s.waits)
	if asks == nil {
		asks = map[Party]float64{}
	}
	for p, u := range s.demand {
		asks[p] += u.given + u.refused
	}
	return asks
}

// uses returns each party's work by all that is known: what this box decided, or what
// all tell, whichever is more. One that keeps a queue only now has decided nothing, and
// what it decided just now was not told yet.
func (s *Shares) uses(now time.Time) map[Party]use {
	uses := map[Party]use{}
	for key, u := range s.others.All(now) {
		uses[partyOf(key)] = u
	}
	for p, a := range s.own {
		uses[p] = uses[p].Plus(a.faded(now))
	}
	for p, a := range s.decided {
		u, d := uses[p], a.faded(now)
		if d.given+d.refused+u.given+u.refused < leastWork {
			delete(s.decided, p)
			continue
		}
		uses[p] = use{max(u.given, d.given), max(u.refused, d.refused)}
	}
	return uses
}

// asker is a party with what it asks for.
type asker struct {
	weight float64
	asks   float64
}

// level is up to what work each of a rank is given what it asks for.
type level struct {
	work float64 // of one of weight 1; infinite while all is served
	part float64 // of the room, what those have who ask for more
}

// fill returns the level up to which each party is given what it asks for, by its
// weight, so that all together take the room; what one does not ask for goes to the
// others.
func fill(list []asker, room float64) level {
	weights, all := 0.0, room
	for _, a := range list {
		weights += a.weight
	}
	slices.SortFunc(list, func(a, b asker) int { return cmp.Compare(a.asks*b.weight, b.asks*a.weight) })
	for _, a := range list {
		if a.asks*weights > room*a.weight {
			return level{work: max(room, 0) / weights, part: part(room, all)}
		}
		room -= a.asks
		weights -= a.weight
	}
	return level{work: math.Inf(1), part: 1}
}

// part returns what part of all the room is left for those who ask for more. Where a
// rank was given nothing, nobody takes any of it before them.
func part(room, all float64) float64 {
	if all < leastWork {
		return 1
	}
	return max(room, 0) / all
}

// Standing returns how a party fares, as of the last time that shares were worked out.
func (s *Shares) Standing(p Party) Standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.demand[p]
	asks := u.given + u.refused + s.waits[p]
	l, ok := s.levels[p.Rank]
	if !ok {
		l = level{work: math.Inf(1), part: 1}
	}
	bound := l.work * s.weight(p.Organisation)
	return Standing{
		Share:    min(asks, bound),
		Given:    u.given,
		Capped:   asks > bound,
		Fraction: l.part,
		Over:     u.given > bound,
		Starved:  u.refused > 0 && u.given < floorPart*s.served*(u.given+u.refused),
	}
}

// Own returns what this box's callers were given and refused, for its peers; nothing
// while all is served.
func (s *Shares) Own(now time.Time) []wire.OrganisationUse {
	return listOf(s.shortUses(now))
}

func (s *Shares) ownUses(now time.Time) map[string]use {
	uses := map[string]use{}
	for p, a := range s.own {
		u := a.faded(now)
		if u.given+u.refused < leastWork {
			delete(s.own, p)
			continue
		}
		uses[p.key()] = u
	}
	return uses
}

// Without returns what the callers of all boxes but one were given and refused, for
// that one.
func (s *Shares) Without(now time.Time, box string) []wire.OrganisationUse {
	uses := s.shortUses(now)
	s.others.Without(now, box, uses)
	return listOf(uses)
}

// Part returns what the callers of this box and of those that tell it alone were given
// and refused, for the boxes that do not hear them.
func (s *Shares) Part(now time.Time) []wire.OrganisationUse {
	uses := s.shortUses(now)
	s.others.Part(now, uses)
	return listOf(uses)
}

// shortUses returns this box's own; none while all is served.
func (s *Shares) shortUses(now time.Time) map[string]use {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.short) > span {
		return map[string]use{}
	}
	return s.ownUses(now)
}

// SetCoverage notes, before a box's word is taken, whether it tells this box alone.
func (s *Shares) SetCoverage(box string, only bool) { s.others.Covers(box, only, peerstate.Cover{}) }

// listOf returns the parties with the most work.
func listOf(uses map[string]use) []wire.OrganisationUse {
	var list []wire.OrganisationUse
	for key, u := range uses {
		p := partyOf(key)
		list = append(list, wire.OrganisationUse{Organisation: p.Organisation, Urgency: p.Rank, Given: int(u.given), Refused: int(u.refused)})
	}
	slices.SortFunc(list, func(a, b wire.OrganisationUse) int {
		return cmp.Or(cmp.Compare(b.Given+b.Refused, a.Given+a.Refused), cmp.Compare(a.Organisation, b.Organisation))
	})
	return list[:min(len(list), toldMost)]
}

// Update takes another box's word of its callers.
func (s *Shares) Update(now time.Time, box string, list []wire.OrganisationUse) {
	s.others.Told(now, box, usesOf(list))
}

// Older makes what other boxes told older: this box's machine was suspended.
func (s *Shares) Older(by time.Duration) { s.others.Older(by) }

// UpdateSum takes a hub's word of all other boxes' callers.
func (s *Shares) UpdateSum(now time.Time, list []wire.OrganisationUse) {
	s.others.ToldSum(now, usesOf(list))
}

func usesOf(list []wire.OrganisationUse) map[string]use {
	uses := make(map[string]use, len(list))
	for _, u := range list {
		uses[Party{u.Organisation, u.Urgency}.key()] = use{float64(u.Given), float64(u.Refused)}
	}
	return uses
}
