package relay_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/admission"
	"petrelstep/balance/places"
	"petrelstep/distance"
	"petrelstep/exchange"
	"petrelstep/fleet"
	"petrelstep/logs"
	"petrelstep/metrics"
	"petrelstep/outputlen"
	"petrelstep/picker"
	"petrelstep/prefill"
	"petrelstep/protect/buffers"
	"petrelstep/refusal"
	"petrelstep/relay"
	"petrelstep/reliability"
	"petrelstep/retry"
	"petrelstep/route"
	"petrelstep/routecache"
	"petrelstep/runs"
	"petrelstep/upstreamload"
	"petrelstep/warmup"
)

// reply is a scripted answer to one send.
type reply struct {
	status   int
	notRun   bool
	unsealed bool
	notSent  bool
	refused  bool // the connection was refused
	err      error
	hang     bool // no answer until the request is cancelled
	delay    time.Duration
	connects time.Duration // until the connection is open
	onOpen   func()        // called as it is open
	body     string
	restErr  error  // at the end of the rest; nil for an ordinary end
	rest     string // of a long answer, after the buffered part
	cutAfter error  // error at the end of the body
	events   []int  // ids; the stream ends normally after them unless cutAfter is set
	unframed bool
	pause    time.Duration // before each event
	wait     func()        // called before the stream ends
	silent   bool          // no end after the events until the request is cancelled
	limit    float64       // requests per second that the upstream announces; 0 for none
	leaving  bool          // the upstream announces that it is leaving
	backoff  time.Duration // requested by the upstream; 0 for none
}

func (r reply) announcedLimit() exchange.Limit {
	if r.limit == 0 {
		return exchange.Limit{}
	}
	return exchange.Limit{Kind: exchange.LimitAnnounced, PerSecond: r.limit}
}

// sender answers the sends of a test by the script, in order; the last reply is repeated.
type sender struct {
	mu     sync.Mutex
	script []reply
	sends  []exchange.Send
}

func (s *sender) Send(ctx context.Context, send exchange.Send) (*exchange.Answer, error) {
	s.mu.Lock()
	r := s.script[min(len(s.sends), len(s.script)-1)]
	s.sends = append(s.sends, send)
	s.mu.Unlock()
	if r.hang {
		<-ctx.Done()
		return nil, &exchange.FailedError{Err: ctx.Err()}
	}
	time.Sleep(r.connects)
	if r.onOpen != nil {
		r.onOpen()
	}
	if err := send.BeforeWrite(); err != nil {
		return nil, &exchange.FailedError{NotSent: true, Err: err}
	}
	select {
	case <-time.After(r.delay):
	case <-ctx.Done():
		return nil, &exchange.FailedError{Err: ctx.Err()}
	}
	if r.err != nil {
		return nil, &exchange.FailedError{NotSent: r.notSent, Refused: r.refused, Err: r.err}
	}
	if r.status == 0 {
		r.status = http.StatusOK
	}
	return &exchange.Answer{
		Status: r.status, NotRun: r.notRun, Sealed: !r.unsealed, Framed: !r.unframed, Limit: r.announcedLimit(), Leaving: r.leaving, Backoff: r.backoff, Body: &scriptedBody{ctx: ctx, reply: r},
	}, nil
}

// first returns the upstream of the first send.
func (s *sender) first() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sends[0].Upstream
}

type scriptedBody struct {
	ctx   context.Context
	reply reply
	at    int
}

func (b *scriptedBody) Next() (exchange.Event, error) {
	if b.at >= len(b.reply.events) {
		if b.reply.wait != nil {
			b.reply.wait()
		}
		if b.reply.silent {
			<-b.ctx.Done()
			return exchange.Event{}, b.ctx.Err()
		}
		if b.reply.cutAfter != nil {
			return exchange.Event{}, b.reply.cutAfter
		}
		return exchange.Event{}, io.EOF
	}
	select {
	case <-time.After(b.reply.pause):
	case <-b.ctx.Done():
		return exchange.Event{}, b.ctx.Err()
	}
	id := b.reply.events[b.at]
	b.at++
	return exchange.Event{ID: id, Raw: []byte(fmt.Sprint(id, ";"))}, nil
}

func (b *scriptedBody) All(int) ([]byte, bool, error) {
	return []byte(b.reply.body), b.reply.rest != "", b.reply.cutAfter
}

func (b *scriptedBody) Read(p []byte) (int, error) {
	time.Sleep(time.Second / 10) // more than half the aim
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	n := copy(p, b.reply.rest)
	b.reply.rest = b.reply.rest[n:]
	if n == 0 {
		return 0, cmp.Or(b.reply.restErr, io.EOF)
	}
	return n, nil
}

func (*scriptedBody) Close() {}

// caller records the answer that it receives.
type caller struct {
	status  int
	body    strings.Builder
	refused *refusal.Refusal
	aborted bool
	broken  bool // writes fail
	first   time.Duration
	began   time.Time
}

func (c *caller) Answer(a *exchange.Answer, _ int) error {
	c.status = a.Status
	return nil
}

func (c *caller) Write(p []byte) error {
	if c.broken {
		return io.ErrClosedPipe
	}
	if c.body.Len() == 0 {
		c.first = time.Since(c.began)
	}
	c.body.Write(p)
	return nil
}

func (c *caller) Refuse(err error) {
	var r refusal.Refusal
	errors.As(err, &r)
	c.refused = &r
}

func (c *caller) Abort() { c.aborted = true }

// world is a relay with its components.
type world struct {
	routes      *routecache.Cache
	fleet       *fleet.Fleet
	runs        *runs.Runs
	sender      *sender
	load        *upstreamload.Tracker
	reliability *reliability.Reliability
	relay       *relay.Relay
	exitsIn     time.Duration // time until the box exits; 0 if it is not stopping
	mostBoxes   bool          // most boxes are stopping
	full        bool
}

