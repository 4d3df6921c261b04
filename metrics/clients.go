package metrics

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// addClientInstruments creates the instruments for connections of clients.
func (m *Metrics) addClientInstruments(b *builder) {
	m.clientsClosed = b.counter("petrelstep_clients_closed", "Connections of clients that were closed, or whose request was refused before it was complete, by reason.")
	var err error
	m.heldBytes, err = b.meter.Int64ObservableGauge("petrelstep_held", metric.WithDescription("Bytes held for callers that have not taken them yet."), metric.WithUnit("By"))
	b.recordError(err)
	m.clients, err = b.meter.Int64ObservableGauge("petrelstep_clients", metric.WithDescription("Open connections of clients."))
	b.recordError(err)
	m.clientMemory, err = b.meter.Int64ObservableGauge("petrelstep_client_memory", metric.WithDescription("Bytes in the account of clients' memory, by part."), metric.WithUnit("By"))
	b.recordError(err)
}

// ClientClosed implements intake.Counter.
func (m *Metrics) ClientClosed(reason string) {
	m.clientsClosed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// ObserveClients registers functions that return the number of clients' connections, and the
// bytes of their memory by part of the account.
func (m *Metrics) ObserveClients(connections func() int, used func() map[string]int64) error {
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(m.clients, int64(connections()))
		for part, bytes := range used() {
			o.ObserveInt64(m.clientMemory, bytes, metric.WithAttributes(attribute.String("part", part)))
		}
		return nil
	}, m.clients, m.clientMemory)
	return err
}
