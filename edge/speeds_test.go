package edge

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/config"
	"petrelstep/fleet"
	"petrelstep/logs"
	"petrelstep/members"
	"petrelstep/metrics"
	"petrelstep/wire"
)

// newSpeedsBox returns a hub-eligible box that isn't running and knows one engine.
func newSpeedsBox(t *testing.T, name string, on bool) *Edge {
	t.Helper()
	counts, err := metrics.New()
	is.New(t).NoErr(err)
	s := &wire.Edge{KeyAgeMs: 5000, LeaveMs: 2000, RetryRatio: 0.2, RetrySlack: 50, MemoryMb: 512, Descriptors: 8192, Processors: 1, LinkMbit: 1000}
	if on {
		s.Balance = []wire.EdgeBalanceElem{wire.EdgeBalanceElemSpeeds}
	}
	e := New(config.Config{Settings: wire.Settings{Box: name, Hall: "leith", Listen: wire.Listen{Peers: name + ":1"}, Edge: s}}, logs.New(io.Discard, "info", name), counts)
	e.fleet.Put(time.Now(), fleet.Upstream{ID: "e1", Service: "llm", State: fleet.Open})
	return e
}

// TestSpeedsExchanged checks that engine speeds are reported to a hub and forwarded
// once a second, and that boxes with the feature disabled do neither.
func TestSpeedsExchanged(t *testing.T) {
	tests := map[string]struct{ hub, box, caller bool }{
		"all enabled":                   {hub: true, box: true, caller: true},
		"disabled at the hub":           {box: true, caller: true},
		"disabled at the caller":        {hub: true, box: true},
		"disabled at the streaming box": {hub: true, caller: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				hub, box, caller := newSpeedsBox(t, "hub", tt.hub), newSpeedsBox(t, "box", tt.box), newSpeedsBox(t, "asker", tt.caller)
				engine := fleet.Upstream{ID: "e1", Service: "llm"}
				stream := box.speeds.Stream(engine)
				for range 60 {
					time.Sleep(40 * time.Millisecond)
					stream.Event(time.Now(), false)
				}
				to := members.Box{Name: "hub", Hall: "leith", Address: "hub:1"}
				report := box.ReportFor(to)
				is.Equal(report.WantsSpeeds, tt.box)
				is.Equal(box.ReportFor(to).WantsSpeeds, false) // sent just now
				time.Sleep(speedsInterval)
				is.Equal(box.ReportFor(to).WantsSpeeds, tt.box)
				hub.HandleGossip(report)
				request := caller.ReportFor(to)
				request.Wants = wire.GossipScopeAll
				caller.HandleAnswer(hub.HandleGossip(request), time.Now())
				known := caller.speeds.Of(time.Now(), engine).Alone() > 0
				is.Equal(known, tt.hub && tt.box && tt.caller)
			})
		})
	}
}
