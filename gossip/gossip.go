// Package gossip keeps one task for each hub that a box knows, which tells it
// several times a second what the box has running, and takes what the hub
// knows of the configuration, the upstreams and all other boxes.
package gossip

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/members"
	"petrelstep/peer"
	"petrelstep/tasks"
	"petrelstep/wire"
)

const (
	// period is the time between calls to a hub; engines' loads change that
	// fast. Two hubs call each other, and hear of each other twice as often.
	period = 250 * time.Millisecond
	// sparePeriod is the time between calls to a hub of a crowd that tells this box
	// nothing as long as the nearest does. While that does not answer, the spare is called
	// as often as the nearest: what it tells would else be too old to do without the store.
	sparePeriod = time.Second
	// callTime bounds a call: a link loses a packet now and then, and it is sent
	// again within 0.3 s.
	callTime = 500 * time.Millisecond
	// lookEvery is how often it is looked for new boxes.
	lookEvery = 250 * time.Millisecond
	// failAfter so many calls without an answer another hub is looked for, and
	// the connection is made anew.
	failAfter = 2
)

// WrongBoxError says that another box answered at an address than was asked there. It
// may be of another fleet, so that nothing that it knows holds here.
type WrongBoxError struct {
	Address, Expected, Actual string
}

// Error implements error.
func (e *WrongBoxError) Error() string {
	return "peer " + e.Address + ": " + e.Actual + " answers in place of " + e.Expected
}

// Handler makes gossip and takes it.
type Handler interface {
	// ReportFor returns what to tell a hub.
	ReportFor(hub members.Box) wire.Gossip
	// HandleAnswer takes a hub's answer to a call sent at a time.
	HandleAnswer(a wire.GossipAnswer, sent time.Time)
}

// Peers calls other boxes.
type Peers interface {
	// Repeat calls a method that may run twice.
	Repeat(ctx context.Context, address, method string, args, reply any) error
	Forget(address string)
}

// Gossip is one box's.
type Gossip struct {
	members *members.Members
	peers   Peers
	box     Handler
	timer   tasks.Timer
	log     *logrus.Entry

	mu      sync.Mutex
	lost    map[string]bool // hubs that do not answer, by name
	answers map[string]bool // hubs whose last call was answered, by name
}

// New returns gossip that Run passes on.
func New(m *members.Members, p Peers, box Handler, t tasks.Timer, log *logrus.Entry) *Gossip {
	return &Gossip{members: m, peers: p, box: box, timer: t, log: log, lost: map[string]bool{}, answers: map[string]bool{}}
}

// Run talks to hubs, by a task for each, until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	tasks.New(g.timer, lookEvery, g.hubs, g.with).Run(ctx)
}

// hubs returns the hubs that are called by address.
func (g *Gossip) hubs(now time.Time) map[string]members.Box {
	hubs := map[string]members.Box{}
	for _, b := range g.members.HubsToCall(now) {
		hubs[b.Address] = b
	}
	return hubs
}

// with is the task of one hub.
func (g *Gossip) with(ctx context.Context, b members.Box) {
	silent := 0
	var last time.Time
	g.timer.Every(ctx, b.Name, period, func(now time.Time) {
		if g.members.IsBackupHub(now, b) && g.answered(g.members.PrimaryHub(now).Name) && now.Sub(last) < sparePeriod-period/2 {
			return
		}
		last = now
		call, cancel := context.WithTimeout(ctx, callTime)
		defer cancel()
		var answer wire.GossipAnswer
		sent := time.Now()
		err := g.peers.Repeat(call, b.Address, peer.Gossip, g.box.ReportFor(b), &answer)
		if err == nil && answer.Sender.Box != b.Name {
			err = &WrongBoxError{Address: b.Address, Expected: b.Name, Actual: answer.Sender.Box}
		}
		g.note(b.Name, err == nil)
		if err == nil {
			silent = 0
			g.members.MarkAnswered(b.Name)
			g.heard(b)
			g.box.HandleAnswer(answer, sent)
			return
		}
		if ctx.Err() != nil {
			return
		}
		silent++
		var stranger *WrongBoxError
		if peer.Refused(err) || errors.As(err, &stranger) || silent >= failAfter {
			g.peers.Forget(b.Address)
			g.members.MarkFailed(time.Now(), b.Name)
			g.missed(b, err)
		}
	})
}

// note notes whether a hub has answered the last call.
func (g *Gossip) note(hub string, answers bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !answers {
		delete(g.answers, hub)
		return
	}
	g.answers[hub] = true
}

// answered tells whether a hub has answered the last call.
func (g *Gossip) answered(hub string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.answers[hub]
}

// missed notes that a hub does not answer. Its task ends, as it is passed by,
// and begins anew some seconds later.
func (g *Gossip) missed(b members.Box, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lost[b.Name] {
		g.lost[b.Name] = true
		g.log.WithError(err).WithField("peer", b.Name).Warn("peer_lost")
	}
}

// heard notes that a hub answers.
func (g *Gossip) heard(b members.Box) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lost[b.Name] {
		delete(g.lost, b.Name)
		g.log.WithField("peer", b.Name).Info("peer_regained")
	}
}
