package intake

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"petrelstep/protect/capacity"
)

// stage is what a connection is doing.
type stage int

const (
	stageNew     stage = iota // nothing was received yet
	stageHead                 // a head is arriving
	stageBody                 // a body is arriving
	stageIdle                 // between requests
	stageLinger               // its last request was refused, and the rest of it is discarded
	stageServing              // a complete request is being served
	stages
)

// Conn is a client's connection. A nil *Conn stands for a connection that is not tracked.
type Conn struct {
	net.Conn
	listener *Listener
	answered atomic.Bool // its request was answered before all of it was read

	// Guarded by the lock of the intake.
	stage      stage
	since      time.Time // when the stage began
	prev, next *Conn     // in the list of the stage
	used       usage     // of the account
	releases   usage     // what of that will be released soon, as it has to give way
	received   int64     // bytes of this request
	head       int64     // bytes of memory of the head
	sendsAhead bool      // bytes have arrived while a request is being served

	body        int64     // bytes of memory of the body
	bodyLimit   int       // bytes
	until       time.Time // until when the body has to be complete; zero if nothing limits it
	progress    time.Time // when progressBytes of the body had last arrived
	unmarked    int       // bytes of the body since then
	lastBytes   time.Time // when bytes of the body had last arrived
	bodyRead    bool      // the body is complete
	bodyRefused bool      // the request is refused for its body

	request      bool // it is counted as a request
	organisation string
	owner        *owner // what the organisation uses
	owned        int64  // bytes of the account that are counted for the owner

	ending   bool   // it has to give way
	refusing bool   // by a refusal, which is not written yet
	reason   string // why
	lingers  bool   // the rest of its request is being discarded
	closed   bool   // its descriptor is closed
	released bool   // net/http has finished with it
}

// From returns the connection of a request; nil if it is not tracked.
func From(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

type connKey struct{}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.answered.Load() {
		return 0, errEnded
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		grown, ok := c.arrived(p[:n])
		if !ok || grown && !c.awaitRoom() {
			return 0, errEnded
		}
	}
	return n, err
}

// errEnded is returned for bytes that are not read any more. net/http sends an answer after other
// errors.
var errEnded = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// arrived accounts for received bytes, and reports whether they need more memory, as those of a
// head do. ok is false if the connection has to end.
func (c *Conn) arrived(p []byte) (grown, ok bool) {
	i, now := c.listener.intake, time.Now()
	i.mu.Lock()
	switch c.stage {
	case stageNew, stageIdle:
		c.enter(stageHead, now)
	case stageServing:
		c.sendsAhead = true
	case stageBody:
		c.lastBytes = now
		c.listener.lists[stageBody].remove(c) // the list is in the order of the last bytes
		c.listener.lists[stageBody].add(c)
		if c.unmarked += len(p); c.unmarked >= progressBytes {
			c.progress, c.unmarked = now, 0
		}
	}
	c.received += int64(len(p))
	if c.stage != stageHead {
		i.mu.Unlock()
		return false, true
	}
	c.head += int64(headCopies*len(p) + headLineBytes*bytes.Count(p, []byte{'\n'}))
	c.account()
	tooLarge := c.received > int64(c.listener.current.HeaderBytes)+readAheadBytes
	ends := i.makeRoom(now)
	gone := c.ending
	i.mu.Unlock()
	i.finish(now, ends)
	if tooLarge && !gone {
		c.rejectHead(now)
	}
	return true, !tooLarge && !gone
}

// readAheadBytes is the size of the read buffer of net/http: as many bytes of a body may
// arrive with its head.
const readAheadBytes = 4 << 10

// rejectHead answers that the head is too large.
func (c *Conn) rejectHead(now time.Time) {
	c.listener.intake.report(now, c, ReasonHeaderSize)
	const answer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	_, err := io.WriteString(c.Conn, answer)
	c.answered.Store(err == nil)
}

// enter begins a stage.
func (c *Conn) enter(s stage, now time.Time) {
	c.listener.lists[c.stage].remove(c)
	c.stage, c.since = s, now
	c.listener.lists[s].add(c)
	c.account()
}

// account brings the connection's use of the account up to date.
func (c *Conn) account() {
	now := usage{connections: c.listener.connectionBytes, arriving: c.head}
	if c.body > smallBodyBytes {
		now.large = c.body
	} else {
		now.arriving += c.body
	}
	switch {
	case c.released:
		now = usage{}
	case c.request:
		now = usage{large: now.large, serving: max(now.connections+now.arriving, capacity.RequestBytes)}
	case c.stage == stageServing:
		now = usage{large: now.large, serving: now.connections + now.arriving}
	}
	i := c.listener.intake
	i.used = i.used.plus(now.minus(c.used))
	c.used = now
	releases := usage{}
	if c.ending && !c.request { // a request that is being served keeps its memory until its end
		releases = now
	}
	i.ending = i.ending.plus(releases.minus(c.releases))
	c.releases = releases
	i.wake()
	if c.owner != nil {
		owned := int64(0)
		if c.request {
			owned = now.serving + now.large
		}
		c.owner.bytes += owned - c.owned
		c.owned = owned
	}
}

// giveWay makes the connection end.
func (c *Conn) giveWay(reason string, refused bool) end {
	c.setEnding(true)
	c.reason = reason
	c.account()
	c.stopWaiting()
	return end{Conn: c, reason: reason, refused: refused}
}

func (c *Conn) setEnding(ending bool) {
	l := &c.listener.lists[c.stage]
	if c.ending {
		l.ending--
	}
	c.ending = ending
	if c.ending {
		l.ending++
	}
}

