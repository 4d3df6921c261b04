package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"petrelstep/exchange"
	"petrelstep/fingerprint"
	"petrelstep/fleet"
	"petrelstep/liveness"
	"petrelstep/refusal"
)

const (
	// backAfter is how long an engine that has ended takes to start again, and
	// entryGoes when its entry goes that says nothing of its end.
	backAfter = 2 * time.Second
	entryGoes = 3 * time.Second
	// readTime is how long a prompt takes to be read, and endsAfter how long an engine
	// lives once it has begun to run the request that ends it.
	readTime  = 200 * time.Millisecond
	endsAfter = 60 * time.Millisecond
	// eventTime is between events, of which a short answer has shortAnswer, and a long
	// one longAnswer: it takes longer than engines live that end again and again.
	eventTime   = 60 * time.Millisecond
	shortAnswer = 4
	longAnswer  = 60
)

var errBroke = errors.New("connection reset")

// engine is one life of an engine.
type engine struct {
	number   int
	id, hall string
	address  string
	ended    chan struct{} // closed when its connections break
	runs     map[*exchange.Request]bool
	said     exchange.Limit
	rest     time.Duration // that it asks for as it turns all away; 0: it serves
	refusals []refused
}

// arrival is a request that has reached an engine.
type arrival struct {
	at      time.Time
	content fingerprint.Fingerprint
	box     string
	engine  string
}

// engines are those of a crowd's one service. Some requests end the engine that runs
// them.
type engines struct {
	crowd *crowd
	bad   map[fingerprint.Fingerprint]bool
	made  int // events of an answer

	mu       sync.Mutex
	lives    map[string]*engine
	last     int
	arrivals []arrival
	vain     []time.Time                             // sends that reached nothing
	ends     map[fingerprint.Fingerprint][]time.Time // of engines that ran it, by what ended them
	lost     map[fingerprint.Fingerprint]int         // ends that a request met
}

const configured = `{"version":3,"routes":[
{"name":"check","host":"h","path_prefix":"/check/","kind":"streaming","timeout_ms":6000,"latency_goal_ms":1500,"service":"llm","max_attempts":2,"gap_aim_ms":180,"resumable":true},
{"name":"look","host":"h","path_prefix":"/look/","kind":"safe","timeout_ms":4000,"latency_goal_ms":1500,"service":"llm","max_attempts":2}],
"services":[{"name":"llm","max_conns":100,"engine":{"slots":48,"kv_capacity_tokens":1000000,"stride":4}}],
"limits":{"max_body_bytes":4096},"tenants":[{"name":"council","api_keys":["key"]},{"name":"firm","api_keys":["other"]}]}`

// newEngines starts boxes of three halls before some engines, and waits until they serve.
func newEngines(ctx context.Context, t testing.TB, boxes, count int) *engines {
	t.Helper()
	c := newCrowd(t, boxes, 3, 0)
	w := &engines{
		crowd: c, made: shortAnswer, bad: map[fingerprint.Fingerprint]bool{}, lives: map[string]*engine{},
		ends: map[fingerprint.Fingerprint][]time.Time{}, lost: map[fingerprint.Fingerprint]int{},
	}
	c.table.put("op", "config", configured)
	for i := range count {
		w.start(fmt.Sprint("hall", i%3))
	}
	for _, e := range c.all {
		w.serve(e)
	}
	c.startAll(ctx)
	c.until(t, "serves", 5*time.Second, (*Edge).ready)
	time.Sleep(3 * time.Second)
	return w
}

// serve lets a box send to the engines.
func (w *engines) serve(e *Edge) {
	e.relay.Sender = sender{w, e}
	e.relay.Liveness = liveness.New(w, e.fleet)
}

func (w *engines) start(hall string) {
	w.mu.Lock()
	w.last++
	e := &engine{
		number: w.last, id: fmt.Sprint("e", w.last), hall: hall, address: fmt.Sprintf("10.1.%d.%d:1", w.last/250, w.last%250),
		ended: make(chan struct{}), runs: map[*exchange.Request]bool{},
	}
	w.lives[e.id] = e
	w.mu.Unlock()
	w.crowd.table.put("servers", e.id, fmt.Sprintf(`{"service":"llm","address":%q,"zone":%q,"slots":48,"state":"ready"}`, e.address, hall))
}

// end ends an engine without a word; another starts in its place.
func (w *engines) end(e *engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lives[e.id] != e {
		return
	}
	delete(w.lives, e.id)
	for r := range e.runs {
		w.lost[r.Content]++
	}
	close(e.ended)
	time.AfterFunc(backAfter, func() { w.start(e.hall) })
	time.AfterFunc(entryGoes, func() { w.crowd.table.drop("servers", e.id) })
}

// Ended implements liveness.Prober.
func (w *engines) Ended(_ context.Context, u fleet.Upstream, _ bool) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, lives := w.lives[u.ID]
	return !lives, nil
}

// sender is a box's way to the engines.
type sender struct {
	*engines
	box *Edge
}

