package fleet_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/fleet"
)

const grace = 1500 * time.Millisecond

func up(id string, state fleet.State) fleet.Upstream {
	return fleet.Upstream{ID: id, Service: "s", Address: "10.0.0.1:1", State: state}
}

// TestStates holds what is learned of one upstream, in order, against what may
// be sent to it in the end.
func TestStates(t *testing.T) {
	now := time.Now()
	steps := map[string]struct {
		learn []func(f *fleet.Fleet)
		want  fleet.State
	}{
		"listed": {[]func(*fleet.Fleet){}, fleet.Open},
		"says that it drains": {[]func(*fleet.Fleet){
			func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Leaving)) }}, fleet.Leaving},
		"an older entry told late does not bring it back": {[]func(*fleet.Fleet){
			func(f *fleet.Fleet) { f.Leaves(now, "u", "peer") },
			func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Open)) }}, fleet.Leaving},
		"its row goes without a word": {[]func(*fleet.Fleet){
			func(f *fleet.Fleet) { f.Remove(now, "u", false) }}, fleet.Leaving},
		"its row lapses in an outage": {[]func(*fleet.Fleet){
			func(f *fleet.Fleet) { f.Remove(now, "u", true) }}, fleet.Missing},
		"it is back after the outage": {[]func(*fleet.Fleet){
			func(f *fleet.Fleet) { f.Remove(now, "u", true) },
			func(f *fleet.Fleet) { f.Put(now, up("u", fleet.Open)) }}, fleet.Open},
		"it is not back in time": {[]func(*fleet.Fleet){
			func(f *fleet.Fleet) { f.Remove(now, "u", true) },
			func(f *fleet.Fleet) { f.Tick(now.Add(grace)) }}, fleet.Leaving},
		"missing from a listing": {[]func(*fleet.Fleet){
			func(f *fleet.Fleet) { f.Replace(now, []fleet.Upstream{up("v", fleet.Open)}, false) }}, fleet.Leaving},
		"missing from a listing after an outage": {[]func(*fleet.Fleet){
			func(f *fleet.Fleet) { f.Replace(now, []fleet.Upstream{up("v", fleet.Open)}, true) }}, fleet.Missing},
		"a hub knows that it leaves": {[]func(*fleet.Fleet){
			func(f *fleet.Fleet) { f.Told(now, up("u", fleet.Leaving)) }}, fleet.Leaving},
		"a hub that lags does not bring it back": {[]func(*fleet.Fleet){
			func(f *fleet.Fleet) { f.Leaves(now, "u", "peer") },
			func(f *fleet.Fleet) { f.Told(now, up("u", fleet.Open)) }}, fleet.Leaving},
		"a hub has it back": {[]func(*fleet.Fleet){
			func(f *fleet.Fleet) { f.Remove(now, "u", true) },
			func(f *fleet.Fleet) { f.Told(now, up("u", fleet.Open)) }}, fleet.Open},
	}
	for name, tt := range steps {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fleet.New(grace)
			f.Replace(now, []fleet.Upstream{up("u", fleet.Open)}, false)
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
		f.Put(now, up("u", fleet.Open))
		f.Put(now, up("u", fleet.Leaving))
		f.Remove(now, "u", false)
		f.Leaves(now, "u", "peer")
		synctest.Wait()
		is.Equal(told, 1)
	})
}

func TestSinceTellsChangesOnly(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := fleet.New(grace)
	f.Replace(now, []fleet.Upstream{up("u", fleet.Open), up("v", fleet.Open)}, false)
	all, at := f.Since(0)
	is.Equal(len(all), 2)
	none, same := f.Since(at)
	is.Equal(len(none), 0)
	is.Equal(same, at)
	f.Put(now, up("u", fleet.Open)) // nothing new
	f.Leaves(now, "v", "peer")
	changed, later := f.Since(at)
	is.Equal(len(changed), 1)
	is.Equal(changed[0].State, fleet.Leaving)
	is.True(later > at)
	// What left long ago is forgotten, and is not taken from a hub that remembers.
	f.Remove(now, "v", false)
	f.Tick(now.Add(2 * time.Minute))
	_, ok := f.Get("v")
	is.True(!ok)
	f.Told(now, up("v", fleet.Leaving))
	_, ok = f.Get("v")
	is.True(!ok)
}
