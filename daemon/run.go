package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/config"
	"petrelstep/heartbeat"
	"petrelstep/lease"
	"petrelstep/peer/endpoint"
	"petrelstep/platform/store"
	"petrelstep/poll"
	"petrelstep/protect/capacity"
	"petrelstep/protect/intake"
	"petrelstep/reconcile"
	"petrelstep/wire"
)

const (
	// tableInterval is how often the table is read, in case a broadcast was missed.
	tableInterval      = 2 * time.Second
	listInterval       = 2 * time.Second
	grantRoundInterval = 50 * time.Millisecond
	cleanInterval      = 10 * time.Minute
	// drainCheckInterval is how often a draining box checks for work in flight.
	drainCheckInterval = 50 * time.Millisecond
	sweepInterval      = 250 * time.Millisecond
	headerTime         = 10 * time.Second
	// idleTime exceeds the idle timeout of the usual clients and load balancers.
	idleTime = 90 * time.Second
	// tlsBytes is the memory of a TLS connection beyond that of another one.
	tlsBytes = 40 << 10
	// operatorConnections bounds the connections of operators.
	operatorConnections = 64
	// leaveNotice is how long a draining box keeps answering with refusals, so that
	// peers and the load balancer learn of the stop before the port closes.
	leaveNotice = 1500 * time.Millisecond
)

// ListenError reports that an address could not be opened.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// listeners are the open ports of a box.
type listeners struct{ callers, admin, peers net.Listener }

func (d *Daemon) listen() (listeners, error) {
	l := d.config.Listen
	var open listeners
	for _, spec := range []struct {
		address string
		into    *net.Listener
		tls     *tls.Config
	}{
		{l.Callers, &open.callers, d.certs.Callers()},
		{l.Admin, &open.admin, d.certs.Callers()},
		{l.Peers, &open.peers, d.certs.PeerServer()},
	} {
		listener, err := net.Listen("tcp", spec.address)
		if err != nil {
			open.close()
			return listeners{}, &ListenError{Address: spec.address, Err: err}
		}
		if spec.tls != nil {
			listener = tls.NewListener(listener, spec.tls)
		}
		*spec.into = listener
	}
	return open, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.admin, l.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Run serves until Drain is called and all work in flight is done. It stops at once
// when ctx ends.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.cancel()
	open, err := d.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var all sync.WaitGroup
	d.start(ctx, &all, open)
	servers := d.httpServers(&all, open)
	d.log.WithFields(logrus.Fields{"callers": open.callers.Addr(), "admin": open.admin.Addr(), "peers": open.peers.Addr()}).Info("started")
	select {
	case <-ctx.Done():
	case <-d.drain:
		d.awaitDrained(ctx)
	}
	d.flights.Close()
	d.stop(ctx, servers)
	cancel()
	d.cancel()
	all.Wait()
	d.peers.Close()
	d.engines.Close()
	d.log.Info("stopped")
	return nil
}

// start starts the background tasks.
func (d *Daemon) start(ctx context.Context, all *sync.WaitGroup, open listeners) {
	all.Go(d.ledger.Run)
	all.Go(func() { d.timer.Every(ctx, "round", grantRoundInterval, d.grants.Round) })
	all.Go(func() { d.timer.Every(ctx, "share", time.Second, d.shareCapacity) })
	all.Go(func() { d.timer.Every(ctx, "sweep", sweepInterval, d.intake.Sweep) })
	all.Go(func() { d.pollTable(ctx) })
	all.Go(func() { d.pollList(ctx) })
	all.Go(func() { d.applyConfigurations(ctx) })
	all.Go(func() { d.flights.Run(ctx, d.timer) })
	all.Go(func() { heartbeat.New(d.members, d.peers, d, d.timer, d.log).Run(ctx) })
	all.Go(func() { poll.New(d.engines, d, d.timer, d.refreshEngines).Run(ctx) })
	all.Go(func() { d.reconcileHalls(ctx) })
	all.Go(func() { d.cleanPeriodically(ctx) })
	all.Go(func() {
		if err := endpoint.New(ctx, d, d.grants).Serve(open.peers); err != nil {
			d.log.WithError(err).Error("peers_not_served")
		}
	})
}

