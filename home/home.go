// Package home is what the home box of a cell of engines does: it queues the
// long generations of all boxes and grants them room on its engines when the
// forecast of memory says that they fit. Its state is soft: the next box in
// the order takes over from the engines' reports and from what the boxes
// tell it that they have in flight.
package home

import (
	"sort"
	"time"

	"petrelstep/forecast"
	"petrelstep/health"
	"petrelstep/outputlen"
	"petrelstep/outputlen/survival"
	"petrelstep/queue"
	"petrelstep/refusal"
	"petrelstep/steptime"
	"petrelstep/wire"
)

// Params are the bounds and weights that operators declare.
type Params struct {
	Deviations float64                  // spare memory, in standard deviations of the forecast
	Adaptive   bool                     // follow preemptions with the spare
	GapBound   time.Duration            // step that placing must not pass, for models not in Gaps
	Gaps       map[string]time.Duration // the same by model
	Share      float64                  // part of the free memory that may be granted, 1 for a home box
	Queue      int                      // most requests that wait
	Choices    int                      // look at only so many engines, 0 at all
}

// Granted is a request that has its room.
type Granted struct {
	Ask    wire.Ask
	Engine string
	Room   int // tokens promised
}

// Lengths is the learned knowledge of how long generations get.
type Lengths interface {
	Curve(k outputlen.Key) *survival.Curve
	Progress(k outputlen.Key, from, to int)
	End(k outputlen.Key, at int, cut bool)
}

// Home is not safe for use by several goroutines.
type Home struct {
	params  Params
	lengths Lengths
	health  *health.Health
	paces   map[string]*steptime.Model // by model
	queue   *queue.Queue
	engines map[string]*engine
	names   []string // of engines, sorted
	runs    map[string]*run
	spare   spare
	drain   drainRate
	turn    int
	swept   time.Time
}

// New returns a home box's state for one cell.
func New(params Params, lengths Lengths, h *health.Health) *Home {
	return &Home{
		params:  params,
		lengths: lengths,
		health:  h,
		paces:   map[string]*steptime.Model{},
		queue:   queue.New(params.Queue),
		engines: map[string]*engine{},
		runs:    map[string]*run{},
		spare:   newSpare(params.Deviations, params.Adaptive),
	}
}

// SetParams takes newly declared bounds and weights.
func (h *Home) SetParams(p Params) {
	if p.Deviations != h.params.Deviations || p.Adaptive != h.params.Adaptive {
		h.spare = newSpare(p.Deviations, p.Adaptive)
	}
	h.params = p
}

// SetEngines names the engines of the cell that serve the model.
func (h *Home) SetEngines(names []string) {
	h.names = append([]string{}, names...)
	sort.Strings(h.names)
	declared := map[string]bool{}
	for _, n := range names {
		declared[n] = true
	}
	for n := range h.engines {
		if !declared[n] {
			delete(h.engines, n)
		}
	}
}

// Waiting returns how many requests wait.
func (h *Home) Waiting() int { return h.queue.Len() }

// Running returns how many granted generations are in flight.
func (h *Home) Running() int { return len(h.runs) }

// Deviations returns the spare memory now asked for, in standard deviations.
func (h *Home) Deviations() float64 { return h.spare.now }

// Offer queues a request, or refuses it at once when there is no room or its
// predicted wait is longer than it may wait.
func (h *Home) Offer(now time.Time, ask wire.Ask) error {
	item := h.item(now, ask)
	wait := h.drain.wait(h.queue.Cost(ask.Priority) + item.Cost)
	if h.queue.Len() > 0 && wait > time.Duration(ask.WaitMs)*time.Millisecond {
		return refusal.New(refusal.WaitTooLong, "predicted wait passes the deadline").WithRetryAfter(wait)
	}
	if !h.queue.Push(item) {
		return refusal.New(refusal.QueueFull, "too many wait for the model").WithRetryAfter(max(wait, time.Second))
	}
	return nil
}

// Withdraw takes a waiting request out; false if it does not wait.
func (h *Home) Withdraw(attempt string) bool { return h.queue.Remove(attempt) }

// Expired takes out and returns the requests that waited too long, with the
// time after which room may be expected.
func (h *Home) Expired(now time.Time) (late []wire.Ask, after time.Duration) {
	for _, it := range h.queue.Expired(now) {
		late = append(late, it.Value.(wire.Ask))
	}
	return late, max(h.drain.wait(h.queue.Cost(0)), time.Second)
}

// Report takes an engine's load report.
func (h *Home) Report(now time.Time, load wire.EngineLoad) {
	e := h.engine(load.Engine)
	at := time.UnixMilli(int64(load.AtMs))
	if load.Incarnation < e.load.Incarnation || load.Incarnation == e.load.Incarnation && !at.After(e.at) {
		return
	}
	if load.Incarnation == e.load.Incarnation {
		h.spare.preempted(now, load.Preemptions-e.load.Preemptions)
	} else if e.load.Incarnation != 0 {
		h.lost(e)
	}
	e.load, e.at, e.heard = load, at, now
	e.seen(at)
	h.paceOf(load.Model).Observe(load.Running, load.Used, time.Duration(load.StepUs)*time.Microsecond)
	e.foreign.observe(float64(max(load.Used-e.heldAt(at), 0)))
	e.stale = true
}

// Settle takes what an origin box says of a granted generation.
func (h *Home) Settle(now time.Time, it wire.SettleItem) {
	r, ok := h.runs[it.Attempt]
	if !ok {
		if it.Ended || it.Engine == "" {
			return
		}
		r = h.join(now, it)
	}
	h.lengths.Progress(r.key, r.tokens, it.Tokens)
	r.tokens, r.at = it.Tokens, now
	r.engine.stale = true
	if !it.Ended {
		return
	}
	h.lengths.End(r.key, it.Tokens, it.Cut)
	delete(h.runs, it.Attempt)
	r.engine.drop(r)
}

