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

// evacuation is the operator's row for leith.
var evacuation = store.Row{Table: "op", Key: "evacuate/leith", Value: []byte("{}")}

// newHalls is a site of two boxes, with an engine and a plain upstream each in two
// halls; streams of leith's engine have so many events.
func newHalls(t *testing.T, events int) *site {
	s := newSite(t, 2)
	s.worker("e1", "llm", events)
	s.worker("p1", "plain", 0)
	s.worker("e2", "llm", 10)
	s.worker("p2", "plain", 0)
	s.sayIn("gorgie", "e2", "llm", "ready")
	s.sayIn("gorgie", "p2", "plain", "ready")
	for _, b := range s.boxes {
		until(t, "a box serves", func() bool {
			status, _ := b.ask(t, "GET", "/look/a", "warm", "key")
			return status == 200 && b.View().Upstreams == 4
		})
	}
	return s
}

// closed tells whether a box knows that leith is evacuated.
func (b *box) closed() bool {
	v := b.View()
	return v.Upstreams == 2 && len(v.Halls) == 1 && v.Halls[0].Evacuated
}

// askElsewhere shows that a box serves, and from gorgie.
func (b *box) askElsewhere(t *testing.T, id string) {
	is := is.New(t)
	status, body := b.ask(t, "GET", "/look/a", id, "key")
	is.Equal(status, 200)
	is.True(strings.HasSuffix(body, " by p2"))
	status, _ = b.ask(t, "POST", "/stream/x", id, "key")
	is.Equal(status, 200)
}

// TestEvacuated evacuates a hall: no box sends anything new there, though the store
// forgets its history, nor does one that starts then; what runs there ends there.
// It is used again once that is taken back.
func TestEvacuated(t *testing.T) {
	is := is.New(t)
	const events = 300
	s := newHalls(t, events)
	var body string
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, body = s.boxes[0].ask(t, "POST", "/stream/x", "d", "key")
	}()
	until(t, "a draft runs in the hall", func() bool { return len(s.workers["e1"].Runs()) > 0 })
	s.platform.Put(evacuation)
	for _, b := range s.boxes {
		until(t, "a box knows", b.closed)
	}
	drafts := len(s.workers["e1"].Runs())
	s.platform.Forget()
	s.boxes = append(s.boxes, s.startBox("late"))
	until(t, "a box that starts then is ready", s.boxes[2].isReady)
	is.True(s.boxes[2].closed())
	for i, b := range s.boxes {
		for n := range 5 {
			b.askElsewhere(t, fmt.Sprint("r", i, n))
		}
	}
	<-ended
	is.Equal(body, wholeStream("d", events))
	is.Equal(len(s.workers["e1"].Runs()), drafts)
	s.platform.Remove(evacuation)
	for _, b := range s.boxes {
		until(t, "it is used again", func() bool { return b.View().Upstreams == 4 })
	}
}

// TestEvacuatedInOutage lets the store go down once a hall is evacuated: the boxes
// keep to it until the store is back and says otherwise.
func TestEvacuatedInOutage(t *testing.T) {
	s := newHalls(t, 10)
	s.platform.Put(evacuation)
	for _, b := range s.boxes {
		until(t, "a box knows", b.closed)
	}
	s.platform.Fault(wire.Fault{Part: platform.Table, Mode: wire.FaultModeDown})
	for _, b := range s.boxes {
		until(t, "the store is lost", func() bool { return b.View().StoreSilentMs > 2000 })
		is.New(t).True(b.closed())
	}
	s.platform.Remove(evacuation)
	s.platform.Fault(wire.Fault{Part: platform.Table, Mode: wire.FaultModeNone})
	for _, b := range s.boxes {
		until(t, "it is used again", func() bool { return b.View().Upstreams == 4 })
	}
}

// TestHallsHeard shows what a box takes of hubs' words on halls: the newest,
// whichever hub tells it.
func TestHallsHeard(t *testing.T) {
	word := func(evacuated bool, version int) []wire.HallWord {
		return []wire.HallWord{{Hall: "leith", Evacuated: evacuated, Version: version}}
	}
	tests := map[string]struct {
		words [][]wire.HallWord // of two hubs by turns
		takes int               // upstreams that take new work
	}{
		"no word":                   {nil, 2},
		"evacuated":                 {[][]wire.HallWord{word(true, 5)}, 0},
		"a hub that knows less":     {[][]wire.HallWord{word(true, 5), nil}, 0},
		"a hub that lags":           {[][]wire.HallWord{word(true, 5), word(false, 3)}, 0},
		"taken back":                {[][]wire.HallWord{word(true, 5), word(false, 6)}, 2},
		"one that has not heard it": {[][]wire.HallWord{word(true, 5), word(false, 6), word(true, 5)}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := alone(t, "b1", "leith", false)
			hubs := []wire.BoxRecord{record("near", "leith", true), record("far", "gorgie", true)}
			e.HandleAnswer(wire.GossipAnswer{Sender: hubs[0], FleetAt: 1, Upstreams: rows("open", 1)}, time.Now())
			for i, words := range tt.words {
				e.HandleAnswer(wire.GossipAnswer{Sender: hubs[i%2], FleetAt: 1, Halls: words}, time.Now())
			}
			is.Equal(e.View().Upstreams, tt.takes)
		})
	}
}
