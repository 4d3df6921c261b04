package relay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/fleet"
)

// TestLeavingRecorded checks from which answers the fleet learns that an upstream is
// leaving.
func TestLeavingRecorded(t *testing.T) {
	tests := map[string]struct {
		path    string
		reply   reply
		leaving int // upstreams known to be leaving
	}{
		"a whole answer":           {"/once/", reply{body: "1", leaving: true}, 1},
		"an internal error":        {"/once/", reply{status: 500, body: "1", leaving: true}, 1},
		"rejected":                 {"/once/", reply{status: 503, notRun: true, leaving: true}, 1},
		"a stream":                 {"/draft/", reply{events: []int{0, 1}, leaving: true}, 1},
		"a broken stream":          {"/draft/", reply{events: []int{0}, cutAfter: errReset, leaving: true}, 1},
		"an answer without a seal": {"/once/", reply{body: "1", unsealed: true, leaving: true}, 1},
		"another upstream answers": {"/once/", reply{status: 421, notRun: true, leaving: true}, 0},
		"not announced":            {"/once/", reply{body: "1"}, 0},
		"two upstreams tried":      {"/safe/", reply{status: 500, leaving: true}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, tt.reply)
				w.serve(t.Context(), tt.path)
				leaving := 0
				for _, service := range []string{"plain", "llm"} {
					leaving += 4 - len(w.fleet.Serving(service))
				}
				is.New(t).Equal(leaving, tt.leaving)
			})
		})
	}
}

// TestLeavingNotified guards against subscribers of the fleet learning only at the end of
// a stream that its upstream is leaving.
func TestLeavingNotified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, reply{events: []int{0, 1}, pause: time.Second, leaving: true})
		var notified []string
		w.fleet.Subscribe(func(u fleet.Upstream, source string) { notified = append(notified, u.ID+" "+source) })
		ctx, end := context.WithCancel(t.Context())
		defer end()
		go w.serve(ctx, "/draft/")
		time.Sleep(500 * time.Millisecond)
		is.Equal(notified, []string{w.sender.first() + " answer"})
		time.Sleep(5 * time.Second)
	})
}
