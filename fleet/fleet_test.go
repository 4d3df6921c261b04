package fleet_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/fleet"
	"petrelstep/revision"
)

const grace = 1500 * time.Millisecond

// up returns an upstream as of a version of the table.
func up(id string, state fleet.State, version revision.Revision) fleet.Upstream {
	return fleet.Upstream{ID: id, Service: "s", Address: "10.0.0.1:1", State: state, Version: version}
}

// announced returns the departure that an upstream announces itself.
func announced(id string) fleet.Departure { return fleet.Departure{ID: id, Announced: true} }

// removed returns the departure by the removal of an entry.
func removed(id string, version revision.Revision) fleet.Departure {
	return fleet.Departure{ID: id, Version: version}
}

// startedAt returns an upstream with a start time.
func startedAt(at int64, u fleet.Upstream) fleet.Upstream {
	u.StartedAt = at
	return u
}

var now = time.Now()

// steps lists updates of one upstream, applied in order, and its final state.
var steps = map[string]struct {
	updates []func(f *fleet.Fleet)
	want    fleet.State
}{
	"listed": {[]func(*fleet.Fleet){}, fleet.Open},
	"announces that it leaves": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Leaving, 6)) }}, fleet.Leaving},
	"announces that it leaves, then newer open entries": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Leaving, 6)) },
		func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Open, 7)) },
		func(f *fleet.Fleet) { f.UpdateFromPeer(now, up("u", fleet.Open, 8)) }}, fleet.Leaving},
	"its report announces that it leaves": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.ApplyDeparture(now, announced("u"), "report") },
		func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Open, 7)) }}, fleet.Leaving},
	"a delayed older entry": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.ApplyDeparture(now, removed("u", 6), "peer") },
		func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Open, 5)) }}, fleet.Leaving},
	"a delayed older listing": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.ApplyDeparture(now, removed("u", 6), "peer") },
		func(f *fleet.Fleet) { f.Replace(now, []fleet.Upstream{up("u", fleet.Open, 5)}, 5, false) }}, fleet.Leaving},
	"its entry is removed without an announcement": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, false) }}, fleet.Leaving},
	"its entry is removed and added again": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, false) },
		func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Open, 9)) }}, fleet.Open},
	"its entry is added again, then delayed reports of the removal": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, false) },
		func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Open, 9)) },
		func(f *fleet.Fleet) { f.ApplyDeparture(now, removed("u", 6), "peer") },
		func(f *fleet.Fleet) { f.UpdateFromPeer(now, up("u", fleet.Leaving, 6)) },
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, false) }}, fleet.Open},
	"its entry is added again, reported by a hub": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.ApplyDeparture(now, removed("u", 6), "peer") },
		func(f *fleet.Fleet) { f.UpdateFromPeer(now, up("u", fleet.Open, 9)) }}, fleet.Open},
	"its entry expires in an outage": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, true) }}, fleet.Missing},
	"it is listed again after the outage": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, true) },
		func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Open, 7)) }}, fleet.Open},
	"it is not listed again within the grace": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, true) },
		func(f *fleet.Fleet) { f.Tick(now.Add(grace)) }}, fleet.Leaving},
	"it is listed again after the grace": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, true) },
		func(f *fleet.Fleet) { f.Tick(now.Add(grace)) },
		func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Open, 7)) }}, fleet.Open},
	"missing from a listing": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Replace(now, []fleet.Upstream{up("v", fleet.Open, 2)}, 6, false) }}, fleet.Leaving},
	"missing from a listing that is older than its entry": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Replace(now, []fleet.Upstream{up("v", fleet.Open, 2)}, 4, false) }}, fleet.Open},
	"missing from a listing after an outage": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Replace(now, []fleet.Upstream{up("v", fleet.Open, 2)}, 6, true) }}, fleet.Missing},
	"a hub reports that it leaves": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.UpdateFromPeer(now, up("u", fleet.Leaving, 6)) }}, fleet.Leaving},
	"a hub with an outdated entry": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.ApplyDeparture(now, removed("u", 6), "peer") },
		func(f *fleet.Fleet) { f.UpdateFromPeer(now, up("u", fleet.Open, 5)) }}, fleet.Leaving},
	"a hub reports that it is listed again": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, true) },
		func(f *fleet.Fleet) { f.UpdateFromPeer(now, up("u", fleet.Open, 7)) }}, fleet.Open},
	"a hub's grace for it has expired": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, true) },
		func(f *fleet.Fleet) { f.UpdateFromPeer(now, up("u", fleet.Leaving, 6)) }}, fleet.Leaving},
}

