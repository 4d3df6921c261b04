// Package edge assembles a box that serves the callers of the users' platform. Durable
// state lives in the platform's store; the box keeps none on disk.
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
	"petrelstep/configfetch"
	"petrelstep/dialer"
	"petrelstep/distance"
	"petrelstep/evacuate"
	"petrelstep/fleet"
	"petrelstep/halls"
	"petrelstep/links"
	"petrelstep/liveness"
	"petrelstep/members"
	"petrelstep/metrics"
	"petrelstep/moveturns"
	"petrelstep/origins"
	"petrelstep/outputlen"
	"petrelstep/peer"
	"petrelstep/peer/tunnel"
	"petrelstep/picker"
	"petrelstep/platform/blocklist"
	"petrelstep/platform/callers"
	"petrelstep/platform/manifest"
	"petrelstep/platform/store"
	"petrelstep/platform/upstream"
	"petrelstep/prefill"
	"petrelstep/protect/buffers"
	"petrelstep/protect/intake"
	"petrelstep/quarantine"
	"petrelstep/relay"
	"petrelstep/reliability"
	"petrelstep/retry"
	"petrelstep/route"
	"petrelstep/routecache"
	"petrelstep/runs"
	"petrelstep/snapshot"
	"petrelstep/storecontact"
	"petrelstep/timer"
	"petrelstep/upstreamlimits"
	"petrelstep/upstreamload"
	"petrelstep/warmup"
	"petrelstep/wire"
)

const (
	// keyAgeMargin is subtracted from the configured maximum age of the configuration:
	// that maximum runs from the store's answer until a request is sent, and clocks and
	// scheduling lag a little.
	keyAgeMargin = 400 * time.Millisecond
	// missingFraction is the fraction of the leave time during which an upstream whose
	// entry lapsed may still return.
	missingFraction = 0.75
	// retryRatioFraction is the fraction of the retry ratio that a box uses. Halls
	// receive unequal shares of the requests, and a box that has just started begins
	// with a full budget.
	retryRatioFraction = 0.5
	// retrySlackFraction is the fraction of the retry slack that is divided among the
	// boxes. With retryRatioFraction it lets two boxes in five restart at once within
	// the limit.
	retrySlackFraction = 0.8
	// bufferMemoryPercent is the percentage of a box's memory that may be buffered for
	// callers that read slowly, allocation overhead included: small, so that stalled
	// callers leave most of the account of the intake to other requests.
	bufferMemoryPercent = 12
	// maxStreamBuffer is the number of bytes buffered per stream: enough for a long
	// answer including event headers, so that a slow caller doesn't occupy an engine.
	maxStreamBuffer = 128 << 10
	// closeTime is the part of the stop time reserved for closing connections
	// and writing the last log lines (at most 0.2 s). Requests still in flight then are
	// aborted properly, so that callers and engines notice.
	closeTime = 300 * time.Millisecond
	// warmReportDelay bounds how late an upstream's report that it is warm arrives: its
	// next entry is up to 1.2 s away and is read 0.8 s later.
	warmReportDelay = 2 * time.Second
	// assumedBoxes is the fleet size assumed until the boxes are known.
	assumedBoxes = 8
	// minHubProcessors (cores) and minHubLinkMbit are the minimum for a hub: at 78
	// boxes it answers 310 calls a second of 3 KB each.
	minHubProcessors = 0.3
	// minLinkMbit is assumed for a box whose settings give a slower link.
	minLinkMbit    = 1
	bytesPerMbit   = 125000
	minHubLinkMbit = 100
)

// calls is the RPC client for the other boxes.
type calls interface {
	Call(ctx context.Context, address, method string, args, reply any) error
	CallIdempotent(ctx context.Context, address, method string, args, reply any) error
	Forget(address string)
	Close()
	// Timeout returns within which time a box is expected to answer; false if unknown.
	Timeout(address string) (timeout time.Duration, known bool)
	// RoundTrip returns the mean time of recent calls to a box; false if unknown.
	RoundTrip(address string) (roundTrip time.Duration, known bool)
}

