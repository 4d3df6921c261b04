// Package daemon assembles the components of a box and runs them from start to planned
// stop.
package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/admin"
	"petrelstep/broadcast"
	"petrelstep/catchup"
	"petrelstep/cells"
	"petrelstep/config"
	"petrelstep/configwriter"
	"petrelstep/daemon/startup"
	"petrelstep/daemon/unserved"
	"petrelstep/digest"
	"petrelstep/dispatch"
	"petrelstep/engineload"
	"petrelstep/front"
	"petrelstep/grantclient"
	"petrelstep/grantserver"
	"petrelstep/health"
	"petrelstep/heartbeat"
	"petrelstep/home"
	"petrelstep/inflight"
	"petrelstep/ledger"
	"petrelstep/members"
	"petrelstep/metrics"
	"petrelstep/outputlen"
	"petrelstep/peer"
	"petrelstep/placement"
	platformmembers "petrelstep/platform/members"
	"petrelstep/platform/store"
	"petrelstep/platform/table"
	"petrelstep/poll"
	"petrelstep/protect/intake"
	"petrelstep/quota"
	"petrelstep/resource"
	"petrelstep/retry"
	"petrelstep/ticket"
	"petrelstep/timer"
	"petrelstep/tlscerts"
	"petrelstep/upstream/engine"
	"petrelstep/upstream/service"
	"petrelstep/verify"
	"petrelstep/wire"
)

// serviceTimeout bounds a call to a plain service.
const serviceTimeout = time.Minute

// Daemon is a running box with all its components.
type Daemon struct {
	config      config.Config
	incarnation int
	log         *logrus.Entry
	timer       *timer.Service
	metrics     *metrics.Metrics
	certs       *tlscerts.Reloader

	resources   *resource.Resources
	catchUp     *catchup.CatchUp
	members     *members.Members
	memberList  *platformmembers.Members
	table       *table.Table
	peers       *peer.Peers
	broadcaster *broadcast.Broadcaster

	lengths         *outputlen.Estimator
	loads           *engineload.Tracker
	health          *health.Health
	quota           *quota.Quota
	hallDigest      *digest.Digest // load digest for peers of this hall
	crossHallDigest *digest.Digest // load digest for peers of other halls
	grants          *grantserver.Server
	homes           *grantclient.Client
	flights         *inflight.Tracker
	engines         *engine.Engine
	ledger          *ledger.Ledger
	dispatcher      *dispatch.Dispatcher
	front           *front.Front
	admin           *admin.Admin
	intake          *intake.Intake

	unserved  *unserved.Models
	startup   *startup.Startup
	caughtUp  atomic.Bool
	draining  atomic.Bool
	drain     chan struct{}
	cancel    context.CancelFunc // cancels work that outlives single requests
	drainOnce sync.Once

	mu             sync.Mutex
	pollTargets    []poll.Engine // engines that this box is home of
	cells          *cells.Cells
	cellsView      *resource.View    // that cells were built from
	reported       resource.Position // newest configuration that a peer has reported
	placers        map[placement.Method]*placement.Placer
	placementSince map[string]time.Time
	peersUnserved  map[string][]string // placed models that other boxes know no engine for, by box
}

// OnClock sets a clock that includes suspend time, which lets the box detect that its
// machine was suspended. It is called before Run.
func (d *Daemon) OnClock(c timer.Clock) *Daemon {
	d.timer.On(c)
	d.timer.OnWake(func(suspended time.Duration) {
		d.log.WithField("slept_ms", suspended.Milliseconds()).Warn("was_suspended")
		d.members.AddSuspension(suspended)
	})
	return d
}