// shareCapacity limits the home boxes to the reachable fraction of the fleet, so that
// partitioned sides together do not grant more than the whole capacity.
func (d *Daemon) shareCapacity(now time.Time) {
	reached, all := d.members.CountReachable(now)
	d.grants.SetShare(float64(reached) / float64(all))
}

func (d *Daemon) httpServers(all *sync.WaitGroup, open listeners) []*http.Server {
	moreBytes := int64(0)
	if d.certs.Callers() != nil {
		moreBytes = tlsBytes
	}
	callers := d.intake.Listener(open.callers, "callers", d.capacity().Callers(), moreBytes, bounds)
	operators := d.intake.Listener(open.admin, "admin", operatorConnections, moreBytes, bounds)
	var servers []*http.Server
	for l, h := range map[*intake.Listener]http.Handler{callers: d.front.Handler(), operators: d.admin.Handler()} {
		s := l.Server(h)
		servers = append(servers, s)
		all.Go(func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				d.log.WithError(err).Error("not_served")
			}
		})
	}
	return servers
}

// bounds returns the bounds of clients.
func bounds() intake.Bounds {
	return intake.Bounds{HeaderBytes: http.DefaultMaxHeaderBytes, HeaderTime: headerTime, IdleTime: idleTime}
}

// capacity returns what the box has for its clients, by its settings and by the number of
// descriptors that the system allows.
func (d *Daemon) capacity() capacity.Capacity {
	descriptors := d.config.Limits.Descriptors
	var allowed syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &allowed); err != nil {
		d.log.WithError(err).Warn("descriptors_unknown")
	} else if allowed.Cur < uint64(descriptors) {
		descriptors = int(allowed.Cur)
	}
	return capacity.New(d.config.Limits.MemoryMb, descriptors)
}

// awaitDrained refuses new requests and waits for those in flight, up to the drain time.
func (d *Daemon) awaitDrained(ctx context.Context) {
	d.log.WithField("in_flight", d.front.Serving()).Info("draining")
	d.draining.Store(true)
	d.members.Leave()
	d.front.Drain()
	d.grants.Close()
	d.announceState(ctx, wire.MemberStateLeaving)
	until := time.Now().Add(config.Millis(d.config.DrainMs))
	earliestStop := time.Now().Add(min(leaveNotice, config.Millis(d.config.DrainMs)))
	for time.Now().Before(until) && ctx.Err() == nil {
		if d.front.Serving() == 0 && time.Now().After(earliestStop) {
			break
		}
		d.timer.Sleep(ctx, drainCheckInterval)
	}
	if n := d.front.Serving(); n > 0 {
		d.log.WithField("in_flight", n).Warn("drain_cut_off")
	}
	member := d.member(wire.MemberStateLeaving)
	leaveCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := d.memberList.Leave(leaveCtx, member); err != nil {
		d.log.WithError(err).Warn("list_not_left")
	}
}

// stop shuts the servers down and closes connections that stay busy.
func (d *Daemon) stop(ctx context.Context, servers []*http.Server) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
}

func (d *Daemon) member(state wire.MemberState) wire.Member {
	return wire.Member{Box: d.config.Box, Hall: d.config.Hall, Address: d.config.PeersAddress(), State: state}
}

// announceState writes this box's state to the platform's member list.
func (d *Daemon) announceState(ctx context.Context, state wire.MemberState) {
	if err := d.memberList.Join(ctx, d.member(state)); err != nil {
		d.log.WithError(err).Warn("list_not_told")
	}
}

func (d *Daemon) readTable(ctx context.Context) {
	err := d.catchUp.Run(ctx)
	var era *store.EraError
	if errors.As(err, &era) {
		err = d.catchUp.Run(ctx) // the second answer of another era shows that the store was restored
	}
	if err != nil {
		d.log.WithError(err).Debug("table_not_read")
		return
	}
	if !d.caughtUp.Swap(true) {
		d.log.WithField("revision", d.resources.View().Revision).Info("configured")
	}
}

