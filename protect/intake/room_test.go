package intake

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"petrelstep/protect/capacity"
)

// fullConn is a connection whose client has sent much.
type fullConn struct{ fakeConn }

func (c *fullConn) Read(p []byte) (int, error) { return len(p), nil }

// TestWaitsForReleased checks that a head or a body waits for the memory of connections that have
// to give way to it. It guards against new connections that were read in place of closed ones
// whose memory was still in use: the sum had no bound.
func TestWaitsForReleased(t *testing.T) {
	size := capacity.New(64, 4096)
	reads := func(c *Conn) bool { _, err := c.Read(make([]byte, readAheadBytes)); return err == nil }
	grows := func(bytes int) func(*Conn) bool {
		return func(c *Conn) bool {
			c.begin(true)
			_, err := c.grow(nil, bytes, Body{})
			return err == nil
		}
	}
	for name, tt := range map[string]struct {
		other int64              // bytes of another connection's head or, if negative, body
		needs func(c *Conn) bool // the use of memory; false if it is refused
		ends  func(other, c *Conn)
		waits bool
		fails bool
	}{
		"room for all":         {other: 1 << 20, needs: reads},
		"a head":               {other: size.Arriving(), needs: reads, ends: func(o, _ *Conn) { o.release() }, waits: true},
		"a small body":         {other: size.Arriving(), needs: grows(smallBodyBytes), ends: func(o, _ *Conn) { o.release() }, waits: true},
		"a large body":         {other: -size.Large(), needs: grows(1 << 20), ends: func(o, _ *Conn) { _ = o.dropBody(Body{}, nil) }, waits: true},
		"a head, all is taken": {other: -size.Memory(), needs: reads, ends: func(o, _ *Conn) { _ = o.dropBody(Body{}, nil) }, waits: true},
		"gives way itself": {
			other: size.Arriving(), needs: reads, waits: true, fails: true,
			ends: func(_, c *Conn) {
				c.listener.intake.mu.Lock()
				defer c.listener.intake.mu.Unlock()
				c.giveWay(ReasonMemory, false)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newStand(size, 100)
				other := s.connect()
				if other.enter(stageHead, s.now); tt.other < 0 {
					other.begin(true)
				}
				other.since, other.progress = s.now, s.now
				other.head, other.body = max(tt.other, 0), max(-tt.other, 0)
				other.account()
				c := s.listener.track(&fullConn{}, s.now)
				succeeded, done := false, false
				go func() { succeeded = tt.needs(c); done = true }()
				synctest.Wait()
				is.Equal(done, !tt.waits)
				if tt.waits {
					is.True(s.used.sum() > s.remaining().sum())
					tt.ends(other, c)
					synctest.Wait()
				}
				is.True(done)
				is.Equal(succeeded, !tt.fails)
				is.Equal(len(s.waiting), 0)
			})
		})
	}
}
