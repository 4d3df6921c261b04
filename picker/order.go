package picker

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"petrelstep/distance"
	"petrelstep/fleet"
)

// InOrder returns choices in an order that does not depend on the load: by a rank, warm upstreams
// first, then by a hash. All boxes with the same ranks have the same order.
func InOrder(now time.Time, list []Choice, rank func(fleet.Upstream) int) []Choice {
	ordered := slices.Clone(list)
	cold := func(c Choice) int {
		if c.Upstream.ColdUntil.After(now) {
			return 1
		}
		return 0
	}
	hash := func(c Choice) uint64 { return xxhash.Sum64String(c.Upstream.ID) }
	slices.SortFunc(ordered, func(a, b Choice) int {
		return cmp.Or(cmp.Compare(rank(a.Upstream), rank(b.Upstream)), cmp.Compare(cold(a), cold(b)), cmp.Compare(hash(a), hash(b)))
	})
	return ordered
}

// IsFar reports whether an upstream is in another region than this box.
func (p *Picker) IsFar(u fleet.Upstream) bool {
	return p.Regions.Between(p.Hall, u.Hall) == distance.Elsewhere
}