// TestStates checks the final state of an upstream, and whether it takes new work.
func TestStates(t *testing.T) {
	for name, tt := range steps {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fleet.New(grace)
			f.Replace(now, []fleet.Upstream{up("u", fleet.Open, 5)}, 5, false)
			for _, update := range tt.updates {
				update(f)
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

// TestMaxRetention checks that a box that does not read the table, and so never learns
// that an entry was removed, forgets a leaving upstream after maxRetention.
func TestMaxRetention(t *testing.T) {
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

// TestDepartureBeforeEntry guards against new work for an upstream whose announced
// departure a hub reports before its entry is read.
func TestDepartureBeforeEntry(t *testing.T) {
	tests := map[string]struct {
		announced bool
		after     time.Duration // until the entry is read
		want      bool          // it takes new work
	}{
		"announced":                  {announced: true},
		"only its entry was removed": {want: true},
		"10 minutes before":          {announced: true, after: 10 * time.Minute},
		"2 hours before":             {announced: true, after: 2 * time.Hour, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fleet.New(grace)
			u := up("u", fleet.Leaving, 6)
			u.Announced = tt.announced
			f.UpdateFromPeer(now, u)
			is.Equal(len(f.Serving("s")), 0)
			f.Tick(now.Add(tt.after))
			f.Put(now.Add(tt.after), up("u", fleet.Open, 7))
			is.Equal(len(f.Serving("s")) == 1, tt.want)
		})
	}
}

func TestDepartureNotifiedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fleet.New(grace)
		var mu sync.Mutex
		calls := 0
		f.Subscribe(func(fleet.Upstream, string) {
			mu.Lock()
			defer mu.Unlock()
			calls++
		})
		now := time.Now()
		f.Put(now, up("u", fleet.Open, 5))
		f.Put(now, up("u", fleet.Leaving, 6))
		f.Remove(now, "u", 7, false)
		f.ApplyDeparture(now, removed("u", 7), "peer")
		synctest.Wait()
		is.Equal(calls, 1)
		f.Put(now, up("v", fleet.Open, 5))
		f.Remove(now, "v", 6, false)
		f.Put(now, up("v", fleet.Open, 8))
		f.Put(now, up("v", fleet.Open, 9))
		synctest.Wait()
		is.Equal(calls, 3) // it leaves, and is open again
	})
}

func TestSince(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := fleet.New(grace)
	f.Replace(now, []fleet.Upstream{up("u", fleet.Open, 5), up("v", fleet.Open, 5)}, 5, false)
	all, at := f.Since(0)
	is.Equal(len(all), 2)
	none, same := f.Since(at)
	is.Equal(len(none), 0)
	is.Equal(same, at)
	f.Put(now, up("u", fleet.Open, 6)) // no change
	f.ApplyDeparture(now, removed("v", 7), "peer")
	changed, later := f.Since(at)
	is.Equal(len(changed), 1)
	is.Equal(changed[0].State, fleet.Leaving)
	is.True(later > at)
	// A removed upstream is not added again by a hub that still knows it.
	f.Remove(now, "v", 7, false)
	f.Tick(now.Add(2 * time.Minute))
	_, ok := f.Get("v")
	is.True(!ok)
	f.UpdateFromPeer(now, up("v", fleet.Leaving, 7))
	_, ok = f.Get("v")
	is.True(!ok)
}

