// Package readpolicy decides when a box reads a table of the platform's store itself.
// Calls to the store are paid for, so that a few hubs read and report to the others. Some
// standbys read in their place while the store answers none of them. A box that receives no
// report, or only outdated ones, reads too.
package readpolicy

import (
	"math/rand/v2"
	"sync"
	"time"

	"petrelstep/tablesync"
)

const (
	// StandbyAge is the time without an answer of the store to any reader after which the
	// standbys read. Readers' calls end ReadPeriod/3 apart, and are reported a gossip period
	// later.
	StandbyAge = 900 * time.Millisecond
	// UnreadAge is the time without an answer of the store to any other box after which
	// every box reads that may; the standbys' first answers are known before.
	UnreadAge = 1350 * time.Millisecond
	// MaxUnreadSpread bounds the random delay that each box adds to UnreadAge.
	MaxUnreadSpread = 200 * time.Millisecond
	// ReadPeriod is the time between the ends of a reader's calls that return no changes.
	ReadPeriod = 960 * time.Millisecond
)

const (
	// minPeriodicWait is the minimum wait of a call that ends at a fixed time of the period.
	minPeriodicWait = 100 * time.Millisecond
	// longPollWait is how long a call waits for changes, and so how often the store
	// confirms that there are none. A reader that has lost the store finds out by its
	// first failed call, well before keys are refused.
	longPollWait = 1200 * time.Millisecond
	// minLongPollWait is the minimum of the random wait of a box that reads for others,
	// so that the calls of several hubs end at different times.
	minLongPollWait = 700 * time.Millisecond
	// outdatedAge is the age of a table at which a box reads it although hubs answer.
	// Reports that old mean that the hubs have lost the store.
	outdatedAge = 2900 * time.Millisecond
	// maxSpread bounds the random delay that each box adds, so that not all of them
	// read at once. The last one reads before keys are refused.
	maxSpread = 800 * time.Millisecond
	// hubSilence is the time without an answer of any hub after which a box reads.
	hubSilence = 800 * time.Millisecond
	// backupPeriod is the time between calls to the backup hub in a large fleet.
	backupPeriod = time.Second
	// firstReportWait is how long a box without any data waits for a hub's report
	// before it reads itself. It is longer at a cold start, when the hubs have to find
	// each other first.
	firstReportWait     = 350 * time.Millisecond
	coldFirstReportWait = 1500 * time.Millisecond
	// maxPromiseWait bounds the wait for a report that a hub has promised for later, as
	// when many boxes start at once.
	maxPromiseWait = 6 * time.Second
	// largeFleetWait is how long a box of a large fleet without any data waits for a
	// hub to answer. If all boxes started at once, a hub that was called too early is
	// not called again for some seconds, and reads by all boxes would slow each other
	// down.
	largeFleetWait = 4 * time.Second
	// largeFleetSpread is the factor on the random delay of a box of a large fleet that
	// has no data.
	largeFleetSpread = 5
	// largeFleetSilenceSpread is the same factor for a box with data that no hub
	// answers.
	largeFleetSilenceSpread = 3
	// listWait is how long a box that restarts waits for the list of the other boxes
	// before it reads, as it may belong to a large fleet whose boxes all restart.
	listWait = 400 * time.Millisecond
	// maxColdStart bounds the wait for the list of the other boxes at a cold start.
	maxColdStart = 3 * time.Second
	// hubInitialPause and hubMaxPause bound a hub's pause between failed calls, so that
	// it is up to date soon after the store returns.
	hubInitialPause = 100 * time.Millisecond
	hubMaxPause     = 1200 * time.Millisecond
	// sharedPause is the pause between failed calls of all boxes that are not hubs
	// together, so that their rate does not grow with the fleet.
	sharedPause = 50 * time.Millisecond
	// maxSharedPause bounds the resulting pause of one box.
	maxSharedPause = 5 * time.Second
)

// Boxes returns what is known about the boxes of the fleet.
type Boxes interface {
	// Joined reports whether this box has joined the fleet and read the list of its
	// boxes.
	Joined() bool
	// Listed reports whether this box has read the list of boxes, joined or not.
	Listed() bool
	// Rejected reports whether the store rejected the last call for the list.
	Rejected() bool
	// IsReader reports whether this box reads for others.
	IsReader() bool
	// Count returns the number of boxes.
	Count() int
	// AllReaders reports whether every box reads for itself.
	AllReaders() bool
	// LastHubAnswer returns when a hub last answered.
	LastHubAnswer() time.Time
	// IsLargeFleet reports whether there are too many boxes for each to call all hubs.
	IsLargeFleet() bool
	// LastPromised returns when a hub last promised a complete report for later.
	LastPromised() time.Time
}

