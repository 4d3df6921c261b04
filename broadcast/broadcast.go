// Package broadcast sends an accepted change to the other boxes: to all boxes of
// this hall, and to one of each other hall, which relays it there. Boxes that
// miss a change catch up by heartbeats and by reading the table.
package broadcast

import (
	"context"
	"sync"
	"time"

	"petrelstep/members"
	"petrelstep/peer"
	"petrelstep/wire"
)

// sendTimeout bounds the call to one box.
const sendTimeout = 800 * time.Millisecond

// Peers calls other boxes.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Broadcaster sends changes to other boxes. It is safe for concurrent use.
type Broadcaster struct {
	members *members.Members
	peers   Peers
}

// New returns a broadcaster to the boxes in m.
func New(m *members.Members, p Peers) *Broadcaster { return &Broadcaster{members: m, peers: p} }

// Broadcast sends a change that was accepted by this box.
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
			all.Go(func() { s.sendAll(ctx, boxes, set) })
			continue
		}
		all.Go(func() { s.sendFirst(ctx, boxes, set) })
	}
	all.Wait()
}

// Relay sends a change to the other boxes of this box's hall.
func (s *Broadcaster) Relay(ctx context.Context, set wire.ChangeSet) {
	set.Relay = false
	self := s.members.Self()
	var boxes []members.Box
	for _, b := range s.members.Peers(time.Now()) {
		if b.Hall == self.Hall {
			boxes = append(boxes, b)
		}
	}
	s.sendAll(ctx, boxes, set)
}

func (s *Broadcaster) sendAll(ctx context.Context, boxes []members.Box, set wire.ChangeSet) {
	set.Relay = false
	var all sync.WaitGroup
	for _, b := range boxes {
		all.Go(func() { s.send(ctx, b, set) })
	}
	all.Wait()
}

// sendFirst sends a change to the boxes of a hall in turn, live ones first, until
// one has received it.
func (s *Broadcaster) sendFirst(ctx context.Context, boxes []members.Box, set wire.ChangeSet) {
	set.Relay = true
	for _, want := range []members.State{members.Live, members.Leaving, members.Suspect} {
		for _, b := range boxes {
			if b.State == want && s.send(ctx, b, set) {
				return
			}
		}
	}
}

func (s *Broadcaster) send(ctx context.Context, b members.Box, set wire.ChangeSet) bool {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var done wire.Nothing
	return s.peers.Call(ctx, b.Address, peer.Tell, set, &done) == nil
}
