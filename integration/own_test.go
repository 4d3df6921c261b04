//go:build integration

package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"petrelstep/front"
	"petrelstep/standin/platform"
	"petrelstep/standin/readylog"
	"petrelstep/standin/service"
)

const (
	ownMemoryMB    = 64
	ownDescriptors = 1000
	operatorKey    = "operator-key-of-the-test"
)

// ownBox is a process of the daemon with petrelstep's own interface.
type ownBox struct {
	process
	callers, admin string
}

// startOwn starts a box with one plain service and two organisations. environment is added to
// that of the test.
func startOwn(t *testing.T, environment ...string) ownBox {
	t.Helper()
	store := httptest.NewServer(platform.New(platform.Options{}).Handler())
	t.Cleanup(store.Close)
	plain := httptest.NewServer(service.New())
	t.Cleanup(plain.Close)
	b := ownBox{callers: freeAddress(t), admin: freeAddress(t)}
	b.process = startDaemon(t, map[string]any{
		"box": "box1", "hall": "leith", "listen": map[string]any{"callers": b.callers, "admin": b.admin, "peers": freeAddress(t)},
		"platform": map[string]any{"address": store.Listener.Addr().String()}, "request_key": strings.Repeat("k", 32),
		"operator_key_hash": front.HashKey(operatorKey),
		"limits":            map[string]any{"body_bytes": mib, "memory_mb": ownMemoryMB, "descriptors": ownDescriptors},
	}, environment...)
	b.memoryMB, b.descriptors = ownMemoryMB, ownDescriptors
	b.apply(t, "Hall", "leith", map[string]any{"region": "edinburgh"})
	b.apply(t, "Upstream", "portal-1", map[string]any{"role": "service", "hall": "leith", "address": plain.Listener.Addr().String(), "service": "portal"})
	for _, name := range []string{"council", "firm"} {
		b.apply(t, "Organisation", name, map[string]any{"weight": 1, "key_hashes": []string{front.HashKey("key-of-" + name)}})
	}
	return b
}

// freeAddress returns an address that nobody listens on. Its host is this process's own, as a port
// of 127.0.0.1 may be taken by any connection before the daemon listens on it.
func freeAddress(t *testing.T) string {
	t.Helper()
	id := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+id>>16&0x7f, id>>8&0xff, id&0xff))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startDaemon starts a process with settings and waits until its addresses are open.
func startDaemon(t *testing.T, settings map[string]any, environment ...string) process {
	t.Helper()
	raw, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	up := readylog.New(&log)
	command := exec.Command(daemon, "-settings", file)
	command.Stdout, command.Stderr = up, os.Stderr
	command.Env = append(os.Environ(), environment...)
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { _ = command.Wait(); close(ended) }() // ended by the clean-up
	t.Cleanup(func() { _ = command.Process.Kill(); <-ended })
	select {
	case <-up.Done():
	case <-ended:
		t.Fatal("the daemon has not started: " + log.String())
	}
	return process{id: command.Process.Pid, ended: ended}
}

// apply declares a resource, and repeats that until it is accepted.
func (b ownBox) apply(t *testing.T, kind, name string, spec map[string]any) {
	t.Helper()
	raw, err := json.Marshal(map[string]any{"kind": kind, "name": name, "spec": spec})
	if err != nil {
		t.Fatal(err)
	}
	if err := ordinary(func() *http.Request {
		time.Sleep(10 * time.Millisecond)
		r, err := http.NewRequest(http.MethodPut, "http://"+b.admin+"/v1/resources/"+kind+"/"+name, bytes.NewReader(raw))
		if err != nil {
			panic(err) // cannot happen: the address is valid
		}
		r.Header.Set("Authorization", "Bearer "+operatorKey)
		return r
	}); err != nil {
		t.Fatal(err)
	}
}

// call returns an ordinary request of another organisation than the crowd's.
func (b ownBox) call() *http.Request {
	r, err := http.NewRequest(http.MethodGet, "http://"+b.callers+"/v1/services/portal/roll/1", nil)
	if err != nil {
		panic(err) // cannot happen: the address is valid
	}
	r.Header.Set("Authorization", "Bearer key-of-firm")
	return r
}

// postOwn returns the head of a call with a key.
func postOwn(key string) func(n int) string {
	return func(n int) string {
		return head(fmt.Sprint("POST /v1/services/portal/notices/", n), "box", "Authorization: Bearer "+key)
	}
}

