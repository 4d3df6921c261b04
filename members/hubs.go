package members

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// minHubs is the minimum number of hubs, also where there are fewer halls, so that the
// loss of one hub does not interrupt the reports.
const minHubs = 2

// hubsKey is the key of the rendezvous order of hubs.
const hubsKey = "hubs"

const (
	// MaxSmallFleet is the largest number of boxes where each box calls every hub. In a
	// larger fleet a box calls two hubs, and the hubs exchange their boxes' reports. With four
	// calls a second of each box a hub answers a thousand, at some 0.3 ms of processor each.
	MaxSmallFleet = 240
	// boxesPerHub is how many boxes of a hall one hub of a large fleet reports to. An answer with
	// the loads of 3,000 upstreams has some 25 KB, four times a second for each box.
	boxesPerHub = 40
	// countMaxAge is how long a higher count of a hall's boxes, as reported by another
	// box, replaces this box's own. A box that starts together with many others has
	// read only some of them.
	countMaxAge = 5 * time.Second
)

// hallCount is the number of boxes of a hall, as reported by another box.
type hallCount struct {
	boxes int
	at    time.Time
}

// Hubs returns the boxes that aggregate the reports of all others: of each hall the
// first hub-eligible box in rendezvous order that has not failed recently, further ones
// up to minHubs, and in a large fleet one for each boxesPerHub boxes of a hall. A box
// that was never heard from may be a hub; calls to it fail if it is not there. The
// returned slice is shared and must not be modified.
//
// The result is cached until a box changes or a failure expires.
func (m *Members) Hubs(now time.Time) []Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hubs == nil || !m.hubsValidUntil.IsZero() && !now.Before(m.hubsValidUntil) {
		m.hubs = m.chooseHubs(now)
	}
	return m.hubs
}

