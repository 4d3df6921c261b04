package edge

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/configfetch"
	"petrelstep/gossip"
	"petrelstep/peer"
	"petrelstep/peer/roundtrip"
	"petrelstep/readpolicy"
	"petrelstep/tablesync"
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
			t.Parallel()
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

// TestFetchBound guards against constants with which a change takes longer than the pages allow, from
// the store's confirmation to the last box, as connections are silent or an announcing box pauses.
func TestFetchBound(t *testing.T) {
	const (
		smallBound  = changeBound     // sites of 6 and 7 boxes
		mediumBound = 3 * time.Second // sites of 58 to 195 boxes
		largeBound  = 5 * time.Second // the site of 985 boxes
	)
	tests := map[string]struct {
		hops    int // of gossip, from the box that reads
		regions bool
		bound   time.Duration
	}{
		"6 and 7 boxes":         {hops: 1, bound: smallBound},
		"77 boxes":              {hops: 1, bound: mediumBound},
		"77 boxes, two regions": {hops: 1, regions: true, bound: mediumBound},
		"300 boxes":             {hops: 2, bound: mediumBound},
		"985 boxes":             {hops: 2, bound: largeBound},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			call := assumedRoundTrip
			if tt.regions {
				call += regionRoundTrip
			}
			silent := roundtrip.Max + call // until a call is repeated on a new connection, and the time to open it
			hops := time.Duration(tt.hops)
			standby := readpolicy.StandbyAge + tablesync.IdleInterval + assumedListing + hops*(gossip.Period+call)
			for what, sum := range map[string]time.Duration{
				"between boxes all are silent, the store answers": call + hops*(gossip.Period+silent+call) + silent + call,
				"all connections are silent":                      standby + silent + call,
				"no reader is answered, an announcing box pauses": standby + configfetch.MaxDelay + call,
			} {
				t.Log(what, sum)
				is.True(sum <= tt.bound)
			}
		})
	}
}

// TestFetchesInCalm guards against more fetches than one a box and version where all boxes answer.
func TestFetchesInCalm(t *testing.T) {
	for name, boxes := range map[string]int{"7 boxes": 7, "77 boxes": 77} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const changes = 5
				c := newCluster(t, boxes, 4, 60)
				ctx, end := c.context(t)
				defer end()
				c.startAll(ctx)
				c.waitAll(t, "serves", 5*time.Second, (*Edge).ready)
				time.Sleep(5 * time.Second)
				c.mu.Lock()
				before := c.methods[peer.Configuration]
				c.mu.Unlock()
				for n := range changes {
					c.table.put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"plain","max_conns":100}],"limits":{"max_body_bytes":4096},"tenants":[]}`, 10+n))
					time.Sleep(time.Second)
				}
				c.mu.Lock()
				defer c.mu.Unlock()
				fetches := c.methods[peer.Configuration] - before
				t.Log(fetches, "fetches of", changes, "versions by", boxes-len(readerNames(c)), "boxes")
				is.New(t).True(fetches <= changes*(boxes-len(readerNames(c))))
			})
		})
	}
}
