package speeds

import (
	"fmt"
	"time"

	"petrelstep/fleet"
	"petrelstep/upstreamload"
)

const (
	// lastingTokens is how much an answer has to come, at least, for its pauses to be
	// at risk: what has less ends about as soon as the next prompt is read.
	lastingTokens = 32
	// hits is the chance that a prompt that is read beside a stream makes one of its
	// events as long as they get: only whole pieces of prompts do, and not all at a
	// time when an event is due. Of streams on engines that do not keep their pause a
	// fifth to a quarter was made late by each prompt.
	hits = 0.25
	// spent is what a short answer costs at an engine that keeps its pause beside
	// prompts, in long ones that are late: its prompt slows all that streams there, so
	// that they hold their memory for longer, and long answers have no other engine.
	spent = 0.05
)

// Need is what a request needs of an engine.
type Need struct {
	Gap   time.Duration // longest pause of a stream in time; 0 for any
	First time.Duration // time that its first event has; 0 for any
	Long  bool          // its answer streams for longer than its prompt is read
	Moves bool          // it is a run that moves there: it has no prompt to be read
}

// String names it.
func (n Need) String() string { return fmt.Sprint(n.Gap, n.First, n.Long, n.Moves) }

// cost is how many requests a request makes late at an engine where so many may yet be
// made so, itself included.
func (r risk) cost(n Need, inTime float64) float64 {
	cost := r.alone
	if !n.Moves {
		cost += r.beside * hits * inTime
	}
	if !n.Long {
		return cost + spent*(1-r.beside)
	}
	return cost + (1-r.alone)*r.beside*hits // by the next prompt that comes there
}

// lasting is how many streams run there whose pauses are at risk.
func lasting(l upstreamload.Load) float64 { return float64(min(l.Requests, l.Coming/lastingTokens)) }

// Assigned notes that the keeper of a queue sends a request to an upstream where so much
// runs: what it makes late there costs the next one nothing more.
func (s *Speeds) Assigned(now time.Time, u fleet.Upstream, n Need, l upstreamload.Load) {
	if s == nil || n.Gap == 0 {
		return
	}
	v := s.view(now, u.Service)
	r := v.risks(n.Gap).of(u)
	if n.Long {
		s.counts.LongPlaced(string(v.speeds[keyOf(u)].Class(n.Gap)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.given[u.ID] += r.beside * hits * s.inTime(u, l)
}

// inTime returns how many streams at an upstream may be made late yet. A keeper that
// has just begun takes all of them for such, as well as runs that moved there.
func (s *Speeds) inTime(u fleet.Upstream, l upstreamload.Load) float64 {
	there := lasting(l)
	late, ok := s.given[u.ID]
	switch {
	case !ok:
		return there
	case there == 0:
		delete(s.given, u.ID) // what was late has ended
	case late > there:
		s.given[u.ID] = there
	}
	return max(there-late, 0)
}

// Evaluation is what an upstream is worth to a request.
type Evaluation struct {
	Cost         float64 // requests that it makes late there, itself included
	LateChance   float64 // chance that its first event is late, by the prompts before it
	PrefillRatio float64 // how many times as long as usual a prompt takes to be read
}

// WithQueueWait returns it for a request that has usually so long to wait there for prompts
// before it. Engines read more slowly than was reckoned where much runs beside, so that
// the chance to be late grows with the square of the part of its time that they take.
func (j Evaluation) WithQueueWait(n Need, line time.Duration) Evaluation {
	if n.First > 0 && !n.Moves {
		part := min(j.PrefillRatio*line.Seconds()/n.First.Seconds(), 1)
		j.LateChance = part * part
	}
	return j
}

// Evaluate weighs some upstreams of one service for a request; nil where nothing is known
// of any.
func (s *Speeds) Evaluate(now time.Time, service string, list []fleet.Upstream, loads []upstreamload.Load, n Need) []Evaluation {
	if s == nil || n.Gap == 0 || len(list) == 0 {
		return nil
	}
	v := s.view(now, service)
	risks := v.risks(n.Gap)
	judged := make([]Evaluation, len(list))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gaps[service] = n.Gap
	if !v.known {
		return nil
	}
	for i, u := range list {
		r := risks.of(u)
		judged[i] = Evaluation{Cost: r.cost(n, s.inTime(u, loads[i])), PrefillRatio: r.reading}
	}
	return judged
}