var routes = []route.Route{
	{Name: "safe", Host: "h", Prefix: "/safe/", Repeatable: true, Attempts: 2, Timeout: time.Second, Aim: 100 * time.Millisecond, Split: split("plain")},
	{Name: "once", Host: "h", Prefix: "/once/", Attempts: 1, Timeout: time.Second, Aim: 100 * time.Millisecond, Split: split("plain")},
	{Name: "twice", Host: "h", Prefix: "/unsafe2/", Attempts: 2, Timeout: time.Second, Aim: 100 * time.Millisecond, Split: split("plain")},
	{Name: "public", Host: "h", Prefix: "/public/", Public: true, Attempts: 1, Timeout: time.Second, Aim: time.Second, Split: split("plain")},
	{Name: "draft", Host: "h", Prefix: "/draft/", Streams: true, Attempts: 1, Timeout: 30 * time.Second, Aim: time.Second, Split: split("llm")},
	{Name: "check", Host: "h", Prefix: "/check/", Streams: true, Resumable: true, Attempts: 2, Timeout: 6 * time.Second, Aim: time.Second, Split: split("llm")},
	{Name: "nowhere", Host: "h", Prefix: "/nowhere/", Attempts: 1, Timeout: time.Second, Aim: time.Second, Split: split("empty")},
}

var table = route.New(7, routes, []route.Service{
	{Name: "plain", ColdPerSecond: 20}, {Name: "empty"},
	{Name: "llm", Engine: &route.Engine{Slots: 8, Memory: 30000, EventTokens: 4, Moves: true}},
}, []route.Organisation{{Name: "council", Keys: []string{"key"}}}, route.Limits{})

// grace is the time that a box has to stop.
const grace = 8 * time.Second

func split(service string) []route.Share { return []route.Share{{Service: service, Weight: 1}} }

func newWorld(t testing.TB, script ...reply) *world {
	t.Helper()
	counts, err := metrics.New()
	is.New(t).NoErr(err)
	w := &world{
		routes: routecache.New(4600 * time.Millisecond), fleet: fleet.New(time.Second), runs: runs.New(), load: upstreamload.New(),
		sender: &sender{script: script},
	}
	w.routes.Update(table)
	w.routes.Confirm(time.Now())
	var list []fleet.Upstream
	for _, service := range []string{"plain", "llm"} {
		for i := range 4 {
			list = append(list, fleet.Upstream{ID: fmt.Sprint(service, i), Service: service, Address: fmt.Sprint(service, i, ":1"), Slots: 8, State: fleet.Open})
		}
	}
	w.fleet.Replace(time.Now(), list, 1, false)
	w.reliability = reliability.New()
	w.relay = relay.New(relay.Components{
		Routes: w.routes, Fleet: w.fleet, Loads: w.load, Reliability: w.reliability, Sender: w.sender, OutputLengths: outputlen.New(), Prefill: prefill.New(), Budget: retry.NewBudget(0.1, 3),
		Picker: picker.New(picker.Components{Fleet: w.fleet, Loads: w.load, Reliability: w.reliability, Prefill: prefill.New(), Hall: "leith", Random: rand.New(rand.NewPCG(1, 1))}), Runs: w.runs, Metrics: counts,
		Full: func() bool { return w.full },
		Stopping: func() (relay.Stop, bool) {
			return relay.Stop{Since: grace - w.exitsIn, Remaining: w.exitsIn, MostBoxes: w.mostBoxes}, w.exitsIn > 0
		}, Log: logs.New(io.Discard, "info", "b"),
	})
	return w
}

// learnLengths records a hundred answers of each length.
func (w *world) learnLengths(k outputlen.Key, lengths []int) {
	for range 100 {
		for _, tokens := range lengths {
			w.relay.OutputLengths.Progress(k, 0, tokens)
			w.relay.OutputLengths.End(k, tokens, false)
		}
	}
}

func (w *world) serve(ctx context.Context, path string) *caller {
	c := &caller{began: time.Now()}
	w.relay.Serve(ctx, request(path), c)
	return c
}

func request(path string) *exchange.Request {
	return &exchange.Request{
		ID: "r1", Arrived: time.Now(), Host: "h", Path: path + "x", Key: "key", Wait: time.Minute, Prompt: 1000, Hint: 400,
		After: exchange.NoEvent,
	}
}

var errReset = errors.New("connection reset")

// TestAdmit checks requests against the box's configuration.
func TestAdmit(t *testing.T) {
	tests := map[string]struct {
		path       string
		key        string
		age        time.Duration
		noConfig   bool
		full       bool // the box is full
		serveStale bool // serve with a stale configuration
		exitsIn    time.Duration
		want       refusal.Reason // empty if served
		retryAfter bool           // the refusal has a Retry-After
	}{
		"served":                                {path: "/safe/", key: "key"},
		"no configuration yet":                  {path: "/safe/", key: "key", noConfig: true, want: refusal.NotReady, retryAfter: true},
		"no key":                                {path: "/safe/", want: refusal.NoKey},
		"unknown key":                           {path: "/safe/", key: "other", want: refusal.WrongKey},
		"unknown route":                         {path: "/other/", key: "key", want: refusal.UnknownRoute},
		"public without a key":                  {path: "/public/"},
		"a service without upstreams":           {path: "/nowhere/", key: "key", want: refusal.NoUpstream, retryAfter: true},
		"stale, a known key":                    {path: "/safe/", key: "key", age: 4700 * time.Millisecond, want: refusal.StaleConfiguration, retryAfter: true},
		"stale, an unknown key":                 {path: "/safe/", key: "other", age: 5 * time.Second, want: refusal.StaleConfiguration, retryAfter: true},
		"stale, an unknown route":               {path: "/other/", key: "key", age: 5 * time.Second, want: refusal.StaleConfiguration, retryAfter: true},
		"stale, public":                         {path: "/public/", age: time.Minute},
		"stale, served":                         {path: "/safe/", key: "key", age: time.Minute, serveStale: true},
		"stale, served, an unknown key":         {path: "/safe/", key: "other", age: time.Minute, serveStale: true, want: refusal.StaleConfiguration, retryAfter: true},
		"stale, served, an unknown route":       {path: "/other/", key: "key", age: time.Minute, serveStale: true, want: refusal.StaleConfiguration, retryAfter: true},
		"fresh, an unknown key":                 {path: "/safe/", key: "other", serveStale: true, want: refusal.WrongKey},
		"stale is served, no configuration yet": {path: "/safe/", key: "key", serveStale: true, noConfig: true, want: refusal.NotReady, retryAfter: true},
		"the box is full":                       {path: "/safe/", key: "key", full: true, want: refusal.BoxFull, retryAfter: true},
		"stopping, a short request":             {path: "/safe/", key: "key", exitsIn: 8 * time.Second},
		"stopping soon, a short request":        {path: "/safe/", key: "key", exitsIn: time.Second, want: refusal.Draining, retryAfter: true},
		"stopping, a check":                     {path: "/check/", key: "key", exitsIn: 8 * time.Second},
		"stopping soon, a check":                {path: "/check/", key: "key", exitsIn: 5 * time.Second, want: refusal.Draining, retryAfter: true},
		"stopping soon, a draft":                {path: "/draft/", key: "key", exitsIn: 5 * time.Second, want: refusal.Draining, retryAfter: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, reply{body: "ok", events: []int{0}})
				if tt.noConfig {
					w.routes = routecache.New(time.Second)
					w.relay.Routes = w.routes
				}
				w.exitsIn = tt.exitsIn
				w.relay.ServeStale, w.full = tt.serveStale, tt.full
				time.Sleep(tt.age)
				req := request(tt.path)
				req.Key = tt.key
				c := &caller{}
				var early refusal.Refusal
				isEarly := errors.As(w.relay.Check(req), &early)
				is.Equal(isEarly, tt.want != "" && tt.want != refusal.NoUpstream) // before the body has arrived
				w.relay.Serve(t.Context(), req, c)
				if tt.want == "" {
					is.True(c.refused == nil)
					is.Equal(c.status, 200)
					return
				}
				is.Equal(c.refused.Reason(), tt.want)
				is.True(!isEarly || early.Reason() == tt.want)
				is.Equal(c.refused.Outcome(), refusal.NotRun)
				is.Equal(len(w.sender.sends), 0) // "not run" is true
				is.Equal(c.refused.RetryAfter() > 0, tt.retryAfter)
			})
		})
	}
}

