package peer

import (
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"petrelstep/peer/roundtrip"
	"petrelstep/reset"
)

// silenceTimeout is the time without a byte from a peer, while a call waits, after which its
// connection is no longer used for further calls: it may have fallen silent for good. No answer
// that is given at once takes longer.
const silenceTimeout = roundtrip.Max

// connection is an open connection to a peer. The lock of its Peers guards it.
type connection struct {
	client  *rpc.Client
	conn    *countingConn
	waiting int  // calls without an answer
	retired bool // no further call uses it

	reads       int64     // at silentSince
	silentSince time.Time // when the first call was made after the last byte arrived
}

// countingConn counts the reads that returned bytes.
type countingConn struct {
	net.Conn
	reads   atomic.Int64
	discard atomic.Bool // what was not delivered yet is discarded as it is closed
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	if c.discard.Load() {
		return reset.Close(c.Conn)
	}
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}

func newConnection(conn net.Conn) *connection {
	counting := &countingConn{Conn: conn}
	return &connection{conn: counting, client: rpc.NewClient(counting)}
}

// begin records a call.
func (c *connection) begin(now time.Time) {
	c.waiting++
	if reads := c.conn.reads.Load(); c.silentSince.IsZero() || reads != c.reads {
		c.reads, c.silentSince = reads, now
	}
}

// silence returns for how long calls have waited without a byte.
func (c *connection) silence(now time.Time) time.Duration {
	if reads := c.conn.reads.Load(); reads != c.reads {
		c.reads, c.silentSince = reads, now
	}
	return now.Sub(c.silentSince)
}

// drop closes the connection, so that calls that were not delivered yet never are.
func (c *connection) drop() {
	c.conn.discard.Store(true)
	_ = c.client.Close()
}
