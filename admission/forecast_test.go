package admission

import (
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
			got := f.expects(now.Add(10*time.Second), draft, 10000, tt.leaves, 1)
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