// long is a body that is written in several chunks.
var long = strings.Repeat("0123456789", 2000)

// wholeCase is a request whose answer is not a stream, and its outcome.
type wholeCase struct {
	path    string
	script  []reply
	sends   int
	status  int            // of the upstream's answer, if it is delivered
	want    refusal.Reason // of the refusal otherwise
	outcome refusal.Outcome
}

// TestWhole covers each fault of requests whose answers are not streams.
func TestWhole(t *testing.T) {
	ok := reply{body: "ok"}
	full := reply{status: 503, notRun: true}
	tests := map[string]wholeCase{
		"answered":                            {"/once/", []reply{ok}, 1, 200, "", ""},
		"safe, reset":                         {"/safe/", []reply{{err: errReset}, ok}, 2, 200, "", ""},
		"safe, internal error":                {"/safe/", []reply{{status: 500}, ok}, 2, 200, "", ""},
		"safe, fails twice: no third try":     {"/safe/", []reply{{status: 500}, {status: 500}, ok}, 2, 500, "", ""},
		"safe, cut in the answer":             {"/safe/", []reply{{cutAfter: io.ErrUnexpectedEOF}, ok}, 2, 200, "", ""},
		"safe, no seal":                       {"/safe/", []reply{{unsealed: true}, ok}, 2, 200, "", ""},
		"safe, hung: another at half the aim": {"/safe/", []reply{{hang: true}, ok}, 2, 200, "", ""},
		"once, reset":                         {"/once/", []reply{{err: errReset}, ok}, 1, 0, refusal.NoAnswer, refusal.Unknown},
		"once, internal error":                {"/once/", []reply{{status: 500}, ok}, 1, 500, "", ""},
		"once, cut in the answer":             {"/once/", []reply{{cutAfter: io.ErrUnexpectedEOF}, ok}, 1, 0, refusal.NoAnswer, refusal.Unknown},
		"once, no seal":                       {"/once/", []reply{{unsealed: true}, ok}, 1, 0, refusal.NoAnswer, refusal.Unknown},
		"once, full":                          {"/once/", []reply{full, ok}, 1, 0, refusal.UpstreamFull, refusal.NotRun},
		"once, 503 without the header":        {"/once/", []reply{{status: 503}, ok}, 1, 0, refusal.NoAnswer, refusal.Unknown},
		"once, 429 without the header":        {"/once/", []reply{{status: 429}, ok}, 1, 0, refusal.NoAnswer, refusal.Unknown},
		"once, 408 without the header":        {"/once/", []reply{{status: 408}, ok}, 1, 0, refusal.NoAnswer, refusal.Unknown},
		"safe, 503 without the header":        {"/safe/", []reply{{status: 503}}, 2, 503, "", ""},
		"once, first is unreachable":          {"/once/", []reply{{err: errReset, notSent: true}, ok}, 2, 200, "", ""},
		"once, all are unreachable":           {"/once/", []reply{{err: errReset, notSent: true}}, 4, 0, refusal.NoUpstream, refusal.NotRun},
		"once, hung":                          {"/once/", []reply{{hang: true}}, 1, 0, refusal.TimedOut, refusal.Unknown},
		"unsafe with two tries, full":         {"/unsafe2/", []reply{full, ok}, 2, 200, "", ""},
		"unsafe with two tries, reset":        {"/unsafe2/", []reply{{err: errReset}, ok}, 1, 0, refusal.NoAnswer, refusal.Unknown},
		"unsafe with two tries, failure":      {"/unsafe2/", []reply{{status: 500}, ok}, 1, 500, "", ""},
		"a long answer":                       {"/once/", []reply{{body: long}}, 1, 200, "", ""},
		"an answer beyond the buffer":         {"/once/", []reply{{body: long, rest: "more"}}, 1, 200, "", ""},
		"address of another upstream":         {"/unsafe2/", []reply{{status: 421, notRun: true}, ok}, 2, 200, "", ""},
	}
	for name, tt := range withAndWithoutBuffers(tests) {
		for places, share := range map[string]func(w *world){"": func(*world) {}, ", shared places": (*world).sharePlaces} {
			t.Run(name+places, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t, tt.script...)
					w.relay.Buffers = buffersFor(name)
					share(w)
					tt.check(t, w)
				})
			})
		}
	}
}

// check serves the request and checks the sends and the answer.
func (tt wholeCase) check(t *testing.T, w *world) {
	is := is.New(t)
	c := w.serve(t.Context(), tt.path)
	is.Equal(len(w.sender.sends), tt.sends)
	is.Equal(c.status, tt.status)
	seen := map[string]bool{}
	for _, s := range w.sender.sends {
		is.True(!seen[s.Upstream]) // no upstream is tried twice
		seen[s.Upstream] = true
		is.Equal(s.Organisation, "council")
		is.True(s.Left <= time.Second) // the route's timeout, not the caller's minute
	}
	if tt.want != "" {
		is.Equal(c.refused.Reason(), tt.want)
		is.Equal(c.refused.Outcome(), tt.outcome)
	} else {
		last := tt.script[min(tt.sends, len(tt.script))-1]
		is.Equal(c.body.String(), last.body+last.rest)
	}
	is.True(w.relay.Buffers == nil || w.relay.Buffers.Held() == 0)
	is.Equal(len(w.load.Own()), 0)
}

