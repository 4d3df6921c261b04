package relay_test

import (
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

// reply is what one send meets.
type reply struct {
	status   int
	notRun   bool
	unsealed bool
	notSent  bool
	err      error
	hang     bool // nothing comes until the sender gives up
	takes    time.Duration
	body     string
	rest     string // of a long answer, after what is held
	cutAfter error  // the body ends with this
	events   []int  // ids; the stream ends well after them unless cutAfter is set
	unframed bool
	pause    time.Duration // before each event
	wait     func()        // before the stream ends
	silent   bool          // nothing comes after the events until the sender gives up
	limit    float64       // that the upstream names; 0 for none
	leaves   bool          // the upstream says so
	asks     time.Duration // of rest, that the upstream wants
}

func (r reply) says() exchange.Limit {
	if r.limit == 0 {
		return exchange.Limit{}
	}
	return exchange.Limit{Said: exchange.LimitNamed, PerSecond: r.limit}
}

// sender answers the sends of a test, in order; past the script, it is the
// last reply again.
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
	select {
	case <-time.After(r.takes):
	case <-ctx.Done():
		return nil, &exchange.FailedError{Err: ctx.Err()}
	}
	if r.err != nil {
		return nil, &exchange.FailedError{NotSent: r.notSent, Err: r.err}
	}
	if r.status == 0 {
		r.status = http.StatusOK
	}
	return &exchange.Answer{
		Status: r.status, NotRun: r.notRun, Whole: !r.unsealed, Framed: !r.unframed, Limit: r.says(), Leaves: r.leaves, Rest: r.asks, Body: &bodyOf{ctx: ctx, reply: r},
	}, nil
}

// first returns where the first request was sent.
func (s *sender) first() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sends[0].Upstream
}

type bodyOf struct {
	ctx   context.Context
	reply reply
	at    int
}

