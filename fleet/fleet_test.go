package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/fleet"
)

const grace = 1500 * time.Millisecond

// up is an upstream as a version of the table has it.
func up(id string, state fleet.State, version int64) fleet.Upstream {
	return fleet.Upstream{ID: id, Service: "s", Address: "10.0.0.1:1", State: state, Version: version}
}

// said is the news that an upstream says that it leaves.
func said(id string) fleet.Departure { return fleet.Departure{ID: id, Announced: true} }

// gone is the news that its entry went by a change of a version.
func gone(id string, version int64) fleet.Departure {
	return fleet.Departure{ID: id, Version: version}
}

// born is an upstream's word as one of its incarnations has it.
func born(at int64, u fleet.Upstream) fleet.Upstream {
	u.StartedAt = at
	return u
}

var now = time.Now()

// steps are what is learned of one upstream, in order, and its state in the end.
var steps = map[string]struct {
	learn []func(f *fleet.Fleet)
	want  fleet.State
}{
	"listed": {[]func(*fleet.Fleet){}, fleet.Open},
	"says that it drains": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Leaving, 6)) }}, fleet.Leaving},
	"says that it drains, no newer entry brings it back": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Leaving, 6)) },
		func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Open, 7)) },
		func(f *fleet.Fleet) { f.UpdateFromPeer(now, up("u", fleet.Open, 8)) }}, fleet.Leaving},
	"its report says that it drains": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.ApplyDeparture(now, said("u"), "report") },
		func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Open, 7)) }}, fleet.Leaving},
	"an older entry told late does not bring it back": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.ApplyDeparture(now, gone("u", 6), "peer") },
		func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Open, 5)) }}, fleet.Leaving},
	"nor does an older listing": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.ApplyDeparture(now, gone("u", 6), "peer") },
		func(f *fleet.Fleet) { f.Replace(now, []fleet.Upstream{up("u", fleet.Open, 5)}, 5, false) }}, fleet.Leaving},
	"its row goes without a word": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, false) }}, fleet.Leaving},
	"its row went while it was cut off, and is back": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, false) },
		func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Open, 9)) }}, fleet.Open},
	"it is back, older news of its going is told late": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, false) },
		func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Open, 9)) },
		func(f *fleet.Fleet) { f.ApplyDeparture(now, gone("u", 6), "peer") },
		func(f *fleet.Fleet) { f.UpdateFromPeer(now, up("u", fleet.Leaving, 6)) },
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, false) }}, fleet.Open},
	"it is back, a hub tells": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.ApplyDeparture(now, gone("u", 6), "peer") },
		func(f *fleet.Fleet) { f.UpdateFromPeer(now, up("u", fleet.Open, 9)) }}, fleet.Open},
	"its row lapses in an outage": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, true) }}, fleet.Missing},
	"it is back after the outage": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, true) },
		func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Open, 7)) }}, fleet.Open},
	"it is not back in time": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, true) },
		func(f *fleet.Fleet) { f.Tick(now.Add(grace)) }}, fleet.Leaving},
	"it is back, but late": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, true) },
		func(f *fleet.Fleet) { f.Tick(now.Add(grace)) },
		func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Open, 7)) }}, fleet.Open},
	"missing from a listing": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Replace(now, []fleet.Upstream{up("v", fleet.Open, 2)}, 6, false) }}, fleet.Leaving},
	"missing from a listing that is older than its entry": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Replace(now, []fleet.Upstream{up("v", fleet.Open, 2)}, 4, false) }}, fleet.Open},
	"missing from a listing after an outage": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Replace(now, []fleet.Upstream{up("v", fleet.Open, 2)}, 6, true) }}, fleet.Missing},
	"a hub knows that it leaves": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.UpdateFromPeer(now, up("u", fleet.Leaving, 6)) }}, fleet.Leaving},
	"a hub that lags does not bring it back": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.ApplyDeparture(now, gone("u", 6), "peer") },
		func(f *fleet.Fleet) { f.UpdateFromPeer(now, up("u", fleet.Open, 5)) }}, fleet.Leaving},
	"a hub has it back": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, true) },
		func(f *fleet.Fleet) { f.UpdateFromPeer(now, up("u", fleet.Open, 7)) }}, fleet.Open},
	"a hub's grace for it is over": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, true) },
		func(f *fleet.Fleet) { f.UpdateFromPeer(now, up("u", fleet.Leaving, 6)) }}, fleet.Leaving},
}

