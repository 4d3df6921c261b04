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

// network answers calls to boxes, by address, unless they are struck.
type network struct {
	mu     sync.Mutex
	struck map[string]string // how: refused or silent
	calls  map[string][]time.Time
	forgot map[string]int
	random *rand.Rand // draws which calls are lost of those that are struck lossy
}

func (n *network) Repeat(ctx context.Context, address, method string, _, reply any) error {
	n.mu.Lock()
	n.calls[address] = append(n.calls[address], time.Now())
	how := n.struck[address]
	if how == "lossy" && n.random.IntN(3) == 0 {
		how = "silent"
	}
	n.mu.Unlock()
	switch how {
	case "refused":
		return &peer.Error{Address: address, Method: method, Refused: true, Err: io.EOF}
	case "silent":
		<-ctx.Done()
		return &peer.Error{Address: address, Method: method, Err: ctx.Err()}
	}
	reply.(*wire.GossipAnswer).Sender.Box = address
	if how == "another" {
		reply.(*wire.GossipAnswer).Sender.Box = "stranger"
	}
	return nil
}

func (n *network) Forget(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forgot[address]++
}

func (n *network) strike(address, how string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.struck[address] = how
}

// called returns how many boxes were called.
func (n *network) called() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.calls)
}

// since returns how often an address was called after a time.
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

// lines is a log.
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

// count returns how many lines tell of an event at a peer.
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
	mu    sync.Mutex
	heard map[string]time.Time
}

func (*box) ReportFor(members.Box) wire.Gossip { return wire.Gossip{} }

func (b *box) HandleAnswer(a wire.GossipAnswer, _ time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard[a.Sender.Box] = time.Now()
}

// last returns how long ago any hub was heard.
func (b *box) last() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	least := time.Hour
	for _, at := range b.heard {
		least = min(least, time.Since(at))
	}
	return least
}

// fleet returns a membership of many boxes in four halls; this one is weak.
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

// oftenCalled tells whether all these boxes were called three times or more in
// the last second.
func (n *network) oftenCalled(boxes []members.Box) bool {
	for _, b := range boxes {
		if n.since(b.Address, time.Now().Add(-time.Second)) < 3 {
			return false
		}
	}
	return true
}

func (n *network) strikeAll(boxes []members.Box, how string) {
	for _, b := range boxes {
		n.strike(b.Address, how)
	}
}

// replaced strikes all hubs at once: others are heard soon, and when the first
// are back they are called again.
func replaced(t *testing.T, how string) {
	is := is.New(t)
	m := fleet(50)
	n := &network{struck: map[string]string{}, calls: map[string][]time.Time{}, forgot: map[string]int{}}
	b := &box{heard: map[string]time.Time{}}
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
	n.strikeAll(hubs, how)
	for struck := time.Now(); time.Since(struck) < 10*time.Second; {
		time.Sleep(50 * time.Millisecond)
		is.True(b.last() <= 2*time.Second) // never longer without any hub
	}
	n.strikeAll(hubs, "")
	time.Sleep(5 * time.Second)
	is.Equal(m.Hubs(time.Now())[0].Address, hubs[0].Address)
	is.True(b.last() <= 300*time.Millisecond)
	cancel()
	<-done
	for _, hub := range hubs {
		is.True(n.forgot[hub.Address] >= 1) // the old connection may never answer
		// Its task ends and begins anew all the while; that it is lost and regained
		// is said once.
		is.Equal(log.count("event=peer_lost ", hub.Name), 1)
		is.Equal(log.count("event=peer_regained ", hub.Name), 1)
	}
}

func TestHubsAreReplaced(t *testing.T) {
	for name, how := range map[string]string{"killed": "refused", "frozen or cut off": "silent"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { replaced(t, how) })
		})
	}
}

