package answers_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"petrelstep/answers"
)

// TestUnsentReused guards against a request that was sent and counts as not sent, as its connection
// was given to another request before its call had failed.
func TestUnsentReused(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) })) // answers have no body
	defer server.Close()
	transport := answers.NewTransport(&http.Transport{MaxConnsPerHost: 1})
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithCancel(t.Context())
	call := func(ctx context.Context, hooks *httptrace.ClientTrace) error {
		return post(httptrace.WithClientTrace(ctx, hooks), transport, server.URL, 0)
	}
	ended, other := make(chan struct{}), make(chan error, 1)
	// The answer has come and the connection is idle again, but the call does not know of its answer.
	idle := func(error) {
		got := make(chan struct{})
		go func() {
			other <- call(t.Context(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
				close(got)
				<-ended
			}})
		}()
		<-got
		cancel()
		<-ended
	}
	err := call(ctx, &httptrace.ClientTrace{PutIdleConn: idle})
	close(ended)
	<-other
	is.True(err != nil)
	is.Equal(runs.Load(), int64(1))
	is.True(!answers.Unsent(err))
}