// TestServingFollows checks that each kind of update changes the cached list of serving
// upstreams at once.
func TestServingFollows(t *testing.T) {
	now := time.Now()
	open := func(id string, version revision.Revision) fleet.Upstream {
		return fleet.Upstream{ID: id, Service: "s", Address: id + ":1", Hall: "leith", Slots: 4, State: fleet.Open, Version: version}
	}
	leaving := func(id string, version revision.Revision) fleet.Upstream {
		u := open(id, version)
		u.State = fleet.Leaving
		return u
	}
	tests := map[string]struct {
		update func(f *fleet.Fleet)
		want   []string
	}{
		"none":                        {func(*fleet.Fleet) {}, []string{"a", "b"}},
		"an entry":                    {func(f *fleet.Fleet) { f.Put(now, open("c", 2)) }, []string{"a", "b", "c"}},
		"an entry that leaves":        {func(f *fleet.Fleet) { f.Put(now, leaving("a", 2)) }, []string{"b"}},
		"an entry is removed":         {func(f *fleet.Fleet) { f.Remove(now, "a", 2, false) }, []string{"b"}},
		"a listing":                   {func(f *fleet.Fleet) { f.Replace(now, []fleet.Upstream{open("c", 2)}, 2, false) }, []string{"c"}},
		"a hub's report":              {func(f *fleet.Fleet) { f.UpdateFromPeer(now, leaving("b", 2)) }, []string{"a"}},
		"a hub's report of another":   {func(f *fleet.Fleet) { f.UpdateFromPeer(now, open("c", 2)) }, []string{"a", "b", "c"}},
		"a peer's report":             {func(f *fleet.Fleet) { f.ApplyDeparture(now, fleet.Departure{ID: "a", Announced: true}, "peer") }, []string{"b"}},
		"its hall is closed":          {func(f *fleet.Fleet) { f.CloseHall(now, "leith") }, nil},
		"another hall is closed":      {func(f *fleet.Fleet) { f.CloseHall(now, "gorgie") }, []string{"a", "b"}},
		"its hall is opened again":    {func(f *fleet.Fleet) { f.CloseHall(now, "leith"); f.OpenHall("leith", now) }, []string{"a", "b"}},
		"an entry in a closed hall":   {func(f *fleet.Fleet) { f.CloseHall(now, "leith"); f.Put(now, open("c", 2)) }, nil},
		"a hub's report of one there": {func(f *fleet.Fleet) { f.CloseHall(now, "leith"); f.UpdateFromPeer(now, open("c", 2)) }, nil},
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
			tt.update(f)
			var ids []string
			for _, u := range f.Serving("s") {
				ids = append(ids, u.ID)
			}
			is.New(t).Equal(ids, tt.want)
		})
	}
}

// TestCold checks until when an upstream counts as cold.
func TestCold(t *testing.T) {
	later, latest := now.Add(time.Second), now.Add(3*time.Second)
	cold := func(version revision.Revision, until time.Time) fleet.Upstream {
		u := up("u", fleet.Open, version)
		u.Hall, u.ColdUntil = "leith", until
		return u
	}
	tests := map[string]struct {
		update func(f *fleet.Fleet)
		want   time.Time
	}{
		"no update":                                        {func(*fleet.Fleet) {}, time.Time{}},
		"its entry is cold":                                {func(f *fleet.Fleet) { f.Put(now, cold(6, later)) }, later},
		"an outdated entry":                                {func(f *fleet.Fleet) { f.Put(now, cold(4, later)) }, time.Time{}},
		"a hub's report":                                   {func(f *fleet.Fleet) { f.UpdateFromPeer(now, cold(6, later)) }, later},
		"an outdated report of a hub":                      {func(f *fleet.Fleet) { f.UpdateFromPeer(now, cold(4, later)) }, time.Time{}},
		"its entry is warm again":                          {func(f *fleet.Fleet) { f.Put(now, cold(6, later)); f.Put(now, cold(7, time.Time{})) }, time.Time{}},
		"its hall is opened":                               {func(f *fleet.Fleet) { f.CloseHall(now, "leith"); f.OpenHall("leith", latest) }, latest},
		"its hall is opened, then its entry is warm":       {func(f *fleet.Fleet) { f.OpenHall("leith", latest); f.Put(now, cold(6, time.Time{})) }, time.Time{}},
		"another hall is opened":                           {func(f *fleet.Fleet) { f.OpenHall("gorgie", latest) }, time.Time{}},
		"its hall is opened, its entry is cold for longer": {func(f *fleet.Fleet) { f.Put(now, cold(6, latest)); f.OpenHall("leith", later) }, latest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fleet.New(grace)
			f.Put(now, cold(5, time.Time{}))
			_, at := f.Since(0)
			tt.update(f)
			u, _ := f.Get("u")
			is.True(u.ColdUntil.Equal(tt.want))
			changed, _ := f.Since(at)
			is.True(len(changed) == 1 || u.ColdUntil.IsZero() || u.ColdUntil.Equal(latest)) // reported to other boxes, except for halls, which all receive
		})
	}
}

// known is what a fleet knows about the current incarnation of an upstream.
type known struct {
	StartedAt int64
	State     fleet.State
	Announced bool
}

func listing(version revision.Revision, list ...fleet.Upstream) func(*fleet.Fleet) {
	return func(f *fleet.Fleet) { f.Replace(now, list, version, false) }
}

