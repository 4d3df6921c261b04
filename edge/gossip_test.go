package edge_test

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/config"
	"petrelstep/edge"
	"petrelstep/logs"
	"petrelstep/members"
	"petrelstep/metrics"
	"petrelstep/wire"
)

// newBox returns a box that isn't running; a strong one is hub-eligible.
func newBox(t testing.TB, name, hall string, strong bool, balance ...wire.EdgeBalanceElem) *edge.Edge {
	t.Helper()
	processors := 0.1
	if strong {
		processors = 1
	}
	counts, err := metrics.New()
	is.New(t).NoErr(err)
	return edge.New(config.Config{Settings: wire.Settings{
		Box: name, Hall: hall, Listen: wire.Listen{Peers: name + ":1"},
		Edge: &wire.Edge{KeyAgeMs: 5000, LeaveMs: 2000, RetryRatio: 0.2, RetrySlack: 50, MemoryMb: 512, Descriptors: 8192, Processors: processors, LinkMbit: 1000, Balance: balance},
	}}, logs.New(io.Discard, "info", name), counts)
}

func boxRecord(name, hall string, strong bool) wire.BoxRecord {
	return wire.BoxRecord{Box: name, Hall: hall, Address: name + ":1", Incarnation: 7, Strong: strong}
}

// upstreamRecords returns a hub's records of two upstreams, the first in the given
// state.
func upstreamRecords(state string, version int) []wire.UpstreamRecord {
	return []wire.UpstreamRecord{
		{ID: "u1", Service: "llm", Address: "u1:1", Hall: "leith", Slots: 8, State: state, Version: version},
		{ID: "u2", Service: "llm", Address: "u2:1", Hall: "leith", Slots: 8, State: "open", Version: 1},
	}
}

// TestLoadScopeSent checks whose loads a box sends, by what is requested and by the
// reports it has.
func TestLoadScopeSent(t *testing.T) {
	all, own, none := wire.GossipScopeAll, wire.GossipScopeOwn, wire.GossipScopeNone
	tests := map[string]struct {
		weak   bool
		silent int // known boxes that have sent no report
		after  time.Duration
		wants  wire.GossipScope
		want   wire.GossipScope
	}{
		"none requested":                         {wants: none, want: none},
		"request of a hub":                       {wants: own, want: own},
		"request of a box":                       {wants: all, want: all},
		"request of a box, not a hub":            {weak: true, wants: all, want: none},
		"most reports missing":                   {silent: 10, wants: all, want: none},
		"most reports missing for long":          {silent: 10, after: 1300 * time.Millisecond, wants: all, want: all},
		"request of a hub, most reports missing": {silent: 10, wants: own, want: own},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := newBox(t, "hub", "leith", !tt.weak)
				if tt.weak {
					e.HandleGossip(wire.Gossip{Sender: boxRecord("strong", "leith", true)})
					e.HandleGossip(wire.Gossip{Sender: boxRecord("strong too", "leith", true)})
				}
				for i := range tt.silent {
					e.HandleAnswer(wire.GossipAnswer{Sender: boxRecord(fmt.Sprint("s", i), "leith", false)}, time.Now())
				}
				e.HandleGossip(wire.Gossip{Sender: boxRecord("b1", "leith", false), Tallies: []wire.UpstreamTally{{Upstream: "u1", Requests: 2, Tokens: 500}}})
				e.IsHub() // a running box checks this continually
				time.Sleep(tt.after)
				a := e.HandleGossip(wire.Gossip{Sender: boxRecord("b2", "leith", false), Wants: tt.wants, Tallies: []wire.UpstreamTally{{Upstream: "u1", Requests: 9}}})
				is.Equal(a.Tells, tt.want)
				wantTallies := map[wire.GossipScope][]wire.UpstreamTally{own: {}, all: {{Upstream: "u1", Requests: 2, Tokens: 500}}}
				is.Equal(a.Tallies, wantTallies[tt.want])
				is.Equal(len(a.Hubs) > 0, tt.want != none)
			})
		})
	}
}

// TestLoadScopeRequested checks that a box requests the sums of all loads from its
// primary hub only, and a hub the own loads of the other hubs.
func TestLoadScopeRequested(t *testing.T) {
	near, far := boxRecord("near", "leith", true), boxRecord("far", "gorgie", true)
	tests := map[string]struct {
		hall    string // of this box
		strong  bool
		hub     wire.BoxRecord
		hubs    []wire.BoxRecord
		sumsAge time.Duration // since the primary hub's last sums
		want    wire.GossipScope
	}{
		"hub of its own hall": {"leith", false, near, []wire.BoxRecord{near, far}, 0, wire.GossipScopeAll},
		"hub of another hall": {"leith", false, far, []wire.BoxRecord{near, far}, 500 * time.Millisecond, wire.GossipScopeNone},
		"own hub silent":      {"leith", false, far, []wire.BoxRecord{near, far}, 700 * time.Millisecond, wire.GossipScopeAll},
		"own hub removed":     {"leith", false, far, []wire.BoxRecord{far}, 0, wire.GossipScopeOwn}, // this box is then its hall's hub
		"box is a hub":        {"leith", true, far, []wire.BoxRecord{far}, 0, wire.GossipScopeOwn},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newBox(t, "b1", tt.hall, tt.strong)
				for _, b := range tt.hubs {
					e.HandleGossip(wire.Gossip{Sender: b})
				}
				e.HandleAnswer(wire.GossipAnswer{Sender: tt.hubs[0], Tells: wire.GossipScopeAll}, time.Now())
				time.Sleep(tt.sumsAge)
				hub := members.Box{Name: tt.hub.Box, Hall: tt.hub.Hall}
				is.New(t).Equal(e.ReportFor(hub).Wants, tt.want)
			})
		})
	}
}

