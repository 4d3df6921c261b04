//go:build review

// Command 2 plays changes while the store turns away the boxes that read it for all, and checks
// that the boxes that it serves act on them in time: on a manifest (CONFIG) or on a worker that
// leaves (DRAIN).
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"petrelstep/platform/store"
	"petrelstep/standin/faultproxy"
	"petrelstep/standin/platform"
)

const (
	startTries = 5
	startTime  = 10 * time.Second

	exitBroken = 1
	exitNotRun = 2

	host        = "lothian.example"
	service     = "ratepayer-portal"
	bound       = 2 * time.Second // config_apply_ms and drain_ms
	work        = 15 * time.Millisecond
	askInterval = 60 * time.Millisecond // of one client at each box
	cutTime     = 9 * time.Second
	roundTime   = 12 * time.Second
	rounds      = 7
	firstChange = 2 * time.Second // after the store turned boxes away, and later in each round
	changeStep  = 600 * time.Millisecond
	serveOn     = 5 * time.Second // of a worker that leaves: drain_ms and some seconds more
	playTime    = 115 * time.Second
)

var halls = []string{"leith", "leith", "gorgie", "gorgie", "sighthill", "sighthill", "musselburgh"}

// record is the record of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   io.Writer
	asked map[string]asked // by request
	found []string
}

type asked struct {
	at  time.Time
	box string
	key string
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log(format, args...)
}

// log writes a line; the lock is held.
func (r *record) log(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that a rule was broken; the lock is held.
func (r *record) broken(format string, args ...any) {
	r.found = append(r.found, fmt.Sprintf(format, args...))
	r.log(format, args...)
}

// day is the installation.
type day struct {
	rec      *record
	p        *platform.Platform
	rule     string
	mu       sync.Mutex
	version  int
	keys     map[string]string    // by tenant
	removed  map[string]time.Time // confirmations of the removal of keys
	leaves   map[string]time.Time // confirmations that workers leave
	turned   map[string]bool      // boxes that the store turns away
	workers  []*worker
	nextID   int
	requests int
}

type worker struct {
	id, address, hall string
	server            *http.Server
}

func (d *day) declare() {
	d.mu.Lock()
	d.version += 3
	tenants := []any{}
	for name, key := range d.keys {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": []string{key}})
	}
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 600, "latency_goal_ms": 100, "priority": 2,
			"split": []any{map[string]any{"service": service, "weight": 100}}, "max_attempts": attempts, "public": false, "resumable": false,
		}
	}
	raw, err := json.Marshal(map[string]any{
		"version": d.version, "routes": []any{route("roll-lookup", "/lookup/", "unsafe", 1), route("appeal-status", "/status/", "safe", 2)},
		"services": []any{map[string]any{"name": service}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants":  tenants,
	})
	d.mu.Unlock()
	if err != nil {
		panic(err)
	}
	d.p.Put(store.Row{Table: "op", Key: "config", Value: raw})
}

// revoke replaces a tenant's key.
func (d *day) revoke(tenant string) {
	d.mu.Lock()
	old := d.keys[tenant]
	d.nextID++
	d.keys[tenant] = fmt.Sprint("key-", d.nextID)
	d.mu.Unlock()
	d.declare()
	d.mu.Lock()
	d.removed[old] = time.Now()
	d.mu.Unlock()
	d.rec.logf("%s of %s is taken away", old, tenant)
}

func (d *day) join() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.nextID++
	w := &worker{id: fmt.Sprint("i-", d.nextID), address: l.Addr().String(), hall: halls[d.nextID%len(halls)]}
	d.workers = append(d.workers, w)
	d.mu.Unlock()
	w.server = &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) { d.run(w, out, r) })}
	go func() { _ = w.server.Serve(l) }()
	d.announce(w, false)
	return nil
}

func (d *day) announce(w *worker, leaving bool) {
	d.p.Announce(platform.Worker{ID: w.id, Service: service, Address: w.address, Hall: w.hall, Slots: 6, Leaving: leaving})
}

// leave makes the oldest worker leave, as planned.
func (d *day) leave() error {
	d.mu.Lock()
	w := d.workers[0]
	d.workers = d.workers[1:]
	d.mu.Unlock()
	if err := d.join(); err != nil {
		return err
	}
	d.announce(w, true)
	d.mu.Lock()
	d.leaves[w.id] = time.Now()
	d.mu.Unlock()
	d.rec.logf("%s is draining", w.id)
	time.AfterFunc(serveOn, func() {
		d.p.Withdraw(w.id)
		_ = w.server.Close()
		d.rec.logf("%s ends", w.id)
	})
	return nil
}

