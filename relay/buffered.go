package relay

import (
	"cmp"
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/exchange"
	"petrelstep/metrics"
	"petrelstep/protect/buffers"
)

const (
	// maxStall is how long a caller may read nothing before its answer is aborted: longer
	// than short outages of a link, and short enough to free the connection and the buffer
	// of a caller that disappeared.
	maxStall = 15 * time.Second
	// maxWriteSize is the number of bytes per write. Each write is progress, so that a
	// slow caller only has to read this much within maxStall.
	maxWriteSize = 4 << 10
)

// deadlineWriter is a caller whose writes can have a deadline.
type deadlineWriter interface {
	// WriteBy sets the deadline of writes, including one in progress.
	WriteBy(at time.Time)
}

// past is a deadline that fails a write in progress at once.
var past = time.Unix(1, 0)

// buffered is a caller that is written to by its own goroutine, so that the upstream is
// read even while the caller does not read.
type buffered struct {
	exchange.Caller
	ctx      context.Context
	cancel   context.CancelCauseFunc // cancels the whole stream
	stream   *buffers.Stream
	done     chan struct{} // closed when the goroutine has ended; nil before the first write
	writeErr error         // why the goroutine ended early; valid after done is closed
}

// newBuffered returns a buffered caller that cancels its stream if a write fails.
func newBuffered(ctx context.Context, cancel context.CancelCauseFunc, c exchange.Caller, b *buffers.Buffers) *buffered {
	out := &buffered{Caller: c, ctx: ctx, cancel: cancel}
	out.stream = b.Open(func(err error) {
		cancel(&callerError{err})
		out.writeBy(past)
	})
	return out
}

func (b *buffered) writeBy(at time.Time) {
	if c, ok := b.Caller.(deadlineWriter); ok {
		c.WriteBy(at)
	}
}

// Write implements exchange.Caller: it returns once the buffer has space for p.
func (b *buffered) Write(p []byte) error {
	if b.done == nil {
		b.done = make(chan struct{})
		go b.run()
	}
	return b.stream.Append(b.ctx, p)
}

// run writes the buffered bytes to the caller until the stream is closed or fails.
func (b *buffered) run() {
	defer close(b.done)
	for {
		p, err := b.stream.Take(b.ctx)
		if err == io.EOF {
			return
		}
		if err != nil {
			b.writeErr = err
			return
		}
		if err := b.writeChunks(p); err != nil {
			b.fail(err)
			return
		}
	}
}

// writeChunks writes p to the caller in chunks.
func (b *buffered) writeChunks(p []byte) error {
	for len(p) > 0 {
		n := min(len(p), maxWriteSize)
		if err := b.writeChunk(p[:n]); err != nil {
			return cmp.Or(b.stream.Err(), err) // the stream's error may be the cause of the write's
		}
		b.stream.Sent(time.Now(), n)
		p = p[n:]
	}
	return nil
}

// fail ends the stream and cancels the request at its upstream.
func (b *buffered) fail(err error) {
	if ended := b.ctx.Err(); ended != nil {
		err = ended // the cause of the failed write
	}
	b.stream.Fail(err)
	b.writeErr = b.stream.Err() // an earlier error takes precedence
	b.cancel(&callerError{b.writeErr})
}

// writeChunk writes one chunk. It checks for an end of the stream after setting the
// deadline, as it may have replaced the expired one.
func (b *buffered) writeChunk(p []byte) error {
	b.writeBy(time.Now().Add(maxStall))
	if err := b.stream.Err(); err != nil {
		return err
	}
	if err := b.ctx.Err(); err != nil {
		return err
	}
	return b.Caller.Write(p)
}

// finish waits until all bytes are written or ctx ends, and the goroutine has ended.
func (b *buffered) finish() error {
	b.stream.Close()
	defer b.stream.Fail(io.EOF) // releases the buffer
	if b.done == nil {
		return nil
	}
	broken := make(chan struct{})
	stop := context.AfterFunc(b.ctx, func() {
		b.writeBy(past)
		close(broken)
	})
	<-b.done
	if !stop() {
		<-broken
		b.writeBy(time.Now().Add(maxStall)) // the connection may serve further requests
	}
	if b.writeErr != nil {
		return &callerError{b.writeErr}
	}
	return nil
}

// streamError returns why a stream ended, given the errors of reading and writing it. At
// the deadline both fail; the stream is lost then if it was not read to its end.
func streamError(reading, writing error) error {
	if errors.Is(writing, context.DeadlineExceeded) {
		return cmp.Or(reading, writing)
	}
	return cmp.Or(writing, reading)
}

// writeWhole writes a whole answer. Bytes that are not yet written count as buffered.
func (r *Relay) writeWhole(ctx context.Context, c exchange.Caller, body []byte) error {
	if r.Buffers == nil || len(body) <= maxWriteSize {
		return c.Write(body)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	out := newBuffered(ctx, cancel, c, r.Buffers)
	defer out.stream.Fail(io.EOF)
	if err := out.stream.Reserve(ctx, len(body)); err != nil {
		return &callerError{err}
	}
	if err := out.writeChunks(body); err != nil {
		return &callerError{err}
	}
	return nil
}

// writeUnbuffered writes a chunk of an answer that is too long to buffer. It sets a new
// deadline, as the upstream's delay must not count against the caller.
func (r *Relay) writeUnbuffered(c exchange.Caller, p []byte) error {
	if b, ok := c.(deadlineWriter); ok && r.Buffers != nil {
		b.WriteBy(time.Now().Add(maxStall))
	}
	return c.Write(p)
}

// slowReader returns why a caller was aborted for reading slowly; empty if it was not.
func slowReader(err error) string {
	switch {
	case errors.As(err, new(*buffers.SlowError)):
		return metrics.SlowBoxFull
	case errors.Is(err, os.ErrDeadlineExceeded):
		return metrics.SlowStalled
	}
	return ""
}

// slowReaderFields returns log fields on the buffer of a slow reader.
func slowReaderFields(err error) logrus.Fields {
	var slow *buffers.SlowError
	if !errors.As(err, &slow) {
		return logrus.Fields{"stalled_ms": maxStall.Milliseconds()}
	}
	return logrus.Fields{"held": slow.Held, "stalled_ms": slow.Stalled.Milliseconds(), "box_held": slow.Box}
}
