package relay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/fleet"
)

// TestLeavingHeard shows in which answers an upstream is heard that says that it leaves.
func TestLeavingHeard(t *testing.T) {
	tests := map[string]struct {
		path    string
		reply   reply
		leaving int // upstreams
	}{
		"a whole answer":           {"/once/", reply{body: "1", leaves: true}, 1},
		"a failure":                {"/once/", reply{status: 500, body: "1", leaves: true}, 1},
		"a refusal":                {"/once/", reply{status: 503, notRun: true, leaves: true}, 1},
		"a stream":                 {"/draft/", reply{events: []int{0, 1}, leaves: true}, 1},
		"an answer that is cut":    {"/draft/", reply{events: []int{0}, cutAfter: errReset, leaves: true}, 1},
		"an answer without a seal": {"/once/", reply{body: "1", unsealed: true, leaves: true}, 1},
		"another upstream's":       {"/once/", reply{status: 421, notRun: true, leaves: true}, 0},
		"none says so":             {"/once/", reply{body: "1"}, 0},
		"tries at two of them":     {"/safe/", reply{status: 500, leaves: true}, 2},
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

// TestLeavingTold shows that an upstream that says in a stream's head that it leaves is
// told to those who move its runs while the stream goes on.
func TestLeavingTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, reply{events: []int{0, 1}, pause: time.Second, leaves: true})
		var told []string
		w.fleet.Subscribe(func(u fleet.Upstream, source string) { told = append(told, u.ID+" "+source) })
		ctx, end := context.WithCancel(t.Context())
		defer end()
		go w.serve(ctx, "/draft/")
		time.Sleep(500 * time.Millisecond)
		is.Equal(told, []string{w.sender.first() + " answer"})
		time.Sleep(5 * time.Second)
	})
}
