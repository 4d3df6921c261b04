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

	"petrelstep/gossip"
	"petrelstep/peer/edgerpc"
	"petrelstep/platform/manifest"
	"petrelstep/probe"
	"petrelstep/readpolicy"
	"petrelstep/tablesync"
)

const (
	tickEvery  = 100 * time.Millisecond
	headerTime = 10 * time.Second
	// idleTime lies above every bound on idle connections that callers reckon with.
	idleTime    = 90 * time.Second
	headerBytes = 64 << 10
	drainLook   = 50 * time.Millisecond
	// hearsOthers is how recently a box must have heard another to know what the store
	// does for all.
	hearsOthers = time.Second
	// leaveNotice is how long a stopping box goes on taking requests: the
	// balancer asks once a second and takes a box out after two bad answers.
	leaveNotice = 3 * time.Second
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

// Run serves until Drain is called and all work in flight is done, or until
// ctx ends, which cuts off what is left.
func (e *Edge) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var all sync.WaitGroup
	servers, err := e.open(ctx, &all)
	if err != nil {
		return err
	}
	e.fleet.Subscribe(e.departed(ctx))
	e.start(ctx, &all)
	l := e.config.Listen
	e.log.WithFields(logrus.Fields{"hall": e.config.Hall, "callers": l.Callers, "peers": l.Peers, "admin": l.Admin, "store": e.config.Platform.Address}).Info("started")
	select {
	case <-ctx.Done():
	case <-e.drain:
		e.drainAll(ctx, servers)
	}
	cancel()
	for _, s := range servers {
		_ = s.Close() // what is left is cut off
	}
	e.peers.Close()
	e.store.Close()
	all.Wait()
	e.log.Info("stopped")
	return nil
}

// open opens the box's addresses and serves them.
func (e *Edge) open(ctx context.Context, all *sync.WaitGroup) ([]*http.Server, error) {
	l := e.config.Listen
	handlers := map[string]http.Handler{
		l.Callers: http.HandlerFunc(e.serveCaller), e.config.Edge.Ready: e.readiness(), l.Admin: e.admin(),
	}
	var servers []*http.Server
	var listeners []net.Listener
	for _, address := range []string{l.Callers, e.config.Edge.Ready, l.Admin, l.Peers} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, &ListenError{Address: address, Err: err}
		}
		listeners = append(listeners, listener)
	}
	for _, listener := range listeners[:len(listeners)-1] {
		s := &http.Server{
			Handler: handlers[listener.Addr().String()], ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerBytes,
		}
		servers = append(servers, s)
		all.Go(func() { e.serveHTTP(s, listener) })
	}
	peers := listeners[len(listeners)-1]
	all.Go(func() {
		if err := edgerpc.New(ctx, e, e.turns).Serve(peers); err != nil {
			e.log.WithError(err).Error("peers_not_served")
		}
	})
	return servers, nil
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

// readiness answers the balancer, whatever path it asks for.
func (e *Edge) readiness() http.Handler {
	r := mux.NewRouter()
	r.PathPrefix("/").HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// admin serves the box's own figures.
func (e *Edge) admin() http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", e.metrics.Handler())
	r.HandleFunc("/v1/view", e.serveView).Methods(http.MethodGet)
	r.HandleFunc("/v1/quarantine/{fingerprint}", e.serveRelease).Methods(http.MethodDelete)
	return r
}

// start starts the tasks that are not bound to a caller.
func (e *Edge) start(ctx context.Context, all *sync.WaitGroup) {
	workers := manifest.NewWorkers(e.store, e.fleet, e.names, e.metrics, e.log)
	configuration := tablesync.New("configuration", e.configuration, heard{e.belief.Confirm, e.storeAnswered}, e.reading("configuration", e.belief.Age), e.log)
	all.Go(func() { configuration.Run(ctx) })
	upstreams := tablesync.New("upstreams", workers, heard{e.fleet.Confirm, e.storeAnswered}, e.reading("upstreams", e.fleet.Age), e.log)
	all.Go(func() { upstreams.Run(ctx) })
	all.Go(func() { e.timer.Every(ctx, "tick", tickEvery, e.tick) })
	look := probe.New(e.fleet, e.storeSilent, e.runs, e.upstreams, e.limits, e.rest, e.log)
	all.Go(func() {
		e.timer.Every(ctx, "watch", probe.Period, func(now time.Time) { look.Poll(ctx, now) })
	})
	all.Go(func() { e.join(ctx) })
	all.Go(func() {
		e.timer.Every(ctx, "register", registerEvery, func(time.Time) { e.registrar.write(ctx) })
	})
	all.Go(func() { e.restoreQuarantine(ctx) })
	all.Go(func() { gossip.New(e.members, e.peers, e, e.timer, e.log).Run(ctx) })
}

