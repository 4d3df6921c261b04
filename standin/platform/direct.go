package platform

import (
	"context"
	"time"

	"petrelstep/platform/store"
	"petrelstep/wire"
)

// Direct is the table without a network, for tests in virtual time. Faults
// strike it as they strike the table behind HTTP.
type Direct struct{ platform *Platform }

// Direct returns the table without a network.
func (p *Platform) Direct() *Direct { return &Direct{platform: p} }

// DownError is the cause of a call that a fault struck.
type DownError struct{}

// Error implements error.
func (*DownError) Error() string { return "struck by a fault" }

// Get reads one row.
func (d *Direct) Get(ctx context.Context, key string) (wire.Row, error) {
	if err := d.struck(ctx, func() {}); err != nil {
		return wire.Row{}, err
	}
	return d.platform.Get(key), nil
}

// Scan reads the rows whose keys begin with prefix and lie after a key.
func (d *Direct) Scan(ctx context.Context, prefix, after string) ([]wire.Row, error) {
	if err := d.struck(ctx, func() {}); err != nil {
		return nil, err
	}
	return d.platform.Scan(prefix, after), nil
}

// Transact applies the writes if all checks hold.
func (d *Direct) Transact(ctx context.Context, tx wire.Transaction) (wire.TransactionAnswer, error) {
	effect := func() { d.platform.Transact(tx) }
	if err := d.struckBy(ctx, TableWrites, effect); err != nil {
		return wire.TransactionAnswer{}, err
	}
	if err := d.struck(ctx, effect); err != nil {
		return wire.TransactionAnswer{}, err
	}
	return d.platform.Transact(tx), nil
}

// struck lets a fault strike a call; effect is what the call does when only
// its reply is lost.
func (d *Direct) struck(ctx context.Context, effect func()) error {
	return d.struckBy(ctx, Table, effect)
}

func (d *Direct) struckBy(ctx context.Context, part string, effect func()) error {
	mode, delay := d.platform.struck(part)
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
