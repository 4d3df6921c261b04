//go:build integration

package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"petrelstep/soak/checker"
	"petrelstep/soak/site"
)

const (
	slowMemoryMB   = 128
	slowRequests   = 6
	slowBody       = 64 * kib
	slowPiece      = kib
	slowPieceEvery = 45 * time.Millisecond
)

// returning returns crowds that come back as soon as they are refused or closed, or have sent all.
func returning() map[string]crowd {
	once, unknown := post(checker.Once, "key0"), post(checker.Once, "unknown")
	whole := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", mib, strings.Repeat("x", mib))
	small := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", kib, strings.Repeat("x", kib))
	tooLarge := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*mib, strings.Repeat("x", 100*kib))
	return map[string]crowd{
		"a few, unknown keys":                    {clients: 5, returns: true, sends: then(unknown, whole)},
		"a few, unknown keys, unread":            {clients: 5, returns: true, then: hold, sends: then(unknown, whole)},
		"a few, unknown keys, small, unread":     {clients: 5, returns: true, then: hold, sends: then(unknown, small)},
		"a few, too large":                       {clients: 5, returns: true, sends: then(once, tooLarge)},
		"a few, unfinished bodies":               {clients: 5, returns: true, sends: shortOfEnd(once, mib, mib)},
		"many, unfinished bodies":                {clients: 200, returns: true, sends: shortOfEnd(once, mib, mib)},
		"many, unknown keys, no body, unread":    {clients: 200, returns: true, then: hold, sends: then(unknown, "Content-Length: 0\r\n\r\n")},
		"many, heads without an end, no waiting": {clients: 200, returns: true, then: hold, sends: then(once, longField(60*kib))},
		"many, nothing sent":                     {clients: 1500, returns: true, sends: nothing},
	}
}

// sendSlowly sends a request whose body arrives slowly, calls begun once some of it is sent, and
// returns the answer's status and whether it is a refusal that names a time.
func sendSlowly(address string, n int, key string, begun func()) (status int, retry string, err error) {
	var once sync.Once
	defer once.Do(begun)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\nConnection: close\r\n\r\n", post(checker.Lookup, key)(n), slowBody); err != nil {
		return 0, "", err
	}
	for range slowBody / slowPiece {
		if _, err := io.WriteString(conn, strings.Repeat("x", slowPiece)); err != nil {
			break // it may be refused
		}
		time.Sleep(slowPieceEvery)
		once.Do(begun)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Retry-After"), nil
}

// slowCallers lets clients send requests slowly, and checks that each is answered or refused, and
// that the process lives within its bounds. The crowd comes when they have begun, or is there.
func slowCallers(t *testing.T, c crowd, crowdFirst bool) {
	t.Helper()
	s, p := start(t, site.Options{MemoryMB: slowMemoryMB, Descriptors: edgeDescriptors, Limits: limits})
	callers, _, _ := s.Boxes[0].Addresses()
	stop := func() {}
	if crowdFirst {
		stop = c.start(t, callers)
	}
	var all, begun sync.WaitGroup
	for n := range slowRequests {
		begun.Add(1)
		all.Go(func() {
			status, retry, err := sendSlowly(callers, 1000+n, s.Key("firm"), begun.Done)
			if err != nil {
				t.Error("no answer: ", err)
			} else if status != http.StatusOK && (status != http.StatusServiceUnavailable || retry == "") {
				t.Error("status ", status, ", Retry-After ", retry)
			}
		})
	}
	begun.Wait()
	if !crowdFirst {
		stop = c.start(t, callers)
	}
	all.Wait()
	p.check(t)
	stop()
}

// TestSlowCallers checks that requests whose body makes progress are answered, or refused, while
// clients come back at once. It guards against such a request being closed in place of those whose
// requests were refused, or that had to give way already.
func TestSlowCallers(t *testing.T) {
	for name, c := range returning() {
		t.Run(name, func(t *testing.T) { slowCallers(t, c, false) })
	}
}

// TestSlowCallersLargeBodies checks the same while many clients send large bodies short of their
// end and come back without waiting for an answer.
func TestSlowCallersLargeBodies(t *testing.T) {
	slowCallers(t, crowd{clients: 200, returns: true, then: hold, sends: shortOfEnd(post(checker.Once, "key0"), mib, mib)}, false)
}

// TestNewSlowCallers checks the same for requests that begin when the crowd is there.
func TestNewSlowCallers(t *testing.T) {
	for name, c := range returning() {
		t.Run(name, func(t *testing.T) { slowCallers(t, c, true) })
	}
}
