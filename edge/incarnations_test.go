package edge_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/standin/platform"
	"petrelstep/wire"
)

// TestIncarnationsReported checks which reports on an upstream count whose known
// incarnation started at 100.
func TestIncarnationsReported(t *testing.T) {
	type counts struct{ requests, failures int }
	tests := map[string]struct {
		born int // start time in the report
		want counts
	}{
		"known incarnation": {100, counts{requests: 2, failures: 300}},
		"no start time":     {0, counts{requests: 2, failures: 300}},
		"newer incarnation": {200, counts{requests: 2, failures: 300}},
		"older incarnation": {50, counts{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := newBox(t, "hub", "leith", true)
				list := upstreamRecords("open", 1)
				list[0].Born = 100
				e.HandleAnswer(wire.GossipAnswer{Sender: boxRecord("far", "gorgie", true), FleetAt: 1, Upstreams: list}, time.Now())
				e.IsHub() // a running box checks this continually
				time.Sleep(2 * time.Second)
				e.HandleGossip(wire.Gossip{
					Sender:   boxRecord("b1", "leith", false),
					Tallies:  []wire.UpstreamTally{{Upstream: "u1", Requests: 2, Born: tt.born}},
					Failures: []wire.UpstreamFailures{{Upstream: "u1", Failed: 300, All: 300, Born: tt.born}},
				})
				a := e.HandleGossip(wire.Gossip{Sender: boxRecord("b2", "leith", false), Wants: wire.GossipScopeAll, WholeFleet: true})
				var got counts
				for _, l := range a.Tallies {
					got.requests += l.Requests
					is.Equal(l.Born, 100) // forwarded with the known start time
				}
				for _, f := range a.Failures {
					got.failures += f.Failed
				}
				is.Equal(got, tt.want)
				is.Equal(a.Upstreams[0].Born, 100)
			})
		})
	}
}

// TestRestartDropsReports checks that a hub drops the reports on an upstream's previous
// incarnation when it learns of a restart.
func TestRestartDropsReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newBox(t, "hub", "leith", true)
		list := upstreamRecords("open", 1)
		list[0].Born = 100
		far := boxRecord("far", "gorgie", true)
		e.HandleAnswer(wire.GossipAnswer{Sender: far, FleetAt: 1, Upstreams: list}, time.Now())
		e.IsHub() // a running box checks this continually
		time.Sleep(2 * time.Second)
		e.HandleGossip(wire.Gossip{
			Sender:   boxRecord("b1", "leith", false),
			Tallies:  []wire.UpstreamTally{{Upstream: "u1", Requests: 2, Born: 100}, {Upstream: "u2", Requests: 1}},
			Failures: []wire.UpstreamFailures{{Upstream: "u1", Failed: 300, All: 300, Born: 100}},
		})
		list[0].Born, list[0].State = 200, "open"
		e.HandleAnswer(wire.GossipAnswer{Sender: far, FleetAt: 2, Upstreams: list}, time.Now())
		a := e.HandleGossip(wire.Gossip{Sender: boxRecord("b2", "leith", false), Wants: wire.GossipScopeAll})
		is.Equal(a.Tallies, []wire.UpstreamTally{{Upstream: "u2", Requests: 1}})
		is.Equal(len(a.Failures), 0)
	})
}

// TestRestartAbortsStream checks that a stream is aborted when its upstream's entry
// shows a restart, although its connection stays open.
func TestRestartAbortsStream(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	const endless = 1 << 20
	s.worker("e1", "llm", endless)
	s.announceStart("e1", "llm", 100)
	waitFor(t, "a box is ready", s.boxes[0].isReady)
	waitFor(t, "the incarnation is known", func() bool { return s.boxes[0].startTimeOf("e1") == 100 })
	req, err := http.NewRequest(http.MethodPost, "http://"+s.boxes[0].callers+"/stream/x", nil)
	is.NoErr(err)
	req.Host = "a.example"
	req.Header.Set("Request-Id", "r1")
	req.Header.Set("Api-Key", "key")
	resp, err := http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	s.announceStart("e1", "llm", 200)
	_, err = io.Copy(io.Discard, resp.Body) // would otherwise run for an hour
	is.True(err != nil)                     // and must not look complete
	is.Equal(s.boxes[0].startTimeOf("e1"), 200)
}

// announceStart stores a worker's row with its start time.
func (s *site) announceStart(id, service string, born int64) {
	s.platform.Announce(platform.Worker{ID: id, Service: service, Address: strings.TrimPrefix(s.servers[id].URL, "http://"), Hall: "leith", StartedAt: born})
}

// startTimeOf returns the start time that a box reports for an upstream.
func (b *box) startTimeOf(id string) int {
	for _, u := range b.HandleGossip(wire.Gossip{Sender: boxRecord("asker", "leith", false), WholeFleet: true}).Upstreams {
		if u.ID == id {
			return u.Born
		}
	}
	return 0
}
