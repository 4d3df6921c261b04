package edge_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/platform/store"
	"petrelstep/standin/platform"
	"petrelstep/wire"
)

// evacuation is the operator's row that evacuates hall leith.
var evacuation = store.Row{Table: "op", Key: "evacuate/leith", Value: []byte("{}")}

// newHallSite returns a site of two boxes, with an engine and a plain upstream in each
// of two halls; streams of leith's engine have the given number of events.
func newHallSite(t *testing.T, events int) *site {
	s := newSite(t, 2)
	s.worker("e1", "llm", events)
	s.worker("p1", "plain", 0)
	s.worker("e2", "llm", 10)
	s.worker("p2", "plain", 0)
	s.putRowIn("gorgie", "e2", "llm", "ready")
	s.putRowIn("gorgie", "p2", "plain", "ready")
	for _, b := range s.boxes {
		waitFor(t, "a box serves", func() bool {
			status, _ := b.send(t, "GET", "/look/a", "warm", "key")
			return status == 200 && b.View().Upstreams == 4
		})
	}
	return s
}

// knowsEvacuation reports whether a box knows that leith is evacuated.
func (b *box) knowsEvacuation() bool {
	v := b.View()
	return v.Upstreams == 2 && len(v.Halls) == 1 && v.Halls[0].Evacuated
}

// checkServedElsewhere checks that a box serves requests from gorgie.
func (b *box) checkServedElsewhere(t *testing.T, id string) {
	is := is.New(t)
	status, body := b.send(t, "GET", "/look/a", id, "key")
	is.Equal(status, 200)
	is.True(strings.HasSuffix(body, " by p2"))
	status, _ = b.send(t, "POST", "/stream/x", id, "key")
	is.Equal(status, 200)
}

// TestHallEvacuated evacuates a hall: no box may send new requests there, even after
// the store loses its history or if the box starts later; running streams complete. The
// hall is used again once the evacuation is lifted.
func TestHallEvacuated(t *testing.T) {
	is := is.New(t)
	const events = 300
	s := newHallSite(t, events)
	var body string
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, body = s.boxes[0].send(t, "POST", "/stream/x", "d", "key")
	}()
	waitFor(t, "a draft runs in the hall", func() bool { return len(s.workers["e1"].Runs()) > 0 })
	s.platform.Put(evacuation)
	for _, b := range s.boxes {
		waitFor(t, "a box knows the evacuation", b.knowsEvacuation)
	}
	drafts := len(s.workers["e1"].Runs())
	s.platform.Forget()
	s.boxes = append(s.boxes, s.startBox("late"))
	waitFor(t, "a box started later is ready", s.boxes[2].isReady)
	is.True(s.boxes[2].knowsEvacuation())
	for i, b := range s.boxes {
		for n := range 5 {
			b.checkServedElsewhere(t, fmt.Sprint("r", i, n))
		}
	}
	<-ended
	is.Equal(body, fullStream("d", events))
	is.Equal(len(s.workers["e1"].Runs()), drafts)
	s.platform.Remove(evacuation)
	for _, b := range s.boxes {
		waitFor(t, "the hall is used again", func() bool { return b.View().Upstreams == 4 })
	}
}

// TestEvacuationOutlastsOutage stops the store after an evacuation: the boxes must keep
// to it until the store is back and has lifted it.
func TestEvacuationOutlastsOutage(t *testing.T) {
	s := newHallSite(t, 10)
	s.platform.Put(evacuation)
	for _, b := range s.boxes {
		waitFor(t, "a box knows the evacuation", b.knowsEvacuation)
	}
	s.platform.Fault(wire.Fault{Part: platform.Table, Mode: wire.FaultModeDown})
	for _, b := range s.boxes {
		waitFor(t, "the store is lost", func() bool { return b.View().StoreSilentMs > 2000 })
		is.New(t).True(b.knowsEvacuation())
	}
	s.platform.Remove(evacuation)
	s.platform.Fault(wire.Fault{Part: platform.Table, Mode: wire.FaultModeNone})
	for _, b := range s.boxes {
		waitFor(t, "the hall is used again", func() bool { return b.View().Upstreams == 4 })
	}
}

// TestHallReports checks that the newest report on a hall counts, whichever hub sends
// it.
func TestHallReports(t *testing.T) {
	report := func(evacuated bool, version int) []wire.HallWord {
		return []wire.HallWord{{Hall: "leith", Evacuated: evacuated, Version: version}}
	}
	tests := map[string]struct {
		reports   [][]wire.HallWord // alternating between two hubs
		accepting int               // upstreams that accept new requests
	}{
		"no report":                   {nil, 2},
		"evacuated":                   {[][]wire.HallWord{report(true, 5)}, 0},
		"hub without a report":        {[][]wire.HallWord{report(true, 5), nil}, 0},
		"hub with an older report":    {[][]wire.HallWord{report(true, 5), report(false, 3)}, 0},
		"lifted":                      {[][]wire.HallWord{report(true, 5), report(false, 6)}, 2},
		"hub that missed the lifting": {[][]wire.HallWord{report(true, 5), report(false, 6), report(true, 5)}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newBox(t, "b1", "leith", false)
			hubs := []wire.BoxRecord{boxRecord("near", "leith", true), boxRecord("far", "gorgie", true)}
			e.HandleAnswer(wire.GossipAnswer{Sender: hubs[0], FleetAt: 1, Upstreams: upstreamRecords("open", 1)}, time.Now())
			for i, reports := range tt.reports {
				e.HandleAnswer(wire.GossipAnswer{Sender: hubs[i%2], FleetAt: 1, Halls: reports}, time.Now())
			}
			is.Equal(e.View().Upstreams, tt.accepting)
		})
	}
}
