package intake

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"petrelstep/protect/capacity"
)

// closings counts closed connections by reason.
type closings map[string]int

// ClientClosed implements Counter.
func (c closings) ClientClosed(reason string) { c[reason]++ }

func quiet() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

func nothingHeld() int { return 0 }

// fakeConn is a connection that records how it ends.
type fakeConn struct {
	net.Conn
	closed, interrupted bool
}

func (c *fakeConn) Read(p []byte) (int, error)       { return 0, io.EOF }
func (c *fakeConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *fakeConn) Close() error                     { c.closed = true; return nil }
func (c *fakeConn) SetReadDeadline(time.Time) error  { c.interrupted = true; return nil }
func (c *fakeConn) SetWriteDeadline(time.Time) error { return nil }
func (c *fakeConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// stand is an intake with one listener, without a network.
type stand struct {
	*Intake
	listener *Listener
	closings closings
	now      time.Time
}

func newStand(c capacity.Capacity, connections int) *stand {
	s := &stand{closings: closings{}, now: time.Unix(1000, 0)}
	s.Intake = New(c, nothingHeld, s.closings, quiet())
	bounds := Bounds{HeaderBytes: 64 << 10, HeaderTime: 10 * time.Second, IdleTime: time.Minute}
	s.listener = s.Listener(nil, "callers", connections, 0, func() Bounds { return bounds })
	return s
}

// connect opens a connection; nil if it is closed at once.
func (s *stand) connect() *Conn {
	s.now = s.now.Add(time.Millisecond)
	return s.listener.track(&fakeConn{}, s.now)
}

// TestConnectionsGiveWay checks which connection is closed for a new one.
func TestConnectionsGiveWay(t *testing.T) {
	for name, tt := range map[string]struct {
		stages []stage // of the connections, oldest first
		closed int     // index of the one that is closed; that of the new one if none gives way
	}{
		"nothing sent, oldest":             {[]stage{stageNew, stageNew, stageNew, stageNew}, 0},
		"idle, oldest":                     {[]stage{stageServing, stageIdle, stageIdle, stageServing}, 1},
		"of the most":                      {[]stage{stageIdle, stageNew, stageHead, stageHead}, 2},
		"body that arrives":                {[]stage{stageBody, stageIdle, stageBody, stageBody}, 0},
		"refused, still sending":           {[]stage{stageServing, stageServing, stageServing, stageLinger}, 3},
		"requests that are served do not":  {[]stage{stageServing, stageServing, stageServing, stageServing}, 4},
		"a single one that is not served":  {[]stage{stageServing, stageServing, stageHead, stageServing}, 2},
		"the new one is not the first out": {[]stage{stageServing, stageServing, stageServing, stageNew}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newStand(capacity.New(64, 4096), len(tt.stages))
			var all []*fakeConn
			for _, at := range tt.stages {
				c := s.connect()
				c.enter(at, s.now)
				all = append(all, c.Conn.(*fakeConn))
			}
			inner := &fakeConn{}
			s.listener.track(inner, s.now.Add(time.Second))
			for i, c := range append(all, inner) {
				is.Equal(c.closed, i == tt.closed)
			}
			is.Equal(s.closings[ReasonConnections], 1)
			is.Equal(s.Connections(), len(tt.stages))
		})
	}
}

// TestProgressKept checks that a body that makes progress does not give way to a new connection
// before those whose requests were refused or that paused, and then by a refusal. It guards against
// its being closed in place of those, or because others had to give way already.
func TestProgressKept(t *testing.T) {
	type client struct {
		stage  stage
		paused time.Duration // since its last bytes
		ending bool
	}
	slow := client{stage: stageBody, paused: 100 * time.Millisecond}
	for name, tt := range map[string]struct {
		clients []client // oldest first
		ends    int      // index of the one that gives way
		refused bool     // by a refusal, not closed
	}{
		"refused, still sending":           {clients: []client{slow, slow, {stage: stageLinger}}, ends: 2},
		"many that have to give way":       {clients: []client{slow, {stage: stageBody, ending: true}, {stage: stageBody, ending: true}, {stage: stageNew}}, ends: 3},
		"the body that paused for longest": {clients: []client{{stage: stageBody, paused: 5 * time.Second}, {stage: stageBody, paused: 3 * time.Second}, slow}, ends: 0},
		"one that pauses shortly":          {clients: []client{{stage: stageBody, paused: time.Second}, slow, {stage: stageBody}}, ends: 0, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newStand(capacity.New(64, 4096), len(tt.clients))
			var all []*fakeConn
			for _, c := range tt.clients {
				conn := s.connect()
				conn.enter(c.stage, s.now)
				conn.lastBytes = s.now.Add(-c.paused)
				if c.ending {
					conn.giveWay(ReasonMemory, true)
				}
				all = append(all, conn.Conn.(*fakeConn))
			}
			s.listener.track(&fakeConn{}, s.now)
			for i, c := range all {
				is.Equal(c.closed, i == tt.ends && !tt.refused)
				is.Equal(c.interrupted, i == tt.ends && tt.refused)
			}
			is.Equal(s.closings[ReasonConnections], 1)
		})
	}
}

