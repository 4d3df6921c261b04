// Package answers checks what HTTP clients read: whether an answer without a length has come to its
// end, and whether its status and the names of its fields are valid. net/http checks neither. Of a
// call without an answer it tells whether its request was sent.
package answers

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// writeWait bounds the wait for a write that runs as the answer ends: the server may have read its
// bytes already.
const writeWait = time.Second

// UnreadError says that the connection ended within an answer before the whole request was written.
// Where a write fails by a reset, the read after it sees an ordinary end.
type UnreadError struct {
	Err error // of the write; nil if it was not the cause
}

// Error implements error.
func (e *UnreadError) Error() string {
	if e.Err == nil {
		return "connection ended within an answer, before the whole request was written"
	}
	return "connection ended within an answer, and writing the request failed: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnreadError) Unwrap() error { return e.Err }

// Conn is a client's connection that returns an *UnreadError instead of io.EOF if the request is not
// written whole. It reads and writes HTTP/1.1; its writes come from one goroutine, and each request
// has a length or no body.
type Conn struct {
	net.Conn

	mu        sync.Mutex
	changed   *sync.Cond
	request   request
	writing   bool
	answered  bool  // a byte has arrived since the request began
	failed    error // of a write
	requests  int   // that were begun
	sent      bool  // a byte of the last one may have been sent
	abandoned bool  // nothing may be written any more
}

// NewConn returns a connection that checks how answers end.
func NewConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.changed = sync.NewCond(&c.mu)
	return c
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// checkedDial returns a function that opens connections that check how answers end.
func checkedDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.begin() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.end(p[:n], err)
	return n, err
}

// beginRequest records that a request will be written next, and returns its number.
func (c *Conn) beginRequest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.sent = false
	return c.requests
}

// begin records that a write begins; false if it must not.
func (c *Conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return false
	}
	if c.request.written() {
		c.answered = false
	}
	c.writing = true
	return true
}

// end records the bytes that were written.
func (c *Conn) end(p []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.add(p)
	c.writing = false
	c.sent = c.sent || len(p) > 0 || err != nil && !isUnsent(err)
	if err != nil {
		c.failed = err
	}
	c.changed.Broadcast()
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = c.answered || n > 0
	if err == io.EOF && c.answered {
		return n, c.checkEnd()
	}
	return n, err
}

// checkEnd returns io.EOF if the request was written whole. The lock is held.
func (c *Conn) checkEnd() error {
	c.awaitWrite()
	if c.writing || c.failed != nil || !c.request.written() {
		return &UnreadError{Err: c.failed}
	}
	return io.EOF
}

// abandon lets nothing more be written, and reports whether nothing of a request was sent. The
// connection may be in use for a later one: then the request was answered.
func (c *Conn) abandon(request int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests != request {
		return false
	}
	c.abandoned = true
	if !c.sent {
		c.awaitWrite()
	}
	return !c.sent && !c.writing
}

// awaitWrite waits for the end of a write that is running, for writeWait at most. The lock is held.
func (c *Conn) awaitWrite() {
	if !c.writing {
		return
	}
	expired := false
	timer := time.AfterFunc(writeWait, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		expired = true
		c.changed.Broadcast()
	})
	defer timer.Stop()
	for c.writing && !expired {
		c.changed.Wait()
	}
}
