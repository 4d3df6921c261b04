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

	"petrelstep/dialer"
	"petrelstep/exchange"
	"petrelstep/fingerprint"
	"petrelstep/platform/upstream"
)

const protocolConfiguration = `{"version":3,"routes":[
{"name":"look","host":"h","path_prefix":"/look/","kind":"safe","timeout_ms":600,"latency_goal_ms":100,"service":"portal","max_attempts":2},
{"name":"once","host":"h","path_prefix":"/once/","kind":"unsafe","timeout_ms":600,"latency_goal_ms":100,"service":"portal","max_attempts":2},
{"name":"open","host":"h","path_prefix":"/open/","kind":"safe","timeout_ms":1000,"latency_goal_ms":1000,"service":"portal","max_attempts":2,"public":true},
{"name":"beside","host":"h","path_prefix":"/beside/","kind":"safe","timeout_ms":600,"latency_goal_ms":100,"service":"beside","max_attempts":2}],
"services":[{"name":"portal","max_conns":100},{"name":"beside","max_conns":100}],
"limits":{"max_body_bytes":4096},"tenants":[{"name":"council","api_keys":["key"]}]}`

// protocolWorker is a plain worker that speaks the platform's protocol over in-memory
// connections.
type protocolWorker struct {
	id, hall string
	service  string
	server   *http.Server
	conns    chan net.Conn

	mu           sync.Mutex
	arrivals     []workerArrival
	refusals     []backoffAnswer
	leaves       bool                                           // its answers announce that it leaves
	backoff      time.Duration                                  // backoff asked for with each rejection; 0 to serve
	backoffUntil time.Time                                      // rejects until then and asks for backoff for the remaining time
	extraHeader  http.Header                                    // added to its answers
	handle       func(out http.ResponseWriter, r *http.Request) // answers in place of the usual; nil for none
}

// workerArrival is a request that has reached a worker.
type workerArrival struct {
	at     time.Time
	sentAt time.Time // by the caller
	box    string
}

// backoffAnswer is an answer that asked a box to back off.
type backoffAnswer struct {
	at      time.Time
	box     string
	backoff time.Duration
}

// protocol is the plain workers of a cluster, of two services.
type protocol struct {
	cluster *cluster
	workers []*protocolWorker
	byAddr  map[string]*protocolWorker
	cuts    cutLinks

	mu             sync.Mutex
	sentAt         map[string]time.Time // by the caller, by request
	announced      map[string]time.Time // when each box first passed on an announcement of leaving, by box and worker
	served         int
	sent           int
	slowestRefusal time.Duration // longest time to a rejection
	retryAfters    []time.Duration
}

// newProtocol starts boxes of three halls, some workers of a service and one of
// another, and waits until they serve.
func newProtocol(ctx context.Context, t testing.TB, boxes, count int) *protocol {
	t.Helper()
	c := newCluster(t, boxes, 3, 0, balanced...)
	p := &protocol{cluster: c, byAddr: map[string]*protocolWorker{}, sentAt: map[string]time.Time{}, announced: map[string]time.Time{}}
	c.table.put("op", "config", protocolConfiguration)
	for i := range count + 1 {
		w := &protocolWorker{id: fmt.Sprint("w", i), hall: fmt.Sprint("hall", i%3), service: "portal", conns: make(chan net.Conn)}
		if i == count {
			w.service = "beside"
		}
		p.workers = append(p.workers, w)
		p.byAddr[p.address(w)] = w
		p.putEntry(w, "ready")
		w.serve(p)
	}
	for _, e := range c.all {
		p.connect(e)
	}
	c.startAll(ctx)
	c.waitAll(t, "serves", 5*time.Second, (*Edge).ready)
	time.Sleep(3 * time.Second)
	return p
}

func (p *protocol) address(w *protocolWorker) string { return "10.3.0." + w.id[1:] + ":1" }

