package intake_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"petrelstep/protect/capacity"
	"petrelstep/protect/intake"
	"petrelstep/refusal"
)

// closings counts closed connections by reason.
type closings struct {
	mu     sync.Mutex
	counts map[string]int
}

// ClientClosed implements intake.Counter.
func (c *closings) ClientClosed(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[reason]++
}

// memoryListener accepts connections in memory.
type memoryListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error { l.once.Do(func() { close(l.done) }); return nil }

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *memoryListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

const bodyLimit = 1 << 20

// server serves requests whose body may take 30 s, and reports their refusals as statuses.
type server struct {
	*closings
	intake *intake.Intake
	hold   chan struct{} // requests are answered once it is closed; nil for at once

	mu     sync.Mutex
	bounds intake.Bounds
}

func newServer() *server {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &server{closings: &closings{}, bounds: intake.Bounds{HeaderBytes: 2 << 10, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second}}
	s.intake = intake.New(capacity.New(64, 1000), func() int { return 0 }, s, logrus.NewEntry(log))
	return s
}

// serve serves a listener until the test ends.
func (s *server) serve(t *testing.T, inner net.Listener) {
	t.Helper()
	l := s.intake.Listener(inner, "callers", 100, 0, func() intake.Bounds {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.bounds
	})
	h := l.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		check := func() error {
			if r.Header.Get("Key") == "" {
				return refusal.New(refusal.WrongKey, "")
			}
			return nil
		}
		body, err := intake.ReadBody(w, r, intake.Body{Limit: bodyLimit, Until: time.Now().Add(30 * time.Second), Check: check, RetryAfter: time.Second})
		var refused refusal.Refusal
		switch {
		case errors.As(err, &refused):
			refused.Write(w)
		case !intake.From(r.Context()).BeginRequest(""):
			http.Error(w, "full", http.StatusServiceUnavailable)
		default:
			if s.hold != nil {
				<-s.hold
			}
			_, _ = fmt.Fprint(w, len(body))
		}
	}))
	var all sync.WaitGroup
	done := make(chan struct{})
	all.Go(func() { _ = h.Serve(l) })
	all.Go(func() {
		tick := time.NewTicker(250 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case now := <-tick.C:
				s.intake.Sweep(now)
			case <-done:
				return
			}
		}
	})
	t.Cleanup(func() { close(done); _ = h.Close(); all.Wait() })
}

const requestHead = "POST /a HTTP/1.1\r\nHost: h\r\nKey: k\r\n"

// step is what a client does.
type step struct {
	sends string
	every int           // the bytes are sent in pieces of this size; 0 for at once
	pause time.Duration // after each piece
	waits time.Duration // afterwards
	reads string        // begin of the answer that follows; empty: none is read
}

const (
	wholeRequest = requestHead + "Content-Length: 0\r\n\r\n"
	bodyRequest  = requestHead + "Content-Length: 65536\r\n\r\n"
)

var someBody = strings.Repeat("x", 64<<10)

// timeCase is a client and when it is closed.
type timeCase struct {
	steps  []step
	closed time.Duration // when the connection ends, from its start; 0: it does not
	reason string
	bounds intake.Bounds // in force after the first second, unless zero
}

