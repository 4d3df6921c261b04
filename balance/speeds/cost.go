package speeds

import (
	"fmt"
	"time"

	"petrelstep/fleet"
	"petrelstep/tally"
)

const (
	// lastingTokens is how much an answer has to come, at least, for its pauses to be
	// at risk: what has less ends about as soon as the next prompt is read.
	lastingTokens = 64
	// besideLater is the chance that another prompt is read beside a long answer that
	// has an engine to itself, and besideOthers where others stream.
	besideLater  = 0.5
	besideOthers = 0.9
	// spent is what a short answer costs at an engine that keeps its pause beside
	// prompts, in long ones that are late: its prompt slows all that streams there, so
	// that they hold their memory for longer, and long answers have no other engine.
	spent = 0.05
)

// Need is what a request needs of an engine.
type Need struct {
	Gap   time.Duration // longest pause of a stream in time; 0 for any
	Long  bool          // its answer streams for longer than its prompt is read
	Moves bool          // it is a run that moves there: it has no prompt to be read
}

// String names it.
func (n Need) String() string { return fmt.Sprint(n.Gap, n.Long, n.Moves) }

// cost is how many requests a request makes late at an engine, itself included.
func (r risk) cost(n Need, l tally.Load, inTime float64) float64 {
	cost := r.alone
	if !n.Moves {
		cost += r.beside * inTime
	}
	if !n.Long {
		return cost + spent*(1-r.beside)
	}
	later := besideLater
	if lasting(l) > 0 || n.Moves && l.Prefill > 0 {
		later = besideOthers
	}
	return cost + (1-r.alone)*r.beside*later
}

// lasting is how many streams run there whose pauses are at risk.
func lasting(l tally.Load) int { return min(l.Requests, l.Coming/lastingTokens) }

// gave is what the keeper of a queue knows of an engine: how many streams are in time
// there, by what it sent there last.
type gave struct{ inTime int }

// Gave notes that a request goes to an upstream. On an engine that breaks its pause
// beside a prompt, the last long answer alone is in time, until another prompt comes.
func (s *Speeds) Gave(now time.Time, u fleet.Upstream, n Need) {
	if s == nil || n.Gap == 0 {
		return
	}
	v := s.view(now, u.Service)
	breaks := v.risks(n.Gap).of(u).beside >= clearly
	if n.Long {
		s.counts.Placed(string(v.speeds[keyOf(u)].Class(n.Gap)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.given[keyOf(u)]
	if breaks {
		g.inTime = 0
	}
	if n.Long {
		g.inTime++
	}
	s.given[keyOf(u)] = g
}

// inTime returns how many streams at an upstream may be made late yet. Of one that
// this box never sent to, one is.
func (s *Speeds) inTime(u fleet.Upstream, l tally.Load) float64 {
	g, ok := s.given[keyOf(u)]
	if !ok {
		g.inTime = 1
	}
	return float64(min(g.inTime, lasting(l)))
}

// Judged is what an upstream is worth to a request.
type Judged struct {
	Cost    float64 // requests that it makes late there, itself included
	Reading float64 // how many times as long as usual a prompt takes to be read
}

// Judge weighs some upstreams of one service for a request; nil where nothing is known
// of any.
func (s *Speeds) Judge(now time.Time, service string, list []fleet.Upstream, loads []tally.Load, n Need) []Judged {
	if s == nil || n.Gap == 0 || len(list) == 0 {
		return nil
	}
	v := s.view(now, service)
	risks := v.risks(n.Gap)
	judged := make([]Judged, len(list))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gaps[service] = n.Gap
	if !v.known {
		return nil
	}
	for i, u := range list {
		judged[i] = Judged{risks.of(u).cost(n, loads[i], s.inTime(u, loads[i])), v.reading(u)}
	}
	return judged
}
