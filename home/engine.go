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
	// refreshInterval is the maximum age of an engine's forecast.
	refreshInterval = 250 * time.Millisecond
	// prefillPerToken is the assumed prefill time. New prompts on one engine are
	// spaced by it, as a prefill stalls the streams that run there.
	prefillPerToken = 25 * time.Microsecond
	// maxPrefillBacklog bounds the outstanding prefill of an engine.
	maxPrefillBacklog = 40 * time.Millisecond
	// fillLimit is the fraction of an engine's memory that grants may fill.
	fillLimit = 0.995
	// prefixBlocks bounds the prefix estimate of one engine, in blocks.
	prefixBlocks = 256
	// cachedTokenWeight is the value of a cached prompt token relative to a token
	// of free memory when engines are compared.
	cachedTokenWeight = 2.0
	// reportTimeout is how long after its last report an engine may get grants.
	reportTimeout = 4 * time.Second
)

// run is a granted generation in flight.
type run struct {
	attempt   string
	key       outputlen.Key
	prompt    int
	maxTokens int
	tokens    int       // as last reported
	at        time.Time // of the last report
	since     time.Time // of the grant
	engine    *engine
}

type engine struct {
	name         string
	load         wire.EngineLoad
	at           time.Time // of the report, by the engine's clock
	lastSeen     time.Time // arrival of the report
	runs         []*run    // in the order of their grants, for reproducible sums
	foreign      foreign
	demand       forecast.Demand
	refreshed    time.Time
	stale        bool
	prefillUntil time.Time
	prefixes     *prefix.Prefixes
	announced    []announcement // by peers since the report
}

// announcement is a prompt that a peer sent to the engine without a grant.
type announcement struct {
	at     time.Time
	tokens int
}

// foreign estimates the memory in use that this home box did not grant, mainly
// by requests placed without a grant.
type foreign struct {
	mean, variance float64
	initialized    bool
}