func (d *Daemon) pollTable(ctx context.Context) {
	d.readTable(ctx)
	d.timer.Every(ctx, d.config.Box, tableInterval, func(time.Time) { d.readTable(ctx) })
}

// pollList updates the membership from the platform's list. During an outage the last
// list stays in use.
func (d *Daemon) pollList(ctx context.Context) {
	joined := false
	read := func(time.Time) {
		if !joined && !d.draining.Load() {
			joined = d.memberList.Join(ctx, d.member(wire.MemberStateLive)) == nil
		}
		list, err := d.memberList.List(ctx)
		if err != nil {
			d.log.WithError(err).Debug("list_not_read")
			return
		}
		d.members.ApplyList(time.Now(), list)
		d.quota.SetBoxes(len(d.members.All(time.Now())))
	}
	read(time.Now())
	d.timer.Every(ctx, d.config.Box, listInterval, read)
}

// applyConfigurations applies each new configuration to the components that use it.
func (d *Daemon) applyConfigurations(ctx context.Context) {
	for {
		changed := d.resources.Changed()
		view := d.resources.View()
		d.members.SetRevision(view.Era, view.Revision)
		d.started() // the time to learn the engines begins with the first placement
		d.grants.Configure(d.params())
		for name, u := range view.Upstreams {
			if u.Leaving {
				d.health.MarkLeaving(name, 0)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// cleanPeriodically deletes expired ledger rows; one box of the fleet does it.
func (d *Daemon) cleanPeriodically(ctx context.Context) {
	d.timer.Every(ctx, d.config.Box, cleanInterval, func(now time.Time) {
		order := d.members.Order(now, "clean", "")
		if len(order) == 0 || order[0].Name != d.config.Box {
			return
		}
		if err := d.ledger.Clean(ctx); err != nil {
			d.log.WithError(err).Warn("ledger_not_cleaned")
		}
	})
}

// reconcileHalls runs a reconciler for each hall whose orders this box may issue.
func (d *Daemon) reconcileHalls(ctx context.Context) {
	tasks := map[string]context.CancelFunc{}
	var all sync.WaitGroup
	d.timer.Every(ctx, "halls", time.Second, func(now time.Time) {
		for hall := range d.resources.View().Halls {
			if _, ok := tasks[hall]; ok || !d.isCandidateFor(now, hall) {
				continue
			}
			task, stop := context.WithCancel(ctx)
			tasks[hall] = stop
			all.Go(func() { d.reconcile(task, hall) })
		}
		for hall, stop := range tasks {
			if !d.isCandidateFor(now, hall) {
				stop()
				delete(tasks, hall)
			}
		}
	})
	for _, stop := range tasks {
		stop()
	}
	all.Wait()
}

// isCandidateFor reports whether this box is one of the two candidates for a hall's
// order lease: one holds it, the other waits for it.
func (d *Daemon) isCandidateFor(now time.Time, hall string) bool {
	const candidates = 2
	order := d.members.Order(now, "orders/"+hall, hall)
	for _, b := range order[:min(candidates, len(order))] {
		if b.Name == d.config.Box {
			return !d.draining.Load()
		}
	}
	return false
}

func (d *Daemon) reconcile(ctx context.Context, hall string) {
	c := d.config
	timeout, duration := config.Millis(c.OrderTimeoutMs), config.Millis(c.LeaseMs)
	holder := c.Box + "@" + time.UnixMilli(int64(d.incarnation)).UTC().Format(time.RFC3339Nano)
	l := lease.New(d.table, hall, holder, duration, timeout).SetSuspendedSince(d.timer.SuspendedSince)
	reconcile.New(hall, l, d.resources, d.loads, d.engines, timeout, duration, d.log).Run(ctx, d.timer)
}
