package gossip_test

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/gossip"
	"petrelstep/logs"
	"petrelstep/members"
	"petrelstep/peer"
	"petrelstep/timer"
	"petrelstep/wire"
)

// network answers calls to boxes, by address, unless a fault is injected.
type network struct {
	mu     sync.Mutex
	faults map[string]string // by address: refused, silent, lossy or another
	calls  map[string][]time.Time
	forgot map[string]int
	random *rand.Rand // selects the lost calls of lossy boxes
}

func (n *network) CallIdempotent(ctx context.Context, address, method string, _, reply any) error {
	n.mu.Lock()
	n.calls[address] = append(n.calls[address], time.Now())
	fault := n.faults[address]
	if fault == "lossy" && n.random.IntN(3) == 0 {
		fault = "silent"
	}
	n.mu.Unlock()
	switch fault {
	case "refused":
		return &peer.Error{Address: address, Method: method, Unreachable: true, Err: io.EOF}
	case "silent":
		<-ctx.Done()
		return &peer.Error{Address: address, Method: method, Err: ctx.Err()}
	}
	reply.(*wire.GossipAnswer).Sender.Box = address
	switch fault {
	case "another":
		reply.(*wire.GossipAnswer).Sender.Box = "other box"
	case "another fleet":
		reply.(*wire.GossipAnswer).FleetName = "other fleet"
	}
	return nil
}

func (n *network) Forget(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forgot[address]++
}

func (n *network) inject(address, fault string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[address] = fault
}

// called returns the number of boxes that were called.
func (n *network) called() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.calls)
}

// since returns the number of calls to an address after a time.
func (n *network) since(address string, at time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, t := range n.calls[address] {
		if t.After(at) {
			count++
		}
	}
	return count
}

// lines collects log lines.
type lines struct {
	mu  sync.Mutex
	all []string
}

func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, string(line))
	return len(line), nil
}

// count returns the number of lines about an event at a peer.
func (l *lines) count(event, peer string) int {
	count := 0
	for _, line := range l.all {
		if strings.Contains(line, event) && strings.Contains(line, "peer="+peer) {
			count++
		}
	}
	return count
}

type box struct {
	mu      sync.Mutex
	answers map[string]time.Time // by hub

	standbys []members.Box
}

func (*box) ReportFor(members.Box) wire.Gossip { return wire.Gossip{FleetName: "own fleet"} }

func (b *box) Standbys(time.Time) []members.Box {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.standbys
}

func (b *box) HandleAnswer(a wire.GossipAnswer, _ time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers[a.Sender.Box] = time.Now()
}

// last returns the time since any hub answered.
func (b *box) last() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := time.Hour
	for _, at := range b.answers {
		last = min(last, time.Since(at))
	}
	return last
}

// fleet returns a membership of boxes in four halls; the box itself is not
// hub-eligible.
func fleet(boxes int) *members.Members {
	m := members.New(members.Box{Name: "self", Hall: "leith", Address: "self", State: members.Live})
	var list []wire.Member
	for i := range boxes {
		name := "b" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		list = append(list, wire.Member{Box: name, Hall: []string{"leith", "gorgie", "sighthill", "musselburgh"}[i%4], Address: name, State: wire.MemberStateLive, Strong: true})
	}
	m.ApplyList(time.Now(), list)
	return m
}

// oftenCalled reports whether each of the boxes was called at least three times in the
// last second.
func (n *network) oftenCalled(boxes []members.Box) bool {
	for _, b := range boxes {
		if n.since(b.Address, time.Now().Add(-time.Second)) < 3 {
			return false
		}
	}
	return true
}

func (n *network) injectAll(boxes []members.Box, fault string) {
	for _, b := range boxes {
		n.inject(b.Address, fault)
	}
}

