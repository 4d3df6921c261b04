// Package readylog detects from its log when a box under test has opened its addresses.
// Connecting to them isn't enough: another server may have taken an address that was free.
package readylog

import (
	"bytes"
	"io"
	"sync"
)

// event begins the line that a box logs once its addresses are open.
var event = []byte("event=started ")

// Writer forwards a box's log and watches it for the event. It is safe for use by several
// goroutines.
type Writer struct {
	out  io.Writer
	done chan struct{}
	once sync.Once
}

// New returns a writer that forwards the log to out.
func New(out io.Writer) *Writer { return &Writer{out: out, done: make(chan struct{})} }

// Write implements io.Writer; each call must contain a whole line.
func (s *Writer) Write(line []byte) (int, error) {
	if bytes.Contains(line, event) {
		s.once.Do(func() { close(s.done) })
	}
	return s.out.Write(line)
}

// Done is closed once the box has opened its addresses.
func (s *Writer) Done() <-chan struct{} { return s.done }
