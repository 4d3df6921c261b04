package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"petrelstep/members"
	"petrelstep/platform/store"
	"petrelstep/readpolicy"
	"petrelstep/wire"
)

// rowsLostTest is a restore of the store that loses the rows of some boxes.
type rowsLostTest struct {
	boxes, halls, lost int
	maxListings        int                             // in the 5 s after, by the readers and the hubs of a large fleet
	standbys           bool                            // may read too, as no reader is answered for a while; each may list once besides
	moved              bool                            // the copy has rows of the boxes at an earlier address
	restore            func(c *cluster, old storeCopy) // nil for one restore
}

// unlistedBoxes returns the boxes that a reader of the tables would not find.
func (c *cluster) unlistedBoxes() (names []string) {
	for _, e := range c.running() {
		listed := func(table string) bool {
			rows, _, _ := c.table.changesAfter(table, 0)
			return slices.ContainsFunc(rows, func(r store.Row) bool {
				var at wire.BoxRecord
				return r.Key == e.Name() && !r.Removed && json.Unmarshal(r.Value, &at) == nil && at.Address == e.record.Address
			})
		}
		if !listed("boxes") || e.record.Strong && !listed("hubs") {
			names = append(names, e.Name())
		}
	}
	return names
}

// restoreNow restores the store after it was away for a moment.
func restoreNow(c *cluster, old storeCopy) {
	c.table.interrupt(true)
	time.Sleep(200 * time.Millisecond)
	c.table.restore(old)
	c.table.interrupt(false)
}

// standbyReads records the boxes that read the store because it answers no reader.
type standbyReads struct {
	mu    sync.Mutex
	boxes map[string]bool
}

// Levels implements logrus.Hook.
func (*standbyReads) Levels() []logrus.Level { return []logrus.Level{logrus.InfoLevel} }

// Fire implements logrus.Hook.
func (s *standbyReads) Fire(e *logrus.Entry) error {
	if e.Message == "store_read" && e.Data["reason"] == readpolicy.Standby {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.boxes[fmt.Sprint(e.Data["box"])] = true
	}
	return nil
}

// run plays the restore and returns the boxes that are missing from the table in time, and how
// often the table was listed.
func (tt rowsLostTest) run(ctx context.Context, t *testing.T) (unlisted []string, listings int) {
	c := newStoppedCluster(t, tt.boxes, tt.halls, 60)
	c.table.era = 1
	all := c.all
	c.all = all[:tt.boxes-tt.lost]
	c.registerAll(t)
	c.startAllFull(ctx, false)
	c.waitAll(t, "serves", 5*time.Second, (*Edge).ready)
	time.Sleep(8 * time.Second)
	if tt.moved {
		for _, e := range all[tt.boxes-tt.lost:] {
			c.table.put("boxes", e.Name(), `{"box":"`+e.Name()+`","hall":"`+e.config.Hall+`","address":"10.99.0.1:1","incarnation":1}`)
		}
	}
	old := c.table.copyRows()
	c.all = all[tt.boxes-tt.lost:]
	c.startAllFull(ctx, false)
	c.all = all
	c.waitAll(t, "serves", 5*time.Second, (*Edge).ready)
	time.Sleep(8 * time.Second)
	is.New(t).Equal(len(c.unlistedBoxes()), 0)
	standbys := &standbyReads{boxes: map[string]bool{}}
	for _, e := range c.all {
		e.log.Logger.SetLevel(logrus.InfoLevel)
		e.log.Logger.AddHook(standbys)
	}
	before := c.table.boxListings()
	if tt.restore == nil {
		tt.restore = restoreNow
	}
	tt.restore(c, old)
	time.Sleep(rewriteTime)
	unlisted = c.unlistedBoxes()
	time.Sleep(3 * time.Second)
	return unlisted, standbys.listings(tt.standbys, before, c.table.boxListings())
}

// listings returns how often the table was listed between two counts. If standbys may read, one
// listing of each is left out, for as many as there may be.
func (s *standbyReads) listings(allowed bool, before, after map[string]int) (listings int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := 0
	for box, n := range after {
		n -= before[box]
		if allowed && s.boxes[box] && n > 0 && left < members.MaxStandbys {
			left++
			n--
		}
		listings += n
	}
	return listings
}

// boxListings returns how often each box has listed the table of boxes.
func (t *memStore) boxListings() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.boxListers)
}

// TestBoxRowsRestored guards against boxes that no other finds after a restart of all, as the store
// lost their rows when it came back from an older copy.
func TestBoxRowsRestored(t *testing.T) {
	tests := map[string]rowsLostTest{
		"6 boxes, one lost":   {boxes: 6, halls: 3, lost: 1, maxListings: members.MaxReaders},
		"6 boxes, one moved":  {boxes: 6, halls: 3, lost: 1, moved: true, maxListings: members.MaxReaders},
		"6 boxes, half lost":  {boxes: 6, halls: 3, lost: 3, maxListings: members.MaxReaders},
		"77 boxes, 20 lost":   {boxes: 77, halls: 3, lost: 20, maxListings: members.MaxReaders},
		"300 boxes, 130 lost": {boxes: 300, halls: 1, lost: 130, maxListings: 8},
		"600 boxes, 250 lost": {boxes: 600, halls: 6, lost: 250, maxListings: 12},
		"77 boxes, two restores": {boxes: 77, halls: 3, lost: 20, standbys: true, maxListings: 2 * members.MaxReaders, restore: func(c *cluster, old storeCopy) {
			restoreNow(c, old)
			time.Sleep(600 * time.Millisecond)
			restoreNow(c, old)
		}},
		"77 boxes, two of three readers cut off": {boxes: 77, halls: 3, lost: 20, standbys: true, maxListings: members.MaxReaders, restore: func(c *cluster, old storeCopy) {
			readers := c.readers()
			c.table.setCutOff(func(box string) bool { return slices.Contains(readers[1:], box) })
			restoreNow(c, old)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				unlisted, listings := tt.run(ctx, t)
				t.Log("boxes missing:", len(unlisted), "listings:", listings)
				cancel()
				time.Sleep(5 * time.Second)
				synctest.Wait()
				is.Equal(len(unlisted), 0)
				is.True(listings <= tt.maxListings)
			})
		})
	}
}

// readers returns the names of the boxes that follow the store.
func (c *cluster) readers() (names []string) {
	for _, e := range c.running() {
		if e.IsReader() {
			names = append(names, e.Name())
		}
	}
	return names
}
