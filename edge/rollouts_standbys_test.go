package edge

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/canary/orders"
	"petrelstep/members"
)

// turnAwayReaders makes the store turn all readers away, and some boxes more.
func (s *rolloutSite) turnAwayReaders(more ...string) {
	away := append(readerNames(s.cluster), more...)
	s.table.setCutOff(func(box string) bool { return slices.Contains(away, box) })
}

// firstStandby returns the name of the standby that decides while no reader does.
func (s *rolloutSite) firstStandby() string {
	b, _ := s.all[0].members.StandbyOwner(time.Now(), rolloutOwnerKey+"plain", func(members.Box) bool { return true })
	return b.Name
}

// TestReadersTurnedAwayInTrial guards against an order without an outcome, or with two of them, as the
// store turns all readers away while it runs.
func TestReadersTurnedAwayInTrial(t *testing.T) {
	const (
		onAndOff = 2 * time.Second
		later    = 3500 * time.Millisecond // a standby decides by then
		away     = 4 * time.Second
	)
	tests := map[string]struct {
		event func(s *rolloutSite)
		good  orders.State // of a good version; empty for any outcome
	}{
		"for good":                {func(s *rolloutSite) { s.turnAwayReaders() }, orders.Completed},
		"for good, a standby too": {func(s *rolloutSite) { s.turnAwayReaders(s.firstStandby()) }, orders.Completed},
		"for some seconds": {func(s *rolloutSite) {
			s.turnAwayReaders()
			time.AfterFunc(away, func() { s.table.setCutOff(nil) })
		}, ""},
		"on and off": {func(s *rolloutSite) { s.turnAwayOnAndOff(onAndOff) }, ""},
		"the box that decides is killed later": {func(s *rolloutSite) {
			s.turnAwayReaders()
			time.AfterFunc(later, func() { s.kill(s.decider()) })
		}, ""},
		"the box that decides is cut off later": {func(s *rolloutSite) {
			s.turnAwayReaders()
			time.AfterFunc(later, func() { cutOffDecider(s) })
		}, ""},
	}
	for name, tt := range tests {
		for _, boxes := range []int{6, 76} {
			t.Run(fmt.Sprintf("%s/%d boxes, good", name, boxes), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testRollout(t, boxes, nil, tt.event, tt.good) })
			})
			t.Run(fmt.Sprintf("%s/%d boxes, bad", name, boxes), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					testRollout(t, boxes, fails("v2", 0.5, 4*time.Second), tt.event, orders.RolledBack)
				})
			})
		}
	}
}

// turnAwayOnAndOff turns the readers away for some time, again and again.
func (s *rolloutSite) turnAwayOnAndOff(period time.Duration) {
	for i := range 4 {
		time.AfterFunc(time.Duration(2*i)*period, func() { s.turnAwayReaders() })
		time.AfterFunc(time.Duration(2*i+1)*period, func() { s.table.setCutOff(nil) })
	}
}

// deciders returns the boxes that may decide, by their own view.
func (s *rolloutSite) deciders() (readers, standbys int) {
	for _, e := range s.all {
		switch {
		case !e.rollouts.decidesNow(time.Now()):
		case e.IsReader():
			readers++
		default:
			standbys++
		}
	}
	return readers, standbys
}

// TestStandbysDecideInTurn checks who decides as the store turns the readers away and serves them
// again: one standby, then a reader.
func TestStandbysDecideInTurn(t *testing.T) {
	for _, boxes := range []int{6, 76, 300} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testStandbysDecide(t, boxes) })
		})
	}
}

func testStandbysDecide(t *testing.T, boxes int) {
	const handOver = 5 * time.Second
	is := is.New(t)
	ctx, end := (&cluster{}).context(t)
	defer end()
	s := newRolloutSite(ctx, t, boxes, max(60, 2*boxes))
	s.duration = 30 * time.Second
	s.order("v2")
	time.Sleep(2 * time.Second)
	readers, standbys := s.deciders()
	is.Equal(readers, len(readerNames(s.cluster)))
	is.Equal(standbys, 0)
	is.True(s.decider().IsReader())
	s.turnAwayReaders()
	time.Sleep(handOver)
	standby := s.decider()
	is.True(!standby.IsReader())
	_, standbys = s.deciders()
	is.True(standbys > 0 && standbys <= members.MaxStandbys)
	time.Sleep(handOver)
	is.Equal(s.decider().Name(), standby.Name())
	s.table.setCutOff(nil)
	time.Sleep(handOver)
	_, standbys = s.deciders()
	is.Equal(standbys, 0)
	is.True(s.decider().IsReader())
}

// TestFirstWithoutStandbys guards against orders that nobody may begin where all boxes are readers, as
// the store has not answered them for a moment.
func TestFirstWithoutStandbys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := (&cluster{}).context(t)
		defer end()
		s := newRolloutSite(ctx, t, 2, 60)
		s.turnAwayReaders()
		time.Sleep(3 * deciderMaxAge)
		now, first := time.Now(), 0
		for _, e := range s.all {
			is.True(e.rollouts.readersTurnedAway(now))
			if e.rollouts.isFirstReader(now, "plain", "") {
				first++
			}
		}
		is.True(first > 0)
	})
}

// TestWithdrawnReadersTurnedAway guards against an order that stays running as it is withdrawn while
// the store turns all readers away.
func TestWithdrawnReadersTurnedAway(t *testing.T) {
	for _, boxes := range []int{6, 76} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := (&cluster{}).context(t)
				defer end()
				s := newRolloutSite(ctx, t, boxes, 2*boxes+60)
				s.order("v2")
				time.Sleep(3 * time.Second)
				s.turnAwayReaders()
				time.Sleep(100 * time.Millisecond)
				s.withdraw()
				s.checkWithdrawn("v2", withdrawnTime+deciderMaxAge)
			})
		})
	}
}
