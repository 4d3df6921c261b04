package tunnel_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/links"
	"petrelstep/logs"
	"petrelstep/peer"
	"petrelstep/peer/edgerpc"
	"petrelstep/peer/tunnel"
	"petrelstep/wire"
)

// counts implements tunnel.Counter.
type counts struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *counts) TunnelServed(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[outcome]++
}

// newServer returns a server whose connections are one end of a pipe; the others are received.
func newServer() (*tunnel.Server, <-chan net.Conn) {
	upstreams := make(chan net.Conn, 1)
	return tunnel.NewServer(tunnel.ServerComponents{
		Dial: func(context.Context, links.Target) (net.Conn, error) {
			near, far := net.Pipe()
			upstreams <- far
			return near, nil
		},
		Target: func(id, address string) (links.Target, bool) {
			return links.Target{Upstream: id, Address: address}, id == "u1"
		},
		Refusal: func(wire.TunnelOpen, int) string { return "" },
		Counter: &counts{n: map[string]int{}}, Log: logs.New(io.Discard, "error", "b1"),
	}), upstreams
}

// LostError is a call between boxes that got no answer.
type LostError struct{}

// Error implements error.
func (*LostError) Error() string { return "lost" }

// directCalls calls a server in memory.
type directCalls struct {
	*tunnel.Server
	lose func(method string) bool // reports whether the answer of a call is lost; nil for never
}

func (c directCalls) Forget(string) {}

func (c directCalls) Call(ctx context.Context, _, method string, args, reply any) (err error) {
	switch ask := args.(type) {
	case wire.TunnelOpen:
		*reply.(*wire.TunnelOpened) = c.Server.Open(ctx, ask)
	case wire.TunnelRead:
		*reply.(*wire.TunnelData), err = c.Server.Read(ask)
	case wire.TunnelWrite:
		err = c.Server.Write(ask)
	case wire.TunnelClose:
		c.Server.Close(ask)
	}
	if c.lose != nil && c.lose(method) {
		return &LostError{}
	}
	return err
}

// TestEnds checks that a reader sees the end of a connection only where the upstream closed it: an
// answer without a length would otherwise look whole.
func TestEnds(t *testing.T) {
	tests := map[string]struct {
		end  func(upstream net.Conn, server *tunnel.Server)
		lose bool
		eof  bool
	}{
		"the upstream closes":            {end: func(u net.Conn, _ *tunnel.Server) { _ = u.Close() }, eof: true},
		"the other box stops":            {end: func(_ net.Conn, s *tunnel.Server) { s.CloseAll() }},
		"an answer between them is lost": {end: func(u net.Conn, _ *tunnel.Server) { _ = u.Close() }, lose: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server, upstreams := newServer()
				var mu sync.Mutex
				ending := false
				client := tunnel.NewClient(directCalls{server, func(method string) bool {
					mu.Lock()
					defer mu.Unlock()
					return tt.lose && ending && method == peer.TunnelRead
				}}, "b0", "")
				conn, err := client.Open(t.Context(), "b1:1", links.Target{Upstream: "u1", Address: "u1:1"})
				is.NoErr(err)
				upstream := <-upstreams
				_, err = io.WriteString(upstream, "some")
				is.NoErr(err)
				got := make([]byte, 4)
				_, err = io.ReadFull(conn, got)
				is.NoErr(err)
				is.Equal(string(got), "some")
				mu.Lock()
				ending = true
				mu.Unlock()
				tt.end(upstream, server)
				_, err = conn.Read(got)
				is.Equal(err == io.EOF, tt.eof)
				is.True(tt.eof || errors.As(err, new(*tunnel.BrokenError)))
				_ = conn.Close()
				_ = upstream.Close()
				synctest.Wait()
				is.Equal(server.Count() == 0, !tt.lose || server.Count() == 0)
			})
		})
	}
}

// resetConn is a connection that was reset: a write returns the error, a read an ordinary end.
type resetConn struct{ net.Conn }

func (resetConn) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

func (resetConn) Read([]byte) (int, error) { return 0, io.EOF }