// TestDepartures checks that a hub is sent a departure until it has answered, and again
// after it has restarted.
func TestDepartures(t *testing.T) {
	is := is.New(t)
	e := newBox(t, "b1", "leith", false)
	far, near := boxRecord("far", "gorgie", true), boxRecord("near", "leith", true)
	departing := func(hub wire.BoxRecord) int { return len(e.ReportFor(members.Box{Name: hub.Box}).Departing) }
	answers := func(hub wire.BoxRecord, state string, version int) {
		e.HandleAnswer(wire.GossipAnswer{Sender: hub, Tells: wire.GossipScopeNone, FleetAt: version, Upstreams: upstreamRecords(state, version)}, time.Now())
	}
	is.Equal(departing(far), 0)
	answers(far, "open", 1)
	is.Equal(departing(near), 0)
	answers(near, "leaving", 2) // this box learns of the departure
	is.Equal(departing(far), 1)
	is.Equal(departing(far), 1) // the first call was not answered
	answers(far, "leaving", 2)
	is.Equal(departing(far), 0)
	far.Incarnation++
	answers(far, "open", 1) // restarted, with outdated data
	is.Equal(departing(far), 1)
}

// TestOutdatedHub checks that only departures are accepted from a hub that has lost the
// store.
func TestOutdatedHub(t *testing.T) {
	is := is.New(t)
	e := newBox(t, "b1", "leith", false)
	hub := boxRecord("near", "leith", true)
	e.HandleAnswer(wire.GossipAnswer{Sender: hub, FleetAt: 1, Upstreams: upstreamRecords("open", 1)[:1]}, time.Now())
	e.HandleAnswer(wire.GossipAnswer{Sender: hub, FleetAt: 2, FleetAgeMs: 9000, Upstreams: upstreamRecords("leaving", 2)}, time.Now())
	say := e.ReportFor(members.Box{Name: hub.Box, Hall: "leith"})
	is.Equal(fmt.Sprint(say.Departing), fmt.Sprint([]wire.UpstreamDeparture{{Upstream: "u1", Version: 2}}))
	is.Equal(say.FleetAfter, 1) // the other changes are sent again once the hub is up to date
}

// TestStoreSilence checks that the latest answer of the store counts, whichever hub
// reports it, with the report's age added.
func TestStoreSilence(t *testing.T) {
	is := is.New(t)
	e := newBox(t, "b1", "leith", false)
	is.Equal(e.HandleGossip(wire.Gossip{}).StoreSilentMs, int(time.Hour.Milliseconds())) // no answer known
	report := func(hub string, ms int, ago time.Duration) {
		e.HandleAnswer(wire.GossipAnswer{Sender: boxRecord(hub, "leith", true), StoreSilentMs: ms}, time.Now().Add(-ago))
	}
	report("lost", 900000, 0)
	report("near", 100000, 0)
	report("far", 60000, time.Minute)
	silent := e.HandleGossip(wire.Gossip{}).StoreSilentMs
	is.True(silent > 99000 && silent < 119000) // the near hub's report, not the far hub's of 120 s
}

// BenchmarkHeard measures a hub's answer to one of many boxes, by scope; each box runs
// two requests at some of 65 engines.
func BenchmarkHeard(b *testing.B) {
	for _, wants := range []wire.GossipScope{wire.GossipScopeNone, wire.GossipScopeOwn, wire.GossipScopeAll} {
		for _, boxes := range []int{7, 66, 195, 350} {
			b.Run(fmt.Sprint(wants, " ", boxes, " boxes"), func(b *testing.B) {
				e := newBox(b, "hub", "hall0", true)
				say := make([]wire.Gossip, boxes)
				for i := range say {
					say[i] = wire.Gossip{Sender: boxRecord(fmt.Sprint("b", i), fmt.Sprint("hall", i%6), false), Wants: wants, Tallies: []wire.UpstreamTally{
						{Upstream: fmt.Sprint("u", i%65), Requests: 1, Tokens: 3000}, {Upstream: fmt.Sprint("u", i*7%65), Requests: 1, Tokens: 3000},
					}}
					e.HandleGossip(say[i])
				}
				i := 0
				b.ReportAllocs()
				for b.Loop() {
					e.HandleGossip(say[i%boxes])
					i++
				}
			})
		}
	}
}