func put(u fleet.Upstream) func(*fleet.Fleet) { return func(f *fleet.Fleet) { f.Put(now, u) } }

// reported applies an upstream as reported by a hub.
func reported(u fleet.Upstream) func(*fleet.Fleet) {
	u.Announced = u.State == fleet.Leaving
	return func(f *fleet.Fleet) { f.UpdateFromPeer(now, u) }
}

func departs(d fleet.Departure) func(*fleet.Fleet) {
	return func(f *fleet.Fleet) { f.ApplyDeparture(now, d, "peer") }
}

// incarnations lists updates of an upstream that is known with start time 100 and
// version 5.
var incarnations = map[string]struct {
	updates  []func(*fleet.Fleet)
	want     known
	restarts int
}{
	"the same":      {[]func(*fleet.Fleet){put(startedAt(100, up("u", fleet.Open, 6)))}, known{100, fleet.Open, false}, 0},
	"a newer entry": {[]func(*fleet.Fleet){put(startedAt(200, up("u", fleet.Open, 6)))}, known{200, fleet.Open, false}, 1},
	"a newer entry after the old one announced that it leaves": {[]func(*fleet.Fleet){
		put(startedAt(100, up("u", fleet.Leaving, 6))), put(startedAt(200, up("u", fleet.Open, 7)))}, known{200, fleet.Open, false}, 1},
	"a newer entry after the old one was removed": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, false) }, put(startedAt(200, up("u", fleet.Open, 7)))}, known{200, fleet.Open, false}, 1},
	"a newer entry after the old one was missing": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.Remove(now, "u", 6, true) }, put(startedAt(200, up("u", fleet.Open, 7)))}, known{200, fleet.Open, false}, 1},
	"a newer entry that is leaving":       {[]func(*fleet.Fleet){put(startedAt(200, up("u", fleet.Leaving, 6)))}, known{200, fleet.Leaving, true}, 1},
	"a newer entry of an earlier version": {[]func(*fleet.Fleet){put(startedAt(200, up("u", fleet.Open, 2)))}, known{200, fleet.Open, false}, 1},
	"a newer entry in a listing":          {[]func(*fleet.Fleet){listing(9, startedAt(200, up("u", fleet.Open, 9)))}, known{200, fleet.Open, false}, 1},
	"an older entry in a newer listing":   {[]func(*fleet.Fleet){listing(9, startedAt(50, up("u", fleet.Open, 9)))}, known{100, fleet.Open, false}, 0},
	"an older entry that is leaving":      {[]func(*fleet.Fleet){put(startedAt(50, up("u", fleet.Leaving, 9)))}, known{100, fleet.Open, false}, 0},
	"a hub reports a newer one": {[]func(*fleet.Fleet){
		departs(fleet.Departure{ID: "u", StartedAt: 100, Announced: true}), reported(startedAt(200, up("u", fleet.Open, 6)))}, known{200, fleet.Open, false}, 1},
	"a hub reports a newer one that leaves": {[]func(*fleet.Fleet){reported(startedAt(200, up("u", fleet.Leaving, 6)))}, known{200, fleet.Leaving, true}, 1},
	"an outdated hub reports that the older one leaves": {[]func(*fleet.Fleet){
		put(startedAt(200, up("u", fleet.Open, 6))), reported(startedAt(100, up("u", fleet.Leaving, 9)))}, known{200, fleet.Open, false}, 1},
	"a delayed report that the older one leaves": {[]func(*fleet.Fleet){
		put(startedAt(200, up("u", fleet.Open, 6))), departs(fleet.Departure{ID: "u", StartedAt: 100, Announced: true, Version: 9})}, known{200, fleet.Open, false}, 1},
	"a peer reports that a newer one leaves": {[]func(*fleet.Fleet){departs(fleet.Departure{ID: "u", StartedAt: 200, Announced: true})}, known{200, fleet.Leaving, true}, 1},
	"an entry without a start time":          {[]func(*fleet.Fleet){put(up("u", fleet.Leaving, 6))}, known{100, fleet.Leaving, true}, 0},
	"an older entry without a start time":    {[]func(*fleet.Fleet){put(up("u", fleet.Open, 4))}, known{100, fleet.Open, false}, 0},
	"a departure without a start time":       {[]func(*fleet.Fleet){departs(announced("u"))}, known{100, fleet.Leaving, true}, 0},
	"its report is of a newer one": {[]func(*fleet.Fleet){
		put(startedAt(100, up("u", fleet.Leaving, 6))), func(f *fleet.Fleet) { f.MarkStarted(now, "u", 200, "report") }}, known{200, fleet.Open, false}, 1},
	"a delayed report": {[]func(*fleet.Fleet){
		put(startedAt(200, up("u", fleet.Leaving, 6))), func(f *fleet.Fleet) { f.MarkStarted(now, "u", 100, "report") }}, known{200, fleet.Leaving, true}, 1},
	"the old one's entry is removed after a report of the newer one": {[]func(*fleet.Fleet){
		func(f *fleet.Fleet) { f.MarkStarted(now, "u", 200, "report") }, put(startedAt(100, up("u", fleet.Leaving, 7))),
		func(f *fleet.Fleet) { f.Remove(now, "u", 4, false) }}, known{200, fleet.Open, false}, 1},
}

