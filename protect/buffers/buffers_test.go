package buffers_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/protect/buffers"
)

// step appends to a stream and sends from it.
type step struct {
	stream int           // index
	add    int           // bytes to append, which must not block
	send   int           // bytes to send
	pause  time.Duration // after the step
}

func (s step) run(t *testing.T, at *buffers.Stream) {
	is := is.New(t)
	is.NoErr(at.Append(t.Context(), make([]byte, s.add)))
	if s.send > 0 {
		_, err := at.Take(t.Context())
		is.NoErr(err)
		at.Sent(time.Now(), s.send)
	}
	time.Sleep(s.pause)
}

var (
	errDisconnected = errors.New("disconnected")
	limits          = buffers.Limits{Stream: 100, Box: 250}
)

// TestSlowest checks which stream is ended when an event arrives at a full box.
func TestSlowest(t *testing.T) {
	const short, long = 10 * time.Millisecond, time.Second
	tests := map[string]struct {
		before []step
		ended  int // stream; -1 for none
		held   int
	}{
		"capacity for all":                   {[]step{{0, 90, 0, long}, {1, 90, 0, long}}, -1, 180 + 60},
		"the stream with the most bytes":     {[]step{{0, 100, 0, 0}, {1, 60, 0, 0}, {2, 70, 0, long}}, 0, 60 + 70 + 60},
		"the stream stalled longest":         {[]step{{0, 70, 0, 4 * long}, {1, 80, 0, 0}, {2, 100, 0, long}}, 0, 80 + 100 + 60},
		"not a stream with recent progress":  {[]step{{0, 100, 0, 0}, {1, 60, 0, 0}, {2, 90, 0, long}, {0, 0, 10, 0}}, 2, 90 + 60 + 60},
		"not an empty stream":                {[]step{{0, 100, 100, 0}, {1, 100, 0, 0}, {2, 90, 0, long}, {3, 50, 0, 0}}, 1, 90 + 50 + 60},
		"none if none is stalled":            {[]step{{0, 100, 0, 0}, {1, 60, 0, 0}, {2, 70, 0, short}}, -1, 230},
		"the stream that receives the event": {[]step{{4, 40, 0, 10 * long}, {1, 100, 0, 0}, {2, 100, 0, short}}, 4, 200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := buffers.New(limits)
				ended := -1
				var streams []*buffers.Stream
				for i := range 5 {
					streams = append(streams, b.Open(func(err error) {
						is.True(errors.As(err, new(*buffers.SlowError)))
						ended = i
					}))
				}
				for _, s := range tt.before {
					s.run(t, streams[s.stream])
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
				defer cancel()
				_ = streams[4].Append(ctx, make([]byte, 60)) // its outcome is checked by Held
				is.Equal(ended, tt.ended)
				is.Equal(b.Held(), tt.held)
			})
		})
	}
}

// TestAppendWaits checks what ends the wait of Append at a full stream or box.
func TestAppendWaits(t *testing.T) {
	tests := map[string]struct {
		limits buffers.Limits
		other  int                            // bytes that the other stream holds
		then   func(s, other *buffers.Stream) // called after a second
		err    error
	}{
		"bytes are sent":       {limits, 0, func(s, _ *buffers.Stream) { s.Sent(time.Now(), 60) }, nil},
		"the stream fails":     {limits, 0, func(s, _ *buffers.Stream) { s.Fail(errDisconnected) }, errDisconnected},
		"another stream fails": {buffers.Limits{Stream: 1000, Box: 150}, 100, func(_, o *buffers.Stream) { o.Fail(errDisconnected) }, nil},
		"another stream sends": {buffers.Limits{Stream: 1000, Box: 150}, 100, func(_, o *buffers.Stream) { o.Sent(time.Now(), 60) }, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := buffers.New(tt.limits)
				s, other := b.Open(func(error) {}), b.Open(func(error) {})
				is.NoErr(other.Append(t.Context(), make([]byte, tt.other)))
				is.NoErr(s.Append(t.Context(), make([]byte, 50)))
				began := time.Now()
				go func() {
					for range 10 { // both make progress, so that neither counts as slow
						time.Sleep(100 * time.Millisecond)
						s.Sent(time.Now(), 0)
						other.Sent(time.Now(), 0)
					}
					tt.then(s, other)
				}()
				err := s.Append(t.Context(), make([]byte, 60))
				is.Equal(err, tt.err)
				is.Equal(time.Since(began), time.Second)
			})
		})
	}
}

// TestOrder checks that a caller whose reading speed varies receives every event once
// and in order, while the buffer stays within its limit.
func TestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := buffers.New(limits)
		s := b.Open(func(error) { t.Error("ended") })
		var want, got strings.Builder
		go func() {
			for i := range 500 {
				event := []byte(strings.Repeat(string(rune('a'+i%26)), 1+i%40))
				want.Write(event)
				is.NoErr(s.Append(t.Context(), event))
				event[0] = '!' // it was copied
				is.True(b.Held() <= limits.Stream)
			}
			s.Close()
		}()
		for i := 0; ; i++ {
			p, err := s.Take(t.Context())
			if err == io.EOF {
				break
			}
			is.NoErr(err)
			time.Sleep(time.Duration(i%3) * 50 * time.Millisecond)
			got.Write(p)
			s.Sent(time.Now(), len(p))
		}
		is.Equal(got.String(), want.String())
		is.Equal(b.Held(), 0)
	})
}

// TestLarge checks that an empty buffer accepts an event larger than the limit.
func TestLarge(t *testing.T) {
	is := is.New(t)
	s := buffers.New(limits).Open(func(error) {})
	is.NoErr(s.Append(t.Context(), make([]byte, 1000)))
	p, err := s.Take(t.Context())
	is.NoErr(err)
	is.Equal(len(p), 1000)
}

func BenchmarkPass(b *testing.B) {
	all := buffers.New(buffers.Limits{Stream: 128 << 10, Box: 16 << 20})
	s := all.Open(func(error) {})
	event := make([]byte, 300)
	b.ReportAllocs()
	for range b.N {
		_ = s.Append(b.Context(), event)
		p, _ := s.Take(b.Context())
		s.Sent(time.Now(), len(p))
	}
}
