// Package picker picks the upstream that a request goes to, or a run moves to.
package picker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"petrelstep/backoff"
	"petrelstep/balance/speeds"
	"petrelstep/fleet"
	"petrelstep/reliability"
	"petrelstep/route"
	"petrelstep/upstreamload"
	"petrelstep/warmup"
)

// Weights of a score, in shares of an upstream's capacity.
const (
	// far is what another hall costs: its link may lose packets or be cut for as
	// long as a stream lasts, and its bytes are paid for. An engine next door goes
	// before one elsewhere unless it holds a third more of its memory: halls'
	// shares of requests differ by less.
	far = 0.35
	// farMove is what it costs a run that moves on top: its copy takes twice as
	// long, and those behind it wait.
	farMove = 0.2
	// slots weighs an engine's requests against its memory.
	slots = 0.3
	// waiting weighs a second of waiting for other prompts to be read.
	waiting = 0.3
	// slowFrom is from how many times the usual pace an engine counts as slow: a
	// full one that reads prompts takes up to twice as long as an idle one.
	slowFrom = 2.0
	// slowing weighs each time of the usual pace that a slow one takes: streams
	// there pause for longer than they may as soon as a prompt is read beside them.
	slowing = 1.0
	// late weighs a request that is made late: more than any load does, as what fits
	// is served in time whatever else runs there.
	late = 4.0
	// failing weighs the share of sends that failed of late.
	failing = 3.0
	// missing is for one whose entry has lapsed and may come back.
	missing = 1.0
	// leavingFor is how long what runs at an upstream that leaves is taken to be on
	// its way elsewhere: the notice is 1.5 to 2.1 s, and boxes' word of what they run
	// is half a second old.
	leavingFor = 4 * time.Second
	// noise breaks ties otherwise on each box.
	noise = 0.02
	// spreadAbove is the list length from which a box ranks a random sample of spreadSize:
	// many boxes with the same view would all pick the same upstream.
	spreadAbove = 16
	spreadSize  = 5
	// targetSample is the sample's size for a run that moves, and targetFar how many of it
	// are of other halls, should its own be full.
	targetSample = 8
	targetFar    = 2
)

// Picker is safe for use by several goroutines.
type Picker struct {
	Parts

	mu sync.Mutex // guards Random
}

// Parts are what a chooser works with.
type Parts struct {
	Fleet       *fleet.Fleet
	Tally       *upstreamload.Tracker
	Reliability *reliability.Reliability
	Reading     reading
	Speeds      *speeds.Speeds // nil: engines' paces are compared where they stream
	Hall        string         // of the box
	Random      *rand.Rand
	Regions     map[string]string             // of halls
	Warmup      *warmup.Warmup                // nil: cold upstreams are not spared
	Part        func(s route.Service) float64 // of what a cold upstream bears that this box may send
	Limits      Limits                        // nil: nobody names a limit
	Rest        *backoff.Tracker              // that upstreams have asked this box for; nil: none
}

// New returns a chooser of a box in a hall.
func New(parts Parts) *Picker { return &Picker{Parts: parts} }

// Limits knows which upstreams name how much they take.
type Limits interface {
	// Limit returns how many requests a second an upstream takes; false if it takes all.
	Limit(upstream string) (perSecond float64, limited bool)
	// May tells whether one more request may go to an engine of a service.
	May(now time.Time, s route.Service, upstream string) bool
	// Sent notes that one goes there.
	Sent(now time.Time, s route.Service, upstream string)
}

// reading tells how long engines take to read prompts.
type reading interface {
	Time(tokens int) time.Duration
}

// Want is what an upstream is chosen for.
type Want struct {
	Service route.Service
	Tokens  int
	Hall    string // to be near; the box's own where empty
	Moves   bool   // it is for a run that moves there
	Need    speeds.Need
	Avoid   []string
	Regions []string // the only ones that may be chosen; none for any
	All     bool     // all are ranked: what others send there meanwhile is known
	Sample  bool     // of a long list a random sample, most of it of Hall, is ranked
	Own     bool     // this box sends it: upstreams that have asked it for rest are left out
}

