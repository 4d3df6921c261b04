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
	// stalledMost is how long a caller may take nothing before it is ended: a link
	// that comes back within some seconds loses no answer, and a caller that is gone
	// without a word costs its connection and its buffer no longer.
	stalledMost = 15 * time.Second
	// pieceMost is how many bytes are written at once: after each the caller has made
	// progress, and a slow one takes some KB in stalledMost.
	pieceMost = 4 << 10
)

// bounded is a caller whose writes can be bounded in time.
type bounded interface {
	// WriteBy makes writes fail, also one under way, that are not done by a time.
	WriteBy(at time.Time)
}

// past makes a write under way fail at once.
var past = time.Unix(1, 0)

// buffered is a caller that is written to by a task of its own: its upstream is read
// on while it takes nothing.
type buffered struct {
	exchange.Caller
	ctx    context.Context
	cancel context.CancelCauseFunc // of the whole stream
	stream *buffers.Stream
	done   chan struct{} // closed when the task has ended; nil before the first write
	left   error         // why the task ended before all was written; to be read after that
}

// newBuffered returns a caller whose failures cancel its stream.
func newBuffered(ctx context.Context, cancel context.CancelCauseFunc, c exchange.Caller, b *buffers.Buffers) *buffered {
	out := &buffered{Caller: c, ctx: ctx, cancel: cancel}
	out.stream = b.Open(func(err error) {
		cancel(&callerError{err})
		out.writeBy(past)
	})
	return out
}

func (b *buffered) writeBy(at time.Time) {
	if c, ok := b.Caller.(bounded); ok {
		c.WriteBy(at)
	}
}

// Write implements exchange.Caller: it returns once there is room for p.
func (b *buffered) Write(p []byte) error {
	if b.done == nil {
		b.done = make(chan struct{})
		go b.run()
	}
	return b.stream.Append(b.ctx, p)
}

// run writes to the caller what comes, until the stream is closed or fails.
func (b *buffered) run() {
	defer close(b.done)
	for {
		p, err := b.stream.Take(b.ctx)
		if err == io.EOF {
			return
		}
		if err != nil {
			b.left = err
			return
		}
		if err := b.pieces(p); err != nil {
			b.fail(err)
			return
		}
	}
}

// pieces writes bytes that are held.
func (b *buffered) pieces(p []byte) error {
	for len(p) > 0 {
		n := min(len(p), pieceMost)
		if err := b.piece(p[:n]); err != nil {
			return cmp.Or(b.stream.Err(), err) // a write may have been broken off for the first
		}
		b.stream.Sent(time.Now(), n)
		p = p[n:]
	}
	return nil
}

// fail ends the stream, so that its upstream is left at once.
func (b *buffered) fail(err error) {
	if ended := b.ctx.Err(); ended != nil {
		err = ended // a write that was broken off for it
	}
	b.stream.Fail(err)
	b.left = b.stream.Err() // which may have been ended before
	b.cancel(&callerError{b.left})
}

// piece writes once. The stream may have been ended before the bound was set, which
// would undo that one's.
func (b *buffered) piece(p []byte) error {
	b.writeBy(time.Now().Add(stalledMost))
	if err := b.stream.Err(); err != nil {
		return err
	}
	if err := b.ctx.Err(); err != nil {
		return err
	}
	return b.Caller.Write(p)
}

// finish waits until all has gone out, or ctx ends, and the task has ended.
func (b *buffered) finish() error {
	b.stream.Close()
	defer b.stream.Fail(io.EOF) // nothing of it is held
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
		b.writeBy(time.Now().Add(stalledMost)) // the connection may serve on
	}
	if b.left != nil {
		return &callerError{b.left}
	}
	return nil
}

// endOf returns why a stream ended, of what its reading task and its writing task met.
// At the deadline both end: the stream is lost then if it was not read to its end.
func endOf(reading, writing error) error {
	if errors.Is(writing, context.DeadlineExceeded) {
		return cmp.Or(reading, writing)
	}
	return cmp.Or(writing, reading)
}

// writeWhole writes a whole answer. One that may not go out at once counts as held as
// far as it has not.
func (r *Relay) writeWhole(ctx context.Context, c exchange.Caller, body []byte) error {
	if r.Buffers == nil || len(body) <= pieceMost {
		return c.Write(body)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	out := newBuffered(ctx, cancel, c, r.Buffers)
	defer out.stream.Fail(io.EOF)
	if err := out.stream.Reserve(ctx, len(body)); err != nil {
		return &callerError{err}
	}
	if err := out.pieces(body); err != nil {
		return &callerError{err}
	}
	return nil
}

// writeRest writes a piece of an answer that is too long to be held. The bound of the
// piece before would count the time that its upstream took.
func (r *Relay) writeRest(c exchange.Caller, p []byte) error {
	if b, ok := c.(bounded); ok && r.Buffers != nil {
		b.WriteBy(time.Now().Add(stalledMost))
	}
	return c.Write(p)
}

// slowReader tells why a caller was ended for reading slowly; empty if it was not.
func slowReader(err error) string {
	switch {
	case errors.As(err, new(*buffers.SlowError)):
		return metrics.SlowBoxFull
	case errors.Is(err, os.ErrDeadlineExceeded):
		return metrics.SlowStalled
	}
	return ""
}

// heldOf returns what a slow reader held, for the log.
func heldOf(err error) logrus.Fields {
	var slow *buffers.SlowError
	if !errors.As(err, &slow) {
		return logrus.Fields{"stalled_ms": stalledMost.Milliseconds()}
	}
	return logrus.Fields{"held": slow.Held, "stalled_ms": slow.Stalled.Milliseconds(), "box_held": slow.Box}
}
