package dialer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/dialer"
	"petrelstep/links"
	"petrelstep/logs"
)

// counter implements links.Counter.
type counter struct{}

func (counter) Dialed(string)      {}
func (counter) LinkChanged(string) {}

// way is how one attempt to connect ends.
type way struct {
	after time.Duration
	err   error // nil if it connects
}

// take plays a way and returns its connection.
func (w way) take(ctx context.Context, opened chan<- net.Conn) (net.Conn, error) {
	select {
	case <-time.After(w.after):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if w.err != nil {
		return nil, w.err
	}
	near, far := net.Pipe()
	opened <- far
	return near, nil
}

const (
	roundTrip    = 3 * time.Millisecond
	farRoundTrip = 64 * time.Millisecond
	noAnswer     = 120 * time.Millisecond
	maxOpened    = 8
	twoTimeout   = 2 * noAnswer
)

var (
	connects        = way{after: roundTrip}
	silent          = way{after: noAnswer, err: os.ErrDeadlineExceeded}
	refuses         = way{after: roundTrip, err: syscall.ECONNREFUSED}
	refusesPeer     = way{after: roundTrip, err: &dialer.PeerError{Outcome: links.Refused, Refused: true}}
	peerRefuses     = way{after: roundTrip, err: &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}} // the box does not listen
	cutOff          = way{after: roundTrip, err: &dialer.PeerError{Outcome: "link_cut", CutOff: true}}
	timesOut        = way{after: noAnswer, err: &dialer.PeerError{Outcome: links.TimedOut, Unreached: true}}
	farRefuses      = way{after: farRoundTrip, err: syscall.ECONNREFUSED}
	farConnects     = way{after: farRoundTrip}
	farRefusedTwice = way{after: 2 * farRoundTrip, err: &dialer.PeerError{Outcome: links.Refused, Refused: true}}
	gone            = way{after: roundTrip, err: io.EOF}
	slow            = way{after: 20 * time.Millisecond}
)

// dialTest is how the attempts of one connection end, and what is expected of it.
type dialTest struct {
	believed bool // the link is believed to be cut
	suspect  bool // another link is known to be cut
	check    bool // it is only to be found out whether the upstream has ended
	another  *way // to another upstream, which was reached before; nil if none was
	direct   []way
	peers    []way
	via      string // who connects: "", a peer or "none"
	refused  bool
	// suspected: it may be this box's link that fails
	suspected bool
	within    time.Duration
	cut       bool
	asked     int // peers
}

// dialed is what became of one connection.
type dialed struct {
	conn    net.Conn
	err     error
	took    time.Duration
	via     atomic.Value // the peer that connected
	asked   atomic.Int64
	regions []string
	opened  chan net.Conn // the upstream's ends
}

var (
	tested = links.Target{Address: "u1:1", Upstream: "u1"}
	other  = links.Target{Address: "u2:1", Upstream: "u2"}
)

// play dials with the attempts of a test.
func (tt dialTest) play(t *testing.T, l *links.Links) *dialed {
	switch {
	case tt.believed:
		l.ReachedByPeer(time.Now(), tested, "p9")
	case tt.suspect:
		l.ReachedByPeer(time.Now(), links.Target{Address: "u2:1", Upstream: "u2"}, "p9")
	}
	if tt.another != nil {
		l.Dialed(time.Now(), other, links.Connected)
	}
	got := &dialed{opened: make(chan net.Conn, maxOpened)}
	got.via.Store("")
	attempts := slices.Clone(tt.direct)
	direct := func(ctx context.Context, _, address string) (net.Conn, error) {
		if address == other.Address {
			return tt.another.take(ctx, got.opened)
		}
		w := attempts[0]
		attempts = attempts[1:]
		return w.take(ctx, got.opened)
	}
	peers := func(u links.Target) (list []dialer.Peer) {
		got.regions = u.Regions
		for i, w := range tt.peers {
			list = append(list, got.peer("p"+string(rune('0'+i)), w))
		}
		return list
	}
	d := dialer.New(direct, l, peers, func(u links.Target) links.Target { return u })
	ctx := dialer.WithTarget(t.Context(), links.Target{Upstream: "u1", Regions: []string{"west"}, Check: tt.check})
	began := time.Now()
	got.conn, got.err = d.Dial(ctx, "tcp", tested.Address)
	got.took = time.Since(began)
	time.Sleep(time.Second) // for attempts that were too late
	synctest.Wait()
	return got
}

