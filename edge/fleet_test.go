package edge_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/members"
	"petrelstep/wire"
)

// TestFleetTold shows what a hub tells of its fleet, by what the asker has and
// wants: whole fleets one after the other, so that many boxes that start at once
// do not end it.
func TestFleetTold(t *testing.T) {
	type answer struct {
		rows           int
		later, fromNow bool
	}
	tests := map[string]struct {
		blank  bool // the hub knows nothing yet
		before int  // others asked for the whole in the same moment
		pause  time.Duration
		from   wire.Gossip
		want   answer
	}{
		"it wants the whole":                 {from: wire.Gossip{WholeFleet: true}, want: answer{rows: 2}},
		"the hub has just started":           {blank: true, from: wire.Gossip{WholeFleet: true}, want: answer{later: true}},
		"it has, and does not ask":           {blank: true},
		"it has it from another hub":         {want: answer{fromNow: true}},
		"it has a mark":                      {from: wire.Gossip{FleetOf: 1, FleetAfter: 1}, want: answer{rows: 1}},
		"it has a mark of an earlier life":   {from: wire.Gossip{FleetOf: 99, FleetAfter: 1, WholeFleet: true}, want: answer{rows: 2}},
		"others want the whole":              {before: 1, from: wire.Gossip{WholeFleet: true}, want: answer{later: true}},
		"others want the whole, it does not": {before: 1, want: answer{fromNow: true}},
		"others have it":                     {before: 1, pause: time.Millisecond, from: wire.Gossip{WholeFleet: true}, want: answer{rows: 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := alone(t, "hub", "leith", true)
				if !tt.blank {
					e.HandleAnswer(wire.GossipAnswer{Sender: record("far", "gorgie", true), FleetAt: 1, Upstreams: rows("open", 1)}, time.Now())
				}
				for range tt.before {
					e.Heard(wire.Gossip{Sender: record("other", "leith", false), WholeFleet: true})
				}
				time.Sleep(tt.pause)
				tt.from.Sender = record("b1", "leith", false)
				if tt.from.FleetOf == 1 {
					tt.from.FleetOf = e.Heard(wire.Gossip{}).Sender.Incarnation
				}
				a := e.Heard(tt.from)
				is.Equal(answer{len(a.Upstreams), a.FleetLater, a.FleetFromNow}, tt.want)
			})
		})
	}
}

// TestFleetHeard shows that a box knows the fleet only once a hub has told it
// whole, whatever others tell of from then on.
func TestFleetHeard(t *testing.T) {
	is := is.New(t)
	e := alone(t, "b1", "leith", false)
	near, far := record("near", "leith", true), record("far", "gorgie", true)
	known := func() bool { return e.View().UpstreamsAgeMs >= 0 }
	wants := func(hub wire.BoxRecord) bool {
		return e.ReportFor(members.Box{Name: hub.Box, Hall: hub.Hall}).WholeFleet
	}
	e.Heard(wire.Gossip{Sender: near})
	e.Heard(wire.Gossip{Sender: far})
	is.True(wants(near))
	is.True(!wants(far)) // the nearest may still answer
	e.HandleAnswer(wire.GossipAnswer{Sender: far, FleetAt: 5, FleetFromNow: true}, time.Now())
	is.True(!known())
	e.HandleAnswer(wire.GossipAnswer{Sender: far, FleetAt: 6, Upstreams: rows("open", 1)[:1]}, time.Now())
	is.True(!known()) // one upstream of those that there are
	e.HandleAnswer(wire.GossipAnswer{Sender: near, FleetLater: true}, time.Now())
	is.True(!known())
	is.True(time.Since(e.LastPromised()) < waitMost)
	e.HandleAnswer(wire.GossipAnswer{Sender: near, FleetAt: 9, Upstreams: rows("open", 1)}, time.Now())
	is.True(known())
	is.Equal(e.View().Upstreams, 2)
	is.Equal(e.ReportFor(members.Box{Name: far.Box}).FleetAfter, 6)
}

// TestWantsFleet shows that another hub is asked for the whole fleet while the
// nearest is not heard.
func TestWantsFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := alone(t, "b1", "leith", false)
		near, far := record("near", "leith", true), record("far", "gorgie", true)
		e.HandleAnswer(wire.GossipAnswer{Sender: near}, time.Now())
		e.HandleAnswer(wire.GossipAnswer{Sender: far}, time.Now())
		wants := func() bool { return e.ReportFor(members.Box{Name: far.Box, Hall: far.Hall}).WholeFleet }
		is.True(!wants())
		time.Sleep(time.Second)
		is.True(wants())
		is.True(alone(t, "hub", "leith", true).ReportFor(members.Box{Name: far.Box}).WholeFleet) // a hub is told by all others
	})
}
