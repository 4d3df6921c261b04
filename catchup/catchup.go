// Package catchup updates the configuration in force at a box from the
// platform's table. It never reverts to an older state, even if the table
// returns one. When the table was restored from an older copy, it writes again
// what the box still has.
package catchup

import (
	"context"

	"petrelstep/configwriter"
	"petrelstep/resource"
	"petrelstep/wire"
)

// maxSnapshotTries bounds the attempts to read the complete state without a
// concurrent write.
const maxSnapshotTries = 8

// maxAgain bounds the resources that one transaction writes again.
const maxAgain = 100

// UnsteadyError reports that each read of the complete state overlapped a write.
type UnsteadyError struct{}

// Error implements error.
func (*UnsteadyError) Error() string { return "the table changed during each read" }

// Rewritten is what was written again after a restore of the table.
type Rewritten struct {
	Before, After resource.Position // of the configuration in force, and of the table
	Resources     int
}

// CatchUp updates the configuration in force from the table.
type CatchUp struct {
	table     configwriter.Table
	resources *resource.Resources
	rewritten func(Rewritten)
}

// New returns a CatchUp from the table t to r.
func New(t configwriter.Table, r *resource.Resources) *CatchUp {
	return &CatchUp{table: t, resources: r, rewritten: func(Rewritten) {}}
}

// OnRewritten calls f after each transaction that writes again what a restored table lost. It
// must be called before Run.
func (c *CatchUp) OnRewritten(f func(Rewritten)) { c.rewritten = f }

// Run updates the configuration once.
func (c *CatchUp) Run(ctx context.Context) error {
	row, era, err := c.table.GetInEra(ctx, configwriter.RevisionKey)
	if err != nil {
		return err
	}
	newest := resource.PositionOf(configwriter.State{Era: era, Revision: row}.Set())
	now := c.resources.View().Position()
	if !newest.After(now) {
		return nil
	}
	if newest.Era == now.Era && now.Revision > 0 {
		complete, err := c.changes(ctx, now, newest)
		if err != nil || complete {
			return err
		}
	}
	return c.snapshot(ctx)
}

// changes applies the changes between two revisions; complete is false at a gap.
func (c *CatchUp) changes(ctx context.Context, now, newest resource.Position) (complete bool, err error) {
	rows, era, err := c.table.ScanInEra(ctx, configwriter.ChangePrefix, configwriter.ChangeKey(now.Revision))
	if err != nil || era != newest.Era {
		return false, err
	}
	set := wire.ChangeSet{Era: era, Revision: newest.Revision, Since: now.Revision}
	for _, row := range rows {
		if change, ok := configwriter.DecodeChange(row); ok {
			set.Items = append(set.Items, change.Resource)
		}
	}
	return c.resources.Apply(set), nil
}

// snapshot applies the complete state, after what it has lost by a restore is written again.
func (c *CatchUp) snapshot(ctx context.Context) error {
	for range maxSnapshotTries {
		state, steady, err := c.read(ctx)
		if err != nil {
			return err
		}
		if !steady {
			continue
		}
		set := state.Set()
		again, renumber := c.resources.Lost(set)
		if !renumber {
			if c.resources.Apply(set) {
				return nil
			}
			continue // a change from another box came in between, and is not in the state
		}
		if err := c.writeAgain(ctx, state, again[:min(len(again), maxAgain)]); err != nil {
			return err
		}
	}
	return &UnsteadyError{}
}

// read reads the complete state. An equal revision before and after proves that
// no write overlapped the read.
func (c *CatchUp) read(ctx context.Context) (s configwriter.State, steady bool, err error) {
	before, first, err := c.table.GetInEra(ctx, configwriter.RevisionKey)
	if err != nil {
		return s, false, err
	}
	rows, era, err := c.table.ScanInEra(ctx, configwriter.ResourcePrefix, "")
	if err != nil {
		return s, false, err
	}
	after, last, err := c.table.GetInEra(ctx, configwriter.RevisionKey)
	if err != nil {
		return s, false, err
	}
	return configwriter.State{Era: last, Revision: after, Rows: rows}, before == after && first == era && era == last, nil
}

// writeAgain sends one transaction. If another box writes meanwhile, or the reply is lost, the
// next read of the state shows what is still missing.
func (c *CatchUp) writeAgain(ctx context.Context, s configwriter.State, again []wire.Resource) error {
	now := c.resources.View().Position()
	revision, done, err := configwriter.WriteAgain(ctx, c.table, s, again, now.Revision)
	if done {
		c.rewritten(Rewritten{Before: now, After: resource.Position{Era: s.Era, Revision: revision}, Resources: len(again)})
	}
	return err
}
