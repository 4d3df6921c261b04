// Package dispatch sends a request to an engine and waits for its first token:
// it checks quotas, places the request or requests a grant, and retries on
// another engine. It is the only layer that retries generations.
package dispatch

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"time"

	"petrelstep/cells"
	"petrelstep/engineload"
	"petrelstep/generation"
	"petrelstep/health"
	"petrelstep/inflight"
	"petrelstep/metrics"
	"petrelstep/outputlen"
	"petrelstep/placement"
	"petrelstep/prefix"
	"petrelstep/quota"
	"petrelstep/refusal"
	"petrelstep/resource"
	"petrelstep/retry"
	"petrelstep/uniqueid"
	"petrelstep/wire"
)

const (
	// topPriority is the engine priority of requests placed without a grant.
	topPriority = 9
	// maxPrefixBlocks bounds the block hashes sent with a grant request.
	maxPrefixBlocks = 16
	// cancelTimeout bounds the cancel of an attempt with an unknown outcome.
	cancelTimeout = 2 * time.Second
	// retryAfter is the default Retry-After.
	retryAfter = time.Second
)

// Homes requests grants from home boxes.
type Homes interface {
	Request(ctx context.Context, ask wire.Ask) (wire.Grant, string, error)
}

// Engines is the client of the engines.
type Engines interface {
	generation.Client
	Cancel(ctx context.Context, address, attempt string) (wire.CancelAnswer, error)
}

// Request is a validated request of an organisation.
type Request struct {
	Organisation string
	Terms        wire.Organisation
	Body         wire.GenerationRequest
}

// Components are the dependencies of a dispatcher.
type Components struct {
	Box       string
	Resources *resource.Resources
	Cells     func() *cells.Cells
	Homes     Homes
	Engines   Engines
	Loads     *engineload.Tracker
	Health    *health.Health
	Lengths   *outputlen.Estimator
	Quota     *quota.Quota
	Budget    *retry.Budget
	Flights   *inflight.Tracker
	Placer    func(method placement.Method, views []placement.View) int
	Metrics   *metrics.Metrics
	Started   func() bool // whether the box had time to learn the engines
}

// Dispatcher starts generations on engines. It is safe for concurrent use.
type Dispatcher struct{ Components }

// New returns a dispatcher.
func New(components Components) *Dispatcher { return &Dispatcher{components} }

// try is one attempt of a request.
type try struct {
	attempt string
	engine  string
	address string
	cell    string
	home    string // box that granted it, empty without a grant
}

// Start dispatches a request and waits for its first token. The error is a
// refusal.Refusal.
func (d *Dispatcher) Start(ctx context.Context, req Request) (*Running, error) {
	view := d.Resources.View()
	if _, ok := view.Models[req.Body.Model]; !ok {
		return nil, refusal.New(refusal.UnknownModel, req.Body.Model)
	}
	if ok, wait := d.Quota.Allow(time.Now(), req.Organisation, req.Terms.RequestsPerSecond); !ok {
		return nil, refusal.New(refusal.QuotaRequests, "requests per second").WithRetryAfter(wait)
	}
	key := outputlen.Key{Organisation: req.Organisation, Model: req.Body.Model, Class: string(req.Body.Class)}
	prompt := promptTokens(req.Body.Prompt)
	reserved := prompt + int(min(d.Lengths.Curve(key).Mean(), float64(req.Body.MaxTokens)))
	if !d.Quota.Reserve(time.Now(), req.Organisation, reserved, req.Terms.TokensInFlight) {
		return nil, refusal.New(refusal.QuotaTokens, "tokens in flight").WithRetryAfter(retryAfter)
	}
	release := func() { d.Quota.Release(req.Organisation, reserved) }
	deadline := time.Now().Add(time.Duration(req.Body.DeadlineMs) * time.Millisecond)
	running, err := d.startWithRetries(ctx, req, key, prompt, deadline)
	if err != nil {
		release()
		return nil, err
	}
	running.release = release
	return running, nil
}

// startWithRetries dispatches until a first token arrives or no retry is left.
func (d *Dispatcher) startWithRetries(ctx context.Context, req Request, key outputlen.Key, prompt int, deadline time.Time) (*Running, error) {
	var avoid []string
	var last refusal.Refusal
	waits := retry.Waits()
	for n := range retry.MaxTries {
		if n > 0 {
			if !d.Budget.Spend() {
				return nil, last
			}
			time.Sleep(waits.NextBackOff())
		}
		t, err := d.place(ctx, req, key, prompt, deadline, avoid)
		if err != nil {
			return nil, withOutcomeOf(last, err)
		}
		running, failure, reason := d.attempt(ctx, req, key, prompt, deadline, t)
		if failure == nil {
			d.Budget.Succeeded()
			return running, nil
		}
		last = worseOf(last, *failure)
		if reason == "" || ctx.Err() != nil {
			return nil, last
		}
		d.Metrics.Retried(reason)
		avoid = append(avoid, t.engine)
	}
	return nil, last
}