// sharePlaces enables the sharing of places among boxes.
func (w *world) sharePlaces() {
	w.relay.Places = places.New(places.Components{
		Ranker: w.relay.Picker, Failing: w.reliability.FailureRate, Counter: w.relay.Metrics, Hall: "leith", Random: rand.New(rand.NewPCG(1, 2)), Log: w.relay.Log,
	})
}

// TestLongAnswer guards against losing the part of an answer that exceeds the buffer, also
// where the request may be retried.
func TestLongAnswer(t *testing.T) {
	for name, path := range map[string]string{"safe": "/safe/", "once": "/once/"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, reply{body: "begin, ", rest: "and the rest"})
				c := w.serve(t.Context(), path)
				is.Equal(c.body.String(), "begin, and the rest")
				is.True(!c.aborted)
				is.Equal(len(w.sender.sends), 1)
				is.Equal(len(w.load.Own()), 0)
			})
		})
	}
}

// TestConcurrentTry guards against concurrent tries that are not allowed or useless, and
// against cancelling the first try for one.
func TestConcurrentTry(t *testing.T) {
	const before, after = 40 * time.Millisecond, 70 * time.Millisecond // half the aim is 50 ms
	slow := 500 * time.Millisecond
	tests := map[string]struct {
		path   string
		script []reply
		spent  bool // the retry budget is spent
		busy   bool // all upstreams are busy
		sends  int
		body   string
		status int
		took   time.Duration
	}{
		"answered before half the aim":       {"/safe/", []reply{{delay: before, body: "1"}}, false, false, 1, "1", 200, before},
		"no budget: first continues":         {"/safe/", []reply{{delay: after, body: "1"}}, true, false, 1, "1", 200, after},
		"all busy: first continues":          {"/safe/", []reply{{delay: after, body: "1"}}, false, true, 1, "1", 200, after},
		"the first answers first":            {"/safe/", []reply{{delay: after, body: "1"}, {delay: slow, body: "2"}}, false, false, 2, "1", 200, after},
		"the second answers first":           {"/safe/", []reply{{delay: slow, body: "1"}, {delay: before, body: "2"}}, false, false, 2, "2", 200, 90 * time.Millisecond},
		"the first breaks, the second runs":  {"/safe/", []reply{{delay: after, err: errReset}, {delay: slow, body: "2"}}, false, false, 2, "2", 200, 550 * time.Millisecond},
		"the second is full, the first runs": {"/safe/", []reply{{delay: slow, body: "1"}, {status: 503, notRun: true}}, false, false, 2, "1", 200, slow},
		"the second is unreachable":          {"/safe/", []reply{{delay: after, err: errReset}, {notSent: true, err: errReset}, {delay: before, body: "3"}}, false, false, 3, "3", 200, 90 * time.Millisecond},
		"may not run twice":                  {"/unsafe2/", []reply{{delay: slow, body: "1"}}, false, false, 1, "1", 200, slow},
		"the upstream hangs, no budget":      {"/safe/", []reply{{hang: true}}, true, false, 1, "", 0, time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, tt.script...)
				if tt.spent {
					w.relay.Budget = retry.NewBudget(0, 0)
				}
				others := 0
				if tt.busy {
					others = w.fillUpstreams("plain")
				}
				began := time.Now()
				c := w.serve(t.Context(), tt.path)
				is.Equal(time.Since(began), tt.took)
				is.Equal(c.body.String(), tt.body)
				is.Equal(c.status, tt.status)
				is.Equal(len(w.sender.sends), tt.sends)
				is.Equal(len(w.load.Own()), others)
			})
		})
	}
}

// TestDisconnect guards against tries that outlive their caller's connection.
func TestDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, reply{hang: true})
		w.sharePlaces()
		const disconnectAfter = 70 * time.Millisecond
		ctx, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(disconnectAfter, disconnect)
		began := time.Now()
		c := w.serve(ctx, "/safe/")
		is.Equal(time.Since(began), disconnectAfter)
		is.Equal(len(w.sender.sends), 2)
		is.Equal(c.refused.Reason(), refusal.CallerGone)
		is.Equal(len(w.load.Own()), 0)
	})
}

// recordingAdmitter records the upstreams in use when a request asks for capacity.
type recordingAdmitter struct {
	w       *world
	running []int
}

func (r *recordingAdmitter) Admit(_ context.Context, ask admission.Request) (admission.Grant, error) {
	r.running = append(r.running, len(r.w.load.Own()))
	for _, u := range r.w.fleet.Serving(ask.Service.Name) {
		if !slices.Contains(ask.Avoid, u.ID) {
			return admission.Grant{Upstream: u}, nil
		}
	}
	return admission.Grant{}, refusal.New(refusal.NoUpstream, "all were tried")
}

// TestFailedTryReleased guards against counting a failed try as load while the next one
// waits.
func TestFailedTryReleased(t *testing.T) {
	for name, first := range map[string]reply{"not run": {status: 503, notRun: true}, "failed": {status: 500}, "broken": {err: errReset}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, first, reply{body: "ok"})
				w.routes.Update(route.New(8, []route.Route{
					{Name: "whole", Host: "h", Prefix: "/whole/", Repeatable: true, Attempts: 2, Timeout: time.Second, Aim: 100 * time.Millisecond, Split: split("llm")},
				}, []route.Service{{Name: "llm", Engine: &route.Engine{Slots: 8, Memory: 30000, EventTokens: 4}}}, []route.Organisation{{Name: "council", Keys: []string{"key"}}}, route.Limits{}))
				r := &recordingAdmitter{w: w}
				w.relay.Admitter = r
				c := w.serve(t.Context(), "/whole/")
				is.Equal(c.body.String(), "ok")
				is.Equal(r.running, []int{0, 0})
			})
		})
	}
}

// fillUpstreams takes all slots of a service's upstreams and returns their number.
func (w *world) fillUpstreams(service string) (upstreams int) {
	for _, u := range w.fleet.Serving(service) {
		w.load.Begin(u.ID, upstreamload.Load{Requests: u.Slots})
		upstreams++
	}
	return upstreams
}

// TestBudget guards against unbounded retries where every try fails.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, reply{err: errReset})
		const requests = 50
		for range requests {
			w.routes.Confirm(time.Now())
			w.serve(t.Context(), "/safe/")
		}
		is.Equal(len(w.sender.sends), requests+3) // the initial budget
	})
}

