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

// Rested implements Counter.
func (c counts) Rested(change string) { c[change]++ }

func box() (*Tracker, counts) {
	c := counts{}
	return New(rand.New(rand.NewPCG(1, 1)), c, logs.New(io.Discard, "error", "b")), c
}

// word is what a box hears of an upstream, some ms after the first.
type word struct {
	at   int
	rest int // ms; 0 for an answer that asks for none
	sent int // when its request went
	born int64
}

// TestAsked shows for how long nothing goes, whatever is heard.
func TestAsked(t *testing.T) {
	tests := map[string]struct {
		words []word
		until int // ms, at least; 0: it does not rest
		at    int // when that is looked at
	}{
		"it asks for rest":                {[]word{{at: 0, rest: 3000}}, 3000, 0},
		"for none":                        {[]word{{at: 0}}, 0, 0},
		"again, for longer":               {[]word{{at: 0, rest: 3000}, {at: 100, rest: 5000}}, 5100, 100},
		"again, for less":                 {[]word{{at: 0, rest: 3000}, {at: 100, rest: 500}}, 3000, 100},
		"an answer without it crosses":    {[]word{{at: 0, rest: 3000}, {at: 100, sent: -50}}, 3000, 100},
		"an answer without it, later":     {[]word{{at: 0, rest: 3000}, {at: 1000, sent: 900}}, 3000, 1000},
		"an answer after its end":         {[]word{{at: 0, rest: 1000}, {at: 3000, sent: 2900}}, 0, 3000},
		"it asks again after its end":     {[]word{{at: 0, rest: 1000}, {at: 3000, rest: 1000}}, 4000, 3000},
		"of an hour":                      {[]word{{at: 0, rest: 3600_000}}, 3600_000, 0},
		"of a year":                       {[]word{{at: 0, rest: 365 * 24 * 3600_000}}, 3600_000, 0},
		"a later life asks for less":      {[]word{{at: 0, rest: 3000, born: 1}, {at: 100, rest: 500, born: 2}}, 600, 100},
		"an earlier life asks for more":   {[]word{{at: 0, rest: 500, born: 2}, {at: 100, rest: 3000, born: 1}}, 500, 100},
		"an earlier life asks for none":   {[]word{{at: 0, rest: 500, born: 2}, {at: 2000, sent: 1900, born: 1}}, 0, 2000},
		"an answer to the first after it": {[]word{{at: 0, rest: 500}, {at: 2000, sent: 1990}}, 0, 2000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, _ := box()
			began := time.Now()
			ms := func(n int) time.Time { return began.Add(time.Duration(n) * time.Millisecond) }
			for _, w := range tt.words {
				u := fleet.Upstream{ID: "u", Service: "s", StartedAt: w.born}
				if w.rest > 0 {
					r.Asked(ms(w.at), u, time.Duration(w.rest)*time.Millisecond)
				} else {
					r.Answered(ms(w.at), ms(w.sent), u)
				}
			}
			wait := r.Wait(ms(tt.at), "u")
			if tt.until == 0 {
				is.Equal(wait, time.Duration(0))
				return
			}
			until := ms(tt.until)
			is.True(!ms(tt.at).Add(wait).Before(until))
			is.True(!ms(tt.at).Add(wait).After(until.Add(spreadMost)))
			is.Equal(r.Names(ms(tt.at), "s"), []string{"u"})
			is.Equal(len(r.Names(ms(tt.at), "other")), 0)
		})
	}
}

// TestTrial guards against several requests at once to an upstream whose rest is over.
func TestTrial(t *testing.T) {
	u := fleet.Upstream{ID: "u", Service: "s"}
	tests := map[string]struct {
		heard func(r *Tracker, now, sent time.Time)
		after time.Duration
		goes  bool // the next
	}{
		"not answered yet":        {func(*Tracker, time.Time, time.Time) {}, 100 * time.Millisecond, false},
		"lost":                    {func(*Tracker, time.Time, time.Time) {}, trialTime, true},
		"answered":                {func(r *Tracker, now, sent time.Time) { r.Answered(now, sent, u) }, 100 * time.Millisecond, true},
		"turned away with a rest": {func(r *Tracker, now, _ time.Time) { r.Asked(now, u, time.Second) }, 100 * time.Millisecond, false},
		"an old answer":           {func(r *Tracker, now, sent time.Time) { r.Answered(now, sent.Add(-5*time.Second), u) }, 100 * time.Millisecond, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, _ := box()
			now := time.Now()
			r.Asked(now, u, time.Second)
			now = now.Add(3 * time.Second)
			is.True(r.MaySend(now, "u"))
			is.True(!r.MaySend(now, "u"))
			now = now.Add(50 * time.Millisecond)
			tt.heard(r, now, now.Add(-50*time.Millisecond))
			is.Equal(r.MaySend(now.Add(tt.after), "u"), tt.goes)
		})
	}
}

