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

// TestIncarnationsTold shows what counts of what a box is told of two upstreams, the
// first of which is known in incarnation 100.
func TestIncarnationsTold(t *testing.T) {
	type counts struct{ requests, failures int }
	tests := map[string]struct {
		born int // as it is told
		want counts
	}{
		"the known one": {100, counts{requests: 2, failures: 300}},
		"none is named": {0, counts{requests: 2, failures: 300}},
		"a newer one":   {200, counts{requests: 2, failures: 300}},
		"an older one":  {50, counts{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := alone(t, "hub", "leith", true)
				list := rows("open", 1)
				list[0].Born = 100
				e.HandleAnswer(wire.GossipAnswer{Sender: record("far", "gorgie", true), FleetAt: 1, Upstreams: list}, time.Now())
				e.IsHub() // as it looks all the while
				time.Sleep(2 * time.Second)
				e.Heard(wire.Gossip{
					Sender:   record("b1", "leith", false),
					Tallies:  []wire.UpstreamTally{{Upstream: "u1", Requests: 2, Born: tt.born}},
					Failures: []wire.UpstreamFailures{{Upstream: "u1", Failed: 300, All: 300, Born: tt.born}},
				})
				a := e.Heard(wire.Gossip{Sender: record("b2", "leith", false), Wants: wire.GossipScopeAll, WholeFleet: true})
				var got counts
				for _, l := range a.Tallies {
					got.requests += l.Requests
					is.Equal(l.Born, 100) // told on with the incarnation that this box knows
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

// TestRestartForgets holds that a hub which hears of a restart tells nothing more of
// what was told of the incarnation before.
func TestRestartForgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := alone(t, "hub", "leith", true)
		list := rows("open", 1)
		list[0].Born = 100
		far := record("far", "gorgie", true)
		e.HandleAnswer(wire.GossipAnswer{Sender: far, FleetAt: 1, Upstreams: list}, time.Now())
		e.IsHub() // as it looks all the while
		time.Sleep(2 * time.Second)
		e.Heard(wire.Gossip{
			Sender:   record("b1", "leith", false),
			Tallies:  []wire.UpstreamTally{{Upstream: "u1", Requests: 2, Born: 100}, {Upstream: "u2", Requests: 1}},
			Failures: []wire.UpstreamFailures{{Upstream: "u1", Failed: 300, All: 300, Born: 100}},
		})
		list[0].Born, list[0].State = 200, "open"
		e.HandleAnswer(wire.GossipAnswer{Sender: far, FleetAt: 2, Upstreams: list}, time.Now())
		a := e.Heard(wire.Gossip{Sender: record("b2", "leith", false), Wants: wire.GossipScopeAll})
		is.Equal(a.Tallies, []wire.UpstreamTally{{Upstream: "u2", Requests: 1}})
		is.Equal(len(a.Failures), 0)
	})
}

// TestRestartCuts holds that a stream ends at once when its upstream's entry says that
// it has started again, though its connection says nothing.
func TestRestartCuts(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	const endless = 1 << 20
	s.worker("e1", "llm", endless)
	s.bornAt("e1", "llm", 100)
	until(t, "a box is ready", s.boxes[0].isReady)
	until(t, "the incarnation is known", func() bool { return s.boxes[0].bornOf("e1") == 100 })
	req, err := http.NewRequest(http.MethodPost, "http://"+s.boxes[0].callers+"/stream/x", nil)
	is.NoErr(err)
	req.Host = "a.example"
	req.Header.Set("Request-Id", "r1")
	req.Header.Set("Api-Key", "key")
	resp, err := http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	s.bornAt("e1", "llm", 200)
	_, err = io.Copy(io.Discard, resp.Body) // it would go on for an hour
	is.True(err != nil)                     // and does not look complete
	is.Equal(s.boxes[0].bornOf("e1"), 200)
}

// bornAt puts a worker's row with its incarnation into the store.
func (s *site) bornAt(id, service string, born int64) {
	s.platform.Announce(platform.Worker{ID: id, Service: service, Address: strings.TrimPrefix(s.servers[id].URL, "http://"), Hall: "leith", Born: born})
}

// bornOf returns the incarnation of an upstream that a box tells others of.
func (b *box) bornOf(id string) int {
	for _, u := range b.Heard(wire.Gossip{Sender: record("asker", "leith", false), WholeFleet: true}).Upstreams {
		if u.ID == id {
			return u.Born
		}
	}
	return 0
}
