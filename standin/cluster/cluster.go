// Package cluster runs a small cluster in one process, for tests: the stand-in platform,
// engines and service, and boxes with all their components, each on its own loopback
// addresses.
package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"petrelstep/client"
	"petrelstep/config"
	"petrelstep/daemon"
	"petrelstep/front"
	"petrelstep/logs"
	"petrelstep/metrics"
	"petrelstep/standin/engine"
	"petrelstep/standin/faultproxy"
	"petrelstep/standin/platform"
	"petrelstep/standin/readylog"
	"petrelstep/standin/service"
	"petrelstep/wire"
)

// API keys of the cluster's organisations.
const (
	CallerKey   = "caller-key"
	OtherKey    = "other-caller-key"
	OperatorKey = "operator-key"
)

// Options configure a cluster.
type Options struct {
	Boxes   int
	Engines []engine.Options     // the hall of engine i is that of box i
	Change  func(*wire.Settings) // modifies each box's settings; may be nil
	Proxies bool                 // engines are reached through fault proxies
	Log     io.Writer            // receives the boxes' logs; nil for none
}

// Box is a running box.
type Box struct {
	Settings wire.Settings
	Daemon   *daemon.Daemon
	cancel   context.CancelFunc
	done     chan error
	ended    bool
	started  <-chan struct{} // closed once its addresses are open
}

// Cluster holds the running boxes and stand-ins.
type Cluster struct {
	Platform *platform.Platform
	Engines  []*engine.Engine
	Service  *service.Service
	Proxies  []*faultproxy.Proxy // of engines
	Boxes    []*Box
	options  Options
	servers  []*httptest.Server
	stop     context.CancelFunc
	engines  sync.WaitGroup
}

// NotReadyError reports that the cluster did not become ready.
type NotReadyError struct{ What string }

// Error implements error.
func (e *NotReadyError) Error() string { return "cluster: " + e.What }

// readyTime bounds the wait for the cluster to become ready.
const readyTime = 20 * time.Second

