// Package home implements the home box of a cell of engines: it queues the
// long generations of all boxes and grants them memory on its engines when the
// forecast says that they fit. Its state is soft: the next box in the order
// rebuilds it from the engines' reports and from the boxes' reports of their
// generations in flight.
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

// Params are the bounds and weights that operators configure.
type Params struct {
	Deviations float64                  // memory margin, in standard deviations of the forecast
	Adaptive   bool                     // adapt the margin to preemptions
	GapBound   time.Duration            // maximum step time, for models not in Gaps
	Gaps       map[string]time.Duration // maximum step time by model
	Share      float64                  // fraction of the free memory that may be granted
	Queue      int                      // maximum number of waiting requests
	Choices    int                      // number of engines considered per request, 0 for all
}

// Granted is a request that was granted memory on an engine.
type Granted struct {
	Ask    wire.Ask
	Engine string
	Room   int // reserved memory, in tokens
}

// Lengths estimates output lengths and learns from progress and ends.
type Lengths interface {
	Curve(k outputlen.Key) *survival.Curve
	Progress(k outputlen.Key, from, to int)
	End(k outputlen.Key, at int, cut bool)
}

// Home is the state of a home box for one cell. It is not safe for concurrent
// use.
type Home struct {
	params        Params
	lengths       Lengths
	health        *health.Health
	stepTimes     map[string]*steptime.Model // by model
	queue         *queue.Queue
	engines       map[string]*engine
	names         []string // of engines, sorted
	runs          map[string]*run
	margin        margin
	drain         drainRate
	nextCandidate int
	lastSweep     time.Time
}

// New returns a home box's state for one cell.
func New(params Params, lengths Lengths, h *health.Health) *Home {
	return &Home{
		params:    params,
		lengths:   lengths,
		health:    h,
		stepTimes: map[string]*steptime.Model{},
		queue:     queue.New(params.Queue),
		engines:   map[string]*engine{},
		runs:      map[string]*run{},
		margin:    newMargin(params.Deviations, params.Adaptive),
	}
}

// SetParams replaces the bounds and weights.
func (h *Home) SetParams(p Params) {
	if p.Deviations != h.params.Deviations || p.Adaptive != h.params.Adaptive {
		h.margin = newMargin(p.Deviations, p.Adaptive)
	}
	h.params = p
}

// SetEngines sets the engines of the cell.
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

// Waiting returns the number of queued requests.
func (h *Home) Waiting() int { return h.queue.Len() }

// Running returns the number of granted generations in flight.
func (h *Home) Running() int { return len(h.runs) }

// Deviations returns the current memory margin, in standard deviations.
func (h *Home) Deviations() float64 { return h.margin.now }

// Offer queues a request. It refuses the request if the queue is full or the
// predicted wait exceeds its deadline.
func (h *Home) Offer(now time.Time, ask wire.Ask) error {
	item := h.queueItem(now, ask)
	wait := h.drain.wait(h.queue.Cost(ask.Priority) + item.Cost)
	if h.queue.Len() > 0 && wait > time.Duration(ask.WaitMs)*time.Millisecond {
		return refusal.New(refusal.WaitTooLong, "predicted wait exceeds the deadline").WithRetryAfter(wait)
	}
	if !h.queue.Push(item) {
		return refusal.New(refusal.QueueFull, "queue for the model is full").WithRetryAfter(max(wait, time.Second))
	}
	return nil
}

// Withdraw removes a queued request and reports whether it was queued.
func (h *Home) Withdraw(attempt string) bool { return h.queue.Remove(attempt) }

// Expired removes and returns the requests past their deadlines, with the
// time after which a retry may succeed.
func (h *Home) Expired(now time.Time) (expired []wire.Ask, retryAfter time.Duration) {
	for _, it := range h.queue.Expired(now) {
		expired = append(expired, it.Value.(wire.Ask))
	}
	return expired, max(h.drain.wait(h.queue.Cost(0)), time.Second)
}

// Report applies an engine's load report; reports out of order are ignored.
func (h *Home) Report(now time.Time, load wire.EngineLoad) {
	e := h.engine(load.Engine)
	at := time.UnixMilli(int64(load.AtMs))
	if load.Incarnation < e.load.Incarnation || load.Incarnation == e.load.Incarnation && !at.After(e.at) {
		return
	}
	if load.Incarnation == e.load.Incarnation {
		h.margin.preempted(now, load.Preemptions-e.load.Preemptions)
	} else if e.load.Incarnation != 0 {
		h.reset(e)
	}
	e.load, e.at, e.lastSeen = load, at, now
	e.dropAnnounced(at)
	h.stepTimeOf(load.Model).Observe(load.Running, load.Used, time.Duration(load.StepUs)*time.Microsecond)
	e.foreign.observe(float64(max(load.Used-e.heldAt(at), 0)))
	e.stale = true
}

