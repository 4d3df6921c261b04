package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNewStop shows that a stopping box cuts off what is left before it is ended
// by force.
func TestNewStop(t *testing.T) {
	tests := map[string]struct{ drain, want time.Duration }{
		"a stop of 8 s":  {8 * time.Second, 7700 * time.Millisecond},
		"no time at all": {100 * time.Millisecond, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			is.New(t).Equal(newStop(now, tt.drain).until.Sub(now), tt.want)
		})
	}
}
