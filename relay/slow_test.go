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

var filling = strings.Repeat("x", 300)

func (b *floodBody) Next() (exchange.Event, error) {
	if b.ctx.Err() != nil {
		return exchange.Event{}, b.ctx.Err()
	}
	if b.left == 0 {
		return exchange.Event{}, io.EOF
	}
	e := exchange.Event{ID: b.at, Raw: fmt.Appendf(nil, "id: %d\ndata: %s\n\n", b.at, filling)}
	b.at++
	b.left--
	return e, nil
}

func (*floodBody) All(int) ([]byte, bool, error) { return nil, false, nil }
func (*floodBody) Read([]byte) (int, error)      { return 0, io.EOF }
func (*floodBody) Close()                        {}

const (
	// small socket buffers leave what a caller does not read to the box.
	smallBuffer = 4 << 10
	floodEvents = 400 // of 320 bytes: 128 KB
)

// slowSite serves streams to real sockets. running returns how many of those that
// were asked for go on.
func slowSite(t *testing.T, b *buffers.Buffers) (address string, running func(asked int) int) {
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
	return server.Listener.Addr().String(), func(asked int) int {
		return asked - int(f.sends.Load()) + w.runs.Len()
	}
}

// askSlowly sends a request and reads no byte of its answer.
func askSlowly(t *testing.T, address, id string) net.Conn {
	t.Helper()
	c := ask(t, address, id)
	is.New(t).NoErr(c.(*net.TCPConn).SetReadBuffer(smallBuffer))
	return c
}

// ask sends a request.
func ask(t *testing.T, address, id string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	_, err = fmt.Fprintf(c, "POST /draft/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nApi-Key: key\r\nDeadline-Ms: 29000\r\nContent-Length: 0\r\n\r\n", id)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// readWhole reads an answer to its end and returns how many events came, in order.
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
			return next, fmt.Errorf("%q in place of event %d", lines.Text(), next)
		}
		next++
		each()
	}
	return next, lines.Err()
}

// TestSlowReaders lets 300 callers stop reading in the middle of their answers, of
// 38 MB together, at a box that holds 1 MB for them: what it holds stays bounded, and
// callers that read get all their events. It answers a crowd on bad links.
func TestSlowReaders(t *testing.T) {
	is := is.New(t)
	const slow, quick, stream, box = 300, 12, 64 << 10, 1 << 20
	b := buffers.New(buffers.Limits{Stream: stream, Box: box})
	address, running := slowSite(t, b)
	for i := range slow {
		askSlowly(t, address, fmt.Sprint("slow", i))
	}
	for running(slow) > box/stream { // those that are left hold all that they may
		time.Sleep(time.Millisecond)
	}
	var all sync.WaitGroup
	for i := range quick {
		c := ask(t, address, fmt.Sprint("quick", i))
		all.Go(func() {
			events, err := readWhole(c, func() {
				if held := b.Held(); held > box {
					t.Errorf("%d bytes are held", held)
				}
			})
			if events != floodEvents || err != nil {
				t.Errorf("%d events, %v", events, err)
			}
		})
	}
	all.Wait()
	is.True(b.Held() > 0) // slow ones were left as long as there was room
}

// TestPausedReaders lets callers stop, and read on after all that their stream may
// hold is held: none lacks an event, and none came twice.
func TestPausedReaders(t *testing.T) {
	const paused, stream = 20, 16 << 10
	b := buffers.New(buffers.Limits{Stream: stream, Box: 2 * paused * stream})
	address, _ := slowSite(t, b)
	var conns []net.Conn
	for i := range paused {
		conns = append(conns, askSlowly(t, address, fmt.Sprint("r", i)))
	}
	for b.Held() < paused*(stream-512) { // each holds what it may
		time.Sleep(time.Millisecond)
	}
	var all sync.WaitGroup
	for _, c := range conns {
		all.Go(func() {
			if events, err := readWhole(c, func() {}); events != floodEvents || err != nil {
				t.Errorf("%d events, %v", events, err)
			}
		})
	}
	all.Wait()
	for b.Held() > 0 { // the last bytes are noted
		time.Sleep(time.Millisecond)
	}
}

// boundedCaller notes how long each write may take.
type boundedCaller struct {
	caller
	by    time.Time
	least time.Duration
}

func (c *boundedCaller) WriteBy(at time.Time) { c.by = at }

func (c *boundedCaller) Write(p []byte) error {
	c.least = min(c.least, time.Until(c.by))
	return c.caller.Write(p)
}

// TestLongAnswerBound holds that the bound of a long answer's first writes does not
// stand for the rest, which comes as its upstream sends it.
func TestLongAnswerBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, reply{body: strings.Repeat("b", 10<<10), rest: strings.Repeat("r", 40<<10)})
		w.relay.Buffers = buffers.New(buffers.Limits{Stream: 1 << 16, Box: 1 << 20})
		c := &boundedCaller{least: time.Hour}
		w.relay.Serve(t.Context(), request("/public/"), c)
		is.Equal(c.body.Len(), 50<<10)
		is.Equal(c.least, 15*time.Second)
	})
}

// TestDeadlineLost holds that a stream whose upstream is silent until the deadline is
// counted as lost, also where its caller has taken all that came.
func TestDeadlineLost(t *testing.T) {
	for name, path := range twice(map[string]string{"a draft": "/draft/"}) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, reply{events: []int{0, 1}, silent: true})
				w.relay.Buffers = buffered(name)
				c := w.serve(t.Context(), path)
				is.True(c.aborted)
				page := httptest.NewRecorder()
				w.relay.Metrics.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/", nil))
				is.True(regexp.MustCompile(`petrelstep_refusals\S*reason="generation_lost"\S* 1\n`).MatchString(page.Body.String()))
			})
		})
	}
}
