package edge_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/members"
	"petrelstep/wire"
)

// TestFleetSent checks what a hub sends of its fleet, by the caller's cursor and needs.
// Full transfers are paced, so that many boxes starting at once don't overload the hub.
func TestFleetSent(t *testing.T) {
	type answer struct {
		rows           int
		later, fromNow bool
	}
	tests := map[string]struct {
		blank  bool // the hub knows no fleet yet
		before int  // full transfers requested just before
		pause  time.Duration
		from   wire.Gossip
		want   answer
	}{
		"full fleet":                         {from: wire.Gossip{WholeFleet: true}, want: answer{rows: 2}},
		"hub has just started":               {blank: true, from: wire.Gossip{WholeFleet: true}, want: answer{later: true}},
		"hub has just started, changes only": {blank: true},
		"no cursor, changes only":            {want: answer{fromNow: true}},
		"cursor":                             {from: wire.Gossip{FleetOf: 1, FleetAfter: 1}, want: answer{rows: 1}},
		"cursor of an earlier incarnation":   {from: wire.Gossip{FleetOf: 99, FleetAfter: 1, WholeFleet: true}, want: answer{rows: 2}},
		"transfer under way":                 {before: 1, from: wire.Gossip{WholeFleet: true}, want: answer{later: true}},
		"transfer under way, changes only":   {before: 1, want: answer{fromNow: true}},
		"transfer complete":                  {before: 1, pause: time.Millisecond, from: wire.Gossip{WholeFleet: true}, want: answer{rows: 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := newBox(t, "hub", "leith", true)
				if !tt.blank {
					e.HandleAnswer(wire.GossipAnswer{Sender: boxRecord("far", "gorgie", true), FleetAt: 1, Upstreams: upstreamRecords("open", 1)}, time.Now())
				}
				for range tt.before {
					e.HandleGossip(wire.Gossip{Sender: boxRecord("other", "leith", false), WholeFleet: true})
				}
				time.Sleep(tt.pause)
				tt.from.Sender = boxRecord("b1", "leith", false)
				if tt.from.FleetOf == 1 {
					tt.from.FleetOf = e.HandleGossip(wire.Gossip{}).Sender.Incarnation
				}
				a := e.HandleGossip(tt.from)
				is.Equal(answer{len(a.Upstreams), a.FleetLater, a.FleetFromNow}, tt.want)
			})
		})
	}
}

// TestFleetReceived checks that a box considers the fleet known only after a full
// transfer, whatever changes other hubs send.
func TestFleetReceived(t *testing.T) {
	is := is.New(t)
	e := newBox(t, "b1", "leith", false)
	near, far := boxRecord("near", "leith", true), boxRecord("far", "gorgie", true)
	known := func() bool { return e.View().UpstreamsAgeMs >= 0 }
	wants := func(hub wire.BoxRecord) bool {
		return e.ReportFor(members.Box{Name: hub.Box, Hall: hub.Hall}).WholeFleet
	}
	e.HandleGossip(wire.Gossip{Sender: near})
	e.HandleGossip(wire.Gossip{Sender: far})
	is.True(wants(near))
	is.True(!wants(far)) // the primary hub may still answer
	e.HandleAnswer(wire.GossipAnswer{Sender: far, FleetAt: 5, FleetFromNow: true}, time.Now())
	is.True(!known())
	e.HandleAnswer(wire.GossipAnswer{Sender: far, FleetAt: 6, Upstreams: upstreamRecords("open", 1)[:1]}, time.Now())
	is.True(!known()) // one upstream of an incomplete fleet
	e.HandleAnswer(wire.GossipAnswer{Sender: near, FleetLater: true}, time.Now())
	is.True(!known())
	is.True(time.Since(e.LastPromised()) < maxWait)
	e.HandleAnswer(wire.GossipAnswer{Sender: near, FleetAt: 9, Upstreams: upstreamRecords("open", 1)}, time.Now())
	is.True(known())
	is.Equal(e.View().Upstreams, 2)
	is.Equal(e.ReportFor(members.Box{Name: far.Box}).FleetAfter, 6)
}

// TestWantsFleet checks that another hub is asked for the full fleet while the primary
// hub is unreachable.
func TestWantsFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newBox(t, "b1", "leith", false)
		near, far := boxRecord("near", "leith", true), boxRecord("far", "gorgie", true)
		e.HandleAnswer(wire.GossipAnswer{Sender: near}, time.Now())
		e.HandleAnswer(wire.GossipAnswer{Sender: far}, time.Now())
		wants := func() bool { return e.ReportFor(members.Box{Name: far.Box, Hall: far.Hall}).WholeFleet }
		is.True(!wants())
		time.Sleep(time.Second)
		is.True(wants())
		is.True(newBox(t, "hub", "leith", true).ReportFor(members.Box{Name: far.Box}).WholeFleet) // hubs exchange it with each other
	})
}