// Choice is an upstream, what runs there, and that as a share of its capacity.
type Choice struct {
	Upstream fleet.Upstream
	Running  upstreamload.Load
	Load     float64
	speeds.Judged
	Held bool // it is cold or limited, and may get no more for now
}

// Choose returns the upstream with the most room, and its load as a share of
// its capacity. It reports false if there is none.
func (c *Picker) Choose(now time.Time, w Want) (best fleet.Upstream, load float64, found bool) {
	for _, r := range c.Ranked(now, w) {
		if !r.Held {
			return r.Upstream, r.Load, true
		}
	}
	return fleet.Upstream{}, 0, false
}

// Gave notes that the keeper of a queue sends a request to an upstream.
func (c *Picker) Gave(now time.Time, u fleet.Upstream, n speeds.Need, running upstreamload.Load) {
	c.Speeds.Gave(now, u, n, running)
}

// Sent notes that a request goes to an upstream.
func (c *Picker) Sent(now time.Time, s route.Service, u fleet.Upstream) {
	if c.Warmup != nil && now.Before(u.ColdUntil) {
		c.Warmup.Sent(now, u.ID, c.limit(s))
	}
	if c.Limits != nil && s.Engine != nil {
		c.Limits.Sent(now, s, u.ID)
	}
}

// usedUp tells whether an engine that names a limit may get no more for now. A run that
// moves goes to one that names none.
func (c *Picker) usedUp(now time.Time, w Want, u fleet.Upstream) bool {
	if c.Limits == nil || w.Service.Engine == nil {
		return false
	}
	if w.Moves {
		_, limited := c.Limits.Limit(u.ID)
		return limited
	}
	return !c.Limits.May(now, w.Service, u.ID)
}

// held tells whether an upstream is cold and may get no more for now. A run that
// moves there is not held: turns give an upstream one copy at a time, and the run
// would be lost.
func (c *Picker) held(now time.Time, w Want, u fleet.Upstream) bool {
	return c.Warmup != nil && now.Before(u.ColdUntil) && !w.Moves && !c.Warmup.May(now, u.ID, c.limit(w.Service))
}

func (c *Picker) limit(s route.Service) warmup.Limit {
	return warmup.Limit{PerSecond: s.ColdPerSecond, Part: c.Part(s)}
}

// Ranked returns the upstreams that were weighed, the one with the most room
// first.
func (c *Picker) Ranked(now time.Time, w Want) []Choice {
	if w.Hall == "" {
		w.Hall = c.Hall
	}
	list := c.candidates(now, w)
	loads := make([]upstreamload.Load, len(list))
	for i, u := range list {
		loads[i] = c.Tally.Load(now, u.ID)
	}
	judged, scores := c.judge(now, w, list, loads)
	order := make([]scored, len(list))
	for i, u := range list {
		load := c.load(w, u, loads[i])
		order[i] = scored{at: i, load: load, score: load + scores[i] + c.penalty(now, w, u)}
	}
	slices.SortFunc(order, func(a, b scored) int { return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.at, b.at)) })
	ranked := make([]Choice, len(list))
	for i, s := range order {
		u := list[s.at]
		ranked[i] = Choice{Upstream: u, Running: loads[s.at], Load: s.load, Judged: judged[s.at], Held: c.held(now, w, u) || c.usedUp(now, w, u)}
	}
	return ranked
}

// Leaving returns what runs at the upstreams of a service that leave.
func (c *Picker) Leaving(now time.Time, service string) upstreamload.Load {
	var sum upstreamload.Load
	for _, u := range c.Fleet.RecentlyLeaving(now, service, leavingFor) {
		sum = sum.Plus(c.Tally.Load(now, u.ID))
	}
	return sum
}

// scored is an upstream's place in a list and its score; sorting these in place
// of whole choices takes a fifth of the time.
type scored struct {
	at          int
	load, score float64
}

