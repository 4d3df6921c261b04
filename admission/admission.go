// Package admission decides when a request may go to an engine, and to which.
// An engine that is full preempts what runs there, and reads prompts one after
// another, so that requests wait here, where the order can still be chosen, and
// not in an engine. One box keeps the queue of a service for all, as long as it
// is reached; its state is soft: what runs is told by the boxes, and who waits
// asks again.
package admission

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/balance/shares"
	"petrelstep/balance/speeds"
	"petrelstep/fleet"
	"petrelstep/picker"
	"petrelstep/refusal"
	"petrelstep/route"
	"petrelstep/upstreamload"
)

const (
	// roundEvery is how often it is looked for room while requests wait: news of
	// ends comes four times a second from each box.
	roundEvery = 10 * time.Millisecond
	// looksMost bounds the work of one round: so many that find no room end it.
	looksMost = 8
	// decidePart of its aim is within what a request is refused that cannot be in
	// time, so that it may be so when it has come back. Later it waits on: its answer
	// is late either way, and a late one is worth more to its caller than none.
	decidePart = 0.2
	// patiencePart is the part of its caller's patience within which a request has to
	// have room: the rest is for its prompt to be read.
	patiencePart = 0.8
	// judgeEvery is how often it is looked whether those who wait still have a chance:
	// some times within what the shortest aims leave to decide in.
	judgeEvery = 50 * time.Millisecond
	// noAim stands for the aim of a request that has none.
	noAim = time.Hour
)

// Ask is a request that wants room. Values are immutable.
type Ask struct {
	Request      string
	Box          string
	Hall         string // of the box
	Service      route.Service
	Urgency      int // 0 goes first
	Prompt       int // tokens
	Answer       int // expected tokens
	Arrived      time.Time
	Aim          time.Duration // for the first event; 0 for none
	Gap          time.Duration // longest pause of a stream in time; 0 for any
	Deadline     time.Duration // since the request arrived; 0 for none
	Patience     time.Duration // the caller leaves so long after the request arrived; 0 if it does not
	Organisation string        // whose it is; empty where the route is open to all
	Mark         uint64        // what the tries of one request have in common
	Avoid        []string
	Regions      []string // the only ones that it may go to; none for any
}

// Grant is room at an upstream.
type Grant struct {
	Upstream fleet.Upstream
	Load     float64 // part of its memory that is in use then
	Cost     float64 // requests that are made late by it, as far as is known

	running upstreamload.Load // before
}

// ranking lists the upstreams of a service, the best first.
type ranking interface {
	Ranked(now time.Time, w picker.Want) []picker.Choice
	// SampledFrom returns the number of upstreams of a service of which a sample is ranked;
	// 0 where all are.
	SampledFrom(s route.Service) int
	// Sent notes that a request goes to an upstream.
	Sent(now time.Time, s route.Service, u fleet.Upstream)
	// Gave notes that this box has decided so.
	Gave(now time.Time, u fleet.Upstream, n speeds.Need, running upstreamload.Load)
	// Leaving returns what runs at the upstreams of a service that leave.
	Leaving(now time.Time, service string) upstreamload.Load
}

// loads takes what is promised.
type loads interface {
	Promise(now time.Time, box, upstream string, l upstreamload.Load)
}

// reading tells how long engines take to read prompts.
type reading interface {
	Time(tokens int) time.Duration
}

// Shares tells how organisations fare that compete for room.
type Shares interface {
	Assigned(now time.Time, p shares.Party, work float64)
	Refused(now time.Time, p shares.Party, work float64)
	// Waited notes that a request found no room at once.
	Waited(now time.Time)
	// Recompute works the shares out, from the work that waits too.
	Recompute(now time.Time, waits map[shares.Party]float64)
	Standing(p shares.Party) shares.Standing
}

type waiter struct {
	ask      Ask
	returns  bool            // it was refused before, and came back
	held     bool            // there is room, but where it would be late or make others so
	standing shares.Standing // of its organisation
	settled  chan outcome
}

type outcome struct {
	grant Grant
	err   error
}

