package members

import (
	"cmp"
	"slices"
	"time"
)

// hubsLeast is how many hubs there are where halls are fewer: when one dies, the
// others are told on without a pause.
const hubsLeast = 2

// hubsKey is the key of the rendezvous order of hubs.
const hubsKey = "hubs"

// Hubs returns the boxes that know for all others: of each hall the first fit
// one in rendezvous order that has not failed of late, and the next ones where
// halls are fewer than hubs have to be. Each call to the store is paid for, so
// that no more boxes read than can stand in for each other. A box that was never
// heard may be one: it is asked, and fails if it is not there. The value is
// shared and not to be changed.
//
// It is worked out anew when a box changes or a failure lapses, and costs the
// same however many boxes there are in between: 0.2 us with 350 of them, where
// sorting 195 boxes each time took 262 us and 100 KB (BenchmarkHubs).
func (m *Members) Hubs(now time.Time) []Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hubs == nil || !m.hubsUntil.IsZero() && !now.Before(m.hubsUntil) {
		m.hubs = m.chooseHubs(now)
	}
	return m.hubs
}

// IsHub tells whether this box is a hub, and for how long.
func (m *Members) IsHub(now time.Time) (since time.Duration, is bool) {
	m.Hubs(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hubSince.IsZero() {
		return 0, false
	}
	return now.Sub(m.hubSince), true
}

// candidate is a box that may be a hub.
type candidate struct {
	box    Box
	weight uint64
}

func (m *Members) chooseHubs(now time.Time) []Box {
	hubs, others := []Box{}, []Box{}
	halls := map[string]bool{}
	for _, c := range m.candidates(now) {
		if halls[c.box.Hall] {
			others = append(others, c.box)
			continue
		}
		halls[c.box.Hall] = true
		hubs = append(hubs, c.box)
	}
	missing := min(max(hubsLeast-len(hubs), 0), len(others))
	hubs = slices.Clip(append(hubs, others[:missing]...))
	switch {
	case !slices.ContainsFunc(hubs, func(b Box) bool { return b.Name == m.self.Name }):
		m.hubSince = time.Time{}
	case m.hubSince.IsZero():
		m.hubSince = now
	}
	return hubs
}

// candidates returns the boxes that may be hubs, the fittest first, and notes
// until when that holds.
func (m *Members) candidates(now time.Time) []candidate {
	m.hubsUntil = time.Time{}
	list := make([]candidate, 0, len(m.boxes)+1)
	if m.self.State != Leaving {
		list = append(list, candidate{m.self, weight(hubsKey, m.self.Name)})
	}
	for _, r := range m.boxes {
		lapses := r.failed.Add(failedFor)
		switch {
		case r.box.Address == "" || r.box.State == Leaving:
		case r.failed.IsZero() || !now.Before(lapses):
			list = append(list, candidate{r.box, r.weight})
		case m.hubsUntil.IsZero() || lapses.Before(m.hubsUntil):
			m.hubsUntil = lapses
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	strong := func(c candidate) bool { return c.box.Strong }
	weak := slices.DeleteFunc(slices.Clone(list), strong)
	return append(slices.DeleteFunc(list, func(c candidate) bool { return !strong(c) }), weak...)
}

// ReadersMost bounds how many of the hubs follow the store for all others. Two
// may be lost at once, and news goes by way of every hub, so that each hears of
// it within a quarter of a second; three that read in place of six halve the
// calls to the store of a fleet of six halls.
const ReadersMost = 3

// Reads tells whether this box is one of the hubs that follow the store.
func (m *Members) Reads(now time.Time) bool {
	self := m.Self().Name
	hubs := m.Hubs(now)
	return slices.ContainsFunc(hubs[:min(len(hubs), ReadersMost)], func(b Box) bool { return b.Name == self })
}

// Keeper returns the hub that is first in the rendezvous order of a key.
func (m *Members) Keeper(now time.Time, key string) (Box, bool) {
	hubs := m.Hubs(now)
	if len(hubs) == 0 {
		return Box{}, false
	}
	return slices.MaxFunc(hubs, func(a, b Box) int { return cmp.Compare(weight(key, a.Name), weight(key, b.Name)) }), true
}

// Nearest returns the hub that tells this box of all others: one of its own hall
// where there is one. Where several are alike, boxes are shared out among them.
func (m *Members) Nearest(now time.Time) Box {
	self := m.Self()
	hubs := m.Hubs(now)
	near := slices.DeleteFunc(slices.Clone(hubs), func(b Box) bool { return b.Hall != self.Hall })
	if len(near) == 0 {
		near = hubs
	}
	if len(near) == 0 {
		return Box{}
	}
	return slices.MaxFunc(near, func(a, b Box) int { return cmp.Compare(weight(self.Name, a.Name), weight(self.Name, b.Name)) })
}