// TestLoss loses a third of all calls: a box is never long without a hub's word,
// and a hub that is passed by is asked again.
func TestLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := fleet(50)
		n := &network{struck: map[string]string{}, calls: map[string][]time.Time{}, forgot: map[string]int{}, random: rand.New(rand.NewPCG(1, 1))}
		n.strikeAll(m.Peers(time.Now()), "lossy")
		b := &box{heard: map[string]time.Time{}}
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

// TestFewTellHubs shows that few boxes call their hubs, one a hall, and often.
func TestFewTellHubs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &network{struck: map[string]string{}, calls: map[string][]time.Time{}, forgot: map[string]int{}}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		m := fleet(6)
		gossip.New(m, n, &box{heard: map[string]time.Time{}}, timer.New(), logs.New(io.Discard, "info", "self")).Run(ctx)
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

// TestStranger lets another box answer at the address of a hub that is gone: it is not
// listened to, and another hub is called in its place.
func TestStranger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := fleet(50)
		n := &network{struck: map[string]string{}, calls: map[string][]time.Time{}, forgot: map[string]int{}}
		b := &box{heard: map[string]time.Time{}}
		gone := m.Hubs(time.Now())[0]
		n.strike(gone.Address, "another")
		var log lines
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		gossip.New(m, n, b, timer.New(), logs.New(&log, "info", "self")).Run(ctx)
		is.True(b.heard["stranger"].IsZero())
		is.True(m.Hubs(time.Now())[0].Name != gone.Name)
		is.Equal(len(b.heard), 4) // another of its hall in its place
		is.Equal(log.count("event=peer_lost ", gone.Name), 1)
	})
}

// TestCrowd shows whom a box of a crowd calls: its nearest hub often and a spare one
// now and then, and others within two seconds when neither answers any more.
func TestCrowd(t *testing.T) {
	for name, how := range map[string]string{"killed": "refused", "frozen or cut off": "silent"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { crowdReplaced(t, how) })
		})
	}
}

func crowdReplaced(t *testing.T, how string) {
	is := is.New(t)
	m := fleet(300)
	n := &network{struck: map[string]string{}, calls: map[string][]time.Time{}, forgot: map[string]int{}}
	b := &box{heard: map[string]time.Time{}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		gossip.New(m, n, b, timer.New(), logs.New(io.Discard, "info", "self")).Run(ctx)
	}()
	time.Sleep(6 * time.Second)
	asks := m.HubsToCall(time.Now())
	is.Equal(len(asks), 2)
	is.Equal(n.called(), 2)
	second := time.Now().Add(-time.Second)
	is.True(n.since(asks[0].Address, second) >= 3)
	is.True(n.since(asks[1].Address, second) <= 1)
	is.True(n.since(asks[1].Address, second.Add(-time.Second)) >= 1)
	for _, hub := range asks {
		m.MarkSeen(time.Now(), hub)
	}
	n.strikeAll(asks, how)
	for struck := time.Now(); time.Since(struck) < 10*time.Second; {
		time.Sleep(50 * time.Millisecond)
		is.True(b.last() <= 2*time.Second)
	}
	cancel()
	<-done
}

// TestSpareInPlaceOfNearest guards against a box of a crowd hearing its spare hub so seldom,
// while the nearest does not answer, that it reads the store for what it could be told.
func TestSpareInPlaceOfNearest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := fleet(300)
		n := &network{struck: map[string]string{}, calls: map[string][]time.Time{}, forgot: map[string]int{}}
		b := &box{heard: map[string]time.Time{}}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			gossip.New(m, n, b, timer.New(), logs.New(io.Discard, "info", "self")).Run(ctx)
		}()
		time.Sleep(6 * time.Second)
		nearest, spare := m.HubsToCall(time.Now())[0], m.HubsToCall(time.Now())[1]
		n.strike(nearest.Address, "silent")
		struck := time.Now()
		time.Sleep(1250 * time.Millisecond) // two calls that are not answered, and what was left of a pause
		calls := n.since(spare.Address, struck)
		cancel()
		<-done
		is.True(calls >= 3) // one each quarter of a second from the first of them on
	})
}
