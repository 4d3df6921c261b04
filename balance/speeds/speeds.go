// Package speeds learns how fast each engine decodes and prefills, for one incarnation
// of it, and estimates how many answers a request makes late there: on a slow engine
// one concurrent prefill can make all streams exceed the maximum gap, while a fast one
// prefills any number of prompts.
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
	// viewInterval is the maximum age of a view. Boxes report to each other once per
	// second.
	viewInterval = 250 * time.Millisecond
	// retainedWeight is the weight of the last estimate of an engine where nothing
	// streams: that of a single observation, so that the next one counts as much.
	retainedWeight = 1.0
	// retention is how long the estimate of an engine is kept that takes no new work:
	// it may return with its entry.
	retention = 30 * time.Second
	// prefillWeight is the weight of one measured prefill, which may have waited for
	// others that were not reported yet.
	prefillWeight = 0.25
	// minPrefillTokens is the length of the shortest prompt by which prefill speed is
	// measured; shorter ones take no longer than a few events.
	minPrefillTokens = 256
)

// upstreams returns the upstreams of the fleet.
type upstreams interface {
	Get(id string) (fleet.Upstream, bool)
	// Serves reports whether an upstream takes new work; not one whose release is on trial,
	// so that a slow release does not change what is expected of the others.
	Serves(id string) bool
}

// counter counts the requests that go to engines.
type counter interface {
	// LongPlaced counts a request with a long answer by the class of its engine.
	LongPlaced(class string)
}

// observed is this box's own record of an engine.
type observed struct {
	at time.Time
	record
}

// estimate is the last estimate of an engine.
type estimate struct {
	at       time.Time // when it was last refreshed
	lastSeen time.Time // when the engine was last observed
	record
}

// Speeds holds the estimates of one box. It is safe for concurrent use. A nil *Speeds
// knows nothing and learns nothing.
type Speeds struct {
	fleet  upstreams
	counts counter
	log    *logrus.Entry
	others *peerstate.Totals[record]

	mu          sync.Mutex
	own         map[string]observed      // by key
	estimates   map[string]estimate      // by key
	views       map[string]*view         // by service
	spread      map[string]spread        // by service
	lateStreams map[string]float64       // streams presumed late because of requests assigned by this box, by id
	gaps        map[string]time.Duration // last requested maximum gap, by service
	classes     map[string]Class         // last logged, by key
}

// New returns Speeds with no estimates.
func New(f upstreams, c counter, log *logrus.Entry) *Speeds {
	return &Speeds{
		fleet: f, counts: c, log: log, others: peerstate.New[record](), own: map[string]observed{}, estimates: map[string]estimate{}, views: map[string]*view{},
		lateStreams: map[string]float64{}, spread: map[string]spread{}, gaps: map[string]time.Duration{}, classes: map[string]Class{},
	}
}

// Stream returns a measurement of a stream at an upstream.
func (s *Speeds) Stream(u fleet.Upstream) *Stream {
	if s == nil {
		return nil
	}
	return &Stream{speeds: s, upstream: u, gaps: make([]time.Duration, 0, window)}
}

