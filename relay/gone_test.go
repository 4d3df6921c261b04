package relay_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/platform/upstream"
	"petrelstep/refusal"
)

// TestCallerGoneConnecting guards against callers that leave while a box connects to an upstream, and
// count as refused for want of an upstream.
func TestCallerGoneConnecting(t *testing.T) {
	for name, path := range map[string]string{"stream": "/draft/", "safe": "/safe/", "once": "/once/"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				w.relay.Sender = upstream.NewWithDial(func(context.Context, string, string) (net.Conn, error) {
					time.Sleep(time.Second)
					return nil, context.DeadlineExceeded
				})
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(20*time.Millisecond, cancel)
				req, c := request(path), &caller{began: time.Now()}
				req.Message = &upstream.Message{Method: http.MethodGet, Target: "/x", Header: http.Header{}}
				w.relay.Serve(ctx, req, c)
				is.Equal(time.Since(c.began), 20*time.Millisecond)
				time.Sleep(time.Second) // until the connection would have been opened
				is.Equal(c.refused.Reason(), refusal.CallerGone)
			})
		})
	}
}
