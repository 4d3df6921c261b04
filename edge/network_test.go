package edge

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"petrelstep/configfetch"
	"petrelstep/peer"
	"petrelstep/peer/edgerpc"
	"petrelstep/peer/tunnel"
	"petrelstep/platform/manifest"
	"petrelstep/platform/store"
	"petrelstep/standin/platform"
)

// storeAddress is the address of the store on a network.
const storeAddress = "store:1"

// network connects boxes and the store in memory. Open connections can fall silent for good,
// while new ones work.
type network struct {
	mu        sync.Mutex
	listeners map[string]*networkListener
	open      []*networkConn
}

// networkListener accepts the connections to an address.
type networkListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *networkListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *networkListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *networkListener) Addr() net.Addr { return &net.UnixAddr{Name: l.address} }

// networkConn is one end of a connection.
type networkConn struct {
	net.Conn
	from, to string // the box that opened it, and the address
	accepted bool   // it is the end at the address

	mu     sync.Mutex
	silent bool // bytes written here are lost
	lonely bool // the other end does not learn that this one is closed
	closed bool
}

// Write implements net.Conn.
func (c *networkConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	silent, closed := c.silent, c.closed
	c.mu.Unlock()
	switch {
	case closed:
		return 0, net.ErrClosed
	case silent:
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *networkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed && err != nil {
		return n, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (c *networkConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.lonely {
		return c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends a read in progress
	}
	return c.Conn.Close()
}

func newNetwork() *network { return &network{listeners: map[string]*networkListener{}} }

func (n *network) listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &networkListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// dialFrom returns how a box opens connections.
func (n *network) dialFrom(box string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[address]
		n.mu.Unlock()
		if l == nil {
			return nil, &net.OpError{Op: "dial", Err: os.ErrNotExist}
		}
		near, far := net.Pipe()
		a, b := &networkConn{Conn: near, from: box, to: address}, &networkConn{Conn: far, from: box, to: address, accepted: true}
		select {
		case l.conns <- b:
		case <-l.closed:
			return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.open = append(n.open, a, b)
		return a, nil
	}
}

// silence silences the ends of open connections that are chosen.
func (n *network) silence(chosen func(c *networkConn) bool) (ends int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.open {
		if !chosen(c) {
			continue
		}
		c.mu.Lock()
		if !c.closed {
			ends++
		}
		c.silent, c.lonely = true, true
		c.mu.Unlock()
	}
	return ends
}

// close closes all connections.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for _, c := range n.open {
		_ = c.Conn.Close()
	}
}

// wired is a cluster whose boxes use the clients and servers of real connections.
type wired struct {
	*cluster
	network  *network
	platform *platform.Platform
	server   *http.Server
}

// newWired returns boxes that are connected with each other and with the store by a network.
func newWired(ctx context.Context, t testing.TB, boxes, halls, upstreams int) *wired {
	t.Helper()
	w := &wired{cluster: newCluster(t, boxes, halls, upstreams), network: newNetwork(), platform: platform.New(platform.Options{})}
	for _, r := range w.table.rows {
		w.platform.Put(r)
	}
	w.server = &http.Server{Handler: w.platform.Handler()}
	listener := w.network.listen(storeAddress)
	go func() { _ = w.server.Serve(listener) }()
	w.rows = func(e *Edge) manifest.Rows { return e.store }
	for _, e := range w.all {
		dial := w.network.dialFrom(e.Name())
		e.store = store.New(storeAddress, nil).WithDial(dial)
		e.peers = peer.New(nil).WithDial(dial)
		e.tunnelClient = tunnel.NewClient(e.peers, e.Name(), "")
		e.fetcher = configfetch.New(e.peers, configurationInForce{e}, e.config.Edge.LinkMbit, e.metrics.ConfigurationFetched, e.log)
		e.configuration = manifest.NewConfiguration(e.store, e.routes, e.halls, e.log)
		e.storeClock = e.store.ClockAt
		e.rollouts = newRolloutControl(e, e.store)
		peers := w.network.listen(e.record.Address)
		go func() { _ = edgerpc.New(ctx, e, e.turns, e.tunnels).Serve(peers) }()
	}
	return w
}

// stop ends the boxes and the store.
func (w *wired) stop(end func()) {
	end()
	_ = w.server.Close()
	for _, e := range w.all {
		e.peers.Close()
		e.store.Close()
	}
	w.network.close()
	time.Sleep(maxWait)
}
