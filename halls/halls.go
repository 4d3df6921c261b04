// Package halls knows which halls are evacuated: nothing new goes to the
// upstreams of such a hall until the operator takes that back. What runs there
// may end there. The operator's word is kept, also while the store is away;
// versions tell what is newer, as news comes from several sides and late.
package halls

import (
	"sort"
	"sync"
	"time"
)

// Status is the newest that is known of one hall. Values are immutable.
type Status struct {
	Hall      string
	Evacuated bool
	Version   int64     // of the store's change that said so
	Since     time.Time // this box has known it
}

// Listener is told of each change, in order, before it can be seen; it must not
// call back. source is for the log.
type Listener func(w Status, source string)

// Halls is safe for use by several goroutines.
type Halls struct {
	changed Listener

	mu    sync.Mutex
	words map[string]Status // by hall; also of those that were taken back
}

// New returns halls of which none is evacuated.
func New(changed Listener) *Halls { return &Halls{changed: changed, words: map[string]Status{}} }

// Replace takes a whole listing of the evacuated halls as of a version: one that
// is missing from it was taken back, unless what is known of it is newer.
func (h *Halls) Replace(now time.Time, list []Status, version int64, source string) {
	listed := map[string]bool{}
	for _, w := range list {
		listed[w.Hall] = true
		h.Update(now, w, source)
	}
	for _, w := range h.All() {
		if !listed[w.Hall] && w.Evacuated {
			h.Update(now, Status{Hall: w.Hall, Version: version}, source)
		}
	}
}

// Update takes one word, unless what is known is as new.
func (h *Halls) Update(now time.Time, w Status, source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old, known := h.words[w.Hall]
	if known && w.Version <= old.Version {
		return
	}
	w.Since = now
	if old.Evacuated == w.Evacuated {
		w.Since = old.Since
	}
	h.words[w.Hall] = w
	if old.Evacuated != w.Evacuated {
		h.changed(w, source)
	}
}

// All returns what is known of each hall, by name.
func (h *Halls) All() []Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]Status, 0, len(h.words))
	for _, w := range h.words {
		list = append(list, w)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Hall < list[j].Hall })
	return list
}
