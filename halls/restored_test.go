package halls_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/halls"
	"petrelstep/revision"
)

// TestRestored guards against an evacuation that ends as an older copy of the store lacks it.
func TestRestored(t *testing.T) {
	status := func(evacuated bool, era int, version int64) halls.Status {
		return halls.Status{Hall: "h", Evacuated: evacuated, Version: revision.New(era, version)}
	}
	tests := map[string]struct {
		then        func(h *halls.Halls, now time.Time) // after the copy was read
		soon, later bool                                // whether the hall is evacuated
	}{
		"lost":                 {soon: true},
		"ordered again":        {then: func(h *halls.Halls, now time.Time) { h.Update(now, status(true, 2, 50), "store") }, soon: true, later: true},
		"cancelled since":      {then: func(h *halls.Halls, now time.Time) { h.Update(now, status(false, 2, 50), "store") }},
		"read again":           {then: func(h *halls.Halls, now time.Time) { h.Replace(now, nil, revision.New(2, 60), "store") }, soon: true},
		"of the earlier era":   {then: func(h *halls.Halls, now time.Time) { h.Update(now, status(false, 1, 95), "hub") }},
		"told by another hub":  {then: func(h *halls.Halls, now time.Time) { h.Update(now, status(false, 2, 45), "hub") }},
		"restored once more":   {then: func(h *halls.Halls, now time.Time) { h.Replace(now, nil, revision.New(3, 45), "store") }, soon: true},
		"evacuated in another": {then: func(h *halls.Halls, now time.Time) { h.Update(now, status(true, 3, 10), "store") }, soon: true, later: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, now := halls.New(func(halls.Status, string) {}), time.Now()
			h.Update(now, status(true, 1, 90), "store")
			h.Replace(now, nil, revision.New(2, 45), "store")
			if tt.then != nil {
				tt.then(h, now)
			}
			tick(h, now.Add(revision.RestoreTime-time.Millisecond))
			is.Equal(h.All()[0].Evacuated, tt.soon)
			h.Tick(now.Add(time.Minute), now) // the table was not read since
			is.Equal(h.All()[0].Evacuated, tt.soon)
			tick(h, now.Add(revision.RestoreTime+time.Millisecond))
			is.Equal(h.All()[0].Evacuated, tt.later)
		})
	}
}

// tick ticks at a time at which the table is read.
func tick(h *halls.Halls, now time.Time) { h.Tick(now, now) }