var timeCases = map[string]timeCase{
	"nothing sent":                    {closed: 15 * time.Second, reason: intake.ReasonIdle},
	"half a head":                     {steps: []step{{sends: "POST /a HT", waits: time.Hour}}, closed: 3 * time.Second, reason: intake.ReasonHeaderTimeout},
	"a head by bytes":                 {steps: []step{{sends: wholeRequest, every: 1, pause: 100 * time.Millisecond}}, closed: 3 * time.Second, reason: intake.ReasonHeaderTimeout},
	"a head on a slow link":           {steps: []step{{sends: wholeRequest, every: 4, pause: 100 * time.Millisecond, reads: "HTTP/1.1 200"}}},
	"empty lines":                     {steps: []step{{sends: strings.Repeat("\r\n", 100), reads: "HTTP/1.1 400"}}},
	"idle":                            {steps: []step{{sends: wholeRequest, reads: "HTTP/1.1 200", waits: time.Hour}}, closed: 15 * time.Second, reason: intake.ReasonIdle},
	"used again":                      {steps: []step{{sends: wholeRequest, reads: "HTTP/1.1 200", waits: 12 * time.Second}, {sends: wholeRequest, reads: "HTTP/1.1 200", waits: 12 * time.Second}, {sends: wholeRequest, reads: "HTTP/1.1 200"}}},
	"a head after a rest":             {steps: []step{{sends: wholeRequest, reads: "HTTP/1.1 200", waits: 12 * time.Second}, {sends: "POST /a HT", waits: time.Hour}}, closed: 15 * time.Second, reason: intake.ReasonHeaderTimeout},
	"a body on a slow link":           {steps: []step{{sends: bodyRequest}, {sends: someBody, every: 4096, pause: time.Second, reads: "HTTP/1.1 200"}}},
	"a body that pauses":              {steps: []step{{sends: bodyRequest + someBody[:60000]}, {reads: "HTTP/1.1 408"}}, reason: intake.ReasonBodyTimeout},
	"a small body that pauses":        {steps: []step{{sends: requestHead + "Content-Length: 100\r\n\r\nabc"}, {reads: "HTTP/1.1 408"}}, reason: intake.ReasonBodyTimeout},
	"a body without progress":         {steps: []step{{sends: bodyRequest}, {sends: someBody[:2000], every: 100, pause: 600 * time.Millisecond}, {reads: "HTTP/1.1 408"}}, closed: 20 * time.Second, reason: intake.ReasonBodyTimeout},
	"a body beyond the request's end": {steps: []step{{sends: bodyRequest}, {sends: someBody[:59000], every: 4096, pause: 2200 * time.Millisecond, reads: "HTTP/1.1 408"}}, reason: intake.ReasonBodyTimeout},
	"a lossy link": {steps: []step{
		{sends: bodyRequest + someBody[:30000], waits: 9 * time.Second}, {sends: someBody[30000:60000], waits: 9 * time.Second}, {sends: someBody[60000:], reads: "HTTP/1.1 200"},
	}},
	"a longer time for heads": {
		steps:  []step{{sends: "POST /a HT", waits: 8 * time.Second}, {sends: "TP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", reads: "HTTP/1.1 200"}},
		bounds: intake.Bounds{HeaderBytes: 2 << 10, HeaderTime: 9 * time.Second, IdleTime: 15 * time.Second},
	},
	"a shorter idle time": {
		steps: []step{{sends: wholeRequest, reads: "HTTP/1.1 200", waits: time.Hour}}, closed: 5 * time.Second, reason: intake.ReasonIdle,
		bounds: intake.Bounds{HeaderBytes: 2 << 10, HeaderTime: 3 * time.Second, IdleTime: 5 * time.Second},
	},
	"a head over the limit": {
		steps: []step{{sends: requestHead + "Long: " + strings.Repeat("x", 8<<10), reads: "HTTP/1.1 431"}}, reason: intake.ReasonHeaderSize,
	},
	"a higher limit of heads": {
		steps:  []step{{waits: 2 * time.Second}, {sends: requestHead + "Long: " + strings.Repeat("x", 7<<10) + "\r\nContent-Length: 0\r\n\r\n", reads: "HTTP/1.1 200"}},
		bounds: intake.Bounds{HeaderBytes: 8 << 10, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second},
	},
}

// TestTime checks, in virtual time, for how long a client may take and when it is closed.
func TestTime(t *testing.T) {
	for name, tt := range timeCases {
		t.Run(name, func(t *testing.T) { synctest.Test(t, tt.run) })
	}
}

func (tt timeCase) run(t *testing.T) {
	is := is.New(t)
	s := newServer()
	l := &memoryListener{conns: make(chan net.Conn), done: make(chan struct{})}
	s.serve(t, l)
	conn := l.dial()
	defer conn.Close()
	if tt.bounds != (intake.Bounds{}) {
		time.AfterFunc(time.Second, func() { s.setBounds(tt.bounds) })
	}
	began := time.Now()
	c := newClient(conn)
	for _, st := range tt.steps {
		if c.do(t, st) {
			break
		}
	}
	if tt.closed > 0 {
		<-c.ended
		took := time.Since(began)
		is.True(took >= tt.closed && took < tt.closed+time.Second)
	}
	s.closings.mu.Lock()
	defer s.closings.mu.Unlock()
	if tt.reason == "" {
		is.Equal(len(s.counts), 0)
	} else {
		is.Equal(s.counts[tt.reason], 1)
	}
}

func (s *server) setBounds(b intake.Bounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bounds = b
}

// client reads all that is answered, in a task of its own.
type client struct {
	conn    net.Conn
	answers chan string
	ended   chan struct{}
}

func newClient(conn net.Conn) *client {
	c := &client{conn: conn, answers: make(chan string, 10), ended: make(chan struct{})}
	go func() {
		defer close(c.ended)
		in := bufio.NewReader(conn)
		for {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			c.answers <- resp.Proto + " " + resp.Status
		}
	}()
	return c
}

