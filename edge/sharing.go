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

// refusedKept is how long a refused request is known again, so that its repeats are
// counted with it: callers come back within a third of their time.
const refusedKept = 20 * time.Second

// sharing counts what came of the requests of this box's callers. It is safe for use
// by several goroutines.
type sharing struct {
	shares *shares.Shares // nil where shares do not count

	mu      sync.Mutex
	refused map[uint64]time.Time // requests, by what their tries have in common
	pruned  time.Time
}

func newSharing(on bool) *sharing {
	s := &sharing{refused: map[uint64]time.Time{}}
	if on {
		s.shares = shares.New(nil)
	}
	return s
}

// keeper returns the shares as the keeper of a queue goes by.
func (s *sharing) keeper() admission.Shares {
	if s.shares == nil {
		return nil
	}
	return s.shares
}

// ended notes whether a request was given room, or refused for the first time.
func (s *sharing) ended(now time.Time, ask admission.Request, work float64, err error) {
	if s.shares == nil {
		return
	}
	party := shares.Party{Organisation: ask.Organisation, Rank: ask.Urgency}
	var refused refusal.Refusal
	switch {
	case err == nil:
		s.shares.RecordOwn(now, party, work, true)
	case errors.As(err, &refused) && refused.RetryAfter() > 0 && s.first(now, ask.Key):
		s.shares.RecordOwn(now, party, work, false)
	}
}

// first tells whether a request was not refused before.
func (s *sharing) first(now time.Time, mark uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.pruned) > refusedKept {
		s.pruned = now
		for m, at := range s.refused {
			if now.Sub(at) > refusedKept {
				delete(s.refused, m)
			}
		}
	}
	_, known := s.refused[mark]
	s.refused[mark] = now
	return !known
}

// own returns what this box's callers were given and refused.
func (s *sharing) own(now time.Time) []wire.OrganisationUse {
	if s.shares == nil {
		return nil
	}
	return s.shares.Own(now)
}

// part returns what the callers of this box and of those that tell it alone were given
// and refused.
func (s *sharing) part(now time.Time) []wire.OrganisationUse {
	if s.shares == nil {
		return nil
	}
	return s.shares.Part(now)
}

// covers notes, before a box's word is taken, whether it tells this box alone.
func (s *sharing) covers(box string, only bool) {
	if s.shares != nil {
		s.shares.SetCoverage(box, only)
	}
}

// without returns what the callers of all boxes but one were given and refused.
func (s *sharing) without(now time.Time, box string) []wire.OrganisationUse {
	if s.shares == nil {
		return nil
	}
	return s.shares.Without(now, box)
}

// told takes another box's word of its callers.
func (s *sharing) told(now time.Time, box string, uses []wire.OrganisationUse) {
	if s.shares != nil {
		s.shares.Update(now, box, uses)
	}
}

// toldSum takes a hub's word of all other boxes' callers.
func (s *sharing) toldSum(now time.Time, uses []wire.OrganisationUse) {
	if s.shares != nil {
		s.shares.UpdateSum(now, uses)
	}
}