// BeginRequest counts a complete request of an organisation as one that is being served.
// Connections whose request is not complete give way to it. It returns false if the organisation
// passes its share, or if this connection had to give way itself.
func (c *Conn) BeginRequest(organisation string) bool {
	if c == nil {
		return true
	}
	i, now := c.listener.intake, time.Now()
	i.mu.Lock()
	if c.ending {
		i.mu.Unlock()
		return false
	}
	c.request = true
	i.requests++
	c.owner = i.owners[organisation]
	if c.owner == nil {
		c.owner = &owner{}
		i.owners[organisation] = c.owner
	}
	c.organisation = organisation
	c.owner.requests++
	if c.stage != stageServing {
		c.enter(stageServing, now)
	} else {
		c.account()
	}
	ends := i.makeRoom(now)
	passes := i.passesShare(c.owner)
	i.mu.Unlock()
	i.finish(now, ends)
	return !passes
}

// endRequest ends the counting of a request that is being served.
func (c *Conn) endRequest() {
	i := c.listener.intake
	c.request = false
	i.requests--
	c.owner.requests--
	c.account()
	if c.owner.requests == 0 {
		delete(i.owners, c.organisation)
	}
	c.owner = nil
}

// begin begins the handling of a request whose head is complete.
func (c *Conn) begin(hasBody bool) {
	i, now := c.listener.intake, time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	c.sendsAhead = false
	c.bodyRead, c.bodyRefused, c.bodyLimit = !hasBody, false, 0
	c.until, c.progress, c.lastBytes, c.unmarked = time.Time{}, now, now, 0
	if hasBody {
		c.enter(stageBody, now)
	} else {
		c.enter(stageServing, now)
	}
}

// end ends the handling of a request.
func (c *Conn) end() {
	i := c.listener.intake
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.request {
		c.endRequest()
	}
	c.body = 0 // net/http keeps the head until the answer is written
	c.account()
}

// becameIdle begins the time between requests.
func (c *Conn) becameIdle() {
	i, now := c.listener.intake, time.Now()
	i.mu.Lock()
	c.received, c.head = 0, 0
	c.enter(stageIdle, now)
	ends := i.makeRoom(now)
	i.mu.Unlock()
	i.finish(now, ends)
}

// stopReading ends the reading of a request that was answered before its body was read, if the
// body is large or the request is refused for it.
func (c *Conn) stopReading(largeBody bool) {
	i := c.listener.intake
	i.mu.Lock()
	defer i.mu.Unlock()
	c.answered.Store(!c.bodyRead && (largeBody || c.bodyRefused))
}

// Close implements net.Conn. A connection whose client may still be sending a refused request
// is closed once the client has had time to read the refusal.
func (c *Conn) Close() error {
	i := c.listener.intake
	i.mu.Lock()
	if c.answered.Load() && !c.lingers && !c.closed {
		c.lingers = true
		c.startLinger()
		i.mu.Unlock()
		go c.linger()
		return nil
	}
	c.markClosed()
	i.mu.Unlock()
	return c.Conn.Close()
}

// abort closes the connection at once.
func (c *Conn) abort() {
	i := c.listener.intake
	i.mu.Lock()
	c.markClosed()
	i.mu.Unlock()
	_ = c.Conn.Close() // fails only if the client has closed it
}

func (c *Conn) markClosed() {
	if !c.closed {
		c.closed = true
		c.listener.open--
		c.stopRefusing()
	}
}

// stopRefusing records that the refusal for which the connection is kept open has been written.
func (c *Conn) stopRefusing() {
	if c.refusing {
		c.refusing = false
		c.listener.refusing--
	}
}

// release ends the accounting of a connection that net/http has finished with.
func (c *Conn) release() {
	i := c.listener.intake
	i.mu.Lock()
	defer i.mu.Unlock()
	if !c.lingers {
		c.drop()
	}
}

func (c *Conn) drop() {
	if c.released {
		return
	}
	c.listener.lists[c.stage].remove(c)
	c.released = true
	c.account()
}

const (
	// lingerTime and minLingerBytes bound for how long, and up to how many bytes, the rest of
	// a refused request is read: a client may read the answer only after it has sent all.
	lingerTime     = 10 * time.Second
	minLingerBytes = 1 << 20
)

// startLinger begins the stage in which the rest of a refused request is discarded. The
// connection may have to give way again.
func (c *Conn) startLinger() {
	c.setEnding(false)
	c.stopRefusing()
	c.head, c.body = 0, 0
	c.enter(stageLinger, time.Now())
}

// linger reads and discards what a client still sends, so that the answer that was written is
// not lost by a reset. The client sees the end of the answer at once.
func (c *Conn) linger() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails only if the connection has ended
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, int64(max(c.bodyLimit, minLingerBytes))) // ends with the connection
	c.abort()
	c.listener.intake.mu.Lock()
	defer c.listener.intake.mu.Unlock()
	c.drop()
}

// list holds the connections of a stage, in the order in which they entered it, or in which bytes of
// their bodies last arrived.
type list struct {
	first, last *Conn
	count       int
	ending      int // how many of them have to give way
}

func (l *list) add(c *Conn) {
	c.prev, c.next = l.last, nil
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
	l.count++
	if c.ending {
		l.ending++
	}
}

func (l *list) remove(c *Conn) {
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		l.last = c.prev
	}
	c.prev, c.next = nil, nil
	l.count--
	if c.ending {
		l.ending--
	}
}
