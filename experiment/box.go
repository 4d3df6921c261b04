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
	maxWait          = 10 * time.Minute
	topPriority      = 9
	announcementLag  = 500 * time.Millisecond
	announcementLoss = 0.1
	// minSilence is the value for engines that report every 500 ms.
	minSilence = 3 * time.Second
)

// box is one petrelstepd in virtual time: the real decision code with only the state that a
// box would know.
type box struct {
	w          *world
	id         int
	alive      bool
	loads      *engineload.Tracker
	placer     *placement.Placer
	lengths    home.Lengths
	health     *health.Health
	home       *home.Home
	budget     *retry.Budget
	dispatched map[string]*request // by request id
	waiting    map[string]*request // for a grant, by request id
	avoid      map[string]string   // engine that rejected or lost a request, by request id
}

// oracleLengths gives the oracle policy the true length, which it puts into the class.
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
		loads:      engineload.New(),
		placer:     placement.New(w.policy.method, rand.New(rand.NewPCG(uint64(id), w.rng.Uint64()))),
		lengths:    outputlen.New(),
		health:     health.New(),
		budget:     retry.New(),
		dispatched: map[string]*request{},
		waiting:    map[string]*request{},
		avoid:      map[string]string{},
	}
	if w.policy.oracle {
		b.lengths = oracleLengths{}
	}
	b.resetHome()
	return b
}

func (b *box) resetHome() {
	b.home = home.New(b.w.policy.params(), b.lengths, b.health)
	names := make([]string, engineCount)
	for i := range names {
		names[i] = b.w.engines[i].name
	}
	b.home.SetEngines(names)
	if len(b.w.boxes) == boxCount {
		b.updateShare()
	}
}

func (b *box) start() {
	if b.w.policy.sharing == withoutGrants {
		return
	}
	b.w.every(admitInterval, b.admit)
	b.w.every(progressInterval, b.progress)
}

// homeBox returns the box that grants for this one: the first box in order that it can
// reach.
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

func (b *box) updateLoad(load wire.EngineLoad) {
	if !b.alive {
		return
	}
	b.loads.Report(b.w.now, load)
	b.health.MarkSeen(b.w.now, load.Engine, load.Incarnation, time.Duration(load.StepUs)*time.Microsecond, minSilence)
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

// accept serves a request: it dispatches it to an engine directly or requests a grant.
func (b *box) accept(q *request) {
	q.box = b
	if b.w.policy.sharing == withoutGrants {
		b.place(q, 0)
		return
	}
	expected := b.lengths.Curve(b.key(q)).Mean() + float64(q.prompt)
	if expected <= float64(b.w.policy.maxUngranted) {
		b.place(q, topPriority)
		return
	}
	b.requestGrant(q)
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
		b.w.after(time.Second, func() { b.retryPlacement(q) })
		return
	}
	b.health.RecordDispatch(b.w.now, views[i].Engine)
	b.loads.Dispatched(b.w.now, views[i].Engine, q.prompt)
	b.w.dispatch(b, q, views[i].Engine, priority)
}

func (b *box) retryPlacement(q *request) {
	if b.alive && !q.finished {
		b.accept(q)
	}
}

func (b *box) requestGrant(q *request) {
	b.waiting[q.id] = q
	to := b.homeBox()
	q.grantor = to
	if to != b {
		b.w.message(grantRequestBytes)
	}
	b.w.after(b.latencyTo(to), func() {
		if q.finished || q.grantor != to || !to.alive || q.granted {
			return
		}
		if err := to.home.Offer(b.w.now, b.grantRequest(q)); err != nil {
			delete(b.waiting, q.id)
			b.w.reject(q, "wait_too_long")
			return
		}
		to.admit()
	})
}

func (b *box) latencyTo(to *box) time.Duration {
	if to == b {
		return 0
	}
	return linkLatency
}

func (b *box) grantRequest(q *request) wire.Ask {
	k := b.key(q)
	prefix := make([]int, len(q.chain))
	for i, c := range q.chain {
		prefix[i] = int(c)
	}
	return wire.Ask{
		Attempt: q.attempt(), Box: strconv.Itoa(b.id), Organisation: k.Organisation, Model: modelName, Class: k.Class,
		Prompt: q.prompt, MaxTokens: maxOutputTokens, Weight: 1, Prefix: prefix, WaitMs: int(maxWait.Milliseconds()),
		Avoid: []string{b.avoid[q.id]},
	}
}

