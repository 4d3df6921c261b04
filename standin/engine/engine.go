// Package engine is the stand-in model engine behind HTTP. It runs package batch in real
// time and retains generations for a while after their readers have disconnected, so that
// streams can be resumed.
package engine

import (
	"context"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"petrelstep/prefix"
	"petrelstep/standin/batch"
	"petrelstep/wire"
)

// Options configure a stand-in engine.
type Options struct {
	Name       string
	Model      string // loaded at the start; empty for none
	Platform   string // address of the weight store; empty to load without it
	Fenced     bool   // rejects orders with an older fence
	Seed       uint64
	Speed      float64       // factor by which steps are faster
	ReportLag  time.Duration // age of load reports
	DraftWords float64       // median length of drafts
	Length     int           // fixed length of every draft, for tests; 0 draws it
	Params     batch.Params
}

// endedRetention is how long a generation can be resumed after its end.
const endedRetention = 2 * time.Minute

// maxLength bounds the drawn length of a draft.
const maxLength = 16_384

type generation struct {
	run       *batch.Run
	prompt    int
	count     int
	why       wire.EngineEndWhy
	ended     time.Time
	published chan struct{} // closed and replaced with each token
}

// Engine is a stand-in engine. It is safe for use by several goroutines.
type Engine struct {
	mu          sync.Mutex
	options     Options
	core        *batch.Core
	generations map[string]*generation
	wake        chan struct{}
	load        wire.EngineLoad
	reports     []wire.EngineLoad
	leaving     bool
	reclaimed   bool
	dead        bool
	frozen      chan struct{} // closed to end a freeze; nil if not frozen
	history     []Started
	refused     int // rejected jobs
	cancelLoad  context.CancelFunc
}

// Started is an entry of the engine's history of generations and orders, for tests.
type Started struct {
	Attempt string
	Prompt  string
	Fence   int // of an order; 0 for a generation
	At      time.Time
}

// New returns an engine; Run runs it.
func New(options Options) *Engine {
	if options.Speed == 0 {
		options.Speed = 1
	}
	if options.DraftWords == 0 {
		options.DraftWords = 400
	}
	if options.Params.Capacity == 0 {
		options.Params = batch.DefaultParams()
	}
	e := &Engine{
		options:     options,
		core:        batch.New(options.Params),
		generations: map[string]*generation{},
		wake:        make(chan struct{}, 1),
	}
	e.load = wire.EngineLoad{
		Engine:      options.Name,
		Incarnation: int(time.Now().UnixMilli()),
		Model:       options.Model,
		Role:        "any",
		Capacity:    options.Params.Capacity,
		Ready:       options.Model != "",
	}
	return e
}

// Run executes the engine's steps until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	go e.reportLoop(ctx)
	for ctx.Err() == nil {
		if !e.awaitThaw(ctx) {
			return
		}
		took, publish := e.step()
		if took == 0 {
			select {
			case <-ctx.Done():
			case <-e.wake:
			}
			continue
		}
		if !sleep(ctx, time.Duration(float64(took)/e.options.Speed)) {
			return
		}
		publish()
	}
}

func (e *Engine) step() (time.Duration, func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return 0, nil
	}
	var out, ended []*batch.Run
	took := e.core.Step(
		func(r *batch.Run) { out = append(out, r) },
		func(r *batch.Run) { ended = append(ended, r) },
	)
	return took, func() { e.publish(out, ended) }
}

func (e *Engine) publish(out, ended []*batch.Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return
	}
	for _, r := range ended {
		e.finish(r.Tag.(*generation), wire.EngineEndWhyDone)
	}
	for _, r := range out {
		g := r.Tag.(*generation)
		if g.why == "" || g.why == wire.EngineEndWhyDone {
			g.count = min(r.Tokens, r.Length)
		}
		g.wakeReaders()
	}
}

func (e *Engine) finish(g *generation, why wire.EngineEndWhy) {
	g.why = why
	g.ended = time.Now()
	g.wakeReaders()
}

func (g *generation) wakeReaders() {
	close(g.published)
	g.published = make(chan struct{})
}

