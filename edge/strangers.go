package edge

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/gossip"
	"petrelstep/wire"
)

// strangerLogInterval is the minimum time between log lines about one box of another fleet.
const strangerLogInterval = 10 * time.Second

// maxStrangers bounds the boxes of other fleets that are remembered.
const maxStrangers = 256

// strangers are boxes that called this one and are not of its fleet, or expected another box
// at its address. The address of a box that is gone may be given to one of another fleet,
// whose boxes go on calling it. What they report must not be used: they name other upstreams and
// other boxes, maybe under the same names.
type strangers struct {
	mu       sync.Mutex
	loggedAt map[string]time.Time // by address
}

func newStrangers() *strangers { return &strangers{loggedAt: map[string]time.Time{}} }

// logDue reports whether a call from an address is to be logged.
func (s *strangers) logDue(now time.Time, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, known := s.loggedAt[address]; known && now.Sub(last) < strangerLogInterval {
		return false
	}
	if len(s.loggedAt) >= maxStrangers {
		clear(s.loggedAt)
	}
	s.loggedAt[address] = now
	return true
}

// strangerReason returns why a call is not of this box's fleet, or not for this box; empty if
// it is both, as far as the caller says.
func (e *Edge) strangerReason(from wire.Gossip) string {
	switch {
	case gossip.OtherFleet(from.FleetName, e.config.Edge.Fleet):
		return "other_fleet"
	case from.To != "" && from.To != e.config.Box:
		return "other_box_expected"
	}
	return ""
}

// rejects reports whether a call is from a stranger. Its answer only names this box, so that the
// caller no longer takes it for one of its own.
func (e *Edge) rejects(now time.Time, from wire.Gossip) bool {
	reason := e.strangerReason(from)
	if reason == "" {
		return false
	}
	e.metrics.StrangerRejected(reason)
	if e.strangers.logDue(now, from.Sender.Address) {
		e.log.WithFields(logrus.Fields{
			"peer": from.Sender.Box, "address": from.Sender.Address, "fleet": from.FleetName, "expected_box": from.To, "reason": reason,
		}).Warn("stranger_rejected")
	}
	return true
}
