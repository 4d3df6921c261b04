package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"petrelstep/platform/store"
)

// betweenBoxes and toStore choose connections.
func betweenBoxes(c *networkConn) bool { return c.to != storeAddress }
func toStore(c *networkConn) bool      { return c.to == storeAddress }
func allConns(*networkConn) bool       { return true }

// callerEnds chooses one way: what the box that opened a connection sends is lost.
func callerEnds(c *networkConn) bool { return !c.accepted }

// answeringEnds chooses the other way.
func answeringEnds(c *networkConn) bool { return c.accepted }

// TestConnectionsFallSilent guards against boxes that learn of a change more than 2 s after the
// store confirmed it, as open connections fell silent for good while new ones work.
func TestConnectionsFallSilent(t *testing.T) {
	const smallRounds, rounds = 30, 4 // of 6 and 7 boxes, and of 77
	tests := map[string]struct {
		boxes, halls int
		silent       func(c *networkConn) bool
	}{
		"6 boxes, all":                   {6, 3, allConns},
		"6 boxes, between boxes":         {6, 3, betweenBoxes},
		"7 boxes, all":                   {7, 4, allConns},
		"7 boxes, between boxes":         {7, 4, betweenBoxes},
		"7 boxes, to the store":          {7, 4, toStore},
		"7 boxes, what callers send":     {7, 4, callerEnds},
		"7 boxes, what is answered":      {7, 4, answeringEnds},
		"77 boxes, all":                  {77, 3, allConns},
		"77 boxes, between boxes":        {77, 3, betweenBoxes},
		"77 boxes, what is answered":     {77, 3, answeringEnds},
		"77 boxes, half of them at once": {77, 3, func(c *networkConn) bool { return strings.HasSuffix(c.from, "1") || strings.HasSuffix(c.from, "6") }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				w := newWired(ctx, t, tt.boxes, tt.halls, 60)
				defer w.stop(cancel)
				w.startAll(ctx)
				w.waitAll(t, "serves", 5*time.Second, (*Edge).ready)
				time.Sleep(5 * time.Second)
				random := rand.New(rand.NewPCG(3, 3))
				played := rounds
				if tt.boxes <= 7 {
					played = smallRounds
				}
				for n := range played {
					ends := w.network.silence(tt.silent)
					time.Sleep(time.Duration(random.Int64N(int64(700 * time.Millisecond))))
					w.expectChange(t, n, ends)
					time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
				}
			})
		})
	}
}

// expectChange changes the configuration and drains an upstream, of which all boxes must learn
// within changeBound.
func (w *wired) expectChange(t testing.TB, n, silentEnds int) {
	t.Helper()
	version, upstream := 10+n, fmt.Sprint("u", n)
	w.platform.Put(
		store.Row{Table: "op", Key: "config", Value: fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[{"name":"plain","max_conns":100}],"limits":{"max_body_bytes":4096},"tenants":[]}`, version)},
		store.Row{Table: "servers", Key: upstream, Value: worker(n, 3, "draining")},
	)
	configured := func(e *Edge) bool { return e.View().Version == version }
	left := func(e *Edge) bool { return e.fleet.IsLeaving(upstream) }
	var took [2]time.Duration
	began := time.Now()
	for slow := true; slow && time.Since(began) < maxWait; time.Sleep(20 * time.Millisecond) {
		slow = false
		for i, known := range []func(e *Edge) bool{configured, left} {
			if slices.ContainsFunc(w.all, func(e *Edge) bool { return !known(e) }) {
				slow, took[i] = true, time.Since(began)
			}
		}
	}
	t.Logf("change %d: the version is known after %v, the departure after %v, %d ends silent", n, took[0], took[1], silentEnds)
	if took[0] > changeBound || took[1] > changeBound {
		t.Errorf("change %d is known after %v and %v", n, took[0], took[1])
	}
}
