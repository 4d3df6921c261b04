// Package site runs a complete installation on loopback for the soak: the store and
// the workers are stand-ins, the boxes are processes of the real daemon, and each
// link between them goes through a fault proxy.
package site

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"petrelstep/soak/checker"
	"petrelstep/standin/faultproxy"
	"petrelstep/standin/platform"
	"petrelstep/standin/worker"
)

// Parameters of the workers and the site.
const (
	// Events is the number of events in each stream.
	Events = 60
	// pace is the interval between events: a stream takes 1.2 s.
	pace = 20 * time.Millisecond
	// Notice is how long a leaving worker continues to serve.
	Notice = 1700 * time.Millisecond
	// KeyAge bounds how long a key is accepted after its revocation.
	KeyAge = 5 * time.Second
	host   = "site.example"
	// PoisonBody is the body of the request that crashes every worker that runs it.
	PoisonBody = "each worker ends that runs this"
)

var halls = []string{"leith", "gorgie", "sighthill", "musselburgh"}

// Options configure a site.
type Options struct {
	Daemon  string // path of the daemon's binary
	Dir     string // holds settings and logs
	Boxes   int
	Engines int
	Plain   int // workers of the plain service
}

// Worker is one incarnation of a stand-in worker, behind its link.
type Worker struct {
	*worker.Worker
	ID      string
	Service string
	Hall    string
	Link    *faultproxy.Proxy
	server  *http.Server
	endOnce sync.Once // ended by a fault, or by a poison request

	mu         sync.Mutex
	linkBroken []checker.Span
}

// WhileBroken calls do, which breaks the worker's link, and records the time it takes.
func (w *Worker) WhileBroken(do func()) {
	from := time.Now()
	do()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.linkBroken = append(w.linkBroken, checker.Span{From: from, Until: time.Now()})
}

// Site is a running installation. It is safe for use by several goroutines.
type Site struct {
	Platform *platform.Platform
	Boxes    []*Box

	store *http.Server

	mu          sync.Mutex
	workers     map[string]*Worker // live workers by id
	current     []*Worker          // latest incarnation of each id, oldest id first
	past        []*Worker          // earlier incarnations
	version     int
	keys        map[string]string    // organisation by key
	lastRevoked map[string]string    // key revoked last, by organisation
	revoked     map[string]time.Time // revocation time by key
	nextID      int

	lastPoisonCrash time.Time
}

// New starts a site; Close ends it.
func New(o Options) (*Site, error) {
	s := &Site{
		Platform: platform.New(platform.Options{}), workers: map[string]*Worker{}, keys: map[string]string{}, lastRevoked: map[string]string{},
		revoked: map[string]time.Time{},
	}
	address, server, err := serve(s.Platform.Handler())
	if err != nil {
		return nil, err
	}
	s.store = server
	for i, organisation := range []string{"council", "firm"} {
		s.keys[fmt.Sprint("key", i)] = organisation
	}
	s.writeManifest()
	for range o.Engines {
		if err := s.Join("llm"); err != nil {
			return s, err
		}
	}
	for range o.Plain {
		if err := s.Join("plain"); err != nil {
			return s, err
		}
	}
	for i := range o.Boxes {
		b, err := newBox(o, fmt.Sprint("box", i+1), halls[i%len(halls)], address)
		if err != nil {
			return s, err
		}
		s.Boxes = append(s.Boxes, b)
	}
	for _, b := range s.Boxes {
		if err := b.Start(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// Close ends all processes and servers of the site.
func (s *Site) Close() {
	for _, b := range s.Boxes {
		b.close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		w.end()
	}
	_ = s.store.Close()
}

func serve(h http.Handler) (address string, server *http.Server, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server = &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }() // ends with Close
	return listener.Addr().String(), server, nil
}

// prefix returns the path prefix of a kind; the stand-in worker streams below /stream/.
func prefix(kind checker.Kind) string {
	if kind.Streams() {
		return "stream/" + string(kind)
	}
	return string(kind)
}

func route(kind checker.Kind, service string, attempts int) platform.Route {
	return platform.Route{
		Name: string(kind), Host: host, Prefix: "/" + prefix(kind) + "/", Service: service, Attempts: attempts,
		Streams: kind.Streams(), Repeatable: kind.Repeatable(),
	}
}

// writeManifest publishes the next version of the manifest.
func (s *Site) writeManifest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 2
	keys := map[string][]string{}
	for key, organisation := range s.keys {
		keys[organisation] = append(keys[organisation], key)
	}
	s.Platform.Declare(platform.Manifest{
		Version: s.version, Keys: keys,
		Routes: []platform.Route{
			route(checker.Draft, "llm", 1), route(checker.Check, "llm", 2), route(checker.Once, "plain", 2), route(checker.Lookup, "plain", 2),
		},
	})
}

// Revoke replaces an organisation's key by a new one.
func (s *Site) Revoke(organisation string) {
	s.mu.Lock()
	s.nextID++
	var revoked string
	for key, of := range s.keys {
		if of == organisation {
			revoked = key
		}
	}
	delete(s.keys, revoked)
	s.lastRevoked[organisation] = revoked
	s.keys[fmt.Sprint("key-", s.nextID)] = organisation
	s.mu.Unlock()
	s.writeManifest()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked[revoked] = time.Now() // counted from the write to the store
}

// Key returns an organisation's valid key.
func (s *Site) Key(organisation string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, of := range s.keys {
		if of == organisation {
			return key
		}
	}
	return ""
}

// OldKey returns the organisation's last revoked key, or "" if there is none.
func (s *Site) OldKey(organisation string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRevoked[organisation]
}

// Revoked returns when a key was revoked, or the zero time if it is valid.
func (s *Site) Revoked(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revoked[key]
}

// Join starts and announces a new worker of a service.
func (s *Site) Join(service string) error {
	s.mu.Lock()
	s.nextID++
	w := &Worker{ID: fmt.Sprint(service, "-", s.nextID), Service: service, Hall: halls[s.nextID%len(halls)]}
	s.mu.Unlock()
	if err := w.start(); err != nil {
		return err
	}
	s.mu.Lock()
	s.workers[w.ID] = w
	s.current = append(s.current, w)
	s.mu.Unlock()
	s.crashOnPoison(w)
	s.announce(w, false)
	return nil
}

// LastPoisonCrash returns when a poison request last crashed a worker.
func (s *Site) LastPoisonCrash() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastPoisonCrash
}

