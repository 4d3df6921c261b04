package worker

import (
	"hash/fnv"
	"net/http"
	"strings"
	"time"
)

// Badness is how a worker of a bad version misbehaves, and when. The zero value of a condition
// does not restrict it.
type Badness struct {
	Fault    Fault // None for slow responses only
	Slowdown Slowdown
	Share    float64   // of the requests that meet the conditions
	Prefix   string    // of the targets
	After    int       // number of requests received before
	From     time.Time // not before
	Running  int       // while at least so many requests run, this one included

	ended bool
}

// Slowdown holds the factors by which a response takes longer; 0 is the same as 1.
type Slowdown struct {
	First float64 // time until the first event, or the whole of a plain response
	Pace  float64 // time between further events
}

func (s Slowdown) first(pace time.Duration) time.Duration { return scale(pace, s.First) }

func (s Slowdown) next(pace time.Duration) time.Duration { return scale(pace, s.Pace) }

func scale(d time.Duration, factor float64) time.Duration {
	if factor == 0 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// EndBadness makes the worker respond as usual. Responses that would be affected are recorded as
// spared.
func (w *Worker) EndBadness() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.badness != nil {
		ended := *w.badness
		ended.ended = true
		w.badness = &ended
	}
}

// SetBadness makes the worker misbehave.
func (w *Worker) SetBadness(b Badness) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.badness = &b
}

// applyBadness returns how the response to a request misbehaves. The caller has to call end at
// the end of the response, which records a bad one for the arrival with the given index.
func (w *Worker) applyBadness(r *http.Request, index int) (fault Fault, slowdown Slowdown, end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running++
	b := w.badness
	bad := b != nil && b.affects(r, w.received, w.running)
	w.received++
	if bad && b.ended {
		w.arrivals[index].Spared, bad = true, false
	}
	if bad {
		fault, slowdown = b.Fault, b.Slowdown
	}
	return fault, slowdown, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.running--
		if bad {
			w.arrivals[index].BadAt = time.Now()
		}
	}
}

// affects reports whether the response to a request misbehaves. Whether it is in the share
// depends on its id only, so that a seed gives the same on each run.
func (b *Badness) affects(r *http.Request, received, running int) bool {
	if received < b.After || running < b.Running || time.Now().Before(b.From) || !strings.HasPrefix(r.URL.Path, b.Prefix) {
		return false
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.Header.Get("Request-Id")))
	const buckets = 10007
	return float64(h.Sum64()%buckets) < b.Share*buckets
}

// fail sends no response, or a failure of the badness also in place of a stream, and reports
// whether it did.
func (w *Worker) fail(out http.ResponseWriter, r *http.Request, id string, fault Fault, bad bool) bool {
	switch {
	case fault == Hang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case fault == Failure && bad:
		time.Sleep(w.pace)
		w.whole(out, id, fault)
		return true
	}
	return false
}
