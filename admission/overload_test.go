package admission_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/admission"
	"petrelstep/balance/shares"
	"petrelstep/balance/speeds"
	"petrelstep/fleet"
	"petrelstep/logs"
	"petrelstep/picker"
	"petrelstep/prefill"
	"petrelstep/refusal"
	"petrelstep/reliability"
	"petrelstep/route"
	"petrelstep/standin/batch"
	"petrelstep/upstreamload"
)

// Each box of a simulation knows the load of the others from their reports.
const (
	simBoxes       = 6
	simEngines     = 12
	simDuration    = 24 * time.Second
	reportInterval = 250 * time.Millisecond
	draftsRate     = 5.0 // per second
	checksRate     = 8.0
	eventTokens    = 4
	maxPause       = 180 * time.Millisecond
	// maxHeldFraction of its aim is the longest that a request should be held before it is
	// refused: until a quarter of it, the caller can still be in time with a retry.
	maxHeldFraction = 0.3
	// maxHeldPercent of the refused requests may be held longer over all scenarios, and
	// maxHeldPercentEach in each.
	maxHeldPercent, maxHeldPercentEach = 2, 5
	// eventSpacing separates the events of one step. Callers that wake up at the same moment
	// would run in random order.
	eventSpacing = time.Microsecond
	// callTimeout is how long a call waits. It is no multiple of the round interval, as rounds
	// and timeouts at the same moment would happen in random order.
	callTimeout = 300*time.Millisecond + 11*time.Microsecond
	// maxCallDelay is the longest delay of the owner's answer, which differs between requests.
	// Requests admitted in the same round would otherwise reach the engines in random order.
	maxCallDelay = 100 * time.Microsecond
	// maxPreempted is the number of requests of some 500 that may be preempted in a burst.
	maxPreempted = 25
)

// Worth of an answer to its users: complete and in time, in time after an early refusal and
// a retry, or late.
const (
	worthInTime  = 1.0
	worthRetried = 0.57
	worthLate    = 0.15
)

var simService = route.Service{Name: "llm", Engine: &route.Engine{Slots: 24, Memory: 34000, EventTokens: eventTokens}}

func simEngineParams(slow int) batch.Params {
	return batch.Params{
		Capacity: 34000, MaxBatch: 24, PrefillChunk: 112, StepBase: time.Duration(slow) * 7 * time.Millisecond,
		StepPerRun: time.Duration(slow) * 120 * time.Microsecond, PrefillPerTok: time.Duration(slow) * 71 * time.Microsecond,
	}
}

// scenario holds the load, the changes of the engines and the policy of a simulation.
type scenario struct {
	burst       float64 // factor on the rate of requests from 6 to 12 s
	slow        int     // number of engines that are four times slower
	load        float64 // factor on the rate all the time, varying by a quarter over 11 s; 0 for a constant rate
	evacuations bool    // the halls are evacuated one after another, for 4 s each
	uneven      bool    // every other engine is slow, and a sixth of all is replaced every 3.3 s
	speeds      bool    // engines' speeds are learned and considered
	queue       bool    // otherwise each box sends directly to the least loaded engine

	largeBurst float64 // factor on the large organisation's rate from 6 to 15 s
	shares     bool    // the owner of the queue applies fair shares
	seed       uint64
	urgency    int // of the large organisation's drafts; that of others' is 1
}

// simEngine is a simulated engine in virtual time.
type simEngine struct {
	mu     sync.Mutex
	core   *batch.Core
	wake   chan struct{}
	events map[string]chan int // receive the tokens generated so far, by attempt
}

// work steps the engine until ctx ends.
func (e *simEngine) work(ctx context.Context) {
	for ctx.Err() == nil {
		generated := map[string]int{}
		record := func(r *batch.Run) { generated[r.Attempt] = r.Tokens }
		e.mu.Lock()
		took := e.core.Step(record, record)
		e.mu.Unlock()
		if took == 0 {
			select {
			case <-ctx.Done():
			case <-e.wake:
			}
			continue
		}
		time.Sleep(took)
		for _, attempt := range slices.Sorted(maps.Keys(generated)) {
			e.send(attempt, generated[attempt])
			time.Sleep(eventSpacing)
		}
	}
}

