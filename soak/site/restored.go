package site

import (
	"slices"
	"time"

	"petrelstep/soak/checker"
	"petrelstep/standin/platform"
)

// confirm records that the store has confirmed a change; again, if it had lost it.
func (s *Site) confirm(c checker.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.changes, func(other checker.Change) bool { return other.Version == c.Version && other.Worker == c.Worker })
	if i < 0 {
		i, s.changes = len(s.changes), append(s.changes, c)
	}
	if held := s.changes[i].Held; len(held) == 0 || held[len(held)-1].Until.Before(time.Now()) {
		s.changes[i].Held = append(held, checker.Span{From: time.Now(), Until: time.Now().Add(siteLife)})
	}
}

// Changes returns the changes that the store confirmed, and when it held them.
func (s *Site) Changes() []checker.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.changes)
}

// SuspendStore takes the store away until it is restored. Changes of keys and the leaving of
// workers wait.
func (s *Site) SuspendStore() {
	s.storeThere.Lock()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, c := range s.changes {
		if held := c.Held; held[len(held)-1].Until.After(now) {
			held[len(held)-1].Until = now
		}
	}
	s.Platform.Suspend()
}

// RestoreStore brings the store back from a copy. Revocations that the copy lacks do not count
// until they are written again.
func (s *Site) RestoreStore(copied *platform.Copy) {
	s.Platform.Restore(copied)
	defer s.storeThere.Unlock()
	for _, c := range s.Changes() {
		if slices.ContainsFunc(c.Held, func(h checker.Span) bool { return h.From.Before(copied.At) && h.Until.After(copied.At) }) {
			s.confirm(c)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, at := range s.revoked {
		if at.After(copied.At) {
			delete(s.revoked, key)
		}
	}
}

// ConfirmLost records that all that the store had lost is written again.
func (s *Site) ConfirmLost() {
	for _, c := range s.Changes() {
		s.confirm(c)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.dropped {
		if s.revoked[key].IsZero() {
			s.revoked[key] = time.Now()
		}
	}
}

// Versions returns the configurations that added and dropped a key; dropped is 0 if it is valid.
func (s *Site) Versions(key string) (added, dropped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.added[key], s.dropped[key]
}