// candidates returns the upstreams to weigh.
func (c *Picker) candidates(now time.Time, w Want) []fleet.Upstream {
	list := c.Fleet.Serving(w.Service.Name)
	if w.Own {
		list = c.Rest.Without(now, list)
	}
	if w.Sample && len(list) > sampleAbove {
		list = c.sampleByHall(list, w.Hall)
	}
	if len(w.Avoid) > 0 {
		list = slices.DeleteFunc(slices.Clone(list), func(u fleet.Upstream) bool { return slices.Contains(w.Avoid, u.ID) })
	}
	if len(w.Regions) > 0 {
		list = slices.DeleteFunc(slices.Clone(list), func(u fleet.Upstream) bool { return !slices.Contains(w.Regions, c.Regions[u.Hall]) })
	}
	if w.All || w.Sample || len(list) < spreadAbove {
		return list
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.Moves {
		list = slices.Clone(list)
		c.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		return mostlyNear(list, w.Hall)
	}
	return c.sample(list)
}

// sample returns a small random sample of a list.
func (c *Picker) sample(list []fleet.Upstream) []fleet.Upstream {
	picked := make([]fleet.Upstream, 0, spreadSize)
	taken := make([]int, 0, spreadSize)
	for len(picked) < spreadSize {
		at := c.Random.IntN(len(list))
		if !slices.Contains(taken, at) {
			taken = append(taken, at)
			picked = append(picked, list[at])
		}
	}
	return picked
}

// mostlyNear returns the sample of a shuffled list for a run that moves.
func mostlyNear(list []fleet.Upstream, hall string) []fleet.Upstream {
	near := slices.DeleteFunc(slices.Clone(list), func(u fleet.Upstream) bool { return u.Hall != hall })
	far := slices.DeleteFunc(list, func(u fleet.Upstream) bool { return u.Hall == hall })
	near = near[:min(len(near), max(targetSample-targetFar, targetSample-len(far)))]
	return append(near, far[:targetSample-len(near)]...)
}

// load is the share of an upstream's capacity that is in use.
func (c *Picker) load(w Want, u fleet.Upstream, l upstreamload.Load) float64 {
	places := float64(l.Requests) / float64(max(u.Slots, 1))
	e := w.Service.Engine
	if e == nil || e.Memory == 0 {
		return places
	}
	return float64(l.Tokens+l.Coming+w.Tokens)/float64(e.Memory) + slots*places + waiting*c.Reading.Time(l.Prefill).Seconds()
}

// judge weighs how fast upstreams are for a request, and returns what that is in
// scores: by what is known of them, or, where nothing is or that is off, by the paces of
// what streams there.
func (c *Picker) judge(now time.Time, w Want, list []fleet.Upstream, loads []upstreamload.Load) (judged []speeds.Judged, scores []float64) {
	scores = make([]float64, len(list))
	judged = c.Speeds.Judge(now, w.Service.Name, list, loads, w.Need)
	if judged == nil {
		judged = make([]speeds.Judged, len(list))
		usual := usualPace(loads)
		for i, l := range loads {
			judged[i].Reading = 1
			scores[i] = slowness(l.Pace(), usual)
		}
		return judged, scores
	}
	for i, l := range loads {
		judged[i] = judged[i].WithLine(w.Need, c.Reading.Time(l.Prefill))
		scores[i] = late * (judged[i].Cost + judged[i].Line)
	}
	return judged, scores
}

// usualPace returns the middle time between events at upstreams; 0 if none is known.
func usualPace(loads []upstreamload.Load) time.Duration {
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

// slowness is what an upstream costs that makes events more slowly than its load
// explains.
func slowness(pace, usual time.Duration) float64 {
	if usual == 0 || float64(pace) < slowFrom*float64(usual) {
		return 0
	}
	return slowing * (float64(pace)/float64(usual) - 1)
}

func (c *Picker) penalty(now time.Time, w Want, u fleet.Upstream) float64 {
	p := failing*c.Reliability.FailureRate(now, u.ID) + noise*c.draw()
	if u.Hall != w.Hall {
		p += far
		if w.Moves {
			p += farMove
		}
	}
	if u.State == fleet.Missing {
		p += missing
	}
	return p
}

func (c *Picker) draw() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Random.Float64()
}
