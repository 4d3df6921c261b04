// Package route holds the configuration by which requests are routed.
package route

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Share is one service's part of a route's traffic.
type Share struct {
	Service string
	Weight  int
}

// Route tells where requests go and what may be done with them.
type Route struct {
	Name       string
	Host       string
	Prefix     string // of the path; begins and ends with a slash
	Streams    bool   // answers are streams of events
	Repeatable bool   // a request may run more than once
	Resumable  bool   // a stream may go on at another upstream after an event
	Attempts   int    // upstreams that one request may be sent to
	Timeout    time.Duration
	Aim        time.Duration // for the first event or the whole answer
	Gap        time.Duration // longest pause of a stream in time
	Patience   time.Duration // callers leave a stream after so long a pause, also before its first event
	Priority   int           // 0 goes first
	Public     bool          // needs no key
	Regions    []string      // requests are served nowhere else; none for anywhere
	Split      []Share
}

// Idempotent tells whether a request may run more than once.
func (r Route) Idempotent() bool { return r.Repeatable || r.Resumable }

// Within returns the regions where a request is served that both its route and its
// organisation may confine: none for anywhere. It reports false if there is none
// that both allow.
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

// Engine is what a service's model engines offer.
type Engine struct {
	Slots       int
	Memory      int  // tokens
	Moves       bool // memory of runs can be moved
	EventTokens int  // in one event of a stream
}

// Service is a set of like upstreams.
type Service struct {
	Name   string
	Engine *Engine // nil for a plain service

	ColdFor       time.Duration // an upstream is cold for so long after its start
	ColdPerSecond float64       // requests that a cold upstream bears; 0 for any
}

// Organisation is one that sends requests.
type Organisation struct {
	Name     string
	Keys     []string
	Priority *int     // goes before the route's
	Regions  []string // its requests are served nowhere else; none for anywhere
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
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

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route of a request: of its host's, the one with the
// longest prefix of the path.
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

// ColdFor returns the longest that an upstream of any service is cold after its start.
func (t *Table) ColdFor() time.Duration {
	longest := time.Duration(0)
	for _, s := range t.services {
		longest = max(longest, s.ColdFor)
	}
	return longest
}

// Engines returns the names of the services that engines answer.
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

// Keyed tells whether any organisation is declared: then requests carry keys.
func (t *Table) Keyed() bool { return len(t.organisations) > 0 }
