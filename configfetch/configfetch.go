// Package configfetch fetches newer configurations from the boxes that announce them. While one
// does not answer, further ones are asked.
package configfetch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/metrics"
	"petrelstep/peer"
	"petrelstep/peer/roundtrip"
	"petrelstep/wire"
)

const (
	// MaxDelay is the maximum time, besides that of the transfer, until a further box is asked. A box
	// whose round trip is unknown has that long.
	MaxDelay = roundtrip.Max
	// minDelay is the minimum: a call within a region, beside other work of both boxes.
	minDelay = 50 * time.Millisecond
	// MaxRunning is the maximum number of fetches at a time. Each may take the whole link.
	MaxRunning = 3
	// Timeout bounds a fetch, besides the transfer. A box that is overloaded may still answer.
	Timeout = time.Second
	// failureTime is how long a box whose fetch failed is asked after all others.
	failureTime = 3 * time.Second
	// bytesPerMbit converts the rate of a link to bytes per second.
	bytesPerMbit = 125000
)

// Announcement says that a box has a configuration of a version. Values are immutable.
type Announcement struct {
	Box, Address string
	Version      int
	Confirmed    time.Time // when the store had confirmed the version; zero if unknown
	Answered     bool      // the box said so in an answer, so that calls to it are answered
}

// Caller calls other boxes.
type Caller interface {
	CallIdempotent(ctx context.Context, address, method string, args, reply any) error
	// Timeout returns within which time a box is expected to answer; false if unknown.
	Timeout(address string) (timeout time.Duration, known bool)
}

// Configuration is the configuration in force.
type Configuration interface {
	// Version returns its version, and 0 if there is none.
	Version() int
	// Size returns its size as it is transferred, in bytes.
	Size() int
	// Apply puts a configuration in force if it is newer; source is for the log.
	Apply(encoded []byte, source string) error
	// Confirm records that the version in force was confirmed at a time.
	Confirm(at time.Time)
}

// Fetcher is safe for concurrent use.
type Fetcher struct {
	caller   Caller
	config   Configuration
	linkMbit float64
	count    func(outcome string)
	log      *logrus.Entry

	mu      sync.Mutex
	known   []announced          // in the order in which they came
	failed  map[string]time.Time // by box
	running int
	nextAt  time.Time // when a further box is asked while fetches run
}

// announced is an announcement that is newer than the configuration in force.
type announced struct {
	Announcement
	asked bool // is being asked
}

// New returns a fetcher of a box with a link of a rate. count is called with the outcome of each
// fetch.
func New(caller Caller, config Configuration, linkMbit float64, count func(outcome string), log *logrus.Entry) *Fetcher {
	return &Fetcher{caller: caller, config: config, linkMbit: linkMbit, count: count, log: log, failed: map[string]time.Time{}}
}

// Announce handles an announcement.
func (f *Fetcher) Announce(a Announcement) {
	if a.Version <= f.config.Version() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record(a)
	f.askNext()
}

// record adds an announcement, or updates that of the same box.
func (f *Fetcher) record(a Announcement) {
	for i, known := range f.known {
		if known.Box == a.Box {
			a.Answered = a.Answered || known.Answered
			f.known[i].Announcement = a
			return
		}
	}
	f.known = append(f.known, announced{Announcement: a})
}

// askNext asks a further box if none is being asked, or those that are have had their time.
func (f *Fetcher) askNext() {
	now := time.Now()
	if f.running >= MaxRunning || f.running > 0 && now.Before(f.nextAt) {
		return
	}
	best := f.best(now)
	if best < 0 {
		return
	}
	f.known[best].asked = true
	a := f.known[best].Announcement
	delay := f.delay(a.Address)
	f.running++
	f.nextAt = now.Add(delay)
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.askNext()
	})
	go f.fetch(a)
}

// best returns the index of the box to ask; negative if there is none. It drops announcements that
// are no longer newer.
func (f *Fetcher) best(now time.Time) int {
	inForce, kept := f.config.Version(), f.known[:0]
	for _, a := range f.known {
		if a.Version > inForce || a.asked {
			kept = append(kept, a)
		}
	}
	f.known = kept
	best := -1
	for i, a := range f.known {
		if a.asked || a.Version <= inForce {
			continue
		}
		if best < 0 || f.rank(now, a) > f.rank(now, f.known[best]) {
			best = i
		}
	}
	return best
}

// rank orders the boxes to ask: those whose last fetch failed come last, and those that answer
// calls first.
func (f *Fetcher) rank(now time.Time, a announced) int {
	switch {
	case now.Sub(f.failed[a.Box]) < failureTime:
		return 0
	case !a.Answered:
		return 1
	}
	return 2
}

// delay returns how long a box may take before a further one is asked.
func (f *Fetcher) delay(address string) time.Duration {
	timeout, known := f.caller.Timeout(address)
	if !known {
		timeout = MaxDelay
	}
	return max(timeout, minDelay) + f.transferTime()
}

// transferTime returns the time that a configuration of the size in force takes on this box's link.
func (f *Fetcher) transferTime() time.Duration {
	if f.linkMbit <= 0 {
		return 0
	}
	return time.Duration(float64(f.config.Size()) / (f.linkMbit * bytesPerMbit) * float64(time.Second))
}

// fetch asks one box.
func (f *Fetcher) fetch(a Announcement) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), Timeout+f.transferTime())
	defer cancel()
	var answer wire.Configuration
	err := f.caller.CallIdempotent(ctx, a.Address, peer.Configuration, wire.Nothing{}, &answer)
	took, before := time.Since(began), f.config.Version()
	if err == nil && answer.Version < a.Version {
		err = &OldError{Box: a.Box, Announced: a.Version, Returned: answer.Version}
	}
	if err == nil {
		err = f.config.Apply([]byte(answer.Encoded), a.Box)
	}
	if err == nil && !a.Confirmed.IsZero() {
		f.config.Confirm(a.Confirmed)
	}
	f.report(a, took, answer.Version > before, err)
	f.ended(a, err)
}

// OldError reports that a box returned an older configuration than it had announced.
type OldError struct {
	Box                 string
	Announced, Returned int // versions; Returned is 0 if the box has none
}

// Error implements error.
func (e *OldError) Error() string { return "older configuration than announced by " + e.Box }

// report logs and counts the outcome of a fetch.
func (f *Fetcher) report(a Announcement, took time.Duration, newer bool, err error) {
	log := f.log.WithFields(logrus.Fields{"peer": a.Box, "version": a.Version, "took_ms": took.Milliseconds(), "answered": a.Answered})
	if err != nil {
		f.count(metrics.FetchFailed)
		log.WithError(err).Warn("configuration_not_taken")
		return
	}
	outcome := metrics.FetchOld
	if newer {
		outcome = metrics.FetchTaken
	}
	f.count(outcome)
	if !a.Confirmed.IsZero() {
		log = log.WithField("confirmed_ms", time.Since(a.Confirmed).Milliseconds())
	}
	log.WithField("outcome", outcome).Info("configuration_fetched")
}

// ended records the end of a fetch. After a failure the next box is asked at once.
func (f *Fetcher) ended(a Announcement, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	for i, known := range f.known {
		if known.Box == a.Box {
			f.known = append(f.known[:i], f.known[i+1:]...)
			break
		}
	}
	delete(f.failed, a.Box)
	if err != nil {
		f.failed[a.Box] = time.Now()
		f.nextAt = time.Time{}
	}
	f.askNext()
}
