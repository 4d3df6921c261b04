// Package tunnel connects a box to upstreams over the links of another box, where its own are
// cut. Bytes are copied as they are.
package tunnel

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/links"
	"petrelstep/reset"
	"petrelstep/wire"
)

// Reasons for opening no connection for another box.
const (
	LinkCut         = "link_cut"         // this box does not reach the upstream either
	UnknownUpstream = "unknown_upstream" // no upstream of this box's fleet has the address
	Full            = "full"
	Stopping        = "stopping"
	OtherFleet      = "other_fleet"
)

// Overtaken is the outcome of an open that took longer than one through another box.
const Overtaken = "overtaken"

// OpenOutcomes returns all outcomes of opening a tunnel, for counters.
func OpenOutcomes() []string {
	return append(links.Outcomes(), LinkCut, UnknownUpstream, Full, Stopping, OtherFleet, Overtaken)
}

const (
	// idleTimeout is how long a tunnel may be without a call before it is closed: its box
	// calls at least once a second.
	idleTimeout = 3 * time.Second
	// writeTimeout bounds a write to an upstream that does not read.
	writeTimeout = 15 * time.Second
	// maxReadBytes bounds the bytes of one call.
	maxReadBytes = 32 << 10
)

// Counter counts the tunnels that this box opens for others.
type Counter interface {
	TunnelServed(outcome string)
}

// ServerComponents are the dependencies of a Server.
type ServerComponents struct {
	// Dial connects to an upstream over this box's own links.
	Dial func(ctx context.Context, t links.Target) (net.Conn, error)
	// Target returns the upstream of this box's fleet at an address; id may be empty.
	Target func(id, address string) (links.Target, bool)
	// Refusal returns why this box opens no tunnel for another one; empty if it does.
	Refusal func(ask wire.TunnelOpen, open int) string
	Counter Counter
	Log     *logrus.Entry
}

// Server opens connections to upstreams for other boxes. It is safe for concurrent use.
type Server struct {
	ServerComponents

	mu   sync.Mutex
	open map[int]*served
}

// served is a connection that is held open for another box.
type served struct {
	conn     net.Conn
	ask      wire.TunnelOpen
	openedAt time.Time
	lastCall time.Time
	calls    int  // that are running
	bytes    int  // sent to the box
	failed   bool // a write failed, which may have consumed the error that a read would return
}

// NewServer returns a server without open connections.
func NewServer(c ServerComponents) *Server {
	return &Server{ServerComponents: c, open: map[int]*served{}}
}

