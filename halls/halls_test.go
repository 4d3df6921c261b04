package halls_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/halls"
	"petrelstep/revision"
)

// TestUpdate applies updates of one hall from several sources and out of order.
func TestUpdate(t *testing.T) {
	evacuated := func(version revision.Revision) halls.Status {
		return halls.Status{Hall: "leith", Evacuated: true, Version: version}
	}
	cancelled := func(version revision.Revision) halls.Status { return halls.Status{Hall: "leith", Version: version} }
	tests := map[string]struct {
		update  func(h *halls.Halls, now time.Time)
		want    bool
		changes string // as notified, in order
	}{
		"nothing known": {func(*halls.Halls, time.Time) {}, false, "[]"},
		"evacuated":     {func(h *halls.Halls, now time.Time) { h.Update(now, evacuated(4), "") }, true, "[true]"},
		"evacuated, reported twice": {func(h *halls.Halls, now time.Time) {
			h.Update(now, evacuated(4), "")
			h.Update(now, evacuated(4), "")
		}, true, "[true]"},
		"cancelled": {func(h *halls.Halls, now time.Time) {
			h.Update(now, evacuated(4), "")
			h.Update(now, cancelled(6), "")
		}, false, "[true false]"},
		"a delayed older status": {func(h *halls.Halls, now time.Time) {
			h.Update(now, cancelled(6), "")
			h.Update(now, evacuated(4), "")
		}, false, "[]"},
		"evacuated again": {func(h *halls.Halls, now time.Time) {
			h.Update(now, evacuated(4), "")
			h.Update(now, cancelled(6), "")
			h.Update(now, evacuated(7), "")
		}, true, "[true false true]"},
		"a listing without it": {func(h *halls.Halls, now time.Time) {
			h.Update(now, evacuated(4), "")
			h.Replace(now, nil, 9, "")
		}, false, "[true false]"},
		"an older listing without it": {func(h *halls.Halls, now time.Time) {
			h.Update(now, evacuated(12), "")
			h.Replace(now, nil, 9, "")
		}, true, "[true]"},
		"a listing with it": {func(h *halls.Halls, now time.Time) {
			h.Update(now, evacuated(4), "")
			h.Replace(now, []halls.Status{evacuated(4)}, 9, "")
		}, true, "[true]"},
		"a listing of another hall": {func(h *halls.Halls, now time.Time) {
			h.Update(now, evacuated(4), "")
			h.Replace(now, []halls.Status{{Hall: "gorgie", Evacuated: true, Version: 5}}, 9, "")
		}, false, "[true true false]"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			changes := []bool{}
			h := halls.New(func(s halls.Status, _ string) { changes = append(changes, s.Evacuated) })
			tt.update(h, time.Now())
			got := false
			for _, s := range h.All() {
				got = got || s.Hall == "leith" && s.Evacuated
			}
			is.Equal(got, tt.want)
			is.Equal(fmt.Sprint(changes), tt.changes)
		})
	}
}
