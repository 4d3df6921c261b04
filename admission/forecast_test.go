package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestForecast shows what a request is expected to wait, by the room that was given
// to its rank and those behind it.
func TestForecast(t *testing.T) {
	now := time.Now()
	draft, check := rank{urgency: 1}, rank{urgency: 0, short: true}
	tests := map[string]struct {
		gave   func(f *forecast)
		leaves float64
		least  time.Duration
		most   time.Duration
	}{
		"nothing is known":                  {func(*forecast) {}, 0, comeMost, comeMost},
		"a new keeper goes by the engines":  {func(*forecast) {}, 10000, time.Second, time.Second},
		"what is given":                     {gives(draft, 10, 10*time.Second), 0, 800 * time.Millisecond, 1200 * time.Millisecond},
		"what is given to the more urgent":  {gives(check, 10, 10*time.Second), 0, comeMost, comeMost},
		"nothing for a second, much before": {gives(draft, 10, 9*time.Second), 0, time.Second, 1800 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newForecast()
			tt.gave(f)
			got := f.expects(now.Add(10*time.Second), draft, 10000, tt.leaves)
			t.Log(got)
			is.New(t).True(got >= tt.least && got <= tt.most)
		})
	}
}

// gives lets a rank have so many prompts of 1,000 tokens a second until a time.
func gives(r rank, perSecond int, until time.Duration) func(f *forecast) {
	return func(f *forecast) {
		now := time.Now()
		for at := time.Duration(0); at < until; at += time.Second / time.Duration(perSecond) {
			f.gave(now.Add(at), r, 1000)
		}
	}
}

// TestHorizon shows how far the forecast is trusted by what came of those that it
// let wait.
func TestHorizon(t *testing.T) {
	tests := map[string]struct {
		play func(f *forecast, ask func(expected time.Duration) string)
		lets bool // one that is expected to wait as long as it has
	}{
		"at first": {func(*forecast, func(time.Duration) string) {}, true},
		"one waited in vain": {func(f *forecast, ask func(time.Duration) string) {
			f.ended(ask(time.Second), false)
		}, false},
		"one in vain, five that waited long had room": {func(f *forecast, ask func(time.Duration) string) {
			f.ended(ask(time.Second), false)
			for range 5 {
				f.ended(ask(700*time.Millisecond), true)
			}
		}, true},
		"one in vain, five that hardly waited had room": {func(f *forecast, ask func(time.Duration) string) {
			f.ended(ask(time.Second), false)
			for range 5 {
				f.ended(ask(100*time.Millisecond), true)
			}
		}, false},
		"one that was never let wait": {func(f *forecast, _ func(time.Duration) string) {
			f.ended("other", false)
		}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, now, n := newForecast(), time.Now(), 0
			tt.play(f, func(expected time.Duration) string {
				n++
				id := fmt.Sprint("r", n)
				is.True(f.lets(now, id, expected, time.Second))
				return id
			})
			is.Equal(f.lets(now, "last", time.Second, time.Second), tt.lets)
		})
	}
	is := is.New(t)
	f, now := newForecast(), time.Now()
	for range 100 {
		f.waits["r"] = wait{began: now}
		f.ended("r", false)
	}
	is.Equal(f.horizon, horizonLeast)
	for range 100 {
		f.waits["r"] = wait{began: now, near: true}
		f.ended("r", true)
	}
	is.Equal(f.horizon, horizonMost)
	f.lets(now, "left", 0, time.Second)
	f.lets(now.Add(2*waitsKept), "later", 0, time.Second) // one whose caller left is forgotten
	is.Equal(len(f.waits), 1)
}
