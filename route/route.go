// Package route holds the configuration by which requests are routed.
package route

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Share is the share of a route's traffic that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Route describes where requests are sent and how they are handled.
type Route struct {
	Name       string
	Host       string
	Prefix     string // of the path; begins and ends with a slash
	Streams    bool   // answers are streams of events
	Repeatable bool   // a request may run more than once
	Resumable  bool   // a stream may continue at another upstream after any event
	Attempts   int    // maximum number of upstreams that one request is sent to
	Timeout    time.Duration
	Aim        time.Duration // target time to the first event or the whole answer
	Gap        time.Duration // target for the longest pause within a stream
	Patience   time.Duration // pause after which callers abandon a stream, also before its first event
	Priority   int           // 0 is the highest
	Public     bool          // needs no key
	Regions    []string      // the only regions where requests are served; empty for all
	Split      []Share
}

// Idempotent reports whether a request may run more than once.
func (r Route) Idempotent() bool { return r.Repeatable || r.Resumable }

// Within returns the regions where a request may be served, given the regions of its
// route and of its organisation; empty for all. It reports false if no region is
// allowed by both.
func Within(route, organisation []string) (regions []string, ok bool) {
	if len(route) == 0 || len(organisation) == 0 {
		return append(slices.Clone(route), organisation...), true
	}
	for _, r := range route {
		if slices.Contains(organisation, r) {
			regions = append(regions, r)
		}
	}
	return regions, len(regions) > 0
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots       int
	Memory      int  // tokens
	Moves       bool // the memory of runs can be moved to another engine
	EventTokens int  // per event of a stream
}

// Service is a set of equivalent upstreams.
type Service struct {
	Name   string
	Engine *Engine // nil for a plain service

	ColdFor       time.Duration // how long an upstream is cold after its start
	ColdPerSecond float64       // maximum request rate of a cold upstream; 0 for no limit
}

// Organisation is a customer that sends requests.
type Organisation struct {
	Name     string
	Keys     []string
	Priority *int     // overrides the route's priority if set
	Regions  []string // the only regions where its requests are served; empty for all
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// LeadsTo reports whether requests of the route may go to a service.
func (r Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	version       int
	hosts         map[string][]Route // longest prefix first
	services      map[string]Service
	organisations map[string]Organisation // by key
	limits        Limits
}

// New returns a table.
func New(version int, routes []Route, services []Service, organisations []Organisation, limits Limits) *Table {
	t := &Table{
		version: version, hosts: map[string][]Route{}, services: map[string]Service{},
		organisations: map[string]Organisation{}, limits: limits,
	}
	for _, r := range routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, o := range organisations {
		for _, k := range o.Keys {
			t.organisations[k] = o
		}
	}
	return t
}

// Version returns the version, which rises with each change.
func (t *Table) Version() int { return t.version }

// Limits returns the bounds on callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns a service by its name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// ColdFor returns the longest ColdFor of all services.
func (t *Table) ColdFor() time.Duration {
	longest := time.Duration(0)
	for _, s := range t.services {
		longest = max(longest, s.ColdFor)
	}
	return longest
}

// Engines returns the names of the services with model engines, sorted.
func (t *Table) Engines() []string {
	var names []string
	for name, s := range t.services {
		if s.Engine != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Organisation returns the organisation that holds a key.
func (t *Table) Organisation(key string) (Organisation, bool) {
	o, ok := t.organisations[key]
	return o, ok
}

// KeysAllowed returns the number of keys whose organisations may use a region.
func (t *Table) KeysAllowed(region string) int {
	n := 0
	for _, o := range t.organisations {
		if len(o.Regions) == 0 || slices.Contains(o.Regions, region) {
			n++
		}
	}
	return n
}

// Keyed reports whether any organisation is configured, so that requests need a key.
func (t *Table) Keyed() bool { return len(t.organisations) > 0 }
