package edge

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/members"
	"petrelstep/platform/store"
	"petrelstep/revision"
	"petrelstep/wire"
)

// strangerPrefix begins the addresses of the other fleet's boxes and upstreams.
const strangerPrefix = "192.0.2."

// TestStranger gives the address of a box that another fleet has lost to a box of this one: the
// other fleet's boxes go on calling it, and nothing that they report may reach any box here,
// though both fleets' boxes and upstreams have the same names.
func TestStranger(t *testing.T) {
	tests := map[string]struct {
		fleet, other string // names of the fleets in the settings
		sameName     bool   // the lost box had the name of the one that has its address now
	}{
		"other name":              {},
		"other name, named":       {"a", "b", false},
		"other name, one named":   {"a", "", false},
		"same name, named":        {"a", "b", true},
		"other name, other named": {"", "b", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testStranger(t, tt.fleet, tt.other, tt.sameName) })
		})
	}
}

func testStranger(t *testing.T, name, otherName string, sameName bool) {
	c := newCluster(t, 10, 1, 30)
	ctx, end := c.context(t)
	defer end()
	for _, e := range c.all {
		e.config.Edge.Fleet = name
	}
	c.startAll(ctx)
	c.waitAll(t, "serves", 5*time.Second, (*Edge).ready)
	time.Sleep(2 * time.Second)
	target, lost := c.all[4], "b5"
	if sameName {
		lost = target.Name()
	}
	o := startOtherFleet(ctx, t, c, target, lost, otherName)
	for range 20 {
		for _, e := range o.all {
			callLost(t, e, target, lost)
		}
		time.Sleep(500 * time.Millisecond)
	}
	for _, e := range c.all {
		checkOwnFleet(t, e)
	}
}

// startOtherFleet starts a fleet on the network of another one, whose box target has the address
// that this one knows of its lost box.
func startOtherFleet(ctx context.Context, t *testing.T, c *cluster, target *Edge, lost, name string) *cluster {
	o := newCluster(t, 10, 1, 0)
	for i := range 31 {
		row := strings.ReplaceAll(string(worker(i, 1, "ready")), "10.0.", strangerPrefix)
		o.table.rows = append(o.table.rows, store.Row{Table: "servers", Key: fmt.Sprint("u", i), Version: revision.Revision(i + 100), Value: []byte(row)})
	}
	o.cpu = c.cpu
	o.byAddress[target.record.Address] = target
	records := []wire.BoxRecord{{Box: lost, Hall: "hall0", Address: target.record.Address, Incarnation: 1, Strong: true}}
	o.all = slices.DeleteFunc(o.all, func(e *Edge) bool { return e.Name() == lost })
	for i, e := range o.all {
		e.config.Edge.Fleet, e.record.Address = name, fmt.Sprint(strangerPrefix, i, ":1")
		records = append(records, e.record)
	}
	for _, e := range o.all {
		o.startBox(ctx, e, records)
		time.AfterFunc(2*listTime, func() {
			e.setBoxes(records)
			e.joined.Store(true)
		})
		c.mu.Lock()
		c.byAddress[e.record.Address] = e
		c.mu.Unlock()
	}
	return o
}

// callLost calls a box as one of another fleet does that takes it for its lost hub.
func callLost(t *testing.T, e, target *Edge, lost string) {
	t.Helper()
	is := is.New(t)
	g := e.ReportFor(members.Box{Name: lost, Hall: "hall0", Address: target.record.Address, Incarnation: 1, State: members.Live, HubEligible: true})
	g.Departing = append(g.Departing, wire.UpstreamDeparture{Upstream: "u3", Version: 1000, Said: true})
	answer := target.HandleGossip(g)
	is.Equal(len(answer.Upstreams), 0)
	is.Equal(answer.FleetName, target.config.Edge.Fleet)
	is.True(!target.fleet.IsLeaving("u3"))
}

// checkOwnFleet checks that a box knows boxes and upstreams of its own fleet only.
func checkOwnFleet(t *testing.T, e *Edge) {
	t.Helper()
	is := is.New(t)
	list := e.fleet.Serving("plain")
	is.Equal(len(list), 30)
	for _, u := range list {
		is.True(!strings.HasPrefix(u.Address, strangerPrefix))
	}
	for _, b := range e.members.All(time.Now()) {
		is.True(!strings.HasPrefix(b.Address, strangerPrefix))
	}
}