// peer returns a peer that connects, or fails to, in the given way.
func (d *dialed) peer(name string, w way) dialer.Peer {
	return dialer.Peer{Name: name, Open: func(ctx context.Context, _ links.Target) (net.Conn, error) {
		d.asked.Add(1)
		conn, err := w.take(ctx, d.opened)
		if err == nil {
			d.via.Store(name)
		}
		return conn, err
	}}
}

// checkClosed checks that the connection, and those that came too late, are closed.
func (d *dialed) checkClosed(is *is.I) {
	if d.conn != nil {
		is.NoErr(d.conn.Close())
	}
	close(d.opened)
	for far := range d.opened {
		_, err := far.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
	}
}

// TestDial checks by which way a connection is opened, how long it takes, and what is then known
// of the link.
func TestDial(t *testing.T) {
	tests := map[string]dialTest{
		"direct":                                 {direct: []way{connects}, peers: []way{connects}, within: roundTrip},
		"an opening packet is lost":              {direct: []way{silent, connects}, peers: []way{slow}, within: noAnswer + roundTrip, asked: 1},
		"cut, hangs":                             {direct: []way{silent, silent}, peers: []way{connects}, via: "p0", within: noAnswer + roundTrip, cut: true, asked: 1},
		"cut, refuses":                           {direct: []way{refuses}, peers: []way{connects}, via: "p0", within: 2 * roundTrip, cut: true, asked: 1},
		"the first peer is cut off too":          {direct: []way{refuses}, peers: []way{cutOff, connects}, via: "p1", within: 3 * roundTrip, cut: true, asked: 2},
		"the first peer does not answer":         {direct: []way{refuses}, peers: []way{{after: time.Hour}, connects}, via: "p1", within: 2*roundTrip + 60*time.Millisecond, cut: true, asked: 2},
		"ended":                                  {direct: []way{refuses}, peers: []way{refusesPeer, refusesPeer, refusesPeer, connects}, via: "none", refused: true, within: 4 * roundTrip, asked: 3},
		"ended, one box says so":                 {direct: []way{refuses}, peers: []way{{after: time.Hour}, refusesPeer}, via: "none", refused: true, within: 2 * roundTrip, asked: 2},
		"ended, this box reaches another":        {direct: []way{refuses}, peers: []way{{after: time.Hour}, {after: time.Hour}}, another: &connects, via: "none", refused: true, within: roundTrip + 50*time.Millisecond, asked: 2},
		"ended, far away, checked":               {check: true, direct: []way{farRefuses}, peers: []way{farRefusedTwice, farRefusedTwice}, another: &farConnects, via: "none", refused: true, within: 2 * farRoundTrip, asked: 2},
		"cut, refuses, others are reached":       {direct: []way{refuses}, peers: []way{connects}, another: &connects, via: "p0", within: 2 * roundTrip, cut: true, asked: 1},
		"ended, no other box":                    {direct: []way{refuses}, via: "none", refused: true, within: roundTrip},
		"ended, other boxes do not answer":       {direct: []way{refuses}, peers: []way{gone, gone, gone}, via: "none", refused: true, within: 4 * roundTrip, asked: 3},
		"silent, other boxes are cut off":        {direct: []way{silent, silent}, peers: []way{cutOff, cutOff, cutOff}, via: "none", suspected: true, within: twoTimeout + 30*time.Millisecond, asked: 3},
		"refused, other boxes are cut off":       {direct: []way{refuses}, peers: []way{cutOff, cutOff, cutOff}, via: "none", suspected: true, within: 4 * roundTrip, asked: 3},
		"silent, other boxes do not listen":      {direct: []way{silent, silent}, peers: []way{peerRefuses, peerRefuses, peerRefuses}, via: "none", within: twoTimeout + 30*time.Millisecond, asked: 3},
		"refused, one other box does not listen": {direct: []way{refuses}, peers: []way{peerRefuses, connects}, via: "p1", within: 3 * roundTrip, cut: true, asked: 2},
		"refused here, silent to others":         {direct: []way{refuses}, peers: []way{timesOut, timesOut, timesOut}, via: "none", within: twoTimeout + 30*time.Millisecond, asked: 3},
		"silent to all":                          {direct: []way{silent, silent}, peers: []way{timesOut, timesOut, timesOut}, via: "none", within: twoTimeout + 30*time.Millisecond, asked: 3},
		"believed to be cut":                     {believed: true, direct: []way{connects}, peers: []way{connects}, via: "p0", within: roundTrip, cut: true, asked: 1},
		"believed to be cut, peers are cut off":  {believed: true, direct: []way{connects}, peers: []way{cutOff, cutOff}, within: 3 * roundTrip, asked: 2},
		"believed to be cut, ended":              {believed: true, direct: []way{refuses}, peers: []way{refusesPeer, refusesPeer, refusesPeer}, via: "none", refused: true, within: 4 * roundTrip, cut: true, asked: 3},
		"another link is cut":                    {suspect: true, direct: []way{silent, silent}, peers: []way{connects}, via: "p0", within: 30*time.Millisecond + roundTrip, cut: true, asked: 1},
		"another link is cut, this one is not":   {suspect: true, direct: []way{connects}, peers: []way{connects}, within: roundTrip},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := links.New(counter{}, logs.New(io.Discard, "error", "b0"))
				got := tt.play(t, l)
				is.Equal(got.err != nil, tt.via == "none")
				is.Equal(errors.Is(got.err, syscall.ECONNREFUSED), tt.refused)
				var unreached *dialer.UnreachedError
				is.Equal(errors.As(got.err, &unreached) && unreached.LinkSuspect, tt.suspected)
				is.True(got.took <= tt.within)
				is.Equal(l.Cut(tested), tt.cut)
				is.Equal(int(got.asked.Load()), tt.asked)
				if got.asked.Load() > 0 {
					is.Equal(got.regions, []string{"west"})
				}
				if got.err == nil {
					is.Equal(got.via.Load(), tt.via)
				}
				got.checkClosed(is)
			})
		})
	}
}

