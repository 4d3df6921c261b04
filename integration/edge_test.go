//go:build integration

package integration

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/soak/checker"
	"petrelstep/soak/site"
	"petrelstep/standin/platform"
)

const (
	edgeMemoryMB    = 64
	edgeDescriptors = 1000
	// Those of the smallest box.
	smallestMemoryMB    = 88
	smallestDescriptors = 3075
	largestBody         = 4 * mib
)

// limits are those of the configuration in these tests.
var limits = platform.Limits{HeaderBytes: 64 * kib, BodyBytes: mib, HeaderMs: 10000, IdleMs: 60000}

// start starts a box with one engine and one plain worker.
func start(t *testing.T, o site.Options) (*site.Site, process) {
	t.Helper()
	o.Daemon, o.Dir, o.Boxes, o.Engines, o.Plain = daemon, t.TempDir(), 1, 1, 1
	s, err := site.New(o)
	t.Cleanup(s.Close)
	if err != nil {
		t.Fatal(err)
	}
	b := s.Boxes[0]
	for !b.Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	return s, process{id: b.Process(), ended: b.Ended(), memoryMB: o.MemoryMB, descriptors: o.Descriptors}
}

// post returns the head of client n's request of a kind, with a key.
func post(kind checker.Kind, key string) func(n int) string {
	return func(n int) string {
		return head("POST "+site.Target(kind, n), site.Host(), fmt.Sprint("Request-Id: c", n), "Api-Key: "+key, "Deadline-Ms: 20000")
	}
}

// lookup returns an ordinary request of another organisation than the crowd's.
func lookup(s *site.Site, address string, body []byte) func() *http.Request {
	n := 0
	return func() *http.Request {
		n++
		r, err := http.NewRequest(http.MethodPost, "http://"+address+site.Target(checker.Lookup, n), bytes.NewReader(body))
		if err != nil {
			panic(err) // cannot happen: the address is valid
		}
		r.Host = site.Host()
		r.Header.Set("Request-Id", fmt.Sprint("ordinary-", n))
		r.Header.Set("Api-Key", s.Key("firm"))
		r.Header.Set("Deadline-Ms", "10000")
		return r
	}
}

