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

// alone returns a box of a hall that does not run; a strong one is fit to be a hub.
func alone(t testing.TB, name, hall string, strong bool, balance ...wire.EdgeBalanceElem) *edge.Edge {
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

func record(name, hall string, strong bool) wire.BoxRecord {
	return wire.BoxRecord{Box: name, Hall: hall, Address: name + ":1", Incarnation: 7, Strong: strong}
}

// rows are what hubs know of two upstreams, as of a state of the first.
func rows(state string, version int) []wire.UpstreamRecord {
	return []wire.UpstreamRecord{
		{ID: "u1", Service: "llm", Address: "u1:1", Hall: "leith", Slots: 8, State: state, Version: version},
		{ID: "u2", Service: "llm", Address: "u2:1", Hall: "leith", Slots: 8, State: "open", Version: 1},
	}
}

// TestTells shows whose loads a box tells of, by what it is asked for and by
// whether it can know them.
func TestTells(t *testing.T) {
	all, own, none := wire.GossipScopeAll, wire.GossipScopeOwn, wire.GossipScopeNone
	tests := map[string]struct {
		weak   bool
		silent int // boxes that it knows of and that have told nothing
		after  time.Duration
		wants  wire.GossipScope
		want   wire.GossipScope
	}{
		"a box that has them from another hub":       {wants: none, want: none},
		"a hub asks":                                 {wants: own, want: own},
		"a box asks":                                 {wants: all, want: all},
		"a box asks one that is no hub":              {weak: true, wants: all, want: none},
		"most have told nothing yet":                 {silent: 10, wants: all, want: none},
		"most have told nothing for long: cut off":   {silent: 10, after: 1300 * time.Millisecond, wants: all, want: all},
		"a hub asks one that most have told nothing": {silent: 10, wants: own, want: own},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := alone(t, "hub", "leith", !tt.weak)
				if tt.weak {
					e.Heard(wire.Gossip{Sender: record("strong", "leith", true)})
					e.Heard(wire.Gossip{Sender: record("strong too", "leith", true)})
				}
				for i := range tt.silent {
					e.HandleAnswer(wire.GossipAnswer{Sender: record(fmt.Sprint("s", i), "leith", false)}, time.Now())
				}
				e.Heard(wire.Gossip{Sender: record("b1", "leith", false), Tallies: []wire.UpstreamTally{{Upstream: "u1", Requests: 2, Tokens: 500}}})
				e.IsHub() // as it looks all the while
				time.Sleep(tt.after)
				a := e.Heard(wire.Gossip{Sender: record("b2", "leith", false), Wants: tt.wants, Tallies: []wire.UpstreamTally{{Upstream: "u1", Requests: 9}}})
				is.Equal(a.Tells, tt.want)
				wantTallies := map[wire.GossipScope][]wire.UpstreamTally{own: {}, all: {{Upstream: "u1", Requests: 2, Tokens: 500}}}
				is.Equal(a.Tallies, wantTallies[tt.want])
				is.Equal(len(a.Hubs) > 0, tt.want != none)
			})
		})
	}
}

// TestWants shows that a box wants all loads of the nearest hub alone, and that a
// hub wants of the others their own.
func TestWants(t *testing.T) {
	near, far := record("near", "leith", true), record("far", "gorgie", true)
	tests := map[string]struct {
		hall   string // of this box
		strong bool
		hub    wire.BoxRecord
		hubs   []wire.BoxRecord
		told   time.Duration // ago, by the nearest
		want   wire.GossipScope
	}{
		"of its own hall":          {"leith", false, near, []wire.BoxRecord{near, far}, 0, wire.GossipScopeAll},
		"of another hall":          {"leith", false, far, []wire.BoxRecord{near, far}, 500 * time.Millisecond, wire.GossipScopeNone},
		"the own hall's is silent": {"leith", false, far, []wire.BoxRecord{near, far}, 700 * time.Millisecond, wire.GossipScopeAll},
		"the own hall's is gone":   {"leith", false, far, []wire.BoxRecord{far}, 0, wire.GossipScopeOwn}, // it is its hall's own hub then
		"a hub itself":             {"leith", true, far, []wire.BoxRecord{far}, 0, wire.GossipScopeOwn},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := alone(t, "b1", tt.hall, tt.strong)
				for _, b := range tt.hubs {
					e.Heard(wire.Gossip{Sender: b})
				}
				e.HandleAnswer(wire.GossipAnswer{Sender: tt.hubs[0], Tells: wire.GossipScopeAll}, time.Now())
				time.Sleep(tt.told)
				hub := members.Box{Name: tt.hub.Box, Hall: tt.hub.Hall}
				is.New(t).Equal(e.ReportFor(hub).Wants, tt.want)
			})
		})
	}
}

