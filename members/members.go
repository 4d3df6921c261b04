// Package members tracks the boxes of the fleet and which of them are alive. The
// platform's list of boxes may lag, so that heartbeats take precedence.
package members

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"petrelstep/distance"
	"petrelstep/wire"
)

// State is the state of a box as seen from here.
type State string

// The states of a box.
const (
	Live    State = "live"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Gone    State = "gone"
)

const (
	// suspectAfter is the time without a report after which a box is suspect.
	suspectAfter = 3500 * time.Millisecond
	// removeAfter is the time without a report after which a box that is not in the
	// platform's list is removed.
	removeAfter = 30 * time.Second
	// failureTimeout is how long a box that refused a connection is not used, before it
	// is called again.
	failureTimeout = 3 * time.Second
	// startupGrace is how long a listed box of a large fleet that was never heard from
	// may still be starting. It stays a hub meanwhile, although it refuses connections:
	// if all boxes start together, the first ones would otherwise take themselves for
	// hubs and each read the whole store.
	startupGrace = 5 * time.Second
	// namedTimeout is how long this box stays a hub after another box named it as one.
	namedTimeout = 3 * time.Second
)

// Box is what is known about one box. Values are immutable.
type Box struct {
	Name        string
	Hall        string
	Address     string
	Incarnation int
	Era         int // of the table that the revision is of; 0 if not known
	Revision    int
	State       State
	HubEligible bool // may be a hub; others are used only where there is none
}

type record struct {
	box       Box
	weight    uint64 // in the rendezvous order of hubs
	listed    bool
	lastSeen  time.Time
	failedAt  time.Time
	firstSeen time.Time
}

// Members is the membership as known to one box. It is safe for concurrent use.
type Members struct {
	mu      sync.Mutex
	self    Box
	regions distance.Map
	boxes   map[string]*record

	// hubs caches the current hubs; nil until they are computed.
	hubs             []Box
	standbys         []Box                // follow the store in place of the readers
	probes           []Box                // would be hubs but for a failure that has expired
	hubsValidUntil   time.Time            // next expiry of a failure or of a reported count; zero if there is none
	hubSince         time.Time            // since when this box is a hub; zero if it is not
	ownCounts        map[string]int       // boxes by hall that this box knows itself
	largeFleetCounts map[string]int       // the same, with reportedCounts; nil unless the fleet is large
	reportedCounts   map[string]hallCount // boxes by hall, as reported by others

	hubsOnly bool      // only the hub-eligible boxes were read from the store
	namedAt  time.Time // when another box last named this one as a hub
}

// New returns a membership that contains only this box.
func New(self Box) *Members {
	return &Members{self: self, boxes: map[string]*record{}, reportedCounts: map[string]hallCount{}}
}

// changed invalidates the cached hubs.
func (m *Members) changed() { m.hubs = nil }

// Self returns this box.
func (m *Members) Self() Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// SetRegions sets the regions of the halls, by which hubs are preferred.
func (m *Members) SetRegions(regions distance.Map) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.regions = regions
	m.changed()
}

// SetRevision sets the era and revision of the configuration in force on this box.
func (m *Members) SetRevision(era, revision int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Era, m.self.Revision = era, revision
}

// Leave marks this box as leaving.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.State = Leaving
	m.changed()
}

// ApplyList applies the platform's list of boxes. A box that is missing from it is
// removed only if no report was received from it recently either.
func (m *Members) ApplyList(now time.Time, list []wire.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changed()
	for _, r := range m.boxes {
		r.listed = false
	}
	for _, l := range list {
		if l.Box == m.self.Name {
			continue
		}
		r := m.record(now, l.Box)
		r.listed = true
		r.box.HubEligible = l.Strong
		r.box.Hall = l.Hall
		if r.box.Address != l.Address {
			r.box.Address, r.failedAt = l.Address, time.Time{}
		}
		if l.State == wire.MemberStateLeaving {
			r.box.State = Leaving
		}
	}
	for name, r := range m.boxes {
		if !r.listed && now.Sub(r.lastSeen) > removeAfter && now.Sub(r.firstSeen) > removeAfter {
			delete(m.boxes, name)
		}
	}
}

// MarkSeen handles a report received from a box. A report of an older incarnation is
// ignored, and a leaving incarnation stays leaving.
func (m *Members) MarkSeen(now time.Time, b Box) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.Name == m.self.Name {
		return
	}
	r := m.record(now, b.Name)
	if b.Incarnation < r.box.Incarnation {
		return
	}
	if b.Incarnation == r.box.Incarnation && r.box.State == Leaving {
		b.State = Leaving
	}
	if b.Hall == "" {
		b.Hall, b.Address = r.box.Hall, r.box.Address
	}
	if r.box.sameCandidate(b) && r.failedAt.IsZero() {
		r.box, r.lastSeen = b, now
		return
	}
	r.box = b
	r.lastSeen, r.failedAt = now, time.Time{}
	m.changed()
}

// sameCandidate reports whether two boxes are the same but for their revision, so that
// the choice of hubs does not change.
func (b Box) sameCandidate(o Box) bool {
	b.Era, b.Revision = o.Era, o.Revision
	return b == o
}

// MarkFailed records that a box refused a connection; it is suspect for failureTimeout.
func (m *Members) MarkFailed(now time.Time, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.boxes[name]; ok {
		r.failedAt = now
		m.changed()
	}
}

// MarkAnswered clears a failure after a box answered.
func (m *Members) MarkAnswered(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.boxes[name]; ok && !r.failedAt.IsZero() {
		r.failedAt = time.Time{}
		m.changed()
	}
}

