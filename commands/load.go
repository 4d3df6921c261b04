package commands

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/subcommands"

	"petrelstep/client"
	"petrelstep/wire"
)

func init() { subcommands.Register(&load{}, "callers") }

// load sends a mix of requests at a rate and reports what came of them.
type load struct {
	target
	output
	model, checkModel string
	rate              float64
	drafts, checks    float64
	last              time.Duration
	seed              uint64
}

func (*load) Name() string     { return "load" }
func (*load) Synopsis() string { return "send a mix of requests and report stall, gaps and outcomes" }
func (*load) Usage() string {
	return `load -model MODEL [-rate 5] [-for 10s] [-drafts 0.3] [-checks 0.5]: send requests at a
rate, the rest of the parts being lookups; the report tells first token, gaps,
stall and outcomes by reason. Exits 1 if any answer was wrong.

  petrelstep load -model assessor -rate 5 -for 10s
  petrelstep load -model assessor -check-model portal -for 5s -o json
`
}

func (c *load) SetFlags(f *flag.FlagSet) {
	c.callers(f)
	c.output.setFlags(f)
	f.StringVar(&c.model, "model", "", "model of drafts")
	f.StringVar(&c.checkModel, "check-model", "", "model of checks and lookups; the same if empty")
	f.Float64Var(&c.rate, "rate", 5, "requests a second")
	f.Float64Var(&c.drafts, "drafts", 0.3, "part of drafts")
	f.Float64Var(&c.checks, "checks", 0.5, "part of checks")
	f.DurationVar(&c.last, "for", 10*time.Second, "how long to send")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the mix")
}

// quantiles of one measure, in milliseconds.
type quantiles struct {
	P50, P95, P99, P999, Max float64
}

// loadReport is what came of a load.
type loadReport struct {
	Requests     int
	Tokens       int
	Seconds      float64
	TokensPerSec float64
	Wrong        int
	TakenUp      int
	Endings      map[string]int
	Reasons      map[string]int
	FirstMs      quantiles
	GapMs        quantiles
	StallMs      quantiles // of a request, beyond 440 ms for the first token and 200 ms for gaps
}

// tally gathers outcomes of all requests.
type tally struct {
	mu                 sync.Mutex
	report             loadReport
	first, gaps, stall *hdrhistogram.Histogram
}

const (
	microsMost  = int64(time.Hour / time.Microsecond)
	digits      = 3
	stallFirst  = 440 * time.Millisecond
	stallGap    = 200 * time.Millisecond
	progressFor = time.Second
)

func newTally() *tally {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, microsMost, digits) }
	return &tally{report: loadReport{Endings: map[string]int{}, Reasons: map[string]int{}}, first: h(), gaps: h(), stall: h()}
}

func (t *tally) add(o client.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &t.report
	r.Requests++
	r.Tokens += o.Tokens
	r.TakenUp += o.Resumed
	r.Endings[o.Ending]++
	if o.Reason != "" {
		r.Reasons[o.Reason]++
	}
	if o.Ending == "done" && !o.Whole {
		r.Wrong++
	}
	if o.Tokens == 0 {
		return
	}
	// Durations beyond the histogram's bound are counted at it.
	stall := max(o.First-stallFirst, 0)
	_ = t.first.RecordValue(min(o.First.Microseconds(), microsMost))
	for _, g := range o.Gaps {
		_ = t.gaps.RecordValue(min(g.Microseconds(), microsMost))
		stall += max(g-stallGap, 0)
	}
	_ = t.stall.RecordValue(min(stall.Microseconds(), microsMost))
}

func (t *tally) finish(took time.Duration) loadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	r.Seconds = took.Seconds()
	r.TokensPerSec = float64(r.Tokens) / took.Seconds()
	r.FirstMs, r.GapMs, r.StallMs = quantilesOf(t.first), quantilesOf(t.gaps), quantilesOf(t.stall)
	return r
}

func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return quantiles{P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000}
}

func (c *load) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	boxes, ok := c.client()
	if !ok || c.model == "" || c.rate <= 0 {
		return exitUsage
	}
	if c.checkModel == "" {
		c.checkModel = c.model
	}
	t := newTally()
	began := time.Now()
	c.send(ctx, boxes, t)
	report := t.finish(time.Since(began))
	if code := c.print(report, report.table); code != exitDone {
		return code
	}
	if report.Wrong > 0 {
		return exitFailed
	}
	return exitDone
}

// send sends at the rate, whatever the answers take, and waits for them all.
func (c *load) send(ctx context.Context, boxes *client.Client, t *tally) {
	rng := rand.New(rand.NewPCG(c.seed, 0))
	stop := c.progress(t)
	defer stop()
	var all sync.WaitGroup
	end := time.Now().Add(c.last)
	for n := 0; time.Now().Before(end); n++ {
		req := c.request(rng, n)
		all.Go(func() { t.add(boxes.Generate(ctx, n, req, nil)) })
		time.Sleep(time.Duration(rng.ExpFloat64() / c.rate * float64(time.Second)))
	}
	all.Wait()
}

func (c *load) request(rng *rand.Rand, n int) wire.GenerationRequest {
	req := wire.GenerationRequest{
		Model: c.checkModel, Class: wire.GenerationRequestClassLookup, Prompt: fmt.Sprintf("look up item %d", n),
		MaxTokens: 16384, DeadlineMs: 600000, Deliver: wire.GenerationRequestDeliverStream,
	}
	u := rng.Float64()
	switch {
	case u < c.drafts:
		req.Model, req.Class, req.Prompt = c.model, wire.GenerationRequestClassDraft, fmt.Sprintf("draft the reasoning for case %d", n)
	case u < c.drafts+c.checks:
		req.Class, req.Prompt = wire.GenerationRequestClassCheck, fmt.Sprintf("is item %d in order?", n)
	}
	return req
}

// progress writes a line on a terminal until it is stopped.
func (c *load) progress(t *tally) func() {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(progressFor)
		defer tick.Stop()
		for {
			select {
			case <-done:
				fmt.Fprintln(os.Stderr)
				return
			case <-tick.C:
				t.mu.Lock()
				fmt.Fprintf(os.Stderr, "\r%d answered, %d tokens", t.report.Requests, t.report.Tokens)
				t.mu.Unlock()
			}
		}
	}()
	return func() { close(done) }
}

func (r loadReport) table(w io.Writer) {
	fmt.Fprintf(w, "requests %d in %.1f s, tokens %d (%.0f a second), taken up %d, wrong %d\n", r.Requests, r.Seconds, r.Tokens, r.TokensPerSec, r.TakenUp, r.Wrong)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "ms\tp50\tp95\tp99\tp99.9\tmax\t")
	for _, row := range []struct {
		name string
		q    quantiles
	}{{"first token", r.FirstMs}, {"gap", r.GapMs}, {"stall", r.StallMs}} {
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", row.name, row.q.P50, row.q.P95, row.q.P99, row.q.P999, row.q.Max)
	}
	_ = t.Flush()
	counts(w, "ending", r.Endings)
	counts(w, "reason", r.Reasons)
}

func counts(w io.Writer, what string, m map[string]int) {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		fmt.Fprintf(w, "%s %s %d\n", what, k, m[k])
	}
}
