package edge

import (
	"errors"
	"sync"
	"time"

	"petrelstep/admission"
	"petrelstep/balance/shares"
	"petrelstep/refusal"
	"petrelstep/wire"
)

// refusalRetention is how long a refused request is remembered, so that its retries
// aren't counted again: callers retry within a third of this time.
const refusalRetention = 20 * time.Second

// sharing counts the capacity granted and refused to this box's callers. It is safe for
// concurrent use.
type sharing struct {
	shares *shares.Shares // nil if disabled

	mu      sync.Mutex
	refused map[uint64]time.Time // when requests were refused, by request key
	pruned  time.Time
}

func newSharing(on bool) *sharing {
	s := &sharing{refused: map[uint64]time.Time{}}
	if on {
		s.shares = shares.New(nil)
	}
	return s
}

// queueShares returns the shares that a queue is ordered by, or nil if disabled.
func (s *sharing) queueShares() admission.Shares {
	if s.shares == nil {
		return nil
	}
	return s.shares
}

// recordOutcome records that a request was granted capacity or first refused.
func (s *sharing) recordOutcome(now time.Time, ask admission.Request, work float64, err error) {
	if s.shares == nil {
		return
	}
	party := shares.Party{Organisation: ask.Organisation, Rank: ask.Urgency}
	var refused refusal.Refusal
	switch {
	case err == nil:
		s.shares.RecordOwn(now, party, work, true)
	case errors.As(err, &refused) && refused.RetryAfter() > 0 && s.isFirstRefusal(now, ask.Key):
		s.shares.RecordOwn(now, party, work, false)
	}
}

// isFirstRefusal reports whether a request was not refused before.
func (s *sharing) isFirstRefusal(now time.Time, requestKey uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.pruned) > refusalRetention {
		s.pruned = now
		for key, at := range s.refused {
			if now.Sub(at) > refusalRetention {
				delete(s.refused, key)
			}
		}
	}
	_, known := s.refused[requestKey]
	s.refused[requestKey] = now
	return !known
}

// own returns the capacity granted and refused to this box's callers.
func (s *sharing) own(now time.Time) []wire.OrganisationUse {
	if s.shares == nil {
		return nil
	}
	return s.shares.Own(now)
}

// aggregated returns the capacity granted and refused at this box and those that report
// only to it.
func (s *sharing) aggregated(now time.Time) []wire.OrganisationUse {
	if s.shares == nil {
		return nil
	}
	return s.shares.Part(now)
}

// setCoverage records, before a report is applied, whether the box reports only to this
// one.
func (s *sharing) setCoverage(box string, exclusive bool) {
	if s.shares != nil {
		s.shares.SetCoverage(box, exclusive)
	}
}

// without returns the capacity granted and refused at all boxes but one.
func (s *sharing) without(now time.Time, box string) []wire.OrganisationUse {
	if s.shares == nil {
		return nil
	}
	return s.shares.Without(now, box)
}

// update applies another box's report.
func (s *sharing) update(now time.Time, box string, uses []wire.OrganisationUse) {
	if s.shares != nil {
		s.shares.Update(now, box, uses)
	}
}

// updateSum applies a hub's sum over all other boxes.
func (s *sharing) updateSum(now time.Time, uses []wire.OrganisationUse) {
	if s.shares != nil {
		s.shares.UpdateSum(now, uses)
	}
}
