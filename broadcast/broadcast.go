// Package broadcast tells the other boxes of an accepted change: all boxes of
// this hall, and one of each other hall, which passes it on in its own. What
// does not get through is made up for by heartbeats and by reading the table.
package broadcast

import (
	"context"
	"sync"
	"time"

	"petrelstep/members"
	"petrelstep/peer"
	"petrelstep/wire"
)

// tellTime bounds one telling.
const tellTime = 800 * time.Millisecond

// Peers calls other boxes.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Broadcaster is safe for use by several goroutines.
type Broadcaster struct {
	members *members.Members
	peers   Peers
}

// New returns a way to tell the boxes that m knows.
func New(m *members.Members, p Peers) *Broadcaster { return &Broadcaster{members: m, peers: p} }

// Broadcast tells of a change that was accepted here.
func (s *Broadcaster) Broadcast(ctx context.Context, set wire.ChangeSet) {
	now := time.Now()
	self := s.members.Self()
	halls := map[string][]members.Box{}
	for _, b := range s.members.Peers(now) {
		halls[b.Hall] = append(halls[b.Hall], b)
	}
	var all sync.WaitGroup
	for hall, boxes := range halls {
		if hall == self.Hall {
			all.Go(func() { s.each(ctx, boxes, set) })
			continue
		}
		all.Go(func() { s.first(ctx, boxes, set) })
	}
	all.Wait()
}

// Relay passes a change on in this box's hall.
func (s *Broadcaster) Relay(ctx context.Context, set wire.ChangeSet) {
	set.Relay = false
	self := s.members.Self()
	var boxes []members.Box
	for _, b := range s.members.Peers(time.Now()) {
		if b.Hall == self.Hall {
			boxes = append(boxes, b)
		}
	}
	s.each(ctx, boxes, set)
}

func (s *Broadcaster) each(ctx context.Context, boxes []members.Box, set wire.ChangeSet) {
	set.Relay = false
	var all sync.WaitGroup
	for _, b := range boxes {
		all.Go(func() { s.tell(ctx, b, set) })
	}
	all.Wait()
}

// first tells one box of a hall, live ones before others, until one has it.
func (s *Broadcaster) first(ctx context.Context, boxes []members.Box, set wire.ChangeSet) {
	set.Relay = true
	for _, want := range []members.State{members.Live, members.Leaving, members.Suspect} {
		for _, b := range boxes {
			if b.State == want && s.tell(ctx, b, set) {
				return
			}
		}
	}
}

func (s *Broadcaster) tell(ctx context.Context, b members.Box, set wire.ChangeSet) bool {
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	var done wire.Nothing
	return s.peers.Call(ctx, b.Address, peer.Tell, set, &done) == nil
}