// Edge is one box.
type Edge struct {
	config  config.Config
	record  wire.BoxRecord
	log     *logrus.Entry
	timer   *timer.Service
	metrics *metrics.Metrics
	regions distance.Map

	store           *store.Store
	boxes           *manifest.Boxes
	routes          *routecache.Cache
	fleet           *fleet.Fleet
	halls           *halls.Halls
	contact         *storecontact.Tracker
	storeClock      func(at time.Time) (ms int64, known bool)
	loads           *upstreamload.Tracker
	reliability     *reliability.Reliability
	speeds          *speeds.Speeds // nil if disabled
	places          *places.Places // nil if disabled
	runs            *runs.Runs
	members         *members.Members
	peers           calls
	turns           *moveturns.Scheduler
	localTrials     *moveturns.Scheduler // serializes trials of this box's own requests
	quarantine      *quarantine.Quarantine
	quarantineStore *quarantineStore
	origins         *origins.Origins
	strangers       *strangers
	limits          *upstreamlimits.Tracker
	rejectionLimits *upstreamlimits.Tracker
	slots           *slotOwner
	backoff         *backoff.Tracker
	limiter         *limiter
	admission       *admission.Admission
	sharing         *sharing
	retryBudget     *retry.Budget
	links           *links.Links
	dialer          *dialer.Dialer
	tunnelCalls     calls // on connections of their own
	tunnelClient    *tunnel.Client
	tunnelChoice    *tunnel.Choice
	tunnels         *tunnel.Server
	upstreams       *upstream.Client
	relay           *relay.Relay
	buffers         *buffers.Buffers // nil if disabled
	intake          *intake.Intake
	callers         *callers.Handler
	evacuator       *evacuate.Evacuator
	rollouts        *rolloutControl // nil if disabled

	fleetPacer    pacer // limits the rate of full fleet transfers
	configuration *manifest.Configuration
	fetcher       *configfetch.Fetcher
	joined        atomic.Bool // the other boxes are known
	storeRefused  atomic.Bool // the store refused or failed this box's last call for the table of boxes
	unlisted      atomic.Bool // this box has no row in the table of boxes; a hub is to write it
	registrar     *registrar
	snapshot      *snapshot.Snapshot
	peersListed   atomic.Bool // the other boxes have been listed, possibly before this box joined
	random        *rand.Rand

	serving   atomic.Int64
	draining  atomic.Bool
	stop      atomic.Pointer[stop] // nil unless the box is stopping
	drain     chan struct{}
	drainOnce sync.Once

	mu         sync.Mutex
	lastSeen   map[string]time.Time // when each box was last heard from, by name
	unanswered map[string]time.Time // when a call to each box last went unanswered, by name
	hubStates  map[string]hubState  // synchronization with each hub, by name
	regionSeen map[string]time.Time // when a box of each region was last heard from

	hubLastSeen     time.Time     // when a hub last answered
	fleetDeferredAt time.Time     // when a hub last deferred the full fleet
	storeLastSeen   time.Time     // when the store last answered this box or a hub
	wasStale        bool          // the configuration was stale at the last tick
	role            logrus.Fields // the box's role at the last tick
}

