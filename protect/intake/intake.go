// Package intake bounds what the connections of clients cost a box: one account of memory for
// heads, bodies, requests and what is buffered for slow readers, and the number of
// connections. Where a bound is reached, connections whose request is not complete give way
// to those whose request is.
package intake

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"petrelstep/protect/capacity"
)

const (
	// smallBodyBytes is the size from which a body counts as large.
	smallBodyBytes = 64 << 10
	// connectionBytes is the memory of a connection without a request: its goroutine and its
	// buffers of 4 KiB in each direction.
	connectionBytes = 12 << 10
	// headLineBytes is the memory of a header field beside its bytes, which are kept twice.
	headLineBytes = 200
	headCopies    = 2
	// shareOfFree is how many times the free part of the account, and of the requests that can
	// be served at once, one organisation may use.
	shareOfFree = 8
	// refusalTime bounds the writing of a refusal that frees memory: the system buffers it at
	// once, unless the client does not read earlier answers.
	refusalTime = 2 * time.Second
	// maxSweepGap is the time between sweeps from which the process counts as paused.
	maxSweepGap = time.Second
	// logRate and logBurst bound the lines about closed connections, per second.
	logRate  = 10
	logBurst = 20
)

// Reasons for closing a client's connection or refusing its request.
const (
	ReasonConnections   = "connections"    // too many connections
	ReasonMemory        = "memory"         // the account is used up
	ReasonHeaderTimeout = "header_timeout" // the head was not complete in time
	ReasonHeaderSize    = "header_size"    // the head is too large
	ReasonBodyTimeout   = "body_timeout"   // the body was not complete in time, or paused
	ReasonIdle          = "idle"           // no request came in time
	ReasonReadAhead     = "read_ahead"     // too much was sent before the answer to a request
)

// Reasons lists every reason, for counters.
func Reasons() []string {
	return []string{ReasonConnections, ReasonMemory, ReasonHeaderTimeout, ReasonHeaderSize, ReasonBodyTimeout, ReasonIdle, ReasonReadAhead}
}

// Counter counts connections that were closed, and requests that were refused, by reason.
type Counter interface {
	ClientClosed(reason string)
}

// usage is what connections use of the account, in bytes.
type usage struct {
	connections int64 // connections without a complete request
	arriving    int64 // their heads, and small bodies
	large       int64 // large bodies, whether complete or not
	serving     int64 // requests that are being served, without large bodies
}

func (u usage) plus(v usage) usage {
	return usage{u.connections + v.connections, u.arriving + v.arriving, u.large + v.large, u.serving + v.serving}
}

func (u usage) minus(v usage) usage {
	return usage{u.connections - v.connections, u.arriving - v.arriving, u.large - v.large, u.serving - v.serving}
}

func (u usage) sum() int64 { return u.connections + u.arriving + u.large + u.serving }

// Intake is the account and the connections of a box. It is safe for use by several
// goroutines.
type Intake struct {
	capacity capacity.Capacity
	held     func() int
	counter  Counter
	log      *logrus.Entry
	lines    *rate.Limiter

	mu        sync.Mutex
	listeners []*Listener
	used      usage
	ending    usage                   // of those that have to give way and will release it soon
	waiting   map[*Conn]chan struct{} // connections that wait for memory of those, and what ends it
	requests  int                     // requests that are being served
	owners    map[string]*owner
	swept     time.Time // when Sweep was last called
	omitted   int       // lines that were not logged
}

// owner is what the requests of an organisation use while they are being served.
type owner struct {
	requests int
	bytes    int64
}

// New returns an intake without connections. held returns the bytes of the account that are in
// use otherwise.
func New(c capacity.Capacity, held func() int, counter Counter, log *logrus.Entry) *Intake {
	return &Intake{
		capacity: c, held: held, counter: counter, log: log, lines: rate.NewLimiter(logRate, logBurst),
		waiting: map[*Conn]chan struct{}{}, owners: map[string]*owner{},
	}
}

// Full reports whether the requests that are being served, and what is held otherwise, pass the
// limits.
func (i *Intake) Full() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.requests > i.capacity.Requests() || i.excess() > 0
}

// remaining returns what is used once all connections that have to give way have ended.
func (i *Intake) remaining() usage { return i.used.minus(i.ending) }

// excess returns the bytes by which the account is then overdrawn.
func (i *Intake) excess() int64 { return i.remaining().sum() + int64(i.held()) - i.capacity.Memory() }

// passesShare reports whether an organisation uses more than its share. The share shrinks with
// what is free, so that organisations that ask for much leave some of it to others.
func (i *Intake) passesShare(o *owner) bool {
	return o.bytes > shareOfFree*max(-i.excess(), 0) || o.requests > shareOfFree*max(i.capacity.Requests()-i.requests, 0)
}

// Parts of the account, as observed.
const (
	PartConnections = "connections" // of connections without a complete request
	PartArriving    = "arriving"    // their heads and small bodies
	PartLarge       = "large"       // large bodies
	PartServing     = "serving"     // requests that are being served
	PartHeld        = "held"        // in use otherwise
)

// Used returns the bytes in use, by part of the account.
func (i *Intake) Used() map[string]int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return map[string]int64{
		PartConnections: i.used.connections, PartArriving: i.used.arriving, PartLarge: i.used.large,
		PartServing: i.used.serving, PartHeld: int64(i.held()),
	}
}

// Connections returns the number of open connections.
func (i *Intake) Connections() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	sum := 0
	for _, l := range i.listeners {
		sum += l.open
	}
	return sum
}

// Sweep closes the connections that have taken too long. It is to be called several times a
// second; after a longer pause of the process none is closed, as bytes may have arrived and wait to
// be read.
func (i *Intake) Sweep(now time.Time) {
	var ends []end
	i.mu.Lock()
	paused := now.Sub(i.swept) > maxSweepGap
	i.swept = now
	if paused {
		i.mu.Unlock()
		return
	}
	for _, l := range i.listeners {
		ends = append(ends, l.late(now)...)
	}
	i.mu.Unlock()
	i.finish(now, ends)
}

// end is a connection that has to end.
type end struct {
	*Conn
	reason  string
	refused bool // its request is refused; else it is closed without an answer
}

// finish closes connections, or interrupts the reading of their bodies, and logs that.
func (i *Intake) finish(now time.Time, ends []end) {
	for _, e := range ends {
		i.report(now, e.Conn, e.reason)
		if e.refused {
			// Both fail only if the connection has ended.
			_ = e.Conn.Conn.SetReadDeadline(time.Unix(1, 0))
			_ = e.Conn.Conn.SetWriteDeadline(time.Now().Add(refusalTime))
		} else {
			e.abort()
		}
	}
}

// report counts and logs that a connection is closed or its request refused.
func (i *Intake) report(now time.Time, c *Conn, reason string) {
	i.counter.ClientClosed(reason)
	if reason == ReasonIdle {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.lines.Allow() {
		i.omitted++
		return
	}
	i.log.WithFields(logrus.Fields{
		"reason": reason, "listener": c.listener.name, "client": c.RemoteAddr(), "received": c.received,
		"stage_ms": now.Sub(c.since).Milliseconds(), "connections": c.listener.open, "arriving_bytes": i.used.arriving,
		"large_bytes": i.used.large, "serving_bytes": i.used.serving, "requests": i.requests, "omitted": i.omitted,
	}).Warn("client_closed")
	i.omitted = 0
}
