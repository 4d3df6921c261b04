package experiment

import (
	"sort"

	"petrelstep/standin/batch"
)

func (w *world) inject(f fault) {
	switch f.kind {
	case reclaimEngine:
		e := w.engines[f.target]
		e.leaving = true
		w.after(f.duration, func() { w.killEngine(e) })
	case killEngine:
		w.killEngine(w.engines[f.target])
	case killBox:
		w.killBox(w.boxes[f.target])
		w.after(f.duration, func() { w.startBox(f.target) })
	case freezeReports:
		w.frozen = true
		w.after(f.duration, func() { w.frozen = false })
	case partitionBoxes:
		w.partition(f.target)
		w.after(f.duration, func() { w.partition(0) })
	}
}

func (w *world) killEngine(e *engine) {
	e.down = true
	lost := e.core.Clear()
	w.after(disconnectTime, func() {
		for _, r := range lost {
			w.engineLost(r, e)
		}
	})
	w.after(downTime, func() {
		e.down, e.leaving, e.stepping = false, false, false
		e.incarnation++
	})
}

func (w *world) engineLost(r *batch.Run, e *engine) {
	q := r.Tag.(*request)
	if q.run != r || q.finished {
		return
	}
	if q.tokens > 0 {
		// The stream can't continue with another generation, so the request fails.
		q.box.finish(q, true)
		w.reject(q, "generation_lost")
		return
	}
	q.box.retry(q, "engine_lost", e.name)
}

// killBox ends a box; its callers reconnect to other boxes.
func (w *world) killBox(b *box) {
	b.alive = false
	for _, q := range sortedRequests(b.dispatched) {
		next := w.anotherBox(b)
		w.after(reconnectTime, func() { next.resume(q) })
	}
	for _, q := range sortedRequests(b.waiting) {
		next := w.anotherBox(b)
		w.after(reconnectTime, func() {
			w.rec.result.Retried["box_lost"]++
			next.accept(q)
		})
	}
	b.dispatched, b.waiting = map[string]*request{}, map[string]*request{}
	w.after(disconnectTime, func() {
		for _, other := range w.boxes {
			other.requestGrantsAgain(b)
		}
	})
}

func (w *world) startBox(id int) {
	w.boxes[id] = newBox(w, id)
	w.boxes[id].start()
}

// partition disconnects the boxes below k from the others; 0 ends the partition.
func (w *world) partition(k int) {
	w.partitioned = k
	for _, b := range w.boxes {
		b.updateShare()
	}
	for _, b := range w.boxes {
		for _, other := range w.boxes {
			if !w.reachable(b, other) {
				w.after(suspectTime, func() { b.requestGrantsAgain(other) })
			}
		}
		if k == 0 {
			b.requestGrantsAgain(b)
		}
	}
}

// updateShare sets a home box's share of the free memory to the fraction of all boxes that
// it can reach.
func (b *box) updateShare() {
	if b.w.policy.sharing != homeBox {
		return
	}
	reached := 0
	for _, other := range b.w.boxes {
		if b == other || b.w.reachable(b, other) {
			reached++
		}
	}
	params := b.w.policy.params()
	params.Share = float64(reached) / boxCount
	b.home.SetParams(params)
}

func (w *world) reachable(a, b *box) bool {
	return a.alive && b.alive && (w.partitioned == 0 || (a.id < w.partitioned) == (b.id < w.partitioned))
}

func sortedRequests(m map[string]*request) []*request {
	all := make([]*request, 0, len(m))
	for _, q := range m {
		all = append(all, q)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	return all
}
