package members

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// hubsLeast is how many hubs there are where halls are fewer: when one dies, the
// others are told on without a pause.
const hubsLeast = 2

// hubsKey is the key of the rendezvous order of hubs.
const hubsKey = "hubs"

const (
	// MaxSmallFleet is up to how many boxes each of them calls every hub: four calls a
	// second of each are a thousand at a hub, of 40 us of processor each and some 0.3
	// ms with what the system does for them. Beyond, a box calls two hubs, and hubs
	// tell each other of their boxes.
	MaxSmallFleet = 240
	// hubBoxes is how many boxes of a hall a hub of such a crowd tells: with the loads
	// of 3,000 upstreams an answer has some 25 KB, four times a second for each.
	hubBoxes = 40
	// crowdFor is how long another box's count of a hall's boxes holds that is higher
	// than what is known here: a box that started among many read half of them, and is
	// told four times a second.
	crowdFor = 5 * time.Second
)

// count is how many boxes a hall was told to have.
type count struct {
	boxes int
	at    time.Time
}

// Hubs returns the boxes that know for all others: of each hall the first fit
// one in rendezvous order that has not failed of late, the next ones where
// halls are fewer than hubs have to be, and in a crowd one for each hubBoxes of a
// hall. Each call to the store is paid for, so
// that no more boxes read than can stand in for each other. A box that was never
// heard may be one: it is asked, and fails if it is not there. The value is
// shared and not to be changed.
//
// It is worked out anew when a box changes or a failure lapses, and costs the same however
// many boxes there are in between: it is asked for some hundred times a second.
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
	m.hubsUntil = time.Time{}
	m.known = m.byHall()
	m.crowd = m.crowded(now)
	sound, lapsed := m.candidates(now)
	hubs := m.choose(sound)
	m.probes = nil
	if len(lapsed) > 0 {
		m.probes = without(m.choose(sorted(append(slices.Clone(sound), lapsed...))), hubs)
	}
	switch {
	case !slices.ContainsFunc(hubs, func(b Box) bool { return b.Name == m.self.Name }):
		m.hubSince = time.Time{}
	case m.hubSince.IsZero():
		m.hubSince = now
	}
	return hubs
}

// without returns the boxes that are none of the others.
func without(boxes, others []Box) []Box {
	return slices.DeleteFunc(boxes, func(b Box) bool {
		return slices.ContainsFunc(others, func(o Box) bool { return o.Name == b.Name })
	})
}

// choose returns the hubs among candidates, of which the fittest come first.
func (m *Members) choose(list []candidate) []Box {
	hubs, others := []Box{}, []Box{}
	halls := map[string]int{} // hubs named
	for _, c := range list {
		if halls[c.box.Hall] > 0 {
			others = append(others, c.box)
			continue
		}
		halls[c.box.Hall]++
		hubs = append(hubs, c.box)
	}
	missing := min(max(hubsLeast-len(hubs), 0), len(others))
	for _, b := range others[:missing] {
		halls[b.Hall]++
	}
	hubs = append(hubs, others[:missing]...)
	if m.crowd != nil {
		hubs = m.more(hubs, others[missing:], halls)
	}
	return slices.Clip(hubs)
}

// more adds the hubs that a crowd needs. Only fit boxes help: a weak one that tells
// 40 others serves nobody else.
func (m *Members) more(hubs, others []Box, halls map[string]int) []Box {
	for _, b := range others {
		if b.HubEligible && halls[b.Hall]*hubBoxes < m.crowd[b.Hall] {
			halls[b.Hall]++
			hubs = append(hubs, b)
		}
	}
	return hubs
}

// crowded returns how many boxes each hall has by all that is known; nil unless they
// are too many for each to call all hubs. It notes until when that holds.
func (m *Members) crowded(now time.Time) map[string]int {
	halls, all := maps.Clone(m.known), 0
	for hall, c := range m.told {
		if lapses := c.at.Add(crowdFor); now.Before(lapses) && c.boxes > halls[hall] {
			halls[hall] = c.boxes
			m.hold(lapses)
		}
	}
	for _, boxes := range halls {
		all += boxes
	}
	if all <= MaxSmallFleet {
		return nil
	}
	return halls
}

