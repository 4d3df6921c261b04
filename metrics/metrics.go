// Package metrics records the metrics of a box with OpenTelemetry and serves them
// in the Prometheus format.
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

	"petrelstep/answers"
	"petrelstep/backoff"
	"petrelstep/balance/speeds"
	"petrelstep/links"
	"petrelstep/liveness"
	"petrelstep/peer/tunnel"
	"petrelstep/protect/intake"
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
	RetryUpstreamLeft = "upstream_left" // the upstream left before the request was sent
	RetryOtherRelease = "other_release" // the upstream is of another release than the one that began the stream
	RetryBackoff      = "upstream_rests"
)

// Reasons for ending a response whose caller reads too slowly.
const (
	SlowBoxFull = "box_full" // the box's buffer limit is reached; the slowest reader is ended
	SlowStalled = "stalled"  // the caller has read nothing for too long
)

// Reasons for skipping a concurrent second try that was due.
const (
	SecondTryNoBudget   = "budget"
	SecondTryNoCapacity = "no_room"
	SecondTrySuspect    = "suspect" // upstreams died while serving the request; one try at a time
)

// Outcomes of checking a request against an upstream's rate limit.
const (
	LimitGranted          = "granted"
	LimitUsedUp           = "used_up"
	LimitOwnerUnreachable = "keeper_unheard" // the box falls back to its own share of the limit
)

// Outcomes of asking for a slot of an upstream that bears few rejections.
const (
	SlotGranted          = "granted"
	SlotTaken            = "taken"             // none is free
	SlotOwnerUnreachable = "owner_unreachable" // the box falls back to its own part of the slots
)

// Hall state changes.
const (
	hallEvacuated = "evacuated"
	hallRestored  = "taken_back"
)

// RetryReasons lists every reason for a retry.
func RetryReasons() []string {
	return []string{RetryNeverStarted, RetryEngineLost, RetryResume, RetryHomeGone, RetryIdempotent, RetryMoved, RetryConcurrent, RetryUpstreamLeft, RetryOtherRelease, RetryBackoff}
}

// SecondTrySkipReasons lists every reason for skipping a second try.
func SecondTrySkipReasons() []string {
	return []string{SecondTryNoBudget, SecondTryNoCapacity, SecondTrySuspect}
}

// Metrics holds the instruments of one box.
type Metrics struct {
	registry           *prometheus.Registry
	refusals           metric.Int64Counter
	retries            metric.Int64Counter
	outcomes           metric.Int64Counter
	tokens             metric.Int64Counter
	stall              metric.Float64Counter
	firstToken         metric.Float64Histogram
	longestGap         metric.Float64Histogram
	wholeAnswer        metric.Float64Histogram
	storeCalls         metric.Float64Histogram
	moves              metric.Float64Histogram
	droppedLines       metric.Int64Counter
	strangers          metric.Int64Counter
	hallChanges        metric.Int64Counter
	upstreamRestarts   metric.Int64Counter
	skippedEntries     metric.Int64Counter
	slowReaders        metric.Int64Counter
	heldBytes          metric.Int64ObservableGauge
	clientsClosed      metric.Int64Counter
	clients            metric.Int64ObservableGauge
	clientMemory       metric.Int64ObservableGauge
	meter              metric.Meter
	storeReads         metric.Int64Counter
	storeRestores      metric.Int64Counter
	fleetRequests      metric.Int64Counter
	skippedSecondTries metric.Int64Counter
	placeWait          metric.Float64Histogram
	longAnswers        metric.Int64Counter
	brokenAnswers      metric.Int64Counter
	refusedAnswers     metric.Int64Counter
	quarantineChanges  metric.Int64Counter
	originsRecorded    metric.Int64Counter
	originsFound       metric.Int64Counter
	suspended          metric.Float64Counter
	limitChanges       metric.Int64Counter
	limitRequests      metric.Int64Counter
	unknownFields      metric.Int64Counter
	invalidFields      metric.Int64Counter
	backoffChanges     metric.Int64Counter
	rejectionLimits    metric.Int64Counter
	slotRequests       metric.Int64Counter
	dials              metric.Int64Counter
	connects           metric.Float64Histogram
	configFetches      metric.Int64Counter
	retiredConnections metric.Int64Counter
	linkChanges        metric.Int64Counter
	tunnelsOpened      metric.Int64Counter
	tunnelsServed      metric.Int64Counter
	rollouts           rolloutInstruments
}