// TestEndAfterFailedWrite guards against a reset that crosses a tunnel as an ordinary end, as a write
// to the upstream has consumed its error.
func TestEndAfterFailedWrite(t *testing.T) {
	for name, writes := range map[string]bool{"a write failed": true, "nothing was written": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := tunnel.NewServer(tunnel.ServerComponents{
				Dial: func(context.Context, links.Target) (net.Conn, error) {
					near, far := net.Pipe()
					t.Cleanup(func() { _ = far.Close() })
					return resetConn{near}, nil
				},
				Target: func(id, address string) (links.Target, bool) {
					return links.Target{Upstream: id, Address: address}, true
				},
				Refusal: func(wire.TunnelOpen, int) string { return "" },
				Counter: &counts{n: map[string]int{}}, Log: logs.New(io.Discard, "error", "b1"),
			})
			opened := server.Open(t.Context(), wire.TunnelOpen{Upstream: "u1", Address: "u1:1"})
			if writes {
				is.True(server.Write(wire.TunnelWrite{ID: opened.ID, Data: "some"}) != nil)
			}
			data, err := server.Read(wire.TunnelRead{ID: opened.ID, MaxBytes: 1})
			is.NoErr(err)
			is.Equal(data.Broken, writes)
			is.Equal(data.Closed, !writes)
		})
	}
}

// TestClosed checks that the connection to the upstream is closed when the caller leaves, and when
// its box is no longer heard from.
func TestClosed(t *testing.T) {
	for name, closes := range map[string]bool{"closed by the box": true, "the box is gone": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server, upstreams := newServer()
				if closes {
					conn, err := tunnel.NewClient(directCalls{Server: server}, "b0", "").Open(t.Context(), "b1:1", links.Target{Upstream: "u1"})
					is.NoErr(err)
					is.NoErr(conn.Close())
				} else {
					server.Open(t.Context(), wire.TunnelOpen{Box: "b0", Upstream: "u1"})
					time.Sleep(4 * time.Second)
					server.Tick(time.Now())
				}
				_, err := (<-upstreams).Read(make([]byte, 1))
				is.Equal(err, io.EOF)
				is.Equal(server.Count(), 0)
				synctest.Wait()
			})
		})
	}
}

// TestSlowReader checks that what a reader does not take is held up at the upstream, and that the
// tunnel stays open meanwhile.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server, upstreams := newServer()
		conn, err := tunnel.NewClient(directCalls{Server: server}, "b0", "").Open(t.Context(), "b1:1", links.Target{Upstream: "u1"})
		is.NoErr(err)
		upstream := <-upstreams
		const size = 1 << 20
		var taken atomic.Int64
		go func() {
			for taken.Load() < size {
				n, err := upstream.Write(bytes.Repeat([]byte("x"), 1<<10))
				if err != nil {
					return
				}
				taken.Add(int64(n))
			}
			_ = upstream.Close()
		}()
		for range 60 {
			time.Sleep(time.Second)
			server.Tick(time.Now())
		}
		is.True(taken.Load() <= 128<<10) // held up
		is.Equal(server.Count(), 1)
		all, err := io.ReadAll(conn)
		is.NoErr(err)
		is.Equal(len(all), size)
		is.NoErr(conn.Close())
		synctest.Wait()
	})
}

// TestRefusals checks the reasons for which no connection is opened.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		upstream string
		refusal  string
		err      error
		outcome  string
	}{
		"opened":           {upstream: "u1", outcome: links.Connected},
		"unknown upstream": {upstream: "u2", outcome: tunnel.UnknownUpstream},
		"other fleet":      {upstream: "u1", refusal: tunnel.OtherFleet, outcome: tunnel.OtherFleet},
		"link cut":         {upstream: "u1", err: &tunnel.CutError{}, outcome: tunnel.LinkCut},
		"failed":           {upstream: "u1", err: io.ErrUnexpectedEOF, outcome: links.Failed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, _ := newServer()
			server.Refusal = func(wire.TunnelOpen, int) string { return tt.refusal }
			if tt.err != nil {
				server.Dial = func(context.Context, links.Target) (net.Conn, error) { return nil, tt.err }
			}
			opened := server.Open(t.Context(), wire.TunnelOpen{Upstream: tt.upstream})
			is.Equal(opened.Outcome, tt.outcome)
			is.Equal(opened.ID != 0, tt.outcome == links.Connected)
			server.CloseAll()
		})
	}
}