// New assembles a box. Nothing runs and no port is open until Run is called.
func New(c config.Config, log *logrus.Entry, counts *metrics.Metrics) *Edge {
	s := c.Edge
	now := time.Now()
	e := &Edge{
		config: c,
		record: wire.BoxRecord{
			Box: c.Box, Hall: c.Hall, Address: c.PeersAddress(), Incarnation: int(now.UnixMilli()),
			Strong: s.Processors >= minHubProcessors && s.LinkMbit >= minHubLinkMbit,
		},
		log:         log,
		timer:       timer.New(),
		metrics:     counts,
		regions:     distance.New(s.Regions),
		store:       store.New(c.Platform.Address, counts).WithUnknownFields(counts, log),
		routes:      routecache.New(config.Millis(s.KeyAgeMs) - keyAgeMargin),
		fleet:       fleet.New(time.Duration(missingFraction * float64(config.Millis(s.LeaveMs)))),
		contact:     storecontact.New(),
		loads:       upstreamload.New(),
		reliability: reliability.New(),
		runs:        runs.New(),
		turns:       moveturns.New(),
		strangers:   newStrangers(),
		origins:     origins.New(),
		localTrials: moveturns.New(),
		links:       links.New(counts, log),
		fleetPacer:  pacer{rate: fleetLinkFraction * max(s.LinkMbit, minLinkMbit) * bytesPerMbit},
		drain:       make(chan struct{}),
		random:      rand.New(rand.NewPCG(uint64(now.UnixNano()), 2)),
		lastSeen:    map[string]time.Time{},
		unanswered:  map[string]time.Time{},
		hubStates:   map[string]hubState{},
		regionSeen:  map[string]time.Time{},
	}
	e.peers = peer.New(nil).WithObserver(peerConnections{e})
	e.tunnelCalls = peer.New(nil).WithObserver(peerConnections{e})
	e.setDial(dialer.Direct)
	e.upstreams = upstream.NewWithDial(e.dial).WithUnknownFields(counts, log)
	e.tunnelClient = tunnel.NewClient(e.tunnelCalls, c.Box, s.Fleet)
	e.tunnelChoice = tunnel.NewChoice(c.Hall, e.regions, rand.New(rand.NewPCG(uint64(e.record.Incarnation), 9)))
	e.tunnels = newTunnelServer(e)
	e.storeClock = e.store.ClockAt
	e.store.OnRestore(e.onStoreRestored)
	e.boxes = manifest.NewBoxes(e.store, counts, log)
	e.quarantineStore = &quarantineStore{table: blocklist.New(e.store), log: log}
	e.quarantine = quarantine.New(counts, e.quarantineStore, log)
	e.limits = upstreamlimits.New(counts, log)
	e.rejectionLimits = upstreamlimits.NewRejections(counts.RejectionLimits(), log)
	e.limiter = newLimiter(e)
	e.slots = newSlotOwner(e)
	e.backoff = backoff.New(rand.New(rand.NewPCG(uint64(e.record.Incarnation), 8)), counts, log)
	e.registrar = newRegistrar(e)
	e.snapshot = snapshot.New(e.fleetSnapshot)
	e.halls = halls.New(e.onHallChange)
	e.configuration = manifest.NewConfiguration(e.store, e.routes, e.halls, log)
	e.fetcher = configfetch.New(e.peers, configurationInForce{e}, s.LinkMbit, counts.ConfigurationFetched, log)
	e.members = newMembers(e.record, e.regions)
	e.rollouts = newRolloutControl(e, e.store)
	e.routes.SetSuspendedSince(e.suspendedSince)
	e.fleet.SetSuspendedSince(e.suspendedSince)
	e.initServing()
	return e
}

// newMembers returns a membership that contains only this box.
func newMembers(r wire.BoxRecord, regions distance.Map) *members.Members {
	m := members.New(members.Box{
		Name: r.Box, Hall: r.Hall, Address: r.Address, Incarnation: r.Incarnation, State: members.Live, HubEligible: r.Strong,
	})
	m.SetRegions(regions)
	return m
}