// TestDepartures shows when a hub is told that an upstream leaves: until it has
// answered, and again where it has started anew.
func TestDepartures(t *testing.T) {
	is := is.New(t)
	e := alone(t, "b1", "leith", false)
	far, near := record("far", "gorgie", true), record("near", "leith", true)
	said := func(hub wire.BoxRecord) int { return len(e.ReportFor(members.Box{Name: hub.Box}).Departing) }
	answers := func(hub wire.BoxRecord, state string, version int) {
		e.HandleAnswer(wire.GossipAnswer{Sender: hub, Tells: wire.GossipScopeNone, FleetAt: version, Upstreams: rows(state, version)}, time.Now())
	}
	is.Equal(said(far), 0)
	answers(far, "open", 1)
	is.Equal(said(near), 0)
	answers(near, "leaving", 2) // this box learns it
	is.Equal(said(far), 1)
	is.Equal(said(far), 1) // the first call was not answered
	answers(far, "leaving", 2)
	is.Equal(said(far), 0)
	far.Incarnation++
	answers(far, "open", 1) // started anew, and told late
	is.Equal(said(far), 1)
}

// TestOldHub shows that of what a hub knows that has lost the store, only the
// news counts that an upstream leaves.
func TestOldHub(t *testing.T) {
	is := is.New(t)
	e := alone(t, "b1", "leith", false)
	hub := record("near", "leith", true)
	e.HandleAnswer(wire.GossipAnswer{Sender: hub, FleetAt: 1, Upstreams: rows("open", 1)[:1]}, time.Now())
	e.HandleAnswer(wire.GossipAnswer{Sender: hub, FleetAt: 2, FleetAgeMs: 9000, Upstreams: rows("leaving", 2)}, time.Now())
	say := e.ReportFor(members.Box{Name: hub.Box, Hall: "leith"})
	is.Equal(fmt.Sprint(say.Departing), fmt.Sprint([]wire.UpstreamDeparture{{Upstream: "u1", Version: 2}}))
	is.Equal(say.FleetAfter, 1) // the rest is told again once it is young
}

// TestStoreSilent shows that the youngest answer of the store counts that any hub
// tells of, with the time that its word was under way.
func TestStoreSilent(t *testing.T) {
	is := is.New(t)
	e := alone(t, "b1", "leith", false)
	is.Equal(e.Heard(wire.Gossip{}).StoreSilentMs, int(time.Hour.Milliseconds())) // never heard of
	tells := func(hub string, ms int, ago time.Duration) {
		e.HandleAnswer(wire.GossipAnswer{Sender: record(hub, "leith", true), StoreSilentMs: ms}, time.Now().Add(-ago))
	}
	tells("lost", 900000, 0)
	tells("near", 100000, 0)
	tells("far", 60000, time.Minute)
	silent := e.Heard(wire.Gossip{}).StoreSilentMs
	is.True(silent > 99000 && silent < 119000) // the near one's word, not the far one's 120 s
}

// BenchmarkHeard is a hub's answer to one box among many, by what it wants; each
// box runs two requests at some of 65 engines.
func BenchmarkHeard(b *testing.B) {
	for _, wants := range []wire.GossipScope{wire.GossipScopeNone, wire.GossipScopeOwn, wire.GossipScopeAll} {
		for _, boxes := range []int{7, 66, 195, 350} {
			b.Run(fmt.Sprint(wants, " ", boxes, " boxes"), func(b *testing.B) {
				e := alone(b, "hub", "hall0", true)
				say := make([]wire.Gossip, boxes)
				for i := range say {
					say[i] = wire.Gossip{Sender: record(fmt.Sprint("b", i), fmt.Sprint("hall", i%6), false), Wants: wants, Tallies: []wire.UpstreamTally{
						{Upstream: fmt.Sprint("u", i%65), Requests: 1, Tokens: 3000}, {Upstream: fmt.Sprint("u", i*7%65), Requests: 1, Tokens: 3000},
					}}
					e.Heard(say[i])
				}
				i := 0
				b.ReportAllocs()
				for b.Loop() {
					e.Heard(say[i%boxes])
					i++
				}
			})
		}
	}
}

