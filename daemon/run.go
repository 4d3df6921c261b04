package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/config"
	"petrelstep/heartbeat"
	"petrelstep/lease"
	"petrelstep/peer/endpoint"
	"petrelstep/poll"
	"petrelstep/reconcile"
	"petrelstep/wire"
)

const (
	// tableEvery is how often the table is read, should all telling fail.
	tableEvery = 2 * time.Second
	listEvery  = 2 * time.Second
	roundEvery = 50 * time.Millisecond
	cleanEvery = 10 * time.Minute
	// drainLook is how often a stopping box looks whether work is in flight.
	drainLook  = 50 * time.Millisecond
	headerTime = 10 * time.Second
	// leaveNotice is how long a stopping box still answers refusals, so that
	// peers and the balancer learn of the stop before the port closes.
	leaveNotice = 1500 * time.Millisecond
)

// ListenError says that an address could not be opened.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// listeners are the box's three addresses.
type listeners struct{ callers, admin, peers net.Listener }

func (d *Daemon) listen() (listeners, error) {
	l := d.config.Listen
	var open listeners
	for _, one := range []struct {
		address string
		into    *net.Listener
		tls     *tls.Config
	}{
		{l.Callers, &open.callers, d.keys.Callers()},
		{l.Admin, &open.admin, d.keys.Callers()},
		{l.Peers, &open.peers, d.keys.PeerServer()},
	} {
		listener, err := net.Listen("tcp", one.address)
		if err != nil {
			open.close()
			return listeners{}, &ListenError{Address: one.address, Err: err}
		}
		if one.tls != nil {
			listener = tls.NewListener(listener, one.tls)
		}
		*one.into = listener
	}
	return open, nil
}

func (l listeners) close() {
	for _, one := range []net.Listener{l.callers, l.admin, l.peers} {
		if one != nil {
			_ = one.Close()
		}
	}
}

// Run serves until Drain is called and all work in flight is done, or until
// ctx ends, which cuts off what is left.
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
		d.drainAll(ctx)
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

// start starts the tasks that are not bound to a caller.
func (d *Daemon) start(ctx context.Context, all *sync.WaitGroup, open listeners) {
	all.Go(d.ledger.Run)
	all.Go(func() { d.timer.Every(ctx, "round", roundEvery, d.grants.Round) })
	all.Go(func() { d.timer.Every(ctx, "share", time.Second, d.shareRoom) })
	all.Go(func() { d.readTableEach(ctx) })
	all.Go(func() { d.readListEach(ctx) })
	all.Go(func() { d.follow(ctx) })
	all.Go(func() { d.flights.Run(ctx, d.timer) })
	all.Go(func() { heartbeat.New(d.members, d.peers, d, d.timer, d.log).Run(ctx) })
	all.Go(func() { poll.New(d.engines, d, d.timer, d.lookForEngines).Run(ctx) })
	all.Go(func() { d.reconcileEach(ctx) })
	all.Go(func() { d.cleanEach(ctx) })
	all.Go(func() {
		if err := endpoint.New(ctx, d, d.grants).Serve(open.peers); err != nil {
			d.log.WithError(err).Error("peers_not_served")
		}
	})
}

// shareRoom lets home boxes of parted sides spend their parts only.
func (d *Daemon) shareRoom(now time.Time) {
	reached, all := d.members.CountReachable(now)
	d.grants.SetShare(float64(reached) / float64(all))
}

func (d *Daemon) httpServers(all *sync.WaitGroup, open listeners) []*http.Server {
	callers := &http.Server{Handler: d.front.Handler(), ReadHeaderTimeout: headerTime}
	operators := &http.Server{Handler: d.admin.Handler(), ReadHeaderTimeout: headerTime}
	serve := func(s *http.Server, l net.Listener) {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.log.WithError(err).Error("not_served")
		}
	}
	all.Go(func() { serve(callers, open.callers) })
	all.Go(func() { serve(operators, open.admin) })
	return []*http.Server{callers, operators}
}

