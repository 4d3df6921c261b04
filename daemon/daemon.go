// Package daemon puts the parts of one box together and runs them from start
// to planned stop.
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

// serviceTime bounds a call to a plain service.
const serviceTime = time.Minute

// Daemon is one box.
type Daemon struct {
	config      config.Config
	incarnation int
	log         *logrus.Entry
	timer       *timer.Service
	metrics     *metrics.Metrics
	keys        *tlscerts.Reloader

	resources *resource.Resources
	catchUp   *catchup.CatchUp
	members   *members.Members
	list      *platformmembers.Members
	table     *table.Table
	peers     *peer.Peers
	spread    *broadcast.Broadcaster

	lengths *outputlen.Estimator
	loads   *engineload.Tracker
	health  *health.Health
	quota   *quota.Quota
	within  *digest.Digest // for peers of this hall
	across  *digest.Digest // for peers of other halls
	grants  *grantserver.Server
	homes   *grantclient.Client
	flights *inflight.Tracker
	engines *engine.Engine
	ledger  *ledger.Ledger
	front   *front.Front
	admin   *admin.Admin

	caughtUp  atomic.Bool
	heard     atomic.Int64 // highest revision that a peer has told of
	draining  atomic.Bool
	drain     chan struct{}
	cancel    context.CancelFunc // ends what outlives single requests
	drainOnce sync.Once

	mu      sync.Mutex
	own     []poll.Engine // that this box is home of
	cells   *cells.Cells
	cellsAt int // revision that cells were made from
	placers map[placement.Method]*placement.Placer
	since   map[string]time.Time
}

// OnClock lets the box see by a clock that counts them when its machine was suspended.
// It is called before Run.
func (d *Daemon) OnClock(c timer.Clock) *Daemon {
	d.timer.On(c)
	d.timer.OnWake(func(slept time.Duration) {
		d.log.WithField("slept_ms", slept.Milliseconds()).Warn("was_suspended")
		d.members.Older(slept)
	})
	return d
}

// New puts a box together; nothing runs and no port is open before Run. ctx
// bounds what outlives single requests.
func New(ctx context.Context, c config.Config, log *logrus.Entry, counts *metrics.Metrics) (*Daemon, error) {
	k, err := tlscerts.New(tlscerts.Files{Certificate: c.TLS.Certificate, Key: c.TLS.Key, Authority: c.TLS.PeerAuthority})
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		config:      c,
		incarnation: int(time.Now().UnixMilli()),
		log:         log,
		timer:       timer.New(),
		metrics:     counts,
		keys:        k,
		resources:   resource.New(),
		lengths:     outputlen.New(),
		loads:       engineload.New(),
		health:      health.New(),
		quota:       quota.New(1),
		within:      digest.New(heartbeat.Period),
		across:      digest.New(heartbeat.AcrossPeriod),
		engines:     engine.New(),
		drain:       make(chan struct{}),
		cells:       cells.New(resource.NewView(0, nil), c.CellSize),
		placers:     map[placement.Method]*placement.Placer{},
		since:       map[string]time.Time{},
	}
	ctx, d.cancel = context.WithCancel(ctx)
	d.connect()
	d.control(ctx)
	d.serve()
	return d, nil
}

// connect makes the clients of the platform and of the peers.
func (d *Daemon) connect() {
	c := d.config
	platform, timeout := store.New(c.Platform.Address, d.metrics), config.Millis(c.Platform.TimeoutMs)
	d.table = table.New(platform, timeout)
	d.list = platformmembers.New(platform, timeout)
	d.members = members.New(members.Box{
		Name: c.Box, Hall: c.Hall, Address: c.Listen.Peers, Incarnation: d.incarnation, State: members.Live,
	})
	d.peers = peer.New(d.keys.PeerClient())
	d.spread = broadcast.New(d.members, d.peers)
	d.catchUp = catchup.New(d.table, d.resources)
}

