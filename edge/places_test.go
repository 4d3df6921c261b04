package edge_test

import (
	"io"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"petrelstep/config"
	"petrelstep/edge"
	"petrelstep/logs"
	"petrelstep/metrics"
	"petrelstep/wire"
)

// TestPlacesReported checks that hubs forward the demand for plain services if enabled.
func TestPlacesReported(t *testing.T) {
	demand := []wire.ServicePlaces{{Service: "plain", Asked: 1250}}
	tests := map[string]struct {
		balance []wire.EdgeBalanceElem
		wants   wire.GossipScope
		want    []wire.ServicePlaces
	}{
		"request of a box":      {[]wire.EdgeBalanceElem{wire.EdgeBalanceElemPlaces}, wire.GossipScopeAll, demand},
		"request of a hub":      {[]wire.EdgeBalanceElem{wire.EdgeBalanceElemPlaces}, wire.GossipScopeOwn, []wire.ServicePlaces{}},
		"disabled":              {nil, wire.GossipScopeAll, nil},
		"other feature enabled": {[]wire.EdgeBalanceElem{wire.EdgeBalanceElemShares}, wire.GossipScopeAll, nil},
		"none requested":        {[]wire.EdgeBalanceElem{wire.EdgeBalanceElemPlaces}, wire.GossipScopeNone, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				counts, err := metrics.New()
				is.NoErr(err)
				hub := edge.New(config.Config{Settings: wire.Settings{
					Box: "hub", Hall: "leith", Listen: wire.Listen{Peers: "hub:1"},
					Edge: &wire.Edge{KeyAgeMs: 5000, LeaveMs: 2000, RetryRatio: 0.2, RetrySlack: 50, MemoryMb: 512, Descriptors: 8192, Processors: 1, LinkMbit: 1000, Balance: tt.balance},
				}}, logs.New(io.Discard, "info", "hub"), counts)
				hub.HandleGossip(wire.Gossip{Sender: boxRecord("b1", "leith", false), Places: demand})
				a := hub.HandleGossip(wire.Gossip{Sender: boxRecord("b2", "leith", false), Wants: tt.wants})
				is.Equal(a.Places, tt.want)
			})
		})
	}
}
