// Package metrics counts what a box does, by OpenTelemetry, and serves the
// counts in the Prometheus format.
package metrics

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"petrelstep/backoff"
	"petrelstep/balance/speeds"
	"petrelstep/liveness"
	"petrelstep/quarantine"
	"petrelstep/refusal"
	"petrelstep/upstreamlimits"
)

// Retry reasons, each with its own counter series.
const (
	RetryNeverStarted = "never_started"
	RetryEngineLost   = "engine_lost"
	RetryResume       = "resume"
	RetryHomeGone     = "home_gone"
	RetryIdempotent   = "idempotent_call"
	RetryMoved        = "moved"
	RetryConcurrent   = "beside"
	RetryLeft         = "upstream_left" // before the request went
	RetryRests        = "upstream_rests"
)

// Reasons to end a stream whose caller reads slowly.
const (
	SlowBoxFull = "box_full" // the slowest reader of a box that holds as much as it may
	SlowStalled = "stalled"  // the caller took nothing for long
)

// Reasons for a second try that was due and not sent.
const (
	SecondTryNoBudget   = "budget"
	SecondTryNoCapacity = "no_room"
	SecondTrySuspect    = "suspect" // upstreams ended under it: one try at a time
)

// Outcomes of requests that were about to go to a limited upstream.
const (
	LimitGranted          = "granted"
	LimitUsedUp           = "used_up"
	LimitOwnerUnreachable = "keeper_unheard" // it goes by the box's own part
)

// Changes of a hall.
const (
	hallEvacuated = "evacuated"
	hallTakenBack = "taken_back"
)

// RetryReasons lists every reason for a retry.
func RetryReasons() []string {
	return []string{RetryNeverStarted, RetryEngineLost, RetryResume, RetryHomeGone, RetryIdempotent, RetryMoved, RetryConcurrent, RetryLeft, RetryRests}
}

// SecondTrySkipReasons lists every reason for a second try that was not sent.
func SecondTrySkipReasons() []string {
	return []string{SecondTryNoBudget, SecondTryNoCapacity, SecondTrySuspect}
}

// Metrics holds the instruments of one box.
type Metrics struct {
	registry *prometheus.Registry
	refusals metric.Int64Counter
	retries  metric.Int64Counter
	endings  metric.Int64Counter
	tokens   metric.Int64Counter
	stall    metric.Float64Counter
	first    metric.Float64Histogram
	gap      metric.Float64Histogram
	whole    metric.Float64Histogram
	store    metric.Float64Histogram
	moves    metric.Float64Histogram
	dropped  metric.Int64Counter
	halls    metric.Int64Counter
	restarts metric.Int64Counter
	skipped  metric.Int64Counter
	slow     metric.Int64Counter
	held     metric.Int64ObservableGauge
	meter    metric.Meter
	reads    metric.Int64Counter
	fleets   metric.Int64Counter
	alone    metric.Int64Counter
	placed   metric.Float64Histogram
	classes  metric.Int64Counter
	breaks   metric.Int64Counter
	closed   metric.Int64Counter
	slept    metric.Float64Counter
	limits   metric.Int64Counter
	allowed  metric.Int64Counter
	unread   metric.Int64Counter
	spoilt   metric.Int64Counter
	rests    metric.Int64Counter
}

// New returns instruments whose every series exists from the start at zero,
// so that an alert on a rate never misses the first count.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, &SetupError{Err: err}
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("petrelstep")
	m := &Metrics{registry: registry, meter: meter}
	b := builder{meter: meter}
	m.refusals = b.counter("petrelstep_refusals", "Requests refused, by reason.")
	m.retries = b.counter("petrelstep_retries", "Retries, by reason.")
	m.endings = b.counter("petrelstep_endings", "Requests ended, by ending.")
	m.tokens = b.counter("petrelstep_tokens", "Tokens passed on to callers.")
	m.stall = b.seconds("petrelstep_stall", "Time beyond the bounds for first token and gap.")
	m.first = b.histogram("petrelstep_first_token", "Time to the first token.")
	m.gap = b.histogram("petrelstep_gap", "Longest time between tokens of one stream.")
	m.whole = b.histogram("petrelstep_whole_answer", "Time to a whole answer that is no stream.")
	m.store = b.histogram("petrelstep_store_call", "Time of a call to the platform's store, by call and outcome.")
	m.moves = b.histogram("petrelstep_move", "Time of a generation's move to another upstream, by outcome.")
	m.dropped = b.counter("petrelstep_log_lines_dropped", "Log lines dropped because nobody read them.")
	m.halls = b.counter("petrelstep_hall_changes", "Halls heard to be evacuated or taken back, by change.")
	m.restarts = b.counter("petrelstep_upstream_restarts", "Upstreams heard to have started again under their ids.")
	m.skipped = b.counter("petrelstep_entries_skipped", "Entries of the store that name no upstream or box to use, by reason.")
	m.slow = b.counter("petrelstep_slow_readers_ended", "Streams ended as their callers read too slowly, by reason.")
	m.held, err = meter.Int64ObservableGauge("petrelstep_held", metric.WithDescription("Bytes held for callers that have not taken them yet."), metric.WithUnit("By"))
	b.keep(err)
	m.reads = b.counter("petrelstep_store_reads", "Times that a box began to read a table of the store for itself, by table and reason.")
	m.fleets = b.counter("petrelstep_fleets_told", "Answers to boxes that want the whole fleet, by outcome.")
	m.placed = b.histogram("petrelstep_place_wait", "Wait for a place at a plain upstream, by outcome; those that did not wait are not counted.")
	m.alone = b.counter("petrelstep_second_tries_not_sent", "Second tries that were due and not sent, by reason.")
	m.classes = b.counter("petrelstep_long_answers_placed", "Long answers given room, by how their engine keeps their pause.")
	m.slept = b.seconds("petrelstep_suspended", "Time in which the machine was suspended.")
	m.closed = b.counter("petrelstep_quarantine_changes", "Requests under which upstreams ended, by what became of them.")
	m.breaks = b.counter("petrelstep_upstream_breaks", "Answers that broke off, by what was found of their upstreams.")
	m.words(&b)
	if b.err != nil {
		return nil, &SetupError{Err: b.err}
	}
	m.zero()
	return m, nil
}

