package edge

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/admission"
	"petrelstep/configfetch"
	"petrelstep/distance"
	"petrelstep/evacuate"
	"petrelstep/fleet"
	"petrelstep/members"
	"petrelstep/moveturns"
	"petrelstep/peer/roundtrip"
	"petrelstep/upstreamload"
	"petrelstep/wire"
)

// threeRegions has two halls in each region.
func threeRegions() map[string]string {
	return map[string]string{"hall0": "west", "hall1": "centre", "hall2": "east", "hall3": "west", "hall4": "centre", "hall5": "east"}
}

const regionalConfiguration = `{"version":3,"routes":[],
"services":[{"name":"llm","max_conns":100,"engine":{"slots":24,"kv_capacity_tokens":30000,"stride":4,"moves":true}}],
"limits":{"max_body_bytes":4096},"tenants":[]}`

// newRegions starts boxes and engines in six halls of three regions, and waits until they
// serve.
func newRegions(ctx context.Context, t testing.TB, boxes, engines int, farDelay time.Duration) *cluster {
	t.Helper()
	c := newClusterIn(t, threeRegions(), boxes, 6, 0)
	c.farDelay = farDelay
	c.table.put("op", "config", regionalConfiguration)
	for i := range engines {
		c.table.put("servers", fmt.Sprint("e", i), fmt.Sprintf(`{"service":"llm","address":"10.1.0.%d:1","zone":"hall%d","slots":24,"state":"ready"}`, i, i%6))
	}
	c.startAll(ctx)
	c.waitAll(t, "serves", 5*time.Second, (*Edge).ready)
	time.Sleep(3 * time.Second)
	return c
}

// farFrom returns a box that is in another region than an owner and not a hub, and the
// owner's box.
func (c *cluster) farFrom(owner members.Box) (far, at *Edge) {
	for _, e := range c.all {
		switch {
		case e.Name() == owner.Name:
			at = e
		case e.regions.Between(e.config.Hall, owner.Hall) == distance.Elsewhere && !e.IsHub():
			far = e
		}
	}
	return far, at
}

// expectAllReachable fails if a call between two boxes was not answered.
func (c *cluster) expectAllReachable(t testing.TB) {
	t.Helper()
	for _, e := range c.all {
		e.mu.Lock()
		if len(e.unanswered) > 0 {
			t.Errorf("%s: calls not answered by %v", e.Name(), e.unanswered)
		}
		e.mu.Unlock()
	}
}

// acrossRegions runs a test for some times that a message travels between regions.
func acrossRegions(t *testing.T, test func(t *testing.T, farDelay time.Duration)) {
	for name, farDelay := range map[string]time.Duration{"60 ms round trip": 30 * time.Millisecond, "140 ms round trip": 70 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, farDelay) })
		})
	}
}

// TestTurnAcrossRegions takes a turn whose owner is in another region and holds the call
// for its whole time: the call must not be cut off, as the run would move while another
// uses the link.
func TestTurnAcrossRegions(t *testing.T) {
	const held = 700 * time.Millisecond
	acrossRegions(t, func(t *testing.T, farDelay time.Duration) {
		is := is.New(t)
		ctx, end := context.WithCancel(t.Context())
		c := newRegions(ctx, t, 18, 6, farDelay)
		owner, ok := c.all[0].turnsOwner(time.Now(), fleet.Upstream{ID: "e0", Service: "llm", Hall: "hall0"})
		is.True(ok)
		e, at := c.farFrom(owner)
		e.config.Edge.Moves = wire.EdgeMovesTurns
		_, ok = at.turns.Take(ctx, moveturns.Request{Box: "other", Source: "e0", Targets: []string{"e3"}})
		is.True(ok)
		time.AfterFunc(held, func() { at.turns.Release("e0", "other") })
		asked := time.Now()
		target, release := e.Take(ctx, evacuate.TurnRequest{Source: fleet.Upstream{ID: "e0", Service: "llm", Hall: "hall0"}, Targets: []string{"e1", "e2"}})
		is.Equal(target, "e1")
		is.True(time.Since(asked) >= held)
		waiting, cancel := context.WithTimeout(ctx, time.Millisecond)
		_, free := at.turns.Take(waiting, moveturns.Request{Box: "other", Source: "e0", Targets: []string{"e4"}})
		cancel()
		is.True(!free) // the far box holds the turn
		release()
		time.Sleep(2*farDelay + 100*time.Millisecond)
		_, free = at.turns.Take(ctx, moveturns.Request{Box: "other", Source: "e0", Targets: []string{"e4"}})
		is.True(free)
		c.expectAllReachable(t)
		end()
		time.Sleep(2 * configfetch.Timeout)
		synctest.Wait()
	})
}

