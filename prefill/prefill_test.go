package prefill_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/prefill"
)

// TestPrefill checks that the estimate follows engines that are faster or slower than
// the initial rate.
func TestPrefill(t *testing.T) {
	tests := map[string]struct {
		tokens int
		took   time.Duration
		want   time.Duration // for 1,000 tokens
	}{
		"slow":         {tokens: 1000, took: time.Second, want: time.Second},
		"fast":         {tokens: 4000, took: 100 * time.Millisecond, want: 25 * time.Millisecond},
		"zero tokens":  {took: time.Second, want: time.Second / 7},
		"zero time":    {tokens: 1000, want: time.Second / 7},
		"initial rate": {tokens: 7000, took: time.Second, want: time.Second / 7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := prefill.New()
			for range 200 {
				p.Observe(tt.tokens, tt.took)
			}
			got := p.Time(1000)
			is.New(t).True(got > tt.want*95/100 && got < tt.want*105/100)
		})
	}
}
