// Package speeds learns how fast each engine is, for as long as it lives, and tells
// what a request costs there in answers that pause for too long. An engine that makes
// events in 65 ms keeps a pause of 180 ms until a prompt is read beside its streams,
// which makes it 185 ms: the first one then makes all of them late. An engine twice as
// fast reads any number.
package speeds

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/fleet"
	"petrelstep/peerstate"
	"petrelstep/wire"
)

const (
	// viewEvery is how long what is believed holds until it is made anew from what
	// was seen meanwhile: boxes tell once a second.
	viewEvery = 250 * time.Millisecond
	// keptWeight is what the last belief of an engine counts for while nothing
	// streams there: a single observation, so that the next one is as good.
	keptWeight = 1.0
	// keptFor is how long an engine is known that takes nothing new: it may be back
	// once its entry is.
	keptFor = 30 * time.Second
	// readWeight is the weight of how long one prompt took to be read: others may have
	// been read before it that nobody had told of yet.
	readWeight = 0.25
	// leastRead is the shortest prompt that tells how fast an engine reads: shorter
	// ones are over within a few events.
	leastRead = 256
)

// upstreams knows the fleet.
type upstreams interface {
	Get(id string) (fleet.Upstream, bool)
	// Takes tells whether an upstream takes new work.
	Takes(id string) bool
}

// counter counts the requests that go to engines.
type counter interface {
	// LongPlaced counts one by the class of its engine.
	LongPlaced(class string)
}

// seen is this box's own record of an engine.
type seen struct {
	at time.Time
	record
}

// belief is the last that was known of an engine.
type belief struct {
	at   time.Time // it was last renewed
	seen time.Time // anything was last seen of it
	record
}

// Speeds is safe for use by several goroutines. The nil value knows nothing and
// learns nothing.
type Speeds struct {
	fleet  upstreams
	counts counter
	log    *logrus.Entry
	others *peerstate.Totals[record]

	mu      sync.Mutex
	own     map[string]seen          // by key
	beliefs map[string]belief        // by key
	views   map[string]*view         // by service
	spread  map[string]spread        // by service
	given   map[string]float64       // streams taken to be late, by what this box sent where, by key
	gaps    map[string]time.Duration // last asked for, by service
	classes map[string]Class         // last logged, by key
}

// New returns an empty memory of the upstreams that are served.
func New(f upstreams, c counter, log *logrus.Entry) *Speeds {
	return &Speeds{
		fleet: f, counts: c, log: log, others: peerstate.New[record](), own: map[string]seen{}, beliefs: map[string]belief{}, views: map[string]*view{},
		given: map[string]float64{}, spread: map[string]spread{}, gaps: map[string]time.Duration{}, classes: map[string]Class{},
	}
}

// Stream follows a stream at an upstream.
func (s *Speeds) Stream(u fleet.Upstream) *Stream {
	if s == nil {
		return nil
	}
	return &Stream{speeds: s, upstream: u, gaps: make([]time.Duration, 0, window)}
}

