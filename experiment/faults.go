package experiment

import (
	"sort"

	"petrelstep/standin/batch"
)

func (w *world) strike(f fault) {
	switch f.kind {
	case reclaimEngine:
		e := w.engines[f.who]
		e.leaving = true
		w.after(f.last, func() { w.killEngine(e) })
	case killEngine:
		w.killEngine(w.engines[f.who])
	case killBox:
		w.killBox(w.boxes[f.who])
		w.after(f.last, func() { w.startBox(f.who) })
	case freezeReports:
		w.frozen = true
		w.after(f.last, func() { w.frozen = false })
	case partBoxes:
		w.part(f.who)
		w.after(f.last, func() { w.part(0) })
	}
}

func (w *world) killEngine(e *engine) {
	e.down = true
	lost := e.core.Clear()
	w.after(breakTime, func() {
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
	if q.run != r || q.over {
		return
	}
	if q.tokens > 0 {
		// A second generation may not be spliced on: the caller is told at once.
		q.box.ended(q, true)
		w.fail(q, "generation_lost")
		return
	}
	q.box.again(q, "engine_lost", e.name)
}

// killBox ends a box; its callers come back at others.
func (w *world) killBox(b *box) {
	b.alive = false
	for _, q := range sortedRequests(b.flying) {
		next := w.anotherBox(b)
		w.after(takeUpTime, func() { next.takeUp(q) })
	}
	for _, q := range sortedRequests(b.waiting) {
		next := w.anotherBox(b)
		w.after(takeUpTime, func() {
			w.rec.result.Retried["box_lost"]++
			next.take(q)
		})
	}
	b.flying, b.waiting = map[string]*request{}, map[string]*request{}
	w.after(breakTime, func() {
		for _, other := range w.boxes {
			other.reaskFrom(b)
		}
	})
}

func (w *world) startBox(id int) {
	w.boxes[id] = newBox(w, id)
	w.boxes[id].start()
}

// part cuts the boxes below k from the others; 0 heals the cut.
func (w *world) part(k int) {
	w.parted = k
	for _, b := range w.boxes {
		b.shareRoom()
	}
	for _, b := range w.boxes {
		for _, other := range w.boxes {
			if !w.reachable(b, other) {
				w.after(suspectTime, func() { b.reaskFrom(other) })
			}
		}
		if k == 0 {
			b.reaskFrom(b)
		}
	}
}

// shareRoom gives a home box the part of the free memory that the boxes it
// reaches are of all that the list names.
func (b *box) shareRoom() {
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
	return a.alive && b.alive && (w.parted == 0 || (a.id < w.parted) == (b.id < w.parted))
}

func sortedRequests(m map[string]*request) []*request {
	all := make([]*request, 0, len(m))
	for _, q := range m {
		all = append(all, q)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	return all
}
