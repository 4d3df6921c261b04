// Package gossip exchanges reports with the hubs. One task per hub sends it what this
// box has running several times a second, and handles the hub's answer about the
// configuration, the upstreams and all other boxes.
package gossip

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/members"
	"petrelstep/peer"
	"petrelstep/tasks"
	"petrelstep/wire"
)

const (
	// backupPeriod is the time between calls to the backup hub of a large fleet. While
	// the primary hub does not answer, the backup is called each period too, as this
	// box would otherwise have to read the store.
	backupPeriod = time.Second
	// callTimeout bounds a call. It allows for one retransmission of a lost packet.
	callTimeout = 500 * time.Millisecond
	// checkInterval is the time between checks for new hubs.
	checkInterval = 250 * time.Millisecond
	// maxUnanswered is the number of consecutive unanswered calls after which the
	// connection is closed and another hub is used.
	maxUnanswered = 2
)

// Period is the time between calls to a hub. Two hubs call each other, and so exchange reports
// twice as often.
const Period = 250 * time.Millisecond

// WrongBoxError says that another box than the expected one answered at an address, or one
// of another fleet. Its answer is not used.
type WrongBoxError struct {
	Address, Expected, Actual string
	Fleet                     string // that the box names; empty if it is the expected one
}

// Error implements error.
func (e *WrongBoxError) Error() string {
	if e.Fleet != "" {
		return "peer " + e.Address + ": box " + e.Actual + " is of fleet " + e.Fleet
	}
	return "peer " + e.Address + ": answered by box " + e.Actual + ", expected " + e.Expected
}

// Handler builds reports and handles the hubs' answers.
type Handler interface {
	// ReportFor returns the report to send to a hub.
	ReportFor(hub members.Box) wire.Gossip
	// HandleAnswer handles a hub's answer to a call sent at a time.
	HandleAnswer(a wire.GossipAnswer, sent time.Time)
	// Standbys returns further boxes to call, while the store answers no reader.
	Standbys(now time.Time) []members.Box
}

// Peers calls other boxes.
type Peers interface {
	// CallIdempotent calls a method, and may call it a second time.
	CallIdempotent(ctx context.Context, address, method string, args, reply any) error
	Forget(address string)
}

// Gossip runs the calls of one box to its hubs.
type Gossip struct {
	members *members.Members
	peers   Peers
	handler Handler
	timer   tasks.Timer
	log     *logrus.Entry

	mu      sync.Mutex
	lost    map[string]bool // names of the hubs that are logged as lost
	answers map[string]bool // names of the hubs that answered their last call
}

// New returns the gossip of a box, which Run starts.
func New(m *members.Members, p Peers, h Handler, t tasks.Timer, log *logrus.Entry) *Gossip {
	return &Gossip{members: m, peers: p, handler: h, timer: t, log: log, lost: map[string]bool{}, answers: map[string]bool{}}
}

// Run calls the hubs, with one task for each, until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	tasks.New(g.timer, checkInterval, g.hubs, g.callHub).Run(ctx)
}

// hubs returns the hubs and standbys to call, by address.
func (g *Gossip) hubs(now time.Time) map[string]members.Box {
	hubs := map[string]members.Box{}
	for _, b := range slices.Concat(g.members.HubsToCall(now), g.handler.Standbys(now)) {
		hubs[b.Address] = b
	}
	return hubs
}

// callHub calls one hub periodically until ctx ends.
func (g *Gossip) callHub(ctx context.Context, b members.Box) {
	unanswered := 0
	var last time.Time
	g.timer.Every(ctx, b.Name, Period, func(now time.Time) {
		if g.members.IsBackupHub(now, b) && g.answered(g.members.PrimaryHub(now).Name) && now.Sub(last) < backupPeriod-Period/2 {
			return
		}
		last = now
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var answer wire.GossipAnswer
		sent := time.Now()
		report := g.handler.ReportFor(b)
		err := g.peers.CallIdempotent(call, b.Address, peer.Gossip, report, &answer)
		if err == nil && (answer.Sender.Box != b.Name || OtherFleet(answer.FleetName, report.FleetName)) {
			err = wrongBox(b, report, answer)
		}
		g.recordCall(b.Name, err == nil)
		if err == nil {
			unanswered = 0
			g.members.MarkAnswered(b.Name)
			g.markRegained(b)
			g.handler.HandleAnswer(answer, sent)
			return
		}
		if ctx.Err() != nil {
			return
		}
		unanswered++
		if peer.Unreachable(err) || errors.As(err, new(*WrongBoxError)) || unanswered >= maxUnanswered {
			g.peers.Forget(b.Address)
			g.members.MarkFailed(time.Now(), b.Name)
			g.markLost(b, err)
		}
	})
}

// OtherFleet reports whether two boxes that name these fleets are of different ones. A box that
// names none may be of any: the setting reaches the boxes of a fleet one after the other.
func OtherFleet(a, b string) bool { return a != "" && b != "" && a != b }

// wrongBox returns the error of an answer that another box gave.
func wrongBox(expected members.Box, report wire.Gossip, answer wire.GossipAnswer) error {
	e := &WrongBoxError{Address: expected.Address, Expected: expected.Name, Actual: answer.Sender.Box}
	if OtherFleet(answer.FleetName, report.FleetName) {
		e.Fleet = answer.FleetName
	}
	return e
}

// recordCall records whether a hub answered its last call.
func (g *Gossip) recordCall(hub string, answers bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !answers {
		delete(g.answers, hub)
		return
	}
	g.answers[hub] = true
}

// answered reports whether a hub answered its last call.
func (g *Gossip) answered(hub string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.answers[hub]
}

// markLost logs once that a hub does not answer. Its task ends, as the hub is not used
// for a while, and is started again some seconds later.
func (g *Gossip) markLost(b members.Box, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lost[b.Name] {
		g.lost[b.Name] = true
		g.log.WithError(err).WithField("peer", b.Name).Warn("peer_lost")
	}
}

// markRegained logs that a lost hub answers again.
func (g *Gossip) markRegained(b members.Box) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lost[b.Name] {
		delete(g.lost, b.Name)
		g.log.WithField("peer", b.Name).Info("peer_regained")
	}
}