func (b *bodyOf) Next() (exchange.Event, error) {
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

func (b *bodyOf) All(int) ([]byte, bool, error) {
	return []byte(b.reply.body), b.reply.rest != "", b.reply.cutAfter
}

func (b *bodyOf) Read(p []byte) (int, error) {
	time.Sleep(time.Second / 10) // longer than part of the aim
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	n := copy(p, b.reply.rest)
	b.reply.rest = b.reply.rest[n:]
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

func (*bodyOf) Close() {}

// caller keeps what it is told.
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

// world is a relay with what it works with.
type world struct {
	belief *routecache.Cache
	fleet  *fleet.Fleet
	runs   *runs.Runs
	sender *sender
	tally  *upstreamload.Tracker
	failed *reliability.Reliability
	relay  *relay.Relay
	leaves time.Duration // until the box is gone; 0 while it stays
	most   bool          // most boxes leave
	full   bool
}

var table = route.New(7, []route.Route{
	{Name: "safe", Host: "h", Prefix: "/safe/", Repeatable: true, Attempts: 2, Timeout: time.Second, Aim: 100 * time.Millisecond, Split: split("plain")},
	{Name: "once", Host: "h", Prefix: "/once/", Attempts: 1, Timeout: time.Second, Aim: 100 * time.Millisecond, Split: split("plain")},
	{Name: "twice", Host: "h", Prefix: "/unsafe2/", Attempts: 2, Timeout: time.Second, Aim: 100 * time.Millisecond, Split: split("plain")},
	{Name: "public", Host: "h", Prefix: "/public/", Public: true, Attempts: 1, Timeout: time.Second, Aim: time.Second, Split: split("plain")},
	{Name: "draft", Host: "h", Prefix: "/draft/", Streams: true, Attempts: 1, Timeout: 30 * time.Second, Aim: time.Second, Split: split("llm")},
	{Name: "check", Host: "h", Prefix: "/check/", Streams: true, Resumable: true, Attempts: 2, Timeout: 6 * time.Second, Aim: time.Second, Split: split("llm")},
	{Name: "nowhere", Host: "h", Prefix: "/nowhere/", Attempts: 1, Timeout: time.Second, Aim: time.Second, Split: split("empty")},
}, []route.Service{
	{Name: "plain", ColdPerSecond: 20}, {Name: "empty"},
	{Name: "llm", Engine: &route.Engine{Slots: 8, Memory: 30000, EventTokens: 4, Moves: true}},
}, []route.Organisation{{Name: "council", Keys: []string{"key"}}}, route.Limits{})

// grace is how long a box takes to stop.
const grace = 8 * time.Second

func split(service string) []route.Share { return []route.Share{{Service: service, Weight: 1}} }

func newWorld(t *testing.T, script ...reply) *world {
	t.Helper()
	counts, err := metrics.New()
	is.New(t).NoErr(err)
	w := &world{
		belief: routecache.New(4600 * time.Millisecond), fleet: fleet.New(time.Second), runs: runs.New(), tally: upstreamload.New(),
		sender: &sender{script: script},
	}
	w.belief.Update(table)
	w.belief.Confirm(time.Now())
	var list []fleet.Upstream
	for _, service := range []string{"plain", "llm"} {
		for i := range 4 {
			list = append(list, fleet.Upstream{ID: fmt.Sprint(service, i), Service: service, Address: fmt.Sprint(service, i, ":1"), Slots: 8, State: fleet.Open})
		}
	}
	w.fleet.Replace(time.Now(), list, 1, false)
	w.failed = reliability.New()
	w.relay = relay.New(relay.Parts{
		Belief: w.belief, Fleet: w.fleet, Tally: w.tally, Reliability: w.failed, Sender: w.sender, Lengths: outputlen.New(), Prefill: prefill.New(), Budget: retry.NewBudget(0.1, 3),
		Chooser: picker.New(picker.Parts{Fleet: w.fleet, Tally: w.tally, Reliability: w.failed, Reading: prefill.New(), Hall: "leith", Random: rand.New(rand.NewPCG(1, 1))}), Runs: w.runs, Metrics: counts,
		Full: func() bool { return w.full },
		Stopping: func() (relay.Stop, bool) {
			return relay.Stop{Since: grace - w.leaves, Left: w.leaves, Most: w.most}, w.leaves > 0
		}, Log: logs.New(io.Discard, "info", "b"),
	})
	return w
}

// learn lets a hundred answers of each length end.
func (w *world) learn(k outputlen.Key, like []int) {
	for range 100 {
		for _, tokens := range like {
			w.relay.Lengths.Progress(k, 0, tokens)
			w.relay.Lengths.End(k, tokens, false)
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

// TestAdmit holds requests against what the box believes.
func TestAdmit(t *testing.T) {
	tests := map[string]struct {
		path   string
		key    string
		age    time.Duration
		none   bool
		full   bool // the box
		open   bool // stale beliefs are served by
		leaves time.Duration
		want   refusal.Reason // empty for served
		again  bool           // it says when to come back
	}{
		"served":                               {path: "/safe/", key: "key"},
		"no configuration yet":                 {path: "/safe/", key: "key", none: true, want: refusal.NotReady, again: true},
		"no key":                               {path: "/safe/", want: refusal.NoKey},
		"a key that nobody holds":              {path: "/safe/", key: "other", want: refusal.WrongKey},
		"no such route":                        {path: "/other/", key: "key", want: refusal.UnknownRoute},
		"public without a key":                 {path: "/public/"},
		"a service without upstreams":          {path: "/nowhere/", key: "key", want: refusal.NoUpstream, again: true},
		"too old to serve a key by":            {path: "/safe/", key: "key", age: 4700 * time.Millisecond, want: refusal.StaleConfiguration, again: true},
		"too old to say that there is no key":  {path: "/safe/", key: "other", age: 5 * time.Second, want: refusal.StaleConfiguration, again: true},
		"too old to say there is no route":     {path: "/other/", key: "key", age: 5 * time.Second, want: refusal.StaleConfiguration, again: true},
		"public, however old":                  {path: "/public/", age: time.Minute},
		"stale, open: served":                  {path: "/safe/", key: "key", age: time.Minute, open: true},
		"stale, open: a key that may be new":   {path: "/safe/", key: "other", age: time.Minute, open: true, want: refusal.StaleConfiguration, again: true},
		"stale, open: a route that may be":     {path: "/other/", key: "key", age: time.Minute, open: true, want: refusal.StaleConfiguration, again: true},
		"fresh, open: a key that nobody holds": {path: "/safe/", key: "other", open: true, want: refusal.WrongKey},
		"open, no configuration yet":           {path: "/safe/", key: "key", open: true, none: true, want: refusal.NotReady, again: true},
		"the box is full":                      {path: "/safe/", key: "key", full: true, want: refusal.BoxFull, again: true},
		"leaving, a short one":                 {path: "/safe/", key: "key", leaves: 8 * time.Second},
		"leaving soon, a short one":            {path: "/safe/", key: "key", leaves: time.Second, want: refusal.Draining, again: true},
		"leaving, a check":                     {path: "/check/", key: "key", leaves: 8 * time.Second},
		"leaving soon, a check":                {path: "/check/", key: "key", leaves: 5 * time.Second, want: refusal.Draining, again: true},
		"leaving soon, a draft":                {path: "/draft/", key: "key", leaves: 5 * time.Second, want: refusal.Draining, again: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, reply{body: "ok", events: []int{0}})
				if tt.none {
					w.belief = routecache.New(time.Second)
					w.relay.Belief = w.belief
				}
				w.leaves = tt.leaves
				w.relay.ServeStale, w.full = tt.open, tt.full
				time.Sleep(tt.age)
				req := request(tt.path)
				req.Key = tt.key
				c := &caller{}
				w.relay.Serve(t.Context(), req, c)
				if tt.want == "" {
					is.True(c.refused == nil)
					is.Equal(c.status, 200)
					return
				}
				is.Equal(c.refused.Reason(), tt.want)
				is.Equal(c.refused.Ending(), refusal.NotRun)
				is.Equal(len(w.sender.sends), 0) // not run is true
				is.Equal(c.refused.RetryAfter() > 0, tt.again)
			})
		})
	}
}

// long is a body that goes out in several pieces.
var long = strings.Repeat("0123456789", 2000)

// wholeCase is what becomes of a request whose answer is no stream.
type wholeCase struct {
	path   string
	script []reply
	sends  int
	status int            // of an upstream's answer that is passed on
	want   refusal.Reason // else
	ending refusal.Ending
}

// TestWhole is the fault matrix of requests whose answers are no streams.
func TestWhole(t *testing.T) {
	ok := reply{body: "ok"}
	full := reply{status: 503, notRun: true}
	tests := map[string]wholeCase{
		"answered":                              {"/once/", []reply{ok}, 1, 200, "", ""},
		"safe, reset":                           {"/safe/", []reply{{err: errReset}, ok}, 2, 200, "", ""},
		"safe, its own failure":                 {"/safe/", []reply{{status: 500}, ok}, 2, 200, "", ""},
		"safe, fails twice: no third":           {"/safe/", []reply{{status: 500}, {status: 500}, ok}, 2, 500, "", ""},
		"safe, cut in the answer":               {"/safe/", []reply{{cutAfter: io.ErrUnexpectedEOF}, ok}, 2, 200, "", ""},
		"safe, no seal":                         {"/safe/", []reply{{unsealed: true}, ok}, 2, 200, "", ""},
		"safe, hung: elsewhere at half the aim": {"/safe/", []reply{{hang: true}, ok}, 2, 200, "", ""},
		"once, reset":                           {"/once/", []reply{{err: errReset}, ok}, 1, 0, refusal.NoAnswer, refusal.Unknown},
		"once, its own failure":                 {"/once/", []reply{{status: 500}, ok}, 1, 500, "", ""},
		"once, cut in the answer":               {"/once/", []reply{{cutAfter: io.ErrUnexpectedEOF}, ok}, 1, 0, refusal.NoAnswer, refusal.Unknown},
		"once, no seal":                         {"/once/", []reply{{unsealed: true}, ok}, 1, 0, refusal.NoAnswer, refusal.Unknown},
		"once, full: come back":                 {"/once/", []reply{full, ok}, 1, 0, refusal.UpstreamFull, refusal.NotRun},
		"once, 503 without the mark":            {"/once/", []reply{{status: 503}, ok}, 1, 0, refusal.NoAnswer, refusal.Unknown},
		"once, 429 without the mark":            {"/once/", []reply{{status: 429}, ok}, 1, 0, refusal.NoAnswer, refusal.Unknown},
		"once, 408 without the mark":            {"/once/", []reply{{status: 408}, ok}, 1, 0, refusal.NoAnswer, refusal.Unknown},
		"safe, 503 without the mark":            {"/safe/", []reply{{status: 503}}, 2, 503, "", ""},
		"once, nothing reached it":              {"/once/", []reply{{err: errReset, notSent: true}, ok}, 2, 200, "", ""},
		"once, nothing is reached":              {"/once/", []reply{{err: errReset, notSent: true}}, 4, 0, refusal.NoUpstream, refusal.NotRun},
		"once, hung":                            {"/once/", []reply{{hang: true}}, 1, 0, refusal.TimedOut, refusal.Unknown},
		"unsafe with two tries, full":           {"/unsafe2/", []reply{full, ok}, 2, 200, "", ""},
		"unsafe with two tries, reset":          {"/unsafe2/", []reply{{err: errReset}, ok}, 1, 0, refusal.NoAnswer, refusal.Unknown},
		"unsafe with two tries, failure":        {"/unsafe2/", []reply{{status: 500}, ok}, 1, 500, "", ""},
		"a long answer":                         {"/once/", []reply{{body: long}}, 1, 200, "", ""},
		"a long answer with a rest":             {"/once/", []reply{{body: long, rest: "more"}}, 1, 200, "", ""},
		"another has the address":               {"/unsafe2/", []reply{{status: 421, notRun: true}, ok}, 2, 200, "", ""},
	}
	for name, tt := range twice(tests) {
		for places, share := range map[string]func(w *world){"": func(*world) {}, ", places shared out": (*world).share} {
			t.Run(name+places, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t, tt.script...)
					w.relay.Buffers = buffered(name)
					share(w)
					tt.check(t, w)
				})
			})
		}
	}
}

