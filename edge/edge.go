// Package edge puts the parts of a box together that serves the callers of the
// users' platform. What must last lies in the platform's store; the box itself
// keeps nothing.
package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/admission"
	"petrelstep/backoff"
	"petrelstep/balance/places"
	"petrelstep/balance/speeds"
	"petrelstep/config"
	"petrelstep/evacuate"
	"petrelstep/fleet"
	"petrelstep/halls"
	"petrelstep/liveness"
	"petrelstep/members"
	"petrelstep/metrics"
	"petrelstep/moveturns"
	"petrelstep/outputlen"
	"petrelstep/peer"
	"petrelstep/picker"
	"petrelstep/platform/blocklist"
	"petrelstep/platform/callers"
	"petrelstep/platform/manifest"
	"petrelstep/platform/store"
	"petrelstep/platform/upstream"
	"petrelstep/prefill"
	"petrelstep/protect/buffers"
	"petrelstep/quarantine"
	"petrelstep/relay"
	"petrelstep/reliability"
	"petrelstep/retry"
	"petrelstep/route"
	"petrelstep/routecache"
	"petrelstep/runs"
	"petrelstep/snapshot"
	"petrelstep/timer"
	"petrelstep/upstreamlimits"
	"petrelstep/upstreamload"
	"petrelstep/warmup"
	"petrelstep/wire"
)

const (
	// ageSlack is how much sooner than the bound on keys a belief is stale: the
	// bound runs from the store's word to a request's sending, and clocks and
	// processors lag a little.
	ageSlack = 400 * time.Millisecond
	// missingPart is the part of the time that a leaving upstream may still get
	// work in which an upstream whose entry lapsed may come back.
	missingPart = 0.75
	// budgetPart is the part of the repeats that come with requests that is shared
	// out: halls' shares of requests differ, and a box that has just started begins
	// with a full share.
	budgetPart = 0.5
	// slackPart is the part of the repeats beyond them that is shared out; together
	// with budgetPart it leaves room for two boxes in five to start anew at once.
	slackPart = 0.8
	// requestKB is the memory of one open stream (BenchmarkStreams, with both its
	// ends in one process), of which requests may take requestsPart hundredths.
	requestKB    = 102
	requestsPart = 50
	// heldPart hundredths of a box's memory may be held for callers that read slowly,
	// with what buffers grow beyond their bytes: a quarter of requestsPart, so that
	// stalled callers leave most of the room for requests to others.
	heldPart = 12
	// heldStream is how many bytes are held for one stream: a long answer with its
	// events' heads, so that one whole answer waits for its caller and not its engine.
	heldStream = 128 << 10
	// requestDescriptors are the caller's connection and the upstream's;
	// otherDescriptors are kept for files, peers, the store and calls of our own.
	requestDescriptors = 2
	otherDescriptors   = 400
	// closeTime is what a stopping box keeps of its time to close connections and
	// write its last lines, some 0.2 s at most: what it still has in flight then is
	// cut off in order, so that callers and engines learn it, and not by force.
	closeTime = 300 * time.Millisecond
	// coldNews is how long an upstream's word that it is warm may take to come: its
	// next entry is up to 1.2 s away, and is read some 0.8 s later.
	coldNews = 2 * time.Second
	// boxesGuess is among how many boxes the slack is shared out before it is known
	// how many there are.
	boxesGuess = 8
	// strongProcessors and strongLink are what a hub needs, in cores and megabits
	// a second: at 78 boxes it answers 310 calls a second, with 3 KB each.
	strongProcessors = 0.3
	// leastLink is what a box's link is taken to bear whose settings say less, in Mbit a
	// second, and bytesMbit are the bytes of one.
	leastLink  = 1
	bytesMbit  = 125000
	strongLink = 100
)

// calls reaches the other boxes.
type calls interface {
	Call(ctx context.Context, address, method string, args, reply any) error
	Repeat(ctx context.Context, address, method string, args, reply any) error
	Forget(address string)
	Close()
}