// TestNearestLost lets the nearest hub die before it has told a change that a far
// one knew already when it was first asked: the box asks that one for the whole
// fleet, and takes its word for no newer than what it has been told of.
func TestNearestLost(t *testing.T) {
	tests := map[string]struct {
		later time.Duration // the nearest hub's last word, after the far one's first
		whole bool          // the far hub is asked for all
		age   time.Duration // of the fleet, 1 s after the nearest's last word
	}{
		"before it could know what the far one knew": {later: 100 * time.Millisecond, whole: true, age: 1800 * time.Millisecond},
		"when it knew what the far one had known":    {later: 900 * time.Millisecond, age: 800 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := alone(t, "b1", "leith", false)
				near, far := record("near", "leith", true), record("far", "gorgie", true)
				e.Heard(wire.Gossip{Sender: near})
				e.Heard(wire.Gossip{Sender: far})
				answers := func(a wire.GossipAnswer) { e.HandleAnswer(a, time.Now()) }
				answers(wire.GossipAnswer{Sender: near, FleetAt: 1, FleetAgeMs: 800, Upstreams: rows("open", 1)[:1]})
				answers(wire.GossipAnswer{Sender: far, FleetAt: 9, FleetFromNow: true})
				time.Sleep(tt.later)
				answers(wire.GossipAnswer{Sender: near, FleetAt: 1, FleetAgeMs: 800})
				time.Sleep(time.Second) // without a word of the nearest
				answers(wire.GossipAnswer{Sender: far, FleetAt: 9, FleetAgeMs: 800})
				is.Equal(e.View().UpstreamsAgeMs, int(tt.age.Milliseconds()))
				say := e.ReportFor(members.Box{Name: "far", Hall: "gorgie"})
				is.Equal(say.WholeFleet && say.FleetAfter == 0, tt.whole)
				answers(wire.GossipAnswer{Sender: far, FleetAt: 9, FleetAgeMs: 800, Upstreams: rows("open", 1)})
				is.Equal(e.View().UpstreamsAgeMs, 800)
			})
		})
	}
}

// TestUses shows that a box that keeps a queue only now learns what organisations were
// given and refused: boxes tell the hubs of their callers, and these each other, while
// room is short.
func TestUses(t *testing.T) {
	use := wire.OrganisationUse{Organisation: "acme", Urgency: 1, Given: 9000, Refused: 500}
	tests := map[string]struct {
		off   bool
		wants wire.GossipScope
		asker string
		want  []wire.OrganisationUse
	}{
		"a box asks":             {wants: wire.GossipScopeAll, asker: "b2", want: []wire.OrganisationUse{use}},
		"who told so asks":       {wants: wire.GossipScopeAll, asker: "b1"},
		"a hub is told itself":   {wants: wire.GossipScopeOwn, asker: "b2"},
		"shares do not count":    {off: true, wants: wire.GossipScopeAll, asker: "b2"},
		"no loads are asked for": {wants: wire.GossipScopeNone, asker: "b2"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var parts []wire.EdgeBalanceElem
				if !tt.off {
					parts = append(parts, wire.EdgeBalanceElemShares)
				}
				e := alone(t, "hub", "leith", true, parts...)
				e.IsHub() // as it looks all the while
				time.Sleep(1300 * time.Millisecond)
				e.Heard(wire.Gossip{Sender: record("b1", "leith", false), Uses: []wire.OrganisationUse{use}})
				is.Equal(e.Heard(wire.Gossip{Sender: record(tt.asker, "leith", false), Wants: tt.wants}).Uses, tt.want)
			})
		})
	}
}

// TestCrowdToldOn shows how many boxes a hub tells of that knows fewer itself than
// another does: its boxes, which ask no other, of all, and hubs of those that it knows.
func TestCrowdToldOn(t *testing.T) {
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
				e := alone(t, "b1", "leith", false)
				is.True(e.IsHub())
				time.Sleep(1250 * time.Millisecond) // a hub knows then
				e.HandleAnswer(wire.GossipAnswer{Sender: record("hub", "leith", true), Crowd: []wire.HallBoxes{{Hall: "leith", Boxes: 250}}}, time.Now())
				a := e.Heard(wire.Gossip{Sender: record("hub", "leith", true), Wants: tt.wants})
				is.Equal(a.Crowd, []wire.HallBoxes{{Hall: "leith", Boxes: tt.boxes}})
			})
		})
	}
}
