package edge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/gossip"
	"petrelstep/members"
	"petrelstep/readpolicy"
	"petrelstep/storecontact"
	"petrelstep/tablesync"
)

// changeBound is within which time after the store's confirmation all boxes act on a change:
// the shortest bound of the pages.
const changeBound = 2 * time.Second

// turnedAwayTest is a store that turns some boxes away and serves the others.
type turnedAwayTest struct {
	boxes, halls, upstreams int
	how                     string                    // see storeClient.turnAway
	who                     func(c *cluster) []string // the boxes that are turned away
	only                    string                    // the only table or call that is turned away; "" for all
}

// turnedAwayTests returns the rows for both tables of the store.
func turnedAwayTests(table string) map[string]turnedAwayTest {
	return map[string]turnedAwayTest{
		"6 boxes, silent":                    {boxes: 6, halls: 3, upstreams: 20, how: "silent", who: readerNames},
		"7 boxes, silent":                    {boxes: 7, halls: 4, upstreams: 20, how: "silent", who: readerNames},
		"7 boxes, 503":                       {boxes: 7, halls: 4, upstreams: 20, how: "503", who: readerNames},
		"7 boxes, 429":                       {boxes: 7, halls: 4, upstreams: 20, how: "429", who: readerNames},
		"7 boxes, reset":                     {boxes: 7, halls: 4, upstreams: 20, how: "reset", who: readerNames},
		"7 boxes, silent for one table":      {boxes: 7, halls: 4, upstreams: 20, how: "silent", who: readerNames, only: table},
		"7 boxes, all hubs silent":           {boxes: 7, halls: 4, upstreams: 20, how: "silent", who: hubNames},
		"7 boxes, 503 for all but one":       {boxes: 7, halls: 4, upstreams: 20, how: "503", who: allButLast},
		"77 boxes, silent":                   {boxes: 77, halls: 3, upstreams: 60, how: "silent", who: readerNames},
		"77 boxes, 503 for the standbys too": {boxes: 77, halls: 3, upstreams: 60, how: "503", who: standbyNames},
		"195 boxes, six halls, silent":       {boxes: 195, halls: 6, upstreams: 60, how: "silent", who: readerNames},
		"300 boxes, silent":                  {boxes: 300, halls: 1, upstreams: 3000, how: "silent", who: readerNames},
	}
}

// readerNames returns the boxes that read the store for all.
func readerNames(c *cluster) (names []string) {
	for _, e := range c.all {
		if e.IsReader() {
			names = append(names, e.Name())
		}
	}
	return names
}

func hubNames(c *cluster) (names []string) {
	for _, e := range c.hubs() {
		names = append(names, e.Name())
	}
	return names
}

func allButLast(c *cluster) (names []string) {
	reader := readerNames(c)
	last := slices.IndexFunc(c.all, func(e *Edge) bool { return !slices.Contains(reader, e.Name()) })
	for i, e := range c.all {
		if i != last {
			names = append(names, e.Name())
		}
	}
	return names
}

// standbyNames returns the readers and the boxes that read in their place.
func standbyNames(c *cluster) []string {
	names := readerNames(c)
	for _, b := range c.all[0].members.Standbys(time.Now()) {
		names = append(names, b.Name)
	}
	return names
}

// play turns boxes away again and again, and changes the store several times meanwhile, the first
// time at different times after that. All boxes must know each change within changeBound: the
// others tell those that are turned away.
func (tt turnedAwayTest) play(t *testing.T, change func(c *cluster, n int) (known func(e *Edge) bool)) {
	is := is.New(t)
	c := newCluster(t, tt.boxes, tt.halls, tt.upstreams)
	ctx, end := c.context(t)
	defer end()
	c.startAll(ctx)
	c.waitAll(t, "serves", 5*time.Second, (*Edge).ready)
	time.Sleep(5 * time.Second)
	rounds, changes := []time.Duration{0, 700 * time.Millisecond, 2 * time.Second}, 5
	if tt.boxes > 100 { // each second takes long to play
		rounds, changes = rounds[:1], 3
	}
	n := 0
	for _, after := range rounds {
		c.table.resetListings()
		away := tt.who(c)
		is.True(len(away) >= min(members.MaxReaders, tt.halls))
		c.table.setTurnsAway(func(call storeCall) string {
			if slices.Contains(away, call.box) && (tt.only == "" || tt.only == call.table) {
				return tt.how
			}
			return ""
		})
		time.Sleep(after)
		for range changes {
			took := c.waitAll(t, "knows the change", changeBound, change(c, n))
			t.Logf("change %d, %v after %d boxes were turned away, is known after %v", n, after, len(away), took)
			time.Sleep(150 * time.Millisecond)
			n++
		}
		_, listed := c.table.listingStats()
		is.True(len(away) > members.MaxReaders || listed <= members.MaxStandbys) // the others need not read
		c.table.setTurnsAway(nil)
		time.Sleep(3 * time.Second)
	}
}

