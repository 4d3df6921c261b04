package answers

import (
	"bytes"
	"math"
	"strconv"
	"strings"
)

var headEnd = []byte("\r\n\r\n")

// request follows the bytes of requests that are written one after another.
type request struct {
	head []byte // so far; empty outside a head
	left int64  // bytes of the body that are not written
}

// written reports whether the last request was written whole.
func (r *request) written() bool { return len(r.head) == 0 && r.left == 0 }

// add adds written bytes.
func (r *request) add(p []byte) {
	for len(p) > 0 {
		if r.left > 0 {
			n := min(r.left, int64(len(p)))
			r.left -= n
			p = p[n:]
			continue
		}
		r.head = append(r.head, p...)
		end := bytes.Index(r.head, headEnd)
		if end < 0 {
			return
		}
		r.left = bodyLength(string(r.head[:end]))
		p = p[len(p)-(len(r.head)-end-len(headEnd)):]
		r.head = nil
	}
}

// bodyLength returns the length of a body by the head of its request. One without a length is never
// known to be written.
func bodyLength(head string) int64 {
	var length int64
	for line := range strings.SplitSeq(head, "\r\n") {
		name, value, _ := strings.Cut(line, ":")
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
			if err != nil {
				return math.MaxInt64
			}
			length = n
		case "transfer-encoding":
			return math.MaxInt64
		}
	}
	return length
}
