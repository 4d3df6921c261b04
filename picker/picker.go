// Package picker selects the upstream for a new request or for a run that moves.
package picker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"petrelstep/backoff"
	"petrelstep/balance/speeds"
	"petrelstep/distance"
	"petrelstep/fleet"
	"petrelstep/reliability"
	"petrelstep/route"
	"petrelstep/upstreamload"
	"petrelstep/warmup"
)

// A score is an upstream's load as a share of its capacity, plus these weighted
// penalties. The lowest score is best.
const (
	// otherHallWeight is the penalty for another hall of the region, whose link may lose
	// packets or be cut during a stream and whose traffic is billed.
	otherHallWeight = 0.35
	// otherHallMoveWeight is added for a run that moves: copies between halls take twice
	// as long, and others queue behind them.
	otherHallMoveWeight = 0.2
	// otherRegionWeight and otherRegionMoveWeight are the same for another region. They
	// are less than the difference between a full and an idle engine.
	otherRegionWeight     = 0.7
	otherRegionMoveWeight = 0.4
	// silentRegionWeight is added for a region that may be cut off: it exceeds the
	// difference between a full and an idle engine.
	silentRegionWeight = 1.0
	// slotsWeight weighs an engine's slots in use against its memory in use.
	slotsWeight = 0.3
	// prefillWeight is the penalty per second of prompts that are read first.
	prefillWeight = 0.3
	// slowThreshold is the multiple of the median pace from which an engine counts as
	// slow. A full engine that also reads prompts takes up to twice as long as an idle one.
	slowThreshold = 2.0
	// slownessWeight is the penalty per multiple of the median pace.
	slownessWeight = 1.0
	// lateWeight is the penalty per request that would miss its deadline. It outweighs
	// any load.
	lateWeight = 4.0
	// failureWeight weighs the share of requests that failed recently.
	failureWeight = 3.0
	// missingWeight is the penalty for an upstream whose entry lapsed and may return.
	missingWeight = 1.0
	// leavingWindow is how long the runs of a leaving upstream count as moving: its notice
	// of 1.5 to 2.1 s, plus the delay of the boxes' reports.
	leavingWindow = 4 * time.Second
	// noiseWeight bounds the random tie-breaker, which differs between boxes.
	noiseWeight = 0.02
	// smallSampleThreshold is the number of upstreams from which a box ranks a random
	// sample of smallSampleSize. Otherwise all boxes would pick the same upstream.
	smallSampleThreshold = 16
	smallSampleSize      = 5
	// moveSampleSize is the sample's size for a run that moves. moveSampleOtherHalls of
	// it are in other halls, in case the run's own hall is full.
	moveSampleSize       = 8
	moveSampleOtherHalls = 2
)

// Picker is safe for use by several goroutines.
type Picker struct {
	Components

	mu sync.Mutex // guards Random
}

// Components are the dependencies of a Picker.
type Components struct {
	Fleet       *fleet.Fleet
	Loads       *upstreamload.Tracker
	Reliability *reliability.Reliability
	Prefill     prefillEstimator
	Speeds      *speeds.Speeds // nil: only the paces of current streams are compared
	Hall        string         // the hall of this box
	Random      *rand.Rand
	Regions     distance.Map                  // of the halls
	Silent      func(hall string) bool        // whether no box of the hall's region is heard from; nil: never
	Warmup      *warmup.Warmup                // nil: cold upstreams are not limited
	Allocation  func(s route.Service) float64 // this box's share of a cold upstream's limit
	TrialShare  func() float64                // the same for requests that no queue's owner places, as those drawn for a release on trial
	Limits      Limits                        // nil: no upstream announces a limit
	RejectsFew  func(upstream string) bool    // reports whether an upstream bears few rejections; nil: none does
	Backoff     *backoff.Tracker              // upstreams that requested backoff from this box; nil: none
}

// New returns a Picker with the given dependencies.
func New(c Components) *Picker { return &Picker{Components: c} }

// Limits holds the request rates that upstreams announce.
type Limits interface {
	// Limit returns an upstream's announced requests per second, and false if it has none.
	Limit(upstream string) (perSecond float64, limited bool)
	// May reports whether an engine's limit allows one more request.
	May(now time.Time, s route.Service, upstream string) bool
	// Sent records that a request is sent to the engine.
	Sent(now time.Time, s route.Service, upstream string)
}

// prefillEstimator estimates how long engines take to read prompts.
type prefillEstimator interface {
	Time(tokens int) time.Duration
}

// Want describes the request or run that needs an upstream.
type Want struct {
	Service route.Service
	Tokens  int
	Hall    string // preferred hall; the box's own if empty
	Moves   bool   // a run moves there, rather than a new request
	Need    speeds.Need
	Avoid   []string
	Regions []string // allowed regions; empty for any
	Release string   // the only release allowed; empty for any
	All     bool     // rank all upstreams: no other box sends to them at the same time
	Sample  bool     // rank a random sample of a long list, most of it in Hall
	Trial   bool     // the request is drawn for the release on trial
	Own     bool     // this box sends the request: leave out upstreams that requested backoff from it
}