// RecordPrefill notes how long a prompt took to be read that found no other before it.
func (s *Speeds) RecordPrefill(now time.Time, u fleet.Upstream, tokens int, took time.Duration) {
	if s == nil || tokens < leastRead || took < time.Duration(tokens) {
		return // less than can be told by the clock has no logarithm
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.ownOf(now, keyOf(u))
	r.read = r.read.with(took/time.Duration(tokens), readWeight)
	s.own[keyOf(u)] = r
}

// streamed takes an observation of a stream.
func (s *Speeds) streamed(now time.Time, u fleet.Upstream, o observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := keyOf(u)
	r := s.ownOf(now, key)
	r.alone = r.alone.with(o.alone, o.weight)
	if o.beside > time.Duration(contrast*float64(o.alone)) {
		r.beside = r.beside.with(o.beside, o.weight)
	}
	s.own[key] = r
}

// spreads takes how much the longest event of a stream was above those of its windows.
func (s *Speeds) spreads(service string, log float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spread[service] = s.spreadOf(service).with(log)
}

func (s *Speeds) spreadOf(service string) spread {
	if known, ok := s.spread[service]; ok {
		return known
	}
	return newSpread()
}

// ownOf returns this box's own record as of now.
func (s *Speeds) ownOf(now time.Time, key string) seen {
	r := s.own[key]
	if r.at.IsZero() {
		return seen{at: now}
	}
	left := math.Exp2(-now.Sub(r.at).Seconds() / halfLife.Seconds())
	return seen{now, r.times(left)}
}

// Own returns what this box saw of late, for its peers.
func (s *Speeds) Own(now time.Time) []wire.UpstreamSpeed {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return rowsOf(s.recent(now))
}

// recent returns this box's own records that count yet, and drops the others.
func (s *Speeds) recent(now time.Time) map[string]record {
	list := map[string]record{}
	for key := range s.own {
		r := s.ownOf(now, key)
		if r.weight() < forgotten {
			delete(s.own, key)
			continue
		}
		list[key] = r.record
	}
	return list
}

func rowsOf(records map[string]record) []wire.UpstreamSpeed {
	rows := make([]wire.UpstreamSpeed, 0, len(records))
	for key, r := range records {
		if r.weight() >= forgotten {
			rows = append(rows, rowOf(key, r))
		}
	}
	return rows
}

// Without returns what all boxes but one saw of late, for that one.
func (s *Speeds) Without(now time.Time, box string) []wire.UpstreamSpeed {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	list := s.recent(now)
	s.mu.Unlock()
	s.others.Without(now, box, list)
	return rowsOf(list)
}

// Part returns what this box and those that tell it alone saw of late, for the boxes
// that do not hear them.
func (s *Speeds) Part(now time.Time) []wire.UpstreamSpeed {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	list := s.recent(now)
	s.mu.Unlock()
	s.others.Part(now, list)
	return rowsOf(list)
}

// SetCoverage notes, before a box's word is taken, whether it tells this box alone.
func (s *Speeds) SetCoverage(box string, only bool) {
	if s != nil {
		s.others.Covers(box, only, peerstate.Cover{})
	}
}

// Update takes another box's word of what it saw.
func (s *Speeds) Update(now time.Time, box string, list []wire.UpstreamSpeed) {
	if s != nil {
		s.others.Told(now, box, recordsOf(list))
	}
}

// Older makes what other boxes told older: this box's machine was suspended.
func (s *Speeds) Older(by time.Duration) {
	if s != nil {
		s.others.Older(by)
	}
}

// UpdateSum takes a hub's word of what all other boxes saw.
func (s *Speeds) UpdateSum(now time.Time, list []wire.UpstreamSpeed) {
	if s != nil {
		s.others.ToldSum(now, recordsOf(list))
	}
}

func recordsOf(list []wire.UpstreamSpeed) map[string]record {
	records := make(map[string]record, len(list))
	for _, row := range list {
		records[keyFor(row.Upstream, row.Born)] = recordOf(row)
	}
	return records
}

// Of returns what is believed of an upstream.
func (s *Speeds) Of(now time.Time, u fleet.Upstream) Speed {
	if s == nil {
		return Speed{}
	}
	return s.view(now, u.Service).speeds[keyOf(u)]
}

// Refresh keeps what is believed of a service's engines: what others told lapses within
// seconds, and a box that has weighed nothing meanwhile may have to keep the queue next.
func (s *Speeds) Refresh(now time.Time, service string) {
	if s != nil {
		s.view(now, service)
	}
}

// view returns what is believed of the engines of a service.
func (s *Speeds) view(now time.Time, service string) *view {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.views[service]; ok && now.Sub(v.at) < viewEvery {
		return v
	}
	var list []believed
	for _, key := range s.met(now, service) {
		b := s.renew(now, key)
		if b.weight() > 0 {
			list = append(list, believed{key, b})
		}
	}
	s.forget(now)
	v := newView(now, list, s.spreadOf(service).margin())
	s.views[service] = v
	s.logClasses(now, service, v)
	return v
}

// met returns, in their order, the keys of the engines of a service that take new work and
// that any box has met: of a large fleet most are idle, and each box looks at these once a
// second.
func (s *Speeds) met(now time.Time, service string) []string {
	known := s.others.All(now)
	for key := range s.own {
		known[key] = record{}
	}
	for key := range s.beliefs {
		known[key] = record{}
	}
	var keys []string
	for key := range known {
		id, _ := split(key)
		u, ok := s.fleet.Get(id)
		if ok && u.Service == service && keyOf(u) == key && s.fleet.Takes(id) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// renew joins what all boxes saw of an engine of late with what was believed
// before, as far as that counts yet.
func (s *Speeds) renew(now time.Time, key string) belief {
	last := s.beliefs[key]
	late := s.ownOf(now, key).Plus(s.others.Of(now, key))
	b := belief{at: now, seen: last.seen}
	if late.weight() > forgotten {
		b.seen = now
	}
	b.record = record{renewed(late.alone, last.alone), renewed(late.beside, last.beside), renewed(late.read, last.read)}
	s.beliefs[key] = b
	return b
}

// renewed fills up what was seen of late with the last belief.
func renewed(late, last sum) sum {
	missing := min(keptWeight-late.weight, last.weight)
	if missing <= 0 || last.weight == 0 {
		return late
	}
	return late.plus(last.times(missing / last.weight))
}

// forget drops what is believed of engines that are gone.
func (s *Speeds) forget(now time.Time) {
	for key, r := range s.own {
		if now.Sub(r.at) > keptFor {
			delete(s.own, key)
		}
	}
	for key, b := range s.beliefs {
		if now.Sub(b.at) > keptFor {
			delete(s.beliefs, key)
			id, _ := split(key)
			delete(s.given, id)
			delete(s.classes, key)
		}
	}
}