// Edge is one box.
type Edge struct {
	config  config.Config
	record  wire.BoxRecord
	log     *logrus.Entry
	timer   *timer.Service
	metrics *metrics.Metrics

	store       *store.Store
	boxes       *manifest.Boxes
	belief      *routecache.Cache
	fleet       *fleet.Fleet
	halls       *halls.Halls
	tally       *upstreamload.Tracker
	reliability *reliability.Reliability
	speeds      *speeds.Speeds // nil where that is off
	places      *places.Places // nil unless switched on
	runs        *runs.Runs
	members     *members.Members
	peers       calls
	turns       *moveturns.Scheduler
	trials      *moveturns.Scheduler // of this box's own requests
	quarantine  *quarantine.Quarantine
	kept        *kept
	limits      *upstreamlimits.Tracker
	rest        *backoff.Tracker
	limiter     *limiter
	admission   *admission.Admission
	sharing     *sharing
	budget      *retry.Budget
	upstreams   *upstream.Client
	relay       *relay.Relay
	buffers     *buffers.Buffers // nil: off
	callers     *callers.Handler
	evacuator   *evacuate.Evacuator

	tables        pacer // of whole fleets that are told to others
	configuration *manifest.Configuration
	catching      atomic.Bool // a newer configuration is being asked for
	joined        atomic.Bool // the other boxes are known
	turnedAway    atomic.Bool // by the store, when this box last asked who the others are
	unlisted      atomic.Bool // a hub is to put this box into the table of boxes
	registrar     *registrar
	snapshot      *snapshot.Snapshot
	others        atomic.Bool // they were read, at least before this box joined
	random        *rand.Rand

	serving   atomic.Int64
	draining  atomic.Bool
	stop      atomic.Pointer[stop] // nil unless this box is being stopped
	drain     chan struct{}
	drainOnce sync.Once

	mu    sync.Mutex
	heard map[string]time.Time // when boxes were last heard, by name
	cut   map[string]time.Time // when calls to boxes last got no answer, by name
	known map[string]mark      // how far the fleets of hubs are known, by name

	hubHeard   time.Time     // when a hub last answered
	promised   time.Time     // when one last said that it tells the whole fleet later
	storeHeard time.Time     // when the store last answered this box or a hub
	wasStale   bool          // the belief was too old at the last tick
	role       logrus.Fields // what this box was to the others at the last tick
}

// New puts a box together; nothing runs and no port is open before Run.
func New(c config.Config, log *logrus.Entry, counts *metrics.Metrics) *Edge {
	s := c.Edge
	now := time.Now()
	e := &Edge{
		config: c,
		record: wire.BoxRecord{
			Box: c.Box, Hall: c.Hall, Address: c.Listen.Peers, Incarnation: int(now.UnixMilli()),
			Strong: s.Processors >= strongProcessors && s.LinkMbit >= strongLink,
		},
		log:         log,
		timer:       timer.New(),
		metrics:     counts,
		store:       store.New(c.Platform.Address, counts).WithUnread(counts, log),
		belief:      routecache.New(config.Millis(s.KeyAgeMs) - ageSlack),
		fleet:       fleet.New(time.Duration(missingPart * float64(config.Millis(s.LeaveMs)))),
		tally:       upstreamload.New(),
		reliability: reliability.New(),
		runs:        runs.New(),
		peers:       peer.New(nil),
		turns:       moveturns.New(),
		trials:      moveturns.New(),
		upstreams:   upstream.New().WithUnread(counts, log),
		tables:      pacer{rate: fleetLink * max(s.LinkMbit, leastLink) * bytesMbit},
		drain:       make(chan struct{}),
		random:      rand.New(rand.NewPCG(uint64(now.UnixNano()), 2)),
		heard:       map[string]time.Time{},
		cut:         map[string]time.Time{},
		known:       map[string]mark{},
	}
	e.boxes = manifest.NewBoxes(e.store, counts, log)
	e.kept = &kept{list: blocklist.New(e.store), log: log}
	e.quarantine = quarantine.New(counts, e.kept, log)
	e.limits = upstreamlimits.New(counts, log)
	e.limiter = newLimiter(e)
	e.rest = backoff.New(rand.New(rand.NewPCG(uint64(e.record.Incarnation), 8)), counts, log)
	e.registrar = newRegistrar(e)
	e.snapshot = snapshot.New(e.wholeFleet)
	e.halls = halls.New(e.hallChanged)
	e.configuration = manifest.NewConfiguration(e.store, e.belief, e.halls, log)
	e.members = members.New(members.Box{
		Name: c.Box, Hall: c.Hall, Address: c.Listen.Peers, Incarnation: e.record.Incarnation, State: members.Live,
		Strong: e.record.Strong,
	})
	e.belief.OnSlept(e.slept)
	e.fleet.OnSlept(e.slept)
	e.serve()
	return e
}