// TestEdgeCallers checks that a box before the platform lives within its memory and its
// descriptors, and serves an ordinary request, while a crowd of clients is connected to the
// address of its callers and after.
func TestEdgeCallers(t *testing.T) {
	once, unknown := post(checker.Once, "key0"), post(checker.Once, "unknown")
	pipelined := func(w io.Writer, n int) error {
		return inPieces(w, strings.Repeat(post(checker.Draft, "key0")(n)+"Content-Length: 0\r\n\r\n", 2000), 32*kib)
	}
	for name, c := range map[string]crowd{
		"bodies at once":                     {clients: 150, sends: shortOfEnd(once, mib, mib)},
		"bodies in pieces":                   {clients: 150, sends: shortOfEnd(once, mib, 32*kib)},
		"bodies with an unknown key":         {clients: 150, sends: shortOfEnd(unknown, mib, mib)},
		"bodies, clients return":             {clients: 150, returns: true, sends: shortOfEnd(once, mib, mib)},
		"small bodies with an unknown key":   {clients: 900, sends: shortOfEnd(unknown, 64*kib, 64*kib)},
		"small bodies":                       {clients: 900, sends: shortOfEnd(once, 64*kib, 64*kib)},
		"small bodies, clients return":       {clients: 900, returns: true, sends: shortOfEnd(once, 64*kib, 64*kib)},
		"whole bodies":                       {clients: 150, returns: true, sends: then(once, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", mib, strings.Repeat("x", mib)))},
		"whole bodies, answers unread":       {clients: 150, then: hold, sends: then(once, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", mib, strings.Repeat("x", mib)))},
		"large chunks":                       {clients: 150, sends: chunked(once, mib, 32*kib, "")},
		"chunks of a byte":                   {clients: 150, sends: chunked(once, mib/2, 1, "")},
		"chunks with extensions":             {clients: 150, sends: chunked(once, mib/2, 64, ";name="+strings.Repeat("x", 64))},
		"trailers without an end":            {clients: 900, sends: then(once, "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"+manyFields(60*kib))},
		"heads without an end":               {clients: 900, sends: then(once, longField(60*kib))},
		"heads without an end, return":       {clients: 900, returns: true, sends: then(once, longField(60*kib))},
		"heads over the limit":               {clients: 900, sends: then(once, longField(100*kib))},
		"heads of many fields":               {clients: 300, sends: then(once, manyFields(60*kib))},
		"heads of many fields, then no body": {clients: 300, sends: then(once, manyFields(60*kib)+"Content-Length: 10\r\n\r\n")},
		"whole heads of many fields":         {clients: 300, returns: true, sends: then(post(checker.Lookup, "key0"), "Connection: close\r\n"+manyFields(60*kib)+"Content-Length: 0\r\n\r\n")},
		"heads by single bytes":              {clients: 300, sends: slowly(once)},
		"empty lines":                        {clients: 300, sends: then(func(int) string { return "" }, strings.Repeat("\r\n", 30*kib))},
		"empty lines after a request":        {clients: 300, sends: then(post(checker.Lookup, "key0"), "Content-Length: 0\r\n\r\n"+strings.Repeat("\r\n", 30*kib))},
		"requests sent ahead":                {clients: 100, then: hold, sends: pipelined},
		"unread streams":                     {clients: 200, then: hold, sends: then(post(checker.Draft, "key0"), "Content-Length: 0\r\n\r\n")},
		"both lengths":                       {clients: 300, sends: then(once, "Content-Length: 10\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nxxxxx\r\n")},
		"wrong lengths":                      {clients: 600, sends: then(once, "Content-Length: 99999999999\r\n\r\n"+strings.Repeat("x", 64*kib))},
		"half closed":                        {clients: 300, then: closeWrite, sends: shortOfEnd(once, 64*kib, 64*kib)},
		"half a line":                        {clients: 1500, sends: then(func(int) string { return "POST /once/" }, "")},
		"nothing sent":                       {clients: 1500, sends: nothing},
		"nothing sent, clients return":       {clients: 1500, returns: true, sends: nothing},
		"idle after a request":               {clients: 1500, sends: then(post(checker.Lookup, "unknown"), "Content-Length: 0\r\n\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			s, p := start(t, site.Options{MemoryMB: edgeMemoryMB, Descriptors: edgeDescriptors, Limits: limits})
			callers, _, _ := s.Boxes[0].Addresses()
			survives(t, p, c, callers, lookup(s, callers, []byte("ordinary")))
		})
	}
}

// survives checks a process while a crowd is connected to an address, and after.
func survives(t *testing.T, p process, c crowd, address string, request func() *http.Request) {
	t.Helper()
	is := is.New(t)
	is.NoErr(ordinary(request))
	stop := c.start(t, address)
	err := ordinary(request)
	p.check(t)
	stop()
	is.NoErr(err)               // an ordinary request beside the crowd
	is.NoErr(ordinary(request)) // and after it
	p.check(t)
}

// TestEdgeAddresses checks the same for a crowd at the other addresses of a box before the
// platform.
func TestEdgeAddresses(t *testing.T) {
	for name, tt := range map[string]struct {
		crowd
		ready bool // at the address of the balancer, else at that of operators
	}{
		"balancer's, nothing sent":           {crowd: crowd{clients: 1500, sends: nothing}, ready: true},
		"balancer's, heads without an end":   {crowd: crowd{clients: 900, sends: then(once("/"), longField(60*kib))}, ready: true},
		"balancer's, heads of many fields":   {crowd: crowd{clients: 300, sends: then(once("/"), manyFields(60*kib))}, ready: true},
		"balancer's, bodies":                 {crowd: crowd{clients: 150, sends: shortOfEnd(once("/"), mib, mib)}, ready: true},
		"operators', nothing sent":           {crowd: crowd{clients: 1500, sends: nothing}},
		"operators', heads without an end":   {crowd: crowd{clients: 900, sends: then(once("/v1/view"), longField(60*kib))}},
		"operators', heads of many fields":   {crowd: crowd{clients: 300, sends: then(once("/v1/view"), manyFields(60*kib))}},
		"operators', bodies in large chunks": {crowd: crowd{clients: 150, sends: chunked(once("/v1/view"), mib, 32*kib, "")}},
	} {
		t.Run(name, func(t *testing.T) {
			s, p := start(t, site.Options{MemoryMB: edgeMemoryMB, Descriptors: edgeDescriptors, Limits: limits})
			callers, admin, ready := s.Boxes[0].Addresses()
			address := admin
			if tt.ready {
				address = ready
			}
			survives(t, p, tt.crowd, address, lookup(s, callers, []byte("ordinary")))
		})
	}
}

// once returns the head of a request to a path that has no key.
func once(path string) func(n int) string {
	return func(int) string { return head("POST "+path, "box") }
}

// TestLargestBody checks that the smallest box serves a request with the largest body that the
// configuration allows, however it arrives, and that it holds its bounds while many such bodies
// arrive at once.
func TestLargestBody(t *testing.T) {
	large := platform.Limits{HeaderBytes: 16 * kib, BodyBytes: largestBody, HeaderMs: 3000, IdleMs: 15000}
	whole := strings.Repeat("x", largestBody)
	length := fmt.Sprintf("Content-Length: %d\r\nConnection: close\r\n\r\n", largestBody)
	for name, write := range map[string]func(w io.Writer, head string) error{
		"at once":   func(w io.Writer, head string) error { return inPieces(w, head+length+whole, 2*largestBody) },
		"in pieces": func(w io.Writer, head string) error { return inPieces(w, head+length+whole, 1460) },
		"chunks": func(w io.Writer, head string) error {
			if err := chunked(func(int) string { return head + "Connection: close\r\n" }, largestBody, 64*kib, "")(w, 0); err != nil {
				return err
			}
			_, err := io.WriteString(w, "0\r\n\r\n")
			return err
		},
		"chunks of a byte": func(w io.Writer, head string) error {
			if err := chunked(func(int) string { return head + "Connection: close\r\n" }, largestBody, 1, "")(w, 0); err != nil {
				return err
			}
			_, err := io.WriteString(w, "0\r\n\r\n")
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, p := start(t, site.Options{MemoryMB: smallestMemoryMB, Descriptors: smallestDescriptors, Limits: large})
			callers, _, _ := s.Boxes[0].Addresses()
			conn, err := net.Dial("tcp", callers)
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(write(conn, post(checker.Once, "key0")(1)))
			answer, err := io.ReadAll(conn)
			is.NoErr(err)
			is.True(strings.HasPrefix(string(answer), "HTTP/1.1 200")) // served
			crowd := crowd{clients: 100, sends: func(w io.Writer, n int) error { return write(w, post(checker.Once, "key0")(n)) }}
			survives(t, p, crowd, callers, lookup(s, callers, []byte("ordinary")))
		})
	}
}

// TestEdgePlaces checks that requests whose body has not arrived, and those of one organisation,
// do not take all the places of requests, with more descriptors than the box can use.
func TestEdgePlaces(t *testing.T) {
	const descriptors = 4096
	once := post(checker.Once, "key0")
	for name, c := range map[string]crowd{
		"bodies of 2 KiB":                 {clients: 900, sends: shortOfEnd(once, 2*kib, 2*kib)},
		"bodies of 2 KiB, clients return": {clients: 900, returns: true, sends: shortOfEnd(once, 2*kib, 2*kib)},
	} {
		t.Run(name, func(t *testing.T) {
			s, p := start(t, site.Options{MemoryMB: edgeMemoryMB, Descriptors: descriptors, Limits: limits})
			callers, _, _ := s.Boxes[0].Addresses()
			survives(t, p, c, callers, lookup(s, callers, []byte("ordinary")))
		})
	}
}

// TestChangedLimits checks that a changed limit of heads is in force, lowered and raised.
func TestChangedLimits(t *testing.T) {
	is := is.New(t)
	s, _ := start(t, site.Options{MemoryMB: edgeMemoryMB, Descriptors: edgeDescriptors, Limits: limits})
	callers, _, _ := s.Boxes[0].Addresses()
	request := post(checker.Lookup, "key0")(1) + longField(20*kib) + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	status := func() string {
		conn, err := net.Dial("tcp", callers)
		is.NoErr(err)
		defer conn.Close()
		_, err = io.WriteString(conn, request)
		is.NoErr(err)
		answer, _ := io.ReadAll(conn) // its end may be cut off
		return strings.TrimPrefix(string(answer[:min(len(answer), 12)]), "HTTP/1.1 ")
	}
	is.Equal(status(), "200")
	for _, change := range []struct {
		limit int
		want  string
	}{{8 * kib, "431"}, {64 * kib, "200"}} {
		s.SetLimits(platform.Limits{HeaderBytes: change.limit, BodyBytes: mib})
		for began := time.Now(); status() != change.want; time.Sleep(10 * time.Millisecond) {
			is.True(time.Since(began) < settleTime) // the change is never in force
		}
	}
}

// TestSlowLink checks that the smallest box serves the largest body over a link of 20 Mbit/s that
// pauses at times.
func TestSlowLink(t *testing.T) {
	const piece, interval, pauseEvery, pause = 50_000, 20 * time.Millisecond, 20, 600 * time.Millisecond
	is := is.New(t)
	s, _ := start(t, site.Options{MemoryMB: smallestMemoryMB, Descriptors: smallestDescriptors, Limits: platform.Limits{
		HeaderBytes: 16 * kib, BodyBytes: largestBody, HeaderMs: 3000, IdleMs: 15000,
	}})
	callers, _, _ := s.Boxes[0].Addresses()
	conn, err := net.Dial("tcp", callers)
	is.NoErr(err)
	defer conn.Close()
	request := fmt.Sprintf("%sContent-Length: %d\r\nConnection: close\r\n\r\n%s", post(checker.Once, "key0")(1), largestBody, strings.Repeat("x", largestBody))
	for n := 1; request != ""; n++ {
		size := min(piece, len(request))
		_, err := io.WriteString(conn, request[:size])
		is.NoErr(err)
		request = request[size:]
		time.Sleep(interval)
		if n%pauseEvery == 0 {
			time.Sleep(pause)
		}
	}
	answer, err := io.ReadAll(conn)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 200"))
}
