// Package trialorder selects the upstream of a release on trial that gets the drawn requests of
// all boxes. A release that fails only after some requests, or under load, shows it where most
// requests went.
package trialorder

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Upstream is an upstream of the release on trial that takes requests now.
type Upstream struct {
	ID   string
	Sent int  // requests since the order, by all boxes
	Rank int  // lower ranks go first
	Cold bool // goes after all that are not
}

// First returns the id of the upstream that gets the next drawn requests of an order; empty if
// there is none. It is the one of the lowest rank that has had most, also if it could not take any for
// a while.
// The first one of an order depends on the order's version, so that one broken upstream is not
// the first of each order.
func First(order int64, list []Upstream) string {
	if len(list) == 0 {
		return ""
	}
	hash := func(u Upstream) uint64 { return xxhash.Sum64String(strconv.FormatInt(order, 10) + "/" + u.ID) }
	return slices.MinFunc(list, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(cold(a), cold(b)), cmp.Compare(a.Rank, b.Rank), cmp.Compare(b.Sent, a.Sent), cmp.Compare(hash(a), hash(b)), cmp.Compare(a.ID, b.ID))
	}).ID
}

func cold(u Upstream) int {
	if u.Cold {
		return 1
	}
	return 0
}