// TestRefusalsInPlaceBounded checks that connections that are open until their refusal is written
// are bounded, and counted no more afterwards.
func TestRefusalsInPlaceBounded(t *testing.T) {
	is := is.New(t)
	const connections = 100
	s := newStand(capacity.New(64, 4096), connections)
	var all []*Conn
	for range 3 * connections {
		c := s.connect()
		c.begin(true)
		c.lastBytes = s.now.Add(time.Hour)
		all = append(all, c)
		is.True(s.Connections() <= connections+maxRefusing)
	}
	is.Equal(s.listener.refusing, maxRefusing)
	for _, c := range all {
		s.finishConn(c)
	}
	is.Equal(s.listener.refusing, 0)
	is.Equal(s.Connections(), 0)
}

// TestMemoryGivesWay checks whose request gives way when heads and bodies use up their parts of
// the account.
func TestMemoryGivesWay(t *testing.T) {
	size := capacity.New(64, 4096)
	arriving, large := size.Arriving(), size.Large()
	type client struct {
		head, body int64
		age        time.Duration
		paused     time.Duration // since its last progress
	}
	for name, tt := range map[string]struct {
		clients     []client
		adds        int   // bytes that the last one adds to its body
		interrupted []int // indexes of those that are refused
		refused     bool  // the last one is
	}{
		"all have room": {
			clients: []client{{body: 32 << 10, age: time.Second}, {body: 4 << 10}}, adds: 4 << 10,
		},
		"the one that holds most for longest": {
			clients: []client{{body: 64 << 10, age: time.Second}, {head: arriving - 100<<10, age: time.Second}, {body: 63 << 10}}, adds: 1 << 10,
			interrupted: []int{1},
		},
		"a large one that has stalled": {
			clients: []client{{body: large / 2, age: time.Second, paused: 100 * time.Millisecond}, {body: large / 2, age: time.Second, paused: time.Second}, {body: 64 << 10}}, adds: 100 << 10,
			interrupted: []int{1},
		},
		"large ones in progress do not": {
			clients: []client{{body: large / 2, age: time.Second}, {body: large / 2, age: time.Second}, {body: 64 << 10}}, adds: 100 << 10,
			refused: true,
		},
		"a small one has room beside large ones": {
			clients: []client{{body: large / 2, age: time.Second}, {body: large / 2, age: time.Second}, {body: 4 << 10}}, adds: 4 << 10,
		},
		"a body that is alone": {
			clients: []client{{body: 64 << 10}}, adds: int(large) * 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newStand(size, 100)
			var all []*Conn
			for _, c := range tt.clients {
				conn := s.connect()
				conn.begin(true)
				conn.since, conn.progress = time.Now().Add(-c.age), time.Now().Add(-c.paused)
				conn.head, conn.body = c.head, c.body
				conn.account()
				all = append(all, conn)
			}
			is.Equal(all[len(all)-1].reserveBody(tt.adds), !tt.refused)
			var interrupted []int
			for i, c := range all {
				if c.Conn.(*fakeConn).interrupted {
					interrupted = append(interrupted, i)
				}
			}
			is.Equal(interrupted, tt.interrupted)
		})
	}
}

// TestOrganisationsLeaveRoom checks that requests of one organisation, or of several, do not
// take all places of a box.
func TestOrganisationsLeaveRoom(t *testing.T) {
	for name, organisations := range map[string]int{"one": 1, "three": 3, "ten": 10} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newStand(capacity.New(88, 4100), 10000)
			places, served := s.capacity.MaxRequests(0), 0
			for n := range 20 * places {
				c := s.connect()
				c.begin(false)
				if !c.BeginRequest(fmt.Sprint("greedy-", n%organisations)) {
					c.end()
					c.release()
					continue
				}
				served++
			}
			is.True(served >= places*8/9-1)
			is.True(served < places)
			other := s.connect()
			other.begin(false)
			is.True(other.BeginRequest("other"))
			is.True(!s.Full())
		})
	}
}