// TestStates holds what is learned of one upstream against what may be sent to
// it in the end.
func TestStates(t *testing.T) {
	for name, tt := range steps {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fleet.New(grace)
			f.Replace(now, []fleet.Upstream{up("u", fleet.Open, 5)}, 5, false)
			for _, learn := range tt.learn {
				learn(f)
			}
			u, ok := f.Get("u")
			is.True(ok)
			is.Equal(u.State, tt.want)
			serving := false
			for _, s := range f.Serving("s") {
				serving = serving || s.ID == "u"
			}
			is.Equal(serving, tt.want != fleet.Leaving)
		})
	}
}

// TestForgottenUnread bounds for how long an upstream that left is known to a box that does not
// read the table itself, and so is not told that its entry went.
func TestForgottenUnread(t *testing.T) {
	is := is.New(t)
	f := fleet.New(grace)
	f.UpdateFromPeer(now, up("u", fleet.Open, 5))
	f.UpdateFromPeer(now, up("u", fleet.Leaving, 6))
	f.Tick(now.Add(10 * time.Minute))
	_, known := f.Get("u")
	is.True(known)
	f.Tick(now.Add(2 * time.Hour))
	_, known = f.Get("u")
	is.True(!known)
}

// TestToldBeforeListed guards against taking up an upstream that has said that it leaves
// where a hub tells so before the upstream's entry is read.
func TestToldBeforeListed(t *testing.T) {
	tests := map[string]struct {
		said  bool
		after time.Duration // until the entry is read
		want  bool          // it takes new work
	}{
		"it said so itself":       {said: true},
		"only its entry was gone": {want: true},
		"a while before":          {said: true, after: 10 * time.Minute},
		"long before":             {said: true, after: 2 * time.Hour, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fleet.New(grace)
			u := up("u", fleet.Leaving, 6)
			u.Announced = tt.said
			f.UpdateFromPeer(now, u)
			is.Equal(len(f.Serving("s")), 0)
			f.Tick(now.Add(tt.after))
			f.Put(now.Add(tt.after), up("u", fleet.Open, 7))
			is.Equal(len(f.Serving("s")) == 1, tt.want)
		})
	}
}

func TestDepartureIsToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fleet.New(grace)
		var mu sync.Mutex
		told := 0
		f.Subscribe(func(fleet.Upstream, string) {
			mu.Lock()
			defer mu.Unlock()
			told++
		})
		now := time.Now()
		f.Put(now, up("u", fleet.Open, 5))
		f.Put(now, up("u", fleet.Leaving, 6))
		f.Remove(now, "u", 7, false)
		f.ApplyDeparture(now, gone("u", 7), "peer")
		synctest.Wait()
		is.Equal(told, 1)
		f.Put(now, up("v", fleet.Open, 5))
		f.Remove(now, "v", 6, false)
		f.Put(now, up("v", fleet.Open, 8))
		f.Put(now, up("v", fleet.Open, 9))
		synctest.Wait()
		is.Equal(told, 3) // it leaves, and is back
	})
}