// Count returns the number of open connections.
func (s *Server) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Open opens a connection to an upstream.
func (s *Server) Open(ctx context.Context, ask wire.TunnelOpen) wire.TunnelOpened {
	began := time.Now()
	conn, outcome := s.connect(ctx, ask)
	s.Counter.TunnelServed(outcome)
	s.logFields(ask).WithFields(logrus.Fields{"outcome": outcome, "took_ms": time.Since(began).Milliseconds()}).Info("tunnel_served")
	if conn == nil {
		return wire.TunnelOpened{Outcome: outcome}
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	id := rand.IntN(1<<62) + 1
	s.open[id] = &served{conn: conn, ask: ask, openedAt: now, lastCall: now}
	return wire.TunnelOpened{ID: id, Outcome: outcome}
}

func (s *Server) connect(ctx context.Context, ask wire.TunnelOpen) (net.Conn, string) {
	if reason := s.Refusal(ask, s.Count()); reason != "" {
		return nil, reason
	}
	target, ok := s.Target(ask.Upstream, ask.Address)
	if !ok {
		return nil, UnknownUpstream
	}
	conn, err := s.Dial(ctx, target)
	return conn, outcomeOf(err)
}

// CutError says that a box does not connect to an upstream, as its own link to it is cut.
type CutError struct{}

// Error implements error.
func (*CutError) Error() string { return "the link to the upstream is cut" }

func outcomeOf(err error) string {
	var netErr net.Error
	switch {
	case err == nil:
		return links.Connected
	case errors.As(err, new(*CutError)):
		return LinkCut
	case errors.Is(err, syscall.ECONNREFUSED):
		return links.Refused
	case errors.As(err, &netErr) && netErr.Timeout():
		return links.TimedOut
	}
	return links.Failed
}

func (s *Server) logFields(ask wire.TunnelOpen) *logrus.Entry {
	return s.Log.WithFields(logrus.Fields{"for": ask.Box, "upstream": ask.Upstream, "address": ask.Address, "request": ask.Request})
}

// UnknownError reports a call for a tunnel that is not open.
type UnknownError struct{}

// Error implements error.
func (*UnknownError) Error() string { return "no such tunnel" }

// begin returns an open tunnel that is being called.
func (s *Server) begin(id int) (*served, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.open[id]
	if !ok {
		return nil, &UnknownError{}
	}
	t.calls++
	return t, nil
}

func (s *Server) end(t *served, sent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.calls--
	t.bytes += sent
	t.lastCall = time.Now()
}

// Read waits for bytes from an upstream.
func (s *Server) Read(ask wire.TunnelRead) (data wire.TunnelData, err error) {
	t, err := s.begin(ask.ID)
	if err != nil {
		return data, err
	}
	defer func() { s.end(t, len(data.Data)) }()
	if ask.MaxBytes <= 0 {
		return data, nil
	}
	// A connection that takes no deadline is closed, so that reading it does not block and says how.
	_ = t.conn.SetReadDeadline(time.Now().Add(time.Duration(ask.WaitMs) * time.Millisecond))
	buf := make([]byte, min(ask.MaxBytes, maxReadBytes))
	n, err := t.conn.Read(buf)
	data.Data = string(buf[:n])
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
	case err == io.EOF && !s.writeFailed(t):
		data.Closed = true
	default:
		data.Broken = true
	}
	return data, nil
}

// Write sends bytes to an upstream. After an error it is unknown which of them were sent.
func (s *Server) Write(ask wire.TunnelWrite) error {
	t, err := s.begin(ask.ID)
	if err != nil {
		return err
	}
	defer s.end(t, 0)
	if err := t.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err = io.WriteString(t.conn, ask.Data); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		t.failed = true
	}
	return err
}

func (s *Server) writeFailed(t *served) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.failed
}

// Close closes a connection.
func (s *Server) Close(ask wire.TunnelClose) {
	s.mu.Lock()
	t, ok := s.open[ask.ID]
	delete(s.open, ask.ID)
	s.mu.Unlock()
	if ok {
		s.closeServed(t, "closed")
	}
}

// Tick closes the connections of boxes that no longer call.
func (s *Server) Tick(now time.Time) {
	s.mu.Lock()
	var idle []*served
	for id, t := range s.open {
		if t.calls == 0 && now.Sub(t.lastCall) > idleTimeout {
			idle = append(idle, t)
			delete(s.open, id)
		}
	}
	s.mu.Unlock()
	for _, t := range idle {
		s.closeServed(t, "idle")
	}
}

// CloseAll closes all connections.
func (s *Server) CloseAll() {
	s.mu.Lock()
	all := s.open
	s.open = map[int]*served{}
	s.mu.Unlock()
	for _, t := range all {
		s.closeServed(t, "stopped")
	}
}

func (s *Server) closeServed(t *served, why string) {
	s.mu.Lock()
	sent := t.bytes
	s.mu.Unlock()
	closeConn := t.conn.Close
	if sent == 0 { // not answered: what the network holds back must not arrive later
		closeConn = func() error { return reset.Close(t.conn) }
	}
	err := closeConn()
	entry := s.logFields(t.ask).WithFields(logrus.Fields{"why": why, "open_ms": time.Since(t.openedAt).Milliseconds(), "bytes": sent})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("tunnel_closed")
}
