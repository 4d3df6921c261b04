package site

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"petrelstep/client"
	"petrelstep/soak/checker"
	"petrelstep/standin/faultproxy"
	"petrelstep/standin/platform"
	"petrelstep/standin/readylog"
	"petrelstep/standin/storegate"
	"petrelstep/wire"
)

const (
	// startTries bounds starts on new ports: a free port may be taken by another process
	// before the box opens it.
	startTries = 5
	// startTime bounds one start on a busy machine.
	startTime = 20 * time.Second
	readyTime = 500 * time.Millisecond
)

// Box is a process of the daemon with its links to the store and to callers.
type Box struct {
	Name  string
	Store *faultproxy.Proxy // link to the store
	Gate  *storegate.Gate   // the store as the box sees it
	Link  *faultproxy.Proxy // link to callers
	Peers *faultproxy.Proxy // link of other boxes to it

	// Lock serialises the faults injected into the process.
	Lock sync.Mutex

	mu          sync.Mutex
	disruptions []checker.Span // when the process was down, stopping or paused
	storeLost   []checker.Span // when it did not reach the store

	options Options
	hall    string
	ports   [4]string // callers, admin, peers, ready
	command *exec.Cmd
	ended   chan struct{}
	store   *http.Server // serves Gate
}

func newBox(o Options, name, hall string, store *platform.Platform) (*Box, error) {
	b := &Box{Name: name, options: o, hall: hall, Gate: storegate.New(store.Handler(), store.SetEra)}
	storeAddress, server, err := serve(b.Gate)
	if err != nil {
		return nil, err
	}
	b.store = server
	if b.Store, err = faultproxy.New(storeAddress); err != nil {
		return nil, err
	}
	if b.ports, err = freePorts(); err != nil {
		return nil, err
	}
	if b.Link, err = faultproxy.New(b.ports[0]); err != nil {
		return nil, err
	}
	b.Peers, err = faultproxy.New(b.ports[2])
	return b, err
}

// freePorts returns loopback addresses that nothing listens on.
func freePorts() (ports [4]string, err error) {
	for i := range ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ports, err
		}
		defer l.Close()
		ports[i] = l.Addr().String()
	}
	return ports, nil
}

// StartError reports that a box's process did not start.
type StartError struct{ Box string }

// Error implements error.
func (e *StartError) Error() string { return e.Box + " did not start; see its log" }

// Far reports whether the box is not in the region of the store, which is the first.
func (b *Box) Far() bool { return regions[b.hall] != regions[halls[0]] }

// Start starts the process and waits until its addresses are open.
func (b *Box) Start() error {
	for range startTries {
		if b.startOnce() {
			return nil
		}
		ports, err := freePorts()
		if err != nil {
			return err
		}
		b.ports = ports
		b.Link.Retarget(ports[0])
		b.Peers.Retarget(ports[2])
	}
	return &StartError{b.Name}
}

func (b *Box) startOnce() bool {
	file, err := settings(b.options.Dir, b)
	if err != nil {
		return false
	}
	log, err := os.OpenFile(filepath.Join(b.options.Dir, b.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return false
	}
	up := readylog.New(log)
	b.command = exec.Command(b.options.Daemon, "-settings", file)
	b.command.Stdout, b.command.Stderr = up, log
	if b.command.Start() != nil {
		return false
	}
	b.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait() // the exit is in its log
		_ = log.Close()
		close(ended)
	}(b.command, b.ended)
	select {
	case <-up.Done():
		return true
	case <-b.ended:
	case <-time.After(startTime):
		b.Signal(syscall.SIGKILL)
	}
	return false
}

// Signal sends a signal to the box's process.
func (b *Box) Signal(s syscall.Signal) {
	_ = b.command.Process.Signal(s) // fails only if the process has ended
}

// RecordDisruption records that the process was disrupted from a time until now.
func (b *Box) RecordDisruption(from time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.disruptions = append(b.disruptions, checker.Span{From: from, Until: time.Now()})
}

// Disruptions returns when the process was down, stopping or paused.
func (b *Box) Disruptions() []checker.Span {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.disruptions
}

// WhileStoreLost calls do, which cuts the box off the store, and records the time it takes.
func (b *Box) WhileStoreLost(do func()) {
	from := time.Now()
	do()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeLost = append(b.storeLost, checker.Span{From: from, Until: time.Now()})
}

// StoreLost returns when the box did not reach the store.
func (b *Box) StoreLost() []checker.Span {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.storeLost
}

// Process returns the id of the box's process.
func (b *Box) Process() int { return b.command.Process.Pid }

// Addresses returns the box's own addresses, without the proxies of its links.
func (b *Box) Addresses() (callers, admin, ready string) { return b.ports[0], b.ports[1], b.ports[3] }

// Ended is closed once the process has ended.
func (b *Box) Ended() <-chan struct{} { return b.ended }

// Ready reports whether the box's readiness endpoint returns 200.
func (b *Box) Ready() bool {
	client := http.Client{Timeout: readyTime}
	resp, err := client.Get("http://" + b.ports[3] + "/")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Reads reports whether the box reads the store for all, by its own view.
func (b *Box) Reads() bool {
	ctx, cancel := context.WithTimeout(context.Background(), readyTime)
	defer cancel()
	var v wire.BoxView
	return client.New([]string{"http://" + b.ports[1]}, "").Call(ctx, http.MethodGet, "/v1/view", nil, &v) == nil && v.Reads
}

func (b *Box) close() {
	if b.command != nil && b.command.Process != nil {
		b.Signal(syscall.SIGCONT)
		b.Signal(syscall.SIGKILL)
		<-b.ended
	}
	b.Store.Close()
	_ = b.store.Close()
	b.Link.Close()
	b.Peers.Close()
}

// String returns the box's name and the path of its log.
func (b *Box) String() string {
	return fmt.Sprintf("%s (%s)", b.Name, filepath.Join(b.options.Dir, b.Name+".log"))
}

// settings writes a box's settings file and returns its path.
func settings(dir string, b *Box) (string, error) {
	rollouts := ""
	if b.options.Rollouts {
		rollouts = rolloutSettings()
	}
	text := fmt.Sprintf(`{"box":%q,"hall":%q,"listen":{"callers":%q,"admin":%q,"peers":%q,"peers_advertised":%q},"platform":{"address":%q},"drain_ms":8000,
"edge":{"ready":%q,"key_age_ms":%d,"leave_ms":2000,"balance":["shares","places","buffers"]%s%s}}`,
		b.Name, b.hall, b.ports[0], b.ports[1], b.ports[2], b.Peers.Address(), b.Store.Address(), b.ports[3], KeyAge.Milliseconds(), resourceSettings(b.options), rollouts)
	file := filepath.Join(dir, b.Name+".json")
	return file, os.WriteFile(file, []byte(text), 0o644)
}

// resourceSettings returns the settings of a box's memory and descriptors.
func resourceSettings(o Options) string {
	text := ""
	if o.MemoryMB > 0 {
		text += fmt.Sprintf(`,"memory_mb":%d`, o.MemoryMB)
	}
	if o.Descriptors > 0 {
		text += fmt.Sprintf(`,"descriptors":%d`, o.Descriptors)
	}
	return text
}
