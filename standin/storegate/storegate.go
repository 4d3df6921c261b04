// Package storegate serves the platform's store to one box, and turns the box away at times
// while others are served.
package storegate

import (
	"bytes"
	"maps"
	"net/http"
	"sync"
	"time"
)

// retryAfter is the Retry-After of a rejection, in seconds.
const retryAfter = "1"

// Gate is the store as seen by one box. It is safe for concurrent use.
type Gate struct {
	store  http.Handler
	setEra func(http.Header)

	mu     sync.Mutex
	status int
	until  time.Time
}

// New returns a gate that serves a store. setEra sets the store's own headers of a rejection.
func New(store http.Handler, setEra func(http.Header)) *Gate {
	return &Gate{store: store, setEra: setEra}
}

// TurnAway answers all calls with a status for a while, those under way too.
func (g *Gate) TurnAway(status int, duration time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.status, g.until = status, time.Now().Add(duration)
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.reject(w) {
		return
	}
	a := answer{header: http.Header{}, status: http.StatusOK}
	g.store.ServeHTTP(&a, r)
	if g.reject(w) {
		return
	}
	maps.Copy(w.Header(), a.header)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes())
}

// reject rejects a call while the box is turned away.
func (g *Gate) reject(w http.ResponseWriter) bool {
	g.mu.Lock()
	status, away := g.status, time.Now().Before(g.until)
	g.mu.Unlock()
	if away {
		g.setEra(w.Header())
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(status)
	}
	return away
}

// answer holds the store's answer until it is known whether the box gets it.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header { return a.header }

// Write implements http.ResponseWriter.
func (a *answer) Write(b []byte) (int, error) { return a.body.Write(b) }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) { a.status = status }