// control makes the parts that act together with the other boxes.
func (d *Daemon) control(ctx context.Context) {
	c := d.config
	d.grants = grantserver.New(d.params(), d.lengths, d.health, d.enginesOf)
	d.homes = grantclient.New(d.members, d.peers, d.grants, d.metrics)
	d.flights = inflight.New(d.homes, d.lengths, d.engines, config.Millis(c.Limits.ComebackMs))
	d.ledger = ledger.New(ctx, d.table, d, c.Box, d.incarnation, config.Millis(c.AnswersKeptMs))
}

// serve makes the parts that callers and operators meet.
func (d *Daemon) serve() {
	c := d.config
	budget := retry.New()
	dispatcher := dispatch.New(dispatch.Components{
		Box: c.Box, Resources: d.resources, Cells: d.cellsNow, Homes: d.homes, Engines: d.engines, Loads: d.loads,
		Health: d.health, Lengths: d.lengths, Quota: d.quota, Budget: budget, Flights: d.flights, Placer: d.pick,
		Metrics: d.metrics,
	})
	d.front = front.New(front.Components{
		Box: c.Box, Resources: d.resources, Dispatcher: dispatcher, Engines: d.engines, Services: service.New(serviceTime),
		Ledger: d.ledger, Flights: d.flights, Tickets: ticket.New(c.SharedKey()), Budget: budget,
		Metrics: d.metrics, Log: d.log, NotifyResumed: d.tellTaken, Ready: d.configured,
		MaxBodySize: c.Limits.BodyBytes, MaxStreams: c.Limits.Streams,
	})
	declarer := configwriter.New(d.table, verify.New(), d.resources, d.catchUp.Run)
	d.admin = admin.New(admin.Components{
		Resources: d.resources, Write: d.write(declarer), Status: d.status, Drain: d.Drain, Ready: d.ready,
		Metrics: d.metrics, OperatorKey: c.OperatorKeyHash, Log: d.log,
	})
}

// write commits a resource and tells the other boxes before it is answered.
func (d *Daemon) write(declarer *configwriter.Writer) func(context.Context, wire.Resource) (wire.Resource, error) {
	return func(ctx context.Context, r wire.Resource) (wire.Resource, error) {
		done, err := declarer.Write(ctx, r)
		if err != nil {
			return r, err
		}
		set := wire.ChangeSet{Revision: done.Revision, Since: done.Revision - 1, Items: []wire.Resource{done}}
		d.resources.Apply(set)
		d.spread.Broadcast(ctx, set)
		return done, nil
	}
}

func (d *Daemon) cellsNow() *cells.Cells {
	view := d.resources.View()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cellsAt != view.Revision {
		d.cells, d.cellsAt = cells.New(view, d.config.CellSize), view.Revision
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

// gapPart is the part of a model's bound for gaps that the mean step may
// take: prompts that come in between need the rest.
const gapPart = 0.85

func (d *Daemon) params() home.Params {
	view := d.resources.View()
	params := home.Params{
		Deviations: view.Policy.Deviations, Adaptive: view.Policy.Adaptive, Share: 1, Queue: d.config.Limits.Queue,
		Gaps: map[string]time.Duration{},
	}
	for name, m := range view.Models {
		params.Gaps[name] = time.Duration(gapPart * float64(config.Millis(m.GapMs)))
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

// configured tells whether this box has a configuration to serve by. One that
// started in an outage of the table serves by the highest that its peers have.
func (d *Daemon) configured() bool {
	if d.caughtUp.Load() {
		return true
	}
	revision := int64(d.resources.View().Revision)
	return revision > 0 && revision >= d.heard.Load()
}

func (d *Daemon) ready() bool { return d.configured() && !d.draining.Load() }

// Drain begins the planned stop.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.drain) }) }

// Reload reads the key files again.
func (d *Daemon) Reload() {
	if err := d.keys.Reload(); err != nil {
		d.log.WithError(err).Error("keys_not_reloaded")
		return
	}
	d.log.Info("keys_reloaded")
}