// Settle applies a box's report on a granted generation: its progress or end.
func (h *Home) Settle(now time.Time, it wire.SettleItem) {
	r, ok := h.runs[it.Attempt]
	if !ok {
		if it.Ended || it.Engine == "" {
			return
		}
		r = h.adopt(now, it)
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

// Admit grants memory to requests in queue order. A request that does not fit
// may be overtaken by those behind it until it has waited for maxBypass.
func (h *Home) Admit(now time.Time) []Granted {
	if h.queue.Len() == 0 {
		h.margin.adjust(now, false)
		return nil
	}
	h.refresh(now)
	var granted []Granted
	misses := 0
	for _, it := range h.queue.Order(now) {
		ask := it.Value.(wire.Ask)
		e := h.choose(now, ask)
		if e != nil {
			granted = append(granted, h.grant(now, it, ask, e))
			continue
		}
		misses++
		if misses >= maxMisses || now.Sub(it.Arrived) > maxBypass {
			break
		}
	}
	h.margin.adjust(now, h.queue.Len() > 0 && h.underused())
	return granted
}

const (
	// maxMisses bounds the requests that do not fit in one round of grants.
	maxMisses = 16
	// maxBypass bounds the wait of a request that others overtake.
	maxBypass = 300 * time.Second
)

func (h *Home) grant(now time.Time, it queue.Item, ask wire.Ask, e *engine) Granted {
	need := h.need(ask)
	r := &run{
		attempt:   ask.Attempt,
		key:       keyOf(ask.Organisation, ask.Model, ask.Class),
		prompt:    ask.Prompt,
		maxTokens: ask.MaxTokens,
		since:     now,
		at:        now,
		engine:    e,
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

// adopt adds a generation that another home box granted.
func (h *Home) adopt(now time.Time, it wire.SettleItem) *run {
	e := h.engine(it.Engine)
	r := &run{
		attempt:   it.Attempt,
		key:       keyOf(it.Organisation, it.Model, it.Class),
		prompt:    it.Prompt,
		maxTokens: it.MaxTokens,
		tokens:    it.Tokens,
		since:     now,
		at:        now,
		engine:    e,
	}
	h.runs[it.Attempt] = r
	e.runs = append(e.runs, r)
	return r
}

// reset drops the generations that an engine held before it restarted.
func (h *Home) reset(e *engine) {
	for _, r := range e.runs {
		delete(h.runs, r.attempt)
	}
	e.runs = nil
	e.foreign = foreign{}
}

func (h *Home) queueItem(now time.Time, ask wire.Ask) queue.Item {
	c := h.lengths.Curve(keyOf(ask.Organisation, ask.Model, ask.Class))
	mean := min(c.Mean(), float64(ask.MaxTokens))
	step := h.stepTimeOf(ask.Model).Step(defaultBatch, defaultUsed).Seconds()
	if step == 0 {
		step = defaultStep.Seconds()
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

func (h *Home) stepTimeOf(model string) *steptime.Model {
	p, ok := h.stepTimes[model]
	if !ok {
		p = steptime.New()
		h.stepTimes[model] = p
	}
	return p
}

// Assumptions about a model until its step time is known.
const (
	defaultBatch = 20
	defaultUsed  = 40_000
	defaultStep  = 25 * time.Millisecond
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

// settleTimeout is how long a granted generation counts against its engine
// without a report from its box.
const settleTimeout = 20 * time.Second

// Sweep drops granted generations whose boxes stopped reporting; memory that
// they still use shows in the engines' reports.
func (h *Home) Sweep(now time.Time) {
	if now.Sub(h.lastSweep) < sweepInterval {
		return
	}
	h.lastSweep = now
	for _, name := range h.names {
		e := h.engine(name)
		for _, r := range append([]*run{}, e.runs...) {
			if now.Sub(r.at) > settleTimeout {
				delete(h.runs, r.attempt)
				e.drop(r)
				e.stale = true
			}
		}
	}
}

const sweepInterval = time.Second

// RecordAnnouncement records that a peer sent a prompt to an engine without a
// grant.
func (h *Home) RecordAnnouncement(at time.Time, engine string, tokens int) {
	e := h.engine(engine)
	e.announced = append(e.announced, announcement{at: at, tokens: tokens})
}

// RecordCacheEvent applies a prefix cache event of an engine.
func (h *Home) RecordCacheEvent(engine string, seq int, stored bool, block uint64) {
	h.engine(engine).prefixes.Apply(seq, stored, block)
}
