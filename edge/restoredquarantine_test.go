package edge

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/fingerprint"
	"petrelstep/platform/blocklist"
)

// TestQuarantineRowsRestored guards against requests that end upstreams again after a restart of
// all boxes, or stay refused, as the store lost the last change of their quarantine.
func TestQuarantineRowsRestored(t *testing.T) {
	fp, ends := fingerprint.New([]byte("bad")), []string{"u1", "u2", "u3"}
	part, request := blocklist.Entry{Part: true, Upstreams: ends}, blocklist.Entry{Upstreams: ends}
	refuse := func(e *Edge) { e.quarantine.Restore(time.Now(), fp, ends) }
	tests := map[string]struct {
		before func(e *Edge)     // known to the box
		stored []blocklist.Entry // in the copy
		want   []blocklist.Entry
	}{
		"request lost":         {before: refuse, want: []blocklist.Entry{request}},
		"part lost":            {before: func(e *Edge) { e.quarantine.RestorePart(time.Now(), fp, ends) }, want: []blocklist.Entry{part}},
		"stored":               {before: refuse, stored: []blocklist.Entry{request}, want: []blocklist.Entry{request}},
		"removal lost":         {before: func(e *Edge) { refuse(e); time.Sleep(time.Second); e.quarantine.Release(time.Now(), fp) }, stored: []blocklist.Entry{request}},
		"not known to the box": {before: func(*Edge) {}, stored: []blocklist.Entry{request}, want: []blocklist.Entry{request}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 1, 1, 3)
				e := c.all[0]
				tt.before(e)
				e.quarantine.Tick(time.Now())
				synctest.Wait()
				c.quarantines.mu.Lock()
				clear(c.quarantines.rows)
				for _, entry := range tt.stored {
					c.quarantines.rows[fp] = entry
				}
				c.quarantines.mu.Unlock()
				e.onStoreRestored(1, 2)
				e.rewriteQuarantine(t.Context())
				synctest.Wait()
				var rows []blocklist.Entry
				for entry := range maps.Values(c.quarantines.rows) {
					rows = append(rows, entry)
				}
				is.Equal(rows, tt.want)
			})
		})
	}
}
