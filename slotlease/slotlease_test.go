package slotlease_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/slotlease"
)

const hold = time.Second

// event is something that happens to the leases of one upstream.
type event struct {
	after   time.Duration // since the event before
	box     string
	request string
	urgency int
	wait    time.Duration
	returns bool
}

// leaseTest is a course of events.
type leaseTest struct {
	running int // requests without a lease
	slots   int
	events  []event
	granted []string // requests, in the order in which they got a slot
}

// TestLeases checks that no more slots are leased than there are, and who gets one.
func TestLeases(t *testing.T) {
	tests := map[string]leaseTest{
		"one after the other":          {0, 1, []event{{box: "b0", request: "r1"}, {box: "b1", request: "r2"}, {box: "b0", request: "r1", returns: true}, {box: "b1", request: "r3"}}, []string{"r1", "r3"}},
		"as many as slots":             {0, 2, []event{{box: "b0", request: "r1"}, {box: "b0", request: "r2"}, {box: "b0", request: "r3"}}, []string{"r1", "r2"}},
		"asked twice, answer lost":     {0, 1, []event{{box: "b0", request: "r1"}, {box: "b0", request: "r1"}}, []string{"r1", "r1"}},
		"same request at two boxes":    {0, 1, []event{{box: "b0", request: "r1"}, {box: "b1", request: "r1"}}, []string{"r1"}},
		"the box is gone":              {0, 1, []event{{box: "b0", request: "r1"}, {after: hold, box: "b1", request: "r2"}}, []string{"r1", "r2"}},
		"returned by another box":      {0, 1, []event{{box: "b0", request: "r1"}, {box: "b1", request: "r1", returns: true}, {box: "b1", request: "r2"}}, []string{"r1"}},
		"returned twice":               {0, 1, []event{{box: "b0", request: "r1"}, {box: "b0", request: "r1", returns: true}, {box: "b1", request: "r2"}, {box: "b0", request: "r1", returns: true}, {box: "b0", request: "r3"}}, []string{"r1", "r2"}},
		"waits":                        {0, 1, []event{{box: "b0", request: "r1"}, {box: "b1", request: "r2", wait: hold / 2}, {after: hold / 4, box: "b0", request: "r1", returns: true}}, []string{"r1", "r2"}},
		"waits in vain":                {0, 1, []event{{box: "b0", request: "r1"}, {box: "b1", request: "r2", wait: hold / 4}, {after: hold / 2, box: "b0", request: "r1", returns: true}}, []string{"r1"}},
		"the most urgent first":        {0, 1, []event{{box: "b0", request: "r1"}, {box: "b1", request: "r2", urgency: 5, wait: hold / 2}, {box: "b1", request: "r3", urgency: 1, wait: hold / 2}, {box: "b1", request: "r4", urgency: 5, wait: hold / 2}, {after: hold / 8, box: "b0", request: "r1", returns: true}, {after: hold / 8, box: "b1", request: "r3", returns: true}}, []string{"r1", "r3", "r2"}},
		"not past one that waits":      {0, 1, []event{{box: "b0", request: "r1"}, {box: "b1", request: "r2", wait: hold / 2}, {box: "b0", request: "r1", returns: true}, {box: "b0", request: "r3"}}, []string{"r1", "r2"}},
		"too many wait":                {0, 1, []event{{box: "b0", request: "r1"}, {box: "b1", request: "r2", wait: hold}, {box: "b1", request: "r3", wait: hold}, {box: "b1", request: "r4", wait: hold}, {box: "b1", request: "r5", wait: hold}, {box: "b1", request: "r6", wait: hold}, {box: "b0", request: "r1", returns: true}, {box: "b1", request: "r2", returns: true}, {box: "b1", request: "r3", returns: true}, {box: "b1", request: "r4", returns: true}, {box: "b1", request: "r5", returns: true}}, []string{"r1", "r2", "r3", "r4", "r5"}},
		"sent before, without a lease": {1, 2, []event{{box: "b0", request: "r1"}, {box: "b0", request: "r2"}, {box: "b0", request: "r3", wait: hold}, {after: hold / 2, box: "b0", request: "r1", returns: true}}, []string{"r1", "r3"}},
		"no slots":                     {0, 0, []event{{box: "b0", request: "r1"}}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { synctest.Test(t, tt.play) })
	}
}

func (tt leaseTest) play(t *testing.T) {
	is := is.New(t)
	l := slotlease.New()
	var granted []string
	for _, e := range tt.events {
		time.Sleep(e.after)
		if e.returns {
			l.Return(time.Now(), "u", e.box, e.request, 0)
			synctest.Wait()
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), e.wait)
			defer cancel()
			if l.Take(ctx, slotlease.Request{Upstream: "u", Box: e.box, ID: e.request, Urgency: e.urgency, Slots: tt.slots, Hold: hold, Running: tt.running}) {
				granted = append(granted, e.request)
			}
		}()
		synctest.Wait()
		is.True(l.Leased(time.Now(), "u") <= tt.slots)
	}
	time.Sleep(2 * hold)
	synctest.Wait()
	is.Equal(granted, tt.granted)
	l.Tick(time.Now(), func(string) bool { return false })
	is.Equal(l.Leased(time.Now(), "u"), 0)
}
