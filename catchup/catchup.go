// Package catchup brings the configuration in force at a box up to the
// platform's table. It never goes back: a table that hands out an older state
// changes nothing.
package catchup

import (
	"context"
	"encoding/json"
	"strconv"

	"petrelstep/configwriter"
	"petrelstep/resource"
	"petrelstep/wire"
)

// snapshotTries bounds how often a whole state is read until no write falls
// into the reading.
const snapshotTries = 8

// UnsteadyError says that writes fell into each reading of the whole state.
type UnsteadyError struct{}

// Error implements error.
func (*UnsteadyError) Error() string { return "the table changed during each reading" }

// CatchUp reads the table.
type CatchUp struct {
	table     configwriter.Table
	resources *resource.Resources
}

// New returns a reader of the table into r.
func New(t configwriter.Table, r *resource.Resources) *CatchUp {
	return &CatchUp{table: t, resources: r}
}

// Run brings the configuration up to date once.
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
		whole, err := c.changes(ctx, now, newest)
		if err != nil || whole {
			return err
		}
	}
	return c.snapshot(ctx)
}

func (c *CatchUp) revision(ctx context.Context) (int, error) {
	row, err := c.table.Get(ctx, configwriter.RevisionKey)
	if err != nil {
		return 0, err
	}
	revision, _ := strconv.Atoi(row.Value) // no row is revision 0
	return revision, nil
}

func (c *CatchUp) changes(ctx context.Context, now, newest int) (whole bool, err error) {
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

// snapshot reads the whole state; a revision that is the same before and
// after tells that no write fell into the reading.
func (c *CatchUp) snapshot(ctx context.Context) error {
	for range snapshotTries {
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