// drainAll is the planned stop: nothing new, and all in flight is waited for.
func (d *Daemon) drainAll(ctx context.Context) {
	d.log.WithField("in_flight", d.front.Serving()).Info("draining")
	d.draining.Store(true)
	d.members.Leave()
	d.front.Drain()
	d.grants.Close()
	d.tellList(ctx, wire.MemberStateLeaving)
	until := time.Now().Add(config.Millis(d.config.DrainMs))
	least := time.Now().Add(min(leaveNotice, config.Millis(d.config.DrainMs)))
	for time.Now().Before(until) && ctx.Err() == nil {
		if d.front.Serving() == 0 && time.Now().After(least) {
			break
		}
		d.timer.Sleep(ctx, drainLook)
	}
	if n := d.front.Serving(); n > 0 {
		d.log.WithField("in_flight", n).Warn("drain_cut_off")
	}
	member := d.member(wire.MemberStateLeaving)
	off, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if err := d.list.Leave(off, member); err != nil {
		d.log.WithError(err).Warn("list_not_left")
	}
}

// stop closes the ports; at once where the stop was not planned.
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
	return wire.Member{Box: d.config.Box, Hall: d.config.Hall, Address: d.config.Listen.Peers, State: state}
}

func (d *Daemon) tellList(ctx context.Context, state wire.MemberState) {
	if err := d.list.Join(ctx, d.member(state)); err != nil {
		d.log.WithError(err).Warn("list_not_told")
	}
}

func (d *Daemon) readTable(ctx context.Context) {
	if err := d.catchUp.Run(ctx); err != nil {
		d.log.WithError(err).Debug("table_not_read")
		return
	}
	if !d.caughtUp.Swap(true) {
		d.log.WithField("revision", d.resources.View().Revision).Info("configured")
	}
}

func (d *Daemon) readTableEach(ctx context.Context) {
	d.readTable(ctx)
	d.timer.Every(ctx, d.config.Box, tableEvery, func(time.Time) { d.readTable(ctx) })
}

// readListEach keeps the membership by the platform's list; an outage keeps
// the last one.
func (d *Daemon) readListEach(ctx context.Context) {
	joined := false
	read := func(time.Time) {
		if !joined && !d.draining.Load() {
			joined = d.list.Join(ctx, d.member(wire.MemberStateLive)) == nil
		}
		list, err := d.list.List(ctx)
		if err != nil {
			d.log.WithError(err).Debug("list_not_read")
			return
		}
		d.members.ApplyList(time.Now(), list)
		d.quota.SetBoxes(len(d.members.All(time.Now())))
	}
	read(time.Now())
	d.timer.Every(ctx, d.config.Box, listEvery, read)
}

// follow applies each new configuration to the parts that depend on it.
func (d *Daemon) follow(ctx context.Context) {
	for {
		changed := d.resources.Changed()
		view := d.resources.View()
		d.members.SetRevision(view.Revision)
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

func (d *Daemon) cleanEach(ctx context.Context) {
	d.timer.Every(ctx, d.config.Box, cleanEvery, func(now time.Time) {
		order := d.members.Order(now, "clean", "")
		if len(order) == 0 || order[0].Name != d.config.Box {
			return
		}
		if err := d.ledger.Clean(ctx); err != nil {
			d.log.WithError(err).Warn("ledger_not_cleaned")
		}
	})
}

// reconcileEach runs a reconciler for each hall that this box stands for: its
// own, and halls without boxes.
func (d *Daemon) reconcileEach(ctx context.Context) {
	tasks := map[string]context.CancelFunc{}
	var all sync.WaitGroup
	d.timer.Every(ctx, "halls", time.Second, func(now time.Time) {
		for hall := range d.resources.View().Halls {
			if _, ok := tasks[hall]; ok || !d.standsFor(now, hall) {
				continue
			}
			task, stop := context.WithCancel(ctx)
			tasks[hall] = stop
			all.Go(func() { d.reconcile(task, hall) })
		}
		for hall, stop := range tasks {
			if !d.standsFor(now, hall) {
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

// standsFor tells whether this box is among the first two for a hall's
// orders: one holds the lease, the other waits for it.
func (d *Daemon) standsFor(now time.Time, hall string) bool {
	const standing = 2
	order := d.members.Order(now, "orders/"+hall, hall)
	for _, b := range order[:min(standing, len(order))] {
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
	l := lease.New(d.table, hall, holder, duration, timeout).OnSlept(d.timer.Slept)
	reconcile.New(hall, l, d.resources, d.loads, d.engines, timeout, duration, d.log).Run(ctx, d.timer)
}