func TestSinceTellsChangesOnly(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := fleet.New(grace)
	f.Replace(now, []fleet.Upstream{up("u", fleet.Open, 5), up("v", fleet.Open, 5)}, 5, false)
	all, at := f.Since(0)
	is.Equal(len(all), 2)
	none, same := f.Since(at)
	is.Equal(len(none), 0)
	is.Equal(same, at)
	f.Put(now, up("u", fleet.Open, 6)) // nothing new
	f.ApplyDeparture(now, gone("v", 7), "peer")
	changed, later := f.Since(at)
	is.Equal(len(changed), 1)
	is.Equal(changed[0].State, fleet.Leaving)
	is.True(later > at)
	// What left long ago is forgotten, and is not taken from a hub that remembers.
	f.Remove(now, "v", 7, false)
	f.Tick(now.Add(2 * time.Minute))
	_, ok := f.Get("v")
	is.True(!ok)
	f.UpdateFromPeer(now, up("v", fleet.Leaving, 7))
	_, ok = f.Get("v")
	is.True(!ok)
}

// TestServingFollows holds that the list of upstreams that take new work follows
// each kind of news at once, though it is kept in between.
func TestServingFollows(t *testing.T) {
	now := time.Now()
	open := func(id string, version int64) fleet.Upstream {
		return fleet.Upstream{ID: id, Service: "s", Address: id + ":1", Hall: "leith", Slots: 4, State: fleet.Open, Version: version}
	}
	leaving := func(id string, version int64) fleet.Upstream {
		u := open(id, version)
		u.State = fleet.Leaving
		return u
	}
	tests := map[string]struct {
		news func(f *fleet.Fleet)
		want []string
	}{
		"none":                      {func(*fleet.Fleet) {}, []string{"a", "b"}},
		"an entry":                  {func(f *fleet.Fleet) { f.Put(now, open("c", 2)) }, []string{"a", "b", "c"}},
		"an entry that leaves":      {func(f *fleet.Fleet) { f.Put(now, leaving("a", 2)) }, []string{"b"}},
		"an entry is gone":          {func(f *fleet.Fleet) { f.Remove(now, "a", 2, false) }, []string{"b"}},
		"a listing":                 {func(f *fleet.Fleet) { f.Replace(now, []fleet.Upstream{open("c", 2)}, 2, false) }, []string{"c"}},
		"a hub's word":              {func(f *fleet.Fleet) { f.UpdateFromPeer(now, leaving("b", 2)) }, []string{"a"}},
		"a hub's word of another":   {func(f *fleet.Fleet) { f.UpdateFromPeer(now, open("c", 2)) }, []string{"a", "b", "c"}},
		"a peer's word":             {func(f *fleet.Fleet) { f.ApplyDeparture(now, fleet.Departure{ID: "a", Announced: true}, "peer") }, []string{"b"}},
		"its hall is closed":        {func(f *fleet.Fleet) { f.CloseHall(now, "leith") }, nil},
		"another hall is closed":    {func(f *fleet.Fleet) { f.CloseHall(now, "gorgie") }, []string{"a", "b"}},
		"its hall is open again":    {func(f *fleet.Fleet) { f.CloseHall(now, "leith"); f.OpenHall("leith", now) }, []string{"a", "b"}},
		"an entry in a closed hall": {func(f *fleet.Fleet) { f.CloseHall(now, "leith"); f.Put(now, open("c", 2)) }, nil},
		"a hub's word of one there": {func(f *fleet.Fleet) { f.CloseHall(now, "leith"); f.UpdateFromPeer(now, open("c", 2)) }, nil},
		"a listing of a closed hall": {func(f *fleet.Fleet) {
			f.CloseHall(now, "leith")
			f.Replace(now, []fleet.Upstream{open("a", 2)}, 2, false)
		}, nil},
		"it stays missing": {func(f *fleet.Fleet) {
			f.Remove(now, "a", 2, true)
			f.Serving("s")
			f.Tick(now.Add(time.Minute))
		}, []string{"b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := fleet.New(time.Second)
			f.Replace(now, []fleet.Upstream{open("a", 1), open("b", 1)}, 1, false)
			f.Serving("s")
			tt.news(f)
			var ids []string
			for _, u := range f.Serving("s") {
				ids = append(ids, u.ID)
			}
			is.New(t).Equal(ids, tt.want)
		})
	}
}