// TestPrimaryHubLost kills the primary hub before it has sent a change that a far hub
// already knew at its first answer: the box must request the full fleet from the far
// hub, and must not consider its data newer than what it has received.
func TestPrimaryHubLost(t *testing.T) {
	tests := map[string]struct {
		later time.Duration // primary hub's last answer, after the far hub's first
		whole bool          // the far hub is asked for the full fleet
		age   time.Duration // of the fleet, 1 s after the primary hub's last answer
	}{
		"without the far hub's changes": {later: 100 * time.Millisecond, whole: true, age: 1800 * time.Millisecond},
		"with the far hub's changes":    {later: 900 * time.Millisecond, age: 800 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := newBox(t, "b1", "leith", false)
				near, far := boxRecord("near", "leith", true), boxRecord("far", "gorgie", true)
				e.HandleGossip(wire.Gossip{Sender: near})
				e.HandleGossip(wire.Gossip{Sender: far})
				answers := func(a wire.GossipAnswer) { e.HandleAnswer(a, time.Now()) }
				answers(wire.GossipAnswer{Sender: near, FleetAt: 1, FleetAgeMs: 800, Upstreams: upstreamRecords("open", 1)[:1]})
				answers(wire.GossipAnswer{Sender: far, FleetAt: 9, FleetFromNow: true})
				time.Sleep(tt.later)
				answers(wire.GossipAnswer{Sender: near, FleetAt: 1, FleetAgeMs: 800})
				time.Sleep(time.Second) // without an answer of the primary hub
				answers(wire.GossipAnswer{Sender: far, FleetAt: 9, FleetAgeMs: 800})
				is.Equal(e.View().UpstreamsAgeMs, int(tt.age.Milliseconds()))
				say := e.ReportFor(members.Box{Name: "far", Hall: "gorgie"})
				is.Equal(say.WholeFleet && say.FleetAfter == 0, tt.whole)
				answers(wire.GossipAnswer{Sender: far, FleetAt: 9, FleetAgeMs: 800, Upstreams: upstreamRecords("open", 1)})
				is.Equal(e.View().UpstreamsAgeMs, 800)
			})
		})
	}
}

// TestSharesReported checks that a box that becomes the owner of a queue learns what
// organisations were granted and refused: boxes report it to the hubs, which exchange
// it.
func TestSharesReported(t *testing.T) {
	use := wire.OrganisationUse{Organisation: "acme", Urgency: 1, Given: 9000, Refused: 500}
	tests := map[string]struct {
		off    bool
		wants  wire.GossipScope
		caller string
		want   []wire.OrganisationUse
	}{
		"request of a box":             {wants: wire.GossipScopeAll, caller: "b2", want: []wire.OrganisationUse{use}},
		"request of the reporting box": {wants: wire.GossipScopeAll, caller: "b1"},
		"request of a hub":             {wants: wire.GossipScopeOwn, caller: "b2"},
		"disabled":                     {off: true, wants: wire.GossipScopeAll, caller: "b2"},
		"none requested":               {wants: wire.GossipScopeNone, caller: "b2"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var features []wire.EdgeBalanceElem
				if !tt.off {
					features = append(features, wire.EdgeBalanceElemShares)
				}
				e := newBox(t, "hub", "leith", true, features...)
				e.IsHub() // a running box checks this continually
				time.Sleep(1300 * time.Millisecond)
				e.HandleGossip(wire.Gossip{Sender: boxRecord("b1", "leith", false), Uses: []wire.OrganisationUse{use}})
				is.Equal(e.HandleGossip(wire.Gossip{Sender: boxRecord(tt.caller, "leith", false), Wants: tt.wants}).Uses, tt.want)
			})
		})
	}
}

// TestFleetSizeForwarded checks which fleet size a hub sends that knows fewer boxes
// than another hub: to boxes, which call no other hub, the larger one; to hubs only its
// own.
func TestFleetSizeForwarded(t *testing.T) {
	for name, tt := range map[string]struct {
		wants wire.GossipScope
		boxes int
	}{
		"a box": {wants: wire.GossipScopeAll, boxes: 250},
		"a hub": {wants: wire.GossipScopeOwn, boxes: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := newBox(t, "b1", "leith", false)
				is.True(e.IsHub())
				time.Sleep(1250 * time.Millisecond) // its sums count as complete from then on
				e.HandleAnswer(wire.GossipAnswer{Sender: boxRecord("hub", "leith", true), Crowd: []wire.HallBoxes{{Hall: "leith", Boxes: 250}}}, time.Now())
				a := e.HandleGossip(wire.Gossip{Sender: boxRecord("hub", "leith", true), Wants: tt.wants})
				is.Equal(a.Crowd, []wire.HallBoxes{{Hall: "leith", Boxes: tt.boxes}})
			})
		})
	}
}
