package edge

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"petrelstep/exchange"
	"petrelstep/fingerprint"
	"petrelstep/platform/upstream"
)

const protocolConfigured = `{"version":3,"routes":[
{"name":"look","host":"h","path_prefix":"/look/","kind":"safe","timeout_ms":600,"latency_goal_ms":100,"service":"portal","max_attempts":2},
{"name":"once","host":"h","path_prefix":"/once/","kind":"unsafe","timeout_ms":600,"latency_goal_ms":100,"service":"portal","max_attempts":2},
{"name":"open","host":"h","path_prefix":"/open/","kind":"safe","timeout_ms":1000,"latency_goal_ms":1000,"service":"portal","max_attempts":2,"public":true},
{"name":"beside","host":"h","path_prefix":"/beside/","kind":"safe","timeout_ms":600,"latency_goal_ms":100,"service":"beside","max_attempts":2}],
"services":[{"name":"portal","max_conns":100},{"name":"beside","max_conns":100}],
"limits":{"max_body_bytes":4096},"tenants":[{"name":"council","api_keys":["key"]}]}`

// protocolWorker is a plain worker that speaks the platform's protocol over connections in
// memory.
type protocolWorker struct {
	id, hall string
	service  string
	server   *http.Server
	opened   chan net.Conn

	mu        sync.Mutex
	arrivals  []arrived
	refusals  []refused
	leaves    bool          // its answers say so
	rest      time.Duration // that it asks for as it turns all away; 0: it serves
	restUntil time.Time     // it turns all away until then, and asks for that much rest
	says      http.Header   // what its answers carry besides
}

// arrived is a request that has reached a worker.
type arrived struct {
	at   time.Time
	sent time.Time // by its caller
	box  string
}

// refused is an answer that asked a box for rest.
type refused struct {
	at   time.Time
	box  string
	rest time.Duration
}

// protocol are the plain workers of a crowd, of two services.
type protocol struct {
	crowd   *crowd
	workers []*protocolWorker
	byAddr  map[string]*protocolWorker

	mu     sync.Mutex
	sent   map[string]time.Time // by their callers, by request
	told   map[string]time.Time // when each box first passed on an answer that says that its worker leaves, by box and worker
	served int
	asked  int
	worst  time.Duration // until a request was refused
	backs  []time.Duration
}

// newProtocol starts boxes of three halls before some workers of a service, and one of
// another, and waits until they serve.
func newProtocol(ctx context.Context, t testing.TB, boxes, count int) *protocol {
	t.Helper()
	c := newCrowd(t, boxes, 3, 0, balanced...)
	p := &protocol{crowd: c, byAddr: map[string]*protocolWorker{}, sent: map[string]time.Time{}, told: map[string]time.Time{}}
	c.table.put("op", "config", protocolConfigured)
	for i := range count + 1 {
		w := &protocolWorker{id: fmt.Sprint("w", i), hall: fmt.Sprint("hall", i%3), service: "portal", opened: make(chan net.Conn)}
		if i == count {
			w.service = "beside"
		}
		p.workers = append(p.workers, w)
		p.byAddr[p.address(w)] = w
		p.enter(w, "ready")
		w.serve(p)
	}
	for _, e := range c.all {
		p.connect(e)
	}
	c.startAll(ctx)
	c.until(t, "serves", 5*time.Second, (*Edge).ready)
	time.Sleep(3 * time.Second)
	return p
}

func (p *protocol) address(w *protocolWorker) string { return "10.3.0." + w.id[1:] + ":1" }

// enter writes a worker's entry.
func (p *protocol) enter(w *protocolWorker, state string) {
	p.crowd.table.put("servers", w.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":6,"state":%q}`, w.service, p.address(w), w.hall, state))
}

// connect lets a box send to the workers by the platform's client.
func (p *protocol) connect(e *Edge) {
	e.relay.Sender = upstream.NewDialing(func(ctx context.Context, _, address string) (net.Conn, error) {
		w, ok := p.byAddr[address]
		if !ok {
			return nil, &net.OpError{Op: "dial", Err: io.EOF}
		}
		near, far := net.Pipe()
		select {
		case w.opened <- boxConn{far, e.Name()}:
			return near, nil
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
	})
}

// boxConn is a connection that a box has opened.
type boxConn struct {
	net.Conn
	box string
}

type boxKey struct{}

// Accept implements net.Listener.
func (w *protocolWorker) Accept() (net.Conn, error) {
	conn, ok := <-w.opened
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements net.Listener.
func (w *protocolWorker) Close() error { return nil }

// Addr implements net.Listener.
func (w *protocolWorker) Addr() net.Addr { return &net.UnixAddr{Name: w.id} }

func (w *protocolWorker) serve(p *protocol) {
	w.server = &http.Server{
		Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) { w.answer(p, out, r) }),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, boxKey{}, c.(boxConn).box)
		},
	}
	go func() { _ = w.server.Serve(w) }()
}

