// Package heartbeat keeps one task for each peer of this box, which tells it
// each second that the box is alive, what configuration is in force, and what
// it knows of engines and demand. A box beats to all boxes of its hall and to
// a few of each other hall, so that the cost does not grow with all boxes.
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
	// acrossHalls is to how many boxes of each other hall a box beats.
	acrossHalls = 2
	// AcrossPeriod is the time between heartbeats to other halls: their boxes
	// are not in this hall's orders, and calls to them tell soon enough.
	AcrossPeriod = 2 * time.Second
	beatTime     = 900 * time.Millisecond
)

// Box makes heartbeats and learns from the answers.
type Box interface {
	Beat(to members.Box) wire.Heartbeat
	Answered(ctx context.Context, b members.Box, a wire.HeartbeatAnswer)
}

// Peers calls other boxes.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Heartbeat is one box's.
type Heartbeat struct {
	members *members.Members
	peers   Peers
	box     Box
	timer   tasks.Timer
	log     *logrus.Entry
}

// New returns heartbeats that Run sends.
func New(m *members.Members, p Peers, box Box, t tasks.Timer, log *logrus.Entry) *Heartbeat {
	return &Heartbeat{members: m, peers: p, box: box, timer: t, log: log}
}

// Run sends heartbeats, by a task for each peer, until ctx ends.
func (h *Heartbeat) Run(ctx context.Context) {
	choose := func(now time.Time) map[string]members.Box { return Choose(h.members.Self(), h.members.Peers(now)) }
	tasks.New(h.timer, Period/2, choose, h.beatTo).Run(ctx)
}

// Choose returns the peers to beat to, by address: the whole hall, and of each
// other hall the first few in this box's own rendezvous order.
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
		for _, b := range boxes[:min(acrossHalls, len(boxes))] {
			chosen[b.Address] = b
		}
	}
	return chosen
}

func (h *Heartbeat) beatTo(ctx context.Context, b members.Box) {
	lost := false
	period := Period
	if b.Hall != h.members.Self().Hall {
		period = AcrossPeriod
	}
	h.timer.Every(ctx, b.Name, period, func(time.Time) {
		call, cancel := context.WithTimeout(ctx, beatTime)
		defer cancel()
		var answer wire.HeartbeatAnswer
		err := h.peers.Call(call, b.Address, peer.Heartbeat, h.box.Beat(b), &answer)
		if err != nil {
			if !lost && ctx.Err() == nil {
				h.log.WithError(err).WithField("peer", b.Name).Warn("peer_silent")
			}
			lost = true
			if peer.Refused(err) {
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
