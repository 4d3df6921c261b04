package edge

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// cutMode is how the links between boxes and workers are cut.
type cutMode string

const (
	cutHangs   cutMode = "hang"   // packets are lost in both directions
	cutResets  cutMode = "reset"  // connections are reset, new ones are refused
	cutRefuses cutMode = "refuse" // open connections go on, new ones are refused
)

// connectTimeout is how long an opening packet that is lost keeps a box waiting.
const connectTimeout = 120 * time.Millisecond

// cutLinks are the links between boxes and workers that are cut. The zero value has none.
type cutLinks struct {
	mu    sync.Mutex
	cut   func(box string, w *protocolWorker) bool // nil for none
	mode  cutMode
	ended chan struct{} // closed at the end of the cut
	conns map[*cutConn]bool
}

// begin cuts links until end is called.
func (c *cutLinks) begin(mode cutMode, cut func(box string, w *protocolWorker) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode, c.cut, c.ended = mode, cut, make(chan struct{})
	for conn := range c.conns {
		if mode == cutResets && cut(conn.box, conn.worker) {
			_ = conn.Conn.Close()
		}
	}
}

func (c *cutLinks) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = nil
	close(c.ended)
}

// state returns how the link between a box and a worker is cut, and a channel that is closed at
// the end of the cut; "" if it is not.
func (c *cutLinks) state(box string, w *protocolWorker) (cutMode, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut == nil || !c.cut(box, w) {
		return "", nil
	}
	return c.mode, c.ended
}

// dial returns the error of a connection that is opened over a cut link, after the time that it
// takes; nil if the link is not cut.
func (c *cutLinks) dial(ctx context.Context, box string, w *protocolWorker) error {
	switch mode, _ := c.state(box, w); mode {
	case "":
		return nil
	case cutHangs:
		if err := sleep(ctx, connectTimeout); err != nil {
			return err
		}
		return os.ErrDeadlineExceeded
	}
	return syscall.ECONNREFUSED
}

// wrap returns a connection that is affected by cuts of its link.
func (c *cutLinks) wrap(conn net.Conn, box string, w *protocolWorker) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[*cutConn]bool{}
	}
	wrapped := &cutConn{Conn: conn, links: c, box: box, worker: w, closed: make(chan struct{})}
	c.conns[wrapped] = true
	return wrapped
}

// cutConn is a box's connection to a worker.
type cutConn struct {
	net.Conn
	links  *cutLinks
	box    string
	worker *protocolWorker
	once   sync.Once
	closed chan struct{}

	mu           sync.Mutex
	readDeadline time.Time // zero for none
}

// SetReadDeadline implements net.Conn.
func (c *cutConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	c.readDeadline = at
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(at)
}

// expired returns a channel that receives at the deadline of reads; nil if there is none.
func (c *cutConn) expired() <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readDeadline.IsZero() {
		return nil
	}
	return time.After(time.Until(c.readDeadline))
}

// awaitLink blocks while the link loses packets, or until expired receives.
func (c *cutConn) awaitLink(expired <-chan time.Time) error {
	for {
		mode, ended := c.links.state(c.box, c.worker)
		if mode != cutHangs {
			return nil
		}
		select {
		case <-ended:
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-c.closed:
			return net.ErrClosed
		}
	}
}

// Read implements net.Conn.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if cut := c.awaitLink(c.expired()); cut != nil {
		return 0, cut
	}
	return n, err
}

// Write implements net.Conn.
func (c *cutConn) Write(p []byte) (int, error) {
	if err := c.awaitLink(nil); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.links.mu.Lock()
		delete(c.links.conns, c)
		c.links.mu.Unlock()
	})
	return c.Conn.Close()
}