// Send implements exchange.Sender.
func (s sender) Send(ctx context.Context, send exchange.Send) (*exchange.Answer, error) {
	s.mu.Lock()
	e, ok := s.lives[send.Upstream]
	if !ok {
		s.vain = append(s.vain, time.Now())
		s.mu.Unlock()
		return nil, &exchange.FailedError{NotSent: true, Refused: true, Err: errBroke}
	}
	if e.rest > 0 {
		e.refusals = append(e.refusals, refused{time.Now(), s.box.Name(), e.rest})
		s.arrivals = append(s.arrivals, arrival{time.Now(), send.Request.Content, s.box.Name(), e.id})
		rest := e.rest
		s.mu.Unlock()
		return &exchange.Answer{Status: http.StatusServiceUnavailable, NotRun: true, Framed: true, Backoff: rest, Body: portalBody{}}, nil
	}
	e.runs[send.Request] = true
	s.arrivals = append(s.arrivals, arrival{time.Now(), send.Request.Content, s.box.Name(), e.id})
	ended, said := e.ended, e.said
	s.mu.Unlock()
	leave := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(e.runs, send.Request)
	}
	return &exchange.Answer{Status: http.StatusOK, Sealed: true, Framed: true, Limit: said, Body: &engineBody{ctx: ctx, made: send.After + 1, engine: e, ended: ended, leave: leave, world: s.engines, of: send.Request}}, nil
}

// engineBody is what an engine makes.
type engineBody struct {
	ctx    context.Context
	engine *engine
	ended  chan struct{}
	world  *engines
	of     *exchange.Request
	leave  func()
	made   int
	read   bool // the prompt is
}

// Next implements exchange.Body.
func (b *engineBody) Next() (exchange.Event, error) {
	if b.made == b.world.made {
		return exchange.Event{}, io.EOF
	}
	wait := eventTime
	if !b.read {
		b.read, wait = true, readTime
	}
	if err := b.pass(wait); err != nil {
		return exchange.Event{}, err
	}
	if b.world.bad[b.of.Content] {
		if err := b.pass(endsAfter); err != nil {
			return exchange.Event{}, err
		}
		b.world.endedBy(b.engine, b.of.Content)
		return exchange.Event{}, io.ErrUnexpectedEOF
	}
	b.made++
	return exchange.Event{ID: b.made - 1, Raw: []byte(fmt.Sprintf("id: %d\n\n", b.made-1))}, nil
}

// endedBy ends an engine by what it runs.
func (w *engines) endedBy(e *engine, content fingerprint.Fingerprint) {
	w.mu.Lock()
	if w.lives[e.id] == e {
		w.ends[content] = append(w.ends[content], time.Now())
	}
	w.mu.Unlock()
	w.end(e)
}

func (b *engineBody) pass(d time.Duration) error {
	select {
	case <-b.ended:
		return io.ErrUnexpectedEOF
	case <-b.ctx.Done():
		return b.ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// All implements exchange.Body.
func (b *engineBody) All(int) ([]byte, bool, error) {
	for {
		if _, err := b.Next(); err == io.EOF {
			return []byte("answer"), false, nil
		} else if err != nil {
			return nil, false, err
		}
	}
}

// Read implements exchange.Body.
func (*engineBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements exchange.Body.
func (b *engineBody) Close() { b.leave() }

// asker is a caller in memory.
type asker struct {
	status  int
	refused refusal.Refusal
	aborted bool
}

// Answer implements exchange.Caller.
func (a *asker) Answer(answer *exchange.Answer, _ int) error {
	a.status = answer.Status
	return nil
}

// Write implements exchange.Caller.
func (*asker) Write([]byte) error { return nil }

// Refuse implements exchange.Caller.
func (a *asker) Refuse(err error) {
	errors.As(err, &a.refused)
	a.status = a.refused.Status()
}

// Abort implements exchange.Caller.
func (a *asker) Abort() { a.aborted = true }

// content is what a request asks for, by a name.
func content(name string) fingerprint.Fingerprint { return fingerprint.New([]byte(name)) }

var lastRequest struct {
	sync.Mutex
	n int
}

// ask sends one request and returns what its caller is told.
func ask(ctx context.Context, e *Edge, path, name string) *asker {
	lastRequest.Lock()
	lastRequest.n++
	id := fmt.Sprint("r", lastRequest.n)
	lastRequest.Unlock()
	a := &asker{}
	e.relay.Serve(ctx, &exchange.Request{
		ID: id, Arrived: time.Now(), Host: "h", Path: path, Key: "key", Wait: 6 * time.Second, Prompt: 2000, MaxTokens: 16,
		After: exchange.NoEvent, Content: content(name),
	}, a)
	return a
}

// any returns a box, drawn.
func (w *engines) any(random *rand.Rand) *Edge {
	all := w.crowd.running()
	return all[random.IntN(len(all))]
}

// stop ends the boxes and waits for all that is under way.
func (*engines) stop(end func()) {
	end()
	time.Sleep(waitLong)
	synctest.Wait()
}

// after returns how many arrivals of a request came later than a while after it had
// ended its third engine.
func (w *engines) after(name string, while time.Duration) (late, ended int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ends := w.ends[content(name)]
	if len(ends) < 3 {
		return 0, len(ends)
	}
	for _, a := range w.arrivals {
		if a.content == content(name) && a.at.Sub(ends[2]) > while {
			late++
		}
	}
	return late, len(ends)
}