// Admission is safe for use by several goroutines.
type Admission struct {
	ranking ranking
	loads   loads
	reading reading
	shares  Shares // nil: they do not count
	log     *logrus.Entry

	mu      sync.Mutex
	random  *rand.Rand
	waiting []*waiter
	next    *time.Timer // the next round; nil while nobody waits
	judged  time.Time   // all who wait were, last
	allAt   time.Time   // the next round that weighs all of many upstreams
	weighed time.Time   // shares were
	returns returns
	demand  *demand   // of newcomers
	waited  time.Time // one that holds memory for long last found no room at once
	wait    *forecast
}

// New returns an empty queue. Shares are nil where they do not count.
func New(r ranking, l loads, p reading, s Shares, random *rand.Rand, log *logrus.Entry) *Admission {
	return &Admission{ranking: r, loads: l, reading: p, shares: s, random: random, log: log, returns: returns{}, demand: newDemand(), wait: newForecast()}
}

// short tells whether a request holds memory for not much longer than its
// prompt takes to be read.
func (a *Admission) short(ask Ask) bool {
	return time.Duration(ask.Answer)*stepGuess <= a.reading.Time(ask.Prompt)
}

// Waiting returns how many requests wait.
func (a *Admission) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting)
}

// Take waits until ctx ends for room. It reports false if there was none yet:
// who waits on asks again. The error is a refusal.Refusal.
func (a *Admission) Take(ctx context.Context, ask Ask) (g Grant, ok bool, err error) {
	w := &waiter{ask: ask, settled: make(chan outcome, 1)}
	a.mu.Lock()
	a.enter(time.Now(), w)
	a.mu.Unlock()
	select {
	case o := <-w.settled:
		return o.grant, o.err == nil, o.err
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drop(w)
	select {
	case o := <-w.settled: // in the same moment
		return o.grant, o.err == nil, o.err
	default:
		return Grant{}, false, nil
	}
}

// enter takes a request in. One that finds no room, and has no chance by the
// forecast, is refused at once.
func (a *Admission) enter(now time.Time, w *waiter) {
	if memory := w.ask.Service.Engine.Memory; memory > 0 && w.ask.Prompt > memory {
		a.line(now, w).Info("too_large")
		w.settled <- outcome{err: refusal.New(refusal.TooLarge, "the prompt is larger than an engine's memory")}
		return
	}
	r := a.sampled(w.ask.Service)
	if len(a.ranked(now, r, w.ask)) == 0 {
		r = newRound(false)
	}
	if len(a.ranked(now, r, w.ask)) == 0 {
		w.settled <- outcome{err: noUpstream(w.ask)}
		return
	}
	w.returns = a.returns.has(w.ask.Mark)
	if a.undecided(now, w) {
		a.demand.came(now, w.ask)
	}
	a.waiting = append(a.waiting, w)
	a.weigh(now, w)
	a.grant(now, r)
	if r.sampled && slices.Contains(a.waiting, w) {
		r = a.nextRound(now)
		a.grant(now, r)
	}
	if !slices.Contains(a.waiting, w) || w.held {
		return
	}
	if !a.short(w.ask) {
		a.waited = now
	}
	if a.shares != nil {
		a.shares.Waited(now)
	}
	if !r.sampled && a.hopeless(now, r, w, a.ahead(now, w)) {
		a.drop(w)
	}
}

// rank is that of a request among those that wait.
func (a *Admission) rank(ask Ask) rank { return rank{ask.Urgency, a.short(ask)} }

// noUpstream refuses a request that no upstream can serve: all left, or their
// halls were evacuated.
func noUpstream(ask Ask) error {
	return refusal.New(refusal.NoUpstream, "no upstream of "+ask.Service.Name).WithRetryAfter(comeLeast)
}

func (a *Admission) drop(w *waiter) {
	a.waiting = slices.DeleteFunc(a.waiting, func(o *waiter) bool { return o == w })
}

// grant gives room to those who wait, in their order, as far as there is any, and
// ends the waits that are in vain.
func (a *Admission) grant(now time.Time, r round) {
	a.weigh(now, nil)
	all := r
	slices.SortStableFunc(a.waiting, func(x, y *waiter) int { return a.compare(now, x, y) })
	looks := 0
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool {
		if looks >= looksMost {
			w.held = false
			return false
		}
		if !r.sampled && len(a.ranked(now, r, w.ask)) == 0 {
			a.line(now, w).Info("no_upstream")
			w.settled <- outcome{err: noUpstream(w.ask)}
			return true
		}
		g, ok := a.room(now, r, w.ask)
		w.held = ok && a.waits(now, r, w.ask, g)
		switch {
		case w.held:
			return false
		case ok:
			a.give(now, w, g)
			r.clear()
			r.sampled = a.ranking.SampledFrom(w.ask.Service) > 0 // all are ranked for one of those who wait
			return true
		}
		looks++
		if a.overdue(now, w.ask) {
			a.reserve(now, r, w.ask)
		}
		return false
	})
	if !all.sampled {
		a.judge(now, all)
	}
	if len(a.waiting) > 0 && a.next == nil {
		a.next = time.AfterFunc(roundEvery, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.next = nil
			now := time.Now()
			a.grant(now, a.nextRound(now))
		})
	}
}

