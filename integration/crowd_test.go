//go:build integration

package integration

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	kib = 1 << 10
	mib = 1 << 20
	// settleTime bounds the wait for a crowd's clients to have sent what they send: those
	// whose bytes are not read never have.
	settleTime = 15 * time.Second
	// maxRetryPause bounds the wait for a refused request's Retry-After.
	maxRetryPause = time.Second
	ordinaryTries = 10
)

// crowd is a number of clients that send something and then stay connected.
type crowd struct {
	clients int
	returns bool                           // a client connects again at once after its connection was closed
	sends   func(w io.Writer, n int) error // what client n sends
	then    func(c net.Conn) error         // afterwards; nil: the client reads until the end
}

// start connects the crowd and waits until it has sent everything, or can't. The returned
// function disconnects it.
func (c crowd) start(t *testing.T, address string) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var all, sent sync.WaitGroup
	for n := range c.clients {
		sent.Add(1)
		var once sync.Once
		all.Go(func() {
			defer once.Do(sent.Done)
			for ctx.Err() == nil {
				c.connect(ctx, address, n, func() { once.Do(sent.Done) })
				if !c.returns {
					return
				}
			}
		})
	}
	settled := make(chan struct{})
	go func() { sent.Wait(); close(settled) }()
	select {
	case <-settled:
	case <-time.After(settleTime):
		t.Log("not all clients have sent everything")
	}
	return func() { cancel(); all.Wait() }
}

// connect is one connection of client n.
func (c crowd) connect(ctx context.Context, address string, n int, sent func()) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if err := c.sends(conn, n); err != nil {
		return
	}
	then := c.then
	if then == nil {
		then = func(c net.Conn) error { _, err := io.Copy(io.Discard, c); return err }
	}
	sent()
	if err := then(conn); err == nil && !c.returns {
		<-ctx.Done() // half closed by the server
	}
}

// hold leaves a connection open without reading from it.
func hold(net.Conn) error { return nil }

// closeWrite half closes a connection and reads what is answered.
func closeWrite(c net.Conn) error {
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, c)
	return err
}

// refusedError is an ordinary request that was not answered with 200.
type refusedError struct{ last string }

// Error implements error.
func (e *refusedError) Error() string { return "not answered, last: " + e.last }

// ordinary sends a request as an ordinary client does, which tries again after a refusal,
// on a new connection, until it is answered with 200.
func ordinary(request func() *http.Request) error {
	last := ""
	for range ordinaryTries {
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: settleTime}
		resp, err := client.Do(request())
		if err != nil {
			last = err.Error()
			continue
		}
		body, _ := io.ReadAll(resp.Body) // an incomplete answer is not 200 below
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
		last = resp.Status + " " + string(body)
		after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 without it
		time.Sleep(min(time.Duration(after*float64(time.Second)), maxRetryPause))
	}
	return &refusedError{last: last}
}

// head returns the head of a request without the empty line at its end.
func head(line, host string, fields ...string) string {
	return line + " HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Join(append(fields, ""), "\r\n")
}

// inPieces writes what to w in pieces of size bytes.
func inPieces(w io.Writer, what string, size int) error {
	for len(what) > 0 {
		n := min(size, len(what))
		if _, err := io.WriteString(w, what[:n]); err != nil {
			return err
		}
		what = what[n:]
	}
	return nil
}

// shortOfEnd sends a head, the length of a body, and all of the body but its last byte.
func shortOfEnd(head func(n int) string, length, piece int) func(w io.Writer, n int) error {
	body := strings.Repeat("x", length-1)
	return func(w io.Writer, n int) error {
		if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head(n), length); err != nil {
			return err
		}
		return inPieces(w, body, piece)
	}
}

// chunked sends a head and a body of length bytes in chunks of a size, without its end.
func chunked(head func(n int) string, length, size int, extension string) func(w io.Writer, n int) error {
	chunk := fmt.Sprintf("%x%s\r\n%s\r\n", size, extension, strings.Repeat("x", size))
	repeats := max(1, 64*kib/len(chunk))
	block := strings.Repeat(chunk, repeats)
	return func(w io.Writer, n int) error {
		if _, err := io.WriteString(w, head(n)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		for left := length / size; left > 0; left -= repeats {
			if _, err := io.WriteString(w, block[:min(left, repeats)*len(chunk)]); err != nil {
				return err
			}
		}
		return nil
	}
}

// longField returns a header field of a length, without its end.
func longField(length int) string { return "Long: " + strings.Repeat("x", length) }

// manyFields returns header fields of different names, of a length together.
func manyFields(length int) string {
	var b strings.Builder
	for i := 0; b.Len() < length; i++ {
		fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(36*36+i), 36))
	}
	return b.String()
}

// then returns what sends a head and something after it.
func then(head func(n int) string, after string) func(w io.Writer, n int) error {
	return func(w io.Writer, n int) error {
		_, err := io.WriteString(w, head(n)+after)
		return err
	}
}

// slowly sends a head by single bytes.
func slowly(head func(n int) string) func(w io.Writer, n int) error {
	return func(w io.Writer, n int) error { return inPieces(w, head(n), 1) }
}

// nothing sends nothing.
func nothing(io.Writer, int) error { return nil }
