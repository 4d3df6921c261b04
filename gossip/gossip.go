// Package gossip keeps one task for each hub that a box knows, which tells it
// several times a second what the box has running, and takes what the hub
// knows of the configuration, the upstreams and all other boxes.
package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/members"
	"petrelstep/peer"
	"petrelstep/wire"
)

const (
	// period is the time between calls to a hub; engines' loads change that
	// fast. Two hubs call each other, and hear of each other twice as often.
	period = 250 * time.Millisecond
	// callTime bounds a call: a link loses a packet now and then, and it is sent
	// again within 0.3 s.
	callTime = 500 * time.Millisecond
	// forgetAfter so many calls without an answer the connection is made anew.
	forgetAfter = 3
	// lookEvery is how often it is looked for new boxes.
	lookEvery = 250 * time.Millisecond
	// failAfter so many calls without an answer another hub is looked for.
	failAfter = 2
)

// Box makes gossip and takes it.
type Box interface {
	// Say returns what to tell a hub.
	Say(hub members.Box) wire.Gossip
	// Hear takes a hub's answer to a call sent at a time.
	Hear(a wire.GossipAnswer, sent time.Time)
}

// Peers calls other boxes.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
	Forget(address string)
}

// Timer calls a function each period.
type Timer interface {
	Every(ctx context.Context, name string, period time.Duration, f func(now time.Time))
}

// Gossip is one box's.
type Gossip struct {
	members *members.Members
	peers   Peers
	box     Box
	timer   Timer
	log     *logrus.Entry
}

// New returns gossip that Run passes on.
func New(m *members.Members, p Peers, box Box, t Timer, log *logrus.Entry) *Gossip {
	return &Gossip{members: m, peers: p, box: box, timer: t, log: log}
}

// Run starts and stops the tasks of peers as boxes come and go, until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	tasks := map[string]context.CancelFunc{}
	var all sync.WaitGroup
	g.timer.Every(ctx, "peers", lookEvery, func(now time.Time) {
		known := map[string]members.Box{}
		for _, b := range g.members.Hubs(now) {
			if b.Name != g.members.Self().Name {
				known[b.Address] = b
			}
		}
		for address, stop := range tasks {
			if _, ok := known[address]; !ok {
				stop()
				delete(tasks, address)
			}
		}
		for address, b := range known {
			if _, ok := tasks[address]; ok {
				continue
			}
			task, stop := context.WithCancel(ctx)
			tasks[address] = stop
			all.Go(func() { g.with(task, b) })
		}
	})
	for _, stop := range tasks {
		stop()
	}
	all.Wait()
}

// with is the task of one peer.
func (g *Gossip) with(ctx context.Context, b members.Box) {
	silent := 0
	g.timer.Every(ctx, b.Name, period, func(time.Time) {
		call, cancel := context.WithTimeout(ctx, callTime)
		defer cancel()
		var answer wire.GossipAnswer
		sent := time.Now()
		err := g.peers.Call(call, b.Address, peer.Gossip, g.box.Say(b), &answer)
		if err == nil {
			if silent >= forgetAfter {
				g.log.WithField("peer", b.Name).Info("peer_regained")
			}
			silent = 0
			g.box.Hear(answer, sent)
			return
		}
		silent++
		if ctx.Err() == nil && (peer.Refused(err) || silent >= failAfter) {
			g.members.Failed(time.Now(), b.Name)
		}
		if silent%forgetAfter == 0 {
			g.peers.Forget(b.Address)
		}
		if silent == failAfter && ctx.Err() == nil {
			g.log.WithError(err).WithField("peer", b.Name).Warn("peer_lost")
		}
	})
}
