package home

import (
	"math"
	"slices"
	"time"

	"petrelstep/forecast"
	"petrelstep/outputlen"
	"petrelstep/prefix"
	"petrelstep/wire"
)

const (
	// refreshEvery is how old an engine's forecast may get.
	refreshEvery = 250 * time.Millisecond
	// prefillPerToken spaces new prompts on one engine: a prompt's work holds
	// up the streams that run there.
	prefillPerToken = 25 * time.Microsecond
	// prefillAhead is how much prefill may be outstanding on an engine.
	prefillAhead = 40 * time.Millisecond
	// fillLimit is the part of an engine's memory that grants may fill.
	fillLimit = 0.995
	// prefixBlocks bounds the prefix estimate of one engine, in blocks.
	prefixBlocks = 256
	// cachedWorth is what a saved prompt token is worth against a token of
	// spare memory when engines are compared.
	cachedWorth = 2.0
	// goneAfter is how long an engine without reports may get grants.
	goneAfter = 4 * time.Second
)

type run struct {
	attempt string
	key     outputlen.Key
	prompt  int
	most    int
	tokens  int       // as last told
	at      time.Time // when it was told
	since   time.Time // granted
	engine  *engine
}

type engine struct {
	name         string
	load         wire.EngineLoad
	at           time.Time // of the report, by the engine's clock
	heard        time.Time // when it came
	runs         []*run    // in the order of their grants, so that sums repeat
	foreign      foreign
	demand       forecast.Demand
	refreshed    time.Time
	stale        bool
	prefillUntil time.Time
	prefixes     *prefix.Prefixes
	announced    []announcement // by peers, since the report
}

type announcement struct {
	at     time.Time
	tokens int
}

// foreign follows the memory that this home box did not grant: calls that
// pass without a grant, above all.
type foreign struct {
	mean, variance float64
	seen           bool
}

func (f *foreign) observe(tokens float64) {
	const follow = 0.15
	if !f.seen {
		f.mean, f.seen = tokens, true
		return
	}
	d := tokens - f.mean
	f.mean += follow * d
	f.variance = (1 - follow) * (f.variance + follow*d*d)
}

func (h *Home) engine(name string) *engine {
	e, ok := h.engines[name]
	if !ok {
		e = &engine{name: name, prefixes: prefix.New(prefixBlocks), stale: true}
		h.engines[name] = e
	}
	return e
}

func (e *engine) drop(r *run) {
	for i := range e.runs {
		if e.runs[i] == r {
			e.runs = append(e.runs[:i], e.runs[i+1:]...)
			return
		}
	}
}

func (e *engine) step() time.Duration {
	if e.load.StepUs > 0 {
		return time.Duration(e.load.StepUs) * time.Microsecond
	}
	return typicalStep
}

// tokensOf estimates how far a generation is, from when it was last told of
// and the pace of the engine.
func (e *engine) tokensOf(r *run, now time.Time) int {
	ahead := now.Sub(r.at)
	if ahead <= 0 {
		return r.tokens
	}
	return min(r.tokens+int(ahead/e.step()), r.most)
}

func (e *engine) announcedTokens() int {
	sum := 0
	for _, a := range e.announced {
		sum += a.tokens
	}
	return sum
}

// seen drops the announcements that a report already shows.
func (e *engine) seen(at time.Time) {
	kept := e.announced[:0]
	for _, a := range e.announced {
		if a.at.After(at) {
			kept = append(kept, a)
		}
	}
	e.announced = kept
}

// heldAt estimates the granted memory in use at a time.
func (e *engine) heldAt(t time.Time) int {
	held := 0
	for _, r := range e.runs {
		if !r.since.After(t) {
			held += r.prompt + e.tokensOf(r, t)
		}
	}
	return held
}

