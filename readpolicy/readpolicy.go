// Package readpolicy decides when a box reads a table of the platform's store for
// itself. Each call is paid for, so that a few hubs read and tell the others;
// a box that is told nothing, or only what is old, reads too.
package readpolicy

import (
	"math/rand/v2"
	"sync"
	"time"

	"petrelstep/tablesync"
)

const (
	// feedWait is how long a hub's call waits for changes, and so how often the
	// store confirms to it that there are none. A hub that has lost the store
	// learns it by its first failed call, well before keys must be refused, 5 s
	// after they were last confirmed.
	feedWait = 1200 * time.Millisecond
	// feedLeast is the least that it waits, at random, where it reads for others:
	// hubs that were answered at the same moment, by a change, are then confirmed
	// at different times, and the youngest word counts.
	feedLeast = 700 * time.Millisecond
	// told is the age of knowledge at which a box reads although it hears hubs.
	// It is at most 2.4 s at a hub, two of its calls, and 0.25 s later here: what
	// is older means that the hubs have lost the store.
	told = 2900 * time.Millisecond
	// spread is drawn once over boxes, so that not all of them read at once; the
	// last begins at 3.7 s, 0.9 s before keys are refused.
	spread = 800 * time.Millisecond
	// unheard is how long no hub may answer, three of the periods of gossip,
	// before a box reads.
	unheard = 800 * time.Millisecond
	// spareCalled is the time between calls to a hub beside the nearest, in a crowd.
	spareCalled = time.Second
	// firstTold is how long a box that knows nothing yet waits to be told by the
	// hubs before it reads all for itself, two calls at least: hubs have read within
	// 0.1 s and tell it within 0.25 s more. At a cold start, with nobody to serve
	// yet, it is firstToldCold, as hubs look for each other first.
	firstTold     = 350 * time.Millisecond
	firstToldCold = 1500 * time.Millisecond
	// promisedMost bounds the wait to be told where hubs say that they tell all
	// later: 300 boxes that start at once before 3,000 upstreams are told within 4 s.
	promisedMost = 6 * time.Second
	// crowdTold is how long a box of a crowd that knows nothing waits to be told, where
	// no hub answers: all may have started at once, and a hub that was called before it
	// was up is passed by for 3 s. Boxes that read the whole fleet together wait for each
	// other in vain.
	crowdTold = 4 * time.Second
	// crowdSpread is over how many times its spread a box of a crowd puts off what it
	// would read with all others: over 4 s where it knows nothing.
	crowdSpread = 5
	// crowdUnheard is the same where it knows all and hears no hub: the last reads at
	// 3.2 s, as where it is told what is old.
	crowdUnheard = 3
	// listedIn is how long a box that restarts waits to learn how many others there are
	// before it reads all for itself; some 0.05 s in calm. That many did so at once, as
	// all of 300 were killed, held up the store for their writes too.
	listedIn = 400 * time.Millisecond
	// coldMost bounds the wait at a cold start until the other boxes are known.
	coldMost = 3 * time.Second
	// hubFirst and hubMost bound a hub's waits between failed calls: it has to be
	// current again within some 2 s of the store's return.
	hubFirst = 100 * time.Millisecond
	hubMost  = 1200 * time.Millisecond
	// shared is what the boxes that are no hubs keep between their failed calls,
	// all together, so that 20 a second are paid for however many they are.
	shared = 50 * time.Millisecond
	// sharedMost bounds that for one box.
	sharedMost = 5 * time.Second
)

// Boxes is what is known of the boxes.
type Boxes interface {
	// Joined tells whether this box has joined the others, and read who they are.
	Joined() bool
	// Listed tells whether it has read who the others were, joined or not.
	Listed() bool
	// Rejected tells whether the store has turned its last call for them away.
	Rejected() bool
	// IsReader tells whether this box reads for others.
	IsReader() bool
	// Count returns how many boxes there are.
	Count() int
	// AllReaders tells whether every box reads for itself.
	AllReaders() bool
	// LastHubAnswer returns when a hub last answered.
	LastHubAnswer() time.Time
	// IsLargeFleet tells whether boxes are too many for each to call all hubs.
	IsLargeFleet() bool
	// LastPromised returns when a hub last said that it tells all later.
	LastPromised() time.Time
}

// Policy is that of one table. It is safe for use by several goroutines.
type Policy struct {
	boxes  Boxes
	age    func(now time.Time) (age time.Duration, known bool)
	start  time.Time
	until  time.Time // a cold start ends; zero if it is none
	spread time.Duration
	told   time.Duration // to wait, at first, to be told

	mu     sync.Mutex
	joined time.Time // the boxes were known for the first time
}

