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

// withSpeeds returns a strong box of a hall that does not run; it knows one engine.
func withSpeeds(t *testing.T, name string, on bool) *Edge {
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

// TestSpeedsTold shows that a hub is told how fast engines are, and tells it on, once a
// second; a box where the part is off neither tells nor asks, and takes no harm.
func TestSpeedsTold(t *testing.T) {
	tests := map[string]struct{ hub, box, asker bool }{
		"all have it":            {hub: true, box: true, asker: true},
		"the hub has it not":     {box: true, asker: true},
		"the asker has it not":   {hub: true, box: true},
		"who streams has it not": {hub: true, asker: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				hub, box, asker := withSpeeds(t, "hub", tt.hub), withSpeeds(t, "box", tt.box), withSpeeds(t, "asker", tt.asker)
				engine := fleet.Upstream{ID: "e1", Service: "llm"}
				stream := box.speeds.Stream(engine)
				for range 60 {
					time.Sleep(40 * time.Millisecond)
					stream.Event(time.Now(), false)
				}
				to := members.Box{Name: "hub", Hall: "leith", Address: "hub:1"}
				said := box.Say(to)
				is.Equal(said.WantsSpeeds, tt.box)
				is.Equal(box.Say(to).WantsSpeeds, false) // told just now
				time.Sleep(speedsInterval)
				is.Equal(box.Say(to).WantsSpeeds, tt.box)
				hub.Heard(said)
				asked := asker.Say(to)
				asked.Wants = wire.GossipScopeAll
				asker.Hear(hub.Heard(asked), time.Now())
				known := asker.speeds.Of(time.Now(), engine).Alone() > 0
				is.Equal(known, tt.hub && tt.box && tt.asker)
			})
		})
	}
}
