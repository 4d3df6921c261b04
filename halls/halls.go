// Package halls tracks which halls are evacuated. The upstreams of an evacuated hall
// get no new work until the operator cancels the evacuation; runs there may finish. The
// operator's decision is kept while the store is unreachable. Updates arrive from
// several sources and out of order, so that versions decide which is newer.
package halls

import (
	"sort"
	"sync"
	"time"

	"petrelstep/revision"
)

// Status is the newest known status of a hall. Values are immutable.
type Status struct {
	Hall      string
	Evacuated bool
	Version   revision.Revision // of the change in the store
	Since     time.Time         // when this box learned of it
}

// Listener is called for each change, in order, before All returns it; it must not call
// Halls. source names where the update came from, for the log.
type Listener func(s Status, source string)

// Halls holds the newest known status of each hall. It is safe for concurrent use.
type Halls struct {
	changed Listener

	mu       sync.Mutex
	statuses map[string]Status       // by hall, evacuated or not
	missing  map[string]cancellation // by hall
}

// cancellation is the end of an evacuation that is missing from an older copy of the store. It
// counts unless the evacuation is written again by then.
type cancellation struct {
	status Status
	source string
	at     time.Time
}

// New returns Halls without an evacuated hall.
func New(changed Listener) *Halls {
	return &Halls{changed: changed, statuses: map[string]Status{}, missing: map[string]cancellation{}}
}

// Replace applies a complete listing of the evacuated halls as of a version. The
// evacuation of a missing hall was cancelled, unless newer information is known. If the evacuation
// is known from an earlier era of the store, it may only be missing from the copy.
func (h *Halls) Replace(now time.Time, list []Status, version revision.Revision, source string) {
	listed := map[string]bool{}
	for _, s := range list {
		listed[s.Hall] = true
		h.Update(now, s, source)
	}
	for _, s := range h.All() {
		cancelled := Status{Hall: s.Hall, Version: version}
		switch {
		case listed[s.Hall] || !s.Evacuated:
		case s.Version.Era() < version.Era():
			h.deferCancellation(now, cancelled, source)
		default:
			h.Update(now, cancelled, source)
		}
	}
}

func (h *Halls) deferCancellation(now time.Time, s Status, source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known, ok := h.missing[s.Hall]; !ok || known.status.Version.Era() < s.Version.Era() {
		h.missing[s.Hall] = cancellation{status: s, source: source, at: now.Add(revision.RestoreTime)}
	}
}

// Tick ends evacuations that were not written again after the store was restored, by the table as
// read at a time.
func (h *Halls) Tick(now, read time.Time) {
	for _, c := range h.due(read) {
		h.Update(now, c.status, c.source)
	}
}

// due removes and returns the cancellations that now count.
func (h *Halls) due(read time.Time) (list []cancellation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for hall, c := range h.missing {
		if !read.Before(c.at) {
			list = append(list, c)
			delete(h.missing, hall)
		}
	}
	return list
}

// Update applies a status, unless the known one is as new.
func (h *Halls) Update(now time.Time, s Status, source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old, known := h.statuses[s.Hall]
	if known && s.Version <= old.Version {
		return
	}
	s.Since = now
	if old.Evacuated == s.Evacuated {
		s.Since = old.Since
	}
	h.statuses[s.Hall] = s
	if old.Evacuated != s.Evacuated {
		h.changed(s, source)
	}
}

// All returns the status of each known hall, sorted by name.
func (h *Halls) All() []Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]Status, 0, len(h.statuses))
	for _, s := range h.statuses {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Hall < list[j].Hall })
	return list
}
