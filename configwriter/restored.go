package configwriter

import (
	"context"
	"encoding/json"
	"strconv"

	"petrelstep/wire"
)

// State is a complete state of the configuration in the table.
type State struct {
	Era      int      // of the store
	Revision wire.Row // of RevisionKey
	Rows     []wire.Row
}

// Set returns the state as a set of changes.
func (s State) Set() wire.ChangeSet {
	set := wire.ChangeSet{Era: s.Era, Items: []wire.Resource{}}
	set.Revision, _ = strconv.Atoi(s.Revision.Value) // no row is revision 0
	for _, row := range s.Rows {
		var r wire.Resource
		if json.Unmarshal([]byte(row.Value), &r) == nil {
			set.Items = append(set.Items, r)
		}
	}
	return set
}

// WriteAgain writes resources that the table lost when it was restored from an older copy, if it
// is still in a state. Each stays the write that it was, with its era and revision, so that it
// replaces no later one, whichever box writes it; one without a revision is a new write. The table's
// revision rises above one that was given out before, without a row of a change: boxes that follow
// the changes read all.
func WriteAgain(ctx context.Context, t Table, s State, again []wire.Resource, above int) (revision int, done bool, err error) {
	revision = max(s.Set().Revision, above) + 1
	tx := wire.Transaction{
		Checks: []wire.RowCheck{{Key: RevisionKey, Version: s.Revision.Version}},
		Writes: []wire.RowWrite{{Key: RevisionKey, Value: strconv.Itoa(revision)}},
	}
	versions := map[string]int{}
	for _, row := range s.Rows {
		versions[row.Key] = row.Version
	}
	for _, r := range again {
		key := resourceKey(r)
		r.Version = max(r.Version, versions[key]+1)
		if r.Revision == 0 {
			r.Era, r.Revision = s.Era, revision
		}
		tx.Checks = append(tx.Checks, wire.RowCheck{Key: key, Version: versions[key]})
		tx.Writes = append(tx.Writes, wire.RowWrite{Key: key, Value: mustJSON(r), Version: r.Version})
	}
	answer, err := t.Transact(ctx, tx)
	return revision, answer.Committed, err
}