// send sends an event if one is due.
func (e *simEngine) send(attempt string, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c, ok := e.events[attempt]; ok && (tokens%eventTokens == 1 || e.core.Runs()[attempt] == nil) {
		c <- tokens
	}
}

func (e *simEngine) submit(now time.Time, job batch.Job) chan int {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := make(chan int, job.Length+1)
	e.events[job.Attempt] = c
	e.core.Submit(now, job)
	select {
	case e.wake <- struct{}{}:
	default: // it is running or about to wake up
	}
	return c
}

func (e *simEngine) cancel(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.Cancel(attempt)
	delete(e.events, attempt)
}

// simulation runs several boxes with simulated engines in virtual time.
type simulation struct {
	scenario scenario
	engines  map[string]*simEngine
	loads    []*upstreamload.Tracker
	pickers  []*picker.Picker
	speeds   []*speeds.Speeds // by box
	owner    *admission.Admission

	fleet *fleet.Fleet
	began time.Time

	mu            sync.Mutex // also guards engines
	servedDrafts  int        // drafts with a complete answer
	paused        int        // of these, with a pause over maxPause
	worth         float64
	total         float64
	rejected      int       // first attempts
	rejectedLate  int       // of these, after a quarter of their aim
	heldFractions []float64 // waits of refused requests as fractions of their aims
	drafts        map[string]*draftOutcomes
}

// draftOutcomes are the outcomes of an organisation's drafts in a burst of the large one.
type draftOutcomes struct {
	total    int
	rejected int // requests with a first attempt rejected
	served   int
	waits    []time.Duration // until admission
}

func (f *draftOutcomes) wait(part float64) time.Duration {
	slices.Sort(f.waits)
	return f.waits[int(part*float64(len(f.waits)-1))]
}

func (f *draftOutcomes) plus(o *draftOutcomes) *draftOutcomes {
	return &draftOutcomes{total: f.total + o.total, rejected: f.rejected + o.rejected, served: f.served + o.served, waits: append(f.waits, o.waits...)}
}

// smallOutcomes adds up the outcomes of all but the large organisation.
func smallOutcomes(drafts map[string]*draftOutcomes) *draftOutcomes {
	sum := &draftOutcomes{}
	for name, f := range drafts {
		if name != large {
			sum = sum.plus(f)
		}
	}
	return sum
}

// The large organisation sends a third of the requests, the others equal parts of the rest.
const (
	large  = "large"
	others = 8
)

// organisation draws the organisation of a request.
func (s scenario) organisation(at time.Duration, random *rand.Rand) string {
	part := max(s.largeBurst, 1)
	if !s.inLargeBurst(at) {
		part = 1
	}
	if random.Float64() < part/(part+2) {
		return large
	}
	return fmt.Sprint("small", random.IntN(others))
}

func (s scenario) inLargeBurst(at time.Duration) bool {
	return at > 6*time.Second && at < 15*time.Second
}

// hallCount is the number of halls, of which at most one is evacuated at a time.
const hallCount = 6

func newSimulation(s scenario) *simulation {
	sim := &simulation{scenario: s, engines: map[string]*simEngine{}, drafts: map[string]*draftOutcomes{}}
	f := fleet.New(time.Second)
	var list []fleet.Upstream
	for i := range simEngines {
		id, slow := fmt.Sprint("e", i), 1
		if i < s.slow {
			slow = 4
		}
		sim.engines[id] = newSimEngine(simEngineParams(slow))
		if s.uneven {
			sim.engines[id] = newSimEngine(unevenEngine(i))
		}
		list = append(list, fleet.Upstream{ID: id, Service: "llm", Hall: fmt.Sprint("hall", i%hallCount), Slots: 24, State: fleet.Open})
	}
	f.Replace(time.Now(), list, 1, false)
	sim.fleet = f
	prefillTimes := prefill.New()
	for i := range simBoxes {
		sim.speeds = append(sim.speeds, nil)
		if s.speeds {
			sim.speeds[i] = speeds.New(f, noCount{}, logs.New(io.Discard, "info", "b"))
		}
		sim.loads = append(sim.loads, upstreamload.New())
		sim.pickers = append(sim.pickers, picker.New(picker.Components{
			Fleet: f, Loads: sim.loads[i], Reliability: reliability.New(), Prefill: prefillTimes, Speeds: sim.speeds[i], Hall: "leith", Random: rand.New(rand.NewPCG(7, uint64(i))),
		}))
	}
	sim.owner = admission.New(sim.pickers[0], sim.loads[0], prefillTimes, sim.shares(), rand.New(rand.NewPCG(7, 99)), logs.New(io.Discard, "info", "b0"))
	return sim
}

