package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"petrelstep/config"
	"petrelstep/gossip"
	"petrelstep/peer/edgerpc"
	"petrelstep/platform/manifest"
	"petrelstep/probe"
	"petrelstep/protect/intake"
)

const (
	tickInterval      = 100 * time.Millisecond
	sweepInterval     = 250 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// peerMaxAge is how recently a box must have heard from another to judge whether
	// the store answers other boxes.
	peerMaxAge = time.Second
	// balancerNotice is how long a stopping box goes on accepting requests: the load
	// balancer checks once a second and removes a box after two failures.
	balancerNotice = 3 * time.Second
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

// Listeners are the open addresses of a box.
type Listeners struct{ Callers, Ready, Admin, Peers net.Listener }

// all returns the listeners, each with the address of the settings that it is for.
func (l *Listeners) all(c config.Config) []listenerAddress {
	return []listenerAddress{{&l.Callers, c.Listen.Callers}, {&l.Ready, c.Edge.Ready}, {&l.Admin, c.Listen.Admin}, {&l.Peers, c.Listen.Peers}}
}

type listenerAddress struct {
	listener *net.Listener
	address  string
}

// Run opens the addresses of the settings and serves as RunOn does.
func (e *Edge) Run(ctx context.Context) error {
	var l Listeners
	for i, a := range l.all(e.config) {
		listener, err := net.Listen("tcp", a.address)
		if err != nil {
			for _, opened := range l.all(e.config)[:i] {
				_ = (*opened.listener).Close()
			}
			return &ListenError{Address: a.address, Err: err}
		}
		*a.listener = listener
	}
	return e.RunOn(ctx, l)
}

// RunOn serves on open addresses, which are those of the settings, until Drain is called and
// all requests in flight are done, or until ctx ends, which aborts the remaining ones.
func (e *Edge) RunOn(ctx context.Context, open Listeners) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var all sync.WaitGroup
	servers := e.serve(ctx, &all, open)
	e.fleet.Subscribe(e.departed(ctx))
	e.startTasks(ctx, &all)
	l := e.config.Listen
	e.log.WithFields(logrus.Fields{"hall": e.config.Hall, "callers": l.Callers, "peers": l.Peers, "admin": l.Admin, "store": e.config.Platform.Address}).Info("started")
	select {
	case <-ctx.Done():
	case <-e.drain:
		e.drainAll(ctx, servers)
	}
	cancel()
	for _, s := range servers {
		_ = s.Close() // aborts the remaining requests
	}
	e.tunnels.CloseAll()
	e.tunnelCalls.Close()
	e.peers.Close()
	e.store.Close()
	all.Wait()
	e.log.Info("stopped")
	return nil
}

// serve serves the box's addresses.
func (e *Edge) serve(ctx context.Context, all *sync.WaitGroup, l Listeners) []*http.Server {
	var servers []*http.Server
	for _, a := range []struct {
		listener *intake.Listener
		handler  http.Handler
	}{
		{e.intake.Listener(l.Callers, "callers", e.capacity().Callers(), 0, e.callerBounds), http.HandlerFunc(e.serveCaller)},
		{e.intake.Listener(l.Ready, "ready", operatorConnections, 0, defaultBounds), e.readiness()},
		{e.intake.Listener(l.Admin, "admin", operatorConnections, 0, defaultBounds), e.admin()},
	} {
		s := a.listener.Server(a.handler)
		servers = append(servers, s)
		all.Go(func() { e.serveHTTP(s, a.listener) })
	}
	all.Go(func() {
		if err := edgerpc.New(ctx, e, e.turns, e.tunnels).Serve(l.Peers); err != nil {
			e.log.WithError(err).Error("peers_not_served")
		}
	})
	return servers
}

func (e *Edge) serveHTTP(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		e.log.WithError(err).Error("not_served")
	}
}

func (e *Edge) serveCaller(w http.ResponseWriter, r *http.Request) {
	e.timer.Check()
	e.serving.Add(1)
	defer e.serving.Add(-1)
	e.callers.ServeHTTP(w, r)
}

// readiness serves the load balancer's health check on any path.
func (e *Edge) readiness() http.Handler {
	r := mux.NewRouter()
	r.PathPrefix("/").HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// admin serves metrics and the operators' API.
func (e *Edge) admin() http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", e.metrics.Handler())
	r.HandleFunc("/v1/view", e.serveView).Methods(http.MethodGet)
	r.HandleFunc("/v1/quarantine/{fingerprint}", e.serveRelease).Methods(http.MethodDelete)
	return r
}

