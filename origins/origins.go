// Package origins remembers which release of a service's upstreams began each stream, so that
// a caller can resume the stream there. Streams are identified by a hash of the caller's
// organisation and of the id of its request that brought the first event.
package origins

import (
	"slices"
	"sync"
	"time"

	"petrelstep/fingerprint"
)

const (
	// Retention is the time within which a stream can be resumed: the longest that callers
	// wait for an answer. Origins are kept for one to two times as long.
	Retention = time.Minute
	// maxRecorded bounds the origins that are recorded in one period. Beyond it periods are
	// shorter. One takes some 130 bytes.
	maxRecorded = 16384
)

// Origin is the release of a service that began a stream. Values are immutable.
type Origin struct {
	Service string
	Release string // empty if it is unknown
}

// Record is a stream with its origin.
type Record struct {
	Stream fingerprint.Fingerprint
	Origin Origin
}

// KeyOf returns what identifies the stream that a request of an organisation began.
func KeyOf(organisation, request string) fingerprint.Fingerprint {
	return fingerprint.New([]byte(organisation), []byte(request))
}

// recorded is a known origin.
type recorded struct {
	origin    Origin
	ambiguous bool // it was recorded with several origins
}

// Origins is safe for concurrent use.
type Origins struct {
	mu                sync.Mutex
	current, previous map[fingerprint.Fingerprint]recorded
	startedAt         time.Time // of the current period
	unsent            []unsent  // own records that other boxes do not have
}

// unsent is a record that other boxes do not have yet.
type unsent struct {
	Record
	at time.Time
}

// New returns an empty memory.
func New() *Origins {
	return &Origins{current: map[fingerprint.Fingerprint]recorded{}, previous: map[fingerprint.Fingerprint]recorded{}}
}

// Add records the origin of a stream. A stream with several origins has none that is known.
func (o *Origins) Add(now time.Time, r Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.add(now, r)
}

func (o *Origins) add(now time.Time, r Record) {
	if now.Sub(o.startedAt) > Retention || len(o.current) >= maxRecorded {
		o.current, o.previous, o.startedAt = map[fingerprint.Fingerprint]recorded{}, o.current, now
	}
	before, known := o.get(r.Stream)
	o.current[r.Stream] = recorded{origin: r.Origin, ambiguous: known && (before.ambiguous || before.origin != r.Origin)}
}

// AddUnsent records the origin of a stream of this box, and keeps it for TakeUnsent.
func (o *Origins) AddUnsent(now time.Time, r Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.add(now, r)
	if len(o.unsent) >= maxRecorded {
		o.unsent = slices.Clone(o.unsent[maxRecorded/2:])
	}
	o.unsent = append(o.unsent, unsent{r, now})
}

// TakeUnsent removes and returns the records of this box that other boxes do not have, of
// services for which wanted returns true.
func (o *Origins) TakeUnsent(now time.Time, wanted func(service string) bool) (list []Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expireUnsent(now)
	kept := o.unsent[:0]
	for _, u := range o.unsent {
		if wanted(u.Origin.Service) {
			list = append(list, u.Record)
			continue
		}
		kept = append(kept, u)
	}
	o.unsent = kept
	return list
}

// expireUnsent drops the records of streams that are no longer resumed.
func (o *Origins) expireUnsent(now time.Time) {
	first, _ := slices.BinarySearchFunc(o.unsent, now.Add(-Retention), func(u unsent, at time.Time) int { return u.at.Compare(at) })
	if first > len(o.unsent)/2 {
		o.unsent = slices.Clone(o.unsent[first:])
		return
	}
	o.unsent = o.unsent[first:]
}

// Get returns the origin of a stream; false if it is not known.
func (o *Origins) Get(stream fingerprint.Fingerprint) (Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, known := o.get(stream)
	return r.origin, known && !r.ambiguous
}

func (o *Origins) get(stream fingerprint.Fingerprint) (recorded, bool) {
	if r, ok := o.current[stream]; ok {
		return r, true
	}
	r, ok := o.previous[stream]
	return r, ok
}