// overRPC returns a client whose calls go over net/rpc, and its server.
func overRPC(t testing.TB) (*tunnel.Client, *tunnel.Server, string) {
	server, _ := newServer()
	server.Dial = func(ctx context.Context, target links.Target) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", target.Address)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = edgerpc.New(ctx, nil, nil, server).Serve(listener) }()
	peers := peer.New(nil)
	t.Cleanup(peers.Close)
	return tunnel.NewClient(peers, "b0", ""), server, listener.Addr().String()
}

// TestOverRPC sends a long request and a long answer without a length through a tunnel.
func TestOverRPC(t *testing.T) {
	is := is.New(t)
	client, server, box := overRPC(t)
	body := strings.Repeat("0123456789", 40_000)
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		conn, err := upstream.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		got, _ := io.ReadAll(req.Body) // a short body fails the test
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+string(got))
	}()
	defer upstream.Close()
	target := links.Target{Upstream: "u1", Address: upstream.Addr().String()}
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return client.Open(ctx, box, target) }}
	req, err := http.NewRequest(http.MethodPost, "http://"+target.Address+"/x", strings.NewReader(body))
	is.NoErr(err)
	resp, err := transport.RoundTrip(req)
	is.NoErr(err)
	got, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(string(got) == body)
	_ = resp.Body.Close()
	transport.CloseIdleConnections()
	for end := time.Now().Add(20 * time.Second); server.Count() > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(server.Count(), 0)
}

// BenchmarkRequest measures a short request and its answer directly and through another box.
func BenchmarkRequest(b *testing.B) {
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(b).NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })}
	go func() { _ = server.Serve(upstream) }()
	defer server.Close()
	client, _, box := overRPC(b)
	target := links.Target{Upstream: "u1", Address: upstream.Addr().String()}
	dials := map[string]func(ctx context.Context, network, address string) (net.Conn, error){
		"direct": (&net.Dialer{}).DialContext,
		"tunnel": func(ctx context.Context, _, _ string) (net.Conn, error) { return client.Open(ctx, box, target) },
	}
	for name, dial := range dials {
		b.Run(name, func(b *testing.B) {
			transport := &http.Transport{DialContext: dial, DisableKeepAlives: true}
			for b.Loop() {
				req, err := http.NewRequest(http.MethodGet, "http://"+target.Address+"/", nil)
				if err != nil {
					b.Fatal(err)
				}
				resp, err := transport.RoundTrip(req)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}

// TestUnansweredClose guards against a request through a tunnel that reaches its upstream after it was
// given up, as the network held it back.
func TestUnansweredClose(t *testing.T) {
	tests := map[string]struct {
		answered bool
		want     error // of the upstream's next read
	}{
		"answered":     {answered: true, want: io.EOF},
		"not answered": {want: syscall.ECONNRESET},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			s := tunnel.NewServer(tunnel.ServerComponents{
				Dial: func(ctx context.Context, _ links.Target) (net.Conn, error) {
					return (&net.Dialer{}).DialContext(ctx, "tcp", listener.Addr().String())
				},
				Target: func(id, address string) (links.Target, bool) {
					return links.Target{Upstream: id, Address: address}, true
				},
				Refusal: func(wire.TunnelOpen, int) string { return "" },
				Counter: &counts{n: map[string]int{}}, Log: logs.New(io.Discard, "error", "b1"),
			})
			opened := s.Open(t.Context(), wire.TunnelOpen{Upstream: "u1"})
			far, err := listener.Accept()
			is.NoErr(err)
			defer far.Close()
			is.NoErr(s.Write(wire.TunnelWrite{ID: opened.ID, Data: "a request"}))
			_, err = io.ReadFull(far, make([]byte, len("a request")))
			is.NoErr(err)
			if tt.answered {
				_, err = io.WriteString(far, "an answer")
				is.NoErr(err)
				_, err = s.Read(wire.TunnelRead{ID: opened.ID, MaxBytes: 100, WaitMs: 1000})
				is.NoErr(err)
			}
			s.Close(wire.TunnelClose{ID: opened.ID})
			_, err = far.Read(make([]byte, 1))
			is.True(errors.Is(err, tt.want))
		})
	}
}
