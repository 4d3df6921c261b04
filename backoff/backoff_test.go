package backoff

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/fleet"
	"petrelstep/logs"
)

type counts map[string]int

// BackoffChanged implements Counter.
func (c counts) BackoffChanged(change string) { c[change]++ }

func newTracker() (*Tracker, counts) {
	c := counts{}
	return New(rand.New(rand.NewPCG(1, 1)), c, logs.New(io.Discard, "error", "b")), c
}

// answer is an answer of an upstream; its times are in ms after the first.
type answer struct {
	at        int
	backoff   int // ms; 0 if it requests none
	sent      int // when its request was sent
	startedAt int64
}

// TestRequested checks for how long nothing is sent after a sequence of answers.
func TestRequested(t *testing.T) {
	tests := map[string]struct {
		answers []answer
		until   int // ms, at least; 0: no backoff
		at      int // time of the check
	}{
		"a backoff is requested":               {[]answer{{at: 0, backoff: 3000}}, 3000, 0},
		"none is requested":                    {[]answer{{at: 0}}, 0, 0},
		"requested again, for longer":          {[]answer{{at: 0, backoff: 3000}, {at: 100, backoff: 5000}}, 5100, 100},
		"requested again, for less":            {[]answer{{at: 0, backoff: 3000}, {at: 100, backoff: 500}}, 3000, 100},
		"a crossing answer requests none":      {[]answer{{at: 0, backoff: 3000}, {at: 100, sent: -50}}, 3000, 100},
		"a later answer requests none":         {[]answer{{at: 0, backoff: 3000}, {at: 1000, sent: 900}}, 3000, 1000},
		"an answer after its end":              {[]answer{{at: 0, backoff: 1000}, {at: 3000, sent: 2900}}, 0, 3000},
		"requested again after its end":        {[]answer{{at: 0, backoff: 1000}, {at: 3000, backoff: 1000}}, 4000, 3000},
		"for an hour":                          {[]answer{{at: 0, backoff: 3600_000}}, 3600_000, 0},
		"for a year":                           {[]answer{{at: 0, backoff: 365 * 24 * 3600_000}}, 3600_000, 0},
		"a later incarnation requests less":    {[]answer{{at: 0, backoff: 3000, startedAt: 1}, {at: 100, backoff: 500, startedAt: 2}}, 600, 100},
		"an earlier incarnation requests more": {[]answer{{at: 0, backoff: 500, startedAt: 2}, {at: 100, backoff: 3000, startedAt: 1}}, 500, 100},
		"an earlier incarnation requests none": {[]answer{{at: 0, backoff: 500, startedAt: 2}, {at: 2000, sent: 1900, startedAt: 1}}, 0, 2000},
		"the trial is answered":                {[]answer{{at: 0, backoff: 500}, {at: 2000, sent: 1990}}, 0, 2000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker, _ := newTracker()
			began := time.Now()
			ms := func(n int) time.Time { return began.Add(time.Duration(n) * time.Millisecond) }
			for _, a := range tt.answers {
				u := fleet.Upstream{ID: "u", Service: "s", StartedAt: a.startedAt}
				if a.backoff > 0 {
					tracker.Requested(ms(a.at), u, time.Duration(a.backoff)*time.Millisecond)
				} else {
					tracker.Answered(ms(a.at), ms(a.sent), u)
				}
			}
			wait := tracker.Wait(ms(tt.at), "u")
			if tt.until == 0 {
				is.Equal(wait, time.Duration(0))
				return
			}
			until := ms(tt.until)
			is.True(!ms(tt.at).Add(wait).Before(until))
			is.True(!ms(tt.at).Add(wait).After(until.Add(maxJitter)))
			is.Equal(tracker.Names(ms(tt.at), "s"), []string{"u"})
			is.Equal(len(tracker.Names(ms(tt.at), "other")), 0)
		})
	}
}

// TestTrial checks that only one request is sent to an upstream after its backoff until
// that is answered.
func TestTrial(t *testing.T) {
	u := fleet.Upstream{ID: "u", Service: "s"}
	tests := map[string]struct {
		answer func(tracker *Tracker, now, sent time.Time)
		after  time.Duration
		want   bool // the next may be sent
	}{
		"not answered yet":        {func(*Tracker, time.Time, time.Time) {}, 100 * time.Millisecond, false},
		"lost":                    {func(*Tracker, time.Time, time.Time) {}, trialTimeout, true},
		"answered":                {func(tracker *Tracker, now, sent time.Time) { tracker.Answered(now, sent, u) }, 100 * time.Millisecond, true},
		"rejected with a backoff": {func(tracker *Tracker, now, _ time.Time) { tracker.Requested(now, u, time.Second) }, 100 * time.Millisecond, false},
		"an old answer":           {func(tracker *Tracker, now, sent time.Time) { tracker.Answered(now, sent.Add(-5*time.Second), u) }, 100 * time.Millisecond, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker, _ := newTracker()
			now := time.Now()
			tracker.Requested(now, u, time.Second)
			now = now.Add(3 * time.Second)
			is.True(tracker.MaySend(now, "u"))
			is.True(!tracker.MaySend(now, "u"))
			now = now.Add(50 * time.Millisecond)
			tt.answer(tracker, now, now.Add(-50*time.Millisecond))
			is.Equal(tracker.MaySend(now.Add(tt.after), "u"), tt.want)
		})
	}
}

