// Package batch simulates the core of a model engine: continuous batching in steps, with
// memory counted in tokens, a prefix cache, priorities and preemption by recompute. Time is
// an argument, so that the same code runs behind HTTP and in virtual time.
package batch

import (
	"sort"
	"time"

	"petrelstep/standin/blocks"
)

// Params describes the simulated engine.
type Params struct {
	Capacity       int           // memory, tokens
	PrefixCapacity int           // prefix cache, tokens
	MaxBatch       int           // concurrent generations
	PrefillChunk   int           // prompt tokens prefilled per step
	StepBase       time.Duration // fixed cost of a step
	StepPerRun     time.Duration // cost per generation in the batch
	StepPerKToken  time.Duration // cost per thousand tokens in memory
	PrefillPerTok  time.Duration // cost per prefilled prompt token
}

// DefaultParams returns the parameters of an engine with memory for 60,000 tokens.
func DefaultParams() Params {
	return Params{
		Capacity:       60_000,
		PrefixCapacity: 20_000,
		MaxBatch:       128,
		PrefillChunk:   4096,
		StepBase:       12 * time.Millisecond,
		StepPerRun:     100 * time.Microsecond,
		StepPerKToken:  100 * time.Microsecond,
		PrefillPerTok:  20 * time.Microsecond,
	}
}

// Job is a requested generation.
type Job struct {
	Attempt  string
	Prompt   int      // tokens
	Blocks   []uint64 // chain hashes of the prompt's prefix blocks
	Priority int      // higher is served first and preempted last
	Length   int      // number of tokens it will generate, unknown to callers
	Tag      any      // for the caller's use
}

// Run is a generation within the engine.
type Run struct {
	Job
	Arrived     time.Time
	Tokens      int // generated so far
	Cached      int // prompt tokens found in the prefix cache
	Preemptions int
	prefill     int // tokens still to be prefilled before it decodes
	order       uint64
	started     bool
	running     bool
}

// Started reports whether the engine has ever worked on it.
func (r *Run) Started() bool { return r.started }

func (r *Run) footprint() int { return r.Prompt + r.Tokens }

// Core is the state of one engine. It is not safe for use by several goroutines.
type Core struct {
	params    Params
	prefixes  *blocks.Cache
	running   []*Run
	waiting   []*Run // by priority, then arrival
	runs      map[string]*Run
	used      int
	nextOrder uint64
	preempts  int
	stepTime  time.Duration
}

// New returns an idle engine.
func New(params Params) *Core {
	return &Core{params: params, prefixes: blocks.New(params.PrefixCapacity), runs: map[string]*Run{}}
}

// Used returns the memory in use, in tokens.
func (c *Core) Used() int { return c.used }

// Running returns the number of generations in the batch.
func (c *Core) Running() int { return len(c.running) }

// Waiting returns the number of generations that wait for memory.
func (c *Core) Waiting() int { return len(c.waiting) }

// Preemptions returns the number of preemptions since the start.
func (c *Core) Preemptions() int { return c.preempts }

// StepTime returns the decayed mean duration of a step.
func (c *Core) StepTime() time.Duration { return c.stepTime }

// Cache returns the prefix cache.
func (c *Core) Cache() *blocks.Cache { return c.prefixes }

// Runs returns the generations in the engine, by attempt.
func (c *Core) Runs() map[string]*Run { return c.runs }

// Submit adds a job, or returns the run of the same attempt.
func (c *Core) Submit(now time.Time, job Job) *Run {
	if r, ok := c.runs[job.Attempt]; ok {
		return r
	}
	c.nextOrder++
	r := &Run{Job: job, Arrived: now, order: c.nextOrder}
	c.runs[job.Attempt] = r
	c.enqueue(r)
	return r
}

// Cancel removes and returns a generation; nil if the engine doesn't have it.
func (c *Core) Cancel(attempt string) *Run {
	r, ok := c.runs[attempt]
	if !ok {
		return nil
	}
	c.remove(r)
	return r
}

