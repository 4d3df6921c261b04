package experiment

import (
	"math/rand/v2"
	"strconv"
	"time"

	"petrelstep/engineload"
	"petrelstep/health"
	"petrelstep/home"
	"petrelstep/outputlen"
	"petrelstep/outputlen/survival"
	"petrelstep/placement"
	"petrelstep/retry"
	"petrelstep/wire"
)

const (
	waitMost    = 10 * time.Minute
	topPriority = 9
	digestLag   = 500 * time.Millisecond
	digestLoss  = 0.1
	// leastSilence is that of reports which come every half second.
	leastSilence = 3 * time.Second
)

// box is one petrelstepd in virtual time: the real decision code, and only
// what a box would know.
type box struct {
	w       *world
	id      int
	alive   bool
	loads   *engineload.Tracker
	placer  *placement.Placer
	lengths home.Lengths
	health  *health.Health
	home    *home.Home
	budget  *retry.Budget
	flying  map[string]*request // dispatched
	waiting map[string]*request // for a grant
	avoid   map[string]string   // engine that a request was turned away from
}

// oracleLengths reads the length that the oracle put into the class.
type oracleLengths struct{}

func (oracleLengths) Curve(k outputlen.Key) *survival.Curve {
	n, _ := strconv.Atoi(k.Class)
	return survival.Known(n)
}
func (oracleLengths) Progress(outputlen.Key, int, int) {}
func (oracleLengths) End(outputlen.Key, int, bool)     {}

func newBox(w *world, id int) *box {
	b := &box{
		w: w, id: id, alive: true,
		loads:   engineload.New(),
		placer:  placement.New(w.policy.method, rand.New(rand.NewPCG(uint64(id), w.rng.Uint64()))),
		lengths: outputlen.New(),
		health:  health.New(),
		budget:  retry.New(),
		flying:  map[string]*request{},
		waiting: map[string]*request{},
		avoid:   map[string]string{},
	}
	if w.policy.oracle {
		b.lengths = oracleLengths{}
	}
	b.clearHome()
	return b
}

func (b *box) clearHome() {
	b.home = home.New(b.w.policy.params(), b.lengths, b.health)
	names := make([]string, engineCount)
	for i := range names {
		names[i] = b.w.engines[i].name
	}
	b.home.SetEngines(names)
	if len(b.w.boxes) == boxCount {
		b.shareRoom()
	}
}

func (b *box) start() {
	if b.w.policy.sharing == noGrants {
		return
	}
	b.w.every(admitEach, b.admit)
	b.w.every(progressEach, b.progress)
}

// homeBox returns the box that grants for this one: the first in the order
// that it can reach.
func (b *box) homeBox() *box {
	if b.w.policy.sharing != homeBox {
		return b
	}
	for _, other := range b.w.boxes {
		if b.w.reachable(b, other) {
			return other
		}
	}
	return b
}

func (b *box) isHome() bool { return b.alive && b.homeBox() == b }

func (b *box) report(load wire.EngineLoad) {
	if !b.alive {
		return
	}
	b.loads.Report(b.w.now, load)
	b.health.MarkSeen(b.w.now, load.Engine, load.Incarnation, time.Duration(load.StepUs)*time.Microsecond, leastSilence)
	if load.Leaving {
		b.health.MarkLeaving(load.Engine, load.Incarnation)
	}
	if b.isHome() {
		b.home.Report(b.w.now, load)
	}
}

func (b *box) key(q *request) outputlen.Key {
	c := string(q.class)
	if b.w.policy.oracle {
		c = strconv.Itoa(q.length)
	}
	return outputlen.Key{Organisation: strconv.Itoa(q.organisation), Model: modelName, Class: c}
}

// take serves a request: straight to an engine, or by way of a grant.
func (b *box) take(q *request) {
	q.box = b
	if b.w.policy.sharing == noGrants {
		b.place(q, 0)
		return
	}
	expected := b.lengths.Curve(b.key(q)).Mean() + float64(q.prompt)
	if expected <= float64(b.w.policy.short) {
		b.place(q, topPriority)
		return
	}
	b.ask(q)
}

func (b *box) place(q *request, priority int) {
	var views []placement.View
	for _, e := range b.w.engines {
		v, ok := b.loads.View(b.w.now, e.name)
		if !ok || b.avoid[q.id] == e.name || !b.health.Eligible(b.w.now, e.name) {
			continue
		}
		views = append(views, v)
	}
	i := b.placer.Pick(views)
	if i < 0 {
		b.w.after(time.Second, func() { b.retake(q) })
		return
	}
	b.health.RecordDispatch(b.w.now, views[i].Engine)
	b.loads.Dispatched(b.w.now, views[i].Engine, q.prompt)
	b.w.dispatch(b, q, views[i].Engine, priority)
}

func (b *box) retake(q *request) {
	if b.alive && !q.over {
		b.take(q)
	}
}

func (b *box) ask(q *request) {
	b.waiting[q.id] = q
	to := b.homeBox()
	q.asked = to
	if to != b {
		b.w.message(askBytes)
	}
	b.w.after(b.linkTo(to), func() {
		if q.over || q.asked != to || !to.alive || q.granted {
			return
		}
		if err := to.home.Offer(b.w.now, b.askOf(q)); err != nil {
			delete(b.waiting, q.id)
			b.w.fail(q, "wait_too_long")
			return
		}
		to.admit()
	})
}

