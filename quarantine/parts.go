package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/fingerprint"
)

const (
	// partSuccessWindow is how long before an end a run of any request with a part excuses the
	// part. Parts that many requests share run well all the time; one that ends all upstreams
	// never does. While upstreams keep ending, other requests with a part may not run for some
	// seconds.
	partSuccessWindow = 30 * time.Second
	// minPartRequests is the minimum number of different requests at the ends of a part. Otherwise
	// the request is the cause as well as any of its parts.
	minPartRequests = 2
	// heldEnds is the number of ends from which requests with a part are tried one at a time.
	heldEnds = 2
	// maxUnder bounds the remembered requests that had a part at one end.
	maxUnder = 8
	// maxParts bounds the parts of a prompt that are looked at.
	maxParts = 32
)

// PartsOf returns the fingerprints of the parts of a prompt. The same id at another service
// or model is another part.
func PartsOf(service, model string, ids []string) []fingerprint.Fingerprint {
	var parts []fingerprint.Fingerprint
	for _, id := range ids[:min(len(ids), maxParts)] {
		if p := fingerprint.New([]byte("part"), []byte(service), []byte(model), []byte(id)); !slices.Contains(parts, p) {
			parts = append(parts, p)
		}
	}
	return parts
}

// shortID returns the first bits of a request's fingerprint, which distinguish the requests at
// an end.
func shortID(fp fingerprint.Fingerprint) int { return int(binary.BigEndian.Uint32(fp[:])) }

// recordPartEnd records that an upstream ended while it ran a request with a part.
func (q *Quarantine) recordPartEnd(now time.Time, part, fp fingerprint.Fingerprint, inc incarnation) {
	if at, ok := q.partRuns.at(part); ok && now.Sub(at) <= partSuccessWindow {
		return
	}
	if q.addPartEnd(now, part, inc, shortID(fp)) {
		s := q.suspects[part]
		s.own = true
		q.log.WithFields(logrus.Fields{
			"fingerprint": part, "part": true, "upstream": inc.upstream, "born": inc.startedAt, "ends": s.separateEnds(now), "requests": s.requests(now), "beside": len(q.ended[inc].parts) - 1,
		}).Info("ended_under")
	}
}

// addPartEnd adds an end to a part, under some requests that had it; false if it is known or
// does not count.
func (q *Quarantine) addPartEnd(at time.Time, part fingerprint.Fingerprint, inc incarnation, under ...int) bool {
	s := q.suspectOf(part)
	s.part = true
	q.recordEnd(at, inc)
	_, known := s.ends[inc]
	if !at.After(s.cleared) || q.ended[inc] == nil || !known && !q.makeSpace(part, s, at) {
		return false
	}
	if !known {
		s.ends[inc] = at
		if at.After(s.newest) {
			s.newest, s.own = at, false
		}
		q.ended[inc].parts = append(q.ended[inc].parts, part)
	}
	if s.addUnder(inc, under) || !known {
		q.recordChange(s)
	}
	return !known
}

// makeSpace makes space for another end of a part, and reports whether there is any. Of ends
// that are counted once, one gives way to an end at another time.
func (q *Quarantine) makeSpace(part fingerprint.Fingerprint, s *suspect, at time.Time) bool {
	if len(s.ends) < maxEndsPerRequest {
		return true
	}
	var times []time.Time
	for _, end := range s.ends {
		if end.Sub(at).Abs() <= simultaneous {
			return false
		}
		times = append(times, end)
	}
	for inc, end := range s.ends {
		if countWithin(times, end, simultaneous) > 1 {
			delete(s.ends, inc)
			delete(s.under, inc)
			q.removeRequest(inc, part)
			return true
		}
	}
	return false
}

// countWithin returns the number of times within a distance of one.
func countWithin(times []time.Time, of time.Time, distance time.Duration) (n int) {
	for _, t := range times {
		if t.Sub(of).Abs() <= distance {
			n++
		}
	}
	return n
}

// addUnder adds requests that had a part at an end, and reports whether one was new.
func (s *suspect) addUnder(inc incarnation, requests []int) (added bool) {
	if s.under == nil {
		s.under = map[incarnation][]int{}
	}
	for _, r := range requests {
		if list := s.under[inc]; len(list) < maxUnder && !slices.Contains(list, r) {
			s.under[inc] = append(list, r)
			added = true
		}
	}
	return added
}

