package edge_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/client"
	"petrelstep/config"
	"petrelstep/edge"
	"petrelstep/logs"
	"petrelstep/metrics"
	"petrelstep/platform/store"
	"petrelstep/standin/platform"
	"petrelstep/standin/readylog"
	"petrelstep/standin/worker"
	"petrelstep/wire"
)

// waitMost bounds all waits; no verdict depends on it where things work.
const waitMost = 20 * time.Second

// site is a whole path on loopback: the store, workers and boxes.
type site struct {
	t        testing.TB
	platform *platform.Platform
	address  string // of the store
	version  int
	slots    int // of an upstream
	workers  map[string]*worker.Worker
	servers  map[string]*httptest.Server
	boxes    []*box
}

type box struct {
	*edge.Edge
	callers, ready, admin string
	done                  chan struct{}
	cancel                context.CancelFunc
}

func newSite(t testing.TB, boxes int) *site {
	t.Helper()
	s := &site{t: t, platform: platform.New(platform.Options{}), slots: 8, workers: map[string]*worker.Worker{}, servers: map[string]*httptest.Server{}}
	server := httptest.NewServer(s.platform.Handler())
	t.Cleanup(server.Close)
	s.address = strings.TrimPrefix(server.URL, "http://")
	s.configure("key")
	for i := range boxes {
		s.boxes = append(s.boxes, s.startBox(fmt.Sprint("b", i)))
	}
	return s
}

// configure puts the next version into the store, with these keys.
func (s *site) configure(keys ...string) {
	s.t.Helper()
	s.version += 3
	raw, err := json.Marshal(map[string]any{
		"version": s.version,
		"routes": []map[string]any{
			{"name": "draft", "host": "a.example", "path_prefix": "/stream/", "kind": "streaming", "timeout_ms": 30000, "latency_goal_ms": 1800, "service": "llm", "max_attempts": 1, "gap_aim_ms": 180},
			{"name": "lookup", "host": "a.example", "path_prefix": "/look/", "kind": "safe", "timeout_ms": 5000, "latency_goal_ms": 1000, "service": "plain", "max_attempts": 2},
			{"name": "once", "host": "a.example", "path_prefix": "/once/", "kind": "unsafe", "timeout_ms": 5000, "latency_goal_ms": 1000, "service": "plain", "max_attempts": 1},
		},
		"services": []map[string]any{
			{"name": "llm", "max_conns": 100, "engine": map[string]any{"slots": s.slots, "kv_capacity_tokens": 30000, "moves": true, "stride": 4}},
			{"name": "plain", "max_conns": 100},
		},
		"limits":  map[string]any{"max_body_bytes": 4096},
		"tenants": []map[string]any{{"name": "council", "api_keys": keys}},
	})
	is.New(s.t).NoErr(err)
	s.platform.Put(store.Row{Table: "op", Key: "config", Value: raw})
}

func (s *site) worker(id, service string, events int) *worker.Worker {
	w := worker.New(id, events, 3*time.Millisecond)
	s.serve(id, service, w)
	return w
}

// serve opens a worker's address and puts its row into the store.
func (s *site) serve(id, service string, w *worker.Worker) {
	server := httptest.NewServer(w.Handler())
	s.t.Cleanup(server.Close)
	s.workers[id], s.servers[id] = w, server
	s.say(id, service, "ready")
}

func (s *site) say(id, service, state string) { s.sayIn("leith", id, service, state) }

