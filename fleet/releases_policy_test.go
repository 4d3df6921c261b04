package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/fleet"
	"petrelstep/revision"
)

const holdTime = 2 * time.Second

// checkLists checks which upstreams of the service take requests, by all queries, with
// cached lists and with new ones.
func checkLists(t *testing.T, f *fleet.Fleet, all, serving, trial []string) {
	t.Helper()
	is := is.New(t)
	for range 2 {
		is.Equal(strings.Join(ids(f.Serving("s")), " "), strings.Join(serving, " "))
		is.Equal(strings.Join(ids(f.Trial("s")), " "), strings.Join(trial, " "))
		for _, id := range all {
			is.Equal(f.Serves(id), slices.Contains(serving, id))
			is.Equal(f.Takes(id), slices.Contains(serving, id) || slices.Contains(trial, id))
		}
	}
}

// TestReleases checks which upstreams take requests under each policy. a1 and a2 are of
// release a, b1 and b2 of b, u's is unknown.
func TestReleases(t *testing.T) {
	all := []string{"a1", "a2", "b1", "b2", "u"}
	tests := map[string]struct {
		releases fleet.Releases
		serving  []string
		trial    []string
		vacated  []string
	}{
		"all":                               {fleet.Releases{}, all, nil, nil},
		"only one":                          {fleet.Releases{Only: "b"}, []string{"b1", "b2"}, nil, []string{"a1", "a2", "u"}},
		"only one that is not there":        {fleet.Releases{Only: "c"}, nil, nil, all},
		"all but one":                       {fleet.Releases{Except: []string{"b"}}, []string{"a1", "a2", "u"}, nil, []string{"b1", "b2"}},
		"all but several":                   {fleet.Releases{Except: []string{"c", "b", "a"}}, []string{"u"}, nil, []string{"a1", "a2", "b1", "b2"}},
		"all but unknown ones":              {fleet.Releases{Except: []string{""}}, []string{"a1", "a2", "b1", "b2"}, nil, []string{"u"}},
		"one on trial":                      {fleet.Releases{Trial: "b"}, []string{"a1", "a2", "u"}, []string{"b1", "b2"}, nil},
		"one on trial that is not there":    {fleet.Releases{Trial: "c"}, all, nil, nil},
		"one on trial, only another":        {fleet.Releases{Only: "a", Trial: "b"}, []string{"a1", "a2"}, []string{"b1", "b2"}, []string{"u"}},
		"one on trial, not another":         {fleet.Releases{Except: []string{"a"}, Trial: "b"}, []string{"u"}, []string{"b1", "b2"}, []string{"a1", "a2"}},
		"on trial and excluded":             {fleet.Releases{Except: []string{"b"}, Trial: "b"}, []string{"a1", "a2", "u"}, nil, []string{"b1", "b2"}},
		"on trial and the only one":         {fleet.Releases{Only: "b", Trial: "b"}, []string{"b1", "b2"}, nil, []string{"a1", "a2", "u"}},
		"the only one and excluded":         {fleet.Releases{Only: "b", Except: []string{"b"}}, nil, nil, all},
		"only one, another is excluded":     {fleet.Releases{Only: "b", Except: []string{"a"}}, []string{"b1", "b2"}, nil, []string{"a1", "a2", "u"}},
		"only one, excluded and on trial":   {fleet.Releases{Only: "a", Except: []string{"b"}, Trial: "b"}, []string{"a1", "a2"}, nil, []string{"b1", "b2", "u"}},
		"on trial, two others are excluded": {fleet.Releases{Except: []string{"a", ""}, Trial: "b"}, nil, []string{"b1", "b2"}, []string{"a1", "a2", "u"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := fleet.New(grace)
			for _, id := range all {
				release := id[:1]
				if id == "u" {
					release = ""
				}
				f.Put(now, of(release, up(id, fleet.Open, 1)))
			}
			f.Put(now, of("b", fleet.Upstream{ID: "other", Service: "s2", State: fleet.Open}))
			checkLists(t, f, all, all, nil)
			f.SetReleases(now, "s", tt.releases)
			checkLists(t, f, all, tt.serving, tt.trial)
			is.New(t).True(tt.releases.Trial != "" || f.Trial("s") == nil)
			for _, id := range all {
				is.New(t).Equal(f.IsVacated(id), slices.Contains(tt.vacated, id))
			}
			is.New(t).Equal(ids(f.Serving("s2")), []string{"other"}) // another service's policy
			f.SetReleases(now, "s", fleet.Releases{})
			checkLists(t, f, all, all, nil)
		})
	}
}