// check serves the request and looks at what was sent and answered.
func (tt wholeCase) check(t *testing.T, w *world) {
	is := is.New(t)
	c := w.serve(t.Context(), tt.path)
	is.Equal(len(w.sender.sends), tt.sends)
	is.Equal(c.status, tt.status)
	seen := map[string]bool{}
	for _, s := range w.sender.sends {
		is.True(!seen[s.Upstream]) // never the same upstream again
		seen[s.Upstream] = true
		is.Equal(s.Organisation, "council")
		is.True(s.Left <= time.Second) // the route's bound, not the caller's minute
	}
	if tt.want != "" {
		is.Equal(c.refused.Reason(), tt.want)
		is.Equal(c.refused.Ending(), tt.ending)
	} else {
		last := tt.script[min(tt.sends, len(tt.script))-1]
		is.Equal(c.body.String(), last.body+last.rest)
	}
	is.True(w.relay.Buffers == nil || w.relay.Buffers.Held() == 0)
	is.Equal(len(w.tally.Own()), 0)
}

// share lets the boxes share the places of plain upstreams out.
func (w *world) share() {
	w.relay.Places = places.New(places.Parts{
		Ranker: w.relay.Chooser, Failing: w.failed.FailureRate, Counter: w.relay.Metrics, Hall: "leith", Random: rand.New(rand.NewPCG(1, 2)), Log: w.relay.Log,
	})
}

