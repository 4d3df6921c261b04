package answers_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/answers"
)

// scriptedConn is a connection whose reads return the bytes of an answer and then an ordinary end.
type scriptedConn struct {
	net.Conn
	answer    *strings.Reader
	fails     bool          // writes fail
	writeTime time.Duration // of each write
}

func (c *scriptedConn) Read(p []byte) (int, error) { return c.answer.Read(p) }

func (c *scriptedConn) Write(p []byte) (int, error) {
	time.Sleep(c.writeTime)
	if c.fails {
		return 0, syscall.ECONNRESET
	}
	return len(p), nil
}

// TestEnd guards against an ordinary end that proves nothing, as the request is not written whole, and
// against the refusal of one that does.
func TestEnd(t *testing.T) {
	const (
		short = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
		long  = "POST /x HTTP/1.1\r\nHost: a\r\ncontent-length: 4\r\n\r\n"
	)
	tests := map[string]struct {
		writes    []string
		answer    string
		fails     bool
		writeTime time.Duration
		cut       bool
	}{
		"whole, without a body":            {writes: []string{short}, answer: "x"},
		"whole":                            {writes: []string{long, "body"}, answer: "x"},
		"whole, in pieces":                 {writes: []string{long[:9], long[9 : len(long)-2], "\r\nbo", "dy"}, answer: "x"},
		"whole, the second request":        {writes: []string{long + "body", short}, answer: "x"},
		"the last write still runs":        {writes: []string{short}, answer: "x", writeTime: time.Millisecond},
		"a write takes too long":           {writes: []string{short}, answer: "x", writeTime: time.Minute, cut: true},
		"a part of the body":               {writes: []string{long, "bod"}, answer: "x", cut: true},
		"a part of the head":               {writes: []string{long[:9]}, answer: "x", cut: true},
		"a part of the second request":     {writes: []string{short, long, "bod"}, answer: "x", cut: true},
		"the write fails":                  {writes: []string{short}, answer: "x", fails: true, cut: true},
		"the write fails while it is read": {writes: []string{short}, answer: "x", fails: true, writeTime: time.Millisecond, cut: true},
		"an unreadable length":             {writes: []string{"POST /x HTTP/1.1\r\nContent-Length: x\r\n\r\n", "body"}, answer: "x", cut: true},
		"in chunks, whose end is unknown":  {writes: []string{"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n"}, answer: "x", cut: true},
		"no answer":                        {writes: []string{long, "bod"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				conn := answers.NewConn(&scriptedConn{answer: strings.NewReader(tt.answer), fails: tt.fails, writeTime: tt.writeTime})
				done := make(chan struct{})
				go func() {
					defer close(done)
					for _, part := range tt.writes {
						_, _ = conn.Write([]byte(part))
					}
				}()
				synctest.Wait()
				got, err := io.ReadAll(conn)
				<-done
				is.Equal(string(got), tt.answer)
				var unread *answers.UnreadError
				is.Equal(errors.As(err, &unread), tt.cut)
				is.Equal(err != nil, tt.cut)
				is.Equal(errors.Is(err, syscall.ECONNRESET), tt.fails)
			})
		})
	}
}