// answer answers one request.
func (w *protocolWorker) answer(p *protocol, out http.ResponseWriter, r *http.Request) {
	box, id := r.Context().Value(boxKey{}).(string), r.Header.Get("Request-Id")
	p.mu.Lock()
	sent := p.sent[id]
	p.mu.Unlock()
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrived{time.Now(), sent, box})
	leaves, rest, says := w.leaves, cmp.Or(w.rest, max(time.Until(w.restUntil), 0)), w.says.Clone()
	w.mu.Unlock()
	h := out.Header()
	h.Set("Request-Id", id)
	for name, values := range says {
		h[name] = values
	}
	if leaves {
		h.Set("Server-Leaving", "1")
	}
	if rest > 0 {
		h.Set("Not-Executed", "1")
		h.Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
		w.mu.Lock()
		w.refusals = append(w.refusals, refused{time.Now(), box, rest})
		w.mu.Unlock()
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(portalWork)
	h.Set("Response-Seal", "seal-"+w.id)
	_, _ = io.WriteString(out, w.id)
}

// set changes what a worker's answers say.
func (w *protocolWorker) set(f func(*protocolWorker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w)
}

// protocolCaller notes which answers were passed on.
type protocolCaller struct {
	asker
	*protocol
	box string
}

// Answer implements exchange.Caller.
func (c *protocolCaller) Answer(a *exchange.Answer, length int) error {
	if h, ok := a.Message.(http.Header); ok && h.Get("Server-Leaving") != "" {
		c.mu.Lock()
		key := c.box + " " + h.Get("Response-Seal")
		if _, ok := c.told[key]; !ok {
			c.told[key] = time.Now()
		}
		c.mu.Unlock()
	}
	return c.asker.Answer(a, length)
}

// ask sends one request to a box and returns what its caller is told.
func (p *protocol) ask(ctx context.Context, e *Edge, path string) *protocolCaller {
	p.mu.Lock()
	p.asked++
	id := fmt.Sprint("q", p.asked)
	p.sent[id] = time.Now()
	p.mu.Unlock()
	c := &protocolCaller{protocol: p, box: e.Name()}
	began := time.Now()
	e.relay.Serve(ctx, &exchange.Request{
		ID: id, Arrived: began, Host: "h", Path: path, Key: "key", Wait: time.Second, After: exchange.NoEvent,
		Content: fingerprint.New([]byte(id)), Message: &upstream.Message{Method: http.MethodGet, Target: path, Host: "h", Header: http.Header{}},
	}, c)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.status == http.StatusOK:
		p.served++
	default:
		p.worst = max(p.worst, time.Since(began))
		p.backs = append(p.backs, c.refused.RetryAfter())
	}
	return c
}

// press lets callers come for some time, at any box, and returns how many there were and
// how many were served.
func (p *protocol) press(ctx context.Context, path string, perSecond float64, lasts time.Duration) (asked, served int) {
	random := rand.New(rand.NewPCG(4, 4))
	p.mu.Lock()
	askedBefore, servedBefore := p.asked, p.served
	p.mu.Unlock()
	var all sync.WaitGroup
	for until := time.Now().Add(lasts); time.Now().Before(until); {
		boxes := p.crowd.running()
		at := boxes[random.IntN(len(boxes))]
		all.Go(func() { p.ask(ctx, at, cmp.Or(path, "/look/")) })
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	all.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked - askedBefore, p.served - servedBefore
}

// stop ends the boxes and the workers, and waits for all that is under way.
func (p *protocol) stop(end func()) {
	end()
	for _, w := range p.workers {
		close(w.opened)
		_ = w.server.Close()
	}
	time.Sleep(waitLong)
	synctest.Wait()
}