func (sim *simulation) shares() admission.Shares {
	if !sim.scenario.shares {
		return nil
	}
	return shares.New(nil)
}

// place finds an engine for a request of a box by the scenario's policy.
func (sim *simulation) place(ctx context.Context, box int, req admission.Request) (string, error) {
	if !sim.scenario.queue {
		u, _, _ := sim.pickers[box].Choose(time.Now(), picker.Want{Service: simService, Tokens: req.Prompt + req.Answer})
		return u.ID, nil
	}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		g, ok, err := sim.owner.Take(call, req)
		cancel()
		time.Sleep(time.Duration(req.Key % uint64(maxCallDelay)))
		if ok && box == 0 {
			sim.loads[0].Release(req.Box, g.Upstream.ID)
		}
		if ok || err != nil {
			return g.Upstream.ID, err
		}
	}
	return "", ctx.Err()
}

// request sends a request and its retries.
func (sim *simulation) request(ctx context.Context, id string, box int, req admission.Request, length int) {
	worth := worthInTime
	f, attempts := sim.outcomes(req), 2
	repeats := sim.scenario.largeBurst > 0 && req.Organisation == large
	if repeats {
		attempts = 4
	}
	for try := range attempts {
		req.ID, req.Arrived = fmt.Sprint(id, "/", try), time.Now()
		patient, cancel := context.WithTimeout(ctx, req.Patience)
		engine, err := sim.place(patient, box, req)
		cancel()
		if err == nil {
			sim.admitted(req, f)
			sim.serve(ctx, engine, box, req, length, worth)
			return
		}
		var refused refusal.Refusal
		if !errors.As(err, &refused) {
			return // the caller has disconnected
		}
		worth = min(worth, sim.refused(req, try, f))
		if !repeats && try == 0 {
			time.Sleep(refused.RetryAfter())
		}
	}
}

// refused records how long a request was held before it was refused, and returns what it
// is worth if a retry is served.
func (sim *simulation) refused(req admission.Request, try int, f *draftOutcomes) float64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	waited := time.Since(req.Arrived)
	sim.heldFractions = append(sim.heldFractions, float64(waited)/float64(req.Aim))
	if try > 0 {
		return worthRetried
	}
	f.rejected++
	sim.rejected++
	if waited > req.Aim/4 {
		sim.rejectedLate++
		return worthLate
	}
	return worthRetried
}

// outcomes returns the record of outcomes for a request.
func (sim *simulation) outcomes(req admission.Request) *draftOutcomes {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if req.Answer < 100 || !sim.scenario.inLargeBurst(req.Arrived.Sub(sim.began)) {
		return &draftOutcomes{} // not recorded
	}
	f, ok := sim.drafts[req.Organisation]
	if !ok {
		f = &draftOutcomes{}
		sim.drafts[req.Organisation] = f
	}
	f.total++
	return f
}

// admitted records that a request was admitted.
func (sim *simulation) admitted(req admission.Request, f *draftOutcomes) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	f.served++
	f.waits = append(f.waits, time.Since(req.Arrived))
}

// evacuationTime is how long a hall is evacuated.
const evacuationTime = 4 * time.Second

// evacuateHalls evacuates the halls one after another.
func (sim *simulation) evacuateHalls(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		hall := fmt.Sprint("hall", i%hallCount)
		sim.fleet.CloseHall(time.Now(), hall)
		time.Sleep(evacuationTime)
		sim.fleet.OpenHall(hall, time.Time{})
	}
}

// startChanges starts the scenario's changes of the engines.
func (sim *simulation) startChanges(ctx context.Context, engines *sync.WaitGroup) {
	if sim.scenario.uneven {
		engines.Go(func() { sim.replace(ctx, engines) })
	}
	if sim.scenario.evacuations {
		engines.Go(func() { sim.evacuateHalls(ctx) })
	}
}

