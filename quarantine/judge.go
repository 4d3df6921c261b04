package quarantine

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/fingerprint"
	"petrelstep/wire"
)

// Status says how a request is treated. Values are immutable.
type Status struct {
	Kind    Kind
	Subject fingerprint.Fingerprint // the request, or the part of its prompt, that is the reason
	Part    bool                    // whether it is a part
	Ends    int                     // incarnations that ended under it
	Age     time.Duration           // of the last end
	Until   time.Time               // end of the refusal or of the wait
}

// Kind is the kind of a request's status.
type Kind string

// The kinds of status.
const (
	Free    Kind = "free"
	Suspect Kind = "suspect" // it runs once at a time, over all boxes
	Pending Kind = "open"    // it waits until the other boxes have reported
	Refused Kind = "refused"
)

// Status returns the status of a request whose prompt has the given parts: the most severe
// one of the request itself and of the parts.
func (q *Quarantine) Status(now time.Time, fp fingerprint.Fingerprint, parts ...fingerprint.Fingerprint) Status {
	if q == nil {
		return Status{Kind: Free}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.status(now, fp, parts)
}

func (q *Quarantine) status(now time.Time, fp fingerprint.Fingerprint, parts []fingerprint.Fingerprint) Status {
	worst := q.requestStatus(now, fp)
	for _, p := range parts {
		if st := q.partStatus(now, p, parts); st.worseThan(worst) {
			worst = st
		}
	}
	return worst
}

// severity orders the kinds of status.
var severity = map[Kind]int{Free: 0, Suspect: 1, Pending: 2, Refused: 3}

// worseThan reports whether a status is more severe, or of more ends.
func (st Status) worseThan(o Status) bool {
	if st.Kind != o.Kind {
		return severity[st.Kind] > severity[o.Kind]
	}
	return st.Kind != Free && st.Ends > o.Ends
}

// requestStatus returns the status of a request, whatever its parts.
func (q *Quarantine) requestStatus(now time.Time, fp fingerprint.Fingerprint) Status {
	s, ok := q.suspects[fp]
	if !ok || len(s.ends) == 0 {
		return Status{Kind: Free}
	}
	st := Status{Kind: Suspect, Subject: fp, Ends: s.count(now), Age: now.Sub(s.newest)}
	switch {
	case q.isBlamed(fp, s, now.Add(-settleTime)):
		if st.Until = s.newest.Add(refusalTime); now.Before(st.Until) {
			st.Kind = Refused
		}
	case st.Age < settleTime && q.isBlamed(fp, s, now):
		st.Kind, st.Until = Pending, s.newest.Add(settleTime)
	}
	return st
}

// isBlamed reports whether a request is the cause of its ends, judged by the ends up to
// a time.
func (q *Quarantine) isBlamed(fp fingerprint.Fingerprint, s *suspect, until time.Time) bool {
	ends := s.count(until)
	if ends < minEnds {
		return false
	}
	unshared, blame := 0, 0.0
	for inc, at := range s.ends {
		if at.After(until) || s.newest.Sub(at) > countWindow {
			continue
		}
		blame += 1 / float64(q.ended[inc].present*q.simultaneousEnds(inc))
		if !q.isShared(fp, inc, ends) {
			unshared++
		}
	}
	return unshared >= minUnshared && (blame >= minBlame || ends >= certainEnds)
}

// isShared reports whether another request with at least as many ends was present at an
// end.
func (q *Quarantine) isShared(fp fingerprint.Fingerprint, inc incarnation, ends int) bool {
	return slices.ContainsFunc(q.ended[inc].fps, func(p fingerprint.Fingerprint) bool {
		return p != fp && q.suspects[p].count(q.suspects[p].newest) >= ends
	})
}

// simultaneousEnds returns the number of incarnations that ended simultaneously with
// one, itself included.
func (q *Quarantine) simultaneousEnds(inc incarnation) int {
	n, at := 0, q.ended[inc].at
	for _, e := range q.ended {
		if e.at.Sub(at).Abs() <= simultaneous {
			n++
		}
	}
	return n
}

// Tick updates which requests are refused, and cancels the attempts of those that are.
func (q *Quarantine) Tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	for fp, s := range q.suspects {
		if !s.refused && len(s.ends) < minEnds {
			continue
		}
		blamed := q.isBlamed
		if s.part {
			blamed = q.isPartBlamed
		}
		refused := now.Before(s.newest.Add(refusalTime)) && blamed(fp, s, now.Add(-settleTime))
		if refused {
			q.cancelAttempts(now, fp)
		}
		if refused == s.refused {
			continue
		}
		s.refused = refused
		q.setRefused(now, fp, s)
	}
}