// TestIncarnations checks what is known of an upstream after updates of other
// incarnations.
func TestIncarnations(t *testing.T) {
	for name, tt := range incarnations {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fleet.New(grace)
			restarts := 0
			f.OnRestart(func(fleet.Upstream, string) { restarts++ })
			f.Put(now, startedAt(100, up("u", fleet.Open, 5)))
			for _, update := range tt.updates {
				update(f)
			}
			u, _ := f.Get("u")
			is.Equal(known{u.StartedAt, u.State, u.Announced}, tt.want)
			is.Equal(restarts, tt.restarts)
			is.Equal(len(f.Serving("s")) == 1, tt.want.State != fleet.Leaving)
			is.True(!f.IsCurrent(startedAt(99, up("u", fleet.Open, 5))))
			is.True(f.IsCurrent(startedAt(tt.want.StartedAt, u)) && f.IsCurrent(startedAt(0, u)))
		})
	}
}

// TestFirstStartTime checks that it is no restart when the start time of an upstream
// becomes known.
func TestFirstStartTime(t *testing.T) {
	is := is.New(t)
	f := fleet.New(grace)
	f.OnRestart(func(fleet.Upstream, string) { t.Error("restarted") })
	f.Put(now, up("u", fleet.Leaving, 5))
	f.Put(now, startedAt(100, up("u", fleet.Open, 6)))
	u, _ := f.Get("u")
	is.Equal(u.StartedAt, int64(100))
	is.Equal(u.State, fleet.Leaving)
}

// TestRetention checks that an upstream without an entry is forgotten, also if a newer
// incarnation becomes known only by its departure.
func TestRetention(t *testing.T) {
	is := is.New(t)
	f := fleet.New(grace)
	f.Put(now, startedAt(100, up("u", fleet.Open, 5)))
	f.Remove(now, "u", 6, false)
	f.ApplyDeparture(now, fleet.Departure{ID: "u", Version: 7, StartedAt: 200}, "peer")
	f.Tick(now.Add(time.Minute))
	_, ok := f.Get("u")
	is.True(!ok)
}

