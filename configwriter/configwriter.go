// Package configwriter writes the configuration: each accepted change is
// committed to the platform's table atomically with the next global revision.
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

// Keys and key prefixes in the table.
const (
	RevisionKey    = "rev"
	ResourcePrefix = "res/"
	ChangePrefix   = "chg/"
)

// ChangeKey returns the key of a revision's change; keys sort by revision.
func ChangeKey(revision int) string { return fmt.Sprintf("%s%012d", ChangePrefix, revision) }

const (
	// maxTries bounds the attempts of a write to get the next revision.
	maxTries = 20
	// maxSends bounds how often a transaction is sent while its replies are lost.
	maxSends    = 4
	resendDelay = 100 * time.Millisecond
	retryAfter  = 2 * time.Second
)

// Table is the platform's table.
type Table interface {
	// GetInEra and ScanInEra return also the store's era in which the rows were read.
	GetInEra(ctx context.Context, key string) (row wire.Row, era int, err error)
	ScanInEra(ctx context.Context, prefix, after string) (rows []wire.Row, era int, err error)
	Transact(ctx context.Context, tx wire.Transaction) (wire.TransactionAnswer, error)
}

// Verifier validates a resource.
type Verifier interface {
	Mistakes(now *resource.View, r wire.Resource) []string
}

// Writer writes resources to the table. It is safe for concurrent use.
type Writer struct {
	table     Table
	verifier  Verifier
	resources *resource.Resources
	catchUp   func(ctx context.Context) error
}

// New returns a writer. catchUp updates the configuration in force from the
// table, so that references are checked against the latest.
func New(t Table, v Verifier, r *resource.Resources, catchUp func(ctx context.Context) error) *Writer {
	return &Writer{table: t, verifier: v, resources: r, catchUp: catchUp}
}

// Write commits a resource if its version is the current one in the table, and
// returns it with its new version and revision. The error is a
// refusal.Refusal; unless it is unknown_outcome, the write was not accepted.
func (w *Writer) Write(ctx context.Context, r wire.Resource) (wire.Resource, error) {
	for range maxTries {
		if err := w.catchUp(ctx); err != nil {
			return r, refusal.New(refusal.StoreDown, "the table cannot be read").WithRetryAfter(retryAfter)
		}
		done, retry, err := w.writeOnce(ctx, r)
		if !retry {
			return done, err
		}
	}
	return r, refusal.New(refusal.StoreDown, "too many concurrent writes").WithRetryAfter(retryAfter)
}

func (w *Writer) writeOnce(ctx context.Context, r wire.Resource) (done wire.Resource, retry bool, err error) {
	view := w.resources.View()
	if places := w.verifier.Mistakes(view, r); len(places) > 0 {
		return r, false, refusal.New(refusal.BadRequest, "the resource is invalid").WithPlaces(places)
	}
	row, era, err := w.table.GetInEra(ctx, RevisionKey)
	if err != nil {
		return r, false, refusal.New(refusal.StoreDown, "the table cannot be read").WithRetryAfter(retryAfter)
	}
	if at := resource.PositionOf(State{Era: era, Revision: row}.Set()); at != view.Position() {
		return r, true, nil // the checks were made against another configuration
	}
	next := r
	next.Version = r.Version + 1
	next.Revision = view.Revision + 1
	next.Era = era
	return w.commit(ctx, r, next, row.Version)
}

// commit sends one transaction until its outcome is known. If it is sent again
// after a lost reply, it may conflict with its own change row.
func (w *Writer) commit(ctx context.Context, r, next wire.Resource, revisionVersion int) (wire.Resource, bool, error) {
	tx, token := transaction(r, next, revisionVersion)
	lost := false
	for range maxSends {
		answer, err := w.table.Transact(ctx, tx)
		switch {
		case err == nil && answer.Committed:
			return next, false, nil
		case err == nil:
			return w.resolveConflict(ctx, r, next, token, answer.Conflicts, lost)
		case table.NoEffect(err) && !lost:
			return r, false, refusal.New(refusal.StoreDown, "the table rejects writes").WithRetryAfter(retryAfter)
		}
		lost = true
		time.Sleep(resendDelay)
	}
	return r, false, refusal.New(refusal.UnknownOutcome, "the table's reply was lost").WithRetryAfter(retryAfter)
}

func (w *Writer) resolveConflict(ctx context.Context, r, next wire.Resource, token string, rows []wire.Row, lost bool) (wire.Resource, bool, error) {
	if lost {
		row, era, err := w.table.GetInEra(ctx, ChangeKey(next.Revision))
		if err != nil {
			return r, false, refusal.New(refusal.UnknownOutcome, "the table's reply was lost").WithRetryAfter(retryAfter)
		}
		if change, ok := DecodeChange(row); ok && change.Token == token {
			return next, false, nil
		}
		if era != next.Era {
			// Boxes that read it before the restore write it again.
			return r, false, refusal.New(refusal.UnknownOutcome, "the table was restored before it replied").WithRetryAfter(retryAfter)
		}
	}
	for _, row := range rows {
		if row.Key == resourceKey(r) {
			return r, false, refusal.New(refusal.Conflict, "another version is in force").WithVersion(row.Version)
		}
	}
	return r, true, nil // another change got the revision
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

// DecodeChange decodes a change row.
func DecodeChange(row wire.Row) (wire.Change, bool) {
	var c wire.Change
	err := json.Unmarshal([]byte(row.Value), &c)
	return c, err == nil
}

func mustJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // wire types always encode
	}
	return string(b)
}
