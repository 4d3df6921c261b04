package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNewStop checks that a stopping box aborts its remaining requests before it is
// killed.
func TestNewStop(t *testing.T) {
	tests := map[string]struct{ drain, want time.Duration }{
		"8 s":                    {8 * time.Second, 7700 * time.Millisecond},
		"shorter than closeTime": {100 * time.Millisecond, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			is.New(t).Equal(newStop(now, tt.drain).until.Sub(now), tt.want)
		})
	}
}