// TestCold shows until when an upstream counts as cold, by what is learned of it.
func TestCold(t *testing.T) {
	later, latest := now.Add(time.Second), now.Add(3*time.Second)
	cold := func(version int64, until time.Time) fleet.Upstream {
		u := up("u", fleet.Open, version)
		u.Hall, u.ColdUntil = "leith", until
		return u
	}
	tests := map[string]struct {
		learn func(f *fleet.Fleet)
		want  time.Time
	}{
		"it never said so":             {func(*fleet.Fleet) {}, time.Time{}},
		"its entry says so":            {func(f *fleet.Fleet) { f.Put(now, cold(6, later)) }, later},
		"an entry that is told late":   {func(f *fleet.Fleet) { f.Put(now, cold(4, later)) }, time.Time{}},
		"a hub says so":                {func(f *fleet.Fleet) { f.UpdateFromPeer(now, cold(6, later)) }, later},
		"a hub that knows less":        {func(f *fleet.Fleet) { f.UpdateFromPeer(now, cold(4, later)) }, time.Time{}},
		"it says that it is warm":      {func(f *fleet.Fleet) { f.Put(now, cold(6, later)); f.Put(now, cold(7, time.Time{})) }, time.Time{}},
		"its hall is taken back":       {func(f *fleet.Fleet) { f.CloseHall(now, "leith"); f.OpenHall("leith", latest) }, latest},
		"and it says that it is warm":  {func(f *fleet.Fleet) { f.OpenHall("leith", latest); f.Put(now, cold(6, time.Time{})) }, time.Time{}},
		"another hall is taken back":   {func(f *fleet.Fleet) { f.OpenHall("gorgie", latest) }, time.Time{}},
		"taken back, and cold as told": {func(f *fleet.Fleet) { f.Put(now, cold(6, latest)); f.OpenHall("leith", later) }, latest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fleet.New(grace)
			f.Put(now, cold(5, time.Time{}))
			_, at := f.Since(0)
			tt.learn(f)
			u, _ := f.Get("u")
			is.True(u.ColdUntil.Equal(tt.want))
			changed, _ := f.Since(at)
			is.True(len(changed) == 1 || u.ColdUntil.IsZero() || u.ColdUntil.Equal(latest)) // told on, but for halls, which all hear of
		})
	}
}

// known is what a fleet knows of an upstream's incarnation.
type known struct {
	Born  int64
	State fleet.State
	Said  bool
}

func listing(version int64, list ...fleet.Upstream) func(*fleet.Fleet) {
	return func(f *fleet.Fleet) { f.Replace(now, list, version, false) }
}

func put(u fleet.Upstream) func(*fleet.Fleet) { return func(f *fleet.Fleet) { f.Put(now, u) } }

// told is a hub's word.
func told(u fleet.Upstream) func(*fleet.Fleet) {
	u.Announced = u.State == fleet.Leaving
	return func(f *fleet.Fleet) { f.UpdateFromPeer(now, u) }
}

func leaves(d fleet.Departure) func(*fleet.Fleet) {
	return func(f *fleet.Fleet) { f.ApplyDeparture(now, d, "peer") }
}