// admit runs one round of grants if this box is the home box.
func (b *box) admit() {
	if !b.isHome() {
		return
	}
	b.home.Sweep(b.w.now)
	expired, _ := b.home.Expired(b.w.now)
	for _, ask := range expired {
		if q := b.w.requestByAttempt(ask.Attempt); q != nil {
			b.w.reject(q, "deadline")
			delete(q.box.waiting, q.id)
		}
	}
	for _, g := range b.home.Admit(b.w.now) {
		q := b.w.requestByAttempt(g.Ask.Attempt)
		if q == nil || q.grantor != b {
			continue
		}
		if q.box != b {
			b.w.message(grantBytes)
		}
		b.w.after(b.latencyTo(q.box), func() { q.box.receiveGrant(q, b, g.Engine) })
	}
}

// receiveGrant dispatches a granted request. A grant from a box that is no longer the
// request's home box is settled as unused.
func (b *box) receiveGrant(q *request, from *box, engine string) {
	if !b.alive || q.finished || q.grantor != from || q.granted || !b.w.reachable(b, from) {
		from.home.Settle(b.w.now, wire.SettleItem{Attempt: q.attempt(), Ended: true, Cut: true})
		return
	}
	delete(b.waiting, q.id)
	q.granted = true
	q.describedTo = from
	b.loads.Dispatched(b.w.now, engine, q.prompt)
	b.announce(engine, q.prompt)
	b.w.dispatch(b, q, engine, 0)
}

// announce sends a dispatch to the other boxes, with delay and losses.
func (b *box) announce(engine string, tokens int) {
	if b.w.policy.sharing != announcements {
		return
	}
	for _, other := range b.w.boxes {
		if other == b || b.w.rng.Float64() < announcementLoss {
			continue
		}
		at := b.w.now
		b.w.message(announcementBytes)
		b.w.after(announcementLag, func() { other.home.RecordAnnouncement(at, engine, tokens) })
	}
}

// retry dispatches a request again that certainly has not run, avoiding an engine.
func (b *box) retry(q *request, reason, avoid string) {
	if q.finished || !b.alive {
		return
	}
	b.settle(q, true, true)
	delete(b.dispatched, q.id)
	if !b.budget.Spend() {
		b.w.reject(q, "retry_budget")
		return
	}
	b.w.rec.result.Retried[reason]++
	q.tries++
	q.granted, q.grantor, q.run = false, nil, nil
	b.avoid[q.id] = avoid
	b.accept(q)
}

func (b *box) finish(q *request, cut bool) {
	k := b.key(q)
	if !q.granted || b.w.policy.sharing != homeBox || !b.isHome() {
		// A home box learns from settled items, other boxes from their own generations.
		b.lengths.Progress(k, 0, q.tokens)
		b.lengths.End(k, q.tokens, cut)
	}
	b.settle(q, true, cut)
	delete(b.dispatched, q.id)
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
	for _, q := range sortedRequests(b.dispatched) {
		if q.granted && !q.finished {
			b.settle(q, false, false)
			items++
		}
	}
	if items > 0 && b.homeBox() != b {
		b.w.message(settleBytes + items*progressBytes)
	}
}

// settle reports the progress of a granted generation to the home box; a new home box gets
// its full description.
func (b *box) settle(q *request, ended, cut bool) {
	if !q.granted {
		return
	}
	to := b.homeBox()
	item := wire.SettleItem{Attempt: q.attempt(), Tokens: q.tokens, Ended: ended, Cut: cut}
	if q.describedTo != to {
		k := b.key(q)
		item.Engine, item.Organisation, item.Model, item.Class = q.engine.name, k.Organisation, modelName, k.Class
		item.Prompt, item.MaxTokens = q.prompt, maxOutputTokens
		q.describedTo = to
	}
	if ended && to != b {
		b.w.message(endBytes)
	}
	b.w.after(b.latencyTo(to), func() {
		if !to.alive {
			return
		}
		to.home.Settle(b.w.now, item)
		if ended {
			to.admit()
		}
	})
}

// resume continues a stream whose box has failed.
func (b *box) resume(q *request) {
	if q.finished {
		return
	}
	b.w.rec.result.Retried["resume"]++
	q.box = b
	b.dispatched[q.id] = q
}

// requestGrantsAgain repeats the grant requests that wait at a home box that has failed, is
// unreachable, or is no longer the first in order.
func (b *box) requestGrantsAgain(lost *box) {
	if !b.alive || b.w.policy.sharing != homeBox {
		return
	}
	if b != b.homeBox() {
		b.resetHome()
	}
	for _, q := range sortedRequests(b.waiting) {
		if q.grantor == lost || q.grantor != b.homeBox() {
			b.requestGrant(q)
		}
	}
	b.progress() // reports the dispatched requests to a new home box at once
}