// sayIn puts the row of a worker of a hall into the store.
func (s *site) sayIn(hall, id, service, state string) {
	s.platform.Put(store.Row{Table: "servers", Key: id, Value: fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"slots":%d,"state":%q}`, service, strings.TrimPrefix(s.servers[id].URL, "http://"), hall, s.slots, state)})
}

func free(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	return l.Addr().String()
}

// startTries bounds how often a box is started on other addresses: one that
// was free may be taken before the box listens on it.
const startTries = 5

func (s *site) startBox(name string) *box {
	s.t.Helper()
	var last error
	for range startTries {
		b, ended := s.startOnce(name)
		if ended == nil {
			s.t.Cleanup(func() {
				b.cancel()
				<-b.done
			})
			return b
		}
		last = ended
	}
	s.t.Fatal(last)
	return nil
}

// startOnce starts a box and waits until its addresses are open, or returns why
// it ended.
func (s *site) startOnce(name string) (*box, error) {
	s.t.Helper()
	is := is.New(s.t)
	counts, err := metrics.New()
	is.NoErr(err)
	b := &box{callers: free(s.t), ready: free(s.t), admin: free(s.t), done: make(chan struct{})}
	c := config.Config{Settings: wire.Settings{
		Box: name, Hall: "leith", Platform: wire.Platform{Address: s.address, TimeoutMs: 2000}, DrainMs: 20000,
		Listen: wire.Listen{Callers: b.callers, Admin: b.admin, Peers: free(s.t)}, Limits: wire.Limits{BodyBytes: 4096},
		Edge: &wire.Edge{Ready: b.ready, KeyAgeMs: 5000, LeaveMs: 2000, RetryRatio: 0.2, RetrySlack: 50, MemoryMb: 512, Descriptors: 8192, Moves: wire.EdgeMovesTurns, Processors: 1, LinkMbit: 1000},
	}}
	up := readylog.New(io.Discard)
	b.Edge = edge.New(c, logs.New(up, "info", name), counts)
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	var ended error
	go func() {
		defer close(b.done)
		ended = b.Run(ctx)
	}()
	select {
	case <-up.Done():
		return b, nil
	case <-b.done:
		return nil, ended
	}
}

// until waits for a condition.
func until(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(waitMost); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("in vain: " + what)
}

func (b *box) isReady() bool {
	resp, err := http.Get("http://" + b.ready + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ask sends a request and returns its status and body.
func (b *box) ask(t *testing.T, method, path, id, key string) (int, string) {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequest(method, "http://"+b.callers+path, nil)
	is.NoErr(err)
	req.Host = "a.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Api-Key", key)
	req.Header.Set("Deadline-Ms", "20000")
	req.Header.Set("Token-Count", "1000,4000")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, string(body) + "|" + err.Error()
	}
	return resp.StatusCode, string(body)
}

func wholeStream(id string, events int) string {
	var b strings.Builder
	for i := range events {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", i, id, i)
	}
	return b.String()
}

// TestPath serves requests of all kinds, through any box.
func TestPath(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2)
	plain := s.worker("p1", "plain", 0)
	s.worker("e1", "llm", 20)
	for i, b := range s.boxes {
		until(t, "a box is ready", b.isReady)
		until(t, "a box serves", func() bool {
			plain, _ := b.ask(t, "GET", "/look/a", "warm", "key")
			draft, _ := b.ask(t, "POST", "/stream/x", "warm", "key")
			return plain == 200 && draft == 200
		})
		id := fmt.Sprint("r", i)
		status, body := b.ask(t, "GET", "/look/a?b=c", id, "key")
		is.Equal(status, 200)
		is.Equal(body, "answer to "+id+" by p1")
		status, body = b.ask(t, "POST", "/stream/x", id, "key")
		is.Equal(status, 200)
		is.Equal(body, wholeStream(id, 20))
		status, _ = b.ask(t, "GET", "/nowhere/", id, "key")
		is.Equal(status, 404)
		status, _ = b.ask(t, "GET", "/look/a", id, "wrong")
		is.Equal(status, 401)
		plain.Next(worker.Full)
		status, body = b.ask(t, "POST", "/once/", id, "key")
		is.Equal(status, 503)
		is.True(strings.Contains(body, "not_run"))
		status, _ = b.ask(t, "POST", "/once/", id, "key")
		is.Equal(status, 200)
	}
	for _, r := range plain.Runs() {
		is.Equal(r.Organisation, "council")
	}
	resp, err := http.Get("http://" + s.boxes[0].admin + "/metrics")
	is.NoErr(err)
	defer resp.Body.Close()
	found := false
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		found = found || strings.HasPrefix(lines.Text(), `petrelstep_refusals_total{`) && strings.Contains(lines.Text(), `reason="upstream_full"`)
	}
	is.True(found)
}

// TestRevoked takes a key away: within the bound no box serves it, also one
// that cannot reach the store.
func TestRevoked(t *testing.T) {
	s := newSite(t, 2)
	s.worker("p1", "plain", 0)
	for _, b := range s.boxes {
		until(t, "the key is served", func() bool {
			status, _ := b.ask(t, "GET", "/look/a", "r", "key")
			return status == 200
		})
	}
	s.configure("other")
	for _, b := range s.boxes {
		until(t, "the key is refused", func() bool {
			status, _ := b.ask(t, "GET", "/look/a", "r", "key")
			return status == 401
		})
	}
	s.platform.Fault(wire.Fault{Part: platform.Table, Mode: wire.FaultModeDown})
	for _, b := range s.boxes {
		until(t, "a box without the store refuses all keys", func() bool {
			status, body := b.ask(t, "GET", "/look/a", "r", "other")
			return status == 503 && strings.Contains(body, "stale_configuration") && !b.isReady()
		})
	}
	s.platform.Fault(wire.Fault{Part: platform.Table, Mode: wire.FaultModeNone})
	for _, b := range s.boxes {
		until(t, "the store is back", func() bool {
			status, _ := b.ask(t, "GET", "/look/a", "r", "other")
			return status == 200 && b.isReady()
		})
	}
}

// TestAdmission crowds one engine with drafts through two boxes, and kills the
// box that keeps its queue: all that the other box took are served.
func TestAdmission(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2)
	const events, drafts = 60, 24
	engine := s.worker("e1", "llm", events)
	for _, b := range s.boxes {
		until(t, "a box is ready", b.isReady)
	}
	keeper, other := s.boxes[0], s.boxes[1]
	if keeper.QueueOwner("llm") != keeper.Name() {
		keeper, other = other, keeper
	}
	until(t, "both name the same keeper", func() bool {
		return keeper.QueueOwner("llm") == keeper.Name() && other.QueueOwner("llm") == keeper.Name()
	})
	var all sync.WaitGroup
	bodies := make([]string, drafts)
	for i := range bodies {
		all.Go(func() {
			until(t, "a draft is served", func() bool {
				var status int
				status, bodies[i] = other.ask(t, "POST", "/stream/x", fmt.Sprint("d", i), "key")
				return status == 200
			})
		})
	}
	until(t, "some run", func() bool { return len(engine.Runs()) >= 4 })
	keeper.cancel()
	all.Wait()
	for i, body := range bodies {
		is.Equal(body, wholeStream(fmt.Sprint("d", i), events))
	}
}

// TestMoves lets an engine leave under drafts through two boxes: each draft
// reaches its caller whole, as one run.
func TestMoves(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2)
	const events = 1500
	old := s.worker("e1", "llm", events)
	for _, b := range s.boxes {
		until(t, "a box is ready", b.isReady)
	}
	var all sync.WaitGroup
	bodies := make([]string, 2*len(s.boxes))
	for i := range bodies {
		all.Go(func() {
			b := s.boxes[i%len(s.boxes)]
			until(t, "a draft is taken", func() bool {
				var status int
				status, bodies[i] = b.ask(t, "POST", "/stream/x", fmt.Sprint("d", i), "key")
				return status == 200
			})
		})
	}
	until(t, "all run", func() bool { return len(old.Runs()) == len(bodies) })
	next := s.worker("e2", "llm", events)
	s.say("e1", "llm", "draining")
	all.Wait()
	for i, body := range bodies {
		is.Equal(body, wholeStream(fmt.Sprint("d", i), events))
	}
	is.Equal(len(next.Runs()), len(bodies))
	for _, r := range next.Runs() {
		is.True(strings.HasSuffix(r.From, "/copy-"+r.ID)) // the same run, not another
		is.True(r.After != "")
	}
}

// TestHubLost kills both hubs of ten boxes: the others learn of a configuration and
// of a worker that came since, from the boxes that read in their place.
func TestHubLost(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10)
	s.worker("p1", "plain", 0)
	var lost []*box
	until(t, "all know of many, and two read", func() bool {
		lost = nil
		for _, b := range s.boxes {
			if !b.Known() || b.AllRead() {
				return false
			}
			if b.IsHub() {
				lost = append(lost, b)
			}
		}
		return len(lost) == 2
	})
	for _, b := range lost {
		b.cancel()
		<-b.done
	}
	s.configure("newer")
	s.worker("p2", "plain", 0)
	s.say("p1", "plain", "draining")
	for _, b := range s.boxes {
		if slices.Contains(lost, b) {
			continue
		}
		until(t, "the newer key and worker are used", func() bool {
			status, body := b.ask(t, "GET", "/look/a", "r", "newer")
			return status == 200 && strings.HasSuffix(body, "by p2")
		})
		status, _ := b.ask(t, "GET", "/look/a", "r", "key")
		is.Equal(status, 401)
	}
}

// TestView shows what boxes tell operators of themselves: one of two keeps the
// queue, both are hubs, and what they know is some seconds old at most.
func TestView(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2)
	s.worker("e1", "llm", 10)
	var views []wire.BoxView
	until(t, "both know each other, the engine and the configuration", func() bool {
		views = nil
		for _, b := range s.boxes {
			var v wire.BoxView
			is.NoErr(client.New([]string{"http://" + b.admin}, "").Call(t.Context(), http.MethodGet, "/v1/view", nil, &v))
			views = append(views, v)
		}
		known := views[0].Version > 0 && views[1].Version > 0 // else no queue has a keeper
		return known && views[0].Boxes == 2 && views[1].Boxes == 2 && views[0].Upstreams == 1 && views[1].Upstreams == 1 && slices.Equal(views[0].Hubs, views[1].Hubs)
	})
	is.Equal(len(views[0].Keeps)+len(views[1].Keeps), 1)
	for _, v := range views {
		is.True(v.Hub && v.Reads && !v.Stopping)
		is.True(v.Version > 0)
		for _, age := range []int{v.ConfigurationAgeMs, v.UpstreamsAgeMs, v.StoreSilentMs} {
			is.True(age >= 0 && age < int(waitMost.Milliseconds()))
		}
	}
}

// TestStop stops a box under work: it is not ready at once, and what is in
// flight ends whole.
func TestStop(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	const events = 1500
	w := s.worker("e1", "llm", events)
	b := s.boxes[0]
	until(t, "a box is ready", b.isReady)
	var body string
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		until(t, "a draft is taken", func() bool { // the worker may not be known yet
			var status int
			status, body = b.ask(t, "POST", "/stream/x", "d", "key")
			return status == 200
		})
	}()
	until(t, "it runs", func() bool { return len(w.Runs()) == 1 })
	b.Drain()
	until(t, "it is not ready", func() bool { return !b.isReady() })
	select {
	case <-ended:
		t.Fatal("it was ready until its work had ended")
	default:
	}
	<-ended
	is.Equal(body, wholeStream("d", events))
	<-b.done
}

// TestForgotten lets the store forget its history while a box follows it.
func TestForgotten(t *testing.T) {
	s := newSite(t, 1)
	s.worker("p1", "plain", 0)
	b := s.boxes[0]
	serves := func(key string) func() bool {
		return func() bool {
			status, _ := b.ask(t, "GET", "/look/a", "r", key)
			return status == 200
		}
	}
	until(t, "the key is served", serves("key"))
	s.platform.Forget()
	s.configure("newer")
	until(t, "the newer key is served", serves("newer"))
	s.worker("p2", "plain", 0)
	s.say("p1", "plain", "draining")
	until(t, "the newer worker is used", func() bool {
		_, body := b.ask(t, "GET", "/look/a", "r", "newer")
		return strings.HasSuffix(body, "by p2")
	})
}

// TestLimitRead lets a worker name a limit in its answers to one box: all boxes hold it to
// that, and let it go once an answer has none.
func TestLimitRead(t *testing.T) {
	s := newSite(t, 2)
	plain := s.worker("p1", "plain", 0)
	for _, b := range s.boxes {
		until(t, "a box is ready", b.isReady)
	}
	asks := func() { s.boxes[0].ask(t, "GET", "/look/a", "r", "key") }
	until(t, "a box serves", func() bool {
		status, _ := s.boxes[0].ask(t, "GET", "/look/a", "warm", "key")
		return status == 200
	})
	plain.Names("2.5")
	until(t, "all boxes know the limit", func() bool {
		asks()
		return s.boxes[0].limit(t) == 2.5 && s.boxes[1].limit(t) == 2.5
	})
	plain.Names("")
	until(t, "all boxes know that it has ended", func() bool {
		asks()
		return s.boxes[0].limit(t) == 0 && s.boxes[1].limit(t) == 0
	})
}

// limit returns what a box says that its one limited worker takes; 0 if there is none.
func (b *box) limit(t *testing.T) float64 {
	var view wire.BoxView
	is.New(t).NoErr(client.New([]string{"http://" + b.admin}, "").Call(t.Context(), http.MethodGet, "/v1/view", nil, &view))
	if len(view.Limits) == 0 {
		return 0
	}
	return view.Limits[0].PerSecond
}
