// Package faultproxy is a TCP proxy that simulates a faulty link for tests and the soak:
// it can cut all connections and refuse new ones for a while, and hold bytes back or
// delay them in one or both directions.
package faultproxy

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Direction is a direction through the proxy.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	FromTarget
	Both
)

const (
	bufferSize = 16 << 10 // bytes
	// maxHeldChunks bounds the bytes of one direction that are held back, in buffers.
	maxHeldChunks = 64
)

// hold says how bytes of one direction are held back.
type hold struct {
	heldUntil  time.Time     // no bytes pass before
	delay      time.Duration // of each read until delayUntil
	delayUntil time.Time
}

// end is an end of a connection through the proxy.
type end struct {
	direction Direction // of what is read from it
	muted     bool
}

// Proxy forwards bytes between its own address and a target.
type Proxy struct {
	target      string
	listener    net.Listener
	mu          sync.Mutex
	connections map[net.Conn]end
	refuseUntil time.Time // new connections are refused before
	holds       [2]hold   // by direction
	closed      chan struct{}
	all         sync.WaitGroup
}

// New starts a proxy to a target, IP:port, on a loopback address of its own.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, connections: map[net.Conn]end{}, closed: make(chan struct{})}
	p.all.Go(p.serve)
	return p, nil
}

// Address returns the proxy's own address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Retarget sends new connections to another target.
func (p *Proxy) Retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Cut closes all connections and refuses new ones for a while.
func (p *Proxy) Cut(duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuseUntil = time.Now().Add(duration)
	for c := range p.connections {
		_ = c.Close()
	}
}

// Silence holds bytes back for a while; connections stay open.
func (p *Proxy) Silence(direction Direction, duration time.Duration) {
	p.hold(direction, func(h *hold) { h.heldUntil = time.Now().Add(duration) })
}

// Mute discards all further bytes on the open connections, without closing them. New
// connections work.
func (p *Proxy) Mute() { p.MuteDirection(Both) }

// MuteDirection is Mute for the bytes of one direction.
func (p *Proxy) MuteDirection(direction Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, e := range p.connections {
		if direction == Both || e.direction == direction {
			e.muted = true
			p.connections[c] = e
		}
	}
}

// Delay delays bytes for a while.
func (p *Proxy) Delay(direction Direction, by, duration time.Duration) {
	p.hold(direction, func(h *hold) { h.delay, h.delayUntil = by, time.Now().Add(duration) })
}

func (p *Proxy) hold(direction Direction, set func(*hold)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.holds {
		if direction == Both || Direction(i) == direction {
			set(&p.holds[i])
		}
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	close(p.closed)
	p.Cut(time.Hour)
	p.all.Wait()
}

func (p *Proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		target := p.target
		p.mu.Unlock()
		out, err := net.Dial("tcp", target)
		if err != nil || !p.register(in, out) {
			_ = in.Close()
			if out != nil {
				_ = out.Close()
			}
			continue
		}
		p.all.Go(func() { p.forward(in, out, ToTarget) })
		p.all.Go(func() { p.forward(out, in, FromTarget) })
	}
}

func (p *Proxy) register(in, out net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.refuseUntil) {
		return false
	}
	p.connections[in], p.connections[out] = end{direction: ToTarget}, end{direction: FromTarget}
	return true
}

// forward copies bytes of one direction until an error, then closes both connections. Bytes that
// are held back are lost if their sender resets the connection.
func (p *Proxy) forward(from, to net.Conn, direction Direction) {
	chunks, end := make(chan []byte, maxHeldChunks), make(chan struct{})
	var reset atomic.Bool
	p.all.Go(func() {
		defer close(chunks)
		reset.Store(errors.Is(readChunks(from, chunks, end), syscall.ECONNRESET))
	})
	for chunk := range chunks {
		if !p.wait(direction) || p.muted(from) {
			continue
		}
		if reset.Load() {
			break
		}
		if _, err := to.Write(chunk); err != nil {
			break
		}
	}
	close(end)
	if p.muted(from) {
		<-p.closed // keep the other connection open too
	}
	_ = from.Close()
	_ = to.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, from)
	delete(p.connections, to)
}

// readChunks reads chunks until an error, or end is closed.
func readChunks(from net.Conn, chunks chan<- []byte, end <-chan struct{}) error {
	for {
		buf := make([]byte, bufferSize)
		n, err := from.Read(buf)
		if n > 0 {
			select {
			case chunks <- buf[:n]:
			case <-end:
				return nil
			}
		}
		if err != nil {
			return err // io.EOF, or a connection cut on purpose
		}
	}
}

func (p *Proxy) muted(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections[c].muted
}

// wait holds bytes of one direction back; it returns false once the proxy is closed.
func (p *Proxy) wait(direction Direction) bool {
	for {
		p.mu.Lock()
		h := p.holds[direction]
		p.mu.Unlock()
		delay := time.Until(h.heldUntil)
		if delay <= 0 && time.Now().Before(h.delayUntil) {
			delay = h.delay
		}
		if delay <= 0 {
			return true
		}
		select {
		case <-time.After(delay):
		case <-p.closed:
			return false
		}
		if h.heldUntil.Before(time.Now()) {
			return true
		}
	}
}