// Contact returns what is known about the store's answers to the other boxes about a table.
type Contact interface {
	// ReaderSilence returns the time since the store last answered a reader; false if
	// unknown.
	ReaderSilence(now time.Time) (silence time.Duration, known bool)
	// Silence returns the time since the store last answered any other box; false if
	// unknown.
	Silence(now time.Time) (silence time.Duration, known bool)
	// Standby reports whether this box reads while the store answers no reader.
	Standby() bool
	// Fallback reports whether this box reads while the store answers neither the readers
	// nor the standbys.
	Fallback() bool
	// Phase returns the time since the last end of this box's calls in the period that the
	// readers share, by the store's clock; false if unknown.
	Phase(now time.Time) (time.Duration, bool)
}

// Policy is the policy of one table. It is safe for concurrent use.
type Policy struct {
	boxes     Boxes
	age       func(now time.Time) (age time.Duration, known bool)
	startedAt time.Time
	coldUntil time.Time // end of the cold start; zero if it is none
	spread    time.Duration
	firstWait time.Duration // for the first report
	contact   Contact       // nil: unknown

	mu       sync.Mutex
	joinedAt time.Time // when Joined was first true
}

// New returns the policy of a table whose age is returned by age. At a cold start, when
// all boxes start together, it waits until they know each other, as each would
// otherwise take itself for a hub.
func New(boxes Boxes, age func(now time.Time) (time.Duration, bool), cold bool, random *rand.Rand) *Policy {
	p := &Policy{startedAt: time.Now(), boxes: boxes, age: age, spread: time.Duration(random.Int64N(int64(maxSpread))), firstWait: firstReportWait}
	if cold {
		p.coldUntil = p.startedAt.Add(maxColdStart)
		p.firstWait = coldFirstReportWait
	}
	return p
}

// WithContact returns a policy that also follows the store's answers to the other boxes. It
// must be called before the policy is used.
func (p *Policy) WithContact(c Contact) *Policy {
	return &Policy{boxes: p.boxes, age: p.age, startedAt: p.startedAt, coldUntil: p.coldUntil, spread: p.spread, firstWait: p.firstWait, contact: c}
}

// Reason is why a box reads.
type Reason string

// The reasons to read; None if the box does not read.
const (
	None     Reason = ""
	Reader   Reason = "reader"   // it reads for others
	Standby  Reason = "standby"  // the store answers no reader
	Unread   Reason = "unread"   // the store answers neither the readers nor the standbys
	NoReport Reason = "untold"   // it has no data, and received no report in time
	Unjoined Reason = "unjoined" // it has not joined the other boxes
	NoHub    Reason = "unheard"  // no hub answers
	Outdated Reason = "old"      // the hubs' reports are outdated
)

// Needed implements tablesync.Need: it reports whether this box reads now.
func (p *Policy) Needed(now time.Time) bool { return p.Reason(now) != None }

// Reason returns why this box reads now.
func (p *Policy) Reason(now time.Time) Reason {
	age, known := p.age(now)
	reads := p.boxes.IsReader()
	silent := now.Sub(p.boxes.LastHubAnswer()) > p.maxHubSilence()
	joined := p.boxes.Joined() || p.boxes.IsLargeFleet() && (reads && p.coldUntil.IsZero() || !silent) // joining takes long in a large fleet
	switch {
	case !joined && known:
		return Unjoined.onlyIf(age > hubSilence)
	case !joined:
		return p.reasonBeforeJoining(now)
	case !known && reads:
		return Reader
	case !known:
		return NoReport.onlyIf(p.readsFirst(now))
	case silent && !reads:
		return NoHub.onlyIf(age > hubSilence+p.largeFleetDelay(largeFleetSilenceSpread))
	case reads:
		return Reader
	}
	if reason := p.reasonWithoutReaders(now); reason != None {
		return reason
	}
	return Outdated.onlyIf(age > outdatedAge+p.spread)
}