// Clear removes and returns all generations, as a crash of the engine would lose them.
func (c *Core) Clear() []*Run {
	lost := append(append([]*Run{}, c.running...), c.waiting...)
	c.running, c.waiting, c.used = nil, nil, 0
	c.runs = map[string]*Run{}
	return lost
}

// Step does one step. It calls token for each generation that gets a token at the step's
// end, and end for each that is complete with it. It returns the step's duration; zero if
// there is nothing to do.
func (c *Core) Step(token func(*Run), end func(*Run)) time.Duration {
	c.preemptForSpace()
	c.admit()
	if len(c.running) == 0 {
		return 0
	}
	prefilled := c.prefillChunk()
	took := c.duration(prefilled)
	c.stepTime += (took - c.stepTime) / 16
	c.decode(token, end)
	return took
}

func (c *Core) duration(prefilled int) time.Duration {
	p := c.params
	return p.StepBase +
		time.Duration(len(c.running))*p.StepPerRun +
		time.Duration(c.used)*p.StepPerKToken/1000 +
		time.Duration(prefilled)*p.PrefillPerTok
}

// preemptForSpace preempts until every running generation can grow by one token.
func (c *Core) preemptForSpace() {
	for len(c.running) > 1 && c.used+len(c.running) > c.params.Capacity {
		victim := c.running[0]
		for _, r := range c.running[1:] {
			if r.Priority < victim.Priority || r.Priority == victim.Priority && r.order > victim.order {
				victim = r
			}
		}
		c.preempts++
		victim.Preemptions++
		c.removeRunning(victim)
		c.enqueue(victim)
	}
}

// admit starts waiting generations in order; the first that doesn't fit blocks the others,
// as in real engines.
func (c *Core) admit() {
	for len(c.waiting) > 0 && len(c.running) < c.params.MaxBatch {
		r := c.waiting[0]
		if len(c.running) > 0 && c.used+r.footprint()+len(c.running)+1 > c.params.Capacity*99/100 {
			return
		}
		c.waiting = c.waiting[1:]
		r.Cached = min(c.prefixes.Match(r.Blocks), r.Prompt)
		r.prefill = r.footprint() - r.Cached
		r.started, r.running = true, true
		c.used += r.footprint()
		c.running = append(c.running, r)
	}
}

func (c *Core) prefillChunk() int {
	remaining := c.params.PrefillChunk
	for _, r := range c.running {
		if r.prefill == 0 {
			continue
		}
		n := min(remaining, r.prefill)
		r.prefill -= n
		remaining -= n
		if r.prefill == 0 {
			c.prefixes.Store(r.Blocks)
		}
		if remaining == 0 {
			break
		}
	}
	return c.params.PrefillChunk - remaining
}

func (c *Core) decode(token func(*Run), end func(*Run)) {
	kept := c.running[:0]
	for _, r := range c.running {
		if r.prefill > 0 {
			kept = append(kept, r)
			continue
		}
		r.Tokens++
		c.used++
		token(r)
		if r.Tokens < r.Length {
			kept = append(kept, r)
			continue
		}
		c.used -= r.footprint()
		delete(c.runs, r.Attempt)
		end(r)
	}
	c.running = kept
}

func (c *Core) enqueue(r *Run) {
	r.running = false
	i := sort.Search(len(c.waiting), func(i int) bool {
		w := c.waiting[i]
		return w.Priority < r.Priority || w.Priority == r.Priority && w.order > r.order
	})
	c.waiting = append(c.waiting, nil)
	copy(c.waiting[i+1:], c.waiting[i:])
	c.waiting[i] = r
}

func (c *Core) removeRunning(r *Run) {
	c.used -= r.footprint()
	c.running = without(c.running, r)
}

func (c *Core) remove(r *Run) {
	delete(c.runs, r.Attempt)
	if r.running {
		c.removeRunning(r)
		return
	}
	c.waiting = without(c.waiting, r)
}

func without(runs []*Run, r *Run) []*Run {
	for i := range runs {
		if runs[i] == r {
			return append(runs[:i], runs[i+1:]...)
		}
	}
	return runs
}
