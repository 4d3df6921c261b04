package experiment

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"petrelstep/standin/batch"
	"petrelstep/wire"
)

const (
	boxCount    = 7
	engineCount = 10
	modelName   = "assessor"

	linkLatency           = 1500 * time.Microsecond // one way, between halls
	defaultReportInterval = 500 * time.Millisecond
	homeLag               = 500 * time.Millisecond // a home box polls its engines itself
	boxLag                = time.Second            // other boxes get the reports with heartbeats
	progressInterval      = 6 * time.Second
	admitInterval         = 50 * time.Millisecond
	settleTime            = 120 * time.Second // after the last arrival
	disconnectTime        = 20 * time.Millisecond
	reconnectTime         = 200 * time.Millisecond // until a caller reconnects to another box
	suspectTime           = 1500 * time.Millisecond
	downTime              = 30 * time.Second
)

// request is a caller's request with all its attempts.
type request struct {
	arrival
	id          string
	tries       int
	box         *box
	arrived     time.Time
	lastTokenAt time.Time // when the last token was generated
	tokens      int
	run         *batch.Run
	engine      *engine
	granted     bool
	grantor     *box // home box that queues or has granted it
	finished    bool
	describedTo *box // home box that has its full description
}

func (q *request) attempt() string { return fmt.Sprintf("%s.%d", q.id, q.tries) }

// engine is a stand-in engine in virtual time.
type engine struct {
	w           *world
	name        string
	core        *batch.Core
	incarnation int
	leaving     bool
	down        bool
	stepping    bool
}

// world is the state of one run: boxes with the real decision code, and stand-in engines.
type world struct {
	events
	policy      policy
	scenario    Scenario
	rng         *rand.Rand
	rec         *recorder
	engines     []*engine
	boxes       []*box
	requests    []*request
	frozen      bool
	partitioned int // boxes below it cannot reach the others; 0 for no partition
}

func newWorld(s Scenario, p policy, seed uint64) *world {
	w := &world{policy: p, scenario: s, rng: rand.New(rand.NewPCG(seed, 7)), rec: newRecorder(p.name)}
	w.now = time.Unix(1_700_000_000, 0)
	for i := range engineCount {
		e := &engine{w: w, name: fmt.Sprintf("e%d", i), core: batch.New(batch.DefaultParams()), incarnation: 1}
		w.engines = append(w.engines, e)
	}
	for i := range boxCount {
		w.boxes = append(w.boxes, newBox(w, i))
	}
	return w
}

// Run measures one policy in one scenario. It is deterministic.
func Run(s Scenario, policyName string, seed uint64) Result {
	return newWorld(s, policies[policyName], seed).run(seed)
}

func (w *world) run(seed uint64) Result {
	s := w.scenario
	for _, e := range w.engines {
		e.report()
	}
	for _, b := range w.boxes {
		b.start()
	}
	for _, f := range s.faults {
		w.after(f.at, func() { w.inject(f) })
	}
	for i, a := range generate(s, seed) {
		q := &request{arrival: a, id: fmt.Sprintf("q%d", i)}
		w.requests = append(w.requests, q)
		w.rec.wanted[a.organisation] += float64(a.length)
		w.after(a.at, func() { w.arrive(q) })
	}
	w.runUntil(w.now.Add(s.duration + settleTime))
	return w.result()
}

func (w *world) arrive(q *request) {
	q.arrived = w.now
	b := w.boxes[q.arrival.box]
	if !b.alive {
		b = w.anotherBox(b)
	}
	b.accept(q)
}

func (w *world) anotherBox(except *box) *box {
	for i := 1; i < boxCount; i++ {
		b := w.boxes[(except.id+i)%boxCount]
		if b.alive {
			return b
		}
	}
	return except
}

// dispatch sends a request to an engine, which gets it after linkLatency.
func (w *world) dispatch(b *box, q *request, name string, priority int) {
	e := w.engineNamed(name)
	q.engine = e
	b.dispatched[q.id] = q
	w.after(linkLatency, func() {
		if q.finished {
			return
		}
		if e.down || e.leaving {
			// Rejected before it started, so it may safely run elsewhere.
			w.after(linkLatency, func() { b.retry(q, "never_started", name) })
			return
		}
		q.run = e.core.Submit(w.now, batch.Job{
			Attempt: q.attempt(), Prompt: q.prompt, Blocks: q.chain, Priority: priority, Length: q.length, Tag: q,
		})
		e.wake()
	})
}