// incarnations are words of one upstream, of incarnation 100 and version 5 before.
var incarnations = map[string]struct {
	learn    []func(*fleet.Fleet)
	want     known
	restarts int
}{
	"the same":      {[]func(*fleet.Fleet){put(born(100, up("u", fleet.Open, 6)))}, known{100, fleet.Open, false}, 0},
	"a newer entry": {[]func(*fleet.Fleet){put(born(200, up("u", fleet.Open, 6)))}, known{200, fleet.Open, false}, 1},
	"a newer entry after the old one said that it leaves": {[]func(*fleet.Fleet){
		put(born(100, up("u", fleet.Leaving, 6))), put(born(200, up("u", fleet.Open, 7)))}, known{200, fleet.Open, false}, 1},
	"a newer entry after the old one's went": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, false) }, put(born(200, up("u", fleet.Open, 7)))}, known{200, fleet.Open, false}, 1},
	"a newer entry after the old one was missing": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, true) }, put(born(200, up("u", fleet.Open, 7)))}, known{200, fleet.Open, false}, 1},
	"a newer entry that says that it leaves":  {[]func(*fleet.Fleet){put(born(200, up("u", fleet.Leaving, 6)))}, known{200, fleet.Leaving, true}, 1},
	"a newer entry of an earlier version":     {[]func(*fleet.Fleet){put(born(200, up("u", fleet.Open, 2)))}, known{200, fleet.Open, false}, 1},
	"a newer entry in a listing":              {[]func(*fleet.Fleet){listing(9, born(200, up("u", fleet.Open, 9)))}, known{200, fleet.Open, false}, 1},
	"an older entry in a newer listing":       {[]func(*fleet.Fleet){listing(9, born(50, up("u", fleet.Open, 9)))}, known{100, fleet.Open, false}, 0},
	"an older entry that says that it leaves": {[]func(*fleet.Fleet){put(born(50, up("u", fleet.Leaving, 9)))}, known{100, fleet.Open, false}, 0},
	"a hub tells of a newer one": {[]func(*fleet.Fleet){
		leaves(fleet.Departure{ID: "u", StartedAt: 100, Announced: true}), told(born(200, up("u", fleet.Open, 6)))}, known{200, fleet.Open, false}, 1},
	"a hub tells of a newer one that leaves": {[]func(*fleet.Fleet){told(born(200, up("u", fleet.Leaving, 6)))}, known{200, fleet.Leaving, true}, 1},
	"a hub that lags tells that the older one leaves": {[]func(*fleet.Fleet){
		put(born(200, up("u", fleet.Open, 6))), told(born(100, up("u", fleet.Leaving, 9)))}, known{200, fleet.Open, false}, 1},
	"a peer tells late that the older one leaves": {[]func(*fleet.Fleet){
		put(born(200, up("u", fleet.Open, 6))), leaves(fleet.Departure{ID: "u", StartedAt: 100, Announced: true, Version: 9})}, known{200, fleet.Open, false}, 1},
	"a peer tells that a newer one leaves": {[]func(*fleet.Fleet){leaves(fleet.Departure{ID: "u", StartedAt: 200, Announced: true})}, known{200, fleet.Leaving, true}, 1},
	"an entry without an incarnation":      {[]func(*fleet.Fleet){put(up("u", fleet.Leaving, 6))}, known{100, fleet.Leaving, true}, 0},
	"an older one without an incarnation":  {[]func(*fleet.Fleet){put(up("u", fleet.Open, 4))}, known{100, fleet.Open, false}, 0},
	"news without an incarnation":          {[]func(*fleet.Fleet){leaves(said("u"))}, known{100, fleet.Leaving, true}, 0},
	"its report tells of a newer one": {[]func(*fleet.Fleet){
		put(born(100, up("u", fleet.Leaving, 6))), func(f *fleet.Fleet) { f.MarkStarted(now, "u", 200, "report") }}, known{200, fleet.Open, false}, 1},
	"its report is late": {[]func(*fleet.Fleet){
		put(born(200, up("u", fleet.Leaving, 6))), func(f *fleet.Fleet) { f.MarkStarted(now, "u", 100, "report") }}, known{200, fleet.Leaving, true}, 1},
	"the old one's row goes after its report told": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.MarkStarted(now, "u", 200, "report") }, put(born(100, up("u", fleet.Leaving, 7))),
		func(f *fleet.Fleet) { f.Remove(now, "u", 4, false) }}, known{200, fleet.Open, false}, 1},
}