// loadFactor returns the factor on the usual rate of requests.
func (s scenario) loadFactor(at time.Duration) float64 {
	factor := 1.0
	if s.load > 0 {
		factor = s.load * (1 + 0.27*math.Sin(2*math.Pi*at.Seconds()/11))
	}
	if at > 6*time.Second && at < 12*time.Second {
		factor *= max(s.burst, 1)
	}
	if s.inLargeBurst(at) {
		factor *= (max(s.largeBurst, 1) + 2) / 3
	}
	return factor
}

// serve runs a request at an engine, and records what its answer is worth.
func (sim *simulation) serve(ctx context.Context, engine string, box int, req admission.Request, length int, worth float64) {
	e := sim.engine(engine)
	upstream := fleet.Upstream{ID: engine, Service: "llm"}
	alone := sim.loads[box].Load(time.Now(), engine).Prefill == 0
	entry := sim.loads[box].Begin(engine, upstreamload.Load{Requests: 1, Tokens: req.Prompt, Coming: req.Answer, Prefill: req.Prompt})
	defer entry.End()
	defer e.cancel(req.ID)
	events := e.submit(time.Now(), batch.Job{Attempt: req.ID, Prompt: req.Prompt, Length: length, Priority: -req.Urgency})
	sent, pace := time.Now(), sim.speeds[box].Stream(upstream)
	defer func() { pace.End(time.Now()) }()
	last, first, late, paused := req.Arrived, true, false, false
	for {
		var generated int
		select {
		case <-ctx.Done():
			return
		case <-time.After(req.Patience - time.Since(last)):
			return // the caller disconnects
		case generated = <-events:
		}
		now := time.Now()
		if first {
			entry.Started()
			late = now.Sub(req.Arrived) > req.Aim
			if alone {
				sim.speeds[box].RecordPrefill(now, upstream, req.Prompt, now.Sub(sent))
			}
		} else {
			paused = paused || now.Sub(last) > maxPause
		}
		entry.Progress(now, eventTokens, max(req.Answer-generated, 1))
		pace.Event(now, sim.loads[box].Load(now, engine).Prefill > 0)
		last, first = now, false
		if generated >= length {
			break
		}
	}
	if late || paused {
		worth = min(worth, worthLate)
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if req.Answer > eventTokens*4 {
		sim.servedDrafts++
		if paused {
			sim.paused++
		}
	}
	sim.worth += worth
}

// result holds the results of a simulation.
type result struct {
	worth         float64 // mean worth of a request
	preempted     int
	rejected      float64   // fraction of requests rejected early
	rejectedLate  float64   // fraction of requests rejected later
	heldFractions []float64 // waits of refused requests as fractions of their aims
	paused        float64   // fraction of the served drafts with a pause over maxPause
	drafts        map[string]*draftOutcomes
}

// heldTooLong returns the number of refused requests that were held for longer than
// maxHeldFraction of their aims.
func (r result) heldTooLong() int {
	long := 0
	for _, part := range r.heldFractions {
		if part > maxHeldFraction {
			long++
		}
	}
	return long
}

// draw draws a request and the length of its answer.
func (s scenario) draw(at time.Duration, random *rand.Rand) (req admission.Request, length int) {
	req = admission.Request{
		Hall: "leith", Service: simService, Urgency: 1, Gap: maxPause, Prompt: 2000 + random.IntN(2000), Answer: 900, Aim: aim, Arrived: time.Now(),
		Deadline: 39 * time.Second, Patience: 4 * aim, Key: random.Uint64(),
	}
	length = 1 + int(min(random.ExpFloat64()*900, 2200))
	check := random.Float64() < checksRate/(draftsRate+checksRate)
	if s.largeBurst > 0 {
		req.Organisation = s.organisation(at, random)
	}
	if req.Organisation == large {
		req.Urgency = s.urgency
	}
	if check {
		req.Urgency, req.Prompt, req.Answer, req.Aim, length = 0, 1200+random.IntN(2000), 12, 1500*time.Millisecond, 12
	}
	return req, length
}

// simulate runs a scenario.
func simulate(t *testing.T, s scenario) (res result) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(s)
		ctx, cancel := context.WithTimeout(t.Context(), simDuration+20*time.Second)
		defer cancel()
		var engines, all sync.WaitGroup
		for _, e := range sim.engines {
			engines.Go(func() { e.work(ctx) })
		}
		engines.Go(func() { sim.exchangeReports(ctx) })
		sim.startChanges(ctx, &engines)
		random := rand.New(rand.NewPCG(11, 5+s.seed))
		sim.began = time.Now()
		for time.Since(sim.began) < simDuration {
			factor := s.loadFactor(time.Since(sim.began))
			time.Sleep(time.Duration(random.ExpFloat64() / (factor * (draftsRate + checksRate)) * float64(time.Second)))
			id, box := fmt.Sprint("r", time.Since(sim.began)), random.IntN(simBoxes)
			req, length := s.draw(time.Since(sim.began), random)
			req.Box = fmt.Sprint("b", box)
			sim.total++
			all.Go(func() { sim.request(ctx, id, box, req, length) })
		}
		all.Wait()
		cancel()
		engines.Wait()
		for _, e := range sim.engines {
			res.preempted += e.core.Preemptions()
		}
		res.worth, res.heldFractions, res.drafts = sim.worth/sim.total, sim.heldFractions, sim.drafts
		res.paused = float64(sim.paused) / float64(max(sim.servedDrafts, 1))
		res.rejected, res.rejectedLate = float64(sim.rejected-sim.rejectedLate)/sim.total, float64(sim.rejectedLate)/sim.total
	})
	return res
}

