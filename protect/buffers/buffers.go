// Package buffers bounds what a box holds for callers that read slowly. Each stream
// has a buffer between the task that reads the upstream and the one that writes to
// the caller; what all of them hold is bounded for the box, and the slowest reader
// is ended before faster ones wait.
package buffers

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// slowAfter is how long a stream has made no progress before it may be ended for
	// the others' sake: a lost packet is sent again well within it on a good link.
	slowAfter = 200 * time.Millisecond
	// keptBytes is the buffer that a stream keeps when it is empty: some events.
	keptBytes = 4 << 10
)

// Limits bound what is held, in bytes. Values are immutable.
type Limits struct {
	Stream int // for one stream; one event more where it is empty
	Box    int // for all
}

// SlowError says that a stream was ended as the slowest reader of a full box.
type SlowError struct {
	Held    int           // bytes
	Stalled time.Duration // since it last made progress
	Box     int           // bytes that all streams held
}

// Error implements error.
func (*SlowError) Error() string { return "the caller reads too slowly for a full box" }

// Buffers is one box's. It is safe for use by several goroutines.
type Buffers struct {
	limits Limits

	mu      sync.Mutex
	held    int
	streams map[*Stream]struct{} // those that are open
	waiting map[*Stream]struct{} // those that wait for room in the box
}

// New returns buffers that hold nothing.
func New(limits Limits) *Buffers {
	return &Buffers{limits: limits, streams: map[*Stream]struct{}{}, waiting: map[*Stream]struct{}{}}
}

// Held returns how many bytes all streams hold.
func (b *Buffers) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Stream is the buffer of one stream, between a task that appends and one that takes.
type Stream struct {
	buffers *Buffers
	end     func(err error)
	room    chan struct{} // wakes the task that appends
	ready   chan struct{} // wakes the task that takes

	// Guarded by the lock of buffers.
	pending  []byte // appended and not taken
	spare    []byte // of the one taken last, to be used again
	held     int    // pending, and what was taken and is not sent
	progress time.Time
	closed   bool // nothing more is appended
	err      error
}

// Open returns an empty buffer. end is called once if the stream is ended for the
// others' sake; it may not wait.
func (b *Buffers) Open(end func(err error)) *Stream {
	s := &Stream{buffers: b, end: end, room: make(chan struct{}, 1), ready: make(chan struct{}, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streams[s] = struct{}{}
	return s
}

// Append adds a copy of some bytes. It waits while the stream or the box is full.
func (s *Stream) Append(ctx context.Context, p []byte) error { return s.add(ctx, len(p), p) }

// Reserve counts bytes that are held elsewhere until they are Sent. It waits as Append
// does.
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
			continue // for the room that it has left
		}
		look := time.NewTimer(slowAfter) // somebody may count as slow by then
		select {
		case <-s.room:
		case <-look.C:
		case <-ctx.Done():
			look.Stop()
			return ctx.Err()
		}
		look.Stop()
	}
}

// tryAdd adds bytes if there is room for them. Where the box is full it ends the
// slowest reader, which it returns.
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

// slowest returns the stream that holds the most bytes for the longest time without
// progress; nil if all made some of late.
func (b *Buffers) slowest(now time.Time) *Stream {
	var found *Stream
	var most float64
	for s := range b.streams {
		stalled := now.Sub(s.progress)
		if s.held == 0 || stalled < slowAfter {
			continue
		}
		if cost := float64(s.held) * stalled.Seconds(); cost > most {
			found, most = s, cost
		}
	}
	return found
}

// Take waits for bytes and returns all that there are, until the next call. It
// returns io.EOF after the last of a closed stream.
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
		if cap(s.spare) > keptBytes {
			s.spare = nil
		}
		return taken, nil
	case s.closed:
		return nil, io.EOF
	}
	return nil, nil
}

// Sent notes that bytes which were taken have gone out.
func (s *Stream) Sent(now time.Time, n int) {
	b := s.buffers
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.err != nil {
		return // they are counted no longer
	}
	s.progress = now
	s.release(n)
}

// Close notes that nothing more is appended.
func (s *Stream) Close() {
	s.buffers.mu.Lock()
	defer s.buffers.mu.Unlock()
	s.closed = true
	wake(s.ready)
}

// Fail ends the stream: what it holds is dropped. The first cause counts.
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
	wake(s.room)
}

// Err returns why the stream has ended; nil while it has not.
func (s *Stream) Err() error {
	s.buffers.mu.Lock()
	defer s.buffers.mu.Unlock()
	return s.err
}

// release takes bytes off the counts and wakes those that wait for room.
func (s *Stream) release(n int) {
	b := s.buffers
	s.held -= n
	b.held -= n
	wake(s.room)
	for o := range b.waiting {
		wake(o.room)
	}
}

// wake lets a waiting task look again.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