// TestLong passes on an answer that is too long to be held, also where another
// try might have followed.
func TestLong(t *testing.T) {
	for name, path := range map[string]string{"safe": "/safe/", "once": "/once/"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, reply{body: "begin, ", rest: "and the rest"})
				c := w.serve(t.Context(), path)
				is.Equal(c.body.String(), "begin, and the rest")
				is.True(!c.aborted)
				is.Equal(len(w.sender.sends), 1)
				is.Equal(len(w.tally.Own()), 0)
			})
		})
	}
}

// TestBeside sends a second try at half the aim only where it may and can help, and
// never cuts the first one for it.
func TestBeside(t *testing.T) {
	const before, after = 40 * time.Millisecond, 70 * time.Millisecond // half the aim is 50 ms
	slow := 500 * time.Millisecond
	tests := map[string]struct {
		path   string
		script []reply
		spent  bool // the budget
		busy   bool // all upstreams
		sends  int
		body   string
		status int
		took   time.Duration
	}{
		"answered before it is due":          {"/safe/", []reply{{takes: before, body: "1"}}, false, false, 1, "1", 200, before},
		"no budget: the first goes on":       {"/safe/", []reply{{takes: after, body: "1"}}, true, false, 1, "1", 200, after},
		"all busy: the first goes on":        {"/safe/", []reply{{takes: after, body: "1"}}, false, true, 1, "1", 200, after},
		"the first answers first":            {"/safe/", []reply{{takes: after, body: "1"}, {takes: slow, body: "2"}}, false, false, 2, "1", 200, after},
		"the second answers first":           {"/safe/", []reply{{takes: slow, body: "1"}, {takes: before, body: "2"}}, false, false, 2, "2", 200, 90 * time.Millisecond},
		"the first breaks, the second runs":  {"/safe/", []reply{{takes: after, err: errReset}, {takes: slow, body: "2"}}, false, false, 2, "2", 200, 550 * time.Millisecond},
		"the second is full, the first runs": {"/safe/", []reply{{takes: slow, body: "1"}, {status: 503, notRun: true}}, false, false, 2, "1", 200, slow},
		"the second reaches nothing":         {"/safe/", []reply{{takes: after, err: errReset}, {notSent: true, err: errReset}, {takes: before, body: "3"}}, false, false, 3, "3", 200, 90 * time.Millisecond},
		"may not run twice":                  {"/unsafe2/", []reply{{takes: slow, body: "1"}}, false, false, 1, "1", 200, slow},
		"its upstream hangs, no budget":      {"/safe/", []reply{{hang: true}}, true, false, 1, "", 0, time.Second},
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
					others = w.fill("plain")
				}
				began := time.Now()
				c := w.serve(t.Context(), tt.path)
				is.Equal(time.Since(began), tt.took)
				is.Equal(c.body.String(), tt.body)
				is.Equal(c.status, tt.status)
				is.Equal(len(w.sender.sends), tt.sends)
				is.Equal(len(w.tally.Own()), others)
			})
		})
	}
}

// TestLeft ends both tries as soon as their caller leaves.
func TestLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, reply{hang: true})
		w.share()
		const leaves = 70 * time.Millisecond
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(leaves, leave)
		began := time.Now()
		c := w.serve(ctx, "/safe/")
		is.Equal(time.Since(began), leaves)
		is.Equal(len(w.sender.sends), 2)
		is.Equal(c.refused.Reason(), refusal.CallerGone)
		is.Equal(len(w.tally.Own()), 0)
	})
}

// room is an admitter that notes what runs while a request asks for room.
type room struct {
	w       *world
	running []int
}

func (r *room) Admit(_ context.Context, ask admission.Ask) (admission.Grant, error) {
	r.running = append(r.running, len(r.w.tally.Own()))
	for _, u := range r.w.fleet.Serving(ask.Service.Name) {
		if !slices.Contains(ask.Avoid, u.ID) {
			return admission.Grant{Upstream: u}, nil
		}
	}
	return admission.Grant{}, refusal.New(refusal.NoUpstream, "all were asked")
}

// TestNotHeld counts a try that has ended no longer while the next one waits.
func TestNotHeld(t *testing.T) {
	for name, first := range map[string]reply{"not run": {status: 503, notRun: true}, "failed": {status: 500}, "broken": {err: errReset}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, first, reply{body: "ok"})
				w.belief.Update(route.New(8, []route.Route{
					{Name: "whole", Host: "h", Prefix: "/whole/", Repeatable: true, Attempts: 2, Timeout: time.Second, Aim: 100 * time.Millisecond, Split: split("llm")},
				}, []route.Service{{Name: "llm", Engine: &route.Engine{Slots: 8, Memory: 30000, EventTokens: 4}}}, []route.Organisation{{Name: "council", Keys: []string{"key"}}}, route.Limits{}))
				r := &room{w: w}
				w.relay.Admitter = r
				c := w.serve(t.Context(), "/whole/")
				is.Equal(c.body.String(), "ok")
				is.Equal(r.running, []int{0, 0})
			})
		})
	}
}