// startTasks starts the background tasks.
func (e *Edge) startTasks(ctx context.Context, all *sync.WaitGroup) {
	workers := manifest.NewWorkers(e.store, e.fleet, e.hasService, e.metrics, e.log)
	for _, f := range e.followers(workers) {
		all.Go(func() { f.Run(ctx) })
	}
	all.Go(func() { e.timer.Every(ctx, "tick", tickInterval, e.tick) })
	all.Go(func() { e.timer.Every(ctx, "sweep", sweepInterval, e.intake.Sweep) })
	prober := probe.New(e.fleet, e.storeSilence, e.runs, e.upstreams, e.limits, e.rejectionLimits, e.backoff, e.log)
	all.Go(func() {
		e.timer.Every(ctx, "watch", probe.Period, func(now time.Time) { prober.Poll(ctx, now) })
	})
	all.Go(func() { e.join(ctx) })
	all.Go(func() { e.registrar.run(ctx) })
	all.Go(func() { e.restoreQuarantine(ctx) })
	all.Go(func() {
		e.timer.Every(ctx, "quarantine_rows", registerInterval, func(time.Time) { e.rewriteQuarantine(ctx) })
	})
	all.Go(func() { e.rollouts.run(ctx) })
	all.Go(func() { gossip.New(e.members, e.peers, e, e.timer, e.log).Run(ctx) })
}

// confirmFleet records when the fleet was complete. A box that has just started is ready
// from then on, so that orders whose status is not known are applied before.
func (e *Edge) confirmFleet(at time.Time) {
	e.rollouts.applyPending(time.Now())
	e.fleet.Confirm(at)
}

// recordStoreAnswer records when the store answered this box or a hub.
func (e *Edge) recordStoreAnswer(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at.After(e.storeLastSeen) {
		e.storeLastSeen = at
	}
}

// storeSilence returns how long the store has answered none of the boxes heard from; 0
// before its first answer, when there are no requests to lose.
func (e *Edge) storeSilence(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.storeLastSeen.IsZero() {
		return 0
	}
	return now.Sub(e.storeLastSeen)
}

// fleetStoreSilence returns how long the store has answered no box, or 0 if this box
// hears from no other and can't tell.
func (e *Edge) fleetStoreSilence() time.Duration {
	now := time.Now()
	e.mu.Lock()
	hearsHub := now.Sub(e.hubLastSeen) < peerMaxAge
	e.mu.Unlock()
	if !hearsHub && e.loads.RecentBoxes(now, peerMaxAge) == 0 {
		return 0
	}
	return e.storeSilence(now)
}

// tick expires outdated state.
func (e *Edge) tick(now time.Time) {
	e.fleet.Tick(now)
	e.halls.Tick(now, e.configurationRead(now))
	e.quarantine.Tick(now)
	e.newStreamOrigins().sendUnsent(now)
	e.limiter.tick(now)
	e.backoff.Tick(now)
	e.tunnels.Tick(now)
	e.checkLinks(now)
	if e.joined.Load() {
		e.retryBudget.Resize(e.retrySlack(e.Count()))
		e.logRole()
	}
	table, age, stale := e.routes.Current(now)
	if table == nil || stale == e.wasStale {
		return
	}
	e.wasStale = stale
	log := e.log.WithFields(logrus.Fields{"version": table.Version(), "age_ms": age.Milliseconds()})
	if stale {
		log.WithField("serves", e.config.Edge.ServeStale).Warn("configuration_stale")
		return
	}
	log.Info("configuration_confirmed")
}

// configurationRead returns when the operator's table was last read, by this box or another; zero
// for never.
func (e *Edge) configurationRead(now time.Time) time.Time {
	table, age, _ := e.routes.Current(now)
	if table == nil || age >= neverAge {
		return time.Time{}
	}
	return now.Add(-age)
}

// drainAll announces the stop so that callers go elsewhere, and waits for the requests
// in flight.
func (e *Edge) drainAll(ctx context.Context, servers []*http.Server) {
	e.log.WithField("in_flight", e.serving.Load()).Info("draining")
	s := newStop(time.Now(), e.config.StopTime())
	e.stop.Store(s)
	e.draining.Store(true)
	e.members.Leave()
	servers[0].SetKeepAlivesEnabled(false) // of the callers' server
	for time.Now().Before(s.until) && ctx.Err() == nil {
		if e.serving.Load() == 0 && e.tunnels.Count() == 0 && time.Since(s.began) > balancerNotice {
			break
		}
		e.timer.Sleep(ctx, drainPollInterval)
	}
	if n := e.serving.Load(); n > 0 {
		e.log.WithField("in_flight", n).Warn("drain_cut_off")
	}
}