// TestTurnsOwner checks that all boxes agree on an owner of turns in the region of the
// upstream that leaves, or else on one that can be reached.
func TestTurnsOwner(t *testing.T) {
	tests := map[string]struct {
		regions map[string]string
		lost    bool // all boxes of the upstream's region
		near    bool // the owner is in the upstream's region
	}{
		"owner in the region": {regions: threeRegions(), near: true},
		"the region's lost":   {regions: threeRegions(), lost: true},
		"one region":          {},
	}
	for name, tt := range tests {
		for i := range 6 {
			u := fleet.Upstream{ID: "e", Service: "llm", Hall: fmt.Sprint("hall", i)}
			t.Run(fmt.Sprint(name, ", ", u.Hall), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					c := newClusterIn(t, tt.regions, 18, 6, 0)
					owner := c.agreedTurnsOwner(t, u, tt.lost)
					is.True(!tt.near || distance.New(tt.regions).Between(u.Hall, owner.Hall) != distance.Elsewhere)
					if tt.regions == nil {
						first, _ := c.all[0].members.Owner(time.Now(), "turns/llm")
						is.Equal(owner.Name, first.Name)
					}
				})
			})
		}
	}
}

// agreedTurnsOwner returns the owner of an upstream's turns on which all boxes agree after
// they have heard of each other, or, with lost, all but those of the upstream's region.
func (c *cluster) agreedTurnsOwner(t *testing.T, u fleet.Upstream, lost bool) (owner members.Box) {
	t.Helper()
	is := is.New(t)
	running := slices.DeleteFunc(slices.Clone(c.all), func(e *Edge) bool {
		return lost && e.regions.Between(u.Hall, e.config.Hall) != distance.Elsewhere
	})
	owners := map[string]bool{}
	for _, e := range running {
		for _, other := range running {
			e.recordBox(time.Now(), other.record, false)
		}
		at, ok := e.turnsOwner(time.Now(), u)
		is.True(ok)
		owner = at
		owners[at.Name] = true
	}
	is.Equal(len(owners), 1)
	return owner
}

// TestAdmissionAcrossRegions waits for capacity at an owner in another region, with all
// engines full for longer than a call is held: the request must stay in the owner's queue.
func TestAdmissionAcrossRegions(t *testing.T) {
	const full = 1100 * time.Millisecond
	acrossRegions(t, func(t *testing.T, farDelay time.Duration) {
		is := is.New(t)
		ctx, end := context.WithCancel(t.Context())
		c := newRegions(ctx, t, 18, 6, farDelay)
		e, at := c.farFrom(members.Box{Name: c.all[0].QueueOwner("llm"), Hall: c.hallOf(c.all[0].QueueOwner("llm"))})
		for i := range 6 {
			load := at.loads.Begin(fmt.Sprint("e", i), upstreamload.Load{Requests: 1, Tokens: 29900})
			time.AfterFunc(full, load.End)
		}
		time.Sleep(100 * time.Millisecond)
		asked := time.Now()
		service, _ := e.service("llm")
		g, err := e.Admit(ctx, admission.Request{
			ID: "r1", Service: service, Prompt: 3000, Answer: 100, Arrived: asked, Deadline: 30 * time.Second,
		})
		is.NoErr(err)
		took := time.Since(asked)
		t.Log("admitted after", took)
		is.True(took >= full-100*time.Millisecond)
		is.True(took <= full+200*time.Millisecond)
		is.True(at.loads.Load(time.Now(), g.Upstream.ID).Tokens >= 3000) // reserved by the owner
		c.expectAllReachable(t)
		end()
		time.Sleep(2 * configfetch.Timeout)
		synctest.Wait()
	})
}