// do takes a step. It returns true if the connection has ended.
func (c *client) do(t *testing.T, s step) (ended bool) {
	t.Helper()
	size := s.every
	if size == 0 {
		size = max(len(s.sends), 1)
	}
	for left := s.sends; left != ""; {
		n := min(size, len(left))
		if _, err := io.WriteString(c.conn, left[:n]); err != nil {
			break // it was answered, or closed
		}
		left = left[n:]
		time.Sleep(s.pause)
	}
	if s.reads != "" {
		select {
		case got := <-c.answers:
			is.New(t).True(strings.HasPrefix(got, s.reads))
		case <-c.ended:
			t.Fatal("closed without an answer")
		}
	}
	select {
	case <-time.After(s.waits):
		return false
	case <-c.ended:
		return true
	}
}

// TestReadAhead checks that a client that sends much before the answer to its request is closed,
// and one that sends another request is served.
func TestReadAhead(t *testing.T) {
	for name, tt := range map[string]struct {
		sends  string // after the first request
		closed bool
	}{
		"another request": {sends: wholeRequest},
		"many requests":   {sends: strings.Repeat(wholeRequest, 2000), closed: true},
		"a large body":    {sends: requestHead + "Content-Length: 921600\r\n\r\n" + strings.Repeat("x", 900<<10), closed: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			s := newServer()
			s.hold = make(chan struct{})
			s.serve(t, inner)
			conn, err := net.Dial("tcp", inner.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, wholeRequest)
			is.NoErr(err)
			c := newClient(conn)
			_, _ = io.WriteString(conn, tt.sends) // fails if the connection is closed meanwhile
			if tt.closed {
				<-c.ended
				close(s.hold)
				s.closings.mu.Lock()
				defer s.closings.mu.Unlock()
				is.Equal(s.counts[intake.ReasonReadAhead], 1)
				return
			}
			close(s.hold)
			is.Equal([]string{<-c.answers, <-c.answers}, []string{"HTTP/1.1 200 OK", "HTTP/1.1 200 OK"})
		})
	}
}

// TestRefusalReachesSender checks that a client that reads only after it has sent everything
// gets the whole refusal.
func TestRefusalReachesSender(t *testing.T) {
	large := strings.Repeat("x", 900<<10)
	for name, tt := range map[string]struct {
		sends  string
		status string
	}{
		"served":                  {requestHead + "Content-Length: 921600\r\nConnection: close\r\n\r\n" + large, "200 OK"},
		"unknown key":             {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 921600\r\n\r\n" + large, "401 Unauthorized"},
		"unknown key, chunked":    {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\ne1000\r\n" + large + "\r\n0\r\n\r\n", "401 Unauthorized"},
		"unknown key, unfinished": {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 921600\r\n\r\n" + large[:200<<10], "401 Unauthorized"},
		"too large":               {requestHead + "Content-Length: 1048577\r\n\r\n" + large, "413 Request Entity Too Large"},
		"too large, chunked":      {requestHead + "Transfer-Encoding: chunked\r\n\r\ne1000\r\n" + large + "\r\ne1000\r\n" + large + "\r\n0\r\n\r\n", "413 Request Entity Too Large"},
		"head too large":          {requestHead + "Long: " + large + "\r\n\r\n", "431 Request Header Fields Too Large"},
		"expects to continue":     {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1048577\r\nExpect: 100-continue\r\n\r\n", "413 Request Entity Too Large"},
		"small, unknown key":      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc", "200 OK"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			s := newServer()
			s.serve(t, inner)
			conn, err := net.Dial("tcp", inner.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.(*net.TCPConn).SetWriteBuffer(16 << 10)) // what is not read is not sent
			_, err = io.WriteString(conn, tt.sends)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			_, err = io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.Status, tt.status)
		})
	}
}

// TestRefusalNotRead checks that the writing of a refusal ends soon although the client does not
// read it: others may wait for the memory of the request. The rest of the request is read then.
func TestRefusalNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServer()
		l := &memoryListener{conns: make(chan net.Conn), done: make(chan struct{})}
		s.serve(t, l)
		conn := l.dial()
		defer conn.Close()
		_, err := io.WriteString(conn, bodyRequest+someBody[:60000])
		is.NoErr(err)
		time.Sleep(12 * time.Second) // it is refused after 10 s
		s.closings.mu.Lock()
		is.Equal(s.counts[intake.ReasonBodyTimeout], 1)
		s.closings.mu.Unlock()
		is.NoErr(conn.SetWriteDeadline(time.Now().Add(time.Second)))
		_, err = io.WriteString(conn, someBody[60000:])
		is.NoErr(err)
	})
}