// run is what a worker does with a request.
func (d *day) run(w *worker, out http.ResponseWriter, r *http.Request) {
	id, now := r.Header.Get("Request-Id"), time.Now()
	out.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != w.id {
		out.Header().Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.ReadAll(r.Body)
	d.judge(w, id, now)
	time.Sleep(work)
	out.Header().Set("Response-Seal", "seal-"+w.id)
	_, _ = io.WriteString(out, strings.Repeat("x", 800))
}

func (d *day) judge(w *worker, id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rec.mu.Lock()
	defer d.rec.mu.Unlock()
	d.requests++
	a := d.rec.asked[id]
	if d.turned[a.box] {
		return
	}
	if at, ok := d.removed[a.key]; ok && d.rule == "CONFIG" && a.at.Sub(at) > bound {
		d.rec.broken("CONFIG: %s, sent to %s with %s, is run by %s: sent %d ms after the confirmation that the key was taken away", id, a.box, a.key, w.id, a.at.Sub(at).Milliseconds())
	}
	if at, ok := d.leaves[w.id]; ok && d.rule == "DRAIN" && now.Sub(at) > bound {
		d.rec.broken("DRAIN: %s, sent to %s, reaches %s %d ms after the confirmation that it leaves", id, a.box, w.id, now.Sub(at).Milliseconds())
	}
}

// box is a process of the daemon.
type box struct {
	name, callers, ready, log string
	store                     *faultproxy.Proxy
	command                   *exec.Cmd
	ended                     chan struct{}
}

func freeAddresses(n int) (list []string, err error) {
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// startBox starts a box. A free port may be taken by another process before the box opens it; it
// is started again then, on other ports.
func startBox(daemon, dir, name, hall, storeAddress string) (b *box, err error) {
	for range startTries {
		if b, err = startOnce(daemon, dir, name, hall, storeAddress); err != nil {
			return nil, err
		}
		for until := time.Now().Add(startTime); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
			raw, err := os.ReadFile(b.log)
			if err == nil && bytes.Contains(raw, []byte("event=started")) {
				return b, nil
			}
			select {
			case <-b.ended:
				until = time.Time{}
			default:
			}
		}
		b.kill()
	}
	return nil, fmt.Errorf("%s did not start", name)
}

func startOnce(daemon, dir, name, hall, storeAddress string) (*box, error) {
	proxy, err := faultproxy.New(storeAddress)
	if err != nil {
		return nil, err
	}
	a, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	regions := map[string]string{}
	for _, h := range halls {
		regions[h] = "edinburgh"
	}
	raw, err := json.Marshal(map[string]any{
		"box": name, "hall": hall, "log_level": "info",
		"listen":   map[string]any{"callers": a[0], "admin": a[1], "peers": a[2]},
		"platform": map[string]any{"address": proxy.Address()},
		"edge": map[string]any{
			"ready": a[3], "key_age_ms": 5000, "serve_stale": false, "descriptors": 4100, "cold_start": true, "stop_s": 8, "regions": regions,
			"leave_ms": 2000, "retry_ratio": 0.2, "retry_slack": 54, "memory_mb": 134, "processors": 0.4, "link_mbit": 1000,
			"balance": []string{"speeds", "shares", "places", "buffers"},
		},
	})
	if err != nil {
		return nil, err
	}
	b := &box{name: name, callers: a[0], ready: a[3], store: proxy, log: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	file := filepath.Join(dir, name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(b.log)
	if err != nil {
		return nil, err
	}
	b.command = exec.Command(daemon, "-settings", file)
	b.command.Stdout, b.command.Stderr = log, log
	if err := b.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = b.command.Wait()
		close(b.ended)
	}()
	return b, nil
}

func (b *box) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + b.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// reads reports whether the box's last reason to read the store is that it does so for others.
func (b *box) reads() bool {
	raw, err := os.ReadFile(b.log)
	if err != nil {
		return false
	}
	reads := false
	for line := range bytes.Lines(raw) {
		if bytes.Contains(line, []byte("store_read")) && bytes.Contains(line, []byte("configuration")) {
			reads = bytes.Contains(line, []byte("reader"))
		}
	}
	return reads
}

func (b *box) kill() {
	_ = b.command.Process.Signal(syscall.SIGKILL)
	<-b.ended
	b.store.Close()
}

// started holds the processes that were started.
type started struct {
	mu    sync.Mutex
	boxes []*box
}

func (s *started) add(b *box) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boxes = append(s.boxes, b)
}

func (s *started) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.boxes {
		b.kill()
	}
}

