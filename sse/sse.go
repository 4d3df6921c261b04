// Package sse reads and writes server-sent events
// (https://html.spec.whatwg.org/multipage/server-sent-events.html), as far as
// token streams need them: single-line data, numeric ids.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// lineMost bounds a line, in bytes; an engine's token is far smaller.
const lineMost = 64 << 10

// Event is one event. Data is valid until the next call of Next.
type Event struct {
	Name string // empty for a token
	ID   int    // offset of the token; -1 where there is none
	Data []byte
}

// FormatError says that a peer sent what is no event stream.
type FormatError struct{ Detail string }

// Error implements error.
func (e *FormatError) Error() string { return "event stream: " + e.Detail }

// Reader reads a stream of events.
type Reader struct {
	in  *bufio.Reader
	buf []byte
}

// New returns a reader on a stream.
func New(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, lineMost)} }

// Buffered tells whether more has already arrived.
func (r *Reader) Buffered() bool { return r.in.Buffered() > 0 }

// Next returns the next event; io.EOF at the stream's end, and
// io.ErrUnexpectedEOF within an event.
func (r *Reader) Next() (Event, error) {
	e := Event{ID: -1}
	some := false
	r.buf = r.buf[:0]
	for {
		line, err := r.in.ReadSlice('\n')
		if err != nil {
			return Event{}, r.failure(err, some || len(line) > 0)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if !some {
				continue
			}
			e.Data = r.buf
			return e, nil
		}
		some = true
		if err := r.field(&e, line); err != nil {
			return Event{}, err
		}
	}
}

func (r *Reader) failure(err error, within bool) error {
	if err == bufio.ErrBufferFull {
		return &FormatError{Detail: "line too long"}
	}
	if err == io.EOF && within {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (r *Reader) field(e *Event, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "event":
		e.Name = nameOf(value)
	case "id":
		id, ok := number(value)
		if !ok {
			return &FormatError{Detail: "id is no offset"}
		}
		e.ID = id
	case "data":
		r.buf = append(r.buf, value...)
	}
	return nil
}

// Names of events on the streams of engines and of boxes.
const (
	Start = "start"
	End   = "end"
)

// nameOf saves an allocation for the names that are usual.
func nameOf(value []byte) string {
	switch string(value) {
	case Start:
		return Start
	case End:
		return End
	}
	return string(value)
}

// number reads a count without the allocation of a string.
func number(b []byte) (int, bool) {
	const digitsMost = 15
	if len(b) == 0 || len(b) > digitsMost {
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
