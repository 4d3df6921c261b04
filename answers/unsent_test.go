package answers_test

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"petrelstep/answers"
)

// partWriteError is the error of a write, which tells whether it sent anything.
type partWriteError struct{ unsent bool }

func (*partWriteError) Error() string  { return "not written" }
func (e *partWriteError) Unsent() bool { return e.unsent }

// redialError is the error of a connection that had to open another one to go on.
func redialError() error {
	return &net.OpError{Op: "dial", Err: &partWriteError{unsent: true}}
}

// failingConn is a connection that fails from a write on, or as it is read.
type failingConn struct {
	net.Conn
	writes   int   // that work before one fails; negative if none fails
	writeErr error // of the write that fails
	readErr  error // of reads; nil if they work
	waitRead bool  // a read fails after a write
	wrote    sync.Once
	written  chan struct{}
}

func (c *failingConn) Write(p []byte) (int, error) {
	if c.writes == 0 {
		return 0, c.writeErr
	}
	c.writes--
	n, err := c.Conn.Write(p)
	c.wrote.Do(func() { close(c.written) })
	return n, err
}

func (c *failingConn) Read(p []byte) (int, error) {
	if c.readErr == nil {
		return c.Conn.Read(p)
	}
	if c.waitRead {
		<-c.written
	}
	return 0, c.readErr
}

// unsentTest is a call that fails.
type unsentTest struct {
	dial      error
	conn      *failingConn
	canceled  bool
	calls     int // that work on the same connection before
	unsent    bool
	connected bool
}

// transport returns a transport with the one connection of a test.
func (tt unsentTest) transport() *answers.Transport {
	conn, dials := cmp.Or(tt.conn, &failingConn{}), 0
	conn.written = make(chan struct{})
	return answers.NewTransport(&http.Transport{DialContext: func(ctx context.Context, network, address string) (_ net.Conn, err error) {
		dials++
		if tt.dial != nil || dials > 1 {
			return nil, cmp.Or(tt.dial, error(syscall.ECONNREFUSED))
		}
		conn.Conn, err = (&net.Dialer{}).DialContext(ctx, network, address)
		return conn, err
	}})
}

// post sends a request with a body of a size and reads its answer.
func post(ctx context.Context, transport *answers.Transport, address string, size int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		return err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func (tt unsentTest) check(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	defer server.Close()
	transport := tt.transport()
	defer transport.CloseIdleConnections()
	for range tt.calls {
		is.NoErr(post(t.Context(), transport, server.URL, 10))
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if tt.canceled {
		cancel()
	}
	err := post(ctx, transport, server.URL, 100_000)
	is.True(err != nil)
	is.Equal(answers.Unsent(err), tt.unsent)
	var unsent *answers.UnsentError
	if errors.As(err, &unsent) {
		is.Equal(unsent.Connected, tt.connected)
	}
}

// TestUnsent guards against calls that count as not sent by the kind of their error, although their
// request was written.
func TestUnsent(t *testing.T) {
	tests := map[string]unsentTest{
		"dial times out":                    {dial: &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, unsent: true},
		"dial is refused":                   {dial: &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, unsent: true},
		"dial fails by another error":       {dial: io.ErrUnexpectedEOF, unsent: true},
		"canceled before":                   {canceled: true, unsent: true},
		"first write fails":                 {conn: &failingConn{writeErr: syscall.ECONNRESET}, connected: true},
		"first write fails by a dial":       {conn: &failingConn{writeErr: redialError()}, connected: true},
		"first write sent nothing":          {conn: &failingConn{writeErr: &partWriteError{unsent: true}}, unsent: true, connected: true},
		"first write may have sent some":    {conn: &failingConn{writeErr: &partWriteError{}}, connected: true},
		"second write sent nothing":         {conn: &failingConn{writes: 1, writeErr: &partWriteError{unsent: true}}, connected: true},
		"a read fails by a dial":            {conn: &failingConn{writes: -1, readErr: redialError(), waitRead: true}, connected: true},
		"a read fails by a refused dial":    {conn: &failingConn{writes: -1, readErr: &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, waitRead: true}, connected: true},
		"a later request, nothing sent":     {conn: &failingConn{writes: 1, writeErr: &partWriteError{unsent: true}}, calls: 1, unsent: true, connected: true},
		"a later request, some sent":        {conn: &failingConn{writes: 1, writeErr: syscall.EPIPE}, calls: 1, connected: true},
		"a later request, second of two":    {conn: &failingConn{writes: 3, writeErr: &partWriteError{unsent: true}}, calls: 1, connected: true},
		"a read fails, and nothing is sent": {conn: &failingConn{readErr: io.ErrUnexpectedEOF, writeErr: &partWriteError{unsent: true}}, unsent: true, connected: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.check(t)
		})
	}
}
