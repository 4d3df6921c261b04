package edge

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"petrelstep/peer"
)

// fetchHangTest is a set of calls for the configuration that get no answer.
type fetchHangTest struct {
	boxes, halls, changes int
	hangs                 func(c *cluster) func(from, to string) bool // reports whether a call from a box to an address hangs
}

// hubsToOthers chooses the calls of hubs to boxes that are not hubs.
func hubsToOthers(c *cluster) func(from, to string) bool {
	hubs := hubNames(c)
	return func(from, to string) bool {
		return slices.Contains(hubs, from) && !slices.ContainsFunc(hubs, func(hub string) bool { return hub+":1" == to })
	}
}

// toOneHub chooses the calls to one hub.
func toOneHub(c *cluster) func(from, to string) bool {
	hub := c.hubs()[0].record.Address
	return func(_, to string) bool { return to == hub }
}

// toOneOther chooses the calls to one box that is not a hub.
func toOneOther(c *cluster) func(from, to string) bool {
	hubs := c.hubs()
	other := c.all[slices.IndexFunc(c.all, func(e *Edge) bool { return !slices.Contains(hubs, e) })].record.Address
	return func(_, to string) bool { return to == other }
}

// TestConfigurationFetchHangs guards against boxes that act on a manifest that was replaced more
// than 2 s ago, as a box that announces the new one does not answer the call for it.
func TestConfigurationFetchHangs(t *testing.T) {
	tests := map[string]fetchHangTest{
		"6 boxes, hubs to others":     {6, 3, 40, hubsToOthers},
		"6 boxes, all to one hub":     {6, 3, 40, toOneHub},
		"6 boxes, all to one other":   {6, 3, 40, toOneOther},
		"7 boxes, hubs to others":     {7, 4, 40, hubsToOthers},
		"7 boxes, all to one hub":     {7, 4, 40, toOneHub},
		"7 boxes, all to one other":   {7, 4, 40, toOneOther},
		"77 boxes, hubs to others":    {77, 3, 10, hubsToOthers},
		"77 boxes, all to one hub":    {77, 3, 10, toOneHub},
		"77 boxes, all to one other":  {77, 3, 10, toOneOther},
		"300 boxes, hubs to others":   {300, 1, 3, hubsToOthers},
		"300 boxes, all to one hub":   {300, 1, 3, toOneHub},
		"300 boxes, all to one other": {300, 1, 3, toOneOther},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { tt.play(t) })
		})
	}
}

func (tt fetchHangTest) play(t *testing.T) {
	c := newCluster(t, tt.boxes, tt.halls, 20)
	ctx, end := c.context(t)
	defer end()
	c.startAll(ctx)
	c.waitAll(t, "serves", 5*time.Second, (*Edge).ready)
	time.Sleep(5 * time.Second)
	chosen := tt.hangs(c)
	c.mu.Lock()
	c.hangs = func(from, to, method string) bool { return method == peer.Configuration && chosen(from, to) }
	c.mu.Unlock()
	for n := range tt.changes {
		version := 10 + n
		c.table.put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"plain","max_conns":100}],"limits":{"max_body_bytes":4096},"tenants":[]}`, version))
		took := c.waitAll(t, "knows the version", changeBound, func(e *Edge) bool { return e.View().Version == version })
		t.Logf("version %d is known after %v", version, took)
		time.Sleep(time.Duration(n%7) * 130 * time.Millisecond)
	}
}