// fill takes every place of a service's upstreams, and returns how many there are.
func (w *world) fill(service string) (upstreams int) {
	for _, u := range w.fleet.Serving(service) {
		w.tally.Begin(u.ID, upstreamload.Load{Requests: u.Slots})
		upstreams++
	}
	return upstreams
}

// TestBudget shows that repeats are bounded where all fails.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, reply{err: errReset})
		const requests = 50
		for range requests {
			w.belief.Confirm(time.Now())
			w.serve(t.Context(), "/safe/")
		}
		is.Equal(len(w.sender.sends), requests+3) // the budget that was saved up
	})
}

// withBuffers ends the names of tests in which callers are written to by a task of
// their own.
const withBuffers = ", buffered"

// twice returns the rows of a table with and without buffers.
func twice[T any](tests map[string]T) map[string]T {
	all := map[string]T{}
	for name, tt := range tests {
		all[name], all[name+withBuffers] = tt, tt
	}
	return all
}

// buffered returns the buffers of a test by its name.
func buffered(name string) *buffers.Buffers {
	if !strings.HasSuffix(name, withBuffers) {
		return nil
	}
	return buffers.New(buffers.Limits{Stream: 1 << 10, Box: 1 << 20})
}

// TestStream is the fault matrix of streams.
func TestStream(t *testing.T) {
	tests := map[string]struct {
		path    string
		script  []reply
		sends   int
		body    string
		aborted bool
		want    refusal.Reason
	}{
		"whole":                               {"/draft/", []reply{{events: []int{0, 1, 2}}}, 1, "0;1;2;", false, ""},
		"whole, without a length":             {"/draft/", []reply{{events: []int{0, 1}, unframed: true}}, 1, "0;1;", false, ""},
		"a draft breaks":                      {"/draft/", []reply{{events: []int{0, 1}, cutAfter: errReset}, {events: []int{2}}}, 1, "0;1;", true, ""},
		"a draft breaks before it begins":     {"/draft/", []reply{{cutAfter: errReset}}, 1, "", false, refusal.NoAnswer},
		"a draft, 503 without the mark":       {"/draft/", []reply{{status: 503}}, 1, "", false, refusal.NoAnswer},
		"a draft is not run":                  {"/draft/", []reply{{status: 503, notRun: true}, {events: []int{0}}}, 1, "", false, refusal.UpstreamFull},
		"a draft's upstream resets":           {"/draft/", []reply{{err: errReset}, {events: []int{0}}}, 1, "", false, refusal.NoAnswer},
		"a failure, whole":                    {"/draft/", []reply{{status: 500, body: "no"}}, 1, "no", false, ""},
		"a failure without an end":            {"/draft/", []reply{{status: 500, body: "no", rest: "more"}}, 1, "", false, refusal.NoAnswer},
		"a gap":                               {"/draft/", []reply{{events: []int{0, 2}}}, 1, "0;", true, ""},
		"a piece comes twice":                 {"/draft/", []reply{{events: []int{0, 1, 1, 2}}}, 1, "0;1;2;", false, ""},
		"a check breaks and is resumed":       {"/check/", []reply{{events: []int{0, 1}, cutAfter: errReset}, {events: []int{2, 3}}}, 2, "0;1;2;3;", false, ""},
		"a check breaks before it begins":     {"/check/", []reply{{cutAfter: errReset}, {events: []int{0, 1}}}, 2, "0;1;", false, ""},
		"a check's upstream resets":           {"/check/", []reply{{err: errReset}, {events: []int{0, 1}}}, 2, "0;1;", false, ""},
		"a check is resumed from the start":   {"/check/", []reply{{events: []int{0, 1}, cutAfter: errReset}, {events: []int{0, 1, 2}}}, 2, "0;1;2;", false, ""},
		"a check breaks twice":                {"/check/", []reply{{events: []int{0}, cutAfter: errReset}, {events: []int{1}, cutAfter: errReset}, {events: []int{2}}}, 2, "0;1;", true, ""},
		"a check resumed at one that is full": {"/check/", []reply{{events: []int{0}, cutAfter: errReset}, {status: 503, notRun: true}}, 2, "0;", true, ""},
	}
	for name, tt := range twice(tests) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, tt.script...)
				w.relay.Buffers = buffered(name)
				c := w.serve(t.Context(), tt.path)
				is.Equal(len(w.sender.sends), tt.sends)
				is.Equal(c.body.String(), tt.body)
				is.Equal(c.aborted, tt.aborted)
				if tt.want != "" {
					is.Equal(c.refused.Reason(), tt.want)
				}
				is.Equal(len(w.tally.Own()), 0)
				is.Equal(w.runs.Len(), 0)
			})
		})
	}
}

// move is one row of TestMoved.
type move struct {
	during func(r *runs.Run) // once two events are out
	ends   error             // how the first stream ends then; nil for well
	frame  bool              // without a length
	next   []reply
	body   string
	abort  bool
	asked  []string      // upstreams that were asked to go on
	closed time.Duration // the target's hall was evacuated so long before
	broken int           // one more than the sends that the target's rest was broken by before; 0: it does not rest
}

