package platform

import (
	"maps"
	"slices"
	"strings"

	"petrelstep/platform/store"
	"petrelstep/platform/table"
	"petrelstep/revision"
	"petrelstep/wire"
)

type rowKey struct{ table, part, key string }

// rowSet is the state of the metadata store: rows, versioned by one counter, and the history
// of changes for the feed. Its owner does the locking.
type rowSet struct {
	rows           map[rowKey]store.Row
	version        revision.Revision
	history        []store.Row
	forgottenUntil revision.Revision // changes up to this version are dropped from the history
	statuses       []RolloutStatus
	changed        chan struct{}
}

func newRowSet() *rowSet {
	return &rowSet{rows: map[rowKey]store.Row{}, changed: make(chan struct{})}
}

func (s *rowSet) clone() *rowSet {
	return &rowSet{rows: maps.Clone(s.rows), version: s.version, history: slices.Clone(s.history), forgottenUntil: s.forgottenUntil, changed: make(chan struct{})}
}

func keyOf(r store.Row) rowKey { return rowKey{r.Table, r.Part, r.Key} }

// expectationsHold reports whether the rows have the versions that a transaction expects,
// and returns the current rows.
func (s *rowSet) expectationsHold(tx store.Transaction) (now []store.Row, ok bool) {
	ok = true
	for _, e := range tx.Expect {
		r := s.rows[rowKey{e.Table, e.Part, e.Key}]
		r.Table, r.Part, r.Key = e.Table, e.Part, e.Key
		ok = ok && r.Version == e.Version
		if r.Version > 0 {
			now = append(now, r)
		}
	}
	return now, ok
}

func (s *rowSet) apply(tx store.Transaction) {
	s.version++
	for _, r := range tx.Put {
		r.Version = s.version
		s.rows[keyOf(r)] = r
		s.history = append(s.history, r)
		s.recordStatus(r)
	}
	for _, r := range tx.Remove {
		delete(s.rows, keyOf(r))
		r.Version, r.Removed, r.Value = s.version, true, nil
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// inRange returns the rows of a range, sorted by key.
func (s *rowSet) inRange(r store.Range) []store.Row {
	rows := []store.Row{}
	for k, row := range s.rows {
		if k.table == r.Table && k.part == r.Part && k.key >= r.From && (r.Until == "" || k.key < r.Until) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// since returns the changes of a table after a version, and false if they are no longer in
// the history, or the store doesn't have the version.
func (s *rowSet) since(name string, version revision.Revision) ([]store.Row, bool) {
	if version < s.forgottenUntil || version > s.version {
		return nil, false
	}
	rows := []store.Row{}
	for _, r := range s.history {
		if r.Table == name && r.Version > version {
			rows = append(rows, r)
		}
	}
	return rows, true
}

// own returns one of petrelstep's own rows.
func (s *rowSet) own(key string) wire.Row {
	r := s.rows[rowKey{table: table.Name, key: key}]
	r.Key = key
	return decoded(r)
}

func decoded(r store.Row) wire.Row {
	row, err := table.Decode(r)
	if err != nil {
		panic(err) // only this package and package table write such rows
	}
	return row
}