// TestOwnCallers checks that a box with petrelstep's own interface lives within its memory and
// its descriptors, and serves an ordinary request, while a crowd of clients is connected to the
// address of its callers and after.
func TestOwnCallers(t *testing.T) {
	valid, unknown := postOwn("key-of-council"), postOwn("unknown")
	draft := func(int) string { return head("POST /v1/generations", "box", "Authorization: Bearer key-of-council") }
	prompt := `{"model":"assessor","class":"draft","max_tokens":100,"deadline_ms":10000,"prompt":"` + strings.Repeat("x", mib-200) + `"}`
	for name, c := range map[string]crowd{
		"bodies at once":                     {clients: 150, sends: shortOfEnd(valid, mib, mib)},
		"bodies in pieces":                   {clients: 150, sends: shortOfEnd(valid, mib, 32*kib)},
		"bodies of drafts":                   {clients: 150, sends: shortOfEnd(draft, mib, mib)},
		"bodies with an unknown key":         {clients: 150, sends: shortOfEnd(unknown, mib, mib)},
		"bodies, clients return":             {clients: 150, returns: true, sends: shortOfEnd(valid, mib, mib)},
		"whole bodies":                       {clients: 150, returns: true, sends: then(valid, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", mib, strings.Repeat("x", mib)))},
		"whole drafts":                       {clients: 150, returns: true, sends: then(draft, fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n%s", len(prompt), prompt))},
		"whole heads of many fields":         {clients: 300, returns: true, sends: then(valid, "Connection: close\r\n"+manyFields(60*kib)+"Content-Length: 0\r\n\r\n")},
		"small bodies":                       {clients: 900, sends: shortOfEnd(valid, 64*kib, 64*kib)},
		"large chunks":                       {clients: 150, sends: chunked(valid, mib, 32*kib, "")},
		"chunks of a byte":                   {clients: 150, sends: chunked(valid, mib/2, 1, "")},
		"heads without an end":               {clients: 300, sends: then(valid, longField(900*kib))},
		"heads of many fields":               {clients: 300, sends: then(valid, manyFields(60*kib))},
		"heads of many fields, then no body": {clients: 300, sends: then(valid, manyFields(60*kib)+"Content-Length: 10\r\n\r\n")},
		"trailers without an end":            {clients: 300, sends: then(valid, "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"+manyFields(60*kib))},
		"half a line":                        {clients: 1500, sends: then(func(int) string { return "POST /v1/" }, "")},
		"nothing sent":                       {clients: 1500, sends: nothing},
		"idle after a request":               {clients: 1500, sends: then(unknown, "Content-Length: 0\r\n\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			b := startOwn(t)
			survives(t, b.process, c, b.callers, b.call)
		})
	}
}

// TestOwnFewProcessors checks that a box on few processors lives within its memory while clients
// come back at once with whole heads. It guards against new heads being read in place of those of
// closed connections that are still parsed: the sum of both had no bound.
func TestOwnFewProcessors(t *testing.T) {
	sends := then(postOwn("key-of-council"), "Connection: close\r\n"+manyFields(60*kib)+"Content-Length: 0\r\n\r\n")
	for name, processors := range map[string]int{"one": 1, "two": 2} {
		t.Run(name, func(t *testing.T) {
			b := startOwn(t, fmt.Sprint("GOMAXPROCS=", processors))
			survives(t, b.process, crowd{clients: 300, returns: true, sends: sends}, b.callers, b.call)
		})
	}
}

// TestOwnOperators checks the same for a crowd at the address of operators.
func TestOwnOperators(t *testing.T) {
	status := func(key string) func(int) string {
		return func(int) string { return head("PUT /v1/resources/Hall/leith", "box", "Authorization: Bearer "+key) }
	}
	for name, c := range map[string]crowd{
		"nothing sent":               {clients: 1500, sends: nothing},
		"heads without an end":       {clients: 300, sends: then(status("unknown"), longField(900*kib))},
		"heads of many fields":       {clients: 300, sends: then(status("unknown"), manyFields(60*kib))},
		"bodies with an unknown key": {clients: 150, sends: shortOfEnd(status("unknown"), mib, mib)},
		"bodies of resources":        {clients: 150, sends: shortOfEnd(status(operatorKey), mib, mib)},
		"resources in large chunks":  {clients: 150, sends: chunked(status(operatorKey), mib, 32*kib, "")},
	} {
		t.Run(name, func(t *testing.T) {
			b := startOwn(t)
			survives(t, b.process, c, b.admin, b.call)
		})
	}
}
