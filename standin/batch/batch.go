// Package batch is the heart of the stand-in engine: continuous batching in
// steps with memory counted in tokens, a prefix cache, priorities and
// preemption by recompute. It takes the time as an argument, so that the same
// code runs behind HTTP and in virtual time.
package batch

import (
	"sort"
	"time"

	"petrelstep/standin/blocks"
)

// Params describes the engine that is stood in for.
type Params struct {
	Capacity       int           // memory, tokens
	PrefixCapacity int           // prefix cache, tokens
	MaxBatch       int           // generations that run at once
	PrefillChunk   int           // prompt tokens worked on in a step
	StepBase       time.Duration // a step's fixed cost
	StepPerRun     time.Duration // for each generation in the batch
	StepPerKToken  time.Duration // for each thousand tokens in memory
	PrefillPerTok  time.Duration // for each prompt token worked on
}

// DefaultParams returns the engine of the starting design's trial: 60,000 tokens.
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

// Job is one generation asked of the engine. Length is its hidden end.
type Job struct {
	Attempt  string
	Prompt   int      // tokens
	Blocks   []uint64 // chain hashes of the prompt's prefix blocks
	Priority int      // higher is served first and preempted last
	Length   int      // tokens it will have; callers never see it
	Tag      any      // the harness's own
}

// Run is a generation within the engine.
type Run struct {
	Job
	Arrived     time.Time
	Tokens      int // generated so far
	Cached      int // prompt tokens found in the prefix cache
	Preemptions int
	prefill     int // tokens still to be worked on before it decodes
	order       uint64
	started     bool
	running     bool
}

// Started says whether any work was ever done for it.
func (r *Run) Started() bool { return r.started }

func (r *Run) held() int { return r.Prompt + r.Tokens }

// Core is one engine. It is not safe for use by several goroutines.
type Core struct {
	params   Params
	prefixes *blocks.Cache
	running  []*Run
	waiting  []*Run // by priority, then arrival
	runs     map[string]*Run
	used     int
	orders   uint64
	preempts int
	stepTime time.Duration
}

// New returns an idle engine.
func New(params Params) *Core {
	return &Core{params: params, prefixes: blocks.New(params.PrefixCapacity), runs: map[string]*Run{}}
}

// Used returns memory in use, in tokens.
func (c *Core) Used() int { return c.used }

// Running returns how many generations are in the batch.
func (c *Core) Running() int { return len(c.running) }

// Waiting returns how many wait for room.
func (c *Core) Waiting() int { return len(c.waiting) }

// Preemptions counts since the start.
func (c *Core) Preemptions() int { return c.preempts }

// StepTime returns the decayed mean duration of a step.
func (c *Core) StepTime() time.Duration { return c.stepTime }

// Cache returns the prefix cache.
func (c *Core) Cache() *blocks.Cache { return c.prefixes }

// Runs returns what is in the engine, by attempt.
func (c *Core) Runs() map[string]*Run { return c.runs }

// Submit takes a job. The same attempt again changes nothing.
func (c *Core) Submit(now time.Time, job Job) *Run {
	if r, ok := c.runs[job.Attempt]; ok {
		return r
	}
	c.orders++
	r := &Run{Job: job, Arrived: now, order: c.orders}
	c.runs[job.Attempt] = r
	c.wait(r)
	return r
}

// Cancel takes a generation out; nil if the engine does not hold it.
func (c *Core) Cancel(attempt string) *Run {
	r, ok := c.runs[attempt]
	if !ok {
		return nil
	}
	c.drop(r)
	return r
}

// Clear loses everything, as an engine that dies does, and returns what it held.
func (c *Core) Clear() []*Run {
	lost := append(append([]*Run{}, c.running...), c.waiting...)
	c.running, c.waiting, c.used = nil, nil, 0
	c.runs = map[string]*Run{}
	return lost
}

// Step does one step. It calls token for each generation that gets a token
// at the step's end, and end for each that is whole with it. It returns how
// long the step takes; zero if there is nothing to do.
func (c *Core) Step(token func(*Run), end func(*Run)) time.Duration {
	c.makeRoom()
	c.admit()
	if len(c.running) == 0 {
		return 0
	}
	worked := c.prefillSome()
	took := c.duration(worked)
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

// makeRoom preempts until every running generation can grow by one token.
func (c *Core) makeRoom() {
	for len(c.running) > 1 && c.used+len(c.running) > c.params.Capacity {
		victim := c.running[0]
		for _, r := range c.running[1:] {
			if r.Priority < victim.Priority || r.Priority == victim.Priority && r.order > victim.order {
				victim = r
			}
		}
		c.preempts++
		victim.Preemptions++
		c.stop(victim)
		c.wait(victim)
	}
}

// admit lets waiting generations in, in order; the first that does not fit
// holds up the rest, as engines do to keep their order.
func (c *Core) admit() {
	for len(c.waiting) > 0 && len(c.running) < c.params.MaxBatch {
		r := c.waiting[0]
		if len(c.running) > 0 && c.used+r.held()+len(c.running)+1 > c.params.Capacity*99/100 {
			return
		}
		c.waiting = c.waiting[1:]
		r.Cached = min(c.prefixes.Match(r.Blocks), r.Prompt)
		r.prefill = r.held() - r.Cached
		r.started, r.running = true, true
		c.used += r.held()
		c.running = append(c.running, r)
	}
}

func (c *Core) prefillSome() int {
	left := c.params.PrefillChunk
	for _, r := range c.running {
		if r.prefill == 0 {
			continue
		}
		n := min(left, r.prefill)
		r.prefill -= n
		left -= n
		if r.prefill == 0 {
			c.prefixes.Store(r.Blocks)
		}
		if left == 0 {
			break
		}
	}
	return c.params.PrefillChunk - left
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
		c.used -= r.held()
		delete(c.runs, r.Attempt)
		end(r)
	}
	c.running = kept
}

func (c *Core) wait(r *Run) {
	r.running = false
	i := sort.Search(len(c.waiting), func(i int) bool {
		w := c.waiting[i]
		return w.Priority < r.Priority || w.Priority == r.Priority && w.order > r.order
	})
	c.waiting = append(c.waiting, nil)
	copy(c.waiting[i+1:], c.waiting[i:])
	c.waiting[i] = r
}

func (c *Core) stop(r *Run) {
	c.used -= r.held()
	c.running = without(c.running, r)
}

func (c *Core) drop(r *Run) {
	delete(c.runs, r.Attempt)
	if r.running {
		c.stop(r)
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
