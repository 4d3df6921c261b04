// Package configwriter writes the configuration: each accepted change is committed
// to the platform's table with the next global revision, or not at all.
package configwriter

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"petrelstep/platform/table"
	"petrelstep/refusal"
	"petrelstep/resource"
	"petrelstep/uniqueid"
	"petrelstep/wire"
)

// Keys of the table.
const (
	RevisionKey    = "rev"
	ResourcePrefix = "res/"
	ChangePrefix   = "chg/"
)

// ChangeKey returns the key of a revision's change; keys sort by revision.
func ChangeKey(revision int) string { return fmt.Sprintf("%s%012d", ChangePrefix, revision) }

const (
	// triesMost bounds how often a write races for the next revision.
	triesMost = 20
	// unsettledMost bounds how often a write whose reply was lost is sent again.
	unsettledMost = 4
	settleWait    = 100 * time.Millisecond
	comeBack      = 2 * time.Second
)

// Table is the platform's table.
type Table interface {
	Get(ctx context.Context, key string) (wire.Row, error)
	Scan(ctx context.Context, prefix, after string) ([]wire.Row, error)
	Transact(ctx context.Context, tx wire.Transaction) (wire.TransactionAnswer, error)
}

// Verifier finds mistakes in a resource.
type Verifier interface {
	Mistakes(now *resource.View, r wire.Resource) []string
}

// Writer is safe for use by several goroutines.
type Writer struct {
	table     Table
	verifier  Verifier
	resources *resource.Resources
	catchUp   func(ctx context.Context) error
}

// New returns a declarer. catchUp brings the configuration in force up to the
// table's, so that references are checked against the newest.
func New(t Table, v Verifier, r *resource.Resources, catchUp func(ctx context.Context) error) *Writer {
	return &Writer{table: t, verifier: v, resources: r, catchUp: catchUp}
}

// Write commits a resource if its version is the one now in the table, and
// returns it with its new version and revision. The error is a
// refusal.Refusal; only unknown_outcome leaves open whether it was accepted.
func (d *Writer) Write(ctx context.Context, r wire.Resource) (wire.Resource, error) {
	for range triesMost {
		if err := d.catchUp(ctx); err != nil {
			return r, refusal.New(refusal.StoreDown, "the table cannot be read").WithRetryAfter(comeBack)
		}
		done, again, err := d.writeOnce(ctx, r)
		if !again {
			return done, err
		}
	}
	return r, refusal.New(refusal.StoreDown, "too many writes race").WithRetryAfter(comeBack)
}

func (d *Writer) writeOnce(ctx context.Context, r wire.Resource) (done wire.Resource, again bool, err error) {
	view := d.resources.View()
	if places := d.verifier.Mistakes(view, r); len(places) > 0 {
		return r, false, refusal.New(refusal.BadRequest, "the resource has mistakes").WithPlaces(places)
	}
	revision, err := d.table.Get(ctx, RevisionKey)
	if err != nil {
		return r, false, refusal.New(refusal.StoreDown, "the table cannot be read").WithRetryAfter(comeBack)
	}
	if at, _ := strconv.Atoi(revision.Value); at != view.Revision {
		return r, true, nil // the checks were made against an older configuration
	}
	next := r
	next.Version = r.Version + 1
	next.Revision = view.Revision + 1
	return d.commit(ctx, r, next, revision.Version)
}

// commit sends one transaction until it is settled. Sent again after a lost
// reply, it meets its own change row.
func (d *Writer) commit(ctx context.Context, r, next wire.Resource, revisionVersion int) (wire.Resource, bool, error) {
	tx, token := transaction(r, next, revisionVersion)
	lost := false
	for range unsettledMost {
		answer, err := d.table.Transact(ctx, tx)
		switch {
		case err == nil && answer.Committed:
			return next, false, nil
		case err == nil:
			return d.conflicted(ctx, r, next, token, answer.Conflicts, lost)
		case table.NoEffect(err) && !lost:
			return r, false, refusal.New(refusal.StoreDown, "the table takes no writes").WithRetryAfter(comeBack)
		}
		lost = true
		time.Sleep(settleWait)
	}
	return r, false, refusal.New(refusal.UnknownOutcome, "the table's reply was lost").WithRetryAfter(comeBack)
}

func (d *Writer) conflicted(ctx context.Context, r, next wire.Resource, token string, rows []wire.Row, lost bool) (wire.Resource, bool, error) {
	if lost {
		row, err := d.table.Get(ctx, ChangeKey(next.Revision))
		if err != nil {
			return r, false, refusal.New(refusal.UnknownOutcome, "the table's reply was lost").WithRetryAfter(comeBack)
		}
		if change, ok := DecodeChange(row); ok && change.Token == token {
			return next, false, nil
		}
	}
	for _, row := range rows {
		if row.Key == resourceKey(r) {
			return r, false, refusal.New(refusal.Conflict, "another version is in force").WithVersion(row.Version)
		}
	}
	return r, true, nil // another change took the revision
}

func transaction(r, next wire.Resource, revisionVersion int) (wire.Transaction, string) {
	token := uniqueid.New()
	change := mustJSON(wire.Change{Token: token, Resource: next})
	return wire.Transaction{
		Token: token,
		Checks: []wire.RowCheck{
			{Key: RevisionKey, Version: revisionVersion},
			{Key: resourceKey(r), Version: r.Version},
		},
		Writes: []wire.RowWrite{
			{Key: RevisionKey, Value: strconv.Itoa(next.Revision)},
			{Key: resourceKey(r), Value: mustJSON(next)},
			{Key: ChangeKey(next.Revision), Value: change},
		},
	}, token
}

func resourceKey(r wire.Resource) string { return ResourcePrefix + resource.Key(r.Kind, r.Name) }

// DecodeChange reads a change row.
func DecodeChange(row wire.Row) (wire.Change, bool) {
	var c wire.Change
	err := json.Unmarshal([]byte(row.Value), &c)
	return c, err == nil
}

func mustJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only wire types come here
	}
	return string(b)
}