// replaced injects a fault at all hubs at once, and checks that other hubs are called
// soon and the first ones again after the fault.
func replaced(t *testing.T, fault string) {
	is := is.New(t)
	m := fleet(50)
	n := &network{faults: map[string]string{}, calls: map[string][]time.Time{}, forgot: map[string]int{}}
	b := &box{answers: map[string]time.Time{}}
	var log lines
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		gossip.New(m, n, b, timer.New(), logs.New(&log, "info", "self")).Run(ctx)
	}()
	time.Sleep(3 * time.Second)
	hubs := m.Hubs(time.Now())
	is.Equal(len(hubs), 4)
	is.Equal(n.called(), 4) // only hubs are called
	is.True(n.oftenCalled(hubs))
	n.injectAll(hubs, fault)
	for injected := time.Now(); time.Since(injected) < 10*time.Second; {
		time.Sleep(50 * time.Millisecond)
		is.True(b.last() <= 2*time.Second) // the longest time without an answer
	}
	n.injectAll(hubs, "")
	time.Sleep(5 * time.Second)
	is.Equal(m.Hubs(time.Now())[0].Address, hubs[0].Address)
	is.True(b.last() <= 300*time.Millisecond)
	cancel()
	<-done
	for _, hub := range hubs {
		is.True(n.forgot[hub.Address] >= 1) // the old connection may never answer
		// The task is restarted several times, but the loss is logged once.
		is.Equal(log.count("event=peer_lost ", hub.Name), 1)
		is.Equal(log.count("event=peer_regained ", hub.Name), 1)
	}
}

func TestHubsAreReplaced(t *testing.T) {
	for name, fault := range map[string]string{"killed": "refused", "frozen or cut off": "silent"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { replaced(t, fault) })
		})
	}
}

// TestLoss checks that some hub answers at least once a second while a third of all
// calls is lost.
func TestLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := fleet(50)
		n := &network{faults: map[string]string{}, calls: map[string][]time.Time{}, forgot: map[string]int{}, random: rand.New(rand.NewPCG(1, 1))}
		n.injectAll(m.Peers(time.Now()), "lossy")
		b := &box{answers: map[string]time.Time{}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		done := make(chan struct{})
		go func() {
			defer close(done)
			gossip.New(m, n, b, timer.New(), logs.New(io.Discard, "info", "self")).Run(ctx)
		}()
		time.Sleep(3 * time.Second)
		for began := time.Now(); time.Since(began) < 50*time.Second; time.Sleep(20 * time.Millisecond) {
			is.True(b.last() <= time.Second)
		}
		cancel()
		<-done
	})
}

// TestSmallFleet checks that each box of a small fleet calls all hubs, and no other
// box, at full rate.
func TestSmallFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &network{faults: map[string]string{}, calls: map[string][]time.Time{}, forgot: map[string]int{}}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		m := fleet(6)
		gossip.New(m, n, &box{answers: map[string]time.Time{}}, timer.New(), logs.New(io.Discard, "info", "self")).Run(ctx)
		hubs := 0
		for _, h := range m.Hubs(time.Now()) {
			if h.Name != m.Self().Name {
				is.True(len(n.calls[h.Address]) > 0)
				hubs++
			}
		}
		is.Equal(n.called(), hubs)
		for address := range n.calls {
			is.True(n.since(address, time.Now().Add(-time.Second)) >= 3)
		}
	})
}

// TestWrongBox checks that the answer of another box at a hub's address, or of one with its name
// in another fleet, is not used, and that another hub is called instead.
func TestWrongBox(t *testing.T) {
	for _, fault := range []string{"another", "another fleet"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { hubReplaced(t, fault) })
		})
	}
}

func hubReplaced(t *testing.T, fault string) {
	is := is.New(t)
	m := fleet(50)
	n := &network{faults: map[string]string{}, calls: map[string][]time.Time{}, forgot: map[string]int{}}
	b := &box{answers: map[string]time.Time{}}
	first := m.Hubs(time.Now())[0]
	n.inject(first.Address, fault)
	var log lines
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	gossip.New(m, n, b, timer.New(), logs.New(&log, "info", "self")).Run(ctx)
	is.True(b.answers["other box"].IsZero() && b.answers[first.Address].IsZero())
	is.True(m.Hubs(time.Now())[0].Name != first.Name)
	is.Equal(len(b.answers), 4) // another hub of the same hall is called instead
	is.Equal(log.count("event=peer_lost ", first.Name), 1)
}

