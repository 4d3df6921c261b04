package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestForecast checks the expected wait by the rates at which ranks were granted capacity.
func TestForecast(t *testing.T) {
	now := time.Now()
	draft, check := rank{urgency: 1}, rank{urgency: 0, short: true}
	tests := map[string]struct {
		record  func(f *forecast)
		freed   float64
		minWait time.Duration
		maxWait time.Duration
	}{
		"no grants":                         {func(*forecast) {}, 0, maxRetryAfter, maxRetryAfter},
		"a new owner uses the freed memory": {func(*forecast) {}, 10000, time.Second, time.Second},
		"grants of the same rank":           {grantedAt(draft, 10, 10*time.Second), 0, 800 * time.Millisecond, 1200 * time.Millisecond},
		"grants of a more urgent rank":      {grantedAt(check, 10, 10*time.Second), 0, maxRetryAfter, maxRetryAfter},
		"none for a second, many before":    {grantedAt(draft, 10, 9*time.Second), 0, time.Second, 1800 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newForecast()
			tt.record(f)
			got := f.wait(now.Add(10*time.Second), draft, 10000, tt.freed, 1)
			t.Log(got)
			is.New(t).True(got >= tt.minWait && got <= tt.maxWait)
		})
	}
}

// grantedAt returns a function that grants a rank prompts of 1,000 tokens at a rate until a
// time.
func grantedAt(r rank, perSecond int, until time.Duration) func(f *forecast) {
	return func(f *forecast) {
		now := time.Now()
		for at := time.Duration(0); at < until; at += time.Second / time.Duration(perSecond) {
			f.granted(now.Add(at), r, 1000)
		}
	}
}