// Choice is a ranked upstream with its current load.
type Choice struct {
	Upstream fleet.Upstream
	Running  upstreamload.Load
	Load     float64 // share of the capacity in use
	speeds.Evaluation
	Held bool // cold or limited, and at its limit for now
}

// Choose returns the best upstream that is not at a limit, and its load as a share
// of its capacity. It reports false if there is none.
func (p *Picker) Choose(now time.Time, w Want) (best fleet.Upstream, load float64, found bool) {
	for _, r := range p.Ranked(now, w) {
		if !r.Held {
			return r.Upstream, r.Load, true
		}
	}
	return fleet.Upstream{}, 0, false
}

// Assigned records that this box, as owner of a queue, assigned a request to an
// upstream.
func (p *Picker) Assigned(now time.Time, u fleet.Upstream, n speeds.Need, running upstreamload.Load) {
	p.Speeds.Assigned(now, u, n, running)
}

// Sent records that a request is sent to an upstream.
func (p *Picker) Sent(now time.Time, s route.Service, u fleet.Upstream) { p.sent(now, s, u, false) }

// SentOnTrial records that a request drawn for the release on trial is sent to an upstream.
func (p *Picker) SentOnTrial(now time.Time, s route.Service, u fleet.Upstream) {
	p.sent(now, s, u, true)
}

func (p *Picker) sent(now time.Time, s route.Service, u fleet.Upstream, trial bool) {
	if p.Warmup != nil && now.Before(u.ColdUntil) {
		p.Warmup.Sent(now, u.ID, p.warmupLimit(s, trial))
	}
	if p.Limits != nil && s.Engine != nil {
		p.Limits.Sent(now, s, u.ID)
	}
}

// limitReached reports whether an engine's announced limit allows no more requests for
// now. Runs that move go only to engines without a limit.
func (p *Picker) limitReached(now time.Time, w Want, u fleet.Upstream) bool {
	if p.Limits == nil || w.Service.Engine == nil {
		return false
	}
	if w.Moves {
		_, limited := p.Limits.Limit(u.ID)
		return limited
	}
	return !p.Limits.May(now, w.Service, u.ID)
}

// slotsTaken reports whether an engine that bears few rejections has no free slot: requests must
// not wait there.
func (p *Picker) slotsTaken(w Want, u fleet.Upstream, running upstreamload.Load) bool {
	return p.RejectsFew != nil && w.Service.Engine != nil && running.Requests >= max(u.Slots, 1) && p.RejectsFew(u.ID)
}

// coldLimitReached reports whether an upstream is cold and may receive no more requests
// for now. Runs that move are exempt: they would be lost otherwise, and turns
// (permissions to move a run) already restrict an upstream to one copy at a time.
func (p *Picker) coldLimitReached(now time.Time, w Want, u fleet.Upstream) bool {
	return p.Warmup != nil && now.Before(u.ColdUntil) && !w.Moves && !p.Warmup.MaySend(now, u.ID, p.warmupLimit(w.Service, w.Trial))
}

func (p *Picker) warmupLimit(s route.Service, trial bool) warmup.Limit {
	if trial && p.TrialShare != nil {
		return warmup.Limit{PerSecond: s.ColdPerSecond, Allocation: p.TrialShare()}
	}
	return warmup.Limit{PerSecond: s.ColdPerSecond, Allocation: p.Allocation(s)}
}

// Ranked returns the upstreams that were considered, best first.
func (p *Picker) Ranked(now time.Time, w Want) []Choice {
	if w.Hall == "" {
		w.Hall = p.Hall
	}
	list := p.candidates(now, w)
	loads := make([]upstreamload.Load, len(list))
	for i, u := range list {
		loads[i] = p.Loads.Load(now, u.ID)
	}
	judged, scores := p.speedScores(now, w, list, loads)
	order := make([]scored, len(list))
	for i, u := range list {
		load := p.load(w, u, loads[i])
		order[i] = scored{index: i, load: load, score: load + scores[i] + p.penalty(now, w, u)}
	}
	slices.SortFunc(order, func(a, b scored) int { return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.index, b.index)) })
	ranked := make([]Choice, len(list))
	for i, s := range order {
		u := list[s.index]
		ranked[i] = Choice{Upstream: u, Running: loads[s.index], Load: s.load, Evaluation: judged[s.index], Held: p.coldLimitReached(now, w, u) || p.limitReached(now, w, u) || p.slotsTaken(w, u, loads[s.index])}
	}
	return ranked
}

// Leaving returns the load of the upstreams of a service that are leaving.
func (p *Picker) Leaving(now time.Time, service string) upstreamload.Load {
	var sum upstreamload.Load
	for _, u := range p.Fleet.RecentlyLeaving(now, service, leavingWindow) {
		if p.Fleet.Continues(service, u.Release) { // otherwise its runs cannot move
			sum = sum.Plus(p.Loads.Load(now, u.ID))
		}
	}
	return sum
}

