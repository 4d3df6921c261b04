package relay_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/fingerprint"
	"petrelstep/fleet"
	"petrelstep/liveness"
	"petrelstep/logs"
	"petrelstep/quarantine"
	"petrelstep/refusal"
)

// found is what each look finds.
type found liveness.Finding

func (f found) Check(context.Context, fleet.Upstream, bool) liveness.Finding {
	return liveness.Finding(f)
}

// ignored takes what is counted and kept.
type ignored struct{}

func (ignored) Quarantined(string)                     {}
func (ignored) Save(fingerprint.Fingerprint, []string) {}
func (ignored) Delete(fingerprint.Fingerprint)         {}

// held returns a quarantine, and the fingerprint of the requests of this test.
func held() (*quarantine.Quarantine, fingerprint.Fingerprint) {
	none := fingerprint.Fingerprint{}
	return quarantine.New(ignored{}, ignored{}, logs.New(io.Discard, "error", "b")), fingerprint.New([]byte("council"), []byte("h"), none[:])
}

// endUnder lets upstreams end under a request, one after the other.
func endUnder(q *quarantine.Quarantine, fp fingerprint.Fingerprint, n int) {
	for i := range n {
		q.RecordEndDuring(time.Now(), fp, fleet.Upstream{ID: fmt.Sprint("gone", i)})
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(time.Second)
}

// TestEnds shows what a box sees when a connection breaks, and what it holds against
// the request.
func TestEnds(t *testing.T) {
	broken := reply{err: errReset, takes: 200 * time.Millisecond}
	early := reply{events: []int{0, 1}, cutAfter: io.ErrUnexpectedEOF, takes: 200 * time.Millisecond}
	late := reply{events: []int{0, 1, 2, 3, 4, 5, 6}, pause: 60 * time.Millisecond, cutAfter: io.ErrUnexpectedEOF}
	tests := map[string]struct {
		path  string
		reply reply
		found liveness.Finding
		want  int // ends
	}{
		"a whole answer, the upstream has ended":       {"/once/", broken, liveness.Ended, 1},
		"it was reset, and lives":                      {"/once/", broken, liveness.Alive, 0},
		"it is not reached":                            {"/once/", broken, liveness.Unknown, 0},
		"its end was announced":                        {"/once/", broken, liveness.Leaving, 0},
		"nothing reached it":                           {"/once/", reply{err: errReset, notSent: true}, liveness.Ended, 0},
		"a repeatable one, at two upstreams":           {"/safe/", broken, liveness.Ended, 2},
		"a stream before its first event":              {"/draft/", broken, liveness.Ended, 1},
		"a stream just after it":                       {"/draft/", early, liveness.Ended, 1},
		"a stream that has run for a while":            {"/draft/", late, liveness.Ended, 0},
		"one that is resumed, at two upstreams":        {"/check/", early, liveness.Ended, 2},
		"a prompt that may not have been read yet":     {"/draft/", reply{err: errReset, takes: 20 * time.Millisecond}, liveness.Ended, 1},
		"an answer that is wrong, its upstream may be": {"/once/", reply{body: "x", unsealed: true}, liveness.Ended, 0},
		"its caller has left":                          {"/once/", reply{hang: true}, liveness.Ended, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, tt.reply)
				q, fp := held()
				w.relay.Liveness, w.relay.Quarantine = found(tt.found), q
				ctx, leave := context.WithTimeout(t.Context(), 900*time.Millisecond)
				defer leave()
				w.serve(ctx, tt.path)
				is.New(t).Equal(q.Status(time.Now(), fp).Ends, tt.want)
			})
		})
	}
}

// TestQuarantined shows what becomes of a request under which upstreams ended, wherever
// it is when the word comes: nothing more is sent, and "not run" is true.
func TestQuarantined(t *testing.T) {
	answers := reply{body: "ok", events: []int{0}}
	tests := map[string]struct {
		path   string
		reply  reply
		before int            // ends before it comes
		during int            // ends that are heard of while it runs
		want   refusal.Reason // empty for served
		ending refusal.Ending
		sends  int
	}{
		"a whole answer is refused at once":       {path: "/once/", reply: answers, before: 3, want: refusal.Quarantined, ending: refusal.NotRun},
		"a stream is":                             {path: "/draft/", reply: answers, before: 3, want: refusal.Quarantined, ending: refusal.NotRun},
		"two ends: it is tried":                   {path: "/once/", reply: answers, before: 2, sends: 1},
		"on its way it is cut, and may have run":  {path: "/once/", reply: reply{hang: true}, during: 3, want: refusal.NoAnswer, ending: refusal.Unknown, sends: 1},
		"a repeatable one is not sent again":      {path: "/safe/", reply: reply{hang: true}, during: 3, want: refusal.NoAnswer, ending: refusal.Unknown, sends: 1},
		"nor is a stream that could be resumed":   {path: "/check/", reply: reply{hang: true}, during: 3, want: refusal.NoAnswer, ending: refusal.Unknown, sends: 1},
		"a third end in its own second try: both": {path: "/safe/", reply: reply{err: errReset}, before: 2, want: refusal.NoAnswer, ending: refusal.Unknown, sends: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, tt.reply)
				q, fp := held()
				w.relay.Liveness, w.relay.Quarantine = found(liveness.Ended), q
				endUnder(q, fp, tt.before)
				w.belief.Confirm(time.Now())
				go hear(q, fp, tt.during)
				c := w.serve(t.Context(), tt.path)
				is.True(time.Since(c.began) < 20*time.Millisecond) // at once, or as soon as the word comes
				time.Sleep(20 * time.Millisecond)
				is.Equal(len(w.sender.sends), tt.sends)
				if tt.want == "" {
					is.Equal(c.status, 200)
					return
				}
				is.Equal(c.refused.Reason(), tt.want)
				is.Equal(c.refused.Ending(), tt.ending)
			})
		})
	}
}

