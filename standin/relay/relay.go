// Package relay is a small TCP relay for tests: it can cut all connections at
// once, and refuse new ones for a while, as a broken link does.
package relay

import (
	"io"
	"net"
	"sync"
	"time"
)

// Relay passes bytes between its own address and a target.
type Relay struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	open     map[net.Conn]bool
	until    time.Time // until when new connections are refused
	all      sync.WaitGroup
}

// New returns a relay to a target, IP:port, on a loopback address of its own.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: listener, open: map[net.Conn]bool{}}
	r.all.Go(r.serve)
	return r, nil
}

// Address returns the relay's own address.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut breaks all connections and refuses new ones for a while.
func (r *Relay) Cut(last time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until = time.Now().Add(last)
	for c := range r.open {
		_ = c.Close()
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Cut(time.Hour)
	r.all.Wait()
}

func (r *Relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil || !r.keep(in, out) {
			_ = in.Close()
			if out != nil {
				_ = out.Close()
			}
			continue
		}
		r.all.Go(func() { r.pass(in, out) })
		r.all.Go(func() { r.pass(out, in) })
	}
}

func (r *Relay) keep(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.until) {
		return false
	}
	for _, c := range conns {
		r.open[c] = true
	}
	return true
}

// pass copies one way; when it ends, both ends are closed.
func (r *Relay) pass(from, to net.Conn) {
	_, _ = io.Copy(to, from) // a cut is no error here
	_ = from.Close()
	_ = to.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, from)
	delete(r.open, to)
}
