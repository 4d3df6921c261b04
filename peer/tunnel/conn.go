package tunnel

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"petrelstep/peer"
	"petrelstep/wire"
)

const (
	// maxBuffered bounds the bytes that are read ahead of a slow reader.
	maxBuffered = 64 << 10
	// maxWriteBytes bounds the bytes of one call.
	maxWriteBytes = 32 << 10
)

// BrokenError reports that a tunnel, or the connection to its upstream, broke.
type BrokenError struct {
	Err    error
	unsent bool // no byte to write was sent to the other box
}

// Error implements error.
func (e *BrokenError) Error() string { return "tunnel broken: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// Unsent reports whether a write failed before any of its bytes was sent.
func (e *BrokenError) Unsent() bool { return e.unsent }

// conn is a connection to an upstream through another box. One task of its own reads; a call is
// never repeated, so that no byte is lost or read twice.
type conn struct {
	calls    Caller
	box      string // address of the other box
	id       int
	upstream string
	ctx      context.Context
	cancel   context.CancelFunc

	mu     sync.Mutex
	change *sync.Cond
	buf    []byte
	err    error // after the bytes of buf; io.EOF if the upstream closed the connection
}

func newConn(calls Caller, box string, id int, upstream string) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{calls: calls, box: box, id: id, upstream: upstream, ctx: ctx, cancel: cancel}
	c.change = sync.NewCond(&c.mu)
	go c.receive()
	return c
}

// receive reads from the upstream until the connection ends.
func (c *conn) receive() {
	for {
		data, err := c.poll()
		c.mu.Lock()
		c.buf = append(c.buf, data.Data...)
		switch {
		case c.err != nil:
		case err != nil:
			c.err = &BrokenError{Err: err}
		case data.Broken:
			c.err = &BrokenError{Err: io.ErrUnexpectedEOF}
		case data.Closed:
			c.err = io.EOF
		}
		ended := c.err != nil
		c.change.Broadcast()
		c.mu.Unlock()
		if ended {
			return
		}
	}
}

// poll asks for the next bytes. While the buffer is full it only keeps the tunnel open.
func (c *conn) poll() (wire.TunnelData, error) {
	free := c.awaitSpace()
	call, cancel := context.WithTimeout(c.ctx, pollTime+callGrace)
	defer cancel()
	ask := wire.TunnelRead{ID: c.id, MaxBytes: free, WaitMs: int(pollTime.Milliseconds())}
	var data wire.TunnelData
	err := c.calls.Call(call, c.box, peer.TunnelRead, ask, &data)
	if err != nil {
		if c.ctx.Err() == nil && call.Err() != nil {
			c.calls.Forget(c.box) // the connection to the box hangs
		}
		return wire.TunnelData{}, err // an abandoned call may still write to data
	}
	return data, nil
}

// awaitSpace waits until the buffer has space, for pollTime at most, and returns how much.
func (c *conn) awaitSpace() int {
	expired := false
	timer := time.AfterFunc(pollTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		expired = true
		c.change.Broadcast()
	})
	defer timer.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.buf) >= maxBuffered && c.err == nil && !expired {
		c.change.Wait()
	}
	return max(maxBuffered-len(c.buf), 0)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.buf) == 0 && c.err == nil {
		c.change.Wait()
	}
	if len(c.buf) == 0 {
		return 0, c.err
	}
	n := copy(p, c.buf)
	c.buf = c.buf[n:]
	c.change.Broadcast()
	return n, nil
}

// Write implements net.Conn. It returns once the other box has written p.
func (c *conn) Write(p []byte) (written int, err error) {
	for len(p) > 0 {
		n := min(len(p), maxWriteBytes)
		call, cancel := context.WithTimeout(c.ctx, writeTimeout+callGrace)
		err := c.calls.Call(call, c.box, peer.TunnelWrite, wire.TunnelWrite{ID: c.id, Data: string(p[:n])}, &wire.Nothing{})
		cancel()
		if err != nil {
			return written, &BrokenError{Err: err, unsent: written == 0 && peer.NotSent(err)}
		}
		written, p = written+n, p[n:]
	}
	return written, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	closed := c.ctx.Err() != nil
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.buf = nil
	c.change.Broadcast()
	c.mu.Unlock()
	c.cancel()
	if closed {
		return net.ErrClosed
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callGrace)
		defer cancel()
		// A lost call is made up for by the other box, which closes idle tunnels.
		_ = c.calls.Call(ctx, c.box, peer.TunnelClose, wire.TunnelClose{ID: c.id}, &wire.Nothing{})
	}()
	return nil
}

// address is an address of a tunnel's end.
type address string

// Network implements net.Addr.
func (address) Network() string { return "tunnel" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// LocalAddr implements net.Conn: the box through which the tunnel goes.
func (c *conn) LocalAddr() net.Addr { return address(c.box) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return address(c.upstream) }

// SetDeadline implements net.Conn; tunnels have no deadlines.
func (*conn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.Conn; tunnels have no deadlines.
func (*conn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.Conn; tunnels have no deadlines.
func (*conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
