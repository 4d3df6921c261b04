package platform

import (
	"context"
	"time"

	"petrelstep/platform/store"
	"petrelstep/wire"
)

// Direct gives access to the table without a network, for tests in virtual time. Faults
// affect it as they affect the table behind HTTP.
type Direct struct{ platform *Platform }

// Direct returns access to the table without a network.
func (p *Platform) Direct() *Direct { return &Direct{platform: p} }

// DownError is the cause of a call's failure by an injected fault.
type DownError struct{}

// Error implements error.
func (*DownError) Error() string { return "injected fault" }

// Get returns one row.
func (d *Direct) Get(ctx context.Context, key string) (wire.Row, error) {
	if err := d.applyFault(ctx, func() {}); err != nil {
		return wire.Row{}, err
	}
	return d.platform.Get(key), nil
}

// GetInEra returns one row and the store's era.
func (d *Direct) GetInEra(ctx context.Context, key string) (wire.Row, int, error) {
	row, err := d.Get(ctx, key)
	return row, d.platform.currentEra(), err
}

// ScanInEra returns rows as Scan does, and the store's era.
func (d *Direct) ScanInEra(ctx context.Context, prefix, after string) ([]wire.Row, int, error) {
	rows, err := d.Scan(ctx, prefix, after)
	return rows, d.platform.currentEra(), err
}

// Scan returns the rows whose keys begin with prefix and lie after a key.
func (d *Direct) Scan(ctx context.Context, prefix, after string) ([]wire.Row, error) {
	if err := d.applyFault(ctx, func() {}); err != nil {
		return nil, err
	}
	return d.platform.Scan(prefix, after), nil
}

// Transact applies the writes if all checks hold.
func (d *Direct) Transact(ctx context.Context, tx wire.Transaction) (wire.TransactionAnswer, error) {
	effect := func() { d.platform.Transact(tx) }
	if err := d.applyComponentFault(ctx, TableWrites, effect); err != nil {
		return wire.TransactionAnswer{}, err
	}
	if err := d.applyFault(ctx, effect); err != nil {
		return wire.TransactionAnswer{}, err
	}
	return d.platform.Transact(tx), nil
}

// applyFault applies the table's fault to a call; effect is the call's effect, which takes
// place if only its reply is lost.
func (d *Direct) applyFault(ctx context.Context, effect func()) error {
	return d.applyComponentFault(ctx, Table, effect)
}

func (d *Direct) applyComponentFault(ctx context.Context, component string, effect func()) error {
	mode, delay := d.platform.nextFault(component)
	switch mode {
	case wire.FaultModeDown:
		return &store.Error{Call: Table, NoEffect: true, Err: &DownError{}}
	case wire.FaultModeLoseReply:
		effect()
		return &store.Error{Call: Table, Err: &DownError{}}
	case wire.FaultModeSlow:
		select {
		case <-ctx.Done():
			return &store.Error{Call: Table, Err: ctx.Err()}
		case <-time.After(delay):
		}
	}
	return nil
}
