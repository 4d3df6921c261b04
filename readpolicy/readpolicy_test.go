package readpolicy_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/readpolicy"
	"petrelstep/tablesync"
)

// boxes is what a test says of the boxes.
type boxes struct {
	known, reads    bool
	crowded         bool
	unlisted        bool // the others were never read
	away            bool // the store turned its last call for them away
	count           int
	heard, promised time.Time
}

func (b boxes) Joined() bool             { return b.known }
func (b boxes) IsReader() bool           { return b.reads }
func (b boxes) Count() int               { return b.count }
func (b boxes) Listed() bool             { return !b.unlisted }
func (b boxes) Rejected() bool           { return b.away }
func (b boxes) IsLargeFleet() bool       { return b.crowded }
func (b boxes) AllReaders() bool         { return b.count <= 8 }
func (b boxes) LastHubAnswer() time.Time { return b.heard }
func (b boxes) LastPromised() time.Time  { return b.promised }

const never = -1

func TestNeeded(t *testing.T) {
	tests := map[string]struct {
		boxes boxes
		heard time.Duration // ago; a negative one for never
		age   time.Duration // of the knowledge; a negative one for none
		cold  bool
		after time.Duration // since the start
		want  bool
	}{
		"a hub":                    {boxes: boxes{known: true, reads: true}, age: 0, want: true},
		"a hub that knows nothing": {boxes: boxes{known: true, reads: true}, age: never, want: true},
		"a box that knows nothing": {boxes: boxes{known: true}, age: never},
		"a box that restarts, the others not yet read": {age: never, want: true},
		"it does not know yet how many they are":       {boxes: boxes{unlisted: true}, age: never, after: 300 * time.Millisecond},
		"it cannot learn how many they are":            {boxes: boxes{unlisted: true}, age: never, after: 1300 * time.Millisecond, want: true},
		"it was turned away when it asked":             {boxes: boxes{unlisted: true, away: true}, age: never, after: 3900 * time.Millisecond},
		"it was turned away for long":                  {boxes: boxes{unlisted: true, away: true}, age: never, after: 8100 * time.Millisecond, want: true},
		"many restart, and have not joined":            {boxes: boxes{crowded: true}, heard: never, age: never, after: 3 * time.Second},
		"many restart, and cannot join":                {boxes: boxes{crowded: true}, heard: never, age: never, after: 8100 * time.Millisecond, want: true},
		"many restart, told before it has joined":      {boxes: boxes{crowded: true}, age: 2 * time.Second},
		"many restart, a hub that has read":            {boxes: boxes{crowded: true, reads: true}, heard: never, age: 0, want: true},
		"many restart, a hub that reads":               {boxes: boxes{crowded: true, reads: true}, age: never, want: true},
		"a cold start, the others not yet read":        {age: never, cold: true, after: time.Second},
		"a cold start, the others cannot be read":      {age: never, cold: true, after: 3100 * time.Millisecond, want: true},
		"a cold start, the others are known":           {boxes: boxes{known: true}, age: never, cold: true, after: time.Second},
		"a cold start, a hub":                          {boxes: boxes{known: true, reads: true}, age: never, cold: true, after: time.Second, want: true},
		"no feed before the others are known":          {age: 500 * time.Millisecond},
		"the others cannot be read, the store can":     {age: time.Second, want: true},
		"told what hubs can know at best":              {boxes: boxes{known: true}, age: 2700 * time.Millisecond},
		"told what is old, the hubs lost the store":    {boxes: boxes{known: true}, age: 3800 * time.Millisecond, want: true},
		"no hub answers":                               {boxes: boxes{known: true}, heard: time.Second, age: time.Second, want: true},
		"no hub answers, it has just read":             {boxes: boxes{known: true}, heard: time.Second, age: 500 * time.Millisecond},
		"no hub ever answered":                         {boxes: boxes{known: true}, heard: never, age: time.Second, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				age := func(time.Time) (time.Duration, bool) { return tt.age, tt.age >= 0 }
				if tt.heard >= 0 {
					tt.boxes.heard = time.Now().Add(tt.after - tt.heard)
				}
				r := readpolicy.New(&tt.boxes, age, tt.cold, rand.New(rand.NewPCG(1, 1)))
				time.Sleep(tt.after)
				is.New(t).Equal(r.Needed(time.Now()), tt.want)
			})
		})
	}
}