// initServing creates the components that handle requests.
func (e *Edge) initServing() {
	s := e.config.Edge
	e.retryBudget = retry.NewBudget(retryRatioFraction*s.RetryRatio, e.retrySlack(assumedBoxes))
	e.buffers = e.newBuffers()
	e.intake = e.newIntake()
	prefillRate := prefill.New()
	if e.config.Balances(wire.EdgeBalanceElemSpeeds) {
		e.speeds = speeds.New(e.fleet, e.metrics, e.log)
	}
	warm := warmup.New(rand.New(rand.NewPCG(uint64(e.record.Incarnation), 5)))
	e.fleet.OnRestart(e.onRestart(warm))
	chooser := picker.New(picker.Components{
		Fleet: e.fleet, Loads: e.loads, Reliability: e.reliability, Prefill: prefillRate, Hall: e.config.Hall, Speeds: e.speeds,
		Warmup: warm, Allocation: e.coldShare, TrialShare: e.boxShare, Limits: e.limiter, Backoff: e.backoff, Regions: e.regions, Silent: e.isSilent, RejectsFew: e.rejectsFew,
		Random: rand.New(rand.NewPCG(uint64(e.record.Incarnation), 1)),
	})
	if e.config.Balances(wire.EdgeBalanceElemPlaces) {
		e.places = places.New(places.Components{
			Ranker: chooser, Failing: e.reliability.FailureRate, Limits: e.limiter, Counter: e.metrics, Hall: e.config.Hall, Regions: e.regions, Log: e.log,
			Random: rand.New(rand.NewPCG(uint64(e.record.Incarnation), 4)),
		})
	}
	e.sharing = newSharing(e.config.Balances(wire.EdgeBalanceElemShares))
	e.admission = admission.New(chooser, e.loads, prefillRate, e.sharing.queueShares(), rand.New(rand.NewPCG(uint64(e.record.Incarnation), 3)), e.log)
	e.relay = relay.New(relay.Components{
		Routes: e.routes, Fleet: e.fleet, Picker: chooser, Admitter: e, Places: e.places, Loads: e.loads, Reliability: e.reliability, Speeds: e.speeds, Sender: e.upstreams,
		Liveness: liveness.New(e.upstreams, e.fleet), Quarantine: e.quarantine, Trials: e.newTrials(), Origins: e.newStreamOrigins(), Rollouts: e.relayRollouts(), Limits: e.limits, Limiter: e.limiter, RejectionLimits: e.rejectionLimits, Slots: e.slots, Backoff: e.backoff, Budget: e.retryBudget,
		Runs: e.runs, Mover: e.upstreams, OutputLengths: outputlen.New(), Prefill: prefillRate, Metrics: e.metrics, Stopping: e.stopping, Full: e.full, Buffers: e.buffers, ServeStale: s.ServeStale, Reaches: e.reaches, StoreSilence: e.fleetStoreSilence, Log: e.log,
	})
	e.callers = callers.New(e.relay, e.maxBodySize, e.draining.Load)
	e.evacuator = evacuate.New(evacuate.Components{
		Runs: e.runs, Picker: chooser, Mover: e.upstreams, Turns: e, Services: e.service, Loads: e.loads,
		RecordMove: e.metrics.Moved, Log: e.log, IsVacated: e.fleet.IsVacated, AcceptsWork: e.fleet.Serves,
	})
}

// coldShare returns the share of a cold upstream's capacity that this box may use: all
// of it where this box owns the service's queue.
func (e *Edge) coldShare(service route.Service) float64 {
	if service.Engine != nil && e.QueueOwner(service.Name) == e.config.Box {
		return 1
	}
	return e.boxShare()
}

// boxShare returns an equal share of each box.
func (e *Edge) boxShare() float64 {
	boxes := assumedBoxes
	if e.joined.Load() {
		boxes = e.Count()
	}
	return 1 / float64(max(boxes, 1))
}

// maxColdTime returns the longest time that an upstream of any service stays cold after
// its start.
func (e *Edge) maxColdTime() time.Duration {
	table, _, _ := e.routes.Current(time.Now())
	if table == nil {
		return 0
	}
	return table.ColdFor()
}

// retrySlack returns this box's share of the retry slack.
func (e *Edge) retrySlack(boxes int) float64 {
	return max(retrySlackFraction*e.config.Edge.RetrySlack/float64(max(boxes, 1)), 1)
}

// newBuffers returns the accounting of bytes buffered for slow readers, or nil if
// disabled.
func (e *Edge) newBuffers() *buffers.Buffers {
	if !e.config.Balances(wire.EdgeBalanceElemBuffers) {
		return nil
	}
	b := buffers.New(buffers.Limits{Stream: maxStreamBuffer, Box: int(e.config.Edge.MemoryMb * 1024 * 1024 * bufferMemoryPercent / 100)})
	if err := e.metrics.ObserveHeldBytes(b.Held); err != nil {
		e.log.WithError(err).Warn("held_not_counted")
	}
	return b
}

// maxBodySize returns the maximum size of a request body under the current
// configuration.
func (e *Edge) maxBodySize() int {
	table, _, _ := e.routes.Current(time.Now())
	if table == nil || table.Limits().BodyBytes == 0 {
		return e.config.Limits.BodyBytes
	}
	return table.Limits().BodyBytes
}

func (e *Edge) service(name string) (route.Service, bool) {
	table, _, _ := e.routes.Current(time.Now())
	if table == nil {
		return route.Service{}, false
	}
	return table.Service(name)
}

