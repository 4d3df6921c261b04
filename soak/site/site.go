// Package site runs a complete installation on loopback for the soak: the store and
// the workers are stand-ins, the boxes are processes of the real daemon, and each
// link between them goes through a fault proxy.
package site

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"petrelstep/soak/checker"
	"petrelstep/standin/faultproxy"
	"petrelstep/standin/platform"
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
	// regionDelay is the delay between regions, one way, while a site runs.
	regionDelay = 15 * time.Millisecond
	siteLife    = 24 * time.Hour
	versionStep = 2 // between versions of the manifest
	// PoisonBody is the body of the request that crashes every worker that runs it.
	PoisonBody = "each worker ends that runs this"
)

var (
	halls   = []string{"leith", "gorgie", "sighthill", "musselburgh"}
	regions = map[string]string{"leith": "west", "gorgie": "west", "sighthill": "east", "musselburgh": "east"}
)

// Options configure a site.
type Options struct {
	Daemon  string // path of the daemon's binary
	Dir     string // holds settings and logs
	Boxes   int
	Engines int
	Plain   int // workers of the plain service

	PlainSlots int // of each of them; 0 for the stand-in's usual number

	MemoryMB    int // of each box; 0 for the default of the settings
	Descriptors int // of each box; 0 for the default of the settings
	Limits      platform.Limits

	// Releases makes workers that stream be of two releases by turns, which their events name.
	Releases bool

	// Rollouts enables roll-outs, and puts the halls in two regions, of which one
	// organisation may use the first only.
	Rollouts bool
}

// Site is a running installation. It is safe for use by several goroutines.
type Site struct {
	Platform *platform.Platform
	Boxes    []*Box

	mu          sync.Mutex
	workers     map[string]*Worker // live workers by id
	current     []*Worker          // latest incarnation of each id, oldest id first
	past        []*Worker          // earlier incarnations
	version     int
	keys        map[string]string    // organisation by key
	lastRevoked map[string]string    // key revoked last, by organisation
	revoked     map[string]time.Time // revocation time by key
	nextID      int

	storeThere sync.RWMutex // held for writing while the store is away

	added   map[string]int // configuration that added a key
	dropped map[string]int // configuration that dropped a key
	changes []checker.Change

	lastPoisonCrash time.Time
	plainSlots      int
	limits          platform.Limits
	mixed           bool // see Options.Releases

	regionsOf map[string][]string // allowed regions, by organisation
	releases  map[string]string   // version in service, by service; "" until the first roll-out
	retired   map[string]bool     // service and version that get no new workers
	mended    map[string]bool     // service and version whose workers misbehave no longer
	rollouts  []checker.Rollout
}

// New starts a site; Close ends it.
func New(o Options) (*Site, error) {
	s := &Site{
		Platform: platform.New(platform.Options{}), workers: map[string]*Worker{}, keys: map[string]string{}, lastRevoked: map[string]string{},
		plainSlots: o.PlainSlots, limits: o.Limits, mixed: o.Releases, revoked: map[string]time.Time{}, releases: map[string]string{}, retired: map[string]bool{}, mended: map[string]bool{},
		added: map[string]int{}, dropped: map[string]int{},
	}
	if o.Rollouts {
		s.regionsOf = map[string][]string{"firm": {regions[halls[0]]}}
	}
	for i, organisation := range []string{"council", "firm"} {
		s.keys[fmt.Sprint("key", i)] = organisation
		s.added[fmt.Sprint("key", i)] = versionStep
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
		b, err := newBox(o, fmt.Sprint("box", i+1), halls[i%len(halls)], s.Platform)
		if err != nil {
			return s, err
		}
		if o.Rollouts && b.Far() {
			b.Store.Delay(faultproxy.Both, regionDelay, siteLife)
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

// Mixed reports whether workers that stream are of two releases.
func (s *Site) Mixed() bool { return s.mixed }

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
	s.confirm(checker.Change{Version: s.declare()})
}

// declare writes the next version of the manifest, and returns it.
func (s *Site) declare() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += versionStep
	keys := map[string][]string{}
	for key, organisation := range s.keys {
		keys[organisation] = append(keys[organisation], key)
	}
	s.Platform.Declare(platform.Manifest{
		Version: s.version, Keys: keys, Regions: s.regionsOf, Limits: s.limits,
		Routes: []platform.Route{
			route(checker.Draft, "llm", 1), route(checker.Check, "llm", 2), route(checker.Once, "plain", 2), route(checker.Lookup, "plain", 2),
		},
	})
	return s.version
}

// SetLimits publishes a manifest with other limits for callers.
func (s *Site) SetLimits(l platform.Limits) {
	s.mu.Lock()
	s.limits = l
	s.mu.Unlock()
	s.writeManifest()
}

// Revoke replaces an organisation's key by a new one.
func (s *Site) Revoke(organisation string) {
	s.storeThere.RLock()
	defer s.storeThere.RUnlock()
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
	key := fmt.Sprint("key-", s.nextID)
	s.keys[key] = organisation
	s.added[key], s.dropped[revoked] = s.version+versionStep, s.version+versionStep
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

// LastPoisonCrash returns when a poison request last crashed a worker.
func (s *Site) LastPoisonCrash() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastPoisonCrash
}

// AllowedRegions returns the regions that organisations are restricted to.
func (s *Site) AllowedRegions() map[string][]string { return s.regionsOf }

// Halls returns the names of all halls.
func Halls() []string { return halls }

// Executions returns all requests that workers have executed.
func (s *Site) Executions() []checker.Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	var executions []checker.Execution
	for _, w := range slices.Concat(s.past, s.current) {
		for _, r := range w.Runs() {
			executions = append(executions, checker.Execution{Worker: w.ID, Incarnation: w.StartedAt(), Hall: w.Hall, Region: regions[w.Hall], Run: r})
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
			arrivals = append(arrivals, checker.Arrival{Worker: w.ID, Incarnation: w.StartedAt(), Service: w.Service, Version: w.Version, Arrival: a})
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