// exchangeReports sends each box's load to the other boxes at intervals.
func (sim *simulation) exchangeReports(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(reportInterval)
		for i, from := range sim.loads {
			for j, to := range sim.loads {
				if i != j {
					to.Update(time.Now(), fmt.Sprint("b", i), from.Own())
					sim.speeds[j].Update(time.Now(), fmt.Sprint("b", i), sim.speeds[i].Own(time.Now()))
				}
			}
		}
	}
}

// TestOverload compares the queue with sending each request directly to the least loaded
// engine, in bursts and in lasting shortages in which evacuated engines come and go.
func TestOverload(t *testing.T) {
	tests := map[string]struct {
		scenario     scenario
		minRatio     float64 // lowest ratio to the worth of direct sending
		noPreemption bool    // no request may be preempted
		rejected     float64 // highest fraction that may be rejected early; 0 for any
	}{
		"the usual load":                        {scenario: scenario{}, minRatio: 0.98, noPreemption: true},
		"a burst of four times":                 {scenario: scenario{burst: 4}, minRatio: 1.4},
		"two slow engines":                      {scenario: scenario{slow: 2}, minRatio: 0.98, noPreemption: true},
		"a lasting shortage":                    {scenario: scenario{load: 1.75, evacuations: true}, minRatio: 1.03, rejected: 0.02},
		"a worse lasting shortage":              {scenario: scenario{load: 2.25, evacuations: true}, minRatio: 1.45, rejected: 0.15},
		"a burst of three times, a slow engine": {scenario: scenario{burst: 3, slow: 1}, minRatio: 1.2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			direct := simulate(t, tt.scenario)
			tt.scenario.queue = true
			queued := simulate(t, tt.scenario)
			t.Logf("direct %.3f, queued %.3f, preempted %d, rejected early %.3f, rejected late %.3f", direct.worth, queued.worth, queued.preempted, queued.rejected, queued.rejectedLate)
			is.True(queued.worth >= tt.minRatio*direct.worth)
			is.True(queued.preempted <= max(direct.preempted, maxPreempted))
			is.True(!tt.noPreemption || queued.preempted == 0)
			is.True(tt.rejected == 0 || queued.rejected <= tt.rejected)
		})
	}
}

// TestNotHeldInVain checks that requests that can't be served are refused at once, not held
// first.
func TestNotHeldInVain(t *testing.T) {
	tests := map[string]scenario{
		"a burst of four times":    {burst: 4},
		"a burst with evacuations": {burst: 4, evacuations: true},
		"a burst of eight times":   {burst: 8},
		"a worse lasting shortage": {load: 2.25, evacuations: true},
	}
	refused, long := 0, 0
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			s.queue = true
			r := simulate(t, s)
			t.Logf("worth %.3f, refused %d, held too long %d, longest %.2f", r.worth, len(r.heldFractions), r.heldTooLong(), slices.Max(append(r.heldFractions, 0)))
			is.New(t).True(r.heldTooLong() <= len(r.heldFractions)*maxHeldPercentEach/100)
			refused += len(r.heldFractions)
			long += r.heldTooLong()
		})
	}
	is.New(t).True(long <= refused*maxHeldPercent/100)
}

