package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/members"
	"petrelstep/platform/manifest"
	"petrelstep/wire"
)

// registerInterval is how often a hub writes the rows of boxes that requested it.
const registerInterval = time.Second

// registrar writes, in batches, the rows that the store refused to take from the boxes
// themselves, and those that it lost when it was restored from an older copy.
type registrar struct {
	*Edge

	mu       sync.Mutex
	waiting  map[string]wire.BoxRecord // by name
	era      int                       // of the store since its last restore; 0 if none is known
	observed bool                      // the store itself answered with that era
	restored bool                      // rows may be missing since then
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

// storeRestored makes the registrar look for rows that the store has lost, as one of its answers
// shows that it was restored.
func (r *registrar) storeRestored(era int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era != r.era {
		r.era, r.restored = era, true
	}
	r.observed = true
}

// receiveEra handles the era that another box knows of. Few hubs of a large fleet call the store,
// and each knows only the boxes that call it.
func (r *registrar) receiveEra(era int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era > r.era {
		r.era, r.observed, r.restored = era, false, true
	}
}

// restoredEra returns the store's era since its last restore; 0 if none is known.
func (r *registrar) restoredEra() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

// rewriteDue reports whether this box is to look for lost rows, and in which era.
func (r *registrar) rewriteDue() (era int, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era, r.restored && (r.observed || r.IsLargeFleet() && r.IsHub())
}

// run writes rows until ctx ends: a batch at a time, or all that a restored store has lost.
func (r *registrar) run(ctx context.Context) {
	r.timer.Every(ctx, "register", registerInterval, func(time.Time) {
		if r.rewrite(ctx) {
			return
		}
		r.write(ctx)
	})
}

// rewrite writes all rows that the store has lost since its last restore. It returns false if
// there is nothing to do.
func (r *registrar) rewrite(ctx context.Context) bool {
	era, due := r.rewriteDue()
	if !due {
		return false
	}
	var stored []wire.BoxRecord
	list := func(ctx context.Context) (err error) { stored, err = r.boxes.List(ctx); return err }
	if r.attempt(ctx, list) != nil {
		return true
	}
	began, rows := time.Now(), r.lost(time.Now(), stored)
	for batch := range slices.Chunk(rows, manifest.MaxJoinBatch) {
		if r.attempt(ctx, func(ctx context.Context) error { return r.writeRows(ctx, nil, batch...) }) != nil {
			return true // looks again which rows are missing
		}
	}
	if halls := r.ownHallSize(); r.IsHub() && len(halls) > 0 && r.attempt(ctx, func(ctx context.Context) error { return r.writeRows(ctx, halls) }) != nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restored = r.era != era // restored once more
	r.log.WithFields(logrus.Fields{"era": era, "stored": len(stored), "written": len(rows), "took_ms": time.Since(began).Milliseconds()}).Info("boxes_restored")
	return true
}

// lost returns the rows of the boxes heard from that are not stored, or only as of an earlier
// incarnation at another address.
func (r *registrar) lost(now time.Time, stored []wire.BoxRecord) (rows []wire.BoxRecord) {
	byName := map[string]wire.BoxRecord{}
	for _, s := range stored {
		byName[s.Box] = s
	}
	for _, b := range r.members.All(now) {
		row := wire.BoxRecord{Box: b.Name, Hall: b.Hall, Address: b.Address, Incarnation: b.Incarnation, Strong: b.HubEligible}
		old, found := byName[b.Name]
		heard := b.Incarnation > 0 && b.State != members.Leaving
		if heard && (!found || old.Incarnation < row.Incarnation && !sameRow(old, row)) {
			rows = append(rows, row)
		}
	}
	return rows
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
