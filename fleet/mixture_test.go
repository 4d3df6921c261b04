package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/fleet"
	"petrelstep/revision"
)

// released returns an upstream of a release.
func released(id, release string, version revision.Revision) fleet.Upstream {
	return fleet.Upstream{ID: id, Service: "llm", Address: id + ":1", Hall: "leith", Slots: 8, State: fleet.Open, Version: version, Release: release}
}

// TestUniform checks when a service counts as having one release only, and since when.
func TestUniform(t *testing.T) {
	const later = 10 * time.Second
	tests := map[string]struct {
		change  func(f *fleet.Fleet)
		release string
		since   time.Duration // after the first upstream was known
		uniform bool
	}{
		"one release":                   {func(*fleet.Fleet) {}, "a", 0, true},
		"another of it":                 {func(f *fleet.Fleet) { f.Put(time.Now(), released("u2", "a", 2)) }, "a", 0, true},
		"another release":               {func(f *fleet.Fleet) { f.Put(time.Now(), released("u2", "b", 2)) }, "", 0, false},
		"an unknown release":            {func(f *fleet.Fleet) { f.Put(time.Now(), released("u2", "", 2)) }, "", 0, false},
		"another service":               {func(f *fleet.Fleet) { u := released("u2", "b", 2); u.Service = "plain"; f.Put(time.Now(), u) }, "a", 0, true},
		"its entry changes the release": {func(f *fleet.Fleet) { f.Put(time.Now(), released("u1", "b", 2)) }, "b", later, true},
		"its entry changes the service": {func(f *fleet.Fleet) { u := released("u1", "a", 2); u.Service = "plain"; f.Put(time.Now(), u) }, "", 0, false},
		"it restarts with another": {func(f *fleet.Fleet) {
			u := released("u1", "b", 1)
			u.StartedAt = 200
			f.Put(time.Now(), u)
		}, "b", later, true},
		"another release that has left": {func(f *fleet.Fleet) {
			f.Put(time.Now(), released("u2", "b", 2))
			f.Remove(time.Now(), "u2", 3, false)
		}, "", 0, false},
		"another release that was forgotten": {func(f *fleet.Fleet) {
			f.Put(time.Now(), released("u2", "b", 2))
			f.Remove(time.Now(), "u2", 3, false)
			time.Sleep(time.Minute)
			f.Tick(time.Now())
		}, "a", later + time.Minute, true},
		"a peer tells another release": {func(f *fleet.Fleet) { f.UpdateFromPeer(time.Now(), released("u2", "b", 2)) }, "", 0, false},
		"a peer tells no release":      {func(f *fleet.Fleet) { f.UpdateFromPeer(time.Now(), released("u1", "", 2)) }, "a", 0, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, began := fleet.New(time.Second), time.Now()
				u := released("u1", "a", 1)
				u.StartedAt = 100
				f.Put(time.Now(), u)
				time.Sleep(later)
				tt.change(f)
				release, since, uniform := f.Uniform("llm")
				is.Equal(uniform, tt.uniform)
				if uniform {
					is.Equal(release, tt.release)
					is.Equal(since.Sub(began), tt.since)
				}
			})
		})
	}
}

// TestContinues checks where streams that a release began can go on.
func TestContinues(t *testing.T) {
	tests := map[string]struct {
		list    []fleet.Upstream
		change  func(f *fleet.Fleet)
		release string
		except  []string
		want    bool
	}{
		"another of the release":          {list: []fleet.Upstream{released("u1", "a", 1), released("u2", "a", 1)}, release: "a", except: []string{"u1"}, want: true},
		"only the one it left":            {list: []fleet.Upstream{released("u1", "a", 1), released("u2", "b", 1)}, release: "a", except: []string{"u1"}},
		"no release known":                {list: []fleet.Upstream{released("u1", "", 1), released("u2", "", 1)}, except: []string{"u1"}, want: true},
		"unknown, beside another":         {list: []fleet.Upstream{released("u1", "", 1), released("u2", "", 1), released("u3", "b", 1)}, except: []string{"u1"}},
		"no upstreams":                    {release: "a"},
		"the other leaves":                {list: []fleet.Upstream{released("u1", "a", 1), released("u2", "a", 1)}, change: leave("u2"), release: "a", except: []string{"u1"}},
		"its hall is evacuated":           {list: []fleet.Upstream{released("u1", "a", 1)}, change: func(f *fleet.Fleet) { f.CloseHall(time.Now(), "leith") }, release: "a"},
		"the release takes no requests":   {list: []fleet.Upstream{released("u1", "a", 1), released("u2", "b", 1)}, change: only("b"), release: "a"},
		"the only one that takes some":    {list: []fleet.Upstream{released("u1", "a", 1), released("u2", "b", 1)}, change: only("b"), release: "b", want: true},
		"its entry lapsed with the store": {list: []fleet.Upstream{released("u1", "a", 1)}, change: func(f *fleet.Fleet) { f.Remove(time.Now(), "u1", 2, true) }, release: "a", want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := fleet.New(time.Second)
			for _, u := range tt.list {
				f.Put(time.Now(), u)
			}
			if tt.change != nil {
				tt.change(f)
			}
			is.New(t).Equal(f.Continues("llm", tt.release, tt.except...), tt.want)
		})
	}
}

func leave(id string) func(f *fleet.Fleet) {
	return func(f *fleet.Fleet) { f.ApplyDeparture(time.Now(), fleet.Departure{ID: id, Announced: true}, "test") }
}

func only(release string) func(f *fleet.Fleet) {
	return func(f *fleet.Fleet) { f.SetReleases(time.Now(), "llm", fleet.Releases{Only: release}) }
}
