package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/exchange"
	"petrelstep/platform/callers"
	"petrelstep/protect/buffers"
)

// flood answers each send with a stream of events as fast as they are read.
type flood struct {
	events int
	sends  atomic.Int64
}

func (f *flood) Send(ctx context.Context, _ exchange.Send) (*exchange.Answer, error) {
	f.sends.Add(1)
	return &exchange.Answer{Status: http.StatusOK, Sealed: true, Framed: true, Message: http.Header{}, Body: &floodBody{ctx: ctx, left: f.events}}, nil
}

type floodBody struct {
	ctx      context.Context
	at, left int
}

var padding = strings.Repeat("x", 300)

func (b *floodBody) Next() (exchange.Event, error) {
	if b.ctx.Err() != nil {
		return exchange.Event{}, b.ctx.Err()
	}
	if b.left == 0 {
		return exchange.Event{}, io.EOF
	}
	e := exchange.Event{ID: b.at, Raw: fmt.Appendf(nil, "id: %d\ndata: %s\n\n", b.at, padding)}
	b.at++
	b.left--
	return e, nil
}

func (*floodBody) All(int) ([]byte, bool, error) { return nil, false, nil }
func (*floodBody) Read([]byte) (int, error)      { return 0, io.EOF }
func (*floodBody) Close()                        {}

const (
	// small socket buffers, so that the relay buffers what a caller does not read
	smallBuffer = 4 << 10
	floodEvents = 400 // of 320 bytes: 128 KB
)

// newSlowServer serves streams on real sockets. running returns the number of requested
// streams that have not ended.
func newSlowServer(t *testing.T, b *buffers.Buffers) (address string, running func(requested int) int) {
	w := newWorld(t, reply{})
	f := &flood{events: floodEvents}
	w.relay.Buffers, w.relay.Sender = b, f
	server := httptest.NewUnstartedServer(callers.New(w.relay, func() int { return 1 << 20 }, func() bool { return false }))
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		_ = c.(*net.TCPConn).SetWriteBuffer(smallBuffer)
		return ctx
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), func(requested int) int {
		return requested - int(f.sends.Load()) + w.runs.Len()
	}
}

// sendSlowReader sends a request and does not read the answer.
func sendSlowReader(t *testing.T, address, id string) net.Conn {
	t.Helper()
	c := sendRequest(t, address, id)
	is.New(t).NoErr(c.(*net.TCPConn).SetReadBuffer(smallBuffer))
	return c
}

func sendRequest(t *testing.T, address, id string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	_, err = fmt.Fprintf(c, "POST /draft/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nApi-Key: key\r\nDeadline-Ms: 29000\r\nContent-Length: 0\r\n\r\n", id)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// readWhole reads an answer to its end, checks the order of its events and returns their
// number.
func readWhole(c net.Conn, each func()) (int, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	lines, next := bufio.NewScanner(resp.Body), 0
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "id: ") {
			continue
		}
		if lines.Text() != fmt.Sprint("id: ", next) {
			return next, fmt.Errorf("got %q, want event %d", lines.Text(), next)
		}
		next++
		each()
	}
	return next, lines.Err()
}

// TestSlowReaders guards against unbounded memory when 300 callers stop reading answers of
// 38 MB together at a box with 1 MB of buffers. Callers that read must get all events.
func TestSlowReaders(t *testing.T) {
	is := is.New(t)
	const slow, quick, stream, box = 300, 12, 64 << 10, 1 << 20
	b := buffers.New(buffers.Limits{Stream: stream, Box: box})
	address, running := newSlowServer(t, b)
	for i := range slow {
		sendSlowReader(t, address, fmt.Sprint("slow", i))
	}
	for running(slow) > box/stream { // the remaining streams fill the buffers
		time.Sleep(time.Millisecond)
	}
	var all sync.WaitGroup
	for i := range quick {
		c := sendRequest(t, address, fmt.Sprint("quick", i))
		all.Go(func() {
			events, err := readWhole(c, func() {
				if held := b.Held(); held > box {
					t.Errorf("%d bytes buffered", held)
				}
			})
			if events != floodEvents || err != nil {
				t.Errorf("got %d events, error %v", events, err)
			}
		})
	}
	all.Wait()
	is.True(b.Held() > 0) // slow readers are kept while there is space
}

// TestPausedReaders guards against lost and repeated events when callers pause until their
// buffers are full and then read on.
func TestPausedReaders(t *testing.T) {
	const paused, stream = 20, 16 << 10
	b := buffers.New(buffers.Limits{Stream: stream, Box: 2 * paused * stream})
	address, _ := newSlowServer(t, b)
	var conns []net.Conn
	for i := range paused {
		conns = append(conns, sendSlowReader(t, address, fmt.Sprint("r", i)))
	}
	for b.Held() < paused*(stream-512) { // each stream's buffer is full
		time.Sleep(time.Millisecond)
	}
	var all sync.WaitGroup
	for _, c := range conns {
		all.Go(func() {
			if events, err := readWhole(c, func() {}); events != floodEvents || err != nil {
				t.Errorf("got %d events, error %v", events, err)
			}
		})
	}
	all.Wait()
	for b.Held() > 0 { // for the last writes to be recorded
		time.Sleep(time.Millisecond)
	}
}

// boundedCaller records the minimum time that a write may take.
type boundedCaller struct {
	caller
	by      time.Time
	minTime time.Duration
}

func (c *boundedCaller) WriteBy(at time.Time) { c.by = at }

func (c *boundedCaller) Write(p []byte) error {
	c.minTime = min(c.minTime, time.Until(c.by))
	return c.caller.Write(p)
}

// TestLongAnswerBound guards against the write deadline of an answer's buffered part
// applying to the rest, which comes as fast as its upstream sends it.
func TestLongAnswerBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, reply{body: strings.Repeat("b", 10<<10), rest: strings.Repeat("r", 40<<10)})
		w.relay.Buffers = buffers.New(buffers.Limits{Stream: 1 << 16, Box: 1 << 20})
		c := &boundedCaller{minTime: time.Hour}
		w.relay.Serve(t.Context(), request("/public/"), c)
		is.Equal(c.body.Len(), 50<<10)
		is.Equal(c.minTime, 15*time.Second)
	})
}

// TestDeadlineLost guards against not counting a stream as lost whose upstream is silent
// until the deadline, also if the caller has read all events.
func TestDeadlineLost(t *testing.T) {
	for name, path := range withAndWithoutBuffers(map[string]string{"a draft": "/draft/"}) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, reply{events: []int{0, 1}, silent: true})
				w.relay.Buffers = buffersFor(name)
				c := w.serve(t.Context(), path)
				is.True(c.aborted)
				page := httptest.NewRecorder()
				w.relay.Metrics.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/", nil))
				is.True(regexp.MustCompile(`petrelstep_refusals\S*reason="generation_lost"\S* 1\n`).MatchString(page.Body.String()))
			})
		})
	}
}