func (m move) check(t *testing.T, name string, from exchange.Copy) {
	is := is.New(t)
	var w *world
	first := reply{events: []int{0, 1}, cutAfter: m.ends, unframed: m.frame, wait: func() {
		for _, u := range w.runs.Upstreams() {
			for _, r := range w.runs.At(u.ID) {
				m.during(r)
			}
		}
	}}
	w = newWorld(t, append([]reply{first}, m.next...)...)
	w.relay.Buffers = buffered(name)
	if m.closed > 0 {
		w.fleet.CloseHall(time.Now().Add(-m.closed), "leith")
	}
	if m.broken > 0 {
		w.rested().Asked(time.Now(), fleet.Upstream{ID: "llm3", Service: "llm"}, time.Minute)
		for range m.broken - 1 {
			is.True(w.relay.Rest.MayExcept(time.Now(), "llm3"))
		}
	}
	c := w.serve(t.Context(), "/draft/")
	time.Sleep(time.Second) // the stop is answered
	is.Equal(c.body.String(), m.body)
	is.Equal(c.aborted, m.abort)
	var asked []string
	for _, s := range w.sender.sends[1:] {
		asked = append(asked, s.Upstream)
		is.Equal(s.After, 1)
		is.Equal(*s.From, from)
	}
	is.Equal(asked, m.asked)
	is.Equal(len(w.tally.Own()), 0)
}

// TestMoved moves a stream while it is passed on.
func TestMoved(t *testing.T) {
	source := fleet.Upstream{ID: "llm0", Service: "llm", Address: "llm0:1", Hall: "gorgie"}
	target := fleet.Upstream{ID: "llm3", Service: "llm", Address: "llm3:1", Hall: "leith"}
	handoff := runs.Handoff{Copy: exchange.Copy{Holder: source.Address, ID: "c1"}, Target: target, Source: source, OK: true}
	stop := func(h runs.Handoff) func(*runs.Run) {
		return func(r *runs.Run) {
			r.Stopping()
			go func() {
				time.Sleep(20 * time.Millisecond) // the stream closes before the stop is answered
				r.Stopped(h)
			}()
		}
	}
	tests := map[string]move{
		"goes on at the target":                         {during: stop(handoff), ends: io.ErrUnexpectedEOF, next: []reply{{events: []int{2, 3}}}, body: "0;1;2;3;", asked: []string{"llm3"}},
		"an end without a length":                       {during: stop(handoff), frame: true, next: []reply{{events: []int{2, 3}}}, body: "0;1;2;3;", asked: []string{"llm3"}},
		"it ended by itself":                            {during: stop(runs.Handoff{}), body: "0;1;"},
		"the target refuses, it goes on at the source":  {during: stop(handoff), ends: io.ErrUnexpectedEOF, next: []reply{{status: 503, notRun: true}, {events: []int{2}}}, body: "0;1;2;", asked: []string{"llm3", "llm0"}},
		"both refuse":                                   {during: stop(handoff), ends: io.ErrUnexpectedEOF, next: []reply{{status: 503, notRun: true}}, body: "0;1;", abort: true, asked: []string{"llm3", "llm0"}},
		"lost after its first copy":                     {during: func(r *runs.Run) { r.Copied(handoff) }, ends: errReset, next: []reply{{events: []int{2}}}, body: "0;1;2;", asked: []string{"llm3"}},
		"the stop failed, it is lost":                   {during: stop(runs.Handoff{}), ends: errReset, body: "0;1;", abort: true},
		"the target's hall was evacuated just now":      {during: stop(handoff), closed: time.Second, ends: io.ErrUnexpectedEOF, next: []reply{{events: []int{2}}}, body: "0;1;2;", asked: []string{"llm3"}},
		"the target's hall was evacuated some time ago": {during: stop(handoff), closed: 3 * time.Second, ends: io.ErrUnexpectedEOF, next: []reply{{events: []int{2}}}, body: "0;1;2;", asked: []string{"llm0"}},
		"the target has asked for rest":                 {during: stop(handoff), broken: 1, ends: io.ErrUnexpectedEOF, next: []reply{{events: []int{2}}}, body: "0;1;2;", asked: []string{"llm3"}},
		"the target has, and one run went there since":  {during: stop(handoff), broken: 2, ends: io.ErrUnexpectedEOF, next: []reply{{events: []int{2}}}, body: "0;1;2;", asked: []string{"llm3"}},
		"the target has, and two runs went there since": {during: stop(handoff), broken: 3, ends: io.ErrUnexpectedEOF, next: []reply{{events: []int{2}}}, body: "0;1;2;", asked: []string{"llm0"}},
		"the target repeats an event":                   {during: stop(handoff), ends: io.ErrUnexpectedEOF, next: []reply{{events: []int{1, 2}}}, body: "0;1;2;", asked: []string{"llm3"}},
		"the target leaves a gap":                       {during: stop(handoff), ends: io.ErrUnexpectedEOF, next: []reply{{events: []int{3}}}, body: "0;1;", abort: true, asked: []string{"llm3"}},
	}
	for name, tt := range twice(tests) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { tt.check(t, name, handoff.Copy) })
		})
	}
}

// TestCallerGone shows that an upstream is left at once when its caller is.
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
				is.Equal(len(w.sender.sends), 1) // and nothing is sent on its behalf
				is.Equal(len(w.tally.Own()), 0)
			})
		})
	}
}