// byHall counts the boxes that this one knows. Those that leave count too: only hubs
// that they called hear of it, which would else take a crowd for none while its boxes
// name more hubs, and most come back under their names.
func (m *Members) byHall() map[string]int {
	halls := map[string]int{m.self.Hall: 1}
	for _, r := range m.boxes {
		if r.box.Address != "" {
			halls[r.box.Hall]++
		}
	}
	return halls
}

// LargeFleetCounts returns how many boxes of each hall this one knows for itself; nil unless
// they are too many for each to call all hubs. It is shared and not to be changed.
func (m *Members) LargeFleetCounts(now time.Time) map[string]int {
	m.Hubs(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crowd == nil {
		return nil
	}
	return m.known
}

// MergedLargeFleetCounts returns what Crowd does, by all that others told of late too.
func (m *Members) MergedLargeFleetCounts(now time.Time) map[string]int {
	m.Hubs(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crowd
}

// UpdateHallCount takes a hub's count of the boxes of a hall: a box that started among many
// has read only those that had joined before it.
func (m *Members) UpdateHallCount(now time.Time, hall string, boxes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.told[hall]
	lapsed := !now.Before(old.at.Add(crowdFor))
	if boxes < old.boxes && !lapsed {
		return
	}
	m.told[hall] = count{boxes, now}
	if boxes != old.boxes || lapsed {
		m.changed()
	}
}

// HubsToCall returns the hubs that this box calls: all others, or in a crowd, unless it is
// one of them, the one that tells it of all boxes and one that tells it the news if that
// fails. A hub is called by hubBoxes boxes so, and by as many that do not need it
// yet, however many there are. Boxes that would be hubs had they not failed some time ago
// are called beside them, and are hubs again once they answer: while a hall is cut off for
// long, its boxes would else turn back to it every few seconds, each time for two calls
// that are not answered.
func (m *Members) HubsToCall(now time.Time) []Box {
	hubs := m.Hubs(now)
	m.mu.Lock()
	self, probes := m.self.Name, m.probes
	m.mu.Unlock()
	if _, hub := m.IsHub(now); !hub && m.LargeFleetCounts(now) != nil {
		probes = m.nearest(probes)
		return append(m.nearestAndSpare(hubs), probes[:min(len(probes), 1)]...)
	}
	return slices.DeleteFunc(append(slices.Clone(hubs), probes...), func(b Box) bool { return b.Name == self })
}

// nearestAndSpare returns the hub that tells this box, and one of another hall: the links of
// a hall, or all its boxes that are fit to be hubs, may be gone at once.
func (m *Members) nearestAndSpare(hubs []Box) []Box {
	near := m.nearest(hubs)
	if len(near) < 2 {
		return near
	}
	spare := slices.IndexFunc(near, func(b Box) bool { return b.Hall != near[0].Hall })
	if spare < 0 {
		spare = 1
	}
	return []Box{near[0], near[spare]}
}

// IsBackupHub tells whether a hub tells this box nothing, as another does and boxes are too
// many for each to call all hubs.
func (m *Members) IsBackupHub(now time.Time, hub Box) bool {
	_, is := m.IsHub(now)
	return !is && m.LargeFleetCounts(now) != nil && m.PrimaryHub(now).Name != hub.Name
}

// hold notes that the hubs are to be worked out anew at a time, if not before.
func (m *Members) hold(until time.Time) {
	if m.hubsUntil.IsZero() || until.Before(m.hubsUntil) {
		m.hubsUntil = until
	}
}

// candidates returns the boxes that may be hubs, the fittest first, and those that may be
// once they answer, as they failed some time ago; it notes until when that holds.
func (m *Members) candidates(now time.Time) (sound, lapsed []candidate) {
	sound = make([]candidate, 0, len(m.boxes)+1)
	for _, r := range m.boxes {
		lapses := r.failed.Add(failedFor)
		switch {
		case r.box.Address == "" || r.box.State == Leaving:
		case r.failed.IsZero(), m.starting(now, r):
			sound = append(sound, candidate{r.box, r.weight})
		case !now.Before(lapses):
			lapsed = append(lapsed, candidate{r.box, r.weight})
		default:
			m.hold(lapses)
		}
	}
	if m.mayBeHub(now, len(sound)) {
		sound = append(sound, candidate{m.self, weight(hubsKey, m.self.Name)})
	}
	return sorted(sound), lapsed
}

// sorted sorts candidates, the fittest first.
func sorted(list []candidate) []candidate {
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	strong := func(c candidate) bool { return c.box.HubEligible }
	weak := slices.DeleteFunc(slices.Clone(list), strong)
	return append(slices.DeleteFunc(list, func(c candidate) bool { return !strong(c) }), weak...)
}

// mayBeHub tells whether this box may be a hub beside so many others, and notes until when
// that holds.
func (m *Members) mayBeHub(now time.Time, others int) bool {
	lapses := m.named.Add(namedFor)
	switch {
	case m.self.State == Leaving:
		return false
	case !m.hubsOnly || others == 0:
		return true
	case !now.Before(lapses):
		return false
	}
	m.hold(lapses)
	return true
}

// MaxReaders bounds how many of the hubs follow the store for all others. Two
// may be lost at once, and news goes by way of every hub, so that each hears of
// it within a quarter of a second; three that read in place of six halve the
// calls to the store of a fleet of six halls.
const MaxReaders = 3

// IsReader tells whether this box is one of the hubs that follow the store.
func (m *Members) IsReader(now time.Time) bool { return m.IsReaderBox(now, m.Self().Name) }

// IsHubBox tells whether a box is a hub.
func (m *Members) IsHubBox(now time.Time, name string) bool {
	return slices.ContainsFunc(m.Hubs(now), func(b Box) bool { return b.Name == name })
}

// IsReaderBox tells whether a box is one of the hubs that follow the store.
func (m *Members) IsReaderBox(now time.Time, name string) bool {
	hubs := m.Hubs(now)
	return slices.ContainsFunc(hubs[:min(len(hubs), MaxReaders)], func(b Box) bool { return b.Name == name })
}

// Owner returns the hub that is first in the rendezvous order of a key.
func (m *Members) Owner(now time.Time, key string) (Box, bool) {
	hubs := m.Hubs(now)
	if len(hubs) == 0 {
		return Box{}, false
	}
	return slices.MaxFunc(hubs, func(a, b Box) int { return cmp.Compare(weight(key, a.Name), weight(key, b.Name)) }), true
}

// ReachableOwner returns the hub that is first in the rendezvous order of a key among this
// box and those that it hears; false if there is none. Boxes that have parted agree on
// one each side as soon as they no longer hear the other.
func (m *Members) ReachableOwner(now time.Time, key string, hears func(name string) bool) (Box, bool) {
	self := m.Self().Name
	first, found, most := Box{}, false, uint64(0)
	for _, b := range m.Hubs(now) {
		w := weight(key, b.Name)
		if (!found || w > most) && (b.Name == self || hears(b.Name)) {
			first, found, most = b, true, w
		}
	}
	return first, found
}

// PrimaryHub returns the hub that tells this box of all others: one of its own hall
// where there is one. Where several are alike, boxes are shared out among them.
func (m *Members) PrimaryHub(now time.Time) Box {
	hubs := m.nearest(m.Hubs(now))
	if len(hubs) == 0 {
		return Box{}
	}
	return hubs[0]
}

// nearest sorts hubs, those of this box's hall first, by this box's own order.
func (m *Members) nearest(hubs []Box) []Box {
	self := m.Self()
	far := func(b Box) int {
		if b.Hall != self.Hall {
			return 1
		}
		return 0
	}
	return slices.SortedStableFunc(slices.Values(hubs), func(a, b Box) int {
		return cmp.Or(far(a)-far(b), cmp.Compare(weight(self.Name, b.Name), weight(self.Name, a.Name)))
	})
}