// TestMayExcept bounds what may go to an upstream that rests.
func TestMayExcept(t *testing.T) {
	is := is.New(t)
	r, c := box()
	now := time.Now()
	u := fleet.Upstream{ID: "u"}
	is.True(r.MayExcept(now, "u"))
	r.Asked(now, u, time.Minute)
	is.True(r.MayExcept(now, "u"))
	r.Asked(now.Add(time.Second), u, 2*time.Minute) // the first is not over
	is.True(r.MayExcept(now.Add(time.Second), "u"))
	is.True(!r.MayExcept(now.Add(time.Second), "u"))
	is.True(r.MayExcept(now.Add(time.Hour), "u"))
	is.Equal(c[Excepted], 2)
}

// TestSpread guards against all boxes taking an upstream up at the end of a rest that all
// were asked for.
func TestSpread(t *testing.T) {
	is := is.New(t)
	tenths := map[int64]int{}
	const boxes = 300
	now := time.Now()
	for i := range uint64(boxes) {
		r := New(rand.New(rand.NewPCG(i, 8)), counts{}, logs.New(io.Discard, "error", "b"))
		r.Asked(now, fleet.Upstream{ID: "u"}, 8*time.Second)
		wait := r.Wait(now, "u") - 8*time.Second
		is.True(wait >= 0 && wait <= spreadMost)
		tenths[wait.Milliseconds()/100]++
	}
	for _, n := range tenths {
		is.True(n <= boxes/6) // a tenth of them in the mean
	}
}

// TestOver forgets what has started again, and what ended long ago, and lets a rest run
// while the machine is suspended.
func TestOver(t *testing.T) {
	is := is.New(t)
	r, c := box()
	now := time.Now()
	for _, id := range []string{"ends", "starts", "stays"} {
		r.Asked(now, fleet.Upstream{ID: id}, 10*time.Second)
	}
	r.Forget("starts")
	is.Equal(r.Wait(now, "starts"), time.Duration(0))
	r.Older(4 * time.Second)
	is.True(r.Wait(now, "ends") >= 6*time.Second)
	is.True(r.Wait(now, "ends") <= 7*time.Second)
	r.Asked(now, fleet.Upstream{ID: "stays"}, time.Hour)
	r.Tick(now.Add(2 * time.Minute))
	is.Equal(len(r.View(now)), 1)
	is.Equal(r.View(now)[0].Upstream, "stays")
	is.Equal(c[Asked], 3)
	is.Equal(c[Longer], 1)
}

// TestNone shows that a box without rests, or that keeps none, sends to all.
func TestNone(t *testing.T) {
	is := is.New(t)
	var none *Tracker
	none.Asked(time.Now(), fleet.Upstream{ID: "u"}, time.Minute)
	none.Answered(time.Now(), time.Now(), fleet.Upstream{ID: "u"})
	is.True(none.MaySend(time.Now(), "u"))
	is.True(none.MayExcept(time.Now(), "u"))
	is.Equal(none.Wait(time.Now(), "u"), time.Duration(0))
	is.Equal(len(none.Names(time.Now(), "s")), 0)
	none.Tick(time.Now())
}

// TestNames bounds the upstreams that are named to others.
func TestNames(t *testing.T) {
	r, _ := box()
	now := time.Now()
	for i := range 1000 {
		r.Asked(now, fleet.Upstream{ID: fmt.Sprint("u", i), Service: "s"}, time.Minute)
	}
	is.New(t).Equal(len(r.Names(now, "s")), namesMost)
}

// BenchmarkMaySend is the look of a send before 1,000 upstreams, by others that rest.
func BenchmarkMaySend(b *testing.B) {
	for _, resting := range []int{0, 10, 1000} {
		b.Run(fmt.Sprint(resting, " rest"), func(b *testing.B) {
			r, _ := box()
			now := time.Now()
			for i := range resting {
				r.Asked(now, fleet.Upstream{ID: fmt.Sprint("u", i), Service: "s"}, time.Minute)
			}
			var list []fleet.Upstream
			for i := range 1000 {
				list = append(list, fleet.Upstream{ID: fmt.Sprint("v", i), Service: "s"})
			}
			for b.Loop() {
				r.Without(now, list)
				r.MaySend(now, "other")
			}
		})
	}
}