// hasService reports whether the current configuration defines the service.
func (e *Edge) hasService(service string) bool {
	_, ok := e.service(service)
	return ok
}

// stop is a planned stop, in monotonic time.
type stop struct {
	began time.Time
	until time.Time // requests in flight are aborted at this time
}

// newStop returns the stop of a box that is killed after the drain time.
func newStop(now time.Time, drain time.Duration) *stop {
	return &stop{began: now, until: now.Add(max(drain-closeTime, 0))}
}

// stopping returns the progress of the planned stop, or false if the box isn't
// stopping.
func (e *Edge) stopping() (relay.Stop, bool) {
	s := e.stop.Load()
	if s == nil {
		return relay.Stop{}, false
	}
	now := time.Now()
	majority := 2*e.members.CountLeaving() >= e.members.Count(now)
	return relay.Stop{Since: now.Sub(s.began), Remaining: s.until.Sub(now), MostBoxes: majority}, true
}

// ready reports whether the load balancer should send callers to this box.
func (e *Edge) ready() bool {
	table, _, stale := e.routes.Current(time.Now())
	_, known := e.fleet.Age(time.Now())
	serves := table != nil && (!stale || e.config.Edge.ServeStale)
	return serves && known && !e.draining.Load()
}

// Name returns the box's name.
func (e *Edge) Name() string { return e.config.Box }

// Drain starts the planned stop.
func (e *Edge) Drain() { e.drainOnce.Do(func() { close(e.drain) }) }

// Reload logs that the settings have changed; a box reads its own only at start.
func (e *Edge) Reload() { e.log.Info("reload") }

// departed handles an upstream that is leaving or has returned.
func (e *Edge) departed(ctx context.Context) fleet.Listener {
	return func(u fleet.Upstream, source string) {
		if u.State != fleet.Leaving {
			e.log.WithFields(logrus.Fields{"upstream": u.ID, "service": u.Service, "born": u.StartedAt, "source": source, "version": u.Version}).Info("upstream_back")
			return
		}
		runs := len(e.runs.At(u.ID))
		age, _ := e.fleet.Age(time.Now())
		e.log.WithFields(logrus.Fields{
			"upstream": u.ID, "service": u.Service, "born": u.StartedAt, "source": source, "runs": runs, "age_ms": min(age, neverAge).Milliseconds(), "version": u.Version,
		}).Info("upstream_leaves")
		if e.config.Edge.Moves != wire.EdgeMovesNone {
			e.evacuator.Evacuate(ctx, u)
		}
	}
}

// onRestart drops the state of an upstream's previous incarnation before the new one
// receives requests.
func (e *Edge) onRestart(warm *warmup.Warmup) fleet.Listener {
	return func(u fleet.Upstream, source string) {
		e.loads.Forget(u.ID)
		e.reliability.Forget(u.ID)
		e.limits.Forget(u.ID)
		e.rejectionLimits.Forget(u.ID)
		e.backoff.Forget(u.ID)
		warm.Forget(u.ID)
		e.turns.Forget(u.ID)
		cut, copies := e.runs.UpstreamRestarted(u)
		e.metrics.Restarted()
		e.log.WithFields(logrus.Fields{
			"upstream": u.ID, "service": u.Service, "born": u.StartedAt, "state": u.State, "source": source, "cut": cut, "copies": copies,
		}).Warn("upstream_restarted")
	}
}

// onHallChange handles the evacuation of a hall or its end.
func (e *Edge) onHallChange(w halls.Status, source string) {
	if w.Evacuated {
		e.fleet.CloseHall(w.Since, w.Hall)
	} else {
		e.fleet.OpenHall(w.Hall, w.Since.Add(e.maxColdTime()+warmReportDelay))
	}
	e.metrics.HallChanged(w.Evacuated)
	log := e.log.WithFields(logrus.Fields{"hall": w.Hall, "version": w.Version, "source": source})
	if !w.Evacuated {
		log.Info("hall_taken_back")
		return
	}
	if !e.fleet.HasHall(w.Hall) {
		log = log.WithField("upstreams", 0) // possibly a misspelled name
	}
	log.Warn("hall_evacuated")
}