// crashOnPoison makes a worker crash when it runs a poison request.
func (s *Site) crashOnPoison(w *Worker) {
	w.CrashOn(PoisonBody, func() {
		s.mu.Lock()
		s.lastPoisonCrash = time.Now()
		s.mu.Unlock()
		if s.isLive(w) {
			go func() { _ = s.Crash(w) }() // if the replacement fails to start, requests go unserved and the run fails
		}
		w.end()
	})
}

// start opens a worker's address and its link.
func (w *Worker) start() error {
	w.Worker = worker.New(w.ID, Events, pace)
	address, server, err := serve(w.Handler())
	if err != nil {
		return err
	}
	w.server = server
	w.Link, err = faultproxy.New(address)
	return err
}

func (s *Site) announce(w *Worker, leaving bool) {
	s.Platform.Announce(platform.Worker{
		ID: w.ID, Service: w.Service, Address: w.Link.Address(), Hall: w.Hall, Leaving: leaving, StartedAt: w.StartedAt(),
	})
}

// Restart ends a worker without announcement and starts it again under the same id. With
// silent, its open connections stall instead of being closed.
func (s *Site) Restart(w *Worker, silent bool) error {
	next := &Worker{ID: w.ID, Service: w.Service, Hall: w.Hall}
	if err := next.start(); err != nil {
		return err
	}
	s.mu.Lock()
	index := slices.Index(s.current, w)
	live := index >= 0 && s.workers[w.ID] == w
	if live {
		s.workers[w.ID], s.current[index] = next, next
		s.past = append(s.past, w)
	}
	s.mu.Unlock()
	if !live { // removed in the meantime
		next.end()
		return nil
	}
	s.crashOnPoison(next)
	if silent {
		w.Link.Mute()
	}
	_ = w.server.Close()
	s.announce(next, false)
	if silent {
		time.Sleep(Notice)
	}
	w.end()
	return nil
}

// CorruptRows puts invalid rows among those of the workers for a while, one of them over a
// live worker's own.
func (s *Site) CorruptRows(w *Worker, duration time.Duration) {
	rows := map[string]string{
		"foreign-1": "\xff\x00", "foreign-2": `{"service":7}`, "foreign-3": `{"service":"llm","address":"nowhere","zone":"leith","slots":-1,"state":"ready"}`,
		"foreign-4": `{"service":"llm","address":"127.0.0.1:9","zone":"leith","slots":4,"state":"resting"}`, w.ID: "{",
	}
	for id, value := range rows {
		s.Platform.PutRow(id, []byte(value))
	}
	time.Sleep(duration)
	for id := range rows {
		if id != w.ID {
			s.Platform.Withdraw(id)
		}
	}
	if s.isLive(w) {
		s.announce(w, false)
	}
}

// isLive reports whether w is the current incarnation of its worker and isn't leaving.
func (s *Site) isLive(w *Worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[w.ID] == w
}

