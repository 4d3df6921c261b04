// Package heartbeat runs one task for each peer of this box, which periodically
// sends it the configuration in force, engine loads and demands. A box sends
// heartbeats to all boxes of its hall and to a few of each other hall, to bound
// the cost in large fleets.
package heartbeat

import (
	"context"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"petrelstep/members"
	"petrelstep/peer"
	"petrelstep/tasks"
	"petrelstep/wire"
)

const (
	// Period is the time between heartbeats to a peer.
	Period = time.Second
	// boxesPerHall is the number of boxes in each other hall that get heartbeats.
	boxesPerHall = 2
	// AcrossPeriod is the time between heartbeats to other halls. It may be longer,
	// as failed calls to their boxes are noticed anyway.
	AcrossPeriod = 2 * time.Second
	callTimeout  = 900 * time.Millisecond
)

// Box creates heartbeats and handles the answers.
type Box interface {
	Beat(to members.Box) wire.Heartbeat
	Answered(ctx context.Context, b members.Box, a wire.HeartbeatAnswer)
}

// Peers calls other boxes.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Heartbeat sends the heartbeats of one box.
type Heartbeat struct {
	members *members.Members
	peers   Peers
	box     Box
	timer   tasks.Timer
	log     *logrus.Entry
}

// New returns heartbeats of a box; Run sends them.
func New(m *members.Members, p Peers, box Box, t tasks.Timer, log *logrus.Entry) *Heartbeat {
	return &Heartbeat{members: m, peers: p, box: box, timer: t, log: log}
}

// Run sends heartbeats, by a task for each peer, until ctx ends.
func (h *Heartbeat) Run(ctx context.Context) {
	choose := func(now time.Time) map[string]members.Box { return Choose(h.members.Self(), h.members.Peers(now)) }
	tasks.New(h.timer, Period/2, choose, h.sendTo).Run(ctx)
}

// Choose returns the peers to send heartbeats to, by address: all boxes of the
// hall, and of each other hall the first few in this box's rendezvous order.
func Choose(self members.Box, peers []members.Box) map[string]members.Box {
	chosen := map[string]members.Box{}
	halls := map[string][]members.Box{}
	for _, b := range peers {
		if b.Hall == self.Hall {
			chosen[b.Address] = b
			continue
		}
		halls[b.Hall] = append(halls[b.Hall], b)
	}
	for _, boxes := range halls {
		sort.Slice(boxes, func(i, j int) bool {
			return xxhash.Sum64String(self.Name+"/"+boxes[i].Name) < xxhash.Sum64String(self.Name+"/"+boxes[j].Name)
		})
		for _, b := range boxes[:min(boxesPerHall, len(boxes))] {
			chosen[b.Address] = b
		}
	}
	return chosen
}

func (h *Heartbeat) sendTo(ctx context.Context, b members.Box) {
	lost := false
	period := Period
	if b.Hall != h.members.Self().Hall {
		period = AcrossPeriod
	}
	h.timer.Every(ctx, b.Name, period, func(time.Time) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var answer wire.HeartbeatAnswer
		err := h.peers.Call(call, b.Address, peer.Heartbeat, h.box.Beat(b), &answer)
		if err != nil {
			if !lost && ctx.Err() == nil {
				h.log.WithError(err).WithField("peer", b.Name).Warn("peer_silent")
			}
			lost = true
			if peer.Unreachable(err) {
				h.members.MarkFailed(time.Now(), b.Name)
			}
			return
		}
		if lost {
			h.log.WithField("peer", b.Name).Info("peer_back")
		}
		lost = false
		h.box.Answered(ctx, b, answer)
	})
}
