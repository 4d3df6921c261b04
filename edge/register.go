package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"petrelstep/platform/manifest"
	"petrelstep/wire"
)

// registerEvery is how often a hub writes the rows of the boxes that asked it to.
const registerEvery = time.Second

// registrar writes, for many boxes at once, the rows that the store would not take from
// each of them.
type registrar struct {
	*Edge

	mu      sync.Mutex
	waiting map[string]wire.BoxRecord // by name
}

func newRegistrar(e *Edge) *registrar {
	return &registrar{Edge: e, waiting: map[string]wire.BoxRecord{}}
}

// asked takes a box that has no row, unless the table was read with one since.
func (r *registrar) asked(box wire.BoxRecord) {
	if r.members.IsListed(box.Box) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[box.Box] = box
}

// write writes the rows of those that wait, as many as one call takes. What failed is
// written with the next.
func (r *registrar) write(ctx context.Context) {
	rows := r.next()
	if len(rows) == 0 {
		return
	}
	join := func(ctx context.Context) error { return r.writeRows(ctx, r.ownHall(), rows...) }
	if r.once(ctx, join) != nil {
		return
	}
	for _, row := range rows {
		r.members.MarkRegistered(row.Box)
	}
	r.done(rows)
	r.log.WithField("boxes", len(rows)).Info("boxes_registered")
}

// next returns some of those that wait.
func (r *registrar) next() []wire.BoxRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []wire.BoxRecord
	for _, box := range r.waiting {
		rows = append(rows, box)
	}
	slices.SortFunc(rows, func(a, b wire.BoxRecord) int { return a.Incarnation - b.Incarnation })
	return rows[:min(len(rows), manifest.JoinMost)]
}

func (r *registrar) done(rows []wire.BoxRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		delete(r.waiting, row.Box)
	}
}