// New creates the instruments. Every labelled counter series whose values are known
// starts at zero, so that an alert on a rate does not miss the first increment.
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
	m.outcomes = b.counter("petrelstep_endings", "Requests ended, by ending.")
	m.tokens = b.counter("petrelstep_tokens", "Tokens passed on to callers.")
	m.stall = b.seconds("petrelstep_stall", "Time beyond the bounds for first token and gap.")
	m.firstToken = b.histogram("petrelstep_first_token", "Time to the first token.")
	m.longestGap = b.histogram("petrelstep_gap", "Longest time between tokens of one stream.")
	m.wholeAnswer = b.histogram("petrelstep_whole_answer", "Time to a whole answer that is no stream.")
	m.storeCalls = b.histogram("petrelstep_store_call", "Time of a call to the platform's store, by call and outcome.")
	m.moves = b.histogram("petrelstep_move", "Time of a generation's move to another upstream, by outcome.")
	m.strangers = b.counter("petrelstep_strangers_rejected", "Calls of boxes of other fleets, or for another box, by reason.")
	m.droppedLines = b.counter("petrelstep_log_lines_dropped", "Log lines dropped because nobody read them.")
	m.hallChanges = b.counter("petrelstep_hall_changes", "Halls heard to be evacuated or taken back, by change.")
	m.upstreamRestarts = b.counter("petrelstep_upstream_restarts", "Upstreams heard to have started again under their ids.")
	m.skippedEntries = b.counter("petrelstep_entries_skipped", "Entries of the store that name no upstream or box to use, by reason.")
	m.storeReads = b.counter("petrelstep_store_reads", "Times that a box began to read a table of the store for itself, by table and reason.")
	m.storeRestores = b.counter("petrelstep_store_restores", "Times that the store was found to have come back from an older copy.")
	m.fleetRequests = b.counter("petrelstep_fleets_told", "Answers to boxes that want the whole fleet, by outcome.")
	m.placeWait = b.histogram("petrelstep_place_wait", "Wait for a place at a plain upstream, by outcome; those that did not wait are not counted.")
	m.skippedSecondTries = b.counter("petrelstep_second_tries_not_sent", "Second tries that were due and not sent, by reason.")
	m.longAnswers = b.counter("petrelstep_long_answers_placed", "Long answers given room, by how their engine keeps their pause.")
	m.suspended = b.seconds("petrelstep_suspended", "Time in which the machine was suspended.")
	m.quarantineChanges = b.counter("petrelstep_quarantine_changes", "Requests under which upstreams ended, by what became of them.")
	m.addAnswerInstruments(&b)
	m.addClientInstruments(&b)
	m.addStreamInstruments(&b)
	m.addLinkInstruments(&b)
	m.addAnnouncementInstruments(&b)
	m.rollouts = newRolloutInstruments(&b)
	if b.err != nil {
		return nil, &SetupError{Err: b.err}
	}
	m.initSeries()
	return m, nil
}

// addAnswerInstruments creates the instruments for answers of upstreams that were not delivered.
func (m *Metrics) addAnswerInstruments(b *builder) {
	m.brokenAnswers = b.counter("petrelstep_upstream_breaks", "Answers that broke off, by what was found of their upstreams.")
	m.refusedAnswers = b.counter("petrelstep_upstream_answers_refused", "Answers of upstreams that were refused, by reason.")
}

// addLinkInstruments creates the instruments for connections to upstreams and boxes.
func (m *Metrics) addLinkInstruments(b *builder) {
	m.dials = b.counter("petrelstep_upstream_dials", "Connections to upstreams that this box tried to open itself, by outcome.")
	m.configFetches = b.counter("petrelstep_configuration_fetches", "Configurations fetched from other boxes, by outcome.")
	m.retiredConnections = b.counter("petrelstep_peer_connections_retired", "Connections to other boxes that were silent while calls waited.")
	m.connects = b.histogram("petrelstep_upstream_connect", "Time from the choice of an upstream to the first byte that is sent to it.")
	m.linkChanges = b.counter("petrelstep_upstream_links", "Links of this box to upstreams that other boxes reach, by change.")
	m.tunnelsOpened = b.counter("petrelstep_tunnels_opened", "Connections to upstreams asked of other boxes, by outcome; empty if a box did not answer.")
	m.tunnelsServed = b.counter("petrelstep_tunnels_served", "Connections to upstreams that other boxes asked for, by outcome.")
}