// IsHub reports whether this box is a hub, and for how long it has been one.
func (m *Members) IsHub(now time.Time) (since time.Duration, is bool) {
	m.Hubs(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hubSince.IsZero() {
		return 0, false
	}
	return now.Sub(m.hubSince), true
}

// candidate is a box that may become a hub.
type candidate struct {
	box    Box
	weight uint64
}

func (m *Members) chooseHubs(now time.Time) []Box {
	m.hubsValidUntil = time.Time{}
	m.ownCounts = m.countByHall()
	m.largeFleetCounts = m.largeFleet(now)
	healthy, retryable := m.candidates(now)
	hubs := m.choose(healthy)
	m.standbys = m.chooseStandbys(healthy, hubs)
	m.probes = nil
	if len(retryable) > 0 {
		m.probes = without(m.choose(sorted(append(slices.Clone(healthy), retryable...))), hubs)
	}
	switch {
	case !slices.ContainsFunc(hubs, func(b Box) bool { return b.Name == m.self.Name }):
		m.hubSince = time.Time{}
	case m.hubSince.IsZero():
		m.hubSince = now
	}
	return hubs
}

// chooseStandbys selects the boxes that follow the store while it answers no reader: hubs
// first, then the other candidates. A large fleet has enough hubs, and most of its boxes call
// no others.
func (m *Members) chooseStandbys(healthy []candidate, hubs []Box) []Box {
	order := slices.Clone(hubs[min(len(hubs), MaxReaders):])
	if m.largeFleetCounts == nil {
		others := make([]Box, 0, len(healthy))
		for _, c := range healthy {
			others = append(others, c.box)
		}
		order = append(order, without(others, hubs)...)
	}
	return slices.Clip(order[:min(len(order), MaxStandbys)])
}

// without returns the boxes that are not among others.
func without(boxes, others []Box) []Box {
	return slices.DeleteFunc(boxes, func(b Box) bool {
		return slices.ContainsFunc(others, func(o Box) bool { return o.Name == b.Name })
	})
}

// choose selects the hubs from candidates, which are sorted by preference.
func (m *Members) choose(list []candidate) []Box {
	hubs, others := []Box{}, []Box{}
	halls := map[string]int{} // hubs chosen so far
	for _, c := range list {
		if halls[c.box.Hall] > 0 {
			others = append(others, c.box)
			continue
		}
		halls[c.box.Hall]++
		hubs = append(hubs, c.box)
	}
	missing := min(max(minHubs-len(hubs), 0), len(others))
	for _, b := range others[:missing] {
		halls[b.Hall]++
	}
	hubs = append(hubs, others[:missing]...)
	if m.largeFleetCounts != nil {
		hubs = m.addLargeFleetHubs(hubs, others[missing:], halls)
	}
	return slices.Clip(hubs)
}

// addLargeFleetHubs adds the hubs that a large fleet needs. Only hub-eligible boxes are
// added: another box could not serve boxesPerHub others.
func (m *Members) addLargeFleetHubs(hubs, others []Box, halls map[string]int) []Box {
	for _, b := range others {
		if b.HubEligible && halls[b.Hall]*boxesPerHub < m.largeFleetCounts[b.Hall] {
			halls[b.Hall]++
			hubs = append(hubs, b)
		}
	}
	return hubs
}

// largeFleet returns the number of boxes of each hall, as known here or reported by
// others; nil unless there are more than MaxSmallFleet in all. It schedules a
// recomputation for when a reported count expires.
func (m *Members) largeFleet(now time.Time) map[string]int {
	halls, total := maps.Clone(m.ownCounts), 0
	for hall, c := range m.reportedCounts {
		if expires := c.at.Add(countMaxAge); now.Before(expires) && c.boxes > halls[hall] {
			halls[hall] = c.boxes
			m.recomputeBy(expires)
		}
	}
	for _, boxes := range halls {
		total += boxes
	}
	if total <= MaxSmallFleet {
		return nil
	}
	return halls
}

// countByHall counts the known boxes of each hall. Leaving boxes count too: only the
// hubs that they called know that they leave, and the other boxes would otherwise
// choose fewer hubs or take the fleet for a small one.
func (m *Members) countByHall() map[string]int {
	halls := map[string]int{m.self.Hall: 1}
	for _, r := range m.boxes {
		if r.box.Address != "" {
			halls[r.box.Hall]++
		}
	}
	return halls
}

// LargeFleetCounts returns the number of boxes of each hall that this box knows itself;
// nil unless the fleet is large. The map is shared and must not be modified.
func (m *Members) LargeFleetCounts(now time.Time) map[string]int {
	m.Hubs(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.largeFleetCounts == nil {
		return nil
	}
	return m.ownCounts
}

// MergedLargeFleetCounts returns the same as LargeFleetCounts, with higher counts that
// other boxes reported recently.
func (m *Members) MergedLargeFleetCounts(now time.Time) map[string]int {
	m.Hubs(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.largeFleetCounts
}

// UpdateHallCount handles a hub's count of the boxes of a hall. A box that starts
// together with many others has read only those that had joined before it.
func (m *Members) UpdateHallCount(now time.Time, hall string, boxes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.reportedCounts[hall]
	expired := !now.Before(old.at.Add(countMaxAge))
	if boxes < old.boxes && !expired {
		return
	}
	m.reportedCounts[hall] = hallCount{boxes, now}
	if boxes != old.boxes || expired {
		m.changed()
	}
}

// HubsToCall returns the hubs that this box calls: all others, or, if the fleet is
// large and this box is not a hub, its primary hub and a backup. Boxes that would be
// hubs but for an earlier failure are called too and become hubs again only when they
// answer, so that boxes of a hall that is cut off are not chosen again and again.
func (m *Members) HubsToCall(now time.Time) []Box {
	hubs := m.Hubs(now)
	m.mu.Lock()
	self, probes := m.self.Name, m.probes
	m.mu.Unlock()
	if _, hub := m.IsHub(now); !hub && m.LargeFleetCounts(now) != nil {
		probes = m.byProximity(probes)
		return append(m.primaryAndBackup(hubs), probes[:min(len(probes), 1)]...)
	}
	return slices.DeleteFunc(append(slices.Clone(hubs), probes...), func(b Box) bool { return b.Name == self })
}

// primaryAndBackup returns the primary hub and a backup, if possible in another hall,
// as all hubs of one hall may become unreachable at once, and the nearest of those.
func (m *Members) primaryAndBackup(hubs []Box) []Box {
	near := m.byProximity(hubs)
	if len(near) < 2 {
		return near
	}
	backup := slices.IndexFunc(near, func(b Box) bool { return b.Hall != near[0].Hall })
	if backup < 0 {
		backup = 1
	}
	return []Box{near[0], near[backup]}
}

// IsBackupHub reports whether a hub is only a backup for this box: the fleet is large,
// this box is not a hub, and another hub is its primary one.
func (m *Members) IsBackupHub(now time.Time, hub Box) bool {
	_, is := m.IsHub(now)
	return !is && m.LargeFleetCounts(now) != nil && m.PrimaryHub(now).Name != hub.Name
}

// recomputeBy schedules the next computation of the hubs for a time at the latest.
func (m *Members) recomputeBy(until time.Time) {
	if m.hubsValidUntil.IsZero() || until.Before(m.hubsValidUntil) {
		m.hubsValidUntil = until
	}
}

// candidates returns the healthy boxes that may be hubs, sorted by preference, and
// those whose failure has expired, which may be hubs once they answer.
func (m *Members) candidates(now time.Time) (healthy, retryable []candidate) {
	healthy = make([]candidate, 0, len(m.boxes)+1)
	for _, r := range m.boxes {
		expires := r.failedAt.Add(failureTimeout)
		switch {
		case r.box.Address == "" || r.box.State == Leaving:
		case r.failedAt.IsZero(), m.starting(now, r):
			healthy = append(healthy, candidate{r.box, r.weight})
		case !now.Before(expires):
			retryable = append(retryable, candidate{r.box, r.weight})
		default:
			m.recomputeBy(expires)
		}
	}
	if m.mayBeHub(now, len(healthy)) {
		healthy = append(healthy, candidate{m.self, weight(hubsKey, m.self.Name)})
	}
	return sorted(healthy), retryable
}

// sorted sorts candidates by preference: hub-eligible boxes first, then by weight.
func sorted(list []candidate) []candidate {
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	eligible := func(c candidate) bool { return c.box.HubEligible }
	others := slices.DeleteFunc(slices.Clone(list), eligible)
	return append(slices.DeleteFunc(list, func(c candidate) bool { return !eligible(c) }), others...)
}

// mayBeHub reports whether this box may be a hub, given the number of other candidates.
func (m *Members) mayBeHub(now time.Time, others int) bool {
	expires := m.namedAt.Add(namedTimeout)
	switch {
	case m.self.State == Leaving:
		return false
	case !m.hubsOnly || others == 0:
		return true
	case !now.Before(expires):
		return false
	}
	m.recomputeBy(expires)
	return true
}

// MaxReaders is the maximum number of hubs that follow the store for all others. Two of
// them may fail at once; each further reader adds to the calls to the store, which are
// paid for.
const MaxReaders = 3

// IsReader reports whether this box is one of the hubs that follow the store.
func (m *Members) IsReader(now time.Time) bool { return m.IsReaderBox(now, m.Self().Name) }

// IsHubBox reports whether the named box is a hub.
func (m *Members) IsHubBox(now time.Time, name string) bool {
	return slices.ContainsFunc(m.Hubs(now), func(b Box) bool { return b.Name == name })
}

// IsReaderBox reports whether the named box is one of the hubs that follow the store.
func (m *Members) IsReaderBox(now time.Time, name string) bool {
	hubs := m.Hubs(now)
	return slices.ContainsFunc(hubs[:min(len(hubs), MaxReaders)], func(b Box) bool { return b.Name == name })
}

// MaxStandbys is the maximum number of boxes that follow the store while it answers no
// reader. The store may turn any of them away too.
const MaxStandbys = 5

// Standbys returns the boxes that follow the store while it answers no reader. The returned
// slice is shared and must not be modified.
func (m *Members) Standbys(now time.Time) []Box {
	m.Hubs(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.standbys
}

// IsStandbyBox reports whether the named box is one of the standbys.
func (m *Members) IsStandbyBox(now time.Time, name string) bool {
	return slices.ContainsFunc(m.Standbys(now), func(b Box) bool { return b.Name == name })
}

// StandbysToCall returns the standbys that this box calls in addition to the hubs. Boxes of a
// large fleet that are not hubs depend on their hubs alone.
func (m *Members) StandbysToCall(now time.Time) []Box {
	if m.LargeFleetCounts(now) != nil {
		return nil
	}
	self := m.Self().Name
	return slices.DeleteFunc(without(slices.Clone(m.Standbys(now)), m.Hubs(now)), func(b Box) bool { return b.Name == self })
}

// ReadIndex returns the position of this box in the order of the readers and standbys, and
// false if it is neither.
func (m *Members) ReadIndex(now time.Time) (index int, is bool) {
	hubs, self := m.Hubs(now), m.Self().Name
	order := append(slices.Clone(hubs[:min(len(hubs), MaxReaders)]), m.Standbys(now)...)
	index = slices.IndexFunc(order, func(b Box) bool { return b.Name == self })
	return index, index >= 0
}

// Owner returns the hub that is first in the rendezvous order of a key.
func (m *Members) Owner(now time.Time, key string) (Box, bool) {
	hubs := m.Hubs(now)
	if len(hubs) == 0 {
		return Box{}, false
	}
	return slices.MaxFunc(hubs, func(a, b Box) int { return cmp.Compare(weight(key, a.Name), weight(key, b.Name)) }), true
}

// ReachableOwner returns the hub that is first in the rendezvous order of a key among
// this box and those that it can reach, and false if there is none. Each side of a
// partitioned network agrees on one owner once it no longer receives the other side's
// reports.
func (m *Members) ReachableOwner(now time.Time, key string, reachable func(name string) bool) (Box, bool) {
	self := m.Self().Name
	return m.OwnerAmong(now, key, func(b Box) bool { return b.Name == self || reachable(b.Name) })
}

// OwnerAmong returns the first of some hubs in the rendezvous order of a key, and false if
// there is none.
func (m *Members) OwnerAmong(now time.Time, key string, eligible func(Box) bool) (Box, bool) {
	return firstOf(m.Hubs(now), key, eligible)
}

// StandbyOwner returns the first of some standbys in the rendezvous order of a key, and false if there
// is none.
func (m *Members) StandbyOwner(now time.Time, key string, eligible func(Box) bool) (Box, bool) {
	return firstOf(m.Standbys(now), key, eligible)
}

func firstOf(boxes []Box, key string, eligible func(Box) bool) (Box, bool) {
	first, found, maxWeight := Box{}, false, uint64(0)
	for _, b := range boxes {
		w := weight(key, b.Name)
		if (!found || w > maxWeight) && eligible(b) {
			first, found, maxWeight = b, true, w
		}
	}
	return first, found
}

// Owners returns the first n hubs in the rendezvous order of a key, or all if they are fewer.
func (m *Members) Owners(now time.Time, key string, n int) []Box {
	hubs := slices.Clone(m.Hubs(now))
	slices.SortFunc(hubs, func(a, b Box) int { return cmp.Compare(weight(key, b.Name), weight(key, a.Name)) })
	return hubs[:min(n, len(hubs))]
}

// PrimaryHub returns the hub that reports all other boxes to this one, preferably one
// of its own hall, or else of its own region. The boxes of a hall are distributed over its
// hubs.
func (m *Members) PrimaryHub(now time.Time) Box {
	hubs := m.byProximity(m.Hubs(now))
	if len(hubs) == 0 {
		return Box{}
	}
	return hubs[0]
}

// byProximity sorts hubs by their distance from this box, then by the rendezvous order of
// this box's name.
func (m *Members) byProximity(hubs []Box) []Box {
	m.mu.Lock()
	self, regions := m.self, m.regions
	m.mu.Unlock()
	far := func(b Box) int { return int(regions.Between(self.Hall, b.Hall)) }
	return slices.SortedStableFunc(slices.Values(hubs), func(a, b Box) int {
		return cmp.Or(far(a)-far(b), cmp.Compare(weight(self.Name, b.Name), weight(self.Name, a.Name)))
	})
}