// updatePartEnd adds an end of a part that another box reports. A part with which a request
// ran well on this box before is cleared.
func (q *Quarantine) updatePartEnd(at time.Time, part fingerprint.Fingerprint, inc incarnation, under []int) {
	if !q.addPartEnd(at, part, inc, under...) {
		return
	}
	success, ok := q.partRuns.at(part)
	if !ok || at.Sub(success) > partSuccessWindow {
		return
	}
	if success.Before(at) {
		success = at
	}
	q.clear(success, part, Cleared)
}

// separateEnds returns the number of ends up to a time that are within the window, those that
// came simultaneously counted once.
func (s *suspect) separateEnds(until time.Time) int {
	var times []time.Time
	for _, at := range s.ends {
		if s.counts(at, until) {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	for i, at := range times {
		if i == 0 || at.Sub(times[i-1]) > simultaneous {
			n++
		}
	}
	return n
}

func (s *suspect) counts(at, until time.Time) bool {
	return !at.After(until) && s.newest.Sub(at) <= countWindow
}

// requests returns the number of different requests at the ends of a part up to a time.
func (s *suspect) requests(until time.Time) int {
	var all []int
	for inc, at := range s.ends {
		if s.counts(at, until) {
			all = append(all, s.under[inc]...)
		}
	}
	slices.Sort(all)
	return len(slices.Compact(all))
}

// isPartBlamed reports whether a part is the cause of its ends, judged by the ends up to a
// time.
func (q *Quarantine) isPartBlamed(part fingerprint.Fingerprint, s *suspect, until time.Time) bool {
	ends := s.separateEnds(until)
	if ends < minEnds || s.requests(until) < minPartRequests {
		return false
	}
	unshared := 0
	for inc, at := range s.ends {
		if s.counts(at, until) && !q.isPartShared(part, s, inc, ends) {
			unshared++
		}
	}
	return unshared >= minUnshared
}

// isPartShared reports whether a part of other requests with at least as many ends was present
// at an end.
func (q *Quarantine) isPartShared(part fingerprint.Fingerprint, s *suspect, inc incarnation, ends int) bool {
	return slices.ContainsFunc(q.ended[inc].parts, func(p fingerprint.Fingerprint) bool {
		if p == part {
			return false
		}
		other := q.suspects[p]
		apart := hasOther(other.under[inc], s.under[inc]) && hasOther(s.under[inc], other.under[inc])
		return apart && other.separate >= ends
	})
}

// hasOther reports whether a list has an element that another one lacks.
func hasOther(list, than []int) bool {
	return slices.ContainsFunc(list, func(r int) bool { return !slices.Contains(than, r) })
}

// isAmbiguous reports whether a part that a prompt lacks was present at all ends of a part: it
// may be the cause instead.
func (q *Quarantine) isAmbiguous(s *suspect, prompt []fingerprint.Fingerprint) bool {
	for inc := range s.ends { // any one of them
		return slices.ContainsFunc(q.ended[inc].parts, func(p fingerprint.Fingerprint) bool {
			return !slices.Contains(prompt, p) && q.suspects[p] != s && q.suspects[p].hasEnds(s)
		})
	}
	return false
}

// hasEnds reports whether a suspect has all ends of another one.
func (s *suspect) hasEnds(o *suspect) bool {
	for inc := range o.ends {
		if _, ok := s.ends[inc]; !ok {
			return false
		}
	}
	return true
}

// partStatus returns the status of a request by one of the parts of its prompt.
func (q *Quarantine) partStatus(now time.Time, part fingerprint.Fingerprint, prompt []fingerprint.Fingerprint) Status {
	s, ok := q.suspects[part]
	if !ok || !s.part || len(s.ends) == 0 {
		return Status{Kind: Free}
	}
	if s.count(now) < heldEnds {
		return Status{Kind: Free}
	}
	st := Status{Kind: Suspect, Subject: part, Part: true, Ends: s.separateEnds(now), Age: now.Sub(s.newest)}
	switch {
	case q.isPartBlamed(part, s, now.Add(-settleTime)):
		if st.Until = s.newest.Add(refusalTime); now.Before(st.Until) && !q.isAmbiguous(s, prompt) {
			st.Kind = Refused
		}
	case st.Age < settleTime && q.isPartBlamed(part, s, now) && !q.isAmbiguous(s, prompt):
		st.Kind, st.Until = Pending, s.newest.Add(settleTime)
	}
	return st
}

// RestorePart adds a quarantine of a part that was read from the store.
func (q *Quarantine) RestorePart(now time.Time, part fingerprint.Fingerprint, upstreams []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, u := range upstreams {
		at := now.Add(-settleTime - time.Duration(i)*2*simultaneous) // the times and the requests are not stored
		if q.addPartEnd(at, part, incarnation{upstream: u}, i) {
			q.suspects[part].own = true // this box deletes it from the store
		}
	}
}
