// Package buffers bounds the memory that a box uses for callers that read slowly. Each
// stream has a buffer between the goroutine that reads from the upstream and the one
// that writes to the caller. If all buffers together reach the limit of the box, the
// stream of the slowest reader is ended so that faster ones need not wait.
package buffers

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// slowAfter is the time without progress after which a stream may be ended. A good
	// link retransmits a lost packet well within it.
	slowAfter = 200 * time.Millisecond
	// maxSpareSize bounds the buffer that a stream keeps for reuse, in bytes: some events.
	maxSpareSize = 4 << 10
)

// Limits bound the buffered bytes. Values are immutable.
type Limits struct {
	Stream int // of one stream; a larger event is accepted if the stream is empty
	Box    int // of all streams together
}

// SlowError is the cause of a stream ended as the slowest reader of a full box.
type SlowError struct {
	Held    int           // bytes of this stream
	Stalled time.Duration // time since it last made progress
	Box     int           // bytes of all streams
}

// Error implements error.
func (*SlowError) Error() string { return "the caller reads too slowly for a full box" }

// Buffers holds the buffers of all streams of a box. It is safe for use by several
// goroutines.
type Buffers struct {
	limits Limits

	mu      sync.Mutex
	held    int
	streams map[*Stream]struct{} // open streams
	waiting map[*Stream]struct{} // streams that wait for capacity in the box
}

// New returns Buffers without streams.
func New(limits Limits) *Buffers {
	return &Buffers{limits: limits, streams: map[*Stream]struct{}{}, waiting: map[*Stream]struct{}{}}
}

// Held returns the number of bytes that all streams hold.
func (b *Buffers) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Stream is the buffer of one stream, between a goroutine that calls Append and one that
// calls Take.
type Stream struct {
	buffers *Buffers
	end     func(err error)
	drained chan struct{} // wakes Append
	ready   chan struct{} // wakes Take

	// Guarded by the lock of buffers.
	pending  []byte    // appended and not yet returned by Take
	spare    []byte    // last slice returned by Take, for reuse
	held     int       // bytes appended or reserved and not yet sent
	progress time.Time // last time bytes were sent, or appended to an empty stream
	closed   bool      // nothing more is appended
	err      error
}

// Open returns an empty buffer. end is called once if the stream is ended as the
// slowest reader; it must not block.
func (b *Buffers) Open(end func(err error)) *Stream {
	s := &Stream{buffers: b, end: end, drained: make(chan struct{}, 1), ready: make(chan struct{}, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streams[s] = struct{}{}
	return s
}

// Append adds a copy of p. It waits while the stream or the box is full.
func (s *Stream) Append(ctx context.Context, p []byte) error { return s.add(ctx, len(p), p) }

// Reserve counts n bytes that are held elsewhere until they are passed to Sent. It
// waits as Append does.
func (s *Stream) Reserve(ctx context.Context, n int) error { return s.add(ctx, n, nil) }

func (s *Stream) add(ctx context.Context, n int, p []byte) error {
	for {
		added, ended, err := s.tryAdd(time.Now(), n, p)
		if ended != nil {
			ended.end(ended.Err())
		}
		if added || err != nil {
			return err
		}
		if ended != nil {
			continue // its capacity is free now
		}
		retry := time.NewTimer(slowAfter) // a stream may count as slow by then
		select {
		case <-s.drained:
		case <-retry.C:
		case <-ctx.Done():
			retry.Stop()
			return ctx.Err()
		}
		retry.Stop()
	}
}

// tryAdd adds n bytes if neither the stream nor the box is full. If the box is full, it
// ends the stream of the slowest reader and returns that stream.
func (s *Stream) tryAdd(now time.Time, n int, p []byte) (added bool, ended *Stream, err error) {
	b := s.buffers
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting, s)
	switch {
	case s.err != nil:
		return false, nil, s.err
	case s.held > 0 && s.held+n > b.limits.Stream:
		return false, nil, nil
	case b.held > 0 && b.held+n > b.limits.Box:
		ended = b.slowest(now)
		if ended == nil {
			b.waiting[s] = struct{}{}
			return false, nil, nil
		}
		ended.fail(&SlowError{Held: ended.held, Stalled: now.Sub(ended.progress), Box: b.held})
		return false, ended, s.err
	}
	if s.held == 0 {
		s.progress = now
	}
	s.pending = append(s.pending, p...)
	s.held += n
	b.held += n
	wake(s.ready)
	return true, nil, nil
}

// slowest returns the stream with the largest product of bytes held and time without
// progress; nil if all streams have made progress recently.
func (b *Buffers) slowest(now time.Time) *Stream {
	var found *Stream
	var maxCost float64
	for s := range b.streams {
		stalled := now.Sub(s.progress)
		if s.held == 0 || stalled < slowAfter {
			continue
		}
		if cost := float64(s.held) * stalled.Seconds(); cost > maxCost {
			found, maxCost = s, cost
		}
	}
	return found
}

// Take waits for bytes and returns all that are pending. They are valid until the next
// call. It returns io.EOF after the last bytes of a closed stream.
func (s *Stream) Take(ctx context.Context) ([]byte, error) {
	for {
		p, err := s.take()
		if p != nil || err != nil {
			return p, err
		}
		select {
		case <-s.ready:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *Stream) take() ([]byte, error) {
	b := s.buffers
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case s.err != nil:
		return nil, s.err
	case len(s.pending) > 0:
		taken := s.pending
		s.pending, s.spare = s.spare[:0], taken
		if cap(s.spare) > maxSpareSize {
			s.spare = nil
		}
		return taken, nil
	case s.closed:
		return nil, io.EOF
	}
	return nil, nil
}

// Sent records that n bytes returned by Take, or reserved, have been sent.
func (s *Stream) Sent(now time.Time, n int) {
	b := s.buffers
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.err != nil {
		return // its bytes are no longer counted
	}
	s.progress = now
	s.release(n)
}

// Close records that nothing more is appended.
func (s *Stream) Close() {
	s.buffers.mu.Lock()
	defer s.buffers.mu.Unlock()
	s.closed = true
	wake(s.ready)
}

// Fail ends the stream and drops its bytes. Only the first cause is kept.
func (s *Stream) Fail(err error) {
	s.buffers.mu.Lock()
	defer s.buffers.mu.Unlock()
	s.fail(err)
}

func (s *Stream) fail(err error) {
	if s.err != nil {
		return
	}
	s.err = err
	delete(s.buffers.streams, s)
	delete(s.buffers.waiting, s)
	s.pending, s.spare = nil, nil
	s.release(s.held)
	wake(s.ready)
	wake(s.drained)
}

// Err returns the cause if the stream was ended; nil if it was not.
func (s *Stream) Err() error {
	s.buffers.mu.Lock()
	defer s.buffers.mu.Unlock()
	return s.err
}

// release subtracts n bytes from the counts and wakes the goroutines that wait to
// append.
func (s *Stream) release(n int) {
	b := s.buffers
	s.held -= n
	b.held -= n
	wake(s.drained)
	for o := range b.waiting {
		wake(o.drained)
	}
}

// wake makes a waiting goroutine check again.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
