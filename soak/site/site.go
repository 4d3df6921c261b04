// Package site is a whole installation on loopback for the soak: the store and
// the workers are stand-ins, the boxes are processes of the real daemon, and
// each link between them can be broken.
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

// Figures of the workers.
const (
	// Events are in each stream.
	Events = 60
	// pace of events: a stream takes 1.2 s.
	pace = 20 * time.Millisecond
	// Notice is how long a worker that leaves serves on.
	Notice = 1700 * time.Millisecond
	// KeyAge bounds how long a key is served after it was taken away.
	KeyAge = 5 * time.Second
	host   = "site.example"
	// PoisonBody is the body of the request under which each worker ends that runs it.
	PoisonBody = "each worker ends that runs this"
)

var halls = []string{"leith", "gorgie", "sighthill", "musselburgh"}

// Options set up a site.
type Options struct {
	Daemon  string // program of the boxes
	Dir     string // for settings and logs
	Boxes   int
	Engines int
	Plain   int // workers of the plain service
}

// Worker is one lifetime of a stand-in worker, behind its link.
type Worker struct {
	*worker.Worker
	ID      string
	Service string
	Hall    string
	Link    *faultproxy.Proxy
	server  *http.Server
	ended   sync.Once // by a strike, or by what it runs

	mu     sync.Mutex
	broken []checker.Span // when its link was
}

// WhileBroken breaks the worker's link, and notes that for as long as it takes.
func (w *Worker) WhileBroken(do func()) {
	from := time.Now()
	do()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, checker.Span{From: from, Until: time.Now()})
}

// Site is safe for use by several goroutines.
type Site struct {
	Platform *platform.Platform
	Boxes    []*Box

	store *http.Server

	mu      sync.Mutex
	workers map[string]*Worker // those that live
	all     []*Worker          // of each id the last
	past    []*Worker          // incarnations before
	version int
	keys    map[string]string    // organisation by key
	old     map[string]string    // key taken away last, by organisation
	revoked map[string]time.Time // when a key was taken away
	born    int

	endedUnder time.Time // when a worker last ended under a request
}

