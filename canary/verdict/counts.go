package verdict

import (
	"petrelstep/canary/buckets"
	"petrelstep/wire"
)

// maxCount bounds a count, so that sums do not overflow.
const maxCount = 1 << 28

// histogram counts answers by duration.
type histogram [buckets.Count]int32

// tally holds the counts that the verdict uses of a row, or of the sum of some.
type tally struct {
	failed, answered int32
	cut              int32 // of the failed ones, those that count as answered too
	first, pace      histogram
}

// tallyOf returns the counts of a row; false if they are impossible.
func tallyOf(w wire.ReleaseCounts) (t tally, ok bool) {
	if min(w.Failed, w.Answered, w.Cut) < 0 || max(w.Failed, w.Answered, w.Cut) > maxCount {
		return tally{}, false
	}
	t.failed = int32(w.Failed)
	ok = t.first.set(w.First) && t.pace.set(w.Pace)
	t.answered = int32(min(max(w.Answered, t.first.total()), maxCount))
	t.cut = min(int32(w.Cut), t.failed, t.answered)
	return t, ok
}

func (t *tally) add(other *tally) {
	t.failed += other.failed
	t.answered += other.answered
	t.cut += other.cut
	t.first.add(&other.first)
	t.pace.add(&other.pace)
}

// since returns what was added to earlier counts. Counts that fell count as unchanged.
func (t *tally) since(earlier *tally) tally {
	return tally{failed: max(t.failed-earlier.failed, 0), answered: max(t.answered-earlier.answered, 0), cut: max(t.cut-earlier.cut, 0), first: t.first.since(&earlier.first), pace: t.pace.since(&earlier.pace)}
}

// raise raises each count to that of another tally.
func (t *tally) raise(other *tally) {
	t.failed = max(t.failed, other.failed)
	t.answered = max(t.answered, other.answered)
	t.cut = max(t.cut, other.cut)
	for i := range t.first {
		t.first[i] = max(t.first[i], other.first[i])
		t.pace[i] = max(t.pace[i], other.pace[i])
	}
}

// set takes over the counts of a row; false if they are impossible.
func (h *histogram) set(list []int) bool {
	if len(list) > len(h) {
		return false
	}
	for i, n := range list {
		if n < 0 || n > maxCount {
			return false
		}
		h[i] = int32(n)
	}
	return true
}

func (h *histogram) add(other *histogram) {
	for i := range h {
		h[i] += other[i]
	}
}

func (h *histogram) since(earlier *histogram) histogram {
	var d histogram
	for i := range h {
		d[i] = max(h[i]-earlier[i], 0)
	}
	return d
}

func (h *histogram) total() int {
	sum := 0
	for _, n := range h {
		sum += int(n)
	}
	return sum
}

// above returns the number of answers in the buckets whose middle lies above a position
// of the scale.
func (h *histogram) above(position float64) int {
	sum := 0
	for i, n := range h {
		if float64(i)+0.5 > position {
			sum += int(n)
		}
	}
	return sum
}

// median returns the position of the median; the histogram is not empty.
func (h *histogram) median() float64 {
	left := float64(h.total()) / 2
	for i, n := range h {
		if float64(n) >= left && n > 0 {
			return float64(i) + left/float64(n)
		}
		left -= float64(n)
	}
	return buckets.Count
}

// results are the answers of one kind of badness.
type results struct {
	bad, good int
	cut       int // of the bad ones, those that are among the good ones too, now or before
}

// total returns the number of answers. It may be less than that of bad ones in the counts of a short
// time, as a stream that is cut may have counted as good before.
func (r results) total() int { return r.bad + r.good - r.cut }

// results returns the answers of a kind, with the limits above which one is slow.
func (t *tally) results(k kind, l limits) results {
	switch k {
	case failing:
		return results{bad: int(t.failed), good: int(t.answered), cut: int(t.cut)}
	case slowFirst:
		bad := t.first.above(l.first)
		return results{bad: bad, good: t.first.total() - bad}
	default:
		bad := t.pace.above(l.pace)
		return results{bad: bad, good: t.pace.total() - bad}
	}
}
