package routecache_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/route"
	"petrelstep/routecache"
)

func version(v int) *route.Table { return route.New(v, nil, nil, nil, route.Limits{}) }

func TestBeliefRisesAndAges(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := routecache.New(4 * time.Second)
	_, _, stale := b.Current(now)
	is.True(stale) // knows nothing
	is.True(b.Update(version(5)))
	b.Confirm(now)
	is.True(!b.Update(version(4))) // an older version told late
	is.True(!b.Update(version(5)))
	table, _, stale := b.Current(now.Add(3900 * time.Millisecond))
	is.True(!stale)
	is.Equal(table.Version(), 5)
	b.Confirm(now.Add(-time.Second)) // an answer that came late confirms nothing newer
	_, age, stale := b.Current(now.Add(4100 * time.Millisecond))
	is.True(stale)
	is.Equal(age, 4100*time.Millisecond)
}

// TestNeverConfirmed shows a belief that was taken from another box and never
// confirmed: it is stale, and an age that is told on never makes another box's
// belief younger than it is.
func TestNeverConfirmed(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := routecache.New(4 * time.Second)
	is.True(b.Update(version(1)))
	_, age, stale := b.Current(now)
	is.True(stale)
	other := routecache.New(4 * time.Second)
	is.True(other.Update(version(1)))
	other.Confirm(now.Add(-age))
	_, _, stale = other.Current(now)
	is.True(stale)
	other.Confirm(now.Add(time.Hour)) // nothing is confirmed before it was asked
	_, _, stale = other.Current(now)
	is.True(stale)
}