// withOutcomeOf returns err as a refusal with the outcome of the last attempt, if
// that is worse: a request is only not_run if none of its attempts ran.
func withOutcomeOf(last refusal.Refusal, err error) error {
	var r refusal.Refusal
	if !errors.As(err, &r) {
		r = refusal.New(refusal.InternalUnexpected, err.Error())
	}
	return worseOf(last, r)
}

// worseOf returns now with the worse of both outcomes.
func worseOf(last, now refusal.Refusal) refusal.Refusal {
	switch last.Outcome() {
	case refusal.Unknown:
		return now.WithOutcome(refusal.Unknown)
	case refusal.Failed:
		if now.Outcome() == refusal.NotRun {
			return now.WithOutcome(refusal.Failed)
		}
	}
	return now
}

// place finds an engine: at once for requests expected to be short, by a grant
// of the home box for others.
func (d *Dispatcher) place(ctx context.Context, req Request, key outputlen.Key, prompt int, deadline time.Time, avoid []string) (try, error) {
	view := d.Resources.View()
	t := try{attempt: uniqueid.New()}
	policy := view.Policy
	expected := min(d.Lengths.Curve(key).Mean(), float64(req.Body.MaxTokens)) + float64(prompt)
	if policy.Method != wire.PolicyMethodForecast || expected <= float64(policy.ShortTokens) {
		return d.placeUngranted(view, req, t, prompt, avoid, placement.Method(policy.Method))
	}
	cell, ok := d.chooseCell(view, req, avoid)
	if !ok {
		return t, d.noEngine(req.Body.Model)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	grant, home, err := d.Homes.Request(ctx, wire.Ask{
		Cell: cell, Attempt: t.attempt, Box: d.Box, Organisation: req.Organisation, Model: req.Body.Model,
		Adapter: req.Body.Adapter, Class: string(req.Body.Class), Prompt: prompt, MaxTokens: req.Body.MaxTokens,
		Priority: req.Terms.Priority, Weight: req.Terms.Weight, Prefix: chain(req.Body.Prompt),
		WaitMs: int(time.Until(deadline).Milliseconds()), Avoid: avoid,
	})
	if err != nil {
		return t, err
	}
	t.engine, t.home, t.cell = grant.Engine, home, cell
	t.address = view.Upstreams[grant.Engine].Address
	d.Loads.Dispatched(time.Now(), t.engine, prompt)
	return t, nil
}

// placeUngranted places a request by this box's own load data, without a grant.
func (d *Dispatcher) placeUngranted(view *resource.View, req Request, t try, prompt int, avoid []string, method placement.Method) (try, error) {
	now := time.Now()
	views := d.views(now, view, req, avoid)
	i := d.Placer(method, views)
	if i < 0 {
		return t, d.noEngine(req.Body.Model)
	}
	t.engine = views[i].Engine
	t.address = view.Upstreams[t.engine].Address
	t.cell = d.Cells().Of(t.engine)
	d.Health.RecordDispatch(now, t.engine)
	d.Loads.Dispatched(now, t.engine, prompt)
	return t, nil
}

// noEngine returns the refusal for a model without an engine that this box knows.
func (d *Dispatcher) noEngine(model string) error {
	if !d.Started() {
		return refusal.New(refusal.NotReady, "this box has no report yet of an engine that serves "+model).WithRetryAfter(retryAfter)
	}
	return refusal.New(refusal.NoUpstream, "no engine serves "+model).WithRetryAfter(retryAfter)
}

// Served returns the models for which this box knows an engine that may get new work.
func (d *Dispatcher) Served(now time.Time) map[string]bool {
	served := map[string]bool{}
	view := d.Resources.View()
	for _, name := range view.Engines("") {
		l, ok := d.Loads.Load(name)
		if ok && takesWork(l) && !view.Upstreams[name].Leaving && d.Health.EligibleAsFallback(now, name) {
			served[l.Model] = true
		}
	}
	return served
}

// views returns the load of the engines that may serve a request; engines on
// probation only if there is no other.
func (d *Dispatcher) views(now time.Time, view *resource.View, req Request, avoid []string) []placement.View {
	if views := d.viewsOf(now, view, req, avoid, d.Health.Eligible); len(views) > 0 {
		return views
	}
	return d.viewsOf(now, view, req, avoid, d.Health.EligibleAsFallback)
}

func (d *Dispatcher) viewsOf(now time.Time, view *resource.View, req Request, avoid []string, may func(time.Time, string) bool) []placement.View {
	var views []placement.View
	for _, name := range view.Engines("") {
		l, ok := d.Loads.Load(name)
		if !ok || !serves(l, req.Body) || view.Upstreams[name].Leaving || slices.Contains(avoid, name) || !may(now, name) {
			continue
		}
		if v, ok := d.Loads.View(now, name); ok {
			views = append(views, v)
		}
	}
	return views
}

func serves(l wire.EngineLoad, body wire.GenerationRequest) bool {
	if !takesWork(l) || l.Model != body.Model {
		return false
	}
	return body.Adapter == "" || slices.Contains(l.Adapters, body.Adapter)
}

// takesWork reports whether an engine takes generations of its model.
func takesWork(l wire.EngineLoad) bool {
	return l.Ready && !l.Leaving && l.Role != string(wire.PlacementRolePrefill)
}

// chooseCell picks the cell of the least loaded engine.
func (d *Dispatcher) chooseCell(view *resource.View, req Request, avoid []string) (string, bool) {
	views := d.views(time.Now(), view, req, avoid)
	i := d.Placer(placement.LeastMemory, views)
	if i < 0 {
		return "", false
	}
	return d.Cells().Of(views[i].Engine), true
}

// attempt dispatches once. On failure it returns a refusal and a retry reason;
// the reason is empty if the request must not be retried.
func (d *Dispatcher) attempt(ctx context.Context, req Request, key outputlen.Key, prompt int, deadline time.Time, t try) (*Running, *refusal.Refusal, string) {
	f := &inflight.Generation{
		Attempt: t.attempt, Cell: t.cell, Engine: t.engine, Address: t.address, Key: key, Prompt: prompt,
		MaxTokens: req.Body.MaxTokens, Granted: t.home != "", Home: t.home,
	}
	d.Flights.Start(f)
	first, cancel := context.WithCancel(ctx)
	deadlineTimer := time.AfterFunc(time.Until(deadline), cancel)
	running, err := d.open(first, req, t)
	if deadlineTimer.Stop() && err == nil {
		running.flight, running.flights = f, d.Flights
		d.Health.RecordSuccess(time.Now(), t.engine)
		// The stream lives as long as the caller's context.
		context.AfterFunc(ctx, cancel)
		return running, nil, ""
	}
	cancel()
	if err == nil {
		running.Close()
		err = context.DeadlineExceeded
	}
	failure, reason := d.classifyFailure(ctx, t, err)
	d.Flights.End(t.attempt, 0, true)
	return nil, &failure, reason
}

// open starts a generation and reads up to its first token.
func (d *Dispatcher) open(ctx context.Context, req Request, t try) (*Running, error) {
	priority := req.Terms.Priority
	if t.home == "" && d.Resources.View().Policy.Method == wire.PolicyMethodForecast {
		priority = topPriority
	}
	job := wire.EngineJob{
		Attempt: t.attempt, Model: req.Body.Model, Adapter: req.Body.Adapter, Prompt: req.Body.Prompt,
		Class: string(req.Body.Class), MaxTokens: req.Body.MaxTokens, Priority: priority,
	}
	g, err := generation.New(ctx, d.Engines, t.address, job, func() { d.Metrics.Retried(metrics.RetryResume) })
	if err != nil {
		return nil, err
	}
	token, err := g.Next(ctx)
	if err != nil && err != io.EOF {
		g.Close()
		return nil, err
	}
	return &Running{Generation: g, Attempt: t.attempt, Engine: t.engine, Address: t.address, First: token, Empty: err == io.EOF}, nil
}

// promptTokens estimates a prompt's tokens; engines report the exact count later.
func promptTokens(prompt string) int { return max(len(strings.Fields(prompt)), 1) }

// chain returns the hashes of a prompt's first blocks.
func chain(prompt string) []int {
	hashes := prefix.Chain(prompt)
	hashes = hashes[:min(len(hashes), maxPrefixBlocks)]
	out := make([]int, len(hashes))
	for i, h := range hashes {
		out[i] = int(h)
	}
	return out
}