// TestConfigurationReadersTurnedAway guards against boxes that act on a manifest that was
// replaced more than 2 s ago, as the store turns the boxes that read it for all away.
func TestConfigurationReadersTurnedAway(t *testing.T) {
	for name, tt := range turnedAwayTests("op") {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tt.play(t, func(c *cluster, n int) func(e *Edge) bool {
					version := 10 + n
					c.table.put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"plain","max_conns":100}],"limits":{"max_body_bytes":4096},"tenants":[]}`, version))
					return func(e *Edge) bool { return e.View().Version == version }
				})
			})
		})
	}
}

// TestUpstreamsReadersTurnedAway guards against requests to an upstream that said more than 2 s
// ago that it leaves, as the store turns the boxes that read it for all away.
func TestUpstreamsReadersTurnedAway(t *testing.T) {
	for name, tt := range turnedAwayTests("servers") {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tt.play(t, func(c *cluster, n int) func(e *Edge) bool {
					upstream := fmt.Sprint("u", 10+n)
					c.table.put("servers", upstream, string(worker(10+n, tt.halls, "draining")))
					return func(e *Edge) bool { return e.fleet.IsLeaving(upstream) }
				})
			})
		})
	}
}

// Durations that the bound assumes of the store and of the network between boxes.
const (
	// assumedListing is the time of a listing of the largest table, or of a slow store.
	assumedListing = 300 * time.Millisecond
	// assumedRoundTrip is the time of a call between boxes, regionRoundTrip what a call to
	// another region takes longer.
	assumedRoundTrip = 50 * time.Millisecond
	regionRoundTrip  = 60 * time.Millisecond
)

// TestChangeBound guards against constants with which a change takes longer than changeBound from
// the store's confirmation to the last box, as the store turns the readers away just before it.
func TestChangeBound(t *testing.T) {
	tests := map[string]struct {
		hops    int // of gossip, from the box that reads
		regions bool
	}{
		"up to 240 boxes":              {hops: 1},
		"up to 240 boxes, two regions": {hops: 1, regions: true},
		"large fleet":                  {hops: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			call := assumedRoundTrip
			if tt.regions {
				call += regionRoundTrip
			}
			firstRead := tablesync.IdleInterval + assumedListing
			told := readpolicy.StandbyAge + firstRead + time.Duration(tt.hops)*(gossip.Period+call) + call // and to fetch the configuration
			own := readpolicy.UnreadAge + readpolicy.MaxUnreadSpread + firstRead
			t.Log("told by a standby after", told, "read by a box itself after", own)
			is.True(told <= changeBound)
			is.True(own <= changeBound)
		})
	}
}

// TestReadersAnsweredInCalm guards against standbys that read while the store answers all readers.
func TestReadersAnsweredInCalm(t *testing.T) {
	is := is.New(t)
	const slowAnswer = 300 * time.Millisecond
	is.True(readpolicy.ReadPeriod/members.MaxReaders+slowAnswer+gossip.Period < readpolicy.StandbyAge)
	is.True(readpolicy.StandbyAge+tablesync.IdleInterval+gossip.Period+assumedRoundTrip < readpolicy.UnreadAge)
	for name, boxes := range map[string]int{"7 boxes": 7, "77 boxes": 77} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, boxes, 4, 60)
				ctx, end := c.context(t)
				defer end()
				c.startAll(ctx)
				c.waitAll(t, "serves", 5*time.Second, (*Edge).ready)
				time.Sleep(5 * time.Second)
				calls := c.table.storeCalls()
				listings, _ := c.table.listingStats()
				time.Sleep(20 * time.Second)
				t.Log("calls per second:", float64(c.table.storeCalls()-calls)/20)
				is.True(c.longestSilence(20*time.Second, 60) <= readpolicy.StandbyAge)
				after, _ := c.table.listingStats()
				is.Equal(after, listings)
			})
		})
	}
}

// longestSilence changes upstreams for a while, and returns the longest time in which, by the
// view of any box, the store answered no reader.
func (c *cluster) longestSilence(duration time.Duration, upstreams int) (longest time.Duration) {
	random := rand.New(rand.NewPCG(5, 5))
	next := time.Now()
	for until := next.Add(duration); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if !time.Now().Before(next) {
			i := random.IntN(upstreams)
			c.table.put("servers", fmt.Sprint("u", i), string(worker(i, 4, "ready")))
			next = time.Now().Add(time.Duration(random.Int64N(int64(2 * time.Second))))
		}
		for _, e := range c.all {
			if silence, known := e.contact.ReaderSilence(time.Now(), storecontact.Upstreams); known {
				longest = max(longest, silence)
			}
		}
	}
	return longest
}

// TestCallsTurnedAway guards against more calls than the boxes make together between failed calls
// as the store turns all of them away: 20 a second for each table, and those of the readers.
func TestCallsTurnedAway(t *testing.T) {
	const (
		seconds      = 20
		sharedCalls  = 20      // per second and table
		readerCalls  = 1 / 0.6 // per second and table; hubMaxPause, halved at the least
		tables       = 2
		maxPerSecond = tables * (sharedCalls + members.MaxReaders*readerCalls)
	)
	for _, how := range []string{"silent", "503"} {
		for _, boxes := range []int{7, 77} {
			t.Run(fmt.Sprint(boxes, " boxes, ", how), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t, boxes, 4, 60)
					ctx, end := c.context(t)
					defer end()
					c.startAll(ctx)
					c.waitAll(t, "serves", 5*time.Second, (*Edge).ready)
					time.Sleep(5 * time.Second)
					c.table.setTurnsAway(func(storeCall) string { return how })
					time.Sleep(5 * time.Second) // until all boxes read
					calls := c.table.storeCalls()
					time.Sleep(seconds * time.Second)
					perSecond := float64(c.table.storeCalls()-calls) / seconds
					c.table.setTurnsAway(nil)
					t.Log("calls per second:", perSecond)
					is.New(t).True(perSecond <= maxPerSecond)
				})
			})
		}
	}
}
