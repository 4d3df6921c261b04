package intake

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Bounds are the limits of a listener's clients. Values are immutable.
type Bounds struct {
	HeaderBytes int           // of a request's head
	HeaderTime  time.Duration // from the first byte of a head to its end
	IdleTime    time.Duration // between requests, and before the first
}

// Listener accepts the connections of clients, within the limits of the intake.
type Listener struct {
	net.Listener
	name            string
	intake          *Intake
	connections     int
	connectionBytes int64
	bounds          func() Bounds

	// Guarded by the lock of the intake.
	current Bounds // as of the last sweep
	lists   [stages]list
	open    int // connections whose descriptor is not closed
	// refusing is how many of them have to give way and are open until a refusal is written.
	refusing int
}

// Listener returns a listener that tracks the connections accepted by another one. Its name is
// for the log; it has at most some number of open connections, each with more bytes of memory than
// a plain one; bounds returns the bounds in force.
func (i *Intake) Listener(inner net.Listener, name string, connections int, moreBytes int64, bounds func() Bounds) *Listener {
	l := &Listener{
		Listener: inner, name: name, intake: i, connections: connections, connectionBytes: connectionBytes + moreBytes,
		bounds: bounds, current: bounds(),
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.listeners = append(i.listeners, l)
	return l
}

// Server returns a server for the listener's connections.
func (l *Listener) Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:        tracked(h),
		MaxHeaderBytes: http.DefaultMaxHeaderBytes, // the bounds of the listener apply
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			tracked, ok := c.(*Conn)
			switch {
			case !ok:
			case s == http.StateIdle:
				tracked.becameIdle()
			case s == http.StateClosed:
				tracked.release()
			}
		},
	}
}

// tracked returns a handler that tells the stages of a request to its connection.
func tracked(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := From(r.Context())
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		c.begin(r.ContentLength != 0)
		defer c.end()
		// net/http reads the rest of a small body before it sends the answer. Else the connection
		// is closed unless the handler reads the body to its end.
		largeBody := r.ContentLength < 0 || r.ContentLength > firstBodyBytes
		if largeBody {
			w.Header().Set(connectionHeader, "close")
		}
		h.ServeHTTP(w, r)
		c.stopReading(largeBody)
	})
}

const connectionHeader = "Connection"

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.track(inner, time.Now()); c != nil {
			return c, nil
		}
	}
}

// track begins to track a connection. It closes the connection and returns nil if no other
// one gives way to it.
func (l *Listener) track(inner net.Conn, now time.Time) *Conn {
	limitUnread(inner)
	c := &Conn{Conn: inner, listener: l, since: now, bodyRead: true}
	i := l.intake
	i.mu.Lock()
	l.open++
	l.lists[stageNew].add(c)
	c.account()
	var ends []end
	for l.open-l.refusing > l.connections {
		old := l.leastUsed(c)
		if old == nil {
			old = c
		}
		ends = append(ends, old.giveWayForConnection(now))
		if old == c {
			break
		}
	}
	ends = append(ends, i.makeRoom(now)...)
	accepted := !c.ending
	i.mu.Unlock()
	i.finish(now, ends)
	if !accepted {
		c.release()
		return nil
	}
	return c
}

const (
	// pausedAfter is the time without bytes after which a body is closed and not refused, if a
	// connection has to give way. A slow link sends some well within it.
	pausedAfter = 2 * time.Second
	// maxRefusing bounds the connections that are open for a refusal beyond the listener's
	// number. They are of those that are not used for callers.
	maxRefusing = 64
)

// leastUsed returns the connection that gives way to a new one: one whose request was refused,
// else of the stage that has the most, the one that entered it first; of bodies, the one without
// bytes for longest. nil: all serve requests.
func (l *Listener) leastUsed(except *Conn) (found *Conn) {
	if c := l.lists[stageLinger].open(nil); c != nil {
		return c
	}
	most := 0
	for s := range stageLinger {
		count := l.lists[s].count - l.lists[s].ending
		if except != nil && except.stage == s {
			count--
		}
		if count <= most {
			continue
		}
		if c := l.lists[s].open(except); c != nil {
			found, most = c, count
		}
	}
	return found
}

// open returns the first connection that does not have to give way yet.
func (l *list) open(except *Conn) *Conn {
	c := l.first
	for c != nil && (c.ending || c == except) {
		c = c.next
	}
	return c
}

// paused reports whether no bytes of a body have arrived for some time.
func (c *Conn) paused(now time.Time) bool { return now.Sub(c.lastBytes) > pausedAfter }

// giveWayForConnection makes a connection end in whose place another one is used. The request of a
// body that makes progress is refused, as its client would not know otherwise that it has not run.
func (c *Conn) giveWayForConnection(now time.Time) end {
	l := c.listener
	if c.stage == stageBody && !c.paused(now) && l.refusing < maxRefusing {
		c.refusing = true
		l.refusing++
		return c.giveWay(ReasonConnections, true)
	}
	e := c.giveWay(ReasonConnections, false)
	c.markClosed()
	return e
}

// late returns the connections that have taken too long.
func (l *Listener) late(now time.Time) (ends []end) {
	l.current = l.bounds()
	ends = l.lateIn(ends, stageNew, now.Add(-l.current.IdleTime), ReasonIdle)
	ends = l.lateIn(ends, stageIdle, now.Add(-l.current.IdleTime), ReasonIdle)
	ends = l.lateIn(ends, stageHead, now.Add(-l.current.HeaderTime), ReasonHeaderTimeout)
	for c := l.lists[stageBody].first; c != nil; c = c.next {
		if !c.ending && (now.Sub(c.progress) > bodyPause || !c.until.IsZero() && now.After(c.until)) {
			ends = append(ends, c.giveWay(ReasonBodyTimeout, true))
		}
	}
	for c := l.lists[stageServing].first; c != nil; c = c.next {
		if c.sendsAhead && !c.ending && unread(c.Conn) > maxReadAhead {
			ends = append(ends, c.giveWay(ReasonReadAhead, false))
		}
	}
	return ends
}

// lateIn appends the connections that are in a stage since before a time.
func (l *Listener) lateIn(ends []end, s stage, before time.Time, reason string) []end {
	for c := l.lists[s].first; c != nil && c.since.Before(before); c = c.next {
		if !c.ending {
			ends = append(ends, c.giveWay(reason, false))
		}
	}
	return ends
}