// TestIncarnations shows what is known of an upstream after words of other
// incarnations.
func TestIncarnations(t *testing.T) {
	for name, tt := range incarnations {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fleet.New(grace)
			restarts := 0
			f.OnRestart(func(fleet.Upstream, string) { restarts++ })
			f.Put(now, born(100, up("u", fleet.Open, 5)))
			for _, learn := range tt.learn {
				learn(f)
			}
			u, _ := f.Get("u")
			is.Equal(known{u.StartedAt, u.State, u.Announced}, tt.want)
			is.Equal(restarts, tt.restarts)
			is.Equal(len(f.Serving("s")) == 1, tt.want.State != fleet.Leaving)
			is.True(!f.IsCurrent(born(99, up("u", fleet.Open, 5))))
			is.True(f.IsCurrent(born(tt.want.Born, u)) && f.IsCurrent(born(0, u)))
		})
	}
}

// TestRestartOfUnknown holds that an upstream whose incarnation becomes known only
// now has not started again.
func TestRestartOfUnknown(t *testing.T) {
	is := is.New(t)
	f := fleet.New(grace)
	f.OnRestart(func(fleet.Upstream, string) { t.Error("restarted") })
	f.Put(now, up("u", fleet.Leaving, 5))
	f.Put(now, born(100, up("u", fleet.Open, 6)))
	u, _ := f.Get("u")
	is.Equal(u.StartedAt, int64(100))
	is.Equal(u.State, fleet.Leaving)
}

// TestForgotten holds that an upstream whose entry is gone is forgotten in the end, also
// where a newer incarnation of it is heard of only as it leaves.
func TestForgotten(t *testing.T) {
	is := is.New(t)
	f := fleet.New(grace)
	f.Put(now, born(100, up("u", fleet.Open, 5)))
	f.Remove(now, "u", 6, false)
	f.ApplyDeparture(now, fleet.Departure{ID: "u", Version: 7, StartedAt: 200}, "peer")
	f.Tick(now.Add(time.Minute))
	_, ok := f.Get("u")
	is.True(!ok)
}

// TestAt shows from which change on a box is told that knew all as of a time.
func TestAt(t *testing.T) {
	start := time.Now()
	tests := map[string]struct {
		ago   time.Duration // before the end, 12 s after the start
		known bool
		want  []string // what changed since
	}{
		"just now":                  {ago: 0, known: true},
		"before the last change":    {ago: 1500 * time.Millisecond, known: true, want: []string{"u11"}},
		"before some":               {ago: 3500 * time.Millisecond, known: true, want: []string{"u10", "u11", "u9"}},
		"before it is kept":         {ago: 11800 * time.Millisecond},
		"before anything was known": {ago: 20 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fleet.New(time.Second)
			end := start.Add(12 * time.Second)
			for i := range 120 {
				now := start.Add(time.Duration(i) * 100 * time.Millisecond)
				if i%10 == 5 {
					f.Put(now, fleet.Upstream{ID: fmt.Sprint("u", i/10), Version: int64(i)})
				}
				f.Tick(now)
			}
			f.Tick(end)
			change, known := f.ChangeAt(end.Add(-tt.ago))
			is.Equal(known, tt.known)
			if !known {
				return
			}
			var ids []string
			changed, _ := f.Since(change)
			for _, u := range changed {
				ids = append(ids, u.ID)
			}
			is.Equal(ids, tt.want)
		})
	}
}