// TestFirstRead shows how long a box waits to be told before it reads all for
// itself: one of many that start together is told by hubs.
func TestFirstRead(t *testing.T) {
	tests := map[string]struct {
		cold     bool
		after    time.Duration // since the boxes are known
		promised bool          // a hub tells later, as it said just now
		want     bool
	}{
		"just started":               {},
		"told soon":                  {after: 300 * time.Millisecond},
		"not told":                   {after: 400 * time.Millisecond, want: true},
		"not told, but promised":     {after: 5 * time.Second, promised: true},
		"promised for too long":      {after: 6 * time.Second, promised: true, want: true},
		"a cold start":               {cold: true, after: 1400 * time.Millisecond},
		"a cold start, and not told": {cold: true, after: 1600 * time.Millisecond, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				unknown := func(time.Time) (time.Duration, bool) { return 0, false }
				b := &boxes{known: true}
				r := readpolicy.New(b, unknown, tt.cold, rand.New(rand.NewPCG(1, 1)))
				is.New(t).Equal(r.Needed(time.Now()), false)
				time.Sleep(tt.after)
				if tt.promised {
					b.promised = time.Now().Add(-500 * time.Millisecond)
				}
				is.New(t).Equal(r.Needed(time.Now()), tt.want)
			})
		})
	}
}

// TestCrowd shows that the boxes of a crowd that hear no hub read one after the
// other, none before the hubs can have started, and all before keys are refused.
func TestCrowd(t *testing.T) {
	tests := map[string]struct {
		known    bool
		from, to time.Duration // since the hubs were heard, or the boxes known
		promised bool
	}{
		"knows nothing":               {from: 4 * time.Second, to: 8 * time.Second},
		"knows nothing, but promised": {from: 6 * time.Second, to: 10 * time.Second, promised: true},
		"knows all":                   {known: true, from: 800 * time.Millisecond, to: 3200 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				first, most, all := readersOf(tt.known, tt.promised, tt.to)
				is.True(first >= tt.from)
				is.True(most <= 30) // of a tenth of a second
				is.Equal(all, 300)
			})
		})
	}
}

// readersOf returns when the first of 300 boxes that hear no hub reads, how many more
// do so within a tenth of a second, and how many do by a time.
func readersOf(known, promised bool, until time.Duration) (first time.Duration, most, all int) {
	start := time.Now()
	b := &boxes{known: true, crowded: true, count: 300}
	age := func(now time.Time) (time.Duration, bool) { return now.Sub(start), known }
	random := rand.New(rand.NewPCG(1, 1))
	var tables []*readpolicy.Policy
	for range 300 {
		tables = append(tables, readpolicy.New(b, age, false, random))
	}
	read := map[*readpolicy.Policy]bool{}
	for ; time.Since(start) <= until; time.Sleep(100 * time.Millisecond) {
		if promised {
			b.promised = time.Now()
		}
		more := needed(tables, read)
		if len(read) == more { // none before
			first = time.Since(start)
		}
		most = max(most, more)
	}
	return first, most, len(read)
}

// needed notes which tables are to be read by now, and returns how many are new.
func needed(all []*readpolicy.Policy, read map[*readpolicy.Policy]bool) int {
	before := len(read)
	for _, r := range all {
		if r.Needed(time.Now()) {
			read[r] = true
		}
	}
	return len(read) - before
}

func TestPace(t *testing.T) {
	tests := map[string]struct {
		boxes boxes
		want  tablesync.Pace
	}{
		"a hub":      {boxes{reads: true, count: 350}, tablesync.Pace{Initial: 100 * time.Millisecond, Max: 1200 * time.Millisecond}},
		"few boxes":  {boxes{count: 10}, tablesync.Pace{Initial: 1200 * time.Millisecond, Max: 1200 * time.Millisecond}},
		"many boxes": {boxes{count: 58}, tablesync.Pace{Initial: 2900 * time.Millisecond, Max: 2900 * time.Millisecond}},
		"350 boxes":  {boxes{count: 350}, tablesync.Pace{Initial: 5 * time.Second, Max: 5 * time.Second}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := readpolicy.New(tt.boxes, nil, false, rand.New(rand.NewPCG(1, 1)))
			is.New(t).Equal(r.Pace(), tt.want)
		})
	}
}

func TestWait(t *testing.T) {
	is := is.New(t)
	alone := readpolicy.New(boxes{count: 7}, nil, false, rand.New(rand.NewPCG(1, 1)))
	forOthers := readpolicy.New(boxes{reads: true, count: 58}, nil, false, rand.New(rand.NewPCG(1, 1)))
	seen := map[time.Duration]bool{}
	for range 20 {
		is.Equal(alone.Wait(), 1200*time.Millisecond)
		w := forOthers.Wait()
		is.True(w >= 700*time.Millisecond && w < 1200*time.Millisecond)
		seen[w] = true
	}
	is.True(len(seen) > 10) // not in step with other hubs
}