// TestLargeFleet checks that a box of a large fleet calls its primary hub often and its
// backup rarely, and others within two seconds if neither answers.
func TestLargeFleet(t *testing.T) {
	for name, fault := range map[string]string{"killed": "refused", "frozen or cut off": "silent"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { bothReplaced(t, fault) })
		})
	}
}

func bothReplaced(t *testing.T, fault string) {
	is := is.New(t)
	m := fleet(300)
	n := &network{faults: map[string]string{}, calls: map[string][]time.Time{}, forgot: map[string]int{}}
	b := &box{answers: map[string]time.Time{}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		gossip.New(m, n, b, timer.New(), logs.New(io.Discard, "info", "self")).Run(ctx)
	}()
	time.Sleep(6 * time.Second)
	hubs := m.HubsToCall(time.Now())
	is.Equal(len(hubs), 2)
	is.Equal(n.called(), 2)
	second := time.Now().Add(-time.Second)
	is.True(n.since(hubs[0].Address, second) >= 3)
	is.True(n.since(hubs[1].Address, second) <= 1)
	is.True(n.since(hubs[1].Address, second.Add(-time.Second)) >= 1)
	for _, hub := range hubs {
		m.MarkSeen(time.Now(), hub)
	}
	n.injectAll(hubs, fault)
	for injected := time.Now(); time.Since(injected) < 10*time.Second; {
		time.Sleep(50 * time.Millisecond)
		is.True(b.last() <= 2*time.Second)
	}
	cancel()
	<-done
}

// TestStandbysCalled checks that standbys are called as often as hubs while they are needed.
func TestStandbysCalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &network{faults: map[string]string{}, calls: map[string][]time.Time{}, forgot: map[string]int{}}
		b := &box{answers: map[string]time.Time{}}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			gossip.New(fleet(50), n, b, timer.New(), logs.New(io.Discard, "info", "self")).Run(ctx)
		}()
		time.Sleep(time.Second)
		is.Equal(n.called(), 4) // the hubs
		b.mu.Lock()
		b.standbys = []members.Box{{Name: "standby", Address: "standby"}}
		b.mu.Unlock()
		time.Sleep(gossip.Period + 10*time.Millisecond)
		is.Equal(n.called(), 5)
		time.Sleep(time.Second)
		is.True(n.oftenCalled(b.standbys))
		b.mu.Lock()
		b.standbys = nil
		b.mu.Unlock()
		time.Sleep(2 * gossip.Period)
		ended := time.Now()
		time.Sleep(time.Second)
		is.Equal(n.since("standby", ended), 0)
		cancel()
		<-done
	})
}

// TestBackupReplacesPrimary guards against calling the backup hub so rarely, while the
// primary does not answer, that the box reads the store instead.
func TestBackupReplacesPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := fleet(300)
		n := &network{faults: map[string]string{}, calls: map[string][]time.Time{}, forgot: map[string]int{}}
		b := &box{answers: map[string]time.Time{}}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			gossip.New(m, n, b, timer.New(), logs.New(io.Discard, "info", "self")).Run(ctx)
		}()
		time.Sleep(6 * time.Second)
		primary, backup := m.HubsToCall(time.Now())[0], m.HubsToCall(time.Now())[1]
		n.inject(primary.Address, "silent")
		injected := time.Now()
		time.Sleep(1250 * time.Millisecond) // two unanswered calls, and the rest of a period
		calls := n.since(backup.Address, injected)
		cancel()
		<-done
		is.True(calls >= 3) // one per period after the first unanswered call
	})
}