func (f *foreign) observe(tokens float64) {
	const smoothing = 0.15
	if !f.initialized {
		f.mean, f.initialized = tokens, true
		return
	}
	d := tokens - f.mean
	f.mean += smoothing * d
	f.variance = (1 - smoothing) * (f.variance + smoothing*d*d)
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

func (e *engine) stepTime() time.Duration {
	if e.load.StepUs > 0 {
		return time.Duration(e.load.StepUs) * time.Microsecond
	}
	return defaultStep
}

// tokensOf extrapolates a generation's tokens from its last report by the
// engine's step time.
func (e *engine) tokensOf(r *run, now time.Time) int {
	ahead := now.Sub(r.at)
	if ahead <= 0 {
		return r.tokens
	}
	return min(r.tokens+int(ahead/e.stepTime()), r.maxTokens)
}

func (e *engine) announcedTokens() int {
	sum := 0
	for _, a := range e.announced {
		sum += a.tokens
	}
	return sum
}

// dropAnnounced drops the announcements that the report of time at covers.
func (e *engine) dropAnnounced(at time.Time) {
	kept := e.announced[:0]
	for _, a := range e.announced {
		if a.at.After(at) {
			kept = append(kept, a)
		}
	}
	e.announced = kept
}

// heldAt estimates the granted memory in use at a time, in tokens.
func (e *engine) heldAt(t time.Time) int {
	held := 0
	for _, r := range e.runs {
		if !r.since.After(t) {
			held += r.prompt + e.tokensOf(r, t)
		}
	}
	return held
}

// refresh recomputes the forecasts that are out of date.
func (h *Home) refresh(now time.Time) {
	for _, name := range h.names {
		e := h.engine(name)
		if !e.stale && now.Sub(e.refreshed) < refreshInterval {
			continue
		}
		e.demand = forecast.Demand{}
		for _, r := range e.runs {
			e.demand = e.demand.With(h.remainingNeed(e, r, now).Demand())
		}
		e.stale, e.refreshed = false, now
	}
}

func (h *Home) remainingNeed(e *engine, r *run, now time.Time) forecast.Need {
	return forecast.Need{
		Prompt:    r.prompt,
		Tokens:    e.tokensOf(r, now),
		MaxTokens: r.maxTokens,
		Curve:     h.lengths.Curve(r.key),
	}
}

// limit returns the memory available to granted generations, in tokens.
func (h *Home) limit(e *engine) float64 {
	free := fillLimit*float64(e.load.Capacity) - e.foreign.mean - float64(e.announcedTokens())
	if h.params.Share >= 1 {
		return free
	}
	held := e.demand.Mean()
	return held + h.params.Share*(free-held)
}

// choose returns the engine with the most free memory and cached prefix among
// those that the request fits, or nil.
func (h *Home) choose(now time.Time, ask wire.Ask) *engine {
	need := h.need(ask).Demand()
	chain := chainOf(ask.Prefix)
	var best *engine
	highest := math.Inf(-1)
	for _, name := range h.candidates() {
		e := h.engine(name)
		if !h.accepts(now, e, ask) {
			continue
		}
		left := h.limit(e) - e.demand.With(need).Peak(h.margin.now, e.foreign.variance)
		if left < 0 && !e.idle() || !h.withinStepBound(e, ask) {
			continue
		}
		score := left + cachedTokenWeight*float64(e.prefixes.Match(chain))
		if score > highest {
			best, highest = e, score
		}
	}
	return best
}

// idle reports whether an engine runs nothing. An idle engine accepts even a
// request that does not fit, which would otherwise never be granted.
func (e *engine) idle() bool {
	return len(e.runs) == 0 && e.load.Running+e.load.Waiting == 0
}

// candidates returns the engines to consider: all, or the next few in rotation.
func (h *Home) candidates() []string {
	n := h.params.Choices
	if n == 0 || n >= len(h.names) {
		return h.names
	}
	chosen := make([]string, 0, n)
	for range n {
		// A stride coprime to small counts spreads the choices.
		h.nextCandidate += 7
		chosen = append(chosen, h.names[h.nextCandidate%len(h.names)])
	}
	return chosen
}

// accepts reports whether an engine may serve a request, memory aside.
func (h *Home) accepts(now time.Time, e *engine, ask wire.Ask) bool {
	l := e.load
	if l.Engine == "" || l.Leaving || !l.Ready || l.Role == "prefill" || now.Sub(e.lastSeen) > reportTimeout {
		return false
	}
	if l.Model != ask.Model || ask.Adapter != "" && !slices.Contains(l.Adapters, ask.Adapter) || slices.Contains(ask.Avoid, e.name) {
		return false
	}
	if e.prefillUntil.Sub(now) > maxPrefillBacklog {
		return false
	}
	return h.health.Eligible(now, e.name)
}

// withinStepBound reports whether the step time stays within its bound with one
// more generation.
func (h *Home) withinStepBound(e *engine, ask wire.Ask) bool {
	bound, ok := h.params.Gaps[ask.Model]
	if !ok {
		bound = h.params.GapBound
	}
	if bound == 0 {
		return true
	}
	step := h.stepTimeOf(ask.Model).Step(len(e.runs)+1, int(e.demand.Mean())+ask.Prompt)
	return step <= bound
}

// underused reports whether the engines' memory use is below underusedBelow.
func (h *Home) underused() bool {
	used, capacity := 0, 0
	for _, name := range h.names {
		e := h.engine(name)
		used += e.load.Used
		capacity += e.load.Capacity
	}
	return float64(used) < underusedBelow*float64(capacity)
}

// underusedBelow is the fraction of memory in use below which the margin may
// shrink.
const underusedBelow = 0.85

func chainOf(hashes []int) []uint64 {
	chain := make([]uint64, len(hashes))
	for i, h := range hashes {
		chain[i] = uint64(h)
	}
	return chain
}
