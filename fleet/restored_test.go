package fleet_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/fleet"
	"petrelstep/revision"
)

// at returns an upstream as its entry says in a version of an era.
func at(id string, state fleet.State, era int, version int64) fleet.Upstream {
	u := up(id, state, 0)
	u.Version = revision.New(era, version)
	return u
}

// TestRestored guards against upstreams that are given up or offered again by an older copy of the
// store: it lacks the entries of the seconds that it has lost, and holds those removed in them.
func TestRestored(t *testing.T) {
	const soon, waiting, later = grace - time.Millisecond, revision.RestoreTime - time.Millisecond, revision.RestoreTime + time.Millisecond
	known := func(f *fleet.Fleet, now time.Time) { // in era 1, up to version 90
		f.Replace(now, []fleet.Upstream{at("old", fleet.Open, 1, 5), at("kept", fleet.Open, 1, 20)}, revision.New(1, 30), false)
		f.Put(now, at("new", fleet.Open, 1, 80))
		f.Remove(now, "kept", revision.New(1, 90), false)
	}
	copied := func(f *fleet.Fleet, now time.Time, era int) { // as of version 40
		f.Replace(now, []fleet.Upstream{at("old", fleet.Open, era, 5), at("kept", fleet.Open, era, 20)}, revision.New(era, 45), false)
	}
	tests := map[string]struct {
		id                   string
		then                 func(f *fleet.Fleet, now time.Time) // after the copy was read
		soon, waiting, later bool                                // whether the upstream takes requests
	}{
		"in the copy":                 {id: "old", soon: true, waiting: true, later: true},
		"added in the lost seconds":   {id: "new", soon: true},
		"added again":                 {id: "new", then: func(f *fleet.Fleet, now time.Time) { f.Put(now, at("new", fleet.Open, 2, 50)) }, soon: true, waiting: true, later: true},
		"added again as draining":     {id: "new", then: func(f *fleet.Fleet, now time.Time) { f.Put(now, at("new", fleet.Leaving, 2, 50)) }},
		"removed in the lost seconds": {id: "kept", later: true},
		"given up, then added again": {id: "new", then: func(f *fleet.Fleet, now time.Time) {
			f.Tick(now.Add(grace))
			copied(f, now, 3)
			f.Put(now, at("new", fleet.Open, 3, 50))
		}, soon: true, waiting: true, later: true},
		"removed again":                    {id: "kept", then: func(f *fleet.Fleet, now time.Time) { f.Remove(now, "kept", revision.New(2, 50), false) }},
		"written since the copy":           {id: "kept", then: func(f *fleet.Fleet, now time.Time) { f.Put(now, at("kept", fleet.Open, 2, 50)) }, soon: true, waiting: true, later: true},
		"removed, as a hub tells":          {id: "kept", then: func(f *fleet.Fleet, now time.Time) { f.UpdateFromPeer(now, at("kept", fleet.Leaving, 2, 50)) }},
		"open, as a hub tells by its copy": {id: "kept", then: func(f *fleet.Fleet, now time.Time) { f.UpdateFromPeer(now, at("kept", fleet.Open, 2, 20)) }, later: true},
		"removed since, missing at once":   {id: "old", then: func(f *fleet.Fleet, now time.Time) { f.Replace(now, nil, revision.New(2, 60), false) }},
		"a listing of the earlier era":     {id: "old", then: func(f *fleet.Fleet, now time.Time) { f.Replace(now, nil, revision.New(1, 95), false) }, soon: true, waiting: true, later: true},
		"a removal of the earlier era":     {id: "old", then: func(f *fleet.Fleet, now time.Time) { f.Remove(now, "old", revision.New(1, 95), false) }, soon: true, waiting: true, later: true},
		"restored once more":               {id: "kept", then: func(f *fleet.Fleet, now time.Time) { copied(f, now, 3) }, later: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, now := fleet.New(grace), time.Now()
			known(f, now)
			copied(f, now, 2)
			if tt.then != nil {
				tt.then(f, now)
			}
			f.Tick(now.Add(soon))
			is.Equal(f.Takes(tt.id), tt.soon)
			f.Tick(now.Add(waiting))
			is.Equal(f.Takes(tt.id), tt.waiting)
			f.Tick(now.Add(time.Minute / 2)) // the table was not read since
			is.Equal(f.Takes(tt.id), tt.waiting)
			f.Confirm(now.Add(later))
			f.Tick(now.Add(time.Minute / 2))
			is.Equal(f.Takes(tt.id), tt.later)
		})
	}
}

// TestRestoredStart guards against a box that starts while the store holds an older copy, and sends
// requests to an upstream of which others know that it has left.
func TestRestoredStart(t *testing.T) {
	tests := map[string]struct {
		told  fleet.Upstream // by another box, before this one reads the copy
		later bool
	}{
		"removed in the earlier era":         {told: at("u", fleet.Leaving, 1, 90), later: true},
		"removal kept over the restore":      {told: at("u", fleet.Leaving, 2, 20)},
		"removed since":                      {told: at("u", fleet.Leaving, 2, 50)},
		"announced, which is not taken back": {told: fleet.Upstream{ID: "u", State: fleet.Leaving, Announced: true, Version: revision.New(1, 90)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, now := fleet.New(grace), time.Now()
			f.UpdateFromPeer(now, tt.told)
			f.Replace(now, []fleet.Upstream{at("u", fleet.Open, 2, 20)}, revision.New(2, 45), false)
			is.True(!f.Takes("u"))
			f.Confirm(now.Add(revision.RestoreTime + time.Millisecond))
			f.Tick(now.Add(revision.RestoreTime + time.Millisecond))
			is.Equal(f.Takes("u"), tt.later)
			f.UpdateFromPeer(now, at("u", fleet.Open, 2, 60)) // written again since
			is.Equal(f.Takes("u"), !tt.told.Announced)
		})
	}
}