// hallOf returns the hall of a box.
func (c *cluster) hallOf(box string) string {
	at := slices.IndexFunc(c.all, func(e *Edge) bool { return e.Name() == box })
	return c.all[at].config.Hall
}

// TestRoundTrip checks which time a call may take besides its hold.
func TestRoundTrip(t *testing.T) {
	const bound = 50 * time.Millisecond
	tests := map[string]struct {
		regions map[string]string
		hall    string
		samples []time.Duration // of calls to the box
		want    time.Duration
	}{
		"one region":                      {hall: "hall1", samples: []time.Duration{200 * time.Millisecond}, want: bound},
		"own region, near":                {regions: threeRegions(), hall: "hall3", samples: []time.Duration{time.Millisecond}, want: bound},
		"own region, slow box":            {regions: threeRegions(), hall: "hall3", samples: []time.Duration{40 * time.Millisecond}, want: 120 * time.Millisecond},
		"own region, not called yet":      {regions: threeRegions(), hall: "hall3", want: bound},
		"another region":                  {regions: threeRegions(), hall: "hall1", samples: []time.Duration{60 * time.Millisecond}, want: 180 * time.Millisecond},
		"another region, not called yet":  {regions: threeRegions(), hall: "hall1", want: roundtrip.Max},
		"another region, does not answer": {regions: threeRegions(), hall: "hall1", samples: []time.Duration{5 * time.Second}, want: roundtrip.Max},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newClusterIn(t, tt.regions, 1, 1, 0).all[0]
				for _, d := range tt.samples {
					e.peers.(clusterClient).roundTrips.Record(time.Now(), "other:1", d)
				}
				is.New(t).Equal(e.roundTrip(members.Box{Name: "other", Hall: tt.hall, Address: "other:1"}, bound), tt.want)
			})
		})
	}
}

// TestRegionSilent checks when a box takes another region for silent: when no box of it
// is heard from, directly or by the hubs, but was earlier.
func TestRegionSilent(t *testing.T) {
	heard := func(e *Edge, hall string, ago time.Duration) {
		e.HandleAnswer(wire.GossipAnswer{
			Sender: wire.BoxRecord{Box: "hub", Hall: "hall3", Address: "hub:1"}, Hubs: []wire.BoxRecord{{Box: "far", Hall: hall, Address: "far:1"}},
			Heard: []wire.BoxHeard{{Box: "far", AgoMs: int(ago.Milliseconds())}},
		}, time.Now())
	}
	tests := map[string]struct {
		regions map[string]string
		seen    func(e *Edge)
		hall    string
		want    bool
	}{
		"never heard from":    {threeRegions(), func(*Edge) {}, "hall1", false},
		"heard from just now": {threeRegions(), func(e *Edge) { e.recordBox(time.Now(), wire.BoxRecord{Box: "far", Hall: "hall4"}, false) }, "hall1", false},
		"heard from earlier": {threeRegions(), func(e *Edge) {
			e.recordBox(time.Now(), wire.BoxRecord{Box: "far", Hall: "hall4"}, false)
			time.Sleep(2 * regionSilence)
		}, "hall1", true},
		"heard from by a hub":   {threeRegions(), func(e *Edge) { heard(e, "hall4", 100*time.Millisecond) }, "hall1", false},
		"lost by the hub":       {threeRegions(), func(e *Edge) { heard(e, "hall4", 2*regionSilence) }, "hall1", true},
		"own region":            {threeRegions(), func(e *Edge) { heard(e, "hall3", 2*regionSilence) }, "hall3", false},
		"one region":            {nil, func(e *Edge) { heard(e, "hall4", 2*regionSilence) }, "hall1", false},
		"another is heard from": {threeRegions(), func(e *Edge) { heard(e, "hall4", 2*regionSilence); heard(e, "hall2", 0) }, "hall5", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newClusterIn(t, tt.regions, 1, 1, 0).all[0]
				time.Sleep(time.Minute)
				tt.seen(e)
				is.New(t).Equal(e.isSilent(tt.hall), tt.want)
			})
		})
	}
}