// serve makes the parts that requests pass through.
func (e *Edge) serve() {
	s := e.config.Edge
	e.budget = retry.NewBudget(budgetPart*s.RetryRatio, e.slack(boxesGuess))
	e.buffers = e.newBuffers()
	reading := prefill.New()
	if e.config.Balances(wire.EdgeBalanceElemSpeeds) {
		e.speeds = speeds.New(e.fleet, e.metrics, e.log)
	}
	warm := warmup.New(rand.New(rand.NewPCG(uint64(e.record.Incarnation), 5)))
	e.fleet.OnRestart(e.restarted(warm))
	chooser := picker.New(picker.Parts{
		Fleet: e.fleet, Tally: e.tally, Reliability: e.reliability, Reading: reading, Hall: e.config.Hall, Speeds: e.speeds,
		Warmup: warm, Part: e.part, Limits: e.limiter, Rest: e.rest, Regions: s.Regions,
		Random: rand.New(rand.NewPCG(uint64(e.record.Incarnation), 1)),
	})
	if e.config.Balances(wire.EdgeBalanceElemPlaces) {
		e.places = places.New(places.Parts{
			Ranker: chooser, Failing: e.reliability.Failing, Limits: e.limiter, Counter: e.metrics, Hall: e.config.Hall, Log: e.log,
			Random: rand.New(rand.NewPCG(uint64(e.record.Incarnation), 4)),
		})
	}
	e.sharing = newSharing(e.config.Balances(wire.EdgeBalanceElemShares))
	e.admission = admission.New(chooser, e.tally, reading, e.sharing.keeper(), rand.New(rand.NewPCG(uint64(e.record.Incarnation), 3)), e.log)
	e.relay = relay.New(relay.Parts{
		Belief: e.belief, Fleet: e.fleet, Chooser: chooser, Admitter: e, Places: e.places, Tally: e.tally, Reliability: e.reliability, Speeds: e.speeds, Sender: e.upstreams,
		Liveness: liveness.New(e.upstreams, e.fleet), Quarantine: e.quarantine, Trials: e.newTrials(), Limits: e.limits, Limiter: e.limiter, Rest: e.rest, Budget: e.budget,
		Runs: e.runs, Lengths: outputlen.New(), Prefill: reading, Metrics: e.metrics, Stopping: e.stopping, Full: e.full, Buffers: e.buffers, ServeStale: s.ServeStale, Silent: e.silentForAll, Log: e.log,
	})
	e.callers = callers.New(e.relay, e.bodyMost, e.draining.Load)
	e.evacuator = evacuate.New(evacuate.Parts{
		Runs: e.runs, Chooser: chooser, Mover: e.upstreams, Turns: e, Services: e.service, Tally: e.tally,
		Moved: e.metrics.Moved, Log: e.log, Leaving: e.fleet.Leaving, Takes: e.fleet.Takes,
	})
}

// part is the part of what a cold upstream of a service bears that this box may
// send there: all of it where this box gives room to the requests of all.
func (e *Edge) part(service route.Service) float64 {
	if service.Engine != nil && e.QueueOwner(service.Name) == e.config.Box {
		return 1
	}
	boxes := boxesGuess
	if e.joined.Load() {
		boxes = e.Count()
	}
	return 1 / float64(max(boxes, 1))
}

// coldFor is the longest that an upstream of any service is cold after its start.
func (e *Edge) coldFor() time.Duration {
	table, _, _ := e.belief.Now(time.Now())
	if table == nil {
		return 0
	}
	return table.ColdFor()
}

// slack is a box's share of the repeats beyond those that come with requests.
func (e *Edge) slack(boxes int) float64 {
	return max(slackPart*e.config.Edge.RetrySlack/float64(max(boxes, 1)), 1)
}

// full tells whether this box holds as many requests as its memory and its
// descriptors allow: one more would end it, and all that it holds with it.
func (e *Edge) full() bool {
	held := 0
	if e.buffers != nil {
		held = e.buffers.Held()
	}
	return e.serving.Load() > int64(requestsMost(e.config.Edge, held))
}

// requestsMost returns how many requests a box may hold that holds so many bytes for
// slow readers.
func requestsMost(s *wire.Edge, held int) int {
	memoryKB := s.MemoryMb*1024*requestsPart/100 - float64(held)/1024
	return max(min(int(memoryKB/requestKB), (s.Descriptors-otherDescriptors)/requestDescriptors), 1)
}

// newBuffers returns what bounds the bytes held for slow readers; nil where that is
// off.
func (e *Edge) newBuffers() *buffers.Buffers {
	if !e.config.Balances(wire.EdgeBalanceElemBuffers) {
		return nil
	}
	b := buffers.New(buffers.Limits{Stream: heldStream, Box: int(e.config.Edge.MemoryMb * 1024 * 1024 * heldPart / 100)})
	if err := e.metrics.Holds(b.Held); err != nil {
		e.log.WithError(err).Warn("held_not_counted")
	}
	return b
}

