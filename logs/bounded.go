package logs

import (
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait to be written, about 1 MB.
	maxQueuedLines = 4096
	// maxLinesPerSecond bounds the rate; about 100 requests a second with 4 lines each
	// are a box's peak.
	maxLinesPerSecond = 2000
)

// Bounded is a writer that never blocks its callers. A goroutine writes the lines; those
// that exceed the queue or the rate limit are dropped and counted.
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

// NewBounded returns a writer to out that calls dropped with the number of dropped lines.
// Close must be called.
func NewBounded(out io.Writer, dropped func(n int)) *Bounded {
	b := &Bounded{out: out, dropped: dropped, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer for one line. It never fails and never blocks.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || !b.allowLine(time.Now()) {
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

// allowLine reports whether one more line is within the rate limit.
func (b *Bounded) allowLine(now time.Time) bool {
	if now.Sub(b.second) >= time.Second {
		b.second, b.count = now, 0
	}
	b.count++
	return b.count <= maxLinesPerSecond
}

func (b *Bounded) run() {
	defer close(b.done)
	for line := range b.lines {
		_, _ = b.out.Write(line) // a failed log write cannot be logged
	}
}

// Close writes the queued lines, for at most timeout.
func (b *Bounded) Close(timeout time.Duration) {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	select {
	case <-b.done:
	case <-time.After(timeout):
	}
}
