package daemon_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/standin/cluster"
	"petrelstep/wire"
)

// TestCallRestoredDaemon guards against a call that runs twice when the store has lost its record:
// at a daemon that starts after the restore, as it cannot learn of it.
func TestCallRestoredDaemon(t *testing.T) {
	tests := map[string]struct {
		restart bool // the other box starts after the restore
		times   int  // that the store is restored
	}{
		"other box runs":        {times: 1},
		"other box starts":      {times: 1, restart: true},
		"other box starts, two": {times: 2, restart: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { playRestoredCall(t, tt.times, tt.restart) })
	}
}

// cutter forwards connections to the store until it is cut.
type cutter struct {
	net.Listener
	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

// newCutter returns a cutter to an address.
func newCutter(t *testing.T, address string) *cutter {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	c := &cutter{Listener: l}
	t.Cleanup(func() {
		_ = l.Close()
		c.set(true)
	})
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			c.forward(in, address)
		}
	}()
	return c
}

func (c *cutter) forward(in net.Conn, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out, err := net.Dial("tcp", address)
	if err != nil || c.cut {
		_ = in.Close()
		if err == nil {
			_ = out.Close()
		}
		return
	}
	c.conns = append(c.conns, in, out)
	for _, pair := range [][2]net.Conn{{in, out}, {out, in}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			_ = pair[0].Close()
		}()
	}
}

// set cuts the connections or lets new ones through.
func (c *cutter) set(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
	if cut {
		for _, conn := range c.conns {
			_ = conn.Close()
		}
		c.conns = nil
	}
}

// TestCallRestoredCutOff guards against a call that runs twice as its dispatcher, which other boxes
// are in touch with, did not reach the store after the restore.
func TestCallRestoredCutOff(t *testing.T) {
	is := is.New(t)
	var link *cutter
	s, err := cluster.New(cluster.Options{Boxes: 2, Engines: engines(1, 8), Change: func(c *wire.Settings) {
		if c.Box != "box0" {
			return
		}
		link = newCutter(t, c.Platform.Address)
		c.Platform.Address = link.Addr().String()
	}})
	is.NoErr(err)
	t.Cleanup(s.Close)
	old := s.Platform.Copy()
	is.Equal(callOnce(s, 0, "k"), "done")
	link.set(true)
	s.Platform.Suspend()
	s.Platform.Restore(old)
	s.Kill(1)
	is.NoErr(s.StartBox(1))
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		is.Equal(callOnce(s, 1, "k"), "not_run")
	}
	link.set(false)
	is.True(s.Await(func() bool { return callOnce(s, 1, "k") == "unknown" }))
	is.Equal(runCount(s, "k"), 1)
}

func playRestoredCall(t *testing.T, times int, restart bool) {
	is := is.New(t)
	s := newCluster(t, 2, engines(1, 8))
	old := s.Platform.Copy()
	is.Equal(callOnce(s, 0, "k"), "done")
	if restart {
		s.Kill(1)
	}
	for range times {
		s.Platform.Suspend()
		s.Platform.Restore(old)
	}
	if restart {
		is.NoErr(s.StartBox(1))
	}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until) && callOnce(s, 1, "k") != "unknown"; {
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(callOnce(s, 1, "k"), "unknown")
	is.Equal(runCount(s, "k"), 1)
	is.True(s.Await(func() bool { return callOnce(s, 0, "k") == "unknown" }))
	is.True(s.Await(func() bool { return callOnce(s, 0, "other") == "done" }))
	is.Equal(runCount(s, "other"), 1)
}
