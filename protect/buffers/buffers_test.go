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

// step is what one stream does, and the pause after it.
type step struct {
	stream int
	add    int // bytes; it must not have to wait
	send   int // bytes that were taken before
	pause  time.Duration
}

func (s step) play(t *testing.T, at *buffers.Stream) {
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
	errGone = errors.New("gone")
	limits  = buffers.Limits{Stream: 100, Box: 250}
)

// TestSlowest shows who is ended as one more event comes to a full box, by what the
// streams did before.
func TestSlowest(t *testing.T) {
	const quick, slow = 10 * time.Millisecond, time.Second
	tests := map[string]struct {
		before []step
		ended  int // stream; -1 for none
		held   int
	}{
		"room for all":                  {[]step{{0, 90, 0, slow}, {1, 90, 0, slow}}, -1, 180 + 60},
		"the one that holds most":       {[]step{{0, 100, 0, 0}, {1, 60, 0, 0}, {2, 70, 0, slow}}, 0, 60 + 70 + 60},
		"the one that stands longest":   {[]step{{0, 70, 0, 4 * slow}, {1, 80, 0, 0}, {2, 100, 0, slow}}, 0, 80 + 100 + 60},
		"one that has just taken some":  {[]step{{0, 100, 0, 0}, {1, 60, 0, 0}, {2, 90, 0, slow}, {0, 0, 10, 0}}, 2, 90 + 60 + 60},
		"empty ones are left":           {[]step{{0, 100, 100, 0}, {1, 100, 0, 0}, {2, 90, 0, slow}, {3, 50, 0, 0}}, 1, 90 + 50 + 60},
		"none has stood for any time":   {[]step{{0, 100, 0, 0}, {1, 60, 0, 0}, {2, 70, 0, quick}}, -1, 230},
		"the one to which it is passed": {[]step{{4, 40, 0, 10 * slow}, {1, 100, 0, 0}, {2, 100, 0, quick}}, 4, 200},
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
					s.play(t, streams[s.stream])
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
				defer cancel()
				_ = streams[4].Append(ctx, make([]byte, 60)) // what came of it is in held
				is.Equal(ended, tt.ended)
				is.Equal(b.Held(), tt.held)
			})
		})
	}
}

// TestAppendWaits shows until when a task that appends to a full stream waits.
func TestAppendWaits(t *testing.T) {
	tests := map[string]struct {
		limits buffers.Limits
		other  int                            // bytes that another stream holds
		then   func(s, other *buffers.Stream) // after a second
		err    error
	}{
		"until some has gone out":    {limits, 0, func(s, _ *buffers.Stream) { s.Sent(time.Now(), 60) }, nil},
		"until its caller is gone":   {limits, 0, func(s, _ *buffers.Stream) { s.Fail(errGone) }, errGone},
		"until another's is gone":    {buffers.Limits{Stream: 1000, Box: 150}, 100, func(_, o *buffers.Stream) { o.Fail(errGone) }, nil},
		"until another's makes room": {buffers.Limits{Stream: 1000, Box: 150}, 100, func(_, o *buffers.Stream) { o.Sent(time.Now(), 60) }, nil},
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
					for range 10 { // both make some progress, so that neither counts as slow
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

// TestOrder passes events through a small buffer to a caller that reads by turns fast
// and slowly, and holds that all come once, in order, within the limit.
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

// TestLarge holds that an event above the limit passes an empty buffer.
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