// addAnnouncementInstruments creates the instruments for headers and fields that
// other systems send.
func (m *Metrics) addAnnouncementInstruments(b *builder) {
	m.limitChanges = b.counter("petrelstep_upstream_limit_changes", "Upstreams that name how many requests they take, by what changed.")
	m.limitRequests = b.counter("petrelstep_limit_asks", "Requests that were about to go to a limited upstream, by outcome.")
	m.rejectionLimits = b.counter("petrelstep_upstream_rejection_limits", "Upstreams that say how many rejections they bear, by what changed.")
	m.slotRequests = b.counter("petrelstep_slot_asks", "Requests that were about to go to an upstream that bears few rejections, by outcome.")
	m.unknownFields = b.counter("petrelstep_words_unread", "Words of other systems that are not read, by place and word.")
	m.invalidFields = b.counter("petrelstep_words_unreadable", "Words of other systems whose values cannot be read, by place and word.")
	m.backoffChanges = b.counter("petrelstep_upstream_rests", "Upstreams that ask this box to send them nothing for a time, by what changed.")
}

// initSeries adds zero to each counter so that its series exist from the start.
func (m *Metrics) initSeries() {
	ctx := context.Background()
	for _, r := range refusal.Reasons() {
		m.refusals.Add(ctx, 0, metric.WithAttributes(attribute.String("reason", string(r))))
	}
	for _, r := range RetryReasons() {
		m.retries.Add(ctx, 0, metric.WithAttributes(attribute.String("reason", r)))
	}
	for _, change := range quarantine.Changes() {
		m.quarantineChanges.Add(ctx, 0, metric.WithAttributes(attribute.String("change", change)))
	}
	for _, outcome := range []string{LimitGranted, LimitUsedUp, LimitOwnerUnreachable} {
		m.limitRequests.Add(ctx, 0, metric.WithAttributes(attribute.String("outcome", outcome)))
	}
	for _, change := range backoff.Changes() {
		m.backoffChanges.Add(ctx, 0, metric.WithAttributes(attribute.String("change", change)))
	}
	for _, outcome := range []string{SlotGranted, SlotTaken, SlotOwnerUnreachable} {
		m.slotRequests.Add(ctx, 0, metric.WithAttributes(attribute.String("outcome", outcome)))
	}
	for _, change := range upstreamlimits.Changes() {
		m.rejectionLimits.Add(ctx, 0, metric.WithAttributes(attribute.String("change", change)))
		m.limitChanges.Add(ctx, 0, metric.WithAttributes(attribute.String("change", change)))
	}
	for _, f := range liveness.Findings() {
		m.brokenAnswers.Add(ctx, 0, metric.WithAttributes(attribute.String("finding", string(f))))
	}
	for _, r := range answers.Reasons() {
		m.refusedAnswers.Add(ctx, 0, metric.WithAttributes(attribute.String("reason", r)))
	}
	for _, change := range links.Changes() {
		m.linkChanges.Add(ctx, 0, metric.WithAttributes(attribute.String("change", change)))
	}
	for _, outcome := range tunnel.OpenOutcomes() {
		m.tunnelsOpened.Add(ctx, 0, metric.WithAttributes(attribute.String("outcome", outcome)))
		m.tunnelsServed.Add(ctx, 0, metric.WithAttributes(attribute.String("outcome", outcome)))
	}
	for _, outcome := range links.Outcomes() {
		m.dials.Add(ctx, 0, metric.WithAttributes(attribute.String("outcome", outcome)))
	}
	for _, outcome := range []string{FetchTaken, FetchOld, FetchFailed} {
		m.configFetches.Add(ctx, 0, metric.WithAttributes(attribute.String("outcome", outcome)))
	}
	for _, r := range []string{SlowBoxFull, SlowStalled} {
		m.slowReaders.Add(ctx, 0, metric.WithAttributes(attribute.String("reason", r)))
	}
	for _, r := range intake.Reasons() {
		m.clientsClosed.Add(ctx, 0, metric.WithAttributes(attribute.String("reason", r)))
	}
	for _, class := range speeds.Classes() {
		m.longAnswers.Add(ctx, 0, metric.WithAttributes(attribute.String("class", string(class))))
	}
	for _, r := range SecondTrySkipReasons() {
		m.skippedSecondTries.Add(ctx, 0, metric.WithAttributes(attribute.String("reason", r)))
	}
	for _, change := range []string{hallEvacuated, hallRestored} {
		m.hallChanges.Add(ctx, 0, metric.WithAttributes(attribute.String("change", change)))
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

// StrangerRejected counts a call that is not of this box's fleet, or not for this box.
func (m *Metrics) StrangerRejected(reason string) {
	m.strangers.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// SecondTrySkipped counts a second try that was due but skipped.
func (m *Metrics) SecondTrySkipped(reason string) {
	m.skippedSecondTries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// Placed records how long a request waited for a place at a plain upstream, also if it was refused.
func (m *Metrics) Placed(outcome string, waited time.Duration) {
	m.placeWait.Record(context.Background(), waited.Seconds(), metric.WithAttributes(attribute.String("outcome", outcome)))
}

// Ended counts a finished request by its outcome.
func (m *Metrics) Ended(e refusal.Outcome) {
	m.outcomes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("ending", string(e))))
}

// Streamed records one finished stream; times are in seconds.
func (m *Metrics) Streamed(tokens int, first, longestGap, stall float64) {
	ctx := context.Background()
	m.tokens.Add(ctx, int64(tokens))
	m.stall.Add(ctx, stall)
	m.firstToken.Record(ctx, first)
	m.longestGap.Record(ctx, longestGap)
}

// Answered records the duration of a complete, unstreamed response.
func (m *Metrics) Answered(took time.Duration) {
	m.wholeAnswer.Record(context.Background(), took.Seconds())
}

// StoreCalled records a call to the platform's store.
func (m *Metrics) StoreCalled(call, outcome string, took time.Duration) {
	m.storeCalls.Record(context.Background(), took.Seconds(),
		metric.WithAttributes(attribute.String("call", call), attribute.String("outcome", outcome)))
}

// Moved records a generation's move to another upstream.
func (m *Metrics) Moved(outcome string, took time.Duration) {
	m.moves.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("outcome", outcome)))
}

