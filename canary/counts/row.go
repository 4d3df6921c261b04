package counts

import (
	"cmp"
	"slices"

	"petrelstep/canary/buckets"
	"petrelstep/wire"
)

// maxCount bounds what one row may report, so that sums cannot overflow.
const maxCount = 1 << 32

// key identifies a row of a service.
type key struct {
	route     string
	candidate bool
	upstream  string
}

func keyOf(w wire.ReleaseCounts) key { return key{w.Route, w.Candidate, w.Upstream} }

func compareKeys(a, b key) int {
	if a.candidate != b.candidate {
		if a.candidate {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.upstream, b.upstream))
}

// tally holds the counts of a row. All but running only grow.
type tally struct {
	sent, failed, answered, running int
	cut                             int   // of the failed ones, those that count as answered too
	before                          int   // requests of the route just before the order
	first, pace                     []int // without trailing zeros
}

func tallyOf(w wire.ReleaseCounts) tally {
	return tally{sent: w.Sent, failed: w.Failed, answered: w.Answered, cut: w.Cut, running: w.Running, before: w.Before, first: w.First, pace: w.Pace}
}

func (t tally) row(service string, order int, k key) wire.ReleaseCounts {
	return wire.ReleaseCounts{
		Service: service, Order: order, Route: k.route, Candidate: k.candidate, Upstream: k.upstream,
		Sent: t.sent, Failed: t.failed, Answered: t.answered, Cut: t.cut, Running: t.running, Before: t.before, First: slices.Clone(t.first), Pace: slices.Clone(t.pace),
	}
}

// plus returns the sum of both.
func (t tally) plus(other tally) tally {
	return tally{
		sent: t.sent + other.sent, failed: t.failed + other.failed,
		answered: t.answered + other.answered, cut: t.cut + other.cut, running: t.running + other.running, before: t.before + other.before,
		first: addEach(t.first, other.first, 1), pace: addEach(t.pace, other.pace, 1),
	}
}

// minus returns the difference, no count of which is negative but running.
func (t tally) minus(other tally) tally {
	return tally{
		sent: max(t.sent-other.sent, 0), failed: max(t.failed-other.failed, 0),
		answered: max(t.answered-other.answered, 0), cut: max(t.cut-other.cut, 0), running: t.running - other.running, before: max(t.before-other.before, 0),
		first: addEach(t.first, other.first, -1), pace: addEach(t.pace, other.pace, -1),
	}
}

// equal reports whether all counts are the same.
func (t tally) equal(other tally) bool {
	return t.sent == other.sent && t.failed == other.failed && t.answered == other.answered && t.cut == other.cut && t.running == other.running && t.before == other.before &&
		slices.Equal(t.first, other.first) && slices.Equal(t.pace, other.pace)
}

// compare returns whether a count of t is below that of the other one, and whether one
// is above. Running may go both ways and is left out.
func (t tally) compare(other tally) (below, above bool) {
	see := func(a, b int) { below, above = below || a < b, above || a > b }
	see(t.sent, other.sent)
	see(t.failed, other.failed)
	see(t.answered, other.answered)
	see(t.cut, other.cut)
	for i := range buckets.Count {
		see(at(t.first, i), at(other.first, i))
		see(at(t.pace, i), at(other.pace, i))
	}
	return below, above
}

func at(list []int, i int) int {
	if i < len(list) {
		return list[i]
	}
	return 0
}

func addEach(a, b []int, sign int) []int {
	sum := make([]int, max(len(a), len(b)))
	for i := range sum {
		sum[i] = max(at(a, i)+sign*at(b, i), 0)
	}
	return trimmed(sum)
}

func trimmed(list []int) []int {
	for len(list) > 0 && list[len(list)-1] == 0 {
		list = list[:len(list)-1]
	}
	if len(list) == 0 {
		return nil
	}
	return list
}

// count adds one to a bucket.
func count(list []int, bucket int) []int {
	for len(list) <= bucket {
		list = append(list, 0)
	}
	list[bucket]++
	return list
}

// valid reports whether a row is possible: no negative counts, and none that would
// overflow a sum. A row may hold more results than requests, as its receiver may know of
// the requests by way of another box.
func valid(w wire.ReleaseCounts) bool {
	if len(w.First) > buckets.Count || len(w.Pace) > buckets.Count {
		return false
	}
	for _, list := range [][]int{{w.Sent, w.Failed, w.Answered, w.Cut, w.Running, w.Before}, w.First, w.Pace} {
		for _, n := range list {
			if n < 0 || n > maxCount {
				return false
			}
		}
	}
	return true
}