// RecordPrefill records how long a prefill took that did not wait for another.
func (s *Speeds) RecordPrefill(now time.Time, u fleet.Upstream, tokens int, took time.Duration) {
	if s == nil || tokens < minPrefillTokens || took < time.Duration(tokens) {
		return // too short for the clock, and 0 has no logarithm
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.ownRecord(now, keyOf(u))
	r.prefill = r.prefill.with(took/time.Duration(tokens), prefillWeight)
	s.own[keyOf(u)] = r
}

// recordWindow adds an observation of a stream.
func (s *Speeds) recordWindow(now time.Time, u fleet.Upstream, o observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := keyOf(u)
	r := s.ownRecord(now, key)
	r.alone = r.alone.with(o.alone, o.weight)
	if o.concurrent > time.Duration(minContrast*float64(o.alone)) {
		r.concurrent = r.concurrent.with(o.concurrent, o.weight)
	}
	s.own[key] = r
}

// recordSpread adds by how much, as a logarithm, the longest gap of a stream exceeded
// the mean of the longest gaps of its windows.
func (s *Speeds) recordSpread(service string, log float64) {
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

// ownRecord returns this box's own record, decayed to now.
func (s *Speeds) ownRecord(now time.Time, key string) observed {
	r := s.own[key]
	if r.at.IsZero() {
		return observed{at: now}
	}
	left := math.Exp2(-now.Sub(r.at).Seconds() / halfLife.Seconds())
	return observed{now, r.times(left)}
}

// Own returns this box's recent observations, for its report to other boxes.
func (s *Speeds) Own(now time.Time) []wire.UpstreamSpeed {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return toWire(s.ownRecords(now))
}

// ownRecords returns this box's own records that still count, and drops the others.
func (s *Speeds) ownRecords(now time.Time) map[string]record {
	list := map[string]record{}
	for key := range s.own {
		r := s.ownRecord(now, key)
		if r.weight() < minWeight {
			delete(s.own, key)
			continue
		}
		list[key] = r.record
	}
	return list
}

func toWire(records map[string]record) []wire.UpstreamSpeed {
	rows := make([]wire.UpstreamSpeed, 0, len(records))
	for key, r := range records {
		if r.weight() >= minWeight {
			rows = append(rows, toRow(key, r))
		}
	}
	return rows
}

// Without returns the recent observations of all boxes but one, which is the receiver.
func (s *Speeds) Without(now time.Time, box string) []wire.UpstreamSpeed {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	list := s.ownRecords(now)
	s.mu.Unlock()
	s.others.AddExcept(now, box, list)
	return toWire(list)
}

// Part returns the recent observations of this box and the boxes that report only to
// it, for the boxes to which they do not report.
func (s *Speeds) Part(now time.Time) []wire.UpstreamSpeed {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	list := s.ownRecords(now)
	s.mu.Unlock()
	s.others.AddExclusive(now, list)
	return toWire(list)
}

// SetCoverage records whether a box reports only to this one. It is called before
// Update.
func (s *Speeds) SetCoverage(box string, only bool) {
	if s != nil {
		s.others.SetCoverage(box, only, peerstate.Coverage{})
	}
}

// Update stores a report of another box.
func (s *Speeds) Update(now time.Time, box string, list []wire.UpstreamSpeed) {
	if s != nil {
		s.others.Update(now, box, fromWire(list))
	}
}

// AddSuspension ages the stored reports by the time for which this machine was suspended.
func (s *Speeds) AddSuspension(d time.Duration) {
	if s != nil {
		s.others.AddSuspension(d)
	}
}

// UpdateSum stores the sum that a hub reports for all other boxes.
func (s *Speeds) UpdateSum(now time.Time, list []wire.UpstreamSpeed) {
	if s != nil {
		s.others.UpdateSum(now, fromWire(list))
	}
}

func fromWire(list []wire.UpstreamSpeed) map[string]record {
	records := make(map[string]record, len(list))
	for _, row := range list {
		records[keyFor(row.Upstream, row.Born)] = fromRow(row)
	}
	return records
}

// Of returns the estimate of an upstream's speed.
func (s *Speeds) Of(now time.Time, u fleet.Upstream) Speed {
	if s == nil {
		return Speed{}
	}
	return s.view(now, u.Service).speeds[keyOf(u)]
}

// Refresh refreshes the estimates of a service's engines. Reports of other boxes expire
// within seconds, and a box that evaluates no request now may become the owner of the
// queue.
func (s *Speeds) Refresh(now time.Time, service string) {
	if s != nil {
		s.view(now, service)
	}
}

// view returns the estimates of the engines of a service, refreshed if they are older
// than viewInterval.
func (s *Speeds) view(now time.Time, service string) *view {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.views[service]; ok && now.Sub(v.at) < viewInterval {
		return v
	}
	var list []engineEstimate
	for _, key := range s.knownKeys(now, service) {
		e := s.refreshEstimate(now, key)
		if e.weight() > 0 {
			list = append(list, engineEstimate{key, e})
		}
	}
	s.prune(now)
	v := newView(now, list, s.spreadOf(service).margin())
	s.views[service] = v
	s.logClasses(now, service, v)
	return v
}

// knownKeys returns the sorted keys of a service's engines that take new work and that
// any box has observed. In a large fleet most engines are idle, and each box refreshes
// its estimates once per second.
func (s *Speeds) knownKeys(now time.Time, service string) []string {
	known := s.others.All(now)
	for key := range s.own {
		known[key] = record{}
	}
	for key := range s.estimates {
		known[key] = record{}
	}
	var keys []string
	for key := range known {
		id, _ := splitKey(key)
		u, ok := s.fleet.Get(id)
		if ok && u.Service == service && keyOf(u) == key && s.fleet.Serves(id) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// refreshEstimate combines the recent observations of all boxes with the last estimate
// of an engine.
func (s *Speeds) refreshEstimate(now time.Time, key string) estimate {
	last := s.estimates[key]
	recent := s.ownRecord(now, key).Plus(s.others.Of(now, key))
	e := estimate{at: now, lastSeen: last.lastSeen}
	if recent.weight() > minWeight {
		e.lastSeen = now
	}
	e.record = record{blend(recent.alone, last.alone), blend(recent.concurrent, last.concurrent), blend(recent.prefill, last.prefill)}
	s.estimates[key] = e
	return e
}

// blend fills up the weight of recent observations with the last estimate.
func blend(recent, last sum) sum {
	missing := min(retainedWeight-recent.weight, last.weight)
	if missing <= 0 || last.weight == 0 {
		return recent
	}
	return recent.plus(last.times(missing / last.weight))
}

// prune drops own records and estimates of removed engines.
func (s *Speeds) prune(now time.Time) {
	for key, r := range s.own {
		if now.Sub(r.at) > retention {
			delete(s.own, key)
		}
	}
	for key, e := range s.estimates {
		if now.Sub(e.at) > retention {
			delete(s.estimates, key)
			id, _ := splitKey(key)
			delete(s.lateStreams, id)
			delete(s.classes, key)
		}
	}
}
