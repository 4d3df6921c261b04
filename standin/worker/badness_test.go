package worker_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/standin/worker"
)

const (
	badnessPace   = 10 * time.Millisecond
	badnessEvents = 4
)

// send sends a request and returns the response's status, 0 if it was aborted, and how long it
// took.
func send(w *worker.Worker, id, target string) (status int, took time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	r.Header.Set("Request-Id", id)
	out, began := httptest.NewRecorder(), time.Now()
	defer func() {
		took = time.Since(began)
		if cause := recover(); cause != nil {
			status = 0
		}
	}()
	w.Handler().ServeHTTP(out, r)
	return out.Code, 0
}

// TestBadness checks which responses misbehave and how, and that these are recorded.
func TestBadness(t *testing.T) {
	const whole, stream = "/once/1", "/stream/draft/1"
	tests := map[string]struct {
		badness worker.Badness
		target  string
		before  int // requests sent before
		wait    time.Duration
		status  int
		took    time.Duration
		bad     bool
	}{
		"good":                     {worker.Badness{}, whole, 0, 0, 200, badnessPace, false},
		"failure":                  {worker.Badness{Share: 1, Fault: worker.Failure}, whole, 0, 0, 500, badnessPace, true},
		"failure of a stream":      {worker.Badness{Share: 1, Fault: worker.Failure}, stream, 0, 0, 500, badnessPace, true},
		"hang":                     {worker.Badness{Share: 1, Fault: worker.Hang}, whole, 0, 0, 0, time.Second, true},
		"stream cut off":           {worker.Badness{Share: 1, Fault: worker.Cut}, stream, 0, 0, 0, 2 * badnessPace, true},
		"slow":                     {worker.Badness{Share: 1, Slowdown: worker.Slowdown{First: 5}}, whole, 0, 0, 200, 5 * badnessPace, true},
		"slow first event":         {worker.Badness{Share: 1, Slowdown: worker.Slowdown{First: 5}}, stream, 0, 0, 200, 8 * badnessPace, true},
		"slow pace":                {worker.Badness{Share: 1, Slowdown: worker.Slowdown{Pace: 5}}, stream, 0, 0, 200, 16 * badnessPace, true},
		"on another route":         {worker.Badness{Share: 1, Fault: worker.Failure, Prefix: "/look/"}, whole, 0, 0, 200, badnessPace, false},
		"on this route":            {worker.Badness{Share: 1, Fault: worker.Failure, Prefix: "/once/"}, whole, 0, 0, 500, badnessPace, true},
		"before the request count": {worker.Badness{Share: 1, Fault: worker.Failure, After: 3}, whole, 2, 0, 200, badnessPace, false},
		"at the request count":     {worker.Badness{Share: 1, Fault: worker.Failure, After: 3}, whole, 3, 0, 500, badnessPace, true},
		"under load":               {worker.Badness{Share: 1, Fault: worker.Failure, Running: 2}, whole, 0, 0, 200, badnessPace, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := worker.New("w1", badnessEvents, badnessPace)
				w.SetBadness(tt.badness)
				for range tt.before {
					send(w, "before", whole)
				}
				status, took := send(w, "r1", tt.target)
				is.Equal(status, tt.status)
				is.Equal(took, tt.took)
				arrivals := w.Arrivals()
				is.Equal(len(arrivals), tt.before+1)
				is.Equal(!arrivals[tt.before].BadAt.IsZero(), tt.bad)
			})
		})
	}
}

// TestBadnessConditions checks badness that begins at a time or under load, or affects a share
// of the requests.
func TestBadnessConditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := worker.New("w1", badnessEvents, badnessPace)
		w.SetBadness(worker.Badness{Share: 1, Fault: worker.Failure, From: time.Now().Add(time.Second)})
		status, _ := send(w, "early", "/once/1")
		is.Equal(status, 200)
		time.Sleep(time.Second)
		status, _ = send(w, "late", "/once/1")
		is.Equal(status, 500)

		w.SetBadness(worker.Badness{Share: 1, Fault: worker.Failure, Running: 2})
		go send(w, "running", "/stream/draft/1")
		synctest.Wait()
		status, _ = send(w, "second", "/once/1")
		is.Equal(status, 500)

		w.SetBadness(worker.Badness{Share: 0.25, Fault: worker.Failure})
		bad := 0
		for i := range 400 {
			if status, _ := send(w, string(rune('A'+i)), "/once/1"); status == 500 {
				bad++
			}
		}
		is.True(bad > 60 && bad < 140) // of 400, a quarter expected
	})
}

// TestStop checks that requests after a stop are recorded and not run.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := worker.New("w1", badnessEvents, badnessPace)
		w.Stop()
		status, _ := send(w, "r1", "/once/1")
		is.Equal(status, 0)
		is.Equal(len(w.Runs()), 0)
		is.True(w.Arrivals()[0].Stopped)
	})
}

// TestEndBadness checks that a response is not affected by a badness that was ended, and recorded if it
// would be.
func TestEndBadness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := worker.New("w1", badnessEvents, badnessPace)
		w.EndBadness() // of a good version
		w.SetBadness(worker.Badness{Share: 1, Fault: worker.Failure, Prefix: "/once/"})
		w.EndBadness()
		status, _ := send(w, "r1", "/once/1")
		is.Equal(status, 200)
		send(w, "r2", "/look/1")
		arrivals := w.Arrivals()
		is.True(arrivals[0].Spared && arrivals[0].BadAt.IsZero())
		is.True(!arrivals[1].Spared)
	})
}
