package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"petrelstep/platform/manifest"
	"petrelstep/wire"
)

// registerInterval is how often a hub writes the rows of boxes that requested it.
const registerInterval = time.Second

// registrar writes, in batches, the rows that the store refused to take from the boxes
// themselves.
type registrar struct {
	*Edge

	mu      sync.Mutex
	waiting map[string]wire.BoxRecord // by name
}

func newRegistrar(e *Edge) *registrar {
	return &registrar{Edge: e, waiting: map[string]wire.BoxRecord{}}
}

// add queues a box that has no row in the table as last read.
func (r *registrar) add(box wire.BoxRecord) {
	if r.members.IsListed(box.Box) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[box.Box] = box
}

// write writes a batch of queued rows; after a failure they stay queued.
func (r *registrar) write(ctx context.Context) {
	rows := r.batch()
	if len(rows) == 0 {
		return
	}
	join := func(ctx context.Context) error { return r.writeRows(ctx, r.ownHallSize(), rows...) }
	if r.attempt(ctx, join) != nil {
		return
	}
	for _, row := range rows {
		r.members.MarkRegistered(row.Box)
	}
	r.remove(rows)
	r.log.WithField("boxes", len(rows)).Info("boxes_registered")
}

// batch returns the oldest of the queued rows, at most one call's worth.
func (r *registrar) batch() []wire.BoxRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []wire.BoxRecord
	for _, box := range r.waiting {
		rows = append(rows, box)
	}
	slices.SortFunc(rows, func(a, b wire.BoxRecord) int { return a.Incarnation - b.Incarnation })
	return rows[:min(len(rows), manifest.MaxJoinBatch)]
}

func (r *registrar) remove(rows []wire.BoxRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		delete(r.waiting, row.Box)
	}
}