// TestStop shows which drafts a stopping box still takes, and when it sends the
// others elsewhere.
func TestStop(t *testing.T) {
	tests := map[string]struct {
		like  []int // tokens of answers to like requests
		left  time.Duration
		most  bool
		taken bool
		again time.Duration
	}{
		"those like it fit":                    {like: []int{320}, left: 8 * time.Second, taken: true},
		"half of those like it fit":            {like: []int{320, 2000}, left: 8 * time.Second, again: 50 * time.Millisecond},
		"half of them fit, most boxes stop":    {like: []int{320, 320, 2000}, left: 8 * time.Second, most: true, taken: true},
		"none like it fits":                    {like: []int{2000}, left: 8 * time.Second, again: 50 * time.Millisecond},
		"none like it fits, most boxes stop":   {like: []int{2000}, left: 8 * time.Second, most: true, again: 3 * time.Second},
		"those like it fit in what is left":    {like: []int{100}, left: 6 * time.Second, taken: true},
		"they would fit, but late in the stop": {like: []int{10}, left: 5 * time.Second, again: 50 * time.Millisecond},
		"nobody knows how long it will be":     {left: 8 * time.Second, again: 50 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, reply{events: []int{0}})
				w.leaves, w.most = tt.left, tt.most
				req := request("/draft/")
				w.learn(outputlen.Key{Organisation: "council", Class: "draft"}, tt.like)
				c := &caller{}
				w.relay.Serve(t.Context(), req, c)
				is.Equal(c.refused == nil, tt.taken)
				if !tt.taken {
					is.Equal(c.refused.Reason(), refusal.Draining)
					is.Equal(c.refused.RetryAfter(), tt.again)
					is.Equal(len(w.sender.sends), 0)
				}
			})
		})
	}
}

// TestFailuresAreTold shows which upstreams other boxes hear of.
func TestFailuresAreTold(t *testing.T) {
	tests := map[string]struct {
		path  string
		reply reply
		leave time.Duration // of the caller; 0 if it stays
		told  bool
	}{
		"an answer":                       {path: "/once/", reply: reply{body: "x"}},
		"its own failure":                 {path: "/once/", reply: reply{status: 500}, told: true},
		"no room":                         {path: "/once/", reply: reply{status: 503, notRun: true}, told: true},
		"reset":                           {path: "/once/", reply: reply{err: errReset}, told: true},
		"a stream":                        {path: "/draft/", reply: reply{events: []int{0, 1}}},
		"no stream":                       {path: "/draft/", reply: reply{status: 500}, told: true},
		"it hangs until the caller goes":  {path: "/draft/", reply: reply{hang: true}, leave: 4 * time.Second, told: true},
		"the caller goes before its time": {path: "/draft/", reply: reply{hang: true}, leave: time.Second},
		"a slow stream":                   {path: "/draft/", reply: reply{events: []int{0, 1}, pause: 1900 * time.Millisecond}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, tt.reply)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tt.leave > 0 {
					time.AfterFunc(tt.leave, cancel)
				}
				w.serve(ctx, tt.path)
				is.New(t).Equal(len(w.failed.Own(time.Now())) > 0, tt.told)
			})
		})
	}
}

// TestCold shows that a request is refused at once where every upstream is cold and
// may get no more for now.
func TestCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, reply{body: "b"})
		w.relay.Chooser.Warmup = warmup.New(rand.New(rand.NewPCG(1, 1)))
		w.relay.Chooser.Part = func(route.Service) float64 { return 0 }
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

