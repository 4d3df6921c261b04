package halls_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/halls"
)

// TestWords plays news of one hall, which comes from several sides and late.
func TestWords(t *testing.T) {
	evacuated := func(version int64) halls.Status {
		return halls.Status{Hall: "leith", Evacuated: true, Version: version}
	}
	back := func(version int64) halls.Status { return halls.Status{Hall: "leith", Version: version} }
	tests := map[string]struct {
		play func(h *halls.Halls, now time.Time)
		want bool
		told string // changes, in order
	}{
		"nothing known": {func(*halls.Halls, time.Time) {}, false, "[]"},
		"evacuated":     {func(h *halls.Halls, now time.Time) { h.Update(now, evacuated(4), "") }, true, "[true]"},
		"told twice": {func(h *halls.Halls, now time.Time) {
			h.Update(now, evacuated(4), "")
			h.Update(now, evacuated(4), "")
		}, true, "[true]"},
		"taken back": {func(h *halls.Halls, now time.Time) {
			h.Update(now, evacuated(4), "")
			h.Update(now, back(6), "")
		}, false, "[true false]"},
		"an older word comes late": {func(h *halls.Halls, now time.Time) {
			h.Update(now, back(6), "")
			h.Update(now, evacuated(4), "")
		}, false, "[]"},
		"evacuated again": {func(h *halls.Halls, now time.Time) {
			h.Update(now, evacuated(4), "")
			h.Update(now, back(6), "")
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
			told := []bool{}
			h := halls.New(func(w halls.Status, _ string) { told = append(told, w.Evacuated) })
			tt.play(h, time.Now())
			got := false
			for _, w := range h.All() {
				got = got || w.Hall == "leith" && w.Evacuated
			}
			is.Equal(got, tt.want)
			is.Equal(fmt.Sprint(told), tt.told)
		})
	}
}
