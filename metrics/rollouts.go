package metrics

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// rolloutInstruments are the instruments of roll-outs of releases.
type rolloutInstruments struct {
	refused, writes, ended, drawn, sent, dropped metric.Int64Counter
}

func newRolloutInstruments(b *builder) rolloutInstruments {
	return rolloutInstruments{
		refused: b.counter("petrelstep_rollouts_refused", "Orders to roll out a release that cannot be carried out, by reason."),
		writes:  b.counter("petrelstep_rollout_writes", "Writes to the store for roll-outs, by write and outcome."),
		ended:   b.counter("petrelstep_rollouts_ended", "Roll-outs that this box knows to have ended, by service and outcome."),
		drawn:   b.counter("petrelstep_rollout_drawn", "Requests drawn for the ordered release, by service."),
		sent:    b.counter("petrelstep_rollout_sent", "Requests sent to the ordered release before the outcome, by service."),
		dropped: b.counter("petrelstep_rollout_counts_dropped", "Rows of other boxes' counts that were not used."),
	}
}

// RolloutRefused counts an order that cannot be carried out.
func (m *Metrics) RolloutRefused(reason string) {
	m.rollouts.refused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// RolloutWritten counts a write to the store.
func (m *Metrics) RolloutWritten(write, outcome string) {
	m.rollouts.writes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("write", write), attribute.String("outcome", outcome)))
}

// RolloutEnded counts a roll-out that ended.
func (m *Metrics) RolloutEnded(service, outcome string) {
	m.rollouts.ended.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("outcome", outcome)))
}

// RolloutDrawn counts a request that is drawn for the ordered release.
func (m *Metrics) RolloutDrawn(service string) {
	m.rollouts.drawn.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

// RolloutSent counts a request that is sent to the ordered release.
func (m *Metrics) RolloutSent(service string) {
	m.rollouts.sent.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

// RolloutCountsDropped counts rows of other boxes' counts that were not used.
func (m *Metrics) RolloutCountsDropped(rows int) {
	m.rollouts.dropped.Add(context.Background(), int64(rows))
}