// TestAllowException bounds the requests sent to an upstream in backoff.
func TestAllowException(t *testing.T) {
	is := is.New(t)
	tracker, c := newTracker()
	now := time.Now()
	u := fleet.Upstream{ID: "u"}
	is.True(tracker.AllowException(now, "u"))
	tracker.Requested(now, u, time.Minute)
	is.True(tracker.AllowException(now, "u"))
	tracker.Requested(now.Add(time.Second), u, 2*time.Minute) // the first is not over
	is.True(tracker.AllowException(now.Add(time.Second), "u"))
	is.True(!tracker.AllowException(now.Add(time.Second), "u"))
	is.True(tracker.AllowException(now.Add(time.Hour), "u"))
	is.Equal(c[Excepted], 2)
}

// TestSpread checks that boxes with the same end of a backoff do not resume at the same
// moment.
func TestSpread(t *testing.T) {
	is := is.New(t)
	tenths := map[int64]int{}
	const boxes = 300
	now := time.Now()
	for i := range uint64(boxes) {
		tracker := New(rand.New(rand.NewPCG(i, 8)), counts{}, logs.New(io.Discard, "error", "b"))
		tracker.Requested(now, fleet.Upstream{ID: "u"}, 8*time.Second)
		wait := tracker.Wait(now, "u") - 8*time.Second
		is.True(wait >= 0 && wait <= maxJitter)
		tenths[wait.Milliseconds()/100]++
	}
	for _, n := range tenths {
		is.True(n <= boxes/6) // a tenth of them in the mean
	}
}

// TestTick checks that backoffs of restarted upstreams and old ones are dropped, and
// that a backoff runs on while the machine is suspended.
func TestTick(t *testing.T) {
	is := is.New(t)
	tracker, c := newTracker()
	now := time.Now()
	for _, id := range []string{"ended", "restarted", "active"} {
		tracker.Requested(now, fleet.Upstream{ID: id}, 10*time.Second)
	}
	tracker.Forget("restarted")
	is.Equal(tracker.Wait(now, "restarted"), time.Duration(0))
	tracker.AddSuspension(4 * time.Second)
	is.True(tracker.Wait(now, "ended") >= 6*time.Second)
	is.True(tracker.Wait(now, "ended") <= 7*time.Second)
	tracker.Requested(now, fleet.Upstream{ID: "active"}, time.Hour)
	tracker.Tick(now.Add(2 * time.Minute))
	is.Equal(len(tracker.View(now)), 1)
	is.Equal(tracker.View(now)[0].Upstream, "active")
	is.Equal(c[Asked], 3)
	is.Equal(c[Longer], 1)
}

// TestEmpty checks that a nil tracker allows all requests.
func TestEmpty(t *testing.T) {
	is := is.New(t)
	var none *Tracker
	none.Requested(time.Now(), fleet.Upstream{ID: "u"}, time.Minute)
	none.Answered(time.Now(), time.Now(), fleet.Upstream{ID: "u"})
	is.True(none.MaySend(time.Now(), "u"))
	is.True(none.AllowException(time.Now(), "u"))
	is.Equal(none.Wait(time.Now(), "u"), time.Duration(0))
	is.Equal(len(none.Names(time.Now(), "s")), 0)
	none.Tick(time.Now())
}

// TestNames bounds the upstreams named in a report.
func TestNames(t *testing.T) {
	tracker, _ := newTracker()
	now := time.Now()
	for i := range 1000 {
		tracker.Requested(now, fleet.Upstream{ID: fmt.Sprint("u", i), Service: "s"}, time.Minute)
	}
	is.New(t).Equal(len(tracker.Names(now, "s")), maxNames)
}

// BenchmarkMaySend measures the checks of one request with 1,000 upstreams, by the
// number of others in backoff.
func BenchmarkMaySend(b *testing.B) {
	for _, entries := range []int{0, 10, 1000} {
		b.Run(fmt.Sprint(entries, " in backoff"), func(b *testing.B) {
			tracker, _ := newTracker()
			now := time.Now()
			for i := range entries {
				tracker.Requested(now, fleet.Upstream{ID: fmt.Sprint("u", i), Service: "s"}, time.Minute)
			}
			var list []fleet.Upstream
			for i := range 1000 {
				list = append(list, fleet.Upstream{ID: fmt.Sprint("v", i), Service: "s"})
			}
			for b.Loop() {
				tracker.Available(now, list)
				tracker.MaySend(now, "other")
			}
		})
	}
}
