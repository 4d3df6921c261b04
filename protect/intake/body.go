package intake

import (
	"io"
	"net/http"
	"time"

	"petrelstep/refusal"
)

const (
	// firstBodyBytes is the size up to which a body is read whatever the request is.
	firstBodyBytes = 4 << 10
	// bodyPause is the longest time without progressBytes of a body: a client on a lossy link
	// resumes well within it.
	bodyPause     = 10 * time.Second
	progressBytes = 4 << 10
)

// Body describes a body that is to be read. Values are immutable.
type Body struct {
	Limit int          // maximum size in bytes
	Until time.Time    // when it has to be complete; zero for no limit
	Check func() error // called before more than the first few KiB are read; an error ends the reading. May be nil

	RetryAfter time.Duration // of refusals for want of memory or time
}

func (b Body) full() error {
	return refusal.New(refusal.BoxFull, "no memory for the request's body").WithRetryAfter(b.RetryAfter)
}

func (b Body) slow() error {
	return refusal.New(refusal.BodyTimeout, "the request's body was not complete in time").WithRetryAfter(b.RetryAfter)
}

func (b Body) tooLarge() error {
	return refusal.New(refusal.TooLarge, "the request's body is too large")
}

// ReadBody reads the body of a request into memory that is in the account. The error is a
// refusal.Refusal, or the one that Check returned; the connection is closed after its answer.
func ReadBody(w http.ResponseWriter, r *http.Request, b Body) ([]byte, error) {
	c := From(r.Context())
	c.limitBody(b)
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := c.readBody(r.Body, r.ContentLength, b)
	if err == nil && !c.completeBody() {
		err = b.full()
	}
	if err != nil {
		w.Header().Set(connectionHeader, "close")
		return nil, c.dropBody(b, err)
	}
	w.Header().Del(connectionHeader)
	return body, nil
}

// readBody reads a body of a length, which is negative if it is not known.
func (c *Conn) readBody(in io.Reader, length int64, b Body) ([]byte, error) {
	if length > int64(b.Limit) {
		return nil, b.tooLarge()
	}
	buf, err := c.grow(nil, firstSize(length), b)
	if err != nil {
		return nil, err
	}
	for err == nil {
		if len(buf) == cap(buf) {
			if buf, err = c.growChecked(buf, length, &b); err != nil {
				return nil, err
			}
		}
		var n int
		n, err = in.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if len(buf) > b.Limit {
			return nil, b.tooLarge()
		}
	}
	if err != io.EOF {
		return nil, refusal.New(refusal.BadRequest, "the request's body is incomplete: "+err.Error())
	}
	return buf, nil
}

// growChecked returns a larger buffer with the same bytes, once the request has passed its
// check.
func (c *Conn) growChecked(buf []byte, length int64, b *Body) ([]byte, error) {
	if b.Check != nil {
		if err := b.Check(); err != nil {
			return nil, err
		}
		b.Check = nil
	}
	return c.grow(buf, nextSize(len(buf), length, b.Limit), *b)
}

// firstSize returns the size of the first buffer for a body.
func firstSize(length int64) int {
	if length < 0 || length > firstBodyBytes {
		return firstBodyBytes
	}
	return int(length)
}

// nextSize returns the size of the buffer that follows a full one. The whole length is
// allocated only after a part of it has arrived.
func nextSize(size int, length int64, limit int) int {
	switch {
	case length < 0:
		return min(2*size, limit+1) // one more byte shows that the body is too large
	case size < smallBodyBytes:
		return min(smallBodyBytes, int(length))
	}
	return int(length)
}

// grow returns a buffer of a size with the bytes of another one, which must no longer be used.
func (c *Conn) grow(buf []byte, size int, b Body) ([]byte, error) {
	if !c.reserveBody(size) || !c.awaitRoom() {
		return nil, b.full()
	}
	larger := make([]byte, len(buf), size)
	copy(larger, buf)
	if c != nil && buf != nil {
		i := c.listener.intake
		i.mu.Lock()
		defer i.mu.Unlock()
		c.body = int64(size)
		c.account()
	}
	return larger, nil
}

// reserveBody adds a buffer of a size to the account. Large bodies that make no progress give
// way to it. It returns false if there is no room.
func (c *Conn) reserveBody(size int) bool {
	if c == nil {
		return true
	}
	i, now := c.listener.intake, time.Now()
	i.mu.Lock()
	c.body += int64(size)
	c.account()
	ends, ok := i.makeRoomLarge(now, c)
	if ok {
		ends = append(ends, i.makeRoom(now)...)
		ok = !c.ending
	}
	if !ok {
		c.body -= int64(size)
		c.account()
	}
	i.mu.Unlock()
	i.finish(now, ends)
	return ok
}

// limitBody records the limits of a body that is about to be read.
func (c *Conn) limitBody(b Body) {
	if c == nil {
		return
	}
	i := c.listener.intake
	i.mu.Lock()
	defer i.mu.Unlock()
	c.bodyLimit, c.until = b.Limit, b.Until
}

// completeBody records that the body was read to its end. It returns false if the connection has
// to give way nevertheless.
func (c *Conn) completeBody() bool {
	if c == nil {
		return true
	}
	i := c.listener.intake
	i.mu.Lock()
	defer i.mu.Unlock()
	c.bodyRead = true
	if c.ending {
		return false
	}
	c.enter(stageServing, time.Now())
	return true
}

// dropBody ends the accounting of a body that is not used. It returns why the body was not
// read: the reason for which the connection had to give way, or else err.
func (c *Conn) dropBody(b Body, err error) error {
	if c == nil {
		return err
	}
	i := c.listener.intake
	i.mu.Lock()
	defer i.mu.Unlock()
	c.body, c.bodyRefused = 0, true
	c.account()
	switch {
	case !c.ending:
		return err
	case c.reason == ReasonBodyTimeout:
		return b.slow()
	}
	return b.full()
}
