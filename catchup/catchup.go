// Package catchup updates the configuration in force at a box from the
// platform's table. It never reverts to an older state, even if the table
// returns one.
package catchup

import (
	"context"
	"encoding/json"
	"strconv"

	"petrelstep/configwriter"
	"petrelstep/resource"
	"petrelstep/wire"
)

// maxSnapshotTries bounds the attempts to read the complete state without a
// concurrent write.
const maxSnapshotTries = 8

// UnsteadyError reports that each read of the complete state overlapped a write.
type UnsteadyError struct{}

// Error implements error.
func (*UnsteadyError) Error() string { return "the table changed during each read" }

// CatchUp updates the configuration in force from the table.
type CatchUp struct {
	table     configwriter.Table
	resources *resource.Resources
}

// New returns a CatchUp from the table t to r.
func New(t configwriter.Table, r *resource.Resources) *CatchUp {
	return &CatchUp{table: t, resources: r}
}

// Run updates the configuration once.
func (c *CatchUp) Run(ctx context.Context) error {
	newest, err := c.revision(ctx)
	if err != nil {
		return err
	}
	now := c.resources.View().Revision
	if newest <= now {
		return nil
	}
	if now > 0 {
		complete, err := c.changes(ctx, now, newest)
		if err != nil || complete {
			return err
		}
	}
	return c.snapshot(ctx)
}

// revision returns the latest revision in the table.
func (c *CatchUp) revision(ctx context.Context) (int, error) {
	row, err := c.table.Get(ctx, configwriter.RevisionKey)
	if err != nil {
		return 0, err
	}
	revision, _ := strconv.Atoi(row.Value) // no row is revision 0
	return revision, nil
}

// changes applies the changes between two revisions; complete is false at a gap.
func (c *CatchUp) changes(ctx context.Context, now, newest int) (complete bool, err error) {
	rows, err := c.table.Scan(ctx, configwriter.ChangePrefix, configwriter.ChangeKey(now))
	if err != nil {
		return false, err
	}
	set := wire.ChangeSet{Revision: newest, Since: now}
	for _, row := range rows {
		if change, ok := configwriter.DecodeChange(row); ok {
			set.Items = append(set.Items, change.Resource)
		}
	}
	return c.resources.Apply(set), nil
}

// snapshot reads the complete state. An equal revision before and after proves
// that no write overlapped the read.
func (c *CatchUp) snapshot(ctx context.Context) error {
	for range maxSnapshotTries {
		before, err := c.revision(ctx)
		if err != nil {
			return err
		}
		rows, err := c.table.Scan(ctx, configwriter.ResourcePrefix, "")
		if err != nil {
			return err
		}
		after, err := c.revision(ctx)
		if err != nil {
			return err
		}
		if before != after {
			continue
		}
		c.resources.Apply(wire.ChangeSet{Revision: after, Items: decodeAll(rows)})
		return nil
	}
	return &UnsteadyError{}
}

func decodeAll(rows []wire.Row) []wire.Resource {
	items := []wire.Resource{}
	for _, row := range rows {
		var r wire.Resource
		if json.Unmarshal([]byte(row.Value), &r) == nil {
			items = append(items, r)
		}
	}
	return items
}
