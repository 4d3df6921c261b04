package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/refusal"
)

// TestStaleComesBack guards against sending callers from one box whose configuration is too
// old to the next while the store is silent for all.
func TestStaleComesBack(t *testing.T) {
	tests := map[string]struct {
		boxes       int
		cut         bool // the box from all others
		least, most time.Duration
	}{
		"6 boxes":                      {boxes: 6, least: 5 * time.Second, most: 10 * time.Second},
		"77 boxes":                     {boxes: 77, least: 5 * time.Second, most: 10 * time.Second},
		"a box that hears no other":    {boxes: 6, cut: true, most: 50 * time.Millisecond},
		"the only one knows no better": {boxes: 1, most: 50 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := context.WithCancel(t.Context())
				p := newProtocol(ctx, t, tt.boxes, 4)
				p.crowd.table.setSilent(true)
				at := p.crowd.all[tt.boxes-1]
				p.crowd.mu.Lock()
				p.crowd.cut[at.record.Address] = tt.cut
				p.crowd.mu.Unlock()
				time.Sleep(7 * time.Second)
				c := p.ask(ctx, at, "/look/")
				p.crowd.table.setSilent(false)
				p.stop(end)
				is.Equal(c.refused.Reason(), refusal.StaleConfiguration)
				is.True(c.refused.RetryAfter() >= tt.least)
				is.True(c.refused.RetryAfter() <= tt.most)
			})
		})
	}
}
