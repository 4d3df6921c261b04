package belief_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/belief"
	"petrelstep/route"
)

func version(v int) *route.Table { return route.New(v, nil, nil, nil, route.Limits{}) }

func TestBeliefRisesAndAges(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := belief.New(4 * time.Second)
	_, _, stale := b.Now(now)
	is.True(stale) // knows nothing
	is.True(b.Take(version(5)))
	b.Confirm(now)
	is.True(!b.Take(version(4))) // an older version told late
	is.True(!b.Take(version(5)))
	table, _, stale := b.Now(now.Add(3900 * time.Millisecond))
	is.True(!stale)
	is.Equal(table.Version(), 5)
	b.Confirm(now.Add(-time.Second)) // an answer that came late confirms nothing newer
	_, age, stale := b.Now(now.Add(4100 * time.Millisecond))
	is.True(stale)
	is.Equal(age, 4100*time.Millisecond)
}