// submit starts a generation, or returns the one of the same attempt. It returns false if
// the engine rejects the job.
func (e *Engine) submit(job wire.EngineJob) (*generation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead || e.leaving || !e.load.Ready || job.Model != e.load.Model {
		e.refused++
		return nil, false
	}
	if g, ok := e.generations[job.Attempt]; ok {
		return g, true
	}
	e.forgetEnded()
	words := len(strings.Fields(job.Prompt))
	g := &generation{prompt: words, published: make(chan struct{})}
	g.run = e.core.Submit(time.Now(), batch.Job{
		Attempt:  job.Attempt,
		Prompt:   max(words, 1),
		Blocks:   prefix.Chain(job.Prompt),
		Priority: job.Priority,
		Length:   min(e.hiddenLength(job), job.MaxTokens),
		Tag:      g,
	})
	e.generations[job.Attempt] = g
	e.history = append(e.history, Started{Attempt: job.Attempt, Prompt: job.Prompt, At: time.Now()})
	e.wakeUp()
	return g, true
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// hiddenLength draws a generation's length from its attempt, so that callers can't know it.
func (e *Engine) hiddenLength(job wire.EngineJob) int {
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(job.Attempt), e.options.Seed))
	switch job.Class {
	case "check":
		return 4 + rng.IntN(60)
	case "lookup":
		return 2 + rng.IntN(22)
	}
	if e.options.Length > 0 {
		return e.options.Length
	}
	return min(int(e.options.DraftWords*math.Exp(0.8*rng.NormFloat64()))+16, maxLength)
}

func (e *Engine) forgetEnded() {
	for id, g := range e.generations {
		if g.why != "" && time.Since(g.ended) > endedRetention {
			delete(e.generations, id)
		}
	}
}

// cancel cancels a generation and reports whether it ever started. Cancelling an unknown
// attempt prevents it from starting later.
func (e *Engine) cancel(attempt string) wire.CancelAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.generations[attempt]
	if !ok {
		g = &generation{published: make(chan struct{}), why: wire.EngineEndWhyCancelled, ended: time.Now()}
		e.generations[attempt] = g
		return wire.CancelAnswer{State: wire.CancelAnswerStateNeverStarted}
	}
	if g.run == nil {
		return wire.CancelAnswer{State: wire.CancelAnswerStateNeverStarted}
	}
	if g.why == wire.EngineEndWhyDone {
		return wire.CancelAnswer{State: wire.CancelAnswerStateFinished, Count: g.count}
	}
	e.core.Cancel(attempt)
	if g.why == "" {
		e.finish(g, wire.EngineEndWhyCancelled)
	}
	if !g.run.Started() {
		return wire.CancelAnswer{State: wire.CancelAnswerStateNeverStarted}
	}
	return wire.CancelAnswer{State: wire.CancelAnswerStateCancelled, Count: g.count}
}

// reportLoop records load reports, which readers get with a delay of ReportLag.
func (e *Engine) reportLoop(ctx context.Context) {
	const every = 100 * time.Millisecond
	for sleep(ctx, every) {
		e.mu.Lock()
		e.reports = append(e.reports, e.snapshot())
		if keep := int(e.options.ReportLag/every) + 1; len(e.reports) > keep {
			e.reports = e.reports[len(e.reports)-keep:]
		}
		e.mu.Unlock()
	}
}

func (e *Engine) snapshot() wire.EngineLoad {
	l := e.load
	l.AtMs = int(time.Now().UnixMilli())
	l.Used, l.Running, l.Waiting = e.core.Used(), e.core.Running(), e.core.Waiting()
	l.Preemptions = e.core.Preemptions()
	l.StepUs = int(float64(e.core.StepTime().Microseconds()) / e.options.Speed)
	l.Leaving = e.leaving
	return l
}

// History returns what was started, in order.
func (e *Engine) History() []Started {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Started{}, e.history...)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Running returns the number of generations that run or wait.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Running() + e.core.Waiting()
}

// Refused returns the number of rejected jobs.
func (e *Engine) Refused() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refused
}
