package site

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"petrelstep/soak/checker"
	"petrelstep/standin/worker"
)

const (
	// statusInterval is the time between reads of a roll-out's status by the operator.
	statusInterval = 20 * time.Millisecond
	// outcomeTime is how long after its time limit a roll-out may go without an outcome:
	// longer than the faults of the store that may follow one another.
	outcomeTime = 30 * time.Second
	// drainDelay is how long after a roll-back the new workers begin to drain.
	drainDelay = 3 * time.Second
)

// RolloutBounds returns the bounds that the boxes' settings contain.
func RolloutBounds() checker.RolloutBounds {
	return checker.RolloutBounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}
}

// rolloutSettings returns the settings of roll-outs and regions.
func rolloutSettings() string {
	b := RolloutBounds()
	raw, err := json.Marshal(regions)
	if err != nil {
		panic(err) // plain values
	}
	return fmt.Sprintf(`,"regions":%s,"rollout":{"exposure_share":%g,"exposure_slack":%g,"rollback_ms":%d}`, raw, b.Share, b.Slack, b.Rollback.Milliseconds())
}

// Rollout is an order to be given.
type Rollout struct {
	Service       string
	Duration      time.Duration
	Badness       *worker.Badness // of the new version; nil for a good one
	BadAfter      time.Duration   // after the order; replaces Badness.From
	WithdrawAfter time.Duration   // 0 for never
	Calm          func() bool     // reports at the end whether no fault was active since before the order
}

// RollOut starts a worker of a new version beside each one of a service, orders the roll-out
// and waits for its outcome. At completion the old workers stop at once; after a roll-back the
// new ones drain.
func (s *Site) RollOut(o Rollout) (checker.Rollout, error) {
	s.mu.Lock()
	s.nextID++
	version, before := fmt.Sprint("v", s.nextID), s.releases[o.Service]
	s.mu.Unlock()
	if o.Badness != nil {
		badness := *o.Badness
		badness.From = time.Now().Add(o.BadAfter)
		o.Badness = &badness
	}
	for _, old := range s.Live(o.Service) {
		if err := s.join(&Worker{Service: o.Service, Version: version, Hall: old.Hall, badness: o.Badness}); err != nil {
			return checker.Rollout{}, err
		}
	}
	from := time.Now()
	s.Platform.OrderRollout(o.Service, version, o.Duration)
	s.mu.Lock()
	number := len(s.rollouts)
	s.rollouts = append(s.rollouts, checker.Rollout{
		Service: o.Service, Version: version, Bad: o.Badness != nil, Span: checker.Span{From: from, Until: from.Add(o.Duration)},
	})
	s.mu.Unlock()
	switch s.awaitOutcome(o, version, from) {
	case checker.StateCompleted:
		completed := time.Now()
		s.stopOthers(o.Service, version, before)
		time.Sleep(time.Until(completed.Add(checker.CompletionLossTime))) // a fault in this time counts as one during the roll-out
	default:
		time.Sleep(drainDelay)
		s.drain(o.Service, version)
	}
	calm := o.Calm()
	s.mu.Lock()
	s.rollouts[number].Calm = calm
	s.mu.Unlock()
	return s.Rollouts()[number], nil
}

// awaitOutcome waits for the outcome of a roll-out, and withdraws its order in the meantime if
// it is to be.
func (s *Site) awaitOutcome(o Rollout, version string, from time.Time) string {
	withdrawn := o.WithdrawAfter == 0
	for time.Since(from) < o.Duration+outcomeTime {
		if !withdrawn && time.Since(from) >= o.WithdrawAfter {
			withdrawn = true
			s.Platform.WithdrawRollout(o.Service)
		}
		status, ok := s.Platform.RolloutStatus(o.Service)
		if ok && status.Target == version && (status.State == checker.StateCompleted || status.State == checker.StateRolledBack) {
			return status.State
		}
		time.Sleep(statusInterval)
	}
	return ""
}

// stopOthers ends the workers of a service that are not of a version, without draining. Their
// links remain open for a while to record the requests that are still sent to them.
func (s *Site) stopOthers(service, version, before string) {
	s.mu.Lock()
	s.releases[service], s.retired[releaseKey(service, before)] = version, true
	s.mended[releaseKey(service, version)] = true
	s.mu.Unlock()
	var stopped []*Worker
	for _, w := range s.Live(service) {
		if w.Version == version {
			w.EndBadness() // later versions are compared with a good one
		}
		if w.Version != version && s.remove(w) {
			w.Stop()
			w.Link.Cut(0)
			stopped = append(stopped, w)
		}
	}
	time.Sleep(Notice)
	for _, w := range stopped {
		s.Platform.Withdraw(w.ID)
		w.end()
	}
}

// drain ends the workers of a version after their notice.
func (s *Site) drain(service, version string) {
	s.mu.Lock()
	s.retired[releaseKey(service, version)] = true
	s.mu.Unlock()
	var leaving []*Worker
	for _, w := range s.Live(service) {
		if w.Version == version && s.remove(w) {
			w.Leave()
			s.announce(w, true)
			leaving = append(leaving, w)
		}
	}
	time.Sleep(Notice)
	for _, w := range leaving {
		s.Platform.Withdraw(w.ID)
		w.end()
	}
}

// remove removes a worker from the live ones, and reports whether it was one.
func (s *Site) remove(w *Worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.workers[w.ID] != w {
		return false
	}
	delete(s.workers, w.ID)
	return true
}

func releaseKey(service, version string) string { return service + " " + version }

// Rollouts returns all orders given and the states written under them.
func (s *Site) Rollouts() []checker.Rollout {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]checker.Rollout, len(s.rollouts))
	for i, r := range s.rollouts {
		for _, status := range s.Platform.RolloutStatuses(r.Service) {
			if status.Target == r.Version {
				r.States = append(r.States, checker.RolloutState{Name: status.State, At: status.At})
			}
		}
		list[i] = r
	}
	return list
}

// Decider returns the box that decides about a service's roll-out by its row in the store, or
// nil if there is none.
func (s *Site) Decider(service string) *Box {
	var row struct {
		Decider string `json:"decider"`
	}
	if value, ok := s.Platform.Row("rollouts", service); !ok || json.Unmarshal(value, &row) != nil {
		return nil
	}
	i := slices.IndexFunc(s.Boxes, func(b *Box) bool { return b.Name == row.Decider })
	if i < 0 {
		return nil
	}
	return s.Boxes[i]
}

// Prefix returns the path prefix of a kind's targets.
func Prefix(kind checker.Kind) string { return "/" + prefix(kind) + "/" }
