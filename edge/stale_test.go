package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/refusal"
)

// TestStaleRetryAfter guards against sending callers from one box with a stale
// configuration to the next while the store answers none of them.
func TestStaleRetryAfter(t *testing.T) {
	tests := map[string]struct {
		boxes              int
		cut                bool // the box is cut off from all others
		minDelay, maxDelay time.Duration
	}{
		"6 boxes":     {boxes: 6, minDelay: 5 * time.Second, maxDelay: 10 * time.Second},
		"77 boxes":    {boxes: 77, minDelay: 5 * time.Second, maxDelay: 10 * time.Second},
		"box cut off": {boxes: 6, cut: true, maxDelay: 50 * time.Millisecond},
		"only box":    {boxes: 1, maxDelay: 50 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := context.WithCancel(t.Context())
				p := newProtocol(ctx, t, tt.boxes, 4)
				p.cluster.table.setSilent(true)
				at := p.cluster.all[tt.boxes-1]
				p.cluster.mu.Lock()
				p.cluster.isolated[at.record.Address] = tt.cut
				p.cluster.mu.Unlock()
				time.Sleep(7 * time.Second)
				c := p.send(ctx, at, "/look/")
				p.cluster.table.setSilent(false)
				p.stop(end)
				is.Equal(c.refused.Reason(), refusal.StaleConfiguration)
				is.True(c.refused.RetryAfter() >= tt.minDelay)
				is.True(c.refused.RetryAfter() <= tt.maxDelay)
			})
		})
	}
}