// AddSuspension adds the time for which this box's machine was suspended to all ages, as
// the monotonic clock does not count it.
func (m *Members) AddSuspension(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.boxes {
		for _, at := range []*time.Time{&r.lastSeen, &r.failedAt, &r.firstSeen} {
			if !at.IsZero() {
				*at = at.Add(-d)
			}
		}
	}
	m.changed()
}

// All returns this box and all others with their states, sorted by name.
func (m *Members) All(now time.Time) []Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := []Box{m.self}
	for _, r := range m.boxes {
		all = append(all, r.withState(now))
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Count returns the number of boxes, this one included: those known here, or in a large
// fleet the sum of the halls' counts if that is higher.
func (m *Members) Count(now time.Time) int {
	m.Hubs(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0
	for _, boxes := range m.largeFleetCounts {
		total += boxes
	}
	return max(total, len(m.boxes)+1)
}

// SetHubsOnly records that this box has read only the hub-eligible boxes. As it does
// not know the others of its hall, it is a hub only if another box names it as one or
// no other box is known.
func (m *Members) SetHubsOnly() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hubsOnly = true
	m.changed()
}

// MarkNamedAsHub records that another box named this one as a hub.
func (m *Members) MarkNamedAsHub(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hubsOnly && now.Sub(m.namedAt) >= namedTimeout {
		m.changed()
	}
	m.namedAt = now
}

// AnyHubEligible reports whether another hub-eligible box is known that is not leaving.
func (m *Members) AnyHubEligible() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.boxes {
		if r.box.HubEligible && r.box.State != Leaving {
			return true
		}
	}
	return false
}

// IsListed reports whether a box is in the platform's list as last read.
func (m *Members) IsListed(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.boxes[name]
	return ok && r.listed
}

// MarkRegistered records that a box was added to the platform's list.
func (m *Members) MarkRegistered(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.boxes[name]; ok {
		r.listed = true
	}
}

// CountLeaving returns the number of leaving boxes, this one included.
func (m *Members) CountLeaving() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	leaving := 0
	if m.self.State == Leaving {
		leaving++
	}
	for _, r := range m.boxes {
		if r.box.State == Leaving {
			leaving++
		}
	}
	return leaving
}

// Peers returns the other boxes that have an address.
func (m *Members) Peers(now time.Time) []Box {
	self := m.Self().Name
	var peers []Box
	for _, b := range m.All(now) {
		if b.Name != self && b.Address != "" {
			peers = append(peers, b)
		}
	}
	return peers
}

// CountReachable returns the number of boxes from which reports are received, this one
// included, and that number plus the listed boxes from which reports are no longer
// received.
func (m *Members) CountReachable(now time.Time) (reached, all int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reached, all = 1, 1
	for _, r := range m.boxes {
		switch {
		case r.lastSeen.IsZero() || r.box.State == Leaving:
		case r.withState(now).State == Live:
			reached, all = reached+1, all+1
		case r.listed:
			all++
		}
	}
	return reached, all
}

// Order returns the live boxes, this one included, in the rendezvous order of a key.
// Boxes of the key's hall come first.
func (m *Members) Order(now time.Time, key, hall string) []Box {
	var order []Box
	for _, b := range m.All(now) {
		if b.State == Live {
			order = append(order, b)
		}
	}
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i], order[j]
		if (a.Hall == hall) != (b.Hall == hall) {
			return a.Hall == hall
		}
		return weight(key, a.Name) > weight(key, b.Name)
	})
	return order
}

// First returns the first box of Order, and false if no box is live. It visits each box
// once and does not sort.
func (m *Members) First(now time.Time, key, hall string) (Box, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	first, found := Box{}, false
	var heaviest uint64
	consider := func(b Box) {
		if b.State != Live {
			return
		}
		w := weight(key, b.Name)
		nearer := (b.Hall == hall) != (first.Hall == hall)
		if !found || nearer && b.Hall == hall || !nearer && w > heaviest {
			first, heaviest, found = b, w, true
		}
	}
	consider(m.self)
	for _, r := range m.boxes {
		if !found || first.Hall != hall || r.box.Hall == hall {
			consider(r.withState(now))
		}
	}
	return first, found
}

// Introduce adds a box that another box reported, unless a newer incarnation of it is
// known.
func (m *Members) Introduce(now time.Time, b Box) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.record(now, b.Name)
	if b.Incarnation > r.box.Incarnation {
		r.box = b
		m.changed()
	}
}

func weight(key, box string) uint64 { return xxhash.Sum64String(key + "/" + box) }

func (m *Members) record(now time.Time, name string) *record {
	r, ok := m.boxes[name]
	if !ok {
		r = &record{box: Box{Name: name, State: Live}, weight: weight(hubsKey, name), firstSeen: now}
		m.boxes[name] = r
		m.changed()
	}
	return r
}

// starting reports whether a box of a large fleet may not have finished starting.
func (m *Members) starting(now time.Time, r *record) bool {
	return m.largeFleetCounts != nil && r.lastSeen.IsZero() && now.Sub(r.firstSeen) < startupGrace
}

// withState returns the box with its state as of now.
func (r *record) withState(now time.Time) Box {
	b := r.box
	since := r.lastSeen
	if since.IsZero() {
		since = r.firstSeen
	}
	silent := now.Sub(since) > suspectAfter || !r.failedAt.IsZero() && now.Sub(r.failedAt) < failureTimeout
	switch {
	case b.State == Leaving:
	case silent:
		b.State = Suspect
	default:
		b.State = Live
	}
	return b
}