// hear lets a box hear in a moment of ends that others have met seconds ago.
func hear(q *quarantine.Quarantine, fp fingerprint.Fingerprint, ends int) {
	time.Sleep(10 * time.Millisecond)
	for i := range ends {
		q.RecordEndDuring(time.Now().Add(time.Duration(i-20)*100*time.Millisecond), fp, fleet.Upstream{ID: fmt.Sprint("gone", i)})
	}
	q.Tick(time.Now())
}

// turn counts who has taken the turn of a suspect.
type turn struct{ taken, ended int }

func (t *turn) Take(context.Context, fingerprint.Fingerprint, string) (giveBack func(ended bool), ok bool) {
	t.taken++
	return func(ended bool) {
		if ended {
			t.ended++
		}
	}, true
}

// TestTrial shows that only what upstreams have ended under waits for a turn, once for
// all its tries, and says how it went.
func TestTrial(t *testing.T) {
	tests := map[string]struct {
		reply        reply
		before       int
		taken, ended int
	}{
		"nothing has ended under it": {reply{body: "ok"}, 0, 0, 0},
		"one has, and it runs well":  {reply{body: "ok"}, 1, 1, 0},
		"the next ends too":          {reply{err: errReset}, 1, 1, 1},
		"its own first try ended":    {reply{err: errReset}, 0, 1, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, tt.reply)
				q, fp := held()
				turns := &turn{}
				w.relay.Liveness, w.relay.Quarantine, w.relay.Trials = found(liveness.Ended), q, turns
				endUnder(q, fp, tt.before)
				w.belief.Confirm(time.Now())
				w.serve(t.Context(), "/safe/")
				is.Equal(*turns, turn{tt.taken, tt.ended})
			})
		})
	}
}

// TestNotRunIsTrue shows that a request of which a try may have run is not told that it
// was not run when nobody is left to try next.
func TestNotRunIsTrue(t *testing.T) {
	for _, path := range []string{"/check/", "/safe/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, reply{err: errReset}, reply{err: errReset, notSent: true})
				c := w.serve(t.Context(), path)
				is.True(len(w.sender.sends) > 1)
				is.Equal(c.refused.Ending(), refusal.Unknown)
			})
		})
	}
}

// never has no turn to give.
type never struct{}

func (never) Take(ctx context.Context, _ fingerprint.Fingerprint, _ string) (giveBack func(ended bool), ok bool) {
	<-ctx.Done()
	return nil, false
}

// TestPlaceGivenBack shows that one that waits for its turn in vain gives its place
// back: the upstream, which would seem full, is sent to like any other afterwards.
func TestPlaceGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, reply{body: "ok"})
		w.share()
		q, fp := held()
		w.relay.Quarantine, w.relay.Trials = q, never{}
		endUnder(q, fp, 1)
		first := fleet.Upstream{ID: "plain0", Service: "plain", Address: "plain0:1", Hall: "leith", Slots: 8, State: fleet.Open}
		w.fleet.Replace(time.Now(), []fleet.Upstream{first}, 2, false)
		for range 20 {
			w.belief.Confirm(time.Now())
			is.Equal(w.serve(t.Context(), "/once/").refused.Reason(), refusal.Quarantined)
		}
		second := first
		second.ID, second.Address, second.Version = "plain1", "plain1:1", 3
		w.fleet.Replace(time.Now(), []fleet.Upstream{first, second}, 3, false)
		q.RecordSuccess(time.Now(), fp)
		at := map[string]int{}
		for range 40 {
			time.Sleep(200 * time.Millisecond)
			w.belief.Confirm(time.Now())
			is.Equal(w.serve(t.Context(), "/once/").status, 200)
			at[w.sender.sends[len(w.sender.sends)-1].Upstream]++
		}
		t.Log("sent to", at)
		is.True(at["plain0"] >= 14) // of 40; a quarter if it seems full
	})
}