// refresh works out anew the forecasts that are out of date.
func (h *Home) refresh(now time.Time) {
	for _, name := range h.names {
		e := h.engine(name)
		if !e.stale && now.Sub(e.refreshed) < refreshEvery {
			continue
		}
		e.demand = forecast.Demand{}
		for _, r := range e.runs {
			e.demand = e.demand.With(h.needOf(e, r, now).Demand())
		}
		e.stale, e.refreshed = false, now
	}
}

func (h *Home) needOf(e *engine, r *run, now time.Time) forecast.Need {
	return forecast.Need{
		Prompt:    r.prompt,
		Tokens:    e.tokensOf(r, now),
		MaxTokens: r.most,
		Curve:     h.lengths.Curve(r.key),
	}
}

// limit returns the memory that granted generations may come to need, in tokens.
func (h *Home) limit(e *engine) float64 {
	free := fillLimit*float64(e.load.Capacity) - e.foreign.mean - float64(e.announcedTokens())
	if h.params.Share >= 1 {
		return free
	}
	held := e.demand.Mean()
	return held + h.params.Share*(free-held)
}

// choose returns the engine with the most to spare among those that fit.
func (h *Home) choose(now time.Time, ask wire.Ask) *engine {
	need := h.need(ask).Demand()
	chain := chainOf(ask.Prefix)
	var best *engine
	most := math.Inf(-1)
	for _, name := range h.candidates() {
		e := h.engine(name)
		if !h.open(now, e, ask) {
			continue
		}
		left := h.limit(e) - e.demand.With(need).Peak(h.spare.now, e.foreign.variance)
		if left < 0 && !e.idle() || !h.paced(e, ask) {
			continue
		}
		worth := left + cachedWorth*float64(e.prefixes.Match(chain))
		if worth > most {
			best, most = e, worth
		}
	}
	return best
}

// idle tells whether an engine runs nothing: then it takes even a request
// that would not fit, which would fit nowhere.
func (e *engine) idle() bool {
	return len(e.runs) == 0 && e.load.Running+e.load.Waiting == 0
}

// candidates returns the engines to look at: all, or a turn of a few.
func (h *Home) candidates() []string {
	n := h.params.Choices
	if n == 0 || n >= len(h.names) {
		return h.names
	}
	chosen := make([]string, 0, n)
	for range n {
		// A stride that shares no factor with small counts spreads the looks.
		h.turn += 7
		chosen = append(chosen, h.names[h.turn%len(h.names)])
	}
	return chosen
}

// open tells whether an engine may get this request at all.
func (h *Home) open(now time.Time, e *engine, ask wire.Ask) bool {
	l := e.load
	if l.Engine == "" || l.Leaving || !l.Ready || l.Role == "prefill" || now.Sub(e.heard) > goneAfter {
		return false
	}
	if l.Model != ask.Model || ask.Adapter != "" && !slices.Contains(l.Adapters, ask.Adapter) || slices.Contains(ask.Avoid, e.name) {
		return false
	}
	if e.prefillUntil.Sub(now) > prefillAhead {
		return false
	}
	return h.health.Eligible(now, e.name)
}

// paced tells whether the time between tokens stays within its bound with
// one more generation.
func (h *Home) paced(e *engine, ask wire.Ask) bool {
	bound, ok := h.params.Gaps[ask.Model]
	if !ok {
		bound = h.params.GapBound
	}
	if bound == 0 {
		return true
	}
	step := h.paceOf(ask.Model).Step(len(e.runs)+1, int(e.demand.Mean())+ask.Prompt)
	return step <= bound
}

// roomy tells whether memory lies idle while requests wait.
func (h *Home) roomy() bool {
	used, capacity := 0, 0
	for _, name := range h.names {
		e := h.engine(name)
		used += e.load.Used
		capacity += e.load.Capacity
	}
	return float64(used) < idleBelow*float64(capacity)
}

// idleBelow is the part of memory in use below which the spare may shrink.
const idleBelow = 0.85

func chainOf(hashes []int) []uint64 {
	chain := make([]uint64, len(hashes))
	for i, h := range hashes {
		chain[i] = uint64(h)
	}
	return chain
}
