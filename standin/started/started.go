// Package started tells when a box under test has opened its addresses. That
// something answers there is no sign of it: an address that was found free may
// have been taken by another server since.
package started

import (
	"bytes"
	"io"
	"sync"
)

// event is what a box logs once its addresses are open.
var event = []byte("event=started ")

// Started passes a box's log on and watches it. It is safe for use by several
// goroutines.
type Started struct {
	out  io.Writer
	done chan struct{}
	once sync.Once
}

// New returns a log that is passed on to out.
func New(out io.Writer) *Started { return &Started{out: out, done: make(chan struct{})} }

// Write implements io.Writer; a line comes in one call.
func (s *Started) Write(line []byte) (int, error) {
	if bytes.Contains(line, event) {
		s.once.Do(func() { close(s.done) })
	}
	return s.out.Write(line)
}

// Done is closed once the box has opened its addresses.
func (s *Started) Done() <-chan struct{} { return s.done }