// New assembles a box; nothing runs and no port is open before Run. Work that outlives
// single requests ends with ctx.
func New(ctx context.Context, c config.Config, log *logrus.Entry, counts *metrics.Metrics) (*Daemon, error) {
	certs, err := tlscerts.New(tlscerts.Files{Certificate: c.TLS.Certificate, Key: c.TLS.Key, Authority: c.TLS.PeerAuthority})
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		config:          c,
		incarnation:     int(time.Now().UnixMilli()),
		log:             log,
		timer:           timer.New(),
		metrics:         counts,
		certs:           certs,
		resources:       resource.New(),
		lengths:         outputlen.New(),
		loads:           engineload.New(),
		health:          health.New(),
		quota:           quota.New(1),
		hallDigest:      digest.New(heartbeat.Period),
		crossHallDigest: digest.New(heartbeat.AcrossPeriod),
		engines:         engine.New(),
		drain:           make(chan struct{}),
		cells:           cells.New(resource.NewView(0, nil), c.CellSize),
		placers:         map[placement.Method]*placement.Placer{},
		placementSince:  map[string]time.Time{},
		peersUnserved:   map[string][]string{},
		startup:         startup.New(reportedSilence),
	}
	ctx, d.cancel = context.WithCancel(ctx)
	d.initClients()
	d.initCoordination(ctx)
	d.initInterfaces()
	return d, nil
}

// initClients creates the clients of the platform and of the peers.
func (d *Daemon) initClients() {
	c := d.config
	platform, timeout := store.New(c.Platform.Address, d.metrics), config.Millis(c.Platform.TimeoutMs)
	platform.OnRestore(d.onStoreRestored)
	d.table = table.New(platform, timeout)
	d.memberList = platformmembers.New(platform, timeout)
	d.members = members.New(members.Box{
		Name: c.Box, Hall: c.Hall, Address: c.PeersAddress(), Incarnation: d.incarnation, State: members.Live,
	})
	d.peers = peer.New(d.certs.PeerClient())
	d.broadcaster = broadcast.New(d.members, d.peers)
	d.catchUp = catchup.New(d.table, d.resources)
	d.catchUp.OnRewritten(d.logRewritten)
}

// onStoreRestored handles that the store came back from an older copy.
func (d *Daemon) onStoreRestored(before, after int) {
	calls := d.ledger.StoreRestored()
	d.log.WithFields(logrus.Fields{"era": after, "before": before, "calls": calls}).Warn("store_restored")
	go d.readTable(context.Background())
}

// logRewritten logs that resources which the restored table had lost were written again.
func (d *Daemon) logRewritten(r catchup.Rewritten) {
	d.log.WithFields(logrus.Fields{
		"era": r.After.Era, "revision": r.After.Revision, "before": r.Before.Era, "before_revision": r.Before.Revision, "resources": r.Resources,
	}).Warn("configuration_rewritten")
}

// initCoordination creates the components that coordinate with the other boxes.
func (d *Daemon) initCoordination(ctx context.Context) {
	c := d.config
	d.grants = grantserver.New(d.params(), d.lengths, d.health, d.enginesOf)
	d.homes = grantclient.New(d.members, d.peers, d.grants, d.metrics)
	d.flights = inflight.New(d.homes, d.lengths, d.engines, config.Millis(c.Limits.ComebackMs))
	d.ledger = ledger.New(ctx, d.table, d, c.Box, d.incarnation, config.Millis(c.AnswersKeptMs)).WithOthers(d.otherDispatchers, d.log)
}