// Admit grants room to requests in the queue's order. One that does not fit
// is passed by, but not for ever: after a while those behind it wait too.
func (h *Home) Admit(now time.Time) []Granted {
	if h.queue.Len() == 0 {
		h.spare.idle(now, false)
		return nil
	}
	h.refresh(now)
	var granted []Granted
	looks := 0
	for _, it := range h.queue.Order(now) {
		ask := it.Value.(wire.Ask)
		e := h.choose(now, ask)
		if e != nil {
			granted = append(granted, h.grant(now, it, ask, e))
			continue
		}
		looks++
		if looks >= mostLooks || now.Sub(it.Arrived) > passBy {
			break
		}
	}
	h.spare.idle(now, h.queue.Len() > 0 && h.roomy())
	return granted
}

const (
	// mostLooks bounds the work of one round of grants.
	mostLooks = 16
	// passBy is how long a request that does not fit may be passed by.
	passBy = 300 * time.Second
)

func (h *Home) grant(now time.Time, it queue.Item, ask wire.Ask, e *engine) Granted {
	need := h.need(ask)
	r := &run{
		attempt: ask.Attempt,
		key:     keyOf(ask.Organisation, ask.Model, ask.Class),
		prompt:  ask.Prompt,
		most:    ask.MaxTokens,
		since:   now,
		at:      now,
		engine:  e,
	}
	h.runs[ask.Attempt] = r
	e.runs = append(e.runs, r)
	e.demand = e.demand.With(need.Demand())
	e.prefillUntil = later(e.prefillUntil, now).Add(time.Duration(ask.Prompt) * prefillPerToken)
	e.prefixes.Dispatched(chainOf(ask.Prefix))
	h.queue.Granted(now, it)
	h.drain.granted(now, it.Cost)
	h.health.RecordDispatch(now, e.name)
	return Granted{Ask: ask, Engine: e.name, Room: ask.Prompt + int(need.Curve.Mean())}
}

// join takes over a generation that another home box had granted.
func (h *Home) join(now time.Time, it wire.SettleItem) *run {
	e := h.engine(it.Engine)
	r := &run{
		attempt: it.Attempt,
		key:     keyOf(it.Organisation, it.Model, it.Class),
		prompt:  it.Prompt,
		most:    it.MaxTokens,
		tokens:  it.Tokens,
		since:   now,
		at:      now,
		engine:  e,
	}
	h.runs[it.Attempt] = r
	e.runs = append(e.runs, r)
	return r
}

// lost drops what an engine held before it started anew.
func (h *Home) lost(e *engine) {
	for _, r := range e.runs {
		delete(h.runs, r.attempt)
	}
	e.runs = nil
	e.foreign = foreign{}
}

func (h *Home) item(now time.Time, ask wire.Ask) queue.Item {
	c := h.lengths.Curve(keyOf(ask.Organisation, ask.Model, ask.Class))
	mean := min(c.Mean(), float64(ask.MaxTokens))
	step := h.paceOf(ask.Model).Step(typicalBatch, typicalUsed).Seconds()
	if step == 0 {
		step = typicalStep.Seconds()
	}
	arrived := now.Add(-time.Duration(ask.WaitedMs) * time.Millisecond)
	return queue.Item{
		ID:           ask.Attempt,
		Organisation: ask.Organisation,
		Weight:       ask.Weight,
		Priority:     ask.Priority,
		Cost:         (float64(ask.Prompt) + mean/2) * mean * step,
		Arrived:      arrived,
		Deadline:     now.Add(time.Duration(ask.WaitMs) * time.Millisecond),
		Value:        ask,
	}
}

func (h *Home) paceOf(model string) *steptime.Model {
	p, ok := h.paces[model]
	if !ok {
		p = steptime.New()
		h.paces[model] = p
	}
	return p
}

// What an engine is taken for until its pace is known.
const (
	typicalBatch = 20
	typicalUsed  = 40_000
	typicalStep  = 25 * time.Millisecond
)

func (h *Home) need(ask wire.Ask) forecast.Need {
	return forecast.Need{
		Prompt:    ask.Prompt,
		MaxTokens: ask.MaxTokens,
		Curve:     h.lengths.Curve(keyOf(ask.Organisation, ask.Model, ask.Class)),
	}
}

func keyOf(organisation, model, class string) outputlen.Key {
	return outputlen.Key{Organisation: organisation, Model: model, Class: class}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sweepAfter is how long a granted generation is held against its engine
// without a word from its box.
const sweepAfter = 20 * time.Second

// Sweep drops granted generations whose boxes have fallen silent; what they
// still hold is seen in the engines' reports.
func (h *Home) Sweep(now time.Time) {
	if now.Sub(h.swept) < sweepEvery {
		return
	}
	h.swept = now
	for _, name := range h.names {
		e := h.engine(name)
		for _, r := range append([]*run{}, e.runs...) {
			if now.Sub(r.at) > sweepAfter {
				delete(h.runs, r.attempt)
				e.drop(r)
				e.stale = true
			}
		}
	}
}

const sweepEvery = time.Second

// RecordAnnouncement takes a peer's word that it sent a prompt of so many tokens to an
// engine, where no home box grants.
func (h *Home) RecordAnnouncement(at time.Time, engine string, tokens int) {
	e := h.engine(engine)
	e.announced = append(e.announced, announcement{at: at, tokens: tokens})
}

// RecordCacheEvent takes a cache event of an engine.
func (h *Home) RecordCacheEvent(engine string, seq int, stored bool, block uint64) {
	h.engine(engine).prefixes.Apply(seq, stored, block)
}