// LinesDropped counts log lines that were dropped.
func (m *Metrics) LinesDropped(n int) { m.droppedLines.Add(context.Background(), int64(n)) }

// HallChanged counts the evacuation or the restoration of a hall.
func (m *Metrics) HallChanged(evacuated bool) {
	change := hallRestored
	if evacuated {
		change = hallEvacuated
	}
	m.hallChanges.Add(context.Background(), 1, metric.WithAttributes(attribute.String("change", change)))
}

// Restarted counts an upstream that restarted.
func (m *Metrics) Restarted() { m.upstreamRestarts.Add(context.Background(), 1) }

// Skipped counts a store entry that cannot be used.
func (m *Metrics) Skipped(reason string) {
	m.skippedEntries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// SlowEnded counts a response that was ended because its caller read too slowly.
func (m *Metrics) SlowEnded(reason string) {
	m.slowReaders.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// ObserveHeldBytes registers a function that returns the bytes buffered for callers.
func (m *Metrics) ObserveHeldBytes(held func() int) error {
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(m.heldBytes, int64(held()))
		return nil
	}, m.heldBytes)
	return err
}

// StoreRead counts that this box started reading a table of the store directly.
func (m *Metrics) StoreRead(table, reason string) {
	m.storeReads.Add(context.Background(), 1, metric.WithAttributes(attribute.String("table", table), attribute.String("reason", reason)))
}

// StoreRestored counts that the store came back from an older copy.
func (m *Metrics) StoreRestored() { m.storeRestores.Add(context.Background(), 1) }

// PeerConnectionRetired counts a connection to another box that was silent while calls waited.
func (m *Metrics) PeerConnectionRetired() { m.retiredConnections.Add(context.Background(), 1) }

// Outcomes of fetching a configuration from another box.
const (
	FetchTaken  = "taken"
	FetchOld    = "old" // no newer than the one in force by then
	FetchFailed = "failed"
)

