// Package distance orders the halls of a deployment by how far they are from each other.
package distance

// Step is how far a hall is from another.
type Step int

// The steps, nearest first.
const (
	SameHall Step = iota
	SameRegion
	Elsewhere
)

// Map holds the region of each hall. Values are immutable; the zero value has one region.
type Map struct {
	regions map[string]string
	several bool
}

// New returns the map of a region by hall, which must not be modified afterwards.
func New(regions map[string]string) Map {
	names := map[string]bool{}
	for _, r := range regions {
		names[r] = true
	}
	return Map{regions: regions, several: len(names) > 1}
}

// Several reports whether there is more than one region.
func (m Map) Several() bool { return m.several }

// Between returns the step between two halls. With at most one region all halls are in
// the same; otherwise a hall without a region is far from every other.
func (m Map) Between(a, b string) Step {
	switch {
	case a == b:
		return SameHall
	case !m.several:
		return SameRegion
	}
	if region, known := m.regions[a]; known && m.regions[b] == region {
		return SameRegion
	}
	return Elsewhere
}

// Region returns the region of a hall, and false if it has none.
func (m Map) Region(hall string) (string, bool) {
	region, known := m.regions[hall]
	return region, known
}