// bufferedSuffix marks tests with buffers between upstreams and callers.
const bufferedSuffix = ", buffered"

// withAndWithoutBuffers returns each row twice, with and without buffers.
func withAndWithoutBuffers[T any](tests map[string]T) map[string]T {
	all := map[string]T{}
	for name, tt := range tests {
		all[name], all[name+bufferedSuffix] = tt, tt
	}
	return all
}

// buffersFor returns the buffers for a test's name; nil for none.
func buffersFor(name string) *buffers.Buffers {
	if !strings.HasSuffix(name, bufferedSuffix) {
		return nil
	}
	return buffers.New(buffers.Limits{Stream: 1 << 10, Box: 1 << 20})
}

// TestStream covers each fault of streams.
func TestStream(t *testing.T) {
	tests := map[string]struct {
		path    string
		script  []reply
		sends   int
		body    string
		aborted bool
		want    refusal.Reason
	}{
		"whole":                             {"/draft/", []reply{{events: []int{0, 1, 2}}}, 1, "0;1;2;", false, ""},
		"whole, without a length":           {"/draft/", []reply{{events: []int{0, 1}, unframed: true}}, 1, "0;1;", false, ""},
		"a draft breaks":                    {"/draft/", []reply{{events: []int{0, 1}, cutAfter: errReset}, {events: []int{2}}}, 1, "0;1;", true, ""},
		"a draft breaks before it begins":   {"/draft/", []reply{{cutAfter: errReset}}, 1, "", false, refusal.NoAnswer},
		"a draft, 503 without the header":   {"/draft/", []reply{{status: 503}}, 1, "", false, refusal.NoAnswer},
		"a draft is not run":                {"/draft/", []reply{{status: 503, notRun: true}, {events: []int{0}}}, 1, "", false, refusal.UpstreamFull},
		"a draft's upstream resets":         {"/draft/", []reply{{err: errReset}, {events: []int{0}}}, 1, "", false, refusal.NoAnswer},
		"a failure, whole":                  {"/draft/", []reply{{status: 500, body: "no"}}, 1, "no", false, ""},
		"a failure without an end":          {"/draft/", []reply{{status: 500, body: "no", rest: "more"}}, 1, "", false, refusal.NoAnswer},
		"a gap":                             {"/draft/", []reply{{events: []int{0, 2}}}, 1, "0;", true, ""},
		"an event comes twice":              {"/draft/", []reply{{events: []int{0, 1, 1, 2}}}, 1, "0;1;2;", false, ""},
		"a check breaks and is resumed":     {"/check/", []reply{{events: []int{0, 1}, cutAfter: errReset}, {events: []int{2, 3}}}, 2, "0;1;2;3;", false, ""},
		"a check breaks before it begins":   {"/check/", []reply{{cutAfter: errReset}, {events: []int{0, 1}}}, 2, "0;1;", false, ""},
		"a check's upstream resets":         {"/check/", []reply{{err: errReset}, {events: []int{0, 1}}}, 2, "0;1;", false, ""},
		"a check is resumed from the start": {"/check/", []reply{{events: []int{0, 1}, cutAfter: errReset}, {events: []int{0, 1, 2}}}, 2, "0;1;2;", false, ""},
		"a check breaks twice":              {"/check/", []reply{{events: []int{0}, cutAfter: errReset}, {events: []int{1}, cutAfter: errReset}, {events: []int{2}}}, 2, "0;1;", true, ""},
		"a check is resumed, upstream full": {"/check/", []reply{{events: []int{0}, cutAfter: errReset}, {status: 503, notRun: true}}, 2, "0;", true, ""},
	}
	for name, tt := range withAndWithoutBuffers(tests) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, tt.script...)
				w.relay.Buffers = buffersFor(name)
				c := w.serve(t.Context(), tt.path)
				is.Equal(len(w.sender.sends), tt.sends)
				is.Equal(c.body.String(), tt.body)
				is.Equal(c.aborted, tt.aborted)
				if tt.want != "" {
					is.Equal(c.refused.Reason(), tt.want)
				}
				is.Equal(len(w.load.Own()), 0)
				is.Equal(w.runs.Len(), 0)
			})
		})
	}
}

// move is one row of TestMoved.
type move struct {
	during       func(r *runs.Run) // called after two events
	streamErr    error             // how the first stream ends; nil for normally
	unframed     bool              // the first stream has no length
	next         []reply
	body         string
	aborted      bool
	continuedAt  []string      // upstreams to which the run was sent afterwards
	evacuatedAgo time.Duration // time since the target's hall was evacuated
	backoffSends int           // the target is backing off, after backoffSends-1 exceptional sends; 0: it is not
}

func (m move) check(t *testing.T, name string, from exchange.Copy) {
	is := is.New(t)
	var w *world
	first := reply{events: []int{0, 1}, cutAfter: m.streamErr, unframed: m.unframed, wait: func() {
		for _, u := range w.runs.Upstreams() {
			for _, r := range w.runs.At(u.ID) {
				m.during(r)
			}
		}
	}}
	w = newWorld(t, append([]reply{first}, m.next...)...)
	w.relay.Buffers = buffersFor(name)
	if m.evacuatedAgo > 0 {
		w.fleet.CloseHall(time.Now().Add(-m.evacuatedAgo), "leith")
	}
	if m.backoffSends > 0 {
		w.enableBackoff().Requested(time.Now(), fleet.Upstream{ID: "llm3", Service: "llm"}, time.Minute)
		for range m.backoffSends - 1 {
			is.True(w.relay.Backoff.AllowException(time.Now(), "llm3"))
		}
	}
	c := w.serve(t.Context(), "/draft/")
	time.Sleep(time.Second) // for the goroutine that resolves the stop
	is.Equal(c.body.String(), m.body)
	is.Equal(c.aborted, m.aborted)
	var continuedAt []string
	for _, s := range w.sender.sends[1:] {
		continuedAt = append(continuedAt, s.Upstream)
		is.Equal(s.After, 1)
		is.Equal(*s.From, from)
	}
	is.Equal(continuedAt, m.continuedAt)
	is.Equal(len(w.load.Own()), 0)
}