// TestReleasesFollow checks that lists follow the changes of upstreams while a release is
// on trial.
func TestReleasesFollow(t *testing.T) {
	is := is.New(t)
	f := fleet.New(grace)
	all := []string{"a1", "b1", "b2"}
	f.Put(now, of("a", up("a1", fleet.Open, 1)))
	f.Put(now, of("b", up("b1", fleet.Open, 1)))
	f.SetReleases(now, "s", fleet.Releases{Trial: "b"})
	checkLists(t, f, all, []string{"a1"}, []string{"b1"})
	f.Put(now, of("b", up("b2", fleet.Open, 2)))
	checkLists(t, f, all, []string{"a1"}, []string{"b1", "b2"})
	f.ApplyDeparture(now, announced("b1"), "report")
	checkLists(t, f, all, []string{"a1"}, []string{"b2"})
	f.Put(now, of("b", startedAt(20, up("a1", fleet.Open, 3)))) // restarted with the other release
	checkLists(t, f, all, nil, []string{"a1", "b2"})
	f.CloseHall(now, "")
	checkLists(t, f, all, nil, nil)
	is.True(!f.IsVacated("b2")) // runs in a closed hall continue
	f.OpenHall("", now)
	checkLists(t, f, all, nil, []string{"a1", "b2"})
	f.SetReleases(now, "s", fleet.Releases{Only: "b"})
	checkLists(t, f, all, []string{"a1", "b2"}, nil)
	is.True(f.IsVacated("b1")) // it leaves
	is.True(f.IsVacated("unknown"))
}

// TestOtherReleases checks the upstreams of other releases than one.
func TestOtherReleases(t *testing.T) {
	is := is.New(t)
	f := fleet.New(grace)
	for _, id := range []string{"a3", "a2", "a1", "b1"} {
		f.Put(now, of(id[:1], up(id, fleet.Open, 1)))
	}
	f.Put(now, up("u", fleet.Open, 1))
	f.ApplyDeparture(now, announced("a2"), "report")
	f.SetReleases(now, "s", fleet.Releases{Only: "b"})
	is.Equal(ids(f.OtherReleases("s", "b")), []string{"a1", "a3", "u"})
	is.Equal(ids(f.OtherReleases("s", "a")), []string{"b1", "u"})
	is.Equal(ids(f.OtherReleases("s2", "a")), []string{})
}

// TestReplacedReleaseLeaves checks that the runs of a release count as moving for some time
// after another is the only one that takes requests.
func TestReplacedReleaseLeaves(t *testing.T) {
	is := is.New(t)
	f := fleet.New(grace)
	for _, id := range []string{"a1", "b1", "c1"} {
		f.Put(now, of(id[:1], up(id, fleet.Open, 1)))
	}
	recently := func(after time.Duration) []string {
		return ids(f.RecentlyLeaving(now.Add(after), "s", 4*time.Second))
	}
	f.SetReleases(now, "s", fleet.Releases{Except: []string{"b"}})
	is.Equal(recently(0), []string{}) // its runs stay
	f.SetReleases(now, "s", fleet.Releases{Only: "a", Trial: "b"})
	is.Equal(recently(0), []string{"c1"})
	f.SetReleases(now.Add(time.Second), "s", fleet.Releases{Only: "b"})
	f.SetReleases(now.Add(2*time.Second), "s", fleet.Releases{Only: "b", Except: []string{"a"}})
	is.Equal(recently(4900*time.Millisecond), []string{"a1", "c1"})
	is.Equal(recently(5100*time.Millisecond), []string{})
}

