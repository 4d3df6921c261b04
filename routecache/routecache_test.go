package routecache_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/route"
	"petrelstep/routecache"
)

func version(v int) *route.Table { return route.New(v, nil, nil, nil, route.Limits{}) }

func TestUpdateAndAge(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := routecache.New(4 * time.Second)
	_, _, stale := c.Current(now)
	is.True(stale) // empty
	is.True(c.Update(version(5)))
	c.Confirm(now)
	is.True(!c.Update(version(4))) // a delayed older version
	is.True(!c.Update(version(5)))
	table, _, stale := c.Current(now.Add(3900 * time.Millisecond))
	is.True(!stale)
	is.Equal(table.Version(), 5)
	c.Confirm(now.Add(-time.Second)) // a delayed answer does not make it younger
	_, age, stale := c.Current(now.Add(4100 * time.Millisecond))
	is.True(stale)
	is.Equal(age, 4100*time.Millisecond)
}

// TestNeverConfirmed checks that an unconfirmed configuration is stale, also on a box
// to which its age is reported.
func TestNeverConfirmed(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := routecache.New(4 * time.Second)
	is.True(c.Update(version(1)))
	_, age, stale := c.Current(now)
	is.True(stale)
	other := routecache.New(4 * time.Second)
	is.True(other.Update(version(1)))
	other.Confirm(now.Add(-age))
	_, _, stale = other.Current(now)
	is.True(stale)
	other.Confirm(now.Add(time.Hour)) // a time in the future confirms nothing
	_, _, stale = other.Current(now)
	is.True(stale)
}