// TestMoved moves a stream while it is being forwarded.
func TestMoved(t *testing.T) {
	source := fleet.Upstream{ID: "llm0", Service: "llm", Address: "llm0:1", Hall: "gorgie"}
	target := fleet.Upstream{ID: "llm3", Service: "llm", Address: "llm3:1", Hall: "leith"}
	handoff := runs.Handoff{Copy: exchange.Copy{Holder: source.Address, ID: "c1"}, Target: target, Source: source, OK: true}
	stop := func(h runs.Handoff) func(*runs.Run) {
		return func(r *runs.Run) {
			r.BeginStop()
			go func() {
				time.Sleep(20 * time.Millisecond) // the stream closes before the stop is resolved
				r.ResolveStop(h)
			}()
		}
	}
	tests := map[string]move{
		"continues at the target":                       {during: stop(handoff), streamErr: io.ErrUnexpectedEOF, next: []reply{{events: []int{2, 3}}}, body: "0;1;2;3;", continuedAt: []string{"llm3"}},
		"ends without a length":                         {during: stop(handoff), unframed: true, next: []reply{{events: []int{2, 3}}}, body: "0;1;2;3;", continuedAt: []string{"llm3"}},
		"ended before the stop":                         {during: stop(runs.Handoff{}), body: "0;1;"},
		"the target refuses, continues at the source":   {during: stop(handoff), streamErr: io.ErrUnexpectedEOF, next: []reply{{status: 503, notRun: true}, {events: []int{2}}}, body: "0;1;2;", continuedAt: []string{"llm3", "llm0"}},
		"both refuse":                                   {during: stop(handoff), streamErr: io.ErrUnexpectedEOF, next: []reply{{status: 503, notRun: true}}, body: "0;1;", aborted: true, continuedAt: []string{"llm3", "llm0"}},
		"lost after its first copy":                     {during: func(r *runs.Run) { r.SetCopy(handoff) }, streamErr: errReset, next: []reply{{events: []int{2}}}, body: "0;1;2;", continuedAt: []string{"llm3"}},
		"the stop failed, it is lost":                   {during: stop(runs.Handoff{}), streamErr: errReset, body: "0;1;", aborted: true},
		"the target's hall was evacuated just now":      {during: stop(handoff), evacuatedAgo: time.Second, streamErr: io.ErrUnexpectedEOF, next: []reply{{events: []int{2}}}, body: "0;1;2;", continuedAt: []string{"llm3"}},
		"the target's hall was evacuated some time ago": {during: stop(handoff), evacuatedAgo: 3 * time.Second, streamErr: io.ErrUnexpectedEOF, next: []reply{{events: []int{2}}}, body: "0;1;2;", continuedAt: []string{"llm0"}},
		"the target is backing off":                     {during: stop(handoff), backoffSends: 1, streamErr: io.ErrUnexpectedEOF, next: []reply{{events: []int{2}}}, body: "0;1;2;", continuedAt: []string{"llm3"}},
		"backing off, one exceptional send":             {during: stop(handoff), backoffSends: 2, streamErr: io.ErrUnexpectedEOF, next: []reply{{events: []int{2}}}, body: "0;1;2;", continuedAt: []string{"llm3"}},
		"backing off, two exceptional sends":            {during: stop(handoff), backoffSends: 3, streamErr: io.ErrUnexpectedEOF, next: []reply{{events: []int{2}}}, body: "0;1;2;", continuedAt: []string{"llm0"}},
		"the target repeats an event":                   {during: stop(handoff), streamErr: io.ErrUnexpectedEOF, next: []reply{{events: []int{1, 2}}}, body: "0;1;2;", continuedAt: []string{"llm3"}},
		"the target leaves a gap":                       {during: stop(handoff), streamErr: io.ErrUnexpectedEOF, next: []reply{{events: []int{3}}}, body: "0;1;", aborted: true, continuedAt: []string{"llm3"}},
	}
	for name, tt := range withAndWithoutBuffers(tests) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { tt.check(t, name, handoff.Copy) })
		})
	}
}

// TestCallerGone guards against requests that keep running after their caller
// disconnected.
func TestCallerGone(t *testing.T) {
	for name, path := range map[string]string{"stream": "/draft/", "safe": "/safe/", "once": "/once/"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, reply{hang: true})
				ctx, cancel := context.WithCancel(t.Context())
				began := time.Now()
				time.AfterFunc(20*time.Millisecond, cancel)
				w.serve(ctx, path)
				is.Equal(time.Since(began), 20*time.Millisecond)
				is.Equal(len(w.sender.sends), 1) // no retry either
				is.Equal(len(w.load.Own()), 0)
			})
		})
	}
}

// TestStop checks which drafts a stopping box accepts, and the Retry-After of the others.
func TestStop(t *testing.T) {
	tests := map[string]struct {
		lengths    []int // lengths of earlier answers, in tokens
		remaining  time.Duration
		mostBoxes  bool
		accepted   bool
		retryAfter time.Duration
	}{
		"similar answers fit":                     {lengths: []int{320}, remaining: 8 * time.Second, accepted: true},
		"half of similar answers fit":             {lengths: []int{320, 2000}, remaining: 8 * time.Second, retryAfter: 50 * time.Millisecond},
		"two thirds fit, most boxes stop":         {lengths: []int{320, 320, 2000}, remaining: 8 * time.Second, mostBoxes: true, accepted: true},
		"no similar answer fits":                  {lengths: []int{2000}, remaining: 8 * time.Second, retryAfter: 50 * time.Millisecond},
		"no similar answer fits, most boxes stop": {lengths: []int{2000}, remaining: 8 * time.Second, mostBoxes: true, retryAfter: 3 * time.Second},
		"short answers fit in the time left":      {lengths: []int{100}, remaining: 6 * time.Second, accepted: true},
		"short answers fit, but late in the stop": {lengths: []int{10}, remaining: 5 * time.Second, retryAfter: 50 * time.Millisecond},
		"no known lengths":                        {remaining: 8 * time.Second, retryAfter: 50 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, reply{events: []int{0}})
				w.exitsIn, w.mostBoxes = tt.remaining, tt.mostBoxes
				req := request("/draft/")
				w.learnLengths(outputlen.Key{Organisation: "council", Class: "draft"}, tt.lengths)
				c := &caller{}
				w.relay.Serve(t.Context(), req, c)
				is.Equal(c.refused == nil, tt.accepted)
				if !tt.accepted {
					is.Equal(c.refused.Reason(), refusal.Draining)
					is.Equal(c.refused.RetryAfter(), tt.retryAfter)
					is.Equal(len(w.sender.sends), 0)
				}
			})
		})
	}
}