// scored is an upstream's index and score. Sorting these is much cheaper than sorting
// whole choices.
type scored struct {
	index       int
	load, score float64
}

// candidates returns the upstreams to rank.
func (p *Picker) candidates(now time.Time, w Want) []fleet.Upstream {
	list := p.Fleet.Serving(w.Service.Name)
	if w.Trial {
		list = p.Fleet.Trial(w.Service.Name)
	}
	if w.Own {
		list = p.Backoff.Available(now, list)
	}
	if len(w.Regions) > 0 { // first, as a sample may contain none of them
		list = slices.DeleteFunc(slices.Clone(list), func(u fleet.Upstream) bool { return !p.allowed(w, u) })
	}
	if w.Release != "" { // likewise
		list = slices.DeleteFunc(slices.Clone(list), func(u fleet.Upstream) bool { return u.Release != w.Release })
	}
	if w.Sample && len(list) > largeSampleThreshold {
		list = p.sampleByHall(list, w.Hall)
	}
	if len(w.Avoid) > 0 {
		list = slices.DeleteFunc(slices.Clone(list), func(u fleet.Upstream) bool { return slices.Contains(w.Avoid, u.ID) })
	}
	if w.All || w.Sample || len(list) < smallSampleThreshold {
		return list
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.Moves {
		list = slices.Clone(list)
		p.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		return p.mostlySameHall(list, w.Hall)
	}
	return p.sample(list, w.Hall)
}

// allowed reports whether an upstream is in an allowed region.
func (p *Picker) allowed(w Want, u fleet.Upstream) bool {
	region, _ := p.Regions.Region(u.Hall)
	return slices.Contains(w.Regions, region)
}

// load returns the share of an upstream's capacity that is in use with the request.
func (p *Picker) load(w Want, u fleet.Upstream, l upstreamload.Load) float64 {
	slots := float64(l.Requests) / float64(max(u.Slots, 1))
	e := w.Service.Engine
	if e == nil || e.Memory == 0 {
		return slots
	}
	return float64(l.Tokens+l.Coming+w.Tokens)/float64(e.Memory) + slotsWeight*slots + prefillWeight*p.Prefill.Time(l.Prefill).Seconds()
}

// speedScores estimates how fast upstreams serve a request and returns the penalties: by
// their learned speeds or, without any, by the pace of their current streams.
func (p *Picker) speedScores(now time.Time, w Want, list []fleet.Upstream, loads []upstreamload.Load) (judged []speeds.Evaluation, scores []float64) {
	scores = make([]float64, len(list))
	judged = p.Speeds.Evaluate(now, w.Service.Name, list, loads, w.Need)
	if judged == nil {
		judged = make([]speeds.Evaluation, len(list))
		median := medianPace(loads)
		for i, l := range loads {
			judged[i].PrefillRatio = 1
			scores[i] = slowness(l.Pace(), median)
		}
		return judged, scores
	}
	for i, l := range loads {
		judged[i] = judged[i].WithQueueWait(w.Need, p.Prefill.Time(l.Prefill))
		scores[i] = lateWeight * (judged[i].Cost + judged[i].LateChance)
	}
	return judged, scores
}

// medianPace returns the median time between events at upstreams; 0 if none is known.
func medianPace(loads []upstreamload.Load) time.Duration {
	var paces []time.Duration
	for _, l := range loads {
		if l.Paced > 0 {
			paces = append(paces, l.Pace())
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

// slowness returns the penalty for an upstream with a pace far above the median.
func slowness(pace, median time.Duration) float64 {
	if median == 0 || float64(pace) < slowThreshold*float64(median) {
		return 0
	}
	return slownessWeight * (float64(pace)/float64(median) - 1)
}

// penalty returns the penalties for failures, distance and a lapsed entry, with noise.
func (p *Picker) penalty(now time.Time, w Want, u fleet.Upstream) float64 {
	sum := failureWeight*p.Reliability.FailureRate(now, u.ID) + noiseWeight*p.random()
	sum += p.distancePenalty(w, u)
	if u.State == fleet.Missing {
		sum += missingWeight
	}
	return sum
}

// distancePenalty returns the penalty for an upstream's distance from the preferred hall.
func (p *Picker) distancePenalty(w Want, u fleet.Upstream) float64 {
	weight, moveWeight := 0.0, 0.0
	switch p.Regions.Between(w.Hall, u.Hall) {
	case distance.SameRegion:
		weight, moveWeight = otherHallWeight, otherHallMoveWeight
	case distance.Elsewhere:
		weight, moveWeight = otherRegionWeight, otherRegionMoveWeight
		if p.Silent != nil && p.Silent(u.Hall) {
			weight += silentRegionWeight
		}
	case distance.SameHall:
	}
	if w.Moves {
		weight += moveWeight
	}
	return weight
}

func (p *Picker) random() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Random.Float64()
}