func (w *world) engineNamed(name string) *engine {
	for _, e := range w.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (e *engine) wake() {
	if e.stepping || e.down {
		return
	}
	e.stepping = true
	e.step()
}

func (e *engine) step() {
	incarnation := e.incarnation
	var out, ended []*batch.Run
	took := e.core.Step(
		func(r *batch.Run) { out = append(out, r) },
		func(r *batch.Run) { ended = append(ended, r) },
	)
	if took == 0 {
		e.stepping = false
		return
	}
	e.w.after(took, func() {
		if e.incarnation != incarnation || e.down {
			return
		}
		for _, r := range out {
			e.w.recordToken(r)
		}
		for _, r := range ended {
			e.w.finishRun(r)
		}
		e.step()
	})
}

func (w *world) recordToken(r *batch.Run) {
	q := r.Tag.(*request)
	if q.run != r || q.finished {
		return
	}
	if q.tokens == 0 {
		w.rec.recordFirstToken(q, w.now.Sub(q.arrived))
	} else {
		w.rec.recordGap(w.now.Sub(q.lastTokenAt))
	}
	q.tokens++
	q.lastTokenAt = w.now
}

func (w *world) finishRun(r *batch.Run) {
	q := r.Tag.(*request)
	if q.run != r || q.finished {
		return
	}
	w.rec.result.Done++
	w.rec.result.Tokens += q.tokens
	w.rec.served[q.organisation] += float64(q.tokens)
	w.after(linkLatency, func() { q.box.finish(q, false) })
	q.finished = true
}

// report sends the engine's load to the boxes at intervals, with the policy's delay.
func (e *engine) report() {
	w := e.w
	w.every(w.policy.reportInterval(), func() {
		if e.down || w.frozen {
			return
		}
		load := e.load()
		for _, b := range w.boxes {
			w.after(w.policy.lag(b.isHome()), func() { b.updateLoad(load) })
		}
	})
}

func (e *engine) load() wire.EngineLoad {
	return wire.EngineLoad{
		Engine: e.name, Incarnation: e.incarnation, AtMs: int(e.w.now.UnixMilli()), Model: modelName,
		Role: "any", Capacity: batch.DefaultParams().Capacity, Used: e.core.Used(), Running: e.core.Running(),
		Waiting: e.core.Waiting(), Preemptions: e.core.Preemptions(), StepUs: int(e.core.StepTime().Microseconds()),
		Leaving: e.leaving, Ready: true,
	}
}

func (w *world) result() Result {
	for _, e := range w.engines {
		w.rec.result.Preemptions += e.core.Preemptions()
	}
	for _, q := range w.requests {
		if q.finished {
			continue
		}
		if q.tokens == 0 {
			w.rec.recordFirstToken(q, w.now.Sub(q.arrived))
			continue
		}
		if silent := w.now.Sub(q.lastTokenAt); silent > gapBound {
			w.rec.recordGap(silent)
		}
	}
	return w.rec.finish(len(w.requests))
}

func (w *world) reject(q *request, reason string) {
	q.finished = true
	w.rec.result.Refused[reason]++
}

// Encoded size of each message between boxes, from BenchmarkMessages in package peer.
const (
	grantRequestBytes = 166
	grantBytes        = 47
	endBytes          = 82 // settle message with one item
	settleBytes       = 52 // settle message without its items
	progressBytes     = 31 // one item of a settle message
	announcementBytes = 82
)

func (w *world) message(bytes int) {
	w.rec.result.Messages++
	w.rec.result.Bytes += bytes
}

func (w *world) requestByAttempt(attempt string) *request {
	dot := len(attempt) - 2
	for dot > 0 && attempt[dot] != '.' {
		dot--
	}
	i, err := strconv.Atoi(attempt[1:dot])
	if err != nil || i >= len(w.requests) {
		return nil
	}
	q := w.requests[i]
	if q.attempt() != attempt || q.finished {
		return nil
	}
	return q
}
