package peer_test

import (
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"petrelstep/grantserver"
	"petrelstep/health"
	"petrelstep/home"
	"petrelstep/outputlen"
	"petrelstep/peer"
	"petrelstep/peer/endpoint"
	"petrelstep/standin/faultproxy"
	"petrelstep/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// box records the revisions that it receives.
type box struct{ received []int }

func (b *box) Heartbeat(from wire.Heartbeat) wire.HeartbeatAnswer {
	return wire.HeartbeatAnswer{Incarnation: 1, Revision: from.Revision}
}
func (b *box) Changes(since int) wire.ChangeSet { return wire.ChangeSet{Revision: since + 1} }
func (b *box) Tell(set wire.ChangeSet)          { b.received = append(b.received, set.Revision) }
func (b *box) TakenUp(string)                   {}

// serve starts an endpoint and returns its address.
func serve(tb testing.TB) (*box, string) {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	g := grantserver.New(home.Params{Share: 1, Queue: 10}, outputlen.New(), health.New(), func(string) []string { return nil })
	b := &box{}
	done := make(chan struct{})
	go func() {
		_ = endpoint.New(ctx, b, g).Serve(listener)
		close(done)
	}()
	tb.Cleanup(func() { cancel(); <-done })
	return b, listener.Addr().String()
}

func TestCall(t *testing.T) {
	is := is.New(t)
	b, address := serve(t)
	p := peer.New(nil)
	defer p.Close()
	ctx := context.Background()
	var answer wire.HeartbeatAnswer
	is.NoErr(p.Call(ctx, address, peer.Heartbeat, wire.Heartbeat{Revision: 7}, &answer))
	is.Equal(answer.Revision, 7)
	var done wire.Nothing
	is.NoErr(p.Call(ctx, address, peer.Tell, wire.ChangeSet{Revision: 3}, &done))
	is.Equal(b.received, []int{3})
	var grant wire.Grant
	is.NoErr(p.Call(ctx, address, peer.Ask, wire.Ask{Attempt: "a", WaitMs: 20, Model: "m", MaxTokens: 1}, &grant))
	is.Equal(grant.Reason, "deadline") // no engine until the deadline
}

func TestRefused(t *testing.T) {
	is := is.New(t)
	p := peer.New(nil)
	defer p.Close()
	err := p.Call(context.Background(), "127.0.0.1:1", peer.Tell, wire.ChangeSet{}, &wire.Nothing{})
	is.True(peer.Unreachable(err))
	_, address := serve(t)
	short, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	err = p.Call(short, address, peer.Ask, wire.Ask{Attempt: "a", WaitMs: 2000}, &wire.Grant{})
	is.True(err != nil)
	is.True(!peer.Unreachable(err)) // timed out, but the connection is open
}

// count counts the bytes written to it.
type count struct{ n int }

func (c *count) Write(p []byte) (int, error) { c.n += len(p); return len(p), nil }

// bytesOf returns the gob-encoded size of a message after the first of its type.
func bytesOf(v any) int {
	c := &count{}
	e := gob.NewEncoder(c)
	_ = e.Encode(v)
	first := c.n
	_ = e.Encode(v)
	return c.n - first
}

// rpcHeader is the size of the net/rpc headers of request and response, in bytes.
const rpcHeader = 30

func ask() wire.Ask {
	return wire.Ask{
		Cell: "leith/0", Attempt: "0123456789abcdef", Box: "box1", Organisation: "lothian-assessors", Model: "assessor",
		Class: "draft", Prompt: 1200, MaxTokens: 32768, Weight: 4, WaitMs: 600000, Prefix: []int{1 << 60, 2 << 60, 3 << 60, 5 << 60},
	}
}

func load(i int) wire.EngineLoad {
	return wire.EngineLoad{
		Engine: fmt.Sprint("leith-", i), Incarnation: 1_790_000_000_000, AtMs: 1_790_000_000_000, Model: "assessor", Role: "any",
		Capacity: 60000, Used: 51234, Running: 14, Preemptions: 12, StepUs: 18500, Ready: true, Version: "1",
	}
}

func heartbeat(loads, demands int) wire.Heartbeat {
	h := wire.Heartbeat{Box: "box1", Hall: "leith", Address: "10.0.0.1:9000", Incarnation: 1_790_000_000_000, Revision: 4321}
	for i := range loads {
		h.Loads = append(h.Loads, load(i))
	}
	for i := range demands {
		h.Demand = append(h.Demand, wire.Demand{Organisation: fmt.Sprint("organisation-", i), Rate: 1.25, Tokens: 12000})
	}
	return h
}

// BenchmarkMessages reports the size of each message between boxes.
func BenchmarkMessages(b *testing.B) {
	messages := map[string]any{
		"ask":                  ask(),
		"grant":                wire.Grant{Engine: "leith-1", Room: 4000},
		"settle 1":             wire.Settle{Box: "box1", Cell: "leith/0", Items: settle(1)},
		"settle 10":            wire.Settle{Box: "box1", Cell: "leith/0", Items: settle(10)},
		"settle 100":           wire.Settle{Box: "box1", Cell: "leith/0", Items: settle(100)},
		"heartbeat 0 loads":    heartbeat(0, 0),
		"heartbeat 4 loads":    heartbeat(4, 0),
		"heartbeat 16 loads":   heartbeat(16, 0),
		"heartbeat 8 demands":  heartbeat(0, 8),
		"heartbeat 64 demands": heartbeat(0, 64),
		"admit ask": wire.AdmitAsk{
			Request: "9c41d07be2a35f68", Box: "front-leith-1", Hall: "leith", Service: "assessor-llm", Urgency: 1, Prompt: 3000, Answer: 900,
			AimMs: 1800, DeadlineMs: 39000, PatienceMs: 7200, Mark: "3w5e11264sgsf", WaitMs: 300,
		},
		"admit answer":     wire.AdmitAnswer{Upstream: "i-7f3a91c2aa", LoadPct: 44},
		"heartbeat answer": wire.HeartbeatAnswer{Incarnation: 1_790_000_000_000, Revision: 4321},
		"change":           wire.ChangeSet{Revision: 10, Since: 9, Items: []wire.Resource{{Kind: "Organisation", Name: "lothian-assessors", Version: 3, Revision: 10, Spec: []byte(`{"weight":4,"requests_per_second":50}`)}}},
	}
	for _, engines := range []int{0, 9, 18, 61} {
		messages[fmt.Sprint("gossip ", engines, " loads")] = gossip(engines)
	}
	for _, engines := range []int{9, 61} {
		messages[fmt.Sprint("gossip ", engines, " speeds")] = speeds(engines)
	}
	for hubs, scope := range map[int]wire.GossipScope{0: wire.GossipScopeNone, 6: wire.GossipScopeAll} {
		loads := gossip(11 * hubs)
		a := wire.GossipAnswer{Sender: loads.Sender, Version: 4321, VersionAgeMs: 700, FleetAgeMs: 700, FleetAt: 300, Tells: scope, Tallies: loads.Tallies}
		for range hubs {
			a.Hubs = append(a.Hubs, loads.Sender)
		}
		messages[fmt.Sprint("gossip answer of ", scope)] = a
	}
	for name, m := range messages {
		b.Run(name, func(b *testing.B) {
			n := 0
			for b.Loop() {
				n = bytesOf(m)
			}
			b.ReportMetric(float64(n+rpcHeader), "wire-bytes")
		})
	}
}

// gossip returns a box's report of its requests at some engines.
func gossip(engines int) wire.Gossip {
	g := wire.Gossip{Sender: wire.BoxRecord{Box: "front-leith-1", Hall: "leith", Address: "10.1.0.19:7200", Incarnation: 1_790_000_000_000}, Version: 4321}
	for i := range engines {
		g.Tallies = append(g.Tallies, wire.UpstreamTally{
			Upstream: fmt.Sprintf("i-7f3a91c2%02d", i), Requests: 3, Tokens: 11000 + i, Coming: 2400, Prefill: 3000, Paced: 2, PaceUs: 72000,
		})
	}
	return g
}

// speeds returns a box's report of the speeds of some engines.
func speeds(engines int) wire.Gossip {
	g := gossip(0)
	g.WantsSpeeds = true
	for i := range engines {
		g.Speeds = append(g.Speeds, wire.UpstreamSpeed{
			Upstream: fmt.Sprintf("i-7f3a91c2%02d", i), Born: 1_790_000_000_000, Alone: 212, AloneLog: -7170, Beside: 148, BesideLog: -4010, Read: 42, ReadLog: -3710,
		})
	}
	return g
}

func settle(n int) []wire.SettleItem {
	items := make([]wire.SettleItem, n)
	for i := range items {
		items[i] = wire.SettleItem{Attempt: fmt.Sprintf("01234567%08d", i), Tokens: 800 + i}
	}
	return items
}

// BenchmarkCall measures a call over loopback, including both sides.
func BenchmarkCall(b *testing.B) {
	for _, loads := range []int{0, 4, 16} {
		b.Run(fmt.Sprint("heartbeat ", loads, " loads"), func(b *testing.B) {
			_, address := serve(b)
			p := peer.New(nil)
			defer p.Close()
			beat := heartbeat(loads, 0)
			var answer wire.HeartbeatAnswer
			b.ReportAllocs()
			for b.Loop() {
				if err := p.Call(context.Background(), address, peer.Heartbeat, beat, &answer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestRepeat resets the open connection during a call: an idempotent call is
// repeated and answered, and any other fails.
func TestRepeat(t *testing.T) {
	tests := map[string]struct {
		call     func(p *peer.Peers) func(ctx context.Context, address, method string, args, reply any) error
		answered bool
	}{
		"idempotent":     {func(p *peer.Peers) func(context.Context, string, string, any, any) error { return p.CallIdempotent }, true},
		"not idempotent": {func(p *peer.Peers) func(context.Context, string, string, any, any) error { return p.Call }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, address := serve(t)
			link, err := faultproxy.New(address)
			is.NoErr(err)
			defer link.Close()
			p := peer.New(nil)
			defer p.Close()
			call := tt.call(p)
			var answer wire.HeartbeatAnswer
			is.NoErr(call(t.Context(), link.Address(), peer.Heartbeat, wire.Heartbeat{Revision: 3}, &answer))
			link.Mute() // so that the next call is in progress when its connection is reset
			time.AfterFunc(10*time.Millisecond, func() { link.Cut(0) })
			err = call(t.Context(), link.Address(), peer.Heartbeat, wire.Heartbeat{Revision: 4}, &answer)
			is.Equal(err == nil, tt.answered)
			is.Equal(answer.Revision == 4, tt.answered)
			is.Equal(peer.Unreachable(err), !tt.answered)
		})
	}
}

// TestTimeout checks which calls measure the round trip to a box.
func TestTimeout(t *testing.T) {
	beat := func(p *peer.Peers, address string) error {
		return p.CallIdempotent(t.Context(), address, peer.Heartbeat, wire.Heartbeat{}, &wire.HeartbeatAnswer{})
	}
	tests := map[string]struct {
		call  func(p *peer.Peers, link *faultproxy.Proxy) error
		known bool
	}{
		"answered at once": {func(p *peer.Peers, link *faultproxy.Proxy) error { return beat(p, link.Address()) }, true},
		"held by the box": {func(p *peer.Peers, link *faultproxy.Proxy) error {
			return p.Call(t.Context(), link.Address(), peer.Ask, wire.Ask{Attempt: "a", WaitMs: 20, Model: "m", MaxTokens: 1}, &wire.Grant{})
		}, false},
		"retried": {func(p *peer.Peers, link *faultproxy.Proxy) error {
			if err := p.Call(t.Context(), link.Address(), peer.Tell, wire.ChangeSet{}, &wire.Nothing{}); err != nil {
				return err
			}
			link.Mute()
			time.AfterFunc(10*time.Millisecond, func() { link.Cut(0) })
			return beat(p, link.Address())
		}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, address := serve(t)
			link, err := faultproxy.New(address)
			is.NoErr(err)
			defer link.Close()
			p := peer.New(nil)
			defer p.Close()
			is.NoErr(tt.call(p, link))
			_, known := p.Timeout(link.Address())
			is.Equal(known, tt.known)
		})
	}
}

// TestConnectionFallsSilent guards against calls over a connection that fell silent for good while new
// ones work: of all kinds of calls, no more than one in a row may be lost to it.
func TestConnectionFallsSilent(t *testing.T) {
	idempotent := func(p *peer.Peers) func(context.Context, string, string, any, any) error { return p.CallIdempotent }
	once := func(p *peer.Peers) func(context.Context, string, string, any, any) error { return p.Call }
	tests := map[string]struct {
		call   func(p *peer.Peers) func(ctx context.Context, address, method string, args, reply any) error
		method string
		args   any
		reply  any
		limit  time.Duration // of a call
		first  bool          // the first call is answered already
	}{
		"idempotent, answered at once": {idempotent, peer.Heartbeat, wire.Heartbeat{}, &wire.HeartbeatAnswer{}, 500 * time.Millisecond, true},
		"idempotent, held":             {idempotent, peer.Ask, wire.Ask{Attempt: "a", WaitMs: 20, Model: "m", MaxTokens: 1}, &wire.Grant{}, 2 * time.Second, false},
		"once":                         {once, peer.Heartbeat, wire.Heartbeat{}, &wire.HeartbeatAnswer{}, 500 * time.Millisecond, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, address := serve(t)
			link, err := faultproxy.New(address)
			is.NoErr(err)
			defer link.Close()
			p := peer.New(nil)
			defer p.Close()
			call := func() error {
				ctx, cancel := context.WithTimeout(t.Context(), tt.limit)
				defer cancel()
				return tt.call(p)(ctx, link.Address(), tt.method, tt.args, tt.reply)
			}
			is.NoErr(call())
			link.Mute()
			is.Equal(call() == nil, tt.first)
			is.NoErr(call())
		})
	}
}