// words makes the instruments of what other systems say.
func (m *Metrics) words(b *builder) {
	m.limits = b.counter("petrelstep_upstream_limit_changes", "Upstreams that name how many requests they take, by what changed.")
	m.allowed = b.counter("petrelstep_limit_asks", "Requests that were about to go to a limited upstream, by outcome.")
	m.unread = b.counter("petrelstep_words_unread", "Words of other systems that are not read, by place and word.")
	m.spoilt = b.counter("petrelstep_words_unreadable", "Words of other systems whose values cannot be read, by place and word.")
	m.rests = b.counter("petrelstep_upstream_rests", "Upstreams that ask this box to send them nothing for a time, by what changed.")
}

func (m *Metrics) zero() {
	ctx := context.Background()
	for _, r := range refusal.Reasons() {
		m.refusals.Add(ctx, 0, metric.WithAttributes(attribute.String("reason", string(r))))
	}
	for _, r := range RetryReasons() {
		m.retries.Add(ctx, 0, metric.WithAttributes(attribute.String("reason", r)))
	}
	for _, change := range quarantine.Changes() {
		m.closed.Add(ctx, 0, metric.WithAttributes(attribute.String("change", change)))
	}
	for _, outcome := range []string{LimitGranted, LimitUsedUp, LimitOwnerUnreachable} {
		m.allowed.Add(ctx, 0, metric.WithAttributes(attribute.String("outcome", outcome)))
	}
	for _, change := range backoff.Changes() {
		m.rests.Add(ctx, 0, metric.WithAttributes(attribute.String("change", change)))
	}
	for _, change := range upstreamlimits.Changes() {
		m.limits.Add(ctx, 0, metric.WithAttributes(attribute.String("change", change)))
	}
	for _, f := range liveness.Findings() {
		m.breaks.Add(ctx, 0, metric.WithAttributes(attribute.String("finding", string(f))))
	}
	for _, r := range []string{SlowBoxFull, SlowStalled} {
		m.slow.Add(ctx, 0, metric.WithAttributes(attribute.String("reason", r)))
	}
	for _, class := range speeds.Classes() {
		m.classes.Add(ctx, 0, metric.WithAttributes(attribute.String("class", string(class))))
	}
	for _, r := range SecondTrySkipReasons() {
		m.alone.Add(ctx, 0, metric.WithAttributes(attribute.String("reason", r)))
	}
	for _, change := range []string{hallEvacuated, hallTakenBack} {
		m.halls.Add(ctx, 0, metric.WithAttributes(attribute.String("change", change)))
	}
}

// Refused counts a refusal.
func (m *Metrics) Refused(r refusal.Reason) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(r))))
}

// Retried counts a retry.
func (m *Metrics) Retried(reason string) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// SecondTrySkipped counts a second try that was due and not sent.
func (m *Metrics) SecondTrySkipped(reason string) {
	m.alone.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// Placed records a request that waited for a place at a plain upstream or was refused.
func (m *Metrics) Placed(outcome string, waited time.Duration) {
	m.placed.Record(context.Background(), waited.Seconds(), metric.WithAttributes(attribute.String("outcome", outcome)))
}

// Ended counts a request's ending.
func (m *Metrics) Ended(e refusal.Outcome) {
	m.endings.Add(context.Background(), 1, metric.WithAttributes(attribute.String("ending", string(e))))
}

// Streamed records one finished stream; times in seconds.
func (m *Metrics) Streamed(tokens int, first, longestGap, stall float64) {
	ctx := context.Background()
	m.tokens.Add(ctx, int64(tokens))
	m.stall.Add(ctx, stall)
	m.first.Record(ctx, first)
	m.gap.Record(ctx, longestGap)
}

// Answered records a whole answer that is no stream.
func (m *Metrics) Answered(took time.Duration) { m.whole.Record(context.Background(), took.Seconds()) }

// StoreCalled records a call to the platform's store.
func (m *Metrics) StoreCalled(call, outcome string, took time.Duration) {
	m.store.Record(context.Background(), took.Seconds(),
		metric.WithAttributes(attribute.String("call", call), attribute.String("outcome", outcome)))
}

// Moved records a generation's move to another upstream.
func (m *Metrics) Moved(outcome string, took time.Duration) {
	m.moves.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("outcome", outcome)))
}