// TestRewrittenTold guards against an upstream that one box gives up for good, as it has read the
// restored store before the upstream's entry was written again, and that the boxes which have read it
// later take for unchanged.
func TestRewrittenTold(t *testing.T) {
	tests := map[string]struct {
		id      string
		version int64 // that the reader finds
		told    bool
	}{
		"written again":                   {"new", 60, true},
		"written again in the same order": {"new", 41, true},
		"in the copy":                     {"old", 5, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			boxes := map[string]*fleet.Fleet{}
			before := []fleet.Upstream{at("old", fleet.Open, 1, 5), at("kept", fleet.Open, 1, 40), at("new", fleet.Open, 1, 41)}
			for _, name := range []string{"early", "reader", "hub"} {
				boxes[name] = fleet.New(grace)
				boxes[name].Replace(now, before, revision.New(1, 41), false)
			}
			early, reader, hub := boxes["early"], boxes["reader"], boxes["hub"]
			_, seen := reader.Since(0)
			_, seenByHub := hub.Since(0)
			early.Replace(now, []fleet.Upstream{at("old", fleet.Open, 2, 5), at("kept", fleet.Open, 2, 40)}, revision.New(2, 40), false)
			after := map[string]int64{"old": 5, "kept": 40, "new": 41}
			after[tt.id] = tt.version
			var list []fleet.Upstream
			for id, version := range after {
				list = append(list, at(id, fleet.Open, 2, version))
			}
			reader.Replace(now, list, revision.New(2, 70), false)
			changed, _ := reader.Since(seen)
			for _, u := range changed {
				hub.UpdateFromPeer(now, u)
			}
			changed, _ = hub.Since(seenByHub)
			for _, u := range changed {
				early.UpdateFromPeer(now, u)
			}
			is.Equal(slices.ContainsFunc(changed, func(u fleet.Upstream) bool { return u.ID == tt.id }), tt.told)
			early.Tick(now.Add(2 * grace))
			is.True(early.Takes(tt.id))
		})
	}
}

// TestRemovalTold guards against an upstream that has left and that a box offers again for good: it has
// read the restored store before the removal was written again, and those that have read it later take
// the removal for known, as that box has told them the version of the copy's entry.
func TestRemovalTold(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	boxes := map[string]*fleet.Fleet{}
	for _, name := range []string{"early", "reader"} {
		boxes[name] = fleet.New(grace)
		boxes[name].Replace(now, []fleet.Upstream{at("old", fleet.Open, 1, 5), at("kept", fleet.Open, 1, 20)}, revision.New(1, 30), false)
		boxes[name].Remove(now, "kept", revision.New(1, 90), false)
	}
	early, reader := boxes["early"], boxes["reader"]
	_, seenByReader := early.Since(0)
	early.Replace(now, []fleet.Upstream{at("old", fleet.Open, 2, 5), at("kept", fleet.Open, 2, 20)}, revision.New(2, 45), false)
	departures, _ := early.Departing(now, time.Minute, seenByReader)
	for _, d := range departures {
		reader.ApplyDeparture(now, d, "peer")
	}
	_, seen := reader.Since(0)
	reader.Replace(now, []fleet.Upstream{at("old", fleet.Open, 2, 5)}, revision.New(2, 60), false)
	changed, _ := reader.Since(seen)
	for _, u := range changed {
		early.UpdateFromPeer(now, u)
	}
	later := now.Add(revision.RestoreTime + time.Millisecond)
	early.Confirm(later)
	early.Tick(later)
	is.True(!early.Takes("kept"))
	_, seen = reader.Since(0)
	reader.Replace(now, []fleet.Upstream{at("old", fleet.Open, 2, 5)}, revision.New(2, 61), false)
	changed, _ = reader.Since(seen)
	is.Equal(len(changed), 0) // told once
}

// TestRemovedDuringReturn guards against requests to an upstream that has left, as its grace counted
// from the listing: the store may have been back, and the removal written again, over a second before.
func TestRemovedDuringReturn(t *testing.T) {
	const late = time.Second // from the last failed call to the listing
	tests := map[string]struct {
		failed time.Duration // before the listing; 0 for no failed call
		grace  time.Duration // after it
	}{
		"calls failed until then":  {failed: late, grace: grace - late},
		"calls failed long before": {failed: time.Minute, grace: grace},
		"no call failed":           {grace: grace},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, now := fleet.New(grace), time.Now()
			f.Replace(now, []fleet.Upstream{at("old", fleet.Open, 1, 5), at("gone", fleet.Open, 1, 20)}, revision.New(1, 30), false)
			if tt.failed > 0 {
				f.RecordFailure(now.Add(-tt.failed))
			}
			f.Replace(now, []fleet.Upstream{at("old", fleet.Open, 2, 5)}, revision.New(2, 40), true)
			f.Tick(now.Add(tt.grace - time.Millisecond))
			is.True(f.Takes("gone"))
			f.Tick(now.Add(tt.grace))
			is.True(!f.Takes("gone"))
		})
	}
}