// TestFailuresReported checks which failures of upstreams are reported to other boxes.
func TestFailuresReported(t *testing.T) {
	tests := map[string]struct {
		path       string
		reply      reply
		disconnect time.Duration // when the caller disconnects; 0 for never
		reported   bool
	}{
		"an answer":                           {path: "/once/", reply: reply{body: "x"}},
		"internal error":                      {path: "/once/", reply: reply{status: 500}, reported: true},
		"full":                                {path: "/once/", reply: reply{status: 503, notRun: true}, reported: true},
		"reset":                               {path: "/once/", reply: reply{err: errReset}, reported: true},
		"a stream":                            {path: "/draft/", reply: reply{events: []int{0, 1}}},
		"no stream":                           {path: "/draft/", reply: reply{status: 500}, reported: true},
		"hangs, the caller disconnects late":  {path: "/draft/", reply: reply{hang: true}, disconnect: 4 * time.Second, reported: true},
		"hangs, the caller disconnects early": {path: "/draft/", reply: reply{hang: true}, disconnect: time.Second},
		"a slow stream":                       {path: "/draft/", reply: reply{events: []int{0, 1}, pause: 1900 * time.Millisecond}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, tt.reply)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tt.disconnect > 0 {
					time.AfterFunc(tt.disconnect, cancel)
				}
				w.serve(ctx, tt.path)
				is.New(t).Equal(len(w.reliability.Own(time.Now())) > 0, tt.reported)
			})
		})
	}
}

// TestCold checks that a request is refused at once if all upstreams are cold and at their
// limits.
func TestCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, reply{body: "b"})
		w.relay.Picker.Warmup = warmup.New(rand.New(rand.NewPCG(1, 1)))
		w.relay.Picker.Allocation = func(route.Service) float64 { return 0 }
		for _, u := range w.fleet.Serving("plain") {
			u.Version, u.ColdUntil = 2, time.Now().Add(2*time.Second)
			w.fleet.Put(time.Now(), u)
		}
		c := w.serve(t.Context(), "/public/")
		is.Equal(c.refused.Reason(), refusal.UpstreamCold)
		is.True(c.refused.RetryAfter() > 0)
		is.Equal(len(w.sender.sends), 0)
		time.Sleep(2 * time.Second)
		is.Equal(w.serve(t.Context(), "/public/").body.String(), "b")
	})
}

// TestConfined checks that a request is only sent to regions that both its route and its
// organisation allow.
func TestConfined(t *testing.T) {
	tests := map[string]struct {
		route, organisation []string
		served              bool
	}{
		"neither":                           {nil, nil, true},
		"the route, here":                   {[]string{"edinburgh"}, nil, true},
		"the route, elsewhere":              {[]string{"north"}, nil, false},
		"the organisation":                  {nil, []string{"north"}, false},
		"both, one is here":                 {[]string{"north", "edinburgh"}, []string{"edinburgh"}, true},
		"both, none in common":              {[]string{"north"}, []string{"edinburgh"}, false},
		"both, the common one is elsewhere": {[]string{"north", "edinburgh"}, []string{"north"}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, reply{body: "b"})
				w.relay.Picker.Regions = distance.New(map[string]string{"": "edinburgh"})
				w.routes.Update(route.New(8, []route.Route{
					{Name: "safe", Host: "h", Prefix: "/safe/", Repeatable: true, Attempts: 2, Timeout: time.Second, Aim: time.Second, Split: split("plain"), Regions: tt.route},
				}, []route.Service{{Name: "plain"}}, []route.Organisation{{Name: "council", Keys: []string{"key"}, Regions: tt.organisation}}, route.Limits{}))
				w.routes.Confirm(time.Now())
				c := w.serve(t.Context(), "/safe/")
				is.Equal(c.body.String() == "b", tt.served)
				is.Equal(len(w.sender.sends) > 0, tt.served)
				is.True(tt.served || c.refused.Reason() == refusal.NoUpstream)
			})
		})
	}
}

// restart is one row of TestRestarted.
type restart struct {
	path          string
	script        []reply
	copyAt        string // upstream with a copy of the run
	alsoRestarted string // upstream that restarted just before
	born          int64  // start time announced during the first answer; it was 100
	body          string
	sends         int
	cutAtOnce     bool // the answer is cut as soon as the restart is known
	want          refusal.Reason
}

func (r restart) check(t *testing.T, name string) {
	is := is.New(t)
	w := newWorld(t, r.script...)
	w.relay.Buffers = buffersFor(name)
	w.fleet.OnRestart(func(u fleet.Upstream, _ string) {
		w.reliability.Forget(u.ID)
		w.load.Forget(u.ID)
		w.runs.UpstreamRestarted(u)
	})
	announce := func(id string, born int64) {
		u, _ := w.fleet.Get(id)
		u.StartedAt, u.Version = born, u.Version+1
		w.fleet.Put(time.Now(), u)
	}
	for _, service := range []string{"plain", "llm"} {
		for i := range 4 {
			announce(fmt.Sprint(service, i), 100)
		}
	}
	const after = 20 * time.Millisecond
	time.AfterFunc(after, func() {
		at := w.sender.first()
		for _, run := range w.runs.At(at) {
			if r.copyAt != "" {
				target, _ := w.fleet.Get(r.copyAt)
				run.SetCopy(runs.Handoff{Copy: exchange.Copy{ID: "c1"}, Target: target, OK: true})
			}
		}
		if r.alsoRestarted != "" {
			announce(r.alsoRestarted, 200)
		}
		announce(at, r.born)
	})
	c := w.serve(t.Context(), r.path)
	is.Equal(c.body.String(), r.body)
	is.Equal(len(w.sender.sends), r.sends)
	is.Equal(time.Since(c.began) == after, r.cutAtOnce)
	if r.want != "" {
		is.Equal(c.refused.Reason(), r.want)
	}
	is.Equal(len(w.load.Own()), 0)
	if r.born > 100 { // failures before the restart do not count afterwards
		is.Equal(w.reliability.FailureRate(time.Now(), w.sender.sends[0].Upstream), 0.0)
	}
}