func (a *Admission) give(now time.Time, w *waiter, g Grant) {
	a.returns.came(w.ask.Mark)
	a.wait.gave(now, a.rank(w.ask), w.ask.Prompt)
	a.ranking.Sent(now, w.ask.Service, g.Upstream)
	a.ranking.Gave(now, g.Upstream, a.need(w.ask), g.running)
	a.loads.Promise(now, w.ask.Box, g.Upstream.ID, loadOf(w.ask))
	if a.shares != nil {
		a.shares.Assigned(now, w.ask.party(), a.Work(w.ask))
	}
	a.line(now, w).WithFields(logrus.Fields{"upstream": g.Upstream.ID, "load": g.Load, "cost": g.Cost}).Info("admitted")
	w.settled <- outcome{grant: g}
}

func loadOf(ask Ask) upstreamload.Load {
	return upstreamload.Load{Requests: 1, Tokens: ask.Prompt, Coming: ask.Answer, Prefill: ask.Prompt}
}

// compare orders those who wait: what may wait on first goes last, the urgent
// before the others but for the starved, what holds memory for a moment before what
// holds it for long, those who ask for less than their share before others, and then what has the
// least time left, whether it has come back or not.
func (a *Admission) compare(now time.Time, x, y *waiter) int {
	return cmp.Or(
		first(!a.outlasts(now, x.ask), !a.outlasts(now, y.ask)),
		first(x.standing.Starved, y.standing.Starved),
		cmp.Compare(x.ask.Urgency, y.ask.Urgency),
		first(a.short(x.ask), a.short(y.ask)),
		cmp.Compare(a.turn(now, x), a.turn(now, y)),
		cmp.Compare(a.due(now, x.ask), a.due(now, y.ask)),
	)
}

// first orders what is before what is not.
func first(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	}
	return 1
}

// line begins the log line of a decision.
func (a *Admission) line(now time.Time, w *waiter) *logrus.Entry {
	line := a.log
	if a.shares != nil {
		s := w.standing
		line = line.WithFields(logrus.Fields{
			"organisation": w.ask.Organisation, "share": int(s.Share), "given_work": int(s.Given), "owed": int(s.Deficit()), "over": s.Over, "starved": s.Starved,
		})
	}
	return line.WithFields(logrus.Fields{
		"request": w.ask.Request, "for": w.ask.Box, "urgency": w.ask.Urgency, "prompt": w.ask.Prompt, "answer": w.ask.Answer,
		"waited_ms": now.Sub(w.ask.Arrived).Milliseconds(), "left_ms": a.left(now, w.ask).Milliseconds(), "returns": w.returns,
		"waiting": len(a.waiting), "read_ms": a.reading.Time(w.ask.Prompt).Milliseconds(),
	})
}