// LinesDropped counts log lines that were dropped.
func (m *Metrics) LinesDropped(n int) { m.dropped.Add(context.Background(), int64(n)) }

// HallChanged counts a hall that is heard to be evacuated, or taken back.
func (m *Metrics) HallChanged(evacuated bool) {
	change := hallTakenBack
	if evacuated {
		change = hallEvacuated
	}
	m.halls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("change", change)))
}

// Restarted counts an upstream that is heard to have started again.
func (m *Metrics) Restarted() { m.restarts.Add(context.Background(), 1) }

// Skipped counts an entry that cannot be used.
func (m *Metrics) Skipped(reason string) {
	m.skipped.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// SlowEnded counts a stream that was ended as its caller read too slowly.
func (m *Metrics) SlowEnded(reason string) {
	m.slow.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// ObserveHeldBytes makes a box's count of the bytes that it holds for callers seen.
func (m *Metrics) ObserveHeldBytes(held func() int) error {
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(m.held, int64(held()))
		return nil
	}, m.held)
	return err
}

// StoreRead counts that this box began to read a table of the store for itself.
func (m *Metrics) StoreRead(table, reason string) {
	m.reads.Add(context.Background(), 1, metric.WithAttributes(attribute.String("table", table), attribute.String("reason", reason)))
}

// FleetRequested counts an answer to a box that wants the whole fleet: all of it, what
// changed since the box knew all, or that it follows.
func (m *Metrics) FleetRequested(outcome string) {
	m.fleets.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// LongPlaced counts a long answer that was given room on an engine of a class.
func (m *Metrics) LongPlaced(class string) {
	m.classes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("class", class)))
}

// Broke counts an answer that broke off, by what was found of its upstream.
func (m *Metrics) Broke(found liveness.Finding) {
	m.breaks.Add(context.Background(), 1, metric.WithAttributes(attribute.String("finding", string(found))))
}

// Slept counts the time in which the machine was suspended.
func (m *Metrics) Slept(d time.Duration) { m.slept.Add(context.Background(), d.Seconds()) }

// Quarantined counts what became of a request under which upstreams ended.
func (m *Metrics) Quarantined(change string) {
	m.closed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("change", change)))
}

// Limited counts a change of what an upstream says that it takes.
func (m *Metrics) Limited(change string) {
	m.limits.Add(context.Background(), 1, metric.WithAttributes(attribute.String("change", change)))
}

// LimitRequested counts a request that was about to go to a limited upstream.
func (m *Metrics) LimitRequested(outcome string) {
	m.allowed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// BackoffChanged counts a change of a rest that an upstream asked this box for.
func (m *Metrics) BackoffChanged(change string) {
	m.rests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("change", change)))
}

// UnknownField counts a word of another system that is not read.
func (m *Metrics) UnknownField(place, word string) {
	m.unread.Add(context.Background(), 1, metric.WithAttributes(attribute.String("place", place), attribute.String("word", word)))
}

// InvalidField counts a word of another system whose value cannot be read.
func (m *Metrics) InvalidField(place, word string) {
	m.spoilt.Add(context.Background(), 1, metric.WithAttributes(attribute.String("place", place), attribute.String("word", word)))
}

// Handler serves the counts.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// SetupError says that the instruments could not be made.
type SetupError struct{ Err error }

// Error implements error.
func (e *SetupError) Error() string { return "metrics: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Err }

type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) keep(err error) {
	if b.err == nil {
		b.err = err
	}
}

func (b *builder) counter(name, help string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithDescription(help))
	b.keep(err)
	return c
}

func (b *builder) seconds(name, help string) metric.Float64Counter {
	c, err := b.meter.Float64Counter(name, metric.WithDescription(help), metric.WithUnit("s"))
	b.keep(err)
	return c
}

func (b *builder) histogram(name, help string) metric.Float64Histogram {
	bounds := metric.WithExplicitBucketBoundaries(0.01, 0.025, 0.053, 0.1, 0.2, 0.44, 1, 2, 5, 10, 30, 60, 300)
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"), bounds)
	b.keep(err)
	return h
}
