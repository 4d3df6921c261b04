package quarantine

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/fingerprint"
	"petrelstep/wire"
)

// Status says what may be done with a request. Values are immutable.
type Status struct {
	Kind  Kind
	Ends  int           // lives of upstreams that ended under it
	Age   time.Duration // of the last
	Until time.Time     // of those that are refused or not judged yet
}

// Kind is how a request stands.
type Kind string

// The kinds.
const (
	Free    Kind = "free"
	Suspect Kind = "suspect" // it is tried once at a time, over all boxes
	Pending Kind = "open"    // it may be refused once the other boxes' word is in: it waits
	Refused Kind = "refused"
)

// Status returns how a request stands.
func (q *Quarantine) Status(now time.Time, fp fingerprint.Fingerprint) Status {
	if q == nil {
		return Status{Kind: Free}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.suspects[fp]
	if !ok || len(s.ends) == 0 {
		return Status{Kind: Free}
	}
	st := Status{Kind: Suspect, Ends: s.count(now), Age: now.Sub(s.newest)}
	switch {
	case q.blamed(fp, s, now.Add(-settle)):
		if st.Until = s.newest.Add(closedFor); now.Before(st.Until) {
			st.Kind = Refused
		}
	case st.Age < settle && q.blamed(fp, s, now):
		st.Kind, st.Until = Pending, s.newest.Add(settle)
	}
	return st
}

// blamed tells whether a request is held to end the upstreams that run it, by the ends
// until a time.
func (q *Quarantine) blamed(fp fingerprint.Fingerprint, s *suspect, until time.Time) bool {
	ends := s.count(until)
	if ends < endsMost {
		return false
	}
	alone, blame := 0, 0.0
	for of, at := range s.ends {
		if at.After(until) || s.newest.Sub(at) > countFor {
			continue
		}
		blame += 1 / float64(q.lives[of].met*q.with(of))
		if !q.shared(fp, of, ends) {
			alone++
		}
	}
	return alone >= aloneLeast && (blame >= blameLeast || ends >= endsSure)
}

// shared tells whether another request that met so many ends was at a life.
func (q *Quarantine) shared(fp fingerprint.Fingerprint, of life, ends int) bool {
	return slices.ContainsFunc(q.lives[of].fps, func(p fingerprint.Fingerprint) bool {
		return p != fp && q.suspects[p].count(q.suspects[p].newest) >= ends
	})
}

// with returns how many lives ended together with one, itself included.
func (q *Quarantine) with(of life) int {
	n, at := 0, q.lives[of].at
	for _, e := range q.lives {
		if e.at.Sub(at).Abs() <= together {
			n++
		}
	}
	return n
}

// Tick notes which requests are refused from now on, and breaks off those of them that
// are on their way.
func (q *Quarantine) Tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forget(now)
	for fp, s := range q.suspects {
		if !s.closed && len(s.ends) < endsMost {
			continue
		}
		closed := now.Before(s.newest.Add(closedFor)) && q.blamed(fp, s, now.Add(-settle))
		if closed {
			q.cut(fp)
		}
		if closed == s.closed {
			continue
		}
		s.closed = closed
		q.turned(now, fp, s)
	}
}

// forget drops the ends of lives that nobody is under suspicion for any more. It looks
// at all of them once in a while.
func (q *Quarantine) forget(now time.Time) {
	if now.Sub(q.forgot) < livesFor/10 {
		return
	}
	q.forgot = now
	for of, e := range q.lives {
		if len(e.fps) == 0 && now.Sub(e.at) > livesFor {
			delete(q.lives, of)
		}
	}
}

// cut breaks off what is on its way. It runs on goroutines of its own, as who is cut
// may call back.
func (q *Quarantine) cut(fp fingerprint.Fingerprint) {
	for at := range q.sent[fp] {
		go at.cut()
	}
}

// turned says that a request is refused from now on, or no longer.
func (q *Quarantine) turned(now time.Time, fp fingerprint.Fingerprint, s *suspect) {
	var upstreams []string
	for of := range s.ends {
		upstreams = append(upstreams, of.upstream)
	}
	slices.Sort(upstreams)
	log := q.log.WithFields(logrus.Fields{
		"fingerprint": fp, "ends": s.count(now), "last_ms": now.Sub(s.newest).Milliseconds(), "own": s.own, "upstreams": upstreams, "cut": len(q.sent[fp]),
	})
	if !s.closed {
		q.counter.Quarantined(LetIn)
		log.Info("quarantine_over")
		if s.own {
			q.keeper.Delete(fp)
		}
		return
	}
	q.counter.Quarantined(Closed)
	log.Warn("quarantined")
	if s.own {
		q.keeper.Save(fp, upstreams)
	}
}

// View returns the requests that are refused.
func (q *Quarantine) View(now time.Time) []wire.Quarantined {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := []wire.Quarantined{}
	for fp, s := range q.suspects {
		if s.closed {
			list = append(list, wire.Quarantined{
				Fingerprint: fp.String(), Ends: s.count(now), LastMs: int(now.Sub(s.newest).Milliseconds()), LeftMs: int(s.newest.Add(closedFor).Sub(now).Milliseconds()),
			})
		}
	}
	return list
}