// TestHeadCountsUntilAnswered checks that the head of a request stays in the account until its
// answer is written or its connection has ended. It guards against handled requests whose heads
// were in memory but not in the account.
func TestHeadCountsUntilAnswered(t *testing.T) {
	const head = 1 << 20
	for name, tt := range map[string]struct {
		hasBody bool
		ends    func(c *Conn)
	}{
		"served, used again":  {ends: (*Conn).becameIdle},
		"served, closed":      {ends: (*Conn).release},
		"refused, used again": {hasBody: true, ends: (*Conn).becameIdle},
		"refused, closed": {hasBody: true, ends: func(c *Conn) {
			c.stopReading(true)
			_ = c.Close()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newStand(capacity.New(64, 4096), 100)
			c := s.connect()
			c.head = head
			if c.begin(tt.hasBody); !tt.hasBody {
				is.True(c.BeginRequest(""))
			}
			c.end()
			is.True(s.Used()[PartArriving]+s.Used()[PartServing] >= head)
			tt.ends(c)
			is.Equal(s.Used()[PartArriving]+s.Used()[PartServing], int64(0))
		})
	}
}

// TestSweepAfterPause checks that connections that became late while the process was paused are
// closed only at the sweep after the next.
func TestSweepAfterPause(t *testing.T) {
	is := is.New(t)
	s := newStand(capacity.New(64, 4096), 10)
	c := s.connect()
	s.Sweep(s.now.Add(50 * time.Second))
	s.Sweep(s.now.Add(70 * time.Second))
	is.Equal(len(s.closings), 0)
	s.Sweep(s.now.Add(70*time.Second + 250*time.Millisecond))
	is.Equal(s.closings[ReasonIdle], 1)
	is.True(c.Conn.(*fakeConn).closed)
}

// TestAccount checks with up to thousands of connections that do anything that the account
// stays within its limits, and that nothing is left in it in the end.
func TestAccount(t *testing.T) {
	for name, connections := range map[string]int{"one": 1, "30": 30, "1000": 1000, "4000": 4000} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newStand(capacity.New(88, 4100), 2000)
			for _, c := range s.play(t, rand.New(rand.NewPCG(1, uint64(connections))), connections) {
				s.finishConn(c)
			}
			is.Equal(s.used, usage{})
			is.Equal(s.ending, usage{})
			is.Equal(s.Connections(), 0)
			is.Equal(s.requests, 0)
			is.Equal(len(s.owners), 0)
		})
	}
}

// play opens connections, up to a number, and lets them do anything. It returns those that are
// open in the end.
func (s *stand) play(t *testing.T, random *rand.Rand, connections int) (open []*Conn) {
	t.Helper()
	for range 20 * connections {
		if c := s.connect(); c != nil {
			open = append(open, c)
		}
		for range 4 {
			open[random.IntN(len(open))].doAnything(random)
		}
		open = s.dropEnded(open)
		if len(open) > connections {
			s.finishConn(open[0])
			open = open[1:]
		}
		s.check(t)
	}
	return open
}

// doAnything takes a connection through a step that net/http or a handler may take.
func (c *Conn) doAnything(random *rand.Rand) {
	if c.ending {
		return
	}
	switch c.stage {
	case stageNew, stageIdle, stageHead:
		if random.IntN(3) > 0 {
			c.arrived(make([]byte, random.IntN(4<<10)+1))
			return
		}
		c.begin(random.IntN(2) == 0)
	case stageBody:
		if random.IntN(4) > 0 {
			c.reserveBody(random.IntN(256 << 10))
			return
		}
		c.completeBody()
		c.BeginRequest(fmt.Sprint(random.IntN(5)))
	case stageServing:
		c.end()
		c.becameIdle()
	}
}

// finishConn ends a connection as net/http does.
func (s *stand) finishConn(c *Conn) {
	if c.stage == stageServing || c.stage == stageBody {
		c.end()
	}
	_ = c.Close()
	c.release()
}

// dropEnded ends the connections that have to.
func (s *stand) dropEnded(open []*Conn) (left []*Conn) {
	for _, c := range open {
		if c.ending {
			s.finishConn(c)
			continue
		}
		left = append(left, c)
	}
	return left
}

// check checks that the account is within its limits, but for requests that are refused at
// once.
func (s *stand) check(t *testing.T) {
	t.Helper()
	is := is.New(t)
	u := s.remaining()
	is.True(u.connections <= s.capacity.Connections()+connectionBytes)
	is.True(u.arriving <= s.capacity.Arriving())
	is.True(u.large <= s.capacity.Large()+256<<10) // one that is alone may use more
	is.True(u.connections >= 0 && u.arriving >= 0 && u.large >= 0 && u.serving >= 0)
	is.True(s.listener.open <= 2000)
	is.True(s.Full() || s.excess() <= 0)
}