// TestHold checks when an upstream of a new release takes requests. The fleet has a1 and a2
// of release a.
func TestHold(t *testing.T) {
	b1 := of("b", up("b1", fleet.Open, 3))
	put := func(after time.Duration, u fleet.Upstream) func(f *fleet.Fleet) {
		return func(f *fleet.Fleet) { f.Put(now.Add(after), u) }
	}
	tick := func(after time.Duration) func(f *fleet.Fleet) { return func(f *fleet.Fleet) { f.Tick(now.Add(after)) } }
	set := func(r fleet.Releases) func(f *fleet.Fleet) {
		return func(f *fleet.Fleet) { f.SetReleases(now, "s", r) }
	}
	tests := map[string]struct {
		updates []func(f *fleet.Fleet)
		serving []string
		trial   []string
	}{
		"a new release":                 {[]func(*fleet.Fleet){put(0, b1)}, []string{"a1", "a2"}, nil},
		"a new release, from a hub":     {[]func(*fleet.Fleet){func(f *fleet.Fleet) { f.UpdateFromPeer(now, b1) }}, []string{"a1", "a2"}, nil},
		"the same release":              {[]func(*fleet.Fleet){put(0, of("a", up("a3", fleet.Open, 3)))}, []string{"a1", "a2", "a3"}, nil},
		"an unknown release":            {[]func(*fleet.Fleet){put(0, up("u", fleet.Open, 3))}, []string{"a1", "a2", "u"}, nil},
		"just before the end":           {[]func(*fleet.Fleet){put(0, b1), tick(holdTime - 1)}, []string{"a1", "a2"}, nil},
		"at the end":                    {[]func(*fleet.Fleet){put(0, b1), tick(holdTime)}, []string{"a1", "a2", "b1"}, nil},
		"a second one shortly after":    {[]func(*fleet.Fleet){put(0, b1), put(time.Second, of("b", up("b2", fleet.Open, 4)))}, []string{"a1", "a2"}, nil},
		"a second one after the end":    {[]func(*fleet.Fleet){put(0, b1), tick(holdTime), put(holdTime, of("b", up("b2", fleet.Open, 4)))}, []string{"a1", "a2", "b1", "b2"}, nil},
		"the first one's hold ends":     {[]func(*fleet.Fleet){put(0, b1), put(time.Second, of("b", up("b2", fleet.Open, 4))), tick(holdTime)}, []string{"a1", "a2", "b1", "b2"}, nil},
		"restarts with another release": {[]func(*fleet.Fleet){put(0, of("b", startedAt(20, up("a1", fleet.Open, 3))))}, []string{"a2"}, nil},
		"all restart with another release": {[]func(*fleet.Fleet){
			put(0, of("b", startedAt(20, up("a1", fleet.Open, 3)))), put(0, of("b", startedAt(20, up("a2", fleet.Open, 3))))}, []string{"a1", "a2"}, nil},
		"an entry of another release": {[]func(*fleet.Fleet){put(0, of("b", startedAt(10, up("a1", fleet.Open, 3))))}, []string{"a2"}, nil},
		"the others leave": {[]func(*fleet.Fleet){put(0, b1), func(f *fleet.Fleet) { f.Serving("s") }, func(f *fleet.Fleet) {
			f.ApplyDeparture(now, announced("a1"), "x")
			f.ApplyDeparture(now, announced("a2"), "x")
		}}, []string{"b1"}, nil},
		"the others' hall is evacuated":    {[]func(*fleet.Fleet){put(0, fleet.Upstream{ID: "b1", Service: "s", Hall: "h", Release: "b", State: fleet.Open}), func(f *fleet.Fleet) { f.CloseHall(now, "") }}, []string{"b1"}, nil},
		"an order for another release":     {[]func(*fleet.Fleet){put(0, b1), set(fleet.Releases{Trial: "c"})}, []string{"a1", "a2"}, nil},
		"an order tries it":                {[]func(*fleet.Fleet){put(0, b1), set(fleet.Releases{Trial: "b"})}, []string{"a1", "a2"}, []string{"b1"}},
		"an order serves it":               {[]func(*fleet.Fleet){put(0, b1), set(fleet.Releases{Only: "b"})}, []string{"b1"}, nil},
		"the others take no requests":      {[]func(*fleet.Fleet){put(0, b1), set(fleet.Releases{Except: []string{"a"}})}, []string{"b1"}, nil},
		"the order is gone before the end": {[]func(*fleet.Fleet){put(0, b1), set(fleet.Releases{Trial: "b"}), set(fleet.Releases{})}, []string{"a1", "a2"}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := fleet.New(grace)
			f.HoldNewReleases(holdTime)
			f.Replace(now.Add(-time.Minute), []fleet.Upstream{
				of("a", startedAt(10, up("a1", fleet.Open, 1))), of("a", startedAt(10, up("a2", fleet.Open, 1)))}, 1, false)
			f.Confirm(now.Add(-time.Minute))
			is.New(t).Equal(ids(f.Serving("s")), []string{"a1", "a2"})
			for _, update := range tt.updates {
				update(f)
				f.Serving("s")
			}
			checkLists(t, f, []string{"a1", "a2", "a3", "b1", "b2", "u"}, tt.serving, tt.trial)
			f.Tick(now.Add(time.Minute))
			is.New(t).Equal(len(f.Serving("s")) >= len(tt.serving), true)
		})
	}
}