// New starts a site; Close ends it.
func New(o Options) (*Site, error) {
	s := &Site{
		Platform: platform.New(platform.Options{}), workers: map[string]*Worker{}, keys: map[string]string{}, old: map[string]string{},
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
	s.declare()
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

// Close ends all processes and servers that the site has started.
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

// prefix of a kind's paths; the stand-in worker streams below /stream/.
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

// declare writes the next version of the manifest.
func (s *Site) declare() {
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

// Revoke takes an organisation's key away and gives it another.
func (s *Site) Revoke(organisation string) {
	s.mu.Lock()
	s.born++
	var gone string
	for key, of := range s.keys {
		if of == organisation {
			gone = key
		}
	}
	delete(s.keys, gone)
	s.old[organisation] = gone
	s.keys[fmt.Sprint("key-", s.born)] = organisation
	s.mu.Unlock()
	s.declare()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked[gone] = time.Now() // counted from when the store has it
}

// Key returns an organisation's key in force.
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

// OldKey returns the key of an organisation that was taken away last; empty if
// none was.
func (s *Site) OldKey(organisation string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.old[organisation]
}

// Revoked returns when a key was taken away; zero if it was not.
func (s *Site) Revoked(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revoked[key]
}

// Join starts a new worker of a service.
func (s *Site) Join(service string) error {
	s.mu.Lock()
	s.born++
	w := &Worker{ID: fmt.Sprint(service, "-", s.born), Service: service, Hall: halls[s.born%len(halls)]}
	s.mu.Unlock()
	if err := w.start(); err != nil {
		return err
	}
	s.mu.Lock()
	s.workers[w.ID] = w
	s.all = append(s.all, w)
	s.mu.Unlock()
	s.endsOn(w)
	s.say(w, false)
	return nil
}

// LastPoisonCrash returns when a worker last ended under a request.
func (s *Site) LastPoisonCrash() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endedUnder
}

// endsOn lets a worker crash that runs the request for which it does.
func (s *Site) endsOn(w *Worker) {
	w.CrashOn(PoisonBody, func() {
		s.mu.Lock()
		s.endedUnder = time.Now()
		s.mu.Unlock()
		if s.lives(w) {
			go func() { _ = s.Crash(w) }() // a worker that cannot be replaced shows as requests that are not served
		}
		w.end()
	})
}

// start opens a worker's address, behind its link.
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

func (s *Site) say(w *Worker, leaving bool) {
	s.Platform.Announce(platform.Worker{
		ID: w.ID, Service: w.Service, Address: w.Link.Address(), Hall: w.Hall, Leaving: leaving, StartedAt: w.StartedAt(),
	})
}

// Restart ends a worker without a word, behind a link that is silent or not, and
// starts it again under its id.
func (s *Site) Restart(w *Worker, silent bool) error {
	fresh := &Worker{ID: w.ID, Service: w.Service, Hall: w.Hall}
	if err := fresh.start(); err != nil {
		return err
	}
	s.mu.Lock()
	at := slices.Index(s.all, w)
	lives := at >= 0 && s.workers[w.ID] == w
	if lives {
		s.workers[w.ID], s.all[at] = fresh, fresh
		s.past = append(s.past, w)
	}
	s.mu.Unlock()
	if !lives { // it was taken away meanwhile
		fresh.end()
		return nil
	}
	s.endsOn(fresh)
	if silent {
		w.Link.Mute()
	}
	_ = w.server.Close()
	s.say(fresh, false)
	if silent {
		time.Sleep(Notice)
	}
	w.end()
	return nil
}

// CorruptRows lets another writer put entries among those of workers for a while, one of
// them over a live worker's own.
func (s *Site) CorruptRows(w *Worker, last time.Duration) {
	rows := map[string]string{
		"foreign-1": "\xff\x00", "foreign-2": `{"service":7}`, "foreign-3": `{"service":"llm","address":"nowhere","zone":"leith","slots":-1,"state":"ready"}`,
		"foreign-4": `{"service":"llm","address":"127.0.0.1:9","zone":"leith","slots":4,"state":"resting"}`, w.ID: "{",
	}
	for id, value := range rows {
		s.Platform.PutRow(id, []byte(value))
	}
	time.Sleep(last)
	for id := range rows {
		if id != w.ID {
			s.Platform.Withdraw(id)
		}
	}
	if s.lives(w) {
		s.say(w, false)
	}
}

// lives tells whether a worker's incarnation serves, and does not leave.
func (s *Site) lives(w *Worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[w.ID] == w
}

// DropRow lets a live worker's row go for a while, as one that is cut off from the
// store loses it.
func (s *Site) DropRow(w *Worker, last time.Duration) {
	s.Platform.Withdraw(w.ID)
	time.Sleep(last)
	if s.lives(w) {
		s.say(w, false)
	}
}

// Halls returns the names of all halls.
func Halls() []string { return halls }

// Live returns the live workers of a service, the oldest first.
func (s *Site) Live(service string) []*Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*Worker
	for _, w := range s.all {
		if w.Service == service && s.workers[w.ID] == w {
			list = append(list, w)
		}
	}
	return list
}

// Pick returns a live worker of a service, by a number; nil if there is none.
func (s *Site) Pick(service string, n int) *Worker {
	list := s.Live(service)
	if len(list) == 0 {
		return nil
	}
	return list[n%len(list)]
}

// Leave takes a worker away after its notice, once another has joined. One that
// says nothing only loses its row.
func (s *Site) Leave(w *Worker, says bool) error {
	if err := s.Join(w.Service); err != nil {
		return err
	}
	s.mu.Lock()
	delete(s.workers, w.ID)
	s.mu.Unlock()
	if says {
		w.Worker.Leave()
		s.say(w, true)
	} else {
		s.Platform.Withdraw(w.ID)
	}
	time.Sleep(Notice)
	s.Platform.Withdraw(w.ID)
	w.end()
	return nil
}

// LeaveByAnswers takes a worker away that says so in its answers only, once another has
// joined.
func (s *Site) LeaveByAnswers(w *Worker, notice time.Duration) error {
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

// Crash ends a worker without a word; its row goes some heartbeats later.
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
	w.ended.Do(func() {
		_ = w.server.Close()
		w.Link.Close()
	})
}

// Executions returns all that workers ran.
func (s *Site) Executions() []checker.Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ran []checker.Execution
	for _, w := range slices.Concat(s.past, s.all) {
		for _, r := range w.Runs() {
			ran = append(ran, checker.Execution{Worker: w.ID, Incarnation: w.StartedAt(), Hall: w.Hall, Run: r})
		}
	}
	return ran
}

// Arrivals returns all requests that reached workers, and when the workers' links were
// broken.
func (s *Site) Arrivals() (arrived []checker.Arrival, broken map[string][]checker.Span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	broken = map[string][]checker.Span{}
	for _, w := range slices.Concat(s.past, s.all) {
		for _, a := range w.Arrivals() {
			arrived = append(arrived, checker.Arrival{Worker: w.ID, Incarnation: w.StartedAt(), Arrival: a})
		}
		w.mu.Lock()
		broken[w.ID] = append(broken[w.ID], w.broken...)
		w.mu.Unlock()
	}
	return arrived, broken
}

// Disruptions returns when each box's process was ended, stopped or held.
func (s *Site) Disruptions() map[string][]checker.Span {
	struck := map[string][]checker.Span{}
	for _, b := range s.Boxes {
		struck[b.Name] = b.Disruptions()
	}
	return struck
}

// Target returns a request's path by its kind and a number.
func Target(kind checker.Kind, n int) string { return fmt.Sprintf("/%s/%d", prefix(kind), n) }

// Host is that of all routes.
func Host() string { return host }

// settings writes a box's settings file and returns its path.
func settings(dir string, b *Box) (string, error) {
	text := fmt.Sprintf(`{"box":%q,"hall":%q,"listen":{"callers":%q,"admin":%q,"peers":%q},"platform":{"address":%q},"drain_ms":8000,
"edge":{"ready":%q,"key_age_ms":%d,"leave_ms":2000,"balance":["shares","places","buffers"]}}`,
		b.Name, b.hall, b.ports[0], b.ports[1], b.ports[2], b.Store.Address(), b.ports[3], KeyAge.Milliseconds())
	file := filepath.Join(dir, b.Name+".json")
	return file, os.WriteFile(file, []byte(text), 0o644)
}
