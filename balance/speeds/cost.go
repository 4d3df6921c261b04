package speeds

import (
	"fmt"
	"time"

	"petrelstep/fleet"
	"petrelstep/upstreamload"
)

const (
	// minRemainingTokens is the minimum number of tokens left of an answer for its gaps
	// to be at risk: a shorter one ends about when the next prefill does.
	minRemainingTokens = 32
	// hitChance is the chance that a concurrent prefill makes an event of a stream as
	// slow as events get: only whole chunks of prompts do, and not all of them when an
	// event is due.
	hitChance = 0.25
	// shortCost is the cost, in late long answers, of a short answer at an engine that
	// keeps the gap during prefills: its prefill slows all streams there, which hold
	// their memory for longer, and long answers have no other engine.
	shortCost = 0.05
)

// Need is what a request requires of an engine.
type Need struct {
	Gap   time.Duration // maximum gap between events of a stream; 0 for any
	First time.Duration // maximum time to the first event; 0 for any
	Long  bool          // its answer takes longer to stream than its prompt to prefill
	Moves bool          // it is a run that moves to the engine, without a prefill
}

// String implements fmt.Stringer.
func (n Need) String() string { return fmt.Sprint(n.Gap, n.First, n.Long, n.Moves) }

// cost returns how many requests, itself included, a request makes late at an engine
// where onTime streams are not late yet.
func (r risk) cost(n Need, onTime float64) float64 {
	cost := r.alone
	if !n.Moves {
		cost += r.concurrent * hitChance * onTime
	}
	if !n.Long {
		return cost + shortCost*(1-r.concurrent)
	}
	return cost + (1-r.alone)*r.concurrent*hitChance // by the next prefill there
}

// streamsAtRisk returns the number of running streams whose gaps are at risk.
func streamsAtRisk(l upstreamload.Load) float64 {
	return float64(min(l.Requests, l.Coming/minRemainingTokens))
}

// Assigned records that the owner of a queue sends a request to an upstream. The
// streams that it makes late there add nothing to the cost of the next request.
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
	s.lateStreams[u.ID] += r.concurrent * hitChance * s.onTimeStreams(u, l)
}

// onTimeStreams returns how many streams at an upstream are not late yet. An owner that
// has just started assumes that none is late, and so it does for runs that moved there.
func (s *Speeds) onTimeStreams(u fleet.Upstream, l upstreamload.Load) float64 {
	running := streamsAtRisk(l)
	late, ok := s.lateStreams[u.ID]
	switch {
	case !ok:
		return running
	case running == 0:
		delete(s.lateStreams, u.ID) // the late streams have ended
	case late > running:
		s.lateStreams[u.ID] = running
	}
	return max(running-late, 0)
}

// Evaluation is the estimated effect of sending a request to an upstream.
type Evaluation struct {
	Cost         float64 // requests that it makes late there, itself included
	LateChance   float64 // chance that its first event is late because of prefills queued before it
	PrefillRatio float64 // prefill time relative to the service's engines
}

// WithQueueWait sets LateChance for a request that would usually wait that long for
// earlier prefills. Prefill slows down under load, so that the chance grows with the
// square of the fraction of the available time that the wait takes.
func (e Evaluation) WithQueueWait(n Need, wait time.Duration) Evaluation {
	if n.First > 0 && !n.Moves {
		fraction := min(e.PrefillRatio*wait.Seconds()/n.First.Seconds(), 1)
		e.LateChance = fraction * fraction
	}
	return e
}

// Evaluate evaluates upstreams of one service for a request; nil where no speed is
// known.
func (s *Speeds) Evaluate(now time.Time, service string, list []fleet.Upstream, loads []upstreamload.Load, n Need) []Evaluation {
	if s == nil || n.Gap == 0 || len(list) == 0 {
		return nil
	}
	v := s.view(now, service)
	risks := v.risks(n.Gap)
	evaluations := make([]Evaluation, len(list))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gaps[service] = n.Gap
	if !v.known {
		return nil
	}
	for i, u := range list {
		r := risks.of(u)
		evaluations[i] = Evaluation{Cost: r.cost(n, s.onTimeStreams(u, loads[i])), PrefillRatio: r.prefillRatio}
	}
	return evaluations
}