// expire removes ended incarnations past their retention at which no suspect was
// present. It scans them all, and so runs at intervals.
func (q *Quarantine) expire(now time.Time) {
	if now.Sub(q.lastExpiry) < incarnationRetention/10 {
		return
	}
	q.lastExpiry = now
	for inc, e := range q.ended {
		if len(e.fps) == 0 && len(e.parts) == 0 && now.Sub(e.at) > incarnationRetention {
			delete(q.ended, inc)
		}
	}
}

// cancelAttempts cancels the attempts of a request, on separate goroutines, as cancel
// may call the quarantine.
func (q *Quarantine) cancelAttempts(now time.Time, fp fingerprint.Fingerprint) {
	for a := range q.attempts[fp] {
		if q.status(now, a.fp, a.parts).Kind == Refused {
			go a.cancel()
		}
	}
}

// setRefused counts, logs and stores a change of whether a request is refused.
func (q *Quarantine) setRefused(now time.Time, fp fingerprint.Fingerprint, s *suspect) {
	upstreams := s.upstreams()
	log := q.log.WithFields(logrus.Fields{
		"fingerprint": fp, "part": s.part, "ends": s.count(now), "last_ms": now.Sub(s.newest).Milliseconds(), "own": s.own, "upstreams": upstreams, "cut": len(q.attempts[fp]),
	})
	if !s.refused {
		q.counter.Quarantined(LetIn)
		log.Info("quarantine_over")
		if s.own {
			q.store.Delete(fp)
		}
		return
	}
	q.counter.Quarantined(Closed)
	log.Warn("quarantined")
	switch {
	case !s.own:
	case s.part:
		q.store.SavePart(fp, upstreams)
	default:
		q.store.Save(fp, upstreams)
	}
}

// upstreams returns the sorted ids of the upstreams that ended.
func (s *suspect) upstreams() (ids []string) {
	for inc := range s.ends {
		ids = append(ids, inc.upstream)
	}
	slices.Sort(ids)
	return ids
}

// Known is a request or part that is refused, or that was refused and then cleared.
type Known struct {
	Part, Refused bool
	Upstreams     []string // that ended under it, if it is refused
}

// Known returns the requests and parts that the store should have or should not have.
func (q *Quarantine) Known() map[fingerprint.Fingerprint]Known {
	q.mu.Lock()
	defer q.mu.Unlock()
	known := map[fingerprint.Fingerprint]Known{}
	for fp, s := range q.suspects {
		if s.refused || !s.cleared.IsZero() {
			known[fp] = Known{Part: s.part, Refused: s.refused, Upstreams: s.upstreams()}
		}
	}
	return known
}

// View returns the refused requests and parts.
func (q *Quarantine) View(now time.Time) []wire.Quarantined {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := []wire.Quarantined{}
	for fp, s := range q.suspects {
		if s.refused {
			list = append(list, wire.Quarantined{
				Fingerprint: fp.String(), Ends: s.count(now), LastMs: int(now.Sub(s.newest).Milliseconds()), LeftMs: int(s.newest.Add(refusalTime).Sub(now).Milliseconds()), Part: s.part,
			})
		}
	}
	return list
}