// TestListIsKept shows what makes the list of a service anew, which costs as much as the
// service has upstreams: a word that changes one of them, and no other.
func TestListIsKept(t *testing.T) {
	tests := map[string]struct {
		word func(f *fleet.Fleet)
		anew bool
	}{
		"known already":               {word: told(one(1, fleet.Open, 1))},
		"an older word":               {word: leaves(gone("u1", 0))},
		"one that is unknown":         {word: leaves(gone("u99", 2))},
		"it left before":              {word: leaves(gone("u5", 3))},
		"another service's":           {word: put(fleet.Upstream{ID: "p1", Service: "plain", State: fleet.Leaving, Version: 2})},
		"an entry of another":         {word: func(f *fleet.Fleet) { f.Remove(now, "u99", 9, false) }},
		"one leaves":                  {word: leaves(said("u1")), anew: true},
		"one comes":                   {word: put(one(30, fleet.Open, 2)), anew: true},
		"one is cold":                 {word: put(cold(one(1, fleet.Open, 2))), anew: true},
		"one starts again":            {word: put(born(7, one(1, fleet.Open, 1))), anew: true},
		"one's entry is gone":         {word: func(f *fleet.Fleet) { f.Remove(now, "u1", 9, false) }, anew: true},
		"one goes to another service": {word: put(fleet.Upstream{ID: "u1", Service: "plain", Hall: "hall1", State: fleet.Open, Version: 2}), anew: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := many(20)
			f.ApplyDeparture(now, gone("u5", 3), "peer")
			before := f.Serving("llm")
			tt.word(f)
			after := f.Serving("llm")
			is.Equal(&before[0] != &after[0], tt.anew)
			is.True(slices.IsSortedFunc(after, func(a, b fleet.Upstream) int { return strings.Compare(a.ID, b.ID) }))
		})
	}
}

func cold(u fleet.Upstream) fleet.Upstream {
	u.ColdUntil = now.Add(time.Second)
	return u
}

// TestListsAgree holds the lists that are kept by change against what each upstream says
// of itself, under many words of all kinds.
func TestListsAgree(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 3))
	f, at, mark := many(60), now, 0
	known := map[string]fleet.State{} // as one that is told by change knows it
	for step := range 4000 {
		at = at.Add(time.Duration(random.IntN(100)) * time.Millisecond)
		anyWord(f, at, step, random)
		var changed []fleet.Upstream
		changed, mark = f.Since(mark)
		for _, u := range changed {
			known[u.ID] = u.State
		}
		for _, service := range []string{"llm", "plain"} {
			list := f.Serving(service)
			is.Equal(ids(list), takers(f, service))
			for _, u := range list {
				now, _ := f.Get(u.ID)
				is.Equal(now, u)
				is.Equal(known[u.ID], u.State)
			}
		}
	}
}

// anyWord draws a word of one of 80 upstreams.
func anyWord(f *fleet.Fleet, at time.Time, step int, random *rand.Rand) {
	i, version := random.IntN(80), int64(random.IntN(step+1))
	id := fmt.Sprint("u", i)
	switch random.IntN(6) {
	case 0:
		f.UpdateFromPeer(at, one(i, []fleet.State{fleet.Open, fleet.Leaving, fleet.Missing}[random.IntN(3)], version))
	case 1:
		u := one(i, fleet.Open, version)
		u.Service = []string{"llm", "plain"}[random.IntN(2)]
		f.Put(at, born(int64(step/500), u))
	case 2:
		f.ApplyDeparture(at, gone(id, version), "peer")
	case 3:
		f.Remove(at, id, version, random.IntN(2) == 0)
	case 4:
		f.CloseHall(at, "hall1")
		f.OpenHall([]string{"hall1", "hall2"}[random.IntN(2)], at)
	case 5:
		f.Tick(at)
	}
}

// takers returns the ids of the upstreams of a service that take new work.
func takers(f *fleet.Fleet, service string) []string {
	list := []string{}
	for i := range 80 {
		u, ok := f.Get(fmt.Sprint("u", i))
		if ok && u.Service == service && f.Takes(u.ID) {
			list = append(list, u.ID)
		}
	}
	if u, _ := f.Get("p1"); u.Service == service && f.Takes("p1") {
		list = append(list, "p1")
	}
	slices.Sort(list)
	return list
}

func ids(list []fleet.Upstream) []string {
	ids := []string{}
	for _, u := range list {
		ids = append(ids, u.ID)
	}
	return ids
}