// maxExtraWait is how long no engine may have capacity after a burst has filled all.
const maxExtraWait = aim

const (
	// minWorthRatio is the lowest ratio of the worth with and without shares over all
	// scenarios, and minWorthRatioEach in each: the large organisation's own requests are late
	// instead of others'.
	minWorthRatio, minWorthRatioEach = 0.98, 0.96
	// maxRejectedPercent of the other organisations' drafts may be rejected over all scenarios,
	// and maxRejectedPercentEach in each.
	maxRejectedPercent, maxRejectedPercentEach = 4, 10
)

// seedCount is the number of simulations of a scenario with organisations: one has too few
// requests of small ones.
const seedCount = 4

// simulateSeeds runs a scenario with several seeds and adds up the outcomes of drafts.
func simulateSeeds(t *testing.T, s scenario) (worth float64, drafts map[string]*draftOutcomes) {
	t.Helper()
	drafts = map[string]*draftOutcomes{}
	for s.seed = range seedCount {
		r := simulate(t, s)
		worth += r.worth / seedCount
		for name, f := range r.drafts {
			sum := cmp.Or(drafts[name], &draftOutcomes{})
			drafts[name] = sum.plus(f)
		}
	}
	f, l := smallOutcomes(drafts), drafts[large]
	t.Logf("shares %v: worth %.3f; small: rejected %d of %d, served %d, wait %v, %v; large: rejected %d of %d, served %d, wait %v, %v", s.shares, worth,
		f.rejected, f.total, f.served, f.wait(0.5), f.wait(0.9), l.rejected, l.total, l.served, l.wait(0.5), l.wait(0.9))
	return worth, drafts
}

// TestShares lets one organisation send a burst and retry at once when it is refused. The
// others should be admitted about as soon as without the burst.
func TestShares(t *testing.T) {
	tests := map[string]struct {
		burst float64
		load  float64
	}{
		"a burst of four times, engines half idle":   {burst: 4, load: 1},
		"a burst of four times, engines nearly full": {burst: 4, load: 1.5},
		"a burst of six times":                       {burst: 6, load: 1},
	}
	simulated, total, rejected, worthWith, worthWithout := 0, 0, 0, 0.0, 0.0
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, drafts := simulateSeeds(t, scenario{queue: true, shares: true, largeBurst: 1, load: tt.load, urgency: 1})
			withoutBurst := smallOutcomes(drafts)
			without, _ := simulateSeeds(t, scenario{queue: true, largeBurst: tt.burst, load: tt.load, urgency: 1})
			worth, drafts := simulateSeeds(t, scenario{queue: true, shares: true, largeBurst: tt.burst, load: tt.load, urgency: 1})
			f := smallOutcomes(drafts)
			simulated, total, rejected, worthWith, worthWithout = simulated+1, total+f.total, rejected+f.rejected, worthWith+worth, worthWithout+without
			is.True(f.rejected*100 <= f.total*maxRejectedPercentEach)
			is.True(f.wait(0.5) <= withoutBurst.wait(0.5)+200*time.Millisecond)
			is.True(f.wait(0.9) <= withoutBurst.wait(0.9)+maxExtraWait)
			is.True(worth >= minWorthRatioEach*without)
		})
	}
	if simulated < len(tests) {
		return // only some scenarios were run; the sums are over all
	}
	is := is.New(t)
	is.True(rejected*100 <= total*maxRejectedPercent)
	is.True(worthWith >= minWorthRatio*worthWithout)
}

// TestStarvationFloor lets an organisation send a burst of the most urgent requests. Each of
// the others is still served at least at half the rate of all.
func TestStarvationFloor(t *testing.T) {
	is := is.New(t)
	_, drafts := simulateSeeds(t, scenario{queue: true, shares: true, largeBurst: 12, urgency: 0})
	all := smallOutcomes(drafts).plus(drafts[large])
	for name, f := range drafts {
		t.Logf("%s served %d of %d", name, f.served, f.total)
		is.True(2*f.served*all.total >= all.served*f.total)
	}
}