// TestChangeAt checks which changes a box is sent that knows all changes up to a time.
func TestChangeAt(t *testing.T) {
	start := time.Now()
	tests := map[string]struct {
		ago   time.Duration // before the end, 12 s after the start
		known bool
		want  []string // what changed since
	}{
		"just now":                   {ago: 0, known: true},
		"before the last change":     {ago: 1500 * time.Millisecond, known: true, want: []string{"u11"}},
		"before the last three":      {ago: 3500 * time.Millisecond, known: true, want: []string{"u10", "u11", "u9"}},
		"before the history begins":  {ago: 11800 * time.Millisecond},
		"before the fleet was known": {ago: 20 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fleet.New(time.Second)
			end := start.Add(12 * time.Second)
			for i := range 120 {
				now := start.Add(time.Duration(i) * 100 * time.Millisecond)
				if i%10 == 5 {
					f.Put(now, fleet.Upstream{ID: fmt.Sprint("u", i/10), Version: revision.Revision(i)})
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

// TestServingCached guards against copying the list of a service, which costs as much
// as the service has upstreams, for an update that does not change it.
func TestServingCached(t *testing.T) {
	tests := map[string]struct {
		update func(f *fleet.Fleet)
		copied bool
	}{
		"no change":                      {update: reported(one(1, fleet.Open, 1))},
		"an outdated departure":          {update: departs(removed("u1", 0))},
		"an unknown upstream":            {update: departs(removed("u99", 2))},
		"one that is already leaving":    {update: departs(removed("u5", 3))},
		"an upstream of another service": {update: put(fleet.Upstream{ID: "p1", Service: "plain", State: fleet.Leaving, Version: 2})},
		"removal of an unknown entry":    {update: func(f *fleet.Fleet) { f.Remove(now, "u99", 9, false) }},
		"one leaves":                     {update: departs(announced("u1")), copied: true},
		"one is added":                   {update: put(one(30, fleet.Open, 2)), copied: true},
		"one is cold":                    {update: put(cold(one(1, fleet.Open, 2))), copied: true},
		"one restarts":                   {update: put(startedAt(7, one(1, fleet.Open, 1))), copied: true},
		"one's entry is removed":         {update: func(f *fleet.Fleet) { f.Remove(now, "u1", 9, false) }, copied: true},
		"one moves to another service":   {update: put(fleet.Upstream{ID: "u1", Service: "plain", Hall: "hall1", State: fleet.Open, Version: 2}), copied: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := many(20)
			f.ApplyDeparture(now, removed("u5", 3), "peer")
			before := f.Serving("llm")
			tt.update(f)
			after := f.Serving("llm")
			is.Equal(&before[0] != &after[0], tt.copied)
			is.True(slices.IsSortedFunc(after, func(a, b fleet.Upstream) int { return strings.Compare(a.ID, b.ID) }))
		})
	}
}

func cold(u fleet.Upstream) fleet.Upstream {
	u.ColdUntil = now.Add(time.Second)
	return u
}

// TestListsAgree compares the cached lists with the state of each upstream under random
// updates.
func TestListsAgree(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 3))
	f, at, change := many(60), now, 0
	known := map[string]fleet.State{} // as known to a box that receives the changes only
	for step := range 4000 {
		at = at.Add(time.Duration(random.IntN(100)) * time.Millisecond)
		randomUpdate(f, at, step, random)
		var changed []fleet.Upstream
		changed, change = f.Since(change)
		for _, u := range changed {
			known[u.ID] = u.State
		}
		for _, service := range []string{"llm", "plain"} {
			list := f.Serving(service)
			is.Equal(ids(list), serving(f, service))
			for _, u := range list {
				now, _ := f.Get(u.ID)
				is.Equal(now, u)
				is.Equal(known[u.ID], u.State)
			}
		}
	}
}

// randomUpdate applies a random update of one of 80 upstreams.
func randomUpdate(f *fleet.Fleet, at time.Time, step int, random *rand.Rand) {
	i, version := random.IntN(80), revision.Revision(random.IntN(step+1))
	id := fmt.Sprint("u", i)
	switch random.IntN(6) {
	case 0:
		f.UpdateFromPeer(at, one(i, []fleet.State{fleet.Open, fleet.Leaving, fleet.Missing}[random.IntN(3)], version))
	case 1:
		u := one(i, fleet.Open, version)
		u.Service = []string{"llm", "plain"}[random.IntN(2)]
		f.Put(at, startedAt(int64(step/500), u))
	case 2:
		f.ApplyDeparture(at, removed(id, version), "peer")
	case 3:
		f.Remove(at, id, version, random.IntN(2) == 0)
	case 4:
		f.CloseHall(at, "hall1")
		f.OpenHall([]string{"hall1", "hall2"}[random.IntN(2)], at)
	case 5:
		f.Tick(at)
	}
}

// serving returns the ids of the upstreams of a service that take new work.
func serving(f *fleet.Fleet, service string) []string {
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

// TestAge checks that a suspension adds to the age of a fleet, and that a fleet which was
// never confirmed has no age, however long the machine was suspended.
func TestAge(t *testing.T) {
	tests := map[string]struct {
		confirmed bool
		suspended time.Duration
		age       time.Duration
	}{
		"confirmed":                  {confirmed: true, age: time.Second},
		"confirmed, then suspended":  {confirmed: true, suspended: 6 * time.Second, age: 7 * time.Second},
		"never confirmed":            {age: math.MaxInt64},
		"never confirmed, suspended": {suspended: 6 * time.Second, age: math.MaxInt64},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fleet.New(grace)
			f.SetSuspendedSince(func(time.Time) time.Duration { return tt.suspended })
			if tt.confirmed {
				f.Confirm(now)
			}
			age, known := f.Age(now.Add(time.Second))
			is.Equal(known, tt.confirmed)
			is.Equal(age, tt.age)
		})
	}
}