// heard takes the store's answers on one table.
type heard struct {
	confirm, answered func(at time.Time)
}

// Confirm implements tablesync.Heard.
func (h heard) Confirm(sent time.Time) { h.confirm(sent) }

// Answered implements tablesync.Heard.
func (h heard) Answered(at time.Time) { h.answered(at) }

// storeAnswered notes that the store answered this box or a hub at a time.
func (e *Edge) storeAnswered(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at.After(e.storeHeard) {
		e.storeHeard = at
	}
}

// storeSilent returns for how long the store has answered nobody that this box
// hears of. Before its first answer nothing runs here that could be lost.
func (e *Edge) storeSilent(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.storeHeard.IsZero() {
		return 0
	}
	return now.Sub(e.storeHeard)
}

// silentForAll returns for how long the store has answered no box, as far as this one hears
// others; 0 if it hears none.
func (e *Edge) silentForAll() time.Duration {
	now := time.Now()
	e.mu.Lock()
	hears := now.Sub(e.hubHeard) < hearsOthers
	e.mu.Unlock()
	if !hears && e.tally.RecentBoxes(now, hearsOthers) == 0 {
		return 0
	}
	return e.storeSilent(now)
}

// tick lets what is known age.
func (e *Edge) tick(now time.Time) {
	e.fleet.Tick(now)
	e.quarantine.Tick(now)
	e.limiter.tick(now)
	e.rest.Tick(now)
	if e.joined.Load() {
		e.budget.Resize(e.slack(e.Count()))
		e.noteRole()
	}
	table, age, stale := e.belief.Current(now)
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

// reading decides when this box reads a table whose knowledge has an age.
func (e *Edge) reading(table string, age func(now time.Time) (time.Duration, bool)) tablesync.Need {
	return &reads{Policy: readpolicy.New(e, age, e.config.Edge.ColdStart, e.random), table: table, edge: e, age: age}
}

// reads logs and counts why a table is read.
type reads struct {
	*readpolicy.Policy
	table string
	edge  *Edge
	age   func(now time.Time) (time.Duration, bool)
	last  readpolicy.Reason
}

// Needed implements tablesync.Need.
func (r *reads) Needed(now time.Time) bool {
	reason := r.Reason(now)
	if reason != r.last && reason != readpolicy.None {
		age, known := r.age(now)
		r.edge.metrics.StoreRead(r.table, string(reason))
		r.edge.log.WithFields(logrus.Fields{
			"table": r.table, "reason": reason, "known": known, "age_ms": min(age, neverAge).Milliseconds(), "nearest": r.edge.members.PrimaryHub(now).Name,
		}).Info("store_read")
	}
	r.last = reason
	return reason != readpolicy.None
}

// drainAll is the planned stop: callers are sent elsewhere, and all in flight
// is waited for.
func (e *Edge) drainAll(ctx context.Context, servers []*http.Server) {
	e.log.WithField("in_flight", e.serving.Load()).Info("draining")
	s := newStop(time.Now(), e.config.StopTime())
	e.stop.Store(s)
	e.draining.Store(true)
	e.members.Leave()
	servers[0].SetKeepAlivesEnabled(false) // the callers'
	for time.Now().Before(s.until) && ctx.Err() == nil {
		if e.serving.Load() == 0 && time.Since(s.began) > leaveNotice {
			break
		}
		e.timer.Sleep(ctx, drainLook)
	}
	if n := e.serving.Load(); n > 0 {
		e.log.WithField("in_flight", n).Warn("drain_cut_off")
	}
}
