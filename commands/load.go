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

// load sends a mix of requests at a rate and reports the outcomes and latencies.
type load struct {
	target
	output
	model, checkModel      string
	rate                   float64
	draftShare, checkShare float64
	duration               time.Duration
	seed                   uint64
}

func (*load) Name() string     { return "load" }
func (*load) Synopsis() string { return "send a mix of requests and report stall, gaps and outcomes" }
func (*load) Usage() string {
	return `load -model MODEL [-rate 5] [-for 10s] [-drafts 0.3] [-checks 0.5]: send drafts,
checks and, for the remaining share, lookups at a rate; report first token, gaps,
stall and outcomes by reason. Exits 1 if any answer was wrong.

  petrelstep load -model assessor -rate 5 -for 10s
  petrelstep load -model assessor -check-model portal -for 5s -o json
`
}

func (c *load) SetFlags(f *flag.FlagSet) {
	c.setCallerFlags(f)
	c.output.setFlags(f)
	f.StringVar(&c.model, "model", "", "model of drafts")
	f.StringVar(&c.checkModel, "check-model", "", "model of checks and lookups; the model of drafts if empty")
	f.Float64Var(&c.rate, "rate", 5, "requests a second")
	f.Float64Var(&c.draftShare, "drafts", 0.3, "share of drafts")
	f.Float64Var(&c.checkShare, "checks", 0.5, "share of checks")
	f.DurationVar(&c.duration, "for", 10*time.Second, "how long to send")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the mix")
}

// quantiles of one measure, in milliseconds.
type quantiles struct {
	P50, P95, P99, P999, Max float64
}

// loadReport holds the results of a load.
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
	StallMs      quantiles // time of a request beyond 440 ms for the first token and 200 ms for gaps
}

// collector aggregates the outcomes of all requests.
type collector struct {
	mu                 sync.Mutex
	report             loadReport
	first, gaps, stall *hdrhistogram.Histogram
}

const (
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
	firstTokenTarget  = 440 * time.Millisecond
	gapTarget         = 200 * time.Millisecond
	progressInterval  = time.Second
)

func newCollector() *collector {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, significantDigits) }
	return &collector{report: loadReport{Endings: map[string]int{}, Reasons: map[string]int{}}, first: h(), gaps: h(), stall: h()}
}

func (c *collector) add(o client.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.report
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
	// Durations beyond the histogram's range count as its maximum.
	stall := max(o.First-firstTokenTarget, 0)
	_ = c.first.RecordValue(min(o.First.Microseconds(), maxMicros))
	for _, g := range o.Gaps {
		_ = c.gaps.RecordValue(min(g.Microseconds(), maxMicros))
		stall += max(g-gapTarget, 0)
	}
	_ = c.stall.RecordValue(min(stall.Microseconds(), maxMicros))
}

func (c *collector) finish(took time.Duration) loadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	r.Seconds = took.Seconds()
	r.TokensPerSec = float64(r.Tokens) / took.Seconds()
	r.FirstMs, r.GapMs, r.StallMs = quantilesOf(c.first), quantilesOf(c.gaps), quantilesOf(c.stall)
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
	results := newCollector()
	began := time.Now()
	c.send(ctx, boxes, results)
	report := results.finish(time.Since(began))
	if code := c.print(report, report.table); code != exitDone {
		return code
	}
	if report.Wrong > 0 {
		return exitFailed
	}
	return exitDone
}

// send sends requests at the rate, independent of response times, and waits for all.
func (c *load) send(ctx context.Context, boxes *client.Client, results *collector) {
	rng := rand.New(rand.NewPCG(c.seed, 0))
	stop := c.progress(results)
	defer stop()
	var all sync.WaitGroup
	end := time.Now().Add(c.duration)
	for n := 0; time.Now().Before(end); n++ {
		req := c.request(rng, n)
		all.Go(func() { results.add(boxes.Generate(ctx, n, req, nil)) })
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
	case u < c.draftShare:
		req.Model, req.Class, req.Prompt = c.model, wire.GenerationRequestClassDraft, fmt.Sprintf("draft the reasoning for case %d", n)
	case u < c.draftShare+c.checkShare:
		req.Class, req.Prompt = wire.GenerationRequestClassCheck, fmt.Sprintf("is item %d in order?", n)
	}
	return req
}

// progress updates a line on a terminal until it is stopped.
func (c *load) progress(results *collector) func() {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(progressInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				fmt.Fprintln(os.Stderr)
				return
			case <-tick.C:
				results.mu.Lock()
				fmt.Fprintf(os.Stderr, "\r%d answered, %d tokens", results.report.Requests, results.report.Tokens)
				results.mu.Unlock()
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
	printCounts(w, "ending", r.Endings)
	printCounts(w, "reason", r.Reasons)
}

func printCounts(w io.Writer, label string, m map[string]int) {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		fmt.Fprintf(w, "%s %s %d\n", label, k, m[k])
	}
}