// TestRestarted restarts an upstream while it has a request on a connection that stays
// open.
func TestRestarted(t *testing.T) {
	silent := reply{events: []int{0, 1}, silent: true}
	tests := map[string]restart{
		"a draft":                              {path: "/draft/", script: []reply{silent}, born: 200, body: "0;1;", sends: 1, cutAtOnce: true},
		"a draft, not yet answered":            {path: "/draft/", script: []reply{{hang: true}}, born: 200, sends: 1, cutAtOnce: true, want: refusal.NoAnswer},
		"a draft with a copy elsewhere":        {path: "/draft/", script: []reply{silent, {events: []int{2}}}, copyAt: "llm3", born: 200, body: "0;1;2;", sends: 2, cutAtOnce: true},
		"a draft with a copy that is lost too": {path: "/draft/", script: []reply{silent}, copyAt: "llm3", alsoRestarted: "llm3", born: 200, body: "0;1;", sends: 1, cutAtOnce: true},
		"a check is resumed":                   {path: "/check/", script: []reply{silent, {events: []int{2}}}, born: 200, body: "0;1;2;", sends: 2, cutAtOnce: true},
		"a safe request is sent again":         {path: "/safe/", script: []reply{{hang: true}, {body: "ok"}}, born: 200, body: "ok", sends: 2, cutAtOnce: true},
		"a request that may run once":          {path: "/once/", script: []reply{{hang: true}}, born: 200, sends: 1, cutAtOnce: true, want: refusal.NoAnswer},
		"same start time":                      {path: "/draft/", script: []reply{silent}, born: 100, body: "0;1;", sends: 1},
		"no start time":                        {path: "/draft/", script: []reply{silent}, born: 0, body: "0;1;", sends: 1},
	}
	for name, tt := range withAndWithoutBuffers(tests) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { tt.check(t, name) })
		})
	}
}

// sequentialAdmitter admits each request to the next upstream.
type sequentialAdmitter struct {
	fleet   *fleet.Fleet
	onFirst func(u fleet.Upstream) // called when the first request was placed
	calls   int
}

func (a *sequentialAdmitter) Admit(context.Context, admission.Request) (admission.Grant, error) {
	id := fmt.Sprint("llm", a.calls)
	a.calls++
	u, _ := a.fleet.Get(id)
	if a.calls == 1 {
		a.onFirst(u)
	}
	return admission.Grant{Upstream: u}, nil
}

// stateChanges are changes after which an upstream may not get a request that was placed there.
var stateChanges = map[string]func(w *world, u fleet.Upstream){
	"restarted": func(w *world, u fleet.Upstream) { w.fleet.MarkStarted(time.Now(), u.ID, u.StartedAt+1, "report") },
	"leaving": func(w *world, u fleet.Upstream) {
		w.fleet.ApplyDeparture(time.Now(), fleet.Departure{ID: u.ID, Announced: true}, "answer")
	},
	"hall evacuated": func(w *world, u fleet.Upstream) { w.fleet.CloseHall(time.Now(), u.Hall) },
	"release excluded": func(w *world, u fleet.Upstream) {
		w.fleet.SetReleases(time.Now(), u.Service, fleet.Releases{Except: []string{u.Release}})
	},
	"only another release": func(w *world, u fleet.Upstream) {
		w.fleet.SetReleases(time.Now(), u.Service, fleet.Releases{Only: "r1"})
	},
	"release on trial": func(w *world, u fleet.Upstream) {
		w.fleet.SetReleases(time.Now(), u.Service, fleet.Releases{Trial: u.Release})
	},
}

// TestStateChangeBeforeSend guards against sends to an upstream that restarted, is leaving,
// was evacuated or is of a release that takes no more requests since the request was placed.
func TestStateChangeBeforeSend(t *testing.T) {
	for name, change := range stateChanges {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, reply{events: []int{0}})
				for i := range 2 {
					u, _ := w.fleet.Get(fmt.Sprint("llm", i))
					u.StartedAt, u.Hall, u.Version, u.Release = 100, fmt.Sprint("hall", i), u.Version+1, fmt.Sprint("r", i)
					w.fleet.Put(time.Now(), u)
				}
				w.relay.Admitter = &sequentialAdmitter{fleet: w.fleet, onFirst: func(u fleet.Upstream) { change(w, u) }}
				c := w.serve(t.Context(), "/draft/")
				is.Equal(c.body.String(), "0;")
				is.Equal(len(w.sender.sends), 1)
				is.Equal(w.sender.first(), "llm1")
				is.Equal(len(w.load.Own()), 0)
			})
		})
	}
}

// TestStateChangeWhileConnecting guards against requests that reach an upstream long after it was
// known to leave, as opening the connection took long or the process was paused meanwhile.
func TestStateChangeWhileConnecting(t *testing.T) {
	for name, change := range stateChanges {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, reply{events: []int{0}})
				for i := range 2 {
					u, _ := w.fleet.Get(fmt.Sprint("llm", i))
					u.StartedAt, u.Hall, u.Version, u.Release = 100, fmt.Sprint("hall", i), u.Version+1, fmt.Sprint("r", i)
					w.fleet.Put(time.Now(), u)
				}
				w.relay.Admitter = &sequentialAdmitter{fleet: w.fleet, onFirst: func(fleet.Upstream) {}}
				first := reply{events: []int{0}, connects: 300 * time.Millisecond, onOpen: func() {
					u, _ := w.fleet.Get("llm0")
					change(w, u)
				}}
				w.sender.script = []reply{first, {events: []int{0}}}
				c := w.serve(t.Context(), "/draft/")
				is.Equal(c.body.String(), "0;")
				is.Equal(len(w.sender.sends), 2) // nothing reached the first one
				is.Equal(w.sender.sends[1].Upstream, "llm1")
				is.Equal(len(w.load.Own()), 0)
				is.Equal(w.reliability.FailureRate(time.Now(), "llm0"), 0.0)
			})
		})
	}
}

// TestCommentsAreNoProgress guards against an upstream that counts as healthy, and a caller that is sent
// a head and blank lines, while it sends nothing but comments until the time limit.
func TestCommentsAreNoProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		comments := slices.Repeat([]int{exchange.NoEvent}, 100_000)
		w := newWorld(t, reply{events: comments, pause: 10 * time.Millisecond})
		c := w.serve(t.Context(), "/draft/")
		is.Equal(c.body.String(), "")
		is.True(c.refused != nil)
		is.Equal(c.refused.Reason(), refusal.TimedOut)
		is.True(w.reliability.FailureRate(time.Now(), w.sender.first()) > 0)
	})
}

// TestCommentsForwarded checks that comments between the events of a stream reach the caller.
func TestCommentsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, reply{events: []int{exchange.NoEvent, 0, exchange.NoEvent, 1}})
		c := w.serve(t.Context(), "/draft/")
		is.New(t).Equal(c.body.String(), "0;-1;1;")
	})
}