// initInterfaces creates the interfaces for callers and operators.
func (d *Daemon) initInterfaces() {
	c := d.config
	d.intake = intake.New(d.capacity(), func() int { return 0 }, d.metrics, d.log)
	if err := d.metrics.ObserveClients(d.intake.Connections, d.intake.Used); err != nil {
		d.log.WithError(err).Warn("clients_not_counted")
	}
	budget := retry.New()
	d.dispatcher = dispatch.New(dispatch.Components{
		Box: c.Box, Resources: d.resources, Cells: d.cellsNow, Homes: d.homes, Engines: d.engines, Loads: d.loads,
		Health: d.health, Lengths: d.lengths, Quota: d.quota, Budget: budget, Flights: d.flights, Placer: d.pick,
		Metrics: d.metrics, Started: d.started,
	})
	d.unserved = unserved.New(d.resources, d.dispatcher.Served)
	d.front = front.New(front.Components{
		Box: c.Box, Resources: d.resources, Dispatcher: d.dispatcher, Engines: d.engines, Services: service.New(serviceTimeout),
		Ledger: d.ledger, Flights: d.flights, Tickets: ticket.New(c.SharedKey()), Budget: budget,
		Metrics: d.metrics, Log: d.log, NotifyResumed: d.notifyResumed, Ready: d.configured,
		MaxBodySize: c.Limits.BodyBytes, MaxStreams: c.Limits.Streams, Full: d.intake.Full,
	})
	writer := configwriter.New(d.table, verify.New(), d.resources, d.catchUp.Run)
	d.admin = admin.New(admin.Components{
		Resources: d.resources, Write: d.write(writer), Status: d.status, Drain: d.Drain, Ready: d.ready, Started: d.started,
		Metrics: d.metrics, OperatorKey: c.OperatorKeyHash, Log: d.log,
	})
}

// write returns a function that commits a resource and broadcasts it to the other boxes
// before the operator gets the answer.
func (d *Daemon) write(writer *configwriter.Writer) func(context.Context, wire.Resource) (wire.Resource, error) {
	return func(ctx context.Context, r wire.Resource) (wire.Resource, error) {
		done, err := writer.Write(ctx, r)
		if err != nil {
			return r, err
		}
		set := wire.ChangeSet{Era: done.Era, Revision: done.Revision, Since: done.Revision - 1, Items: []wire.Resource{done}}
		d.resources.Apply(set)
		d.broadcaster.Broadcast(ctx, set)
		return done, nil
	}
}

// cellsNow returns the cells of the current configuration.
func (d *Daemon) cellsNow() *cells.Cells {
	view := d.resources.View()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cellsView != view {
		d.cells, d.cellsView = cells.New(view, d.config.CellSize), view
	}
	return d.cells
}

func (d *Daemon) enginesOf(cell string) []string {
	for _, c := range d.cellsNow().All() {
		if c.ID == cell {
			return c.Engines
		}
	}
	return nil
}

// meanStepShare is the fraction of a model's gap limit that the mean step may take; the
// rest is for prefills between steps.
const meanStepShare = 0.85

func (d *Daemon) params() home.Params {
	view := d.resources.View()
	params := home.Params{
		Deviations: view.Policy.Deviations, Adaptive: view.Policy.Adaptive, Share: 1, Queue: d.config.Limits.Queue,
		Gaps: map[string]time.Duration{},
	}
	for name, m := range view.Models {
		params.Gaps[name] = time.Duration(meanStepShare * float64(config.Millis(m.GapMs)))
	}
	return params
}

func (d *Daemon) pick(method placement.Method, views []placement.View) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.placers[method]
	if !ok {
		p = placement.New(method, rand.New(rand.NewPCG(uint64(d.incarnation), uint64(len(d.placers)))))
		d.placers[method] = p
	}
	return p.Pick(views)
}

// configured reports whether this box has a configuration to serve with. If the table
// was unavailable at start, it is the newest one that its peers have reported.
func (d *Daemon) configured() bool {
	if d.caughtUp.Load() {
		return true
	}
	now := d.resources.View().Position()
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Revision > 0 && !d.reported.After(now)
}

// started reports whether this box knew an engine for each placed model, or had time to
// learn of them.
func (d *Daemon) started() bool {
	now, placed := time.Now(), len(d.resources.View().Placements) > 0
	return d.startup.Done(now, placed, len(d.unserved.List(now)))
}

// ready reports whether this box may serve; it may have to learn the engines yet.
func (d *Daemon) ready() bool { return d.configured() && !d.draining.Load() }

// Drain starts the planned stop.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.drain) }) }

// Reload reads the certificate and key files again.
func (d *Daemon) Reload() {
	if err := d.certs.Reload(); err != nil {
		d.log.WithError(err).Error("keys_not_reloaded")
		return
	}
	d.log.Info("keys_reloaded")
}