func (b *box) linkTo(to *box) time.Duration {
	if to == b {
		return 0
	}
	return link
}

func (b *box) askOf(q *request) wire.Ask {
	k := b.key(q)
	prefix := make([]int, len(q.chain))
	for i, c := range q.chain {
		prefix[i] = int(c)
	}
	return wire.Ask{
		Attempt: q.attempt(), Box: strconv.Itoa(b.id), Organisation: k.Organisation, Model: modelName, Class: k.Class,
		Prompt: q.prompt, MaxTokens: mostOutput, Weight: 1, Prefix: prefix, WaitMs: int(waitMost.Milliseconds()),
		Avoid: []string{b.avoid[q.id]},
	}
}

// admit runs a home box's round of grants.
func (b *box) admit() {
	if !b.isHome() {
		return
	}
	b.home.Sweep(b.w.now)
	late, _ := b.home.Expired(b.w.now)
	for _, ask := range late {
		if q := b.w.byAttempt(ask.Attempt); q != nil {
			b.w.fail(q, "deadline")
			delete(q.box.waiting, q.id)
		}
	}
	for _, g := range b.home.Admit(b.w.now) {
		q := b.w.byAttempt(g.Ask.Attempt)
		if q == nil || q.asked != b {
			continue
		}
		if q.box != b {
			b.w.message(grantBytes)
		}
		b.w.after(b.linkTo(q.box), func() { q.box.got(q, b, g.Engine) })
	}
}

// got takes a grant; one that comes from a home box since left is settled as
// never used.
func (b *box) got(q *request, from *box, engine string) {
	if !b.alive || q.over || q.asked != from || q.granted || !b.w.reachable(b, from) {
		from.home.Settle(b.w.now, wire.SettleItem{Attempt: q.attempt(), Ended: true, Cut: true})
		return
	}
	delete(b.waiting, q.id)
	q.granted = true
	q.introduced = from
	b.loads.Dispatched(b.w.now, engine, q.prompt)
	b.announce(engine, q.prompt)
	b.w.dispatch(b, q, engine, 0)
}

// announce tells the other boxes of a dispatch, late and not always.
func (b *box) announce(engine string, tokens int) {
	if b.w.policy.sharing != digests {
		return
	}
	for _, other := range b.w.boxes {
		if other == b || b.w.rng.Float64() < digestLoss {
			continue
		}
		at := b.w.now
		b.w.message(digestBytes)
		b.w.after(digestLag, func() { other.home.RecordAnnouncement(at, engine, tokens) })
	}
}

// again sends a request that is certain not to have run elsewhere.
func (b *box) again(q *request, reason, not string) {
	if q.over || !b.alive {
		return
	}
	b.settle(q, true, true)
	delete(b.flying, q.id)
	if !b.budget.Spend() {
		b.w.fail(q, "retry_budget")
		return
	}
	b.w.rec.result.Retried[reason]++
	q.tries++
	q.granted, q.asked, q.run = false, nil, nil
	b.avoid[q.id] = not
	b.take(q)
}

func (b *box) ended(q *request, cut bool) {
	k := b.key(q)
	if !q.granted || b.w.policy.sharing != homeBox || !b.isHome() {
		// A home box learns from what is settled; others from their own.
		b.lengths.Progress(k, 0, q.tokens)
		b.lengths.End(k, q.tokens, cut)
	}
	b.settle(q, true, cut)
	delete(b.flying, q.id)
	delete(b.avoid, q.id)
	if !cut {
		b.budget.Succeeded()
	}
}

func (b *box) progress() {
	if !b.alive {
		return
	}
	items := 0
	for _, q := range sortedRequests(b.flying) {
		if q.granted && !q.over {
			b.settle(q, false, false)
			items++
		}
	}
	if items > 0 && b.homeBox() != b {
		b.w.message(settleBytes + items*progressBytes)
	}
}

// settle tells the home box how a granted generation goes on; a new home box
// is told all of it.
func (b *box) settle(q *request, ended, cut bool) {
	if !q.granted {
		return
	}
	to := b.homeBox()
	item := wire.SettleItem{Attempt: q.attempt(), Tokens: q.tokens, Ended: ended, Cut: cut}
	if q.introduced != to {
		k := b.key(q)
		item.Engine, item.Organisation, item.Model, item.Class = q.engine.name, k.Organisation, modelName, k.Class
		item.Prompt, item.MaxTokens = q.prompt, mostOutput
		q.introduced = to
	}
	if ended && to != b {
		b.w.message(endBytes)
	}
	b.w.after(b.linkTo(to), func() {
		if !to.alive {
			return
		}
		to.home.Settle(b.w.now, item)
		if ended {
			to.admit()
		}
	})
}

// takeUp goes on with a stream whose box is gone.
func (b *box) takeUp(q *request) {
	if q.over {
		return
	}
	b.w.rec.result.Retried["resume"]++
	q.box = b
	b.flying[q.id] = q
}

// reaskFrom asks anew for what waits at a home box that is gone, cut off, or
// no longer the first in the order.
func (b *box) reaskFrom(gone *box) {
	if !b.alive || b.w.policy.sharing != homeBox {
		return
	}
	if b != b.homeBox() {
		b.clearHome()
	}
	for _, q := range sortedRequests(b.waiting) {
		if q.asked == gone || q.asked != b.homeBox() {
			b.ask(q)
		}
	}
	b.progress() // a new home box is told at once of what is in flight
}