// bodyMost bounds a request's body by the configuration in force.
func (e *Edge) bodyMost() int {
	table, _, _ := e.belief.Now(time.Now())
	if table == nil || table.Limits().BodyBytes == 0 {
		return e.config.Limits.BodyBytes
	}
	return table.Limits().BodyBytes
}

func (e *Edge) service(name string) (route.Service, bool) {
	table, _, _ := e.belief.Now(time.Now())
	if table == nil {
		return route.Service{}, false
	}
	return table.Service(name)
}

// names tells whether the configuration in force names a service.
func (e *Edge) names(service string) bool {
	_, ok := e.service(service)
	return ok
}

// stop is a planned stop, on the steady clock.
type stop struct {
	began time.Time
	until time.Time // what is in flight then is cut off
}

// newStop returns the stop of a box that is ended by force after a time.
func newStop(now time.Time, drain time.Duration) *stop {
	return &stop{began: now, until: now.Add(max(drain-closeTime, 0))}
}

// stopping tells how far this box's planned stop is; false if it is not stopped.
func (e *Edge) stopping() (relay.Stop, bool) {
	s := e.stop.Load()
	if s == nil {
		return relay.Stop{}, false
	}
	now := time.Now()
	most := 2*e.members.Leaving() >= e.members.Count(now)
	return relay.Stop{Since: now.Sub(s.began), Left: s.until.Sub(now), Most: most}, true
}

// ready tells whether callers are to be sent here.
func (e *Edge) ready() bool {
	table, _, stale := e.belief.Now(time.Now())
	_, known := e.fleet.Age(time.Now())
	serves := table != nil && (!stale || e.config.Edge.ServeStale)
	return serves && known && !e.draining.Load()
}

// Name returns the box's name.
func (e *Edge) Name() string { return e.config.Box }

// Drain begins the planned stop.
func (e *Edge) Drain() { e.drainOnce.Do(func() { close(e.drain) }) }

// Reload notes that the settings have changed; those of a box hold for its life.
func (e *Edge) Reload() { e.log.Info("reload") }

// departed takes the news that an upstream leaves, or is back.
func (e *Edge) departed(ctx context.Context) fleet.Listener {
	return func(u fleet.Upstream, source string) {
		if u.State != fleet.Leaving {
			e.log.WithFields(logrus.Fields{"upstream": u.ID, "service": u.Service, "born": u.Born, "source": source}).Info("upstream_back")
			return
		}
		at := len(e.runs.At(u.ID))
		e.log.WithFields(logrus.Fields{"upstream": u.ID, "service": u.Service, "born": u.Born, "source": source, "runs": at}).Info("upstream_leaves")
		if e.config.Edge.Moves != wire.EdgeMovesNone {
			e.evacuator.Leaves(ctx, u)
		}
	}
}

// restarted takes the news that an upstream has started again: what was known of its
// last incarnation goes before the new one gets work.
func (e *Edge) restarted(warm *warmup.Warmup) fleet.Listener {
	return func(u fleet.Upstream, source string) {
		e.tally.Forget(u.ID)
		e.reliability.Forget(u.ID)
		e.limits.Forget(u.ID)
		e.rest.Forget(u.ID)
		warm.Forget(u.ID)
		e.turns.Forget(u.ID)
		cut, copies := e.runs.Restarted(u)
		e.metrics.Restarted()
		e.log.WithFields(logrus.Fields{
			"upstream": u.ID, "service": u.Service, "born": u.Born, "state": u.State, "source": source, "cut": cut, "copies": copies,
		}).Warn("upstream_restarted")
	}
}

// hallChanged takes the news that a hall is evacuated, or that this is taken back.
func (e *Edge) hallChanged(w halls.Word, source string) {
	if w.Evacuated {
		e.fleet.CloseHall(w.Since, w.Hall)
	} else {
		e.fleet.OpenHall(w.Hall, w.Since.Add(e.coldFor()+coldNews))
	}
	e.metrics.HallChanged(w.Evacuated)
	log := e.log.WithFields(logrus.Fields{"hall": w.Hall, "version": w.Version, "source": source})
	if !w.Evacuated {
		log.Info("hall_taken_back")
		return
	}
	if !e.fleet.Knows(w.Hall) {
		log = log.WithField("upstreams", 0) // maybe a name that was mistyped
	}
	log.Warn("hall_evacuated")
}