// New starts a cluster, declares its resources and waits until all boxes have them and know
// their engines.
func New(options Options) (*Cluster, error) {
	ctx, stop := context.WithCancel(context.Background())
	s := &Cluster{Platform: platform.New(platform.Options{}), Service: service.New(), options: options, stop: stop}
	s.servers = append(s.servers, httptest.NewServer(s.Platform.Handler()))
	serviceServer := httptest.NewServer(s.Service)
	s.servers = append(s.servers, serviceServer)
	var upstreams []wire.Resource
	for i, o := range options.Engines {
		e := engine.New(o)
		s.Engines = append(s.Engines, e)
		s.engines.Go(func() { e.Run(ctx) })
		server := httptest.NewServer(e.Handler())
		s.servers = append(s.servers, server)
		address, err := s.reachableAddress(addressOf(server))
		if err != nil {
			s.Close()
			return nil, err
		}
		upstreams = append(upstreams, Upstream(o.Name, "engine", hallOf(i, options.Boxes), address))
	}
	upstreams = append(upstreams, Upstream("portal", "service", hallOf(0, options.Boxes), addressOf(serviceServer)))
	for i := range options.Boxes {
		if err := s.StartBox(i); err != nil {
			s.Close()
			return nil, err
		}
	}
	if err := s.applyResources(upstreams); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// reachableAddress returns the address by which boxes reach an engine, a proxy's if enabled.
func (s *Cluster) reachableAddress(address string) (string, error) {
	if !s.options.Proxies {
		return address, nil
	}
	r, err := faultproxy.New(address)
	if err != nil {
		return "", err
	}
	s.Proxies = append(s.Proxies, r)
	return r.Address(), nil
}

func hallOf(i, boxes int) string { return fmt.Sprint("hall", i%max(boxes, 1)) }

func addressOf(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// Resource returns a resource to declare.
func Resource(kind wire.ResourceKind, name string, spec any) wire.Resource {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // spec is always a wire type or a map
	}
	return wire.Resource{Kind: kind, Name: name, Spec: raw}
}

// Upstream returns an upstream to declare.
func Upstream(name, role, hall, address string) wire.Resource {
	spec := map[string]any{"role": role, "hall": hall, "address": address}
	if role == "service" {
		spec["service"] = name
	}
	return Resource(wire.ResourceKindUpstream, name, spec)
}

func (s *Cluster) applyResources(upstreams []wire.Resource) error {
	all := []wire.Resource{
		Resource(wire.ResourceKindModel, "m", map[string]any{"max_tokens": 16384}),
		Resource(wire.ResourceKindModel, "unserved", map[string]any{}),
		Resource(wire.ResourceKindOrganisation, "callers", map[string]any{"key_hashes": []string{front.HashKey(CallerKey)}}),
		Resource(wire.ResourceKindOrganisation, "others", map[string]any{"key_hashes": []string{front.HashKey(OtherKey)}, "models": []string{"unserved"}}),
	}
	for i := range max(s.options.Boxes, len(s.options.Engines)) {
		all = append([]wire.Resource{Resource(wire.ResourceKindHall, hallOf(i, s.options.Boxes), map[string]any{"region": "r"})}, all...)
	}
	seen := map[string]bool{}
	for _, r := range append(all, upstreams...) {
		key := string(r.Kind) + r.Name
		if seen[key] {
			continue
		}
		seen[key] = true
		if _, err := s.Put(0, r); err != nil {
			return err
		}
	}
	return s.await(func() bool { return s.settled(len(s.options.Engines)) }, "not settled")
}

// settled reports whether every box serves, has the newest configuration and knows at least
// the given number of engines.
func (s *Cluster) settled(engines int) bool {
	newest := 0
	for _, b := range s.Boxes {
		if b == nil {
			continue
		}
		var st wire.Status
		if s.Admin(b).Call(context.Background(), http.MethodGet, "/v1/status", nil, &st) != nil || len(st.Boxes) < s.running() {
			return false
		}
		newest = max(newest, st.Revision)
		if st.Revision < newest || b.Daemon.KnownEngines() < engines {
			return false
		}
	}
	return true
}

func (s *Cluster) running() int {
	n := 0
	for _, b := range s.Boxes {
		if b != nil {
			n++
		}
	}
	return n
}

func (s *Cluster) await(ready func() bool, what string) error {
	for end := time.Now().Add(readyTime); time.Now().Before(end); {
		if ready() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return &NotReadyError{What: what}
}

// Await waits until condition holds; it returns false if that takes longer than readyTime.
func (s *Cluster) Await(condition func() bool) bool { return s.await(condition, "") == nil }

// Put declares a resource at a box.
func (s *Cluster) Put(box int, r wire.Resource) (wire.Resource, error) {
	var done wire.Resource
	path := fmt.Sprintf("/v1/resources/%s/%s", r.Kind, r.Name)
	c := s.Admin(s.Boxes[box])
	defer c.Close()
	err := c.Call(context.Background(), http.MethodPut, path, r, &done)
	return done, err
}

// Admin returns an operator's client for a box.
func (s *Cluster) Admin(b *Box) *client.Client {
	return client.New([]string{"http://" + b.Settings.Listen.Admin}, OperatorKey)
}

// Callers returns a caller's client for all boxes.
func (s *Cluster) Callers(key string) *client.Client {
	var boxes []string
	for _, b := range s.Boxes {
		boxes = append(boxes, "http://"+b.Settings.Listen.Callers)
	}
	return client.New(boxes, key)
}

// startTries bounds starts on new addresses: a free one may be taken by another process
// before the box listens on it.
const startTries = 5

// StartBox starts a box, or restarts one that was killed or stopped.
func (s *Cluster) StartBox(i int) error {
	var last error
	for range startTries {
		b, err := s.startOnce(i)
		if err != nil {
			return err
		}
		if last = s.awaitBox(b); last == nil {
			s.setBox(i, b)
			return nil
		}
		b.cancel()
	}
	return last
}

func (s *Cluster) setBox(i int, b *Box) {
	if i < len(s.Boxes) {
		s.Boxes[i] = b
		return
	}
	s.Boxes = append(s.Boxes, b)
}

// awaitBox waits until a box is healthy or has ended.
func (s *Cluster) awaitBox(b *Box) error {
	var ended error
	err := s.await(func() bool {
		select {
		case ended = <-b.done:
			return true
		case <-b.started:
			return isHealthy(b.Settings.Listen.Admin)
		default:
			return false
		}
	}, b.Settings.Box+" is not healthy")
	if ended != nil {
		return ended
	}
	return err
}

func (s *Cluster) startOnce(i int) (*Box, error) {
	c, err := s.settings(i)
	if err != nil {
		return nil, err
	}
	counts, err := metrics.New()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	out := s.options.Log
	if out == nil {
		out = io.Discard
	}
	up := readylog.New(out)
	d, err := daemon.New(ctx, c, logs.New(up, "info", c.Box), counts)
	if err != nil {
		cancel()
		return nil, err
	}
	b := &Box{Settings: c.Settings, Daemon: d, cancel: cancel, done: make(chan error, 1), started: up.Done()}
	go func() { b.done <- d.Run(ctx) }()
	return b, nil
}

func (s *Cluster) settings(i int) (config.Config, error) {
	raw, err := json.Marshal(map[string]any{
		"box": fmt.Sprint("box", i), "hall": hallOf(i, s.options.Boxes),
		"listen":      map[string]string{"callers": freeAddress(), "admin": freeAddress(), "peers": freeAddress()},
		"platform":    map[string]any{"address": addressOf(s.servers[0])},
		"request_key": "a-key-of-tests-that-all-boxes-share-0001", "operator_key_hash": front.HashKey(OperatorKey),
		"limits": map[string]any{"comeback_ms": 300, "body_bytes": 4096}, "drain_ms": 20000,
	})
	var c config.Config
	if err == nil {
		err = json.Unmarshal(raw, &c.Settings)
	}
	if err == nil && s.options.Change != nil {
		s.options.Change(&c.Settings)
	}
	return c, err
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // tests need a loopback interface
	}
	defer l.Close()
	return l.Addr().String()
}

func isHealthy(address string) bool {
	c := client.New([]string{"http://" + address}, OperatorKey)
	defer c.Close()
	return c.Call(context.Background(), http.MethodGet, "/healthz", nil, nil) == nil
}

// Kill ends a box without draining, as the loss of its machine would.
func (s *Cluster) Kill(i int) {
	s.Boxes[i].cancel()
	<-s.Boxes[i].done
	s.Boxes[i].ended = true
}

// Stop drains a box and waits for its end.
func (s *Cluster) Stop(i int) error {
	s.Boxes[i].Daemon.Drain()
	s.Boxes[i].ended = true
	return <-s.Boxes[i].done
}

// Close ends all boxes and stand-ins.
func (s *Cluster) Close() {
	for _, b := range s.Boxes {
		b.cancel()
		if !b.ended {
			<-b.done
		}
	}
	s.stop()
	for _, r := range s.Proxies {
		r.Close()
	}
	for _, server := range s.servers {
		server.CloseClientConnections()
		server.Close()
	}
	s.engines.Wait()
}
