// Package arrivals counts the requests that a box has recently sent, by service and route, so
// that the rate of a service is known when a roll-out of it begins.
package arrivals

import (
	"sync"
	"time"
)

const (
	// Window is the time over which requests are counted.
	Window = 10 * time.Second
	// slots is the number of parts of the window.
	slots = 10
	// maxRoutes bounds the routes that are counted.
	maxRoutes = 4096
)

// Arrivals is safe for concurrent use.
type Arrivals struct {
	mu     sync.Mutex
	counts map[key]*counter
}

type key struct{ service, route string }

// counter holds the requests of each part of the window, by the number of the part.
type counter struct {
	part int64
	sent [slots]int
}

// New returns Arrivals without requests.
func New() *Arrivals { return &Arrivals{counts: map[key]*counter{}} }

// Add counts a request.
func (a *Arrivals) Add(now time.Time, service, route string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := key{service, route}
	c := a.counts[k]
	if c == nil {
		if len(a.counts) >= maxRoutes {
			return
		}
		c = &counter{}
		a.counts[k] = c
	}
	c.advance(now)
	c.sent[c.part%slots]++
}

// Of returns the requests of a service within the window, by route.
func (a *Arrivals) Of(now time.Time, service string) map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := map[string]int{}
	for k, c := range a.counts {
		if k.service != service {
			continue
		}
		c.advance(now)
		for _, n := range c.sent {
			list[k.route] += n
		}
	}
	return list
}

// advance clears the parts that have left the window.
func (c *counter) advance(now time.Time) {
	part := now.UnixNano() / int64(Window/slots)
	for i := max(c.part+1, part-slots+1); i <= part; i++ {
		c.sent[i%slots] = 0
	}
	c.part = max(c.part, part)
}
