package logs

import (
	"io"
	"sync"
	"time"
)

const (
	// linesMost bounds the lines that wait for a reader; 1 MB or so.
	linesMost = 4096
	// linesPerSecond bounds the rate: a box serves some 100 requests a second
	// with 4 lines each at its peak.
	linesPerSecond = 2000
)

// Bounded writes lines on a task of its own and never holds its callers up:
// what does not fit, or comes too fast, is dropped and counted.
type Bounded struct {
	out     io.Writer
	dropped func(n int)
	lines   chan []byte
	done    chan struct{}

	mu     sync.Mutex
	second time.Time
	count  int
	closed bool
}

// NewBounded returns a writer to out; dropped is told of each line that was
// dropped. Close must be called.
func NewBounded(out io.Writer, dropped func(n int)) *Bounded {
	b := &Bounded{out: out, dropped: dropped, lines: make(chan []byte, linesMost), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer for one line; it never fails and never waits.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || !b.within(time.Now()) {
		b.dropped(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped(1)
	}
	return len(line), nil
}

// within tells whether the rate lets one more line through.
func (b *Bounded) within(now time.Time) bool {
	if now.Sub(b.second) >= time.Second {
		b.second, b.count = now, 0
	}
	b.count++
	return b.count <= linesPerSecond
}

func (b *Bounded) run() {
	defer close(b.done)
	for line := range b.lines {
		_, _ = b.out.Write(line) // there is nowhere to report it
	}
}

// Close writes what waits, for no longer than a moment.
func (b *Bounded) Close(most time.Duration) {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	select {
	case <-b.done:
	case <-time.After(most):
	}
}