// ConfigurationFetched counts a fetch of a configuration from another box.
func (m *Metrics) ConfigurationFetched(outcome string) {
	m.configFetches.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// Connected records the time from the choice of an upstream to the first byte sent to it.
func (m *Metrics) Connected(took time.Duration) {
	m.connects.Record(context.Background(), took.Seconds())
}

// FleetRequested counts a response to a box that requests the fleet's state: all of
// it, the changes since a known state, or a notice that it is sent later.
func (m *Metrics) FleetRequested(outcome string) {
	m.fleetRequests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// LongPlaced counts a long answer that was assigned to an engine of a speed class.
func (m *Metrics) LongPlaced(class string) {
	m.longAnswers.Add(context.Background(), 1, metric.WithAttributes(attribute.String("class", class)))
}

// Broke counts a response that broke off, by the state found of its upstream.
func (m *Metrics) Broke(found liveness.Finding) {
	m.brokenAnswers.Add(context.Background(), 1, metric.WithAttributes(attribute.String("finding", string(found))))
}

// AnswerRefused counts an answer of an upstream that was refused.
func (m *Metrics) AnswerRefused(reason string) {
	m.refusedAnswers.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// Suspended adds time during which the machine was suspended.
func (m *Metrics) Suspended(d time.Duration) { m.suspended.Add(context.Background(), d.Seconds()) }

// Quarantined counts a quarantine change of a request during which upstreams died.
func (m *Metrics) Quarantined(change string) {
	m.quarantineChanges.Add(context.Background(), 1, metric.WithAttributes(attribute.String("change", change)))
}

// addStreamInstruments creates the counters of streams.
func (m *Metrics) addStreamInstruments(b *builder) {
	m.slowReaders = b.counter("petrelstep_slow_readers_ended", "Streams ended as their callers read too slowly, by reason.")
	m.originsRecorded = b.counter("petrelstep_stream_origins_recorded", "First events of streams while their service has several releases, by whether another box knew the stream's release then.")
	m.originsFound = b.counter("petrelstep_stream_origins_found", "Streams that callers resume, by how their release was known.")
}

// The outcomes of recording a stream's release at other boxes before its first event.
const (
	OriginAcknowledged   = "acknowledged"   // another box has it
	OriginLate           = "late"           // none has acknowledged it in time
	OriginUnacknowledged = "unacknowledged" // no other box could be reached
)

// OriginRecorded counts a first event of a stream while its service has several releases.
func (m *Metrics) OriginRecorded(outcome string) {
	m.originsRecorded.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// OriginFound counts a stream that a caller resumes.
func (m *Metrics) OriginFound(source string) {
	m.originsFound.Add(context.Background(), 1, metric.WithAttributes(attribute.String("source", source)))
}

// Limited counts a change of the limit that an upstream announces.
func (m *Metrics) Limited(change string) {
	m.limitChanges.Add(context.Background(), 1, metric.WithAttributes(attribute.String("change", change)))
}

// LimitRequested counts a request checked against an upstream's limit.
func (m *Metrics) LimitRequested(outcome string) {
	m.limitRequests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// SlotRequested counts a request for a slot of an upstream.
func (m *Metrics) SlotRequested(outcome string) {
	m.slotRequests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// rejectionLimitCounter counts changes of rejection limits.
type rejectionLimitCounter struct{ *Metrics }

// Limited implements upstreamlimits.Counter.
func (c rejectionLimitCounter) Limited(change string) {
	c.rejectionLimits.Add(context.Background(), 1, metric.WithAttributes(attribute.String("change", change)))
}

// RejectionLimits returns the counter of changes of rejection limits.
func (m *Metrics) RejectionLimits() upstreamlimits.Counter { return rejectionLimitCounter{m} }

// BackoffChanged counts a change of a backoff that an upstream requested.
func (m *Metrics) BackoffChanged(change string) {
	m.backoffChanges.Add(context.Background(), 1, metric.WithAttributes(attribute.String("change", change)))
}

// Dialed counts a connection to an upstream that this box tried to open itself.
func (m *Metrics) Dialed(outcome string) {
	m.dials.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// LinkChanged counts a change of a link to an upstream.
func (m *Metrics) LinkChanged(change string) {
	m.linkChanges.Add(context.Background(), 1, metric.WithAttributes(attribute.String("change", change)))
}

// TunnelOpened counts a connection to an upstream that was asked of another box.
func (m *Metrics) TunnelOpened(outcome string) {
	m.tunnelsOpened.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// TunnelServed counts a connection to an upstream that another box asked for.
func (m *Metrics) TunnelServed(outcome string) {
	m.tunnelsServed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// UnknownField counts an unknown header or field of another system.
func (m *Metrics) UnknownField(place, field string) {
	m.unknownFields.Add(context.Background(), 1, metric.WithAttributes(attribute.String("place", place), attribute.String("word", field)))
}

// InvalidField counts a header or field of another system with an invalid value.
func (m *Metrics) InvalidField(place, field string) {
	m.invalidFields.Add(context.Background(), 1, metric.WithAttributes(attribute.String("place", place), attribute.String("word", field)))
}

// Handler serves the metrics in the Prometheus format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// SetupError reports that an instrument could not be created.
type SetupError struct{ Err error }

// Error implements error.
func (e *SetupError) Error() string { return "metrics: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Err }

// builder creates instruments and keeps the first error.
type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) recordError(err error) {
	if b.err == nil {
		b.err = err
	}
}

func (b *builder) counter(name, help string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithDescription(help))
	b.recordError(err)
	return c
}

func (b *builder) seconds(name, help string) metric.Float64Counter {
	c, err := b.meter.Float64Counter(name, metric.WithDescription(help), metric.WithUnit("s"))
	b.recordError(err)
	return c
}

func (b *builder) histogram(name, help string) metric.Float64Histogram {
	bounds := metric.WithExplicitBucketBoundaries(0.01, 0.025, 0.053, 0.1, 0.2, 0.44, 1, 2, 5, 10, 30, 60, 300)
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"), bounds)
	b.recordError(err)
	return h
}