// TestNoHold checks that nothing is held by default, nor what a box knows when it starts,
// nor a service's first upstreams.
func TestNoHold(t *testing.T) {
	a1, b1 := of("a", up("a1", fleet.Open, 1)), of("b", up("b1", fleet.Open, 2))
	tests := map[string]func(f *fleet.Fleet){
		"by default": func(f *fleet.Fleet) { f.Confirm(now); f.Put(now, a1); f.Put(now.Add(time.Hour), b1) },
		"at the start, a listing": func(f *fleet.Fleet) {
			f.HoldNewReleases(holdTime)
			f.Replace(now, []fleet.Upstream{b1, a1}, 3, false)
			f.Confirm(now)
		},
		"at the start, changes first": func(f *fleet.Fleet) {
			f.HoldNewReleases(holdTime)
			f.UpdateFromPeer(now, b1)
			f.UpdateFromPeer(now.Add(time.Second), a1)
			f.Confirm(now)
			f.Tick(now.Add(holdTime)) // b1 has been known for long enough, a1 has not
		},
		"the first upstreams of a service": func(f *fleet.Fleet) {
			f.HoldNewReleases(holdTime)
			f.Confirm(now)
			f.Put(now, b1)
			f.Serving("s")
			f.Put(now, a1)
		},
	}
	for name, fill := range tests {
		t.Run(name, func(t *testing.T) {
			f := fleet.New(grace)
			fill(f)
			checkLists(t, f, []string{"a1", "b1"}, []string{"a1", "b1"}, nil)
		})
	}
}

// TestReleaseListsAgree compares the cached lists with new ones, and with the state of each
// upstream, under random updates.
func TestReleaseListsAgree(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(5, 5))
	names := []string{"", "a", "b", "c"}
	f, at := many(60), now
	f.HoldNewReleases(holdTime)
	f.Confirm(now)
	tried, held := 0, 0
	for step := range 4000 {
		at = at.Add(time.Duration(random.IntN(100)) * time.Millisecond)
		switch random.IntN(8) {
		case 0:
			u := one(random.IntN(80), fleet.Open, revision.Revision(step))
			u.Service = []string{"llm", "plain"}[random.IntN(2)]
			f.Put(at, startedAt(int64(step/500), of(names[random.IntN(4)], u)))
		case 1:
			f.SetReleases(at, []string{"llm", "plain"}[random.IntN(2)], randomReleases(names, random))
		default:
			randomUpdate(f, at, step, random)
		}
		for _, service := range []string{"llm", "plain"} {
			cached, cachedTrial := f.Serving(service), f.Trial(service)
			f.OpenHall("none", time.Time{}) // discards the lists
			is.Equal(ids(cached), ids(f.Serving(service)))
			is.Equal(ids(cachedTrial), ids(f.Trial(service)))
			tried += len(cachedTrial)
		}
		for i := range 80 {
			u, ok := f.Get(fmt.Sprint("u", i))
			is.Equal(f.Serves(u.ID), slices.Contains(f.Serving(u.Service), u))
			is.Equal(f.Takes(u.ID), f.Serves(u.ID) || slices.Contains(f.Trial(u.Service), u))
			if ok && !f.Takes(u.ID) && !f.IsVacated(u.ID) {
				held++ // or in a closed hall
			}
		}
	}
	is.True(tried > 1000)
	is.True(held > 1000)
}

// randomReleases returns a random policy, most often the one that serves all releases.
func randomReleases(names []string, random *rand.Rand) fleet.Releases {
	var r fleet.Releases
	if random.IntN(4) == 0 {
		r.Only = names[random.IntN(4)]
	}
	if random.IntN(3) == 0 {
		r.Trial = names[random.IntN(4)]
	}
	for random.IntN(3) == 0 {
		r.Except = append(r.Except, names[random.IntN(4)])
	}
	return r
}
