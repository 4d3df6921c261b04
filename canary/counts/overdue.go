package counts

import (
	"time"

	"petrelstep/canary/buckets"
)

const (
	// overdueFactor is how many times the baseline's median a request may wait until it counts as
	// slow. It is twice the factor from which an answer is slow, as the median of the verdict is of
	// other answers.
	overdueFactor = 6
	// minOverdueAnswers is the number of answers of the baseline that make a median.
	minOverdueAnswers = 8
)

// countOverdue counts requests that have waited for long as answered so far after that time: an
// upstream that hangs would else show nothing until its requests time out.
func (s *service) countOverdue(now time.Time) {
	limits := map[string]time.Duration{}
	for r := range s.waiting {
		limit, known := limits[r.key.route]
		if !known {
			limit = s.overdueAfter(r.key.route)
			limits[r.key.route] = limit
		}
		if age := now.Sub(r.arrives); limit > 0 && age > limit {
			s.own[r.key] = r.answered(s.own[r.key], Result{First: age})
			delete(s.waiting, r)
		}
	}
}

// overdueAfter returns the time after which a request of a route counts as slow; 0 if the baseline has
// had too few answers.
func (s *service) overdueAfter(route string) time.Duration {
	k := key{route: route}
	first := addEach(s.own[k].first, s.total[k].first, 1)
	all := 0
	for _, n := range first {
		all += n
	}
	if all < minOverdueAnswers {
		return 0
	}
	left := all / 2
	for i, n := range first {
		if left -= n; left < 0 {
			return buckets.Duration(float64(i+1) + buckets.Width(overdueFactor))
		}
	}
	return 0
}