// DropRow removes a live worker's row for a while, as if the worker had lost its
// connection to the store.
func (s *Site) DropRow(w *Worker, duration time.Duration) {
	s.Platform.Withdraw(w.ID)
	time.Sleep(duration)
	if s.isLive(w) {
		s.announce(w, false)
	}
}

// Halls returns the names of all halls.
func Halls() []string { return halls }

// Live returns the live workers of a service, oldest first.
func (s *Site) Live(service string) []*Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*Worker
	for _, w := range s.current {
		if w.Service == service && s.workers[w.ID] == w {
			list = append(list, w)
		}
	}
	return list
}

// Pick returns the live worker of a service at index n, modulo their number; nil if there
// is none.
func (s *Site) Pick(service string, n int) *Worker {
	list := s.Live(service)
	if len(list) == 0 {
		return nil
	}
	return list[n%len(list)]
}

// Leave starts a replacement, then ends a worker after its notice. A worker that doesn't
// announce that it is leaving only loses its row.
func (s *Site) Leave(w *Worker, announced bool) error {
	if err := s.Join(w.Service); err != nil {
		return err
	}
	s.mu.Lock()
	delete(s.workers, w.ID)
	s.mu.Unlock()
	if announced {
		w.Worker.Leave()
		s.announce(w, true)
	} else {
		s.Platform.Withdraw(w.ID)
	}
	time.Sleep(Notice)
	s.Platform.Withdraw(w.ID)
	w.end()
	return nil
}

// LeaveInResponses starts a replacement, then ends a worker that announces its leaving in its
// responses only.
func (s *Site) LeaveInResponses(w *Worker, notice time.Duration) error {
	if err := s.Join(w.Service); err != nil {
		return err
	}
	s.mu.Lock()
	delete(s.workers, w.ID)
	s.mu.Unlock()
	w.AnnounceLeaving()
	time.Sleep(notice)
	s.Platform.Withdraw(w.ID)
	w.end()
	return nil
}

// Crash ends a worker without announcement and starts a replacement; the row is removed
// some heartbeats later.
func (s *Site) Crash(w *Worker) error {
	s.mu.Lock()
	delete(s.workers, w.ID)
	s.mu.Unlock()
	w.end()
	if err := s.Join(w.Service); err != nil {
		return err
	}
	time.Sleep(Notice)
	s.Platform.Withdraw(w.ID)
	return nil
}

func (w *Worker) end() {
	w.endOnce.Do(func() {
		_ = w.server.Close()
		w.Link.Close()
	})
}

// Executions returns all requests that workers have executed.
func (s *Site) Executions() []checker.Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	var executions []checker.Execution
	for _, w := range slices.Concat(s.past, s.current) {
		for _, r := range w.Runs() {
			executions = append(executions, checker.Execution{Worker: w.ID, Incarnation: w.StartedAt(), Hall: w.Hall, Run: r})
		}
	}
	return executions
}

// Arrivals returns all requests that reached workers, and when each worker's link was
// broken.
func (s *Site) Arrivals() (arrivals []checker.Arrival, broken map[string][]checker.Span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	broken = map[string][]checker.Span{}
	for _, w := range slices.Concat(s.past, s.current) {
		for _, a := range w.Arrivals() {
			arrivals = append(arrivals, checker.Arrival{Worker: w.ID, Incarnation: w.StartedAt(), Arrival: a})
		}
		w.mu.Lock()
		broken[w.ID] = append(broken[w.ID], w.linkBroken...)
		w.mu.Unlock()
	}
	return arrivals, broken
}

// Disruptions returns the spans in which each box's process was down, stopping or paused.
func (s *Site) Disruptions() map[string][]checker.Span {
	spans := map[string][]checker.Span{}
	for _, b := range s.Boxes {
		spans[b.Name] = b.Disruptions()
	}
	return spans
}

// Target returns the path of the nth target of a kind.
func Target(kind checker.Kind, n int) string { return fmt.Sprintf("/%s/%d", prefix(kind), n) }

// Host returns the host name of all routes.
func Host() string { return host }

// settings writes a box's settings file and returns its path.
func settings(dir string, b *Box) (string, error) {
	text := fmt.Sprintf(`{"box":%q,"hall":%q,"listen":{"callers":%q,"admin":%q,"peers":%q},"platform":{"address":%q},"drain_ms":8000,
"edge":{"ready":%q,"key_age_ms":%d,"leave_ms":2000,"balance":["shares","places","buffers"]}}`,
		b.Name, b.hall, b.ports[0], b.ports[1], b.ports[2], b.Store.Address(), b.ports[3], KeyAge.Milliseconds())
	file := filepath.Join(dir, b.Name+".json")
	return file, os.WriteFile(file, []byte(text), 0o644)
}