// ask sends requests to a box, each on a new channel, with the key that a tenant has or had
// until a moment ago.
func (d *day) ask(ctx context.Context, b *box, tenant string) {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	last := map[int]int{}
	key, since := "", time.Time{}
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(askInterval)
		d.mu.Lock()
		now := time.Now()
		if current := d.keys[tenant]; current != key && (key == "" || now.Sub(since) > 6*time.Second) {
			key, since = current, now
		} else if current == key {
			since = now
		}
		d.mu.Unlock()
		id := fmt.Sprintf("%s-%s-%d", b.name, tenant, n)
		d.rec.mu.Lock()
		d.rec.asked[id] = asked{time.Now(), b.name, key}
		d.rec.mu.Unlock()
		asking, cancel := context.WithTimeout(ctx, 600*time.Millisecond)
		req, err := http.NewRequestWithContext(asking, http.MethodPost, "http://"+b.callers+"/lookup/1", http.NoBody)
		if err != nil {
			cancel()
			return
		}
		req.Host = host
		req.Header.Set("Request-Id", id)
		req.Header.Set("Deadline-Ms", "600")
		req.Header.Set("Api-Key", key)
		status := 0
		if resp, err := transport.RoundTrip(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			status = resp.StatusCode
		}
		cancel()
		if last[0] != status {
			d.rec.logf("client of %s: %s at %s: status %d", tenant, key, b.name, status)
		}
		last[0] = status
	}
}

func main() { os.Exit(play()) }

func play() int {
	daemon := flag.String("daemon", "target/petrelstepd", "the program of a box")
	file := flag.String("record", "record.txt", "what was sent, answered and run")
	rule := flag.String("rule", "CONFIG", "CONFIG or DRAIN")
	flag.Parse()
	out, err := os.Create(*file)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	rec := &record{began: time.Now(), out: out, asked: map[string]asked{}}
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	boxes := &started{}
	defer boxes.kill()
	type result struct {
		code int
		err  error
	}
	played := make(chan result, 1)
	go func() {
		code, err := playDay(ctx, rec, boxes, *daemon, dir, *rule, os.Getenv("TROUBLE") != "0")
		played <- result{code, err}
	}()
	var r result
	select {
	case r = <-played:
	case <-ctx.Done():
		r = result{exitNotRun, ctx.Err()}
	}
	if r.err != nil {
		rec.logf("not run: %v", r.err)
		fmt.Println("not run:", r.err)
	}
	return r.code
}

func playDay(ctx context.Context, rec *record, running *started, daemon, dir, rule string, trouble bool) (int, error) {
	rec.logf("rule %s, trouble: %v", rule, trouble)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return exitNotRun, err
	}
	d := &day{
		rec: rec, p: platform.New(platform.Options{}), rule: rule, keys: map[string]string{"council": "key-a", "firm": "key-b", "agents": "key-c"},
		removed: map[string]time.Time{}, leaves: map[string]time.Time{}, turned: map[string]bool{},
	}
	go func() { _ = http.Serve(l, d.p.Handler()) }()
	d.declare()
	for range 4 {
		if err := d.join(); err != nil {
			return exitNotRun, err
		}
	}
	var boxes []*box
	for i, hall := range halls {
		b, err := startBox(daemon, dir, fmt.Sprint("front-", hall, "-", i+1), hall, l.Addr().String())
		if err != nil {
			return exitNotRun, err
		}
		running.add(b)
		boxes = append(boxes, b)
	}
	for until := time.Now().Add(20 * time.Second); slices.ContainsFunc(boxes, func(b *box) bool { return !b.isReady() }); {
		if time.Now().After(until) {
			return exitNotRun, fmt.Errorf("the boxes are not ready")
		}
		time.Sleep(100 * time.Millisecond)
	}
	asking, enough := context.WithCancel(ctx)
	defer enough()
	for _, b := range boxes {
		for tenant := range d.keys {
			go d.ask(asking, b, tenant)
		}
	}
	time.Sleep(5 * time.Second)
	turnedAway := 0
	for round := range rounds {
		var readers []string
		for _, b := range boxes {
			if trouble && b.reads() && len(readers) < 5 {
				readers = append(readers, b.name)
				b.store.Cut(cutTime)
			}
		}
		d.mu.Lock()
		d.turned = map[string]bool{}
		for _, name := range readers {
			d.turned[name] = true
		}
		d.mu.Unlock()
		turnedAway += len(readers)
		rec.logf("round %d: the store turns away %v", round, readers)
		offset := firstChange + time.Duration(round)*changeStep
		time.Sleep(offset)
		if rule == "CONFIG" {
			d.revoke([]string{"council", "firm", "agents"}[round%3])
		} else if err := d.leave(); err != nil {
			return exitNotRun, err
		}
		time.Sleep(roundTime - offset)
	}
	enough()
	time.Sleep(300 * time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	rec.logf("%d requests were run; the rule was broken %d times", d.requests, len(rec.found))
	fmt.Printf("%d requests were run; %s was broken %d times\n", d.requests, rule, len(rec.found))
	switch {
	case len(rec.found) > 0:
		fmt.Println(rec.found[0])
		return exitBroken, nil
	case trouble && turnedAway == 0:
		return exitNotRun, fmt.Errorf("no box was found to read the store for others")
	case d.requests < 1000:
		return exitNotRun, fmt.Errorf("only %d requests were run", d.requests)
	}
	return 0, nil
}
