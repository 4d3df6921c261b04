// Package sse reads and writes server-sent events
// (https://html.spec.whatwg.org/multipage/server-sent-events.html), limited to what token
// streams use: single-line data and numeric ids.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

const (
	// maxLineSize bounds a line, in bytes; tokens are far smaller.
	maxLineSize = 64 << 10
	// maxEventSize bounds the lines of an event together, in bytes.
	maxEventSize = 256 << 10
)

// Event is a server-sent event. Data is valid until the next call of Next.
type Event struct {
	Name string // event type; empty for a token
	ID   int    // offset of the token; -1 if there is none
	Data []byte
}

// FormatError reports an invalid event stream.
type FormatError struct{ Detail string }

// Error implements error.
func (e *FormatError) Error() string { return "event stream: " + e.Detail }

// Reader reads events from a stream.
type Reader struct {
	in  *bufio.Reader
	buf []byte
}

// New returns a reader of a stream.
func New(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, maxLineSize)} }

// Buffered reports whether more of the stream has already arrived.
func (r *Reader) Buffered() bool { return r.in.Buffered() > 0 }

// Next returns the next event. It returns io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if the stream ends within an event.
func (r *Reader) Next() (Event, error) {
	e := Event{ID: -1}
	inEvent, size := false, 0
	r.buf = r.buf[:0]
	for {
		line, err := r.in.ReadSlice('\n')
		if err != nil {
			return Event{}, r.readError(err, inEvent || len(line) > 0)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if !inEvent {
				continue
			}
			e.Data = r.buf
			return e, nil
		}
		inEvent = true
		if size += len(line); size > maxEventSize {
			return Event{}, &FormatError{Detail: "event too long"}
		}
		if err := r.parseField(&e, line); err != nil {
			return Event{}, err
		}
	}
}

func (r *Reader) readError(err error, within bool) error {
	if err == bufio.ErrBufferFull {
		return &FormatError{Detail: "line too long"}
	}
	if err == io.EOF && within {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (r *Reader) parseField(e *Event, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "event":
		e.Name = internName(value)
	case "id":
		id, ok := parseOffset(value)
		if !ok {
			return &FormatError{Detail: "id is not a number"}
		}
		e.ID = id
	case "data":
		r.buf = append(r.buf, value...)
	}
	return nil
}

// Event types on the streams of engines and boxes.
const (
	Start = "start"
	End   = "end"
)

// internName returns the name as a string, without allocating for the usual ones.
func internName(value []byte) string {
	switch string(value) {
	case Start:
		return Start
	case End:
		return End
	}
	return string(value)
}

// parseOffset parses a decimal number without allocating a string.
func parseOffset(b []byte) (int, bool) {
	const maxDigits = 15
	if len(b) == 0 || len(b) > maxDigits {
		return 0, false
	}
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}

// AppendToken appends the event of a token to dst.
func AppendToken(dst []byte, offset int, data []byte) []byte {
	dst = append(dst, "id: "...)
	dst = strconv.AppendInt(dst, int64(offset), 10)
	dst = append(dst, "\ndata: "...)
	dst = append(dst, data...)
	return append(dst, "\n\n"...)
}

// AppendEvent appends a named event to dst.
func AppendEvent(dst []byte, name string, data []byte) []byte {
	dst = append(dst, "event: "...)
	dst = append(dst, name...)
	dst = append(dst, "\ndata: "...)
	dst = append(dst, data...)
	return append(dst, "\n\n"...)
}