// TestConfined shows where a request goes whose route or organisation is confined to
// regions: both bind.
func TestConfined(t *testing.T) {
	tests := map[string]struct {
		route, organisation []string
		served              bool
	}{
		"neither":                 {nil, nil, true},
		"the route, here":         {[]string{"edinburgh"}, nil, true},
		"the route, elsewhere":    {[]string{"north"}, nil, false},
		"the organisation":        {nil, []string{"north"}, false},
		"both, one is here":       {[]string{"north", "edinburgh"}, []string{"edinburgh"}, true},
		"both, none in common":    {[]string{"north"}, []string{"edinburgh"}, false},
		"both, in common is away": {[]string{"north", "edinburgh"}, []string{"north"}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, reply{body: "b"})
				w.relay.Chooser.Regions = map[string]string{"": "edinburgh"}
				w.belief.Update(route.New(8, []route.Route{
					{Name: "safe", Host: "h", Prefix: "/safe/", Repeatable: true, Attempts: 2, Timeout: time.Second, Aim: time.Second, Split: split("plain"), Regions: tt.route},
				}, []route.Service{{Name: "plain"}}, []route.Organisation{{Name: "council", Keys: []string{"key"}, Regions: tt.organisation}}, route.Limits{}))
				w.belief.Confirm(time.Now())
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
	path   string
	script []reply
	copied string // upstream that has a copy of the run
	also   string // an upstream that has started again just before
	born   int64  // what the upstream says once its first answer is under way; it was 100
	body   string
	asked  int
	lost   bool // told at once
	want   refusal.Reason
}

func (r restart) check(t *testing.T, name string) {
	is := is.New(t)
	w := newWorld(t, r.script...)
	w.relay.Buffers = buffered(name)
	w.fleet.OnRestart(func(u fleet.Upstream, _ string) {
		w.failed.Forget(u.ID)
		w.tally.Forget(u.ID)
		w.runs.Restarted(u)
	})
	say := func(id string, born int64) {
		u, _ := w.fleet.Get(id)
		u.StartedAt, u.Version = born, u.Version+1
		w.fleet.Put(time.Now(), u)
	}
	for _, service := range []string{"plain", "llm"} {
		for i := range 4 {
			say(fmt.Sprint(service, i), 100)
		}
	}
	const after = 20 * time.Millisecond
	time.AfterFunc(after, func() {
		at := w.sender.first()
		for _, run := range w.runs.At(at) {
			if r.copied != "" {
				target, _ := w.fleet.Get(r.copied)
				run.Copied(runs.Handoff{Copy: exchange.Copy{ID: "c1"}, Target: target, OK: true})
			}
		}
		if r.also != "" {
			say(r.also, 200)
		}
		say(at, r.born)
	})
	c := w.serve(t.Context(), r.path)
	is.Equal(c.body.String(), r.body)
	is.Equal(len(w.sender.sends), r.asked)
	is.Equal(time.Since(c.began) == after, r.lost)
	if r.want != "" {
		is.Equal(c.refused.Reason(), r.want)
	}
	is.Equal(len(w.tally.Own()), 0)
	if r.born > 100 { // what failed at the old one does not count for the new
		is.Equal(w.failed.FailureRate(time.Now(), w.sender.sends[0].Upstream), 0.0)
	}
}

// TestRestarted lets an upstream start again, behind a silent connection, while it
// has a request.
func TestRestarted(t *testing.T) {
	silent := reply{events: []int{0, 1}, silent: true}
	tests := map[string]restart{
		"a draft":                                  {path: "/draft/", script: []reply{silent}, born: 200, body: "0;1;", asked: 1, lost: true},
		"a draft, not yet answered":                {path: "/draft/", script: []reply{{hang: true}}, born: 200, asked: 1, lost: true, want: refusal.NoAnswer},
		"a draft with a copy elsewhere":            {path: "/draft/", script: []reply{silent, {events: []int{2}}}, copied: "llm3", born: 200, body: "0;1;2;", asked: 2, lost: true},
		"a draft with a copy that is gone as well": {path: "/draft/", script: []reply{silent}, copied: "llm3", also: "llm3", born: 200, body: "0;1;", asked: 1, lost: true},
		"a check is resumed":                       {path: "/check/", script: []reply{silent, {events: []int{2}}}, born: 200, body: "0;1;2;", asked: 2, lost: true},
		"a safe one is sent again":                 {path: "/safe/", script: []reply{{hang: true}, {body: "ok"}}, born: 200, body: "ok", asked: 2, lost: true},
		"one that may run once":                    {path: "/once/", script: []reply{{hang: true}}, born: 200, asked: 1, lost: true, want: refusal.NoAnswer},
		"a word of its own incarnation":            {path: "/draft/", script: []reply{silent}, born: 100, body: "0;1;", asked: 1},
		"a word of none":                           {path: "/draft/", script: []reply{silent}, born: 0, body: "0;1;", asked: 1},
	}
	for name, tt := range twice(tests) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { tt.check(t, name) })
		})
	}
}

// placed admits to one upstream after it has started again.
type placed struct {
	fleet *fleet.Fleet
	news  func(u fleet.Upstream) // that comes once the first was placed
	asked int
}

func (p *placed) Admit(context.Context, admission.Ask) (admission.Grant, error) {
	id := fmt.Sprint("llm", p.asked)
	p.asked++
	u, _ := p.fleet.Get(id)
	if p.asked == 1 {
		p.news(u)
	}
	return admission.Grant{Upstream: u}, nil
}

// TestNewsBeforeSent holds that nothing is sent to an upstream of which the news came
// after a request was placed there that it has started again, or takes nothing new.
func TestNewsBeforeSent(t *testing.T) {
	tests := map[string]func(w *world, u fleet.Upstream){
		"it has started again": func(w *world, u fleet.Upstream) { w.fleet.MarkStarted(time.Now(), u.ID, u.StartedAt+1, "report") },
		"it leaves": func(w *world, u fleet.Upstream) {
			w.fleet.ApplyDeparture(time.Now(), fleet.Departure{ID: u.ID, Announced: true}, "answer")
		},
		"its hall is evacuated": func(w *world, u fleet.Upstream) { w.fleet.CloseHall(time.Now(), u.Hall) },
	}
	for name, news := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, reply{events: []int{0}})
				for i := range 2 {
					u, _ := w.fleet.Get(fmt.Sprint("llm", i))
					u.StartedAt, u.Hall, u.Version = 100, fmt.Sprint("hall", i), u.Version+1
					w.fleet.Put(time.Now(), u)
				}
				w.relay.Admitter = &placed{fleet: w.fleet, news: func(u fleet.Upstream) { news(w, u) }}
				c := w.serve(t.Context(), "/draft/")
				is.Equal(c.body.String(), "0;")
				is.Equal(len(w.sender.sends), 1)
				is.Equal(w.sender.first(), "llm1")
				is.Equal(len(w.tally.Own()), 0)
			})
		})
	}
}