// New returns the reading of a table, whose knowledge has an age. At a cold
// start, when all boxes start together, it waits until they know each other:
// until then each would take itself for a hub.
func New(boxes Boxes, age func(now time.Time) (time.Duration, bool), cold bool, random *rand.Rand) *Policy {
	r := &Policy{start: time.Now(), boxes: boxes, age: age, spread: time.Duration(random.Int64N(int64(spread))), told: firstTold}
	if cold {
		r.until = r.start.Add(coldMost)
		r.told = firstToldCold
	}
	return r
}

// Reason is why a box reads.
type Reason string

// The reasons to read; None where others tell.
const (
	None     Reason = ""
	Reader   Reason = "reader"   // it reads for others
	NoReport Reason = "untold"   // it knows nothing, and was not told in time
	Unjoined Reason = "unjoined" // it does not know the other boxes
	NoHub    Reason = "unheard"  // no hub answers
	Outdated Reason = "old"      // the hubs tell what is old
)

// Needed implements tablesync.Need: it tells whether this box is to read now.
func (r *Policy) Needed(now time.Time) bool { return r.Reason(now) != None }

// Reason returns why this box is to read now.
func (r *Policy) Reason(now time.Time) Reason {
	age, known := r.age(now)
	reads := r.boxes.IsReader()
	silent := now.Sub(r.boxes.LastHubAnswer()) > r.unheard()
	joined := r.boxes.Joined() || r.boxes.IsLargeFleet() && (reads && r.until.IsZero() || !silent) // joining takes many a second
	switch {
	case !joined && known:
		return Unjoined.when(age > unheard)
	case !joined:
		return r.unjoined(now)
	case !known && reads:
		return Reader
	case !known:
		return NoReport.when(r.first(now))
	case silent && !reads:
		return NoHub.when(age > unheard+r.crowds(crowdUnheard))
	case reads:
		return Reader
	}
	return Outdated.when(age > told+r.spread)
}

// unheard is for how long no hub may have answered: of a crowd one may be left that is
// called each second.
func (r *Policy) unheard() time.Duration {
	if r.boxes.IsLargeFleet() {
		return unheard + spareCalled
	}
	return unheard
}

// when returns the reason if it holds.
func (r Reason) when(holds bool) Reason {
	if holds {
		return r
	}
	return None
}

// unjoined returns why a box that knows nothing reads before it has joined the others.
func (r *Policy) unjoined(now time.Time) Reason {
	waited := now.Sub(r.start)
	switch {
	case r.boxes.IsLargeFleet() && !r.until.IsZero():
		return Unjoined.when(waited >= coldMost+crowdTold+r.crowds(crowdSpread))
	case !r.until.IsZero():
		return Unjoined.when(now.After(r.until))
	case !r.boxes.Listed() && r.boxes.Rejected(): // as any other call would be; it may be of a crowd
		return Unjoined.when(waited >= crowdTold+crowdSpread*r.spread)
	case !r.boxes.Listed():
		return Unjoined.when(waited >= listedIn+r.spread)
	case !r.boxes.IsLargeFleet():
		return Unjoined
	}
	return Unjoined.when(waited >= crowdTold+r.crowds(crowdSpread))
}

// first tells whether a box that knows nothing yet is to read all for itself.
func (r *Policy) first(now time.Time) bool {
	waited := now.Sub(r.since(now))
	told, most := r.told, promisedMost+r.crowds(crowdSpread)
	if r.boxes.IsLargeFleet() {
		told = max(told, crowdTold) + r.crowds(crowdSpread)
	}
	promised := now.Sub(r.boxes.LastPromised()) <= unheard && waited < most
	return waited >= told && !promised
}

// crowds returns some times this box's spread in a crowd, and none otherwise.
func (r *Policy) crowds(times int) time.Duration {
	if !r.boxes.IsLargeFleet() {
		return 0
	}
	return time.Duration(times) * r.spread
}

// since returns since when the boxes are known.
func (r *Policy) since(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.joined.IsZero() {
		r.joined = now
	}
	return r.joined
}

// Wait implements tablesync.Need.
func (r *Policy) Wait() time.Duration {
	if r.boxes.AllReaders() {
		return feedWait
	}
	return feedLeast + rand.N(feedWait-feedLeast)
}

// Pace implements tablesync.Need.
func (r *Policy) Pace() tablesync.Pace {
	if r.boxes.IsReader() {
		return tablesync.Pace{Initial: hubFirst, Max: hubMost}
	}
	wait := min(max(time.Duration(r.boxes.Count())*shared, hubMost), sharedMost)
	return tablesync.Pace{Initial: wait, Max: wait}
}
