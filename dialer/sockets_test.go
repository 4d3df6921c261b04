package dialer_test

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"petrelstep/dialer"
	"petrelstep/peer"
	"petrelstep/peer/edgerpc"
	"petrelstep/wire"
)

// userTimeout is TCP_USER_TIMEOUT, in milliseconds.
const userTimeout = 18

// timeoutOf returns the TCP_USER_TIMEOUT of an open connection.
func timeoutOf(t *testing.T, conn net.Conn) (ms int) {
	is := is.New(t)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	var got error
	is.NoErr(raw.Control(func(fd uintptr) { ms, got = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout) }))
	is.NoErr(got)
	return ms
}

// acceptTimeouts accepts connections and sends the TCP_USER_TIMEOUT of each.
type acceptTimeouts struct {
	net.Listener
	t    *testing.T
	seen chan int
}

// Accept implements net.Listener.
func (l acceptTimeouts) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.seen <- timeoutOf(l.t, conn)
	}
	return conn, err
}

// TestNoUserTimeout checks on open sockets that no TCP_USER_TIMEOUT is set: it would also decide
// when keep-alive probes give up, and end connections to machines that are silent for a while.
func TestNoUserTimeout(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	accepted := acceptTimeouts{listener, t, make(chan int, maxOpened)}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = edgerpc.New(ctx, nil, nil, nil).Serve(accepted) }()
	peers := peer.New(nil)
	defer peers.Close()
	_ = peers.Call(ctx, listener.Addr().String(), peer.ReturnSlot+"Missing", wire.Nothing{}, &wire.Nothing{}) // the connection matters, not the answer
	is.Equal(<-accepted.seen, 0)                                                                              // between boxes

	conn, err := dialer.Direct(ctx, "tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.Equal(timeoutOf(t, conn), 0) // to an upstream

	callers, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	fromCallers := acceptTimeouts{callers, t, make(chan int, maxOpened)}
	server := &http.Server{Handler: http.NotFoundHandler()}
	go func() { _ = server.Serve(fromCallers) }()
	defer server.Close()
	resp, err := http.Get("http://" + callers.Addr().String())
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(<-fromCallers.seen, 0) // of a caller
}