// reasonWithoutReaders returns why a box reads that isn't a reader, while the store answers
// none. A box that reads counts the answers to others only, so that it goes on until the store
// answers these.
func (p *Policy) reasonWithoutReaders(now time.Time) Reason {
	if p.contact == nil {
		return None
	}
	readers, known := p.contact.ReaderSilence(now)
	others, _ := p.contact.Silence(now)
	switch {
	case !known:
		return None
	case p.contact.Standby():
		return Standby.onlyIf(readers > StandbyAge)
	case p.contact.Fallback():
		return Unread.onlyIf(others > UnreadAge+p.spread*MaxUnreadSpread/maxSpread)
	}
	return None
}

// maxHubSilence returns the time without an answer of a hub after which a box reads. In
// a large fleet only the backup hub may be left, which is called less often.
func (p *Policy) maxHubSilence() time.Duration {
	if p.boxes.IsLargeFleet() {
		return hubSilence + backupPeriod
	}
	return hubSilence
}

// onlyIf returns the reason if a condition holds, and None otherwise.
func (r Reason) onlyIf(holds bool) Reason {
	if holds {
		return r
	}
	return None
}

// reasonBeforeJoining returns why a box without any data reads before it has joined.
func (p *Policy) reasonBeforeJoining(now time.Time) Reason {
	waited := now.Sub(p.startedAt)
	switch {
	case p.boxes.IsLargeFleet() && !p.coldUntil.IsZero():
		return Unjoined.onlyIf(waited >= maxColdStart+largeFleetWait+p.largeFleetDelay(largeFleetSpread))
	case !p.coldUntil.IsZero():
		return Unjoined.onlyIf(now.After(p.coldUntil))
	case !p.boxes.Listed() && p.boxes.Rejected(): // other calls would be rejected too; the fleet may be large
		return Unjoined.onlyIf(waited >= largeFleetWait+largeFleetSpread*p.spread)
	case !p.boxes.Listed():
		return Unjoined.onlyIf(waited >= listWait+p.spread)
	case !p.boxes.IsLargeFleet():
		return Unjoined
	}
	return Unjoined.onlyIf(waited >= largeFleetWait+p.largeFleetDelay(largeFleetSpread))
}

// readsFirst reports whether a joined box without any data reads now.
func (p *Policy) readsFirst(now time.Time) bool {
	waited := now.Sub(p.joinedSince(now))
	wait, maxWait := p.firstWait, maxPromiseWait+p.largeFleetDelay(largeFleetSpread)
	if p.boxes.IsLargeFleet() {
		wait = max(wait, largeFleetWait) + p.largeFleetDelay(largeFleetSpread)
	}
	promised := now.Sub(p.boxes.LastPromised()) <= hubSilence && waited < maxWait
	return waited >= wait && !promised
}

// largeFleetDelay returns a multiple of this box's random delay in a large fleet, and
// zero otherwise.
func (p *Policy) largeFleetDelay(spreads int) time.Duration {
	if !p.boxes.IsLargeFleet() {
		return 0
	}
	return time.Duration(spreads) * p.spread
}

// joinedSince returns when the box joined.
func (p *Policy) joinedSince(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.joinedAt.IsZero() {
		p.joinedAt = now
	}
	return p.joinedAt
}

// Wait implements tablesync.Need.
func (p *Policy) Wait() time.Duration {
	if p.boxes.AllReaders() {
		return longPollWait
	}
	if p.contact != nil {
		if phase, known := p.contact.Phase(time.Now()); known {
			return periodicWait(phase)
		}
	}
	return minLongPollWait + rand.N(longPollWait-minLongPollWait)
}

// periodicWait returns the wait until the end of the period, or of the next one if too little
// is left.
func periodicWait(phase time.Duration) time.Duration {
	wait := ReadPeriod - phase%ReadPeriod
	if wait < minPeriodicWait {
		wait += ReadPeriod
	}
	return wait
}

// Pace implements tablesync.Need.
func (p *Policy) Pace() tablesync.Pace {
	if p.boxes.IsReader() {
		return tablesync.Pace{Initial: hubInitialPause, Max: hubMaxPause}
	}
	wait := min(max(time.Duration(p.boxes.Count())*sharedPause, hubMaxPause), maxSharedPause)
	return tablesync.Pace{Initial: wait, Max: wait}
}
