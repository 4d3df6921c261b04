// Package links tracks which upstreams this box reaches over its own network.
package links

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Outcomes of opening a connection to an upstream.
const (
	Connected = "connected"
	TimedOut  = "timed_out"
	Refused   = "refused"
	Failed    = "failed"
)

// Outcomes returns all outcomes, for counters.
func Outcomes() []string { return []string{Connected, TimedOut, Refused, Failed} }

const (
	// minUnreached is the number of upstreams that must be unreached in a row, none
	// reached between, for the box to report it: one may have ended.
	minUnreached = 2
	// maxUnreached bounds the number of unreached upstreams that are counted.
	maxUnreached = 64
)

// Target is an upstream to which a connection is opened. Values are immutable.
type Target struct {
	Address  string
	Upstream string // id; empty if unknown, as are Service and Hall then
	Service  string
	Hall     string
	Request  string // id of the request that is sent, for the log; empty for a call of the box's own
}

// Counter counts the connections that are opened.
type Counter interface {
	Dialed(outcome string)
}

// Links is safe for concurrent use.
type Links struct {
	counter Counter
	log     *logrus.Entry
	quiet   atomic.Bool // nothing is unreached

	mu        sync.Mutex
	unreached map[string]string // outcomes by address, since the last connection
	since     time.Time         // of the first of them
}

// New returns Links that have not tried any upstream.
func New(counter Counter, log *logrus.Entry) *Links {
	l := &Links{counter: counter, log: log, unreached: map[string]string{}}
	l.quiet.Store(true)
	return l
}

// Dialed records the outcome of a connection that this box tried to open itself.
func (l *Links) Dialed(now time.Time, t Target, outcome string) {
	l.counter.Dialed(outcome)
	if outcome == Connected && l.quiet.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if outcome == Connected {
		l.reached(now, t)
		return
	}
	l.quiet.Store(false)
	if len(l.unreached) == 0 {
		l.since = now
	}
	if _, known := l.unreached[t.Address]; known || len(l.unreached) >= maxUnreached {
		return
	}
	l.unreached[t.Address] = outcome
	if len(l.unreached) == minUnreached {
		l.log.WithFields(logrus.Fields{
			"upstream": t.Upstream, "outcome": outcome, "upstreams": len(l.unreached), "since_ms": now.Sub(l.since).Milliseconds(),
		}).Warn("no_upstream_reached")
	}
}

// reached records that an upstream was reached; the lock is held.
func (l *Links) reached(now time.Time, t Target) {
	if len(l.unreached) >= minUnreached {
		l.log.WithFields(logrus.Fields{
			"upstream": t.Upstream, "upstreams": len(l.unreached), "since_ms": now.Sub(l.since).Milliseconds(),
		}).Info("upstream_reached")
	}
	clear(l.unreached)
	l.quiet.Store(true)
}
