// Package faultproxy is a small TCP relay for tests and the soak: it can cut all
// connections at once and refuse new ones for a while, hold bytes back one way
// or both, or delay them, as a broken link does.
package faultproxy

import (
	"net"
	"sync"
	"time"
)

// Way is a direction of bytes through a relay.
type Way int

// The ways; Both stands for either.
const (
	ToTarget Way = iota
	FromTarget
	Both
)

const bufferSize = 16 << 10

// hold is how long bytes of one way are held back.
type hold struct {
	until time.Time     // nothing passes before
	delay time.Duration // that each read is late by
	ends  time.Time     // of the delay
}

// Proxy passes bytes between its own address and a target.
type Proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	open     map[net.Conn]bool // true where it has fallen silent
	until    time.Time         // until when new connections are refused
	holds    [2]hold           // by way
	closed   chan struct{}
	all      sync.WaitGroup
}

// New returns a relay to a target, IP:port, on a loopback address of its own.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Proxy{target: target, listener: listener, open: map[net.Conn]bool{}, closed: make(chan struct{})}
	r.all.Go(r.serve)
	return r, nil
}

// Address returns the relay's own address.
func (r *Proxy) Address() string { return r.listener.Addr().String() }

// Retarget sends connections that come from now on to another target.
func (r *Proxy) Retarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// Cut breaks all connections and refuses new ones for a while.
func (r *Proxy) Cut(last time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until = time.Now().Add(last)
	for c := range r.open {
		_ = c.Close()
	}
}

// Silence holds bytes back for a while; connections stay open.
func (r *Proxy) Silence(way Way, last time.Duration) {
	r.hold(way, func(h *hold) { h.until = time.Now().Add(last) })
}

// Mute lets all connections of today fall silent for good, without an end: what
// comes on them is lost. New ones work.
func (r *Proxy) Mute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		r.open[c] = true
	}
}

// Delay makes bytes late for a while.
func (r *Proxy) Delay(way Way, by, last time.Duration) {
	r.hold(way, func(h *hold) { h.delay, h.ends = by, time.Now().Add(last) })
}

func (r *Proxy) hold(way Way, set func(*hold)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.holds {
		if way == Both || Way(i) == way {
			set(&r.holds[i])
		}
	}
}

// Close ends the relay.
func (r *Proxy) Close() {
	_ = r.listener.Close()
	close(r.closed)
	r.Cut(time.Hour)
	r.all.Wait()
}

func (r *Proxy) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		target := r.target
		r.mu.Unlock()
		out, err := net.Dial("tcp", target)
		if err != nil || !r.keep(in, out) {
			_ = in.Close()
			if out != nil {
				_ = out.Close()
			}
			continue
		}
		r.all.Go(func() { r.pass(in, out, ToTarget) })
		r.all.Go(func() { r.pass(out, in, FromTarget) })
	}
}

func (r *Proxy) keep(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.until) {
		return false
	}
	for _, c := range conns {
		r.open[c] = false
	}
	return true
}

// pass copies one way; when it ends, both ends are closed.
func (r *Proxy) pass(from, to net.Conn, way Way) {
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 && r.wait(way) && !r.muted(from) {
			_, err = to.Write(buf[:n])
		}
		if err != nil {
			break // io.EOF, or a cut, which is no error here
		}
	}
	if r.muted(from) {
		<-r.closed // the other end hears of no end either
	}
	_ = from.Close()
	_ = to.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, from)
	delete(r.open, to)
}

func (r *Proxy) muted(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open[c]
}

// wait holds bytes of one way back; it reports false once the relay is closed.
func (r *Proxy) wait(way Way) bool {
	for {
		r.mu.Lock()
		h := r.holds[way]
		r.mu.Unlock()
		late := time.Until(h.until)
		if late <= 0 && time.Now().Before(h.ends) {
			late = h.delay
		}
		if late <= 0 {
			return true
		}
		select {
		case <-time.After(late):
		case <-r.closed:
			return false
		}
		if h.until.Before(time.Now()) {
			return true
		}
	}
}
