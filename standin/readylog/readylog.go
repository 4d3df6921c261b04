// Package readylog tells when a box under test has opened its addresses. That
// something answers there is no sign of it: an address that was found free may
// have been taken by another server since.
package readylog

import (
	"bytes"
	"io"
	"sync"
)

// event is what a box logs once its addresses are open.
var event = []byte("event=started ")

// Writer passes a box's log on and watches it. It is safe for use by several
// goroutines.
type Writer struct {
	out  io.Writer
	done chan struct{}
	once sync.Once
}

// New returns a log that is passed on to out.
func New(out io.Writer) *Writer { return &Writer{out: out, done: make(chan struct{})} }

// Write implements io.Writer; a line comes in one call.
func (s *Writer) Write(line []byte) (int, error) {
	if bytes.Contains(line, event) {
		s.once.Do(func() { close(s.done) })
	}
	return s.out.Write(line)
}

// Done is closed once the box has opened its addresses.
func (s *Writer) Done() <-chan struct{} { return s.done }