// putEntry stores a worker's row.
func (p *protocol) putEntry(w *protocolWorker, state string) {
	p.cluster.table.put("servers", w.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":6,"state":%q}`, w.service, p.address(w), w.hall, state))
}

// connect makes a box send to the workers with the platform's client.
func (p *protocol) connect(e *Edge) {
	e.setDial(p.dialFrom(e.Name()))
}

// dialFrom returns how a box connects to the workers over its own network.
func (p *protocol) dialFrom(box string) dialer.Dial {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		w, ok := p.byAddr[address]
		if !ok {
			return nil, &net.OpError{Op: "dial", Err: io.EOF}
		}
		if err := p.cuts.dial(ctx, box, w); err != nil {
			return nil, &net.OpError{Op: "dial", Err: err}
		}
		near, far := net.Pipe()
		select {
		case w.conns <- boxConn{far, box}:
			return p.cuts.wrap(near, box, w), nil
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
	}
}

// boxConn is a connection that a box has opened.
type boxConn struct {
	net.Conn
	box string
}

type boxKey struct{}

// Accept implements net.Listener.
func (w *protocolWorker) Accept() (net.Conn, error) {
	conn, ok := <-w.conns
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
	sentAt := p.sentAt[id]
	p.mu.Unlock()
	w.mu.Lock()
	w.arrivals = append(w.arrivals, workerArrival{time.Now(), sentAt, box})
	handle := w.handle
	w.mu.Unlock()
	if handle != nil {
		handle(out, r)
		return
	}
	w.mu.Lock()
	leaves, backoff, extra := w.leaves, cmp.Or(w.backoff, max(time.Until(w.backoffUntil), 0)), w.extraHeader.Clone()
	w.mu.Unlock()
	h := out.Header()
	h.Set("Request-Id", id)
	for name, values := range extra {
		h[name] = values
	}
	if leaves {
		h.Set("Server-Leaving", "1")
	}
	if backoff > 0 {
		h.Set("Not-Executed", "1")
		h.Set("Retry-After", strconv.FormatFloat(backoff.Seconds(), 'f', -1, 64))
		w.mu.Lock()
		w.refusals = append(w.refusals, backoffAnswer{time.Now(), box, backoff})
		w.mu.Unlock()
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(workTime)
	h.Set("Response-Seal", "seal-"+w.id)
	_, _ = io.WriteString(out, w.id)
}

// update changes a worker's behaviour.
func (w *protocolWorker) update(f func(*protocolWorker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w)
}

// protocolCaller records which answers announced that a worker leaves.
type protocolCaller struct {
	memCaller
	*protocol
	box string
}

// Answer implements exchange.Caller.
func (c *protocolCaller) Answer(a *exchange.Answer, length int) error {
	if h, ok := a.Message.(http.Header); ok && h.Get("Server-Leaving") != "" {
		c.mu.Lock()
		key := c.box + " " + h.Get("Response-Seal")
		if _, ok := c.announced[key]; !ok {
			c.announced[key] = time.Now()
		}
		c.mu.Unlock()
	}
	return c.memCaller.Answer(a, length)
}

// send sends one request to a box and returns its caller with the answer.
func (p *protocol) send(ctx context.Context, e *Edge, path string) *protocolCaller {
	p.mu.Lock()
	p.sent++
	id := fmt.Sprint("q", p.sent)
	p.sentAt[id] = time.Now()
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
		p.slowestRefusal = max(p.slowestRefusal, time.Since(began))
		p.retryAfters = append(p.retryAfters, c.refused.RetryAfter())
	}
	return c
}

// sendLoad sends requests to random boxes for some time, and returns how many were sent
// and served.
func (p *protocol) sendLoad(ctx context.Context, path string, perSecond float64, lasts time.Duration) (sent, served int) {
	random := rand.New(rand.NewPCG(4, 4))
	p.mu.Lock()
	sentBefore, servedBefore := p.sent, p.served
	p.mu.Unlock()
	var all sync.WaitGroup
	for until := time.Now().Add(lasts); time.Now().Before(until); {
		boxes := p.cluster.running()
		at := boxes[random.IntN(len(boxes))]
		all.Go(func() { p.send(ctx, at, cmp.Or(path, "/look/")) })
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	all.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent - sentBefore, p.served - servedBefore
}

// stop ends the boxes and the workers, and waits for pending calls.
func (p *protocol) stop(end func()) {
	end()
	for _, w := range p.workers {
		close(w.conns)
		_ = w.server.Close()
	}
	time.Sleep(maxWait)
	synctest.Wait()
}