// TestDirectForPeer checks that a box tells another one that an upstream does not answer only if its
// own links are intact.
func TestDirectForPeer(t *testing.T) {
	tests := map[string]peerDialTest{
		"connects":                             {tested: connects, another: refuses},
		"ended":                                {tested: refuses, another: connects, err: syscall.ECONNREFUSED},
		"silent":                               {tested: silent, another: connects, err: os.ErrDeadlineExceeded},
		"refused, as the links are cut":        {tested: refuses, another: refuses, link: true},
		"silent, as the links are cut":         {tested: silent, another: silent, link: true},
		"refused, nothing reached before this": {first: true, tested: refuses, link: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				conn, err := tt.play(t)
				is.Equal(conn != nil, tt.err == nil && !tt.link)
				is.Equal(errors.As(err, new(*dialer.LinkError)), tt.link)
				is.True(tt.err == nil || errors.Is(err, tt.err))
			})
		})
	}
}

// peerDialTest is how a box connects for another one.
type peerDialTest struct {
	first   bool // the box has reached no other upstream yet
	tested  way
	another way
	err     error // nil if it connects
	link    bool
}

func (tt peerDialTest) play(t *testing.T) (net.Conn, error) {
	l := links.New(counter{}, logs.New(io.Discard, "error", "b0"))
	if !tt.first {
		l.Dialed(time.Now(), links.Target{Address: "u2:1", Upstream: "u2"}, links.Connected)
	}
	opened := make(chan net.Conn, maxOpened)
	direct := func(ctx context.Context, _, address string) (net.Conn, error) {
		if address == tested.Address {
			return tt.tested.take(ctx, opened)
		}
		return tt.another.take(ctx, opened)
	}
	d := dialer.New(direct, l, func(links.Target) []dialer.Peer { return nil }, func(u links.Target) links.Target { return u })
	return d.DirectForPeer(t.Context(), tested)
}

// TestCanceled checks that nothing is recorded of a connection that is no longer needed.
func TestCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := links.New(counter{}, logs.New(io.Discard, "error", "b0"))
		opened := make(chan net.Conn, maxOpened)
		d := dialer.New(func(ctx context.Context, _, _ string) (net.Conn, error) { return silent.take(ctx, opened) }, l,
			func(links.Target) []dialer.Peer { return nil }, func(u links.Target) links.Target { return u })
		ctx, cancel := context.WithTimeout(t.Context(), roundTrip)
		defer cancel()
		_, err := d.Dial(ctx, "tcp", "u1:1")
		is.True(err != nil)
		is.True(l.Quiet())
	})
}

// BenchmarkDial measures what a connection costs in addition while no link is cut.
func BenchmarkDial(b *testing.B) {
	near, _ := net.Pipe()
	direct := func(context.Context, string, string) (net.Conn, error) { return near, nil }
	d := dialer.New(direct, links.New(counter{}, logs.New(io.Discard, "error", "b0")), func(links.Target) []dialer.Peer { return nil }, func(u links.Target) links.Target { return u })
	ctx := dialer.WithTarget(context.Background(), links.Target{Upstream: "u1"})
	for b.Loop() {
		if _, err := d.Dial(ctx, "tcp", "u1:1"); err != nil {
			b.Fatal(err)
		}
	}
}
